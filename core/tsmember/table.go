package tsmember

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"turmericshed"
)

// addMember adds an unknown incarnation to the table.
func (n *Node) addMember(now time.Time, m *Member, reason string) {
	m.Since = now
	n.members[m.Incarnation] = m
	n.toggleDigest(m)
	n.neighbours.dirty = true
	n.changes++
	old := n.current[m.Name]
	switch {
	case old == nil || old.isInactive() && old.Epoch <= m.Epoch:
		n.current[m.Name] = m
		if old != nil {
			n.supersede(now, old, m)
		}
	case m.Epoch > old.Epoch:
		n.current[m.Name] = m
		n.supersede(now, old, m)
	default:
		// An older incarnation, or a newer one whose clock was set back; the
		// latter raises its epoch once it receives the other's.
		n.queue.add(old.Incarnation, true)
		n.supersede(now, m, old)
		return
	}
	if m.Seq > 0 {
		n.queue.add(m.Incarnation, true)
		n.hasUrgentUpdate = true
	}
	if !m.isInactive() {
		n.recordEvent(turmericshed.EventMemberAlive, m, reason)
	}
}

// supersede marks an incarnation as gone because its process was restarted.
func (n *Node) supersede(now time.Time, old, by *Member) {
	old.isSuperseded = true
	delete(n.lost, old.Incarnation)
	if !old.isInactive() {
		n.setState(now, old, turmericshed.MemberGone, fmt.Sprintf("restarted as %s", by.Incarnation))
	}
}

// setState changes the state of a member.
func (n *Node) setState(now time.Time, m *Member, s turmericshed.MemberState, reason string) {
	if m.State == s {
		return
	}
	ended := m.isInactive()
	n.toggleDigest(m)
	m.State, m.Since = s, now
	n.toggleDigest(m)
	n.neighbours.dirty = n.neighbours.dirty || ended != m.isInactive()
	n.changes++
	delete(n.suspects, m.Incarnation)
	if m != n.self && !n.cutDomains[m.FailureDomain] {
		n.queue.add(m.Incarnation, false)
		n.hasUrgentUpdate = true
	}
	switch s {
	case turmericshed.MemberSuspect:
		n.suspects[m.Incarnation] = m
		n.recordEvent(turmericshed.EventMemberSuspect, m, reason)
	case turmericshed.MemberGone:
		if !m.isSuperseded {
			n.lost[m.Incarnation] = m
		}
		n.recordEvent(turmericshed.EventMemberGone, m, reason)
	case turmericshed.MemberLeft:
		delete(n.lost, m.Incarnation)
		n.recordEvent(turmericshed.EventMemberLeft, m, reason)
	default:
		n.recordEvent(turmericshed.EventMemberAlive, m, reason)
	}
}

func (n *Node) recordEvent(name turmericshed.EventName, m *Member, reason string) {
	n.events = append(n.events, Event{Name: name, Member: m.EntryVM, Reason: reason})
}

// merge applies an update from another node. direct is true if the sender is the member
// itself.
func (n *Node) merge(now time.Time, u Update, direct bool) {
	if u.Name == n.self.Name {
		n.mergeSelf(now, u)
		return
	}
	m := n.members[u.Incarnation]
	if m == nil {
		n.mergeUnknown(now, u)
		return
	}
	if !m.PeerAddr.IsValid() {
		if !u.HasAddresses() && u.State == turmericshed.MemberAlive {
			return // useless without its address, which anti-entropy delivers
		}
		if u.HasAddresses() {
			m.EntryVM = u.EntryVM
		}
	}
	n.applyEpoch(now, m, u.Epoch)
	if u.Seq > m.Seq {
		n.mergeNewer(now, m, u, direct)
		return
	}
	if u.Seq < m.Seq {
		return
	}
	switch u.State {
	case turmericshed.MemberLeft:
		n.setState(now, m, turmericshed.MemberLeft, "left")
	case turmericshed.MemberSuspect, turmericshed.MemberGone:
		n.mergeAccusers(now, m, u)
	case turmericshed.MemberAlive:
		if direct && m.State == turmericshed.MemberSuspect {
			m.Accusers = nil
			n.setState(now, m, turmericshed.MemberAlive, "direct contact")
		}
	}
}

// applyEpoch applies a raised epoch. A restarted process whose clock was set back raises its
// epoch to be ordered after its earlier incarnation.
func (n *Node) applyEpoch(now time.Time, m *Member, epoch uint64) {
	if epoch <= m.Epoch {
		return
	}
	m.Epoch = epoch
	cur := n.current[m.Name]
	if cur == m || cur != nil && cur.Epoch >= epoch {
		return
	}
	n.current[m.Name] = m
	m.isSuperseded = false
	if cur != nil {
		n.supersede(now, cur, m)
	}
}

