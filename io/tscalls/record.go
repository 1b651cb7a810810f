package tscalls

import (
	"context"
	"time"

	"turmericshed"
	"turmericshed/core/tsclaim"
)

// phase is the progress of a claim in the process that made it.
type phase int

const (
	// phaseClaiming means that the claim is being written.
	phaseClaiming phase = iota
	// phaseHeld means that the claim is written and nothing was sent.
	phaseHeld
	// phaseDispatched means that the call may have been sent.
	phaseDispatched
	// phaseEnded means that nothing will be sent under the claim any more.
	phaseEnded
)

// endKind is how a claim of this process ended.
type endKind int

const (
	// endReleased means that the claim was not obtained, or was abandoned.
	endReleased endKind = iota + 1
	endAnswered
	endInDoubt
)

// claimRecord is a claim of this process. It exists from before the claim is written
// until its outcome is written. A claim of this incarnation without a record is
// therefore never dispatched.
type claimRecord struct {
	claim    turmericshed.ClaimID
	op       tsclaim.Op
	deadline time.Time

	// The fields below are guarded by Calls.mu.
	phase  phase
	end    endKind
	answer turmericshed.Answer
	// outcome is the operation that writes how the claim ended; handedOver is set
	// once a peer has taken it over.
	outcome    tsclaim.Op
	handedOver bool
	// ended is closed when end is set; written is closed when the record is removed.
	ended   chan struct{}
	written chan struct{}
}

// findOrCreateRecord returns the record of the call in this process and creates it if
// there is none; created reports whether it did. Errors: KindDeadline, KindBadRequest,
// KindKeyReused, KindDraining.
func (c *Calls) findOrCreateRecord(ctx context.Context, call turmericshed.Call) (rec *claimRecord, created bool, err error) {
	if ctx.Err() != nil {
		return nil, false, deadlineError(ctx)
	}
	if len(call.Key) > tsclaim.MaxKeyBytes {
		return nil, false, turmericshed.NewError(turmericshed.KindBadRequest, "idempotency key has %d bytes: at most %d", len(call.Key), tsclaim.MaxKeyBytes)
	}
	claim := turmericshed.ClaimID(turmericshed.NewID("claim-"))
	op := tsclaim.ClaimOp(call, claim, c.cfg.Self.Incarnation)
	c.mu.Lock()
	defer c.mu.Unlock()
	if prev, ok := c.byCall[op.ID]; ok {
		if prev.op.Entry.Digest != op.Entry.Digest {
			return nil, false, turmericshed.NewError(turmericshed.KindKeyReused, "idempotency key was used with another body")
		}
		return prev, false, nil
	}
	if c.draining {
		return nil, false, turmericshed.NewError(turmericshed.KindDraining, "entry VM is stopping")
	}
	rec = &claimRecord{claim: claim, op: op, ended: make(chan struct{}), written: make(chan struct{})}
	rec.deadline, _ = ctx.Deadline()
	c.byClaim[claim], c.byCall[op.ID] = rec, rec
	return rec, true, nil
}

// markHeld marks a claim as held. It returns false if the claim has ended in the
// meantime.
func (c *Calls) markHeld(rec *claimRecord) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rec.phase != phaseClaiming {
		return false
	}
	rec.phase = phaseHeld
	return true
}

// Dispatch must be called, and return nil, immediately before the call is sent. It
// fails once the claim has ended or its deadline has passed; nothing may be sent then.
// Errors: KindConflict, KindDeadline, both not run.
func (c *Calls) Dispatch(id turmericshed.ClaimID) error {
	c.mu.Lock()
	rec, ok := c.byClaim[id]
	if !ok || rec.phase != phaseHeld && rec.phase != phaseDispatched {
		c.mu.Unlock()
		return turmericshed.NewError(turmericshed.KindConflict, "claim %s is not held", id)
	}
	if !rec.deadline.IsZero() && !time.Now().Round(0).Before(rec.deadline.Round(0)) {
		// Round(0) selects the wall clock, which also advances while a VM is paused.
		unsent := rec.phase == phaseHeld
		c.mu.Unlock()
		if unsent {
			c.abandonUnsent(rec, "deadline passed before dispatch")
		}
		return turmericshed.NewError(turmericshed.KindDeadline, "deadline passed before the call was sent")
	}
	rec.phase = phaseDispatched
	c.mu.Unlock()
	c.recordEvent(turmericshed.EventDispatched, rec, "")
	return nil
}

// finish blocks any further dispatch under the claim and sets how it ended. It returns
// false if the claim had already ended.
func (c *Calls) finish(rec *claimRecord, a turmericshed.Answer, kind endKind) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rec.phase == phaseEnded {
		return false
	}
	rec.phase, rec.end, rec.answer = phaseEnded, kind, a
	close(rec.ended)
	return true
}

// removeRecord removes the record of a claim whose outcome needs no further write.
func (c *Calls) removeRecord(rec *claimRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byClaim[rec.claim] != rec {
		return
	}
	delete(c.byClaim, rec.claim)
	delete(c.byCall, rec.op.ID)
	close(rec.written)
}

// discard ends a claim that was not obtained and removes its record.
func (c *Calls) discard(rec *claimRecord, a turmericshed.Answer, kind endKind) {
	c.finish(rec, a, kind)
	c.removeRecord(rec)
}

// abandonUnsent blocks dispatch under a claim whose call was not sent, and writes its
// abandonment in the background.
func (c *Calls) abandonUnsent(rec *claimRecord, reason string) {
	if c.finish(rec, turmericshed.Answer{}, endReleased) {
		c.settle(rec, tsclaim.Op{Kind: tsclaim.OpAbandon, NeverSent: true, Entry: tsclaim.Entry{Reason: reason}})
	}
}

