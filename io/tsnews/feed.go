package tsnews

import (
	"context"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/io/tsuptime"
)

const (
	// maxLogEvents bounds the changes that a Feed can tell; who is further behind
	// gets all items.
	maxLogEvents = 4096
	// minAsOfGain is what a follower must gain to be answered without a change.
	minAsOfGain = 100 * time.Millisecond
)

// errNotWatching is the answer of an entry VM that does not hear of the prefix
// from the store itself, or has not lately.
var errNotWatching = turmericshed.NewError(turmericshed.KindStoreUnavailable, "this entry VM does not hear from the store")

// feed is what this process hears of one prefix from the store itself.
type feed struct {
	mu    sync.Mutex
	items map[string]turmericshed.Item
	// events are the changes above first, in order, up to at.
	events            []turmericshed.WatchEvent
	logStart, version turmericshed.Version
	// asOf is the time up to which items and log are complete; zero while
	// nothing is known.
	asOf time.Time
	// suspendedAtAsOf is what tsuptime.Suspended returned when asOf was set.
	suspendedAtAsOf time.Duration
	// changed is closed with the next change.
	changed chan struct{}
	// lastFollow is when another entry VM last wanted to follow.
	lastFollow time.Time
}

func newFeed() *feed {
	return &feed{items: make(map[string]turmericshed.Item), changed: make(chan struct{})}
}

// reset takes a snapshot.
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

// apply takes the changes after a version, or the word that there were none.
// Where they don't follow what is known, nothing is known any more.
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

// invalidate forgets what was heard, since changes may be missed from now on.
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

// followedWithin reports whether another entry VM asked lately.
func (f *feed) followedWithin(now time.Time, within time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lastFollow.IsZero() && now.Sub(f.lastFollow) < within
}

// isValid reports whether the feed can be told to others.
func (f *feed) isValid() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.asOf.IsZero()
}

// follow returns the changes above a version, all items for 0. It waits until
// there are any, or until it is known that there were none up to a later time
// than known; zero is what is known now.
// Errors: errNotWatching for what is older than maxAge.
func (f *feed) follow(ctx context.Context, after turmericshed.Version, known time.Time, wait, maxAge time.Duration) (turmericshed.Changes, error) {
	due := time.NewTimer(wait)
	defer due.Stop()
	for {
		f.mu.Lock()
		f.lastFollow = time.Now()
		if known.IsZero() {
			known = f.asOf
		}
		c, news := f.changesAfterLocked(after)
		changed := f.changed
		fresh := !f.asOf.IsZero() && time.Since(c.AsOf) < maxAge
		news = news || f.asOf.After(known.Add(minAsOfGain))
		f.mu.Unlock()
		if !fresh {
			return turmericshed.Changes{}, errNotWatching
		}
		if news {
			return c, nil
		}
		select {
		case <-changed:
		case <-due.C:
			return c, nil
		case <-ctx.Done():
			return c, nil
		}
	}
}

// changesAfterLocked reports whether anything changed. All items are returned as
// Reset.
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
