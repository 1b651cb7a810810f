package tsquarantine

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/standin/tsplatform"
)

const (
	poison   = turmericshed.Digest("poison")
	innocent = turmericshed.Digest("innocent")
)

// vm is one entry VM. It implements Members and Peers for its guard.
type vm struct {
	all     *[]*vm
	self    turmericshed.EntryVM
	guard   *Guard
	handler http.Handler
	// isUnreachable makes calls to the VM fail while its peers still consider it
	// reachable.
	isUnreachable atomic.Bool
}

func (v *vm) Self() turmericshed.EntryVM { return v.self }

func (v *vm) Reachable() []turmericshed.EntryVM {
	var out []turmericshed.EntryVM
	for _, o := range *v.all {
		if o != v {
			out = append(out, o.self)
		}
	}
	return out
}

func (v *vm) State(turmericshed.Incarnation) turmericshed.MemberState {
	return turmericshed.MemberAlive
}

func (v *vm) Client(addr netip.AddrPort) (connect.HTTPClient, string) {
	return handlerClient{all: v.all, to: addr}, "http://" + addr.String()
}

// handlerClient is an HTTP client that calls the handler of the VM at an address.
type handlerClient struct {
	all *[]*vm
	to  netip.AddrPort
}

func (c handlerClient) Do(r *http.Request) (*http.Response, error) {
	for _, o := range *c.all {
		if o.self.PeerAddr == c.to && !o.isUnreachable.Load() {
			w := httptest.NewRecorder()
			o.handler.ServeHTTP(w, r)
			return w.Result(), nil
		}
	}
	return nil, errors.New("no route")
}

// newVMs returns n entry VMs in each of the failure domains.
func newVMs(store *tsplatform.Store, n int, domains ...turmericshed.FailureDomain) []*vm {
	all := &[]*vm{}
	for _, fd := range domains {
		for range n {
			i := len(*all)
			v := &vm{all: all, self: turmericshed.EntryVM{
				Incarnation: turmericshed.Incarnation(fmt.Sprint("in-", i)), FailureDomain: fd,
				PeerAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 1),
			}}
			v.guard = New(Config{Self: v.self, Store: store, Members: v, Peers: v})
			_, v.handler = v.guard.Handler()
			*all = append(*all, v)
		}
	}
	return *all
}

// attempt runs d for a time on a server, which poison crashes at the end.
func (v *vm) attempt(d turmericshed.Digest, s turmericshed.ServerID, duration time.Duration) error {
	if err := v.guard.Started(time.Now(), d, s); err != nil {
		return err
	}
	time.Sleep(duration)
	if d != poison {
		v.guard.Survived(time.Now(), d)
	}
	v.guard.Ended(time.Now(), d, s, d == poison)
	return nil
}

func assertRefused(t *testing.T, err error, kind turmericshed.Kind) {
	t.Helper()
	assert.Equal(t, turmericshed.KindOf(err), kind, "%v", err)
	assert.Equal(t, turmericshed.OutcomeOf(err), turmericshed.OutcomeNotRun)
}

// runSynctest runs a subtest in a synctest bubble, so that time is simulated.
func runSynctest(t *testing.T, name string, f func(t *testing.T)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f(t)
			synctest.Wait()
		})
	})
}

func serverID(i int) turmericshed.ServerID { return turmericshed.ServerID(fmt.Sprint("s", i)) }

