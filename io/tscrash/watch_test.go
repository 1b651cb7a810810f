package tscrash_test

import (
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tspreference"
)

// contact is the shortest time within which all must know, on any deployment.
const contact = 2 * time.Second

// play runs a test of n entry VMs in fake time.
func play(t *testing.T, n int, f func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, n)
		defer func() {
			for _, v := range fleet.vms {
				v.stop()
			}
		}()
		f(t, fleet)
	})
}

// counting returns the entry VMs that count for all, in order.
func (f *fleet) counting() []*vm {
	var all []turmericshed.EntryVM
	for _, v := range f.vms {
		all = append(all, v.self)
	}
	var list []*vm
	for _, c := range tspreference.Spread(all, "crashes") {
		for _, v := range f.vms {
			if v.self.Name == c.Name {
				list = append(list, v)
			}
		}
	}
	return list
}

// A request that ended a server at each of several entry VMs was barred at none.
func TestEndsAreCountedOverAllEntryVMs(t *testing.T) {
	for _, n := range []int{1, 3, 9, 86, 195} {
		play(t, n, func(t *testing.T, f *fleet) {
			f.end("d", syscall.ECONNREFUSED, 0, 1)
			assertBarred(t, f.vms, "d", false)
			f.end("d", syscall.ECONNREFUSED, 2)
			time.Sleep(contact - time.Second)
			assertBarred(t, f.vms, "d", true)
			assertBarred(t, f.vms, "other", false)
		})
	}
}

func TestWhatIsTakenForAnEnd(t *testing.T) {
	t.Run("not a lost answer", func(t *testing.T) {
		play(t, 3, func(t *testing.T, f *fleet) {
			f.end("d", nil, 0, 1, 2, 3)
			f.unlist(0, 1, 2, 3)
			assertBarred(t, f.vms, "d", false)
		})
	})
	t.Run("not a cut", func(t *testing.T) {
		play(t, 3, func(t *testing.T, f *fleet) {
			f.end("d", syscall.ETIMEDOUT, 0, 1, 2, 3)
			time.Sleep(20 * time.Second)
			f.unlist(0, 1, 2, 3)
			assertBarred(t, f.vms, "d", false)
		})
	})
	t.Run("not a cut that refuses connections", func(t *testing.T) {
		play(t, 9, func(t *testing.T, f *fleet) {
			var cut []*vm
			for _, v := range f.vms {
				if v.self.FailureDomain == "a" {
					cut = append(cut, v)
				}
			}
			f.setCut(cut...)
			for i := range 6 {
				cut[i%len(cut)].Broke(f.servers()[i], "d", time.Now())
				time.Sleep(time.Second)
			}
			f.setCut()
			time.Sleep(contact)
			assertBarred(t, f.vms, "d", false)
		})
	})
	t.Run("not that servers refuse one entry VM", func(t *testing.T) {
		play(t, 9, func(t *testing.T, f *fleet) {
			f.mu.Lock()
			f.refused["vm-4"] = true
			f.mu.Unlock()
			for i := range 6 {
				f.vms[4].Broke(f.servers()[i], "d", time.Now())
				time.Sleep(time.Second)
			}
			assertBarred(t, f.vms, "d", false)
		})
	})
	t.Run("the end of a server that can't be reached, by the list", func(t *testing.T) {
		play(t, 3, func(t *testing.T, f *fleet) {
			f.end("d", syscall.ETIMEDOUT, 0, 1, 2)
			assertBarred(t, f.vms, "d", false)
			f.unlist(0, 1, 2)
			time.Sleep(contact)
			assertBarred(t, f.vms, "d", true)
		})
	})
	t.Run("not one that was told thrice", func(t *testing.T) {
		play(t, 9, func(t *testing.T, f *fleet) {
			f.end("d", syscall.ECONNREFUSED, 0, 0, 0)
			assertBarred(t, f.vms, "d", false)
		})
	})
	t.Run("one look for all requests of a server", func(t *testing.T) {
		play(t, 1, func(t *testing.T, f *fleet) {
			for _, d := range []turmericshed.Digest{"a", "b", "c", "d"} {
				f.vms[0].Broke(f.servers()[0], d, time.Now())
			}
			time.Sleep(time.Second)
			assert.Assert(t, f.cost().looks <= 2, "%+v", f.cost())
		})
	})
}

