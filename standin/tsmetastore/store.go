// Package tsmetastore simulates the metadata store of the users' platform: keys
// with revisions, transactions, leases and watches over HTTP, with faults that
// tests can inject. Backend simulates one of the platform's backend servers.
//
// # Usage
//
//	s := tsmetastore.New()
//	srv := httptest.NewServer(s)
//	s.Put("op/config", value)     // as an operator or a server
//	s.SetDown(true)               // every call fails with 503
//	s.LoseWrites(1, time.Second)  // the next transaction is applied after 1 s, without an answer
package tsmetastore

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// historyLength is the number of changes retained for watches.
const historyLength = 1000

// Item is a key with its value. Created is the revision at which the key was
// created, Lease the lease it is bound to, or 0.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    int64  `json:"lease"`
}

// Event is a change as a watch reports it.
type Event struct {
	Item
	Removed bool `json:"removed,omitempty"`
}

// Store is the metadata store. It is an http.Handler.
type Store struct {
	mux *http.ServeMux
	// restoring is held for reading during each call except watches, so that the era in an
	// answer is the one in which the call was made.
	restoring sync.RWMutex

	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	history  []Event
	// compacted is the latest revision that is no longer in the history.
	compacted uint64
	changed   chan struct{}
	leases    map[int64]*time.Timer
	nextLease int64
	down      bool
	// lostWrites is the number of subsequent transactions that get no answer
	// and are applied after lostWriteDelay.
	lostWrites     int
	lostWriteDelay time.Duration
	calls          map[string]int
	// era is the Store-Era header of all answers. It rises with each Restore.
	era uint64
}

// Copy is a copy of the store's contents.
type Copy struct {
	revision  uint64
	items     map[string]Item
	nextLease int64
	leases    map[int64]bool
}

// Copy returns a copy of the contents, for Restore.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{revision: s.revision, items: maps.Clone(s.items), nextLease: s.nextLease, leases: map[int64]bool{}}
	for id := range s.leases {
		c.leases[id] = true
	}
	return c
}

// Restore replaces the contents by a copy. All changes since that copy are lost,
// except those of keys for which keep returns true: their writers have written them
// again. Leases granted since are gone, and revisions and leases are given out again.
func (s *Store) Restore(c Copy, keep func(key string) bool) {
	s.restoring.Lock()
	defer s.restoring.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.items
	s.era++
	s.revision, s.items, s.nextLease, s.history, s.compacted = c.revision, maps.Clone(c.items), c.nextLease, nil, c.revision
	for id, timer := range s.leases {
		if !c.leases[id] {
			timer.Stop()
			delete(s.leases, id)
		}
	}
	for key, item := range s.items {
		if _, isAlive := s.leases[item.Lease]; item.Lease != 0 && !isAlive {
			delete(s.items, key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(current)) {
		if item := current[key]; keep(key) && s.items[key].Revision != item.Revision {
			s.put(key, item.Value, 0)
		}
	}
	s.wakeWatches()
}

// New returns an empty store.
func New() *Store {
	s := &Store{
		mux: http.NewServeMux(), revision: 1, items: map[string]Item{}, changed: make(chan struct{}),
		leases: map[int64]*time.Timer{}, calls: map[string]int{}, era: 1,
	}
	s.registerRoutes()
	return s
}

// Put writes a key unconditionally.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// Remove deletes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Get returns the item of a key and whether the key exists.
func (s *Store) Get(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	return item, ok
}

// Items returns the items under a prefix, in key order.
func (s *Store) Items(prefix string) []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list(prefix, "")
}

// SetDown makes every call, including open watches, fail with 503 while down is
// true.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wakeWatches()
}

// LoseWrites closes the connection of the next n transactions without an
// answer, and applies them after the delay if their conditions hold then.
func (s *Store) LoseWrites(n int, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostWrites, s.lostWriteDelay = n, delay
}

// Compact discards the history, so that watches of earlier revisions get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.wakeWatches()
}

// Calls returns the number of calls to a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// put writes a key at a new revision.
func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	s.putAtRevision(key, value, lease)
}

// putAtRevision writes a key at the current revision, which the caller has
// incremented for the whole change.
func (s *Store) putAtRevision(key string, value []byte, lease int64) {
	item := Item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.record(Event{Item: item})
}

// remove deletes a key at a new revision, if it exists.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(Event{Item: Item{Key: key, Revision: s.revision}, Removed: true})
}

// record appends a change to the history, compacts what exceeds historyLength
// and wakes the watches.
func (s *Store) record(e Event) {
	s.history = append(s.history, e)
	if excess := len(s.history) - historyLength; excess > 0 {
		s.compacted = s.history[excess-1].Revision
		s.history = s.history[excess:]
	}
	s.wakeWatches()
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns the items under prefix whose keys are greater than after, in key
// order.
func (s *Store) list(prefix, after string) []Item {
	items := []Item{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return items
}

// grant creates a lease. Its keys are removed when it expires after ttl.
func (s *Store) grant(ttl time.Duration) int64 {
	s.nextLease++
	id := s.nextLease
	s.leases[id] = time.AfterFunc(ttl, func() { s.expireLease(id) })
	return id
}

// expireLease deletes a lease and its keys.
func (s *Store) expireLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}
