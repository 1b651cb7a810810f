package tsprofiles

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"turmericshed/io/tspause"

	"turmericshed"
	"turmericshed/core/tsprofile"
)

const (
	relayCheckInterval = time.Second
	watchRetryDelay    = 500 * time.Millisecond
	// catchUpInterval is the mean time between two comparisons with peers, and
	// gapCatchUpInterval the mean time while an edit is known to be missing.
	catchUpInterval    = 5 * time.Second
	gapCatchUpInterval = time.Second
	// verifyPageSize is the number of documents in one page of the store's
	// list. The byte rates bound the store traffic of verification in small
	// and in large fleets.
	verifyPageSize                 = 32
	verifyBytesPerSecondSmallFleet = 1000
	verifyBytesPerSecondLargeFleet = 700
	minVerifyInterval              = time.Second
)

// serveWatch watches the store while this process is a relay, and reopens a watch
// that failed, after a delay with jitter.
func (c *Cache) serveWatch(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.isRelay() {
			c.watchOnce(ctx)
		}
		_ = tspause.For(ctx, watchRetryDelay/2+rand.N(watchRetryDelay))
	}
	return ctx.Err()
}

// watchOnce opens a watch and applies its events until the watch fails or this
// process is no longer a relay.
func (c *Cache) watchOnce(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	after := c.core.Position()
	c.mu.Unlock()
	openCtx, cancelOpen := context.WithTimeout(ctx, fetchTimeout)
	w, err := c.cfg.Store.Watch(openCtx, turmericshed.ProfilePrefix, after)
	cancelOpen()
	if err != nil {
		return
	}
	c.cfg.Log.Info("profiles: watching the store", "after", uint64(after))
	defer func() { _ = w.Close() }()
	go c.confirmWhileWatching(ctx, cancel)
	for {
		ev, err := w.Next(ctx)
		if err != nil {
			c.cfg.Log.Info("profiles: watch of the store ended; retrying while this process is a relay", "error", err)
			return
		}
		after = c.applyWatchEvent(ev, after)
	}
}

// confirmWhileWatching confirms periodically, while the watch is open, that the
// cache has received every edit. It cancels the watch when this process is no
// longer a relay.
func (c *Cache) confirmWhileWatching(ctx context.Context, cancel context.CancelFunc) {
	t := time.NewTicker(relayCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			if !c.isRelay() {
				cancel()
				return
			}
			c.mu.Lock()
			if ctx.Err() == nil {
				c.core.Confirm(now)
			}
			c.mu.Unlock()
		}
	}
}

// applyWatchEvent applies one watch event and returns its version, which is the
// predecessor of the next event. A reset means that events were lost, so every
// cached document becomes outdated.
func (c *Cache) applyWatchEvent(ev turmericshed.WatchEvent, after turmericshed.Version) turmericshed.Version {
	if ev.Reset {
		c.mu.Lock()
		c.core.Invalidate(ev.Version)
		c.mu.Unlock()
		return ev.Version
	}
	item := ev.Item
	if ev.Deleted {
		item.Version = 0
	}
	doc, err := decodeItem(item, time.Now())
	if err != nil {
		c.cfg.Log.Error("profiles: skipping a watch event with a malformed document", "error", err)
		return ev.Version
	}
	doc.Version = ev.Version
	c.mu.Lock()
	c.core.AddWatchedLink(tsprofile.Link{Name: doc.Name, Version: doc.Version, Deleted: doc.Deleted}, after)
	outcome, floor := c.core.Apply(doc), c.core.Floor(doc.Name)
	c.mu.Unlock()
	c.recordOutcome(doc, outcome, floor, "watch")
	return ev.Version
}

// serveCatchUp is the anti-entropy loop: it periodically requests missed edits
// from peers, more often while an edit is known to be missing. If no peer's edit
// log reaches back far enough, every cached document is fetched again.
func (c *Cache) serveCatchUp(ctx context.Context) error {
	wait := gapCatchUpInterval
	for ctx.Err() == nil {
		_ = tspause.For(ctx, wait/2+rand.N(wait))
		wait = catchUpInterval
		if c.catchUpOnce(ctx) {
			wait = gapCatchUpInterval
		}
	}
	return ctx.Err()
}

// catchUpOnce queries peers, those of this failure domain first, until one sends
// every missed edit. It reports whether an edit is still known to be missing.
func (c *Cache) catchUpOnce(ctx context.Context) bool {
	var isIncomplete bool
	var newestPosition turmericshed.Version
	reachable := c.reachable()
	sameDomain := slices.DeleteFunc(slices.Clone(reachable), func(vm turmericshed.EntryVM) bool { return vm.FailureDomain != c.cfg.Self.FailureDomain })
	for _, vm := range c.choosePeers(sameDomain, reachable) {
		complete, peerPosition, err := c.catchUpFromPeer(ctx, vm)
		if err != nil {
			continue
		}
		isIncomplete, newestPosition = true, max(newestPosition, peerPosition)
		if complete {
			isIncomplete = false
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if isIncomplete && newestPosition > c.core.Position() {
		c.core.Invalidate(newestPosition)
	}
	return c.core.HasGap()
}

// serveVerify compares the store's list with the cache, page by page and at a
// bounded byte rate. It finds edits whose events every watch lost.
func (c *Cache) serveVerify(ctx context.Context) error {
	after := ""
	for ctx.Err() == nil {
		if !c.isRelay() {
			_ = tspause.For(ctx, relayCheckInterval)
			continue
		}
		var bytesRead int
		after, bytesRead = c.verifyPage(ctx, after)
		bytesPerSecond := time.Duration(verifyBytesPerSecondLargeFleet)
		if len(c.reachable()) < tsprofile.SmallFleet {
			bytesPerSecond = verifyBytesPerSecondSmallFleet
		}
		wait := max(minVerifyInterval, time.Duration(bytesRead)*time.Second/bytesPerSecond)
		_ = tspause.For(ctx, wait/2+rand.N(wait))
	}
	return ctx.Err()
}

// verifyPage reads and applies the page of keys that follow the given key. It
// returns the key that the next page follows (empty to start over with the first
// page) and the number of bytes read.
func (c *Cache) verifyPage(ctx context.Context, after string) (next string, bytesRead int) {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	readAt := time.Now()
	items, err := c.cfg.Store.List(callCtx, turmericshed.ProfilePrefix, after, verifyPageSize)
	if err != nil {
		return after, 0
	}
	page := make([]tsprofile.Document, 0, len(items))
	for _, item := range items {
		bytesRead += len(item.Key) + len(item.Value)
		if d, err := decodeItem(item, readAt); err == nil {
			page = append(page, d)
		}
	}
	// A page that is not full is the last one: it covers every name that
	// follows, because \xff sorts after every valid name.
	lastName := "\xff"
	if len(items) == verifyPageSize {
		next = items[len(items)-1].Key
		lastName = trimProfilePrefix(next)
	}
	c.mu.Lock()
	changed, absent := c.core.Verify(turmericshed.ProfileName(trimProfilePrefix(after)), turmericshed.ProfileName(lastName), page)
	c.mu.Unlock()
	for _, name := range changed {
		c.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventProfileApplied, Profile: name, Reason: "verified"})
	}
	for _, name := range absent {
		_ = c.fetchFromStore(ctx, name)
	}
	return next, bytesRead
}

func trimProfilePrefix(key string) string {
	if len(key) < len(turmericshed.ProfilePrefix) {
		return ""
	}
	return key[len(turmericshed.ProfilePrefix):]
}
