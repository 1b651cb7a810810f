package tsroute

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericshed"
)

var serveEpoch = time.Unix(1_800_000_000, 0)

// serveServers returns n servers of the service "pool" in each of the failure domains.
func serveServers(n int, domains ...turmericshed.FailureDomain) []turmericshed.BackendServer {
	var list []turmericshed.BackendServer
	for i := range n * len(domains) {
		list = append(list, turmericshed.BackendServer{
			ID: turmericshed.ServerID(fmt.Sprint("s-", i)), FailureDomain: domains[i%len(domains)], Work: turmericshed.WorkService, Service: "pool", Slots: 48,
		})
	}
	return list
}

func serveRouter(on bool, list []turmericshed.BackendServer) *Router {
	r := New(Config{FailureDomain: "a", Homes: 1, ServeTime: on, Rand: rand.New(rand.NewPCG(7, 7))})
	r.SetServers(serveEpoch, list)
	return r
}

// generation returns a request with a prompt of its own.
func generation(tokens turmericshed.Tokens) turmericshed.RouteRequest {
	return turmericshed.RouteRequest{
		Work: turmericshed.WorkService, Service: "pool", PromptTokens: tokens, MaxOutput: 100, MemoryTokens: 100_000, Estimate: &turmericshed.RouteEstimate{},
	}
}

// pickServer picks a server and fails the test if there is none.
func pickServer(t assert.TestingT, r *Router, now time.Time, req turmericshed.RouteRequest) turmericshed.ServerID {
	s, err := r.Pick(now, req)
	assert.NilError(t, err)
	return s.ID
}

// complete lets requests of 10,000 tokens run at each server, with the given time to the
// first byte, so that the router learns from them.
func complete(t *testing.T, r *Router, firstByte func(turmericshed.ServerID) time.Duration) time.Time {
	t.Helper()
	now := serveEpoch
	for range 400 {
		req := generation(10_000)
		id := pickServer(t, r, now, req)
		took := firstByte(id)
		now = now.Add(took)
		r.FirstByte(now, id, req)
		now = now.Add(100 * time.Millisecond)
		r.Done(now, id, req, turmericshed.DispatchResult{FirstByte: took, Elapsed: took + 100*time.Millisecond})
	}
	return now
}

func sameTime(turmericshed.ServerID) time.Duration { return 100 * time.Millisecond }

// Guards against any effect on deployments whose servers report three figures and that
// don't ask for admission.
func TestServeTimeIsOffByDefault(t *testing.T) {
	list := serveServers(6, "a", "b", "c")
	plain, with := serveRouter(false, list), serveRouter(false, list)
	now := serveEpoch
	for i := range 2000 {
		now = now.Add(7 * time.Millisecond)
		req := generation(turmericshed.Tokens(100 + i%17*1000))
		req.Prefix = uint64(i % 5)
		req.PrefixTokens = req.PromptTokens / 2
		bare := turmericshed.RouteRequest{Work: req.Work, Service: req.Service, Prefix: req.Prefix}
		a, b := pickServer(t, plain, now, bare), pickServer(t, with, now, req)
		assert.Equal(t, a, b)
		with.FirstByte(now, b, req)
		rep := turmericshed.LoadReport{Server: a, At: now, Running: i % 11}
		plain.Report(now, rep)
		with.Report(now, rep)
		if i%3 != 0 {
			res := turmericshed.DispatchResult{FirstByte: time.Millisecond, Elapsed: 20 * time.Millisecond}
			plain.Done(now, a, bare, res)
			with.Done(now, b, req, res)
		}
	}
}

// Guards against a switch that concerns services whose servers don't report their work time.
func TestServeTimeIsSwitchedOnByService(t *testing.T) {
	list := serveServers(2, "a")
	list[1].Service = "desk"
	r := serveRouter(false, list)
	r.Report(serveEpoch, turmericshed.LoadReport{Server: "s-0", At: serveEpoch, WorkTime: 1})
	assert.Assert(t, r.weighsServeTime(generation(100)))
	desk := generation(100)
	desk.Service = "desk"
	assert.Assert(t, !r.weighsServeTime(desk))
	t.Run("requests without tokens are not weighed by them", func(t *testing.T) {
		assert.Assert(t, !r.weighsServeTime(generation(0)))
		req := generation(100)
		req.Estimate = nil
		assert.Assert(t, !r.weighsServeTime(req))
	})
}

