// Package tsprofiles keeps the profiles that this process uses at their newest
// version. Documents are fetched on first use. In small fleets every entry VM
// watches the store; in large ones a few per failure domain do and the rest
// hear of edits through gossip. The decisions are made by core/tsprofile.
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
	// absentRetry is how long the store's word that a profile does not exist
	// is taken without asking again.
	absentTTL = time.Second
	// fetchQueue bounds the outdated documents waiting to be fetched; those
	// beyond are found by the next sweep.
	fetchQueueSize = 1024
	// peersAsked bounds the peers asked for one document.
	maxPeersQueried = 3
	// maxMessageBytes is room for one document.
	maxMessageBytes = turmericshed.MaxValueBytes + 64<<10
)

// Config holds what a cache works with. Self, Store and Peers are needed.
type Config struct {
	Self  turmericshed.EntryVM
	Store turmericshed.Store
	Peers tspeer.Peers
	// Members tells whom to ask; SetMembers may set it later.
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
	// view is the list of reachable members that relays were chosen from.
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

// SetMembers sets who tells whom to ask.
func (c *Cache) SetMembers(m turmericshed.Members) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = m
}

// fleetSize is called with mu held.
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

// relaysNow returns the watching entry VMs of the own failure domain. They are
// worked out again when the members changed.
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

// isRelay reports whether this process watches the store.
func (c *Cache) isRelay() bool { return slices.Contains(c.currentRelays(), c.cfg.Self) }

// Topic returns what rides on the fleet's probes.
func (c *Cache) Topic() tsmember.Urgent { return &lockedTopic{c} }

// lockedTopic serializes the topic with the cache.
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

// Controllers returns the parts to supervise.
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

// String returns the name that the supervisor logs.
func (c controller) String() string { return "profiles " + c.name }

// Handler returns the path and handler of the ProfileCache service.
func (c *Cache) Handler() (string, http.Handler) {
	return tspeerapi.NewProfileCacheHandler(&service{c}, connect.WithReadMaxBytes(maxMessageBytes))
}

// Get returns the profile and how old the knowledge is.
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

// first fetches a profile that is not held, or asks again about one that did
// not exist.
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

// result answers with a held document.
func documentResult(d tsprofile.Document, age time.Duration) (turmericshed.Profile, time.Duration, error) {
	if d.Deleted {
		return turmericshed.Profile{}, age, turmericshed.NewError(turmericshed.KindUnknownProfile, "no profile %q", d.Name)
	}
	return d.Profile, age, nil
}

// apply takes a document read at the given time.
func (c *Cache) apply(d tsprofile.Document, from string) {
	c.mu.Lock()
	outcome := c.core.Apply(d)
	floor := c.core.Floor(d.Name)
	c.mu.Unlock()
	c.recordOutcome(d, outcome, floor, from)
}

func (c *Cache) recordOutcome(d tsprofile.Document, o tsprofile.Outcome, floor turmericshed.Version, from string) {
	version := strconv.FormatUint(uint64(d.Version), 10)
	switch o {
	case tsprofile.Applied:
		c.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventProfileApplied, Profile: d.Name, Reason: "version " + version + " from " + from})
	case tsprofile.Lower:
		c.cfg.Recorder.Record(turmericshed.Event{
			Name: turmericshed.EventProfileRefused, Profile: d.Name,
			Reason: "version " + version + " from " + from + " is below " + strconv.FormatUint(uint64(floor), 10),
		})
	}
}

// enqueue asks for a fetch of an outdated document.
func (c *Cache) enqueue(name turmericshed.ProfileName) {
	select {
	case c.fetchQueue <- name:
	default:
	}
}
