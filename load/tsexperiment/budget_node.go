package tsexperiment

import (
	"fmt"
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

const (
	// The intervals and limits of the holder runtime in io/tsholder.
	budgetRetryInterval  = 250 * time.Millisecond
	budgetScanInterval   = time.Second
	budgetExhaustedPause = time.Second
	budgetMaxPeers       = 4
)

// budgetNode simulates one entry VM: a tsbudget.Holder and rounds like those of io/tsholder, driven
// by simulated events.
type budgetNode struct {
	sim     *budgetSim
	index   int
	domain  int
	id      turmericshed.Incarnation
	isDead  bool
	holder  *tsbudget.Holder
	budgets map[int]*budgetState
	running map[*budgetRequest]bool
	lotIDs  int
}

// budgetState is the state of one budget at a node.
type budgetState struct {
	node                    *budgetNode
	budget                  int
	queue                   tsbudget.Queue[*budgetRequest]
	ledger                  tsbudget.Summary
	lots                    []tsbudget.Lot
	inRound, roundRequested bool
	// retryScheduled is set while another round for the waiting requests is scheduled.
	retryScheduled           bool
	isStarved                bool
	roundsBegun, roundsEnded int
	storeErr                 error
	peersMissing             bool
	nextDrawAt               time.Time
	reportedAt               time.Time
	loanRequested            turmericshed.Tokens
	afterRound               []func()
}

func (sim *budgetSim) newNode(index int) *budgetNode {
	sim.lastID++
	id := turmericshed.Incarnation(fmt.Sprintf("n%d-%d", index, sim.lastID))
	n := &budgetNode{
		sim: sim, index: index, domain: index / sim.spec.perDomain, id: id, holder: tsbudget.NewHolder(id),
		budgets: make(map[int]*budgetState), running: make(map[*budgetRequest]bool),
	}
	sim.byID[id] = n
	// A random offset keeps the scans of different nodes apart.
	sim.after(time.Duration(sim.rand.Int64N(int64(budgetScanInterval))), n.scan)
	return n
}

func (n *budgetNode) state(b int) *budgetState {
	s := n.budgets[b]
	if s == nil {
		s = &budgetState{node: n, budget: b, reportedAt: n.sim.now}
		n.budgets[b] = s
	}
	return s
}

func (n *budgetNode) newID(prefix string) turmericshed.LotID {
	n.lotIDs++
	return turmericshed.LotID(fmt.Sprintf("%s-%s-%d", prefix, n.id, n.lotIDs))
}

// unspent returns the tokens of a budget that are charged but unused if the node crashes now.
func (n *budgetNode) unspent(b int) turmericshed.Tokens {
	v := n.holder.View(n.sim.now, n.sim.profiles[b].Budget)
	unspent := v.Available + v.Reserved
	for r := range n.running {
		if r.budget == b {
			unspent -= r.cost
		}
	}
	return unspent
}

// arrive reserves tokens for a request and starts it, or queues it if there are too few.
func (n *budgetNode) arrive(r *budgetRequest) {
	n.sim.tally.requests++
	if n.sim.policy.chargesPerRequest {
		n.reserveInStore(r)
		return
	}
	s := n.state(r.budget)
	if res, ok := n.holder.Reserve(n.sim.now, n.sim.profiles[r.budget], "", r.worstCase); ok {
		n.start(r, res)
		s.requestRoundIfLow()
		return
	}
	s.queue.Add(r, tsbudget.Waiter{
		Profile: n.sim.profiles[r.budget], Amount: r.worstCase, Round: s.roundsBegun, Deadline: r.arrivedAt.Add(r.maxWait),
	})
	s.requestRound()
}

// start dispatches a request and settles its reservation when it ends.
func (n *budgetNode) start(r *budgetRequest, res turmericshed.Reservation) {
	n.running[r] = true
	n.sim.dispatch(r)
	n.sim.after(r.duration, func() {
		if n.isDead {
			return
		}
		delete(n.running, r)
		n.sim.finish(r)
		n.holder.Settle(n.sim.now, res, r.cost)
		n.state(r.budget).grantWaiting()
	})
}

func (s *budgetState) grantWaiting() {
	for _, g := range s.queue.Grant(s.node.sim.now, s.node.holder) {
		s.node.start(g.Owner, g.Reservation)
	}
}

func (s *budgetState) refuseWaiting() {
	for _, r := range s.queue.Refuse(tsbudget.Situation{View: s.view(), StoreErr: s.storeErr, Round: s.roundsEnded, PeersMissing: s.peersMissing}) {
		s.node.sim.refuse(r.Owner)
	}
}

func (s *budgetState) view() tsbudget.View {
	sim := s.node.sim
	p := sim.profiles[s.budget]
	v := s.node.holder.View(sim.now, p.Budget)
	s.queue.Fill(&v)
	v.Waiting += s.loanRequested
	v.Needed = max(v.Needed, s.loanRequested)
	v.Ledger, v.Edge, v.Bridge = s.ledger, p.Edge, time.Duration(p.PartitionTolerance)
	v.EntryVMs, v.Starved = len(sim.nodes), s.isStarved
	v.Home = s.homeNode() == s.node
	return v
}

// homeNode returns the node of this failure domain that holds the budget while it is quiet.
func (s *budgetState) homeNode() *budgetNode {
	sim := s.node.sim
	first := s.node.domain * sim.spec.perDomain
	var vms []turmericshed.EntryVM
	for _, n := range sim.nodes[first : first+sim.spec.perDomain] {
		vms = append(vms, turmericshed.EntryVM{Incarnation: n.id})
	}
	vm, _ := tsbudget.Home(sim.profiles[s.budget].Budget, vms)
	return sim.byID[vm.Incarnation]
}

func (s *budgetState) requestRoundIfLow() {
	if s.inRound {
		return
	}
	d := s.node.sim.policy.placement.Decide(s.view())
	if d.Borrow || (d.Draw && !s.node.sim.now.Before(s.nextDrawAt)) {
		s.requestRound()
	}
}

// scan requests a round, once a second, for each budget that needs one.
func (n *budgetNode) scan() {
	if n.isDead {
		return
	}
	keys := make([]int, 0, len(n.budgets))
	for b := range n.budgets {
		keys = append(keys, b)
	}
	slices.Sort(keys)
	for _, b := range keys {
		s := n.budgets[b]
		if s.inRound {
			continue
		}
		v := s.view()
		d := n.sim.policy.placement.Decide(v)
		if d.Return || d.Borrow || (d.Draw && !n.sim.now.Before(s.nextDrawAt)) || v.ReportDue(n.sim.now.Sub(s.reportedAt)) {
			s.requestRound()
		}
	}
	n.sim.after(budgetScanInterval, n.scan)
}

// drain repays all loans and returns all lots immediately, at the end of a run.
func (n *budgetNode) drain() {
	for b, s := range n.budgets {
		id := n.sim.profiles[b].Budget
		for _, lender := range n.holder.Lenders(id) {
			s.repay(lender, true)
		}
		reports := n.holder.Reports(id, true)
		_, _ = n.sim.applyNow(id, tsbudget.Settle(reports...))
		n.holder.Acknowledge(id, reports)
	}
}

func (s *budgetState) repay(lender turmericshed.Incarnation, final bool) {
	sim := s.node.sim
	id := sim.profiles[s.budget].Budget
	reports := s.node.holder.ReportsTo(id, lender, final)
	if len(reports) == 0 {
		return
	}
	lenderNode := sim.byID[lender]
	if lenderNode.isDead || !sim.connected(lenderNode.domain, s.node.domain) {
		if lenderNode.isDead {
			_, _ = sim.applyNow(id, tsbudget.Settle(reports...))
			s.node.holder.Acknowledge(id, reports)
		}
		return
	}
	accepted, unknown := lenderNode.holder.Repay(sim.now, id, reports)
	for _, r := range reports {
		if slices.Contains(unknown, r.Lot) {
			_, _ = sim.applyNow(id, tsbudget.Settle(r))
		}
		if slices.Contains(unknown, r.Lot) || slices.Contains(accepted, r.Lot) {
			s.node.holder.Acknowledge(id, []tsbudget.Report{r})
		}
	}
	lenderNode.state(s.budget).grantWaiting()
}