// A request that is answered whole was barred all the same, or for good.
func TestAWholeAnswerClears(t *testing.T) {
	t.Run("between ends", func(t *testing.T) {
		play(t, 9, func(t *testing.T, f *fleet) {
			for i := range 6 {
				f.end("d", syscall.ECONNREFUSED, i)
				f.vms[0].Survived(time.Now(), "d")
				time.Sleep(100 * time.Millisecond)
			}
			assertBarred(t, f.vms, "d", false)
		})
	})
	t.Run("after the third, everywhere", func(t *testing.T) {
		play(t, 9, func(t *testing.T, f *fleet) {
			f.end("d", syscall.ECONNREFUSED, 0, 1, 2)
			time.Sleep(contact)
			assertBarred(t, f.vms, "d", true)
			f.vms[5].Survived(time.Now(), "d")
			time.Sleep(contact)
			assertBarred(t, f.vms, "d", false)
		})
	})
	t.Run("not the time by itself, before its end", func(t *testing.T) {
		play(t, 3, func(t *testing.T, f *fleet) {
			f.end("d", syscall.ECONNREFUSED, 0, 1, 2)
			time.Sleep(4 * time.Minute)
			assertBarred(t, f.vms, "d", true)
			time.Sleep(2 * time.Minute)
			assertBarred(t, f.vms, "d", false)
			f.end("d", syscall.ECONNREFUSED, 3)
			time.Sleep(contact - time.Second)
			assertBarred(t, f.vms, "d", true)
		})
	})
}

func TestBarredRequestsOutlast(t *testing.T) {
	t.Run("the loss of those that count", func(t *testing.T) {
		play(t, 9, func(t *testing.T, f *fleet) {
			f.setCut(f.counting()[:2]...)
			seen := f.counting()[4]
			for i := range 3 {
				f.refuse(i)
				seen.Broke(f.servers()[i], "d", time.Now())
				time.Sleep(2 * time.Second)
			}
			assertBarred(t, f.counting()[2:], "d", true)
			t.Log("and those that were cut off hear of them")
			f.setCut()
			time.Sleep(contact)
			assertBarred(t, f.vms, "d", true)
		})
	})
	t.Run("the end of all processes", func(t *testing.T) {
		play(t, 9, func(t *testing.T, f *fleet) {
			f.end("d", syscall.ECONNREFUSED, 0, 1, 2)
			time.Sleep(contact)
			for _, v := range f.vms {
				v.start(false)
			}
			time.Sleep(contact)
			assertBarred(t, f.vms, "d", true)
			assert.Assert(t, f.cost().writes <= 3, "%+v", f.cost())
		})
	})
	t.Run("an outage of the store", func(t *testing.T) {
		play(t, 9, func(t *testing.T, f *fleet) {
			f.store.setDown(true)
			f.end("d", syscall.ECONNREFUSED, 0, 1, 2)
			time.Sleep(contact)
			assertBarred(t, f.vms, "d", true)
			f.store.setDown(false)
			time.Sleep(2 * contact)
			for _, v := range f.vms {
				v.start(false)
			}
			time.Sleep(contact)
			assertBarred(t, f.vms, "d", true)
		})
	})
}

// What is kept of requests grew with their number, or a quiet day had a price.
func TestWhatItCosts(t *testing.T) {
	t.Run("nothing while no server ends", func(t *testing.T) {
		play(t, 9, func(t *testing.T, f *fleet) {
			time.Sleep(time.Hour)
			assert.Equal(t, f.cost(), cost{})
			assert.Assert(t, !f.vms[0].Active())
		})
	})
	t.Run("no store call and seven calls for a request that is not barred", func(t *testing.T) {
		play(t, 195, func(t *testing.T, f *fleet) {
			f.end("d", syscall.ECONNREFUSED, 0)
			time.Sleep(time.Minute)
			assert.Assert(t, f.cost().calls <= 4+3, "%+v", f.cost())
			assert.Equal(t, f.cost().writes, 0)
		})
	})
	t.Run("three calls to each entry VM for one that is", func(t *testing.T) {
		play(t, 195, func(t *testing.T, f *fleet) {
			f.end("d", syscall.ECONNREFUSED, 0, 1, 2)
			time.Sleep(time.Minute)
			assert.Assert(t, f.cost().calls <= 3*(4+3)+3*194, "%+v", f.cost())
			assert.Assert(t, f.cost().writes <= 3, "%+v", f.cost())
		})
	})
}

// Servers that ended without a word, of which the list tells after three of their
// reports are missing, were known later than all must know.
func TestSilentEndsAreKnownInTime(t *testing.T) {
	const reportsMissed = 3600 * time.Millisecond
	play(t, 9, func(t *testing.T, f *fleet) {
		began := time.Now()
		f.end("d", syscall.ETIMEDOUT, 0, 1, 2)
		for i, gone := range [][]int{{0}, {0, 1}, {0, 1, 2}} {
			time.AfterFunc(time.Until(began.Add(time.Duration(i)*time.Second+reportsMissed)), func() { f.unlist(gone...) })
		}
		time.Sleep(time.Until(began.Add(2*time.Second + contact)))
		assertBarred(t, f.vms, "d", true)
	})
}
