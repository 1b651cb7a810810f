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

// commit applies an operation through the owner of its slot, and by a write
// of this process where the owner cannot be reached or cannot write.
func (c *Calls) commit(ctx context.Context, op tsclaim.Op) tsclaim.Result {
	slot := op.ID.Slot()
	owner, remote := c.owner(slot)
	asked := false
	if remote {
		res, answered := c.commitRemote(ctx, owner, op)
		if answered {
			return res
		}
		asked = true
	}
	res := c.writers[slot].submit(ctx, op)
	if asked && res.Err != nil && turmericshed.OutcomeOf(res.Err) == turmericshed.OutcomeNotRun && !isDecidedByHead(res.Err) {
		// The owner may still apply what it was asked for.
		res.Err = turmericshed.WrapError(turmericshed.KindStoreUnknown, res.Err, "slot %d: its owner was asked", slot)
	}
	return res
}

// definite reports whether an error was decided from the head itself.
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

// ownerScore is the weight of rendezvous hashing.
func ownerScore(slot int, in turmericshed.Incarnation) uint64 {
	return xxhash.Sum64String(string(rune('a'+slot)) + "/" + string(in))
}

// commitAt asks the owner of a slot. It is not answered when the owner could
// not be reached or could not reach the store.
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

func kindByName(name string) turmericshed.Kind {
	for _, k := range turmericshed.Kinds() {
		if k.String() == name {
			return k
		}
	}
	return turmericshed.KindInternal
}

// commitOutcome commits an operation that may carry an answer; a long answer
// is written under a key of its own first.
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

// answer returns the whole answer of a done entry.
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
