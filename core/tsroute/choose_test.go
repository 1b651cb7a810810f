package tsroute_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsroute"
)

// prefixed returns a request with the i-th prefix.
func prefixed(i uint64) turmericshed.RouteRequest {
	r := chat
	r.Prefix = (i + 1) * 0x9e3779b97f4a7c15
	return r
}

func TestPopularity(t *testing.T) {
	warm := func() *tsroute.Router {
		r := newRouter(1, servers(3, 3))
		for range 500 {
			s, err := r.Pick(epoch, prefixed(0))
			assert.NilError(t, err)
			r.Done(epoch, s.ID, prefixed(0), success)
		}
		return r
	}
	t.Run("a frequent prefix has many homes", func(t *testing.T) {
		assert.Assert(t, len(spread(t, warm(), epoch, prefixed(0), 9)) >= 8)
	})
	t.Run("a rare prefix has two homes", func(t *testing.T) {
		assert.Assert(t, len(spread(t, warm(), epoch, prefixed(7), 6)) <= 2)
	})
}

func TestNearlyFullServers(t *testing.T) {
	// full returns the router of one entry VM with load reports in which all
	// servers but the first are full.
	full := func(seed uint64) *tsroute.Router {
		r := newRouter(seed, servers(1, 9))
		for i, s := range servers(1, 9) {
			r.Report(epoch, report(s.ID, epoch, 6+2*min(i, 1)))
		}
		return r
	}
	t.Run("a report does not attract all requests to a server with free slots", func(t *testing.T) {
		got := 0
		for node := range uint64(9) {
			got += spread(t, full(node+1), epoch, chat, 9)["s-0"]
		}
		assert.Equal(t, got, 9, "an even part of 81")
	})
	t.Run("load balancing takes precedence over prefix homes", func(t *testing.T) {
		for id, n := range spread(t, full(1), epoch, prefixed(0), 18) {
			assert.Assert(t, n <= 3, "server %s got %d of 18", id, n)
		}
	})
	t.Run("a prefix stays with its homes while the load is even", func(t *testing.T) {
		homes := map[turmericshed.ServerID]bool{}
		for seed := range uint64(20) {
			for id := range spread(t, full(seed), epoch, prefixed(0), 1) {
				homes[id] = true
			}
		}
		assert.Assert(t, len(homes) <= 2, "%v", homes)
	})
}

func TestRegions(t *testing.T) {
	// regional returns a router in failure domain a. Domains a and b are in
	// region 1, c is in region 2.
	regional := func() *tsroute.Router {
		list := servers(3, 3)
		for i := range list {
			list[i].Region = "1"
			if list[i].FailureDomain == "c" {
				list[i].Region = "2"
			}
		}
		r := tsroute.New(tsroute.Config{FailureDomain: "a", Region: "1", Rand: rand.New(rand.NewPCG(1, 1))})
		r.SetServers(epoch, list)
		return r
	}
	// byDomain picks servers for 12 concurrent requests and counts them by
	// failure domain.
	byDomain := func(t *testing.T, request func(uint64) turmericshed.RouteRequest) map[turmericshed.FailureDomain]int {
		r, got := regional(), map[turmericshed.FailureDomain]int{}
		for i := range uint64(12) {
			s, err := r.Pick(epoch, request(i))
			assert.NilError(t, err)
			got[s.FailureDomain]++
		}
		return got
	}
	t.Run("cached prefixes are shared within the region", func(t *testing.T) {
		got := byDomain(t, prefixed)
		assert.Assert(t, got["a"] >= 3 && got["b"] >= 3, "%v", got)
	})
	t.Run("another region is taken only when it is much better", func(t *testing.T) {
		got := byDomain(t, func(uint64) turmericshed.RouteRequest { return chat })
		assert.Equal(t, got["c"], 0, "%v", got)
		more := spread(t, regional(), epoch, chat, 72)
		assert.Assert(t, more["s-6"]+more["s-7"]+more["s-8"] > 0, "%v", more)
	})
}

