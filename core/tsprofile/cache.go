// Package tsprofile decides which version of each profile a process uses. It
// performs no I/O: the caller passes the time and fetches the documents.
//
// Versions are revisions of the whole store, so a single number states up to which
// edit a process is complete over all profiles. A few processes of each failure
// domain, the relays, watch the store. Each edit is gossiped as a link: the
// profile, its version, and the version of the preceding edit. A process that has
// received every edit up to that preceding version is then complete up to the new
// one; otherwise it queries a peer for the links it missed. Links carry only names
// and versions. Documents are fetched by the processes that use the profile, from
// a peer in the sender's failure domain or from the store.
//
// A document is never replaced by one of a lower version, even after it was
// evicted: the highest version seen is retained as the floor.
//
// Example: a process complete up to 40 receives (p, 45, after 40) and is complete
// up to 45. It then receives (q, 51, after 48): an edit between 45 and 48 is
// missing, so it requests the links since 45.
//
// # Usage
//
//	c := tsprofile.New(tsprofile.Config{})
//	doc, ok := c.Lookup(now, name)
//	if !ok { // fetch and c.Apply(now, fetched) }
//	if c.AddLink(link) { // fetch: cached but outdated }
package tsprofile

import (
	"container/list"
	"time"

	"turmericshed"
)

const (
	defaultMaxDocuments = 16384
	defaultMaxBytes     = 24 << 20
	// documentOverhead is the estimated memory in bytes of a cached document in
	// addition to its text.
	documentOverheadBytes = 700
)

// Document is a profile at one version. Deleted profiles are cached too, with Deleted
// set.
type Document struct {
	Name    turmericshed.ProfileName
	Version turmericshed.Version
	Deleted bool
	// Value is the document's text in the store, passed on to peers.
	Value   []byte
	Profile turmericshed.Profile
	// FromPeer reports that a peer supplied the document, so a newer version may
	// exist.
	FromPeer bool
	// ReadAt is when the document was last known to be the newest version.
	ReadAt time.Time
}

func (d Document) bytes() int { return len(d.Value) + documentOverheadBytes }

// Outcome is the result of Apply.
type Outcome int

// The outcomes of Apply.
const (
	// Applied means that the document is now in use.
	Applied Outcome = iota + 1
	// Unchanged means that this version was already in use.
	Unchanged
	// Superseded means that a newer version has been seen, so nothing changed.
	Superseded
)

// Config sets the bounds of the cache. Zero values select the defaults.
type Config struct {
	MaxDocuments int
	MaxBytes     int
}

// Cache is an LRU cache of the documents in use. It is not safe for concurrent use.
type Cache struct {
	cfg     Config
	entries map[turmericshed.ProfileName]*list.Element
	recency *list.List
	bytes   int
	floors  map[turmericshed.ProfileName]turmericshed.Version
	links   links
	gossip  gossipQueue
	// generation is incremented when edits may have been missed.
	generation  int
	confirmedAt time.Time
	urgent      bool
}

// cacheEntry is an element of the recency list.
type cacheEntry struct {
	doc        Document
	generation int
}

