package tssoak

import (
	"time"

	"turmericshed"
	"turmericshed/standin/tsplatform"
)

// disturb tells that something is out of order for d from now on.
func (w *world) markDisturbed(d time.Duration) {
	if until := w.now.Add(d); until.After(w.disturbedUntil) {
		w.disturbedUntil = until
	}
}

// fault is one kind of failure, and how often it comes relative to others.
type fault struct {
	weight int
	begin  func(w *world)
}

// schedule returns the failures that a run draws from.
func faultKinds() []fault {
	return []fault{
		{10, (*world).cutDomains},
		{8, (*world).cutPlatform},
		{4, (*world).startStoreOutage},
		{4, (*world).slowStore},
		{10, (*world).loseStoreAnswers},
		{8, (*world).holdStoreWrites},
		{12, (*world).pauseVM},
		{8, (*world).crashVM},
		{6, (*world).drainVM},
		{4, func(w *world) { w.engines[w.rnd.IntN(len(w.engines))].crash() }},
		{4, func(w *world) { w.engines[w.rnd.IntN(len(w.engines))].leave() }},
		{10, (*world).addFrameFault},
		{10, (*world).addServiceFault},
		{8, (*world).limitEngine},
	}
}

// disturbAgain begins a random failure, and the next one later.
func (w *world) scheduleNextFault() {
	gap := time.Duration(w.rnd.ExpFloat64() * float64(w.options.FaultInterval))
	w.schedule(gap, func() {
		if w.healed {
			return
		}
		faults := faultKinds()
		sum := 0
		for _, f := range faults {
			sum += f.weight
		}
		x := w.rnd.IntN(sum)
		for _, f := range faults {
			if x -= f.weight; x < 0 {
				f.begin(w)
				break
			}
		}
		w.scheduleNextFault()
	})
}

// span is how long a cut or an outage lasts: mostly short, now and then long.
func (w *world) randomFaultDuration() time.Duration {
	if w.chance(0.1) {
		return w.between(2*time.Minute, 10*time.Minute)
	}
	return w.between(time.Second, time.Minute)
}

// cutWay cuts one way between two places for a while.
func (w *world) cutOneWay(from, to location, d time.Duration) {
	w.network.cuts[from][to]++
	w.markDisturbed(d)
	w.schedule(d, func() {
		w.network.cuts[from][to]--
		w.markVMsDisturbed(from)
		w.markVMsDisturbed(to)
	})
}

// cutDomains cuts failure domains from each other, both ways or one.
func (w *world) cutDomains() {
	from := domainA + location(w.rnd.IntN(int(locationCount-domainA)))
	to := domainA + location(w.rnd.IntN(int(locationCount-domainA)))
	if from == to {
		return
	}
	d := w.randomFaultDuration()
	oneWay := w.chance(0.3)
	w.logf("cut %s to %s for %s, one way: %v", from, to, d, oneWay)
	w.cutOneWay(from, to, d)
	if !oneWay {
		w.cutOneWay(to, from, d)
	}
}

// cutPlatform cuts a failure domain from the platform, both ways or one.
func (w *world) cutPlatform() {
	at := domainA + location(w.rnd.IntN(int(locationCount-domainA)))
	d := w.randomFaultDuration()
	way := w.rnd.IntN(3)
	w.logf("cut %s and platform for %s, ways: %d", at, d, way)
	if way != 1 {
		w.cutOneWay(at, platform, d)
	}
	if way != 2 {
		w.cutOneWay(platform, at, d)
	}
}

func (w *world) startStoreOutage() {
	d := w.randomFaultDuration()
	w.logf("the store is out for %s", d)
	w.markDisturbed(d)
	w.store.ChangeFaults(func(f *tsplatform.Faults) { f.Outage = true })
	w.schedule(d, func() { w.store.ChangeFaults(func(f *tsplatform.Faults) { f.Outage = false }) })
}

func (w *world) slowStore() {
	d := w.randomFaultDuration()
	slow := w.between(100*time.Millisecond, 4*time.Second)
	w.logf("the store is slow by %s for %s", slow, d)
	w.markDisturbed(d + 2*slow)
	w.network.extraStoreLatency = slow
	w.schedule(d, func() { w.network.extraStoreLatency = 0 })
}

