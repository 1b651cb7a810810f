// Package tsnews lets the entry VMs of a failure domain hear from one of them
// what changes in the platform's store, so that not each keeps watches of its
// own. The one is a hint, as all choose it alike by themselves. Who hears
// nothing in time asks the store itself, so that nothing rests on the one that
// tells: how late news may be is bounded by the own way to the store alone.
//
// What is told carries the time up to which it is complete, so that an entry
// VM which is deaf, frozen or cut off from the store is noticed.
//
// # Usage
//
//	s := tsnews.New(tsnews.Config{Members: members, Store: store, Peers: peers, Freshness: tracker, Facts: facts, Log: log})
//	server.Mount(s.Handler())
//	m := tsmirror.New(tsmirror.Config{Store: s, Prefix: "servers/", View: view, Confirmed: confirmed, Log: log})
package tsnews

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tsfreshness"
	"turmericshed/core/tspreference"
	"turmericshed/io/tspeer"
	"turmericshed/io/tspeerapi"
)

const (
	// maxFollowWait bounds how long a call without news is kept waiting.
	maxFollowWait = 5 * time.Second
	// peerSnapshotTimeout bounds the calls of peers for all items.
	peerSnapshotTimeout = 800 * time.Millisecond
	// storeSnapshotTimeout bounds the store's answer with all items.
	storeSnapshotTimeout = 1200 * time.Millisecond
	// peerRetryDelay is the time between rounds in which no peer told anything,
	// jittered by as much again.
	peerRetryDelay = 300 * time.Millisecond
	// probeTimeout bounds a call to a peer that did not answer the last one, and
	// crowdedTryTimeout where the answer has to pass a crowded link.
	probeTimeout        = 300 * time.Millisecond
	crowdedProbeTimeout = 1500 * time.Millisecond
	// avoidPeerFor is how long a peer that did not answer is passed over.
	avoidPeerFor = 2 * time.Second
	// followerTTL is how long this process watches the store after another one
	// asked it for news.
	followerTTL = 5 * time.Second
	// membersTimeout is how long a first snapshot waits for the members.
	membersTimeout = 1500 * time.Millisecond
	// maxPeers is how many peers are asked before the store.
	maxPeers = 2
	// minWatchInterval is the least time between two calls of a watch, so that
	// changes which come together cost one.
	minWatchInterval = 250 * time.Millisecond
	// maxReadAttempts is how often a question is asked before it counts as unanswered,
	// and secondTry the least time between the tries.
	maxReadAttempts = 2
	minHedgeDelay   = 120 * time.Millisecond
	// listenOverlap is how long news is waited for beside a question.
	listenOverlap = 2 * time.Second
	// maxTimerDelay is what a time-out may be late by in a process that keeps up.
	maxTimerDelay = 250 * time.Millisecond
)

// Config holds what a Source needs.
type Config struct {
	Members turmericshed.Members
	// Await waits until the members are known, for a time at most; nil does
	// not wait.
	Await func(ctx context.Context, most time.Duration)
	Store turmericshed.WatchedStore
	Peers tspeer.Peers
	// Freshness tells when the store is to be asked itself, and keeps whether
	// it answered.
	Freshness *tsfreshness.Tracker
	// Facts names what is told under each prefix that is followed.
	Facts map[string]tsfreshness.Fact
	// Limits go along with the news; may be nil.
	Limits Limits
	// Link tells whether bytes wait at the own link; nil never does.
	Link turmericshed.Link
	Log  *slog.Logger
}

// Limits is what entry VMs tell each other of servers' limits.
type Limits interface {
	// Tell returns what other entry VMs should know.
	Tell() []*tspeerapi.ServerLimit
	// Hear takes what another entry VM told since then.
	Hear(from string, since time.Time, limits []*tspeerapi.ServerLimit)
}

// Source is a turmericshed.Source that hears from peers where it can.
type Source struct {
	cfg Config

	mu     sync.Mutex
	feeds  map[string]*feed
	picker tspreference.Picker
	// lastPeer is the peer that lastPeer last, by prefix; empty for the store.
	lastPeer map[string]string
	// knownVersions are those up to which this process knows the changes, by prefix.
	knownVersions map[string]turmericshed.Version
	// isStoreLost is true while the store's last answer is a missing one, and latency
	// what an answer took last.
	isStoreLost      bool
	lastStoreLatency time.Duration
}

var _ turmericshed.Source = (*Source)(nil)

