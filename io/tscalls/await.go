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

// awaitLocal waits for the outcome of another attempt of this process at the same
// call. shouldRetry reports that the claim was released and the call may be claimed again.
func (c *Calls) awaitLocal(ctx context.Context, rec *claimRecord, call turmericshed.Call) (d turmericshed.ClaimDecision, shouldRetry bool, err error) {
	select {
	case <-rec.ended:
	case <-ctx.Done():
		// The other attempt may still run the call.
		return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimUnknown, Claim: rec.claim}, false, nil
	}
	c.mu.Lock()
	kind, answer := rec.end, rec.answer
	c.mu.Unlock()
	switch kind {
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

// awaitRunner waits until the deadline for the runner of an open claim: it queries
// the runner while it is reachable, and polls the head otherwise. shouldRetry reports
// that the call may be claimed again.
func (c *Calls) awaitRunner(ctx context.Context, rec *claimRecord, e tsclaim.Entry) (d turmericshed.ClaimDecision, shouldRetry bool, err error) {
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

// awaitRelease polls the head until the claim is no longer open, so that the call
// can be claimed again: the runner has released the claim but its write may not have
// reached the store yet.
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

// isGone reports whether a runner is considered permanently terminated. If it is in
// fact alive, the caller is answered that the call may have run; the call never runs a
// second time.
func (c *Calls) isGone(in turmericshed.Incarnation) bool {
	if c.cfg.Members == nil {
		return false
	}
	s := c.cfg.Members.State(in)
	return s == turmericshed.MemberGone || s == turmericshed.MemberLeft
}

// reachableMember returns the entry VM with the given incarnation if it is reachable.
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

// queryRunner queries the runner of a claim for the state of the call. An unspecified
// status means that the query failed.
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

// abandonUnheld abandons a claim of this incarnation that has no record, and returns
// true if there is no record. Such a claim is never dispatched: its write took effect
// after this process had abandoned it.
func (c *Calls) abandonUnheld(ctx context.Context, id tsclaim.ID, claim turmericshed.ClaimID) bool {
	c.mu.Lock()
	_, held := c.byClaim[claim]
	c.mu.Unlock()
	if !held {
		c.commit(ctx, tsclaim.Op{Kind: tsclaim.OpAbandon, ID: id, Claim: claim, Entry: tsclaim.Entry{Reason: "not held by its runner"}})
	}
	return !held
}

// readEntry reads the call's current entry from the store.
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

// lookup queries the service for the answer of a call in doubt, and settles the claim
// if the call ran. A missing key proves nothing: the request may still be in transit, or
// a paused runner may resume and send it.
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
