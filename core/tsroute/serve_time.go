package tsroute

import (
	"math"
	"slices"
	"time"

	"turmericshed"
)

// Selection by time to serve.
//
// Load pattern: servers of one service differ in speed (0.6, 1.0 and 1.6 times the usual),
// 15% of them run 2.5 times as slow for about 600 ms at a time, and prompts differ in
// length by two orders of magnitude. Requests per slot tell little about such servers.
//
// The time to serve a request at a server is estimated as
//
//	pace × (tokens to read × time per token + wait for a slot + wait for memory + generation)
//
// with
//
//   - pace: how long work takes there, relative to the average server: the server's usual
//     pace, learnt from the time to the first byte of its answers, times the work time that
//     it reported. A report counts less the older it is, until the average of all servers
//     is assumed.
//   - tokens to read: those of this entry VM's requests without a first byte yet, and those
//     of the request itself. The shared part of its prompt counts only at servers where it
//     is probably not cached.
//   - memory: the tokens of the requests in flight against what the server holds.
//
// The time per token is learnt from all answers, so that it includes what the estimate
// lacks. It applies to all servers, which keeps them comparable.
//
// What others' requests have to read is part of the pace: it is learnt along with the speed,
// slowly. Estimates of it from reported counts made entry VMs choose the same servers
// together (docs/design/load-sharing.md).
//
// Each entry VM chooses among ten servers of its failure domain, which differ between entry
// VMs, and three random ones. A request with a prompt prefix has its homes and the next
// server in hash order as candidates instead, and leaves the homes only if the best of them
// endangers the latency objective and the other server is clearly faster, reading the prefix
// again included: reading it delays all requests there.

const (
	// familiarServers is the number of servers that are always candidates, and
	// serveTimeChoices that of random ones. With ten of 30 servers an entry VM sends a third
	// of a server's requests itself, which it knows without delay.
	familiarServers  = 10
	serveTimeChoices = 3
	// spareHomes is the number of servers that follow the homes of a prefix in hash order
	// and are candidates as well: entry VMs that pass over a home meet at the same servers,
	// which then cache the prefix.
	spareHomes = 1
	// rereadFactor is the cost of reading the shared part again, in times to read it, on top
	// of the time that the request itself takes: it delays all other requests there.
	rereadFactor = 2
	// keepHomePart is the part of the latency objective up to which the best home is kept
	// whatever other servers promise, and leaveHomePart the part of its time to serve that
	// another server's cost must stay below beyond that. A home that is slow for a moment
	// thus keeps its requests.
	keepHomePart  = 0.5
	leaveHomePart = 0.7
	// laterHomeMissingPart is the part of the shared part that homes after the first in hash
	// order are assumed to lack. Without it each entry VM spreads a prefix over all its homes
	// at any load, and each of them reads it (docs/design/load-sharing.md).
	laterHomeMissingPart = 0.5
	// minSharedTokens is the number of tokens below which a shared part is not worth keeping
	// to its homes: they are read in about 3 ms.
	minSharedTokens = 300
	// unseenMissingPart is the part of a prefix that a home is assumed to read if this entry
	// VM has not seen the prefix: other entry VMs may have.
	unseenMissingPart = 0.3
	// generationWeight is the weight of the time to generate against the time to the first
	// byte: callers read the events while they are generated.
	generationWeight = 0.1
	// minRequestTime is the least time that a request is assumed to take, in penalties.
	minRequestTime = 100 * time.Millisecond
	// maxTokens bounds the tokens of one request, as callers state them, to what sums
	// represent exactly.
	maxTokens = 1 << 40
	// stepTime is the assumed time to the first byte of an empty prompt.
	stepTime = 5 * time.Millisecond
	// initialTokenTime is the time per prompt token that is assumed before any answer.
	initialTokenTime = 20 * time.Microsecond
	// minReadTokens is the number of tokens from which an answer tells something about the
	// speed of reading.
	minReadTokens = 300
	// tokenTimeGain, paceGain and sizeGain are the weights of one answer in the time per
	// token, in the pace of a server and in the average sizes. The first answers weigh more.
	tokenTimeGain = 0.01
	paceGain      = 0.08
	sizeGain      = 0.02
	// pacePriorAnswers is the number of answers that the assumption of an average pace
	// weighs as much as.
	pacePriorAnswers = 4
	// maxPaceRatio bounds the effect of one answer: the prompt may be cached, or not, against
	// the assumption.
	maxPaceRatio = 4
	// recentPaceWeight is the weight of a server's last answer in its speed now if servers
	// don't report their work time.
	recentPaceWeight = 0.5
	// workTimeLife is the age at which a reported work time no longer counts.
	workTimeLife = 600 * time.Millisecond
	// maxWorkTime bounds a reported work time, so that one garbled report doesn't change the
	// average by which all other servers are measured. Slow servers report 2.5.
	maxWorkTime = 10
	// maxReadTime is the time to the first byte above which an answer tells nothing about
	// speed: something else delayed it.
	maxReadTime = 10 * time.Second
)

