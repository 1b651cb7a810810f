package tsmember

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericshed"
)

// neighbours holds the members that this node probes, rebuilt when the table has changed.
type neighbours struct {
	dirty   bool
	builtAt time.Time
	// sameDomain are the successors on the rings over the own failure domain.
	sameDomain []*Member
	// sameRegion are the members of other failure domains in the own region, otherRegions those
	// of other regions.
	sameRegion   remotePool
	otherRegions remotePool
	// memberCount is the number of active members, including this node.
	memberCount int
}

// remotePool holds the members of other failure domains and the few of them that are
// currently probed. One of these is replaced every rotatePeriod, so that most probes use a
// connection that is already open.
type remotePool struct {
	all       []*Member
	probed    []*Member
	rotatedAt time.Time
}

const (
	// maxRemoteProbed bounds the members of a pool that are currently probed.
	maxRemoteProbed = 6
	// rotatePeriod is the time after which one of them is replaced.
	rotatePeriod = 40 * time.Second
)

// refresh drops inactive members, replaces one when due and fills up the probed ones.
func (p *remotePool) refresh(r *rand.Rand, now time.Time) {
	p.probed = slices.DeleteFunc(p.probed, (*Member).isInactive)
	if len(p.probed) > 0 && now.Sub(p.rotatedAt) >= rotatePeriod {
		p.rotatedAt = now
		i := r.IntN(len(p.probed))
		p.probed = slices.Delete(p.probed, i, i+1)
	}
	for tries := 0; len(p.probed) < min(maxRemoteProbed, len(p.all)) && tries < 4*maxRemoteProbed; tries++ {
		if m := pickRandom(r, p.all); !m.isInactive() && !slices.Contains(p.probed, m) {
			p.probed = append(p.probed, m)
		}
	}
}

// rebuildPeriod is the least time between rebuilds of the neighbours.
const rebuildPeriod = time.Second

// refresh rebuilds the neighbours if needed.
func (b *neighbours) refresh(n *Node, now time.Time) {
	b.rebuild(n, now)
	b.sameRegion.refresh(n.cfg.Rand, now)
	b.otherRegions.refresh(n.cfg.Rand, now)
}

func (b *neighbours) rebuild(n *Node, now time.Time) {
	if !b.dirty || !b.builtAt.IsZero() && now.Sub(b.builtAt) < rebuildPeriod {
		return
	}
	b.dirty, b.builtAt = false, now
	b.sameRegion.all, b.otherRegions.all = b.sameRegion.all[:0], b.otherRegions.all[:0]
	var own []*Member
	for _, m := range n.members {
		switch {
		case m == n.self || m.isInactive():
		case m.FailureDomain == n.self.FailureDomain:
			own = append(own, m)
		case m.Region == n.self.Region:
			b.sameRegion.all = append(b.sameRegion.all, m)
		default:
			b.otherRegions.all = append(b.otherRegions.all, m)
		}
	}
	b.memberCount = 1 + len(own) + len(b.sameRegion.all) + len(b.otherRegions.all)
	byIncarnation := func(x, y *Member) int { return cmp.Compare(x.Incarnation, y.Incarnation) }
	slices.SortFunc(own, byIncarnation)
	slices.SortFunc(b.sameRegion.all, byIncarnation)
	slices.SortFunc(b.otherRegions.all, byIncarnation)
	b.sameDomain = b.sameDomain[:0]
	for ring := range domainProbeRings {
		if m := successor(n.self.Name, ring, own, b.sameDomain); m != nil {
			b.sameDomain = append(b.sameDomain, m)
		}
	}
}

// successor returns the next member after name on a ring ordered by hash, skipping those
// already chosen.
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

// next returns the member to probe in a slot of the cycle.
func (b *neighbours) next(r *rand.Rand, slot int) *Member {
	slot %= domainProbeRings + remoteProbeSlots
	if slot < domainProbeRings && len(b.sameDomain) > 0 {
		return b.sameDomain[slot%len(b.sameDomain)]
	}
	first, second := b.sameRegion.probed, b.otherRegions.probed
	if slot == domainProbeRings+1 {
		first, second = second, first
	}
	if m := pickRandom(r, first); m != nil {
		return m
	}
	if m := pickRandom(r, second); m != nil {
		return m
	}
	return pickRandom(r, b.sameDomain)
}

func pickRandom(r *rand.Rand, members []*Member) *Member {
	if len(members) == 0 {
		return nil
	}
	return members[r.IntN(len(members))]
}

// chooseHelpers returns up to helperCount members for a relayed probe, taken alternately
// from the own region, the own failure domain and other regions.
func (n *Node) chooseHelpers(target *Member) []*Member {
	usable := func(m *Member) bool {
		return m != nil && m != target && m.State == turmericshed.MemberAlive && !m.isUnreachable
	}
	var chosen []*Member
	take := func(m *Member) {
		if usable(m) && !slices.Contains(chosen, m) && len(chosen) < helperCount {
			chosen = append(chosen, m)
		}
	}
	b := &n.neighbours
	for range 2 * helperCount {
		take(pickRandom(n.cfg.Rand, b.sameRegion.probed))
		take(pickRandom(n.cfg.Rand, b.sameDomain))
		take(pickRandom(n.cfg.Rand, b.otherRegions.probed))
	}
	return chosen
}

// pushTargets returns the members that receive urgent updates at once.
func (n *Node) pushTargets(now time.Time) []*Member {
	n.neighbours.refresh(n, now)
	var targets []*Member
	for _, m := range n.neighbours.sameDomain {
		if !m.isUnreachable {
			targets = append(targets, m)
		}
	}
	if m := n.neighbours.next(n.cfg.Rand, domainProbeRings); m != nil && !slices.Contains(targets, m) {
		targets = append(targets, m)
	}
	return targets
}
