package tscrash_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
)

// crashUnderParts makes an entry VM lose its connection to a server that terminated under
// a request of its own with the given prompt parts, and waits a second.
func (f *fleet) crashUnderParts(server, vm int, parts ...turmericshed.Digest) {
	f.refuse(server)
	a := lostAttempt(turmericshed.Digest(fmt.Sprint("request-", server, "-", time.Now().UnixNano())), parts...)
	a.OnlyHead = true
	f.vms[vm%len(f.vms)].ConnectionLost(f.servers()[server], a)
	time.Sleep(time.Second)
}

// assertPart checks whether requests with a part are refused at each of the entry VMs.
func assertPart(t *testing.T, vms []*vm, part turmericshed.Digest, want bool) {
	t.Helper()
	for _, v := range vms {
		err := v.Check(time.Now(), turmericshed.CrashSubject{Request: "new", Parts: []turmericshed.Digest{"other", part}})
		assert.Equal(t, turmericshed.KindOf(err) == turmericshed.KindQuarantined, want, "%s: %v", v.self.Name, err)
	}
}

// Guards against a prompt part that crashes servers at one entry VM after another, and
// against refusing the parts beside it: the first part of a route is answered at entry VMs
// that saw no crash, and the aggregators have to learn of it.
func TestPartsAreBlockedAcrossEntryVMs(t *testing.T) {
	for _, n := range []int{1, 3, 9, 195} {
		t.Run(fmt.Sprint(n, " entry VMs"), func(t *testing.T) {
			runFleet(t, n, func(t *testing.T, f *fleet) {
				for i := range 2 {
					f.vms[n-1].PartsSurvived(time.Now(), []turmericshed.Digest{"first"})
					assertPart(t, f.vms, "dead", false)
					f.crashUnderParts(i, i, "first", "dead")
				}
				time.Sleep(notifyBound - time.Second)
				assertPart(t, f.vms, "dead", true)
				assertPart(t, f.vms, "first", false)
			})
		})
	}
	t.Run("a popular part is not blocked while servers terminate in turn", func(t *testing.T) {
		runFleet(t, 9, func(t *testing.T, f *fleet) {
			for i := range 20 {
				f.crashUnderParts(i, 0, "first")
				f.vms[5].PartsSurvived(time.Now(), []turmericshed.Digest{"first"})
				assertPart(t, f.vms, "first", false)
			}
		})
	})
	t.Run("a part whose answers were lost is not blocked", func(t *testing.T) {
		runFleet(t, 9, func(t *testing.T, f *fleet) {
			for i := range 8 {
				f.vms[i].ConnectionLost(f.servers()[i], lostAttempt("d", "first"))
				time.Sleep(time.Second)
			}
			assertPart(t, f.vms, "first", false)
		})
	})
	t.Run("two parts at a time are both blocked", func(t *testing.T) {
		runFleet(t, 9, func(t *testing.T, f *fleet) {
			f.vms[8].PartsSurvived(time.Now(), []turmericshed.Digest{"first"})
			for i := range 8 {
				f.crashUnderParts(i, i, "first", turmericshed.Digest(fmt.Sprint("dead-", i%2)))
			}
			time.Sleep(notifyBound)
			assertPart(t, f.vms, "dead-0", true)
			assertPart(t, f.vms, "dead-1", true)
			assertPart(t, f.vms, "first", false)
		})
	})
	t.Run("an answer clears a part at every entry VM", func(t *testing.T) {
		runFleet(t, 9, func(t *testing.T, f *fleet) {
			for i := range 3 {
				f.crashUnderParts(i, i, "first")
			}
			time.Sleep(notifyBound)
			assertPart(t, f.vms, "first", true)
			f.vms[4].PartsSurvived(time.Now(), []turmericshed.Digest{"first"})
			time.Sleep(notifyBound)
			assertPart(t, f.vms, "first", false)
		})
	})
	t.Run("entry VMs behind a cut don't delay the block of the others", func(t *testing.T) {
		runFleet(t, 195, func(t *testing.T, f *fleet) {
			ranked := f.aggregators()
			f.setIsolated(ranked[100:]...)
			for i := range 3 {
				f.refuse(i)
				a := lostAttempt(turmericshed.Digest(fmt.Sprint("request-", i)), "dead")
				ranked[50].ConnectionLost(f.servers()[i], a)
				time.Sleep(time.Second)
			}
			// All witnesses of a server may be behind the cut; then the list shows its end.
			f.listRestarted(0, 1, 2)
			time.Sleep(2 * notifyBound)
			assertPart(t, ranked[:100], "dead", true)
			f.setIsolated()
			time.Sleep(2 * notifyBound)
			assertPart(t, f.vms, "dead", true)
		})
	})
	t.Run("the block survives the termination of all processes", func(t *testing.T) {
		runFleet(t, 9, func(t *testing.T, f *fleet) {
			for i := range 3 {
				f.crashUnderParts(i, i, "dead")
			}
			time.Sleep(notifyBound)
			for _, v := range f.vms {
				v.start(false)
			}
			time.Sleep(notifyBound)
			assertPart(t, f.vms, "dead", true)
		})
	})
}

// Guards against calls that grow with the parts of the requests which a crashing server ran.
func TestCostOfPartEvidence(t *testing.T) {
	lose := func(f *fleet, servers int) {
		for i := range servers {
			f.refuse(i)
			for n := range 100 {
				a := lostAttempt(turmericshed.Digest(fmt.Sprint("request-", i, "-", n)), "first", turmericshed.Digest(fmt.Sprint("rare-", i, "-", n)))
				f.vms[i%len(f.vms)].ConnectionLost(f.servers()[i], a)
			}
			time.Sleep(time.Second)
		}
	}
	t.Run("seven calls for a termination that blocks nothing", func(t *testing.T) {
		runFleet(t, 195, func(t *testing.T, f *fleet) {
			lose(f, 1)
			time.Sleep(time.Minute)
			assert.Assert(t, f.cost().calls <= 4+3, "%+v", f.cost())
			assert.Equal(t, f.cost().writes, 0)
		})
	})
	t.Run("six calls to each entry VM for a part that is blocked", func(t *testing.T) {
		runFleet(t, 195, func(t *testing.T, f *fleet) {
			lose(f, 3)
			time.Sleep(time.Minute)
			assert.Assert(t, f.cost().calls <= 3*(4+3)+3*2*194, "%+v", f.cost())
			assert.Assert(t, f.cost().writes <= 3, "%+v", f.cost())
		})
	})
	t.Run("no calls for answers while nothing is suspected", func(t *testing.T) {
		runFleet(t, 9, func(t *testing.T, f *fleet) {
			for i := range 10_000 {
				f.vms[0].PartsSurvived(time.Now(), []turmericshed.Digest{turmericshed.Digest(fmt.Sprint("x", i))})
			}
			time.Sleep(time.Minute)
			assert.Equal(t, f.cost(), cost{})
		})
	})
}
