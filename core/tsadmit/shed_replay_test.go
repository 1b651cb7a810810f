package tsadmit_test

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// burst returns a factor that applies from one time to another.
func burst(from, to time.Duration, factor float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= from && t < to {
			return factor
		}
		return 1
	}
}

// Kinds of requests with the sizes, objectives and limits of the deployments in
// docs/design/hard-load.md, at the given rate.
func urgentKind(rate float64, f func(time.Duration) float64) simKind {
	return simKind{name: "urgent", class: 0, prompt: 9190, cached: 7000, output: 51, objective: 800 * time.Millisecond, limit: 8 * time.Second, account: "a", rate: rate, factor: f}
}

func middleKind(rate float64, f func(time.Duration) float64) simKind {
	return simKind{name: "middle", class: 1, prompt: 4000, cached: 2000, output: 80, objective: time.Second, limit: 8 * time.Second, account: "b", rate: rate, factor: f}
}

func largeKind(rate float64, f func(time.Duration) float64) simKind {
	return simKind{name: "large", class: 2, prompt: 17020, cached: 13300, output: 120, objective: 2 * time.Second, limit: 15 * time.Second, account: "c", rate: rate, factor: f}
}

// usualRate is the rate of each kind at which the servers of simBase are at 0.85 of what
// they can do.
const usualRate = 72

func allKinds(f func(time.Duration) float64) []simKind {
	return []simKind{urgentKind(usualRate, f), middleKind(usualRate, f), largeKind(usualRate, f)}
}

// simBase is a fleet whose entry VMs each send a few requests per second to each server.
func simBase(kinds ...simKind) simConfig {
	return simConfig{vms: 40, servers: 12, slots: 16, memory: 486250, maxQueue: 48, length: 16 * time.Second, kinds: kinds}
}

const burstFrom = 5 * time.Second

// compare replays a pattern with admission off and on. Callers must get at least as much
// with admission, and may cancel no more requests that were sent to a server.
func compare(t *testing.T, cfg simConfig, check func(t *testing.T, off, on simResult)) {
	t.Helper()
	replay(t, cfg, func(t *testing.T, off, on simResult) {
		assertMoreWorth(t, off, on, 0)
		assert.Assert(t, on.cancelled <= off.cancelled, "%d cancelled, %d without", on.cancelled, off.cancelled)
		check(t, off, on)
	})
}

// replay replays a pattern with admission off and on, with and without shared reports,
// and calls check with both results.
func replay(t *testing.T, cfg simConfig, check func(t *testing.T, off, on simResult)) {
	t.Helper()
	for _, share := range []bool{false, true} {
		for seed := uint64(1); seed <= cmp.Or(cfg.seeds, 3); seed++ {
			t.Run(fmt.Sprintf("shared reports %v, seed %d", share, seed), func(t *testing.T) {
				t.Parallel()
				cfg := cfg
				cfg.share, cfg.seed = share, seed
				off := runSim(cfg)
				cfg.admission = true
				on := runSim(cfg)
				t.Logf("of %d worth %.0f, %.0f without; cancelled %d, %d without; in time %d, %d without; served %d, %d without; refusals %d, over memory %d, %d without; %v",
					on.offeredTotal(), on.worth(), off.worth(), on.cancelled, off.cancelled, on.inTimeTotal(), off.inTimeTotal(), on.servedTotal(), off.servedTotal(), on.refusals, on.overMemory, off.overMemory, on.reasons)
				assert.Equal(t, on.offeredTotal(), off.offeredTotal())
				assertUrgencyKept(t, cfg, on)
				check(t, off, on)
			})
		}
	}
}

// assertUrgencyKept asserts that no kind is served less often than a less urgent one by
// more than 5 percentage points.
func assertUrgencyKept(t *testing.T, cfg simConfig, r simResult) {
	t.Helper()
	const minRequests = 100
	for i, a := range cfg.kinds {
		for j, b := range cfg.kinds {
			if a.class < b.class && r.offered[i] >= minRequests && r.offered[j] >= minRequests && a.hasty == b.hasty {
				assert.Assert(t, r.servedRatio(i) >= r.servedRatio(j)-0.05, "%s %.3f, %s %.3f", a.name, r.servedRatio(i), b.name, r.servedRatio(j))
			}
		}
	}
}

// assertMoreInTime asserts that admission raises the part of requests that begin in time
// by at least gain.
func assertMoreInTime(t *testing.T, off, on simResult, gain float64) {
	t.Helper()
	n := float64(on.offeredTotal())
	assert.Assert(t, float64(on.inTimeTotal())/n >= float64(off.inTimeTotal())/n+gain, "%d of %.0f in time, %d without", on.inTimeTotal(), n, off.inTimeTotal())
}

