package tsmember

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericshed"
)

// neighbours holds whom this node probes, rebuilt when the table changed.
type neighbours struct {
	dirty   bool
	builtAt time.Time
	// domain are the successors on the rings over the own failure domain.
	domain []*Member
	// region are the members elsewhere in the region, far those in other
	// regions.
	region []*Member
	far    []*Member
	// total counts the members that take part, this node too.
	total int
}

// rebuildPeriod bounds how often the neighbours are worked out.
const rebuildPeriod = time.Second

// refresh rebuilds the neighbours when needed.
func (b *neighbours) refresh(n *Node, now time.Time) {
	if !b.dirty || !b.builtAt.IsZero() && now.Sub(b.builtAt) < rebuildPeriod {
		return
	}
	b.dirty, b.builtAt = false, now
	b.region, b.far = b.region[:0], b.far[:0]
	var own []*Member
	for _, m := range n.members {
		switch {
		case m == n.self || m.ended():
		case m.FailureDomain == n.self.FailureDomain:
			own = append(own, m)
		case m.Region == n.self.Region:
			b.region = append(b.region, m)
		default:
			b.far = append(b.far, m)
		}
	}
	b.total = 1 + len(own) + len(b.region) + len(b.far)
	byIncarnation := func(x, y *Member) int { return cmp.Compare(x.Incarnation, y.Incarnation) }
	slices.SortFunc(own, byIncarnation)
	slices.SortFunc(b.region, byIncarnation)
	slices.SortFunc(b.far, byIncarnation)
	b.domain = b.domain[:0]
	for ring := range domainRings {
		if m := successor(n.self.Name, ring, own, b.domain); m != nil {
			b.domain = append(b.domain, m)
		}
	}
}

// successor returns the next member after name on a ring that is ordered by
// hash, leaving out those already chosen.
func successor(name string, ring int, members, chosen []*Member) *Member {
	self := ringHash(name, ring)
	var best *Member
	var distance uint64
	for _, m := range members {
		d := ringHash(m.Name, ring) - self
		if (best == nil || d < distance) && !slices.Contains(chosen, m) {
			best, distance = m, d
		}
	}
	return best
}

func ringHash(name string, ring int) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(ring))
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// next returns the member for one slot of the cycle of probes.
func (b *neighbours) next(r *rand.Rand, slot int) *Member {
	slot %= domainRings + remoteSlots
	if slot < domainRings && len(b.domain) > 0 {
		return b.domain[slot%len(b.domain)]
	}
	first, second := b.region, b.far
	if slot == domainRings+1 {
		first, second = second, first
	}
	if m := pick(r, first); m != nil {
		return m
	}
	if m := pick(r, second); m != nil {
		return m
	}
	return pick(r, b.domain)
}

func pick(r *rand.Rand, members []*Member) *Member {
	if len(members) == 0 {
		return nil
	}
	return members[r.IntN(len(members))]
}

// helpers returns up to helperCount members for a relayed probe: one of the
// target's failure domain, the others from anywhere else.
func (n *Node) helpers(target *Member) []*Member {
	usable := func(m *Member) bool {
		return m != nil && m != target && m.State == turmericshed.MemberAlive && !m.unreachable
	}
	var chosen []*Member
	take := func(m *Member) {
		if usable(m) && !slices.Contains(chosen, m) && len(chosen) < helperCount {
			chosen = append(chosen, m)
		}
	}
	b := &n.neighbours
	for range 2 * helperCount {
		take(pick(n.cfg.Rand, b.region))
		take(pick(n.cfg.Rand, b.domain))
		take(pick(n.cfg.Rand, b.far))
	}
	return chosen
}

// pushTargets returns who hears urgent news at once.
func (n *Node) pushTargets(now time.Time) []*Member {
	n.neighbours.refresh(n, now)
	var targets []*Member
	for _, m := range n.neighbours.domain {
		if m.State == turmericshed.MemberAlive && !m.unreachable {
			targets = append(targets, m)
		}
	}
	if m := n.neighbours.next(n.cfg.Rand, domainRings); m != nil && m.State == turmericshed.MemberAlive && !slices.Contains(targets, m) {
		targets = append(targets, m)
	}
	return targets
}
