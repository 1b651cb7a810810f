package tsnews_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsfreshness"
	"turmericshed/io/tsmirror"
	"turmericshed/io/tsnews"
	"turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

// domain is the entry VMs of one failure domain over one store. The first one
// has the most capacity, so that the others follow it.
type domain struct {
	t     *testing.T
	store *tsmetastore.Store
	url   netip.AddrPort

	bounds tsfreshness.Bounds

	mu  sync.Mutex
	vms []*vm
}

type vm struct {
	d    *domain
	self turmericshed.EntryVM
	news *tsnews.Source
	mux  *http.ServeMux
	view view
	m    *tsmirror.Mirror
	// frozen entry VMs answer nobody; noStore ones don't reach the store.
	frozen  bool
	noStore bool
	conns   []net.Conn
}

// view tells what it hears in words.
type view chan string

func (v view) Reset(items []turmericshed.Item) {
	v <- fmt.Sprint("reset ", len(items))
	for _, i := range items {
		v <- i.Key + "=" + string(i.Value)
	}
}

func (v view) Change(ev turmericshed.WatchEvent) { v <- ev.Key + "=" + string(ev.Value) }

func (v view) Lost(error) { v <- "lost" }

func (v *vm) Self() turmericshed.EntryVM { return v.self }

func (v *vm) Reachable() []turmericshed.EntryVM {
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	var list []turmericshed.EntryVM
	for _, o := range v.d.vms {
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

// Do carries a call to another entry VM.
func (v *vm) Do(r *http.Request) (*http.Response, error) {
	v.d.mu.Lock()
	to := v.d.vms[netip.MustParseAddrPort(r.URL.Host).Port()-1]
	frozen := to.frozen
	v.d.mu.Unlock()
	if frozen {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	rec := httptest.NewRecorder()
	to.mux.ServeHTTP(rec, r)
	return rec.Result(), nil
}

// dial opens a connection to the store.
func (v *vm) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	v.d.mu.Lock()
	cut := v.noStore
	v.d.mu.Unlock()
	if cut {
		return nil, errors.New("cut")
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	v.d.set(func() { v.conns = append(v.conns, c) })
	return c, err
}

// cutStore cuts the entry VM off from the store.
func (v *vm) cutStore() {
	v.d.set(func() {
		v.noStore = true
		for _, c := range v.conns {
			_ = c.Close()
		}
	})
}

func newDomain(t *testing.T, n int) *domain {
	t.Helper()
	return newDomainWith(t, n, 2*time.Second)
}

// newDomainWith makes one whose changes take effect within a span.
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
		v := &vm{d: d, mux: http.NewServeMux(), view: make(view, 256), self: turmericshed.EntryVM{
			Name: fmt.Sprint("vm-", i+1), Incarnation: turmericshed.Incarnation(fmt.Sprint("in-", i+1)), FailureDomain: "east",
			PeerAddr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)), Capacity: float64(n - i),
		}}
		store := platform.NewStore(d.url, platform.StoreOptions{Dial: v.dial})
		fresh := tsfreshness.New(d.bounds)
		v.news = tsnews.New(tsnews.Config{
			Members: v, Store: store, Peers: v, Freshness: fresh, Facts: map[string]tsfreshness.Fact{"p/": tsfreshness.Servers},
			Log: slog.New(slog.DiscardHandler),
		})
		v.mux.Handle(v.news.Handler())
		v.m = tsmirror.New(tsmirror.Config{
			Store: v.news, Prefix: "p/", View: v.view, Confirmed: func(asOf time.Time) { fresh.Confirm(tsfreshness.Servers, asOf) },
			Log: slog.New(slog.DiscardHandler),
		})
		d.vms = append(d.vms, v)
	}
	for _, v := range d.vms {
		go func() { _ = v.m.Serve(t.Context()) }()
		v.assertHears("reset 1", 5*time.Second)
	}
	return d
}

// assertHears waits for a word and passes over others.
func (v *vm) assertHears(want string, within time.Duration) {
	v.d.t.Helper()
	due := time.After(within)
	for {
		select {
		case got := <-v.view:
			if got == want {
				return
			}
		case <-due:
			v.d.t.Fatalf("%s did not hear %q within %s", v.self.Name, want, within)
		}
	}
}

func (d *domain) set(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

func TestSource(t *testing.T) {
	t.Run("all hear a change, and one watches", func(t *testing.T) {
		d := newDomain(t, 6)
		time.Sleep(3 * time.Second)
		before := d.store.Calls("/kv-watch")
		for n := range 5 {
			d.store.Put("p/a", []byte(fmt.Sprint(n)))
			for _, v := range d.vms {
				v.assertHears(fmt.Sprint("p/a=", n), time.Second)
			}
		}
		calls := d.store.Calls("/kv-watch") - before
		assert.Assert(t, calls <= 8, "%d watches", calls)
		for _, v := range d.vms {
			assert.Assert(t, v.m.Age(time.Now()) < 2*time.Second, "%s is %s old", v.self.Name, v.m.Age(time.Now()))
		}
	})
	t.Run("one that freezes is left in time", func(t *testing.T) {
		d := newDomain(t, 4)
		d.vms[0].cutStore()
		d.set(func() { d.vms[0].frozen = true })
		d.store.Put("p/a", []byte("new"))
		for _, v := range d.vms[1:] {
			v.assertHears("p/a=new", 2*time.Second)
		}
		d.store.Put("p/a", []byte("newer"))
		for _, v := range d.vms[1:] {
			v.assertHears("p/a=newer", 2*time.Second)
		}
	})
	t.Run("so is one that the store does not answer", func(t *testing.T) {
		d := newDomain(t, 4)
		d.vms[0].cutStore()
		d.store.Put("p/a", []byte("new"))
		for _, v := range d.vms[1:] {
			v.assertHears("p/a=new", 3*time.Second)
		}
	})
	t.Run("the next one takes over the watch", func(t *testing.T) {
		d := newDomainWith(t, 5, 6*time.Second)
		d.vms[0].cutStore()
		d.set(func() { d.vms[0].frozen = true })
		time.Sleep(9 * time.Second)
		before := d.store.Calls("/kv-watch")
		time.Sleep(5 * time.Second)
		calls := d.store.Calls("/kv-watch") - before
		assert.Assert(t, calls <= 6, "%d watches in 5 s", calls)
		d.store.Put("p/a", []byte("new"))
		for _, v := range d.vms[1:] {
			v.assertHears("p/a=new", 2*time.Second)
		}
	})
	t.Run("while the store is away everybody knows how old the news is", func(t *testing.T) {
		d := newDomain(t, 3)
		d.store.SetDown(true)
		time.Sleep(4 * time.Second)
		for _, v := range d.vms {
			assert.Assert(t, v.m.Age(time.Now()) > 2*time.Second, "%s believes that its news is %s old", v.self.Name, v.m.Age(time.Now()))
		}
		d.store.SetDown(false)
		d.store.Put("p/b", []byte("x"))
		for _, v := range d.vms {
			v.assertHears("p/b=x", 5*time.Second)
		}
	})
}
