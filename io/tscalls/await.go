package tscalls

import (
	"context"
	"time"

	"turmericshed/io/tspause"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tsclaim"
	"turmericshed/io/tspeerapi"
)

// await follows a claim of this process on the same call.
func (c *Calls) awaitLocal(ctx context.Context, rec *claimRecord, call turmericshed.Call) (d turmericshed.ClaimDecision, again bool, err error) {
	select {
	case <-rec.ended:
	case <-ctx.Done():
		// The call may be running under the other attempt.
		return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimUnknown, Claim: rec.claim}, false, nil
	}
	c.mu.Lock()
	how, answer := rec.end, rec.answer
	c.mu.Unlock()
	switch how {
	case endAnswered:
		c.recordEvent(turmericshed.EventClaimReplayed, rec, string(call.Request))
		return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimReplay, Claim: rec.claim, Answer: answer}, false, nil
	case endInDoubt:
		return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimUnknown, Claim: rec.claim}, false, nil
	default:
		select {
		case <-rec.written:
			return d, true, nil
		case <-ctx.Done():
			return d, false, deadlineError(ctx)
		}
	}
}

// awaitOther waits for the runner of an open claim within the deadline: it
// asks the runner where that can be reached, and polls the head otherwise.
func (c *Calls) awaitRunner(ctx context.Context, rec *claimRecord, e tsclaim.Entry) (d turmericshed.ClaimDecision, again bool, err error) {
	unknown := turmericshed.ClaimDecision{Verdict: turmericshed.ClaimUnknown, Claim: e.Claim}
	wait := firstPoll
	for {
		status, a := c.queryRunner(ctx, rec.op.ID, e)
		switch status {
		case tspeerapi.OutcomeResponse_STATUS_ANSWERED:
			c.recordEvent(turmericshed.EventClaimReplayed, rec, "from its runner")
			return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimReplay, Claim: e.Claim, Answer: a}, false, nil
		case tspeerapi.OutcomeResponse_STATUS_DOUBTED:
			return unknown, false, nil
		case tspeerapi.OutcomeResponse_STATUS_RELEASED:
			return c.awaitRelease(ctx, rec, e, wait)
		case tspeerapi.OutcomeResponse_STATUS_RUNNING:
			if ctx.Err() != nil {
				return unknown, false, nil
			}
			continue
		}
		if c.isGone(e.Runner) {
			if a, ok := c.lookup(ctx, rec.op.ID, e); ok {
				return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimReplay, Claim: e.Claim, Answer: a}, false, nil
			}
			return unknown, false, nil
		}
		if !tspause.For(ctx, wait) {
			return unknown, false, nil
		}
		wait = min(wait*2, maxPoll)
		next := c.readEntry(ctx, rec.op)
		if next.Err != nil {
			continue
		}
		if !next.Found || next.Entry.Claim != e.Claim || next.Entry.State != tsclaim.StateOpen {
			return d, true, nil
		}
	}
}

// readAgain waits a moment before the call is claimed again: the runner has
// released the claim and its write is on the way.
func (c *Calls) awaitRelease(ctx context.Context, rec *claimRecord, e tsclaim.Entry, wait time.Duration) (turmericshed.ClaimDecision, bool, error) {
	for {
		res := c.readEntry(ctx, rec.op)
		if res.Err == nil && (!res.Found || res.Entry.Claim != e.Claim || res.Entry.State != tsclaim.StateOpen) {
			return turmericshed.ClaimDecision{}, true, nil
		}
		if !tspause.For(ctx, wait) {
			return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimUnknown, Claim: e.Claim}, false, nil
		}
		wait = min(wait*2, maxPoll)
	}
}

// gone reports whether a runner is believed not to come back. A wrong belief
// costs an answer of unknown, never a second run.
func (c *Calls) isGone(in turmericshed.Incarnation) bool {
	if c.cfg.Members == nil {
		return false
	}
	s := c.cfg.Members.State(in)
	return s == turmericshed.MemberGone || s == turmericshed.MemberLeft
}

