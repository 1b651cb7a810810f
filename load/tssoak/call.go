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
	// callTimeout is how long a VM waits for the answer of the service.
	callTimeout = 2 * time.Second
	// claimPollInterval is the time between two reads of another VM's open claim.
	claimPollInterval = time.Second
	// settleRetryInterval is the wait before the write of an outcome is retried.
	settleRetryInterval = time.Second
	// goneRunnerAge is the age from which the open claim of a gone runner is put
	// in doubt.
	goneRunnerAge = 30 * time.Second
	// resolveProbability is the share of ticks in which a VM resolves the claims
	// of a slot.
	resolveProbability = 0.05
)

// claimPhase is the progress of a VM with one of its claims.
type claimPhase int

const (
	phaseClaiming claimPhase = iota
	phaseHeld
	phaseDispatched
	phaseEnded
)

// claimRecord is the state of a claim of this VM. A call is only dispatched under
// a claim that has a record.
type claimRecord struct {
	id         tsclaim.ID
	claim      turmericshed.ClaimID
	op         tsclaim.Op
	attempt    *callerAttempt
	phase      claimPhase
	dispatches int
	deadline   time.Time
	// answer is set once the call was answered, and inDoubt once the call may have
	// run without an answer.
	answer  *turmericshed.Answer
	inDoubt bool
	// waiting holds the other attempts at the same call.
	waiting []*callerAttempt
}