// serveTimes is what the router learnt about the requests and servers of one pool key.
type serveTimes struct {
	// isOn is true once a server reported its work time.
	isOn bool
	// tokenTime is the natural logarithm of the seconds per prompt token.
	tokenTime average
	// memory is the average of the tokens that a request holds, firstByte and elapsed those
	// of its times, in seconds, and generation that of the seconds to generate, per token of
	// the maximum output.
	memory, firstByte, elapsed, generation average
}

// average is a moving average whose first values weigh more.
type average struct {
	value float64
	count int
}

// add includes a value with the weight gain, or an equal weight among the first ones.
func (a *average) add(v, gain float64) {
	a.count++
	a.value += (v - a.value) * max(gain, 1/float64(a.count))
}

// servePace is what is known about the speed of one server.
type servePace struct {
	// usual is the natural logarithm of the server's usual pace.
	usual average
	// recent is the pace of the last answer relative to the usual one, and recentAt its time.
	recent   float64
	recentAt time.Time
	// unread is the number of prompt tokens of this entry VM's requests that the server
	// has to read, and memory the tokens of those in flight.
	unread, memory float64
}

// weighsServeTime reports whether a server for the request is chosen by time to serve.
func (r *Router) weighsServeTime(req turmericshed.RouteRequest) bool {
	if req.Estimate == nil || req.PromptTokens <= 0 {
		return false
	}
	m := r.learnt[keyOf(req)]
	return r.cfg.ServeTime || m != nil && m.isOn
}

// serveTimesFor returns what was learnt about the kind of request. Callers choose the model,
// so it is called only for requests that a listed server serves.
func (r *Router) serveTimesFor(req turmericshed.RouteRequest) *serveTimes {
	key := keyOf(req)
	m := r.learnt[key]
	if m == nil {
		m = &serveTimes{tokenTime: average{value: math.Log(initialTokenTime.Seconds())}}
		r.learnt[key] = m
	}
	return m
}

// chooseByServeTime returns the candidate with the shortest time to serve, or nil if there
// is none.
func (r *Router) chooseByServeTime(now time.Time, p *pool, req turmericshed.RouteRequest) *server {
	if len(p.servers) == 0 {
		return nil
	}
	r.collectCandidates(now, p, req)
	if req.PrefixTokens > 0 && req.PrefixTokens < minSharedTokens {
		req.Prefix, req.PrefixTokens = 0, 0
	}
	if r.missingPart(req) == 1 {
		// No server has the prompt: the request is free to stay in its failure domain. It is
		// counted, as it may come again.
		r.popularity.homeCount(req.Prefix, 1, 1)
		req.Prefix, req.PrefixTokens = 0, 0
	}
	if req.Prefix != 0 {
		p.groups[sameDomain] = append(p.groups[sameDomain], p.groups[sameRegion]...)
		p.groups[sameRegion] = p.groups[sameRegion][:0]
	}
	e := r.newEstimator(now, p, req)
	var best, home choice
	for d, cs := range p.groups {
		if len(cs) == 0 {
			continue
		}
		penalty := r.penalty(distance(d)) * e.timePerLoad()
		for _, c := range r.serveTimeCandidates(p, cs, req) {
			c.seconds = e.serveTime(c.server, c.unread) + penalty
			c.cost = c.seconds + c.reread*rereadFactor*e.tokenTime()
			if c.isHome && (home.server == nil || c.cost < home.cost) {
				home = c
			}
			if best.server == nil || c.cost < best.cost {
				best = c
			}
		}
	}
	if home.server != nil && !e.leavesHome(home, best) {
		best = home
	}
	if best.server != nil {
		e.fill(best)
	}
	return best.server
}