// mergeNewer applies a raised sequence number, which only the member itself raises.
func (n *Node) mergeNewer(now time.Time, m *Member, u Update, direct bool) {
	if m.State == turmericshed.MemberLeft {
		return
	}
	listed := m.Seq == 0
	n.toggleDigest(m)
	m.Seq, m.Accusers = u.Seq, nil
	n.toggleDigest(m)
	if m.isSuperseded && !m.isInactive() {
		return
	}
	if u.HasAddresses() {
		m.EntryVM = u.EntryVM
		n.changes++
	}
	switch {
	case u.State == turmericshed.MemberLeft:
		n.setState(now, m, turmericshed.MemberLeft, "left")
	case m.isSuperseded:
	case u.State == turmericshed.MemberAlive || direct:
		delete(n.lost, m.Incarnation)
		if !listed {
			n.queue.add(m.Incarnation, false)
		}
		n.setState(now, m, turmericshed.MemberAlive, "refuted")
	default:
		delete(n.lost, m.Incarnation)
		n.setState(now, m, turmericshed.MemberAlive, "refuted")
		n.mergeAccusers(now, m, u)
	}
}

// mergeUnknown adds an incarnation that the table lacks.
func (n *Node) mergeUnknown(now time.Time, u Update) {
	ended := u.State == turmericshed.MemberGone || u.State == turmericshed.MemberLeft
	if !u.HasAddresses() && !ended {
		return
	}
	m := &Member{EntryVM: u.EntryVM, Epoch: u.Epoch, Seq: u.Seq, State: turmericshed.MemberAlive}
	if ended {
		m.State = u.State
	}
	if m.State == turmericshed.MemberGone && !n.hasEnoughAccusers(u.accusers(now)) && !u.Superseded {
		if !u.HasAddresses() {
			return
		}
		m.State = turmericshed.MemberAlive
	}
	m.isSuperseded = u.Superseded
	n.addMember(now, m, "heard from peers")
	if m.State == turmericshed.MemberGone && !m.isSuperseded && u.HasAddresses() {
		n.lost[m.Incarnation] = m
	}
	if m.State == turmericshed.MemberAlive && u.State != turmericshed.MemberAlive {
		n.mergeAccusers(now, m, u)
	}
}

// mergeSelf responds to an update about this node's own name.
func (n *Node) mergeSelf(now time.Time, u Update) {
	if u.Incarnation != n.self.Incarnation {
		if u.Epoch >= n.self.Epoch && !n.hasLeft {
			n.self.Epoch = u.Epoch + 1
			n.raiseSeq(n.self.Seq + 1)
			n.queue.add(n.self.Incarnation, true)
		}
		if n.members[u.Incarnation] == nil {
			old := &Member{EntryVM: u.EntryVM, Epoch: u.Epoch, Seq: u.Seq, State: turmericshed.MemberAlive, Since: now}
			n.members[u.Incarnation] = old
			n.toggleDigest(old)
			n.supersede(now, old, n.self)
		}
		return
	}
	accused := u.State == turmericshed.MemberGone ||
		u.State == turmericshed.MemberSuspect && slices.ContainsFunc(u.accusers(now), n.needsRefutation)
	if !n.hasLeft && (u.Seq > n.self.Seq || accused && u.Seq == n.self.Seq) {
		n.raiseSeq(u.Seq + 1)
	}
}

// needsRefutation reports whether this node has to refute an accusation of itself. One made
// across a link before that link healed needs no refutation, as every node drops it.
func (n *Node) needsRefutation(a Accuser) bool { return !a.At.Before(n.healedAt[a.FailureDomain]) }

// raiseSeq makes this node's record newer than the copies on other nodes.
func (n *Node) raiseSeq(seq uint64) {
	n.toggleDigest(n.self)
	n.self.Seq = seq
	n.toggleDigest(n.self)
	n.queue.add(n.self.Incarnation, false)
	n.hasUrgentUpdate = true
}

// mergeAccusers adds the accusers in another node's update.
func (n *Node) mergeAccusers(now time.Time, m *Member, u Update) {
	if m.isInactive() {
		return
	}
	if u.Superseded {
		m.isSuperseded = true
		n.setState(now, m, turmericshed.MemberGone, "restarted")
		return
	}
	accusers := slices.DeleteFunc(u.accusers(now), func(a Accuser) bool { return n.predatesHealing(m.FailureDomain, a) })
	if u.State == turmericshed.MemberGone && n.hasEnoughAccusers(accusers) {
		// The accusations may have expired by now, but the member did not refute them.
		m.Accusers = accusers
		n.setState(now, m, turmericshed.MemberGone, fmt.Sprintf("%d accusers, heard from peers", len(accusers)))
		return
	}
	for _, a := range accusers {
		n.accuse(now, m, a)
	}
}

// accuse adds an accuser of a member that is not gone.
func (n *Node) accuse(now time.Time, m *Member, a Accuser) {
	if m.isInactive() || m == n.self || now.Sub(a.At) >= accusationTTL || n.predatesHealing(m.FailureDomain, a) {
		return
	}
	if m.addAccuser(a) && !n.cutDomains[m.FailureDomain] {
		n.queue.add(m.Incarnation, false)
	}
	if m.State == turmericshed.MemberAlive {
		n.setState(now, m, turmericshed.MemberSuspect, "accused by "+a.Name)
	}
}