// New returns an empty cache.
func New(cfg Config) *Cache {
	if cfg.MaxDocuments == 0 {
		cfg.MaxDocuments = defaultMaxDocuments
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	return &Cache{
		cfg:     cfg,
		entries: make(map[turmericshed.ProfileName]*list.Element),
		recency: list.New(),
		floors:  make(map[turmericshed.ProfileName]turmericshed.Version),
	}
}

// Lookup returns the cached document and marks it as recently used. It returns false if
// none is cached; the caller then fetches one.
func (c *Cache) Lookup(name turmericshed.ProfileName) (Document, bool) {
	e := c.entries[name]
	if e == nil {
		return Document{}, false
	}
	c.recency.MoveToFront(e)
	return e.Value.(*cacheEntry).doc, true
}

// Peek returns the cached document without marking it as recently used.
func (c *Cache) Peek(name turmericshed.ProfileName) (Document, bool) {
	e := c.entries[name]
	if e == nil {
		return Document{}, false
	}
	return e.Value.(*cacheEntry).doc, true
}

// Age returns the time since the document was last known to be the newest version.
func (c *Cache) Age(now time.Time, d Document) time.Duration {
	at := d.ReadAt
	if c.confirmedAt.After(at) && !c.Outdated(d.Name) {
		at = c.confirmedAt
	}
	return max(now.Sub(at), 0)
}

// Floor returns the highest version of a profile that this process has seen.
func (c *Cache) Floor(name turmericshed.ProfileName) turmericshed.Version { return c.floors[name] }

// Outdated reports whether a cached document is below the floor, or may have been
// edited while this process missed edits.
func (c *Cache) Outdated(name turmericshed.ProfileName) bool {
	e := c.entries[name]
	if e == nil {
		return false
	}
	h := e.Value.(*cacheEntry)
	return h.doc.Version < c.floors[name] || h.generation < c.generation
}

// HasNewerVersion reports whether a version newer than the cached one is known to exist. Without
// a cached document it reports whether any version is known.
func (c *Cache) HasNewerVersion(name turmericshed.ProfileName) bool {
	d, _ := c.Peek(name)
	return d.Version < c.floors[name]
}

// OutdatedNames returns the names of the cached documents that are outdated.
func (c *Cache) OutdatedNames() []turmericshed.ProfileName {
	var names []turmericshed.ProfileName
	for e := c.recency.Front(); e != nil; e = e.Next() {
		if name := e.Value.(*cacheEntry).doc.Name; c.Outdated(name) {
			names = append(names, name)
		}
	}
	return names
}

// Apply adds a document to the cache. A document below the floor changes nothing.
// For a deletion whose version is unknown, the caller passes the floor from before
// the read that found the profile absent.
func (c *Cache) Apply(d Document) Outcome {
	if d.Version < c.floors[d.Name] {
		return Superseded
	}
	c.floors[d.Name] = d.Version
	if e := c.entries[d.Name]; e != nil {
		return c.replace(e, d)
	}
	generation := c.generation
	if d.FromPeer {
		generation--
	}
	c.entries[d.Name] = c.recency.PushFront(&cacheEntry{doc: d, generation: generation})
	c.bytes += d.bytes()
	c.evict()
	return Applied
}

func (c *Cache) replace(e *list.Element, d Document) Outcome {
	h := e.Value.(*cacheEntry)
	if d.Version == h.doc.Version && h.doc.Deleted && !d.Deleted && d.Version > 0 {
		return Superseded // a deletion comes after the version that it deletes
	}
	turmericshed.Assert(d.Version >= h.doc.Version, "profile_never_lower", "profile %s: version %d after version %d", d.Name, d.Version, h.doc.Version)
	if d.Version == h.doc.Version && d.Deleted == h.doc.Deleted {
		if d.ReadAt.After(h.doc.ReadAt) {
			h.doc.ReadAt = d.ReadAt
		}
		h.markCurrent(d, c.generation)
		return Unchanged
	}
	c.bytes += d.bytes() - h.doc.bytes()
	h.doc = d
	h.markCurrent(d, c.generation)
	c.evict()
	return Applied
}

// markCurrent marks the entry as up to date if d was read from the store. A document
// from a peer is only as current as the one it replaces, since this process would have
// received a link for any newer version.
func (h *cacheEntry) markCurrent(d Document, generation int) {
	if !d.FromPeer {
		h.generation = generation
	}
}

// evict drops the least recently used documents until the cache is within its bounds.
func (c *Cache) evict() {
	for c.recency.Len() > 1 && (c.recency.Len() > c.cfg.MaxDocuments || c.bytes > c.cfg.MaxBytes) {
		e := c.recency.Back()
		d := c.recency.Remove(e).(*cacheEntry).doc
		c.bytes -= d.bytes()
		delete(c.entries, d.Name)
	}
}

// CachedNames returns the names of the cached documents, most recently used first.
func (c *Cache) CachedNames() []turmericshed.ProfileName {
	names := make([]turmericshed.ProfileName, 0, c.recency.Len())
	for e := c.recency.Front(); e != nil; e = e.Next() {
		names = append(names, e.Value.(*cacheEntry).doc.Name)
	}
	return names
}

// Bytes returns the estimated memory of the cached documents.
func (c *Cache) Bytes() int { return c.bytes }

// Confirm records that, as of at, this process had received every edit up to Position.
func (c *Cache) Confirm(at time.Time) {
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// ConfirmedAt returns the last time at which this process was known to have missed no
// edit.
func (c *Cache) ConfirmedAt() time.Time { return c.confirmedAt }

// Invalidate records that edits up to position may have been missed. Every cached
// document is outdated until it is read again.
func (c *Cache) Invalidate(position turmericshed.Version) {
	c.generation++
	c.links.reset(position)
}

// Verify compares a page of the store's list, in key order, with the cache. The
// page covers the names above after, up to and including last. Verify returns the
// names that changed in the cache, and the cached names that the page lacks: these
// may be deleted or newer than the page, so the caller reads each of them
// individually.
func (c *Cache) Verify(after, last turmericshed.ProfileName, page []Document) (changed, absent []turmericshed.ProfileName) {
	listed := make(map[turmericshed.ProfileName]bool, len(page))
	for _, d := range page {
		listed[d.Name] = true
		floor := c.floors[d.Name]
		_, isCached := c.entries[d.Name]
		isUnreceived := c.links.position > 0 && d.Version > c.links.position
		isMissed := d.Version > floor && (isCached || floor > 0 || isUnreceived)
		if isMissed {
			c.AddLink(Link{Name: d.Name, Version: d.Version})
		}
		if (isCached || isMissed) && c.Apply(d) == Applied {
			changed = append(changed, d.Name)
		}
	}
	for _, name := range c.CachedNames() {
		d, _ := c.Peek(name)
		if name > after && name <= last && !listed[name] && !d.Deleted {
			absent = append(absent, name)
		}
	}
	return changed, absent
}
