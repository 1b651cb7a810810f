package tssoak

import (
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tslimit"
)

const (
	// drawTimeout bounds a call to a holder.
	limitDrawTimeout = 150 * time.Millisecond
	// limitSettles is the time from the naming of a limit until it holds,
	// toldBefore how long ago an entry VM must have been told, and limitWindow
	// the span in which its requests count.
	limitSettleTime = 3 * time.Second
	minNoticeAge    = 500 * time.Millisecond
	limitWindow     = 4 * time.Second
	// limitFactor times what a limit allows in the window, and limitSlack
	// requests, may reach an engine.
	limitFactor        = 1.5
	limitSlackRequests = 5
	// rushRequests come within rushSpan, so that the limit matters.
	burstRequests = 60
	burstDuration = 12 * time.Second
)

// limit is what an engine names in its answers.
type engineLimit struct {
	perSecond float64
	since     time.Time
	// told is when an incarnation first heard of it.
	notified map[turmericshed.Incarnation]time.Time
	arrivals []arrival
}

type arrival struct {
	at time.Time
	vm *vm
}

// home returns an engine that a VM would send a profile's requests to; nil when
// there is none.
func (w *world) pickEngine(profile turmericshed.ProfileName) *engine {
	v := w.vms[w.rnd.IntN(len(w.vms))]
	s, err := v.router.Pick(w.now, profileRouteRequest(profile))
	if err != nil {
		return nil
	}
	v.router.Release(w.now, s.ID)
	return w.enginesByID[s.ID]
}

// limitEngine makes an engine name a limit for a time, under a rush of requests
// that would go there; it may change it meanwhile.
func (w *world) limitEngine() {
	profile := profileNames[w.rnd.IntN(len(profileNames))]
	e := w.pickEngine(profile)
	if e == nil || e.down || e.limit != nil {
		return
	}
	name := func() {
		e.limit = &engineLimit{perSecond: 0.1 + 0.7*w.rnd.Float64(), since: w.now, notified: map[turmericshed.Incarnation]time.Time{}}
		w.logf("%s names a limit of %.2f a second", e.id, e.limit.perSecond)
	}
	name()
	for range burstRequests {
		w.schedule(w.between(0, burstDuration), func() {
			if !w.healed {
				w.callers.send(profile, false)
			}
		})
	}
	if w.chance(0.3) {
		w.schedule(w.between(time.Second, burstDuration), name)
	}
	w.schedule(w.between(burstDuration, 2*burstDuration), func() {
		e.limit = nil
		w.logf("%s names no limit any more", e.id)
	})
}

// arrived checks an engine's limit over the window that ends now.
func (e *engine) recordArrival(v *vm) {
	l, now := e.limit, e.w.now
	if l == nil {
		return
	}
	l.arrivals = append(l.arrivals, arrival{at: now, vm: v})
	if now.Sub(l.since) < limitSettleTime+limitWindow {
		return
	}
	n := 0
	for _, a := range l.arrivals {
		told, ok := l.notified[a.vm.self.Incarnation]
		if ok && now.Sub(a.at) < limitWindow && a.at.Sub(told) >= minNoticeAge && !a.vm.exemptFromLimits() {
			n++
		}
	}
	e.w.books.limitChecks++
	turmericshed.Assert(float64(n) <= limitFactor*l.perSecond*limitWindow.Seconds()+limitSlackRequests, "limit_is_kept",
		"%s: %d requests in %s at a limit of %.2f a second", e.id, n, limitWindow, l.perSecond)
}

// excused reports whether the VM need not keep to limits, since it was paused
// or cut off from others of late.
func (v *vm) exemptFromLimits() bool {
	for other := domainA; other < locationCount; other++ {
		if !v.w.network.connected(v.location, other) || !v.w.network.connected(other, v.location) {
			return true
		}
	}
	return v.w.now.Sub(v.lastDisturbed) < limitSettleTime+limitWindow
}

// tellLimit tells an entry VM what an answer says of the engine's limit.
func (e *engine) sendLimit(v *vm, asked time.Time) {
	l, w := e.limit, e.w
	perSecond := 0.0
	if l != nil {
		perSecond = l.perSecond
	}
	w.send(e.location, v.location, func() {
		v.runOrQueue(func() {
			if _, ok := v.limits.Rate(e.id); !ok && perSecond == 0 {
				return
			}
			if l != nil && l.notified[v.self.Incarnation].IsZero() {
				l.notified[v.self.Incarnation] = w.now
			}
			v.limits.Note(turmericshed.LimitNotice{Server: e.id, PerSecond: perSecond, Asked: asked, Heard: w.now})
		})
	})
}

