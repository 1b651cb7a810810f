package tsholder_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/io/tscommit"
	"turmericshed/io/tsholder"
	"turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

// accountCount and vmCount are the size of a typical deployment of a user.
const (
	accountCount = 10
	vmCount      = 9
	// domain is the failure domain of all entry VMs.
	domain turmericshed.FailureDomain = "east"
)

// bench runs holders that write all their ledgers together, over HTTP.
type bench struct {
	t     *testing.T
	store *tsmetastore.Store
	addr  netip.AddrPort
}

func newBench(t *testing.T) *bench {
	t.Helper()
	s := tsmetastore.New()
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return &bench{t: t, store: s, addr: netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))}
}

// isolatedMembers is the membership of an entry VM that does not know of any other.
type isolatedMembers struct{ vm turmericshed.EntryVM }

func (a isolatedMembers) Self() turmericshed.EntryVM      { return a.vm }
func (isolatedMembers) Reachable() []turmericshed.EntryVM { return nil }
func (isolatedMembers) State(turmericshed.Incarnation) turmericshed.MemberState {
	return turmericshed.MemberUnknown
}

func profileOf(account int, prepaid turmericshed.Tokens) turmericshed.Profile {
	name := fmt.Sprint("account-", account)
	return turmericshed.Profile{
		Name: turmericshed.ProfileName(name), Budget: turmericshed.BudgetID(name), Prepaid: prepaid,
		Edge: turmericshed.PreferNoSurprise, Version: turmericshed.Version(prepaid),
	}
}

// start runs a holder until the returned function is called. The holder has a committer of its own,
// which competes with those of the other holders.
func (b *bench) start(name, incarnation string) (*tsholder.Holder, context.CancelFunc) {
	vm := turmericshed.EntryVM{Name: name, Incarnation: turmericshed.Incarnation(incarnation), FailureDomain: domain}
	ctx, cancel := context.WithCancel(b.t.Context())
	b.t.Cleanup(cancel)
	w := b.startCommitter(ctx, vm)
	return b.startWith(ctx, vm, w), cancel
}

// startCommitter starts a committer that runs until ctx ends.
func (b *bench) startCommitter(ctx context.Context, vm turmericshed.EntryVM) *tscommit.Committer {
	store := platform.NewStore(b.addr, platform.StoreOptions{})
	c := tscommit.New(tscommit.Config{Members: isolatedMembers{vm}, Store: store, StaleLedgers: store, Log: slog.New(slog.DiscardHandler)})
	serve(ctx, c.Controllers())
	return c
}

func (b *bench) startWith(ctx context.Context, vm turmericshed.EntryVM, w tsbudget.LedgerWriter) *tsholder.Holder {
	h := tsholder.New(tsholder.Config{
		Self: vm, Store: platform.NewStore(b.addr, platform.StoreOptions{}), Writer: w, Members: isolatedMembers{vm},
		Placement: tsbudget.Bridging{}, Reconciler: tsholder.RoutingTableProfiles{},
	})
	assert.NilError(b.t, h.TakeOver(b.t.Context()))
	serve(ctx, h.Controllers())
	return h
}

func serve(ctx context.Context, list []turmericshed.Controller) {
	for _, c := range list {
		go func() { _ = c.Serve(ctx) }()
	}
}

func (b *bench) ledger(account int) (l tsbudget.Ledger) {
	b.t.Helper()
	p := profileOf(account, 0)
	item, _ := b.store.Get(tsbudget.Key(p.Budget))
	l, err := tsbudget.Decode(turmericshed.Item{Key: item.Key, Value: item.Value, Version: turmericshed.Version(item.Revision)})
	assert.NilError(b.t, err)
	b.assertSums(p.Budget, l)
	assert.Assert(b.t, l.Spent+l.OpenCharge() <= l.Prepaid, "spent %d open %d prepaid %d", l.Spent, l.OpenCharge(), l.Prepaid)
	return l
}

