// Package tsplatform stands in for the platform: the key-value service with
// compare-and-swap, leases and watches, and the lagging list of VMs.
//
// Every write, deletion and lapse of a lease takes the next store-wide
// revision, which is the version of the key from then on. Watchers read from
// one bounded log of changes; a watcher that fell behind it gets a Reset.
//
// # Usage
//
//	s := tsplatform.NewStore(tsplatform.Options{Now: clock.Now})
//	s.ChangeFaults(func(f *tsplatform.Faults) { f.LoseAnswers = 1 })
//	_, err := s.As("vm-1").CompareAndSwap(ctx, w) // KindStoreUnknown, applied
//
// All methods are safe for concurrent use. Without a Delay no method but
// Watcher.Next blocks, so that one goroutine can drive many callers.
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
	// defaultLogLength is the number of changes that watchers can read back.
	defaultLogLength = 4096
	// maxListItems bounds one answer to List.
	maxListItems = 1000
)

// Options sets up a Store. The zero value has no limits and the real clock.
type Options struct {
	// Now reads the clock; nil means time.Now.
	Now func() time.Time
	// Sleep waits for Faults.Delay; nil means a timer.
	Sleep func(ctx context.Context, d time.Duration) error
	// WritesPerSecond and ReadsPerSecond limit the calls; 0 means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// LogLength is the number of changes kept for watchers.
	LogLength int
}

// Store is the key-value service.
type Store struct {
	opts            Options
	mu              sync.Mutex
	revision        turmericshed.Version
	items           map[string]item
	keys            []string // sorted
	leases          map[turmericshed.LeaseID]*lease
	lastLeaseNumber int
	log             []turmericshed.WatchEvent
	changed         chan struct{}
	faults          Faults
	held            []heldWrite
	counts          Counts
	writeLimit      tokenBucket
	readLimit       tokenBucket
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

// As returns the store as seen by one named caller, which Faults can cut.
func (s *Store) As(caller string) Caller { return Caller{store: s, name: caller} }

// Get returns the item.
func (s *Store) Get(ctx context.Context, key string) (turmericshed.Item, error) {
	return s.As("").Get(ctx, key)
}

// List returns items under the prefix.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]turmericshed.Item, error) {
	return s.As("").List(ctx, prefix, after, limit)
}

// CompareAndSwap applies w.
func (s *Store) CompareAndSwap(ctx context.Context, w turmericshed.Write) (turmericshed.Version, error) {
	return s.As("").CompareAndSwap(ctx, w)
}

// Grant makes a lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (turmericshed.LeaseID, error) {
	return s.As("").Grant(ctx, ttl)
}

// KeepAlive renews a lease.
func (s *Store) KeepAlive(ctx context.Context, id turmericshed.LeaseID) error {
	return s.As("").KeepAlive(ctx, id)
}

// Watch delivers changes under prefix.
func (s *Store) Watch(ctx context.Context, prefix string, after turmericshed.Version) (turmericshed.Watcher, error) {
	return s.As("").Watch(ctx, prefix, after)
}

// Tick lets leases lapse and held writes land as of now. Every call does so
// too; Tick serves stores on which nobody calls.
func (s *Store) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickLocked()
}

func (s *Store) tickLocked() {
	now := s.opts.Now()
	s.applyHeldLocked(func(h heldWrite) bool { return !h.due.IsZero() && !now.Before(h.due) })
	var lapsed []turmericshed.LeaseID
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			lapsed = append(lapsed, id)
		}
	}
	if len(lapsed) == 0 {
		return
	}
	for _, id := range lapsed {
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

// applyLocked checks and applies a write.
func (s *Store) applyLocked(w turmericshed.Write) (turmericshed.Version, error) {
	cur := s.items[w.Key]
	if cur.version != w.Want {
		return 0, turmericshed.NewError(turmericshed.KindConflict, "key %s has version %d, not %d", w.Key, cur.version, w.Want)
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

// putLocked makes the change and tells the watchers.
func (s *Store) putLocked(w turmericshed.Write) turmericshed.Version {
	s.revision++
	at := sort.SearchStrings(s.keys, w.Key)
	present := at < len(s.keys) && s.keys[at] == w.Key
	ev := turmericshed.WatchEvent{Item: turmericshed.Item{Key: w.Key, Version: s.revision}, Deleted: w.Delete}
	if w.Delete {
		delete(s.items, w.Key)
		s.keys = append(s.keys[:at], s.keys[at+1:]...)
	} else {
		value := append([]byte{}, w.Value...)
		ev.Value = value
		s.items[w.Key] = item{value: value, version: s.revision, lease: w.Lease}
		if !present {
			s.keys = append(s.keys, "")
			copy(s.keys[at+1:], s.keys[at:])
			s.keys[at] = w.Key
		}
	}
	s.log = append(s.log, ev)
	if over := len(s.log) - s.opts.LogLength; over > 0 {
		s.log = append(s.log[:0:0], s.log[over:]...)
	}
	s.wakeWatchersLocked()
	return s.revision
}

func (s *Store) wakeWatchersLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// listLocked returns copies of items under prefix.
func (s *Store) listLocked(prefix, after string, limit int) []turmericshed.Item {
	if limit <= 0 || limit > maxListItems {
		limit = maxListItems
	}
	var items []turmericshed.Item
	for at := sort.SearchStrings(s.keys, prefix); at < len(s.keys) && len(items) < limit; at++ {
		key := s.keys[at]
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

// grantLocked makes a lease.
func (s *Store) grantLocked(ttl time.Duration) turmericshed.LeaseID {
	s.lastLeaseNumber++
	id := turmericshed.LeaseID(fmt.Sprintf("lease-%d", s.lastLeaseNumber))
	s.leases[id] = &lease{ttl: ttl, expires: s.opts.Now().Add(ttl)}
	return id
}

// Peek returns an item past all faults, limits and counts, for checks.
func (s *Store) Peek(key string) turmericshed.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.itemLocked(key)
}
