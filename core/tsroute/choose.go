package tsroute

import (
	"cmp"
	"slices"
	"time"

	"turmericshed"
)

// Server selection.
//
// A request with a prompt prefix goes to one of the prefix's homes: the servers
// with the highest rendezvous hash of prefix and server. All entry VMs thus
// look for a cached prefix at the same few servers, and a change of the server
// list moves few prefixes. There are Config.Homes of them, and more as the
// prefix's share of the requests grows. Servers whose load is above
// Config.Bound times the mean are skipped in favour of the next in hash order
// (Mirrokni et al., "Consistent Hashing with Bounded Loads", 2018). The least
// loaded home is chosen. Homes are spread over the whole local region, because
// a cached prefix saves more time than a hop between failure domains of one
// region costs.
//
// A request without a prefix goes to the less loaded of two random candidates
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
// 2001). This spreads requests even when all entry VMs act on the same stale
// report. Candidates in the local failure domain are preferred.
//
// Once the servers of a group are nearly full on average, load reports do more
// harm than good: acting on a stale one overloads a server that had one free
// slot. Each entry VM then spreads its own requests in flight evenly over the
// servers, which needs no report, and uses a home only if it has no more of
// these requests than the average server.
//
// A more distant group of servers is chosen if its load is lower by more than a
// penalty. The penalty is fixed unless spillover is enabled, see spill.go. The cost
// is linear in the number of candidates.

// poolKey identifies a pool by the work that its servers do.
type poolKey struct {
	work    turmericshed.WorkKind
	model   turmericshed.Model
	service string
}

func keyOf(req turmericshed.RouteRequest) poolKey {
	return poolKey{work: req.Work, model: req.Model, service: req.Service}
}

// distance classifies servers by their network distance.
type distance int

// Distances, nearest first.
const (
	sameDomain distance = iota
	sameRegion
	otherRegion
	distanceCount
)

// pool holds the servers for one key.
type pool struct {
	servers []*server
	// groups and homes are buffers that are reused between picks.
	groups [distanceCount][]candidate
	homes  []candidate
	// choices is such a buffer as well.
	choices []choice
	// region is such a buffer for the candidates of the whole region.
	region []candidate
}

// candidate is a server that may be chosen, with its load per slot.
type candidate struct {
	*server
	load float64
	// rank is the rendezvous hash of the server and the request's prefix.
	rank uint64
}

// poolFor returns the pool of servers that can serve req, and builds it on
// first use.
func (r *Router) poolFor(req turmericshed.RouteRequest) *pool {
	key := keyOf(req)
	if p := r.pools[key]; p != nil {
		return p
	}
	p := &pool{}
	for _, s := range r.ordered {
		if s.serves(req) {
			p.servers = append(p.servers, s)
		}
	}
	r.pools[key] = p
	return p
}

// Pick chooses a server and counts the request as in flight there. Errors:
// KindNoBackend when no server accepts work, KindOverloaded when every server
// that does is at its allowance.
func (r *Router) Pick(now time.Time, req turmericshed.RouteRequest) (turmericshed.BackendServer, error) {
	p := r.poolFor(req)
	if req.Estimate != nil {
		*req.Estimate = turmericshed.RouteEstimate{}
	}
	var s *server
	weighsServeTime := r.weighsServeTime(req)
	if weighsServeTime {
		s = r.chooseByServeTime(now, p, req)
	} else {
		s = r.choose(now, p, req)
	}
	if s == nil {
		s = r.fallback(now, p, req)
	}
	if s == nil {
		return turmericshed.BackendServer{}, r.noServerError(now, p, req)
	}
	turmericshed.Assert(s.acceptsWork(now), "no_work_to_leaving", "server %s, paused until %s", s.ID, s.pausedUntil)
	s.breaker.lastAttempt = now
	if s.reachability.isUnreachable() {
		s.reachability.lastProbe = now
	}
	s.addInflight(now, 1)
	if weighsServeTime {
		s.beginServing(now, req)
	}
	return s.BackendServer, nil
}

