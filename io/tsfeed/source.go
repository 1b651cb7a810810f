// Package tsfeed distributes changes of the platform's store within a failure
// domain: one entry VM watches the store, and the others follow it, so that not
// every entry VM needs its own watches. Every entry VM chooses the peer to follow
// by the same rule, without agreement; the choice is only a hint. An entry VM that
// receives no update in time reads the store directly. The bound on the age of its
// view therefore depends only on its own path to the store, not on the peer.
//
// Every update carries the time up to which it is complete, so that followers
// detect a peer that is frozen, receives no changes or is cut off from the store.
//
// # Usage
//
//	s := tsfeed.New(tsfeed.Config{Members: members, Store: store, Peers: peers, Freshness: tracker, FactsByPrefix: facts, Log: log})
//	server.Mount(s.Handler())
//	m := tsmirror.New(tsmirror.Config{Store: s, Prefix: "servers/", View: view, Confirmed: confirmed, Log: log})
package tsfeed

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
	// maxFollowWait bounds how long a Follow call waits for a change.
	maxFollowWait = 5 * time.Second
	// peerSnapshotTimeout bounds the calls to peers for all items.
	peerSnapshotTimeout = 800 * time.Millisecond
	// storeSnapshotTimeout bounds reading all items from the store.
	storeSnapshotTimeout = 1200 * time.Millisecond
	// peerRetryDelay is the least delay after a round that brought no update; the
	// jitter adds up to as much again.
	peerRetryDelay = 300 * time.Millisecond
	// probeTimeout bounds a call to a peer whose last call failed;
	// congestedProbeTimeout replaces it while the local link is congested.
	probeTimeout          = 300 * time.Millisecond
	congestedProbeTimeout = 1500 * time.Millisecond
	// avoidPeerFor is how long a peer is skipped after it failed to answer.
	avoidPeerFor = 2 * time.Second
	// followerTTL is how long this process watches the store after the last Follow
	// call from another entry VM.
	followerTTL = 5 * time.Second
	// membersTimeout bounds how long Snapshot waits until the members are known.
	membersTimeout = 1500 * time.Millisecond
	// maxPeers is the number of peers that are tried before the store.
	maxPeers = 2
	// minWatchInterval is the least time between two watch calls, so that one call
	// returns all changes of a burst.
	minWatchInterval = 250 * time.Millisecond
	// maxReadAttempts bounds the hedged attempts of one read from the store, and
	// minHedgeDelay is the least delay between them.
	maxReadAttempts = 2
	minHedgeDelay   = 120 * time.Millisecond
	// listenOverlap is how long listening goes on after the direct read became due.
	listenOverlap = 2 * time.Second
	// maxTimerDelay bounds how late a timeout fires unless the process lacks CPU time.
	maxTimerDelay = 250 * time.Millisecond
)

// Config holds what a Source needs.
type Config struct {
	Members turmericshed.Members
	// AwaitMembers waits until the members are known, at most for timeout. If nil,
	// Snapshot does not wait.
	AwaitMembers func(ctx context.Context, timeout time.Duration)
	Store        turmericshed.WatchedStore
	Peers        tspeer.Peers
	// Freshness schedules direct reads of the store and records whether they
	// were answered.
	Freshness *tsfreshness.Tracker
	// FactsByPrefix maps each followed prefix to the fact that its items determine.
	FactsByPrefix map[string]tsfreshness.Fact
	// Limits are exchanged along with the updates; may be nil.
	Limits Limits
	// Link reports whether bytes are queued at the local link; a nil Link is never
	// congested.
	Link turmericshed.Link
	Log  *slog.Logger
}

// Limits exchanges the limits that backend servers announce between entry VMs.
type Limits interface {
	// ExportLimits returns the limits to send to another entry VM.
	ExportLimits() []*tspeerapi.ServerLimit
	// MergeLimits merges the limits that another entry VM sent, no earlier than since.
	MergeLimits(from string, since time.Time, limits []*tspeerapi.ServerLimit)
}

