package tsmember

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"turmericshed"
)

// Piggyback is a topic whose payloads are carried by probes. Its methods are called one at a
// time and must not block.
type Piggyback interface {
	// Topic returns the name of the topic.
	Topic() string
	// Next returns payloads of at most budgetBytes in total, least sent first, and counts each
	// as sent once.
	Next(budgetBytes int) [][]byte
	// Merge applies a payload from a peer.
	Merge(payload []byte)
}

// Urgent is a Piggyback whose updates are pushed to neighbours at once.
type Urgent interface {
	Piggyback
	// TakeUrgent reports whether there were urgent updates since the last call.
	TakeUrgent() bool
}

// Payload is opaque data of one topic.
type Payload struct {
	Topic string
	Data  []byte
}

// Contact is how long ago the sender's failure domain had contact with another one.
type Contact struct {
	FailureDomain turmericshed.FailureDomain
	Age           time.Duration
}

// Accusation is an accuser in an update.
type Accusation struct {
	Name          string
	FailureDomain turmericshed.FailureDomain
	Age           time.Duration
}

// Update is a node's view of an incarnation. Only the first update about it carries
// addresses.
type Update struct {
	turmericshed.EntryVM
	Epoch      uint64
	Seq        uint64
	State      turmericshed.MemberState
	Superseded bool
	Accusers   []Accusation
}

// HasAddresses reports whether the update carries addresses.
func (u Update) HasAddresses() bool { return u.PeerAddr.IsValid() }

func (u Update) accusers(now time.Time) []Accuser {
	out := make([]Accuser, 0, len(u.Accusers))
	for _, a := range u.Accusers {
		out = append(out, Accuser{Name: a.Name, FailureDomain: a.FailureDomain, At: now.Add(-a.Age)})
	}
	return out
}

const (
	updateBytes   = 16
	addressBytes  = 28
	accuserBytes  = 8
	payloadBytes  = 8
	contactsBytes = 10
)

// size estimates the encoded length in bytes.
func (u Update) size() int {
	n := updateBytes + len(u.Name) + len(u.Incarnation)
	if u.HasAddresses() {
		n += addressBytes + len(u.Region) + len(u.FailureDomain)
	}
	for _, a := range u.Accusers {
		n += accuserBytes + len(a.Name) + len(a.FailureDomain)
	}
	return n
}

// Message is a probe or its answer.
type Message struct {
	// From is the sender's own record.
	From Update
	// To is the incarnation that the sender expects to reach.
	To       turmericshed.Incarnation
	Updates  []Update
	Contacts []Contact
	Payloads []Payload
}

func (m Message) size() int {
	n := m.From.size() + len(m.Contacts)*contactsBytes
	for _, u := range m.Updates {
		n += u.size()
	}
	for _, p := range m.Payloads {
		n += payloadBytes + len(p.Data)
	}
	return n
}

// updateQueue holds the updates still to be sent, each a bounded number of times.
type updateQueue struct {
	items map[turmericshed.Incarnation]*queuedUpdate
}

type queuedUpdate struct {
	incarnation turmericshed.Incarnation
	sent        int
	withAddress bool
}

func (q *updateQueue) init() { q.items = make(map[turmericshed.Incarnation]*queuedUpdate) }

// add queues an update with its send count reset; withAddress includes the addresses.
func (q *updateQueue) add(in turmericshed.Incarnation, full bool) {
	if it := q.items[in]; it != nil {
		it.sent, it.withAddress = 0, it.withAddress || full
		return
	}
	q.items[in] = &queuedUpdate{incarnation: in, withAddress: full}
}