// Guards against requests to servers that are slow, for long or for the moment.
func TestSlowServersAreAvoided(t *testing.T) {
	t.Run("one that is always slow", func(t *testing.T) {
		r := serveRouter(true, serveServers(3, "a"))
		now := complete(t, r, func(id turmericshed.ServerID) time.Duration {
			if id == "s-1" {
				return 300 * time.Millisecond
			}
			return 100 * time.Millisecond
		})
		for range 20 {
			req := generation(10_000)
			id := pickServer(t, r, now, req)
			assert.Assert(t, id != "s-1")
			r.Unassign(now, id, req)
		}
	})
	t.Run("one that reports to be slow, as long as the report is young", func(t *testing.T) {
		r := serveRouter(true, serveServers(2, "a"))
		now := complete(t, r, sameTime)
		counts := func(now time.Time) int {
			n := 0
			for range 40 {
				req := generation(10_000)
				id := pickServer(t, r, now, req)
				if id == "s-0" {
					n++
				}
				r.Unassign(now, id, req)
			}
			return n
		}
		r.Report(now, turmericshed.LoadReport{Server: "s-1", At: now, WorkTime: 1, Relayed: true})
		r.Report(now, turmericshed.LoadReport{Server: "s-0", At: now, WorkTime: 2.5, Relayed: true})
		assert.Equal(t, counts(now), 0)
		e := estimator{router: r, learnt: r.serveTimesFor(generation(1)), now: now.Add(workTimeLife), meanWork: 1.2}
		assert.Equal(t, e.workTime(r.servers["s-0"]), 1.2)
		assert.Equal(t, e.workTime(r.servers["s-1"]), 1.2)
	})
	t.Run("one that fails requests at once does not look idle", func(t *testing.T) {
		r := serveRouter(true, serveServers(2, "a"))
		now := complete(t, r, sameTime)
		for range 2 {
			req := generation(10_000)
			req.Excluded = []turmericshed.ServerID{"s-1"}
			id := pickServer(t, r, now, req)
			r.Done(now, id, req, turmericshed.DispatchResult{Err: turmericshed.NewError(turmericshed.KindBackendRefused, "refused"), Elapsed: time.Millisecond})
		}
		for range 5 {
			req := generation(10_000)
			id := pickServer(t, r, now, req)
			assert.Equal(t, id, turmericshed.ServerID("s-1"))
			r.Unassign(now, id, req)
		}
	})
}

// Guards against large prompts that are sent to a server whose memory is full while another
// has room: it can't begin them.
func TestMemory(t *testing.T) {
	r := serveRouter(true, serveServers(2, "a"))
	now := complete(t, r, sameTime)
	// A request that fills most of the memory, and is read already.
	large := generation(90_000)
	first := pickServer(t, r, now, large)
	r.FirstByte(now.Add(time.Second), first, large)
	for range 10 {
		req := generation(20_000)
		id := pickServer(t, r, now, req)
		assert.Assert(t, id != first)
		r.FirstByte(now, id, req)
		r.Unassign(now, id, req)
	}
	t.Run("without a known memory it does not matter", func(t *testing.T) {
		req := generation(20_000)
		req.MemoryTokens = 0
		e := estimator{router: r, learnt: r.serveTimesFor(req), now: now, req: req, meanWork: 1}
		assert.Equal(t, e.memoryWait(r.servers[first], 5), 0.0)
	})
}

