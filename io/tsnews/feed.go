package tsnews

import (
	"context"
	"sync"
	"time"

	"turmericshed"
)

const (
	// maxLog bounds the changes that a Feed can tell; who is further behind
	// gets all items.
	maxLog = 4096
	// maxAge is the time since the store's last answer from which a Feed is not
	// told to others: a little more than a watch waits.
	maxAge = 4 * time.Second
)

// errNotWatching is the answer of an entry VM that does not hear of the prefix
// from the store itself, or has not lately.
var errNotWatching = turmericshed.NewError(turmericshed.KindStoreUnavailable, "this entry VM does not hear from the store")

// news is what a Feed tells.
type news struct {
	// reset is true when the events are all items, not changes.
	reset  bool
	events []turmericshed.WatchEvent
	at     turmericshed.Version
	age    time.Duration
}

// feed is what this process hears of one prefix from the store itself.
type feed struct {
	mu    sync.Mutex
	items map[string]turmericshed.Item
	// log are the changes above first, in order, up to at.
	log       []turmericshed.WatchEvent
	first, at turmericshed.Version
	// heard is when the store last answered; zero while nothing is known.
	heard time.Time
	// changed is closed with the next change.
	changed chan struct{}
	// asked is when another entry VM last wanted to follow.
	asked time.Time
}

func newFeed() *feed {
	return &feed{items: make(map[string]turmericshed.Item), changed: make(chan struct{})}
}

// reset takes a snapshot.
func (f *feed) reset(items []turmericshed.Item, at turmericshed.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.items = make(map[string]turmericshed.Item, len(items))
	for _, i := range items {
		f.items[i.Key] = i
	}
	f.log, f.first, f.at, f.heard = nil, at, at, time.Now()
	f.wakeLocked()
}

// apply takes a change, or the word that there was none.
func (f *feed) apply(ev turmericshed.WatchEvent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heard.IsZero() {
		return
	}
	f.heard = time.Now()
	f.at = max(f.at, ev.Version)
	if ev.Key == "" {
		return
	}
	if ev.Deleted {
		delete(f.items, ev.Key)
	} else {
		f.items[ev.Key] = ev.Item
	}
	f.log = append(f.log, ev)
	if len(f.log) > maxLog {
		dropped := len(f.log) - maxLog/2
		f.first = f.log[dropped-1].Version
		f.log = append([]turmericshed.WatchEvent(nil), f.log[dropped:]...)
	}
	f.wakeLocked()
}

// lost forgets what was heard, since changes may be missed from now on.
func (f *feed) lost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = time.Time{}
	f.wakeLocked()
}

func (f *feed) wakeLocked() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// wanted reports whether another entry VM asked lately.
func (f *feed) wanted(now time.Time, within time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.asked.IsZero() && now.Sub(f.asked) < within
}

// live reports whether the feed can be told to others.
func (f *feed) live() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.heard.IsZero()
}

// follow returns the changes above a version, all items for 0, and waits for
// one. Errors: errNotWatching.
func (f *feed) follow(ctx context.Context, after turmericshed.Version, wait time.Duration) (news, error) {
	due := time.NewTimer(wait)
	defer due.Stop()
	for {
		f.mu.Lock()
		f.asked = time.Now()
		n, ready := f.newsLocked(after)
		changed := f.changed
		fresh := !f.heard.IsZero() && n.age < maxAge
		f.mu.Unlock()
		if !fresh {
			return news{}, errNotWatching
		}
		if ready {
			return n, nil
		}
		select {
		case <-changed:
		case <-due.C:
			return n, nil
		case <-ctx.Done():
			return n, nil
		}
	}
}

// newsLocked reports whether there is anything to tell.
func (f *feed) newsLocked(after turmericshed.Version) (news, bool) {
	n := news{at: max(f.at, after), age: time.Since(f.heard)}
	if after < f.first && f.at >= after {
		n.reset = true
		for _, i := range f.items {
			n.events = append(n.events, turmericshed.WatchEvent{Item: i})
		}
		return n, true
	}
	for _, ev := range f.log {
		if ev.Version > after {
			n.events = append(n.events, ev)
		}
	}
	return n, len(n.events) > 0
}
