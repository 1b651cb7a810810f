package tsnews

import (
	"context"
	"time"

	"turmericshed"
)

// watcher follows a prefix from a version on, through peers and the store by
// turns.
type watcher struct {
	s      *Source
	prefix string
	at     turmericshed.Version
	ready  []turmericshed.WatchEvent
	// direct is the store's own watch while it is asked.
	direct turmericshed.Watcher
}

// Next waits for a change. An event without a key tells the age of what is
// known. Reset tells that the changes since are not known.
func (w *watcher) Next(ctx context.Context) (turmericshed.WatchEvent, error) {
	if len(w.ready) > 0 {
		ev := w.ready[0]
		w.ready = w.ready[1:]
		return ev, nil
	}
	n, direct, err := w.s.ask(ctx, w.prefix, w.at, followWait, followGrace)
	if err != nil {
		return turmericshed.WatchEvent{}, err
	}
	if direct {
		return w.nextDirect(ctx)
	}
	w.leaveStore()
	if n.reset {
		return turmericshed.WatchEvent{Reset: true}, nil
	}
	w.at = max(w.at, n.at)
	for i := range n.events {
		n.events[i].Age = n.age
	}
	w.ready = n.events
	if len(w.ready) == 0 {
		return turmericshed.WatchEvent{Item: turmericshed.Item{Version: w.at}, Age: n.age}, nil
	}
	return w.Next(ctx)
}

// nextDirect waits at the store. Others may follow only what began with a
// snapshot, see feed.
func (w *watcher) nextDirect(ctx context.Context) (turmericshed.WatchEvent, error) {
	f := w.s.feed(w.prefix)
	if !f.live() && f.wanted(time.Now(), wantedFor) {
		return turmericshed.WatchEvent{Reset: true}, nil
	}
	if w.direct == nil {
		d, err := w.s.cfg.Store.Watch(ctx, w.prefix, w.at)
		if err != nil {
			f.lost()
			return turmericshed.WatchEvent{}, err
		}
		w.direct = d
	}
	ev, err := w.direct.Next(ctx)
	if err != nil || ev.Reset {
		f.lost()
		return ev, err
	}
	w.at = max(w.at, ev.Version)
	f.apply(ev)
	return ev, nil
}

// leaveStore ends the store's watch. What is heard from peers is not told on.
func (w *watcher) leaveStore() {
	if w.direct == nil {
		return
	}
	_ = w.direct.Close() // Nothing is left to be told.
	w.direct = nil
	w.s.feed(w.prefix).lost()
}

// Close ends the watch.
func (w *watcher) Close() error {
	w.leaveStore()
	return nil
}
