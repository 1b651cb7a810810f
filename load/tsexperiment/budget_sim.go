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
	storeLatency       = 2 * time.Millisecond
	crossDomainLatency = 1500 * time.Microsecond
	sameDomainLatency  = 250 * time.Microsecond
	// callTimeout is how long a call into a cut takes.
	callTimeout = time.Second
)

// budgetWorld is a fleet of holders over a fake key-value service.
type budgetSim struct {
	simClock
	rand      *rand.Rand
	spec      budgetSpec
	policy    budgetPolicy
	items     map[string]turmericshed.Item
	version   turmericshed.Version
	reads     int
	writes    int
	storeDown bool
	cutDomain int
	nodes     []*budgetNode
	byID      map[turmericshed.Incarnation]*budgetNode
	profiles  []turmericshed.Profile
	actuals   []budgetActuals

	tally budgetTally
}

// budgetTruth is what really happened to one budget.
type budgetActuals struct {
	prepaid turmericshed.Tokens
	// sent is the true cost of all dispatched requests, reserved the worst
	// case of those that run; finished is the cost of the others.
	dispatchedCost    turmericshed.Tokens
	reservedWorstCase turmericshed.Tokens
	finishedCost      turmericshed.Tokens
	burnt             turmericshed.Tokens
	// forgone is the cost of requests that were refused wrongly.
	falselyRefusedCost turmericshed.Tokens
}

// budgetTally counts over a run.
type budgetTally struct {
	requests, refused, falseRefusals int
	overspend                        turmericshed.Tokens
	crashes                          int
	admissionWaits                   []time.Duration
}

func newBudgetSim(seed uint64, spec budgetSpec, policy budgetPolicy) *budgetSim {
	sim := &budgetSim{
		simClock: simClock{now: time.Unix(1_700_000_000, 0)}, rand: rand.New(rand.NewPCG(seed, 1)), spec: spec, policy: policy,
		items: make(map[string]turmericshed.Item), byID: make(map[turmericshed.Incarnation]*budgetNode), cutDomain: -1,
	}
	for i := range spec.budgets {
		p := turmericshed.Profile{
			Name: turmericshed.ProfileName(fmt.Sprintf("p%d", i)), Budget: turmericshed.BudgetID(fmt.Sprintf("b%d", i)),
			Prepaid: spec.prepaid, Edge: policy.edge, CutBridge: turmericshed.Duration(spec.bridge),
		}
		sim.profiles = append(sim.profiles, p)
		sim.actuals = append(sim.actuals, budgetActuals{prepaid: spec.prepaid})
		_, _ = sim.applyNow(p.Budget, tsbudget.Create(p.Budget, p.Name, p.Prepaid))
	}
	sim.writes = 0
	for i := range spec.domains * spec.perDomain {
		sim.nodes = append(sim.nodes, sim.newNode(i))
	}
	return sim
}

// reachable reports whether the domain reaches the platform's service.
func (sim *budgetSim) reachable(domain int) bool { return !sim.storeDown && domain != sim.cutDomain }

// linked reports whether two domains reach each other.
func (sim *budgetSim) connected(a, b int) bool {
	return a == b || (a != sim.cutDomain && b != sim.cutDomain)
}

// change applies a mutation at once, outside of any node.
func (sim *budgetSim) applyNow(id turmericshed.BudgetID, m tsupdate.Mutation) (tsbudget.Ledger, error) {
	item := sim.items[tsbudget.Key(id)]
	value, err := m(item)
	if err == nil && value != nil {
		item = sim.putItem(tsbudget.Key(id), value)
	}
	l, _ := tsbudget.Decode(item)
	return l, err
}

func (sim *budgetSim) putItem(key string, value []byte) turmericshed.Item {
	sim.version++
	sim.writes++
	item := turmericshed.Item{Key: key, Value: value, Version: sim.version}
	sim.items[key] = item
	return item
}

// update runs a change of a ledger for a node, with the service's latency and
// conflicts, and hands on the ledger as last read.
func (sim *budgetSim) update(n *budgetNode, id turmericshed.BudgetID, m tsupdate.Mutation, then func(tsbudget.Ledger, bool, error)) {
	u := tsupdate.New(tsbudget.Key(id), m)
	var step func()
	step = func() {
		if u.Finished() {
			item, err := u.Result()
			l, bad := tsbudget.Decode(item)
			then(l, bad == nil, err)
			return
		}
		sim.after(storeLatency, func() {
			wait := storeLatency
			reply := tsupdate.Reply{Err: turmericshed.NewError(turmericshed.KindStoreUnavailable, "cut off")}
			if sim.reachable(n.domain) {
				reply = sim.serveStep(u.Step())
			} else {
				wait = callTimeout
			}
			sim.after(wait, func() {
				if n.isDead {
					return
				}
				u.Handle(reply)
				step()
			})
		})
	}
	step()
}

func (sim *budgetSim) serveStep(s tsupdate.Step) tsupdate.Reply {
	if s.Read {
		sim.reads++
		return tsupdate.Reply{Item: sim.items[s.Key]}
	}
	if sim.items[s.Key].Version != s.Write.Want {
		sim.writes++
		return tsupdate.Reply{Err: turmericshed.NewError(turmericshed.KindConflict, "version")}
	}
	return tsupdate.Reply{Version: sim.putItem(s.Key, s.Write.Value).Version}
}

