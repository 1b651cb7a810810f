package tscalls

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsclaim"
	"turmericshed/standin/tsplatform"
)

// fleet runs several entry VMs in one process that share one service and one store.
type fleet struct {
	t       *testing.T
	store   *tsplatform.Store
	service *service
	vms     []*vm
	// outageAfterWrite starts an outage of the store after the next write.
	outageAfterWrite atomic.Bool
	// mu guards vms and events.
	mu sync.Mutex
	// events holds the last reason of each event.
	events map[turmericshed.EventName]string
}

// Record stores the reason of the event.
func (f *fleet) Record(e turmericshed.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events[e.Name] = e.Reason
}

// reason returns the last reason of an event.
func (f *fleet) reason(name turmericshed.EventName) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.events[name]
}

// hookedStore can start an outage of the store after a write.
type hookedStore struct {
	turmericshed.Store
	fleet *fleet
}

func (s hookedStore) CompareAndSwap(ctx context.Context, w turmericshed.Write) (turmericshed.Version, error) {
	v, err := s.Store.CompareAndSwap(ctx, w)
	if s.fleet.outageAfterWrite.Load() {
		s.fleet.store.ChangeFaults(func(f *tsplatform.Faults) { f.Outage = true })
	}
	return v, err
}

// vm is one entry VM. It implements Members and Peers for its Calls.
type vm struct {
	fleet       *fleet
	self        turmericshed.EntryVM
	calls       *Calls
	path        string
	peerHandler http.Handler
	// gone marks a VM that has terminated, cut one that is isolated from its peers but
	// runs, and silent one that does not answer but is still listed as reachable.
	gone, cut, silent atomic.Bool
}

// service runs calls and counts them by key.
type service struct {
	mu      sync.Mutex
	runs    map[string]int
	answers map[string]turmericshed.Answer
	// refuseCalls makes calls fail without running; loseAnswers makes them run without
	// returning their answer.
	refuseCalls, loseAnswers atomic.Bool
	// longAnswers appends 5,000 bytes to each answer; paddingBytes is the number of
	// further bytes appended.
	longAnswers  atomic.Bool
	paddingBytes atomic.Int64
}

func (s *service) do(key string, body []byte) (turmericshed.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuseCalls.Load() {
		return turmericshed.Answer{}, turmericshed.NewError(turmericshed.KindBackendRefused, "refused")
	}
	s.runs[key]++
	a := turmericshed.Answer{Status: http.StatusOK, Body: fmt.Appendf(body, " run %d", s.runs[key])}
	if s.longAnswers.Load() {
		a.Body = append(a.Body, make([]byte, 5000)...)
	}
	a.Body = append(a.Body, make([]byte, s.paddingBytes.Load())...)
	s.answers[key] = a
	if s.loseAnswers.Load() {
		return turmericshed.Answer{}, turmericshed.NewError(turmericshed.KindCallUnknown, "answer lost")
	}
	return a, nil
}

func (s *service) lookup(_ context.Context, _, key string) (turmericshed.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.answers[key]
	if !ok {
		return a, turmericshed.NewError(turmericshed.KindNotFound, "no such job")
	}
	return a, nil
}

func newFleet(t *testing.T, n int, change func(cfg *Config)) *fleet {
	f := &fleet{t: t, events: map[turmericshed.EventName]string{}, store: tsplatform.NewStore(tsplatform.Options{}), service: &service{runs: map[string]int{}, answers: map[string]turmericshed.Answer{}}}
	for range n {
		f.add(change)
	}
	return f
}

func (f *fleet) add(change func(cfg *Config)) *vm {
	i := len(f.vms)
	v := &vm{fleet: f, self: turmericshed.EntryVM{
		Name: fmt.Sprintf("vm-%d", i), Incarnation: turmericshed.Incarnation(fmt.Sprintf("in-%d", i)),
		PeerAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 1),
	}}
	cfg := Config{Recorder: f, Self: v.self, Store: hookedStore{Store: f.store.As(v.self.Name), fleet: f}, Members: v, Peers: v, Lookup: f.service.lookup}
	if change != nil {
		change(&cfg)
	}
	v.calls = New(cfg)
	v.path, v.peerHandler = v.calls.PeerHandler()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = append(f.vms, v)
	return v
}

func (f *fleet) all() []*vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.vms)
}

func (v *vm) Self() turmericshed.EntryVM { return v.self }

func (v *vm) Reachable() []turmericshed.EntryVM {
	var out []turmericshed.EntryVM
	for _, o := range v.fleet.all() {
		if o != v && !o.gone.Load() && !o.cut.Load() && !v.cut.Load() {
			out = append(out, o.self)
		}
	}
	return out
}

