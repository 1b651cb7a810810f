// Package tsmetastore stands in for the users' platform's metadata store: keys
// with revisions, transactions, leases and watches over HTTP, with faults that
// a test switches on.
//
// # Usage
//
//	s := tsmetastore.New()
//	srv := httptest.NewServer(s)
//	s.Put("op/config", value)     // as an operator or a server
//	s.SetDown(true)               // 503 for every call
//	s.LoseWrites(1, time.Second)  // the next write is done late, unanswered
package tsmetastore

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// historyLength is the number of changes kept for watches.
const historyLength = 1000

// Item is a key with its value.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    int64  `json:"lease"`
}

// Event is a change as watches tell it.
type Event struct {
	Item
	Removed bool `json:"removed,omitempty"`
}

// Store is an http.Handler.
type Store struct {
	mux *http.ServeMux

	mu        sync.Mutex
	revision  uint64
	items     map[string]Item
	history   []Event
	compacted uint64
	changed   chan struct{}
	leases    map[int64]*time.Timer
	nextLease int64
	down      bool
	// lose is how many writes get no answer; late is when they are done.
	lostWrites     int
	lostWriteDelay time.Duration
	calls          map[string]int
}

// New returns an empty store.
func New() *Store {
	s := &Store{
		mux: http.NewServeMux(), revision: 1, items: map[string]Item{}, changed: make(chan struct{}),
		leases: map[int64]*time.Timer{}, calls: map[string]int{},
	}
	s.registerRoutes()
	return s
}

// Put writes a key without a condition.
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

// Get returns a key's item.
func (s *Store) Get(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i, ok
}

// SetDown makes every call fail with 503, or none.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wakeWatches()
}

// LoseWrites lets the next n writes go unanswered and carries them out after
// the delay, if their condition still holds.
func (s *Store) LoseWrites(n int, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostWrites, s.lostWriteDelay = n, late
}

// Compact drops the history that watches continue from.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.wakeWatches()
}

// Calls returns how often a path was called.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	s.putAtRevision(key, value, lease)
}

// putNow writes a key as a part of the change that made the revision.
func (s *Store) putAtRevision(key string, value []byte, lease int64) {
	i := Item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(Event{Item: i})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(Event{Item: Item{Key: key, Revision: s.revision}, Removed: true})
}

func (s *Store) record(e Event) {
	s.history = append(s.history, e)
	if n := len(s.history) - historyLength; n > 0 {
		s.compacted = s.history[n-1].Revision
		s.history = s.history[n:]
	}
	s.wakeWatches()
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns the items with the prefix in key order.
func (s *Store) list(prefix, after string) []Item {
	list := []Item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// grant makes a lease whose keys go when it ends.
func (s *Store) grant(ttl time.Duration) int64 {
	s.nextLease++
	id := s.nextLease
	s.leases[id] = time.AfterFunc(ttl, func() { s.expireLease(id) })
	return id
}

func (s *Store) expireLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
}
