package tsfeed_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsfreshness"
	"turmericshed/io/tsfeed"
	"turmericshed/io/tsmirror"
	"turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

// domain is the entry VMs of one failure domain and their store. The first one has
// the most capacity, so that the others follow it.
type domain struct {
	t     *testing.T
	store *tsmetastore.Store
	url   netip.AddrPort

	bounds tsfreshness.Bounds

	mu  sync.Mutex
	vms []*vm
}

type vm struct {
	domain *domain
	self   turmericshed.EntryVM
	source *tsfeed.Source
	// freshness limits until when the entry VM may act on its view.
	freshness *tsfreshness.Tracker
	mux       *http.ServeMux
	view      view
	mirror    *tsmirror.Mirror
	// isFrozen is true if the entry VM answers no calls, and isStoreCut if it can't
	// connect to the store.
	isFrozen   bool
	isStoreCut bool
	storeConns []net.Conn
	// isCongested is true if the entry VM reports a congested link. Each of its
	// exchanges takes roundTrip.
	isCongested bool
	roundTrip   time.Duration
	// storeEra is the era of the store that the store's client has reported; 0 before a restore.
	storeEra atomic.Uint64
	// log receives the log records of source.
	log syncBuffer
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Congested and the next three methods implement turmericshed.Link. Only Congested is
// used.
func (v *vm) WasCongested(time.Time) bool {
	v.domain.mu.Lock()
	defer v.domain.mu.Unlock()
	return v.isCongested
}

func (*vm) IsSaturated() bool { return false }

func (*vm) Delay(int) time.Duration { return 0 }

func (*vm) Await(context.Context, turmericshed.AccountID, int) error { return nil }

// view sends each call as a string.
type view chan string

func (v view) Reset(items []turmericshed.Item) {
	v <- fmt.Sprint("reset ", len(items))
	for _, i := range items {
		v <- i.Key + "=" + string(i.Value)
	}
}

func (v view) Change(ev turmericshed.WatchEvent) { v <- ev.Key + "=" + string(ev.Value) }

func (v view) StoreLost(error) { v <- "lost" }

func (v *vm) Self() turmericshed.EntryVM { return v.self }

func (v *vm) Reachable() []turmericshed.EntryVM {
	v.domain.mu.Lock()
	defer v.domain.mu.Unlock()
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
	time.Sleep(v.exchangeTime() / 2)
	to.mux.ServeHTTP(rec, r)
	time.Sleep(v.exchangeTime() / 2)
	return rec.Result(), r.Context().Err()
}

// exchangeTime returns how long a round trip takes.
func (v *vm) exchangeTime() time.Duration {
	v.domain.mu.Lock()
	defer v.domain.mu.Unlock()
	return v.roundTrip
}

// slowConn delays each read by a round trip.
type slowConn struct {
	net.Conn
	vm *vm
}

func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(c.vm.exchangeTime())
	return n, err
}

// dial connects to the store.
func (v *vm) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	v.domain.mu.Lock()
	cut := v.isStoreCut
	v.domain.mu.Unlock()
	if cut {
		return nil, errors.New("cut")
	}
	time.Sleep(v.exchangeTime())
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	v.domain.update(func() { v.storeConns = append(v.storeConns, c) })
	return slowConn{c, v}, err
}

// cutStore closes the connections to the store and fails new ones.
func (v *vm) cutStore() {
	v.domain.update(func() {
		v.isStoreCut = true
		for _, c := range v.storeConns {
			_ = c.Close()
		}
	})
}

func newDomain(t *testing.T, n int) *domain {
	t.Helper()
	return newDomainWith(t, n, 2*time.Second)
}

// newDomainWith returns a domain in which changes have to take effect within span.
func newDomainWith(t *testing.T, n int, span time.Duration) *domain {
	t.Helper()
	d := &domain{t: t, store: tsmetastore.New()}
	for f := range d.bounds.Spans {
		d.bounds.Spans[f] = span
	}
	srv := httptest.NewServer(d.store)
	t.Cleanup(srv.Close)
	d.url = netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	d.store.Put("p/a", []byte("0"))
	for i := range n {
		v := &vm{domain: d, mux: http.NewServeMux(), view: make(view, 256), self: turmericshed.EntryVM{
			Name: fmt.Sprint("vm-", i+1), Incarnation: turmericshed.Incarnation(fmt.Sprint("in-", i+1)), FailureDomain: "east",
			PeerAddr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)), Capacity: float64(n - i),
		}}
		store := platform.NewStore(d.url, platform.StoreOptions{Dial: v.dial, OnRestored: v.storeEra.Store})
		v.freshness = tsfreshness.New(d.bounds)
		v.source = tsfeed.New(tsfeed.Config{
			Members: v, Store: store, Peers: v, Freshness: v.freshness, Link: v, FactsByPrefix: map[string]tsfreshness.Fact{"p/": tsfreshness.Servers},
			Log: slog.New(slog.NewTextHandler(&v.log, nil)),
		})
		v.mux.Handle(v.source.Handler())
		v.mirror = tsmirror.New(tsmirror.Config{
			Store: v.source, Prefix: "p/", View: v.view, OnConfirmed: func(asOf time.Time) {
				v.freshness.Confirm(tsfreshness.Table, asOf)
				v.freshness.Confirm(tsfreshness.Servers, asOf)
			},
			Log: slog.New(slog.DiscardHandler),
		})
		d.vms = append(d.vms, v)
	}
	for _, v := range d.vms {
		go func() { _ = v.mirror.Serve(t.Context()) }()
		v.assertReceives("reset 1", 5*time.Second)
	}
	return d
}

