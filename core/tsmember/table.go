package tsmember

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"turmericshed"
)

// add puts a member that was not known into the table.
func (n *Node) add(now time.Time, m *Member, reason string) {
	m.Since = now
	n.members[m.Incarnation] = m
	n.toggle(m)
	n.neighbours.dirty = true
	n.changes++
	old := n.current[m.Name]
	switch {
	case old == nil || old.ended() && old.Epoch <= m.Epoch:
		n.current[m.Name] = m
		if old != nil {
			n.supersede(now, old, m)
		}
	case m.Epoch > old.Epoch:
		n.current[m.Name] = m
		n.supersede(now, old, m)
	default:
		// An older incarnation, or a newer one whose clock went back; the
		// latter raises its epoch once it hears of the other.
		n.queue.add(old.Incarnation, true)
		n.supersede(now, m, old)
		return
	}
	if m.Seq > 0 {
		n.queue.add(m.Incarnation, true)
		n.urgent = true
	}
	if !m.ended() {
		n.event(turmericshed.EventMemberAlive, m, reason)
	}
}

// supersede ends an incarnation whose process was restarted.
func (n *Node) supersede(now time.Time, old, by *Member) {
	old.superseded = true
	delete(n.lost, old.Incarnation)
	if !old.ended() {
		n.setState(now, old, turmericshed.MemberGone, fmt.Sprintf("restarted as %s", by.Incarnation))
	}
}

// setState changes the belief about a member.
func (n *Node) setState(now time.Time, m *Member, s turmericshed.MemberState, reason string) {
	if m.State == s {
		return
	}
	ended := m.ended()
	n.toggle(m)
	m.State, m.Since = s, now
	n.toggle(m)
	n.neighbours.dirty = n.neighbours.dirty || ended != m.ended()
	n.changes++
	delete(n.suspects, m.Incarnation)
	if m != n.self && !n.cut[m.FailureDomain] {
		n.queue.add(m.Incarnation, false)
		n.urgent = true
	}
	switch s {
	case turmericshed.MemberSuspect:
		n.suspects[m.Incarnation] = m
		n.event(turmericshed.EventMemberSuspect, m, reason)
	case turmericshed.MemberGone:
		if !m.superseded {
			n.lost[m.Incarnation] = m
		}
		n.event(turmericshed.EventMemberGone, m, reason)
	case turmericshed.MemberLeft:
		delete(n.lost, m.Incarnation)
		n.event(turmericshed.EventMemberLeft, m, reason)
	default:
		n.event(turmericshed.EventMemberAlive, m, reason)
	}
}

func (n *Node) event(name turmericshed.EventName, m *Member, reason string) {
	n.events = append(n.events, Event{Name: name, Member: m.EntryVM, Reason: reason})
}

// merge joins what another node says. direct is true when the member itself
// says it.
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
		if !u.Addressed() && u.State == turmericshed.MemberAlive {
			return // without its address it is of no use; a comparison brings it
		}
		if u.Addressed() {
			m.EntryVM = u.EntryVM
		}
	}
	n.reorder(now, m, u.Epoch)
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

// reorder takes a raised epoch, by which a restarted process whose clock went
// back comes before its earlier incarnation.
func (n *Node) reorder(now time.Time, m *Member, epoch uint64) {
	if epoch <= m.Epoch {
		return
	}
	m.Epoch = epoch
	cur := n.current[m.Name]
	if cur == m || cur != nil && cur.Epoch >= epoch {
		return
	}
	n.current[m.Name] = m
	m.superseded = false
	if cur != nil {
		n.supersede(now, cur, m)
	}
}

