// Package tsupdate performs a change of one key as a sequence of store calls
// that tolerates conflicts and lost answers.
//
// The platform's service offers compare-and-swap on one key. An answer may be
// lost after the write took effect, and a write may be applied long after its
// caller stopped waiting. An [Update] therefore runs an idempotent mutation:
// applied to a value that already contains the change, it changes nothing. After
// an ambiguous write the key is read again. If it contains the change, the update
// is finished. If not, the change is written again with the version just read;
// once that write succeeds, the earlier one can never be applied, since the key no
// longer has the version that it expects.
//
// Example: the key is read at version 4, the write expecting version 4 gets no
// answer, the key is read at version 4 without the change and written again
// expecting version 4. If the first write is applied in between, the second one
// conflicts, the key is read at version 5 with the change, and the update is
// finished.
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
// [Run] is that loop. A simulation with a fake clock performs the steps itself
// and can delay, reorder or lose any of them.
package tsupdate

import (
	"context"

	"turmericshed"
)

// maxWriteAttempts is the maximum number of writes in an update, and of
// transactions in a batch.
const maxWriteAttempts = 32

// Mutation returns the new value of a key, or nil without an error when cur
// already contains the change and there is nothing to write. It must not modify
// cur. An error fails the update, which then writes nothing further.
type Mutation func(cur turmericshed.Item) (next []byte, err error)

// Step is one store call: a read of Key, or a write.
type Step struct {
	Read  bool
	Key   string
	Write turmericshed.Write
}

// StepResult is the result of a step.
type StepResult struct {
	Item    turmericshed.Item
	Version turmericshed.Version
	Err     error
}

// Update is the state machine for a change of one key.
type Update struct {
	key       string
	mutate    Mutation
	cur       turmericshed.Item
	loaded    bool
	next      []byte
	attempts  int
	ambiguous bool
	done      bool
	err       error
}

// New returns an update that begins by reading the key.
func New(key string, mutate Mutation) *Update {
	return &Update{key: key, mutate: mutate}
}

// NewFrom returns an update that starts from a cached item, which saves the read
// if the cache is up to date. A stale cache causes a conflict but never an
// incorrect result: only a successful write proves that the cache was up to date,
// so the key is read first if the mutation has nothing to write.
func NewFrom(cached turmericshed.Item, mutate Mutation) *Update {
	u := New(cached.Key, mutate)
	if next, err := mutate(cached); err == nil && next != nil {
		u.cur, u.loaded, u.next = cached, true, next
	}
	return u
}

// Finished reports whether the update has a result.
func (u *Update) Finished() bool { return u.done }

// Result returns the item after the update. An error of KindStoreUnknown means
// that the change may be in effect already or may still be applied later.
func (u *Update) Result() (turmericshed.Item, error) { return u.cur, u.err }

// Step returns the next store call.
func (u *Update) Step() Step {
	if !u.loaded {
		return Step{Read: true, Key: u.key}
	}
	return Step{Key: u.key, Write: turmericshed.Write{Key: u.key, ExpectedVersion: u.cur.Version, Value: u.next}}
}

// Handle processes the result of the last step.
func (u *Update) Handle(r StepResult) {
	if !u.loaded {
		u.handleRead(r)
		return
	}
	u.handleWrite(r)
}

func (u *Update) handleRead(r StepResult) {
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
		// The mutation rejects the current value. An earlier ambiguous write of
		// this update expects an older version or the current one; in the latter
		// case it may still be applied.
		u.fail(err)
	case next == nil:
		u.done = true
	default:
		u.next = next
	}
}

func (u *Update) handleWrite(r StepResult) {
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
		if current, ok := turmericshed.CurrentItem(r.Err, u.key); ok && kind == turmericshed.KindConflict {
			// The conflict error contains the current item, so no read is needed.
			u.apply(current)
		}
	default:
		u.fail(r.Err)
	}
}

// fail finishes the update with an error, which is KindStoreUnknown after an
// ambiguous write.
func (u *Update) fail(err error) {
	if u.ambiguous {
		err = turmericshed.WrapError(turmericshed.KindStoreUnknown, err, "key %s: an earlier write got no answer", u.key)
	}
	u.done, u.err = true, err
}

// Do performs one step on a store.
func Do(ctx context.Context, s turmericshed.Store, step Step) StepResult {
	if step.Read {
		item, err := s.Get(ctx, step.Key)
		return StepResult{Item: item, Err: err}
	}
	v, err := s.CompareAndSwap(ctx, step.Write)
	return StepResult{Version: v, Err: err}
}

// Run performs the steps of an update until it is finished.
func Run(ctx context.Context, s turmericshed.Store, u *Update) (turmericshed.Item, error) {
	for !u.Finished() {
		u.Handle(Do(ctx, s, u.Step()))
	}
	return u.Result()
}