// assertReceives waits until the view sends want and ignores other strings.
func (v *vm) assertReceives(want string, within time.Duration) {
	v.domain.t.Helper()
	due := time.After(within)
	for {
		select {
		case got := <-v.view:
			if got == want {
				return
			}
		case <-due:
			v.domain.t.Fatalf("%s did not receive %q within %s", v.self.Name, want, within)
		}
	}
}

func (d *domain) update(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

func TestSource(t *testing.T) {
	t.Run("all entry VMs receive a change and one watches the store", func(t *testing.T) {
		d := newDomain(t, 6)
		time.Sleep(3 * time.Second)
		before := d.store.Calls("/kv-watch")
		for n := range 5 {
			d.store.Put("p/a", []byte(fmt.Sprint(n)))
			for _, v := range d.vms {
				v.assertReceives(fmt.Sprint("p/a=", n), time.Second)
			}
		}
		calls := d.store.Calls("/kv-watch") - before
		assert.Assert(t, calls <= 8, "%d watches", calls)
		for _, v := range d.vms {
			assert.Assert(t, v.mirror.Age(time.Now()) < 2*time.Second, "%s is %s old", v.self.Name, v.mirror.Age(time.Now()))
		}
	})
	t.Run("a frozen watcher is replaced in time", func(t *testing.T) {
		d := newDomain(t, 4)
		d.vms[0].cutStore()
		d.update(func() { d.vms[0].isFrozen = true })
		d.store.Put("p/a", []byte("new"))
		for _, v := range d.vms[1:] {
			v.assertReceives("p/a=new", 2*time.Second)
		}
		d.store.Put("p/a", []byte("newer"))
		for _, v := range d.vms[1:] {
			v.assertReceives("p/a=newer", 2*time.Second)
		}
	})
	t.Run("a watcher that gets no store answers is replaced in time", func(t *testing.T) {
		d := newDomain(t, 4)
		d.vms[0].cutStore()
		d.store.Put("p/a", []byte("new"))
		for _, v := range d.vms[1:] {
			v.assertReceives("p/a=new", 3*time.Second)
		}
	})
	t.Run("the next entry VM takes over the watch", func(t *testing.T) {
		d := newDomainWith(t, 5, 6*time.Second)
		d.vms[0].cutStore()
		d.update(func() { d.vms[0].isFrozen = true })
		time.Sleep(9 * time.Second)
		before := d.store.Calls("/kv-watch")
		time.Sleep(5 * time.Second)
		calls := d.store.Calls("/kv-watch") - before
		assert.Assert(t, calls <= 6, "%d watches in 5 s", calls)
		d.store.Put("p/a", []byte("new"))
		for _, v := range d.vms[1:] {
			v.assertReceives("p/a=new", 2*time.Second)
		}
	})
	t.Run("every entry VM has the age of its view during a store outage", func(t *testing.T) {
		d := newDomain(t, 3)
		d.store.SetDown(true)
		time.Sleep(4 * time.Second)
		for _, v := range d.vms {
			assert.Assert(t, v.mirror.Age(time.Now()) > 2*time.Second, "%s reports its view as only %s old", v.self.Name, v.mirror.Age(time.Now()))
		}
		d.store.SetDown(false)
		d.store.Put("p/b", []byte("x"))
		for _, v := range d.vms {
			v.assertReceives("p/b=x", 5*time.Second)
		}
	})
}

// Guards against an entry VM that follows others and hears only from its next own call to the store, up to 20 s
// later, that the store came back from an older copy.
func TestFollowersHearOfARestore(t *testing.T) {
	d := newDomainWith(t, 4, time.Minute)
	d.store.Put("p/a", []byte("1"))
	for _, v := range d.vms {
		v.assertReceives("p/a=1", 5*time.Second)
	}
	d.store.Restore(tsmetastore.New().Copy(), func(key string) bool { return key == "p/a" })
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		late := slices.DeleteFunc(slices.Clone(d.vms), func(v *vm) bool { return v.storeEra.Load() > 0 })
		if len(late) == 0 {
			return
		}
		assert.Assert(t, time.Since(began) < 5*time.Second, "%s and %d others have not heard of the restore", late[0].self.Name, len(late)-1)
	}
}

// refusedShare returns the fraction of span in which the entry VM may not act on
// its view.
func (v *vm) refusedShare(span time.Duration) float64 {
	refused, all := 0, 0
	for began := time.Now(); time.Since(began) < span; time.Sleep(10 * time.Millisecond) {
		all++
		if !time.Now().Before(v.freshness.UsableUntil()) {
			refused++
		}
	}
	return float64(refused) / float64(all)
}

// Guards against an entry VM with a congested link that refuses its callers although
// peers send it updates: it read the store again and again and canceled each read
// before the answer arrived.
func TestCrowdedEntryVMHearsFromOthers(t *testing.T) {
	for _, roundTrip := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second} {
		t.Run(roundTrip.String(), func(t *testing.T) {
			t.Parallel()
			d := newDomainWith(t, 3, 3*time.Second)
			time.Sleep(time.Second)
			v := d.vms[2]
			d.update(func() { v.isCongested, v.roundTrip = true, roundTrip })
			time.Sleep(2 * time.Second)
			refused := v.refusedShare(8 * time.Second)
			assert.Assert(t, refused <= 0.02, "refused for %.2f of the time; its log:\n%s\nlog of the followed entry VM:\n%s", refused, &v.log, &d.vms[0].log)
		})
	}
}