// assertMoreWorth asserts that admission raises what callers get, relative to the
// requests offered, by at least gain.
func assertMoreWorth(t *testing.T, off, on simResult, gain float64) {
	t.Helper()
	n := float64(on.offeredTotal())
	assert.Assert(t, on.worth() >= off.worth()+gain*n, "worth %.0f of %.0f, %.0f without", on.worth(), n, off.worth())
}

// Guards against bursts after which everything begins late.
func TestShedBurst(t *testing.T) {
	compare(t, simBase(allKinds(burst(burstFrom, burstFrom+3*time.Second, 1.7))...), func(t *testing.T, off, on simResult) {
		assertMoreInTime(t, off, on, 0)
		assertMoreWorth(t, off, on, 0.005)
	})
}

// Guards against long prompts that hold up all other kinds.
func TestShedLongPrompts(t *testing.T) {
	cfg := simBase(urgentKind(usualRate, nil), middleKind(usualRate, nil), largeKind(usualRate, burst(burstFrom, burstFrom+4*time.Second, 2.5)))
	compare(t, cfg, func(t *testing.T, off, on simResult) {
		assertMoreInTime(t, off, on, 0.04)
		assertMoreWorth(t, off, on, 0.02)
	})
}

// Guards against a load that grows by retries, and against callers that gain by them.
func TestShedHastyRetries(t *testing.T) {
	kinds := allKinds(burst(burstFrom, burstFrom+3*time.Second, 2))
	for i := range kinds {
		kinds[i].rate /= 2
	}
	for _, k := range kinds[:3:3] {
		k.name, k.hasty = "hasty "+k.name, 3
		kinds = append(kinds, k)
	}
	compare(t, simBase(kinds...), func(t *testing.T, off, on simResult) {
		assertMoreInTime(t, off, on, 0.04)
		assertMoreWorth(t, off, on, 0.02)
		for i := range 3 {
			assert.Assert(t, on.servedRatio(i+3) <= on.servedRatio(i)+0.05, "%s %.3f, hasty %.3f", kinds[i].name, on.servedRatio(i), on.servedRatio(i+3))
		}
	})
}

// Guards against one account that takes the places of the others.
func TestShedSurgeOfOneAccount(t *testing.T) {
	kinds := []simKind{urgentKind(usualRate, nil), middleKind(usualRate*0.7, nil), largeKind(usualRate, nil), middleKind(usualRate*0.3, burst(17*time.Second, 22*time.Second, 7.5))}
	kinds[3].name, kinds[3].account, kinds[3].vm = "surge", "d", 3
	cfg := simBase(kinds...)
	cfg.length = 30 * time.Second
	compare(t, cfg, func(t *testing.T, off, on simResult) {
		assertMoreInTime(t, off, on, 0.02)
		assertMoreWorth(t, off, on, 0.015)
		assert.Assert(t, on.ratio(0) >= 0.98, "urgent %.3f", on.ratio(0))
		assert.Assert(t, on.ratio(1) >= 0.98, "other account of the class %.3f", on.ratio(1))
	})
}

// Guards against kinds and accounts that get nothing while an overload lasts.
func TestShedNobodyStarves(t *testing.T) {
	small := middleKind(1, nil)
	small.name, small.account = "small account", "e"
	cfg := simBase(append(allKinds(burst(2*time.Second, 22*time.Second, 1.5)), small)...)
	cfg.length = 22 * time.Second
	compare(t, cfg, func(t *testing.T, off, on simResult) {
		assertMoreInTime(t, off, on, 0.1)
		assertMoreWorth(t, off, on, 0.08)
		assert.Assert(t, on.servedRatio(2) >= 0.3, "large %.3f", on.servedRatio(2))
		assert.Assert(t, on.servedRatio(3) >= 0.8, "small account %.3f", on.servedRatio(3))
	})
}

// Guards against servers that get more tokens than their memory, long before their slots
// are taken, in a burst that the servers let wait for memory.
func TestShedMemoryBindsBeforeSlots(t *testing.T) {
	k := largeKind(130, burst(burstFrom, burstFrom+4*time.Second, 3))
	k.cached = 15500
	cfg := simBase(k)
	cfg.slots = 128
	// The servers of the simulation let requests wait for memory, so that here each refusal
	// loses an answer. TestShedServersEndOverMemory has the loss that refusals prevent.
	replay(t, cfg, func(t *testing.T, off, on simResult) {
		assert.Assert(t, on.overMemory*2 <= off.overMemory, "%d samples over the memory, %d without", on.overMemory, off.overMemory)
		assert.Assert(t, on.servedRatio(0) >= 0.8, "%.3f", on.servedRatio(0))
	})
}

// Guards against servers that end because of long prompts, with all of their requests.
func TestShedServersEndOverMemory(t *testing.T) {
	cfg := simBase(urgentKind(usualRate, nil), middleKind(usualRate, nil), largeKind(usualRate, burst(burstFrom, burstFrom+4*time.Second, 2.5)))
	cfg.crashesOverMemory, cfg.seeds = true, 1
	compare(t, cfg, func(t *testing.T, off, on simResult) {
		assertMoreWorth(t, off, on, 0.15)
	})
}

