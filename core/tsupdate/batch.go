package tsupdate

import (
	"context"

	"turmericshed"
)

// maxUnansweredTransactions bounds the transactions of a batch that get no answer.
const maxUnansweredTransactions = 3

// Change is one key's part of a [Batch].
type Change struct {
	Key    string
	Mutate Mutation
	// Cached is the key as last known; without a version it is taken as
	// absent. A stale one costs a conflict, never safety.
	Cached turmericshed.Item
	// Lease, when set, is attached to the key.
	Lease turmericshed.LeaseID
}

// Batch is the state machine of changes of several keys that are written
// together, in one transaction of the store.
//
// Each mutation decides by itself: one that refuses its key's value, or has
// nothing to write, does not hold up the others. Its key is then only checked,
// so that the outcome does not rest on a stale cache. After a conflict all
// mutations run again on what the store told, in order.
//
// A transaction without an answer is made again under the same conditions. If
// the first one landed, the second one conflicts and the mutations, which are
// idempotent, find their changes made; if not, the first one can't land any
// more once the second one has. When no answer comes at all, the batch ends
// with KindStoreUnknown: the changes may stand or land later.
type Batch struct {
	entries    []*batchEntry
	attempts   int
	unanswered int
	done       bool
	err        error
}

type batchEntry struct {
	Change
	cur  turmericshed.Item
	next []byte
	// err is why the mutation refused cur.
	err error
	// confirmed is true once the store told cur.
	confirmed bool
}

// NewBatch returns a batch of changes of different keys.
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

// Err returns why the batch failed as a whole. KindStoreUnknown means that
// the changes may stand or may yet land.
func (b *Batch) Err() error { return b.err }

// Result returns a key's item after the batch, and why its change was not
// made: the error of its mutation, or that of the batch.
func (b *Batch) Result(i int) (turmericshed.Item, error) {
	e := b.entries[i]
	if b.err != nil {
		return e.cur, b.err
	}
	return e.cur, e.err
}

// Current returns the item that change i's mutation runs on in the attempt
// being made, or the item after the batch.
func (b *Batch) Current(i int) turmericshed.Item { return b.entries[i].cur }

// Pending returns the value that change i writes in the attempt being made; a
// later change's mutation may look at it.
func (b *Batch) Pending(i int) []byte { return b.entries[i].next }

// Step returns the next transaction. It is empty, and the batch finished,
// when nothing is left to write.
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
			t.Writes = append(t.Writes, turmericshed.Write{Key: e.Key, Want: e.cur.Version, Value: e.next, Lease: e.Lease})
		case !e.confirmed:
			t.Checks = append(t.Checks, turmericshed.Check{Key: e.Key, Want: e.cur.Version})
		}
	}
	b.done = len(t.Writes)+len(t.Checks) == 0
	return t
}

// Handle takes the outcome of the last step.
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
			if current, ok := turmericshed.CurrentOf(err, e.Key); ok {
				e.cur, e.confirmed = current, true
			}
		}
		if b.attempts >= maxWriteAttempts {
			b.done, b.err = true, turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "gave up after %d conflicts", b.attempts)
		}
	case turmericshed.KindStoreUnknown:
		b.unanswered++
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

// RunBatch drives a batch to its end.
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

// Then returns the mutation that makes two changes of one key in one write.
// Where the second one refuses what the first made, the first still stands.
func Then(first, second Mutation) Mutation {
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
			return made, nil //nolint:nilerr // The first change stands; the caller looks for the second in the result.
		}
		return both, nil
	}
}
