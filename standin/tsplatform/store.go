// Package tsplatform simulates the platform: a key-value store with
// compare-and-swap, leases and watches, and a list of VMs that lags behind the
// actual state. Both inject faults on request.
//
// Every write and deletion, including the deletions when a lease expires,
// increments the store-wide revision, which becomes the version of the key.
// Watchers read from one bounded log of changes; a watcher that falls behind the
// log receives a Reset.
//
// # Usage
//
//	s := tsplatform.NewStore(tsplatform.Options{Now: clock.Now})
//	s.ChangeFaults(func(f *tsplatform.Faults) { f.LoseAnswers = 1 })
//	_, err := s.As("vm-1").CompareAndSwap(ctx, w) // KindStoreUnknown, applied
//
// All methods are safe for concurrent use. Without Faults.Delay, only
// Watcher.Next blocks, so one goroutine can drive many callers.
package tsplatform

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"turmericshed"
)

const (
	// defaultLogLength is the default of Options.LogLength.
	defaultLogLength = 4096
	// maxListItems is the maximum number of items that one List returns.
	maxListItems = 1000
)

// Options configures a Store. The zero value uses the system clock and has no
// rate limits.
type Options struct {
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Sleep waits for Faults.Delay; nil means to wait on a time.Timer.
	Sleep func(ctx context.Context, d time.Duration) error
	// WritesPerSecond and ReadsPerSecond are rate limits; 0 means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// LogLength is the number of changes retained for watchers; 0 means 4096.
	LogLength int
}

// Store is the platform's key-value store.
type Store struct {
	opts            Options
	mu              sync.Mutex
	revision        turmericshed.Version
	items           map[string]item
	keys            []string // sorted
	leases          map[turmericshed.LeaseID]*lease
	lastLeaseNumber int
	// log holds the latest changes, one per revision.
	log []turmericshed.WatchEvent
	// changed is closed and replaced when watchers have to check for changes.
	changed    chan struct{}
	faults     Faults
	held       []heldWrite
	counts     Counts
	writeLimit tokenBucket
	readLimit  tokenBucket
}

type item struct {
	value   []byte
	version turmericshed.Version
	lease   turmericshed.LeaseID
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewStore returns an empty store.
func NewStore(o Options) *Store {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Sleep == nil {
		o.Sleep = sleep
	}
	if o.LogLength <= 0 {
		o.LogLength = defaultLogLength
	}
	return &Store{
		opts: o, items: map[string]item{}, leases: map[turmericshed.LeaseID]*lease{},
		changed:    make(chan struct{}),
		writeLimit: tokenBucket{rate: o.WritesPerSecond}, readLimit: tokenBucket{rate: o.ReadsPerSecond},
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

var (
	_ turmericshed.Store = (*Store)(nil)
	_ turmericshed.Store = Caller{}
)

// As returns access to the store under a caller name, by which Faults.Cut and
// Faults.CutAnswers select calls.
func (s *Store) As(caller string) Caller { return Caller{store: s, name: caller} }

// Get is Caller.Get without a caller name.
func (s *Store) Get(ctx context.Context, key string) (turmericshed.Item, error) {
	return s.As("").Get(ctx, key)
}

// List is Caller.List without a caller name.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]turmericshed.Item, error) {
	return s.As("").List(ctx, prefix, after, limit)
}

// CompareAndSwap is Caller.CompareAndSwap without a caller name.
func (s *Store) CompareAndSwap(ctx context.Context, w turmericshed.Write) (turmericshed.Version, error) {
	return s.As("").CompareAndSwap(ctx, w)
}

// Grant is Caller.Grant without a caller name.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (turmericshed.LeaseID, error) {
	return s.As("").Grant(ctx, ttl)
}

// KeepAlive is Caller.KeepAlive without a caller name.
func (s *Store) KeepAlive(ctx context.Context, id turmericshed.LeaseID) error {
	return s.As("").KeepAlive(ctx, id)
}

// Watch is Caller.Watch without a caller name.
func (s *Store) Watch(ctx context.Context, prefix string, after turmericshed.Version) (turmericshed.Watcher, error) {
	return s.As("").Watch(ctx, prefix, after)
}

// Tick expires leases and applies held writes that are due. Every call does so
// as well; Tick is for stores that receive no calls.
func (s *Store) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickLocked()
}

