package tsexperiment

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
)

const (
	// storeLatency is one way to the platform's service, peerLatency between
	// failure domains, nearLatency inside one.
	storeLatency = 2 * time.Millisecond
	peerLatency  = 1500 * time.Microsecond
	nearLatency  = 250 * time.Microsecond
	// callTimeout is how long a call into a cut takes.
	callTimeout = time.Second
)

// budgetWorld is a fleet of holders over a fake key-value service.
type budgetWorld struct {
	simClock
	rand      *rand.Rand
	spec      budgetSpec
	policy    budgetPolicy
	items     map[string]turmericshed.Item
	version   turmericshed.Version
	reads     int
	writes    int
	outage    bool
	cutDomain int
	nodes     []*budgetNode
	byID      map[turmericshed.Incarnation]*budgetNode
	profiles  []turmericshed.Profile
	truth     []budgetTruth

	result budgetTally
}

// budgetTruth is what really happened to one budget.
type budgetTruth struct {
	prepaid turmericshed.Tokens
	// sent is the true cost of all dispatched requests, reserved the worst
	// case of those that run; finished is the cost of the others.
	sent     turmericshed.Tokens
	reserved turmericshed.Tokens
	finished turmericshed.Tokens
	burnt    turmericshed.Tokens
	// forgone is the cost of requests that were refused wrongly.
	forgone turmericshed.Tokens
}

// budgetTally counts over a run.
type budgetTally struct {
	requests, refused, falseRefusals int
	overspend                        turmericshed.Tokens
	crashes                          int
	waits                            []time.Duration
}

func newBudgetWorld(seed uint64, spec budgetSpec, policy budgetPolicy) *budgetWorld {
	w := &budgetWorld{
		simClock: simClock{now: time.Unix(1_700_000_000, 0)}, rand: rand.New(rand.NewPCG(seed, 1)), spec: spec, policy: policy,
		items: make(map[string]turmericshed.Item), byID: make(map[turmericshed.Incarnation]*budgetNode), cutDomain: -1,
	}
	for i := range spec.budgets {
		p := turmericshed.Profile{
			Name: turmericshed.ProfileName(fmt.Sprintf("p%d", i)), Budget: turmericshed.BudgetID(fmt.Sprintf("b%d", i)),
			Prepaid: spec.prepaid, Edge: policy.edge, CutBridge: turmericshed.Duration(spec.bridge),
		}
		w.profiles = append(w.profiles, p)
		w.truth = append(w.truth, budgetTruth{prepaid: spec.prepaid})
		_, _ = w.change(p.Budget, tsbudget.Create(p.Budget, p.Name, p.Prepaid))
	}
	w.writes = 0
	for i := range spec.domains * spec.perDomain {
		w.nodes = append(w.nodes, w.newNode(i))
	}
	return w
}

// reachable reports whether the domain reaches the platform's service.
func (w *budgetWorld) reachable(domain int) bool { return !w.outage && domain != w.cutDomain }

// linked reports whether two domains reach each other.
func (w *budgetWorld) linked(a, b int) bool {
	return a == b || (a != w.cutDomain && b != w.cutDomain)
}

// change applies a mutation at once, outside of any node.
func (w *budgetWorld) change(id turmericshed.BudgetID, m tsupdate.Mutation) (tsbudget.Ledger, error) {
	item := w.items[tsbudget.Key(id)]
	value, err := m(item)
	if err == nil && value != nil {
		item = w.put(tsbudget.Key(id), value)
	}
	l, _ := tsbudget.Decode(item)
	return l, err
}

func (w *budgetWorld) put(key string, value []byte) turmericshed.Item {
	w.version++
	w.writes++
	item := turmericshed.Item{Key: key, Value: value, Version: w.version}
	w.items[key] = item
	return item
}

// update runs a change of a ledger for a node, with the service's latency and
// conflicts, and hands on the ledger as last read.
func (w *budgetWorld) update(n *budgetNode, id turmericshed.BudgetID, m tsupdate.Mutation, then func(tsbudget.Ledger, bool, error)) {
	u := tsupdate.New(tsbudget.Key(id), m)
	var step func()
	step = func() {
		if u.Finished() {
			item, err := u.Result()
			l, bad := tsbudget.Decode(item)
			then(l, bad == nil, err)
			return
		}
		w.after(storeLatency, func() {
			wait := storeLatency
			reply := tsupdate.Reply{Err: turmericshed.NewError(turmericshed.KindStoreUnavailable, "cut off")}
			if w.reachable(n.domain) {
				reply = w.serve(u.Step())
			} else {
				wait = callTimeout
			}
			w.after(wait, func() {
				if n.dead {
					return
				}
				u.Handle(reply)
				step()
			})
		})
	}
	step()
}

func (w *budgetWorld) serve(s tsupdate.Step) tsupdate.Reply {
	if s.Read {
		w.reads++
		return tsupdate.Reply{Item: w.items[s.Key]}
	}
	if w.items[s.Key].Version != s.Write.Want {
		w.writes++
		return tsupdate.Reply{Err: turmericshed.NewError(turmericshed.KindConflict, "version")}
	}
	return tsupdate.Reply{Version: w.put(s.Key, s.Write.Value).Version}
}

