package tsexperiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"turmericshed"
	"turmericshed/core/tsmember"
	"turmericshed/core/tsprofile"
	"turmericshed/io/tsfleet"
)

const (
	fleetTick = 100 * time.Millisecond
	// One-way delays within a failure domain, within a region and between regions.
	sameDomainDelay  = 300 * time.Microsecond
	sameRegionDelay  = 1500 * time.Microsecond
	crossRegionDelay = 60 * time.Millisecond
	// syncRequestBytes is the encoded size of an anti-entropy request.
	syncRequestBytes  = 64*4 + 130
	relayMessageBytes = 40
)

// fleetEvent is a scheduled event.
type fleetEvent struct {
	at  time.Time
	seq int
	run func()
}

type fleetEvents []fleetEvent

func (q fleetEvents) Len() int { return len(q) }
func (q fleetEvents) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q fleetEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event for container/heap.
func (q *fleetEvents) Push(x any) { *q = append(*q, x.(fleetEvent)) }

// Pop removes the last event for container/heap.
func (q *fleetEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// fleetSim runs the decision code of many members in one goroutine on simulated time.
type fleetSim struct {
	now     time.Time
	seq     int
	events  fleetEvents
	rng     *rand.Rand
	members []*simMember
	byName  map[string]*simMember
	// isBlocked reports whether one direction of a link is cut; nil means no cuts.
	isBlocked func(from, to *simMember) bool
	store     *simStore
	// falseGone counts how often a member declared a live one gone.
	falseGone  int
	startCount int
}

// simMember is one entry VM with the cost it has incurred.
type simMember struct {
	vm     turmericshed.EntryVM
	sim    *fleetSim
	isDead bool
	node   *tsmember.Node
	cache  *tsprofile.Cache
	topic  *tsprofile.Topic
	// reachable is cached until the node's view changes.
	reachable   []turmericshed.EntryVM
	seenChanges uint64
	relays      []turmericshed.EntryVM
	// neighbours are the reachable members of the same failure domain.
	neighbours []turmericshed.EntryVM
	profiles   simProfiles

	bytes       int64
	calls       int64
	cpuTime     time.Duration
	bytesByPart [partCount]int64
}

// fleetPart is the purpose that bytes are spent on.
type fleetPart int

const (
	partProbe fleetPart = iota
	partSync
	partCatchUp
	partFetch
	partVerify
	partWatch
	partCount
)

// newFleetSim starts n members, each seeded with the platform's list.
func newFleetSim(seed uint64, n int) *fleetSim {
	s := &fleetSim{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, uint64(n))), byName: make(map[string]*simMember),
	}
	s.store = newSimStore(s)
	vms := make([]turmericshed.EntryVM, n)
	domains, regions := fleetDomains(n)
	for i := range vms {
		domain := i % domains
		vms[i] = turmericshed.EntryVM{
			Name: fmt.Sprintf("entry-%04d", i), Region: turmericshed.Region(fmt.Sprintf("region-%d", domain%regions)),
			FailureDomain: turmericshed.FailureDomain(fmt.Sprintf("domain-%02d", domain)),
			CallerAddr:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8080),
			PeerAddr:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
		}
		vms[i].Incarnation = s.incarnation()
	}
	for _, vm := range vms {
		s.start(vm).node.Seed(s.now, vms)
	}
	return s
}

// fleetDomains returns the numbers of failure domains and regions for a fleet size.
func fleetDomains(n int) (domains, regions int) {
	if n < 60 {
		return 3, 1
	}
	return 15, 6
}

func (s *fleetSim) incarnation() turmericshed.Incarnation {
	return turmericshed.Incarnation(fmt.Sprintf("%024x", s.rng.Uint64()))
}

