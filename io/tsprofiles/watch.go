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
	relayCheck = time.Second
	watchRetry = 500 * time.Millisecond
	// catchUpInterval is the time between comparisons with a random peer,
	// and missingInterval that while an edit is known to be missing.
	catchUpInterval = 5 * time.Second
	missingInterval = time.Second
	// verifyPage is the number of documents in one page of the store's
	// list, and verifyBytes the bytes a second that verifying may take, in
	// small and in large fleets.
	verifyPage       = 32
	verifyBytesSmall = 1000
	verifyBytesLarge = 700
	verifyPause      = time.Second
)

// serveWatch watches the store while this process is a relay.
func (c *Cache) serveWatch(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.isRelay() {
			c.watchOnce(ctx)
		}
		_ = tspause.For(ctx, watchRetry/2+rand.N(watchRetry))
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
	opening, opened := context.WithTimeout(ctx, fetchTimeout)
	w, err := c.cfg.Store.Watch(opening, turmericshed.ProfilePrefix, after)
	opened()
	if err != nil {
		return
	}
	c.cfg.Log.Info("profiles: watching the store", "after", uint64(after))
	defer func() { _ = w.Close() }()
	go c.confirm(ctx, cancel)
	for {
		ev, err := w.Next(ctx)
		if err != nil {
			c.cfg.Log.Info("profiles: watch ended", "error", err)
			return
		}
		after = c.watched(ev, after)
	}
}

// confirm tells that nothing is missed while the watch is open, and ends the
// watch when this process is no relay any more.
func (c *Cache) confirm(ctx context.Context, cancel context.CancelFunc) {
	t := time.NewTicker(relayCheck)
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
func (c *Cache) watched(ev turmericshed.WatchEvent, after turmericshed.Version) turmericshed.Version {
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
	doc, err := document(item, time.Now())
	if err != nil {
		c.cfg.Log.Error("profiles: bad document", "error", err)
		return ev.Version
	}
	doc.Version = ev.Version
	c.mu.Lock()
	c.core.Watched(tsprofile.Link{Name: doc.Name, Version: doc.Version, Deleted: doc.Deleted}, after)
	outcome, floor := c.core.Apply(doc), c.core.Floor(doc.Name)
	c.mu.Unlock()
	c.note(doc, outcome, floor, "watch")
	return ev.Version
}

// serveCatchUp compares with peers now and then, and at once when an edit is
// known to be missing. A process that missed more than its peers remember
// reads its documents again.
func (c *Cache) serveCatchUp(ctx context.Context) error {
	wait := missingInterval
	for ctx.Err() == nil {
		_ = tspause.For(ctx, wait/2+rand.N(wait))
		wait = catchUpInterval
		if c.compare(ctx) {
			wait = missingInterval
		}
	}
	return ctx.Err()
}

// compare asks peers until one remembers far enough back, and reports whether
// an edit is still missing.
func (c *Cache) compare(ctx context.Context) bool {
	var answered bool
	var newest turmericshed.Version
	reachable := c.reachable()
	own := slices.DeleteFunc(slices.Clone(reachable), func(vm turmericshed.EntryVM) bool { return vm.FailureDomain != c.cfg.Self.FailureDomain })
	for _, vm := range c.choose(own, reachable) {
		complete, peer, err := c.catchUp(ctx, vm)
		if err != nil {
			continue
		}
		answered, newest = true, max(newest, peer)
		if complete {
			answered = false
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if answered && newest > c.core.Position() {
		c.core.Invalidate(newest)
	}
	return c.core.Missing()
}

// serveVerify compares the store's list with what is known here, page by
// page, within a share of bytes. It finds edits that every watch lost.
func (c *Cache) serveVerify(ctx context.Context) error {
	after := ""
	for ctx.Err() == nil {
		if !c.isRelay() {
			_ = tspause.For(ctx, relayCheck)
			continue
		}
		var read int
		after, read = c.verifyPage(ctx, after)
		rate := time.Duration(verifyBytesLarge)
		if len(c.reachable()) < tsprofile.SmallFleet {
			rate = verifyBytesSmall
		}
		wait := max(verifyPause, time.Duration(read)*time.Second/rate)
		_ = tspause.For(ctx, wait/2+rand.N(wait))
	}
	return ctx.Err()
}

// verifyPage reads the page after a key and returns the key to go on after
// and the bytes read.
func (c *Cache) verifyPage(ctx context.Context, after string) (next string, read int) {
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	readAt := time.Now()
	items, err := c.cfg.Store.List(call, turmericshed.ProfilePrefix, after, verifyPage)
	if err != nil {
		return after, 0
	}
	page := make([]tsprofile.Document, 0, len(items))
	for _, item := range items {
		read += len(item.Key) + len(item.Value)
		if d, err := document(item, readAt); err == nil {
			page = append(page, d)
		}
	}
	// Past the last key, the page covers everything.
	last := "\xff"
	if len(items) == verifyPage {
		next = items[len(items)-1].Key
		last = nameOf(next)
	}
	c.mu.Lock()
	changed, absent := c.core.Verify(turmericshed.ProfileName(nameOf(after)), turmericshed.ProfileName(last), page)
	c.mu.Unlock()
	for _, name := range changed {
		c.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventProfileApplied, Profile: name, Reason: "verified"})
	}
	for _, name := range absent {
		_ = c.fromStore(ctx, name)
	}
	return next, read
}

func nameOf(key string) string {
	if len(key) < len(turmericshed.ProfilePrefix) {
		return ""
	}
	return key[len(turmericshed.ProfilePrefix):]
}
