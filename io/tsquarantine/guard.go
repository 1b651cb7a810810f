// Package tsquarantine prevents one request from crashing several backend servers
// one after another. It implements turmericshed.Quarantine; the rules are in
// core/tspoison, and this package shares their evidence between processes.
//
// Evidence of a crash is sent to the reachable entry VMs of the failure domain
// before the attempt ends, hence before its caller can retry the request. A
// suspect, that is a request that was running on a server that crashed, needs the
// only permit of its failure domain. The permit is granted by an entry VM that is
// chosen by rendezvous hashing; if it is unreachable, the suspect does not run. A
// quarantine is also stored in the platform's key-value service, from which every
// failure domain reads it and where an operator can lift it.
//
// # Usage
//
//	guard := tsquarantine.New(tsquarantine.Config{Self: vm, Store: store, Members: fleet, Peers: transport})
//	server.Mount(guard.Handler())
//	if err := guard.Started(now, digest, server); err != nil { ... } // not sent
//	...
//	guard.Ended(now, digest, server, crashed)
package tsquarantine

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"turmericshed/io/tspeer"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"turmericshed"
	"turmericshed/core/tspoison"
	"turmericshed/core/tsupdate"
	"turmericshed/io/tspeerapi"
)

const (
	// peerTimeout bounds one call to a peer.
	peerTimeout = 500 * time.Millisecond
	// permitTTL is the time after which a permit that was not released expires.
	permitTTL = 10 * time.Minute
	// readInterval is the time between two reads of the stored entries.
	readInterval = 10 * time.Second
	// storeTimeout bounds one write of an entry.
	storeTimeout = 5 * time.Second
	// maxEntries bounds the entries read from the store at once.
	maxEntries = 1000
	// permitRole and readRole name the tasks that rendezvous hashing assigns to
	// one entry VM of the failure domain: granting the permit, and reading the
	// store.
	permitRole = "permit"
	readRole   = "read"
)

// Config holds the dependencies of a Guard.
type Config struct {
	Self turmericshed.EntryVM
	// Store stores quarantines; with nil they apply in the failure domain only.
	Store turmericshed.Store
	// Members and Peers reach the entry VMs of the failure domain. If either
	// is nil, evidence and permits stay in this process.
	Members  turmericshed.Members
	Peers    tspeer.Peers
	Recorder turmericshed.Recorder
}

// Guard implements turmericshed.Quarantine. It is safe for concurrent use.
type Guard struct {
	cfg Config

	mu      sync.Mutex
	tracker *tspoison.Tracker
	// permitted are the suspects of this process that hold or request the
	// permit.
	permitted map[turmericshed.Digest]bool
	// permit is the permit that this process granted.
	permit permit
}

// permit is a grant to run one suspect; the zero value is none.
type permit struct {
	digest    turmericshed.Digest
	holder    turmericshed.Incarnation
	grantedAt time.Time
}

var _ turmericshed.Quarantine = (*Guard)(nil)

// New returns a guard without evidence.
func New(cfg Config) *Guard {
	if cfg.Recorder == nil {
		cfg.Recorder = turmericshed.NopRecorder{}
	}
	return &Guard{cfg: cfg, tracker: tspoison.NewTracker(), permitted: map[turmericshed.Digest]bool{}}
}

// Check returns KindQuarantined for a request that is quarantined, and
// KindOverloaded for a suspect that has to wait for another one to end.
func (g *Guard) Check(now time.Time, d turmericshed.Digest) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Check(now, d)
}

// Started registers an attempt; the attempt must be sent only if it returns nil.
// A suspect first acquires the permit of the failure domain. Errors are those of
// Check, and KindOverloaded if the permit is not granted.
func (g *Guard) Started(now time.Time, d turmericshed.Digest, s turmericshed.ServerID) error {
	g.mu.Lock()
	isSuspect := g.tracker.Suspect(now, d)
	if !isSuspect {
		defer g.mu.Unlock()
		return g.tracker.Started(now, d, s)
	}
	err := g.tracker.Check(now, d)
	isInProgress := g.permitted[d]
	g.permitted[d] = true
	evidence, _ := g.tracker.Get(d)
	g.mu.Unlock()
	if isInProgress {
		return newWaitError()
	}
	if err == nil && !g.acquirePermit(now, d, evidence) {
		err = newWaitError()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		err = g.tracker.Started(now, d, s)
	}
	if err != nil {
		delete(g.permitted, d)
		go g.releasePermit(d)
	}
	return err
}

func newWaitError() error {
	err := turmericshed.NewError(turmericshed.KindOverloaded, "the request coincided with a crash and has to wait for its turn")
	return turmericshed.WithRetryAfter(err, time.Second)
}

// Ended records the end of an attempt. After a crash it returns once the reachable
// entry VMs of the failure domain have received the evidence, or after half a
// second.
func (g *Guard) Ended(now time.Time, d turmericshed.Digest, s turmericshed.ServerID, crashed bool) {
	g.mu.Lock()
	wasQuarantined := g.quarantined(now)
	g.tracker.Ended(now, d, s, crashed)
	hadPermit := g.permitted[d]
	delete(g.permitted, d)
	evidence := g.tracker.Export(now)
	var newlyQuarantined []tspoison.Evidence
	for _, e := range evidence {
		if e.IsQuarantined(now) && !wasQuarantined[e.Digest] {
			newlyQuarantined = append(newlyQuarantined, e)
		}
	}
	g.mu.Unlock()
	if crashed {
		g.spread(withRecentCrash(now, evidence))
		g.persist(newlyQuarantined)
	}
	if hadPermit {
		g.releasePermit(d)
	}
}

