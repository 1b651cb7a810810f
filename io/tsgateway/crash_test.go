package tsgateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsgateway"
	"turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

const (
	// crashContactTimeout is the time after which what one entry VM saw binds all.
	crashContactTimeout = 3 * time.Second
	// maxLateCrashes is how often a request that ended three servers may still
	// reach one after that.
	maxLateCrashes = 3
	// crashDownTime is for how long a server that ended is away.
	crashDownTime = 500 * time.Millisecond
	poisonBody    = "poison"
)

// crashRig is entry VMs before servers that a request can end.
type crashRig struct {
	*rig
	vms []*entryVM
}

func newCrashRig(t *testing.T, vms int) *crashRig {
	t.Helper()
	r := &crashRig{rig: newRig(t, 1_000_000)}
	r.kill()
	r.setTable(1_000_000, sendRoutes...)
	for i := range 4 {
		b := &tsmetastore.Backend{ID: fmt.Sprint("mortal-", i), Poison: poisonBody, Down: crashDownTime, Restarted: r.putEntry}
		assert.NilError(t, b.Start())
		t.Cleanup(func() { _ = b.Close() })
		r.desks = append(r.desks, b)
		r.putEntry(b)
	}
	for _, d := range r.desks[:2] {
		r.store.Remove(platform.ServerPrefix + d.ID)
	}
	r.desks = r.desks[2:]
	for i := range vms {
		r.vms = append(r.vms, r.startVM(i))
	}
	r.entryVM = r.vms[0]
	// All list the others by then.
	time.Sleep(2 * time.Second)
	return r
}

// startVM starts an entry VM, or the next process of one.
func (r *crashRig) startVM(i int) *entryVM {
	return r.startWith(fmt.Sprint("vm-", i), func(cfg *tsgateway.Config) { cfg.Settings.Bounds.ContactTimeout = crashContactTimeout })
}

// putEntry writes the entry of a server that started.
func (r *crashRig) putEntry(b *tsmetastore.Backend) {
	r.store.Put(platform.ServerPrefix+b.ID, b.Entry("desk", "a", "ready"))
}

// requestAny sends a request to any entry VM.
func (r *crashRig) requestAny(method, path, body string) reply {
	at := *r.rig
	at.entryVM = r.vms[rand.IntN(len(r.vms))]
	return at.request(method, path, body)
}

// requestRepeatedly sends a request again and again, for a time.
func (r *crashRig) requestRepeatedly(d, every time.Duration, path, body string) {
	var asked sync.WaitGroup
	for began := time.Now(); time.Since(began) < d; time.Sleep(every) {
		asked.Go(func() { r.requestAny(http.MethodPost, path, body) })
	}
	asked.Wait()
}