func TestFailureDomainReachability(t *testing.T) {
	noConnection := turmericshed.DispatchResult{Err: turmericshed.NewError(turmericshed.KindNoBackend, "timed out")}
	// unreachable returns a router for which connections to two servers of domain b
	// failed.
	unreachable := func(t *testing.T) *tsroute.Router {
		r := newRouter(1, servers(2, 4))
		for _, id := range []turmericshed.ServerID{"s-4", "s-5"} {
			req := chat
			for _, s := range servers(2, 4) {
				if s.ID != id {
					req.Excluded = append(req.Excluded, s.ID)
				}
			}
			_, err := r.Pick(epoch, req)
			assert.NilError(t, err)
			r.Done(epoch, id, req, noConnection)
		}
		return r
	}
	remotePicks := func(t *testing.T, r *tsroute.Router, now time.Time, n int) int {
		got := spread(t, r, now, prefixed(1), n)
		return n - got["s-0"] - got["s-1"] - got["s-2"] - got["s-3"]
	}
	t.Run("a failure domain that is cut off gets no requests", func(t *testing.T) {
		assert.Equal(t, remotePicks(t, unreachable(t), epoch, 32), 0)
	})
	t.Run("an unreachable failure domain is probed with one request after 10 s", func(t *testing.T) {
		r := unreachable(t)
		assert.Equal(t, remotePicks(t, r, epoch.Add(9*time.Second), 16), 0)
		assert.Equal(t, remotePicks(t, r, epoch.Add(10*time.Second), 16), 1)
	})
	t.Run("a load report newer than the failure makes the failure domain reachable", func(t *testing.T) {
		r := unreachable(t)
		r.Report(epoch, report("s-6", epoch.Add(-time.Second), 0))
		assert.Equal(t, remotePicks(t, r, epoch, 16), 0)
		r.Report(epoch, report("s-6", epoch.Add(time.Second), 0))
		assert.Assert(t, remotePicks(t, r, epoch, 16) > 1)
	})
	t.Run("an answer makes the failure domain reachable", func(t *testing.T) {
		r := newRouter(1, servers(2, 4))
		for range 64 {
			s, err := r.Pick(epoch, prefixed(1))
			assert.NilError(t, err)
			res := success
			if s.FailureDomain == "b" {
				res = noConnection
			}
			r.Done(epoch, s.ID, prefixed(1), res)
		}
		answered := 0
		for i := range uint64(64) {
			now := epoch.Add(time.Duration(i+60) * time.Second)
			s, err := r.Pick(now, prefixed(i))
			assert.NilError(t, err)
			r.Done(now, s.ID, prefixed(i), success)
			if s.FailureDomain == "b" {
				answered++
			}
		}
		assert.Assert(t, answered > 8, "%d of 64", answered)
	})
}

func TestOwnLinkIsNotTakenForOthers(t *testing.T) {
	errDial := turmericshed.NewError(turmericshed.KindNoBackend, "dial: i/o timeout")
	inconclusive := turmericshed.DispatchResult{Err: errDial, Elapsed: time.Second, Inconclusive: true}
	t.Run("an inconclusive timeout does not open a server's breaker", func(t *testing.T) {
		list := servers(1, 1)
		r := newRouter(1, list)
		for range 5 {
			s, err := r.Pick(epoch, chat)
			assert.NilError(t, err)
			r.Done(epoch, s.ID, chat, inconclusive)
		}
		_, err := r.Pick(epoch, chat)
		assert.NilError(t, err)
	})
	t.Run("an inconclusive timeout does not make a failure domain unreachable", func(t *testing.T) {
		list := servers(2, 3)[3:]
		r := newRouter(1, list)
		for range 5 {
			s, err := r.Pick(epoch, chat)
			assert.NilError(t, err)
			r.Done(epoch, s.ID, chat, inconclusive)
		}
		assert.Equal(t, len(spread(t, r, epoch, chat, 60)), 3)
	})
	t.Run("a server is avoided if it is the only one that times out", func(t *testing.T) {
		list := servers(1, 2)
		r := newRouter(1, list)
		without := func(id turmericshed.ServerID) turmericshed.RouteRequest {
			req := chat
			req.Excluded = []turmericshed.ServerID{id}
			return req
		}
		for range 3 {
			for _, req := range []turmericshed.RouteRequest{without("s-0"), without("s-1")} {
				_, err := r.Pick(epoch, req)
				assert.NilError(t, err)
			}
			r.Done(epoch, "s-0", without("s-1"), turmericshed.DispatchResult{FirstByte: time.Millisecond, Elapsed: 100 * time.Millisecond})
			r.Done(epoch, "s-1", without("s-0"), inconclusive)
		}
		_, err := r.Pick(epoch, without("s-0"))
		assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindNoBackend)
	})
}
