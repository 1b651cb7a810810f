package tsholder_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/io/tscommit"
	"turmericshed/io/tsholder"
	"turmericshed/platform"
)

// cutWriter is a ledger writer that can't be reached while isCut is true.
type cutWriter struct {
	tsbudget.LedgerWriter
	isCut atomic.Bool
}

func (w *cutWriter) Commit(ctx context.Context, r tsbudget.Request) (tsbudget.Reply, error) {
	if w.isCut.Load() {
		return tsbudget.Reply{}, turmericshed.NewError(turmericshed.KindStoreUnavailable, "cut off")
	}
	return w.LedgerWriter.Commit(ctx, r)
}

// fleetMembers is the membership of a spender, and its calls to the ledger writers of the others.
type fleetMembers struct {
	isolatedMembers
	f *fleet
}

func (m fleetMembers) Reachable() (list []turmericshed.EntryVM) {
	for _, s := range m.f.spenders {
		if vm := s.vm.Load(); vm != nil && vm.Name != m.vm.Name {
			list = append(list, *vm)
		}
	}
	return list
}

func (m fleetMembers) Client(addr netip.AddrPort) (connect.HTTPClient, string) {
	return m, "http://" + addr.String()
}

// Do calls the ledger writer of another spender, unless one of the two is cut off.
func (m fleetMembers) Do(r *http.Request) (*http.Response, error) {
	own, to := m.f.byAddr(m.vm.PeerAddr), m.f.byAddr(netip.MustParseAddrPort(r.URL.Host))
	if own.w.Load().isCut.Load() || to.w.Load().isCut.Load() {
		return nil, errors.New("no route")
	}
	rec := httptest.NewRecorder()
	to.mux.Load().ServeHTTP(rec, r)
	return rec.Result(), nil
}

// spender is an entry VM that alone makes up a failure domain, and whose requests never end.
type spender struct {
	b      *bench
	number int
	starts int
	h      *tsholder.Holder
	vm     atomic.Pointer[turmericshed.EntryVM]
	w      atomic.Pointer[cutWriter]
	mux    atomic.Pointer[http.ServeMux]
	kill   context.CancelFunc
	ended  sync.WaitGroup
}

// fleet is a few spenders of one budget.
type fleet struct {
	*bench
	profile  atomic.Pointer[turmericshed.Profile]
	spenders []*spender
	used     atomic.Int64
	// lastServed is when a request was last served, in Unix nanoseconds.
	lastServed atomic.Int64
	restores   int
}

func newFleet(t *testing.T, prepaid turmericshed.Tokens) *fleet {
	t.Helper()
	f := &fleet{bench: newBench(t)}
	f.setPrepaid(prepaid)
	for n := range 3 {
		f.spenders = append(f.spenders, &spender{b: f.bench, number: n})
	}
	for _, s := range f.spenders {
		f.start(s)
	}
	return f
}

func (f *fleet) byAddr(addr netip.AddrPort) *spender { return f.spenders[addr.Port()-1] }

func (f *fleet) setPrepaid(n turmericshed.Tokens) {
	p := profileOf(0, n)
	f.profile.Store(&p)
}

// start starts the next process of a spender.
func (f *fleet) start(s *spender) {
	f.t.Helper()
	s.starts++
	ctx, cancel := context.WithCancel(f.t.Context())
	f.t.Cleanup(cancel)
	vm := turmericshed.EntryVM{
		Name: fmt.Sprint("vm-", s.number), Incarnation: turmericshed.Incarnation(fmt.Sprint("in-", s.number, "-", s.starts)),
		FailureDomain: turmericshed.FailureDomain(fmt.Sprint("d", s.number)),
		PeerAddr:      netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(s.number+1)),
	}
	m := fleetMembers{isolatedMembers{vm}, f}
	store := platform.NewStore(f.addr, platform.StoreOptions{})
	c := tscommit.New(tscommit.Config{Members: m, Store: store, StaleLedgers: store, Peers: m, Log: slog.New(slog.DiscardHandler)})
	mux := http.NewServeMux()
	mux.Handle(c.Handler())
	w := &cutWriter{LedgerWriter: c}
	s.w.Store(w)
	s.mux.Store(mux)
	s.vm.Store(&vm)
	serve(ctx, c.Controllers())
	s.h, s.kill = f.startWith(ctx, vm, w), cancel
	h := s.h
	s.ended.Go(func() {
		for ctx.Err() == nil {
			f.spend(ctx, h)
		}
	})
}

