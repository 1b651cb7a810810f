package tssoak

import (
	"time"

	"turmericshed"
	"turmericshed/standin/tsplatform"
)

// disturb tells that something is out of order for d from now on.
func (w *world) disturb(d time.Duration) {
	if until := w.now.Add(d); until.After(w.lastFault) {
		w.lastFault = until
	}
}

// fault is one kind of failure, and how often it comes relative to others.
type fault struct {
	weight int
	begin  func(w *world)
}

// schedule returns the failures that a run draws from.
func schedule() []fault {
	return []fault{
		{10, (*world).cutDomains},
		{8, (*world).cutPlatform},
		{4, (*world).outage},
		{4, (*world).slowness},
		{10, (*world).loseAnswers},
		{8, (*world).holdWrites},
		{12, (*world).pauseVM},
		{8, (*world).crashVM},
		{6, (*world).drainVM},
		{4, func(w *world) { w.engines[w.rnd.IntN(len(w.engines))].crash() }},
		{4, func(w *world) { w.engines[w.rnd.IntN(len(w.engines))].leave() }},
		{10, (*world).frameFaults},
		{10, (*world).serviceFaults},
		{8, (*world).limitEngine},
	}
}

// disturbAgain begins a random failure, and the next one later.
func (w *world) disturbAgain() {
	gap := time.Duration(w.rnd.ExpFloat64() * float64(w.o.FaultInterval))
	w.at(gap, func() {
		if w.healed {
			return
		}
		faults := schedule()
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
		w.disturbAgain()
	})
}

// span is how long a cut or an outage lasts: mostly short, now and then long.
func (w *world) span() time.Duration {
	if w.chance(0.1) {
		return w.between(2*time.Minute, 10*time.Minute)
	}
	return w.between(time.Second, time.Minute)
}

// cutWay cuts one way between two places for a while.
func (w *world) cutWay(from, to place, d time.Duration) {
	w.net.cut[from][to]++
	w.disturb(d)
	w.at(d, func() {
		w.net.cut[from][to]--
		w.disturbVMs(from)
		w.disturbVMs(to)
	})
}

// cutDomains cuts failure domains from each other, both ways or one.
func (w *world) cutDomains() {
	from := domainA + place(w.rnd.IntN(int(places-domainA)))
	to := domainA + place(w.rnd.IntN(int(places-domainA)))
	if from == to {
		return
	}
	d := w.span()
	oneWay := w.chance(0.3)
	w.logf("cut %s to %s for %s, one way: %v", from, to, d, oneWay)
	w.cutWay(from, to, d)
	if !oneWay {
		w.cutWay(to, from, d)
	}
}

// cutPlatform cuts a failure domain from the platform, both ways or one.
func (w *world) cutPlatform() {
	at := domainA + place(w.rnd.IntN(int(places-domainA)))
	d := w.span()
	way := w.rnd.IntN(3)
	w.logf("cut %s and platform for %s, ways: %d", at, d, way)
	if way != 1 {
		w.cutWay(at, platform, d)
	}
	if way != 2 {
		w.cutWay(platform, at, d)
	}
}

func (w *world) outage() {
	d := w.span()
	w.logf("the store is out for %s", d)
	w.disturb(d)
	w.store.ChangeFaults(func(f *tsplatform.Faults) { f.Outage = true })
	w.at(d, func() { w.store.ChangeFaults(func(f *tsplatform.Faults) { f.Outage = false }) })
}

func (w *world) slowness() {
	d := w.span()
	slow := w.between(100*time.Millisecond, 4*time.Second)
	w.logf("the store is slow by %s for %s", slow, d)
	w.disturb(d + 2*slow)
	w.net.slow = slow
	w.at(d, func() { w.net.slow = 0 })
}

// keys are the keys whose writes are lost or late; the empty prefix is all.
var keys = [...]string{"", "", turmericshed.ProfilePrefix, turmericshed.BudgetPrefix, turmericshed.ClaimPrefix}

// loseAnswers loses the answers to the next writes of some keys.
func (w *world) loseAnswers() {
	w.store.ChangeFaults(func(f *tsplatform.Faults) {
		f.LoseAnswers = 1 + w.rnd.IntN(4)
		f.KeyPrefix = keys[w.rnd.IntN(len(keys))]
	})
}

// holdWrites makes the next writes of some keys land late.
func (w *world) holdWrites() {
	w.store.ChangeFaults(func(f *tsplatform.Faults) {
		f.HoldWrites = 1 + w.rnd.IntN(3)
		f.KeyPrefix = keys[w.rnd.IntN(len(keys))]
	})
	w.at(w.between(100*time.Millisecond, 30*time.Second), func() {
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
	w.disturb(d)
	v.paused = true
	w.at(d, v.wake)
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
	w.disturb(10 * time.Second)
	w.callers.broken(v)
	w.directory.RemoveEntry(v.self.Incarnation)
	w.at(w.between(time.Second, 8*time.Second), func() { w.vms[v.index] = w.newVM(v.index) })
}

// drainVM stops a VM gracefully: it finishes what runs and returns its lots.
func (w *world) drainVM() {
	v := w.vms[w.rnd.IntN(len(w.vms))]
	if v.dead || v.draining {
		return
	}
	w.logf("%s drains", v.self.Incarnation)
	v.draining = true
	w.disturb(30 * time.Second)
	var look func()
	look = func() {
		switch {
		case v.dead:
		case v.running == 0 && v.emptyHanded():
			w.logf("%s has drained", v.self.Incarnation)
			w.replaceVM(v)
		default:
			w.at(time.Second, look)
		}
	}
	w.at(time.Second, look)
	w.at(2*time.Minute, func() {
		if !v.dead {
			w.logf("%s is stopped before it has drained", v.self.Incarnation)
			w.replaceVM(v)
		}
	})
}

// emptyHanded reports whether a VM holds no tokens.
func (v *vm) emptyHanded() bool {
	for _, b := range v.order {
		if v.holder.Available(b.id) > 0 || v.holder.Lent(b.id) > 0 {
			return false
		}
	}
	return true
}

func (w *world) frameFaults() {
	e := w.engines[w.rnd.IntN(len(w.engines))]
	switch w.rnd.IntN(4) {
	case 0:
		e.crossed++
	case 1:
		e.late++
	case 2:
		e.doubled++
	default:
		e.missing++
	}
}

func (w *world) serviceFaults() {
	switch w.rnd.IntN(3) {
	case 0:
		w.service.lost++
	case 1:
		w.service.held++
	default:
		w.service.crash++
	}
}

// heal ends every failure.
func (w *world) heal() {
	w.healed = true
	w.net = network{}
	w.store.SetFaults(tsplatform.Faults{})
	w.store.LandHeld()
	w.service.lost, w.service.held, w.service.crash = 0, 0, 0
	for _, v := range w.vms {
		if v.paused {
			v.wake()
		}
	}
	w.logf("healed")
}
