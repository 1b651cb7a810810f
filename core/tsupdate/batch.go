package tsupdate

import (
	"context"
	"errors"

	"turmericshed"
)

// maxUnansweredTransactions is the number of transactions without an answer after
// which a batch fails.
const maxUnansweredTransactions = 3

// Change is one key's part of a [Batch].
type Change struct {
	Key    string
	Mutate Mutation
	// Cached is the cached item; with version 0 the key is assumed to be absent. A
	// stale item causes a conflict but never an incorrect result.
	Cached turmericshed.Item
	// Lease, when set, is attached to the key.
	Lease turmericshed.LeaseID
}

// Batch is the state machine for changes of several keys that are written in one
// transaction of the store.
//
// The mutations are independent: one that rejects its key's value, or has nothing
// to write, does not block the others. The transaction then only checks that
// key's version, so that the result does not depend on a stale cache. After a
// conflict, all mutations run again in order on the items that the store returned.
//
// A transaction without an answer is retried with the same expected versions. If
// the first transaction was applied, the second one conflicts, and the idempotent
// mutations find their changes already made. If it was not, it can no longer be
// applied once the second one is. If no transaction gets an answer, the batch
// fails with KindStoreUnknown: the changes may be in effect already or may still
// be applied later.
type Batch struct {
	entries    []*batchEntry
	attempts   int
	unanswered int
	// lost is the number of those whose answer was lost.
	lost int
	done bool
	err  error
}

type batchEntry struct {
	Change
	cur  turmericshed.Item
	next []byte
	// err is the error with which the mutation rejected cur.
	err error
	// confirmed is true once the store returned cur.
	confirmed bool
}

// NewBatch returns a batch of changes. Their keys must be distinct.
func NewBatch(changes []Change) *Batch {
	b := &Batch{}
	for _, c := range changes {
		cur := c.Cached
		cur.Key = c.Key
		b.entries = append(b.entries, &batchEntry{Change: c, cur: cur})
	}
	return b
}

// Finished reports whether the batch has a result.
func (b *Batch) Finished() bool { return b.done }

// HasUnanswered reports whether the answer to a transaction was lost. A transaction that found the store
// restored was answered: it was applied to the copy, if at all.
func (b *Batch) HasUnanswered() bool { return b.lost > 0 }

// Err returns the error of the whole batch. KindStoreUnknown means that the
// changes may be in effect already or may still be applied later.
func (b *Batch) Err() error { return b.err }

// Result returns the item of change i after the batch. If the change was not made,
// it also returns the error of the batch or of the mutation.
func (b *Batch) Result(i int) (turmericshed.Item, error) {
	e := b.entries[i]
	if b.err != nil {
		return e.cur, b.err
	}
	return e.cur, e.err
}

// Current returns the item to which the current attempt applies change i, or the
// item after the batch.
func (b *Batch) Current(i int) turmericshed.Item { return b.entries[i].cur }

// Pending returns the value that the current attempt writes for change i; the
// mutation of a later change may read it.
func (b *Batch) Pending(i int) []byte { return b.entries[i].next }

// Step returns the next transaction. If there is nothing to write or check, the
// transaction is empty and the batch is finished.
func (b *Batch) Step() turmericshed.Transaction {
	var t turmericshed.Transaction
	for _, e := range b.entries {
		next, err := e.Mutate(e.cur)
		e.next, e.err = next, err
		if err != nil {
			e.next = nil
		}
	}
	for _, e := range b.entries {
		switch {
		case e.next != nil:
			t.Writes = append(t.Writes, turmericshed.Write{Key: e.Key, ExpectedVersion: e.cur.Version, Value: e.next, Lease: e.Lease})
		case !e.confirmed:
			t.Checks = append(t.Checks, turmericshed.Check{Key: e.Key, ExpectedVersion: e.cur.Version})
		}
	}
	b.done = len(t.Writes)+len(t.Checks) == 0
	return t
}

// Handle processes the result of the last step.
func (b *Batch) Handle(v turmericshed.Version, err error) {
	b.attempts++
	switch turmericshed.KindOf(err) {
	case turmericshed.KindNone:
		for _, e := range b.entries {
			if e.next != nil {
				e.cur = turmericshed.Item{Key: e.Key, Value: e.next, Version: v}
			}
		}
		b.done = true
	case turmericshed.KindConflict:
		for _, e := range b.entries {
			if current, ok := turmericshed.CurrentItem(err, e.Key); ok {
				e.cur, e.confirmed = current, true
			}
		}
		if b.attempts >= maxWriteAttempts {
			b.done, b.err = true, turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "gave up after %d conflicts", b.attempts)
		}
	case turmericshed.KindStoreUnknown:
		b.unanswered++
		if !errors.Is(err, turmericshed.ErrStoreRestored) {
			b.lost++
		}
		if b.unanswered >= maxUnansweredTransactions {
			b.done, b.err = true, err
		}
	default:
		if b.unanswered > 0 {
			err = turmericshed.WrapError(turmericshed.KindStoreUnknown, err, "an earlier transaction got no answer")
		}
		b.done, b.err = true, err
	}
}

// RunBatch performs the steps of a batch until it is finished.
func RunBatch(ctx context.Context, s turmericshed.Transactor, b *Batch) error {
	for {
		t := b.Step()
		if b.Finished() {
			return b.Err()
		}
		b.Handle(s.Transact(ctx, t))
		if b.Finished() {
			return b.Err()
		}
	}
}

// ComposeMutations returns a mutation that applies two mutations to one key in one write. If
// the second one rejects the result of the first, only the first is applied.
func ComposeMutations(first, second Mutation) Mutation {
	return func(cur turmericshed.Item) ([]byte, error) {
		made, err := first(cur)
		if err != nil {
			return nil, err
		}
		if made == nil {
			return second(cur)
		}
		both, err := second(turmericshed.Item{Key: cur.Key, Value: made, Version: cur.Version + 1})
		if err != nil || both == nil {
			return made, nil //nolint:nilerr // The first change is written; the caller checks the result for the second one.
		}
		return both, nil
	}
}
