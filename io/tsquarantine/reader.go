package tsquarantine

import (
	"context"
	"encoding/json"
	"time"

	"turmericshed"
	"turmericshed/core/tspoison"
)

// storeReader synchronizes the failure domain with the stored quarantines. In each
// failure domain, one entry VM does so for the others.
type storeReader struct{ g *Guard }

// Controllers returns the background loops to run under a supervisor.
func (g *Guard) Controllers() []turmericshed.Controller {
	if g.cfg.Store == nil {
		return nil
	}
	return []turmericshed.Controller{storeReader{g: g}}
}

// String returns the controller's name for the supervisor's log.
func (storeReader) String() string { return "quarantine reader" }

// Serve synchronizes periodically until ctx ends.
func (r storeReader) Serve(ctx context.Context) error {
	t := time.NewTicker(readInterval)
	defer t.Stop()
	for {
		if _, isRemote := r.g.coordinator(readRole); !isRemote {
			r.g.syncWithStore(ctx)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// syncWithStore merges the stored entries, spreads those that changed here,
// deletes expired ones, and writes local quarantines that are not stored yet.
func (g *Guard) syncWithStore(ctx context.Context) {
	now := time.Now()
	entries, err := List(ctx, g.cfg.Store)
	if err != nil {
		return
	}
	g.spread(g.Merge(now, entries))
	stored := map[turmericshed.Digest]tspoison.Evidence{}
	for _, e := range entries {
		stored[e.Digest] = e
		if e.IsExpired(now) {
			g.deleteEntry(ctx, e.Digest)
		}
	}
	for _, e := range g.Evidence(now) {
		if s := stored[e.Digest]; e.IsQuarantined(now) && !s.IsQuarantined(now) && !s.ClearedAt.After(e.ClearedAt) {
			_ = MergeIntoStore(ctx, g.cfg.Store, e)
		}
	}
}

// List reads the stored entries, at most maxEntries, and skips malformed ones.
// Errors are those of the store.
func List(ctx context.Context, s turmericshed.Store) ([]tspoison.Evidence, error) {
	items, err := s.List(ctx, turmericshed.QuarantinePrefix, "", maxEntries)
	if err != nil {
		return nil, err
	}
	var out []tspoison.Evidence
	for _, it := range items {
		var e tspoison.Evidence
		if json.Unmarshal(it.Value, &e) == nil {
			out = append(out, e)
		}
	}
	return out, nil
}

// Lift lifts a quarantine in the store; every failure domain reads that within
// readInterval. by names the operator. Errors: KindNotFound, and those of MergeIntoStore.
func Lift(ctx context.Context, s turmericshed.Store, now time.Time, d turmericshed.Digest, by string) error {
	item, err := s.Get(ctx, turmericshed.QuarantinePrefix+string(d))
	if err != nil {
		return err
	}
	if item.Version == 0 {
		return turmericshed.NewError(turmericshed.KindNotFound, "no quarantine of digest %s", d)
	}
	return MergeIntoStore(ctx, s, tspoison.Evidence{Digest: d, ClearedAt: now, ClearedBy: by})
}

// deleteEntry deletes a stored entry, unless the entry changes at the same time.
// After a failure, a later synchronization tries again.
func (g *Guard) deleteEntry(ctx context.Context, d turmericshed.Digest) {
	key := turmericshed.QuarantinePrefix + string(d)
	item, err := g.cfg.Store.Get(ctx, key)
	if err != nil || item.Version == 0 {
		return
	}
	_, _ = g.cfg.Store.CompareAndSwap(ctx, turmericshed.Write{Key: key, ExpectedVersion: item.Version, Delete: true})
}
