package tsroute

import (
	"cmp"
	"slices"
	"time"

	"turmericshed"
)

// The choice among the candidates.
//
// A request with a prefix goes to one of the prefix's homes: the servers with
// the highest rendezvous hash of prefix and server, so that every entry VM
// looks for a cached prefix at the same few servers, and a change of the list
// moves few prefixes. There are Homes of them, more as the prefix's share of
// the requests grows. Servers whose load stands above Bound times the mean are
// passed over for the next in hash order (Mirrokni et al., "Consistent Hashing
// with Bounded Loads", 2018). Among the homes the least loaded is taken. The
// homes are spread over the own region, since a cached prefix saves more than
// a way between failure domains of one region costs.
//
// A request without one goes to the less loaded of two random candidates
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
// 2001), which spreads requests also when every entry VM acts on the same
// late report. The own failure domain is chosen in first.
//
// Once the servers of a group are nearly full on average, load reports do more
// harm than good: acting on a late one fills a server that had one place left.
// Then every entry VM keeps what it has in flight itself even over the servers,
// which needs no report, and takes a home only where it has no more in flight
// than on average.
//
// The choice among servers that are further away is taken instead when its
// load is lower by more than a penalty. Cost: linear in the candidates.

// poolKey names what a pool of servers serves.
type poolKey struct {
	work    turmericshed.WorkKind
	model   turmericshed.Model
	service string
}

// distance groups servers by how far away they are.
type distance int

// The distances.
const (
	sameDomain distance = iota
	sameRegion
	otherRegion
	distances
)

// pool is the servers of one key.
type pool struct {
	servers []*server
	// groups and homes are reused between picks.
	groups [distances][]candidate
	homes  []candidate
}

// candidate is a server that may be chosen, with its load per slot.
type candidate struct {
	*server
	load float64
	// rank is the rendezvous hash with the prefix of the request.
	rank uint64
}

// pool returns the servers for r.
func (r *Router) pool(req turmericshed.RouteRequest) *pool {
	key := poolKey{work: req.Work, model: req.Model, service: req.Service}
	if p := r.pools[key]; p != nil {
		return p
	}
	p := &pool{}
	for _, s := range r.order {
		if s.serves(req) {
			p.servers = append(p.servers, s)
		}
	}
	r.pools[key] = p
	return p
}

// Pick chooses a server and counts the request as in flight there. Errors:
// KindNoBackend when no server may take work, KindOverloaded when those that
// may are at their allowance.
func (r *Router) Pick(now time.Time, req turmericshed.RouteRequest) (turmericshed.BackendServer, error) {
	p := r.pool(req)
	s := r.choose(now, p, req)
	if s == nil {
		s = r.lastResort(now, p, req)
	}
	if s == nil {
		return turmericshed.BackendServer{}, r.refuse(now, p, req)
	}
	turmericshed.Assert(s.wants(now), "no_work_to_leaving", "server %s, paused until %s", s.ID, s.paused)
	s.breaker.lastAttempt = now
	if s.reach.cut() {
		s.reach.probed = now
	}
	s.add(now, 1)
	return s.BackendServer, nil
}

// choose returns the best candidate; nil when there is none.
func (r *Router) choose(now time.Time, p *pool, req turmericshed.RouteRequest) *server {
	r.candidates(now, p, req)
	if req.Prefix != 0 {
		p.groups[sameDomain] = append(p.groups[sameDomain], p.groups[sameRegion]...)
		p.groups[sameRegion] = p.groups[sameRegion][:0]
	}
	var best candidate
	for d, cs := range p.groups {
		if len(cs) == 0 {
			continue
		}
		c := r.among(p, cs, req.Prefix)
		c.load += r.penalty(distance(d))
		if best.server == nil || c.load < best.load {
			best = c
		}
	}
	return best.server
}

// penalty returns the load per slot that a distance counts as.
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

// among chooses within one group.
func (r *Router) among(p *pool, cs []candidate, prefix uint64) candidate {
	var load float64
	for _, c := range cs {
		load += c.load
	}
	load /= float64(len(cs))
	switch {
	case load > crowdedLoad:
		return r.byOwn(p, cs, prefix)
	case prefix != 0:
		return r.byPrefix(p, cs, prefix, load)
	default:
		return r.byLoad(cs)
	}
}

// candidates collects the servers that may take the request.
func (r *Router) candidates(now time.Time, p *pool, req turmericshed.RouteRequest) {
	mean := meanOthers(p.servers)
	for d := range p.groups {
		p.groups[d] = p.groups[d][:0]
	}
	for _, s := range p.servers {
		if !s.wants(now) || slices.Contains(req.Excluded, s.ID) || !s.reach.allows(now) || !s.breaker.allows(now, s.inflight) {
			continue
		}
		c := candidate{server: s, load: (r.estimate(now, s, mean) + 1) / float64(s.Slots)}
		d := r.distance(s)
		p.groups[d] = append(p.groups[d], c)
	}
}

