package tscrash_test

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
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/io/tscrash"
)

// memoryStore is an in-memory store. While it is down every call fails.
type memoryStore struct {
	turmericshed.Store
	mu    sync.Mutex
	items map[string]turmericshed.Item
	down  bool
	// writes counts successful writes, reads successful List calls.
	writes, reads int
}

var errDown = turmericshed.NewError(turmericshed.KindStoreUnavailable, "down")

// Get returns an item, without a version if there is none.
func (m *memoryStore) Get(_ context.Context, key string) (turmericshed.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return turmericshed.Item{}, errDown
	}
	i := m.items[key]
	i.Key = key
	return i, nil
}

// List returns all items with the prefix.
func (m *memoryStore) List(_ context.Context, prefix, _ string, _ int) ([]turmericshed.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, errDown
	}
	m.reads++
	var list []turmericshed.Item
	for k, i := range m.items {
		if strings.HasPrefix(k, prefix) {
			list = append(list, i)
		}
	}
	return list, nil
}

// CompareAndSwap writes an item if its current version is the expected one.
func (m *memoryStore) CompareAndSwap(_ context.Context, w turmericshed.Write) (turmericshed.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return 0, errDown
	}
	if m.items[w.Key].Version != w.ExpectedVersion {
		return 0, turmericshed.WithCurrentItems(turmericshed.NewError(turmericshed.KindConflict, "conflict"), m.items[w.Key])
	}
	m.writes++
	m.items[w.Key] = turmericshed.Item{Key: w.Key, Value: w.Value, Version: w.ExpectedVersion + 1}
	return w.ExpectedVersion + 1, nil
}

// fleet is a set of entry VMs that call each other without a network, and their backend
// servers.
type fleet struct {
	t     *testing.T
	store *memoryStore

	mu  sync.Mutex
	vms []*vm
	// isolated holds the names of the entry VMs that are partitioned from the others and
	// from the servers.
	isolated map[string]bool
	// refusedVMs holds the names of the entry VMs whose connections all servers refuse.
	refusedVMs map[string]bool
	// dialErrors holds the error of connections to a server, by address; nil accepts them.
	dialErrors map[string]error
	calls      int
	probes     int
}

type vm struct {
	f     *fleet
	self  turmericshed.EntryVM
	board *tsboard.Board
	mux   *http.ServeMux
	stop  context.CancelFunc
	*tscrash.Watch
}

// newFleet starts n entry VMs in three failure domains.
func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, store: &memoryStore{items: map[string]turmericshed.Item{}}, isolated: map[string]bool{}, refusedVMs: map[string]bool{}, dialErrors: map[string]error{}}
	for i := range n {
		v := &vm{f: f, self: turmericshed.EntryVM{
			Name: fmt.Sprint("vm-", i), Incarnation: turmericshed.Incarnation(fmt.Sprint("inc-", i)), FailureDomain: turmericshed.FailureDomain("abc"[i%3 : i%3+1]),
			PeerAddr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)),
		}}
		f.vms = append(f.vms, v)
	}
	for _, v := range f.vms {
		v.start(true)
	}
	return f
}

