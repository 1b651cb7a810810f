package tsexperiment

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"turmericshed"
	"turmericshed/core/tsadmit"
	"turmericshed/core/tsroute"
)

// The shape of the simulated fleet: the size of today.
const (
	routingDomains     = 3
	routingEntryVMs    = 9
	routingEngineCount = 12
	// routingNear and routingFar are one-way delays.
	routingSameDomainDelay  = 200 * time.Microsecond
	routingCrossDomainDelay = 1500 * time.Microsecond
	// routingReading is the time between readings of an engine's load.
	routingReportInterval = 500 * time.Millisecond
	// routingListLag is how late the platform's list is.
	routingListLag = 5 * time.Second
	// routingAttempts bounds attempts at engines for one request.
	routingMaxAttempts = 3
	routingRetryDelay  = 20 * time.Millisecond
	// routingConnectTimeout is the wait for a connection across a cut.
	routingConnectTimeout = 300 * time.Millisecond
)

var routingEpoch = time.Unix(1_800_000_000, 0)

// routingEvent is one entry of the event queue.
type routingEvent struct {
	at  time.Duration
	seq int
	run func()
}

type routingEvents []routingEvent

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h routingEvents) Len() int { return len(h) }

// Less orders by time, then by insertion.
func (h routingEvents) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