// acceptCall handles a call, which may run at most once. It writes a claim for the
// call, or joins this VM's claim on the same call.
func (v *vm) acceptCall(t *callerAttempt) {
	r := t.req
	t.work = t
	if p, ok := v.profile(r.profile); !ok || p.Closed || v.draining {
		r.failAttempt(t, turmericshed.NewError(turmericshed.KindDraining, "entry VM is draining, or the profile is unknown or closed"))
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

// joinCall waits for the outcome of this VM's claim on the same call, at most for
// callerDeadline.
func (v *vm) joinCall(rec *claimRecord, t *callerAttempt) {
	rec.waiting = append(rec.waiting, t)
	v.after(callerDeadline, func() { t.endUnknown() })
}

// endUnknown ends the attempt with KindCallUnknown.
func (t *callerAttempt) endUnknown() {
	t.req.failAttempt(t, turmericshed.NewError(turmericshed.KindCallUnknown, "the call may have run"))
}

// applyClaimOp applies an operation to the head of its slot in the store.
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

// claimMutation returns the mutation that applies an operation to a head. It
// stores the result of the operation in res.
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

// handleClaimed continues with the result of writing a claim: it dispatches the
// call, or handles the existing claim.
func (v *vm) handleClaimed(rec *claimRecord, res tsclaim.Result) {
	e := res.Entry
	switch {
	case res.Err != nil:
		// The claim may have been written, but nothing is ever sent under it.
		v.abandonCall(rec, turmericshed.NewError(turmericshed.KindStoreUnavailable, "claim was not confirmed: %v", res.Err))
	case e.Claim == rec.claim && e.State == tsclaim.StateOpen:
		rec.phase = phaseHeld
		v.dispatchCall(rec)
	case e.Claim == rec.claim:
		// Another VM put the claim in doubt before this VM learned that it was
		// written.
		v.abandonCall(rec, turmericshed.NewError(turmericshed.KindStoreUnavailable, "claim is already %s", e.State))
	default:
		v.removeClaim(rec)
		v.handleExisting(rec.attempt, rec.op, e)
		for _, t := range rec.waiting {
			v.handleExisting(t, rec.op, e)
		}
	}
}

// handleExisting handles an attempt at a call that another claim holds.
func (v *vm) handleExisting(t *callerAttempt, op tsclaim.Op, e tsclaim.Entry) {
	switch e.State {
	case tsclaim.StateDone:
		t.req.acceptCallAnswer(t, *e.Answer)
	case tsclaim.StateNotRun:
		t.req.failAttempt(t, turmericshed.NewError(turmericshed.KindConflict, "settled as not run by %s", e.By))
	case tsclaim.StateAbandoned:
		t.req.failAttempt(t, turmericshed.NewError(turmericshed.KindStoreUnavailable, "the earlier claim was released: retry"))
	case tsclaim.StateInDoubt:
		t.endUnknown()
	default:
		v.pollExisting(t, op)
	}
}

// pollExisting polls the head until another VM's open claim is settled. The
// attempt ends with KindCallUnknown when its deadline passes first.
func (v *vm) pollExisting(t *callerAttempt, op tsclaim.Op) {
	if !v.w.now.Before(t.deadline) {
		t.endUnknown()
		return
	}
	v.after(claimPollInterval, func() {
		v.callStore(tsupdate.Step{Read: true, Key: tsclaim.HeadKey(op.ID.Slot())}, func(r tsupdate.StepResult) {
			h, err := tsclaim.DecodeHead(r.Item.Value, op.ID.Slot())
			if e, ok := h.Entries[op.ID]; r.Err == nil && err == nil && ok {
				v.handleExisting(t, op, e)
				return
			}
			v.pollExisting(t, op)
		})
	})
}

// dispatchCall sends the call to a random server of the service and tries again
// after a failed connection. It abandons the call at its deadline or after
// maxDispatches, and does nothing once the claim has ended.
func (v *vm) dispatchCall(rec *claimRecord) {
	if rec.phase != phaseHeld && rec.phase != phaseDispatched {
		return
	}
	if !v.w.now.Before(rec.deadline) || rec.dispatches >= maxDispatches {
		v.abandonCall(rec, turmericshed.NewError(turmericshed.KindDeadline, "call was not sent before its deadline or within its dispatch limit"))
		return
	}
	rec.dispatches++
	rec.phase = phaseDispatched
	s := v.w.service
	server := v.w.rnd.IntN(len(s.down))
	serverLocation := domainA + location(server)
	if s.down[server] || !v.w.network.connected(v.location, serverLocation) {
		v.after(v.w.between(time.Millisecond, connectTimeout), func() { v.dispatchCall(rec) })
		return
	}
	v.w.schedule(v.w.network.latency(v.w, v.location, serverLocation), func() {
		s.run(server, rec.attempt.req, func(a turmericshed.Answer) {
			v.w.send(serverLocation, v.location, func() { v.runOrQueue(func() { v.completeCall(rec, a) }) })
		})
	})
	v.after(callTimeout, func() { v.markInDoubt(rec) })
}

// markEnded blocks further dispatches under the claim. It reports false if the
// claim has already ended.
func (rec *claimRecord) markEnded() bool {
	first := rec.phase != phaseEnded
	rec.phase = phaseEnded
	return first
}

// completeCall passes the answer to the attempts and settles the claim as done.
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

// markInDoubt ends the attempts as unknown and puts the claim in doubt.
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

// abandonCall fails the attempts with err and releases the claim, under which
// nothing was sent.
func (v *vm) abandonCall(rec *claimRecord, err error) {
	if !rec.markEnded() {
		return
	}
	for _, t := range append(rec.waiting, rec.attempt) {
		t.req.failAttempt(t, err)
	}
	v.settleClaim(rec, tsclaim.Op{Kind: tsclaim.OpAbandon, NeverSent: true, Entry: tsclaim.Entry{Reason: "not sent"}})
}

// removeClaim removes the record of a claim that was settled or never written.
func (v *vm) removeClaim(rec *claimRecord) {
	if v.calls[rec.id] == rec {
		delete(v.calls, rec.id)
		v.openRequests--
	}
}

// settleClaim writes the outcome of a claim, with retries until the store accepts
// or rejects it, and then removes the record.
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

// resolveSlot resolves the entries of one random slot, with resolveProbability.
func (v *vm) resolveSlot() {
	if v.draining || !v.w.chance(resolveProbability) {
		return
	}
	slot := v.w.rnd.IntN(tsclaim.Slots)
	v.callStore(tsupdate.Step{Read: true, Key: tsclaim.HeadKey(slot)}, func(r tsupdate.StepResult) {
		h, err := tsclaim.DecodeHead(r.Item.Value, slot)
		if r.Err != nil || err != nil {
			return
		}
		for _, id := range slices.Sorted(maps.Keys(h.Entries)) {
			v.resolveEntry(id, h.Entries[id])
		}
	})
}

// resolveEntry completes an entry that is in doubt, or whose runner is gone, with
// the answer that it finds at the service. Without one it puts the open entry of a
// gone runner in doubt.
func (v *vm) resolveEntry(id tsclaim.ID, e tsclaim.Entry) {
	runnerGone := e.State == tsclaim.StateOpen && v.isGone(e.Runner) && v.w.now.Sub(e.At) > goneRunnerAge
	if !runnerGone && e.State != tsclaim.StateInDoubt {
		return
	}
	op := tsclaim.Op{Kind: tsclaim.OpDoubt, ID: id, Claim: e.Claim, Entry: tsclaim.Entry{Reason: "its runner is gone"}}
	if a, ok := v.w.service.lookup(v, string(e.Account)+"/"+e.Key); ok {
		op = tsclaim.Op{Kind: tsclaim.OpResolve, ID: id, Claim: e.Claim, Entry: tsclaim.Entry{Answer: &a, By: "look-up"}}
	} else if !runnerGone {
		return
	}
	v.applyClaimOp(op, func(tsclaim.Result) {})
}
