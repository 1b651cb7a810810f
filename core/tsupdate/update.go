// Package tsupdate turns a change of one key into a sequence of store calls
// that survives conflicts and lost answers.
//
// The platform's service offers compare-and-swap on one key, and an answer
// may be lost after the write took effect, or a write may land long after its
// caller stopped waiting. An [Update] therefore runs a mutation that is
// idempotent: applied to a value in which it already stands, it changes
// nothing. After an ambiguous write the key is read again. Where the change
// stands, the update is done. Where it does not, the same change is written
// with the version just read; once that write succeeds, the earlier one can
// never land, since the key no longer has the version it wants.
//
// Example: version 4 is read, the write wanting 4 gets no answer, the key is
// read at version 4 without the change, and is written again wanting 4. If
// the first write lands in between, the second one conflicts, the key is read
// at version 5 with the change in it, and the update is done.
//
// # Usage
//
//	u := tsupdate.New(key, mutate)
//	for !u.Finished() {
//		step := u.Step()
//		u.Handle(tsupdate.Do(ctx, store, step))
//	}
//	item, err := u.Result()
//
// [Run] is that loop. A driver with a fake clock performs the steps itself,
// and may pause, reorder or lose any of them.
package tsupdate

import (
	"context"

	"turmericshed"
)

// maxWriteAttempts bounds the number of writes that one update tries.
const maxWriteAttempts = 32

// Mutation returns the new value of a key, or nil with no error when cur
// already holds the change and nothing is to be written. It must not modify
// cur. An error ends the update with nothing further written.
type Mutation func(cur turmericshed.Item) (next []byte, err error)

// Step is one store call: a read of Key, or a write.
type Step struct {
	Read  bool
	Key   string
	Write turmericshed.Write
}

// Reply is the outcome of a step.
type Reply struct {
	Item    turmericshed.Item
	Version turmericshed.Version
	Err     error
}

// Update is the state machine of one change of one key.
type Update struct {
	key       string
	mutate    Mutation
	cur       turmericshed.Item
	loaded     bool
	next      []byte
	attempts  int
	ambiguous bool
	done      bool
	err       error
}

// New returns an update that reads the key first.
func New(key string, mutate Mutation) *Update {
	return &Update{key: key, mutate: mutate}
}

// NewFrom returns an update that starts from a cached item, saving the read
// when the cache is fresh. A stale cache costs a conflict, never safety: only
// a write that the store takes proves that the cache was fresh, so where the
// mutation has nothing to write, the key is read first.
func NewFrom(cached turmericshed.Item, mutate Mutation) *Update {
	u := New(cached.Key, mutate)
	if next, err := mutate(cached); err == nil && next != nil {
		u.cur, u.loaded, u.next = cached, true, next
	}
	return u
}

// Finished reports whether the update has a result.
func (u *Update) Finished() bool { return u.done }

// Result returns the item after the update. An error of KindStoreUnknown
// means that the change may stand or may yet land.
func (u *Update) Result() (turmericshed.Item, error) { return u.cur, u.err }

// Step returns the next store call.
func (u *Update) Step() Step {
	if !u.loaded {
		return Step{Read: true, Key: u.key}
	}
	return Step{Key: u.key, Write: turmericshed.Write{Key: u.key, Want: u.cur.Version, Value: u.next}}
}

// Handle takes the outcome of the last step.
func (u *Update) Handle(r Reply) {
	if !u.loaded {
		u.handleRead(r)
		return
	}
	u.handleWrite(r)
}

func (u *Update) handleRead(r Reply) {
	if r.Err != nil {
		u.fail(r.Err)
		return
	}
	u.apply(r.Item)
}

func (u *Update) apply(cur turmericshed.Item) {
	u.cur, u.loaded = cur, true
	next, err := u.mutate(cur)
	switch {
	case err != nil:
		// The mutation refuses the value that it met. An earlier ambiguous
		// write of this update wanted an older version or this very one; in
		// the second case it may still land.
		u.fail(err)
	case next == nil:
		u.done = true
	default:
		u.next = next
	}
}

func (u *Update) handleWrite(r Reply) {
	u.attempts++
	switch kind := turmericshed.KindOf(r.Err); kind {
	case turmericshed.KindNone:
		u.cur = turmericshed.Item{Key: u.key, Value: u.next, Version: r.Version}
		u.done = true
	case turmericshed.KindConflict, turmericshed.KindStoreUnknown:
		u.ambiguous = u.ambiguous || kind == turmericshed.KindStoreUnknown
		u.loaded = false
		if u.attempts >= maxWriteAttempts {
			u.fail(turmericshed.WrapError(turmericshed.KindStoreUnavailable, r.Err, "key %s: gave up", u.key))
			return
		}
		if current, ok := turmericshed.CurrentOf(r.Err, u.key); ok && kind == turmericshed.KindConflict {
			// The store told the key with the conflict; it need not be read.
			u.apply(current)
		}
	default:
		u.fail(r.Err)
	}
}

// fail ends the update. After an ambiguous write the result stays unknown.
func (u *Update) fail(err error) {
	if u.ambiguous {
		err = turmericshed.WrapError(turmericshed.KindStoreUnknown, err, "key %s: an earlier write got no answer", u.key)
	}
	u.done, u.err = true, err
}

// Do performs one step against a store.
func Do(ctx context.Context, s turmericshed.Store, step Step) Reply {
	if step.Read {
		item, err := s.Get(ctx, step.Key)
		return Reply{Item: item, Err: err}
	}
	v, err := s.CompareAndSwap(ctx, step.Write)
	return Reply{Version: v, Err: err}
}

// Run drives an update to its end.
func Run(ctx context.Context, s turmericshed.Store, u *Update) (turmericshed.Item, error) {
	for !u.Finished() {
		u.Handle(Do(ctx, s, u.Step()))
	}
	return u.Result()
}
