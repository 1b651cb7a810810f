package tssoak

import (
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tslimit"
)

const (
	// limitDrawTimeout bounds a call to a holder of an engine's limit.
	limitDrawTimeout = 150 * time.Millisecond
	// limitSettleTime is the time from the announcement of a limit until it must
	// be kept. limitWindow is the window in which requests are counted. A request
	// counts when its entry VM was notified of the limit at least minNoticeAge
	// before it arrived.
	limitSettleTime = 3 * time.Second
	minNoticeAge    = 500 * time.Millisecond
	limitWindow     = 4 * time.Second
	// An engine may receive limitFactor times the requests that its limit allows
	// in the window, plus limitSlackRequests.
	limitFactor        = 1.5
	limitSlackRequests = 5
	// burstRequests requests are sent within burstDuration, so that the limit is
	// reached.
	burstRequests = 60
	burstDuration = 12 * time.Second
)

// engineLimit is the request rate limit that an engine announces in its answers.
type engineLimit struct {
	perSecond float64
	since     time.Time
	// notified holds when each incarnation was first notified of the limit.
	notified map[turmericshed.Incarnation]time.Time
	arrivals []arrival
}

// arrival is a request that reached an engine with a limit.
type arrival struct {
	at time.Time
	vm *vm
}

// pickEngine returns the engine that a random VM would send a request of the
// profile to, or nil when there is none.
func (w *world) pickEngine(profile turmericshed.ProfileName) *engine {
	v := w.vms[w.rnd.IntN(len(w.vms))]
	s, err := v.router.Pick(w.now, profileRouteRequest(profile))
	if err != nil {
		return nil
	}
	v.router.Release(w.now, s.ID)
	return w.enginesByID[s.ID]
}

// limitEngine makes an engine announce a limit for some time, together with a
// burst of requests of a profile that is routed to that engine. The limit may
// change once during that time.
func (w *world) limitEngine() {
	profile := profileNames[w.rnd.IntN(len(profileNames))]
	e := w.pickEngine(profile)
	if e == nil || e.down || e.limit != nil {
		return
	}
	announce := func() {
		e.limit = &engineLimit{perSecond: 0.1 + 0.7*w.rnd.Float64(), since: w.now, notified: map[turmericshed.Incarnation]time.Time{}}
		w.logf("%s names a limit of %.2f a second", e.id, e.limit.perSecond)
	}
	announce()
	for range burstRequests {
		w.schedule(w.between(0, burstDuration), func() {
			if !w.healed {
				w.callers.send(profile, false)
			}
		})
	}
	if w.chance(0.3) {
		w.schedule(w.between(time.Second, burstDuration), announce)
	}
	w.schedule(w.between(burstDuration, 2*burstDuration), func() {
		e.limit = nil
		w.logf("%s names no limit any more", e.id)
	})
}

// recordArrival records a request from v and asserts that the engine's limit was
// kept in the window that ends now.
func (e *engine) recordArrival(v *vm) {
	l, now := e.limit, e.w.now
	if l == nil {
		return
	}
	l.arrivals = append(l.arrivals, arrival{at: now, vm: v})
	if now.Sub(l.since) < limitSettleTime+limitWindow {
		return
	}
	counted := 0
	for _, a := range l.arrivals {
		notifiedAt, ok := l.notified[a.vm.self.Incarnation]
		if ok && now.Sub(a.at) < limitWindow && a.at.Sub(notifiedAt) >= minNoticeAge && !a.vm.isExemptFromLimits() {
			counted++
		}
	}
	e.w.books.limitChecks++
	turmericshed.Assert(float64(counted) <= limitFactor*l.perSecond*limitWindow.Seconds()+limitSlackRequests, "limit_is_kept",
		"%s: %d requests in %s at a limit of %.2f a second", e.id, counted, limitWindow, l.perSecond)
}

// isExemptFromLimits reports whether the VM's requests don't count against a limit,
// because it is or recently was cut off from other VMs, or was recently paused.
func (v *vm) isExemptFromLimits() bool {
	for other := domainA; other < locationCount; other++ {
		if !v.w.network.connected(v.location, other) || !v.w.network.connected(other, v.location) {
			return true
		}
	}
	return v.w.now.Sub(v.lastDisturbed) < limitSettleTime+limitWindow
}

