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
	// One-way latencies: storeLatency to the key-value service, crossDomainLatency between failure
	// domains and sameDomainLatency within one.
	storeLatency       = 2 * time.Millisecond
	crossDomainLatency = 1500 * time.Microsecond
	sameDomainLatency  = 250 * time.Microsecond
	// callTimeout is how long a call across a network cut takes to fail.
	callTimeout = time.Second
)

// budgetSim simulates a fleet of holders over a fake key-value service.
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

// budgetActuals is the actual state of one budget, independent of the ledger.
type budgetActuals struct {
	prepaid turmericshed.Tokens
	// dispatchedCost is the actual cost of all dispatched requests, reservedWorstCase the worst
	// case of those still running and finishedCost the actual cost of the others.
	dispatchedCost    turmericshed.Tokens
	reservedWorstCase turmericshed.Tokens
	finishedCost      turmericshed.Tokens
	burnt             turmericshed.Tokens
	// falselyRefusedCost is the actual cost of the requests that were falsely refused.
	falselyRefusedCost turmericshed.Tokens
}

// budgetTally holds the counters of one run.
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
			Prepaid: spec.prepaid, Edge: policy.edge, PartitionTolerance: turmericshed.Duration(spec.bridge),
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

// reachable reports whether a failure domain reaches the key-value service.
func (sim *budgetSim) reachable(domain int) bool { return !sim.storeDown && domain != sim.cutDomain }

// connected reports whether two failure domains reach each other.
func (sim *budgetSim) connected(a, b int) bool {
	return a == b || (a != sim.cutDomain && b != sim.cutDomain)
}

// applyNow applies a mutation without latency and conflicts.
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

// update runs a ledger mutation for a node, with the latency and conflicts of the key-value
// service. then receives the ledger as last read, whether it could be decoded and the error.
func (sim *budgetSim) update(n *budgetNode, id turmericshed.BudgetID, m tsupdate.Mutation, then func(tsbudget.Ledger, bool, error)) {
	u := tsupdate.New(tsbudget.Key(id), m)
	var step func()
	step = func() {
		if u.Finished() {
			item, err := u.Result()
			l, decodeErr := tsbudget.Decode(item)
			then(l, decodeErr == nil, err)
			return
		}
		sim.after(storeLatency, func() {
			wait := storeLatency
			reply := tsupdate.StepResult{Err: turmericshed.NewError(turmericshed.KindStoreUnavailable, "key-value service is unreachable")}
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

func (sim *budgetSim) serveStep(s tsupdate.Step) tsupdate.StepResult {
	if s.Read {
		sim.reads++
		return tsupdate.StepResult{Item: sim.items[s.Key]}
	}
	if sim.items[s.Key].Version != s.Write.ExpectedVersion {
		sim.writes++
		return tsupdate.StepResult{Err: turmericshed.NewError(turmericshed.KindConflict, "version mismatch")}
	}
	return tsupdate.StepResult{Version: sim.putItem(s.Key, s.Write.Value).Version}
}

// callPeer calls a peer with the latency of the network. If the peer is dead or cut off, lost runs
// after callTimeout.
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

// crash terminates a node and starts its replacement. The dead node's lots are closed as by garbage
// collection: all its unused tokens count as spent, except those that a witness saves.
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
		// The backend server finishes the running requests, but their usage is never reported.
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
		n.holder.ReturnSurplus(id, gap)
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

// dropWaiting removes the requests that waited at a crashed node from the count. Their callers
// retry at another entry VM, which is not modeled.
func (sim *budgetSim) dropWaiting(s *budgetState) {
	sim.tally.requests -= s.queue.Len()
}

// finish moves a request from running to finished.
func (sim *budgetSim) finish(r *budgetRequest) {
	t := &sim.actuals[r.budget]
	t.reservedWorstCase -= r.worstCase
	t.finishedCost += r.cost
}

// dispatch counts a request as dispatched and records the overspend so far.
func (sim *budgetSim) dispatch(r *budgetRequest) {
	t := &sim.actuals[r.budget]
	t.dispatchedCost += r.cost
	t.reservedWorstCase += r.worstCase
	sim.tally.overspend = max(sim.tally.overspend, t.dispatchedCost-t.prepaid)
	sim.tally.admissionWaits = append(sim.tally.admissionWaits, sim.now.Sub(r.arrivedAt))
}

// refuse counts a refusal. A refusal is false if a single ledger without latency and cuts could
// reserve the amount now. Such a ledger would then spend the request's cost, so that cost is
// subtracted from what it has for later requests.
func (sim *budgetSim) refuse(r *budgetRequest) {
	t := &sim.actuals[r.budget]
	sim.tally.refused++
	if t.prepaid-t.finishedCost-t.reservedWorstCase-t.burnt-t.falselyRefusedCost >= r.worstCase {
		sim.tally.falseRefusals++
		t.falselyRefusedCost += r.cost
	}
}

// topUp raises the prepaid amount of a budget in its ledger.
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

// drain closes every lot and returns the tokens that are charged but were never used.
func (sim *budgetSim) drain() turmericshed.Tokens {
	for range 2 {
		for _, n := range sim.nodes {
			n.drain()
		}
	}
	var burnt turmericshed.Tokens
	for b, p := range sim.profiles {
		l, _ := tsbudget.Decode(sim.items[tsbudget.Key(p.Budget)])
		burnt += l.Spent + l.OpenCharge() - sim.actuals[b].finishedCost - sim.actuals[b].reservedWorstCase
	}
	return burnt
}

// chargeInitial sets the tokens that are already spent when the run starts.
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