// Complete stores the complete answer. It returns immediately: the write is retried in
// the background until it succeeds, and retries of the call are answered from memory
// until then.
func (c *Calls) Complete(_ context.Context, id turmericshed.ClaimID, a turmericshed.Answer) error {
	rec, err := c.findRecord(id)
	if err != nil {
		return err
	}
	c.mu.Lock()
	dispatched := rec.phase == phaseDispatched
	c.mu.Unlock()
	turmericshed.Assert(dispatched, "answer_of_dispatched_call", "claim %s has an answer and was not dispatched", id)
	if !c.finish(rec, a, endAnswered) {
		return turmericshed.NewError(turmericshed.KindConflict, "claim %s has ended", id)
	}
	c.settle(rec, tsclaim.Op{Kind: tsclaim.OpComplete, Entry: tsclaim.Entry{Answer: &a}})
	return nil
}

// Abandon releases a claim whose call was certainly not sent, so that a retry may run
// the call.
func (c *Calls) Abandon(ctx context.Context, id turmericshed.ClaimID) error {
	rec, err := c.findRecord(id)
	if err != nil {
		return err
	}
	if !c.finish(rec, turmericshed.Answer{}, endReleased) {
		return nil
	}
	return c.awaitWritten(ctx, c.settle(rec, tsclaim.Op{Kind: tsclaim.OpAbandon, NeverSent: true, Entry: tsclaim.Entry{Reason: "not sent"}}))
}

// MarkInDoubt marks a claim in doubt: its call may have run but has no answer.
func (c *Calls) MarkInDoubt(ctx context.Context, id turmericshed.ClaimID, reason string) error {
	rec, err := c.findRecord(id)
	if err != nil {
		return err
	}
	if !c.finish(rec, turmericshed.Answer{}, endInDoubt) {
		return nil
	}
	return c.awaitWritten(ctx, c.settle(rec, tsclaim.Op{Kind: tsclaim.OpDoubt, Entry: tsclaim.Entry{Reason: reason}}))
}

// findRecord returns the record of a claim, or KindConflict when there is none.
func (c *Calls) findRecord(id turmericshed.ClaimID) (*claimRecord, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec, ok := c.byClaim[id]
	if !ok {
		return nil, turmericshed.NewError(turmericshed.KindConflict, "claim %s is not held", id)
	}
	return rec, nil
}

// settle writes the outcome of an ended claim in the background and then removes the
// record; the returned channel is closed at that point. The write of an answer or a
// doubt is retried until it succeeds. That of an abandonment is retried for
// abandonTimeout only, because a claim without a record is never dispatched anyway.
func (c *Calls) settle(rec *claimRecord, op tsclaim.Op) <-chan struct{} {
	op.ID, op.Claim = rec.op.ID, rec.claim
	c.mu.Lock()
	rec.outcome = op
	c.mu.Unlock()
	go func() {
		ctx := context.Background()
		if op.Kind == tsclaim.OpAbandon {
			boundedCtx, cancel := context.WithTimeout(ctx, abandonTimeout)
			defer cancel()
			ctx = boundedCtx
		}
		retry(ctx, func() bool { return c.writeOutcome(ctx, rec, op) || c.isHandedOver(rec) })
		if !c.isHandedOver(rec) {
			// A record that was handed over is retained: without it this process
			// would report to a retry that the claim is released.
			c.removeRecord(rec)
		}
	}()
	return rec.written
}

// isHandedOver reports whether a peer has taken over the outcome.
func (c *Calls) isHandedOver(rec *claimRecord) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return rec.handedOver
}

// writeOutcome commits op and reports whether no further attempt is needed.
func (c *Calls) writeOutcome(ctx context.Context, rec *claimRecord, op tsclaim.Op) bool {
	res := c.commitOutcome(ctx, op)
	switch turmericshed.KindOf(res.Err) {
	case turmericshed.KindNone:
	case turmericshed.KindConflict, turmericshed.KindNotFound:
		if op.Kind != tsclaim.OpAbandon {
			c.recordEvent(turmericshed.EventClaimResolved, rec, "outcome met another: "+res.Err.Error())
		}
		return true
	default:
		return false
	}
	eventNames := map[tsclaim.OpKind]turmericshed.EventName{
		tsclaim.OpComplete: turmericshed.EventClaimCompleted,
		tsclaim.OpAbandon:  turmericshed.EventClaimAbandoned,
		tsclaim.OpDoubt:    turmericshed.EventClaimInDoubt,
	}
	if !res.Changed {
		return true
	}
	if op.Kind == tsclaim.OpComplete && res.Entry.Reason != "" {
		// A resolver had marked the call in doubt, or an operator had settled it.
		c.recordEvent(turmericshed.EventClaimResolved, rec, "answered late: "+res.Entry.Reason)
		return true
	}
	c.recordEvent(eventNames[op.Kind], rec, op.Entry.Reason)
	return true
}

// awaitWritten waits for an outcome to be written, for outcomeWriteWait at most, so
// that a caller that retries finds it. The write continues after that.
func (c *Calls) awaitWritten(ctx context.Context, written <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, outcomeWriteWait)
	defer cancel()
	select {
	case <-written:
		return nil
	case <-ctx.Done():
		return turmericshed.NewError(turmericshed.KindStoreUnknown, "outcome not written yet")
	}
}
