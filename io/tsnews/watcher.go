package tsnews

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

// watcher follows a prefix from a version on, through peers or the store.
type watcher struct {
	source  *Source
	prefix  string
	fact    tsfreshness.Fact
	version turmericshed.Version
	ready   []turmericshed.WatchEvent
	// lastWatch is when the store's watch was last called.
	lastWatch time.Time
	// pendingListen brings what is listened for, pendingRead the answer to a question to the
	// store; nil without one.
	pendingListen, pendingRead <-chan changesResult
	// cancelListen ends what is listened for; nil before the first time.
	cancelListen context.CancelFunc
}

// changesResult is what was heard after a version.
type changesResult struct {
	turmericshed.Changes
	after  turmericshed.Version
	direct bool
	err    error
}

// errNoUpdate ends a wait without news.
var errNoUpdate = errors.New("no news in time")

// Next waits for a change. An event without a key tells how fresh is what is
// known. Reset tells that the changes since are not known.
func (w *watcher) Next(ctx context.Context) (turmericshed.WatchEvent, error) {
	for len(w.ready) == 0 {
		c, err := w.nextChanges(ctx)
		if ctx.Err() != nil {
			return turmericshed.WatchEvent{}, turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "news")
		}
		if err != nil {
			continue
		}
		// What was heard beside this may have told some of it.
		c.Events = slices.DeleteFunc(c.Events, func(ev turmericshed.WatchEvent) bool { return ev.Version <= w.version })
		w.version = max(w.version, c.At)
		w.source.noteVersion(w.prefix, w.version)
		w.ready = c.Deliver()
	}
	ev := w.ready[0]
	w.ready = w.ready[1:]
	return ev, nil
}

// nextChanges waits for news, and asks the store itself beside that when it is time to.
// What is waited for still when it returns is waited for the next time.
func (w *watcher) nextChanges(ctx context.Context) (turmericshed.Changes, error) {
	ask := time.NewTimer(w.untilRead())
	defer ask.Stop()
	if w.pendingListen == nil {
		w.pendingListen = w.startListen(ctx, w.untilRead()+listenOverlap)
	}
	var again <-chan time.Time
	for {
		select {
		case <-ask.C:
			if w.pendingRead == nil {
				w.pendingRead = w.startRead(ctx)
			}
		case a := <-w.pendingRead:
			w.pendingRead = nil
			if a.err == nil {
				w.source.feed(w.prefix).apply(a.after, a.Changes)
				return a.Changes, nil
			}
			ask.Reset(w.untilRead())
		case a := <-w.pendingListen:
			w.pendingListen = nil
			if w.isNew(a) {
				return a.Changes, nil
			}
			if a.direct && a.err != nil && w.pendingRead == nil && w.source.cfg.Freshness.MayAsk(time.Now()) {
				// The store failed, or this one connection.
				w.pendingRead = w.startRead(ctx)
			}
			again = time.After(peerRetryDelay + rand.N(peerRetryDelay))
		case <-again:
			return turmericshed.Changes{}, errNoUpdate
		case <-ctx.Done():
			return turmericshed.Changes{}, ctx.Err()
		}
	}
}

// untilRead returns the time until the store is to be asked.
func (w *watcher) untilRead() time.Duration {
	return max(time.Until(w.source.cfg.Freshness.AskAt(w.fact)), 0)
}

// isNew reports whether anything was heard that is not known.
func (w *watcher) isNew(a changesResult) bool {
	return a.err == nil && (a.Reset || len(a.Events) > 0 || a.AsOf.After(w.source.cfg.Freshness.AsOf(w.fact)))
}

// startListen begins to wait for news, for a time at most: from the preferred peer, or
// from the store where this process is the one to hear of it.
func (w *watcher) startListen(ctx context.Context, wait time.Duration) <-chan changesResult {
	heard := make(chan changesResult, 1)
	a := changesResult{after: w.version}
	ctx, cancel := context.WithTimeout(ctx, wait)
	w.cancelListen = cancel
	go func() {
		defer cancel()
		a.Changes, a.direct, a.err = w.source.followPeers(ctx, w.prefix, a.after, wait)
		switch {
		case a.direct:
			a.Changes, a.err = w.watchStore(ctx, a.after)
		case a.err == nil:
			// What peers tell is not told on, and leaves a gap in what is.
			w.source.feed(w.prefix).invalidate()
		}
		heard <- a
	}()
	return heard
}

// watchStore waits at the store. Others may follow only what began with a snapshot,
// see feed.
func (w *watcher) watchStore(ctx context.Context, after turmericshed.Version) (turmericshed.Changes, error) {
	f := w.source.feed(w.prefix)
	if !f.isValid() && f.followedWithin(time.Now(), followerTTL) && !time.Now().Before(w.source.cfg.Freshness.Excused()) {
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

// startRead asks the store itself.
func (w *watcher) startRead(ctx context.Context) <-chan changesResult {
	asking := make(chan changesResult, 1)
	a := changesResult{after: w.version, direct: true}
	go func() {
		timeout := w.source.cfg.Freshness.AskTimeout(w.fact, w.source.isLinkCrowded(time.Now()))
		a.Changes, a.err = readStore(ctx, w.source, w.prefix, timeout, func(ctx context.Context) (turmericshed.Changes, error) {
			return w.source.cfg.Store.Changes(ctx, w.prefix, a.after)
		})
		asking <- a
	}()
	return asking
}

// readStore asks the store and notes whether it answered.
func readStore[T any](ctx context.Context, s *Source, prefix string, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	asked := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	tries := maxReadAttempts
	if asked.Before(s.cfg.Freshness.Excused()) {
		tries = 1
	}
	v, err := hedged(callCtx, tries, max(minHedgeDelay, 2*s.storeLatency()), call)
	if ctx.Err() == nil {
		s.recordStoreRead(prefix, asked, timeout, err)
	}
	return v, err
}

// hedged makes a call, and makes it again beside the first one when that has
// failed or was not answered within a time: its opening packet may have been
// lost. It fails when all tries did, with the error of the first one that did.
func hedged[T any](ctx context.Context, tries int, after time.Duration, call func(context.Context) (T, error)) (T, error) {
	type result struct {
		v   T
		err error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, tries)
	next := time.NewTimer(0)
	defer next.Stop()
	var failed []result
	for begun := 0; ; {
		select {
		case <-next.C:
			begun++
			go func() {
				v, err := call(ctx)
				results <- result{v, err}
			}()
			if begun < tries {
				next.Reset(after)
			}
		case r := <-results:
			if r.err == nil {
				return r.v, nil
			}
			failed = append(failed, r)
			if len(failed) == tries || len(failed) == begun && ctx.Err() != nil {
				return failed[0].v, failed[0].err
			}
		}
	}
}

// Close ends the watch.
func (w *watcher) Close() error {
	if w.cancelListen != nil {
		w.cancelListen()
	}
	w.source.feed(w.prefix).invalidate()
	return nil
}
