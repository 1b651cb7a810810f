package tsmember

import (
	"time"

	"turmericshed"
)

// ActionKind is the kind of call that an action makes.
type ActionKind int

// The kinds of actions.
const (
	// ActionProbe sends Message to To and expects a Message.
	ActionProbe ActionKind = iota + 1
	// ActionRelay requests that To probe Target.
	ActionRelay
	// ActionSync sends Sync to To and expects a SyncReply.
	ActionSync
)

// Action is a call for the driver to make; the driver hands back its result under ID.
type Action struct {
	Kind    ActionKind
	ID      uint64
	To      turmericshed.EntryVM
	Target  turmericshed.EntryVM
	Message Message
	Sync    SyncRequest
	Timeout time.Duration
}

// probe is a call without a result yet.
type probe struct {
	kind   ActionKind
	target *Member
	// helper performs a relayed probe.
	helper *Member
	// relays collects the relayed probes of one failed probe.
	relays *relayRound
	// nonAccusing is true for probes whose failure accuses no member: those on behalf of
	// others, and those of members already gone.
	nonAccusing bool
}

// relayRound collects the results of the helpers.
type relayRound struct {
	pending       int
	reached       bool
	failedHelpers []*Member
}

// Tick returns the calls that are due. Call it about every 100 ms.
func (n *Node) Tick(now time.Time) []Action {
	if gap := now.Sub(n.lastTick); gap > pauseThreshold {
		n.resetAfterPause(now)
	}
	n.lastTick = now
	n.updateCuts(now)
	n.evaluateSuspects(now)
	n.neighbours.refresh(n, now)
	var actions []Action
	if !now.Before(n.nextProbe) {
		n.nextProbe = now.Add(Period)
		n.probeSlot++
		if m := n.neighbours.next(n.cfg.Rand, n.probeSlot); m != nil {
			actions = append(actions, n.probeAction(now, m, false))
		}
	}
	if !now.Before(n.nextPurge) {
		n.nextPurge = now.Add(purgePeriod)
		n.purgeInactive(now)
	}
	if !now.Before(n.nextLost) {
		n.nextLost = now.Add(lostProbePeriod)
		if m := n.nextLostMember(); m != nil {
			actions = append(actions, n.probeAction(now, m, true))
		}
	}
	for _, m := range sorted(n.probeBack) {
		actions = append(actions, n.probeAction(now, m, true))
	}
	clear(n.probeBack)
	if !now.Before(n.nextSync) {
		n.nextSync = now.Add(syncPeriod)
		if m := n.syncPeer(); m != nil {
			actions = append(actions, n.syncAction(m))
		}
	}
	return append(actions, n.pushUrgent(now)...)
}

// resetAfterPause discards the open probes after this process was paused: their timeouts are
// no evidence against the members.
func (n *Node) resetAfterPause(now time.Time) {
	clear(n.probes)
	for _, m := range n.suspects {
		m.Since = now
	}
}

// nextLostMember returns a random member that is gone or unreachable from this node. Every
// second call returns a suspect one if there is any, so that it can refute.
func (n *Node) nextLostMember() *Member {
	n.lostProbeCount++
	if n.lostProbeCount%2 == 0 && len(n.suspects) > 0 {
		return pickRandom(n.cfg.Rand, n.sortedSuspects())
	}
	candidates := append(sorted(n.lost), n.sortedSuspects()...)
	for _, m := range sorted(n.unreachable) {
		if m.State == turmericshed.MemberAlive {
			candidates = append(candidates, m)
		}
	}
	return pickRandom(n.cfg.Rand, candidates)
}

// pushUrgent sends urgent updates at once, within its byte rate.
func (n *Node) pushUrgent(now time.Time) []Action {
	if now.Before(n.nextPush) {
		return nil
	}
	n.pushCreditBytes = min(n.pushCreditBytes+pushBytesPerSecond*now.Sub(n.nextPush).Seconds(), pushBurstBytes)
	n.nextPush = now.Add(pushPeriod)
	if n.pushCreditBytes <= 0 {
		return nil
	}
	urgent := n.hasUrgentUpdate
	n.hasUrgentUpdate = false
	for _, t := range n.cfg.Piggyback {
		if u, ok := t.(Urgent); ok && u.TakeUrgent() {
			urgent = true
		}
	}
	if !urgent {
		return nil
	}
	var actions []Action
	for _, m := range n.pushTargets(now) {
		a := n.probeAction(now, m, true)
		n.pushCreditBytes -= float64(a.Message.size())
		actions = append(actions, a)
	}
	return actions
}

func (n *Node) registerProbe(p *probe) uint64 {
	n.nextID++
	n.probes[n.nextID] = p
	return n.nextID
}