// quarantined reports for each digest with evidence whether it is quarantined.
// The caller must hold g.mu.
func (g *Guard) quarantined(now time.Time) map[turmericshed.Digest]bool {
	out := map[turmericshed.Digest]bool{}
	for _, e := range g.tracker.Export(now) {
		out[e.Digest] = e.IsQuarantined(now)
	}
	return out
}

// withRecentCrash returns the evidence with a crash in the last minute.
func withRecentCrash(now time.Time, evidence []tspoison.Evidence) []tspoison.Evidence {
	var out []tspoison.Evidence
	for _, e := range evidence {
		if n := len(e.Crashes); n > 0 && now.Sub(e.Crashes[n-1].At) < time.Minute {
			out = append(out, e)
		}
	}
	return out
}

// Survived clears a suspect that received a complete answer. The peers of the failure
// domain are notified in the background.
func (g *Guard) Survived(now time.Time, d turmericshed.Digest) {
	g.mu.Lock()
	wasSuspect := g.tracker.Suspect(now, d)
	g.tracker.Survived(now, d)
	e, _ := g.tracker.Get(d)
	g.mu.Unlock()
	if wasSuspect {
		go g.spread([]tspoison.Evidence{e})
	}
}

// Evidence returns the evidence that this process has.
func (g *Guard) Evidence(now time.Time) []tspoison.Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Export(now)
}

// Merge merges evidence received from peers or read from the store, and returns
// the entries that changed here.
func (g *Guard) Merge(now time.Time, evidence []tspoison.Evidence) []tspoison.Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Merge(now, evidence)
}

// reachableInDomain returns the reachable peers of this failure domain.
func (g *Guard) reachableInDomain() []turmericshed.EntryVM {
	if g.cfg.Members == nil || g.cfg.Peers == nil {
		return nil
	}
	var out []turmericshed.EntryVM
	for _, m := range g.cfg.Members.Reachable() {
		if m.FailureDomain == g.cfg.Self.FailureDomain {
			out = append(out, m)
		}
	}
	return out
}

// coordinator returns the entry VM of this failure domain that rendezvous hashing
// assigns to a role, and reports whether that is another process than this one.
func (g *Guard) coordinator(role string) (turmericshed.EntryVM, bool) {
	best := g.cfg.Self
	score := xxhash.Sum64String(role + "/" + string(best.Incarnation))
	for _, m := range g.reachableInDomain() {
		if s := xxhash.Sum64String(role + "/" + string(m.Incarnation)); s > score {
			best, score = m, s
		}
	}
	return best, best.Incarnation != g.cfg.Self.Incarnation
}

func (g *Guard) peerClient(m turmericshed.EntryVM) tspeerapi.QuarantineServiceClient {
	h, url := g.cfg.Peers.Client(m.PeerAddr)
	return tspeerapi.NewQuarantineServiceClient(h, url, tspeer.BoundAnswers())
}

// spread sends evidence to the peers of the failure domain and waits for their
// answers, at most peerTimeout.
func (g *Guard) spread(evidence []tspoison.Evidence) {
	if len(evidence) == 0 {
		return
	}
	body, err := json.Marshal(evidence)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range g.reachableInDomain() {
		wg.Go(func() {
			_, _ = g.peerClient(m).Spread(ctx, connect.NewRequest(&tspeerapi.SpreadRequest{Evidence: body}))
		})
	}
	wg.Wait()
}

// persist records new quarantines as events and writes them to the store in the
// background.
func (g *Guard) persist(evidence []tspoison.Evidence) {
	for _, e := range evidence {
		g.cfg.Recorder.Record(turmericshed.Event{
			Name: turmericshed.EventQuarantined, Server: e.Crashes[len(e.Crashes)-1].Server,
			Reason: string(e.Digest) + " until " + e.QuarantinedUntil().UTC().Format(time.RFC3339),
		})
		if g.cfg.Store == nil {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
			defer cancel()
			// If the write fails, syncWithStore repeats it.
			_ = MergeIntoStore(ctx, g.cfg.Store, e)
		}()
	}
}

// MergeIntoStore merges evidence into the stored entry of its request. Errors: KindInternal
// if the stored entry is malformed, and those of the store.
func MergeIntoStore(ctx context.Context, s turmericshed.Store, e tspoison.Evidence) error {
	u := tsupdate.New(turmericshed.QuarantinePrefix+string(e.Digest), func(cur turmericshed.Item) ([]byte, error) {
		stored := tspoison.Evidence{Digest: e.Digest}
		if len(cur.Value) > 0 {
			if err := json.Unmarshal(cur.Value, &stored); err != nil {
				return nil, turmericshed.WrapError(turmericshed.KindInternal, err, "stored quarantine entry is malformed")
			}
		}
		if !stored.Merge(e) {
			return nil, nil
		}
		return json.Marshal(stored)
	})
	_, err := tsupdate.Run(ctx, s, u)
	return err
}

// Handler returns the path and handler to mount on the peer server.
func (g *Guard) Handler() (string, http.Handler) {
	return tspeerapi.NewQuarantineServiceHandler(peerHandler{g: g})
}
