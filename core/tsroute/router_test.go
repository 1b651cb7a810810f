package tsroute_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericshed"
	"turmericshed/core/tsroute"
)

var (
	epoch      = time.Unix(1_800_000_000, 0)
	chat       = turmericshed.RouteRequest{Work: turmericshed.WorkAssistant, Model: "m"}
	errRefused = turmericshed.NewError(turmericshed.KindBackendRefused, "refused")
	success    = turmericshed.DispatchResult{FirstByte: time.Millisecond, Elapsed: time.Second}
	failed     = turmericshed.DispatchResult{Err: errRefused, Elapsed: time.Millisecond}
)

// servers returns n servers in each failure domain "a", "b", and so on.
func servers(domains, n int) []turmericshed.BackendServer {
	var list []turmericshed.BackendServer
	for i := range domains * n {
		list = append(list, turmericshed.BackendServer{
			ID: turmericshed.ServerID(fmt.Sprintf("s-%d", i)), FailureDomain: turmericshed.FailureDomain('a' + rune(i/n)),
			Work: turmericshed.WorkAssistant, Models: []turmericshed.Model{"m"}, Slots: 8,
		})
	}
	return list
}

func newRouter(seed uint64, list []turmericshed.BackendServer) *tsroute.Router {
	r := tsroute.New(tsroute.Config{FailureDomain: "a", Rand: rand.New(rand.NewPCG(seed, 1))})
	r.SetServers(epoch, list)
	return r
}

func report(id turmericshed.ServerID, at time.Time, running int) turmericshed.LoadReport {
	return turmericshed.LoadReport{Server: id, At: at, Running: running}
}

// spread picks n servers without ending any request and counts the picks by
// server.
func spread(t *testing.T, r *tsroute.Router, now time.Time, req turmericshed.RouteRequest, n int) map[turmericshed.ServerID]int {
	t.Helper()
	got := map[turmericshed.ServerID]int{}
	for range n {
		s, err := r.Pick(now, req)
		assert.NilError(t, err)
		got[s.ID]++
	}
	return got
}

func TestCandidates(t *testing.T) {
	t.Run("only servers of the allowed software versions, also by time to serve and with open breakers", func(t *testing.T) {
		for _, byServeTime := range []bool{false, true} {
			list := servers(1, 3)
			for i := range list {
				list[i].Software = turmericshed.SoftwareVersion(fmt.Sprint("v", i))
			}
			r := tsroute.New(tsroute.Config{FailureDomain: "a", Rand: rand.New(rand.NewPCG(1, 1)), ServeTime: byServeTime})
			r.SetServers(epoch, list)
			req := chat
			req.Estimate, req.PromptTokens = &turmericshed.RouteEstimate{}, 100
			req.Software = []turmericshed.SoftwareVersion{"v1"}
			assert.DeepEqual(t, spread(t, r, epoch, req, 4), map[turmericshed.ServerID]int{"s-1": 4})
			for range 4 {
				r.Done(epoch, "s-1", req, failed)
			}
			s, err := r.Pick(epoch, req)
			assert.Assert(t, err != nil || s.ID == "s-1", "picked %s", s.ID)
			req.Software = []turmericshed.SoftwareVersion{"v7"}
			_, err = r.Pick(epoch, req)
			assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindNoBackend)
		}
	})
	t.Run("only servers with the model, the kind of work and the service", func(t *testing.T) {
		list := servers(1, 3)
		list[0].Models = []turmericshed.Model{"other"}
		list[1].Work, list[1].Models, list[1].Service = turmericshed.WorkService, nil, "bookings"
		r := newRouter(1, list)
		assert.DeepEqual(t, spread(t, r, epoch, chat, 4), map[turmericshed.ServerID]int{"s-2": 4})
		booking := turmericshed.RouteRequest{Work: turmericshed.WorkService, Service: "bookings"}
		assert.DeepEqual(t, spread(t, r, epoch, booking, 4), map[turmericshed.ServerID]int{"s-1": 4})
		_, err := r.Pick(epoch, turmericshed.RouteRequest{Work: turmericshed.WorkService, Service: "stock"})
		assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindNoBackend)
	})
	t.Run("a server that failed the request is not retried", func(t *testing.T) {
		r := newRouter(1, servers(1, 2))
		req := chat
		req.Excluded = []turmericshed.ServerID{"s-0"}
		assert.DeepEqual(t, spread(t, r, epoch, req, 5), map[turmericshed.ServerID]int{"s-1": 5})
	})
	t.Run("the local failure domain is preferred until it is busier than others", func(t *testing.T) {
		r := newRouter(1, servers(2, 2))
		few := spread(t, r, epoch, chat, 3)
		assert.Equal(t, few["s-0"]+few["s-1"], 3)
		all := spread(t, r, epoch, chat, 40)
		assert.Assert(t, all["s-2"] > 0 && all["s-3"] > 0, "%v", all)
	})
}