// longBurst is a burst in which only the slots and queues of servers bind.
func longBurst(factor float64, maxQueue int) simConfig {
	cfg := simBase(allKinds(burst(burstFrom, burstFrom+12*time.Second, factor))...)
	cfg.memory, cfg.maxQueue, cfg.length, cfg.seeds = 0, maxQueue, 18*time.Second, 1
	return cfg
}

// assertNoneStarves asserts that each kind has answers where refusals are by share only.
func assertNoneStarves(t *testing.T, r simResult) {
	t.Helper()
	for i := range r.offered {
		assert.Assert(t, r.servedRatio(i) >= 0.3, "kind %d %.3f", i, r.servedRatio(i))
	}
}

// Guards against requests that wait at servers until their callers cancel, while the
// servers' queues have room.
func TestShedCancelledInLongQueues(t *testing.T) {
	compare(t, longBurst(2.5, 1000), func(t *testing.T, off, on simResult) {
		assert.Assert(t, on.cancelled*10 <= off.cancelled*9, "%d cancelled, %d without", on.cancelled, off.cancelled)
		assertNoneStarves(t, on)
	})
}

// Guards against urgent requests that full servers refuse, since less urgent ones have
// taken their queues. Without admission the servers refuse what would be cancelled later,
// so that more is cancelled with it, but more is answered as well.
func TestShedFullQueues(t *testing.T) {
	replay(t, longBurst(2.5, 48), func(t *testing.T, off, on simResult) {
		assertMoreWorth(t, off, on, 0.03)
		assert.Assert(t, on.servedTotal() > off.servedTotal(), "%d served, %d without", on.servedTotal(), off.servedTotal())
		assert.Assert(t, on.servedRatio(0) >= off.servedRatio(0), "urgent %.3f, %.3f without", on.servedRatio(0), off.servedRatio(0))
		assertNoneStarves(t, on)
	})
}

// Guards against a loss where the servers' queues are so short that nothing waits for long.
func TestShedShortQueues(t *testing.T) {
	compare(t, longBurst(1.7, 8), func(t *testing.T, _, on simResult) {
		assertNoneStarves(t, on)
	})
}

// Guards against refusals without evidence: a fleet that knows no load must behave as
// before.
func TestShedWithoutReports(t *testing.T) {
	cfg := simBase(allKinds(burst(burstFrom, burstFrom+3*time.Second, 2.5))...)
	cfg.noReports, cfg.memory, cfg.maxQueue = true, 0, 1000
	compare(t, cfg, func(t *testing.T, off, on simResult) {
		assert.Equal(t, on.refusals, off.refusals)
		assert.Equal(t, on.inTimeTotal(), off.inTimeTotal())
	})
}

// Guards against refusals at a usual load of 0.85 of what the servers can do.
func TestShedUsualLoad(t *testing.T) {
	compare(t, simBase(allKinds(nil)...), func(t *testing.T, off, on simResult) {
		assert.Assert(t, on.refusals*1000 <= on.offeredTotal(), "%d refusals", on.refusals)
		assertMoreInTime(t, off, on, -0.001)
	})
}

// Guards against a third of the servers that terminate: their places vanish.
func TestShedServerCrash(t *testing.T) {
	cfg := simBase(allKinds(nil)...)
	cfg.crashAt, cfg.crashed = burstFrom, 4
	compare(t, cfg, func(t *testing.T, off, on simResult) {
		assertMoreInTime(t, off, on, 0.05)
		assertMoreWorth(t, off, on, 0.025)
	})
}

// Guards against an entry VM that stops in a burst: what it refused or held is decided by
// the others.
func TestShedStoppingEntryVM(t *testing.T) {
	cfg := simBase(allKinds(burst(burstFrom, burstFrom+3*time.Second, 1.7))...)
	cfg.stopVMAt = burstFrom + time.Second
	compare(t, cfg, func(t *testing.T, off, on simResult) {
		assertMoreInTime(t, off, on, -0.001)
	})
}

// Guards against a partition between entry VMs in a burst: each decides by what it hears
// itself, and refuses nothing once the burst is over.
func TestShedPartition(t *testing.T) {
	cfg := simBase(allKinds(burst(burstFrom, burstFrom+3*time.Second, 1.7))...)
	cfg.cutFrom, cfg.cutTo = 4*time.Second, 10*time.Second
	compare(t, cfg, func(t *testing.T, off, on simResult) {
		assertMoreInTime(t, off, on, -0.001)
		assertMoreWorth(t, off, on, 0.005)
		// At the usual load the work that the burst left takes 9 s to end.
		assert.Assert(t, on.lastRefusal < burstFrom+12*time.Second, "%s", on.lastRefusal)
	})
}
