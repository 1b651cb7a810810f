package tssoak

import (
	"maps"
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tsclaim"
	"turmericshed/core/tsupdate"
)

const (
	// callTimeout is how long a VM waits for a service.
	callTimeout = 2 * time.Second
	// pollInterval is how often an open claim of another VM is read again.
	claimPollInterval = time.Second
	// writeRetry is the wait before an outcome is written again.
	settleRetryInterval = time.Second
	// silentAfter is the age at which an open claim of a runner that is gone
	// is put in doubt.
	goneRunnerAge = 30 * time.Second
	// resolveChance is the part of ticks in which a VM visits a slot.
	resolveProbability = 0.05
)

// phase is how far a VM has come with a claim of its own.
type claimPhase int

const (
	phaseClaiming claimPhase = iota
	phaseHeld
	phaseDispatched
	phaseEnded
)

// record is a claim of this VM. A claim without a record is never dispatched.
type claimRecord struct {
	id         tsclaim.ID
	claim      turmericshed.ClaimID
	op         tsclaim.Op
	attempt    *callerAttempt
	phase      claimPhase
	dispatches int
	deadline   time.Time
	// answer is set once the call was answered, doubted once it may have run.
	answer  *turmericshed.Answer
	inDoubt bool
	waiting []*callerAttempt
}

// place takes a call in: it may run at most once.
func (v *vm) acceptCall(t *callerAttempt) {
	r := t.req
	t.work = t
	if p, ok := v.profile(r.profile); !ok || p.Closed || v.draining {
		r.failAttempt(t, turmericshed.NewError(turmericshed.KindDraining, "not served here"))
		return
	}
	call := turmericshed.Call{
		Account: r.account, Profile: r.profile, Service: "booking", Key: r.key, Digest: r.digest, Request: turmericshed.RequestID(r.key),
	}
	claim := turmericshed.ClaimID(v.w.newID("claim-"))
	op := tsclaim.ClaimOp(call, claim, v.self.Incarnation)
	if rec, ok := v.calls[op.ID]; ok {
		v.joinCall(rec, t)
		return
	}
	rec := &claimRecord{id: op.ID, claim: claim, op: op, attempt: t, deadline: t.deadline}
	v.calls[op.ID] = rec
	v.openRequests++
	v.applyClaimOp(op, func(res tsclaim.Result) { v.handleClaimed(rec, res) })
}

// join waits for a claim of this VM on the same call.
func (v *vm) joinCall(rec *claimRecord, t *callerAttempt) {
	rec.waiting = append(rec.waiting, t)
	v.after(callerDeadline, func() { t.endUnknown() })
}

func (t *callerAttempt) endUnknown() {
	t.req.failAttempt(t, turmericshed.NewError(turmericshed.KindCallUnknown, "may have run"))
}

// commit applies an operation to the head of its slot.
func (v *vm) applyClaimOp(op tsclaim.Op, done func(res tsclaim.Result)) {
	var res tsclaim.Result
	slot := op.ID.Slot()
	v.updateKey(tsclaim.HeadKey(slot), claimMutation(op, slot, &res, func() time.Time { return v.w.now }), func(_ turmericshed.Item, err error) {
		if err != nil {
			res = tsclaim.Result{Err: err}
		}
		done(res)
	})
}

// applyOp is the mutation of a head by one operation.
func claimMutation(op tsclaim.Op, slot int, res *tsclaim.Result, now func() time.Time) tsupdate.Mutation {
	return func(cur turmericshed.Item) ([]byte, error) {
		h, err := tsclaim.DecodeHead(cur.Value, slot)
		if err != nil {
			return nil, err
		}
		*res = h.Apply(op, now(), nil)
		if res.Err != nil || !res.Changed {
			return nil, nil
		}
		return h.Encode()
	}
}

// claimed goes on once the claim was written, or met another.
func (v *vm) handleClaimed(rec *claimRecord, res tsclaim.Result) {
	e := res.Entry
	switch {
	case res.Err != nil:
		// The claim may stand: nothing is ever sent under it.
		v.abandonCall(rec, turmericshed.NewError(turmericshed.KindStoreUnavailable, "no claim: %v", res.Err))
	case e.Claim == rec.claim && e.State == tsclaim.StateOpen:
		rec.phase = phaseHeld
		v.dispatchCall(rec)
	case e.Claim == rec.claim:
		// Put in doubt before this VM learned that it stands.
		v.abandonCall(rec, turmericshed.NewError(turmericshed.KindStoreUnavailable, "the claim is %s", e.State))
	default:
		v.removeClaim(rec)
		v.handleExisting(rec.attempt, rec.op, e)
		for _, t := range rec.waiting {
			v.handleExisting(t, rec.op, e)
		}
	}
}

// meet decides on an entry that another claim holds.
func (v *vm) handleExisting(t *callerAttempt, op tsclaim.Op, e tsclaim.Entry) {
	switch e.State {
	case tsclaim.StateDone:
		t.req.acceptCallAnswer(t, *e.Answer)
	case tsclaim.StateNotRun:
		t.req.failAttempt(t, turmericshed.NewError(turmericshed.KindConflict, "settled as not run by %s", e.By))
	case tsclaim.StateAbandoned:
		t.req.failAttempt(t, turmericshed.NewError(turmericshed.KindStoreUnavailable, "released, ask again"))
	case tsclaim.StateInDoubt:
		t.endUnknown()
	default:
		v.pollExisting(t, op)
	}
}

