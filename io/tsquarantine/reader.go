package tsquarantine

import (
	"context"
	"encoding/json"
	"time"

	"turmericshed"
	"turmericshed/core/tspoison"
)

// reader brings the kept quarantines into the failure domain. One entry VM of
// each reads them for the others.
type storeReader struct{ g *Guard }

// Controllers returns the loops to be supervised.
func (g *Guard) Controllers() []turmericshed.Controller {
	if g.cfg.Store == nil {
		return nil
	}
	return []turmericshed.Controller{storeReader{g: g}}
}

// String names the controller in logs.
func (storeReader) String() string { return "quarantine reader" }

// Serve reads the entries until ctx ends.
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

// exchange joins the kept entries, spreads what was news, and writes what is
// not kept yet.
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
		if e.Spent(now) {
			g.deleteEntry(ctx, e.Digest)
		}
	}
	for _, e := range g.Evidence(now) {
		if s := stored[e.Digest]; e.Barred(now) && !s.Barred(now) && !s.PardonedAt.After(e.PardonedAt) {
			_ = Keep(ctx, g.cfg.Store, e)
		}
	}
}

// List reads the kept entries.
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

// Lift ends a quarantine in the store; every failure domain hears of it within
// the reading interval. Errors: KindNotFound, and those of the store.
func Lift(ctx context.Context, s turmericshed.Store, now time.Time, d turmericshed.Digest, by string) error {
	item, err := s.Get(ctx, turmericshed.QuarantinePrefix+string(d))
	if err != nil {
		return err
	}
	if item.Version == 0 {
		return turmericshed.NewError(turmericshed.KindNotFound, "no quarantine of digest %s", d)
	}
	return Keep(ctx, s, tspoison.Evidence{Digest: d, PardonedAt: now, PardonedBy: by})
}

// remove deletes an entry that no longer matters.
func (g *Guard) deleteEntry(ctx context.Context, d turmericshed.Digest) {
	key := turmericshed.QuarantinePrefix + string(d)
	item, err := g.cfg.Store.Get(ctx, key)
	if err != nil || item.Version == 0 {
		return
	}
	_, _ = g.cfg.Store.CompareAndSwap(ctx, turmericshed.Write{Key: key, Want: item.Version, Delete: true})
}