// predatesHealing reports whether an accusation between failure domains was made before the
// link to either of them healed.
func (n *Node) predatesHealing(d turmericshed.FailureDomain, a Accuser) bool {
	return a.FailureDomain != d && (a.At.Before(n.healedAt[d]) || a.At.Before(n.healedAt[a.FailureDomain]))
}

// evaluateSuspects declares members gone that have been suspect for long enough, and returns
// those whose accusations expired to the alive state.
func (n *Node) evaluateSuspects(now time.Time) {
	for _, m := range n.sortedSuspects() {
		m.expireAccusers(now)
		if len(m.Accusers) == 0 {
			n.setState(now, m, turmericshed.MemberAlive, "accusations expired")
			continue
		}
		if now.Sub(m.Since) >= suspicionTimeout && n.hasEnoughAccusers(m.Accusers) && n.hasEvidenceAgainst(m) {
			turmericshed.Assert(len(m.Accusers) >= minAccusersSmallFleet, "gone_needs_accusers",
				"%s: %d accusers", m.Name, len(m.Accusers))
			n.setState(now, m, turmericshed.MemberGone, fmt.Sprintf("%d accusers", len(m.Accusers)))
		}
	}
}

// hasEvidenceAgainst reports whether the failed probes point at the member and not at the
// link to its failure domain: an accuser is in the member's own domain, or a probe failed
// after its domain was reached. Absence from the platform's list is evidence too.
func (n *Node) hasEvidenceAgainst(m *Member) bool {
	if n.cutDomains[m.FailureDomain] {
		return n.missedReadings[m.Name] >= minUnlistedReadings
	}
	if contact := n.lastContact[m.FailureDomain]; contact.After(m.Since) && (m.domainReachedAt.IsZero() || m.domainReachedAt.Before(m.Since)) {
		m.domainReachedAt = contact
	}
	accusedSince := !m.domainReachedAt.IsZero() && slices.ContainsFunc(m.Accusers, func(a Accuser) bool { return a.At.After(m.domainReachedAt) })
	return m.hasAccuserIn(m.FailureDomain) || accusedSince || n.missedReadings[m.Name] >= minUnlistedReadings
}

// sortedSuspects makes decisions independent of map order.
func (n *Node) sortedSuspects() []*Member { return sorted(n.suspects) }

func sorted(set map[turmericshed.Incarnation]*Member) []*Member {
	all := make([]*Member, 0, len(set))
	for _, m := range set {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *Member) int { return strings.Compare(string(a.Incarnation), string(b.Incarnation)) })
	return all
}

// hasEnoughAccusers reports whether the accusers suffice to declare a member gone.
func (n *Node) hasEnoughAccusers(accusers []Accuser) bool {
	if n.neighbours.memberCount < minAccusers+1 {
		return len(accusers) >= minAccusersSmallFleet
	}
	return len(accusers) >= minAccusers
}

// updateCuts infers which failure domains are unreachable from here: at least two of their
// members are accused from this domain, and no node of this domain had contact with the
// failure domain within contactTTL. A contact ends the cut and clears the accusations that
// this domain made because of it.
func (n *Node) updateCuts(now time.Time) {
	accused := make(map[turmericshed.FailureDomain]int)
	for _, m := range n.suspects {
		if m.FailureDomain != n.self.FailureDomain && m.hasAccuserIn(n.self.FailureDomain) {
			accused[m.FailureDomain]++
		}
	}
	for d, count := range accused {
		if !n.cutDomains[d] && count >= minCutSuspects && now.Sub(n.lastContact[d]) > contactTTL {
			n.cutDomains[d] = true
			n.changes++
		}
	}
	for d := range n.cutDomains {
		if now.Sub(n.lastContact[d]) <= contactTTL {
			n.changes++
			delete(n.cutDomains, d)
			n.clearCutAccusations(now, d)
		}
	}
}

// clearCutAccusations drops the accusations against members of another domain that were made
// while the link to it was cut. Members that are dead are accused again by the nodes that probe them.
func (n *Node) clearCutAccusations(now time.Time, d turmericshed.FailureDomain) {
	n.hasUrgentUpdate = true
	n.healedAt[d] = now
	for _, m := range n.sortedSuspects() {
		if m.FailureDomain != d || m.hasAccuserIn(d) {
			continue
		}
		m.Accusers = nil
		n.setState(now, m, turmericshed.MemberAlive, "link healed")
	}
	for _, m := range sorted(n.unreachable) {
		if m.FailureDomain == d {
			n.setReachable(m, true)
		}
	}
}

// purgeInactive drops incarnations that have been inactive for longer than goneRetention.
func (n *Node) purgeInactive(now time.Time) {
	for in, m := range n.members {
		if m.isInactive() && m != n.self && now.Sub(m.Since) > goneRetention {
			n.toggleDigest(m)
			delete(n.members, in)
			delete(n.lost, in)
			delete(n.unreachable, in)
			if n.current[m.Name] == m {
				delete(n.current, m.Name)
			}
		}
	}
}
