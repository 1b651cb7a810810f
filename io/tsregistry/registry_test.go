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