// start runs a new process on the entry VM until the test ends. It stops an earlier one.
func (v *vm) start(isFirstStart bool) {
	if v.stop != nil {
		v.stop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	v.f.t.Cleanup(cancel)
	v.board = &tsboard.Board{}
	v.board.Servers.Write(v.f.servers())
	v.Watch = tscrash.New(tscrash.Config{
		Members: v, Peers: v, Board: v.board, Store: v.f.store, FirstStart: isFirstStart, Dial: v.dial, Log: slog.New(slog.DiscardHandler),
	})
	mux := http.NewServeMux()
	mux.Handle(v.Handler())
	v.f.mu.Lock()
	v.mux = mux
	v.f.mu.Unlock()
	for _, c := range v.Controllers() {
		go func() { _ = c.Serve(ctx) }()
	}
}

func (v *vm) Self() turmericshed.EntryVM { return v.self }

func (v *vm) Reachable() []turmericshed.EntryVM {
	var list []turmericshed.EntryVM
	for _, o := range v.f.vms {
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

// Do delivers a call to another entry VM.
func (v *vm) Do(r *http.Request) (*http.Response, error) {
	v.f.mu.Lock()
	to := v.f.vms[netip.MustParseAddrPort(r.URL.Host).Port()-1]
	isLost := v.f.isolated[v.self.Name] != v.f.isolated[to.self.Name]
	v.f.calls++
	mux := to.mux
	v.f.mu.Unlock()
	if isLost {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	rec := httptest.NewRecorder()
	mux.ServeHTTP(rec, r)
	return rec.Result(), nil
}

// cost is the number of calls between entry VMs, connections to servers, and reads and
// writes of the store.
type cost struct{ calls, probes, reads, writes int }

func (f *fleet) cost() cost {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return cost{f.calls, f.probes, f.store.reads, f.store.writes}
}

// refuse makes a server refuse connections.
func (f *fleet) refuse(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dialErrors[f.servers()[i].Addr.String()] = syscall.ECONNREFUSED
}

// setIsolated partitions the given entry VMs from the others and from the servers, and
// ends any earlier partition.
func (f *fleet) setIsolated(vms ...*vm) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.isolated)
	for _, v := range vms {
		f.isolated[v.self.Name] = true
	}
}

// setDown starts or ends an outage of the store.
func (m *memoryStore) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

func (f *fleet) servers() []turmericshed.BackendServer {
	var list []turmericshed.BackendServer
	for i := range 20 {
		list = append(list, turmericshed.BackendServer{
			ID: turmericshed.ServerID(fmt.Sprint("s-", i)), Started: time.UnixMilli(1),
			FailureDomain: turmericshed.FailureDomain("abc"[i%3 : i%3+1]), Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.2"), uint16(i+1)),
		})
	}
	return list
}

// dialTime is how long a connection attempt takes.
const dialTime = time.Millisecond

// dial opens a connection to a server.
func (v *vm) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	f := v.f
	f.mu.Lock()
	err := f.dialErrors[addr]
	if f.isolated[v.self.Name] || f.refusedVMs[v.self.Name] {
		err = syscall.ECONNREFUSED
	}
	f.probes++
	f.mu.Unlock()
	// Connections that were lost together are all known before a probe has an answer.
	time.Sleep(dialTime)
	if errors.Is(err, syscall.ETIMEDOUT) {
		<-ctx.Done()
	}
	if err != nil {
		return nil, err
	}
	c, other := net.Pipe()
	_ = other.Close()
	return c, nil
}

// lostAttempt returns an attempt to run a request that was sent now.
func lostAttempt(d turmericshed.Digest, parts ...turmericshed.Digest) turmericshed.LostAttempt {
	return turmericshed.LostAttempt{CrashSubject: turmericshed.CrashSubject{Request: d, Parts: parts}, Began: time.Now()}
}

// loseConnections makes entry VMs lose their connections to the given servers while these
// run a request, one second apart and each at another entry VM. Later connections to the
// servers fail with dialErr; nil accepts them.
func (f *fleet) loseConnections(d turmericshed.Digest, dialErr error, servers ...int) {
	for n, i := range servers {
		s := f.servers()[i]
		f.mu.Lock()
		f.dialErrors[s.Addr.String()] = dialErr
		f.mu.Unlock()
		f.vms[n%len(f.vms)].ConnectionLost(s, lostAttempt(d))
		time.Sleep(time.Second)
	}
}

// listRestarted replaces the given servers by new processes in every entry VM's list of
// servers.
func (f *fleet) listRestarted(servers ...int) {
	list := f.servers()
	for _, i := range servers {
		list[i].Started = time.UnixMilli(2)
	}
	for _, v := range f.vms {
		v.board.Servers.Write(list)
	}
	time.Sleep(time.Second)
}

// assertBlocked checks whether Check returns KindQuarantined at each of the entry VMs.
func assertBlocked(t *testing.T, vms []*vm, d turmericshed.Digest, want bool) {
	t.Helper()
	for _, v := range vms {
		kind := turmericshed.KindOf(v.Check(time.Now(), turmericshed.CrashSubject{Request: d}))
		assert.Equal(t, kind == turmericshed.KindQuarantined, want, "%s: %s", v.self.Name, kind)
	}
}