// assertSums compares a ledger with the sums of the holding. Both are read while transactions
// continue, so it reads them again until they match.
func (b *bench) assertSums(id turmericshed.BudgetID, l tsbudget.Ledger) {
	b.t.Helper()
	for try := 0; ; try++ {
		var charge, used turmericshed.Tokens
		item, _ := b.store.Get(tsbudget.HoldingKey(domain))
		holding, err := tsbudget.DecodeHolding(turmericshed.Item{Key: item.Key, Value: item.Value, Version: turmericshed.Version(item.Revision)})
		assert.NilError(b.t, err)
		for _, lot := range holding.Lots[id] {
			charge += lot.Charge()
			used += lot.Used
		}
		pool := holding.Pools[id]
		charge, used = charge+pool.Free+pool.Used, used+pool.Used
		if charge == l.InHoldings.Charge && used >= l.InHoldings.Used {
			return
		}
		assert.Assert(b.t, try < 20, "ledger %s: %+v, holdings have %d and %d", id, l.InHoldings, charge, used)
		item, _ = b.store.Get(tsbudget.Key(id))
		l, err = tsbudget.Decode(turmericshed.Item{Key: item.Key, Value: item.Value, Version: turmericshed.Version(item.Revision)})
		assert.NilError(b.t, err)
	}
}

func (b *bench) reserve(h *tsholder.Holder, p turmericshed.Profile, n turmericshed.Tokens) (turmericshed.Reservation, error) {
	ctx, cancel := context.WithTimeout(b.t.Context(), 5*time.Second)
	defer cancel()
	return h.Reserve(ctx, p, "r", n)
}

// reserveAndSettle reserves and settles n tokens of an account.
func (b *bench) reserveAndSettle(h *tsholder.Holder, p turmericshed.Profile, n turmericshed.Tokens) {
	b.t.Helper()
	res, err := b.reserve(h, p, n)
	assert.NilError(b.t, err)
	h.Settle(res, n)
}

