package tscalls

import (
	"context"
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tsclaim"
)

// CallInDoubt is a call that may have run but has no answer.
type CallInDoubt struct {
	tsclaim.Entry
	ID tsclaim.ID `json:"id"`
}

// CallsInDoubt lists the calls in doubt and the open calls whose runner is gone, oldest
// first. It reads the store once per slot.
func (c *Calls) CallsInDoubt(ctx context.Context) ([]CallInDoubt, error) {
	var out []CallInDoubt
	for slot := range tsclaim.Slots {
		h, err := ReadHead(ctx, c.cfg.Store, slot)
		if err != nil {
			return nil, err
		}
		for id, e := range h.Entries {
			if c.needsResolution(e) {
				out = append(out, CallInDoubt{Entry: e, ID: id})
			}
		}
	}
	slices.SortFunc(out, func(a, b CallInDoubt) int { return a.At.Compare(b.At) })
	return out, nil
}

// VisitCalls calls visit once for each call that changed since from. It reads the heads
// and the sealed documents that may contain such calls.
func VisitCalls(ctx context.Context, s turmericshed.Store, from time.Time, visit func(id tsclaim.ID, e tsclaim.Entry)) error {
	for slot := range tsclaim.Slots {
		if err := eachCallOfSlot(ctx, s, slot, from, visit); err != nil {
			return err
		}
	}
	return nil
}

func eachCallOfSlot(ctx context.Context, s turmericshed.Store, slot int, from time.Time, visit func(id tsclaim.ID, e tsclaim.Entry)) error {
	h, err := ReadHead(ctx, s, slot)
	if err != nil {
		return err
	}
	seen := map[tsclaim.ID]bool{}
	visitAll := func(entries map[tsclaim.ID]tsclaim.Entry) {
		for id, e := range entries {
			if !seen[id] && !e.At.Before(from) {
				seen[id] = true
				visit(id, e)
			}
		}
	}
	visitAll(h.Entries)
	seqs := []int{h.Tail}
	for _, ref := range h.Buckets {
		if ref.Until.Before(from) {
			continue
		}
		var b tsclaim.Bucket
		if err := readSealed(ctx, s, tsclaim.BucketKey(slot, ref.Seq), &b); err != nil {
			return err
		}
		for _, seg := range b.Segments {
			seqs = append(seqs, seg.Seq)
		}
	}
	for _, seq := range seqs {
		var seg tsclaim.Segment
		if err := readSealed(ctx, s, tsclaim.SegmentKey(slot, seq), &seg); err != nil {
			return err
		}
		visitAll(seg.Entries)
	}
	return nil
}

// readSealed decodes the document under key into to.
func readSealed(ctx context.Context, s turmericshed.Store, key string, to any) error {
	item, err := s.Get(ctx, key)
	if err != nil {
		return err
	}
	return tsclaim.Decode(item.Value, to)
}

// ReadHead reads the head of a slot.
func ReadHead(ctx context.Context, s turmericshed.Store, slot int) (*tsclaim.Head, error) {
	item, err := s.Get(ctx, tsclaim.HeadKey(slot))
	if err != nil {
		return nil, err
	}
	return tsclaim.DecodeHead(item.Value, slot)
}

// SettleRan records an operator's statement that the call ran, with its answer. The
// call must be in doubt. Errors: KindNotFound, KindConflict, and those of the store.
func (c *Calls) SettleRan(ctx context.Context, account turmericshed.AccountID, key, by string, a turmericshed.Answer) error {
	return c.settleByOperator(ctx, account, key, tsclaim.Op{
		Kind: tsclaim.OpResolve, ByOperator: true, Entry: tsclaim.Entry{By: by, Answer: &a},
	})
}

// SettleNotRun records an operator's statement that the call did not run. Later
// retries under its key are refused as not run; the client has to place the call
// again under a new key. Errors are those of SettleRan.
func (c *Calls) SettleNotRun(ctx context.Context, account turmericshed.AccountID, key, by string) error {
	return c.settleByOperator(ctx, account, key, tsclaim.Op{
		Kind: tsclaim.OpRefuse, Entry: tsclaim.Entry{By: by, Reason: "settled as not run by " + by},
	})
}

// settleByOperator commits an operator's outcome of a call that is in doubt, or open with
// a runner that is gone.
func (c *Calls) settleByOperator(ctx context.Context, account turmericshed.AccountID, key string, op tsclaim.Op) error {
	op.ID = tsclaim.NewID(account, key)
	found := c.readEntry(ctx, op)
	if found.Err != nil {
		return found.Err
	}
	if !found.Found {
		return turmericshed.NewError(turmericshed.KindNotFound, "account %s has no unsettled call with key %q", account, key)
	}
	e := found.Entry
	op.Claim = e.Claim
	if e.State == tsclaim.StateOpen && c.needsResolution(e) {
		// The runner is gone, but no resolver has marked the call in doubt yet.
		c.commit(ctx, tsclaim.Op{Kind: tsclaim.OpDoubt, ID: op.ID, Claim: e.Claim, Entry: tsclaim.Entry{Reason: "its runner is gone"}})
	}
	res := c.commitOutcome(ctx, op)
	if res.Err == nil && res.Changed {
		c.cfg.Recorder.Record(turmericshed.Event{
			Name: turmericshed.EventClaimResolved, Request: e.Request, Profile: e.Profile, Account: account,
			Claim: e.Claim, Reason: string(res.Entry.State) + " by " + op.Entry.By,
		})
	}
	return res.Err
}
