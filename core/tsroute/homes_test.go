package tsroute_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsroute"
)

// readPrompts simulates a low load with long shared prompts: 24 servers in
// three failure domains, nine entry VMs, 400 prefixes, and 80 requests a second
// that run for a second and a half each. It returns how often a server
// processed a prefix that it had not cached, and the busiest server's requests
// over the mean.
func readPrompts(t *testing.T, homes int) (reads int, busiest float64) {
	t.Helper()
	const entryVMs, prefixes, seconds, rate, run = 9, 400, 60, 80, 1500 * time.Millisecond
	rng := rand.New(rand.NewPCG(7, 7))
	var routers []*tsroute.Router
	list := servers(3, 8)
	for i := range entryVMs {
		r := tsroute.New(tsroute.Config{FailureDomain: list[8*(i%3)].FailureDomain, Homes: homes, Rand: rand.New(rand.NewPCG(uint64(i), 1))})
		r.SetServers(epoch, list)
		routers = append(routers, r)
	}
	type running struct {
		router *tsroute.Router
		req    turmericshed.RouteRequest
		server turmericshed.ServerID
		ends   time.Time
	}
	var inFlight []running
	held := map[turmericshed.ServerID]map[uint64]bool{}
	count := map[turmericshed.ServerID]int{}
	for n := range seconds * rate {
		now := epoch.Add(time.Duration(n) * time.Second / rate)
		for len(inFlight) > 0 && !now.Before(inFlight[0].ends) {
			e := inFlight[0]
			inFlight = inFlight[1:]
			e.router.Done(now, e.server, e.req, success)
		}
		r, req := routers[rng.IntN(entryVMs)], prefixed(uint64(rng.IntN(prefixes)))
		s, err := r.Pick(now, req)
		assert.NilError(t, err)
		inFlight = append(inFlight, running{r, req, s.ID, now.Add(run)})
		if held[s.ID] == nil {
			held[s.ID] = map[uint64]bool{}
		}
		if !held[s.ID][req.Prefix] {
			held[s.ID][req.Prefix] = true
			reads++
		}
		count[s.ID]++
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	return reads, float64(most) * float64(len(list)) / float64(seconds*rate)
}

func TestOneHomeReducesPromptReads(t *testing.T) {
	one, busiest := readPrompts(t, 1)
	two, _ := readPrompts(t, 2)
	t.Logf("read %d times with one home, %d with two; busiest %.2f of the mean", one, two, busiest)
	assert.Assert(t, float64(one) <= 0.65*float64(two))
	assert.Assert(t, busiest <= 2)
}