// mergeNewer takes a raised sequence number, which only the member makes.
func (n *Node) mergeNewer(now time.Time, m *Member, u Update, direct bool) {
	if m.State == turmericshed.MemberLeft {
		return
	}
	listed := m.Seq == 0
	n.toggle(m)
	m.Seq, m.Accusers = u.Seq, nil
	n.toggle(m)
	if m.superseded && !m.ended() {
		return
	}
	if u.Addressed() {
		m.EntryVM = u.EntryVM
		n.changes++
	}
	switch {
	case u.State == turmericshed.MemberLeft:
		n.setState(now, m, turmericshed.MemberLeft, "left")
	case m.superseded:
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

// mergeUnknown adds an incarnation heard of for the first time.
func (n *Node) mergeUnknown(now time.Time, u Update) {
	ended := u.State == turmericshed.MemberGone || u.State == turmericshed.MemberLeft
	if !u.Addressed() && !ended {
		return
	}
	m := &Member{EntryVM: u.EntryVM, Epoch: u.Epoch, Seq: u.Seq, State: turmericshed.MemberAlive}
	if ended {
		m.State = u.State
	}
	if m.State == turmericshed.MemberGone && !n.enough(u.accusers(now)) && !u.Superseded {
		if !u.Addressed() {
			return
		}
		m.State = turmericshed.MemberAlive
	}
	m.superseded = u.Superseded
	n.add(now, m, "heard from peers")
	if m.State == turmericshed.MemberGone && !m.superseded && u.Addressed() {
		n.lost[m.Incarnation] = m
	}
	if m.State == turmericshed.MemberAlive && u.State != turmericshed.MemberAlive {
		n.mergeAccusers(now, m, u)
	}
}

// mergeSelf answers what is said about this node's own name.
func (n *Node) mergeSelf(now time.Time, u Update) {
	if u.Incarnation != n.self.Incarnation {
		if u.Epoch >= n.self.Epoch && !n.left {
			n.self.Epoch = u.Epoch + 1
			n.raiseSeq(n.self.Seq + 1)
			n.queue.add(n.self.Incarnation, true)
		}
		if n.members[u.Incarnation] == nil {
			old := &Member{EntryVM: u.EntryVM, Epoch: u.Epoch, Seq: u.Seq, State: turmericshed.MemberAlive, Since: now}
			n.members[u.Incarnation] = old
			n.toggle(old)
			n.supersede(now, old, n.self)
		}
		return
	}
	accused := u.State == turmericshed.MemberGone ||
		u.State == turmericshed.MemberSuspect && slices.ContainsFunc(u.accusers(now), n.unsettled)
	if !n.left && (u.Seq > n.self.Seq || accused && u.Seq == n.self.Seq) {
		n.raiseSeq(u.Seq + 1)
	}
}

// unsettled reports whether an accusation of this node has to be refuted. One
// made across a link before it healed is dropped by everybody.
func (n *Node) unsettled(a Accuser) bool { return !a.At.Before(n.healedAt[a.FailureDomain]) }

// raiseSeq makes this node's record newer than what others hold.
func (n *Node) raiseSeq(seq uint64) {
	n.toggle(n.self)
	n.self.Seq = seq
	n.toggle(n.self)
	n.queue.add(n.self.Incarnation, false)
	n.urgent = true
}

// mergeAccusers joins the accusers that another node knows.
func (n *Node) mergeAccusers(now time.Time, m *Member, u Update) {
	if m.ended() {
		return
	}
	if u.Superseded {
		m.superseded = true
		n.setState(now, m, turmericshed.MemberGone, "restarted")
		return
	}
	accusers := slices.DeleteFunc(u.accusers(now), func(a Accuser) bool { return n.settled(m.FailureDomain, a) })
	if u.State == turmericshed.MemberGone && n.enough(accusers) {
		// The accusations may be old by now; the member did not refute them.
		m.Accusers = accusers
		n.setState(now, m, turmericshed.MemberGone, fmt.Sprintf("%d accusers, heard from peers", len(accusers)))
		return
	}
	for _, a := range accusers {
		n.accuse(now, m, a)
	}
}

// accuse joins one accuser of a member that is not gone.
func (n *Node) accuse(now time.Time, m *Member, a Accuser) {
	if m.ended() || m == n.self || now.Sub(a.At) >= accusationTTL || n.settled(m.FailureDomain, a) {
		return
	}
	if m.accuse(a) && !n.cut[m.FailureDomain] {
		n.queue.add(m.Incarnation, false)
	}
	if m.State == turmericshed.MemberAlive {
		n.setState(now, m, turmericshed.MemberSuspect, "accused by "+a.Name)
	}
}

// settled reports whether an accusation between failure domains was made
// before the link to either of them healed.
func (n *Node) settled(d turmericshed.FailureDomain, a Accuser) bool {
	return a.FailureDomain != d && (a.At.Before(n.healedAt[d]) || a.At.Before(n.healedAt[a.FailureDomain]))
}

// judge declares members gone whose accusations stood long enough, and clears
// those whose accusations expired.
func (n *Node) judge(now time.Time) {
	for _, m := range n.sortedSuspects() {
		m.expire(now)
		if len(m.Accusers) == 0 {
			n.setState(now, m, turmericshed.MemberAlive, "accusations expired")
			continue
		}
		if now.Sub(m.Since) >= suspicionTime && n.enough(m.Accusers) && n.speaksAgainstMember(m) {
			turmericshed.Assert(len(m.Accusers) >= smallAccusers, "gone_needs_accusers",
				"%s: %d accusers", m.Name, len(m.Accusers))
			n.setState(now, m, turmericshed.MemberGone, fmt.Sprintf("%d accusers", len(m.Accusers)))
		}
	}
}

// speaksAgainstMember reports whether the failed probes tell of the member
// and not of the link to its failure domain: the accusers are of the member's
// own domain, or a probe failed after its domain was reached.
func (n *Node) speaksAgainstMember(m *Member) bool {
	if n.cut[m.FailureDomain] {
		return n.unlisted[m.Name] >= unlistedReadings
	}
	if contact := n.contacts[m.FailureDomain]; contact.After(m.Since) && (m.reachedAt.IsZero() || m.reachedAt.Before(m.Since)) {
		m.reachedAt = contact
	}
	accusedSince := !m.reachedAt.IsZero() && slices.ContainsFunc(m.Accusers, func(a Accuser) bool { return a.At.After(m.reachedAt) })
	return m.accusedFrom(m.FailureDomain) || accusedSince || n.unlisted[m.Name] >= unlistedReadings
}

// sortedSuspects keeps decisions independent of map order.
func (n *Node) sortedSuspects() []*Member { return sorted(n.suspects) }

func sorted(set map[turmericshed.Incarnation]*Member) []*Member {
	all := make([]*Member, 0, len(set))
	for _, m := range set {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *Member) int { return strings.Compare(string(a.Incarnation), string(b.Incarnation)) })
	return all
}

// enough reports whether the accusers may declare a member gone.
func (n *Node) enough(accusers []Accuser) bool {
	if n.neighbours.total < fullAccusers+1 {
		return len(accusers) >= smallAccusers
	}
	return len(accusers) >= fullAccusers
}

// updateCuts infers which failure domains cannot be reached from here: at
// least two of their members are accused from this domain, and nobody here
// was in contact with the domain lately. A contact ends the cut, and with it
// the accusations that this domain made because of it.
func (n *Node) updateCuts(now time.Time) {
	accused := make(map[turmericshed.FailureDomain]int)
	for _, m := range n.suspects {
		if m.FailureDomain != n.self.FailureDomain && m.accusedFrom(n.self.FailureDomain) {
			accused[m.FailureDomain]++
		}
	}
	for d, count := range accused {
		if !n.cut[d] && count >= cutMembers && now.Sub(n.contacts[d]) > contactTTL {
			n.cut[d] = true
			n.changes++
		}
	}
	for d := range n.cut {
		if now.Sub(n.contacts[d]) <= contactTTL {
			n.changes++
			delete(n.cut, d)
			n.healed(now, d)
		}
	}
}

// healed drops what was held against the members of another domain while the
// link to it was cut. Those that are dead are accused again by their probers.
func (n *Node) healed(now time.Time, d turmericshed.FailureDomain) {
	n.urgent = true
	n.healedAt[d] = now
	for _, m := range n.sortedSuspects() {
		if m.FailureDomain != d || m.accusedFrom(d) {
			continue
		}
		m.Accusers = nil
		n.setState(now, m, turmericshed.MemberAlive, "link healed")
	}
	for _, m := range sorted(n.unreached) {
		if m.FailureDomain == d {
			n.setReached(m, true)
		}
	}
}

// forget drops incarnations that ended long ago.
func (n *Node) forget(now time.Time) {
	for in, m := range n.members {
		if m.ended() && m != n.self && now.Sub(m.Since) > goneRetention {
			n.toggle(m)
			delete(n.members, in)
			delete(n.lost, in)
			delete(n.unreached, in)
			if n.current[m.Name] == m {
				delete(n.current, m.Name)
			}
		}
	}
}
