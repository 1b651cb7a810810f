package tsroute

import (
	"time"

	"turmericshed"
	"turmericshed/core/tsspill"
)

// Spillover between failure domains. Once it is enabled, core/tsspill decides for
// each service how many requests may leave the local failure domain and by how much
// less loaded the other server has to be. It applies where a request has candidates
// in the local and in another failure domain of the region: those that are leaving,
// paused, excluded, unreachable or held back by their breaker were removed before.
// Without local candidates, requests go to the other failure domains as without
// spillover.

// spillKey identifies a service. Models are left out, because callers name them.
type spillKey struct {
	work    turmericshed.WorkKind
	service string
}

// SpillChange is a changed decision for a service.
type SpillChange struct {
	Service  string
	Loads    tsspill.Loads
	Decision tsspill.Decision
}

// spill is the state of spillover.
type spill struct {
	settings tsspill.Settings
	onChange func(SpillChange)
	services map[spillKey]*tsspill.Controller
}

// EnableSpill lets measurements decide about requests to other failure domains.
// onChange is called during Pick when the decision for a service changed; it may be
// nil. Later calls do nothing.
func (r *Router) EnableSpill(s tsspill.Settings, onChange func(SpillChange)) {
	if r.spill != nil {
		return
	}
	if onChange == nil {
		onChange = func(SpillChange) {}
	}
	r.spill = &spill{settings: s, onChange: onChange, services: make(map[spillKey]*tsspill.Controller)}
}

// IsLocal reports whether a server is in the local failure domain or is not known.
func (r *Router) IsLocal(id turmericshed.ServerID) bool {
	s := r.servers[id]
	return s == nil || s.FailureDomain == r.cfg.FailureDomain
}

// spillApplies reports whether spillover decides among the candidates of p.
func (r *Router) spillApplies(p *pool) bool {
	return r.spill != nil && len(p.groups[sameDomain]) > 0 && len(p.groups[sameRegion]) > 0
}

// controller returns the controller for the service of req.
func (r *Router) controller(req turmericshed.RouteRequest) *tsspill.Controller {
	key := spillKey{work: req.Work, service: req.Service}
	c := r.spill.services[key]
	if c == nil {
		c = tsspill.New(r.spill.settings, r.cfg.Rand)
		r.spill.services[key] = c
	}
	return c
}

// chooseWithSpill returns the best candidate.
func (r *Router) chooseWithSpill(now time.Time, p *pool, req turmericshed.RouteRequest) *server {
	c := r.controller(req)
	if c.Due(now) && len(req.Excluded) == 0 {
		r.updateSpill(now, c, p, req)
	}
	var best candidate
	if req.Prefix != 0 {
		best = r.chooseHomeWithSpill(now, c, p, req)
	} else {
		best = r.chooseInGroup(p, p.groups[sameDomain], 0)
		if fraction := c.Decision().Fraction; fraction > 0 && r.cfg.Rand.Float64() < fraction {
			other := r.chooseInGroup(p, p.groups[sameRegion], 0)
			if other.load+c.Penalty(req.BodyBytes) < best.load {
				best = other
			}
		}
	}
	if far := p.groups[otherRegion]; len(far) > 0 {
		if other := r.chooseInGroup(p, far, req.Prefix); other.load+r.cfg.RegionPenalty < best.load {
			best = other
		}
	}
	best.loadAtPick = best.load
	return best.server
}

// chooseHomeWithSpill chooses between the prefix's home in the region and that among
// the local servers.
func (r *Router) chooseHomeWithSpill(now time.Time, c *tsspill.Controller, p *pool, req turmericshed.RouteRequest) candidate {
	p.region = append(append(p.region[:0], p.groups[sameDomain]...), p.groups[sameRegion]...)
	home := r.chooseInGroup(p, p.region, req.Prefix)
	if home.FailureDomain == r.cfg.FailureDomain {
		return home
	}
	stay := r.chooseInGroup(p, p.groups[sameDomain], req.Prefix)
	leave := c.LeaveForPrefix(now, tsspill.PrefixedRequest{
		Prefix: req.Prefix, SharedTokens: int64(req.PrefixTokens), RequestBytes: req.BodyBytes, Home: home.load, Stay: stay.load,
	})
	if leave {
		return home
	}
	return stay
}

// updateSpill decides by the current loads.
func (r *Router) updateSpill(now time.Time, c *tsspill.Controller, p *pool, req turmericshed.RouteRequest) {
	var l tsspill.Loads
	l.Local, l.LocalSlots = meanLoad(p.groups[sameDomain])
	l.Remote, l.RemoteSlots = meanLoad(p.groups[sameRegion])
	if c.Update(now, l) {
		r.spill.onChange(SpillChange{Service: req.Service, Loads: l, Decision: c.Decision()})
	}
}

// meanLoad returns the mean load per slot of candidates, and their slots.
func meanLoad(cs []candidate) (load float64, slots int) {
	for _, c := range cs {
		// Without the request that is to be sent.
		load += c.load*float64(c.Slots) - 1
		slots += c.Slots
	}
	if slots == 0 {
		return 0, 0
	}
	return load / float64(slots), slots
}

// observeSpill measures an attempt. An attempt of which the local link may have been
// the cause says nothing about failure domains. One that reached its deadline without
// output counts with the time that it waited, since leaving slow servers out would make
// them look fast.
func (r *Router) observeSpill(now time.Time, s *server, req turmericshed.RouteRequest, res turmericshed.DispatchResult) {
	if r.spill == nil || res.Inconclusive || r.distanceTo(s) == otherRegion {
		return
	}
	wait := res.FirstOutput
	switch kind := turmericshed.KindOf(res.Err); {
	case kind == turmericshed.KindDeadline && wait == 0 && res.RequestBytes > 0:
		wait = res.Elapsed
	case wait <= 0 || classify(res) == verdictFailure:
		return
	}
	c := r.controller(req)
	unread := int64(req.Cost)
	if req.Prefix != 0 && c.Answered(now, req.Prefix, s.hash) {
		unread = max(unread-int64(req.PrefixTokens), 0)
	}
	c.Observe(now, tsspill.Sample{
		Remote: s.FailureDomain != r.cfg.FailureDomain, Load: s.loadAtPick, Unread: unread, FirstByte: wait,
		RequestBytes: res.RequestBytes, AnswerBytes: res.AnswerBytes,
	})
}