// spend reserves and settles tokens once.
func (f *fleet) spend(ctx context.Context, h *tsholder.Holder) {
	ctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancel()
	res, err := h.Reserve(ctx, *f.profile.Load(), "r", 100)
	if err == nil && ctx.Err() == nil {
		h.Settle(res, 100)
		f.used.Add(100)
		f.lastServed.Store(time.Now().UnixNano())
	}
	time.Sleep(2 * time.Millisecond)
}

// drill restores the store from a copy that is as old as age, after it was away for a moment. during is
// called while it is away.
func (f *fleet) drill(age time.Duration, during func()) {
	f.t.Helper()
	c := f.store.Copy()
	time.Sleep(age)
	f.store.SetDown(true)
	during()
	time.Sleep(300 * time.Millisecond)
	f.store.Restore(c, func(key string) bool { return strings.HasPrefix(key, "op/") })
	f.store.SetDown(false)
	f.restores++
}

func (f *fleet) storedLedger() tsbudget.Ledger {
	f.t.Helper()
	item, _ := f.store.Get(tsbudget.Key(f.profile.Load().Budget))
	l, err := tsbudget.Decode(turmericshed.Item{Key: item.Key, Value: item.Value, Version: turmericshed.Version(item.Revision)})
	assert.NilError(f.t, err)
	return l
}

// assertPrepaid waits until the budget is used up, and checks that at least a part of it and no more was used.
func (f *fleet) assertPrepaid(least float64) {
	f.t.Helper()
	f.lastServed.Store(time.Now().UnixNano())
	for began := time.Now(); time.Since(time.Unix(0, f.lastServed.Load())) < 6*time.Second && time.Since(began) < 30*time.Second; {
		time.Sleep(100 * time.Millisecond)
	}
	used, prepaid := f.used.Load(), int64(f.profile.Load().Prepaid)
	l := f.storedLedger()
	f.t.Logf("used %d of %d, ledger %+v, restored %+v", used, prepaid, l, l.Restored)
	assert.Assert(f.t, used <= prepaid, "used %d of %d", used, prepaid)
	assert.Assert(f.t, float64(used) >= least*float64(prepaid), "used %d of %d", used, prepaid)
}

// Guards against tokens that are spent twice after the store came back from an older copy, by holders that
// go on with lots which it has forgotten, and against tokens that nobody can spend any more.
func TestRestoredStoreAndHolders(t *testing.T) {
	nothing := func() {}
	t.Run("all in touch", func(t *testing.T) {
		t.Parallel()
		f := newFleet(t, 700_000)
		time.Sleep(time.Second)
		f.drill(2*time.Second, nothing)
		before := f.used.Load()
		time.Sleep(time.Second)
		assert.Assert(t, f.used.Load() > before, "no request was served for a second")
		f.assertPrepaid(0.95)
	})
	t.Run("two restores in a row", func(t *testing.T) {
		t.Parallel()
		f := newFleet(t, 900_000)
		time.Sleep(time.Second)
		f.drill(2*time.Second, nothing)
		f.drill(500*time.Millisecond, nothing)
		f.assertPrepaid(0.9)
	})
	t.Run("a copy that is older than the budget", func(t *testing.T) {
		t.Parallel()
		f := newFleet(t, 600_000)
		empty := newBench(t).store.Copy()
		time.Sleep(2 * time.Second)
		f.store.Restore(empty, func(string) bool { return false })
		f.assertPrepaid(0.9)
	})
	t.Run("a process that is killed meanwhile", func(t *testing.T) {
		t.Parallel()
		f := newFleet(t, 700_000)
		time.Sleep(time.Second)
		f.drill(2*time.Second, func() { f.spenders[0].kill() })
		f.spenders[0].ended.Wait()
		f.start(f.spenders[0])
		f.assertPrepaid(0.5)
	})
	t.Run("a raise in the lost seconds", func(t *testing.T) {
		t.Parallel()
		f := newFleet(t, 200_000)
		time.Sleep(time.Second)
		c := f.store.Copy()
		f.setPrepaid(700_000)
		time.Sleep(2 * time.Second)
		f.store.Restore(c, func(string) bool { return false })
		f.assertPrepaid(0.9)
	})
}

