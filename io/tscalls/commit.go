package tscalls

import (
	"context"
	"encoding/json"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"turmericshed"
	"turmericshed/core/tsclaim"
	"turmericshed/core/tsupdate"
	"turmericshed/io/tspeerapi"
)

// commit applies an operation through the owner of its slot. This process writes to
// the store itself if the owner is unreachable or cannot write.
func (c *Calls) commit(ctx context.Context, op tsclaim.Op) tsclaim.Result {
	slot := op.ID.Slot()
	owner, remote := c.owner(slot)
	sentToOwner := false
	if remote {
		res, answered := c.commitRemote(ctx, owner, op)
		if answered {
			return res
		}
		sentToOwner = true
	}
	res := c.writers[slot].submit(ctx, op)
	if sentToOwner && res.Err != nil && turmericshed.OutcomeOf(res.Err) == turmericshed.OutcomeNotRun && !isDecidedByHead(res.Err) {
		// The owner may still apply the operation.
		res.Err = turmericshed.WrapError(turmericshed.KindStoreUnknown, res.Err, "slot %d: its owner was asked", slot)
	}
	return res
}

// isDecidedByHead reports whether an error follows from the content of the head.
func isDecidedByHead(err error) bool {
	switch turmericshed.KindOf(err) {
	case turmericshed.KindKeyReused, turmericshed.KindConflict, turmericshed.KindNotFound:
		return true
	default:
		return false
	}
}

// owner returns the soft owner of a slot and whether it is another process.
func (c *Calls) owner(slot int) (turmericshed.EntryVM, bool) {
	best := c.cfg.Self
	if c.cfg.Members == nil || c.cfg.Peers == nil {
		return best, false
	}
	score := ownerScore(slot, best.Incarnation)
	for _, m := range c.cfg.Members.Reachable() {
		if s := ownerScore(slot, m.Incarnation); s > score {
			best, score = m, s
		}
	}
	return best, best.Incarnation != c.cfg.Self.Incarnation
}

// ownerScore returns the rendezvous hashing weight of an entry VM for a slot.
func ownerScore(slot int, in turmericshed.Incarnation) uint64 {
	return xxhash.Sum64String(string(rune('a'+slot)) + "/" + string(in))
}

// commitRemote sends an operation to the owner of its slot. It returns false if the
// owner was unreachable or could not reach the store.
func (c *Calls) commitRemote(ctx context.Context, owner turmericshed.EntryVM, op tsclaim.Op) (tsclaim.Result, bool) {
	body, err := json.Marshal(op)
	if err != nil {
		return tsclaim.Result{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	resp, err := c.client(owner).Commit(ctx, connect.NewRequest(&tspeerapi.CommitRequest{Operation: body}))
	if err != nil {
		return tsclaim.Result{}, false
	}
	m := resp.Msg
	res := tsclaim.Result{Found: m.GetFound(), Changed: m.GetChanged()}
	if err := tsclaim.Decode(m.GetEntry(), &res.Entry); err != nil {
		return tsclaim.Result{}, false
	}
	if m.GetKind() != "" {
		kind := kindByName(m.GetKind())
		res.Err = turmericshed.NewError(kind, "%s", m.GetMessage())
		return res, isDecidedByHead(res.Err) || kind == turmericshed.KindOverloaded
	}
	return res, true
}

// kindByName returns the kind with the given name, or KindInternal.
func kindByName(name string) turmericshed.Kind {
	for _, k := range turmericshed.Kinds() {
		if k.String() == name {
			return k
		}
	}
	return turmericshed.KindInternal
}

// commitOutcome commits an operation that may carry an answer; a long answer is first
// written under a separate key.
func (c *Calls) commitOutcome(ctx context.Context, op tsclaim.Op) tsclaim.Result {
	if a := op.Entry.Answer; a != nil && tsclaim.LongAnswer(*a) {
		key, err := c.writeAnswer(ctx, op.Claim, *a)
		if err != nil {
			return tsclaim.Result{Err: err}
		}
		op.Entry.Answer, op.Entry.AnswerKey = nil, key
	}
	return c.commit(ctx, op)
}

// writeAnswer stores a long answer and returns its key.
func (c *Calls) writeAnswer(ctx context.Context, claim turmericshed.ClaimID, a turmericshed.Answer) (string, error) {
	value, err := tsclaim.Encode(a)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := tsclaim.AnswerKey(claim)
	u := tsupdate.NewFrom(turmericshed.Item{Key: key}, func(cur turmericshed.Item) ([]byte, error) {
		if cur.Version != 0 {
			return nil, nil
		}
		return value, nil
	})
	_, err = tsupdate.Run(ctx, c.cfg.Store, u)
	return key, err
}

// readAnswer returns the complete answer of a done entry.
func (c *Calls) readAnswer(ctx context.Context, e tsclaim.Entry) (turmericshed.Answer, error) {
	if e.AnswerKey == "" {
		turmericshed.Assert(e.Answer != nil, "done_call_has_answer", "claim %s", e.Claim)
		return *e.Answer, nil
	}
	item, err := c.cfg.Store.Get(ctx, e.AnswerKey)
	if err != nil {
		return turmericshed.Answer{}, err
	}
	var a turmericshed.Answer
	if err := tsclaim.Decode(item.Value, &a); err != nil {
		return a, err
	}
	if item.Version == 0 {
		return a, turmericshed.NewError(turmericshed.KindInternal, "answer of claim %s is gone", e.Claim)
	}
	return a, nil
}
