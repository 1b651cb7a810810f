package tsversion_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/io/tsversion"
	"turmericshed/standin/tsplatform"
)

const pool = "pool"

// fleet is the entry VMs of a service that share a store. A VM reaches the store and other VMs unless it is cut
// off from them.
type fleet struct {
	t     *testing.T
	store *tsplatform.Store

	mu  sync.Mutex
	vms []*vm
	// isStoreDown is true while the store answers nobody.
	isStoreDown bool
}

// vm is one entry VM.
type vm struct {
	*tsversion.Versions
	fleet *fleet
	self  turmericshed.EntryVM
	board *tsboard.Board
	mux   *http.ServeMux
	// side is the side of a partition that the VM is on; the store is on side 0. hasStore is false if the
	// VM is cut off from the store alone.
	side     int
	hasStore bool
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: tsplatform.NewStore(tsplatform.Options{})}
	for i := range n {
		v := &vm{fleet: f, board: &tsboard.Board{}, mux: http.NewServeMux(), hasStore: true, self: turmericshed.EntryVM{
			Name: fmt.Sprint("vm-", i), Incarnation: turmericshed.Incarnation(fmt.Sprint("in-", i)),
			PeerAddr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)),
		}}
		f.vms = append(f.vms, v)
	}
	for _, v := range f.vms {
		v.Versions = tsversion.New(tsversion.Config{
			Board: v.board, Members: v, Peers: v, Store: cutStore{f.store, v}, Retention: func() time.Duration { return time.Minute },
			Log: slog.New(slog.DiscardHandler),
		})
		v.mux.Handle(v.Handler())
		for _, c := range v.Controllers() {
			go func() { _ = c.Serve(t.Context()) }()
		}
	}
	return f
}

func (v *vm) Self() turmericshed.EntryVM { return v.self }