// Guards against prefixes that are read again at servers which have not cached them, and
// against a home that keeps requests although it is slow.
func TestHomes(t *testing.T) {
	list := serveServers(3, "a", "b", "c")
	r := serveRouter(true, list)
	now := complete(t, r, sameTime)
	shared := func() turmericshed.RouteRequest {
		req := generation(10_500)
		req.Prefix, req.PrefixTokens = 99, 10_000
		return req
	}
	req := shared()
	home := pickServer(t, r, now, req)
	r.FirstByte(now, home, req)
	for range 5 {
		req := shared()
		assert.Equal(t, pickServer(t, r, now, req), home)
		assert.Equal(t, req.Estimate.UnreadTokens, turmericshed.Tokens(500))
		r.FirstByte(now, home, req)
	}
	t.Run("a home with more to read than the prompt is passed over", func(t *testing.T) {
		long := generation(60_000)
		for _, s := range list {
			if s.ID != home {
				long.Excluded = append(long.Excluded, s.ID)
			}
		}
		assert.Equal(t, pickServer(t, r, now, long), home)
		req := shared()
		assert.Assert(t, pickServer(t, r, now, req) != home)
		assert.Assert(t, req.Estimate.UnreadTokens > 10_000)
	})
	t.Run("only what the server has to read is learnt from", func(t *testing.T) {
		req := shared()
		req.Excluded = []turmericshed.ServerID{home}
		id := pickServer(t, r, now, req)
		assert.Assert(t, req.Estimate.UnreadTokens <= 10_500, "%d: the cost for other requests is not work of this one", req.Estimate.UnreadTokens)
		r.Unassign(now, id, req)
	})
	t.Run("a small shared part does not bind the request to its homes", func(t *testing.T) {
		seen := map[turmericshed.ServerID]bool{}
		for range 30 {
			req := shared()
			req.PrefixTokens = minSharedTokens - 1
			seen[pickServer(t, r, now, req)] = true
		}
		assert.Assert(t, len(seen) > 2)
	})
	t.Run("a prompt that nobody sent before stays in the failure domain", func(t *testing.T) {
		r := serveRouter(true, serveServers(9, "a", "b", "c"))
		for i := range 20 {
			req := generation(10_000)
			req.Prefix, req.PrefixTokens = uint64(1000+i), 10_000
			id := pickServer(t, r, serveEpoch, req)
			assert.Equal(t, r.servers[id].FailureDomain, turmericshed.FailureDomain("a"))
			assert.Equal(t, req.Estimate.UnreadTokens, turmericshed.Tokens(10_000))
			r.Unassign(serveEpoch, id, req)
		}
	})
}

// Guards against a prefix that leaves its home for a delay that the objective allows, and
// against one that stays at a home which is clearly too slow.
func TestHomeIsKeptWithinTheObjective(t *testing.T) {
	for name, c := range map[string]struct {
		within time.Duration
		keeps  bool
	}{
		"the objective allows the delay":  {within: 3 * time.Second, keeps: true},
		"the objective does not allow it": {within: 600 * time.Millisecond},
		"no objective":                    {},
	} {
		t.Run(name, func(t *testing.T) {
			r := serveRouter(true, serveServers(3, "a", "b", "c"))
			now := complete(t, r, sameTime)
			req := generation(10_500)
			req.Prefix, req.PrefixTokens = 99, 10_000
			home := pickServer(t, r, now, req)
			r.FirstByte(now, home, req)
			// The home has to read for about 0.6 s.
			r.servers[home].pace.unread = 60_000
			req.Estimate, req.FirstByteWithin = &turmericshed.RouteEstimate{}, c.within
			assert.Equal(t, pickServer(t, r, now, req) == home, c.keeps)
		})
	}
}

// Guards against memory that grows with the models that callers name.
func TestUnknownModelsAreNotRemembered(t *testing.T) {
	for _, on := range []bool{false, true} {
		r := serveRouter(on, serveServers(1, "a"))
		for i := range 100 {
			req := generation(100)
			req.Model = turmericshed.Model(fmt.Sprint("unknown-", i))
			_, err := r.Pick(serveEpoch, req)
			assert.Assert(t, err != nil)
		}
		assert.Equal(t, len(r.learnt), 0)
	}
}

// Guards against one garbled work time that changes the measure for all other servers.
func TestGarbledWorkTime(t *testing.T) {
	r := serveRouter(true, serveServers(90, "a"))
	for i := range 90 {
		rep := turmericshed.LoadReport{Server: turmericshed.ServerID(fmt.Sprint("s-", i)), At: serveEpoch, WorkTime: 1}
		if i == 0 {
			rep.WorkTime = 1e4
		}
		r.Report(serveEpoch, rep)
	}
	mean := meanWorkTime(serveEpoch, r.ordered)
	assert.Assert(t, mean < 1.2, "average work time %v", mean)
}

