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

// notifyBound is the time within which all entry VMs must have received a quarantine;
// it is the strictest bound of any deployment.
const notifyBound = 2 * time.Second

// runFleet runs a test with n entry VMs in fake time.
func runFleet(t *testing.T, n int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, n)
		defer func() {
			for _, v := range f.vms {
				v.stop()
			}
		}()
		test(t, f)
	})
}

// aggregators returns all entry VMs in the order in which they are selected as aggregators.
func (f *fleet) aggregators() []*vm {
	var all []turmericshed.EntryVM
	for _, v := range f.vms {
		all = append(all, v.self)
	}
	var list []*vm
	for _, c := range tspreference.RankByKey(all, "crashes") {
		for _, v := range f.vms {
			if v.self.Name == c.Name {
				list = append(list, v)
			}
		}
	}
	return list
}

// Guards against evidence that stays local to one entry VM: a request that terminates one
// server at each of several entry VMs must be blocked at all of them.
func TestTerminationsAreAggregatedAcrossEntryVMs(t *testing.T) {
	for _, n := range []int{1, 3, 9, 86, 195} {
		runFleet(t, n, func(t *testing.T, f *fleet) {
			f.loseConnections("d", syscall.ECONNREFUSED, 0, 1)
			assertBlocked(t, f.vms, "d", false)
			f.loseConnections("d", syscall.ECONNREFUSED, 2)
			time.Sleep(notifyBound - time.Second)
			assertBlocked(t, f.vms, "d", true)
			assertBlocked(t, f.vms, "other", false)
		})
	}
}

// Guards against counting a lost answer or a network partition as the termination of a
// server, and against missing the termination of an unreachable server.
func TestWhatIsTakenForAnEnd(t *testing.T) {
	t.Run("a lost answer is not a termination", func(t *testing.T) {
		runFleet(t, 3, func(t *testing.T, f *fleet) {
			f.loseConnections("d", nil, 0, 1, 2, 3)
			f.listRestarted(0, 1, 2, 3)
			assertBlocked(t, f.vms, "d", false)
		})
	})
	t.Run("a network cut is not a termination", func(t *testing.T) {
		runFleet(t, 3, func(t *testing.T, f *fleet) {
			f.loseConnections("d", syscall.ETIMEDOUT, 0, 1, 2, 3)
			time.Sleep(20 * time.Second)
			f.listRestarted(0, 1, 2, 3)
			assertBlocked(t, f.vms, "d", false)
		})
	})
	t.Run("a network cut that refuses connections is not a termination", func(t *testing.T) {
		runFleet(t, 9, func(t *testing.T, f *fleet) {
			var isolated []*vm
			for _, v := range f.vms {
				if v.self.FailureDomain == "a" {
					isolated = append(isolated, v)
				}
			}
			f.setIsolated(isolated...)
			for i := range 6 {
				isolated[i%len(isolated)].ConnectionLost(f.servers()[i], lostAttempt("d"))
				time.Sleep(time.Second)
			}
			f.setIsolated()
			time.Sleep(notifyBound)
			assertBlocked(t, f.vms, "d", false)
		})
	})
	t.Run("servers that refuse one entry VM did not terminate", func(t *testing.T) {
		runFleet(t, 9, func(t *testing.T, f *fleet) {
			f.mu.Lock()
			f.refusedVMs["vm-4"] = true
			f.mu.Unlock()
			for i := range 6 {
				f.vms[4].ConnectionLost(f.servers()[i], lostAttempt("d"))
				time.Sleep(time.Second)
			}
			assertBlocked(t, f.vms, "d", false)
		})
	})
	t.Run("an unreachable server that the list shows restarted is a termination", func(t *testing.T) {
		runFleet(t, 3, func(t *testing.T, f *fleet) {
			f.loseConnections("d", syscall.ETIMEDOUT, 0, 1, 2)
			assertBlocked(t, f.vms, "d", false)
			f.listRestarted(0, 1, 2)
			time.Sleep(notifyBound)
			assertBlocked(t, f.vms, "d", true)
		})
	})
	t.Run("a termination reported three times counts once", func(t *testing.T) {
		runFleet(t, 9, func(t *testing.T, f *fleet) {
			f.loseConnections("d", syscall.ECONNREFUSED, 0, 0, 0)
			assertBlocked(t, f.vms, "d", false)
		})
	})
	t.Run("one probe serves all requests of a server", func(t *testing.T) {
		runFleet(t, 1, func(t *testing.T, f *fleet) {
			for _, d := range []turmericshed.Digest{"a", "b", "c", "d"} {
				f.vms[0].ConnectionLost(f.servers()[0], lostAttempt(d))
			}
			time.Sleep(time.Second)
			assert.Assert(t, f.cost().probes <= 2, "%+v", f.cost())
		})
	})
}