func TestLeaving(t *testing.T) {
	signs := map[string]func(*tsroute.Router, []turmericshed.BackendServer){
		"a list that marks it as leaving": func(r *tsroute.Router, list []turmericshed.BackendServer) {
			list[0].Leaving = true
			r.SetServers(epoch, list)
		},
		"its refusal": func(r *tsroute.Router, _ []turmericshed.BackendServer) { r.SetLeaving(epoch, "s-0") },
		"its load report": func(r *tsroute.Router, _ []turmericshed.BackendServer) {
			r.Report(epoch, turmericshed.LoadReport{Server: "s-0", At: epoch, Leaving: true})
		},
	}
	for name, sign := range signs {
		t.Run("no work after "+name, func(t *testing.T) {
			list := servers(1, 2)
			r := newRouter(1, list)
			sign(r, list)
			assert.DeepEqual(t, spread(t, r, epoch, chat, 8), map[turmericshed.ServerID]int{"s-1": 8})
		})
	}
	t.Run("a stale list does not clear the leaving state", func(t *testing.T) {
		r := newRouter(1, servers(1, 2))
		r.SetLeaving(epoch, "s-0")
		r.SetServers(epoch, servers(1, 2))
		assert.Equal(t, spread(t, r, epoch, chat, 8)["s-0"], 0)
	})
}

// Guards against a server that is never used again: its entry was unusable for a moment while a
// request of this entry VM ran on it, and the same process is listed again.
func TestServerIsUsedAgainAfterItsEntryWasMissing(t *testing.T) {
	list := servers(1, 1)
	r := newRouter(1, list)
	s, err := r.Pick(epoch, chat)
	assert.NilError(t, err)
	r.SetServers(epoch, nil)
	assert.Assert(t, !r.InService(epoch, s.ID), "a server that is not listed")
	r.SetServers(epoch, list)
	assert.Assert(t, r.InService(epoch, s.ID))
	assert.DeepEqual(t, spread(t, r, epoch, chat, 2), map[turmericshed.ServerID]int{"s-0": 2})
	r.Done(epoch, s.ID, chat, success)
	t.Run("not if it said that it is leaving", func(t *testing.T) {
		r.SetLeaving(epoch, s.ID)
		r.SetServers(epoch, nil)
		r.SetServers(epoch, list)
		assert.Assert(t, !r.InService(epoch, s.ID))
	})
}

func TestRelease(t *testing.T) {
	r := newRouter(1, servers(1, 1))
	s, err := r.Pick(epoch, chat)
	assert.NilError(t, err)
	before := r.Pressure(epoch, chat.Work)
	r.Release(epoch, s.ID)
	assert.Equal(t, before, 1.0/8)
	assert.Equal(t, r.Pressure(epoch, chat.Work), 0.0)
	t.Run("releasing a removed server does not add it back", func(t *testing.T) {
		s, err := r.Pick(epoch, chat)
		assert.NilError(t, err)
		r.SetServers(epoch, nil)
		r.Release(epoch, s.ID)
		_, err = r.Pick(epoch, chat)
		assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindNoBackend)
	})
}

func TestOpens(t *testing.T) {
	r := newRouter(1, servers(1, 4))
	r.SetLeaving(epoch, "s-0")
	closed := map[turmericshed.ServerID]time.Time{"s-0": epoch, "s-1": epoch.Add(2 * time.Second), "s-2": epoch.Add(time.Second), "other": epoch}
	at, ok := r.EarliestReopening(epoch, chat, closed)
	assert.Assert(t, ok)
	assert.Equal(t, at, epoch.Add(time.Second))
	t.Run("a server that failed the request is ignored", func(t *testing.T) {
		req := chat
		req.Excluded = []turmericshed.ServerID{"s-2"}
		at, _ := r.EarliestReopening(epoch, req, closed)
		assert.Equal(t, at, epoch.Add(2*time.Second))
	})
	t.Run("no time is returned if limits close no server", func(t *testing.T) {
		_, ok := r.EarliestReopening(epoch, chat, nil)
		assert.Assert(t, !ok)
	})
}