// tickLocked expires leases, deletes their keys and applies held writes that are
// due.
func (s *Store) tickLocked() {
	now := s.opts.Now()
	s.applyHeldLocked(func(h heldWrite) bool { return !h.due.IsZero() && !now.Before(h.due) })
	var expired []turmericshed.LeaseID
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			expired = append(expired, id)
		}
	}
	if len(expired) == 0 {
		return
	}
	for _, id := range expired {
		delete(s.leases, id)
	}
	for _, key := range append([]string(nil), s.keys...) {
		it := s.items[key]
		if it.lease == "" {
			continue
		}
		if _, ok := s.leases[it.lease]; !ok {
			s.putLocked(turmericshed.Write{Key: key, Delete: true})
		}
	}
}

// applyLocked checks the version and the lease of a write and applies it.
// Deleting a missing key returns version 0.
func (s *Store) applyLocked(w turmericshed.Write) (turmericshed.Version, error) {
	cur := s.items[w.Key]
	if cur.version != w.ExpectedVersion {
		return 0, turmericshed.NewError(turmericshed.KindConflict, "key %s has version %d, not %d", w.Key, cur.version, w.ExpectedVersion)
	}
	if w.Lease != "" {
		if _, ok := s.leases[w.Lease]; !ok {
			return 0, turmericshed.NewError(turmericshed.KindNotFound, "lease %s lapsed", w.Lease)
		}
	}
	if w.Delete && cur.version == 0 {
		return 0, nil
	}
	return s.putLocked(w), nil
}

// putLocked applies a write or deletion unconditionally, appends it to the log
// and wakes the watchers. It returns the new revision.
func (s *Store) putLocked(w turmericshed.Write) turmericshed.Version {
	s.revision++
	i := sort.SearchStrings(s.keys, w.Key)
	exists := i < len(s.keys) && s.keys[i] == w.Key
	ev := turmericshed.WatchEvent{Item: turmericshed.Item{Key: w.Key, Version: s.revision}, Deleted: w.Delete}
	if w.Delete {
		delete(s.items, w.Key)
		s.keys = append(s.keys[:i], s.keys[i+1:]...)
	} else {
		value := append([]byte{}, w.Value...)
		ev.Value = value
		s.items[w.Key] = item{value: value, version: s.revision, lease: w.Lease}
		if !exists {
			s.keys = append(s.keys, "")
			copy(s.keys[i+1:], s.keys[i:])
			s.keys[i] = w.Key
		}
	}
	s.log = append(s.log, ev)
	if excess := len(s.log) - s.opts.LogLength; excess > 0 {
		s.log = append(s.log[:0:0], s.log[excess:]...)
	}
	s.wakeWatchersLocked()
	return s.revision
}

func (s *Store) wakeWatchersLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// listLocked returns copies of up to limit items under prefix whose keys are
// greater than after.
func (s *Store) listLocked(prefix, after string, limit int) []turmericshed.Item {
	if limit <= 0 || limit > maxListItems {
		limit = maxListItems
	}
	var items []turmericshed.Item
	for i := sort.SearchStrings(s.keys, prefix); i < len(s.keys) && len(items) < limit; i++ {
		key := s.keys[i]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			items = append(items, s.itemLocked(key))
		}
	}
	return items
}

func (s *Store) itemLocked(key string) turmericshed.Item {
	it := s.items[key]
	if it.version == 0 {
		return turmericshed.Item{Key: key}
	}
	return turmericshed.Item{Key: key, Value: append([]byte{}, it.value...), Version: it.version}
}

// grantLocked creates a lease.
func (s *Store) grantLocked(ttl time.Duration) turmericshed.LeaseID {
	s.lastLeaseNumber++
	id := turmericshed.LeaseID(fmt.Sprintf("lease-%d", s.lastLeaseNumber))
	s.leases[id] = &lease{ttl: ttl, expires: s.opts.Now().Add(ttl)}
	return id
}

// Peek returns an item for assertions: it is not subject to faults or rate limits
// and is not counted.
func (s *Store) Peek(key string) turmericshed.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.itemLocked(key)
}