// sendLimit sends the engine's limit to an entry VM with the answer to a request
// that the VM made at asked. A rate of 0 means that there is no limit.
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
			v.limits.ApplyNotice(turmericshed.LimitNotice{Server: e.id, PerSecond: perSecond, RequestSentAt: asked, AnswerReceivedAt: w.now})
		})
	})
}

// engineDraws is the state of a VM's draws on the limit of one engine.
type engineDraws struct {
	tslimit.Draws
	requestPending bool
	waiting        []func()
}

// limitHolders returns the VMs that grant the permits of an engine's limit, in the
// view of this VM.
func (v *vm) limitHolders(id turmericshed.ServerID) []turmericshed.EntryVM {
	return tslimit.Holders(append(v.members.Reachable(), v.self), id)
}

// acquirePermit reports to done whether a request may be sent to the engine. For
// an engine with a limit it uses a permit, which it draws from a holder if this VM
// has none. Concurrent requests wait for the draw that is pending. When no holder
// answers, this VM uses only its even part of the limit.
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
	holder, ok := d.NextHolder(now, v.self.Name, holders, v.w.rnd.IntN(8))
	switch {
	case !ok && d.IsIsolated(holders):
		rate, _ := v.limits.Rate(id)
		done(d.TakeIsolated(now, rate, len(v.members.Reachable())+1, v.w.rnd.Float64()))
		return
	case !ok:
		d.Close(now, holders)
		done(false)
		return
	}
	d.requestPending = true
	v.drawPermits(id, holder, d.DrawSize(now), func(granted int, wait time.Duration, answered bool) {
		d.requestPending = false
		switch {
		case !answered:
			d.Failed(v.w.now, holder.Name)
		case granted > 0:
			d.Granted(v.w.now, holder.Name, granted)
		default:
			d.Refused(v.w.now, holder.Name, wait)
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

// drawPermits draws permits from a holder, which may be this VM, and exchanges
// limit notices with it. answered is false when no answer arrives in time.
func (v *vm) drawPermits(id turmericshed.ServerID, holder turmericshed.EntryVM, want int, done func(granted int, wait time.Duration, answered bool)) {
	if holder.Name == v.self.Name {
		granted, wait := v.grantPermits(id, want)
		done(granted, wait, true)
		return
	}
	finished := false
	once := func(granted int, wait time.Duration, answered bool) {
		if !finished {
			finished = true
			done(granted, wait, answered)
		}
	}
	v.after(limitDrawTimeout, func() { once(0, 0, false) })
	to, ok := v.w.findVM(holder.Incarnation)
	if !ok {
		return
	}
	notice, _ := v.limits.Notice(id)
	v.send(to, func() {
		forwarded := notice
		forwarded.RequestSentAt = forwarded.RequestSentAt.Add(-tslimit.MaxTransit)
		to.limits.ApplyNotice(forwarded)
		granted, wait := to.grantPermits(id, want)
		latest, hasNotice := to.limits.Notice(id)
		to.send(v, func() {
			if hasNotice {
				v.limits.ApplyNotice(latest)
			}
			once(granted, wait, true)
		})
	})
}

// grantPermits grants up to want permits from this VM's share of the limit, or
// returns how long the requester is to wait. It grants all of them when the limit
// has ended, and none when this VM is not a holder.
func (v *vm) grantPermits(id turmericshed.ServerID, want int) (granted int, wait time.Duration) {
	holders := v.limitHolders(id)
	rate, limited := v.limits.Rate(id)
	switch {
	case !limited && v.limits.HasNotice(id):
		return want, 0
	case !limited || !slices.ContainsFunc(holders, func(h turmericshed.EntryVM) bool { return h.Name == v.self.Name }):
		return 0, 2 * time.Second
	}
	s := v.limitShares[id]
	if s == nil {
		s = tslimit.NewShare(v.w.now, v.w.rnd.Float64())
		v.limitShares[id] = s
	}
	return s.Take(v.w.now, tslimit.PartRate(rate, len(holders)), want)
}

// markVMsDisturbed records for the VMs at a location that a cut of one of its
// links has ended.
func (w *world) markVMsDisturbed(loc location) {
	for _, v := range w.vms {
		if v.location == loc {
			v.lastDisturbed = w.now
		}
	}
}