// Guards against a request staying blocked, or becoming blocked, although it received a
// complete answer.
func TestCompleteAnswerClearsRequest(t *testing.T) {
	t.Run("between terminations", func(t *testing.T) {
		runFleet(t, 9, func(t *testing.T, f *fleet) {
			for i := range 6 {
				f.loseConnections("d", syscall.ECONNREFUSED, i)
				f.vms[0].Survived(time.Now(), "d")
				time.Sleep(100 * time.Millisecond)
			}
			assertBlocked(t, f.vms, "d", false)
		})
	})
	t.Run("after the third termination, at every entry VM", func(t *testing.T) {
		runFleet(t, 9, func(t *testing.T, f *fleet) {
			f.loseConnections("d", syscall.ECONNREFUSED, 0, 1, 2)
			time.Sleep(notifyBound)
			assertBlocked(t, f.vms, "d", true)
			f.vms[5].Survived(time.Now(), "d")
			time.Sleep(notifyBound)
			assertBlocked(t, f.vms, "d", false)
		})
	})
	t.Run("time does not clear a request before its quarantine ends", func(t *testing.T) {
		runFleet(t, 3, func(t *testing.T, f *fleet) {
			f.loseConnections("d", syscall.ECONNREFUSED, 0, 1, 2)
			time.Sleep(4 * time.Minute)
			assertBlocked(t, f.vms, "d", true)
			time.Sleep(2 * time.Minute)
			assertBlocked(t, f.vms, "d", false)
			f.loseConnections("d", syscall.ECONNREFUSED, 3)
			time.Sleep(notifyBound - time.Second)
			assertBlocked(t, f.vms, "d", true)
		})
	})
}

// Guards against losing a quarantine when aggregators, all processes or the store fail.
func TestQuarantineSurvivesFailures(t *testing.T) {
	t.Run("the loss of the aggregators", func(t *testing.T) {
		runFleet(t, 9, func(t *testing.T, f *fleet) {
			f.setIsolated(f.aggregators()[:2]...)
			reporting := f.aggregators()[4]
			for i := range 3 {
				f.refuse(i)
				reporting.ConnectionLost(f.servers()[i], lostAttempt("d"))
				time.Sleep(2 * time.Second)
			}
			assertBlocked(t, f.aggregators()[2:], "d", true)
			t.Log("entry VMs that were cut off receive the quarantine once the partition heals")
			f.setIsolated()
			time.Sleep(notifyBound)
			assertBlocked(t, f.vms, "d", true)
		})
	})
	t.Run("the termination of all processes", func(t *testing.T) {
		runFleet(t, 9, func(t *testing.T, f *fleet) {
			f.loseConnections("d", syscall.ECONNREFUSED, 0, 1, 2)
			time.Sleep(notifyBound)
			for _, v := range f.vms {
				v.start(false)
			}
			time.Sleep(notifyBound)
			assertBlocked(t, f.vms, "d", true)
			assert.Assert(t, f.cost().writes <= 3, "%+v", f.cost())
		})
	})
	t.Run("a store outage", func(t *testing.T) {
		runFleet(t, 9, func(t *testing.T, f *fleet) {
			f.store.setDown(true)
			f.loseConnections("d", syscall.ECONNREFUSED, 0, 1, 2)
			time.Sleep(notifyBound)
			assertBlocked(t, f.vms, "d", true)
			f.store.setDown(false)
			time.Sleep(2 * notifyBound)
			for _, v := range f.vms {
				v.start(false)
			}
			time.Sleep(notifyBound)
			assertBlocked(t, f.vms, "d", true)
		})
	})
}

// Guards against state that grows with the number of requests, and against calls and
// writes while no server terminates.
func TestCallAndStoreCost(t *testing.T) {
	t.Run("no calls while no server terminates", func(t *testing.T) {
		runFleet(t, 9, func(t *testing.T, f *fleet) {
			time.Sleep(time.Hour)
			assert.Equal(t, f.cost(), cost{})
			assert.Assert(t, !f.vms[0].Active())
		})
	})
	t.Run("no store call and seven calls for a request that is not quarantined", func(t *testing.T) {
		runFleet(t, 195, func(t *testing.T, f *fleet) {
			f.loseConnections("d", syscall.ECONNREFUSED, 0)
			time.Sleep(time.Minute)
			assert.Assert(t, f.cost().calls <= 4+3, "%+v", f.cost())
			assert.Equal(t, f.cost().writes, 0)
		})
	})
	t.Run("three calls to each entry VM for a quarantined request", func(t *testing.T) {
		runFleet(t, 195, func(t *testing.T, f *fleet) {
			f.loseConnections("d", syscall.ECONNREFUSED, 0, 1, 2)
			time.Sleep(time.Minute)
			assert.Assert(t, f.cost().calls <= 3*(4+3)+3*194, "%+v", f.cost())
			assert.Assert(t, f.cost().writes <= 3, "%+v", f.cost())
		})
	})
}

// Guards against late detection of servers that terminate silently: connections to them
// time out, and the list of servers replaces them only after three missed reports. All
// entry VMs must block the request within notifyBound of the last termination.
func TestSilentEndsAreKnownInTime(t *testing.T) {
	const reportsMissed = 3600 * time.Millisecond
	runFleet(t, 9, func(t *testing.T, f *fleet) {
		began := time.Now()
		f.loseConnections("d", syscall.ETIMEDOUT, 0, 1, 2)
		for i, restarted := range [][]int{{0}, {0, 1}, {0, 1, 2}} {
			time.AfterFunc(time.Until(began.Add(time.Duration(i)*time.Second+reportsMissed)), func() { f.listRestarted(restarted...) })
		}
		time.Sleep(time.Until(began.Add(2*time.Second + notifyBound)))
		assertBlocked(t, f.vms, "d", true)
	})
}
