package tsroute

import (
	"slices"
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
	var home candidate
	hasHome := false
	if req.Prefix != 0 {
		home, hasHome = r.regionHome(p, req.Prefix)
	}
	loads := r.estimateByDomain(now, p)
	if len(req.Excluded) == 0 && c.Due(now) && c.Update(now, loads) {
		r.spill.onChange(SpillChange{Service: req.Service, Loads: loads, Decision: c.Decision()})
	}
	var best candidate
	if hasHome {
		best = r.chooseHomeWithSpill(now, c, p, home, req)
	} else {
		best = r.chooseInGroup(p, p.groups[sameDomain], 0)
		other := r.chooseInGroup(p, p.groups[sameRegion], 0)
		if c.Leave(best.load, other.load, req.BodyBytes) {
			best = other
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

// regionHome returns the server that the prefix goes to without spillover. It has to be
// called before the loads are replaced. ok is false if that server is not a home of the
// prefix, since none of them may take the request.
func (r *Router) regionHome(p *pool, prefix uint64) (home candidate, ok bool) {
	p.region = append(append(p.region[:0], p.groups[sameDomain]...), p.groups[sameRegion]...)
	home = r.chooseInGroup(p, p.region, prefix)
	return home, slices.ContainsFunc(p.homes, func(c candidate) bool { return c.server == home.server })
}

// chooseHomeWithSpill chooses between the prefix's home in the region and the best one
// on the other side of the border of the failure domain.
func (r *Router) chooseHomeWithSpill(now time.Time, c *tsspill.Controller, p *pool, home candidate, req turmericshed.RouteRequest) candidate {
	own, others := p.groups[sameRegion], p.groups[sameDomain]
	isLocal := home.FailureDomain == r.cfg.FailureDomain
	if isLocal {
		own, others = others, own
	}
	home = own[slices.IndexFunc(own, func(c candidate) bool { return c.server == home.server })]
	other := r.boundedHome(p, others, req.Prefix)
	asked := tsspill.PrefixedRequest{
		Prefix: req.Prefix, SharedTokens: int64(req.PrefixTokens), RequestBytes: req.BodyBytes,
		Home: home.load, Other: other.load, OtherServer: other.hash, OtherRunning: other.load*float64(other.Slots) - 1,
	}
	switch {
	case isLocal && c.LeaveHome(now, asked), !isLocal && !c.LeaveForHome(now, asked):
		return other
	default:
		return home
	}
}

// boundedHome returns the candidate within the load bound that has the highest rank for
// the prefix. Unlike chooseInGroup it doesn't count the request for the prefix's share.
func (r *Router) boundedHome(p *pool, cs []candidate, prefix uint64) candidate {
	mean := 0.0
	for _, c := range cs {
		mean += c.load / float64(len(cs))
	}
	if mean > crowdedLoad {
		return r.fewestInflight(p, cs, 0)
	}
	bound := max(r.cfg.Bound*mean, minLoadBound)
	var best candidate
	for _, c := range cs {
		if c.rank = splitMix64(prefix ^ c.hash); c.load <= bound && (best.server == nil || c.rank > best.rank) {
			best = c
		}
	}
	if best.server == nil {
		return r.leastLoadedOfTwo(cs)
	}
	return best
}

// isHome reports whether s is a home of the prefix among the servers that take work.
func (r *Router) isHome(now time.Time, s *server, req turmericshed.RouteRequest) bool {
	higher := 0
	for _, o := range r.poolFor(req).servers {
		if o.acceptsWork(now) && r.distanceTo(o) != otherRegion && splitMix64(req.Prefix^o.hash) > splitMix64(req.Prefix^s.hash) {
			higher++
		}
	}
	return higher < r.cfg.Homes
}

// estimateByDomain replaces the estimated loads of the candidates in the region, and
// returns the mean loads of both sides. What is assumed for servers with an old reading
// or none is the mean of their own side instead of that of all servers, which would hide
// the difference between the failure domains. Without recent readings of a side, the
// estimates stay and the loads are not known.
func (r *Router) estimateByDomain(now time.Time, p *pool) tsspill.Loads {
	local, localKnown := meanRecent(now, p.groups[sameDomain])
	remote, remoteKnown := meanRecent(now, p.groups[sameRegion])
	if !localKnown || !remoteKnown {
		return tsspill.Loads{}
	}
	l := tsspill.Loads{AreKnown: true}
	l.Local, l.LocalSlots = r.estimateSide(now, p.groups[sameDomain], local)
	l.Remote, l.RemoteSlots = r.estimateSide(now, p.groups[sameRegion], remote)
	return l
}

// estimateSide estimates the loads of one side's candidates, whose servers have mean
// requests of other entry VMs per slot. It returns the mean load per slot and the slots.
func (r *Router) estimateSide(now time.Time, cs []candidate, mean float64) (load float64, slots int) {
	for i := range cs {
		n := r.estimatedLoad(now, cs[i].server, mean)
		cs[i].load = (n + 1) / float64(cs[i].Slots)
		load += n
		slots += cs[i].Slots
	}
	return load / float64(slots), slots
}

// fullWeightAge is the age up to which a reading counts fully for the mean of its side,
// and noWeightAge that from which it doesn't count. A mean of many servers changes more
// slowly than a single one.
const (
	fullWeightAge = 1500 * time.Millisecond
	noWeightAge   = 5 * time.Second
)

// meanRecent returns the requests of other entry VMs per slot by the recent readings of
// candidates. isKnown is false if there is less than one recent reading.
func meanRecent(now time.Time, cs []candidate) (mean float64, isKnown bool) {
	var requests, slots, weight float64
	for _, c := range cs {
		if c.reportReceivedAt.IsZero() {
			continue
		}
		w := 1 - float64(now.Sub(c.report.At)-fullWeightAge)/float64(noWeightAge-fullWeightAge)
		w = min(max(w, 0), 1)
		requests += w * c.othersReported
		slots += w * float64(c.Slots)
		weight += w
	}
	if weight < 1 {
		return 0, false
	}
	return requests / slots, true
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
	unread, assumed := int64(req.Cost), int64(0)
	if req.Prefix != 0 {
		shared := min(int64(req.PrefixTokens), unread)
		switch {
		case c.Answered(now, req.Prefix, s.hash):
			unread -= shared
		case r.isHome(now, s, req):
			unread, assumed = unread-shared, shared
		}
	}
	c.Observe(now, tsspill.Sample{
		Remote: s.FailureDomain != r.cfg.FailureDomain, Load: s.loadAtPick, Unread: unread, Assumed: assumed, FirstByte: wait,
		RequestBytes: res.RequestBytes, AnswerBytes: res.AnswerBytes,
	})
}
