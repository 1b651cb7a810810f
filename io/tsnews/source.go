// Package tsnews lets the entry VMs of a failure domain hear from one of them
// what changes in the platform's store, so that not each keeps watches of its
// own. The one is a hint, as all choose it alike by themselves. Who hears
// nothing from it in time asks another one, and then the store.
//
// What is told carries the time since the store's last answer, so that an entry
// VM which is deaf, frozen or cut off from the store is noticed.
//
// # Usage
//
//	s := tsnews.New(tsnews.Config{Members: members, Store: store, Peers: peers, Log: log})
//	server.Mount(s.Handler())
//	m := tsmirror.New(tsmirror.Config{Store: s, Prefix: "servers/", View: view, Log: log})
package tsnews

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tspreference"
	"turmericshed/io/tspeer"
	"turmericshed/io/tspeerapi"
)

const (
	// followWait is how long a call without news is kept waiting, and
	// followGrace what the network and the peer may add. Who is not answered
	// by then has time left to ask others within the operators' bounds.
	followWait  = time.Second
	followGrace = 300 * time.Millisecond
	// snapshotTimeout bounds a call for all items.
	snapshotTimeout = 800 * time.Millisecond
	// crowdedTimeout takes their place while answers have to pass a crowded
	// link: asking another one would only wait again.
	crowdedTimeout = 3 * time.Second
	// avoidAfter is how long a peer that did not answer is passed over.
	avoidAfter = 2 * time.Second
	// wantedFor is how long this process watches the store after another one
	// asked it for news.
	wantedFor = 5 * time.Second
	// membersTimeout is how long a first snapshot waits for the members.
	membersTimeout = 1500 * time.Millisecond
	// maxPeers is how many peers are asked before the store.
	maxPeers = 2
	// directChance is the part of the attempts that go to the store although
	// peers say that it is away: it may turn away some entry VMs only.
	directChance = 0.15
)

// Config holds what a Source needs.
type Config struct {
	Members turmericshed.Members
	// Await waits until the members are known, for a time at most; nil does
	// not wait.
	Await func(ctx context.Context, most time.Duration)
	Store turmericshed.Source
	Peers tspeer.Peers
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
	// told is the peer that told last, by prefix; empty for the store.
	told map[string]string
}

var _ turmericshed.Source = (*Source)(nil)

// New returns a source that has heard nothing.
func New(cfg Config) *Source {
	return &Source{cfg: cfg, feeds: make(map[string]*feed), told: make(map[string]string), picker: tspreference.Picker{Avoid: avoidAfter}}
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

// Snapshot returns every item with the prefix, and the version from which a
// watch continues.
func (s *Source) Snapshot(ctx context.Context, prefix string) ([]turmericshed.Item, turmericshed.Version, error) {
	if s.cfg.Await != nil {
		s.cfg.Await(ctx, membersTimeout)
	}
	n, direct, err := s.ask(ctx, prefix, 0, 0, snapshotTimeout)
	if err != nil {
		return nil, 0, err
	}
	if !direct {
		items := make([]turmericshed.Item, 0, len(n.events))
		for _, ev := range n.events {
			items = append(items, ev.Item)
		}
		return items, n.at, nil
	}
	items, at, err := s.cfg.Store.Snapshot(ctx, prefix)
	if err != nil {
		s.feed(prefix).lost()
		return nil, 0, err
	}
	s.feed(prefix).reset(items, at)
	return items, at, nil
}

// Watch delivers changes under prefix with versions above after.
func (s *Source) Watch(_ context.Context, prefix string, after turmericshed.Version) (turmericshed.Watcher, error) {
	return &watcher{s: s, prefix: prefix, at: after}, nil
}

// ask asks the preferred peers for news. direct is true when the store is to be
// asked. Errors: KindStoreUnavailable when peers say that it is away.
func (s *Source) ask(ctx context.Context, prefix string, after turmericshed.Version, wait, timeout time.Duration) (n news, direct bool, err error) {
	if s.feed(prefix).wanted(time.Now(), wantedFor) {
		return news{}, true, nil
	}
	self := s.cfg.Members.Self()
	away := 0
	for _, vm := range s.order(self) {
		if vm.Name == self.Name {
			return news{}, true, nil
		}
		n, err := s.call(ctx, vm, prefix, after, wait, timeout)
		s.note(vm, prefix, err)
		if err == nil {
			return n, false, nil
		}
		if ctx.Err() != nil {
			return news{}, false, turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "news")
		}
		if connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeUnavailable {
			away++
		}
	}
	if away == maxPeers && rand.Float64() > directChance {
		return news{}, false, errNotWatching
	}
	return news{}, true, nil
}

func (s *Source) order(self turmericshed.EntryVM) []turmericshed.EntryVM {
	others := s.cfg.Members.Reachable()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Order(time.Now(), self, others, maxPeers)
}

// call makes one call. The age that it returns is at least the true one: it
// counts from before the call.
func (s *Source) call(ctx context.Context, vm turmericshed.EntryVM, prefix string, after turmericshed.Version, wait, timeout time.Duration) (news, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+turmericshed.Patience(s.cfg.Link, timeout, crowdedTimeout))
	defer cancel()
	began := time.Now()
	hc, base := s.cfg.Peers.Client(vm.PeerAddr)
	m := &tspeerapi.FollowRequest{Prefix: prefix, After: uint64(after), WaitMs: wait.Milliseconds()}
	if s.cfg.Limits != nil {
		m.Limits = s.cfg.Limits.Tell()
	}
	resp, err := tspeerapi.NewNewsServiceClient(hc, base).Follow(ctx, connect.NewRequest(m))
	if err != nil {
		return news{}, err
	}
	if s.cfg.Limits != nil {
		s.cfg.Limits.Hear(vm.Name, began, resp.Msg.Limits)
	}
	n := newsOf(resp.Msg)
	n.age += time.Since(began)
	return n, nil
}

// note remembers whether a peer answered.
func (s *Source) note(vm turmericshed.EntryVM, prefix string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.picker.Failed(time.Now(), vm)
		s.cfg.Log.Info("entry VM tells no news", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "prefix", prefix, "error", err.Error())
		return
	}
	s.picker.Answered(vm)
	if s.told[prefix] != vm.Name {
		s.told[prefix] = vm.Name
		s.cfg.Log.Info("entry VM tells news", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "prefix", prefix)
	}
}