// leavesHome reports whether a request goes to the server other instead of to the best home
// of its prefix.
func (e estimator) leavesHome(home, other choice) bool {
	return home.seconds > keepHomePart*e.req.FirstByteWithin.Seconds() && other.cost < leaveHomePart*home.seconds
}

// choice is a server that may be chosen by time to serve.
type choice struct {
	*server
	// unread is the number of the request's prompt tokens that the server has to read, and
	// reread those that it reads, or may read, although a home has read them.
	unread, reread float64
	isHome         bool
	// seconds is the time to serve, with the penalty for distance, and cost that with what
	// reading tokens again costs other requests.
	seconds, cost float64
}

// serveTimeCandidates returns the homes of the request's prefix and the servers that follow
// them, or for a request without a prefix the familiar servers and some random ones.
func (r *Router) serveTimeCandidates(p *pool, cs []candidate, req turmericshed.RouteRequest) []choice {
	p.choices = p.choices[:0]
	tokens := float64(min(req.PromptTokens, maxTokens))
	if req.Prefix != 0 {
		shared := float64(min(req.PrefixTokens, req.PromptTokens, maxTokens))
		missing := shared * r.missingPart(req)
		homes := r.popularity.homeCount(req.Prefix, len(cs), r.cfg.Homes)
		p.homes = p.homes[:0]
		for _, c := range cs {
			c.rank = splitMix64(req.Prefix ^ c.hash)
			p.homes = insertHome(p.homes, c, homes+spareHomes)
		}
		for i, c := range p.homes {
			switch {
			case i == 0:
				p.choices = append(p.choices, choice{server: c.server, unread: tokens - shared + missing, isHome: true})
			case i < homes:
				p.choices = append(p.choices, choice{server: c.server, unread: tokens - shared + missing, reread: laterHomeMissingPart * shared, isHome: true})
			default:
				p.choices = append(p.choices, choice{server: c.server, unread: tokens, reread: shared - missing})
			}
		}
		return p.choices
	}
	add := func(s *server) {
		if !slices.ContainsFunc(p.choices, func(c choice) bool { return c.server == s }) {
			p.choices = append(p.choices, choice{server: s, unread: tokens})
		}
	}
	for _, c := range r.familiar(p, cs) {
		add(c.server)
	}
	for range serveTimeChoices {
		add(cs[r.cfg.Rand.IntN(len(cs))].server)
	}
	return p.choices
}

// familiar returns the servers of the nearest failure domain among the candidates that this
// entry VM prefers. They differ between entry VMs.
func (r *Router) familiar(p *pool, cs []candidate) []candidate {
	for r.familiarSeed == 0 {
		r.familiarSeed = r.cfg.Rand.Uint64()
	}
	domain := r.cfg.FailureDomain
	if !slices.ContainsFunc(cs, func(c candidate) bool { return c.FailureDomain == domain }) {
		domain = cs[0].FailureDomain
	}
	p.homes = p.homes[:0]
	for _, c := range cs {
		if c.FailureDomain == domain {
			c.rank = splitMix64(r.familiarSeed ^ c.hash)
			p.homes = insertHome(p.homes, c, familiarServers)
		}
	}
	return p.homes
}

// missingPart returns which part of the request's prefix its home probably has to read.
func (r *Router) missingPart(req turmericshed.RouteRequest) float64 {
	switch {
	case req.Prefix == 0 || r.popularity.count[req.Prefix] > 0:
		return 0
	case req.PrefixTokens >= req.PromptTokens:
		// A whole prompt that did not come before is most likely unique.
		return 1
	default:
		return unseenMissingPart
	}
}

// estimator estimates the time to serve one request at several servers.
type estimator struct {
	router *Router
	learnt *serveTimes
	now    time.Time
	req    turmericshed.RouteRequest
	// meanOthers is the average number of other entry VMs' requests per slot, and meanWork
	// the average work time.
	meanOthers, meanWork float64
}

func (r *Router) newEstimator(now time.Time, p *pool, req turmericshed.RouteRequest) estimator {
	return estimator{
		router: r, learnt: r.serveTimesFor(req), now: now, req: req,
		meanOthers: meanOthersPerSlot(p.servers), meanWork: meanWorkTime(now, p.servers),
	}
}