// Guards against a request that crashes more than two servers: when its retries
// come through other entry VMs or at the same moment, when the permit cannot be
// requested, and when the store is unreachable. Requests that only shared a server
// with it must be cleared.
func TestGuard(t *testing.T) {
	runSynctest(t, "new attempts through every VM crash two servers", func(t *testing.T) {
		vms := newVMs(tsplatform.NewStore(tsplatform.Options{}), 4, "a")
		crashes := 0
		for i := range 20 {
			if vms[i%4].attempt(poison, serverID(i), 5*time.Second) == nil {
				crashes++
			}
		}
		assert.Equal(t, crashes, 2)
		assertRefused(t, vms[2].attempt(poison, "s", 0), turmericshed.KindQuarantined)
	})
	runSynctest(t, "suspect requests at all VMs at the same moment run one at a time", func(t *testing.T) {
		vms := newVMs(tsplatform.NewStore(tsplatform.Options{}), 4, "a")
		assert.NilError(t, vms[0].attempt(poison, "s0", 5*time.Second))
		var crashes atomic.Int32
		var wg sync.WaitGroup
		for i, v := range vms {
			wg.Go(func() {
				if v.attempt(poison, serverID(i+1), 5*time.Second) == nil {
					crashes.Add(1)
				}
			})
		}
		wg.Wait()
		assert.Equal(t, crashes.Load(), int32(1))
	})
	runSynctest(t, "a suspect request does not run while the coordinator is unreachable", func(t *testing.T) {
		vms := newVMs(tsplatform.NewStore(tsplatform.Options{}), 4, "a")
		assert.NilError(t, vms[0].attempt(poison, "s0", 5*time.Second))
		coordinator, _ := vms[0].guard.coordinator(permitRole)
		for _, v := range vms {
			v.isUnreachable.Store(v.self.Incarnation == coordinator.Incarnation)
		}
		for _, v := range vms {
			if !v.isUnreachable.Load() {
				assertRefused(t, v.attempt(poison, "s1", 0), turmericshed.KindOverloaded)
			}
		}
	})
	runSynctest(t, "a harmless request is cleared at every VM", func(t *testing.T) {
		vms := newVMs(tsplatform.NewStore(tsplatform.Options{}), 3, "a")
		assert.NilError(t, vms[0].guard.Started(time.Now(), innocent, "s0"))
		assert.NilError(t, vms[0].attempt(poison, "s0", 5*time.Second))
		vms[0].guard.Ended(time.Now(), innocent, "s0", true)
		// Suspects run one after another, each after the permit was released.
		assert.NilError(t, vms[2].attempt(poison, "s2", 5*time.Second))
		assert.Assert(t, vms[1].guard.tracker.Suspect(time.Now(), innocent))
		assert.NilError(t, vms[1].attempt(innocent, "s1", time.Second))
		synctest.Wait()
		for _, v := range vms {
			assert.Assert(t, !v.guard.tracker.Suspect(time.Now(), innocent))
		}
	})
	runSynctest(t, "a quarantine reaches other failure domains and can be lifted", func(t *testing.T) {
		store := tsplatform.NewStore(tsplatform.Options{})
		vms := newVMs(store, 2, "a", "b")
		for i := range 2 {
			assert.NilError(t, vms[0].attempt(poison, serverID(i), 5*time.Second))
		}
		synctest.Wait()
		beforeSync, err := List(t.Context(), store)
		assert.NilError(t, err)
		assert.Equal(t, len(beforeSync), 1)
		for _, v := range vms {
			v.guard.syncWithStore(t.Context())
		}
		for _, v := range vms {
			assertRefused(t, v.attempt(poison, "s", 0), turmericshed.KindQuarantined)
		}
		afterSync, err := List(t.Context(), store)
		assert.NilError(t, err)
		assert.Equal(t, len(afterSync), 1)
		time.Sleep(time.Second)
		assert.NilError(t, Lift(t.Context(), store, time.Now(), poison, "amina"))
		for _, v := range vms {
			v.guard.syncWithStore(t.Context())
			assert.NilError(t, v.guard.Check(time.Now(), poison))
		}
	})
	runSynctest(t, "a quarantine created during a store outage is kept afterwards", func(t *testing.T) {
		store := tsplatform.NewStore(tsplatform.Options{})
		vms := newVMs(store, 1, "a", "b")
		store.SetFaults(tsplatform.Faults{Outage: true})
		for i := range 2 {
			assert.NilError(t, vms[0].attempt(poison, serverID(i), 5*time.Second))
		}
		synctest.Wait()
		store.SetFaults(tsplatform.Faults{})
		vms[0].guard.syncWithStore(t.Context())
		vms[1].guard.syncWithStore(t.Context())
		assertRefused(t, vms[1].attempt(poison, "s", 0), turmericshed.KindQuarantined)
	})
}
