package tssoak

import (
	"time"

	"turmericshed"
	"turmericshed/standin/tsplatform"
)

// markDisturbed records that the effects of a fault last for d from now.
func (w *world) markDisturbed(d time.Duration) {
	if until := w.now.Add(d); until.After(w.disturbedUntil) {
		w.disturbedUntil = until
	}
}

// faultKind is a kind of fault: its relative frequency and the function that injects
// it.
type faultKind struct {
	weight int
	inject func(w *world)
}

// faultKinds returns the kinds of faults that a run injects.
func faultKinds() []faultKind {
	return []faultKind{
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

// scheduleNextFault schedules a random fault, which schedules the next one. The
// gaps are exponentially distributed.
func (w *world) scheduleNextFault() {
	gap := time.Duration(w.rnd.ExpFloat64() * float64(w.options.FaultInterval))
	w.schedule(gap, func() {
		if w.healed {
			return
		}
		faults := faultKinds()
		totalWeight := 0
		for _, f := range faults {
			totalWeight += f.weight
		}
		x := w.rnd.IntN(totalWeight)
		for _, f := range faults {
			if x -= f.weight; x < 0 {
				f.inject(w)
				break
			}
		}
		w.scheduleNextFault()
	})
}

// randomFaultDuration returns the duration of a cut or an outage: up to a minute
// in most cases, and 2 to 10 minutes in a tenth of them.
func (w *world) randomFaultDuration() time.Duration {
	if w.chance(0.1) {
		return w.between(2*time.Minute, 10*time.Minute)
	}
	return w.between(time.Second, time.Minute)
}

// cutOneWay drops the messages between two locations in one direction for d.
func (w *world) cutOneWay(from, to location, d time.Duration) {
	w.network.cuts[from][to]++
	w.markDisturbed(d)
	w.schedule(d, func() {
		w.network.cuts[from][to]--
		w.markVMsDisturbed(from)
		w.markVMsDisturbed(to)
	})
}

// cutDomains cuts the link between two random failure domains in one or both
// directions. It does nothing when both are the same.
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

// cutPlatform cuts the link between a random failure domain and the platform, in
// one or both directions.
func (w *world) cutPlatform() {
	domain := domainA + location(w.rnd.IntN(int(locationCount-domainA)))
	d := w.randomFaultDuration()
	direction := w.rnd.IntN(3)
	w.logf("cut %s and platform for %s, ways: %d", domain, d, direction)
	if direction != 1 {
		w.cutOneWay(domain, platform, d)
	}
	if direction != 2 {
		w.cutOneWay(platform, domain, d)
	}
}

// startStoreOutage makes the store unavailable for a random duration.
func (w *world) startStoreOutage() {
	d := w.randomFaultDuration()
	w.logf("the store is out for %s", d)
	w.markDisturbed(d)
	w.store.ChangeFaults(func(f *tsplatform.Faults) { f.Outage = true })
	w.schedule(d, func() { w.store.ChangeFaults(func(f *tsplatform.Faults) { f.Outage = false }) })
}

// slowStore adds latency to store calls for a random duration.
func (w *world) slowStore() {
	d := w.randomFaultDuration()
	extraLatency := w.between(100*time.Millisecond, 4*time.Second)
	w.logf("the store is slow by %s for %s", extraLatency, d)
	w.markDisturbed(d + 2*extraLatency)
	w.network.extraStoreLatency = extraLatency
	w.schedule(d, func() { w.network.extraStoreLatency = 0 })
}

// faultKeyPrefixes are the key prefixes that store faults apply to; the empty one
// matches all keys and is drawn more often.
var faultKeyPrefixes = [...]string{"", "", turmericshed.ProfilePrefix, turmericshed.BudgetPrefix, turmericshed.ClaimPrefix}

// loseStoreAnswers drops the answers to the next 1 to 4 writes of keys with a
// random prefix.
func (w *world) loseStoreAnswers() {
	w.store.ChangeFaults(func(f *tsplatform.Faults) {
		f.LoseAnswers = 1 + w.rnd.IntN(4)
		f.KeyPrefix = faultKeyPrefixes[w.rnd.IntN(len(faultKeyPrefixes))]
	})
}

// holdStoreWrites delays the next 1 to 3 writes of keys with a random prefix.
func (w *world) holdStoreWrites() {
	w.store.ChangeFaults(func(f *tsplatform.Faults) {
		f.HoldWrites = 1 + w.rnd.IntN(3)
		f.KeyPrefix = faultKeyPrefixes[w.rnd.IntN(len(faultKeyPrefixes))]
	})
	w.schedule(w.between(100*time.Millisecond, 30*time.Second), func() {
		if landed := w.store.ApplyHeldWrites(); landed > 0 {
			w.logf("%d held writes land", landed)
		}
	})
}

// pauseVM pauses a random VM for up to 90 s.
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

// crashVM crashes a random VM.
func (w *world) crashVM() {
	v := w.vms[w.rnd.IntN(len(w.vms))]
	if v.dead {
		return
	}
	w.logf("%s crashes", v.self.Incarnation)
	w.replaceVM(v)
}

// replaceVM terminates an incarnation. A new one starts 1 to 8 s later.
func (w *world) replaceVM(v *vm) {
	v.dead = true
	w.markDisturbed(10 * time.Second)
	w.callers.breakConnections(v)
	w.directory.RemoveEntry(v.self.Incarnation)
	w.schedule(w.between(time.Second, 8*time.Second), func() { w.vms[v.index] = w.newVM(v.index) })
}

// drainVM shuts a random VM down gracefully: the VM completes its open requests
// and returns its lots. It is terminated after 2 minutes at the latest.
func (w *world) drainVM() {
	v := w.vms[w.rnd.IntN(len(w.vms))]
	if v.dead || v.draining {
		return
	}
	w.logf("%s drains", v.self.Incarnation)
	v.draining = true
	w.markDisturbed(30 * time.Second)
	var checkDrained func()
	checkDrained = func() {
		switch {
		case v.dead:
		case v.openRequests == 0 && v.holdsNoTokens():
			w.logf("%s has drained", v.self.Incarnation)
			w.replaceVM(v)
		default:
			w.schedule(time.Second, checkDrained)
		}
	}
	w.schedule(time.Second, checkDrained)
	w.schedule(2*time.Minute, func() {
		if !v.dead {
			w.logf("%s is stopped before it has drained", v.self.Incarnation)
			w.replaceVM(v)
		}
	})
}

// holdsNoTokens reports whether the VM has no available and no lent tokens.
func (v *vm) holdsNoTokens() bool {
	for _, b := range v.budgetOrder {
		if v.holder.Available(b.id) > 0 || v.holder.Lent(b.id) > 0 {
			return false
		}
	}
	return true
}

// addFrameFault applies a random fault to an upcoming frame of a random engine.
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

// addServiceFault applies a random fault to an upcoming call of the service.
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

// heal removes the faults of the network, the store and the service and resumes
// the paused VMs. New faults and requests stop.
func (w *world) heal() {
	w.healed = true
	w.network = network{}
	w.store.SetFaults(tsplatform.Faults{})
	w.store.ApplyHeldWrites()
	w.service.loseAnswerNext, w.service.holdNext, w.service.crashNext = 0, 0, 0
	for _, v := range w.vms {
		if v.paused {
			v.resume()
		}
	}
	w.logf("healed")
}
