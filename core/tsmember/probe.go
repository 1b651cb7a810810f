package tsmember

import (
	"time"

	"turmericshed"
)

// ActionKind tells what call an action is.
type ActionKind int

// The kinds of actions.
const (
	// ActionProbe sends Message to To and expects a Message.
	ActionProbe ActionKind = iota + 1
	// ActionRelay asks To to probe Target.
	ActionRelay
	// ActionSync sends Sync to To and expects a SyncReply.
	ActionSync
)

// Action is a call that the driver makes; its result is handed back under ID.
type Action struct {
	Kind    ActionKind
	ID      uint64
	To      turmericshed.EntryVM
	Target  turmericshed.EntryVM
	Message Message
	Sync    SyncRequest
	Timeout time.Duration
}

// probe is a call that has no result yet.
type probe struct {
	kind   ActionKind
	target *Member
	// helper made a relayed probe.
	helper *Member
	// round joins the relayed probes of one failed probe.
	round *round
	// quiet probes accuse nobody: those on behalf of others, and those of
	// members already gone.
	quiet bool
}

// round collects the answers of helpers.
type round struct {
	open      int
	reached   bool
	witnesses []*Member
}

// Tick returns the calls that are due. Call it every 100 ms or so.
func (n *Node) Tick(now time.Time) []Action {
	if gap := now.Sub(n.lastTick); gap > pauseLimit {
		n.resume(now)
	}
	n.lastTick = now
	n.updateCuts(now)
	n.judge(now)
	n.neighbours.refresh(n, now)
	var actions []Action
	if !now.Before(n.nextProbe) {
		n.nextProbe = now.Add(Period)
		n.slot++
		if m := n.neighbours.next(n.cfg.Rand, n.slot); m != nil {
			actions = append(actions, n.probeAction(now, m, false))
		}
	}
	if !now.Before(n.nextForget) {
		n.nextForget = now.Add(forgetPeriod)
		n.forget(now)
	}
	if !now.Before(n.nextLost) {
		n.nextLost = now.Add(lostPeriod)
		if m := n.lostMember(); m != nil {
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
	return append(actions, n.push(now)...)
}

// resume forgets open probes after this process was paused: their timeouts
// say nothing about the members.
func (n *Node) resume(now time.Time) {
	clear(n.probes)
	for _, m := range n.suspects {
		m.Since = now
	}
}

// lostMember returns a random member that is gone or not reached from here;
// every other time a suspect one, so that it can refute.
func (n *Node) lostMember() *Member {
	n.lostTurn++
	if n.lostTurn%2 == 0 && len(n.suspects) > 0 {
		return pick(n.cfg.Rand, n.sortedSuspects())
	}
	candidates := append(sorted(n.lost), n.sortedSuspects()...)
	for _, m := range sorted(n.unreached) {
		if m.State == turmericshed.MemberAlive {
			candidates = append(candidates, m)
		}
	}
	return pick(n.cfg.Rand, candidates)
}

// push tells urgent news at once, within its share of bytes.
func (n *Node) push(now time.Time) []Action {
	if now.Before(n.nextPush) {
		return nil
	}
	n.credit = min(n.credit+pushBytes*now.Sub(n.nextPush).Seconds(), pushBurst)
	n.nextPush = now.Add(pushPeriod)
	if n.credit <= 0 {
		return nil
	}
	urgent := n.urgent
	n.urgent = false
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
		n.credit -= float64(a.Message.size())
		actions = append(actions, a)
	}
	return actions
}

func (n *Node) open(p *probe) uint64 {
	n.nextID++
	n.probes[n.nextID] = p
	return n.nextID
}

func (n *Node) probeAction(now time.Time, m *Member, quiet bool) Action {
	return Action{
		Kind: ActionProbe, ID: n.open(&probe{kind: ActionProbe, target: m, quiet: quiet}),
		To: m.EntryVM, Message: n.message(now, m.Incarnation), Timeout: ProbeTimeout,
	}
}

// HandleProbe answers a probe of a peer. One that this node believed it could
// not reach is probed back at once.
func (n *Node) HandleProbe(now time.Time, m Message) Message {
	if peer := n.members[m.From.Incarnation]; peer != nil && peer != n.self && len(n.probeBack) < probeBackLimit {
		if peer.State != turmericshed.MemberAlive || peer.unreachable || n.cut[peer.FailureDomain] {
			n.probeBack[peer.Incarnation] = peer
		}
	}
	n.receive(now, m)
	return n.message(now, m.From.Incarnation)
}

// HandleReply takes the answer to a probe. It reports whether the expected
// incarnation answered.
func (n *Node) HandleReply(now time.Time, id uint64, m Message) bool {
	p := n.probes[id]
	delete(n.probes, id)
	n.receive(now, m)
	if p == nil {
		return false
	}
	n.contact(m.From.FailureDomain, now)
	if m.From.Incarnation != p.target.Incarnation {
		return false
	}
	n.setReached(p.target, true)
	if p.target.State == turmericshed.MemberSuspect {
		p.target.Accusers = nil
		n.setState(now, p.target, turmericshed.MemberAlive, "direct contact")
	}
	return true
}

// HandleCanceled takes an action that was never tried.
func (n *Node) HandleCanceled(now time.Time, id uint64) {
	if p := n.probes[id]; p != nil && p.kind == ActionRelay {
		n.closeRelay(now, p)
	}
	delete(n.probes, id)
}

// HandleFailure takes the failure of an action and returns the relayed probes
// that follow.
func (n *Node) HandleFailure(now time.Time, id uint64) []Action {
	p := n.probes[id]
	delete(n.probes, id)
	if p == nil {
		return nil
	}
	switch p.kind {
	case ActionRelay:
		// The helper could not be asked; that says nothing of the target.
		n.closeRelay(now, p)
		return nil
	case ActionProbe:
	default:
		return nil
	}
	n.setReached(p.target, false)
	if p.quiet || p.target.ended() {
		return nil
	}
	return n.relayActions(now, p.target)
}

// setReached notes how this node's own probe of a member ended.
func (n *Node) setReached(m *Member, reached bool) {
	if m.unreachable != reached {
		return
	}
	m.unreachable = !reached
	n.changes++
	if reached {
		delete(n.unreached, m.Incarnation)
	} else {
		n.unreached[m.Incarnation] = m
	}
}

// relayActions asks helpers to repeat a failed probe.
func (n *Node) relayActions(now time.Time, target *Member) []Action {
	helpers := n.helpers(target)
	r := &round{open: len(helpers)}
	if len(helpers) == 0 {
		n.accuseBy(now, target, r)
		return nil
	}
	actions := make([]Action, 0, len(helpers))
	for _, h := range helpers {
		id := n.open(&probe{kind: ActionRelay, target: target, helper: h, round: r})
		actions = append(actions, Action{
			Kind: ActionRelay, ID: id, To: h.EntryVM, Target: target.EntryVM, Timeout: RelayTimeout,
		})
	}
	return actions
}

// HandleRelay returns the probe that a peer asks for, or false when the
// target is not known. HandleReply or HandleFailure takes its result.
func (n *Node) HandleRelay(now time.Time, target turmericshed.Incarnation) (Action, bool) {
	m := n.members[target]
	if m == nil || m == n.self {
		return Action{}, false
	}
	return n.probeAction(now, m, true), true
}

// HandleRelayReply takes a helper's result.
func (n *Node) HandleRelayReply(now time.Time, id uint64, reached bool) {
	p := n.probes[id]
	delete(n.probes, id)
	if p == nil {
		return
	}
	p.round.reached = p.round.reached || reached
	if !reached {
		p.round.witnesses = append(p.round.witnesses, p.helper)
	}
	n.closeRelay(now, p)
}

func (n *Node) closeRelay(now time.Time, p *probe) {
	if p.round.open--; p.round.open == 0 && !p.round.reached {
		n.accuseBy(now, p.target, p.round)
	}
}

// accuseBy accuses a member that neither this node nor its helpers reached.
func (n *Node) accuseBy(now time.Time, target *Member, r *round) {
	n.accuse(now, target, Accuser{Name: n.self.Name, FailureDomain: n.self.FailureDomain, At: now})
	for _, w := range r.witnesses {
		n.accuse(now, target, Accuser{Name: w.Name, FailureDomain: w.FailureDomain, At: now})
	}
}
