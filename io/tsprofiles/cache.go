// Package tsprofiles caches the profiles that this process uses and keeps them
// up to date. Documents are fetched on first use. In small fleets every entry
// VM watches the store. In large fleets only a few relays per failure domain
// watch it, and the other entry VMs receive edits through gossip. The caching
// rules are in core/tsprofile; this package does the I/O.
//
// # Usage
//
//	c := tsprofiles.New(tsprofiles.Config{Self: self, Store: store, Members: fleet, Peers: transport})
//	server.Mount(c.Handler())
//	fleet := tsfleet.New(tsfleet.Config{..., Piggyback: []tsmember.Piggyback{c.Topic()}})
//	c.SetMembers(fleet)
//	p, age, err := c.Get(ctx, "counter")
package tsprofiles

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"turmericshed/io/tspeer"

	"connectrpc.com/connect"
	"golang.org/x/sync/singleflight"

	"turmericshed"
	"turmericshed/core/tsmember"
	"turmericshed/core/tsprofile"
	"turmericshed/io/tspeerapi"
)

const (
	fetchTimeout = 2 * time.Second
	peerTimeout  = 800 * time.Millisecond
	// absentTTL is how long a read that found no profile is cached before
	// the store is read again.
	absentTTL = time.Second
	// fetchQueueSize bounds the outdated documents that are queued for
	// fetching. Later sweeps fetch those that did not fit.
	fetchQueueSize = 1024
	// maxPeersQueried bounds the peers queried for one document or in one
	// catch-up; a fetch proxy is queried in addition.
	maxPeersQueried = 3
	// maxMessageBytes bounds a message, which carries at most one document.
	maxMessageBytes = turmericshed.MaxValueBytes + 64<<10
)

// Config holds the dependencies of a Cache. Self, Store and Peers are required.
type Config struct {
	Self  turmericshed.EntryVM
	Store turmericshed.Store
	Peers tspeer.Peers
	// Members lists the reachable peers; SetMembers may set it later.
	Members  turmericshed.Members
	Recorder turmericshed.Recorder
	Log      *slog.Logger
	Bounds   tsprofile.Config
}

// Cache implements turmericshed.Profiles.
type Cache struct {
	cfg        Config
	fetchGroup singleflight.Group
	fetchQueue chan turmericshed.ProfileName
	mu         sync.Mutex
	members    turmericshed.Members
	core       *tsprofile.Cache
	topic      *tsprofile.Topic
	// relayCandidates are the reachable members from which relays were
	// chosen.
	relayCandidates []turmericshed.EntryVM
	relays          []turmericshed.EntryVM
}

var _ turmericshed.Profiles = (*Cache)(nil)

// New returns an empty cache.
func New(cfg Config) *Cache {
	if cfg.Recorder == nil {
		cfg.Recorder = turmericshed.NopRecorder{}
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	c := &Cache{cfg: cfg, fetchQueue: make(chan turmericshed.ProfileName, fetchQueueSize), members: cfg.Members, core: tsprofile.New(cfg.Bounds)}
	c.topic = tsprofile.NewTopic(c.core, time.Now, c.fleetSize, c.enqueue)
	return c
}

// SetMembers sets the source of the reachable peers.
func (c *Cache) SetMembers(m turmericshed.Members) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = m
}

// fleetSize returns the number of reachable entry VMs, including this one. The
// caller must hold c.mu.
func (c *Cache) fleetSize() int {
	if c.members == nil {
		return 1
	}
	return 1 + len(c.members.Reachable())
}

func (c *Cache) reachable() []turmericshed.EntryVM {
	c.mu.Lock()
	m := c.members
	c.mu.Unlock()
	if m == nil {
		return nil
	}
	return m.Reachable()
}

// currentRelays returns the relays of this failure domain: the entry VMs that
// watch the store. They are recomputed when the list of reachable members has
// been replaced.
func (c *Cache) currentRelays() []turmericshed.EntryVM {
	reachable := c.reachable()
	c.mu.Lock()
	defer c.mu.Unlock()
	isUnchanged := len(c.relayCandidates) == len(reachable) && (len(reachable) == 0 || &c.relayCandidates[0] == &reachable[0])
	if c.relays == nil || !isUnchanged {
		c.relayCandidates, c.relays = reachable, tsprofile.Relays(c.cfg.Self.FailureDomain, c.cfg.Self, reachable)
	}
	return c.relays
}

// isRelay reports whether this process has to watch the store.
func (c *Cache) isRelay() bool { return slices.Contains(c.currentRelays(), c.cfg.Self) }

// Topic returns the gossip topic of profile edits, which is piggybacked on the
// fleet's probes.
func (c *Cache) Topic() tsmember.Urgent { return &lockedTopic{c} }

