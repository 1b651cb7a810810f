package tsprofile

import (
	"sort"
	"time"

	"turmericshed"
)

const (
	// maxRetainedLinks bounds the links retained for peers. A process that missed
	// more of them reads its documents again.
	maxRetainedLinks = 4096
	// maxOutOfOrderLinks bounds the links received ahead of a missing one.
	maxOutOfOrderLinks = 256
)

// Link describes one edit: the profile's name, its new version, and the version of
// the preceding edit of any profile. After is 0 if the sender does not have that
// version.
type Link struct {
	Name    turmericshed.ProfileName
	Version turmericshed.Version
	After   turmericshed.Version
	Deleted bool
}

// links is the sequence of edits that this process received without a gap.
type links struct {
	// floor is the version at which the sequence begins. The edits above it, up to
	// and including position, are in contiguous.
	floor      turmericshed.Version
	position   turmericshed.Version
	contiguous []Link
	// outOfOrder holds links whose predecessor has not been received, by the
	// version of that predecessor.
	outOfOrder map[turmericshed.Version]Link
}

func (l *links) reset(position turmericshed.Version) {
	l.floor, l.position, l.contiguous = position, position, nil
	l.outOfOrder = nil
}

// add appends a link to the contiguous sequence, or buffers it until the gap before it
// is filled.
func (l *links) add(k Link) {
	if k.After == 0 || k.Version <= l.position {
		return
	}
	if k.After > l.position {
		if l.outOfOrder == nil {
			l.outOfOrder = make(map[turmericshed.Version]Link)
		}
		if len(l.outOfOrder) < maxOutOfOrderLinks {
			l.outOfOrder[k.After] = k
		}
		return
	}
	l.append(k)
	for {
		next, ok := l.outOfOrder[l.position]
		if !ok {
			break
		}
		delete(l.outOfOrder, l.position)
		l.append(next)
	}
	if len(l.outOfOrder) > 0 {
		for after, w := range l.outOfOrder {
			if w.Version <= l.position {
				delete(l.outOfOrder, after)
			}
		}
	}
}

func (l *links) append(k Link) {
	l.contiguous = append(l.contiguous, k)
	l.position = k.Version
	if len(l.contiguous) > maxRetainedLinks {
		drop := len(l.contiguous) - maxRetainedLinks*3/4
		l.floor = l.contiguous[drop-1].Version
		l.contiguous = append([]Link(nil), l.contiguous[drop:]...)
	}
}

// since returns the links after position, or false if some of them are no longer
// retained.
func (l *links) since(position turmericshed.Version) ([]Link, bool) {
	if position < l.floor {
		return nil, false
	}
	i := sort.Search(len(l.contiguous), func(i int) bool { return l.contiguous[i].Version > position })
	return l.contiguous[i:], true
}

// Position returns the version up to which every edit has been received.
func (c *Cache) Position() turmericshed.Version { return c.links.position }

// HasGap reports whether a link was received whose predecessor was not.
func (c *Cache) HasGap() bool { return len(c.links.outOfOrder) > 0 }

// ConfirmUpTo records that a peer, which was itself complete at the given time, had no
// edits up to position other than those received here.
func (c *Cache) ConfirmUpTo(position turmericshed.Version, at time.Time) {
	if position > c.links.position {
		c.links.position = position
	}
	if position >= c.links.position {
		c.Confirm(at)
	}
}

// AddWatchedLink handles an edit from the watch of this process. after is the version of
// the preceding edit on the watch, or 0 if the watch begins with this edit.
func (c *Cache) AddWatchedLink(k Link, after turmericshed.Version) {
	k.After = after
	if c.links.position == 0 {
		c.links.reset(k.Version - 1)
		k.After = k.Version - 1
	}
	c.AddLink(k)
}

// Since returns at most limit links after position, for a peer that missed them. It
// returns false if some of them are no longer retained.
func (c *Cache) Since(position turmericshed.Version, limit int) ([]Link, bool) {
	run, ok := c.links.since(position)
	return run[:min(len(run), limit)], ok
}

// AddLink handles a link to an edit. It returns true if the profile is cached here at
// an older version, so that the document has to be fetched.
func (c *Cache) AddLink(k Link) bool {
	isNew := k.Version > c.links.position
	c.links.add(k)
	if k.Version > c.floors[k.Name] {
		c.floors[k.Name] = k.Version
		isNew = true
	}
	if isNew && c.gossip.add(k) {
		c.urgent = true
	}
	return c.Outdated(k.Name)
}
