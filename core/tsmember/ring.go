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
	region remote
	far    remote
	// total counts the members that take part, this node too.
	total int
}

// remote is a pool of members of other failure domains and the few of them
// that are probed at present. One is replaced now and then, so that most
// probes use a connection that is open.
type remote struct {
	all     []*Member
	probed  []*Member
	rotated time.Time
}

const (
	// remoteProbed bounds the members probed at present.
	remoteProbed = 6
	// rotatePeriod is the time after which one of them is replaced.
	rotatePeriod = 40 * time.Second
)

// refresh drops ended members, replaces one when due and fills up.
func (p *remote) refresh(r *rand.Rand, now time.Time) {
	p.probed = slices.DeleteFunc(p.probed, (*Member).ended)
	if len(p.probed) > 0 && now.Sub(p.rotated) >= rotatePeriod {
		p.rotated = now
		i := r.IntN(len(p.probed))
		p.probed = slices.Delete(p.probed, i, i+1)
	}
	for tries := 0; len(p.probed) < min(remoteProbed, len(p.all)) && tries < 4*remoteProbed; tries++ {
		if m := pick(r, p.all); !m.ended() && !slices.Contains(p.probed, m) {
			p.probed = append(p.probed, m)
		}
	}
}

// rebuildPeriod bounds how often the neighbours are worked out.
const rebuildPeriod = time.Second

// refresh rebuilds the neighbours when needed.
func (b *neighbours) refresh(n *Node, now time.Time) {
	b.rebuild(n, now)
	b.region.refresh(n.cfg.Rand, now)
	b.far.refresh(n.cfg.Rand, now)
}

func (b *neighbours) rebuild(n *Node, now time.Time) {
	if !b.dirty || !b.builtAt.IsZero() && now.Sub(b.builtAt) < rebuildPeriod {
		return
	}
	b.dirty, b.builtAt = false, now
	b.region.all, b.far.all = b.region.all[:0], b.far.all[:0]
	var own []*Member
	for _, m := range n.members {
		switch {
		case m == n.self || m.ended():
		case m.FailureDomain == n.self.FailureDomain:
			own = append(own, m)
		case m.Region == n.self.Region:
			b.region.all = append(b.region.all, m)
		default:
			b.far.all = append(b.far.all, m)
		}
	}
	b.total = 1 + len(own) + len(b.region.all) + len(b.far.all)
	byIncarnation := func(x, y *Member) int { return cmp.Compare(x.Incarnation, y.Incarnation) }
	slices.SortFunc(own, byIncarnation)
	slices.SortFunc(b.region.all, byIncarnation)
	slices.SortFunc(b.far.all, byIncarnation)
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
	first, second := b.region.probed, b.far.probed
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
		take(pick(n.cfg.Rand, b.region.probed))
		take(pick(n.cfg.Rand, b.domain))
		take(pick(n.cfg.Rand, b.far.probed))
	}
	return chosen
}

// pushTargets returns who hears urgent news at once.
func (n *Node) pushTargets(now time.Time) []*Member {
	n.neighbours.refresh(n, now)
	var targets []*Member
	for _, m := range n.neighbours.domain {
		if !m.unreachable {
			targets = append(targets, m)
		}
	}
	if m := n.neighbours.next(n.cfg.Rand, domainRings); m != nil && !slices.Contains(targets, m) {
		targets = append(targets, m)
	}
	return targets
}
