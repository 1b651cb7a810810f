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
	storeRetry   = time.Second
	// keepSpread spreads the writes of those that count for all: who comes later
	// finds its own written.
	keepSpread = 600 * time.Millisecond
)

// keeper keeps in the store what is barred, for entry VMs that start later.
type keeper struct{ w *Watch }

// String names the controller in the supervisor's log.
func (keeper) String() string { return "crash keeper" }

// Serve reads what is kept, and writes until ctx ends.
func (c keeper) Serve(ctx context.Context) error {
	for known := c.w.cfg.FirstStart; ; {
		var retry <-chan time.Time
		if !known {
			known = c.w.load(ctx)
		}
		if !c.w.keep(ctx) || !known {
			retry = time.After(storeRetry + rand.N(storeRetry))
		}
		select {
		case <-c.w.keeps:
			tspause.For(ctx, rand.N(keepSpread))
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
	w.noted(time.Now(), w.book.Merge(kept), "store")
	return true
}

// keep writes what the store lacks; it reports whether it lacks nothing.
func (w *Watch) keep(ctx context.Context) bool {
	w.mu.Lock()
	digests := slices.Collect(maps.Keys(w.unkept))
	w.mu.Unlock()
	whole := true
	for _, d := range digests {
		w.mu.Lock()
		e, known := w.book.Get(d)
		delete(w.unkept, d)
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
			w.unkept[d] = true
			w.mu.Unlock()
			whole = false
		}
	}
	return whole
}
