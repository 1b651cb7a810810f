package tsfeed

import (
	"context"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/io/tsuptime"
)

const (
	// maxLogEvents bounds the events that a feed retains. A follower that is
	// further behind receives all items.
	maxLogEvents = 4096
	// minAsOfGain is the least advance of AsOf for which a follower is answered
	// when nothing changed.
	minAsOfGain = 100 * time.Millisecond
)

// errNotWatching is returned by an entry VM that does not watch the prefix at
// the store, or has received no store update recently.
var errNotWatching = turmericshed.NewError(turmericshed.KindStoreUnavailable, "this entry VM does not hear from the store")

// feed is the state of one prefix as this process receives it from the store,
// not from peers.
type feed struct {
	mu    sync.Mutex
	items map[string]turmericshed.Item
	// events are the changes above logStart up to version, in order.
	events            []turmericshed.WatchEvent
	logStart, version turmericshed.Version
	// asOf is the time up to which items and events are complete; zero while the
	// feed is invalid.
	asOf time.Time
	// suspendedAtAsOf is what tsuptime.Suspended returned when asOf was set.
	suspendedAtAsOf time.Duration
	// changed is closed with the next change.
	changed chan struct{}
	// lastFollow is when another entry VM last called Follow.
	lastFollow time.Time
}

func newFeed() *feed {
	return &feed{items: make(map[string]turmericshed.Item), changed: make(chan struct{})}
}

// reset replaces the state by a snapshot.
func (f *feed) reset(snap turmericshed.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.items = make(map[string]turmericshed.Item, len(snap.Items))
	for _, i := range snap.Items {
		f.items[i.Key] = i
	}
	f.events, f.logStart, f.version, f.asOf, f.suspendedAtAsOf = nil, snap.At, snap.At, snap.AsOf, tsuptime.Suspended()
	f.notifyLocked()
}

// apply adds the changes after a version; without events they only advance
// asOf. If they leave a gap after the feed's version, the feed becomes invalid.
func (f *feed) apply(after turmericshed.Version, c turmericshed.Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asOf.IsZero() {
		return
	}
	if c.Reset || after > f.version {
		f.asOf = time.Time{}
		f.notifyLocked()
		return
	}
	if c.AsOf.After(f.asOf) {
		f.asOf, f.suspendedAtAsOf = c.AsOf, tsuptime.Suspended()
	}
	for _, ev := range c.Events {
		if ev.Version <= f.version {
			continue
		}
		if ev.Deleted {
			delete(f.items, ev.Key)
		} else {
			f.items[ev.Key] = ev.Item
		}
		f.events = append(f.events, ev)
	}
	f.version = max(f.version, c.At)
	if len(f.events) > maxLogEvents {
		dropped := len(f.events) - maxLogEvents/2
		f.logStart = f.events[dropped-1].Version
		f.events = append([]turmericshed.WatchEvent(nil), f.events[dropped:]...)
	}
	f.notifyLocked()
}

// invalidate marks the feed as incomplete, since it may miss changes from now on.
func (f *feed) invalidate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asOf = time.Time{}
	f.notifyLocked()
}

func (f *feed) notifyLocked() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// followedWithin reports whether another entry VM called Follow in the last period.
func (f *feed) followedWithin(now time.Time, period time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lastFollow.IsZero() && now.Sub(f.lastFollow) < period
}

// isValid reports whether the feed can be served to other entry VMs.
func (f *feed) isValid() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.asOf.IsZero()
}

// follow returns the changes above a version, or all items for version 0. It
// waits at most for wait, until there is a change or until the feed is complete
// up to a time later than knownAsOf. A zero knownAsOf means the feed's present
// asOf. Errors: errNotWatching if the feed is invalid or older than maxAge.
func (f *feed) follow(ctx context.Context, after turmericshed.Version, knownAsOf time.Time, wait, maxAge time.Duration) (turmericshed.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		f.lastFollow = time.Now()
		if knownAsOf.IsZero() {
			knownAsOf = f.asOf
		}
		c, hasUpdate := f.changesAfterLocked(after)
		changed := f.changed
		isFresh := !f.asOf.IsZero() && time.Since(c.AsOf) < maxAge
		hasUpdate = hasUpdate || f.asOf.After(knownAsOf.Add(minAsOfGain))
		f.mu.Unlock()
		if !isFresh {
			return turmericshed.Changes{}, errNotWatching
		}
		if hasUpdate {
			return c, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return c, nil
		case <-ctx.Done():
			return c, nil
		}
	}
}

// changesAfterLocked returns the changes above a version and whether there are
// any. If the retained events start later, it returns all items with Reset set.
func (f *feed) changesAfterLocked(after turmericshed.Version) (turmericshed.Changes, bool) {
	c := turmericshed.Changes{At: max(f.version, after), AsOf: f.asOf.Add(f.suspendedAtAsOf - tsuptime.Suspended())}
	if after < f.logStart && f.version >= after {
		c.Reset = true
		for _, i := range f.items {
			c.Events = append(c.Events, turmericshed.WatchEvent{Item: i})
		}
		return c, true
	}
	for _, ev := range f.events {
		if ev.Version > after {
			c.Events = append(c.Events, ev)
		}
	}
	return c, len(c.Events) > 0
}
