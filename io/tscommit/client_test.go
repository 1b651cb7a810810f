package tscommit_test

import (
	"context"
	"fmt"
	"log/slog"
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
	"turmericshed/io/tspause"
	"turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

// domain is the entry VMs of one failure domain. The first one has the most
// capacity, so that it writes for all.
type domain struct {
	t     *testing.T
	store *tsmetastore.Store

	mu  sync.Mutex
	vms []*vm
}

type vm struct {
	domain *domain
	self   turmericshed.EntryVM
	mux    *http.ServeMux
	client *tscommit.Client
	// isFrozen is true if the entry VM answers no calls.
	isFrozen bool
	// isCongested is true while the entry VM's own link delays the answers to its
	// calls.
	isCongested atomic.Bool
}

// congestedLinkDelay is how long an answer is queued at a congested link.
const congestedLinkDelay = 1500 * time.Millisecond

// Congested and the next three methods implement turmericshed.Link.
func (v *vm) WasCongested(time.Time) bool { return v.isCongested.Load() }

func (*vm) IsSaturated() bool { return false }

func (*vm) Delay(int) time.Duration { return 0 }

func (*vm) Await(context.Context, turmericshed.AccountID, int) error { return nil }

func (v *vm) Self() turmericshed.EntryVM { return v.self }

func (v *vm) Reachable() []turmericshed.EntryVM {
	var list []turmericshed.EntryVM
	for _, o := range v.domain.vms {
		if o != v {
			list = append(list, o.self)
		}
	}
	return list
}

func (*vm) State(turmericshed.Incarnation) turmericshed.MemberState { return turmericshed.MemberAlive }

func (v *vm) Client(addr netip.AddrPort) (connect.HTTPClient, string) {
	return v, "http://" + addr.String()
}

// Do sends a call to another entry VM.
func (v *vm) Do(r *http.Request) (*http.Response, error) {
	v.domain.mu.Lock()
	to := v.domain.vms[netip.MustParseAddrPort(r.URL.Host).Port()-1]
	frozen := to.isFrozen
	v.domain.mu.Unlock()
	if frozen {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	rec := httptest.NewRecorder()
	to.mux.ServeHTTP(rec, r)
	if v.isCongested.Load() && !tspause.For(r.Context(), congestedLinkDelay) {
		return nil, r.Context().Err()
	}
	return rec.Result(), nil
}

func newDomain(t *testing.T, n int) *domain {
	t.Helper()
	d := &domain{t: t, store: tsmetastore.New()}
	srv := httptest.NewServer(d.store)
	t.Cleanup(srv.Close)
	url := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	for i := range n {
		v := &vm{domain: d, mux: http.NewServeMux(), self: turmericshed.EntryVM{
			Name: fmt.Sprint("vm-", i+1), Incarnation: turmericshed.Incarnation(fmt.Sprint("in-", i+1)), FailureDomain: "east",
			PeerAddr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)), Capacity: float64(n - i),
		}}
		store := platform.NewStore(url, platform.StoreOptions{})
		c := tscommit.New(tscommit.Config{Members: v, Store: store, StaleLedgers: store, Log: slog.New(slog.DiscardHandler)})
		for _, loop := range c.Controllers() {
			go func() { _ = loop.Serve(t.Context()) }()
		}
		v.mux.Handle(c.Handler())
		v.client = tscommit.NewClient(tscommit.ClientConfig{Members: v, Peers: v, LocalWriter: c, Link: v, Log: slog.New(slog.DiscardHandler)})
		d.vms = append(d.vms, v)
	}
	return d
}

func (v *vm) commit(r tsbudget.Request) (tsbudget.Reply, error) {
	ctx, cancel := context.WithTimeout(v.domain.t.Context(), 5*time.Second)
	defer cancel()
	r.VM, r.Incarnation, r.Urgent = v.self.Name, v.self.Incarnation, true
	return v.client.Commit(ctx, r)
}

func (v *vm) mustCommit(r tsbudget.Request) tsbudget.Reply {
	v.domain.t.Helper()
	reply, err := v.commit(r)
	assert.NilError(v.domain.t, err)
	return reply
}

// takeOverAll registers every process as the current one of its entry VM.
func (d *domain) takeOverAll() {
	d.t.Helper()
	d.forEachVM(func(v *vm) {
		reply := v.mustCommit(tsbudget.Request{Takeover: &tsbudget.Takeover{Now: time.Now()}})
		assert.Equal(d.t, reply.CurrentIncarnation, v.self.Incarnation)
	})
}

func (d *domain) forEachVM(f func(v *vm)) {
	var wg sync.WaitGroup
	for _, v := range d.vms {
		wg.Go(func() { f(v) })
	}
	wg.Wait()
}

func (v *vm) draw(lot string, want turmericshed.Tokens) tsbudget.Request {
	return tsbudget.Request{Changes: []tsbudget.Change{{Budget: "b", Profile: "p", Prepaid: 10_000, Draw: &tsbudget.DrawRequest{
		Lot: turmericshed.LotID(lot), Holder: v.self.Incarnation, Want: want, Min: 1, At: time.Now(),
	}}}}
}

