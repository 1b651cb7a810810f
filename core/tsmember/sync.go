package tsmember

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericshed"
)

const (
	// digestBuckets is the number of parts of the table that are compared.
	digestBuckets = 64
	// maxSyncReplyBytes bounds the records of one reply.
	maxSyncReplyBytes = 4000
)

// SyncRequest starts an anti-entropy exchange between two nodes. Digests cover active
// incarnations and their sequence numbers, but not accusations.
type SyncRequest struct {
	From    Update
	Digests [digestBuckets]uint32
}

// SyncReply holds the records of the parts that differ; it is empty if the tables agree.
type SyncReply struct {
	Updates []Update
}

func (m *Member) bucket() int {
	return int(xxhash.Sum64String(string(m.Incarnation)) % digestBuckets)
}

// toggleDigest adds a member to its bucket's digest, or removes it. Call it before and after
// every change of State, Seq or presence.
func (n *Node) toggleDigest(m *Member) {
	if m.isInactive() {
		return
	}
	var seq [8]byte
	// A member known only from the platform's list has the digest of sequence number 1.
	binary.LittleEndian.PutUint64(seq[:], max(m.Seq, 1))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(m.Incarnation))
	_, _ = d.Write(seq[:])
	n.digests[m.bucket()] ^= uint32(d.Sum64())
}

// syncPeer returns the member for the next exchange, most often a neighbour.
func (n *Node) syncPeer() *Member {
	for range domainProbeRings {
		m := n.neighbours.next(n.cfg.Rand, n.cfg.Rand.IntN(domainProbeRings+remoteProbeSlots))
		if m != nil && m.State == turmericshed.MemberAlive && !m.isUnreachable {
			return m
		}
	}
	return nil
}

func (n *Node) syncAction(m *Member) Action {
	return Action{
		Kind: ActionSync, ID: n.registerProbe(&probe{kind: ActionSync, target: m}),
		To: m.EntryVM, Sync: SyncRequest{From: n.memberUpdate(n.lastTick, n.self, true), Digests: n.digests}, Timeout: RelayTimeout,
	}
}

// HandleSync answers a request with the records that differ. Records that are newer on the
// other side arrive with this node's own exchanges.
func (n *Node) HandleSync(now time.Time, r SyncRequest) SyncReply {
	n.merge(now, r.From, true)
	var differing [digestBuckets]bool
	count := 0
	for i := range r.Digests {
		if r.Digests[i] != n.digests[i] {
			differing[i] = true
			count++
		}
	}
	if count == 0 {
		return SyncReply{}
	}
	var reply SyncReply
	budget := maxSyncReplyBytes
	members := n.inBuckets(differing)
	start := n.cfg.Rand.IntN(max(len(members), 1))
	for i := range members {
		u := n.memberUpdate(now, members[(start+i)%len(members)], true)
		if budget -= u.size(); budget < 0 {
			break
		}
		reply.Updates = append(reply.Updates, u)
	}
	return reply
}

// inBuckets returns the members of some buckets ordered by incarnation, including gone ones.
func (n *Node) inBuckets(buckets [digestBuckets]bool) []*Member {
	var members []*Member
	for _, m := range n.members {
		if buckets[m.bucket()] {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b *Member) int { return strings.Compare(string(a.Incarnation), string(b.Incarnation)) })
	return members
}

// HandleSyncReply merges the records and schedules another exchange soon if they changed the
// table.
func (n *Node) HandleSyncReply(now time.Time, id uint64, r SyncReply) {
	delete(n.probes, id)
	before := n.digests
	for _, u := range r.Updates {
		n.merge(now, u, false)
	}
	if n.digests != before {
		n.nextSync = now.Add(resyncDelay)
	}
}