// Guards against work that stays counted at a server after its request ended, whatever ends
// it, and against values that are not numbers.
func TestServingIsCountedExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := serveServers(2, "a", "b")
		r := serveRouter(true, list)
		type attempt struct {
			id  turmericshed.ServerID
			req turmericshed.RouteRequest
		}
		var running []attempt
		now := serveEpoch
		end := func(a attempt, how int) {
			if how%2 == 0 {
				r.FirstByte(now, a.id, a.req)
				r.FirstByte(now, a.id, a.req)
			}
			switch how % 3 {
			case 0:
				r.Unassign(now, a.id, a.req)
			case 1:
				r.Done(now, a.id, a.req, turmericshed.DispatchResult{FirstByte: time.Millisecond, Elapsed: time.Second})
			default:
				r.Done(now, a.id, a.req, turmericshed.DispatchResult{Err: turmericshed.NewError(turmericshed.KindDeadline, "late"), Elapsed: time.Second})
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch what := rapid.IntRange(0, 9).Draw(t, "what"); {
			case what < 5:
				req := generation(turmericshed.Tokens(rapid.Int64Range(0, math.MaxInt64).Draw(t, "tokens")))
				req.Prefix = rapid.Uint64Range(0, 3).Draw(t, "prefix")
				req.PrefixTokens = req.PromptTokens / 3
				if s, err := r.Pick(now, req); err == nil {
					running = append(running, attempt{s.ID, req})
				}
			case what < 8 && len(running) > 0:
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				end(running[i], rapid.IntRange(0, 5).Draw(t, "how"))
				running = append(running[:i], running[i+1:]...)
			case what == 8:
				restarted := append([]turmericshed.BackendServer(nil), list...)
				restarted[0].Started = now
				r.SetServers(now, restarted)
			default:
				r.Report(now, turmericshed.LoadReport{
					Server: "s-1", At: now, Running: rapid.IntRange(0, 100).Draw(t, "running"), WorkTime: rapid.Float64Range(0, 1e4).Draw(t, "work"), Relayed: true,
				})
			}
		}
		for i, a := range running {
			end(a, i)
		}
		for _, s := range r.servers {
			assert.Assert(t, s.pace.unread == 0 && s.pace.memory == 0, "%s: %v unread, %v in memory", s.ID, s.pace.unread, s.pace.memory)
			assert.Assert(t, !math.IsNaN(s.pace.usualPace()) && s.pace.usualPace() > 0 && !math.IsInf(s.pace.usualPace(), 0))
		}
	})
}

// Guards against a failure domain that is taken for reachable because another entry VM
// reaches it, and against one that this entry VM reaches and takes for unreachable.
func TestRelayedReportsTellNothingOfThePath(t *testing.T) {
	r := serveRouter(true, serveServers(2, "b"))
	for _, id := range []turmericshed.ServerID{"s-0", "s-1"} {
		req := generation(100)
		req.Excluded = []turmericshed.ServerID{map[turmericshed.ServerID]turmericshed.ServerID{"s-0": "s-1", "s-1": "s-0"}[id]}
		assert.Equal(t, pickServer(t, r, serveEpoch, req), id)
		r.Done(serveEpoch, id, req, turmericshed.DispatchResult{Err: turmericshed.NewError(turmericshed.KindNoBackend, "timeout")})
	}
	assert.Assert(t, r.domains["b"].isUnreachable())
	later := serveEpoch.Add(time.Second)
	r.Report(later, turmericshed.LoadReport{Server: "s-0", At: later, WorkTime: 1, Relayed: true})
	assert.Assert(t, r.domains["b"].isUnreachable())
	// A younger relayed report must not hide it.
	r.Report(later, turmericshed.LoadReport{Server: "s-0", At: later.Add(-time.Millisecond), WorkTime: 1})
	assert.Assert(t, !r.domains["b"].isUnreachable())
}

// BenchmarkPickByServeTime measures a choice among 90 servers.
func BenchmarkPickByServeTime(b *testing.B) {
	r := serveRouter(true, serveServers(30, "a", "b", "c"))
	now := serveEpoch
	for i := uint64(1); b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		req := generation(10_500)
		req.Prefix, req.PrefixTokens = i%60+1, 10_000
		s, err := r.Pick(now, req)
		if err != nil {
			b.Fatal(err)
		}
		r.FirstByte(now, s.ID, req)
		r.Done(now, s.ID, req, turmericshed.DispatchResult{FirstByte: time.Millisecond, Elapsed: time.Second})
	}
}
