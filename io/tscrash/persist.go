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
	// storeTimeout is the timeout of one call to the store.
	storeTimeout = 2 * time.Second
	// storeRetryDelay is the minimum delay before a failed call is retried. A random
	// jitter of up to the same duration is added.
	storeRetryDelay = time.Second
	// maxPersistDelay bounds the random delay before a write. It spreads the writes of
	// the aggregators, so that later ones find the evidence already stored.
	maxPersistDelay = 600 * time.Millisecond
)

// persister writes the evidence about blocked requests to the store, for entry VMs
// that start later.
type persister struct{ w *Watch }

// String names the controller in the supervisor's log.
func (persister) String() string { return "crash keeper" }

// Serve loads the stored quarantines, and then writes new ones until ctx ends.
func (c persister) Serve(ctx context.Context) error {
	for loaded := c.w.cfg.FirstStart; ; {
		var retry <-chan time.Time
		if !loaded {
			loaded = c.w.load(ctx)
		}
		if !c.w.persist(ctx) || !loaded {
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

// load merges the stored quarantines into the book and reports whether they could
// be read.
func (w *Watch) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	began := time.Now()
	stored, err := tsquarantine.List(ctx, w.cfg.Store)
	if err != nil {
		w.cfg.Log.Warn("cannot read the quarantines from the store; retrying", "elapsed_ms", time.Since(began).Milliseconds(), "error", err.Error())
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordChanges(time.Now(), w.book.Merge(stored), "store")
	return true
}

// Restored makes an aggregator write again the quarantines that the store may have forgotten. It must be called
// when the store came back from an older copy.
func (w *Watch) Restored() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for d := range w.requestChange {
		w.unsaved[d] = true
	}
	wake(w.persistWake)
}

// persist writes the unsaved evidence to the store and reports whether every write
// succeeded.
func (w *Watch) persist(ctx context.Context) bool {
	w.mu.Lock()
	digests := slices.Collect(maps.Keys(w.unsaved))
	w.mu.Unlock()
	complete := true
	for _, d := range digests {
		w.mu.Lock()
		e, found := w.book.Get(d)
		delete(w.unsaved, d)
		w.mu.Unlock()
		if !found {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := tsquarantine.MergeIntoStore(callCtx, w.cfg.Store, e)
		cancel()
		if err != nil {
			w.cfg.Log.Warn("cannot write a quarantine to the store; retrying", "digest", string(d), "kind", turmericshed.KindOf(err).String(), "error", err.Error())
			w.mu.Lock()
			w.unsaved[d] = true
			w.mu.Unlock()
			complete = false
		}
	}
	return complete
}