// Guards against the same where entry VMs are cut off from the store, and tell late what they had drawn.
func TestRestoredStoreAndHoldersThatAreCutOff(t *testing.T) {
	t.Run("an entry VM that is cut off", func(t *testing.T) {
		t.Parallel()
		f := newFleet(t, 700_000)
		time.Sleep(time.Second)
		f.drill(2*time.Second, func() { f.spenders[0].w.Load().isCut.Store(true) })
		time.Sleep(5 * time.Second)
		f.spenders[0].w.Load().isCut.Store(false)
		f.assertPrepaid(0.85)
	})
	t.Run("random restores and cuts", func(t *testing.T) {
		t.Parallel()
		rng := rand.New(rand.NewPCG(11, 1))
		f := newFleet(t, 2_000_000)
		for range 4 {
			time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
			s := f.spenders[rng.IntN(len(f.spenders))]
			f.drill(time.Duration(300+rng.IntN(2000))*time.Millisecond, func() {
				s.w.Load().isCut.Store(rng.IntN(2) == 0)
			})
			time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
			s.w.Load().isCut.Store(false)
		}
		f.assertPrepaid(0.3)
	})
}

// settlingWriter refuses all draws while isSettling is true, as a ledger does that is settling after a restore.
type settlingWriter struct {
	tsbudget.LedgerWriter
	isSettling atomic.Bool
}

func (w *settlingWriter) Commit(ctx context.Context, r tsbudget.Request) (tsbudget.Reply, error) {
	if !w.isSettling.Load() {
		return w.LedgerWriter.Commit(ctx, r)
	}
	refused := make(map[turmericshed.BudgetID]error)
	for i, c := range r.Changes {
		if c.Draw != nil {
			r.Changes[i].Draw = nil
			refused[c.Budget] = turmericshed.NewError(turmericshed.KindStoreUnavailable, "settling")
		}
	}
	reply, err := w.LedgerWriter.Commit(ctx, r)
	reply.Errs = refused
	return reply, err
}

// Guards against requests that are refused long after a ledger has settled, since each one puts off the next draw.
func TestDrawAfterARefusedDraw(t *testing.T) {
	t.Parallel()
	b := newBench(t)
	vm := turmericshed.EntryVM{Name: "vm-0", Incarnation: "in-0", FailureDomain: domain}
	w := &settlingWriter{LedgerWriter: b.startCommitter(t.Context(), vm)}
	h := b.startWith(t.Context(), vm, w)
	w.isSettling.Store(true)
	// serveOne sends requests at a high rate until one is served, or for a time.
	serveOne := func(limit time.Duration) error {
		err := errors.New("no request was sent")
		for began := time.Now(); err != nil && time.Since(began) < limit; time.Sleep(time.Millisecond) {
			_, err = h.Reserve(t.Context(), profileOf(0, 10_000), "r", 100)
		}
		return err
	}
	assert.Equal(t, turmericshed.KindOf(serveOne(2*time.Second)), turmericshed.KindBudgetUnavailable)
	w.isSettling.Store(false)
	assert.NilError(t, serveOne(10*time.Second))
}
