package tsplatform

import (
	"context"
	"slices"
	"strings"

	"turmericshed"
)

// Watcher reads the changes under one prefix from the store's log.
type Watcher struct {
	store  *Store
	caller string
	prefix string
	// lastRevision is the latest revision that the watcher has processed.
	lastRevision turmericshed.Version
	closed       bool
}

var _ turmericshed.Watcher = (*Watcher)(nil)

// OpenWatcher is Watch with the concrete return type, which also has TryNext.
func (c Caller) OpenWatcher(_ context.Context, prefix string, after turmericshed.Version) (*Watcher, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickLocked()
	if err := s.checkReachableLocked(c.name); err != nil {
		return nil, err
	}
	s.counts.Watches++
	s.counts.WaitingWatches++
	return &Watcher{store: s, caller: c.name, prefix: prefix, lastRevision: after}, nil
}

// Next blocks until there is a change under the prefix. It returns
// KindStoreUnavailable if ctx ends or the watch is closed or cut off.
func (w *Watcher) Next(ctx context.Context) (turmericshed.WatchEvent, error) {
	for {
		ev, ok, changed, err := w.poll()
		if err != nil || ok {
			return ev, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return turmericshed.WatchEvent{}, turmericshed.WrapError(turmericshed.KindStoreUnavailable, ctx.Err(), "watch %s", w.prefix)
		}
	}
}

// TryNext returns the next change without blocking; ok is false if there is
// none.
func (w *Watcher) TryNext() (ev turmericshed.WatchEvent, ok bool, err error) {
	ev, ok, _, err = w.poll()
	return ev, ok, err
}

// poll returns the next change and true, or a channel that is closed when the
// store changes.
func (w *Watcher) poll() (turmericshed.WatchEvent, bool, <-chan struct{}, error) {
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickLocked()
	cut := s.faults.Outage || slices.Contains(s.faults.Cut, w.caller) || slices.Contains(s.faults.CutAnswers, w.caller)
	if w.closed || cut {
		w.closeLocked()
		return turmericshed.WatchEvent{}, false, nil, turmericshed.NewError(turmericshed.KindStoreUnavailable, "watch %s ended", w.prefix)
	}
	// The log holds the revisions s.revision-len(s.log)+1 to s.revision.
	oldest := s.revision - turmericshed.Version(len(s.log)) + 1
	if w.lastRevision > s.revision || w.lastRevision+1 < oldest {
		w.lastRevision = s.revision
		return turmericshed.WatchEvent{Item: turmericshed.Item{Version: s.revision}, Reset: true}, true, nil, nil
	}
	for w.lastRevision < s.revision {
		ev := s.log[w.lastRevision+1-oldest]
		w.lastRevision++
		if strings.HasPrefix(ev.Key, w.prefix) {
			ev.Value = slices.Clone(ev.Value)
			return ev, true, nil, nil
		}
	}
	return turmericshed.WatchEvent{}, false, s.changed, nil
}

// Close closes the watch and wakes a blocked Next.
func (w *Watcher) Close() error {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.closeLocked()
	return nil
}

func (w *Watcher) closeLocked() {
	if w.closed {
		return
	}
	w.closed = true
	w.store.counts.WaitingWatches--
	w.store.wakeWatchersLocked()
}
