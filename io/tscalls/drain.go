package tscalls

import (
	"context"
	"encoding/json"
	"time"

	"turmericshed/io/tspause"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tsclaim"
	"turmericshed/io/tspeerapi"
)

// Drain refuses new claims and waits for the running calls. Shortly before ctx ends it
// settles the remaining ones: calls that were not sent are abandoned, calls without an
// answer are marked in doubt, and outcomes that could not be written are handed over to
// a peer. It returns an error if an outcome is neither written nor handed over by then.
func (c *Calls) Drain(ctx context.Context) error {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	for c.runningCount() > 0 && !isNearDeadline(ctx) {
		if !tspause.For(ctx, drainPoll) {
			break
		}
	}
	c.endRemaining()
	graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainGrace)
	defer cancel()
	writeCtx, stop := context.WithTimeout(graceCtx, drainGrace/2)
	defer stop()
	for c.recordCount() > 0 {
		if !tspause.For(writeCtx, drainPoll) {
			return c.handOver(graceCtx)
		}
	}
	return nil
}

// recordCount returns the number of calls of this process whose outcome is not
// written yet.
func (c *Calls) recordCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byClaim)
}

// isNearDeadline reports whether less than drainGrace remains before ctx ends.
func isNearDeadline(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && time.Until(deadline) < drainGrace
}

// runningCount returns the number of calls of this process that have not ended.
func (c *Calls) runningCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.byClaim {
		if r.phase != phaseEnded {
			n++
		}
	}
	return n
}

// endRemaining abandons the remaining calls that were not sent, and marks those that
// were sent in doubt.
func (c *Calls) endRemaining() {
	c.mu.Lock()
	var unsent, sent []*claimRecord
	for _, r := range c.byClaim {
		switch r.phase {
		case phaseClaiming, phaseHeld:
			unsent = append(unsent, r)
		case phaseDispatched:
			sent = append(sent, r)
		}
	}
	c.mu.Unlock()
	for _, r := range unsent {
		if c.finishUnsent(r) {
			c.settle(r, tsclaim.Op{Kind: tsclaim.OpAbandon, NeverSent: true, Entry: tsclaim.Entry{Reason: "entry VM stopped before dispatch"}})
		} else {
			sent = append(sent, r)
		}
	}
	for _, r := range sent {
		if c.finish(r, turmericshed.Answer{}, endInDoubt) {
			c.settle(r, tsclaim.Op{Kind: tsclaim.OpDoubt, Entry: tsclaim.Entry{Reason: "entry VM stopped while the call ran"}})
		}
	}
}

// finishUnsent blocks any further dispatch under a claim, and reports whether it did.
// It fails if the call may have been sent in the meantime.
func (c *Calls) finishUnsent(rec *claimRecord) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rec.phase != phaseClaiming && rec.phase != phaseHeld {
		return false
	}
	rec.phase, rec.end = phaseEnded, endReleased
	close(rec.ended)
	return true
}

// handOver sends the unwritten outcomes to a reachable peer.
func (c *Calls) handOver(ctx context.Context) error {
	unwritten := c.unwrittenRecords()
	if len(unwritten) == 0 {
		return nil
	}
	failed := turmericshed.NewError(turmericshed.KindStoreUnavailable, "%d outcomes of calls neither written nor handed on", len(unwritten))
	if c.cfg.Members == nil || c.cfg.Peers == nil {
		return failed
	}
	req := &tspeerapi.HandOnRequest{}
	for _, r := range unwritten {
		op, call := r.outcome, r.op.Entry
		op.Entry.Digest, op.Entry.Account, op.Entry.Profile, op.Entry.Request = call.Digest, call.Account, call.Profile, call.Request
		body, err := json.Marshal(op)
		if err != nil {
			return turmericshed.WrapError(turmericshed.KindInternal, err, "outcome of %s", r.claim)
		}
		req.Operations = append(req.Operations, body)
	}
	for _, m := range c.cfg.Members.Reachable() {
		if _, err := c.client(m).HandOn(ctx, connect.NewRequest(req)); err == nil {
			c.markHandedOver(unwritten)
			return nil
		}
	}
	return failed
}

// unwrittenRecords returns the ended claims whose outcome is not written yet. It omits
// abandoned claims: nothing was sent under them, so their outcome need not be written.
func (c *Calls) unwrittenRecords() []*claimRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	var unwritten []*claimRecord
	for _, r := range c.byClaim {
		if r.phase == phaseEnded && r.end != endReleased {
			unwritten = append(unwritten, r)
		}
	}
	return unwritten
}

func (c *Calls) markHandedOver(recs []*claimRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range recs {
		r.handedOver = true
	}
}