func TestExchanger(t *testing.T) {
	const prepaid = 100_000
	t.Run("all accounts cost the calls of one", func(t *testing.T) {
		b := newBench(t)
		h, _ := b.start("vm-1", "a")
		for i := range accountCount {
			h.Track(profileOf(i, prepaid))
		}
		time.Sleep(1500 * time.Millisecond)
		for i := range accountCount {
			assert.Assert(t, b.ledger(i).OpenCharge() > 0, "account %d", i)
		}
		// Transactions to read the ledgers, create them, draw, and follow up.
		assert.Assert(t, b.store.Calls("/kv-txn") <= 6, "%d transactions", b.store.Calls("/kv-txn"))
		before := b.store.Calls("/kv-txn")
		for range 20 {
			for i := range accountCount {
				b.reserveAndSettle(h, profileOf(i, prepaid), 200)
			}
			time.Sleep(100 * time.Millisecond)
		}
		calls := b.store.Calls("/kv-txn") - before
		assert.Assert(t, calls <= 12, "%d transactions in 2 s for 200 requests", calls)
	})
	t.Run("more accounts than one transaction holds", func(t *testing.T) {
		b := newBench(t)
		h, _ := b.start("vm-1", "a")
		for i := range 40 {
			h.Track(profileOf(i, prepaid))
		}
		time.Sleep(2500 * time.Millisecond)
		for i := range 40 {
			assert.Assert(t, b.ledger(i).OpenCharge() > 0, "account %d", i)
		}
	})
	t.Run("two entry VMs draw no more than the remaining budget", func(t *testing.T) {
		b := newBench(t)
		one, _ := b.start("vm-1", "a")
		two, _ := b.start("vm-2", "b")
		p := profileOf(0, 5000)
		served := 0
		for range 100 {
			for _, h := range []*tsholder.Holder{one, two} {
				if res, err := b.reserve(h, p, 100); err == nil {
					h.Settle(res, 100)
					served++
				}
			}
			b.ledger(0)
		}
		assert.Assert(t, served <= 50, "%d of 50 served", served)
		assert.Assert(t, served >= 46, "%d of 50 served", served)
	})
	t.Run("a raise is written with the draw that waits for it", func(t *testing.T) {
		b := newBench(t)
		h, _ := b.start("vm-1", "a")
		b.reserveAndSettle(h, profileOf(0, 1000), 900)
		_, err := b.reserve(h, profileOf(0, 1000), 500)
		assertKind(t, err, turmericshed.KindBudgetExhausted)
		before := b.store.Calls("/kv-txn")
		b.reserveAndSettle(h, profileOf(0, 3000), 500)
		assert.Assert(t, b.store.Calls("/kv-txn")-before <= 3)
	})
	t.Run("a reservation limited only by the ceilings is served without the store", func(t *testing.T) {
		b := newBench(t)
		h, _ := b.start("vm-1", "a")
		h.Track(profileOf(0, prepaid))
		time.Sleep(1500 * time.Millisecond)
		b.store.SetDown(true)
		began := time.Now()
		b.reserveAndSettle(h, profileOf(0, prepaid), 20_000)
		assert.Assert(t, time.Since(began) < tsbudget.LeaseLength+500*time.Millisecond, "the lease must have expired by then")
	})
	t.Run("an account with constant demand is served soon after an outage", func(t *testing.T) {
		b := newBench(t)
		h, _ := b.start("vm-1", "a")
		for i := range 3 {
			h.Track(profileOf(i, prepaid))
		}
		time.Sleep(1500 * time.Millisecond)
		b.store.SetDown(true)
		tryReserve := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			res, err := h.Reserve(ctx, profileOf(0, prepaid), "r", 2000)
			if err == nil {
				h.Settle(res, 2000)
			}
			return err
		}
		// The outage lasts until all held tokens are used.
		for refused := 0; refused < 100; time.Sleep(20 * time.Millisecond) {
			if turmericshed.KindOf(tryReserve()) == turmericshed.KindBudgetUnavailable {
				refused++
			}
		}
		b.store.SetDown(false)
		began := time.Now()
		for tryReserve() != nil {
			assert.Assert(t, time.Since(began) < 3*time.Second, "still refused")
			time.Sleep(20 * time.Millisecond)
		}
	})
	t.Run("the next process returns the lots of all accounts in one transaction", func(t *testing.T) {
		b := newBench(t)
		h, kill := b.start("vm-1", "a")
		for i := range accountCount {
			h.Track(profileOf(i, prepaid))
		}
		time.Sleep(1500 * time.Millisecond)
		b.reserveAndSettle(h, profileOf(0, prepaid), 300)
		kill()
		time.Sleep(100 * time.Millisecond)
		before := b.store.Calls("/kv-txn")
		b.start("vm-1", "b")
		for i := range accountCount {
			l := b.ledger(i)
			assert.Assert(t, l.Spent < prepaid/20, "account %d: spent %d", i, l.Spent)
		}
		assert.Assert(t, b.ledger(0).Spent >= 300)
		assert.Assert(t, b.store.Calls("/kv-txn")-before <= 2)
	})
	t.Run("lots of processes that are all killed at once are returned", func(t *testing.T) {
		b := newBench(t)
		var kills []context.CancelFunc
		for n := range vmCount {
			h, kill := b.start(fmt.Sprint("vm-", n+1), fmt.Sprint("a", n))
			for i := range accountCount {
				h.Track(profileOf(i, prepaid))
			}
			kills = append(kills, kill)
		}
		time.Sleep(2 * time.Second)
		for _, kill := range kills {
			kill()
		}
		time.Sleep(100 * time.Millisecond)
		var wg sync.WaitGroup
		for n := range vmCount {
			wg.Go(func() { b.start(fmt.Sprint("vm-", n+1), fmt.Sprint("b", n)) })
		}
		wg.Wait()
		for i := range accountCount {
			l := b.ledger(i)
			assert.Assert(t, l.Spent < prepaid/10, "account %d: spent %d", i, l.Spent)
			assert.Equal(t, l.InHoldings.Holders, 0, "account %d: %+v", i, l.InHoldings)
		}
	})
	t.Run("a raise acknowledges only the reports that it wrote", func(t *testing.T) {
		b := newBench(t)
		h, kill := b.start("vm-1", "a")
		used, amount := turmericshed.Tokens(0), turmericshed.Tokens(30_000)
		for began := time.Now(); time.Since(began) < 6*time.Second; time.Sleep(20 * time.Millisecond) {
			amount += 10
			h.Track(profileOf(0, amount))
			b.reserveAndSettle(h, profileOf(0, amount), 97)
			used += 97
		}
		kill()
		time.Sleep(100 * time.Millisecond)
		b.start("vm-1", "b")
		l := b.ledger(0)
		assert.Assert(t, l.Spent+l.OpenCharge() >= used, "used %d, charged %d", used, l.Spent+l.OpenCharge())
	})
}