// call performs a peer's answer with the network's latency; a peer that is
// dead or cut off gives none.
func (sim *budgetSim) callPeer(from, to *budgetNode, answer func(reply func(func())), lost func()) {
	latency := crossDomainLatency
	if from.domain == to.domain {
		latency = sameDomainLatency
	}
	sim.after(latency, func() {
		if to.isDead || !sim.connected(from.domain, to.domain) {
			sim.after(callTimeout, func() {
				if !from.isDead {
					lost()
				}
			})
			return
		}
		answer(func(then func()) {
			sim.after(latency, func() {
				if !from.isDead {
					then()
				}
			})
		})
	})
}

// crash ends a node and starts its replacement. What it held is closed by
// garbage collection: all of it counts as spent, but for what a witness saves.
func (sim *budgetSim) crash(i int) {
	n := sim.nodes[i]
	n.isDead = true
	sim.tally.crashes++
	for b, p := range sim.profiles {
		l, _ := tsbudget.Decode(sim.items[tsbudget.Key(p.Budget)])
		var ids []turmericshed.LotID
		for _, lot := range l.Lots {
			if lot.Holder == n.id {
				ids = append(ids, lot.ID)
			}
		}
		sim.closeLots(n, b, ids)
	}
	for r := range n.running {
		// The backend server finished what ran; nobody was left to bill it.
		sim.finish(r)
	}
	sim.nodes[i] = sim.newNode(i)
}

// closeLots closes the lots of a crashed node.
func (sim *budgetSim) closeLots(n *budgetNode, b int, ids []turmericshed.LotID) {
	s := n.budgets[b]
	if len(ids) == 0 && s == nil {
		return
	}
	id := sim.profiles[b].Budget
	lost := n.unspent(b)
	if sim.policy.witnessGap > 0 {
		gap := turmericshed.Tokens(n.holder.View(sim.now, id).Rate * sim.policy.witnessGap.Seconds())
		n.holder.Retire(id, gap)
		lost = n.unspent(b)
	}
	sim.actuals[b].burnt += lost
	_, _ = sim.applyNow(id, tsbudget.Close(ids...))
	if sim.policy.witnessGap > 0 {
		_, _ = sim.applyNow(id, tsbudget.Settle(n.holder.Reports(id, false)...))
	}
	if s != nil {
		sim.dropWaiting(s)
	}
}

// refuseAll drops the requests that waited at a crashed node; their callers
// come back elsewhere and are not counted here.
func (sim *budgetSim) dropWaiting(s *budgetState) {
	sim.tally.requests -= s.queue.Len()
}

// finish moves a request from running to finished.
func (sim *budgetSim) finish(r *budgetRequest) {
	t := &sim.actuals[r.budget]
	t.reservedWorstCase -= r.worstCase
	t.finishedCost += r.cost
}

// dispatch counts a request as sent and checks the promise.
func (sim *budgetSim) dispatch(r *budgetRequest) {
	t := &sim.actuals[r.budget]
	t.dispatchedCost += r.cost
	t.reservedWorstCase += r.worstCase
	sim.tally.overspend = max(sim.tally.overspend, t.dispatchedCost-t.prepaid)
	sim.tally.admissionWaits = append(sim.tally.admissionWaits, sim.now.Sub(r.arrivedAt))
}

// refuse counts a refusal. It is false when a single ledger without latency
// and cuts could have reserved the amount now; that ledger would then have
// spent the request's cost, so the same tokens are missed once only.
func (sim *budgetSim) refuse(r *budgetRequest) {
	t := &sim.actuals[r.budget]
	sim.tally.refused++
	if t.prepaid-t.finishedCost-t.reservedWorstCase-t.burnt-t.falselyRefusedCost >= r.worstCase {
		sim.tally.falseRefusals++
		t.falselyRefusedCost += r.cost
	}
}

// topUp raises a budget on the side of the platform's service.
func (sim *budgetSim) topUp(b int, n turmericshed.Tokens) {
	sim.profiles[b].Prepaid += n
	sim.actuals[b].prepaid += n
	key := tsbudget.Key(sim.profiles[b].Budget)
	l, _ := tsbudget.Decode(sim.items[key])
	l.Prepaid += n
	value, err := json.Marshal(l)
	turmericshed.Assert(err == nil, "ledger_encodes", "%v", err)
	sim.putItem(key, value)
	sim.topUpFixedSplit(b, n)
}

// drain ends every lot and returns what was charged but never used.
func (sim *budgetSim) drain() turmericshed.Tokens {
	for range 2 {
		for _, n := range sim.nodes {
			n.drain()
		}
	}
	var burnt turmericshed.Tokens
	for b, p := range sim.profiles {
		l, _ := tsbudget.Decode(sim.items[tsbudget.Key(p.Budget)])
		burnt += l.Spent + l.Open() - sim.actuals[b].finishedCost - sim.actuals[b].reservedWorstCase
	}
	return burnt
}

// charge counts tokens as spent before the run.
func (sim *budgetSim) chargeInitial(b int, n turmericshed.Tokens) {
	key := tsbudget.Key(sim.profiles[b].Budget)
	l, _ := tsbudget.Decode(sim.items[key])
	l.Spent, l.Billed = n, n
	value, err := json.Marshal(l)
	turmericshed.Assert(err == nil, "ledger_encodes", "%v", err)
	sim.putItem(key, value)
	t := &sim.actuals[b]
	t.dispatchedCost, t.finishedCost = n, n
}