// New returns a source that has heard nothing.
func New(cfg Config) *Source {
	return &Source{cfg: cfg, feeds: make(map[string]*feed), lastPeer: make(map[string]string), knownVersions: make(map[string]turmericshed.Version), picker: tspreference.Picker{Avoid: avoidPeerFor}}
}

func (s *Source) feed(prefix string) *feed {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.feeds[prefix]
	if f == nil {
		f = newFeed()
		s.feeds[prefix] = f
	}
	return f
}

// Snapshot returns every item with the prefix.
func (s *Source) Snapshot(ctx context.Context, prefix string) (turmericshed.Snapshot, error) {
	if s.cfg.Await != nil {
		s.cfg.Await(ctx, membersTimeout)
	}
	peersCtx, cancel := context.WithTimeout(ctx, turmericshed.Patience(s.cfg.Link, peerSnapshotTimeout, 2*peerSnapshotTimeout))
	defer cancel()
	c, direct, err := s.followPeers(peersCtx, prefix, 0, 0)
	if err == nil && !direct && c.At >= s.knownVersion(prefix) && time.Since(c.AsOf) < s.cfg.Freshness.AskAge(s.cfg.Facts[prefix]) {
		snap := turmericshed.Snapshot{At: c.At, AsOf: c.AsOf}
		for _, ev := range c.Events {
			snap.Items = append(snap.Items, ev.Item)
		}
		return snap, nil
	}
	if !s.cfg.Freshness.MayAsk(time.Now()) {
		return turmericshed.Snapshot{}, errNotWatching
	}
	snap, err := readStore(ctx, s, prefix, storeSnapshotTimeout, func(ctx context.Context) (turmericshed.Snapshot, error) {
		return s.cfg.Store.Snapshot(ctx, prefix)
	})
	if err != nil {
		s.feed(prefix).invalidate()
		return snap, err
	}
	s.feed(prefix).reset(snap)
	return snap, nil
}

// knownVersion returns the version up to which changes are knownVersion, which a snapshot
// must not undo.
func (s *Source) knownVersion(prefix string) turmericshed.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knownVersions[prefix]
}

func (s *Source) noteVersion(prefix string, at turmericshed.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.knownVersions[prefix] = max(s.knownVersions[prefix], at)
}

// Watch delivers changes under prefix with versions above after.
func (s *Source) Watch(_ context.Context, prefix string, after turmericshed.Version) (turmericshed.Watcher, error) {
	s.noteVersion(prefix, after)
	return &watcher{source: s, prefix: prefix, fact: s.cfg.Facts[prefix], version: after}, nil
}

