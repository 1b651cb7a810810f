package tsregistry_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsregistry"
	"turmericshed/standin/tsplatform"
)

// start runs a registry in the synctest bubble until the returned function is called.
func start(t *testing.T, store turmericshed.Store, name string) (*tsregistry.Registry, context.CancelFunc) {
	t.Helper()
	r := tsregistry.New(tsregistry.Config{
		Self: turmericshed.EntryVM{Name: name, Incarnation: turmericshed.Incarnation("inc-" + name)}, Store: store, Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = r.Serve(ctx) }()
	return r, cancel
}

func TestRegistry(t *testing.T) {
	t.Run("entry VMs that start together find each other soon", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := tsplatform.NewStore(tsplatform.Options{})
			first, _ := start(t, store, "vm-1")
			time.Sleep(700 * time.Millisecond)
			assert.Equal(t, first.Count(), 1)
			_, _ = start(t, store, "vm-2")
			time.Sleep(2 * time.Second)
			assert.Equal(t, first.Count(), 2)
			assert.Equal(t, len(first.Reachable()), 1)
			assert.Equal(t, first.State("inc-vm-2"), turmericshed.MemberAlive)
		})
	})
	t.Run("an unchanged fleet is read rarely", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := tsplatform.NewStore(tsplatform.Options{})
			_, _ = start(t, store, "vm-1")
			time.Sleep(time.Minute)
			before := store.Counts().Reads
			time.Sleep(10 * time.Minute)
			assert.Assert(t, store.Counts().Reads-before <= 60, "%d reads", store.Counts().Reads-before)
		})
	})
	t.Run("a stop removes the name from the list", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := tsplatform.NewStore(tsplatform.Options{})
			first, _ := start(t, store, "vm-1")
			second, stop := start(t, store, "vm-2")
			time.Sleep(3 * time.Second)
			assert.NilError(t, second.Withdraw(t.Context()))
			stop()
			time.Sleep(25 * time.Second)
			assert.Equal(t, first.Count(), 1)
		})
	})
}

// Guards against entry VMs that take the others for gone, and use limits shared with them alone, because a restored
// store has forgotten the directory.
func TestRegistryAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tsplatform.NewStore(tsplatform.Options{})
		var registries []*tsregistry.Registry
		names := []string{"vm-1", "vm-2", "vm-3"}
		for _, name := range names {
			r, _ := start(t, store, name)
			registries = append(registries, r)
		}
		time.Sleep(5 * time.Second)
		for _, name := range names {
			item, err := store.Get(t.Context(), "entry_vms/"+name)
			assert.NilError(t, err)
			_, err = store.CompareAndSwap(t.Context(), turmericshed.Write{Key: item.Key, ExpectedVersion: item.Version, Delete: true})
			assert.NilError(t, err)
		}
		// The last one hears from the store three seconds later.
		for _, r := range registries[:2] {
			r.Restored()
		}
		time.AfterFunc(3*time.Second, registries[2].Restored)
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			for i, r := range registries[:2] {
				assert.Equal(t, r.Count(), len(names), "at %s", names[i])
			}
		}
		assert.Equal(t, registries[2].Count(), len(names))
	})
}
