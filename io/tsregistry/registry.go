// Package tsregistry lists the entry VMs from the platform's store, in which each entry
// VM has a key. It replaces gossip where the platform maintains such a list anyway: it
// does not detect failures, and a count that is slightly too high only makes each entry
// VM's share smaller.
//
// # Usage
//
//	r := tsregistry.New(tsregistry.Config{Self: vm, Store: store, Log: log})
//	supervisor.Add(r)
//	n := r.Count()
//	err := r.Withdraw(ctx) // on graceful shutdown
package tsregistry

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/core/tsupdate"
	"turmericshed/io/tspause"
)

const (
	// keyPrefix is the beginning of an entry's key; the entry VM's name follows it.
	keyPrefix = "entry_vms/"
	// listInterval is the time between reads of the list, to which up to 100 % jitter
	// is added; the set of entry VMs changes slowly.
	listInterval = 10 * time.Second
	// firstInterval is the time between the first two reads. It is doubled up to
	// listInterval, since all entry VMs may just have started.
	firstInterval = time.Second
	// firstListDelay is the time between the write of the local entry and the next read
	// of the list, so that entry VMs that start together find each other.
	firstListDelay = 500 * time.Millisecond
	// restoreGrace is how long entry VMs stay listed that a restored store has forgotten. All of
	// them register again meanwhile.
	restoreGrace = 8 * time.Second
	// retryInterval is the time to the next attempt after the store did not answer.
	retryInterval = time.Second
	// storeTimeout bounds one change of the local entry's key.
	storeTimeout = 2 * time.Second
	// pageSize is the maximum number of entries per read.
	pageSize = 500
	// initialCount is the count reported before the first read of the list; shares that
	// are too small do no harm.
	initialCount = 12
)

// Config holds the dependencies of a Registry.
type Config struct {
	Self  turmericshed.EntryVM
	Store turmericshed.Store
	// StaleLister reads a slightly stale list at a fraction of the cost; nil means that the
	// list is read from Store.
	StaleLister turmericshed.StaleLister
	Log         *slog.Logger
}

// Registry implements turmericshed.Members using only the store. It is safe for
// concurrent use.
type Registry struct {
	cfg Config
	// firstListed is closed once the list has been read for the first time.
	firstListed chan struct{}
	// restored wakes Serve after the store came back from an older copy.
	restored chan struct{}

	mu sync.Mutex
	// members holds the listed entry VMs by name; nil before the first read. It is
	// guarded by mu.
	members map[string]turmericshed.EntryVM
	// restoredAt is when the store last came back from an older copy.
	restoredAt time.Time
}

var _ turmericshed.Members = (*Registry)(nil)

// New returns a registry that has not read the list yet.
func New(cfg Config) *Registry {
	return &Registry{cfg: cfg, firstListed: make(chan struct{}), restored: make(chan struct{}, 1)}
}

// Restored makes the registry register the local entry VM again. It must be called when the store came
// back from an older copy, which may lack the entry or have that of an earlier process.
func (r *Registry) Restored() {
	r.mu.Lock()
	r.restoredAt = time.Now()
	r.mu.Unlock()
	select {
	case r.restored <- struct{}{}:
	default:
	}
}

// Self returns the local entry VM.
func (r *Registry) Self() turmericshed.EntryVM { return r.cfg.Self }

// AwaitFirstList waits until the list has been read for the first time, for timeout at most.
func (r *Registry) AwaitFirstList(ctx context.Context, timeout time.Duration) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-r.firstListed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// Reachable returns the listed entry VMs except the local one.
func (r *Registry) Reachable() []turmericshed.EntryVM {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]turmericshed.EntryVM, 0, len(r.members))
	for name, vm := range r.members {
		if name != r.cfg.Self.Name {
			list = append(list, vm)
		}
	}
	return list
}

// Count returns the estimated number of entry VMs, including the local one.
func (r *Registry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.members == nil {
		return initialCount
	}
	return max(len(r.members), 1)
}