// keys are the keys whose writes are lost or late; the empty prefix is all.
var faultKeyPrefixes = [...]string{"", "", turmericshed.ProfilePrefix, turmericshed.BudgetPrefix, turmericshed.ClaimPrefix}

// loseAnswers loses the answers to the next writes of some keys.
func (w *world) loseStoreAnswers() {
	w.store.ChangeFaults(func(f *tsplatform.Faults) {
		f.LoseAnswers = 1 + w.rnd.IntN(4)
		f.KeyPrefix = faultKeyPrefixes[w.rnd.IntN(len(faultKeyPrefixes))]
	})
}

// holdWrites makes the next writes of some keys land late.
func (w *world) holdStoreWrites() {
	w.store.ChangeFaults(func(f *tsplatform.Faults) {
		f.HoldWrites = 1 + w.rnd.IntN(3)
		f.KeyPrefix = faultKeyPrefixes[w.rnd.IntN(len(faultKeyPrefixes))]
	})
	w.schedule(w.between(100*time.Millisecond, 30*time.Second), func() {
		if landed := w.store.LandHeld(); landed > 0 {
			w.logf("%d held writes land", landed)
		}
	})
}

func (w *world) pauseVM() {
	v := w.vms[w.rnd.IntN(len(w.vms))]
	if v.dead || v.paused {
		return
	}
	d := w.between(100*time.Millisecond, 90*time.Second)
	w.logf("%s is paused for %s", v.self.Incarnation, d)
	w.markDisturbed(d)
	v.paused = true
	w.schedule(d, v.resume)
}

func (w *world) crashVM() {
	v := w.vms[w.rnd.IntN(len(w.vms))]
	if v.dead {
		return
	}
	w.logf("%s crashes", v.self.Incarnation)
	w.replaceVM(v)
}

// replaceVM ends an incarnation; another one takes its place.
func (w *world) replaceVM(v *vm) {
	v.dead = true
	w.markDisturbed(10 * time.Second)
	w.callers.breakConnections(v)
	w.directory.RemoveEntry(v.self.Incarnation)
	w.schedule(w.between(time.Second, 8*time.Second), func() { w.vms[v.index] = w.newVM(v.index) })
}

// drainVM stops a VM gracefully: it finishes what runs and returns its lots.
func (w *world) drainVM() {
	v := w.vms[w.rnd.IntN(len(w.vms))]
	if v.dead || v.draining {
		return
	}
	w.logf("%s drains", v.self.Incarnation)
	v.draining = true
	w.markDisturbed(30 * time.Second)
	var look func()
	look = func() {
		switch {
		case v.dead:
		case v.openRequests == 0 && v.holdsNoTokens():
			w.logf("%s has drained", v.self.Incarnation)
			w.replaceVM(v)
		default:
			w.schedule(time.Second, look)
		}
	}
	w.schedule(time.Second, look)
	w.schedule(2*time.Minute, func() {
		if !v.dead {
			w.logf("%s is stopped before it has drained", v.self.Incarnation)
			w.replaceVM(v)
		}
	})
}

// emptyHanded reports whether a VM holds no tokens.
func (v *vm) holdsNoTokens() bool {
	for _, b := range v.budgetOrder {
		if v.holder.Available(b.id) > 0 || v.holder.Lent(b.id) > 0 {
			return false
		}
	}
	return true
}

func (w *world) addFrameFault() {
	e := w.engines[w.rnd.IntN(len(w.engines))]
	switch w.rnd.IntN(4) {
	case 0:
		e.misrouteNext++
	case 1:
		e.delayNext++
	case 2:
		e.duplicateNext++
	default:
		e.dropNext++
	}
}

func (w *world) addServiceFault() {
	switch w.rnd.IntN(3) {
	case 0:
		w.service.loseAnswerNext++
	case 1:
		w.service.holdNext++
	default:
		w.service.crashNext++
	}
}

// heal ends every failure.
func (w *world) heal() {
	w.healed = true
	w.network = network{}
	w.store.SetFaults(tsplatform.Faults{})
	w.store.LandHeld()
	w.service.loseAnswerNext, w.service.holdNext, w.service.crashNext = 0, 0, 0
	for _, v := range w.vms {
		if v.paused {
			v.resume()
		}
	}
	w.logf("healed")
}
