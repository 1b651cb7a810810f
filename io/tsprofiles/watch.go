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
	// catchUpInterval is the time between comparisons with a random peer,
	// and missingInterval that while an edit is known to be missing.
	catchUpInterval    = 5 * time.Second
	gapCatchUpInterval = time.Second
	// verifyPage is the number of documents in one page of the store's
	// list, and verifyBytes the bytes a second that verifying may take, in
	// small and in large fleets.
	verifyPageSize                 = 32
	verifyBytesPerSecondSmallFleet = 1000
	verifyBytesPerSecondLargeFleet = 700
	minVerifyInterval              = time.Second
)

// serveWatch watches the store while this process is a relay.
func (c *Cache) serveWatch(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.isRelay() {
			c.watchOnce(ctx)
		}
		_ = tspause.For(ctx, watchRetryDelay/2+rand.N(watchRetryDelay))
	}
	return ctx.Err()
}

// watchOnce watches until the watch fails or this process is no relay any
// more.
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
			c.cfg.Log.Info("profiles: watch ended", "error", err)
			return
		}
		after = c.applyWatchEvent(ev, after)
	}
}

// confirm tells that nothing is missed while the watch is open, and ends the
// watch when this process is no relay any more.
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

// watched takes one event of the watch and returns the version after which
// the next one comes.
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
		c.cfg.Log.Error("profiles: bad document", "error", err)
		return ev.Version
	}
	doc.Version = ev.Version
	c.mu.Lock()
	c.core.Watched(tsprofile.Link{Name: doc.Name, Version: doc.Version, Deleted: doc.Deleted}, after)
	outcome, floor := c.core.Apply(doc), c.core.Floor(doc.Name)
	c.mu.Unlock()
	c.recordOutcome(doc, outcome, floor, "watch")
	return ev.Version
}

// serveCatchUp compares with peers now and then, and at once when an edit is
// known to be missing. A process that missed more than its peers remember
// reads its documents again.
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

// compare asks peers until one remembers far enough back, and reports whether
// an edit is still missing.
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
	return c.core.Missing()
}

// serveVerify compares the store's list with what is known here, page by
// page, within a share of bytes. It finds edits that every watch lost.
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

// verifyPage reads the page after a key and returns the key to go on after
// and the bytes read.
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
	// Past the last key, the page covers everything.
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