// call performs a peer's answer with the network's latency; a peer that is
// dead or cut off gives none.
func (w *budgetWorld) call(from, to *budgetNode, answer func(reply func(func())), lost func()) {
	latency := peerLatency
	if from.domain == to.domain {
		latency = nearLatency
	}
	w.after(latency, func() {
		if to.dead || !w.linked(from.domain, to.domain) {
			w.after(callTimeout, func() {
				if !from.dead {
					lost()
				}
			})
			return
		}
		answer(func(then func()) {
			w.after(latency, func() {
				if !from.dead {
					then()
				}
			})
		})
	})
}

// crash ends a node and starts its replacement. What it held is closed by
// garbage collection: all of it counts as spent, but for what a witness saves.
func (w *budgetWorld) crash(i int) {
	n := w.nodes[i]
	n.dead = true
	w.result.crashes++
	for b, p := range w.profiles {
		l, _ := tsbudget.Decode(w.items[tsbudget.Key(p.Budget)])
		var ids []turmericshed.LotID
		for _, lot := range l.Lots {
			if lot.Holder == n.id {
				ids = append(ids, lot.ID)
			}
		}
		w.closeLots(n, b, ids)
	}
	for r := range n.running {
		// The backend server finished what ran; nobody was left to bill it.
		w.finish(r)
	}
	w.nodes[i] = w.newNode(i)
}

// closeLots closes the lots of a crashed node.
func (w *budgetWorld) closeLots(n *budgetNode, b int, ids []turmericshed.LotID) {
	s := n.budgets[b]
	if len(ids) == 0 && s == nil {
		return
	}
	id := w.profiles[b].Budget
	lost := n.unspent(b)
	if w.policy.witnessGap > 0 {
		gap := turmericshed.Tokens(n.core.View(w.now, id).Rate * w.policy.witnessGap.Seconds())
		n.core.Retire(id, gap)
		lost = n.unspent(b)
	}
	w.truth[b].burnt += lost
	_, _ = w.change(id, tsbudget.Close(ids...))
	if w.policy.witnessGap > 0 {
		_, _ = w.change(id, tsbudget.Settle(n.core.Reports(id, false)...))
	}
	if s != nil {
		w.refuseAll(s)
	}
}

// refuseAll drops the requests that waited at a crashed node; their callers
// come back elsewhere and are not counted here.
func (w *budgetWorld) refuseAll(s *budgetState) {
	w.result.requests -= s.queue.Len()
}

// finish moves a request from running to finished.
func (w *budgetWorld) finish(r *budgetRequest) {
	t := &w.truth[r.budget]
	t.reserved -= r.worst
	t.finished += r.used
}

// dispatch counts a request as sent and checks the promise.
func (w *budgetWorld) dispatch(r *budgetRequest) {
	t := &w.truth[r.budget]
	t.sent += r.used
	t.reserved += r.worst
	w.result.overspend = max(w.result.overspend, t.sent-t.prepaid)
	w.result.waits = append(w.result.waits, w.now.Sub(r.at))
}

// refuse counts a refusal. It is false when a single ledger without latency
// and cuts could have reserved the amount now; that ledger would then have
// spent the request's cost, so the same tokens are missed once only.
func (w *budgetWorld) refuse(r *budgetRequest) {
	t := &w.truth[r.budget]
	w.result.refused++
	if t.prepaid-t.finished-t.reserved-t.burnt-t.forgone >= r.worst {
		w.result.falseRefusals++
		t.forgone += r.used
	}
}

// topUp raises a budget on the side of the platform's service.
func (w *budgetWorld) topUp(b int, n turmericshed.Tokens) {
	w.profiles[b].Prepaid += n
	w.truth[b].prepaid += n
	key := tsbudget.Key(w.profiles[b].Budget)
	l, _ := tsbudget.Decode(w.items[key])
	l.Prepaid += n
	value, err := json.Marshal(l)
	turmericshed.Assert(err == nil, "ledger_encodes", "%v", err)
	w.put(key, value)
	w.fixedTopUp(b, n)
}

// drain ends every lot and returns what was charged but never used.
func (w *budgetWorld) drain() turmericshed.Tokens {
	for range 2 {
		for _, n := range w.nodes {
			n.drain()
		}
	}
	var burnt turmericshed.Tokens
	for b, p := range w.profiles {
		l, _ := tsbudget.Decode(w.items[tsbudget.Key(p.Budget)])
		burnt += l.Spent + l.Open() - w.truth[b].finished - w.truth[b].reserved
	}
	return burnt
}

// charge counts tokens as spent before the run.
func (w *budgetWorld) charge(b int, n turmericshed.Tokens) {
	key := tsbudget.Key(w.profiles[b].Budget)
	l, _ := tsbudget.Decode(w.items[key])
	l.Spent, l.Billed = n, n
	value, err := json.Marshal(l)
	turmericshed.Assert(err == nil, "ledger_encodes", "%v", err)
	w.put(key, value)
	t := &w.truth[b]
	t.sent, t.finished = n, n
}
