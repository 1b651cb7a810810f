package tsroute_test

import (
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsroute"
)

// picksBeforeSpillover is the hash of the picks below of the router before it had
// spillover (commit cdc15f9).
const picksBeforeSpillover = 7131367606296820865

// Guards against deployments without spillover that are routed differently, or whose
// random sequence is: 20,000 requests with and without prefixes in three failure
// domains of two regions, with reports, failures and changes of the list.
func TestWithoutSpilloverPicksAreAsBefore(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	list := servers(3, 4)
	for i := range list {
		list[i].Region = "1"
		if list[i].FailureDomain == "c" {
			list[i].Region = "2"
		}
	}
	r := tsroute.New(tsroute.Config{FailureDomain: "a", Region: "1", Rand: rand.New(rand.NewPCG(6, 6))})
	r.SetServers(epoch, list)
	type running struct {
		id  turmericshed.ServerID
		req turmericshed.RouteRequest
	}
	var open []running
	h, now := fnv.New64a(), epoch
	for i := range 20_000 {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		if rng.IntN(4) == 0 {
			r.Report(now, report(list[rng.IntN(len(list))].ID, now.Add(-300*time.Millisecond), rng.IntN(10)))
		}
		if i%5000 == 4999 {
			r.SetServers(now, list[:4+rng.IntN(9)])
		}
		req := chat
		if rng.IntN(2) == 0 {
			req = prefixed(uint64(rng.IntN(30)))
		}
		if s, err := r.Pick(now, req); err == nil {
			open = append(open, running{s.ID, req})
			_, _ = h.Write([]byte(s.ID))
		} else {
			_, _ = h.Write([]byte("none"))
		}
		for len(open) > 30 {
			j := rng.IntN(len(open))
			res := success
			if rng.IntN(20) == 0 {
				res = failed
			}
			r.Done(now, open[j].id, open[j].req, res)
			open = append(open[:j], open[j+1:]...)
		}
	}
	assert.Equal(t, h.Sum64(), uint64(picksBeforeSpillover))
}
