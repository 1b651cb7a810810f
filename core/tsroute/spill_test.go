package tsroute_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericshed"
	"turmericshed/core/tsroute"
	"turmericshed/core/tsspill"
)

// spilling returns a router in failure domain a with spillover, to which all servers
// of a appear crowded and all others idle.
func spilling(list []turmericshed.BackendServer) *tsroute.Router {
	r := newRouter(1, list)
	r.EnableSpill(*defaultSpill, nil)
	crowdA(r, list, epoch)
	return r
}

func crowdA(r *tsroute.Router, list []turmericshed.BackendServer, now time.Time) {
	for _, s := range list {
		running := 0
		if s.FailureDomain == "a" {
			running = 20
		}
		r.Report(now, report(s.ID, now, running))
	}
}

// picks picks n servers at time now, ends the requests at once, and counts the
// servers.
func picks(t *testing.T, r *tsroute.Router, now time.Time, req turmericshed.RouteRequest, n int) map[turmericshed.ServerID]int {
	t.Helper()
	got := map[turmericshed.ServerID]int{}
	for range n {
		s, err := r.Pick(now, req)
		assert.NilError(t, err)
		r.Done(now, s.ID, req, turmericshed.DispatchResult{FirstByte: 1, FirstOutput: 50 * time.Millisecond, Elapsed: time.Second, RequestBytes: 1000})
		got[s.ID]++
	}
	return got
}

// Guards against spillover that sends requests where other rules forbid it.
func TestSpillGivesWay(t *testing.T) {
	list := servers(2, 2)
	t.Run("a crowded failure domain is left", func(t *testing.T) {
		got := picks(t, spilling(list), epoch, chat, 20)
		assert.Equal(t, got["s-2"]+got["s-3"], 20, "%v", got)
	})
	t.Run("not for servers that leave", func(t *testing.T) {
		r := spilling(list)
		r.SetLeaving(epoch, "s-2")
		r.SetLeaving(epoch, "s-3")
		got := picks(t, r, epoch, chat, 20)
		assert.Equal(t, got["s-0"]+got["s-1"], 20, "%v", got)
	})
	t.Run("not for servers that asked for a pause", func(t *testing.T) {
		r := spilling(list)
		r.Pause(epoch, "s-2", time.Second)
		assert.Equal(t, picks(t, r, epoch, chat, 20)["s-2"], 0)
	})
	t.Run("not for excluded servers", func(t *testing.T) {
		req := chat
		req.Excluded = []turmericshed.ServerID{"s-2", "s-3"}
		got := picks(t, spilling(list), epoch, req, 20)
		assert.Equal(t, got["s-0"]+got["s-1"], 20, "%v", got)
	})
	t.Run("not for servers with an open breaker", func(t *testing.T) {
		r := spilling(list)
		for range 3 {
			req := chat
			req.Excluded = []turmericshed.ServerID{"s-0", "s-1", "s-3"}
			s, err := r.Pick(epoch, req)
			assert.NilError(t, err)
			r.Done(epoch, s.ID, req, failed)
		}
		assert.Equal(t, picks(t, r, epoch, chat, 20)["s-2"], 0)
	})
	t.Run("without local servers requests leave at once, whatever bytes cost", func(t *testing.T) {
		r := newRouter(1, list)
		r.EnableSpill(tsspill.Settings{CostPerMegabyte: time.Hour}, nil)
		r.SetLeaving(epoch, "s-0")
		r.SetLeaving(epoch, "s-1")
		got := picks(t, r, epoch, prefixed(1), 10)
		assert.Equal(t, got["s-2"]+got["s-3"], 10, "%v", got)
	})
	t.Run("servers in one failure domain only are chosen as without it", func(t *testing.T) {
		a, b := newRouter(1, servers(1, 4)), newRouter(1, servers(1, 4))
		a.EnableSpill(*defaultSpill, nil)
		assert.DeepEqual(t, spread(t, a, epoch, chat, 40), spread(t, b, epoch, chat, 40))
	})
}

