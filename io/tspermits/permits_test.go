package tspermits_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/core/tslimit"
	"turmericshed/io/tspermits"
)

var server = turmericshed.BackendServer{ID: "s", Started: time.UnixMilli(1_800_000_000_000)}

// fleet is a set of entry VMs that call each other without a network.
type fleet struct {
	mu  sync.Mutex
	vms []*vm
	// delay holds the delay of calls to an entry VM, by name.
	delay map[string]time.Duration
}

type vm struct {
	f       *fleet
	self    turmericshed.EntryVM
	permits *tspermits.Permits
	mux     *http.ServeMux
	log     *bytes.Buffer
	calls   int
}

func newFleet(n int) *fleet {
	f := &fleet{delay: map[string]time.Duration{}}
	for i := range n {
		v := &vm{f: f, mux: http.NewServeMux(), log: &bytes.Buffer{}, self: turmericshed.EntryVM{
			Name: fmt.Sprint("vm-", i), FailureDomain: "a", PeerAddr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)),
		}}
		board := &tsboard.Board{}
		board.Servers.Write([]turmericshed.BackendServer{server})
		v.permits = tspermits.New(tspermits.Config{
			Board: board, Members: v, Count: func() int { return n }, Peers: v, Log: slog.New(slog.NewTextHandler(v.log, nil)),
		})
		v.mux.Handle(v.permits.Handler())
		f.vms = append(f.vms, v)
	}
	return f
}

// nonHolder returns an entry VM that hands out no part of the server's limit.
func (f *fleet) nonHolder() *vm {
	holders := map[string]bool{}
	for _, h := range f.holders() {
		holders[h.Name] = true
	}
	for _, v := range f.vms {
		if !holders[v.self.Name] {
			return v
		}
	}
	return nil
}

func (f *fleet) holders() []turmericshed.EntryVM {
	var all []turmericshed.EntryVM
	for _, v := range f.vms {
		all = append(all, v.self)
	}
	return tslimit.Holders(all, server.ID)
}

func (v *vm) Self() turmericshed.EntryVM { return v.self }

func (v *vm) Reachable() []turmericshed.EntryVM {
	var list []turmericshed.EntryVM
	for _, o := range v.f.vms {
		if o != v {
			list = append(list, o.self)
		}
	}
	return list
}

func (*vm) State(turmericshed.Incarnation) turmericshed.MemberState { return turmericshed.MemberAlive }

func (v *vm) Client(addr netip.AddrPort) (connect.HTTPClient, string) {
	return v, "http://" + addr.String()
}

// Do delivers a call to another entry VM.
func (v *vm) Do(r *http.Request) (*http.Response, error) {
	v.f.mu.Lock()
	to := v.f.vms[netip.MustParseAddrPort(r.URL.Host).Port()-1]
	delay := v.f.delay[to.self.Name]
	v.calls++
	v.f.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	rec := httptest.NewRecorder()
	to.mux.ServeHTTP(rec, r)
	return rec.Result(), nil
}

// delayHolders delays the answers of all holders by d.
func (f *fleet) delayHolders(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.holders() {
		f.delay[h.Name] = d
	}
}

// replyWithLimit returns a signed answer that announces the limit; 0 announces none.
func replyWithLimit(perSecond float64) turmericshed.BackendReply {
	return turmericshed.BackendReply{Signed: true, Limit: turmericshed.RateLimit{PerSecond: perSecond}}
}

func (v *vm) answered(r turmericshed.BackendReply) { v.permits.Answered(server, time.Now(), r) }

// countAcquired calls Acquire repeatedly for d and returns how often it returned true.
func (v *vm) countAcquired(d time.Duration) (n int) {
	for began := time.Now(); time.Since(began) < d; time.Sleep(5 * time.Millisecond) {
		if v.permits.Acquire(context.Background(), server) {
			n++
		}
	}
	return n
}

// assertLimited checks whether the entry VM has a limit for the server.
func assertLimited(t *testing.T, v *vm, want bool) {
	t.Helper()
	assert.Equal(t, len(v.permits.ExportLimits()) > 0 && v.permits.ExportLimits()[0].PerSecond > 0, want)
}

func TestAnswered(t *testing.T) {
	malformed := turmericshed.BackendReply{Signed: true, Limit: turmericshed.RateLimit{Malformed: `"x"`}}
	for name, c := range map[string]struct {
		replies []turmericshed.BackendReply
		want    bool
	}{
		"an answer with a limit sets it":         {replies: []turmericshed.BackendReply{replyWithLimit(2)}, want: true},
		"an answer without a limit removes it":   {replies: []turmericshed.BackendReply{replyWithLimit(2), replyWithLimit(0)}},
		"a refusal without a limit keeps it":     {replies: []turmericshed.BackendReply{replyWithLimit(2), {NotRun: true}}, want: true},
		"the answer of another server keeps it":  {replies: []turmericshed.BackendReply{replyWithLimit(2), {Signed: true, Misdirected: true}}, want: true},
		"the limit of another server is ignored": {replies: []turmericshed.BackendReply{{Misdirected: true, Limit: turmericshed.RateLimit{PerSecond: 2}}}},
		"a malformed limit keeps the last one":   {replies: []turmericshed.BackendReply{replyWithLimit(2), malformed}, want: true},
		"a malformed limit alone sets none":      {replies: []turmericshed.BackendReply{malformed}},
	} {
		t.Run(name, func(t *testing.T) {
			v := newFleet(1).vms[0]
			for _, r := range c.replies {
				v.answered(r)
				time.Sleep(time.Millisecond)
			}
			assertLimited(t, v, c.want)
		})
	}
	t.Run("a malformed limit is logged as an error once", func(t *testing.T) {
		v := newFleet(1).vms[0]
		for range 5 {
			v.answered(malformed)
		}
		assert.Equal(t, strings.Count(v.log.String(), "level=ERROR"), 1)
	})
}

