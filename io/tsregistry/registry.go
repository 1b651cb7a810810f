// Package tsregistry tells which entry VMs there are, from a key of each in
// the platform's store. It replaces gossip where the platform keeps such a
// list anyway: nothing here decides who is alive, and a count that is a
// little too high only makes shares smaller.
//
// # Usage
//
//	r := tsregistry.New(tsregistry.Config{Self: vm, Store: store, Log: log})
//	supervisor.Add(r)
//	n := r.Count()
//	err := r.Withdraw(ctx) // at a graceful stop
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
	// prefix is followed by the entry VM's name.
	keyPrefix = "entry_vms/"
	// listInterval is the time between readings of the list, jittered by as
	// much again; entry VMs come and go slowly.
	listInterval = 10 * time.Second
	// firstInterval is the time between the first two readings, doubled until
	// listInterval: all entry VMs may have started just now.
	firstInterval = time.Second
	// gatherPause is the time between the own entry and the first list, so that
	// entry VMs which start together find each other.
	firstListDelay = 500 * time.Millisecond
	// retryInterval is the same while the store does not answer.
	retryInterval = time.Second
	// storeTimeout bounds one change of the own key.
	storeTimeout = 2 * time.Second
	// pageSize is the most entries read at once.
	pageSize = 500
	// assumedCount stands in before the first list: shares that are too small
	// do no harm.
	initialCount = 12
)

// Config holds what a Registry needs.
type Config struct {
	Self  turmericshed.EntryVM
	Store turmericshed.Store
	// Late reads the list a little late at a fraction of the price; nil takes
	// Store.
	Late turmericshed.StaleLister
	Log  *slog.Logger
}

// Registry implements turmericshed.Members from the store alone.
type Registry struct {
	cfg Config
	// listed is closed with the first list.
	firstListed chan struct{}

	mu      sync.Mutex
	members map[string]turmericshed.EntryVM
}

var _ turmericshed.Members = (*Registry)(nil)

// New returns a registry that knows only its own entry VM.
func New(cfg Config) *Registry { return &Registry{cfg: cfg, firstListed: make(chan struct{})} }

// Self returns the own entry VM.
func (r *Registry) Self() turmericshed.EntryVM { return r.cfg.Self }

// Await waits for the first list, for a time at most.
func (r *Registry) Await(ctx context.Context, most time.Duration) {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-r.firstListed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// Reachable returns the other entry VMs that are listed.
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

// Count returns how many entry VMs there may be, this one included.
func (r *Registry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.members == nil {
		return initialCount
	}
	return max(len(r.members), 1)
}

// State tells a listed incarnation from one whose place another has taken.
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

// Serve registers the own entry VM and reads the list until ctx ends.
func (r *Registry) Serve(ctx context.Context) error {
	registered := false
	for interval := firstInterval; ; interval = min(2*interval, listInterval) {
		pause := interval + rand.N(interval)
		if !registered {
			err := r.register(ctx)
			registered = err == nil
			tspause.For(ctx, firstListDelay)
			if err != nil {
				r.cfg.Log.Warn("entry VM not registered", "error", err.Error())
				pause = retryInterval
			}
		}
		if err := r.List(ctx); err != nil {
			r.cfg.Log.Warn("entry VMs not listed", "error", err.Error())
			pause = retryInterval
		}
		if !tspause.For(ctx, pause) {
			return ctx.Err()
		}
	}
}

// put writes the own key over that of an earlier process of the same name.
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

// Withdraw removes the own key.
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
	_, err = r.cfg.Store.CompareAndSwap(ctx, turmericshed.Write{Key: key, Want: cur.Version, Delete: true})
	return err
}

func (r *Registry) updateOwnEntry(ctx context.Context, m tsupdate.Mutation) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// Mostly there is no earlier entry. If there is, the conflict tells it.
	u := tsupdate.NewFrom(turmericshed.Item{Key: keyPrefix + r.cfg.Self.Name}, m)
	_, err := tsupdate.Run(ctx, r.cfg.Store, u)
	return err
}

// List reads the entry VMs of all names. Errors: those of the store.
func (r *Registry) List(ctx context.Context) error {
	known := make(map[string]turmericshed.EntryVM)
	for after := ""; ; {
		items, err := r.listPage(ctx, after)
		if err != nil {
			return err
		}
		for _, i := range items {
			after = i.Key
			var vm turmericshed.EntryVM
			if err := json.Unmarshal(i.Value, &vm); err != nil {
				r.cfg.Log.Warn("entry VM not read", "key", i.Key, "error", err.Error())
				continue
			}
			known[vm.Name] = vm
		}
		if len(items) < pageSize {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.members == nil {
		close(r.firstListed)
	}
	if len(known) != len(r.members) {
		r.cfg.Log.Info("entry VMs listed", "count", len(known), "before", len(r.members))
	}
	r.members = known
	return nil
}

func (r *Registry) listPage(ctx context.Context, after string) ([]turmericshed.Item, error) {
	if r.cfg.Late != nil {
		return r.cfg.Late.ListStale(ctx, keyPrefix, after, pageSize)
	}
	return r.cfg.Store.List(ctx, keyPrefix, after, pageSize)
}