// start starts a process at the address of vm and replaces an earlier one there.
func (s *fleetSim) start(vm turmericshed.EntryVM) *simMember {
	m := &simMember{vm: vm, sim: s}
	m.cache = tsprofile.New(tsprofile.Config{})
	m.topic = tsprofile.NewTopic(m.cache, func() time.Time { return s.now }, func() int { return 1 + len(m.reachable) }, m.refresh)
	s.startCount++
	m.node = tsmember.New(tsmember.Config{
		Self: vm, Epoch: uint64(s.now.UnixMilli()) + uint64(s.startCount), Rand: rand.New(rand.NewPCG(s.rng.Uint64(), 1)),
		Piggyback: []tsmember.Piggyback{m.topic},
	}, s.now)
	if old := s.byName[vm.Name]; old != nil {
		old.isDead = true
		for i := range s.members {
			if s.members[i] == old {
				s.members[i] = m
			}
		}
	} else {
		s.members = append(s.members, m)
	}
	s.byName[vm.Name] = m
	s.after(time.Duration(s.rng.Int64N(int64(fleetTick))), m.tick)
	m.startProfiles()
	return m
}

// after schedules f at d from now.
func (s *fleetSim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, fleetEvent{at: s.now.Add(d), seq: s.seq, run: f})
}