func TestAcquire(t *testing.T) {
	t.Run("servers without a limit need no permit", func(t *testing.T) {
		v := newFleet(3).vms[0]
		assert.Assert(t, v.permits.Acquire(context.Background(), server))
		assert.Equal(t, v.calls, 0)
	})
	t.Run("holders grant permits to other entry VMs", func(t *testing.T) {
		v := newFleet(9).nonHolder()
		v.answered(replyWithLimit(40))
		n := v.countAcquired(time.Second)
		assert.Assert(t, n >= 16 && n <= 65, "%d", n)
	})
	t.Run("a silent holder delays one request briefly and later ones not at all", func(t *testing.T) {
		f := newFleet(9)
		v := f.nonHolder()
		v.answered(replyWithLimit(1))
		f.delayHolders(time.Minute)
		began := time.Now()
		assert.Assert(t, !v.permits.Acquire(context.Background(), server))
		assert.Assert(t, time.Since(began) < time.Second)
		assert.Equal(t, len(v.permits.Closed(time.Now())), 1)
	})
	t.Run("a permit that arrives late serves a later request", func(t *testing.T) {
		f := newFleet(9)
		v := f.nonHolder()
		v.answered(replyWithLimit(400))
		f.delayHolders(400 * time.Millisecond)
		assert.Assert(t, v.countAcquired(3*time.Second) > 0)
	})
	t.Run("an entry VM that reaches no holder uses at most its even share", func(t *testing.T) {
		f := newFleet(9)
		v := f.nonHolder()
		v.answered(replyWithLimit(90))
		f.delayHolders(time.Minute)
		n := v.countAcquired(6 * time.Second)
		assert.Assert(t, n > 0 && n <= 9*6+5, "%d", n)
	})
	t.Run("holders that received the removal of a limit delay no request", func(t *testing.T) {
		f := newFleet(9)
		v := f.nonHolder()
		v.answered(replyWithLimit(0.01))
		time.Sleep(time.Millisecond)
		for _, h := range f.vms {
			if h != v {
				h.answered(replyWithLimit(0.01))
				time.Sleep(time.Millisecond)
				h.answered(replyWithLimit(0))
			}
		}
		assert.Assert(t, v.countAcquired(time.Second) > 0)
	})
}

func TestTell(t *testing.T) {
	f := newFleet(2)
	a, b := f.vms[0], f.vms[1]
	a.answered(replyWithLimit(2))
	b.permits.MergeLimits("vm-0", time.Now(), a.permits.ExportLimits())
	assertLimited(t, b, true)
	t.Run("the removal of a limit is sent to the others", func(t *testing.T) {
		time.Sleep(time.Millisecond)
		a.answered(replyWithLimit(0))
		time.Sleep(time.Millisecond)
		began := time.Now()
		b.permits.MergeLimits("vm-0", began, a.permits.ExportLimits())
		assertLimited(t, b, false)
	})
	t.Run("an outdated notice does not restore a removed limit", func(t *testing.T) {
		old := a.permits.ExportLimits()
		old[0].PerSecond, old[0].HeardAgoUs = 2, 60_000_000
		b.permits.MergeLimits("vm-0", time.Now(), old)
		assertLimited(t, b, false)
	})
}

// Guards against losing the permits of requests that are not sent, and against waiting for
// a permit after the caller has canceled its request.
func TestUnusedPermitsAreReturned(t *testing.T) {
	t.Run("returned permits serve other entry VMs", func(t *testing.T) {
		v := newFleet(9).nonHolder()
		v.answered(replyWithLimit(2))
		n := 0
		for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(5 * time.Millisecond) {
			if v.permits.Acquire(t.Context(), server) {
				n++
				v.permits.Return(server)
			}
		}
		// Without Return, each permit would serve only one request.
		assert.Assert(t, n > 50, "%d", n)
	})
	t.Run("a request does not wait for permits to be returned", func(t *testing.T) {
		f := newFleet(9)
		v := f.nonHolder()
		v.answered(replyWithLimit(1))
		f.delayHolders(time.Minute)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		began := time.Now()
		assert.Assert(t, !v.permits.Acquire(ctx, server))
		assert.Assert(t, time.Since(began) < 100*time.Millisecond)
	})
}