// member returns the reachable entry VM with the given incarnation.
func (c *Calls) reachableMember(in turmericshed.Incarnation) (turmericshed.EntryVM, bool) {
	if c.cfg.Members == nil || c.cfg.Peers == nil {
		return turmericshed.EntryVM{}, false
	}
	for _, m := range c.cfg.Members.Reachable() {
		if m.Incarnation == in {
			return m, true
		}
	}
	return turmericshed.EntryVM{}, false
}

// askRunner asks the runner of a claim how the call stands. An unspecified
// status means that it could not be asked.
func (c *Calls) queryRunner(ctx context.Context, id tsclaim.ID, e tsclaim.Entry) (tspeerapi.OutcomeResponse_Status, turmericshed.Answer) {
	if e.Runner == c.cfg.Self.Incarnation && c.abandonUnheld(ctx, id, e.Claim) {
		return tspeerapi.OutcomeResponse_STATUS_RELEASED, turmericshed.Answer{}
	}
	m, ok := c.reachableMember(e.Runner)
	if !ok {
		return tspeerapi.OutcomeResponse_STATUS_UNSPECIFIED, turmericshed.Answer{}
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeQueryWait+ownerTimeout)
	defer cancel()
	resp, err := c.client(m).Outcome(ctx, connect.NewRequest(&tspeerapi.OutcomeRequest{
		Call: string(id), Claim: string(e.Claim), Runner: string(e.Runner), WaitMilliseconds: outcomeQueryWait.Milliseconds(),
	}))
	if err != nil {
		return tspeerapi.OutcomeResponse_STATUS_UNSPECIFIED, turmericshed.Answer{}
	}
	var a turmericshed.Answer
	if err := tsclaim.Decode(resp.Msg.GetAnswer(), &a); err != nil {
		return tspeerapi.OutcomeResponse_STATUS_UNSPECIFIED, turmericshed.Answer{}
	}
	return resp.Msg.GetStatus(), a
}

// release abandons a claim of this incarnation that it has no record of, and
// reports whether there is none. Such a claim is never dispatched: its write
// landed after it was given up.
func (c *Calls) abandonUnheld(ctx context.Context, id tsclaim.ID, claim turmericshed.ClaimID) bool {
	c.mu.Lock()
	_, held := c.byClaim[claim]
	c.mu.Unlock()
	if !held {
		c.commit(ctx, tsclaim.Op{Kind: tsclaim.OpAbandon, ID: id, Claim: claim, Entry: tsclaim.Entry{Reason: "not held by its runner"}})
	}
	return !held
}

// readEntry returns the call's entry as the store has it now.
func (c *Calls) readEntry(ctx context.Context, op tsclaim.Op) tsclaim.Result {
	item, err := c.cfg.Store.Get(ctx, tsclaim.HeadKey(op.ID.Slot()))
	if err != nil {
		return tsclaim.Result{Err: err}
	}
	h, err := tsclaim.DecodeHead(item.Value, op.ID.Slot())
	if err != nil {
		return tsclaim.Result{Err: err}
	}
	e, ok := h.Entries[op.ID]
	return tsclaim.Result{Entry: e, Found: ok}
}

// lookup asks the service whether a call in doubt ran, and settles the claim
// when it did. That the service does not know the key proves nothing: the
// request may still be on its way, or its runner may wake.
func (c *Calls) lookup(ctx context.Context, id tsclaim.ID, e tsclaim.Entry) (turmericshed.Answer, bool) {
	if c.cfg.Lookup == nil {
		return turmericshed.Answer{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	a, err := c.cfg.Lookup(ctx, e.Service, tsclaim.ServiceKey(e.Account, e.Key))
	if err != nil {
		return turmericshed.Answer{}, false
	}
	res := c.commitOutcome(ctx, tsclaim.Op{
		Kind: tsclaim.OpResolve, ID: id, Claim: e.Claim,
		Entry: tsclaim.Entry{Answer: &a, By: "look-up at " + e.Service},
	})
	if res.Err == nil && res.Changed {
		c.cfg.Recorder.Record(turmericshed.Event{
			Name: turmericshed.EventClaimResolved, Request: e.Request, Profile: e.Profile, Account: e.Account,
			Claim: e.Claim, Reason: "found at " + e.Service,
		})
	}
	return a, true
}
