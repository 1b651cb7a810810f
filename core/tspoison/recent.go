package tspoison

import "time"

// Recent holds the time of the last event of each key, for a bounded number of keys and a
// bounded time. It keeps two generations: when the younger one is full or old, it replaces
// the older one. A key is therefore kept for at least half of the bounds after its last
// event. Get and Set take constant time.
//
// A Recent is not safe for concurrent use.
type Recent[K comparable] struct {
	maxKeys    int
	generation time.Duration
	began      time.Time
	young, old map[K]time.Time
}

// NewRecent returns an empty Recent for up to maxKeys keys, each kept for maxAge at most.
func NewRecent[K comparable](maxKeys int, maxAge time.Duration) *Recent[K] {
	return &Recent[K]{maxKeys: maxKeys, generation: maxAge / 2, young: make(map[K]time.Time)}
}

// Set records an event of the key.
func (r *Recent[K]) Set(now time.Time, k K) {
	r.rotate(now)
	if _, ok := r.young[k]; !ok && len(r.young) >= r.maxKeys/2 {
		r.old, r.young, r.began = r.young, make(map[K]time.Time), now
	}
	r.young[k] = now
}

// Get returns the time of the key's last event; ok is false if it is not known.
func (r *Recent[K]) Get(now time.Time, k K) (at time.Time, ok bool) {
	r.rotate(now)
	if at, ok = r.young[k]; ok {
		return at, true
	}
	at, ok = r.old[k]
	return at, ok
}

// rotate starts a new generation if the younger one is too old.
func (r *Recent[K]) rotate(now time.Time) {
	switch age := now.Sub(r.began); {
	case age < r.generation:
	case age < 2*r.generation:
		r.old, r.young, r.began = r.young, make(map[K]time.Time), now
	default:
		r.old, r.young, r.began = nil, make(map[K]time.Time), now
	}
}
