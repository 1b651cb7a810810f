// Package tsmember tracks which entry VMs are members of the fleet and which of them are
// reachable. It performs no I/O: time and randomness are arguments, and calls to other
// entry VMs are returned as actions whose results the driver hands back.
//
// The protocol follows SWIM (Das, Gupta, Motivala 2002) with three changes.
//
// Probed members. Each period a node probes one member. Most probes go to a few fixed
// neighbours, the node's successors on hashed rings over its own failure domain, so that
// connections are reused and every member has the same number of observers. The other
// probes go to random members of other failure domains. The cost of a node does not depend
// on the size of the fleet.
//
// Accusations. A failed probe is retried through helpers, mostly in other failure domains. If no
// helper reaches the member, the node and the helpers that failed become its accusers. An
// accusation is valid for one sequence number of the member, expires, and is dropped after
// any direct contact; the member refutes it by raising its sequence number. A member is
// declared gone only when several accusers agree, it has been suspect for
// suspicionTimeout, and a node of the local failure domain had contact with the member's
// failure domain after the accusation: the evidence must point at the member and not at the
// link. An accuser in the member's own failure domain is such evidence too. Members of a
// failure domain that is entirely unreachable stay suspect until the platform's list drops
// them as well. Nodes of one failure domain share their contacts.
//
// Incarnations. A restarted process has the same name and a new incarnation, which
// supersedes the old one at once. A process that resumes after a pause has the same
// incarnation and raises its sequence number. A process that detects its own pause discards
// its open probes and accuses no member.
//
// Gone members are still probed occasionally, so that the fleet recovers from a healed
// partition without an operator.
//
// Example: a fleet has nine members in three failure domains, and a member in domain a
// dies. A neighbour's probe fails, and so do helpers in a, b and c. The neighbour and the
// helpers are four accusers. The accusation spreads with the probes of the next seconds,
// and after suspicionTimeout each node that had contact with another member of domain a
// declares the member gone.
//
// # Usage
//
//	n := tsmember.New(tsmember.Config{Self: self, Rand: rand.New(...)}, now)
//	n.Seed(now, snapshot.Entries)
//	for _, a := range n.Tick(now) { // perform the call, then hand over its result
//		reply, err := probe(a)
//		n.HandleReply(now, a.ID, reply) // or n.HandleFailure(now, a.ID)
//	}
package tsmember

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"turmericshed"
)

const (
	// Period is the time between two probes sent by one node.
	Period = time.Second
	// ProbeTimeout is the timeout of a probe, between any two regions.
	ProbeTimeout = 800 * time.Millisecond
	// RelayTimeout is the timeout of a probe through a helper.
	RelayTimeout = 2 * ProbeTimeout
	// suspicionTimeout is how long a member must be suspect before it is declared gone.
	suspicionTimeout = 5 * time.Second
	// accusationTTL is how long an accusation is valid without renewal.
	accusationTTL = time.Minute
	// goneRetention is how long a gone or left incarnation is retained.
	goneRetention = 24 * time.Hour
	// lostProbePeriod is the time between probes of members that are gone or unreachable from
	// this node.
	lostProbePeriod = 3 * time.Second
	// purgePeriod is the time between searches for incarnations past their retention.
	purgePeriod = time.Minute
	// syncPeriod is the time between anti-entropy exchanges, and resyncDelay the time to the
	// next one after a difference.
	syncPeriod  = 20 * time.Second
	resyncDelay = time.Second
	// pauseThreshold is the time between two ticks above which the process was paused.
	pauseThreshold = 3 * time.Second
	// contactTTL is how long a direct contact proves that a failure domain is reachable.
	contactTTL = 10 * time.Second
	// maxContactsPerMessage bounds the contacts in one message.
	maxContactsPerMessage = 4
	// minUnlistedReadings is how many consecutive readings of the platform's list must lack a
	// member before its absence is evidence against it.
	minUnlistedReadings = 3

	// A cycle of probes has domainProbeRings probes of neighbours in the own failure domain and
	// remoteProbeSlots probes of members elsewhere.
	domainProbeRings = 4
	remoteProbeSlots = 2
	// helperCount is how many helpers repeat a failed probe.
	helperCount = 3
	// minAccusers is how many accusers it takes to declare a member gone;
	// minAccusersSmallFleet applies to fleets of fewer than four.
	minAccusers           = 3
	minAccusersSmallFleet = 2
	// minCutSuspects is how many accused members it takes to consider a failure domain cut off.
	minCutSuspects = 2
	// maxAccusers bounds the accusers stored for a member.
	maxAccusers = 5

	// MaxPiggybackBytes bounds the updates and payloads of one message.
	MaxPiggybackBytes = 1000
	// memberUpdateBytes is the part of MaxPiggybackBytes for member updates.
	memberUpdateBytes = 500
	// A node sends each update retransmitFactor * log2(fleet size) times.
	retransmitFactor = 3
	// maxProbeBacks bounds the members waiting to be probed back.
	maxProbeBacks = 4
	// pushPeriod is the least time between pushes of urgent updates, and pushBytesPerSecond
	// their average rate.
	pushPeriod         = 50 * time.Millisecond
	pushBytesPerSecond = 1500
	// pushBurstBytes bounds the unused bytes accumulated for pushes.
	pushBurstBytes = 6000
)

