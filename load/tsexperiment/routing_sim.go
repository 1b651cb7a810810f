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
	routingDomains = 3
	routingEntries = 9
	routingEngines = 12
	// routingNear and routingFar are one-way delays.
	routingNear = 200 * time.Microsecond
	routingFar  = 1500 * time.Microsecond
	// routingReading is the time between readings of an engine's load.
	routingReading = 500 * time.Millisecond
	// routingListLag is how late the platform's list is.
	routingListLag = 5 * time.Second
	// routingAttempts bounds attempts at engines for one request.
	routingAttempts = 3
	routingBackOff  = 20 * time.Millisecond
	// routingConnectTimeout is the wait for a connection across a cut.
	routingConnectTimeout = 300 * time.Millisecond
)

var routingEpoch = time.Unix(1_800_000_000, 0)

// routingEvent is one entry of the event queue.
type routingEvent struct {
	at  time.Duration
	seq int
	do  func()
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
	rand    *rand.Rand
	spread  *rand.Rand
	shape   routingScenario
	policy  routingPolicy
	engines []*routingEngine
	nodes   []*routingNode
	book    *routingBook
	// cut is the failure domain that is cut off from the others; empty for
	// none.
	cut turmericshed.FailureDomain
}

func newRoutingSim(seed uint64, sc routingScenario, p routingPolicy) *routingSim {
	s := &routingSim{rand: rand.New(rand.NewPCG(seed, 1)), spread: rand.New(rand.NewPCG(seed, 2)), shape: sc, policy: p, book: newRoutingBook(sc)}
	for i := range routingEngines {
		s.addEngine(i)
	}
	for i := range routingEntries {
		s.nodes = append(s.nodes, newRoutingNode(s, i, seed))
	}
	s.list()
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
func (s *routingSim) time() time.Time { return routingEpoch.Add(s.now) }

// after runs f later.
func (s *routingSim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, routingEvent{at: s.now + d, seq: s.seq, do: f})
}

// every runs f at each interval until the end of the scenario.
func (s *routingSim) every(d time.Duration, f func()) {
	s.after(d, func() {
		f()
		if s.now < s.shape.length {
			s.every(d, f)
		}
	})
}