func (v *vm) Reachable() (list []turmericshed.EntryVM) {
	for _, o := range v.fleet.vms {
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

// Do sends a call to another entry VM; across a partition it gets no answer.
func (v *vm) Do(r *http.Request) (*http.Response, error) {
	to := v.fleet.vms[netip.MustParseAddrPort(r.URL.Host).Port()-1]
	if v.side != to.side {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	rec := httptest.NewRecorder()
	to.mux.ServeHTTP(rec, r)
	return rec.Result(), nil
}

// cutStore is the store as one entry VM reaches it.
type cutStore struct {
	turmericshed.Store
	v *vm
}

func (s cutStore) Get(ctx context.Context, key string) (turmericshed.Item, error) {
	if err := s.await(ctx); err != nil {
		return turmericshed.Item{Key: key}, err
	}
	return s.Store.Get(ctx, key)
}

func (s cutStore) List(ctx context.Context, prefix, after string, limit int) ([]turmericshed.Item, error) {
	if err := s.await(ctx); err != nil {
		return nil, err
	}
	return s.Store.List(ctx, prefix, after, limit)
}

func (s cutStore) CompareAndSwap(ctx context.Context, w turmericshed.Write) (turmericshed.Version, error) {
	if err := s.await(ctx); err != nil {
		return 0, err
	}
	return s.Store.CompareAndSwap(ctx, w)
}

// await waits until ctx ends if the store does not answer the entry VM.
func (s cutStore) await(ctx context.Context) error {
	s.v.fleet.mu.Lock()
	isReachable := s.v.hasStore && s.v.side == 0 && !s.v.fleet.isStoreDown
	s.v.fleet.mu.Unlock()
	if isReachable {
		return nil
	}
	<-ctx.Done()
	return turmericshed.WrapError(turmericshed.KindStoreUnavailable, ctx.Err(), "cut off")
}

// list lists servers of the versions at the given entry VMs, and waits until streams may begin at all versions.
func (f *fleet) list(vms []*vm, versions ...turmericshed.SoftwareVersion) {
	f.t.Helper()
	var servers []turmericshed.BackendServer
	for _, s := range versions {
		servers = append(servers, turmericshed.BackendServer{ID: turmericshed.ServerID(s), Service: pool, Software: s})
	}
	for _, v := range vms {
		v.board.Servers.Write(servers)
	}
	for _, v := range vms {
		for began := time.Now(); len(v.Usable(pool)) < len(versions); time.Sleep(5 * time.Millisecond) {
			assert.Assert(f.t, time.Since(began) < 10*time.Second, "%s: streams begin at %v", v.self.Name, v.Usable(pool))
		}
	}
}

// setCut changes who reaches whom.
func (f *fleet) setCut(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (v *vm) find(id turmericshed.RequestID) (turmericshed.StreamBeginning, error) {
	ctx, cancel := context.WithTimeout(v.fleet.t.Context(), 5*time.Second)
	defer cancel()
	return v.Find(ctx, pool, id)
}

// assertGoesOn checks that the stream goes on at the version, or nowhere if that is empty.
func assertGoesOn(t *testing.T, v *vm, id turmericshed.RequestID, want turmericshed.SoftwareVersion) {
	t.Helper()
	got, err := v.find(id)
	if want == "" {
		assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindNoBackend, "%s goes on at %q", id, got.Software)
		return
	}
	assert.NilError(t, err)
	assert.Equal(t, got.Software, want)
}

// Guards against a stream that goes on at another version because entry VMs that are cut off together agree on
// what they knew before a release.
func TestVersionsWithoutTheStore(t *testing.T) {
	cutThree := func(f *fleet) {
		f.setCut(func() {
			for _, v := range f.vms[:3] {
				v.side = 1
			}
		})
	}
	t.Run("three cut off during a release", func(t *testing.T) {
		f := newFleet(t, 6)
		f.list(f.vms, "v1")
		cutThree(f)
		f.list(f.vms[3:], "v1", "v2")
		f.vms[5].Began(turmericshed.StreamBeginning{Request: "a", Service: pool, Software: "v2", Until: time.Now().Add(time.Minute)}, false)
		for _, v := range f.vms[:3] {
			assertGoesOn(t, v, "a", "")
		}
		f.setCut(func() { f.vms[0].side = 0 })
		time.Sleep(300 * time.Millisecond)
		assertGoesOn(t, f.vms[0], "a", "v2")
	})
	t.Run("one cut off", func(t *testing.T) {
		f := newFleet(t, 6)
		f.list(f.vms, "v1")
		f.setCut(func() { f.vms[0].side = 1 })
		assertGoesOn(t, f.vms[0], "a", "")
	})
	t.Run("one cut off from the store alone during a release", func(t *testing.T) {
		f := newFleet(t, 6)
		f.list(f.vms, "v1")
		f.setCut(func() { f.vms[0].hasStore = false })
		f.list(f.vms[5:], "v1", "v2")
		assertGoesOn(t, f.vms[0], "unknown", "")
	})
	t.Run("one cut off from the store alone", func(t *testing.T) {
		f := newFleet(t, 6)
		f.list(f.vms, "v1")
		f.setCut(func() { f.vms[0].hasStore = false })
		assertGoesOn(t, f.vms[0], "a", "v1")
	})
	t.Run("a store that answers nobody", func(t *testing.T) {
		f := newFleet(t, 6)
		f.list(f.vms, "v1")
		f.setCut(func() { f.isStoreDown = true })
		assertGoesOn(t, f.vms[0], "a", "v1")
		f.setCut(func() { f.vms[4].side = 1 })
		assertGoesOn(t, f.vms[0], "a", "")
	})
	t.Run("a store that answers nobody after a release", func(t *testing.T) {
		f := newFleet(t, 6)
		f.list(f.vms, "v1")
		f.list(f.vms[5:], "v1", "v2")
		f.setCut(func() { f.isStoreDown = true })
		assertGoesOn(t, f.vms[0], "unknown", "")
	})
	t.Run("many streams at once", func(t *testing.T) {
		f := newFleet(t, 6)
		f.list(f.vms, "v1")
		f.setCut(func() { f.isStoreDown = true })
		var finds sync.WaitGroup
		began := time.Now()
		for i := range 50 {
			finds.Go(func() { assertGoesOn(t, f.vms[0], turmericshed.RequestID(fmt.Sprint("a", i)), "v1") })
		}
		finds.Wait()
		assert.Assert(t, time.Since(began) < 2*time.Second, "took %s", time.Since(began))
	})
}
