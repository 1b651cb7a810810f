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
// Both look at the own failure domain first. Another one is taken when it is
// better by more than RemotePenalty. Cost: linear in the candidates.

// poolKey names what a pool of servers serves.
type poolKey struct {
	work    turmericshed.WorkKind
	model   turmericshed.Model
	service string
}

// pool is the servers of one key.
type pool struct {
	local, remote []*server
	all           []*server
	// scratch is reused between picks.
	scratch []candidate
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
		if !s.serves(req) {
			continue
		}
		p.all = append(p.all, s)
		if s.FailureDomain == r.cfg.Self {
			p.local = append(p.local, s)
		} else {
			p.remote = append(p.remote, s)
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
	mean := meanOthers(p.all)
	p.scratch = r.candidates(now, p.scratch[:0], p.all, req, mean)
	if len(p.scratch) == 0 {
		return nil
	}
	if req.Prefix != 0 {
		return r.byPrefix(p.scratch, req.Prefix)
	}
	return r.byLoad(p.scratch)
}

// candidates appends the servers that may take the request.
func (r *Router) candidates(now time.Time, to []candidate, from []*server, req turmericshed.RouteRequest, mean float64) []candidate {
	for _, s := range from {
		if s.leaving || slices.Contains(req.Excluded, s.ID) || !s.breaker.allows(now, s.inflight) {
			continue
		}
		load := (r.estimate(now, s, mean) + 1) / float64(s.Slots)
		if s.FailureDomain != r.cfg.Self {
			load += r.cfg.RemotePenalty
		}
		to = append(to, candidate{server: s, load: load})
	}
	return to
}

// byLoad returns the less loaded of two random candidates.
func (r *Router) byLoad(cs []candidate) *server {
	a := cs[r.cfg.Rand.IntN(len(cs))]
	b := cs[r.cfg.Rand.IntN(len(cs))]
	if b.load < a.load {
		a = b
	}
	return a.server
}

// byPrefix returns the highest-ranked candidate within the bound.
func (r *Router) byPrefix(cs []candidate, prefix uint64) *server {
	var sum float64
	for _, c := range cs {
		sum += c.load
	}
	bound := max(r.cfg.Bound*sum/float64(len(cs)), minBound)
	var best *server
	var bestRank uint64
	for _, c := range cs {
		if rank := mix(prefix ^ c.hash); c.load <= bound && (best == nil || rank > bestRank) {
			best, bestRank = c.server, rank
		}
	}
	if best == nil {
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
	for _, s := range p.all {
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
	for _, s := range p.all {
		if !s.leaving && !slices.Contains(req.Excluded, s.ID) && s.breaker.allowsProbe(now, s.inflight) {
			return s
		}
	}
	return nil
}

// refuse tells why no server was chosen and when one may be.
func (r *Router) refuse(now time.Time, p *pool, req turmericshed.RouteRequest) error {
	var soonest time.Time
	for _, s := range p.all {
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