// Config holds the settings of a node.
type Config struct {
	Self turmericshed.EntryVM
	// Epoch orders the incarnations of one name; use the start time in milliseconds. A node
	// raises an epoch that is too low once it receives a peer's.
	Epoch uint64
	Rand  *rand.Rand
	// Piggyback lists the topics carried by probes, most important first.
	Piggyback []Piggyback
}

// Node is the membership state of one process. It is not safe for concurrent
// use.
type Node struct {
	cfg     Config
	self    *Member
	members map[turmericshed.Incarnation]*Member
	// current maps a name to its newest incarnation.
	current map[string]*Member
	digests [digestBuckets]uint32
	events  []Event
	// changes counts changes of the results of Members and Reachable.
	changes uint64

	queue           updateQueue
	neighbours      neighbours
	probes          map[uint64]*probe
	nextID          uint64
	probeSlot       int
	lastTick        time.Time
	nextProbe       time.Time
	nextLost        time.Time
	nextPurge       time.Time
	nextSync        time.Time
	nextPush        time.Time
	pushCreditBytes float64
	lastContact     map[turmericshed.FailureDomain]time.Time
	suspects        map[turmericshed.Incarnation]*Member
	lost            map[turmericshed.Incarnation]*Member
	probeBack       map[turmericshed.Incarnation]*Member
	hasUrgentUpdate bool
	unreachable     map[turmericshed.Incarnation]*Member
	cutDomains      map[turmericshed.FailureDomain]bool
	// healedAt is when a cut of a failure domain healed.
	healedAt       map[turmericshed.FailureDomain]time.Time
	missedReadings map[string]int
	nextTopic      int
	lostProbeCount int
	hasLeft        bool
}

// New returns a node whose only member is itself.
func New(cfg Config, now time.Time) *Node {
	n := &Node{
		cfg:             cfg,
		members:         make(map[turmericshed.Incarnation]*Member),
		current:         make(map[string]*Member),
		probes:          make(map[uint64]*probe),
		lastContact:     make(map[turmericshed.FailureDomain]time.Time),
		suspects:        make(map[turmericshed.Incarnation]*Member),
		lost:            make(map[turmericshed.Incarnation]*Member),
		probeBack:       make(map[turmericshed.Incarnation]*Member),
		unreachable:     make(map[turmericshed.Incarnation]*Member),
		cutDomains:      make(map[turmericshed.FailureDomain]bool),
		missedReadings:  make(map[string]int),
		healedAt:        make(map[turmericshed.FailureDomain]time.Time),
		lastTick:        now,
		pushCreditBytes: pushBurstBytes,
		changes:         1,
	}
	n.queue.init()
	n.self = &Member{EntryVM: cfg.Self, Epoch: cfg.Epoch, Seq: 1, State: turmericshed.MemberAlive, Since: now}
	n.members[cfg.Self.Incarnation] = n.self
	n.current[cfg.Self.Name] = n.self
	n.toggleDigest(n.self)
	n.queue.add(n.self.Incarnation, true)
	n.nextProbe = now.Add(time.Duration(cfg.Rand.Int64N(int64(Period))))
	n.nextLost = now.Add(time.Duration(cfg.Rand.Int64N(int64(lostProbePeriod))))
	n.nextSync = now.Add(resyncDelay + time.Duration(cfg.Rand.Int64N(int64(resyncDelay))))
	n.neighbours.dirty = true
	return n
}

