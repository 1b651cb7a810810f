// Package tsmember decides who is in the fleet and who can be reached. It is
// pure: time and randomness come in as arguments, and calls to other entry
// VMs go out as actions whose results are handed back.
//
// The protocol follows SWIM (Das, Gupta, Motivala 2002) with three changes.
//
// Probed members. Each period a node probes one member. Most probes go to a
// few fixed neighbours, the successors of the node on hashed rings over its
// own failure domain, so that connections are kept and every member has the
// same number of observers. The others go to random members elsewhere. The
// cost of a node does not depend on the size of the fleet.
//
// Accusations. A failed probe is tried again through helpers in other failure
// domains. When none reaches the member, the node and the helpers that failed
// become its accusers. An accusation holds for one sequence number of the
// member, expires, and is dropped after any direct contact; the member refutes
// it by raising its sequence number. A member is gone only when several
// accusers agree, the accusation stood for some time, and since it was made
// somebody in this failure domain was in contact with the member's failure
// domain: the evidence must speak against the member and not against the link.
// Members of a domain that cannot be reached at all stay suspect until the
// platform's list drops them too. Contacts are told inside a domain. An
// accuser from the member's own domain is such evidence too.
//
// Incarnations. A restarted process has a new incarnation and the same name,
// which ends the old incarnation at once. A paused process comes back with
// its incarnation and a raised sequence number. A process that finds that it
// was paused itself forgets its open probes and accuses nobody.
//
// Members that are gone are still probed now and then, so that a healed cut
// needs no hand.
//
// Example: of nine members in three failure domains, one in domain a dies.
// A neighbour's probe fails, and helpers in a, b and c fail too. The neighbour
// and the helpers are four accusers. The accusation spreads with the probes of
// the next seconds, and after suspicionTime each node that was in contact with
// another member of domain a declares the member gone.
//
// # Usage
//
//	n := tsmember.New(tsmember.Config{Self: self, Rand: rand.New(...)}, now)
//	n.Seed(now, snapshot.Entries)
//	for _, a := range n.Tick(now) { // perform, then hand the result back
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
	// Period is the time between two probes of one node.
	Period = time.Second
	// ProbeTimeout bounds a probe between any two regions.
	ProbeTimeout = 800 * time.Millisecond
	// RelayTimeout bounds a probe through a helper.
	RelayTimeout = 2 * ProbeTimeout
	// suspicionTimeout is how long an accusation stands before the member is
	// declared gone.
	suspicionTimeout = 5 * time.Second
	// accusationTTL is how long an accusation counts without being renewed.
	accusationTTL = time.Minute
	// goneRetention is how long a gone or left incarnation is remembered.
	goneRetention = 24 * time.Hour
	// lostProbePeriod is the time between probes of members that are gone or
	// cannot be reached from here.
	lostProbePeriod = 3 * time.Second
	// purgePeriod is the time between searches for forgettable incarnations.
	purgePeriod = time.Minute
	// syncPeriod is the time between comparisons of the whole table, and
	// syncAgain that after a difference.
	syncPeriod = 20 * time.Second
	resyncDelay  = time.Second
	// pauseThreshold is the time between two ticks that reveals a pause.
	pauseThreshold = 3 * time.Second
	// contactTTL is how long a direct contact speaks for a failure domain.
	contactTTL = 10 * time.Second
	// maxContactsPerMessage bounds the contacts told with one message.
	maxContactsPerMessage = 4
	// minUnlistedReadings is how many readings of the platform's list in a row
	// must miss a member to count.
	minUnlistedReadings = 3

	// domainProbeRings and remoteSlots make up the cycle of probes.
	domainProbeRings = 4
	remoteProbeSlots = 2
	// helperCount is how many helpers repeat a failed probe.
	helperCount = 3
	// minAccusers is how many accusers declare a member gone; fleets of
	// fewer than four take smallAccusers.
	minAccusers  = 3
	minAccusersSmallFleet = 2
	// minCutSuspects is how many accused members make a failure domain a cut one.
	minCutSuspects = 2
	// maxAccusers bounds the accusers kept for a member.
	maxAccusers = 5

	// MaxPiggybackBytes bounds what rides on one message.
	MaxPiggybackBytes = 1000
	// memberUpdateBytes is the part kept for member updates.
	memberUpdateBytes = 500
	// retransmitFactor times log2 of the fleet's size is how often a node
	// repeats an update.
	retransmitFactor = 3
	// maxProbeBacks bounds the members waiting to be probed back.
	maxProbeBacks = 4
	// pushPeriod is the least time between urgent pushes, and pushBytes the
	// bytes a second that they may take on average.
	pushPeriod = 50 * time.Millisecond
	pushBytesPerSecond  = 1500
	// pushBurstBytes is the largest credit of push bytes.
	pushBurstBytes = 6000
)