func (r *Router) distance(s *server) distance {
	switch {
	case s.FailureDomain == r.cfg.Self:
		return sameDomain
	case r.cfg.Region == "" || s.Region == r.cfg.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// byLoad returns the less loaded of two random candidates.
func (r *Router) byLoad(cs []candidate) candidate {
	a := cs[r.cfg.Rand.IntN(len(cs))]
	b := cs[r.cfg.Rand.IntN(len(cs))]
	if b.load < a.load {
		a = b
	}
	return a
}

// byPrefix returns the least loaded home of the prefix within the bound.
func (r *Router) byPrefix(p *pool, cs []candidate, prefix uint64, mean float64) candidate {
	bound := max(r.cfg.Bound*mean, minBound)
	r.findHomes(p, cs, prefix, func(c candidate) bool { return c.load <= bound })
	if len(p.homes) == 0 {
		return r.byLoad(cs)
	}
	return slices.MinFunc(p.homes, func(a, b candidate) int { return cmp.Compare(a.load, b.load) })
}

// byOwn returns the candidate with the least in flight from here, a home of
// the prefix if there is one with no more than the average.
func (r *Router) byOwn(p *pool, cs []candidate, prefix uint64) candidate {
	if prefix != 0 {
		own := 0
		for _, c := range cs {
			own += c.inflight
		}
		bound := float64(own)/float64(len(cs)) + ownSlack
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

// findHomes collects the homes of the prefix among the candidates that fit.
func (r *Router) findHomes(p *pool, cs []candidate, prefix uint64, fits func(candidate) bool) {
	n := r.popular.homes(prefix, len(cs), r.cfg.Homes)
	p.homes = p.homes[:0]
	for _, c := range cs {
		if fits(c) {
			c.rank = mix(prefix ^ c.hash)
			p.homes = insertHome(p.homes, c, n)
		}
	}
}

// insertHome keeps the n candidates with the highest rank, highest first.
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
	// minBound is the load per slot below which affinity is never given up.
	minBound = 0.5
	// crowdedLoad is the mean load per slot above which reports do not count.
	crowdedLoad = 0.8
	// ownSlack is how many requests of ours above the average a home may have.
	ownSlack = 0.5
)

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// lastResort returns a server when no candidate is left: the least loaded of
// those that are still ramping, up to their slots, else one whose breaker is
// open, so that a fault that ended is noticed at once.
func (r *Router) lastResort(now time.Time, p *pool, req turmericshed.RouteRequest) *server {
	var best *server
	for _, s := range p.servers {
		if !s.wants(now) || s.breaker.open || s.inflight >= s.Slots || slices.Contains(req.Excluded, s.ID) {
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
		if s.wants(now) && !slices.Contains(req.Excluded, s.ID) && s.breaker.allowsProbe(now, s.inflight) {
			return s
		}
	}
	return nil
}

// refuse tells why no server was chosen and when one may be.
func (r *Router) refuse(now time.Time, p *pool, req turmericshed.RouteRequest) error {
	var soonest time.Time
	for _, s := range p.servers {
		switch {
		case s.leaving || slices.Contains(req.Excluded, s.ID):
		case now.Before(s.paused):
			if soonest.IsZero() || s.paused.Before(soonest) {
				soonest = s.paused
			}
		case !s.breaker.open:
			err := turmericshed.NewError(turmericshed.KindOverloaded, "every server is at its allowance")
			return turmericshed.WithRetryAfter(err, overloadedRetry)
		case soonest.IsZero() || s.breaker.until.Before(soonest):
			soonest = s.breaker.until
		}
	}
	err := turmericshed.NewError(turmericshed.KindNoBackend, "no server for work %q, model %q, service %q", req.Work, req.Model, req.Service)
	if soonest.After(now) {
		err = turmericshed.WithRetryAfter(err, soonest.Sub(now))
	}
	return err
}

// Opens returns the soonest of the times for the servers that could take the
// request but for them; false when none could.
func (r *Router) Opens(now time.Time, req turmericshed.RouteRequest, closed map[turmericshed.ServerID]time.Time) (soonest time.Time, ok bool) {
	for _, s := range r.pool(req).servers {
		until, is := closed[s.ID]
		if !is || !s.wants(now) || s.breaker.open || slices.Contains(req.Excluded, s.ID) {
			continue
		}
		if !ok || until.Before(soonest) {
			soonest, ok = until, true
		}
	}
	return soonest, ok
}