func (n *Node) probeAction(now time.Time, m *Member, quiet bool) Action {
	return Action{
		Kind: ActionProbe, ID: n.registerProbe(&probe{kind: ActionProbe, target: m, nonAccusing: quiet}),
		To: m.EntryVM, Message: n.buildMessage(now, m.Incarnation), Timeout: ProbeTimeout,
	}
}

// HandleProbe answers a probe of a peer. A peer that this node considers unreachable is
// probed back at once.
func (n *Node) HandleProbe(now time.Time, m Message) Message {
	if peer := n.members[m.From.Incarnation]; peer != nil && peer != n.self && len(n.probeBack) < maxProbeBacks {
		if peer.State != turmericshed.MemberAlive || peer.isUnreachable || n.cutDomains[peer.FailureDomain] {
			n.probeBack[peer.Incarnation] = peer
		}
	}
	n.receive(now, m)
	return n.buildMessage(now, m.From.Incarnation)
}

// HandleReply processes the answer to a probe. It reports whether the expected incarnation
// answered.
func (n *Node) HandleReply(now time.Time, id uint64, m Message) bool {
	p := n.probes[id]
	delete(n.probes, id)
	n.receive(now, m)
	if p == nil {
		return false
	}
	n.recordContact(m.From.FailureDomain, now)
	if m.From.Incarnation != p.target.Incarnation {
		return false
	}
	n.setReachable(p.target, true)
	if p.target.State == turmericshed.MemberSuspect {
		p.target.Accusers = nil
		n.setState(now, p.target, turmericshed.MemberAlive, "direct contact")
	}
	return true
}

// HandleCanceled discards an action that was never attempted.
func (n *Node) HandleCanceled(now time.Time, id uint64) {
	if p := n.probes[id]; p != nil && p.kind == ActionRelay {
		n.completeRelay(now, p)
	}
	delete(n.probes, id)
}

// HandleFailure processes the failure of an action and returns the relayed probes that
// follow.
func (n *Node) HandleFailure(now time.Time, id uint64) []Action {
	p := n.probes[id]
	delete(n.probes, id)
	if p == nil {
		return nil
	}
	switch p.kind {
	case ActionRelay:
		// The helper is unreachable, which is no evidence against the target.
		n.completeRelay(now, p)
		return nil
	case ActionProbe:
	default:
		return nil
	}
	n.setReachable(p.target, false)
	if p.nonAccusing || p.target.isInactive() {
		return nil
	}
	return n.relayActions(now, p.target)
}

// setReachable records the result of this node's own probe of a member.
func (n *Node) setReachable(m *Member, reached bool) {
	if m.isUnreachable != reached {
		return
	}
	m.isUnreachable = !reached
	n.changes++
	if reached {
		delete(n.unreachable, m.Incarnation)
	} else {
		n.unreachable[m.Incarnation] = m
	}
}

// relayActions returns the calls that request helpers to repeat a failed probe.
func (n *Node) relayActions(now time.Time, target *Member) []Action {
	helpers := n.chooseHelpers(target)
	r := &relayRound{pending: len(helpers)}
	if len(helpers) == 0 {
		n.accuseWithHelpers(now, target, r)
		return nil
	}
	actions := make([]Action, 0, len(helpers))
	for _, h := range helpers {
		id := n.registerProbe(&probe{kind: ActionRelay, target: target, helper: h, relays: r})
		actions = append(actions, Action{
			Kind: ActionRelay, ID: id, To: h.EntryVM, Target: target.EntryVM, Timeout: RelayTimeout,
		})
	}
	return actions
}

// HandleRelay returns the probe that a peer requests, or false if the target is unknown.
// HandleReply or HandleFailure processes its result.
func (n *Node) HandleRelay(now time.Time, target turmericshed.Incarnation) (Action, bool) {
	m := n.members[target]
	if m == nil || m == n.self {
		return Action{}, false
	}
	return n.probeAction(now, m, true), true
}

// HandleRelayReply processes a helper's result.
func (n *Node) HandleRelayReply(now time.Time, id uint64, reached bool) {
	p := n.probes[id]
	delete(n.probes, id)
	if p == nil {
		return
	}
	p.relays.reached = p.relays.reached || reached
	if !reached {
		p.relays.failedHelpers = append(p.relays.failedHelpers, p.helper)
	}
	n.completeRelay(now, p)
}

func (n *Node) completeRelay(now time.Time, p *probe) {
	if p.relays.pending--; p.relays.pending == 0 && !p.relays.reached {
		n.accuseWithHelpers(now, p.target, p.relays)
	}
}

// accuseWithHelpers accuses a member that neither this node nor its helpers reached.
func (n *Node) accuseWithHelpers(now time.Time, target *Member, r *relayRound) {
	n.accuse(now, target, Accuser{Name: n.self.Name, FailureDomain: n.self.FailureDomain, At: now})
	for _, w := range r.failedHelpers {
		n.accuse(now, target, Accuser{Name: w.Name, FailureDomain: w.FailureDomain, At: now})
	}
}