// next returns the least sent updates that fit into budget bytes.
func (q *updateQueue) next(n *Node, now time.Time, budget int) []Update {
	order := make([]*queuedUpdate, 0, len(q.items))
	for _, it := range q.items {
		order = append(order, it)
	}
	slices.SortFunc(order, func(a, b *queuedUpdate) int {
		if a.sent != b.sent {
			return a.sent - b.sent
		}
		return strings.Compare(string(a.incarnation), string(b.incarnation))
	})
	limit := retransmitFactor * bits.Len(uint(len(n.current)))
	var updates []Update
	for _, it := range order {
		m := n.members[it.incarnation]
		if m == nil {
			delete(q.items, it.incarnation)
			continue
		}
		u := n.memberUpdate(now, m, it.withAddress)
		if u.size() > budget {
			break
		}
		budget -= u.size()
		updates = append(updates, u)
		if it.sent++; it.sent >= limit {
			delete(q.items, it.incarnation)
		}
	}
	return updates
}

// memberUpdate returns the update that describes a member.
func (n *Node) memberUpdate(now time.Time, m *Member, full bool) Update {
	u := Update{Epoch: m.Epoch, Seq: m.Seq, State: m.State, Superseded: m.isSuperseded}
	u.Name, u.Incarnation = m.Name, m.Incarnation
	if full {
		u.EntryVM = m.EntryVM
	}
	for _, a := range m.Accusers {
		u.Accusers = append(u.Accusers, Accusation{Name: a.Name, FailureDomain: a.FailureDomain, Age: now.Sub(a.At)})
	}
	return u
}

// buildMessage returns a probe or an answer for a member.
func (n *Node) buildMessage(now time.Time, to turmericshed.Incarnation) Message {
	m := Message{From: n.memberUpdate(now, n.self, true), To: to}
	m.Updates = n.queue.next(n, now, memberUpdateBytes)
	if peer := n.members[to]; peer != nil {
		if peer.State == turmericshed.MemberSuspect || peer.State == turmericshed.MemberGone {
			// Include the accusations so that the member can refute them at once.
			m.Updates = append(m.Updates, n.memberUpdate(now, peer, false))
		}
		if peer.FailureDomain == n.self.FailureDomain {
			m.Contacts = n.sampleContacts(now)
		}
	}
	budget := MaxPiggybackBytes
	for _, u := range m.Updates {
		budget -= u.size()
	}
	topics := n.cfg.Piggyback
	for i := range topics {
		t := topics[(n.nextTopic+i)%len(topics)]
		for _, data := range t.Next(budget - payloadBytes) {
			budget -= payloadBytes + len(data)
			m.Payloads = append(m.Payloads, Payload{Topic: t.Topic(), Data: data})
		}
		if budget <= payloadBytes {
			break
		}
	}
	n.nextTopic++
	return m
}

// sampleContacts returns a random sample of the contacts younger than contactTTL.
func (n *Node) sampleContacts(now time.Time) []Contact {
	all := make([]Contact, 0, len(n.lastContact))
	for d, at := range n.lastContact {
		if age := now.Sub(at); age <= contactTTL {
			all = append(all, Contact{FailureDomain: d, Age: age})
		}
	}
	slices.SortFunc(all, func(a, b Contact) int { return strings.Compare(string(a.FailureDomain), string(b.FailureDomain)) })
	n.cfg.Rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), maxContactsPerMessage)]
}

// receive merges a message from a peer.
func (n *Node) receive(now time.Time, m Message) {
	n.merge(now, m.From, true)
	for _, u := range m.Updates {
		n.merge(now, u, false)
	}
	if m.From.FailureDomain == n.self.FailureDomain {
		for _, c := range m.Contacts {
			n.recordContact(c.FailureDomain, now.Add(-c.Age))
		}
	}
	for _, p := range m.Payloads {
		for _, t := range n.cfg.Piggyback {
			if t.Topic() == p.Topic {
				t.Merge(p.Data)
			}
		}
	}
}

func (n *Node) recordContact(d turmericshed.FailureDomain, at time.Time) {
	if d != n.self.FailureDomain && at.After(n.lastContact[d]) {
		n.lastContact[d] = at
	}
}
