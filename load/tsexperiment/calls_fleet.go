package tsexperiment

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tsclaim"
	"turmericshed/io/tscalls"
	"turmericshed/standin/tsplatform"
)

const (
	callDomains      = 3
	callVMsPerDomain = 3
	// goneDelay is how long after its death or pause a VM is considered gone.
	goneDelay = time.Second
	// serviceDelay is how long the service takes for one call.
	serviceDelay = 20 * time.Millisecond
	// callStoreDelay is how long the key-value service takes for one call.
	callStoreDelay = 3 * time.Millisecond
	// The rate limits of the key-value service.
	storeWritesPerSecond = 400
	storeReadsPerSecond  = 2000
)

// callFleet is a fleet of entry VMs in one process that all call one service.
type callFleet struct {
	store   *tsplatform.Store
	service *callService
	system  string

	mu      sync.Mutex
	vms     []*callVM
	started int
}

// callVM is one entry VM, reduced to the parts that handle claimed calls.
type callVM struct {
	fleet   *callFleet
	self    turmericshed.EntryVM
	claims  turmericshed.Claims
	calls   *tscalls.Calls
	handler http.Handler
	// diedAt and pausedAt are Unix times in nanoseconds; 0 means that the VM is not dead or not
	// paused.
	diedAt, pausedAt atomic.Int64
}

func newCallFleet(system string, limited bool) *callFleet {
	o := tsplatform.Options{}
	if limited {
		o.WritesPerSecond, o.ReadsPerSecond = storeWritesPerSecond, storeReadsPerSecond
	}
	f := &callFleet{store: tsplatform.NewStore(o), service: newCallService(), system: system}
	f.store.SetFaults(tsplatform.Faults{Delay: turmericshed.Duration(callStoreDelay)})
	for i := range callDomains * callVMsPerDomain {
		f.startVM(i % callDomains)
	}
	return f
}

// startVM starts an entry VM in a failure domain.
func (f *callFleet) startVM(domain int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	v := &callVM{fleet: f, self: turmericshed.EntryVM{
		Name: fmt.Sprint("vm-", f.started), Incarnation: turmericshed.Incarnation(fmt.Sprint("in-", f.started)),
		FailureDomain: turmericshed.FailureDomain(fmt.Sprint("fd-", domain)),
		PeerAddr:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(f.started >> 8), byte(f.started)}), 1),
	}}
	store := vmStore{Store: f.store.As(v.self.Name), vm: v}
	switch f.system {
	case systemMemory:
		v.claims = newMemoryClaims()
	case systemPerKey:
		v.claims = newPerKeyClaims(store, v.self.Incarnation)
	default:
		v.calls = tscalls.New(tscalls.Config{Self: v.self, Store: store, Members: v, Peers: v, Lookup: f.service.lookup})
		v.claims = v.calls
		_, v.handler = v.calls.PeerHandler()
	}
	f.vms = append(f.vms, v)
}

// all returns the VMs, including dead ones.
func (f *callFleet) all() []*callVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.vms)
}

// pickLive returns a random VM that is not dead, as the load balancer does.
func (f *callFleet) pickLive(r *rand.Rand) *callVM {
	var up []*callVM
	for _, v := range f.all() {
		if v.diedAt.Load() == 0 {
			up = append(up, v)
		}
	}
	return up[r.IntN(len(up))]
}

// waitWhilePaused blocks while the VM is paused. It returns errVMTerminated if the VM is dead.
func (v *callVM) waitWhilePaused() error {
	for v.pausedAt.Load() != 0 && v.diedAt.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if v.diedAt.Load() != 0 {
		return errVMTerminated
	}
	return nil
}

var errVMTerminated = errors.New("entry VM has terminated")

// Self returns the VM. callVM implements Members and Peers for its Calls.
func (v *callVM) Self() turmericshed.EntryVM { return v.self }

// Reachable returns the other VMs that are not considered gone.
func (v *callVM) Reachable() []turmericshed.EntryVM {
	var out []turmericshed.EntryVM
	for _, o := range v.fleet.all() {
		if o != v && !o.isConsideredGone() {
			out = append(out, o.self)
		}
	}
	return out
}