func TestBreaker(t *testing.T) {
	t.Run("a server that fails fast gets little work", func(t *testing.T) {
		r := newRouter(1, servers(1, 4))
		failedPicks, now := 0, epoch
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			s, err := r.Pick(now, chat)
			assert.NilError(t, err)
			if s.ID != "s-0" {
				r.Done(now, s.ID, chat, success)
				continue
			}
			failedPicks++
			r.Done(now, s.ID, chat, failed)
		}
		assert.Assert(t, failedPicks <= 12, "the failing server got %d of 1000", failedPicks)
	})
	t.Run("a fast failure counts as load", func(t *testing.T) {
		repeated := 0
		for seed := range uint64(200) {
			r := newRouter(seed, servers(1, 2))
			first, _ := r.Pick(epoch, chat)
			r.Done(epoch, first.ID, chat, failed)
			repeated += spread(t, r, epoch, chat, 1)[first.ID]
		}
		assert.Assert(t, repeated < 70, "the failing server got the next request %d of 200 times", repeated)
	})
	t.Run("a returning server gets work slowly", func(t *testing.T) {
		r := newRouter(3, servers(1, 2))
		for n := 0; n < 3; {
			s, err := r.Pick(epoch, chat)
			assert.NilError(t, err)
			if s.ID == "s-0" {
				n++
				r.Done(epoch, s.ID, chat, failed)
			}
		}
		later := epoch.Add(5 * time.Second)
		assert.Equal(t, spread(t, r, later, chat, 8)["s-0"], 1, "one probe")
		r.Done(later, "s-0", chat, success)
		assert.Equal(t, spread(t, r, later, chat, 4)["s-0"], 2, "two after one complete answer")
	})
	t.Run("with nothing else left an open server is probed", func(t *testing.T) {
		r := newRouter(1, servers(1, 1))
		for range 3 {
			_, err := r.Pick(epoch, chat)
			assert.NilError(t, err)
			r.Done(epoch, "s-0", chat, failed)
		}
		_, err := r.Pick(epoch, chat)
		assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindNoBackend)
		assert.Assert(t, turmericshed.RetryAfterOf(err) > 0)
		_, err = r.Pick(epoch.Add(300*time.Millisecond), chat)
		assert.NilError(t, err)
	})
	t.Run("a canceled request does not count as a server failure", func(t *testing.T) {
		r := newRouter(1, servers(1, 1))
		canceled := turmericshed.DispatchResult{Err: turmericshed.NewError(turmericshed.KindCanceled, "x")}
		for range 10 {
			_, err := r.Pick(epoch, chat)
			assert.NilError(t, err)
			r.Done(epoch, "s-0", chat, canceled)
		}
	})
}

func TestHerdAvoidance(t *testing.T) {
	t.Run("a report received by all entry VMs does not attract all requests to one server", func(t *testing.T) {
		got := map[turmericshed.ServerID]int{}
		for node := range uint64(9) {
			r := newRouter(node+1, servers(1, 9))
			for i, s := range servers(1, 9) {
				r.Report(epoch, report(s.ID, epoch, min(i, 1)*4))
			}
			for id, n := range spread(t, r, epoch, chat, 4) {
				got[id] += n
			}
		}
		assert.Assert(t, got["s-0"] <= 14, "the idle server got %d of 36", got["s-0"])
	})
	t.Run("a new server is not overloaded", func(t *testing.T) {
		got := 0
		for node := range uint64(9) {
			r := newRouter(node+1, servers(1, 8))
			for _, s := range servers(1, 8) {
				r.Report(epoch, report(s.ID, epoch, 8))
			}
			r.SetServers(epoch, servers(1, 9))
			got += spread(t, r, epoch, chat, 10)["s-8"]
		}
		assert.Assert(t, got <= 9, "the fresh server got %d of 90", got)
	})
}