func (v *vm) State(in turmericshed.Incarnation) turmericshed.MemberState {
	for _, o := range v.fleet.all() {
		if o.self.Incarnation == in && o.gone.Load() {
			return turmericshed.MemberGone
		}
	}
	return turmericshed.MemberUnknown
}

func (v *vm) Client(addr netip.AddrPort) (connect.HTTPClient, string) {
	return peerLink{from: v, to: addr}, "http://" + addr.String()
}

// peerLink delivers requests to a peer by calling its handler directly.
type peerLink struct {
	from *vm
	to   netip.AddrPort
}

func (l peerLink) Do(r *http.Request) (*http.Response, error) {
	for _, o := range l.from.fleet.all() {
		if o.self.PeerAddr != l.to || o.gone.Load() || o.cut.Load() || o.silent.Load() || l.from.cut.Load() {
			continue
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		w := httptest.NewRecorder()
		o.peerHandler.ServeHTTP(w, r)
		return w.Result(), nil
	}
	return nil, errors.New("no route")
}

func call(key string) turmericshed.Call {
	return turmericshed.Call{Account: "corner-1", Profile: "bookings", Service: "bookings", Key: key, Digest: "digest-a", Request: "req"}
}

// place claims, dispatches and sends a call as an entry VM does, and returns the answer.
func (v *vm) place(ctx context.Context, c turmericshed.Call) (turmericshed.Answer, error) {
	d, err := v.calls.Claim(ctx, c)
	if err != nil {
		return turmericshed.Answer{}, err
	}
	switch d.Verdict {
	case turmericshed.ClaimReplay:
		return d.Answer, nil
	case turmericshed.ClaimUnknown:
		return turmericshed.Answer{}, turmericshed.NewError(turmericshed.KindCallUnknown, "may have run")
	}
	if err := v.calls.Dispatch(d.Claim); err != nil {
		return turmericshed.Answer{}, err
	}
	return v.send(ctx, c, d.Claim)
}

// send sends a dispatched call and settles its claim.
func (v *vm) send(ctx context.Context, c turmericshed.Call, claim turmericshed.ClaimID) (turmericshed.Answer, error) {
	a, err := v.fleet.service.do(tsclaim.ServiceKey(c.Account, c.Key), []byte(c.Key))
	switch turmericshed.KindOf(err) {
	case turmericshed.KindNone:
		started := time.Now()
		_ = v.calls.Complete(ctx, claim, a)
		assert.Equal(v.fleet.t, time.Since(started), time.Duration(0), "Complete must not wait for the write of the answer")
		return a, nil
	case turmericshed.KindBackendRefused:
		_ = v.calls.Abandon(ctx, claim)
		return a, err
	default:
		_ = v.calls.MarkInDoubt(ctx, claim, err.Error())
		return a, err
	}
}

func (f *fleet) runs(key string) int {
	f.service.mu.Lock()
	defer f.service.mu.Unlock()
	return f.service.runs[tsclaim.ServiceKey("corner-1", key)]
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// runWithFleet runs f with a fleet of n entry VMs under fake time, and lets background
// work finish afterwards.
func runWithFleet(t *testing.T, name string, n int, f func(t *testing.T, f *fleet)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f(t, newFleet(t, n, nil))
			time.Sleep(5 * time.Minute)
		})
	})
}

// assertRuns checks how many times the service ran a call.
func (f *fleet) assertRuns(key string, want int) {
	f.t.Helper()
	assert.Equal(f.t, f.runs(key), want, "runs of call %s", key)
}

// assertReplayed checks that every VM that is not gone returns the answer of the first
// run, and that there was no second run.
func (f *fleet) assertReplayed(key string) {
	f.t.Helper()
	for _, v := range f.vms {
		if v.gone.Load() {
			continue
		}
		a, err := v.place(withTimeout(f.t, time.Second), call(key))
		assert.NilError(f.t, err)
		assert.Equal(f.t, strings.TrimRight(string(a.Body), "\x00"), key+" run 1")
	}
	f.assertRuns(key, 1)
}

// assertRefused checks that the error has the kind and outcome.
func assertRefused(t *testing.T, err error, kind turmericshed.Kind, outcome turmericshed.Outcome) {
	t.Helper()
	assert.Equal(t, turmericshed.KindOf(err), kind, "%v", err)
	assert.Equal(t, turmericshed.OutcomeOf(err), outcome, "%v", err)
}