func (d *domain) ledger() tsbudget.Ledger {
	d.t.Helper()
	item, _ := d.store.Get(tsbudget.Key("b"))
	l, err := tsbudget.Decode(turmericshed.Item{Key: item.Key, Value: item.Value, Version: turmericshed.Version(item.Revision)})
	assert.NilError(d.t, err)
	return l
}

func TestClient(t *testing.T) {
	t.Run("concurrent requests of all entry VMs are written in one transaction", func(t *testing.T) {
		d := newDomain(t, 12)
		d.takeOverAll()
		before := d.store.Calls("/kv-txn")
		d.forEachVM(func(v *vm) {
			reply := v.mustCommit(v.draw("lot-"+v.self.Name, 100))
			assert.Equal(t, len(reply.Lots["b"]), 1)
		})
		calls := d.store.Calls("/kv-txn") - before
		assert.Assert(t, calls <= 4, "%d transactions", calls)
		assert.Equal(t, d.ledger().OpenCharge(), turmericshed.Tokens(1200))
	})
	t.Run("a draw whose answer is delayed by a congested link is not canceled", func(t *testing.T) {
		d := newDomain(t, 4)
		d.takeOverAll()
		v := d.vms[3]
		v.isCongested.Store(true)
		assert.Equal(t, len(v.mustCommit(v.draw("lot", 100)).Lots["b"]), 1)
	})
	t.Run("two concurrent writers only conflict and lose nothing", func(t *testing.T) {
		d := newDomain(t, 6)
		d.takeOverAll()
		d.mu.Lock()
		d.vms[0].isFrozen = true
		d.mu.Unlock()
		for n := range 10 {
			d.forEachVM(func(v *vm) { v.mustCommit(v.draw(fmt.Sprint("lot-", v.self.Name, n), 10)) })
		}
		assert.Equal(t, d.ledger().OpenCharge(), turmericshed.Tokens(600))
	})
	t.Run("a store outage is reported as such", func(t *testing.T) {
		d := newDomain(t, 3)
		d.takeOverAll()
		d.store.SetDown(true)
		_, err := d.vms[2].commit(d.vms[2].draw("lot", 100))
		assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindStoreUnavailable)
	})
	t.Run("a ledger is sent once, and again after a change", func(t *testing.T) {
		d := newDomain(t, 2)
		d.takeOverAll()
		a, b := d.vms[0], d.vms[1]
		first := b.mustCommit(b.draw("lot", 100))
		assert.Equal(t, len(first.Ledgers), 1)
		again := b.mustCommit(tsbudget.Request{Cursor: first.Cursor})
		assert.Equal(t, len(again.Ledgers), 0)
		a.mustCommit(a.draw("lot-a", 100))
		changed := b.mustCommit(tsbudget.Request{Cursor: again.Cursor})
		assert.Equal(t, len(changed.Ledgers), 1)
	})
	t.Run("a holder receives the newest lease", func(t *testing.T) {
		d := newDomain(t, 1)
		d.takeOverAll()
		for range 3 {
			time.Sleep(1100 * time.Millisecond)
			reply := d.vms[0].mustCommit(tsbudget.Request{})
			assert.Equal(t, string(reply.Lease), fmt.Sprintf("%d.1", d.store.Calls("/kv-lease")), "the lease's number and the store's era")
		}
	})
	t.Run("a replaced process receives the incarnation of its successor", func(t *testing.T) {
		d := newDomain(t, 2)
		d.takeOverAll()
		v := d.vms[1]
		next := tsbudget.Request{Takeover: &tsbudget.Takeover{From: v.self.Incarnation, Now: time.Now()}}
		old := v.self.Incarnation
		v.self.Incarnation = "in-2b"
		assert.Equal(t, v.mustCommit(next).CurrentIncarnation, v.self.Incarnation)
		v.self.Incarnation = old
		reply := v.mustCommit(v.draw("lot", 100))
		assert.Equal(t, string(reply.CurrentIncarnation), "in-2b")
		assert.Equal(t, len(reply.Lots["b"]), 0)
	})
}

// Guards against a frozen writer that blocks its domain: the next entry VM writes
// in its place, and a request that is retried there does not draw a lot twice.
func TestNextWriterForAFrozenOne(t *testing.T) {
	d := newDomain(t, 4)
	d.takeOverAll()
	v := d.vms[3]
	r := v.draw("lot", 100)
	v.mustCommit(r)
	d.mu.Lock()
	d.vms[0].isFrozen = true
	d.mu.Unlock()
	began := time.Now()
	reply := v.mustCommit(r)
	assert.Assert(t, time.Since(began) < 1500*time.Millisecond)
	assert.Equal(t, len(reply.Lots["b"]), 1)
	assert.Equal(t, d.ledger().OpenCharge(), turmericshed.Tokens(100))
	began = time.Now()
	v.mustCommit(v.draw("lot-2", 50))
	assert.Assert(t, time.Since(began) < 400*time.Millisecond, "the frozen entry VM was not skipped")
}