// run plays the scenario to its end.
func (s *routingSim) run() {
	s.arrive()
	s.every(routingReading, s.report)
	s.every(250*time.Millisecond, func() {
		for _, n := range s.nodes {
			n.adapt()
		}
	})
	for _, f := range s.shape.faults {
		s.after(f.at, func() { f.do(s) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(routingEvent)
		s.now = e.at
		e.do()
	}
}

// report takes a reading of every engine, which all entry VMs that reach it
// hear of at the same time, late.
func (s *routingSim) report() {
	for _, e := range s.engines {
		if e.dead {
			continue
		}
		rep := e.load(s.time())
		s.after(s.shape.lag, func() {
			for _, n := range s.nodes {
				if !s.isCut(n.self, e.server.FailureDomain) {
					n.router.Report(s.time(), rep)
				}
			}
		})
	}
}

// list gives every entry VM the list of engines as it is now.
func (s *routingSim) list() {
	var list []turmericshed.BackendServer
	for _, e := range s.engines {
		if !e.dead {
			b := e.server
			b.Leaving = e.leftAt > 0
			list = append(list, b)
		}
	}
	for _, n := range s.nodes {
		n.router.SetServers(s.time(), list)
	}
}

// arrive schedules the next request of the open loop.
func (s *routingSim) arrive() {
	rate, account := s.shape.traffic(s.now, s.rand)
	gap := time.Duration(s.rand.ExpFloat64() / rate * float64(time.Second))
	s.after(gap, func() {
		if s.now >= s.shape.length {
			return
		}
		c := &routingCall{account: account, began: s.now}
		if s.shape.prefixes > 0 {
			c.prefix = s.shape.prefix(s.rand)
		}
		c.tokens = 40 + s.rand.IntN(121)
		s.book.arrived(c)
		s.send(c)
		s.arrive()
	})
}

// routingCall is one request of a caller with all its retries.
type routingCall struct {
	account  string
	prefix   uint64
	tokens   int
	began    time.Duration
	attempts int
	firstAt  time.Duration
}

// send is one try of the caller at a random entry VM.
func (s *routingSim) send(c *routingCall) {
	c.attempts++
	n := s.nodes[s.spread.IntN(len(s.nodes))]
	s.after(routingFar, func() { n.receive(c) })
}

// failed tells the caller that its try failed; it may try again.
func (s *routingSim) failed(c *routingCall, err error) {
	s.book.failed(c, err, s.spare())
	if c.attempts < s.shape.tries {
		s.after(time.Duration(s.spread.Int64N(int64(time.Second))), func() { s.send(c) })
	}
}

// spare reports whether the engines had room for one more request.
func (s *routingSim) spare() bool {
	used, slots := 0, 0
	for _, e := range s.engines {
		if !e.dead && !e.hole && e.leftAt == 0 {
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
	sim     *routingSim
	self    turmericshed.FailureDomain
	router  routingChooser
	queue   *tsadmit.Queue
	control *tsadmit.Control
	retries tsadmit.Retries
	ticket  tsadmit.Ticket
	tries   map[tsadmit.Ticket]*routingTry
}

func newRoutingNode(s *routingSim, i int, seed uint64) *routingNode {
	self := routingDomain(i)
	return &routingNode{
		sim: s, self: self, router: s.policy.router(self, rand.New(rand.NewPCG(seed, uint64(i)+3))),
		queue: tsadmit.New(s.policy.admit), control: tsadmit.NewControl(), tries: map[tsadmit.Ticket]*routingTry{},
	}
}

// adapt is the overload control.
func (n *routingNode) adapt() {
	r, ok := n.router.(*tsroute.Router)
	if !ok || !n.sim.policy.limited {
		return
	}
	n.decide(n.control.Adapt(n.sim.time(), n.queue, tsadmit.Load{
		Pressure: r.Pressure(n.sim.time(), turmericshed.WorkAssistant),
		Slots:    r.Slots(turmericshed.WorkAssistant), Sharers: routingEntries,
	}))
}

// routingTry is one try of a caller at one entry VM.
type routingTry struct {
	node     *routingNode
	call     *routingCall
	ticket   tsadmit.Ticket
	route    turmericshed.RouteRequest
	admitted bool
	over     bool
	attempts int
	// server, run and sent are of the attempt in flight.
	server turmericshed.ServerID
	run    *routingRun
	sent   time.Duration
	first  time.Duration
}

func (n *routingNode) receive(c *routingCall) {
	n.ticket++
	t := &routingTry{node: n, call: c, ticket: n.ticket, route: turmericshed.RouteRequest{
		Work: turmericshed.WorkAssistant, Model: "m", Prefix: c.prefix, Cost: turmericshed.Tokens(c.tokens),
	}}
	n.tries[t.ticket] = t
	deadline := n.sim.shape.deadline
	n.sim.after(deadline, t.expire)
	n.decide(n.queue.Offer(n.sim.time(), t.ticket, turmericshed.AdmitRequest{
		Account: turmericshed.AccountID(c.account), Work: turmericshed.WorkAssistant,
		Cost: turmericshed.Tokens(c.tokens), Deadline: n.sim.time().Add(deadline),
	}))
}

func (n *routingNode) decide(ds []tsadmit.Decision) {
	for _, d := range ds {
		t := n.tries[d.Ticket]
		switch d.Verdict {
		case tsadmit.Admitted:
			t.admitted = true
			n.retries.Sent(n.sim.time())
			t.attempt()
		case tsadmit.Refused:
			t.end(d.Err)
		case tsadmit.Queued:
		}
	}
}

// end answers the caller, with nil for a whole answer.
func (t *routingTry) end(err error) {
	t.over = true
	delete(t.node.tries, t.ticket)
	if t.admitted {
		t.node.decide(t.node.queue.Release(t.node.sim.time(), t.ticket))
	} else {
		t.node.queue.Cancel(t.ticket)
	}
	if err == nil {
		t.node.sim.book.answered(t.call, t.node.sim.now)
		return
	}
	t.node.sim.after(routingFar, func() { t.node.sim.failed(t.call, err) })
}

// expire is the end of the caller's deadline.
func (t *routingTry) expire() {
	if t.over {
		return
	}
	err := turmericshed.NewError(turmericshed.KindDeadline, "deadline passed")
	if t.run != nil {
		t.run.canceled = true
		t.done(err)
	}
	t.end(err)
}

// done reports the attempt in flight to the router.
func (t *routingTry) done(err error) {
	t.run = nil
	res := turmericshed.DispatchResult{Err: err, Elapsed: t.node.sim.now - t.sent, Tokens: t.route.Cost}
	if t.first > 0 {
		res.FirstByte = t.first - t.sent
	}
	if errors.Is(err, errRoutingLeaving) {
		t.node.router.SetLeaving(t.node.sim.time(), t.server)
	}
	t.node.router.Done(t.node.sim.time(), t.server, t.route, res)
}

// attempt dispatches to an engine.
func (t *routingTry) attempt() {
	if t.over {
		return
	}
	s, err := t.node.router.Pick(t.node.sim.time(), t.route)
	if err != nil {
		t.end(err)
		return
	}
	t.attempts++
	t.server, t.sent = s.ID, t.node.sim.now
	delay := routingNear
	if s.FailureDomain != t.node.self {
		delay = routingFar
	}
	run := &routingRun{prefix: t.call.prefix, left: t.call.tokens}
	t.run = run
	// back runs f at the entry VM unless the attempt was given up.
	back := func(f func()) {
		t.node.sim.after(delay, func() {
			if t.run == run {
				f()
			}
		})
	}
	run.first = func() { back(t.firstToken) }
	run.ended = func() { back(func() { t.done(nil); t.end(nil) }) }
	run.broken = func(err error) { back(func() { t.attemptFailed(err) }) }
	engine := t.node.sim.engine(s.ID)
	if t.node.sim.isCut(t.node.self, s.FailureDomain) {
		t.node.sim.after(routingConnectTimeout, func() {
			if t.run == run {
				t.attemptFailed(turmericshed.NewError(turmericshed.KindNoBackend, "connection timed out"))
			}
		})
		return
	}
	t.node.sim.after(delay, func() {
		if run.canceled {
			return
		}
		if err := engine.submit(run); err != nil {
			back(func() { t.attemptFailed(err) })
		}
	})
}

func (t *routingTry) firstToken() {
	t.first = t.node.sim.now
	t.node.sim.after(routingFar, func() { t.node.sim.book.first(t.call, t.node.sim.now) })
}

// attemptFailed tries another engine before the first token, within bounds.
func (t *routingTry) attemptFailed(err error) {
	t.done(err)
	sim := t.node.sim
	if t.first > 0 || t.attempts >= routingAttempts || (!sim.policy.freeRetries && !t.node.retries.Allow(sim.time())) {
		t.end(err)
		return
	}
	t.route.Excluded = append(t.route.Excluded, t.server)
	sim.after(routingBackOff, t.attempt)
}

// isCut reports whether a cut lies between two failure domains.
func (s *routingSim) isCut(a, b turmericshed.FailureDomain) bool {
	return a != b && (a == s.cut || b == s.cut)
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