func TestLoadReports(t *testing.T) {
	t.Run("local requests are not counted twice", func(t *testing.T) {
		r := newRouter(1, servers(1, 1))
		spread(t, r, epoch, chat, 4)
		now := epoch.Add(time.Second)
		r.Report(now, report("s-0", now, 4))
		assert.Equal(t, r.Pressure(now, turmericshed.WorkAssistant), 0.5)
	})
	t.Run("an old report no longer affects the choice", func(t *testing.T) {
		busy := func(age time.Duration) (n int) {
			for seed := range uint64(200) {
				r := newRouter(seed, servers(1, 2))
				r.Report(epoch, report("s-0", epoch, 8))
				r.Report(epoch, report("s-1", epoch, 0))
				n += spread(t, r, epoch.Add(age), chat, 1)["s-0"]
			}
			return n
		}
		fresh, old := busy(0), busy(time.Minute)
		assert.Assert(t, fresh < 70, "%d of 200 to the busy server", fresh)
		assert.Assert(t, old > 80 && old < 120, "%d of 200 after a minute", old)
	})
}

func TestPrefixAffinity(t *testing.T) {
	t.Run("all entry VMs send a prefix to the same two servers", func(t *testing.T) {
		seen := map[uint64]map[turmericshed.ServerID]int{}
		for node := range uint64(9) {
			r := newRouter(node+1, servers(3, 3))
			for i := range uint64(200) {
				req := chat
				req.Prefix = (i%50 + 1) * 0x9e3779b97f4a7c15
				s, err := r.Pick(epoch, req)
				assert.NilError(t, err)
				r.Done(epoch, s.ID, req, success)
				if seen[req.Prefix] == nil {
					seen[req.Prefix] = map[turmericshed.ServerID]int{}
				}
				seen[req.Prefix][s.ID]++
			}
		}
		for prefix, at := range seen {
			assert.Assert(t, len(at) <= 2, "prefix %x went to %v", prefix, at)
		}
	})
	t.Run("no home gets requests above the bound", func(t *testing.T) {
		for id, n := range spread(t, newRouter(1, servers(1, 9)), epoch, prefixed(0), 16) {
			assert.Assert(t, n <= 4, "server %s got %d of 16", id, n)
		}
	})
	t.Run("few prefixes move when a server joins", func(t *testing.T) {
		before, after := newRouter(1, servers(1, 8)), newRouter(1, servers(1, 9))
		moved := 0
		for i := range uint64(900) {
			req := chat
			req.Prefix = (i + 1) * 0x9e3779b97f4a7c15
			a, _ := before.Pick(epoch, req)
			b, _ := after.Pick(epoch, req)
			before.Done(epoch, a.ID, req, success)
			after.Done(epoch, b.ID, req, success)
			if a.ID != b.ID {
				moved++
			}
		}
		assert.Assert(t, moved < 150, "%d of 900 moved", moved)
	})
}

// TestRouterMachine applies random steps to a router. The router's own
// assertions check that leaving servers get no work and that counts do not
// become negative.
func TestRouterMachine(t *testing.T) {
	t.Run("every pick is allowed", rapid.MakeCheck(func(t *rapid.T) {
		list := servers(2, 3)
		r := tsroute.New(tsroute.Config{FailureDomain: "a", Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))})
		now, left := epoch, map[turmericshed.ServerID]bool{}
		var open []turmericshed.ServerID
		r.SetServers(now, list)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(list)-1).Draw(t, "server")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				r.SetServers(now, list[:rapid.IntRange(0, len(list)).Draw(t, "listed")])
				left = map[turmericshed.ServerID]bool{}
			case 1:
				r.SetLeaving(now, list[i].ID)
				left[list[i].ID] = true
			case 2:
				r.Report(now, report(list[i].ID, now.Add(-time.Second), rapid.IntRange(0, 9).Draw(t, "running")))
			case 3:
				if len(open) > 0 {
					res := success
					if rapid.Bool().Draw(t, "fail") {
						res = failed
					}
					r.Done(now, open[0], chat, res)
					open = open[1:]
				}
			default:
				s, err := r.Pick(now, chat)
				if err != nil {
					assert.Equal(t, turmericshed.OutcomeOf(err), turmericshed.OutcomeNotRun)
					continue
				}
				assert.Assert(t, !left[s.ID], "work to leaving %s", s.ID)
				open = append(open, s.ID)
			}
		}
	}))
}
