package tsplatform

import (
	"context"
	"slices"
	"strings"
	"time"

	"turmericshed"
)

// Caller accesses the store under one caller name. Faults.Cut and
// Faults.CutAnswers select calls by this name.
type Caller struct {
	store *Store
	name  string
}

// Get returns the item, or one with version 0 if the key does not exist. It
// counts as one read.
func (c Caller) Get(ctx context.Context, key string) (turmericshed.Item, error) {
	var it turmericshed.Item
	err := c.read(ctx, key, func(s *Store) int {
		it = s.itemLocked(key)
		return len(it.Value)
	})
	return it, err
}

// List returns up to limit items under prefix, in key order, whose keys are
// greater than after. It counts as one read.
func (c Caller) List(ctx context.Context, prefix, after string, limit int) ([]turmericshed.Item, error) {
	var items []turmericshed.Item
	err := c.read(ctx, prefix, func(s *Store) int {
		items = s.listLocked(prefix, after, limit)
		size := 0
		for _, it := range items {
			size += len(it.Value)
		}
		return size
	})
	return items, err
}

// CompareAndSwap applies w if the key still has version w.Want, and returns the
// new version. It counts as one write. It returns KindConflict if the version
// differs, KindNotFound if the lease has expired, KindBadRequest without a key,
// KindTooLarge above MaxValueBytes, and KindStoreUnavailable or
// KindStoreUnknown because of faults or rate limits.
func (c Caller) CompareAndSwap(ctx context.Context, w turmericshed.Write) (turmericshed.Version, error) {
	if w.Key == "" {
		return 0, turmericshed.NewError(turmericshed.KindBadRequest, "a write needs a key")
	}
	if len(w.Value) > turmericshed.MaxValueBytes {
		return 0, turmericshed.NewError(turmericshed.KindTooLarge, "value of %d bytes: at most %d", len(w.Value), turmericshed.MaxValueBytes)
	}
	w.Value = slices.Clone(w.Value)
	var v turmericshed.Version
	err := c.write(ctx, w.Key, len(w.Value), &w, func(s *Store) error {
		var err error
		v, err = s.applyLocked(w)
		return err
	})
	if err != nil {
		return 0, err
	}
	return v, nil
}

// Grant creates a lease that expires after ttl unless KeepAlive renews it. It
// counts as one write.
func (c Caller) Grant(ctx context.Context, ttl time.Duration) (turmericshed.LeaseID, error) {
	if ttl <= 0 {
		return "", turmericshed.NewError(turmericshed.KindBadRequest, "bad time to live %v: want above 0", ttl)
	}
	var id turmericshed.LeaseID
	err := c.write(ctx, leaseGroup, 0, nil, func(s *Store) error {
		id = s.grantLocked(ttl)
		return nil
	})
	if err != nil {
		return "", err
	}
	return id, nil
}

// KeepAlive renews a lease for its time to live. It returns KindNotFound if
// the lease has expired, and counts as one write.
func (c Caller) KeepAlive(ctx context.Context, id turmericshed.LeaseID) error {
	return c.write(ctx, leaseGroup, 0, nil, func(s *Store) error {
		l, ok := s.leases[id]
		if !ok {
			return turmericshed.NewError(turmericshed.KindNotFound, "lease %s lapsed", id)
		}
		l.expires = s.opts.Now().Add(l.ttl)
		return nil
	})
}

// Watch delivers changes under prefix with versions greater than after. It
// counts as one open watch until it is closed.
func (c Caller) Watch(ctx context.Context, prefix string, after turmericshed.Version) (turmericshed.Watcher, error) {
	return c.OpenWatcher(ctx, prefix, after)
}

// read runs f as one read of key, subject to the faults and the rate limit. f
// returns the number of payload bytes.
func (c Caller) read(ctx context.Context, key string, f func(s *Store) int) error {
	s := c.store
	if err := s.delayCall(ctx); err != nil {
		return turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "read %s", key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickLocked()
	if err := s.checkReachableLocked(c.name); err != nil {
		return err
	}
	if !s.readLimit.take(s.opts.Now()) {
		s.counts.Limited++
		return turmericshed.NewError(turmericshed.KindStoreUnavailable, "too many reads")
	}
	g := s.counts.group(key)
	s.counts.Reads++
	g.Reads++
	if slices.Contains(s.faults.CutAnswers, c.name) {
		return errUnreachable()
	}
	size := int64(f(s))
	s.counts.BytesRead += size
	g.BytesRead += size
	return nil
}

// write runs f as one write of key, subject to the faults and the rate limit.
// It returns KindStoreUnknown if the answer is lost: then either f has run, or w
// is held and applied later. w is nil for writes that cannot be held.
func (c Caller) write(ctx context.Context, key string, size int, w *turmericshed.Write, f func(s *Store) error) error {
	s := c.store
	if err := s.delayCall(ctx); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		if refused := s.checkReachableLocked(c.name); refused != nil {
			return refused
		}
		if w == nil {
			return turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "write %s", key)
		}
		s.held = append(s.held, heldWrite{write: *w, due: s.opts.Now().Add(time.Duration(s.faults.Delay))})
		return turmericshed.WrapError(turmericshed.KindStoreUnknown, err, "write %s", key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickLocked()
	if err := s.checkReachableLocked(c.name); err != nil {
		return err
	}
	if !s.writeLimit.take(s.opts.Now()) {
		s.counts.Limited++
		return turmericshed.NewError(turmericshed.KindStoreUnavailable, "too many writes")
	}
	s.countWriteLocked(key, size)
	if w != nil && s.holdWriteLocked(*w) {
		return turmericshed.NewError(turmericshed.KindStoreUnknown, "write %s: no answer", key)
	}
	err := f(s)
	if s.losesAnswerLocked(c.name, key, err == nil) {
		return turmericshed.NewError(turmericshed.KindStoreUnknown, "write %s: no answer", key)
	}
	return err
}

func (s *Store) countWriteLocked(key string, size int) {
	g := s.counts.group(key)
	s.counts.Writes++
	g.Writes++
	s.counts.BytesWritten += int64(size)
	g.BytesWritten += int64(size)
}

// delayCall sleeps for Faults.Delay. It returns the error of ctx if ctx ends
// first.
func (s *Store) delayCall(ctx context.Context) error {
	s.mu.Lock()
	d := time.Duration(s.faults.Delay)
	s.mu.Unlock()
	if err := ctx.Err(); err != nil || d <= 0 {
		return err
	}
	return s.opts.Sleep(ctx, d)
}

// keyGroup returns the first path element of a key, such as "budgets/".
func keyGroup(key string) string {
	if i := strings.IndexByte(key, '/'); i >= 0 {
		return key[:i+1]
	}
	return key
}
