package tscalls

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsclaim"
	"turmericshed/standin/tsplatform"
)

func TestCalls(t *testing.T) {
	runWithFleet(t, "retries at every VM replay the answer", 3, func(t *testing.T, f *fleet) {
		_, err := f.vms[0].place(withTimeout(t, time.Second), call("k"))
		assert.NilError(t, err)
		f.assertReplayed("k")
	})
	runWithFleet(t, "retries at all VMs at the same moment run once", 4, func(t *testing.T, f *fleet) {
		var wg sync.WaitGroup
		for _, v := range f.vms {
			for range 5 {
				wg.Go(func() {
					a, err := v.place(withTimeout(t, 5*time.Second), call("k"))
					assert.Check(t, err)
					assert.Check(t, string(a.Body) == "k run 1")
				})
			}
		}
		wg.Wait()
		f.assertRuns("k", 1)
	})
	runWithFleet(t, "a key reused with another body is refused", 2, func(t *testing.T, f *fleet) {
		_, err := f.vms[0].place(withTimeout(t, time.Second), call("k"))
		assert.NilError(t, err)
		other := call("k")
		other.Digest = "digest-b"
		for _, v := range f.vms {
			_, err = v.place(withTimeout(t, time.Second), other)
			assertRefused(t, err, turmericshed.KindKeyReused, turmericshed.OutcomeNotRun)
		}
		f.assertRuns("k", 1)
	})
	runWithFleet(t, "a call that was certainly not sent may be retried", 2, func(t *testing.T, f *fleet) {
		f.service.refuseCalls.Store(true)
		_, err := f.vms[0].place(withTimeout(t, time.Second), call("k"))
		assertRefused(t, err, turmericshed.KindBackendRefused, turmericshed.OutcomeNotRun)
		f.service.refuseCalls.Store(false)
		_, err = f.vms[1].place(withTimeout(t, time.Second), call("k"))
		assert.NilError(t, err)
		f.assertReplayed("k")
	})
	runWithFleet(t, "a store outage refuses new calls at once and completes claimed ones", 2, func(t *testing.T, f *fleet) {
		d, err := f.vms[0].calls.Claim(withTimeout(t, time.Minute), call("claimed"))
		assert.NilError(t, err)
		f.store.SetFaults(tsplatform.Faults{Outage: true})
		started := time.Now()
		_, err = f.vms[1].place(withTimeout(t, time.Minute), call("new"))
		assertRefused(t, err, turmericshed.KindStoreUnavailable, turmericshed.OutcomeNotRun)
		assert.Assert(t, time.Since(started) < time.Second)
		assert.NilError(t, f.vms[0].calls.Dispatch(d.Claim))
		_, err = f.vms[0].send(withTimeout(t, time.Second), call("claimed"), d.Claim)
		assert.NilError(t, err)
		f.assertRuns("new", 0)
		time.Sleep(time.Hour)
		a, err := f.vms[0].place(withTimeout(t, time.Second), call("claimed"))
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), "claimed run 1")
		f.store.SetFaults(tsplatform.Faults{})
		time.Sleep(time.Minute)
		f.vms[0].gone.Store(true)
		f.assertReplayed("claimed")
	})
}

// While a write of a slot is stalled, new claims of that slot must be refused without
// waiting for the store.
func TestSilentStore(t *testing.T) {
	runWithFleet(t, "new claims are refused at once while the store is silent", 1, func(t *testing.T, f *fleet) {
		f.store.SetFaults(tsplatform.Faults{Delay: turmericshed.Duration(time.Hour)})
		go func() { _, _ = f.vms[0].place(withTimeout(t, time.Minute), call("first")) }()
		time.Sleep(2 * time.Second)
		started := time.Now()
		slot := tsclaim.NewID("corner-1", "first").Slot()
		for i := range 50 {
			c := call(fmt.Sprint("k", i))
			if tsclaim.NewID(c.Account, c.Key).Slot() != slot {
				continue
			}
			_, err := f.vms[0].place(withTimeout(t, time.Minute), c)
			assertRefused(t, err, turmericshed.KindStoreUnavailable, turmericshed.OutcomeNotRun)
		}
		assert.Equal(t, time.Since(started), time.Duration(0))
	})
}