// Swap swaps two entries.
func (h routingEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an entry.
func (h *routingEvents) Push(x any) { *h = append(*h, x.(routingEvent)) }

// Pop takes the last entry.
func (h *routingEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// routingSim is one run of one policy in one scenario.
type routingSim struct {
	now    time.Duration
	seq    int
	events routingEvents
	// rand draws the traffic, which is the same for every policy; spread draws
	// the callers' choices of an entry VM and their pauses.
	trafficRand *rand.Rand
	callerRand  *rand.Rand
	scenario    routingScenario
	policy      routingPolicy
	engines     []*routingEngine
	nodes       []*routingNode
	book        *routingBook
	// cut is the failure domain that is cut off from the others; empty for
	// none.
	cutDomain turmericshed.FailureDomain
}

func newRoutingSim(seed uint64, sc routingScenario, p routingPolicy) *routingSim {
	s := &routingSim{trafficRand: rand.New(rand.NewPCG(seed, 1)), callerRand: rand.New(rand.NewPCG(seed, 2)), scenario: sc, policy: p, book: newRoutingBook(sc)}
	for i := range routingEngineCount {
		s.addEngine(i)
	}
	for i := range routingEntryVMs {
		s.nodes = append(s.nodes, newRoutingNode(s, i, seed))
	}
	s.publishServers()
	return s
}

func (s *routingSim) addEngine(i int) {
	s.engines = append(s.engines, newRoutingEngine(s, turmericshed.BackendServer{
		ID: turmericshed.ServerID(fmt.Sprintf("engine-%d", i)), FailureDomain: routingDomain(i),
		Work: turmericshed.WorkAssistant, Models: []turmericshed.Model{"m"}, Slots: routingSlots,
	}))
}

func routingDomain(i int) turmericshed.FailureDomain {
	return turmericshed.FailureDomain('a' + rune(i%routingDomains))
}

// time returns the simulated wall clock.
func (s *routingSim) wallClock() time.Time { return routingEpoch.Add(s.now) }

// after runs f later.
func (s *routingSim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, routingEvent{at: s.now + d, seq: s.seq, run: f})
}

// every runs f at each interval until the end of the scenario.
func (s *routingSim) every(d time.Duration, f func()) {
	s.after(d, func() {
		f()
		if s.now < s.scenario.duration {
			s.every(d, f)
		}
	})
}

// run plays the scenario to its end.
func (s *routingSim) run() {
	s.scheduleArrival()
	s.every(routingReportInterval, s.reportLoads)
	s.every(250*time.Millisecond, func() {
		for _, n := range s.nodes {
			n.adapt()
		}
	})
	for _, f := range s.scenario.faults {
		s.after(f.at, func() { f.inject(s) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(routingEvent)
		s.now = e.at
		e.run()
	}
}

// report takes a reading of every engine, which all entry VMs that reach it
// hear of at the same time, late.
func (s *routingSim) reportLoads() {
	for _, e := range s.engines {
		if e.isDead {
			continue
		}
		rep := e.load(s.wallClock())
		s.after(s.scenario.reportLag, func() {
			for _, n := range s.nodes {
				if !s.isCut(n.self, e.server.FailureDomain) {
					n.router.Report(s.wallClock(), rep)
				}
			}
		})
	}
}

// list gives every entry VM the list of engines as it is now.
func (s *routingSim) publishServers() {
	var list []turmericshed.BackendServer
	for _, e := range s.engines {
		if !e.isDead {
			b := e.server
			b.Leaving = e.leavingSince > 0
			list = append(list, b)
		}
	}
	for _, n := range s.nodes {
		n.router.SetServers(s.wallClock(), list)
	}
}

// arrive schedules the next request of the open loop.
func (s *routingSim) scheduleArrival() {
	rate, account := s.scenario.traffic(s.now, s.trafficRand)
	gap := time.Duration(s.trafficRand.ExpFloat64() / rate * float64(time.Second))
	s.after(gap, func() {
		if s.now >= s.scenario.duration {
			return
		}
		c := &routingCall{account: account, began: s.now}
		if s.scenario.prefixCount > 0 {
			c.prefix = s.scenario.drawPrefix(s.trafficRand)
		}
		c.outputTokens = 40 + s.trafficRand.IntN(121)
		s.book.recordArrival(c)
		s.send(c)
		s.scheduleArrival()
	})
}

// routingCall is one request of a caller with all its retries.
type routingCall struct {
	account      string
	prefix       uint64
	outputTokens int
	began        time.Duration
	attempts     int
	firstTokenAt time.Duration
}

// send is one try of the caller at a random entry VM.
func (s *routingSim) send(c *routingCall) {
	c.attempts++
	n := s.nodes[s.callerRand.IntN(len(s.nodes))]
	s.after(routingCrossDomainDelay, func() { n.receive(c) })
}

// failed tells the caller that its try failed; it may try again.
func (s *routingSim) handleFailure(c *routingCall, err error) {
	s.book.recordFailure(c, err, s.hasSpareCapacity())
	if c.attempts < s.scenario.maxTries {
		s.after(time.Duration(s.callerRand.Int64N(int64(time.Second))), func() { s.send(c) })
	}
}

// spare reports whether the engines had room for one more request.
func (s *routingSim) hasSpareCapacity() bool {
	used, slots := 0, 0
	for _, e := range s.engines {
		if !e.isDead && !e.isBlackHole && e.leavingSince == 0 {
			used += len(e.running) + len(e.queue)
			slots += routingSlots
		}
	}
	return used*10 < slots*9
}

// routingChooser chooses backend servers without waiting.
type routingChooser interface {
	SetServers(now time.Time, servers []turmericshed.BackendServer)
	Report(now time.Time, r turmericshed.LoadReport)
	SetLeaving(now time.Time, id turmericshed.ServerID)
	Pick(now time.Time, r turmericshed.RouteRequest) (turmericshed.BackendServer, error)
	Done(now time.Time, id turmericshed.ServerID, r turmericshed.RouteRequest, res turmericshed.DispatchResult)
}

// routingNode is one entry VM: the real queue, limiter and router.
type routingNode struct {
	sim        *routingSim
	self       turmericshed.FailureDomain
	router     routingChooser
	queue      *tsadmit.Queue
	overload   *tsadmit.Control
	retries    tsadmit.Retries
	lastTicket tsadmit.Ticket
	tries      map[tsadmit.Ticket]*routingTry
}

func newRoutingNode(s *routingSim, i int, seed uint64) *routingNode {
	self := routingDomain(i)
	return &routingNode{
		sim: s, self: self, router: s.policy.newRouter(self, rand.New(rand.NewPCG(seed, uint64(i)+3))),
		queue: tsadmit.New(s.policy.admit), overload: tsadmit.NewControl(), tries: map[tsadmit.Ticket]*routingTry{},
	}
}

// adapt is the overload control.
func (n *routingNode) adapt() {
	r, ok := n.router.(*tsroute.Router)
	if !ok || !n.sim.policy.hasOverloadControl {
		return
	}
	n.applyDecisions(n.overload.Adapt(n.sim.wallClock(), n.queue, tsadmit.Load{
		Pressure: r.Pressure(n.sim.wallClock(), turmericshed.WorkAssistant),
		Slots:    r.Slots(turmericshed.WorkAssistant), Sharers: routingEntryVMs,
	}))
}

// routingTry is one try of a caller at one entry VM.
type routingTry struct {
	node     *routingNode
	call     *routingCall
	ticket   tsadmit.Ticket
	route    turmericshed.RouteRequest
	admitted bool
	isOver   bool
	attempts int
	// server, run and sent are of the attempt in flight.
	server       turmericshed.ServerID
	run          *routingRun
	sentAt       time.Duration
	firstTokenAt time.Duration
}

func (n *routingNode) receive(c *routingCall) {
	n.lastTicket++
	t := &routingTry{node: n, call: c, ticket: n.lastTicket, route: turmericshed.RouteRequest{
		Work: turmericshed.WorkAssistant, Model: "m", Prefix: c.prefix, Cost: turmericshed.Tokens(c.outputTokens),
	}}
	n.tries[t.ticket] = t
	deadline := n.sim.scenario.deadline
	n.sim.after(deadline, t.expire)
	n.applyDecisions(n.queue.Offer(n.sim.wallClock(), t.ticket, turmericshed.AdmitRequest{
		Account: turmericshed.AccountID(c.account), Work: turmericshed.WorkAssistant,
		Cost: turmericshed.Tokens(c.outputTokens), Deadline: n.sim.wallClock().Add(deadline),
	}))
}

func (n *routingNode) applyDecisions(ds []tsadmit.Decision) {
	for _, d := range ds {
		t := n.tries[d.Ticket]
		switch d.Verdict {
		case tsadmit.Admitted:
			t.admitted = true
			n.retries.Sent(n.sim.wallClock())
			t.attempt()
		case tsadmit.Refused:
			t.finish(d.Err)
		case tsadmit.Queued:
		}
	}
}

// end answers the caller, with nil for a whole answer.
func (t *routingTry) finish(err error) {
	t.isOver = true
	delete(t.node.tries, t.ticket)
	if t.admitted {
		t.node.applyDecisions(t.node.queue.Release(t.node.sim.wallClock(), t.ticket))
	} else {
		t.node.queue.Cancel(t.ticket)
	}
	if err == nil {
		t.node.sim.book.recordAnswer(t.call, t.node.sim.now)
		return
	}
	t.node.sim.after(routingCrossDomainDelay, func() { t.node.sim.handleFailure(t.call, err) })
}

// expire is the end of the caller's deadline.
func (t *routingTry) expire() {
	if t.isOver {
		return
	}
	err := turmericshed.NewError(turmericshed.KindDeadline, "deadline passed")
	if t.run != nil {
		t.run.isCanceled = true
		t.reportDone(err)
	}
	t.finish(err)
}

// done reports the attempt in flight to the router.
func (t *routingTry) reportDone(err error) {
	t.run = nil
	res := turmericshed.DispatchResult{Err: err, Elapsed: t.node.sim.now - t.sentAt, Tokens: t.route.Cost}
	if t.firstTokenAt > 0 {
		res.FirstByte = t.firstTokenAt - t.sentAt
	}
	if errors.Is(err, errRoutingLeaving) {
		t.node.router.SetLeaving(t.node.sim.wallClock(), t.server)
	}
	t.node.router.Done(t.node.sim.wallClock(), t.server, t.route, res)
}

// attempt dispatches to an engine.
func (t *routingTry) attempt() {
	if t.isOver {
		return
	}
	s, err := t.node.router.Pick(t.node.sim.wallClock(), t.route)
	if err != nil {
		t.finish(err)
		return
	}
	t.attempts++
	t.server, t.sentAt = s.ID, t.node.sim.now
	delay := routingSameDomainDelay
	if s.FailureDomain != t.node.self {
		delay = routingCrossDomainDelay
	}
	run := &routingRun{prefix: t.call.prefix, tokensLeft: t.call.outputTokens}
	t.run = run
	// deliver runs f at the entry VM unless the attempt was given up.
	deliver := func(f func()) {
		t.node.sim.after(delay, func() {
			if t.run == run {
				f()
			}
		})
	}
	run.onFirstToken = func() { deliver(t.handleFirstToken) }
	run.onEnd = func() { deliver(func() { t.reportDone(nil); t.finish(nil) }) }
	run.onBreak = func(err error) { deliver(func() { t.handleAttemptFailure(err) }) }
	engine := t.node.sim.engine(s.ID)
	if t.node.sim.isCut(t.node.self, s.FailureDomain) {
		t.node.sim.after(routingConnectTimeout, func() {
			if t.run == run {
				t.handleAttemptFailure(turmericshed.NewError(turmericshed.KindNoBackend, "connection timed out"))
			}
		})
		return
	}
	t.node.sim.after(delay, func() {
		if run.isCanceled {
			return
		}
		if err := engine.submit(run); err != nil {
			deliver(func() { t.handleAttemptFailure(err) })
		}
	})
}

func (t *routingTry) handleFirstToken() {
	t.firstTokenAt = t.node.sim.now
	t.node.sim.after(routingCrossDomainDelay, func() { t.node.sim.book.recordFirstToken(t.call, t.node.sim.now) })
}

// attemptFailed tries another engine before the first token, within bounds.
func (t *routingTry) handleAttemptFailure(err error) {
	t.reportDone(err)
	sim := t.node.sim
	if t.firstTokenAt > 0 || t.attempts >= routingMaxAttempts || (!sim.policy.ignoresRetryBudget && !t.node.retries.Allow(sim.wallClock())) {
		t.finish(err)
		return
	}
	t.route.Excluded = append(t.route.Excluded, t.server)
	sim.after(routingRetryDelay, t.attempt)
}

// isCut reports whether a cut lies between two failure domains.
func (s *routingSim) isCut(a, b turmericshed.FailureDomain) bool {
	return a != b && (a == s.cutDomain || b == s.cutDomain)
}

// engine returns the engine with the id.
func (s *routingSim) engine(id turmericshed.ServerID) *routingEngine {
	for _, e := range s.engines {
		if e.server.ID == id {
			return e
		}
	}
	panic("engine " + id + " is not known")
}
