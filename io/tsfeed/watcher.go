package tsfeed

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tsfreshness"
	"turmericshed/io/tspause"
)

// watcher delivers the changes under a prefix after a version, from peers or the store.
type watcher struct {
	source  *Source
	prefix  string
	fact    tsfreshness.Fact
	version turmericshed.Version
	ready   []turmericshed.WatchEvent
	// lastWatch is when the last watch call to the store began.
	lastWatch time.Time
	// pendingListen delivers the result of the last startListen, and pendingRead
	// that of the last startRead; nil once it was received.
	pendingListen, pendingRead <-chan changesResult
	// cancelListen cancels the last startListen; nil before the first one.
	cancelListen context.CancelFunc
}

// changesResult is the result of a request for the changes after a version.
type changesResult struct {
	turmericshed.Changes
	after turmericshed.Version
	// isDirect is true if they come from the store instead of a peer.
	isDirect bool
	err      error
}

// errNoUpdate is returned when a wait ended without an update.
var errNoUpdate = errors.New("no update within the wait")

// Next waits for an event. An event without a key only advances AsOf, the time up
// to which the events are complete. An event with Reset means that the changes
// after the last event are unknown. Errors: KindCanceled when ctx ended.
func (w *watcher) Next(ctx context.Context) (turmericshed.WatchEvent, error) {
	for len(w.ready) == 0 {
		c, err := w.nextChanges(ctx)
		if ctx.Err() != nil {
			return turmericshed.WatchEvent{}, turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "news")
		}
		if err != nil {
			continue
		}
		// Listening and reading run concurrently, so that both may return a change.
		c.Events = slices.DeleteFunc(c.Events, func(ev turmericshed.WatchEvent) bool { return ev.Version <= w.version })
		w.version = max(w.version, c.At)
		w.source.noteVersion(w.prefix, w.version)
		w.ready = c.WatchEvents()
	}
	ev := w.ready[0]
	w.ready = w.ready[1:]
	return ev, nil
}

// nextChanges waits for an update, and also reads the store when the direct read is
// due. Requests that still run when it returns are picked up by the next call.
// Errors: errNoUpdate, or that of ctx.
func (w *watcher) nextChanges(ctx context.Context) (turmericshed.Changes, error) {
	readTimer := time.NewTimer(w.untilRead())
	defer readTimer.Stop()
	if w.pendingListen == nil {
		w.pendingListen = w.startListen(ctx, w.untilRead()+listenOverlap)
	}
	var retry <-chan time.Time
	for {
		select {
		case <-readTimer.C:
			if w.pendingRead == nil {
				w.pendingRead = w.startRead(ctx)
			}
		case r := <-w.pendingRead:
			w.pendingRead = nil
			if r.err == nil {
				w.source.feed(w.prefix).apply(r.after, r.Changes)
				return r.Changes, nil
			}
			readTimer.Reset(w.untilRead())
		case r := <-w.pendingListen:
			w.pendingListen = nil
			if w.isNew(r) {
				return r.Changes, nil
			}
			if r.isDirect && r.err != nil && w.pendingRead == nil && w.source.cfg.Freshness.MayQuery(time.Now()) {
				// Either the store failed or only the connection of the watch.
				w.pendingRead = w.startRead(ctx)
			}
			retry = time.After(peerRetryDelay + rand.N(peerRetryDelay))
		case <-retry:
			return turmericshed.Changes{}, errNoUpdate
		case <-ctx.Done():
			return turmericshed.Changes{}, ctx.Err()
		}
	}
}

// untilRead returns the time until a direct read of the store is due.
func (w *watcher) untilRead() time.Duration {
	return max(time.Until(w.source.cfg.Freshness.QueryAt(w.fact)), 0)
}

// isNew reports whether a result adds to the delivered state.
func (w *watcher) isNew(r changesResult) bool {
	return r.err == nil && (r.Reset || len(r.Events) > 0 || r.AsOf.After(w.source.cfg.Freshness.AsOf(w.fact)))
}

