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

// Drain refuses new claims, waits for the calls that run, and hands on what is
// left shortly before ctx ends: calls not sent are abandoned, calls without an
// answer marked in doubt, and outcomes that could not be written passed to a
// peer. It returns an error when an outcome is still neither written nor
// handed on.
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
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainGrace)
	defer cancel()
	written, stop := context.WithTimeout(grace, drainGrace/2)
	defer stop()
	for c.recordCount() > 0 {
		if !tspause.For(written, drainPoll) {
			return c.handOver(grace)
		}
	}
	return nil
}

// records counts the calls of this process whose outcome is not written.
func (c *Calls) recordCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byClaim)
}

// nearEnd reports whether only the grace is left before ctx ends.
func isNearDeadline(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && time.Until(deadline) < drainGrace
}

// running counts the calls of this process that have not ended.
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

// endAll ends the calls that are left.
func (c *Calls) endRemaining() {
	c.mu.Lock()
	var held, sent []*claimRecord
	for _, r := range c.byClaim {
		switch r.phase {
		case phaseClaiming, phaseHeld:
			held = append(held, r)
		case phaseDispatched:
			sent = append(sent, r)
		}
	}
	c.mu.Unlock()
	for _, r := range held {
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

// finishUnsent bars a claim unless its call may have been sent meanwhile.
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

// handOn passes the unwritten outcomes to a reachable peer.
func (c *Calls) handOver(ctx context.Context) error {
	left := c.unwrittenRecords()
	if len(left) == 0 {
		return nil
	}
	failed := turmericshed.NewError(turmericshed.KindStoreUnavailable, "%d outcomes of calls neither written nor handed on", len(left))
	if c.cfg.Members == nil || c.cfg.Peers == nil {
		return failed
	}
	req := &tspeerapi.HandOnRequest{}
	for _, r := range left {
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
			c.markHandedOver(left)
			return nil
		}
	}
	return failed
}

// unwritten returns the ended claims whose outcome is not written. An
// abandonment need not be: nothing was sent.
func (c *Calls) unwrittenRecords() []*claimRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	var left []*claimRecord
	for _, r := range c.byClaim {
		if r.phase == phaseEnded && r.end != endReleased {
			left = append(left, r)
		}
	}
	return left
}

func (c *Calls) markHandedOver(recs []*claimRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range recs {
		r.handedOver = true
	}
}