// run executes the events of the next d.
func (s *fleetSim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(fleetEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// liveMembers returns the members that are not dead.
func (s *fleetSim) liveMembers() []*simMember {
	var live []*simMember
	for _, m := range s.members {
		if !m.isDead {
			live = append(live, m)
		}
	}
	return live
}

func (s *fleetSim) delay(a, b *simMember) time.Duration {
	switch {
	case a.vm.FailureDomain == b.vm.FailureDomain:
		return sameDomainDelay
	case a.vm.Region == b.vm.Region:
		return sameRegionDelay
	default:
		return crossRegionDelay
	}
}

// measureCPU runs a step of the member and adds its duration to cpuTime.
func (m *simMember) measureCPU(step func()) {
	start := time.Now()
	step()
	m.cpuTime += time.Since(start)
}

func (m *simMember) tick() {
	if m.isDead {
		return
	}
	var actions []tsmember.Action
	m.measureCPU(func() { actions = m.node.Tick(m.sim.now) })
	for _, e := range m.node.Events() {
		target := m.sim.byName[e.Member.Name]
		if e.Name == turmericshed.EventMemberGone && target != nil && !target.isDead && target.vm.Incarnation == e.Member.Incarnation {
			m.sim.falseGone++
		}
	}
	if m.node.ChangeCount() != m.seenChanges {
		m.measureCPU(func() {
			m.reachable = m.node.Reachable()
			m.relays = tsprofile.Relays(m.vm.FailureDomain, m.vm, m.reachable)
		})
		m.neighbours = m.neighbours[:0]
		for _, vm := range m.reachable {
			if vm.FailureDomain == m.vm.FailureDomain {
				m.neighbours = append(m.neighbours, vm)
			}
		}
		m.seenChanges = m.node.ChangeCount()
	}
	m.performAll(actions)
	m.sim.after(fleetTick, m.tick)
}

func (m *simMember) performAll(actions []tsmember.Action) {
	for _, a := range actions {
		m.performAction(a, nil)
	}
}

// exchange simulates a request and its reply. Either direction may be cut; then failed runs at the
// timeout.
func (m *simMember) exchange(part fleetPart, to turmericshed.EntryVM, timeout time.Duration, requestBytes int, serve func(peer *simMember) (answerBytes int, done func()), failed func()) {
	s := m.sim
	m.countCall(part, requestBytes)
	peer := s.byName[to.Name]
	isLost := peer == nil || peer.isDead || s.isBlocked != nil && s.isBlocked(m, peer)
	if isLost {
		s.after(timeout, m.ifAlive(failed))
		return
	}
	delay := s.delay(m, peer)
	s.after(delay, func() {
		if peer.isDead {
			s.after(timeout-delay, m.ifAlive(failed))
			return
		}
		peer.countCall(part, requestBytes)
		answerBytes, done := serve(peer)
		peer.countBytes(part, answerBytes)
		if s.isBlocked != nil && s.isBlocked(peer, m) {
			s.after(timeout-delay, m.ifAlive(failed))
			return
		}
		s.after(delay, m.ifAlive(func() {
			m.countBytes(part, answerBytes)
			done()
		}))
	})
}

// ifAlive wraps f so that it does nothing once the member is dead.
func (m *simMember) ifAlive(f func()) func() {
	return func() {
		if !m.isDead && f != nil {
			f()
		}
	}
}

// countCall counts a call with its bytes.
func (m *simMember) countCall(part fleetPart, n int) {
	m.countBytes(part, n)
	m.calls++
}

func (m *simMember) countBytes(part fleetPart, n int) {
	m.bytes += int64(n)
	m.bytesByPart[part] += int64(n)
}

// performAction performs an action; relayed, if set, receives the result of a relayed probe.
func (m *simMember) performAction(a tsmember.Action, relayed func(reached bool)) {
	failed := func() {
		var next []tsmember.Action
		m.measureCPU(func() { next = m.node.HandleFailure(m.sim.now, a.ID) })
		m.performAll(next)
		if relayed != nil {
			relayed(false)
		}
	}
	switch a.Kind {
	case tsmember.ActionProbe:
		m.probe(a, failed, relayed)
	case tsmember.ActionRelay:
		m.relay(a, failed)
	case tsmember.ActionSync:
		m.exchange(partSync, a.To, a.Timeout, syncRequestBytes, func(peer *simMember) (int, func()) {
			var reply tsmember.SyncReply
			peer.measureCPU(func() { reply = peer.node.HandleSync(m.sim.now, a.Sync) })
			bytes := proto.Size(tsfleet.EncodeSyncReply(reply))
			return bytes, func() { m.measureCPU(func() { m.node.HandleSyncReply(m.sim.now, a.ID, reply) }) }
		}, failed)
	}
}

func (m *simMember) probe(a tsmember.Action, failed func(), relayed func(bool)) {
	var request []byte
	m.measureCPU(func() { request = encodeGossip(a.Message) })
	m.exchange(partProbe, a.To, a.Timeout, len(request), func(peer *simMember) (int, func()) {
		var answer []byte
		peer.measureCPU(func() { answer = encodeGossip(peer.node.HandleProbe(m.sim.now, decodeGossip(request))) })
		return len(answer), func() {
			var reached bool
			m.measureCPU(func() { reached = m.node.HandleReply(m.sim.now, a.ID, decodeGossip(answer)) })
			if relayed != nil {
				relayed(reached)
			}
		}
	}, failed)
}

// relay requests a probe from a helper, which replies only after that probe.
func (m *simMember) relay(a tsmember.Action, failed func()) {
	s := m.sim
	answered := false
	s.after(a.Timeout, m.ifAlive(func() {
		if !answered {
			failed()
		}
	}))
	m.exchange(partProbe, a.To, a.Timeout, relayMessageBytes, func(helper *simMember) (int, func()) {
		probe, known := helper.node.HandleRelay(s.now, a.Target.Incarnation)
		if known {
			helper.performAction(probe, func(reached bool) {
				if s.isBlocked != nil && s.isBlocked(helper, m) {
					return
				}
				s.after(s.delay(helper, m), m.ifAlive(func() {
					answered = true
					m.measureCPU(func() { m.node.HandleRelayReply(s.now, a.ID, reached) })
				}))
			})
		}
		return relayMessageBytes, func() {}
	}, nil)
}

func encodeGossip(m tsmember.Message) []byte {
	b, err := proto.Marshal(tsfleet.EncodeMessage(m))
	turmericshed.Assert(err == nil, "gossip_encodes", "%v", err)
	return b
}

func decodeGossip(b []byte) tsmember.Message {
	m, err := tsfleet.UnmarshalMessage(b)
	turmericshed.Assert(err == nil, "gossip_decodes", "%v", err)
	return m
}
