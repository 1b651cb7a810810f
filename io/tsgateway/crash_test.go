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
	// crashContactTimeout is the time within which all entry VMs must act on a
	// crash that one of them observed.
	crashContactTimeout = 3 * time.Second
	// maxLateCrashes is how often a request that crashed three servers may still
	// crash one after that time.
	maxLateCrashes = 3
	// crashDownTime is how long a crashed server is down.
	crashDownTime = 500 * time.Millisecond
	poisonBody    = "poison"
)

// crashRig is a rig whose desks crash when they run a request with poisonBody.
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
		b := &tsmetastore.Backend{ID: fmt.Sprint("mortal-", i), CrashBody: poisonBody, RestartAfter: crashDownTime, OnRestart: r.putEntry}
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
	// Wait until each entry VM lists all others.
	time.Sleep(2 * time.Second)
	return r
}

// startVM starts an entry VM, or restarts a killed one.
func (r *crashRig) startVM(i int) *entryVM {
	return r.startWith(fmt.Sprint("vm-", i), func(cfg *tsgateway.Config) { cfg.Settings.Bounds.ContactTimeout = crashContactTimeout })
}

// putEntry writes the store entry of a desk that started.
func (r *crashRig) putEntry(b *tsmetastore.Backend) { r.putBackend(b, "desk") }

// putBackend writes the store entry of a server of the given service that started.
func (r *rig) putBackend(b *tsmetastore.Backend, service string) {
	r.store.Put(platform.ServerPrefix+b.ID, b.Entry(service, "a", "ready"))
}

// removeBackend removes a server from the store.
func (r *rig) removeBackend(b *tsmetastore.Backend) { r.store.Remove(platform.ServerPrefix + b.ID) }

// requestAny sends a request to a random entry VM.
func (r *crashRig) requestAny(method, path, body string) reply {
	target := *r.rig
	target.entryVM = r.vms[rand.IntN(len(r.vms))]
	return target.request(method, path, body)
}

// requestRepeatedly sends a request to random entry VMs once per interval, for a time.
func (r *crashRig) requestRepeatedly(d, interval time.Duration, path, body string) {
	var requests sync.WaitGroup
	for began := time.Now(); time.Since(began) < d; time.Sleep(interval) {
		requests.Go(func() { r.requestAny(http.MethodPost, path, body) })
	}
	requests.Wait()
}

// crashTimes returns the times of all crashes in order.
func (r *crashRig) crashTimes() []time.Time {
	var times []time.Time
	for _, d := range r.desks {
		times = append(times, d.CrashTimes()...)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// assertRequestBlocked checks that there were at least three crashes, and at most
// maxLateCrashes later than crashContactTimeout after the third one.
func (r *crashRig) assertRequestBlocked() {
	r.t.Helper()
	crashes := r.crashTimes()
	assert.Assert(r.t, len(crashes) >= 3, "%d servers crashed, want at least 3", len(crashes))
	late := 0
	for _, at := range crashes[3:] {
		if at.After(crashes[2].Add(crashContactTimeout)) {
			late++
		}
	}
	r.t.Logf("%d servers crashed, %d of them late", len(crashes), late)
	assert.Assert(r.t, late <= maxLateCrashes, "%d servers crashed later than %s after the third, %d in all", late, crashContactTimeout, len(crashes))
}

// Guards against a request that crashes each server running it and is retried on one
// server after another.
func TestARequestThatEndsServersIsStopped(t *testing.T) {
	for _, path := range []string{"/find/1", "/pay/1"} {
		t.Run("at "+path, func(t *testing.T) {
			t.Parallel()
			r := newCrashRig(t, 3)
			r.requestRepeatedly(7*time.Second, 200*time.Millisecond, path, poisonBody)
			r.assertRequestBlocked()
		})
	}
	t.Run("it stays stopped after all entry VMs were killed", func(t *testing.T) {
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
	t.Run("other requests are served", func(t *testing.T) {
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

// Guards against blocking requests for good that only ran on servers which crashed at
// the same time, crashed one after another for other reasons, or lost their answers.
func TestRequestsThatOnlySharedAServerAreServed(t *testing.T) {
	t.Run("after all servers terminated at once", func(t *testing.T) {
		t.Parallel()
		r := newCrashRig(t, 3)
		setBehaviour(r.desks, tsmetastore.BehaveSilent)
		var requests sync.WaitGroup
		for range 12 {
			requests.Go(func() { r.requestAny(http.MethodPost, "/find/1", "frame") })
		}
		time.Sleep(200 * time.Millisecond)
		for _, d := range r.desks {
			d.Crash()
		}
		setBehaviour(r.desks, tsmetastore.BehaveNormal)
		requests.Wait()
		time.Sleep(2 * crashDownTime)
		r.assertServed("/find/1", "frame")
	})
	t.Run("after their answers were lost", func(t *testing.T) {
		t.Parallel()
		r := newCrashRig(t, 3)
		setBehaviour(r.desks, tsmetastore.BehaveLosingAnswers)
		r.requestRepeatedly(2*time.Second, 100*time.Millisecond, "/find/1", "frame")
		setBehaviour(r.desks, tsmetastore.BehaveNormal)
		r.assertServed("/find/1", "frame")
	})
	t.Run("after the servers that served them terminated one after another", func(t *testing.T) {
		t.Parallel()
		r := newCrashRig(t, 3)
		for i := range 8 {
			r.assertServed("/find/1", "frame")
			d := r.desks[i%len(r.desks)]
			d.Crash()
			r.requestRepeatedly(300*time.Millisecond, 20*time.Millisecond, "/find/1", "frame")
		}
		time.Sleep(2 * crashDownTime)
		r.assertServed("/find/1", "frame")
	})
}

// assertServed checks that a request is served eventually and never quarantined.
// Crashed servers may still be excluded at first.
func (r *crashRig) assertServed(path, body string) {
	r.t.Helper()
	r.eventually("served", func() bool {
		got := r.requestAny(http.MethodPost, path, body)
		assert.Assert(r.t, !strings.Contains(got.body, turmericshed.KindQuarantined.String()), "%s", got.body)
		return got.status == http.StatusOK
	})
}