// choose returns the best candidate, or nil if there is none.
func (r *Router) choose(now time.Time, p *pool, req turmericshed.RouteRequest) *server {
	r.collectCandidates(now, p, req)
	if r.spillApplies(p) {
		return r.chooseWithSpill(now, p, req)
	}
	if req.Prefix != 0 {
		p.groups[sameDomain] = append(p.groups[sameDomain], p.groups[sameRegion]...)
		p.groups[sameRegion] = p.groups[sameRegion][:0]
	}
	var best candidate
	for d, cs := range p.groups {
		if len(cs) == 0 {
			continue
		}
		c := r.chooseInGroup(p, cs, req.Prefix)
		c.load += r.penalty(distance(d))
		if best.server == nil || c.load < best.load {
			best = c
		}
	}
	return best.server
}

// penalty returns the load per slot that is added for a distance.
func (r *Router) penalty(d distance) float64 {
	switch d {
	case sameRegion:
		return r.cfg.RemotePenalty
	case otherRegion:
		return r.cfg.RegionPenalty
	default:
		return 0
	}
}

// chooseInGroup chooses among the candidates at one distance.
func (r *Router) chooseInGroup(p *pool, cs []candidate, prefix uint64) candidate {
	var mean float64
	for _, c := range cs {
		mean += c.load
	}
	mean /= float64(len(cs))
	switch {
	case mean > crowdedLoad:
		return r.fewestInflight(p, cs, prefix)
	case prefix != 0:
		return r.leastLoadedHome(p, cs, prefix, mean)
	default:
		return r.leastLoadedOfTwo(cs)
	}
}

// collectCandidates groups the servers that may take the request by distance.
func (r *Router) collectCandidates(now time.Time, p *pool, req turmericshed.RouteRequest) {
	mean := meanOthersPerSlot(p.servers)
	for d := range p.groups {
		p.groups[d] = p.groups[d][:0]
	}
	for _, s := range p.servers {
		if !s.acceptsWork(now) || s.isExcluded(req) || !s.reachability.allows(now) || !s.breaker.allows(now, s.inflight) {
			continue
		}
		c := candidate{server: s, load: (r.estimatedLoad(now, s, mean) + 1) / float64(s.Slots)}
		d := r.distanceTo(s)
		p.groups[d] = append(p.groups[d], c)
	}
}

