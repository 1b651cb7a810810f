package tsrouting_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/io/tsbackend"
	"turmericshed/io/tsrouting"
)

var chat = turmericshed.RouteRequest{Work: turmericshed.WorkAssistant, Model: "m"}

func servers(n int) []turmericshed.BackendServer {
	var list []turmericshed.BackendServer
	for i := range n {
		list = append(list, turmericshed.BackendServer{
			ID: turmericshed.ServerID(fmt.Sprintf("s-%d", i)), FailureDomain: "a", Slots: 8,
			Addr: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)),
			Work: turmericshed.WorkAssistant, Models: []turmericshed.Model{"m"},
		})
	}
	return list
}

// fakeLoads counts polls and reports one server as leaving.
type fakeLoads struct {
	mu      sync.Mutex
	polls   int
	leaving turmericshed.ServerID
}

func (f *fakeLoads) Load(_ context.Context, s turmericshed.BackendServer) (turmericshed.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls++
	return turmericshed.LoadReport{At: time.Now(), Leaving: s.ID == f.leaving}, nil
}

// runPool runs f with a pool and its controllers in a synctest bubble.
func runPool(t *testing.T, n int, f func(board *tsboard.Board, loads *fakeLoads, p *tsrouting.Pool)) {
	synctest.Test(t, func(t *testing.T) {
		board, loads := &tsboard.Board{}, &fakeLoads{}
		board.Servers.Write(servers(n))
		p := tsrouting.NewPool(tsrouting.PoolConfig{FailureDomain: "a", Board: board, LoadReader: loads, Rand: rand.New(rand.NewPCG(1, 1))})
		ctx, cancel := context.WithCancel(t.Context())
		for _, c := range p.Controllers() {
			go func() { _ = c.Serve(ctx) }()
		}
		synctest.Wait()
		f(board, loads, p)
		cancel()
		synctest.Wait()
	})
}

// assertNoWork picks servers for one second and fails if id is among them.
func assertNoWork(t *testing.T, p *tsrouting.Pool, id turmericshed.ServerID) {
	t.Helper()
	for range 100 {
		s, err := p.Pick(t.Context(), time.Now(), chat)
		assert.NilError(t, err)
		assert.Assert(t, s.ID != id, "%s was picked", id)
		p.Done(time.Now(), s.ID, chat, turmericshed.DispatchResult{})
		time.Sleep(10 * time.Millisecond)
	}
}

func TestPool(t *testing.T) {
	t.Run("a server that reports leaving gets no work 2 s later", func(t *testing.T) {
		runPool(t, 12, func(_ *tsboard.Board, loads *fakeLoads, p *tsrouting.Pool) {
			loads.mu.Lock()
			loads.leaving = "s-3"
			loads.mu.Unlock()
			time.Sleep(2 * time.Second)
			assertNoWork(t, p, "s-3")
		})
	})
	t.Run("a server that refuses as leaving gets no more work and is posted", func(t *testing.T) {
		runPool(t, 3, func(board *tsboard.Board, _ *fakeLoads, p *tsrouting.Pool) {
			s, err := p.Pick(t.Context(), time.Now(), chat)
			assert.NilError(t, err)
			p.Done(time.Now(), s.ID, chat, turmericshed.DispatchResult{
				Err: turmericshed.WrapError(turmericshed.KindBackendRefused, tsbackend.ErrLeaving, "x"),
			})
			assertNoWork(t, p, s.ID)
			for _, b := range board.Servers.Read() {
				assert.Equal(t, b.Leaving, b.ID == s.ID)
			}
		})
	})
	t.Run("a server listed as leaving gets no work", func(t *testing.T) {
		runPool(t, 3, func(board *tsboard.Board, _ *fakeLoads, p *tsrouting.Pool) {
			list := servers(3)
			list[1].Leaving = true
			board.Servers.Write(list)
			synctest.Wait()
			assertNoWork(t, p, "s-1")
		})
	})
	t.Run("a report received from a peer is applied", func(t *testing.T) {
		runPool(t, 1, func(board *tsboard.Board, _ *fakeLoads, p *tsrouting.Pool) {
			board.Loads.Write(map[turmericshed.ServerID]turmericshed.LoadReport{"s-0": {Server: "s-0", At: time.Now().Add(time.Second), Running: 4}})
			synctest.Wait()
			pressure, slots := p.Load(time.Now(), turmericshed.WorkAssistant)
			assert.Equal(t, pressure, 0.5)
			assert.Equal(t, slots, 8)
		})
	})
	t.Run("readings are bounded, more so with many servers", func(t *testing.T) {
		for n, bound := range map[int]int{12: 201, 1200: 41} {
			runPool(t, n, func(_ *tsboard.Board, loads *fakeLoads, _ *tsrouting.Pool) {
				time.Sleep(10 * time.Second)
				loads.mu.Lock()
				defer loads.mu.Unlock()
				assert.Assert(t, loads.polls <= bound, "%d polls of %d servers in 10 s", loads.polls, n)
			})
		}
	})
}