// followPeers asks the preferred peers for news. direct is true when this process
// is the one to hear from the store. Errors: errNotWatching when no peer told
// anything.
func (s *Source) followPeers(ctx context.Context, prefix string, after turmericshed.Version, wait time.Duration) (c turmericshed.Changes, direct bool, err error) {
	if s.feed(prefix).followedWithin(time.Now(), followerTTL) {
		return c, true, nil
	}
	self := s.cfg.Members.Self()
	for _, vm := range s.peerOrder(self) {
		if vm.Name == self.Name {
			return c, true, nil
		}
		began := time.Now()
		c, err := s.followPeer(ctx, vm, prefix, after, wait)
		if err == nil || ctx.Err() == nil || time.Since(began) > probeTimeout {
			s.recordPeer(vm, prefix, err)
		}
		if err == nil {
			return c, false, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return c, false, errNotWatching
}

func (s *Source) peerOrder(self turmericshed.EntryVM) []turmericshed.EntryVM {
	others := s.cfg.Members.Reachable()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Order(time.Now(), self, others, maxPeers)
}

// followPeer calls a peer. One that failed is not waited for, so that the next one
// is asked in time.
func (s *Source) followPeer(ctx context.Context, vm turmericshed.EntryVM, prefix string, after turmericshed.Version, wait time.Duration) (turmericshed.Changes, error) {
	s.mu.Lock()
	failing := s.picker.Failing(vm)
	s.mu.Unlock()
	if failing {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, turmericshed.Patience(s.cfg.Link, probeTimeout, crowdedProbeTimeout))
		defer cancel()
		wait = 0
	}
	return s.callFollow(ctx, vm, prefix, after, wait)
}

// callFollow makes one callFollow. What it returns is complete up to AsOf at least: to the
// age that the peer tells it adds all that the callFollow took beyond the time for
// which the peer held it.
func (s *Source) callFollow(ctx context.Context, vm turmericshed.EntryVM, prefix string, after turmericshed.Version, wait time.Duration) (turmericshed.Changes, error) {
	began := time.Now()
	hc, base := s.cfg.Peers.Client(vm.PeerAddr)
	m := &tspeerapi.FollowRequest{Prefix: prefix, After: uint64(after), WaitMs: wait.Milliseconds()}
	if asOf := s.cfg.Freshness.AsOf(s.cfg.Facts[prefix]); !asOf.IsZero() {
		m.AgeMs = ceilMilliseconds(began.Sub(asOf))
	}
	if s.cfg.Limits != nil {
		m.Limits = s.cfg.Limits.Tell()
	}
	resp, err := tspeerapi.NewNewsServiceClient(hc, base).Follow(ctx, connect.NewRequest(m))
	if err != nil {
		return turmericshed.Changes{}, err
	}
	s.cfg.Freshness.Answered(time.Now(), began)
	if s.cfg.Limits != nil {
		s.cfg.Limits.Hear(vm.Name, began, resp.Msg.Limits)
	}
	return decodeChanges(resp.Msg, began), nil
}

func (s *Source) isLinkCrowded(since time.Time) bool {
	return s.cfg.Link != nil && s.cfg.Link.Crowded(since)
}

// recordStoreRead notes whether the store answered a question. A missing answer tells of
// trouble between this process and the store unless it may have waited at the
// own link or for the own processor.
func (s *Source) recordStoreRead(prefix string, asked time.Time, timeout time.Duration, err error) {
	f := s.cfg.Freshness
	now := time.Now()
	if err == nil {
		f.Reached()
		f.Answered(now, asked)
		s.recordStoreLatency(now.Sub(asked))
		s.logStoreAnswered(prefix, now)
		return
	}
	f.Unanswered(now)
	proven := turmericshed.KindOf(err) == turmericshed.KindStoreUnavailable && !isLocalResourceError(err)
	if isTimeout(err) {
		own := s.isLinkCrowded(asked) || now.Sub(asked) > timeout+maxTimerDelay
		proven = !own || f.Overtaken(asked)
	}
	if proven {
		// The trouble may have ended since.
		f.Unreached(asked)
	}
	s.logStoreFailed(prefix, asked, proven, err)
}

// isTimeout reports whether an exchange ended by time alone: nobody refused or
// reset anything.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// isLocalResourceError reports whether this process could not even ask.
func isLocalResourceError(err error) bool {
	for _, own := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, own) {
			return true
		}
	}
	return false
}

// storeLatency returns what the store's last answer took.
func (s *Source) storeLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastStoreLatency
}

func (s *Source) recordStoreLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastStoreLatency = max(d, 0)
}

func (s *Source) logStoreAnswered(prefix string, now time.Time) {
	s.mu.Lock()
	back := s.isStoreLost
	s.isStoreLost = false
	s.mu.Unlock()
	if back {
		s.cfg.Log.Info("store back", "prefix", prefix, "age_ms", s.cfg.Freshness.Age(now, s.cfg.Facts[prefix]).Milliseconds())
	}
}

func (s *Source) logStoreFailed(prefix string, asked time.Time, proven bool, err error) {
	s.mu.Lock()
	first := !s.isStoreLost
	s.isStoreLost = true
	s.mu.Unlock()
	level, msg := slog.LevelInfo, "store does not answer"
	if first {
		level, msg = slog.LevelWarn, "store lost"
	}
	s.cfg.Log.Log(context.Background(), level, msg, "prefix", prefix, "proven", proven, "elapsed_ms", time.Since(asked).Milliseconds(),
		"age_ms", s.cfg.Freshness.Age(asked, s.cfg.Facts[prefix]).Milliseconds(), "crowded", s.isLinkCrowded(asked), "error", err.Error())
}

// recordPeer remembers whether a peer answered.
func (s *Source) recordPeer(vm turmericshed.EntryVM, prefix string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.picker.Failed(time.Now(), vm)
		s.cfg.Log.Info("entry VM tells no news", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "prefix", prefix, "error", err.Error())
		return
	}
	s.picker.Answered(vm)
	if s.lastPeer[prefix] != vm.Name {
		s.lastPeer[prefix] = vm.Name
		s.cfg.Log.Info("entry VM tells news", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "prefix", prefix)
	}
}