// Source is a turmericshed.Source that follows peers where possible and reads the
// store otherwise.
type Source struct {
	cfg Config

	mu     sync.Mutex
	feeds  map[string]*feed
	picker tspreference.Picker
	// lastPeer is the name of the peer that last sent an update, by prefix; empty
	// if none has.
	lastPeer map[string]string
	// knownVersions are the versions up to which this process has all changes, by
	// prefix.
	knownVersions map[string]turmericshed.Version
	// isStoreLost is true if the last direct read failed, and lastStoreLatency is
	// the duration of the store's last answer.
	isStoreLost      bool
	lastStoreLatency time.Duration
}

var _ turmericshed.Source = (*Source)(nil)

// New returns a source that has received nothing.
func New(cfg Config) *Source {
	return &Source{cfg: cfg, feeds: make(map[string]*feed), lastPeer: make(map[string]string), knownVersions: make(map[string]turmericshed.Version), picker: tspreference.Picker{SkipDuration: avoidPeerFor}}
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

// Snapshot returns every item with the prefix: from a peer if its answer is recent
// and not older than the changes already delivered, otherwise from the store.
// Errors: errNotWatching if the store must not be read yet, or the store's error.
func (s *Source) Snapshot(ctx context.Context, prefix string) (turmericshed.Snapshot, error) {
	if s.cfg.AwaitMembers != nil {
		s.cfg.AwaitMembers(ctx, membersTimeout)
	}
	peersCtx, cancel := context.WithTimeout(ctx, turmericshed.LinkTimeout(s.cfg.Link, peerSnapshotTimeout, 2*peerSnapshotTimeout))
	defer cancel()
	c, isDirect, err := s.followPeers(peersCtx, prefix, 0, 0)
	if err == nil && !isDirect && c.At >= s.knownVersion(prefix) && time.Since(c.AsOf) < s.cfg.Freshness.QueryAge(s.cfg.FactsByPrefix[prefix]) {
		snap := turmericshed.Snapshot{At: c.At, AsOf: c.AsOf}
		for _, ev := range c.Events {
			snap.Items = append(snap.Items, ev.Item)
		}
		return snap, nil
	}
	if !s.cfg.Freshness.MayQuery(time.Now()) {
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

// knownVersion returns the version up to which this process has all changes. A
// snapshot must not be older.
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

// Watch returns a watcher of the changes under prefix with versions above after.
func (s *Source) Watch(_ context.Context, prefix string, after turmericshed.Version) (turmericshed.Watcher, error) {
	s.noteVersion(prefix, after)
	return &watcher{source: s, prefix: prefix, fact: s.cfg.FactsByPrefix[prefix], version: after}, nil
}

// followPeers requests an update from the preferred peers. isDirect is true if this
// process itself has to watch the store. Errors: errNotWatching if no peer sent
// anything.
func (s *Source) followPeers(ctx context.Context, prefix string, after turmericshed.Version, wait time.Duration) (c turmericshed.Changes, isDirect bool, err error) {
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

// followPeer requests an update from one peer. If the peer's last call failed, the
// request is not held and has a short timeout, so that the next peer is tried in time.
func (s *Source) followPeer(ctx context.Context, vm turmericshed.EntryVM, prefix string, after turmericshed.Version, wait time.Duration) (turmericshed.Changes, error) {
	s.mu.Lock()
	isFailing := s.picker.Failing(vm)
	s.mu.Unlock()
	if isFailing {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, turmericshed.LinkTimeout(s.cfg.Link, probeTimeout, congestedProbeTimeout))
		defer cancel()
		wait = 0
	}
	return s.callFollow(ctx, vm, prefix, after, wait)
}

// callFollow makes one Follow call. The result is complete at least up to its AsOf:
// the age that the peer reports is increased by the duration of the call, except
// for the time for which the peer held it.
func (s *Source) callFollow(ctx context.Context, vm turmericshed.EntryVM, prefix string, after turmericshed.Version, wait time.Duration) (turmericshed.Changes, error) {
	began := time.Now()
	hc, base := s.cfg.Peers.Client(vm.PeerAddr)
	m := &tspeerapi.FollowRequest{Prefix: prefix, After: uint64(after), WaitMs: wait.Milliseconds()}
	if asOf := s.cfg.Freshness.AsOf(s.cfg.FactsByPrefix[prefix]); !asOf.IsZero() {
		m.AgeMs = ceilMilliseconds(began.Sub(asOf))
	}
	if s.cfg.Limits != nil {
		m.Limits = s.cfg.Limits.ExportLimits()
	}
	resp, err := tspeerapi.NewNewsServiceClient(hc, base, tspeer.BoundAnswers()).Follow(ctx, connect.NewRequest(m))
	if err != nil {
		return turmericshed.Changes{}, err
	}
	s.cfg.Freshness.RecordExchange(time.Now(), began)
	s.cfg.Store.ObserveVersion(turmericshed.Version(resp.Msg.At))
	if s.cfg.Limits != nil {
		s.cfg.Limits.MergeLimits(vm.Name, began, resp.Msg.Limits)
	}
	return decodeChanges(resp.Msg, began), nil
}

func (s *Source) isLinkCongested(since time.Time) bool {
	return s.cfg.Link != nil && s.cfg.Link.WasCongested(since)
}

// recordStoreRead records whether the store answered a read. A missing answer proves
// a fault of the store or of the path to it, unless the answer may have been
// delayed by the local link or by lack of CPU time in this process.
func (s *Source) recordStoreRead(prefix string, began time.Time, timeout time.Duration, err error) {
	f := s.cfg.Freshness
	now := time.Now()
	if err == nil {
		f.RecordQueryAnswer()
		f.RecordExchange(now, began)
		s.recordStoreLatency(now.Sub(began))
		s.logStoreAnswered(prefix, now)
		return
	}
	f.RecordUnansweredQuery(now)
	isProven := turmericshed.KindOf(err) == turmericshed.KindStoreUnavailable && !isLocalResourceError(err)
	if isTimeout(err) {
		isLocalDelay := s.isLinkCongested(began) || now.Sub(began) > timeout+maxTimerDelay
		isProven = !isLocalDelay || f.HasCompletedExchangesSince(began)
	}
	if isProven {
		// Uses the start of the read, since the fault may have ended by now.
		f.RecordUnreachable(began)
	}
	s.logStoreFailed(prefix, began, isProven, err)
}

// isTimeout reports whether an exchange failed only by a timeout: the other end
// neither refused nor reset the connection.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isLocalResourceError reports whether this process lacked the resources to send a
// request, such as file descriptors or ports.
func isLocalResourceError(err error) bool {
	for _, local := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}

// storeLatency returns the duration of the store's last answer.
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
	wasLost := s.isStoreLost
	s.isStoreLost = false
	s.mu.Unlock()
	if wasLost {
		s.cfg.Log.Info("store back", "prefix", prefix, "age_ms", s.cfg.Freshness.Age(now, s.cfg.FactsByPrefix[prefix]).Milliseconds())
	}
}

func (s *Source) logStoreFailed(prefix string, began time.Time, isProven bool, err error) {
	s.mu.Lock()
	isFirst := !s.isStoreLost
	s.isStoreLost = true
	s.mu.Unlock()
	level, msg := slog.LevelInfo, "store does not answer"
	if isFirst {
		level, msg = slog.LevelWarn, "store lost"
	}
	s.cfg.Log.Log(context.Background(), level, msg, "prefix", prefix, "proven", isProven, "elapsed_ms", time.Since(began).Milliseconds(),
		"age_ms", s.cfg.Freshness.Age(began, s.cfg.FactsByPrefix[prefix]).Milliseconds(), "crowded", s.isLinkCongested(began), "error", err.Error())
}

// recordPeer records whether a peer answered.
func (s *Source) recordPeer(vm turmericshed.EntryVM, prefix string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.picker.Failed(time.Now(), vm)
		s.cfg.Log.Info("entry VM sends no store updates, skipping it for a while", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "prefix", prefix, "error", err.Error())
		return
	}
	s.picker.Answered(vm)
	if s.lastPeer[prefix] != vm.Name {
		s.lastPeer[prefix] = vm.Name
		s.cfg.Log.Info("following the store updates of an entry VM", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "prefix", prefix)
	}
}