func (r *Router) distanceTo(s *server) distance {
	switch {
	case s.FailureDomain == r.cfg.FailureDomain:
		return sameDomain
	case r.cfg.Region == "" || s.Region == r.cfg.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// leastLoadedOfTwo returns the less loaded of two random candidates.
func (r *Router) leastLoadedOfTwo(cs []candidate) candidate {
	a := cs[r.cfg.Rand.IntN(len(cs))]
	b := cs[r.cfg.Rand.IntN(len(cs))]
	if b.load < a.load {
		a = b
	}
	return a
}

// leastLoadedHome returns the least loaded home of the prefix within the bound.
// Without such a home it ignores the prefix.
func (r *Router) leastLoadedHome(p *pool, cs []candidate, prefix uint64, mean float64) candidate {
	bound := max(r.cfg.Bound*mean, minLoadBound)
	r.findHomes(p, cs, prefix, func(c candidate) bool { return c.load <= bound })
	if len(p.homes) == 0 {
		return r.leastLoadedOfTwo(cs)
	}
	return slices.MinFunc(p.homes, func(a, b candidate) int { return cmp.Compare(a.load, b.load) })
}

// fewestInflight returns the candidate with the fewest requests in flight from
// this entry VM. It prefers homes of the prefix that have no more than the
// average.
func (r *Router) fewestInflight(p *pool, cs []candidate, prefix uint64) candidate {
	if prefix != 0 {
		totalInflight := 0
		for _, c := range cs {
			totalInflight += c.inflight
		}
		bound := float64(totalInflight)/float64(len(cs)) + inflightSlack
		r.findHomes(p, cs, prefix, func(c candidate) bool { return float64(c.inflight) <= bound })
		if len(p.homes) > 0 {
			cs = p.homes
		}
	}
	start := r.cfg.Rand.IntN(len(cs))
	best := cs[start]
	for i := range cs {
		if c := cs[(start+i)%len(cs)]; c.inflight < best.inflight {
			best = c
		}
	}
	return best
}

// findHomes collects the homes of the prefix among the candidates for which
// fits is true.
func (r *Router) findHomes(p *pool, cs []candidate, prefix uint64, fits func(candidate) bool) {
	n := r.popularity.homeCount(prefix, len(cs), r.cfg.Homes)
	p.homes = p.homes[:0]
	for _, c := range cs {
		if fits(c) {
			c.rank = splitMix64(prefix ^ c.hash)
			p.homes = insertHome(p.homes, c, n)
		}
	}
}

// insertHome inserts c and retains the n candidates with the highest rank,
// highest first.
func insertHome(homes []candidate, c candidate, n int) []candidate {
	i := len(homes)
	for i > 0 && homes[i-1].rank < c.rank {
		i--
	}
	if i >= n {
		return homes
	}
	homes = slices.Insert(homes, i, c)
	return homes[:min(len(homes), n)]
}

const (
	// minLoadBound is the load per slot up to which a home is always
	// acceptable.
	minLoadBound = 0.5
	// crowdedLoad is the mean load per slot above which load reports are
	// ignored.
	crowdedLoad = 0.8
	// inflightSlack is how many requests in flight above the average a home may
	// have.
	inflightSlack = 0.5
)

// splitMix64 is the finalizer of the SplitMix64 generator.
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// fallback returns a server when there is no candidate: the least loaded of
// those that are still ramping, up to their slots, else one with an open
// breaker, so that its recovery is detected at once. It returns nil if there is
// neither.
func (r *Router) fallback(now time.Time, p *pool, req turmericshed.RouteRequest) *server {
	var best *server
	for _, s := range p.servers {
		if !s.acceptsWork(now) || s.breaker.open || s.inflight >= s.Slots || s.isExcluded(req) {
			continue
		}
		if best == nil || s.inflight < best.inflight {
			best = s
		}
	}
	if best != nil {
		return best
	}
	for _, s := range p.servers {
		if s.acceptsWork(now) && !s.isExcluded(req) && s.breaker.allowsProbe(now, s.inflight) {
			return s
		}
	}
	return nil
}

// noServerError returns the error for a request without a server, with the time
// after which one may be available.
func (r *Router) noServerError(now time.Time, p *pool, req turmericshed.RouteRequest) error {
	var earliest time.Time
	for _, s := range p.servers {
		switch {
		case s.leaving || s.isExcluded(req):
		case now.Before(s.pausedUntil):
			if earliest.IsZero() || s.pausedUntil.Before(earliest) {
				earliest = s.pausedUntil
			}
		case !s.breaker.open:
			err := turmericshed.NewError(turmericshed.KindOverloaded, "every server is at its allowance")
			return turmericshed.WithRetryAfter(err, overloadedRetryAfter)
		case earliest.IsZero() || s.breaker.openUntil.Before(earliest):
			earliest = s.breaker.openUntil
		}
	}
	err := turmericshed.NewError(turmericshed.KindNoBackend, "no server for work %q, model %q, service %q", req.Work, req.Model, req.Service)
	if earliest.After(now) {
		err = turmericshed.WithRetryAfter(err, earliest.Sub(now))
	}
	return err
}

// EarliestReopening returns the earliest time in closed of the servers that could take the
// request otherwise. ok is false if there is no such server.
func (r *Router) EarliestReopening(now time.Time, req turmericshed.RouteRequest, closed map[turmericshed.ServerID]time.Time) (earliest time.Time, ok bool) {
	for _, s := range r.poolFor(req).servers {
		until, isClosed := closed[s.ID]
		if !isClosed || !s.acceptsWork(now) || s.breaker.open || s.isExcluded(req) {
			continue
		}
		if !ok || until.Before(earliest) {
			earliest, ok = until, true
		}
	}
	return earliest, ok
}
