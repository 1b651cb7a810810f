package tsholder_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/io/tscommit"
	"turmericshed/io/tsholder"
	"turmericshed/standin/tsplatform"
)

// transactor implements transactions with single writes, one transaction at a time.
type transactor struct {
	*tsplatform.Store
	mu *sync.Mutex
}

func (transactor) MaxKeys() int { return 16 }

func (s transactor) Transact(ctx context.Context, t turmericshed.Transaction) (v turmericshed.Version, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	checks := t.Checks
	for _, w := range t.Writes {
		checks = append(checks, turmericshed.Check{Key: w.Key, ExpectedVersion: w.ExpectedVersion})
	}
	var current []turmericshed.Item
	unchanged := true
	for _, c := range checks {
		item := s.Peek(c.Key)
		current = append(current, item)
		unchanged = unchanged && item.Version == c.ExpectedVersion
	}
	if !unchanged {
		return 0, turmericshed.WithCurrentItems(turmericshed.NewError(turmericshed.KindConflict, "version"), current...)
	}
	for _, w := range t.Writes {
		if v, err = s.CompareAndSwap(ctx, w); err != nil {
			return 0, err
		}
	}
	return v, nil
}

// Guards against tokens that stay in the holding of an entry VM that never returns: after a delay
// its lots are charged and its entry is removed from the holding.
func TestHoldingsOfGoneVMs(t *testing.T) {
	inBubble(t, "its holding is charged and its row is removed", func(t *testing.T) {
		store := transactor{Store: tsplatform.NewStore(tsplatform.Options{}), mu: &sync.Mutex{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		run := func(name, incarnation string) (*tsholder.Holder, context.CancelFunc) {
			vm := turmericshed.EntryVM{Name: name, Incarnation: turmericshed.Incarnation(incarnation), FailureDomain: domain}
			w := tscommit.New(tscommit.Config{Members: isolatedMembers{vm}, Store: store, Log: slog.New(slog.DiscardHandler)})
			h := tsholder.New(tsholder.Config{
				Self: vm, Store: store, Writer: w, Members: isolatedMembers{vm}, Placement: tsbudget.Bridging{}, Reconciler: tsholder.RoutingTableProfiles{},
			})
			ctx, stop := context.WithCancel(ctx)
			serve(ctx, w.Controllers())
			serve(ctx, h.Controllers())
			return h, stop
		}
		gone, stop := run("vm-1", "a")
		gone.Track(profileOf(0, 100_000))
		time.Sleep(5 * time.Second)
		stop()
		listed := func() bool {
			h, err := tsbudget.DecodeHolding(store.Peek(tsbudget.HoldingKey(domain)))
			assert.NilError(t, err)
			_, ok := h.VMs["vm-1"]
			return ok
		}
		assert.Assert(t, listed())
		_, _ = run("vm-2", "b")
		ledger := func() tsbudget.Ledger {
			l, err := tsbudget.Decode(store.Peek(tsbudget.Key(profileOf(0, 0).Budget)))
			assert.NilError(t, err)
			return l
		}
		held := ledger().OpenCharge()
		assert.Assert(t, held > 0)
		time.Sleep(30 * time.Minute)
		assert.Equal(t, ledger().OpenCharge(), held, "the entry VM may still return")
		time.Sleep(2 * time.Hour)
		assert.Equal(t, ledger().OpenCharge(), toTokens(0))
		assert.Equal(t, ledger().Forfeited, held)
		assert.Assert(t, !listed())
	})
}

func toTokens(n int64) turmericshed.Tokens { return turmericshed.Tokens(n) }