// State returns MemberAlive for the local and for listed incarnations, and MemberUnknown
// for others, such as one that a newer incarnation of the same name has replaced.
func (r *Registry) State(in turmericshed.Incarnation) turmericshed.MemberState {
	r.mu.Lock()
	defer r.mu.Unlock()
	if in == r.cfg.Self.Incarnation {
		return turmericshed.MemberAlive
	}
	for _, vm := range r.members {
		if vm.Incarnation == in {
			return turmericshed.MemberAlive
		}
	}
	return turmericshed.MemberUnknown
}

// Serve registers the local entry VM and reads the list periodically until ctx ends.
func (r *Registry) Serve(ctx context.Context) error {
	registered := false
	for interval := firstInterval; ; interval = min(2*interval, listInterval) {
		pause := interval + rand.N(interval)
		if !registered {
			err := r.register(ctx)
			registered = err == nil
			tspause.For(ctx, firstListDelay)
			if err != nil {
				r.cfg.Log.Warn("registering the entry VM failed; retrying", "error", err.Error())
				pause = retryInterval
			}
		}
		if err := r.List(ctx); err != nil {
			r.cfg.Log.Warn("listing the entry VMs failed; retrying", "error", err.Error())
			pause = retryInterval
		}
		select {
		case <-time.After(pause):
		case <-r.restored:
			registered, interval = false, firstInterval
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// register writes the local entry, replacing that of an earlier process of the same name.
func (r *Registry) register(ctx context.Context) error {
	value, err := json.Marshal(r.cfg.Self)
	if err != nil {
		return turmericshed.WrapError(turmericshed.KindInternal, err, "entry VM")
	}
	return r.updateOwnEntry(ctx, func(cur turmericshed.Item) ([]byte, error) {
		if string(cur.Value) == string(value) {
			return nil, nil
		}
		return value, nil
	})
}

// Withdraw removes the local entry unless a newer incarnation has replaced it.
func (r *Registry) Withdraw(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := keyPrefix + r.cfg.Self.Name
	cur, err := r.cfg.Store.Get(ctx, key)
	if err != nil || cur.Version == 0 {
		return err
	}
	var vm turmericshed.EntryVM
	if err := json.Unmarshal(cur.Value, &vm); err == nil && vm.Incarnation != r.cfg.Self.Incarnation {
		return nil
	}
	_, err = r.cfg.Store.CompareAndSwap(ctx, turmericshed.Write{Key: key, ExpectedVersion: cur.Version, Delete: true})
	return err
}

// updateOwnEntry applies m to the key of the local entry.
func (r *Registry) updateOwnEntry(ctx context.Context, m tsupdate.Mutation) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// Usually there is no earlier entry. If there is one, the conflict returns it.
	u := tsupdate.NewFrom(turmericshed.Item{Key: keyPrefix + r.cfg.Self.Name}, m)
	_, err := tsupdate.Run(ctx, r.cfg.Store, u)
	return err
}

// List reads the entries of all entry VMs. Errors: those of the store.
func (r *Registry) List(ctx context.Context) error {
	members := make(map[string]turmericshed.EntryVM)
	for after := ""; ; {
		items, err := r.listPage(ctx, after)
		if err != nil {
			return err
		}
		for _, item := range items {
			after = item.Key
			var vm turmericshed.EntryVM
			if err := json.Unmarshal(item.Value, &vm); err != nil {
				r.cfg.Log.Warn("entry of an entry VM is malformed; skipping it", "key", item.Key, "error", err.Error())
				continue
			}
			members[vm.Name] = vm
		}
		if len(items) < pageSize {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.restoredAt) < restoreGrace {
		for name, vm := range r.members {
			if _, isListed := members[name]; !isListed {
				members[name] = vm
			}
		}
	}
	if r.members == nil {
		close(r.firstListed)
	}
	if len(members) != len(r.members) {
		r.cfg.Log.Info("number of listed entry VMs changed", "count", len(members), "before", len(r.members))
	}
	r.members = members
	return nil
}

// listPage reads the entries that follow the key after.
func (r *Registry) listPage(ctx context.Context, after string) ([]turmericshed.Item, error) {
	if r.cfg.StaleLister != nil {
		return r.cfg.StaleLister.ListStale(ctx, keyPrefix, after, pageSize)
	}
	return r.cfg.Store.List(ctx, keyPrefix, after, pageSize)
}
