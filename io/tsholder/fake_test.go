package tsholder_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/io/tsholder"
	"turmericshed/standin/tsplatform"
)

const budgetID turmericshed.BudgetID = "budget-1"

// world is a fleet of holders that share one store, in one synctest bubble. It simulates partitions
// between failure domains and lost answers of peers.
type world struct {
	t     *testing.T
	ctx   context.Context
	store *tsplatform.Store

	mu            sync.Mutex
	nodes         map[netip.AddrPort]*node
	partitioned   map[[2]turmericshed.FailureDomain]bool
	answersToLose int
	states        map[turmericshed.Incarnation]turmericshed.MemberState
	profile       turmericshed.Profile
}

// node is one entry VM.
type node struct {
	*tsholder.Holder
	w    *world
	vm   turmericshed.EntryVM
	mux  *http.ServeMux
	stop context.CancelFunc
}

func newWorld(t *testing.T, prepaid turmericshed.Tokens, edge turmericshed.EdgePreference) *world {
	t.Helper()
	w := &world{
		t: t, ctx: t.Context(), store: tsplatform.NewStore(tsplatform.Options{}), nodes: map[netip.AddrPort]*node{},
		partitioned: map[[2]turmericshed.FailureDomain]bool{}, states: map[turmericshed.Incarnation]turmericshed.MemberState{},
	}
	var err error
	w.profile, err = tsholder.PutProfile(w.ctx, w.store, turmericshed.Profile{Name: "p", Budget: budgetID, Prepaid: prepaid, Edge: edge}, 0)
	assert.NilError(t, err)
	return w
}

// add starts an entry VM. Its number determines its address.
func (w *world) add(number int, incarnation string, domain turmericshed.FailureDomain) *node {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 1)
	n := &node{w: w, mux: http.NewServeMux(), vm: turmericshed.EntryVM{
		Name: incarnation, Incarnation: turmericshed.Incarnation(incarnation), FailureDomain: domain, PeerAddr: addr,
	}}
	ids := 0
	n.Holder = tsholder.New(tsholder.Config{
		Self: n.vm, Store: w.store.As(incarnation), Members: members{n}, Peers: peers{n},
		NewID: func(prefix string) string { ids++; return fmt.Sprintf("%s%s-%d", prefix, incarnation, ids) },
	})
	n.mux.Handle(n.Handler())
	w.mu.Lock()
	w.nodes[addr] = n
	w.states[n.vm.Incarnation] = turmericshed.MemberAlive
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(w.ctx)
	n.stop = cancel
	for _, c := range n.Controllers() {
		go func() { _ = c.Serve(ctx) }()
	}
	return n
}

// crash stops the loops of a node for good and marks it as gone.
func (n *node) crash() {
	n.stop()
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	delete(n.w.nodes, n.vm.PeerAddr)
	n.w.states[n.vm.Incarnation] = turmericshed.MemberGone
}

func (w *world) partitionDomains(a, b turmericshed.FailureDomain, isPartitioned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned[[2]turmericshed.FailureDomain{a, b}], w.partitioned[[2]turmericshed.FailureDomain{b, a}] = isPartitioned, isPartitioned
}

func (w *world) ledger() tsbudget.Ledger {
	w.t.Helper()
	l, err := tsholder.ReadLedger(w.ctx, w.store, budgetID)
	assert.NilError(w.t, err)
	assert.Assert(w.t, l.Spent+l.OpenCharge() <= l.Prepaid, "spent %d open %d prepaid %d", l.Spent, l.OpenCharge(), l.Prepaid)
	return l
}

// reserve requests tokens from n, waiting at most limit.
func (n *node) reserve(amount turmericshed.Tokens, limit time.Duration) (turmericshed.Reservation, error) {
	ctx, cancel := context.WithTimeout(n.w.ctx, limit)
	defer cancel()
	return n.Reserve(ctx, n.w.profile, "r", amount)
}

func (n *node) mustReserve(amount turmericshed.Tokens) turmericshed.Reservation {
	n.w.t.Helper()
	res, err := n.reserve(amount, 10*time.Second)
	assert.NilError(n.w.t, err)
	return res
}

func (n *node) drain() error {
	ctx, cancel := context.WithTimeout(n.w.ctx, time.Minute)
	defer cancel()
	return n.Drain(ctx)
}

func assertKind(t *testing.T, err error, want turmericshed.Kind) {
	t.Helper()
	assert.Equal(t, turmericshed.KindOf(err), want, "%v", err)
}

// members is the membership as one node sees it: the actual state of the fleet, without the nodes
// behind a partition.
type members struct{ n *node }

func (m members) Self() turmericshed.EntryVM { return m.n.vm }

func (m members) Reachable() []turmericshed.EntryVM {
	m.n.w.mu.Lock()
	defer m.n.w.mu.Unlock()
	var list []turmericshed.EntryVM
	for _, n := range m.n.w.nodes {
		if n != m.n && m.n.w.states[n.vm.Incarnation] == turmericshed.MemberAlive && !m.n.w.partitionedLocked(n, m.n) {
			list = append(list, n.vm)
		}
	}
	return list
}

func (m members) State(in turmericshed.Incarnation) turmericshed.MemberState {
	m.n.w.mu.Lock()
	defer m.n.w.mu.Unlock()
	return m.n.w.states[in]
}

func (w *world) partitionedLocked(a, b *node) bool {
	return w.partitioned[[2]turmericshed.FailureDomain{a.vm.FailureDomain, b.vm.FailureDomain}]
}

// peers carries calls between nodes without sockets.
type peers struct{ n *node }

func (p peers) Client(addr netip.AddrPort) (connect.HTTPClient, string) {
	return p, "http://" + addr.String()
}

func (p peers) Do(r *http.Request) (*http.Response, error) {
	w := p.n.w
	w.mu.Lock()
	to := w.nodes[netip.MustParseAddrPort(r.URL.Host)]
	loseAnswer := to != nil && w.answersToLose > 0
	if loseAnswer {
		w.answersToLose--
	}
	unreachable := to == nil || w.partitionedLocked(p.n, to)
	w.mu.Unlock()
	if unreachable {
		return nil, errors.New("no route")
	}
	rec := httptest.NewRecorder()
	to.mux.ServeHTTP(rec, r)
	if loseAnswer {
		return nil, errors.New("answer lost")
	}
	return rec.Result(), nil
}

// inBubble runs f with fake time.
func inBubble(t *testing.T, name string, f func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}