// crashTimes returns when servers ended, in order.
func (r *crashRig) crashTimes() []time.Time {
	var ends []time.Time
	for _, d := range r.desks {
		ends = append(ends, d.Ends()...)
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends
}

// assertRequestBlocked checks how often the request reached servers once three had
// ended and all entry VMs could know.
func (r *crashRig) assertRequestBlocked() {
	r.t.Helper()
	ends := r.crashTimes()
	assert.Assert(r.t, len(ends) >= 3, "%d servers ended", len(ends))
	late := 0
	for _, at := range ends[3:] {
		if at.After(ends[2].Add(crashContactTimeout)) {
			late++
		}
	}
	r.t.Logf("%d servers ended, %d of them late", len(ends), late)
	assert.Assert(r.t, late <= maxLateCrashes, "%d servers ended later than %s after the third, %d in all", late, crashContactTimeout, len(ends))
}

// A request that ended each server which ran it was sent to one server after
// another.
func TestARequestThatEndsServersIsStopped(t *testing.T) {
	for _, path := range []string{"/find/1", "/pay/1"} {
		t.Run("at "+path, func(t *testing.T) {
			t.Parallel()
			r := newCrashRig(t, 3)
			r.requestRepeatedly(7*time.Second, 200*time.Millisecond, path, poisonBody)
			r.assertRequestBlocked()
		})
	}
	t.Run("after all entry VMs were killed", func(t *testing.T) {
		t.Parallel()
		r := newCrashRig(t, 3)
		r.requestRepeatedly(4*time.Second, 200*time.Millisecond, "/find/1", poisonBody)
		for i, vm := range r.vms {
			vm.kill()
			r.vms[i] = r.startVM(i)
		}
		r.requestRepeatedly(4*time.Second, 200*time.Millisecond, "/find/1", poisonBody)
		r.assertRequestBlocked()
	})
	t.Run("while others are served", func(t *testing.T) {
		t.Parallel()
		r := newCrashRig(t, 3)
		var others sync.WaitGroup
		var mu sync.Mutex
		refused := map[string]int{}
		others.Go(func() {
			for began := time.Now(); time.Since(began) < 7*time.Second; time.Sleep(20 * time.Millisecond) {
				others.Go(func() {
					got := r.requestAny(http.MethodGet, "/look/1", "")
					mu.Lock()
					defer mu.Unlock()
					if strings.Contains(got.body, turmericshed.KindQuarantined.String()) {
						refused[got.body]++
					}
				})
			}
		})
		r.requestRepeatedly(7*time.Second, 200*time.Millisecond, "/find/1", poisonBody)
		others.Wait()
		r.assertRequestBlocked()
		assert.Equal(t, len(refused), 0, "%v", refused)
		assertStatus(t, r.requestAny(http.MethodGet, "/look/1", ""), http.StatusOK)
	})
}

// Servers that all ended at one moment, once after another for reasons of their
// own, or whose answers were lost, made their requests suspects for good.
func TestRequestsThatOnlySharedAServerAreServed(t *testing.T) {
	t.Run("after all servers ended at once", func(t *testing.T) {
		t.Parallel()
		r := newCrashRig(t, 3)
		setBehaviour(r.desks, tsmetastore.BehaveSilent)
		var asked sync.WaitGroup
		for range 12 {
			asked.Go(func() { r.requestAny(http.MethodPost, "/find/1", "frame") })
		}
		time.Sleep(200 * time.Millisecond)
		for _, d := range r.desks {
			d.End()
		}
		setBehaviour(r.desks, tsmetastore.BehaveWell)
		asked.Wait()
		time.Sleep(2 * crashDownTime)
		r.assertServed("/find/1", "frame")
	})
	t.Run("after their answers were lost", func(t *testing.T) {
		t.Parallel()
		r := newCrashRig(t, 3)
		setBehaviour(r.desks, tsmetastore.BehaveLosing)
		r.requestRepeatedly(2*time.Second, 100*time.Millisecond, "/find/1", "frame")
		setBehaviour(r.desks, tsmetastore.BehaveWell)
		r.assertServed("/find/1", "frame")
	})
	t.Run("after servers ended in turn that had served them", func(t *testing.T) {
		t.Parallel()
		r := newCrashRig(t, 3)
		for i := range 8 {
			r.assertServed("/find/1", "frame")
			d := r.desks[i%len(r.desks)]
			d.End()
			r.requestRepeatedly(300*time.Millisecond, 20*time.Millisecond, "/find/1", "frame")
		}
		time.Sleep(2 * crashDownTime)
		r.assertServed("/find/1", "frame")
	})
}

// assertServed checks that a request is served, where servers that were lost may
// still be passed over.
func (r *crashRig) assertServed(path, body string) {
	r.t.Helper()
	r.eventually("served", func() bool {
		got := r.requestAny(http.MethodPost, path, body)
		assert.Assert(r.t, !strings.Contains(got.body, turmericshed.KindQuarantined.String()), "%s", got.body)
		return got.status == http.StatusOK
	})
}
