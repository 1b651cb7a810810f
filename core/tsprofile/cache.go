// Package tsprofile decides which version of each profile a process uses. It
// is pure: time comes in as an argument, and documents are fetched by the
// caller.
//
// Versions are revisions of the whole store, so that one number tells how far
// a process has heard of the edits of all profiles. Few processes of each
// failure domain watch the store (relays). Each edit is told on as a link: the
// profile, its version, and the version of the edit before it. A process that
// heard everything up to that version is complete up to the new one; else it
// asks a peer for what it missed. Only names and versions are told; documents
// are fetched by those that use the profile, from the teller's failure domain
// or from the store.
//
// A document is never replaced by one of a lower version, also not after it
// was evicted: the version stays as a floor.
//
// Example: a process complete up to 40 hears (p, 45, after 40) and is complete
// up to 45. It then hears (q, 51, after 48): an edit between 45 and 48 is
// missing, so it asks for the links since 45.
//
// # Usage
//
//	c := tsprofile.New(tsprofile.Config{})
//	doc, ok := c.Lookup(now, name)
//	if !ok { // fetch and c.Apply(now, fetched) }
//	for _, name := range c.Hear(link) { // fetch: held and outdated }
package tsprofile

import (
	"container/list"
	"time"

	"turmericshed"
)

const (
	defaultDocuments = 16384
	defaultBytes     = 24 << 20
	// documentOverhead is the memory of a held document beyond its text.
	documentOverhead = 700
)

// Document is a profile at one version. Deleted ones are kept as such.
type Document struct {
	Name    turmericshed.ProfileName
	Version turmericshed.Version
	Deleted bool
	// Value is the text in the store, passed on to peers.
	Value   []byte
	Profile turmericshed.Profile
	// FromPeer is set when a peer gave the document: a newer one may exist.
	FromPeer bool
	// ReadAt is when the document was known to be the newest.
	ReadAt time.Time
}

func (d Document) bytes() int { return len(d.Value) + documentOverhead }

// Outcome tells what Apply did.
type Outcome int

// The outcomes of Apply.
const (
	// Applied means that the document is in use now.
	Applied Outcome = iota + 1
	// Same means that this version was in use already.
	Same
	// Lower means that a newer version was seen and nothing changed.
	Lower
)

// Config bounds the cache; zero values take the defaults.
type Config struct {
	MaxDocuments int
	MaxBytes     int
}

// Cache holds the documents in use, least recently used last. It is not safe
// for concurrent use.
type Cache struct {
	cfg     Config
	entries map[turmericshed.ProfileName]*list.Element
	recency *list.List
	bytes   int
	floors  map[turmericshed.ProfileName]turmericshed.Version
	links   links
	gossip  gossipQueue
	// generation is raised when edits may have been missed.
	generation  int
	confirmedAt time.Time
	urgent      bool
}

// cacheEntry is one element of the recency list.
type cacheEntry struct {
	doc        Document
	generation int
}

// New returns an empty cache.
func New(cfg Config) *Cache {
	if cfg.MaxDocuments == 0 {
		cfg.MaxDocuments = defaultDocuments
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultBytes
	}
	return &Cache{
		cfg:     cfg,
		entries: make(map[turmericshed.ProfileName]*list.Element),
		recency: list.New(),
		floors:  make(map[turmericshed.ProfileName]turmericshed.Version),
	}
}

// Lookup returns the held document and marks it as used. It returns false
// when none is held; the caller then fetches one.
func (c *Cache) Lookup(name turmericshed.ProfileName) (Document, bool) {
	e := c.entries[name]
	if e == nil {
		return Document{}, false
	}
	c.recency.MoveToFront(e)
	return e.Value.(*cacheEntry).doc, true
}

// Peek is Lookup without a mark of use.
func (c *Cache) Peek(name turmericshed.ProfileName) (Document, bool) {
	e := c.entries[name]
	if e == nil {
		return Document{}, false
	}
	return e.Value.(*cacheEntry).doc, true
}

// Age returns how old the knowledge about a document is: the time since it
// was known to be the newest version.
func (c *Cache) Age(now time.Time, d Document) time.Duration {
	at := d.ReadAt
	if c.confirmedAt.After(at) && !c.Outdated(d.Name) {
		at = c.confirmedAt
	}
	return max(now.Sub(at), 0)
}

// Floor returns the highest version of a name that was ever seen here.
func (c *Cache) Floor(name turmericshed.ProfileName) turmericshed.Version { return c.floors[name] }