// Config holds the settings of a node.
type Config struct {
	Self turmericshed.EntryVM
	// Epoch orders the incarnations of one name; the start time in
	// milliseconds does. A too low one is raised once peers are heard.
	Epoch uint64
	Rand  *rand.Rand
	// Piggyback lists what rides along, most important first.
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
	// changes counts changes of what Members and Reachable return.
	changes uint64

	queue      updateQueue
	neighbours neighbours
	probes     map[uint64]*probe
	nextID     uint64
	probeSlot       int
	lastTick   time.Time
	nextProbe  time.Time
	nextLost   time.Time
	nextPurge time.Time
	nextSync   time.Time
	nextPush   time.Time
	pushCreditBytes     float64
	lastContact   map[turmericshed.FailureDomain]time.Time
	suspects   map[turmericshed.Incarnation]*Member
	lost       map[turmericshed.Incarnation]*Member
	probeBack  map[turmericshed.Incarnation]*Member
	hasUrgentUpdate     bool
	unreachable  map[turmericshed.Incarnation]*Member
	cutDomains        map[turmericshed.FailureDomain]bool
	// healedAt is when a cut of a failure domain ended.
	healedAt  map[turmericshed.FailureDomain]time.Time
	missedReadings  map[string]int
	nextTopic int
	lostProbeCount  int
	hasLeft      bool
}

// New returns a node that knows only itself.
func New(cfg Config, now time.Time) *Node {
	n := &Node{
		cfg:       cfg,
		members:   make(map[turmericshed.Incarnation]*Member),
		current:   make(map[string]*Member),
		probes:    make(map[uint64]*probe),
		lastContact:  make(map[turmericshed.FailureDomain]time.Time),
		suspects:  make(map[turmericshed.Incarnation]*Member),
		lost:      make(map[turmericshed.Incarnation]*Member),
		probeBack: make(map[turmericshed.Incarnation]*Member),
		unreachable: make(map[turmericshed.Incarnation]*Member),
		cutDomains:       make(map[turmericshed.FailureDomain]bool),
		missedReadings:  make(map[string]int),
		healedAt:  make(map[turmericshed.FailureDomain]time.Time),
		lastTick:  now,
		pushCreditBytes:    pushBurstBytes,
		changes:   1,
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

// Self returns this process.
func (n *Node) Self() turmericshed.EntryVM { return n.self.EntryVM }

// Seed takes a reading of the platform's list as a hint. It adds names that
// are not known and removes nobody; being missing from several readings in a
// row is a reason beside accusations. An empty list says nothing. Entries
// without an incarnation are ignored.
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

// State returns the belief about one incarnation.
func (n *Node) State(in turmericshed.Incarnation) turmericshed.MemberState {
	if m := n.members[in]; m != nil {
		return m.State
	}
	return turmericshed.MemberUnknown
}

// Members returns copies of all known incarnations but the node's own, in no
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

// Reachable returns the members that this node believes it can reach now,
// ordered by name.
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

// Changes counts the changes of what Members and Reachable return.
func (n *Node) Changes() uint64 { return n.changes }

// Cut reports whether the failure domain cannot be reached from here at all.
func (n *Node) Cut(d turmericshed.FailureDomain) bool { return n.cutDomains[d] }

// Leave marks this process as leaving for good and returns the calls that
// tell its neighbours.
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

// Events returns what changed since the last call, in order.
func (n *Node) Events() []Event {
	events := n.events
	n.events = nil
	return events
}