// lockedTopic locks the cache's mutex around each access to the topic.
type lockedTopic struct{ c *Cache }

func (t *lockedTopic) Topic() string { return t.c.topic.Topic() }

func (t *lockedTopic) Next(budgetBytes int) [][]byte {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	return t.c.topic.Next(budgetBytes)
}

func (t *lockedTopic) Merge(payload []byte) {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	t.c.topic.Merge(payload)
}

func (t *lockedTopic) TakeUrgent() bool {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	return t.c.topic.TakeUrgent()
}

// Controllers returns the background loops to run under a supervisor.
func (c *Cache) Controllers() []turmericshed.Controller {
	return []turmericshed.Controller{
		controller{"watch", c.serveWatch},
		controller{"fetch", c.serveFetch},
		controller{"catch-up", c.serveCatchUp},
		controller{"verify", c.serveVerify},
	}
}

// controller is a named turmericshed.Controller.
type controller struct {
	name  string
	serve func(ctx context.Context) error
}

// Serve runs the controller.
func (c controller) Serve(ctx context.Context) error { return c.serve(ctx) }

// String returns the controller's name for the supervisor's log.
func (c controller) String() string { return "profiles " + c.name }

// Handler returns the path and handler of the ProfileCache service.
func (c *Cache) Handler() (string, http.Handler) {
	return tspeerapi.NewProfileCacheHandler(&service{c}, connect.WithReadMaxBytes(maxMessageBytes))
}

// Get returns the profile and the time since it was last known to be current.
// An outdated document is returned at once and fetched in the background.
// Errors: KindUnknownProfile, KindStoreUnavailable.
func (c *Cache) Get(ctx context.Context, name turmericshed.ProfileName) (turmericshed.Profile, time.Duration, error) {
	c.mu.Lock()
	doc, ok := c.core.Lookup(name)
	now := time.Now()
	age := c.core.Age(now, doc)
	outdated := c.core.Outdated(name)
	c.mu.Unlock()
	if !ok || doc.Deleted && (outdated || now.Sub(doc.ReadAt) > absentTTL) {
		return c.getUncached(ctx, name, doc, ok)
	}
	if outdated {
		c.enqueue(name)
	}
	return documentResult(doc, age)
}

// getUncached fetches a profile that is not cached, or whose cached absence is
// outdated or has expired. If the fetch fails, it returns the cached result where
// there is one.
func (c *Cache) getUncached(ctx context.Context, name turmericshed.ProfileName, old tsprofile.Document, isCached bool) (turmericshed.Profile, time.Duration, error) {
	err := c.fetch(ctx, name, true)
	c.mu.Lock()
	doc, ok := c.core.Peek(name)
	age := c.core.Age(time.Now(), doc)
	c.mu.Unlock()
	if ok {
		return documentResult(doc, age)
	}
	if isCached {
		return documentResult(old, age)
	}
	return turmericshed.Profile{}, 0, err
}

// documentResult converts a cached document to the results of Get.
func documentResult(d tsprofile.Document, age time.Duration) (turmericshed.Profile, time.Duration, error) {
	if d.Deleted {
		return turmericshed.Profile{}, age, turmericshed.NewError(turmericshed.KindUnknownProfile, "no profile %q", d.Name)
	}
	return d.Profile, age, nil
}

// apply passes a document to the cache, which ignores a version below the
// highest one seen, and records the outcome. from names the document's source.
func (c *Cache) apply(d tsprofile.Document, from string) {
	c.mu.Lock()
	outcome := c.core.Apply(d)
	floor := c.core.Floor(d.Name)
	c.mu.Unlock()
	c.recordOutcome(d, outcome, floor, from)
}

// recordOutcome records an event for a document that the cache applied, or that it
// rejected because its version is below floor.
func (c *Cache) recordOutcome(d tsprofile.Document, o tsprofile.Outcome, floor turmericshed.Version, from string) {
	version := strconv.FormatUint(uint64(d.Version), 10)
	switch o {
	case tsprofile.Applied:
		c.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventProfileApplied, Profile: d.Name, Reason: "version " + version + " from " + from})
	case tsprofile.Superseded:
		c.cfg.Recorder.Record(turmericshed.Event{
			Name: turmericshed.EventProfileRefused, Profile: d.Name,
			Reason: "version " + version + " from " + from + " is below " + strconv.FormatUint(uint64(floor), 10),
		})
	}
}

// enqueue requests a background fetch of an outdated document. It never blocks:
// when the queue is full, a later sweep fetches the document.
func (c *Cache) enqueue(name turmericshed.ProfileName) {
	select {
	case c.fetchQueue <- name:
	default:
	}
}
