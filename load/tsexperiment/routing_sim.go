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

// The simulated fleet has the size of a present production fleet.
const (
	routingDomains     = 3
	routingEntryVMs    = 9
	routingEngineCount = 12
	// routingSameDomainDelay and routingCrossDomainDelay are one-way delays.
	routingSameDomainDelay  = 200 * time.Microsecond
	routingCrossDomainDelay = 1500 * time.Microsecond
	// routingReportInterval is the time between reports of an engine's load.
	routingReportInterval = 500 * time.Millisecond
	// routingListLag is the delay of the platform's list.
	routingListLag = 5 * time.Second
	// routingMaxAttempts is the maximum number of attempts at engines for one request.
	routingMaxAttempts = 3
	routingRetryDelay  = 20 * time.Millisecond
	// routingConnectTimeout is the connection timeout across a network cut.
	routingConnectTimeout = 300 * time.Millisecond
)

var routingEpoch = time.Unix(1_800_000_000, 0)

// routingEvent is a scheduled event.
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

// Swap swaps two events.
func (h routingEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event.
func (h *routingEvents) Push(x any) { *h = append(*h, x.(routingEvent)) }

// Pop removes the last event.
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
	// trafficRand draws the traffic, which is the same for every policy. callerRand draws the
	// callers' choices of an entry VM and their retry delays.
	trafficRand *rand.Rand
	callerRand  *rand.Rand
	scenario    routingScenario
	policy      routingPolicy
	engines     []*routingEngine
	nodes       []*routingNode
	book        *routingBook
	// cutDomain is the failure domain that is cut off from the others; empty if there is none.
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

// wallClock returns the simulated time of day.
func (s *routingSim) wallClock() time.Time { return routingEpoch.Add(s.now) }

// after schedules f at d from now.
func (s *routingSim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, routingEvent{at: s.now + d, seq: s.seq, run: f})
}

// every runs f at each interval d until the end of the scenario.
func (s *routingSim) every(d time.Duration, f func()) {
	s.after(d, func() {
		f()
		if s.now < s.scenario.duration {
			s.every(d, f)
		}
	})
}

// run executes all events of the scenario.
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

// reportLoads samples the load of every engine. All entry VMs that reach the engine receive the
// report at the same time, after reportLag.
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

// publishServers sends the current list of engines to every entry VM.
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

// scheduleArrival schedules the next request of the open loop.
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

// routingCall is one caller's request with all its retries.
type routingCall struct {
	account      string
	prefix       uint64
	outputTokens int
	began        time.Duration
	attempts     int
	firstTokenAt time.Duration
}

// send sends the call to a random entry VM.
func (s *routingSim) send(c *routingCall) {
	c.attempts++
	n := s.nodes[s.callerRand.IntN(len(s.nodes))]
	s.after(routingCrossDomainDelay, func() { n.receive(c) })
}

// handleFailure handles a failed try at the caller, which may retry.
func (s *routingSim) handleFailure(c *routingCall, err error) {
	s.book.recordFailure(c, err, s.hasSpareCapacity())
	if c.attempts < s.scenario.maxTries {
		s.after(time.Duration(s.callerRand.Int64N(int64(time.Second))), func() { s.send(c) })
	}
}

// hasSpareCapacity reports whether less than 90% of the slots of the healthy engines are in use.
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

// routingChooser is the part of a router that the simulation calls.
type routingChooser interface {
	SetServers(now time.Time, servers []turmericshed.BackendServer)
	Report(now time.Time, r turmericshed.LoadReport)
	SetLeaving(now time.Time, id turmericshed.ServerID)
	Pick(now time.Time, r turmericshed.RouteRequest) (turmericshed.BackendServer, error)
	Done(now time.Time, id turmericshed.ServerID, r turmericshed.RouteRequest, res turmericshed.DispatchResult)
}

// routingNode is one entry VM with the real admission queue, overload control and router.
type routingNode struct {
	sim        *routingSim
	self       turmericshed.FailureDomain
	router     routingChooser
	queue      *tsadmit.Queue
	overload   *tsadmit.Control
	retries    tsadmit.RetryBudget
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

// adapt runs one step of overload control.
func (n *routingNode) adapt() {
	r, ok := n.router.(*tsroute.Router)
	if !ok || !n.sim.policy.hasOverloadControl {
		return
	}
	n.applyDecisions(n.overload.Adapt(n.sim.wallClock(), n.queue, tsadmit.Load{
		Pressure: r.Pressure(n.sim.wallClock(), turmericshed.WorkAssistant),
		Slots:    r.Slots(turmericshed.WorkAssistant), EntryVMs: routingEntryVMs,
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
	// server, run and sentAt describe the attempt in flight.
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
			n.retries.RecordFirstAttempt(n.sim.wallClock())
			t.attempt()
		case tsadmit.Refused:
			t.finish(d.Err)
		case tsadmit.Queued:
		}
	}
}

// finish ends the try; a nil error means a complete answer.
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

// expire ends the try at the caller's deadline.
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

// reportDone reports the end of the attempt in flight to the router.
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

// attempt dispatches the request to an engine.
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
	// deliver runs f at the entry VM unless the attempt has been abandoned.
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

// handleAttemptFailure retries at another engine if no token has been received and the limits allow
// it.
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

// isCut reports whether two failure domains are cut off from each other.
func (s *routingSim) isCut(a, b turmericshed.FailureDomain) bool {
	return a != b && (a == s.cutDomain || b == s.cutDomain)
}

// engine returns the engine with the given ID. It panics if there is none.
func (s *routingSim) engine(id turmericshed.ServerID) *routingEngine {
	for _, e := range s.engines {
		if e.server.ID == id {
			return e
		}
	}
	panic("engine " + id + " is not known")
}