// fakeLimits grants each server in permits that many permits. Other servers need
// none.
type fakeLimits struct {
	permits      map[turmericshed.ServerID]int
	closedUntil  time.Time
	acquireCalls int
}

func (*fakeLimits) Answered(turmericshed.BackendServer, time.Time, turmericshed.BackendReply) {}

func (*fakeLimits) Return(turmericshed.BackendServer) {}

func (l *fakeLimits) Acquire(_ context.Context, s turmericshed.BackendServer) bool {
	l.acquireCalls++
	n, limited := l.permits[s.ID]
	if limited && n > 0 {
		l.permits[s.ID] = n - 1
	}
	return !limited || n > 0
}

func (l *fakeLimits) Closed(now time.Time) map[turmericshed.ServerID]time.Time {
	closed := map[turmericshed.ServerID]time.Time{}
	for id, n := range l.permits {
		if n == 0 && now.Before(l.closedUntil) {
			closed[id] = l.closedUntil
		}
	}
	return closed
}

func TestServerLimits(t *testing.T) {
	now := time.Now()
	lookup := turmericshed.RouteRequest{Work: turmericshed.WorkService, Service: "desk"}
	newPool := func(l *fakeLimits) *tsrouting.Pool {
		board := &tsboard.Board{}
		var list []turmericshed.BackendServer
		for _, id := range []turmericshed.ServerID{"a", "b"} {
			list = append(list, turmericshed.BackendServer{ID: id, Work: turmericshed.WorkService, Service: "desk", Slots: 8})
		}
		board.Servers.Write(list)
		return tsrouting.NewPool(tsrouting.PoolConfig{Board: board, Limits: l})
	}
	t.Run("a request without a permit for a server goes to another", func(t *testing.T) {
		p := newPool(&fakeLimits{permits: map[turmericshed.ServerID]int{"a": 3}})
		got := map[turmericshed.ServerID]int{}
		for range 40 {
			s, err := p.Pick(t.Context(), now, lookup)
			assert.NilError(t, err)
			got[s.ID]++
			p.Done(now, s.ID, lookup, turmericshed.DispatchResult{FirstByte: 1, Elapsed: 1})
		}
		assert.Equal(t, got["a"], 3)
	})
	t.Run("a request is refused with a jittered retry time when no server has a permit", func(t *testing.T) {
		p := newPool(&fakeLimits{permits: map[turmericshed.ServerID]int{"a": 0, "b": 0}, closedUntil: now.Add(2 * time.Second)})
		least, most := time.Hour, time.Duration(0)
		for range 50 {
			_, err := p.Pick(t.Context(), now, lookup)
			assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindOverloaded)
			after := turmericshed.RetryAfterOf(err)
			least, most = min(least, after), max(most, after)
		}
		assert.Assert(t, least >= 2*time.Second && most <= 4*time.Second && most-least > time.Second, "%s to %s", least, most)
	})
	t.Run("a request tries to get a permit once for each server", func(t *testing.T) {
		l := &fakeLimits{permits: map[turmericshed.ServerID]int{"a": 0, "b": 0}}
		_, err := newPool(l).Pick(t.Context(), now, lookup)
		assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindOverloaded)
		assert.Equal(t, l.acquireCalls, 2)
	})
	t.Run("a server that was not sent to has no load", func(t *testing.T) {
		p := newPool(&fakeLimits{permits: map[turmericshed.ServerID]int{"a": 0, "b": 0}})
		_, err := p.Pick(t.Context(), now, lookup)
		assert.Assert(t, err != nil)
		pressure, _ := p.Load(now, turmericshed.WorkService)
		assert.Equal(t, pressure, 0.0)
	})
}