// meanWorkTime returns the average of the latest reported work times; 1 without any.
func meanWorkTime(now time.Time, servers []*server) float64 {
	sum, n := 0.0, 0
	for _, s := range servers {
		if s.report.WorkTime > 0 && !s.reportReceivedAt.IsZero() && now.Sub(s.report.At) < 2*workTimeLife {
			sum += s.report.WorkTime
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// tokenTime returns the time in seconds that the average server needs to read a token.
func (e estimator) tokenTime() float64 { return math.Exp(e.learnt.tokenTime.value) }

// timePerLoad returns the time in seconds that a load of 1 per slot stands for: that of an
// average request.
func (e estimator) timePerLoad() float64 {
	return max(e.learnt.elapsed.value, minRequestTime.Seconds())
}

// pace returns the server's speed now: the time that work takes, relative to the average
// server in its usual state.
func (e estimator) pace(s *server) float64 {
	return s.pace.usualPace() * e.workTime(s)
}

// usualPace returns the learnt pace of a server. It is close to 1 after few answers.
func (p *servePace) usualPace() float64 {
	n := float64(p.usual.count)
	return math.Exp(p.usual.value * n / (n + pacePriorAnswers))
}

// workTime returns the server's work time now, relative to usual: the reported one, moved
// to the average by its age, else by the last answer. It is never below the average: the
// entry VMs that hear of a fast server would all choose it, while avoiding a slow one
// spreads requests.
func (e estimator) workTime(s *server) float64 {
	reported, w := s.report.WorkTime, 0.0
	switch {
	case s.report.WorkTime > 0 && !s.reportReceivedAt.IsZero():
		w = fading(e.now.Sub(s.report.At), workTimeLife)
	case !s.pace.recentAt.IsZero():
		reported, w = s.pace.recent, recentPaceWeight*fading(e.now.Sub(s.pace.recentAt), workTimeLife)
	}
	return max(w*reported+(1-w)*e.meanWork, e.meanWork)
}

// fading returns the weight of a value by its age: 1 at age 0 and 0 from life on.
func fading(age, life time.Duration) float64 {
	return min(max(1-float64(age)/float64(life), 0), 1)
}

// serveTime returns the time to serve the request at s, in seconds, if s has to read unread
// tokens of its prompt.
func (e estimator) serveTime(s *server, unread float64) float64 {
	others := e.router.estimatedOthers(e.now, s, e.meanOthers)
	t := (s.pace.unread + unread) * e.tokenTime()
	if over := float64(s.ownLoad(e.now)) + others + 1 - float64(s.Slots); over > 0 {
		t += over / float64(s.Slots) * e.learnt.elapsed.value
	}
	t += e.memoryWait(s, others)
	// A server that fails requests quickly must not look idle.
	t += float64(len(s.failureExpiries)) * e.timePerLoad()
	t += generationWeight * float64(e.req.MaxOutput) * e.learnt.generation.value
	return stepTime.Seconds() + e.pace(s)*t
}

// memoryWait returns how long the request waits until enough of the requests in flight have
// ended for its tokens to fit into the server's memory.
func (e estimator) memoryWait(s *server, others float64) float64 {
	if e.req.MemoryTokens <= 0 {
		return 0
	}
	inUse := s.pace.memory + others*e.learnt.memory.value
	over := inUse + memoryOf(e.req) - float64(e.req.MemoryTokens)
	if over <= 0 || inUse <= 0 {
		return 0
	}
	return over / inUse * e.learnt.elapsed.value
}

// memoryOf returns the tokens that a request holds in a server's memory at most.
func memoryOf(req turmericshed.RouteRequest) float64 {
	return float64(min(req.PromptTokens, maxTokens)) + float64(min(req.MaxOutput, maxTokens))
}

// fill records what is expected of the chosen server.
func (e estimator) fill(c choice) {
	*e.req.Estimate = turmericshed.RouteEstimate{
		UnreadTokens: turmericshed.Tokens(c.unread), ReadTokens: turmericshed.Tokens(c.unread + c.pace.unread),
		ServeTime: time.Duration(c.seconds * float64(time.Second)),
	}
}

// Unassign reverts a Pick whose request is not sent. Unlike Release it also ends what the
// request counted as work to do.
func (r *Router) Unassign(now time.Time, id turmericshed.ServerID, req turmericshed.RouteRequest) {
	if s := r.servers[id]; s != nil {
		s.endServing(req)
	}
	r.Release(now, id)
}

// beginServing counts a request that was assigned to s by time to serve.
func (s *server) beginServing(now time.Time, req turmericshed.RouteRequest) {
	req.Estimate.Began, req.Estimate.IsReading = now, true
	s.pace.unread += float64(req.Estimate.UnreadTokens)
	s.pace.memory += memoryOf(req)
}

// endReading ends what beginServing counted as unread.
func (s *server) endReading(req turmericshed.RouteRequest) {
	if req.Estimate.IsReading {
		req.Estimate.IsReading = false
		s.pace.unread = max(s.pace.unread-float64(req.Estimate.UnreadTokens), 0)
	}
}

// isWeighed reports whether beginServing counted the request.
func isWeighed(req turmericshed.RouteRequest) bool {
	return req.Estimate != nil && !req.Estimate.Began.IsZero()
}

// endServing ends a request that beginServing counted.
func (s *server) endServing(req turmericshed.RouteRequest) {
	if !isWeighed(req) {
		return
	}
	s.endReading(req)
	s.pace.memory = max(s.pace.memory-memoryOf(req), 0)
}

// FirstByte records that the first byte of an answer, or the first event of a stream,
// arrived from the server that Pick returned.
func (r *Router) FirstByte(now time.Time, id turmericshed.ServerID, req turmericshed.RouteRequest) {
	s := r.servers[id]
	if s == nil || req.Estimate == nil || !req.Estimate.IsReading {
		return
	}
	s.endReading(req)
	took := now.Sub(req.Estimate.Began)
	m := r.serveTimesFor(req)
	m.firstByte.add(took.Seconds(), sizeGain)
	m.memory.add(memoryOf(req), sizeGain)
	if took > 0 && took <= maxReadTime && req.Estimate.ReadTokens >= minReadTokens {
		r.learnPace(now, s, m, float64(req.Estimate.ReadTokens), took)
	}
}

// learnPace learns from the time that a server took to read tokens.
func (r *Router) learnPace(now time.Time, s *server, m *serveTimes, tokens float64, took time.Duration) {
	e := estimator{router: r, learnt: m, now: now, meanWork: 1}
	read := max(took-stepTime, time.Millisecond).Seconds()
	work := 1.0
	if s.report.WorkTime > 0 {
		work = e.workTime(s)
	}
	relative := math.Log(read / (tokens * math.Exp(m.tokenTime.value) * work))
	bound := math.Log(maxPaceRatio)
	usual := s.pace.usual.value
	pace := min(max(relative, usual-bound), usual+bound)
	if m.tokenTime.count == 0 {
		pace = 0
		m.tokenTime.value += relative
	}
	m.tokenTime.count++
	m.tokenTime.value += min(max(relative-math.Log(s.pace.usualPace()), -bound), bound) * max(tokenTimeGain, 1/float64(m.tokenTime.count+1))
	s.pace.recent, s.pace.recentAt = math.Exp(pace-usual), now
	s.pace.usual.add(pace, paceGain)
}

// markReporting switches the choice by time to serve on for the kinds of request that s
// serves.
func (r *Router) markReporting(s *server) {
	if s.reportsWorkTime {
		return
	}
	s.reportsWorkTime = true
	keys := []poolKey{{work: s.Work, service: s.Service}}
	for _, m := range s.Models {
		keys = append(keys, poolKey{work: s.Work, service: s.Service, model: m})
	}
	for _, k := range keys {
		r.serveTimesFor(turmericshed.RouteRequest{Work: k.work, Service: k.service, Model: k.model}).isOn = true
	}
}

// recordServed learns from a complete answer.
func (r *Router) recordServed(req turmericshed.RouteRequest, res turmericshed.DispatchResult) {
	if !isWeighed(req) || res.Err != nil || res.FirstByte <= 0 {
		return
	}
	m := r.serveTimesFor(req)
	m.elapsed.add(res.Elapsed.Seconds(), sizeGain)
	if req.MaxOutput > 0 {
		m.generation.add(max(res.Elapsed-res.FirstByte, 0).Seconds()/float64(req.MaxOutput), sizeGain)
	}
}
