package tsprofile

import (
	"sort"
	"time"

	"turmericshed"
)

const (
	// maxRetainedLinks bounds the remembered links; a process that missed more reads
	// its documents again.
	maxRetainedLinks = 4096
	// maxOutOfOrderLinks bounds the links heard ahead of a missing one.
	maxOutOfOrderLinks = 256
)

// Link tells one edit: a name, its new version, and the version of the edit
// before it over all names. After is 0 when the teller does not know it.
type Link struct {
	Name    turmericshed.ProfileName
	Version turmericshed.Version
	After   turmericshed.Version
	Deleted bool
}

// links is the run of edits without gaps that this process heard.
type links struct {
	// floor is where the run begins: edits above it up to position are in
	// run.
	floor      turmericshed.Version
	position   turmericshed.Version
	contiguous []Link
	// outOfOrder are links whose predecessor was not heard yet.
	outOfOrder map[turmericshed.Version]Link
}

func (l *links) reset(position turmericshed.Version) {
	l.floor, l.position, l.contiguous = position, position, nil
	l.outOfOrder = nil
}

// add joins a link to the run, or keeps it until the gap is filled.
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

// since returns the links after position, or false when they are not all
// remembered.
func (l *links) since(position turmericshed.Version) ([]Link, bool) {
	if position < l.floor {
		return nil, false
	}
	i := sort.Search(len(l.contiguous), func(i int) bool { return l.contiguous[i].Version > position })
	return l.contiguous[i:], true
}

// Position returns the version up to which every edit was heard.
func (c *Cache) Position() turmericshed.Version { return c.links.position }

// Missing reports whether a link was heard whose predecessor was not.
func (c *Cache) Missing() bool { return len(c.links.outOfOrder) > 0 }

// CaughtUp tells that a peer whose own knowledge was current at the given
// time had no edits up to position beyond those heard here.
func (c *Cache) CaughtUp(position turmericshed.Version, at time.Time) {
	if position > c.links.position {
		c.links.position = position
	}
	if position >= c.links.position {
		c.Confirm(at)
	}
}

// Watched takes an edit from this process's own watch; after is the version
// of the edit before it on the watch, 0 when the watch begins with it.
func (c *Cache) Watched(k Link, after turmericshed.Version) {
	k.After = after
	if c.links.position == 0 {
		c.links.reset(k.Version - 1)
		k.After = k.Version - 1
	}
	c.Hear(k)
}

// Since returns the links after position for a peer that missed them, at most
// limit. It returns false when they are not all remembered.
func (c *Cache) Since(position turmericshed.Version, limit int) ([]Link, bool) {
	run, ok := c.links.since(position)
	return run[:min(len(run), limit)], ok
}

// Hear takes an edit. It returns true when the profile is in use here with an
// older version, so that the document has to be fetched.
func (c *Cache) Hear(k Link) bool {
	news := k.Version > c.links.position
	c.links.add(k)
	if k.Version > c.floors[k.Name] {
		c.floors[k.Name] = k.Version
		news = true
	}
	if news && c.gossip.add(k) {
		c.urgent = true
	}
	return c.Outdated(k.Name)
}