// isConsideredGone reports whether the VM has been dead or paused for longer than goneDelay.
func (v *callVM) isConsideredGone() bool {
	for _, at := range []int64{v.diedAt.Load(), v.pausedAt.Load()} {
		if at != 0 && time.Since(time.Unix(0, at)) > goneDelay {
			return true
		}
	}
	return false
}

// State returns MemberGone for VMs that have been dead or paused for longer than goneDelay. For
// paused VMs this is a false detection, which claims must tolerate.
func (v *callVM) State(in turmericshed.Incarnation) turmericshed.MemberState {
	for _, o := range v.fleet.all() {
		if o.self.Incarnation == in && o.isConsideredGone() {
			return turmericshed.MemberGone
		}
	}
	return turmericshed.MemberAlive
}

// Client returns a link to the VM at addr.
func (v *callVM) Client(addr netip.AddrPort) (connect.HTTPClient, string) {
	return vmLink{from: v, to: addr}, "http://" + addr.String()
}

type vmLink struct {
	from *callVM
	to   netip.AddrPort
}

// Do calls the handler of the VM at the other end.
func (l vmLink) Do(r *http.Request) (*http.Response, error) {
	if err := l.from.waitWhilePaused(); err != nil {
		return nil, err
	}
	for _, o := range l.from.fleet.all() {
		if o.self.PeerAddr != l.to || o.handler == nil {
			continue
		}
		for o.pausedAt.Load() != 0 && o.diedAt.Load() == 0 {
			if r.Context().Err() != nil {
				return nil, r.Context().Err()
			}
			time.Sleep(time.Millisecond)
		}
		if o.diedAt.Load() != 0 {
			return nil, errVMTerminated
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		w := httptest.NewRecorder()
		o.handler.ServeHTTP(w, r)
		return w.Result(), nil
	}
	return nil, errors.New("no entry VM at this peer address")
}

// vmStore is one VM's access to the store: it blocks while the VM is paused and fails once the VM
// is dead.
type vmStore struct {
	turmericshed.Store
	vm *callVM
}

// Get reads a key.
func (s vmStore) Get(ctx context.Context, key string) (turmericshed.Item, error) {
	if err := s.vm.waitWhilePaused(); err != nil {
		return turmericshed.Item{}, turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "read")
	}
	return s.Store.Get(ctx, key)
}

// CompareAndSwap writes a key.
func (s vmStore) CompareAndSwap(ctx context.Context, w turmericshed.Write) (turmericshed.Version, error) {
	if err := s.vm.waitWhilePaused(); err != nil {
		return 0, turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "write")
	}
	return s.Store.CompareAndSwap(ctx, w)
}

// callService is a service without deduplication that records which calls it ran.
type callService struct {
	mu               sync.Mutex
	runCount         map[string]int
	executedAttempts map[string]bool
	answers          map[string]turmericshed.Answer
	// One in lossInterval calls loses its answer; 0 loses none.
	lossInterval int
	callCount    int
}

func newCallService() *callService {
	return &callService{runCount: map[string]int{}, executedAttempts: map[string]bool{}, answers: map[string]turmericshed.Answer{}}
}

// execute runs a call; attempt identifies the attempt that sent it.
func (s *callService) execute(key, attempt string) (turmericshed.Answer, error) {
	time.Sleep(serviceDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callCount++
	s.runCount[key]++
	s.executedAttempts[attempt] = true
	a := turmericshed.Answer{Status: http.StatusCreated, ContentType: "application/json", Body: fmt.Appendf(nil, `{"job":%q,"state":"booked"}`, key)}
	s.answers[key] = a
	if s.lossInterval > 0 && s.callCount%s.lossInterval == 0 {
		return turmericshed.Answer{}, turmericshed.NewError(turmericshed.KindCallUnknown, "the answer was lost")
	}
	return a, nil
}

func (s *callService) lookup(_ context.Context, _, key string) (turmericshed.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.answers[key]
	if !ok {
		return a, turmericshed.NewError(turmericshed.KindNotFound, "no such job")
	}
	return a, nil
}

// serviceKey returns the key under which the service records a call.
func serviceKey(key string) string { return tsclaim.ServiceKey(callAccount, key) }