// draws are a VM's draws on an engine's limit.
type engineDraws struct {
	tslimit.Draws
	requestPending bool
	waiting        []func()
}

// holders returns the VMs that hand out an engine's limit.
func (v *vm) limitHolders(id turmericshed.ServerID) []turmericshed.EntryVM {
	return tslimit.Holders(append(v.members.Reachable(), v.self), id)
}

// acquire tells whether a request may be sent to an engine.
func (v *vm) acquirePermit(id turmericshed.ServerID, done func(ok bool)) {
	if _, limited := v.limits.Rate(id); !limited {
		done(true)
		return
	}
	d := v.limitDraws[id]
	if d == nil {
		d = &engineDraws{}
		v.limitDraws[id] = d
	}
	now := v.w.now
	taken, open := d.Take(now)
	if !open {
		done(taken)
		return
	}
	if d.requestPending {
		d.waiting = append(d.waiting, func() { v.acquirePermit(id, done) })
		return
	}
	holders := v.limitHolders(id)
	h, ok := d.Next(now, v.self.Name, holders, v.w.rnd.IntN(8))
	switch {
	case !ok && d.Alone(holders):
		rate, _ := v.limits.Rate(id)
		done(d.TakeAlone(now, rate, len(v.members.Reachable())+1, v.w.rnd.Float64()))
		return
	case !ok:
		d.Close(now, holders)
		done(false)
		return
	}
	d.requestPending = true
	v.drawPermits(id, h, d.Want(now), func(granted int, wait time.Duration, answered bool) {
		d.requestPending = false
		switch {
		case !answered:
			d.Failed(v.w.now, h.Name)
		case granted > 0:
			d.Granted(v.w.now, h.Name, granted)
		default:
			d.Refused(v.w.now, h.Name, wait)
		}
		waiting := d.waiting
		d.waiting = nil
		if answered {
			v.acquirePermit(id, done)
		} else {
			done(false)
		}
		for _, next := range waiting {
			next()
		}
	})
}

// drawFrom draws from a holder, which may be this VM.
func (v *vm) drawPermits(id turmericshed.ServerID, h turmericshed.EntryVM, want int, done func(granted int, wait time.Duration, answered bool)) {
	if h.Name == v.self.Name {
		granted, wait := v.grantPermits(id, want)
		done(granted, wait, true)
		return
	}
	over := false
	once := func(granted int, wait time.Duration, answered bool) {
		if !over {
			over = true
			done(granted, wait, answered)
		}
	}
	v.after(limitDrawTimeout, func() { once(0, 0, false) })
	to, ok := v.w.findVM(h.Incarnation)
	if !ok {
		return
	}
	notice, _ := v.limits.Notice(id)
	v.send(to, func() {
		told := notice
		told.Asked = told.Asked.Add(-tslimit.Transit)
		to.limits.Note(told)
		granted, wait := to.grantPermits(id, want)
		back, known := to.limits.Notice(id)
		to.send(v, func() {
			if known {
				v.limits.Note(back)
			}
			once(granted, wait, true)
		})
	})
}

// handOut gives permits of the part that this VM hands out.
func (v *vm) grantPermits(id turmericshed.ServerID, want int) (granted int, wait time.Duration) {
	holders := v.limitHolders(id)
	rate, limited := v.limits.Rate(id)
	switch {
	case !limited && v.limits.Knows(id):
		return want, 0
	case !limited || !slices.ContainsFunc(holders, func(h turmericshed.EntryVM) bool { return h.Name == v.self.Name }):
		return 0, 2 * time.Second
	}
	s := v.limitShares[id]
	if s == nil {
		s = tslimit.NewShare(v.w.now, v.w.rnd.Float64())
		v.limitShares[id] = s
	}
	return s.Take(v.w.now, tslimit.Part(rate, len(holders)), want)
}

// disturbVMs marks the VMs at a place, where a cut has ended.
func (w *world) markVMsDisturbed(at location) {
	for _, v := range w.vms {
		if v.location == at {
			v.lastDisturbed = w.now
		}
	}
}