// Guards against measurements that blame servers for what the own link did, or that
// leave out answers that never came.
func TestSpillMeasurements(t *testing.T) {
	// delay returns the delay to the other failure domain as told with the next
	// decision after remote requests had the result.
	delay := func(t *testing.T, res turmericshed.DispatchResult) time.Duration {
		list := servers(2, 2)
		r := newRouter(1, list)
		var told []tsroute.SpillChange
		r.EnableSpill(*defaultSpill, func(c tsroute.SpillChange) { told = append(told, c) })
		now := epoch
		for i := range 200 {
			now = now.Add(20 * time.Millisecond)
			if i%20 == 0 {
				crowdA(r, list, now)
			}
			req := chat
			req.Excluded = []turmericshed.ServerID{[]turmericshed.ServerID{"s-2", "s-0"}[i%2], []turmericshed.ServerID{"s-3", "s-1"}[i%2]}
			s, err := r.Pick(now, req)
			assert.NilError(t, err)
			if s.FailureDomain == "a" {
				r.Done(now, s.ID, req, turmericshed.DispatchResult{FirstByte: 1, FirstOutput: 50 * time.Millisecond, Elapsed: time.Second, RequestBytes: 1000})
			} else {
				r.Done(now, s.ID, req, res)
			}
		}
		crowdA(r, list, now.Add(time.Millisecond))
		picks(t, r, now.Add(time.Second), chat, 1)
		picks(t, r, now.Add(4*time.Second), chat, 1)
		assert.Assert(t, len(told) > 0)
		return told[len(told)-1].Decision.Delay
	}
	measured := turmericshed.DispatchResult{FirstByte: 1, FirstOutput: 450 * time.Millisecond, Elapsed: time.Second, RequestBytes: 1000}
	t.Run("the time to the first output counts", func(t *testing.T) {
		assert.Assert(t, delay(t, measured) > 150*time.Millisecond)
	})
	t.Run("an inconclusive attempt does not", func(t *testing.T) {
		res := measured
		res.Inconclusive = true
		assert.Assert(t, delay(t, res) < 50*time.Millisecond)
	})
	t.Run("a deadline without output counts with its wait", func(t *testing.T) {
		res := turmericshed.DispatchResult{Err: turmericshed.NewError(turmericshed.KindDeadline, "x"), FirstByte: 1, Elapsed: 4 * time.Second, RequestBytes: 1000}
		assert.Assert(t, delay(t, res) > 150*time.Millisecond)
	})
}

// TestSpillMachine applies random steps to a router with spillover. The router's own
// assertions check that leaving servers get no work.
func TestSpillMachine(t *testing.T) {
	t.Run("every pick is allowed", rapid.MakeCheck(func(t *rapid.T) {
		list := servers(3, 2)
		r := tsroute.New(tsroute.Config{FailureDomain: "a", Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))})
		r.EnableSpill(tsspill.Settings{CostPerMegabyte: time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "cost"))}, nil)
		now, left := epoch, map[turmericshed.ServerID]bool{}
		r.SetServers(now, list)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-50, 800).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(list)-1).Draw(t, "server")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				r.SetLeaving(now, list[i].ID)
				left[list[i].ID] = true
			case 1:
				r.Report(now, report(list[i].ID, now, rapid.IntRange(0, 30).Draw(t, "running")))
			default:
				req := prefixed(uint64(i))
				if rapid.Bool().Draw(t, "plain") {
					req = chat
				}
				req.Excluded = []turmericshed.ServerID{list[rapid.IntRange(0, len(list)-1).Draw(t, "excluded")].ID}
				req.PrefixTokens, req.BodyBytes, req.Cost = 13_300, 60_000, 15_000
				s, err := r.Pick(now, req)
				if err != nil {
					continue
				}
				assert.Assert(t, !left[s.ID] && s.ID != req.Excluded[0], "work to %s", s.ID)
				output := time.Duration(rapid.IntRange(0, 3000).Draw(t, "output ms")) * time.Millisecond
				r.Done(now.Add(output), s.ID, req, turmericshed.DispatchResult{FirstByte: 1, FirstOutput: output, Elapsed: output, RequestBytes: 60_000})
			}
		}
	}))
}

func BenchmarkPickWithSpill(b *testing.B) {
	list := servers(4, 15)
	r := newRouter(1, list)
	r.EnableSpill(*defaultSpill, nil)
	crowdA(r, list, epoch)
	for b.Loop() {
		s, err := r.Pick(epoch, prefixed(1))
		if err != nil {
			b.Fatal(err)
		}
		r.Done(epoch, s.ID, prefixed(1), success)
	}
}

func BenchmarkPickWithoutSpill(b *testing.B) {
	list := servers(4, 15)
	r := newRouter(1, list)
	crowdA(r, list, epoch)
	for b.Loop() {
		s, err := r.Pick(epoch, prefixed(1))
		if err != nil {
			b.Fatal(err)
		}
		r.Done(epoch, s.ID, prefixed(1), success)
	}
}