// slowLimits grants every permit, and calls whileAcquiring before each.
type slowLimits struct {
	fakeLimits
	whileAcquiring func()
}

func (l *slowLimits) Acquire(context.Context, turmericshed.BackendServer) bool {
	l.whileAcquiring()
	return true
}

// Guards against picking a server that leaves while Pick waits for its permit.
func TestPermitForAServerThatLeft(t *testing.T) {
	now := time.Now()
	for name, leave := range map[string]func(p *tsrouting.Pool, left turmericshed.BackendServer){
		"is draining": func(p *tsrouting.Pool, left turmericshed.BackendServer) {
			left.Leaving = true
			p.SetServers(now, []turmericshed.BackendServer{left})
		},
		"is removed":                 func(p *tsrouting.Pool, _ turmericshed.BackendServer) { p.SetServers(now, nil) },
		"reports that it is leaving": func(p *tsrouting.Pool, left turmericshed.BackendServer) { p.SetLeaving(now, left.ID) },
	} {
		t.Run(name, func(t *testing.T) {
			board, l := &tsboard.Board{}, &slowLimits{}
			list := servers(1)
			board.Servers.Write(list)
			p := tsrouting.NewPool(tsrouting.PoolConfig{Board: board, Limits: l})
			l.whileAcquiring = func() { leave(p, list[0]) }
			_, err := p.Pick(t.Context(), now, chat)
			assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindNoBackend)
		})
	}
}

// waitingLimits makes each Acquire wait until a timer fires or the caller leaves,
// and grants no permit.
type waitingLimits struct {
	fakeLimits
	returned int
}

func (l *waitingLimits) Acquire(ctx context.Context, _ turmericshed.BackendServer) bool {
	l.acquireCalls++
	select {
	case <-time.After(150 * time.Millisecond):
	case <-ctx.Done():
	}
	return false
}

func (l *waitingLimits) Return(turmericshed.BackendServer) { l.returned++ }

// Guards against a request that waits for the permits of one server after another
// without a bound, or for a caller that has disconnected.
func TestPermitWaitIsBounded(t *testing.T) {
	pool := func(l turmericshed.ServerLimits) *tsrouting.Pool {
		board := &tsboard.Board{}
		board.Servers.Write(servers(20))
		return tsrouting.NewPool(tsrouting.PoolConfig{Board: board, Limits: l})
	}
	t.Run("the wait is bounded over all servers together", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			began, l := time.Now(), &waitingLimits{}
			_, err := pool(l).Pick(t.Context(), began, chat)
			assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindOverloaded)
			assert.Assert(t, time.Since(began) <= 300*time.Millisecond, "%s", time.Since(began))
			assert.Equal(t, l.acquireCalls, 20)
		})
	})
	t.Run("the wait ends when the caller disconnects", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			began, l := time.Now(), &waitingLimits{}
			_, err := pool(l).Pick(ctx, began, chat)
			assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindCanceled)
			assert.Equal(t, time.Since(began), 50*time.Millisecond)
			assert.Equal(t, l.acquireCalls, 1)
		})
	})
	t.Run("the permit is returned when the request is not sent", func(t *testing.T) {
		l := &waitingLimits{}
		pool(l).RequestNotSent(servers(1)[0])
		assert.Equal(t, l.returned, 1)
	})
}
