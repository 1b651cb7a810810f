package tscrash

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"turmericshed"
	"turmericshed/io/tspause"
	"turmericshed/io/tsquarantine"
)

const (
	// storeTimeout bounds one call to the store, and storeRetry is the time until
	// a failed one is made again, jittered by as much again.
	storeTimeout = 2 * time.Second
	storeRetryDelay   = time.Second
	// maxPersistDelay spreads the writes of those that count for all: who comes later
	// finds its own written.
	maxPersistDelay = 600 * time.Millisecond
)

// persister keeps in the store what is barred, for entry VMs that start later.
type persister struct{ w *Watch }

// String names the controller in the supervisor's log.
func (persister) String() string { return "crash keeper" }

// Serve reads what is kept, and writes until ctx ends.
func (c persister) Serve(ctx context.Context) error {
	for known := c.w.cfg.FirstStart; ; {
		var retry <-chan time.Time
		if !known {
			known = c.w.load(ctx)
		}
		if !c.w.persist(ctx) || !known {
			retry = time.After(storeRetryDelay + rand.N(storeRetryDelay))
		}
		select {
		case <-c.w.persistWake:
			tspause.For(ctx, rand.N(maxPersistDelay))
		case <-retry:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// load joins what the store keeps; it reports whether that is known.
func (w *Watch) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	began := time.Now()
	kept, err := tsquarantine.List(ctx, w.cfg.Store)
	if err != nil {
		w.cfg.Log.Warn("quarantines not read", "elapsed_ms", time.Since(began).Milliseconds(), "error", err.Error())
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordChanges(time.Now(), w.book.Merge(kept), "store")
	return true
}

// persist writes what the store lacks; it reports whether it lacks nothing.
func (w *Watch) persist(ctx context.Context) bool {
	w.mu.Lock()
	digests := slices.Collect(maps.Keys(w.unsaved))
	w.mu.Unlock()
	whole := true
	for _, d := range digests {
		w.mu.Lock()
		e, known := w.book.Get(d)
		delete(w.unsaved, d)
		w.mu.Unlock()
		if !known {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := tsquarantine.Keep(callCtx, w.cfg.Store, e)
		cancel()
		if err != nil {
			w.cfg.Log.Warn("quarantine not kept", "digest", string(d), "kind", turmericshed.KindOf(err).String(), "error", err.Error())
			w.mu.Lock()
			w.unsaved[d] = true
			w.mu.Unlock()
			whole = false
		}
	}
	return whole
}