// Self returns the entry VM of this process.
func (n *Node) Self() turmericshed.EntryVM { return n.self.EntryVM }

// Seed applies a reading of the platform's list as a hint. It adds unknown names and removes
// no member; a member's absence from minUnlistedReadings consecutive readings is evidence in
// addition to accusations. An empty list is ignored, and so are entries without an
// incarnation.
func (n *Node) Seed(now time.Time, entries []turmericshed.EntryVM) {
	if len(entries) == 0 {
		return
	}
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Name] = true
		if e.Incarnation == "" || e.Name == n.self.Name || n.members[e.Incarnation] != nil {
			continue
		}
		if cur := n.current[e.Name]; cur != nil && !cur.isInactive() {
			continue
		}
		n.addMember(now, &Member{EntryVM: e, State: turmericshed.MemberAlive}, "listed by the platform")
	}
	for name := range n.current {
		if listed[name] {
			delete(n.missedReadings, name)
		} else {
			n.missedReadings[name]++
		}
	}
}

// State returns the local view of one incarnation.
func (n *Node) State(in turmericshed.Incarnation) turmericshed.MemberState {
	if m := n.members[in]; m != nil {
		return m.State
	}
	return turmericshed.MemberUnknown
}

// Members returns copies of all known incarnations except the node's own, in no particular
// order.
func (n *Node) Members() []Member {
	all := make([]Member, 0, len(n.members))
	for _, m := range n.members {
		if m != n.self {
			c := *m
			c.Accusers = slices.Clone(m.Accusers)
			all = append(all, c)
		}
	}
	return all
}

// Reachable returns the members that this node considers reachable now, ordered by name.
func (n *Node) Reachable() []turmericshed.EntryVM {
	vms := make([]turmericshed.EntryVM, 0, len(n.members))
	for _, m := range n.members {
		if m != n.self && m.State == turmericshed.MemberAlive && !m.isUnreachable && !n.cutDomains[m.FailureDomain] {
			vms = append(vms, m.EntryVM)
		}
	}
	slices.SortFunc(vms, func(a, b turmericshed.EntryVM) int { return strings.Compare(a.Name, b.Name) })
	return vms
}

// ChangeCount counts the changes of the results of Members and Reachable.
func (n *Node) ChangeCount() uint64 { return n.changes }

// IsCut reports whether no member of the failure domain is reachable from this node.
func (n *Node) IsCut(d turmericshed.FailureDomain) bool { return n.cutDomains[d] }

// Leave marks this process as leaving permanently and returns the calls that notify its
// neighbours.
func (n *Node) Leave(now time.Time) []Action {
	n.hasLeft = true
	n.toggleDigest(n.self)
	n.self.Seq++
	n.self.State = turmericshed.MemberLeft
	n.toggleDigest(n.self)
	n.queue.add(n.self.Incarnation, false)
	var actions []Action
	for _, m := range n.pushTargets(now) {
		actions = append(actions, n.probeAction(now, m, false))
	}
	return actions
}

// Events returns the events since the last call, in order.
func (n *Node) Events() []Event {
	events := n.events
	n.events = nil
	return events
}