// Outdated reports whether a held document is below the floor or may have
// been edited while this process missed edits.
func (c *Cache) Outdated(name turmericshed.ProfileName) bool {
	e := c.entries[name]
	if e == nil {
		return false
	}
	h := e.Value.(*cacheEntry)
	return h.doc.Version < c.floors[name] || h.generation < c.generation
}

// Behind reports whether a newer version than the held one, or one while none
// is held, is known to exist.
func (c *Cache) Behind(name turmericshed.ProfileName) bool {
	d, _ := c.Peek(name)
	return d.Version < c.floors[name]
}

// Unsure returns the held documents that are outdated.
func (c *Cache) Unsure() []turmericshed.ProfileName {
	var names []turmericshed.ProfileName
	for e := c.recency.Front(); e != nil; e = e.Next() {
		if name := e.Value.(*cacheEntry).doc.Name; c.Outdated(name) {
			names = append(names, name)
		}
	}
	return names
}

// Apply takes a document. A lower version than any seen changes nothing. A
// deletion whose own version is not known has the floor from before the read
// that found the profile absent.
func (c *Cache) Apply(d Document) Outcome {
	if d.Version < c.floors[d.Name] {
		return Lower
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
		return Lower // a deletion comes after the version that it deletes
	}
	turmericshed.Assert(d.Version >= h.doc.Version, "profile_never_lower", "%s: %d after %d", d.Name, d.Version, h.doc.Version)
	if d.Version == h.doc.Version && d.Deleted == h.doc.Deleted {
		if d.ReadAt.After(h.doc.ReadAt) {
			h.doc.ReadAt = d.ReadAt
		}
		h.markCurrent(d, c.generation)
		return Same
	}
	c.bytes += d.bytes() - h.doc.bytes()
	h.doc = d
	h.markCurrent(d, c.generation)
	c.evict()
	return Applied
}

// markCurrent notes that the store itself gave the document. A peer's document is
// as markCurrent as the one before it: newer ones would have been heard of.
func (h *cacheEntry) markCurrent(d Document, generation int) {
	if !d.FromPeer {
		h.generation = generation
	}
}

// evict drops the least recently used documents above the bounds.
func (c *Cache) evict() {
	for c.recency.Len() > 1 && (c.recency.Len() > c.cfg.MaxDocuments || c.bytes > c.cfg.MaxBytes) {
		e := c.recency.Back()
		d := c.recency.Remove(e).(*cacheEntry).doc
		c.bytes -= d.bytes()
		delete(c.entries, d.Name)
	}
}

// Held returns the names in use, most recently used first.
func (c *Cache) Held() []turmericshed.ProfileName {
	names := make([]turmericshed.ProfileName, 0, c.recency.Len())
	for e := c.recency.Front(); e != nil; e = e.Next() {
		names = append(names, e.Value.(*cacheEntry).doc.Name)
	}
	return names
}

// Bytes estimates the memory of the held documents.
func (c *Cache) Bytes() int { return c.bytes }

// Confirm tells that everything up to Position was heard as of at.
func (c *Cache) Confirm(at time.Time) {
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// ConfirmedAt returns when this process last knew that it missed no edit.
func (c *Cache) ConfirmedAt() time.Time { return c.confirmedAt }

// Invalidate tells that edits up to position may have been missed: every held
// document is outdated until it is read again.
func (c *Cache) Invalidate(position turmericshed.Version) {
	c.generation++
	c.links.reset(position)
}

// Verify compares a page of the store's list, in key order, with what is
// known here. The page covers the names above after up to last. It returns
// the names that changed here, and those held that the page lacks: they may
// be deleted or newer than the page, so each is to be read alone.
func (c *Cache) Verify(after, last turmericshed.ProfileName, page []Document) (changed, absent []turmericshed.ProfileName) {
	listed := make(map[turmericshed.ProfileName]bool, len(page))
	for _, d := range page {
		listed[d.Name] = true
		floor := c.floors[d.Name]
		_, held := c.entries[d.Name]
		unheard := c.links.position > 0 && d.Version > c.links.position
		missed := d.Version > floor && (held || floor > 0 || unheard)
		if missed {
			c.Hear(Link{Name: d.Name, Version: d.Version})
		}
		if (held || missed) && c.Apply(d) == Applied {
			changed = append(changed, d.Name)
		}
	}
	for _, name := range c.Held() {
		d, _ := c.Peek(name)
		if name > after && name <= last && !listed[name] && !d.Deleted {
			absent = append(absent, name)
		}
	}
	return changed, absent
}
