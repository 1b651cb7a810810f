package tsroute_test

import (
	"math/rand/v2"
	"testing"

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
			r.Done(epoch, s.ID, prefixed(0), whole)
		}
		return r
	}
	t.Run("a prefix in great demand has many homes", func(t *testing.T) {
		assert.Assert(t, len(spread(t, warm(), epoch, prefixed(0), 9)) >= 8)
	})
	t.Run("a rare one has two", func(t *testing.T) {
		assert.Assert(t, len(spread(t, warm(), epoch, prefixed(7), 6)) <= 2)
	})
}

func TestCrowded(t *testing.T) {
	// full returns the router of one entry VM that heard that all servers but
	// the first are full.
	full := func(seed uint64) *tsroute.Router {
		r := newRouter(seed, servers(1, 9))
		for i, s := range servers(1, 9) {
			r.Report(epoch, report(s.ID, epoch, 6+2*min(i, 1)))
		}
		return r
	}
	t.Run("a report does not fill a server that had room left", func(t *testing.T) {
		got := 0
		for node := range uint64(9) {
			got += spread(t, full(node+1), epoch, chat, 9)["s-0"]
		}
		assert.Equal(t, got, 9, "an even part of 81")
	})
	t.Run("a prefix gives way to an even spread", func(t *testing.T) {
		for id, n := range spread(t, full(1), epoch, prefixed(0), 18) {
			assert.Assert(t, n <= 3, "server %s got %d of 18", id, n)
		}
	})
	t.Run("a prefix keeps its homes while the spread is even", func(t *testing.T) {
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
	// regional returns a router in domain a of region 1, which b belongs to
	// too; c is in region 2.
	regional := func() *tsroute.Router {
		list := servers(3, 3)
		for i := range list {
			list[i].Region = "1"
			if list[i].FailureDomain == "c" {
				list[i].Region = "2"
			}
		}
		r := tsroute.New(tsroute.Config{Self: "a", Region: "1", Rand: rand.New(rand.NewPCG(1, 1))})
		r.SetServers(epoch, list)
		return r
	}
	// byDomain counts 12 requests at once.
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
