package tsnews

import (
	"context"
	"errors"
	"math/rand/v2"
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
		w.at = max(w.at, c.At)
		w.s.learn(w.prefix, w.at)
		w.ready = c.Deliver()
	}
	ev := w.ready[0]
	w.ready = w.ready[1:]
	return ev, nil
}

// hear waits for news until the store is to be asked itself, and asks it then.
func (w *watcher) hear(ctx context.Context) (turmericshed.Changes, error) {
	now, askAt := time.Now(), w.s.cfg.Freshness.AskAt(w.fact)
	if !now.Before(askAt) {
		return w.ask(ctx)
	}
	until, cancel := context.WithDeadline(ctx, askAt)
	defer cancel()
	c, direct, err := w.listen(until, askAt.Sub(now))
	switch {
	case err == nil && (c.Reset || len(c.Events) > 0 || c.AsOf.After(w.s.cfg.Freshness.AsOf(w.fact))):
		return c, nil
	case err != nil && direct && w.s.cfg.Freshness.MayAsk(time.Now()):
		// The store failed, or this one connection.
		return w.ask(ctx)
	}
	tspause.For(until, peerRetry+rand.N(peerRetry))
	return turmericshed.Changes{}, errNothingNew
}

// listen waits for news from the preferred peer, or from the store where this
// process is the one to hear of it; direct tells which.
func (w *watcher) listen(ctx context.Context, wait time.Duration) (c turmericshed.Changes, direct bool, err error) {
	c, direct, err = w.s.askPeers(ctx, w.prefix, w.at, wait)
	if direct {
		c, err = w.watch(ctx)
		return c, true, err
	}
	if err == nil {
		// What peers tell is not told on, and leaves a gap in what is.
		w.s.feed(w.prefix).lost()
	}
	return c, false, err
}

// watch waits at the store. Others may follow only what began with a snapshot,
// see feed.
func (w *watcher) watch(ctx context.Context) (turmericshed.Changes, error) {
	f := w.s.feed(w.prefix)
	if !f.live() && f.wanted(time.Now(), wantedFor) {
		return turmericshed.Changes{Reset: true}, nil
	}
	tspause.For(ctx, time.Until(w.watched.Add(watchSpacing)))
	w.watched = time.Now()
	c, err := w.s.cfg.Store.Await(ctx, w.prefix, w.at, w.s.cfg.Freshness.WatchWait(w.watched, w.fact))
	if err == nil {
		f.apply(w.at, c)
	}
	return c, err
}

// ask asks the store itself.
func (w *watcher) ask(ctx context.Context) (turmericshed.Changes, error) {
	asked := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, w.s.cfg.Freshness.AskTimeout(w.fact, w.s.crowded(asked)))
	defer cancel()
	c, err := question(callCtx, w.s, func(ctx context.Context) (turmericshed.Changes, error) {
		return w.s.cfg.Store.Changes(ctx, w.prefix, w.at)
	})
	if ctx.Err() != nil {
		return c, err
	}
	w.s.judge(w.prefix, asked, err)
	if err == nil {
		w.s.feed(w.prefix).apply(w.at, c)
	}
	return c, err
}

// question makes a call to the store, and makes it once more beside the first
// one when that has failed or was not answered by secondTry: its opening packet
// may have been lost. It fails when both did, with the error of the one that
// failed first. While the store is known to be out of reach one call is enough.
func question[T any](ctx context.Context, s *Source, call func(context.Context) (T, error)) (T, error) {
	type result struct {
		v   T
		err error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	begin := func() {
		v, err := call(ctx)
		results <- result{v, err}
	}
	go begin()
	if time.Now().Before(s.cfg.Freshness.Excused()) {
		r := <-results
		return r.v, r.err
	}
	var failed *result
	second := time.NewTimer(secondTry)
	defer second.Stop()
	select {
	case r := <-results:
		if r.err == nil {
			return r.v, nil
		}
		failed = &r
		if !tspause.For(ctx, secondTry) {
			return r.v, r.err
		}
	case <-second.C:
	}
	go begin()
	for {
		r := <-results
		switch {
		case r.err == nil:
			return r.v, nil
		case failed != nil:
			return failed.v, failed.err
		}
		failed = &r
	}
}

// Close ends the watch.
func (w *watcher) Close() error {
	w.s.feed(w.prefix).lost()
	return nil
}
