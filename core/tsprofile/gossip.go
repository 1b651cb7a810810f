package tsprofile

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"time"

	"turmericshed"
)

const (
	// maxGossipUpdates bounds the queued gossip updates.
	maxGossipUpdates = 1024
	// retransmitFactor times log2 of the fleet size is the number of times a link
	// is sent.
	retransmitFactor = 2
)

// gossipQueue holds the links to be gossiped, each a bounded number of times.
type gossipQueue struct {
	pending []gossipUpdate
	// seen holds the versions queued recently, and order lists them oldest first.
	seen  map[turmericshed.Version]bool
	order []turmericshed.Version
}

type gossipUpdate struct {
	link      Link
	sendCount int
}

// add queues a link unless it was queued recently, and reports whether it did.
func (r *gossipQueue) add(k Link) bool {
	if r.seen[k.Version] {
		return false
	}
	if r.seen == nil {
		r.seen = make(map[turmericshed.Version]bool)
	}
	r.seen[k.Version] = true
	r.order = append(r.order, k.Version)
	if len(r.order) > 2*maxGossipUpdates {
		for _, v := range r.order[:maxGossipUpdates] {
			delete(r.seen, v)
		}
		r.order = append([]turmericshed.Version(nil), r.order[maxGossipUpdates:]...)
	}
	r.pending = append(r.pending, gossipUpdate{link: k})
	if len(r.pending) > maxGossipUpdates {
		r.pending = slices.Delete(r.pending, 0, len(r.pending)-maxGossipUpdates)
	}
	return true
}

// Topic carries links and positions on the membership probes. It implements
// tsmember.Piggyback and tsmember.Urgent.
type Topic struct {
	cache *Cache
	// now returns the current time, and size the number of members.
	now  func() time.Time
	size func() int
	// onOutdated is called with the name of each profile to be fetched.
	onOutdated func(name turmericshed.ProfileName)
}

// NewTopic returns the gossip topic of a cache. onOutdated is called for every cached
// document that turns out to be outdated; it must not call the cache.
func NewTopic(c *Cache, now func() time.Time, size func() int, onOutdated func(turmericshed.ProfileName)) *Topic {
	return &Topic{cache: c, now: now, size: size, onOutdated: onOutdated}
}

// Topic returns the name of the topic.
func (*Topic) Topic() string { return "profiles" }

// TakeUrgent reports whether an edit was received since the previous call.
func (t *Topic) TakeUrgent() bool {
	urgent := t.cache.urgent
	t.cache.urgent = false
	return urgent
}

// Next returns one payload of at most budgetBytes: the position with its age, and the
// links sent least often so far.
func (t *Topic) Next(budgetBytes int) [][]byte {
	const positionBytes = 2 * binary.MaxVarintLen64
	if budgetBytes < positionBytes {
		return nil
	}
	c := t.cache
	b := binary.AppendUvarint(nil, uint64(c.links.position))
	ageCode := uint64(0) // never confirmed
	if !c.confirmedAt.IsZero() {
		ageCode = uint64(max(t.now().Sub(c.confirmedAt), 0)/time.Millisecond) + 1
	}
	b = binary.AppendUvarint(b, ageCode)
	limit := retransmitFactor * bits.Len(uint(t.size()))
	slices.SortStableFunc(c.gossip.pending, func(x, y gossipUpdate) int { return x.sendCount - y.sendCount })
	kept := c.gossip.pending[:0]
	full := false
	for _, r := range c.gossip.pending {
		next := appendLink(b, r.link)
		if full = full || len(next) > budgetBytes; full {
			kept = append(kept, r)
			continue
		}
		b = next
		if r.sendCount++; r.sendCount < limit {
			kept = append(kept, r)
		}
	}
	clear(c.gossip.pending[len(kept):])
	c.gossip.pending = kept
	return [][]byte{b}
}

// Merge handles a payload from a peer. A payload is discarded from its first malformed
// field on.
func (t *Topic) Merge(payload []byte) {
	c := t.cache
	r := payloadReader{b: payload}
	position, ageCode := turmericshed.Version(r.uvarint()), r.uvarint()
	for !r.failed && len(r.b) > 0 {
		k := r.link()
		if r.failed {
			return
		}
		if c.AddLink(k) {
			t.onOutdated(k.Name)
		}
	}
	if r.failed {
		return
	}
	if ageCode > 0 && ageCode < maxAgeCode && position > 0 && position <= c.links.position {
		c.Confirm(t.now().Add(-time.Duration(ageCode-1) * time.Millisecond))
	}
}

// maxAgeCode bounds the ages accepted from peers, in milliseconds.
const maxAgeCode = uint64(365 * 24 * time.Hour / time.Millisecond)

func appendLink(b []byte, k Link) []byte {
	b = binary.AppendUvarint(b, uint64(len(k.Name)))
	b = append(b, k.Name...)
	b = binary.AppendUvarint(b, uint64(k.Version))
	// The predecessor is encoded as the distance to it, 0 for unknown.
	distance := uint64(0)
	if k.After > 0 {
		distance = uint64(k.Version - k.After)
	}
	b = binary.AppendUvarint(b, distance)
	deleted := byte(0)
	if k.Deleted {
		deleted = 1
	}
	return append(b, deleted)
}

// payloadReader decodes a payload. failed is set once a field is malformed.
type payloadReader struct {
	b      []byte
	failed bool
}

func (r *payloadReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *payloadReader) bytes(n uint64) []byte {
	if r.failed || n > uint64(len(r.b)) {
		r.failed = true
		return nil
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *payloadReader) link() Link {
	k := Link{Name: turmericshed.ProfileName(r.bytes(r.uvarint()))}
	k.Version = turmericshed.Version(r.uvarint())
	if distance := turmericshed.Version(r.uvarint()); distance > 0 && distance < k.Version {
		k.After = k.Version - distance
	}
	if flag := r.bytes(1); len(flag) == 1 {
		k.Deleted = flag[0] == 1
	}
	return k
}
