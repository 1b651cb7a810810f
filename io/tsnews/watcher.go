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
	s      *Source
	prefix string
	fact   tsfreshness.Fact
	at     turmericshed.Version
	ready  []turmericshed.WatchEvent
	// watched is when the store's watch was last called.
	watched time.Time
	// heard brings what is listened for, asking the answer to a question to the
	// store; nil without one.
	heard, asking <-chan answer
	// stop ends what is listened for; nil before the first time.
	stop context.CancelFunc
}

// answer is what was heard after a version.
type answer struct {
	turmericshed.Changes
	after  turmericshed.Version
	direct bool
	err    error
}

// errNothingNew ends a wait without news.
var errNothingNew = errors.New("no news in time")

// Next waits for a change. An event without a key tells how fresh is what is
// known. Reset tells that the changes since are not known.
func (w *watcher) Next(ctx context.Context) (turmericshed.WatchEvent, error) {
	for len(w.ready) == 0 {
		c, err := w.hear(ctx)
		if ctx.Err() != nil {
			return turmericshed.WatchEvent{}, turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "news")
		}
		if err != nil {
			continue
		}
		// What was heard beside this may have told some of it.
		c.Events = slices.DeleteFunc(c.Events, func(ev turmericshed.WatchEvent) bool { return ev.Version <= w.at })
		w.at = max(w.at, c.At)
		w.s.learn(w.prefix, w.at)
		w.ready = c.Deliver()
	}
	ev := w.ready[0]
	w.ready = w.ready[1:]
	return ev, nil
}

// hear waits for news, and asks the store itself beside that when it is time to.
// What is waited for still when it returns is waited for the next time.
func (w *watcher) hear(ctx context.Context) (turmericshed.Changes, error) {
	ask := time.NewTimer(w.untilAsk())
	defer ask.Stop()
	if w.heard == nil {
		w.heard = w.listen(ctx, w.untilAsk()+listenBeside)
	}
	var again <-chan time.Time
	for {
		select {
		case <-ask.C:
			if w.asking == nil {
				w.asking = w.ask(ctx)
			}
		case a := <-w.asking:
			w.asking = nil
			if a.err == nil {
				w.s.feed(w.prefix).apply(a.after, a.Changes)
				return a.Changes, nil
			}
			ask.Reset(w.untilAsk())
		case a := <-w.heard:
			w.heard = nil
			if w.isNews(a) {
				return a.Changes, nil
			}
			if a.direct && a.err != nil && w.asking == nil && w.s.cfg.Freshness.MayAsk(time.Now()) {
				// The store failed, or this one connection.
				w.asking = w.ask(ctx)
			}
			again = time.After(peerRetry + rand.N(peerRetry))
		case <-again:
			return turmericshed.Changes{}, errNothingNew
		case <-ctx.Done():
			return turmericshed.Changes{}, ctx.Err()
		}
	}
}

// untilAsk returns the time until the store is to be asked.
func (w *watcher) untilAsk() time.Duration {
	return max(time.Until(w.s.cfg.Freshness.AskAt(w.fact)), 0)
}

// isNews reports whether anything was heard that is not known.
func (w *watcher) isNews(a answer) bool {
	return a.err == nil && (a.Reset || len(a.Events) > 0 || a.AsOf.After(w.s.cfg.Freshness.AsOf(w.fact)))
}

// listen begins to wait for news, for a time at most: from the preferred peer, or
// from the store where this process is the one to hear of it.
func (w *watcher) listen(ctx context.Context, wait time.Duration) <-chan answer {
	heard := make(chan answer, 1)
	a := answer{after: w.at}
	ctx, cancel := context.WithTimeout(ctx, wait)
	w.stop = cancel
	go func() {
		defer cancel()
		a.Changes, a.direct, a.err = w.s.askPeers(ctx, w.prefix, a.after, wait)
		switch {
		case a.direct:
			a.Changes, a.err = w.watch(ctx, a.after)
		case a.err == nil:
			// What peers tell is not told on, and leaves a gap in what is.
			w.s.feed(w.prefix).lost()
		}
		heard <- a
	}()
	return heard
}

// watch waits at the store. Others may follow only what began with a snapshot,
// see feed.
func (w *watcher) watch(ctx context.Context, after turmericshed.Version) (turmericshed.Changes, error) {
	f := w.s.feed(w.prefix)
	if !f.live() && f.wanted(time.Now(), wantedFor) && !time.Now().Before(w.s.cfg.Freshness.Excused()) {
		return turmericshed.Changes{Reset: true}, nil
	}
	tspause.For(ctx, time.Until(w.watched.Add(watchSpacing)))
	w.watched = time.Now()
	wait := w.s.cfg.Freshness.WatchWait(w.watched, w.fact, w.s.storeLatency())
	c, err := w.s.cfg.Store.Await(ctx, w.prefix, after, wait)
	if err != nil {
		return c, err
	}
	if len(c.Events) == 0 {
		w.s.noteLatency(time.Since(w.watched) - wait)
	}
	f.apply(after, c)
	return c, nil
}

// ask asks the store itself.
func (w *watcher) ask(ctx context.Context) <-chan answer {
	asking := make(chan answer, 1)
	a := answer{after: w.at, direct: true}
	go func() {
		timeout := w.s.cfg.Freshness.AskTimeout(w.fact, w.s.crowded(time.Now()))
		a.Changes, a.err = question(ctx, w.s, w.prefix, timeout, func(ctx context.Context) (turmericshed.Changes, error) {
			return w.s.cfg.Store.Changes(ctx, w.prefix, a.after)
		})
		asking <- a
	}()
	return asking
}

// question asks the store and notes whether it answered.
func question[T any](ctx context.Context, s *Source, prefix string, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	asked := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	tries := maxTries
	if asked.Before(s.cfg.Freshness.Excused()) {
		tries = 1
	}
	v, err := tried(callCtx, tries, max(secondTry, 2*s.storeLatency()), call)
	if ctx.Err() == nil {
		s.judge(prefix, asked, timeout, err)
	}
	return v, err
}

// tried makes a call, and makes it again beside the first one when that has
// failed or was not answered within a time: its opening packet may have been
// lost. It fails when all tries did, with the error of the first one that did.
func tried[T any](ctx context.Context, tries int, after time.Duration, call func(context.Context) (T, error)) (T, error) {
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
	if w.stop != nil {
		w.stop()
	}
	w.s.feed(w.prefix).lost()
	return nil
}
