package tsroute

import (
	"slices"
	"time"

	"turmericshed"
)

// The choice among the candidates.
//
// A request with a prefix goes to the server with the highest rendezvous hash
// of prefix and server, so that every entry VM sends it to the cache that has
// it and a change of the list moves few prefixes. Servers whose load stands
// above Bound times the mean are passed over for the next in hash order
// (Mirrokni et al., "Consistent Hashing with Bounded Loads", 2018), so a
// prefix that is in great demand spreads.
//
// A request without one goes to the less loaded of two random candidates
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
// 2001), which spreads requests also when every entry VM acts on the same
// late report.
//
// Both choose in the own failure domain first. The choice among the others is
// taken instead when its load is lower by more than RemotePenalty. Cost: linear
// in the candidates.

// poolKey names what a pool of servers serves.
type poolKey struct {
	work    turmericshed.WorkKind
	model   turmericshed.Model
	service string
}

// pool is the servers of one key.
type pool struct {
	servers []*server
	// local and remote are reused between picks.
	local, remote []candidate
}

// candidate is a server that may be chosen, with its load per slot.
type candidate struct {
	*server
	load float64
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
	turmericshed.Assert(!s.leaving, "no_work_to_leaving", "server %s", s.ID)
	s.breaker.lastAttempt = now
	s.add(now, 1)
	return s.BackendServer, nil
}

// choose returns the best candidate; nil when there is none.
func (r *Router) choose(now time.Time, p *pool, req turmericshed.RouteRequest) *server {
	r.candidates(now, p, req)
	local, remote := r.among(p.local, req.Prefix), r.among(p.remote, req.Prefix)
	if local.server == nil || (remote.server != nil && remote.load+r.cfg.RemotePenalty < local.load) {
		return remote.server
	}
	return local.server
}

// among chooses within one of the two groups.
func (r *Router) among(cs []candidate, prefix uint64) candidate {
	switch {
	case len(cs) == 0:
		return candidate{}
	case prefix != 0:
		return r.byPrefix(cs, prefix)
	default:
		return r.byLoad(cs)
	}
}

// candidates collects the servers that may take the request.
func (r *Router) candidates(now time.Time, p *pool, req turmericshed.RouteRequest) {
	mean := meanOthers(p.servers)
	p.local, p.remote = p.local[:0], p.remote[:0]
	for _, s := range p.servers {
		if s.leaving || slices.Contains(req.Excluded, s.ID) || !s.breaker.allows(now, s.inflight) {
			continue
		}
		c := candidate{server: s, load: (r.estimate(now, s, mean) + 1) / float64(s.Slots)}
		if s.FailureDomain == r.cfg.Self {
			p.local = append(p.local, c)
		} else {
			p.remote = append(p.remote, c)
		}
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

// byPrefix returns the highest-ranked candidate within the bound.
func (r *Router) byPrefix(cs []candidate, prefix uint64) candidate {
	var sum float64
	for _, c := range cs {
		sum += c.load
	}
	bound := max(r.cfg.Bound*sum/float64(len(cs)), minBound)
	var best candidate
	var bestRank uint64
	for _, c := range cs {
		if rank := mix(prefix ^ c.hash); c.load <= bound && (best.server == nil || rank > bestRank) {
			best, bestRank = c, rank
		}
	}
	if best.server == nil {
		return r.byLoad(cs)
	}
	return best
}

// minBound is the load per slot below which affinity is never given up.
const minBound = 0.5

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
		if s.leaving || s.breaker.open || s.inflight >= s.Slots || slices.Contains(req.Excluded, s.ID) {
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
		if !s.leaving && !slices.Contains(req.Excluded, s.ID) && s.breaker.allowsProbe(now, s.inflight) {
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