// startListen starts to wait for an update, at most for wait: from the preferred
// peer, or from the store if this process has to watch it.
func (w *watcher) startListen(ctx context.Context, wait time.Duration) <-chan changesResult {
	done := make(chan changesResult, 1)
	r := changesResult{after: w.version}
	ctx, cancel := context.WithTimeout(ctx, wait)
	w.cancelListen = cancel
	go func() {
		defer cancel()
		r.Changes, r.isDirect, r.err = w.source.followPeers(ctx, w.prefix, r.after, wait)
		switch {
		case r.isDirect:
			r.Changes, r.err = w.watchStore(ctx, r.after)
		case r.err == nil:
			// Updates from peers are not added to the feed, which now misses them.
			w.source.feed(w.prefix).invalidate()
		}
		done <- r
	}()
	return done
}

// watchStore makes one watch call to the store. If peers follow this process and its
// feed is invalid, it returns Reset instead: a feed has to begin with a snapshot.
func (w *watcher) watchStore(ctx context.Context, after turmericshed.Version) (turmericshed.Changes, error) {
	f := w.source.feed(w.prefix)
	if !f.isValid() && f.followedWithin(time.Now(), followerTTL) && !time.Now().Before(w.source.cfg.Freshness.ExcusedUntil()) {
		return turmericshed.Changes{Reset: true}, nil
	}
	tspause.For(ctx, time.Until(w.lastWatch.Add(minWatchInterval)))
	w.lastWatch = time.Now()
	wait := w.source.cfg.Freshness.WatchWait(w.lastWatch, w.fact, w.source.storeLatency())
	c, err := w.source.cfg.Store.Await(ctx, w.prefix, after, wait)
	if err != nil {
		return c, err
	}
	if len(c.Events) == 0 {
		w.source.recordStoreLatency(time.Since(w.lastWatch) - wait)
	}
	f.apply(after, c)
	return c, nil
}

// startRead starts a direct read of the changes from the store.
func (w *watcher) startRead(ctx context.Context) <-chan changesResult {
	done := make(chan changesResult, 1)
	r := changesResult{after: w.version, isDirect: true}
	go func() {
		timeout := w.source.cfg.Freshness.QueryTimeout(w.fact, w.source.isLinkCongested(time.Now()))
		r.Changes, r.err = readStore(ctx, w.source, w.prefix, timeout, func(ctx context.Context) (turmericshed.Changes, error) {
			return w.source.cfg.Store.Changes(ctx, w.prefix, r.after)
		})
		done <- r
	}()
	return done
}

// readStore makes a hedged call to the store and records whether it was answered.
func readStore[T any](ctx context.Context, s *Source, prefix string, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	began := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	attempts := maxReadAttempts
	if began.Before(s.cfg.Freshness.ExcusedUntil()) {
		attempts = 1
	}
	v, err := hedged(callCtx, attempts, max(minHedgeDelay, 2*s.storeLatency()), call)
	if ctx.Err() == nil {
		s.recordStoreRead(prefix, began, timeout, err)
	}
	return v, err
}

// hedged makes a call up to attempts times, each one delay after the one before and
// concurrently with those that still run, since the packet that opens a connection
// may have been lost. It fails when all attempts did, with the error of the first
// one that failed.
func hedged[T any](ctx context.Context, attempts int, delay time.Duration, call func(context.Context) (T, error)) (T, error) {
	type result struct {
		v   T
		err error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, attempts)
	next := time.NewTimer(0)
	defer next.Stop()
	var failed []result
	for started := 0; ; {
		select {
		case <-next.C:
			started++
			go func() {
				v, err := call(ctx)
				results <- result{v, err}
			}()
			if started < attempts {
				next.Reset(delay)
			}
		case r := <-results:
			if r.err == nil {
				return r.v, nil
			}
			failed = append(failed, r)
			if len(failed) == attempts || len(failed) == started && ctx.Err() != nil {
				return failed[0].v, failed[0].err
			}
		}
	}
}

// Close cancels the watch. The feed becomes invalid, since nothing updates it any more.
func (w *watcher) Close() error {
	if w.cancelListen != nil {
		w.cancelListen()
	}
	w.source.feed(w.prefix).invalidate()
	return nil
}