// awaitOther polls the head until the runner of an open claim has settled it.
func (v *vm) pollExisting(t *callerAttempt, op tsclaim.Op) {
	if !v.w.now.Before(t.deadline) {
		t.endUnknown()
		return
	}
	v.after(claimPollInterval, func() {
		v.callStore(tsupdate.Step{Read: true, Key: tsclaim.HeadKey(op.ID.Slot())}, func(r tsupdate.Reply) {
			h, err := tsclaim.DecodeHead(r.Item.Value, op.ID.Slot())
			if e, ok := h.Entries[op.ID]; r.Err == nil && err == nil && ok {
				v.handleExisting(t, op, e)
				return
			}
			v.pollExisting(t, op)
		})
	})
}

// dispatch sends the call to a server of the service, unless the claim was
// given up or its time is over.
func (v *vm) dispatchCall(rec *claimRecord) {
	if rec.phase != phaseHeld && rec.phase != phaseDispatched {
		return
	}
	if !v.w.now.Before(rec.deadline) || rec.dispatches >= maxDispatches {
		v.abandonCall(rec, turmericshed.NewError(turmericshed.KindDeadline, "not sent in time"))
		return
	}
	rec.dispatches++
	rec.phase = phaseDispatched
	s := v.w.service
	server := v.w.rnd.IntN(len(s.down))
	at := domainA + location(server)
	if s.down[server] || !v.w.network.connected(v.location, at) {
		v.after(v.w.between(time.Millisecond, connectTimeout), func() { v.dispatchCall(rec) })
		return
	}
	v.w.schedule(v.w.network.latency(v.w, v.location, at), func() {
		s.run(server, rec.attempt.req, func(a turmericshed.Answer) {
			v.w.send(at, v.location, func() { v.runOrQueue(func() { v.completeCall(rec, a) }) })
		})
	})
	v.after(callTimeout, func() { v.markInDoubt(rec) })
}

// finish bars a claim; it reports whether that had not happened before.
func (rec *claimRecord) markEnded() bool {
	first := rec.phase != phaseEnded
	rec.phase = phaseEnded
	return first
}

func (v *vm) completeCall(rec *claimRecord, a turmericshed.Answer) {
	if !rec.markEnded() {
		return
	}
	rec.answer = &a
	for _, t := range append(rec.waiting, rec.attempt) {
		t.req.acceptCallAnswer(t, a)
	}
	v.settleClaim(rec, tsclaim.Op{Kind: tsclaim.OpComplete, Entry: tsclaim.Entry{Answer: &a}})
}

func (v *vm) markInDoubt(rec *claimRecord) {
	if !rec.markEnded() {
		return
	}
	rec.inDoubt = true
	for _, t := range append(rec.waiting, rec.attempt) {
		t.endUnknown()
	}
	v.settleClaim(rec, tsclaim.Op{Kind: tsclaim.OpDoubt, Entry: tsclaim.Entry{Reason: "no answer"}})
}

// abandon gives up a claim under which nothing was sent.
func (v *vm) abandonCall(rec *claimRecord, err error) {
	if !rec.markEnded() {
		return
	}
	for _, t := range append(rec.waiting, rec.attempt) {
		t.req.failAttempt(t, err)
	}
	v.settleClaim(rec, tsclaim.Op{Kind: tsclaim.OpAbandon, NeverSent: true, Entry: tsclaim.Entry{Reason: "not sent"}})
}

// drop forgets a claim that does not stand.
func (v *vm) removeClaim(rec *claimRecord) {
	if v.calls[rec.id] == rec {
		delete(v.calls, rec.id)
		v.openRequests--
	}
}

// settle writes an outcome until it stands, then forgets the claim.
func (v *vm) settleClaim(rec *claimRecord, op tsclaim.Op) {
	op.ID, op.Claim = rec.id, rec.claim
	v.applyClaimOp(op, func(res tsclaim.Result) {
		switch turmericshed.KindOf(res.Err) {
		case turmericshed.KindNone, turmericshed.KindConflict, turmericshed.KindNotFound:
			v.removeClaim(rec)
		default:
			v.after(settleRetryInterval, func() { v.settleClaim(rec, op) })
		}
	})
}

// resolve settles the claims of runners that are gone, in one slot.
func (v *vm) resolveSlot() {
	if v.draining || !v.w.chance(resolveProbability) {
		return
	}
	slot := v.w.rnd.IntN(tsclaim.Slots)
	v.callStore(tsupdate.Step{Read: true, Key: tsclaim.HeadKey(slot)}, func(r tsupdate.Reply) {
		h, err := tsclaim.DecodeHead(r.Item.Value, slot)
		if r.Err != nil || err != nil {
			return
		}
		for _, id := range slices.Sorted(maps.Keys(h.Entries)) {
			v.resolveEntry(id, h.Entries[id])
		}
	})
}

func (v *vm) resolveEntry(id tsclaim.ID, e tsclaim.Entry) {
	gone := e.State == tsclaim.StateOpen && v.isGone(e.Runner) && v.w.now.Sub(e.At) > goneRunnerAge
	if !gone && e.State != tsclaim.StateInDoubt {
		return
	}
	op := tsclaim.Op{Kind: tsclaim.OpDoubt, ID: id, Claim: e.Claim, Entry: tsclaim.Entry{Reason: "its runner is gone"}}
	if a, ok := v.w.service.lookup(v, string(e.Account)+"/"+e.Key); ok {
		op = tsclaim.Op{Kind: tsclaim.OpResolve, ID: id, Claim: e.Claim, Entry: tsclaim.Entry{Answer: &a, By: "look-up"}}
	} else if !gone {
		return
	}
	v.applyClaimOp(op, func(tsclaim.Result) {})
}
