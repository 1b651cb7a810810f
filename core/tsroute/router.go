// Package tsroute chooses the backend server for a request. It does no I/O: the
// caller provides time and randomness and serializes access.
//
// # Usage
//
//	r := tsroute.New(tsroute.Config{FailureDomain: "my-west-a", Rand: rng, Recorder: rec})
//	r.SetServers(now, servers)
//	r.Report(now, report)
//	s, err := r.Pick(now, req)       // KindNoBackend, KindOverloaded
//	r.Done(now, s.ID, req, result)   // exactly once for each Pick
//
// The candidates are the servers with the requested model or service that are
// not leaving, not excluded, and allowed by their circuit breaker. See
// choose.go for the selection and load.go for the load estimate.
package tsroute

import (
	"math/rand/v2"
	"time"

	"turmericshed"
)

// Default settings.
const (
	// defaultReportLife is the age at which a load report is ignored.
	defaultReportLife = 800 * time.Millisecond
	// defaultBound is the factor over the mean load per slot up to which a
	// server may be chosen for its cached prefix.
	defaultLoadBound = 1.25
	// defaultRemotePenalty is the load per slot by which another failure domain
	// must be less loaded.
	defaultRemotePenalty = 0.15
	// defaultRegionPenalty is the same for another region.
	defaultRegionPenalty = 0.5
	// failedLoadLife is how long a failed request still counts as load.
	failedLoadLife = 2 * time.Second
	// overloadedRetryAfter is the suggested retry delay when every server is at
	// its allowance.
	overloadedRetryAfter = time.Second
)

// Config holds the settings of a Router. Zero values are replaced by defaults.
type Config struct {
	FailureDomain turmericshed.FailureDomain
	// Region is the local region. If it is empty, all servers count as being in
	// it.
	Region turmericshed.Region
	Rand   *rand.Rand
	// ReportLife is the age at which a load report is ignored.
	ReportLife time.Duration
	// Bound is the bounded-load factor over the mean. It must be above 1.
	Bound float64
	// Homes is the number of servers at which a prefix is cached. One avoids
	// processing long prompts a second time; two spread the load of short ones.
	Homes int
	// RemotePenalty and RegionPenalty are the load per slot by which another
	// failure domain and another region must be less loaded.
	RemotePenalty float64
	RegionPenalty float64
	// ServeTime makes Pick weigh servers by the time to serve a request instead of by
	// requests per slot, see serve_time.go.
	ServeTime bool
	// Recorder receives events about leaving servers and circuit breakers. It
	// may be nil.
	Recorder turmericshed.Recorder
}

// Router chooses among the listed servers.
type Router struct {
	cfg     Config
	servers map[turmericshed.ServerID]*server
	// ordered holds the servers in list order, so that choices are
	// reproducible.
	ordered []*server
	// domains holds the reachability of each failure domain.
	domains map[turmericshed.FailureDomain]*reachability
	// pools caches the servers for each key. It is filled on demand and cleared
	// when the list changes.
	pools      map[poolKey]*pool
	popularity popularity
	// learnt is what serve_time.go learnt, by kind of request.
	learnt map[poolKey]*serveTimes
	// familiarSeed makes the preferred servers differ between entry VMs.
	familiarSeed uint64
	// spill is nil until spillover is enabled.
	spill *spill
	// isInitialized is true once a list with servers was set.
	isInitialized bool
	// latestAnsweredStart is the latest start time of an attempt that got a
	// complete answer.
	latestAnsweredStart time.Time
}

// New returns a router without servers.
func New(cfg Config) *Router {
	if cfg.ReportLife == 0 {
		cfg.ReportLife = defaultReportLife
	}
	if cfg.Bound == 0 {
		cfg.Bound = defaultLoadBound
	}
	if cfg.Homes == 0 {
		cfg.Homes = defaultHomes
	}
	if cfg.RemotePenalty == 0 {
		cfg.RemotePenalty = defaultRemotePenalty
	}
	if cfg.RegionPenalty == 0 {
		cfg.RegionPenalty = defaultRegionPenalty
	}
	if cfg.Recorder == nil {
		cfg.Recorder = turmericshed.NopRecorder{}
	}
	return &Router{
		cfg: cfg, servers: map[turmericshed.ServerID]*server{}, domains: map[turmericshed.FailureDomain]*reachability{},
		pools: map[poolKey]*pool{}, learnt: map[poolKey]*serveTimes{},
	}
}

// SetServers replaces the list of servers. Servers that were listed before
// retain their state. A server that joins later, after the first list, ramps up
// slowly. A server that is no longer listed retains its count until its
// requests are done.
func (r *Router) SetServers(_ time.Time, list []turmericshed.BackendServer) {
	previous := r.servers
	r.servers = make(map[turmericshed.ServerID]*server, len(list))
	r.ordered = make([]*server, 0, len(list))
	for _, b := range list {
		s := previous[b.ID]
		if s == nil {
			s = newServer(b)
			if r.isInitialized {
				s.breaker.startRamp()
			}
		} else {
			s.update(b)
		}
		s.reachability = r.reachabilityOf(b.FailureDomain)
		if r.servers[b.ID] == nil {
			r.ordered = append(r.ordered, s)
		}
		r.servers[b.ID] = s
	}
	for id, s := range previous {
		if r.servers[id] == nil && s.inflight > 0 {
			s.unlisted = true
			r.servers[id] = s
		}
	}
	r.isInitialized = r.isInitialized || len(list) > 0
	clear(r.pools)
}

// Report applies a load report. Reports may arrive late, repeatedly and out of
// order.
func (r *Router) Report(now time.Time, rep turmericshed.LoadReport) {
	s := r.servers[rep.Server]
	if s == nil {
		return
	}
	if rep.Leaving {
		r.setLeaving(s, "load report")
	}
	rep.WorkTime = min(rep.WorkTime, maxWorkTime)
	if !s.reportReceivedAt.IsZero() && !rep.At.After(s.report.At) {
		if s.report.Relayed {
			r.updateReachabilityFromReport(s, rep)
		}
		return
	}
	s.report, s.reportReceivedAt = rep, now
	r.updateReachabilityFromReport(s, rep)
	s.othersReported = float64(max(rep.Running+rep.Queued-s.history.countAt(rep.At), 0))
	if rep.WorkTime > 0 {
		r.markReporting(s)
	}
}

// SetLeaving immediately stops new work to a server for as long as it is
// listed.
func (r *Router) SetLeaving(_ time.Time, id turmericshed.ServerID) {
	if s := r.servers[id]; s != nil {
		r.setLeaving(s, "refused as leaving")
	}
}

// Pause stops new work to a server for d. It never shortens an earlier pause.
func (r *Router) Pause(now time.Time, id turmericshed.ServerID, d time.Duration) {
	s := r.servers[id]
	if s == nil || !now.Add(d).After(s.pausedUntil) {
		return
	}
	s.pausedUntil = now.Add(d)
	r.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventServerPaused, Server: s.ID, Reason: "asked for no work for " + d.String()})
}

// InService reports whether a server is listed, is not leaving and is not
// paused.
func (r *Router) InService(now time.Time, id turmericshed.ServerID) bool {
	s := r.servers[id]
	return s != nil && s.acceptsWork(now)
}

func (r *Router) setLeaving(s *server, reason string) {
	if !s.leaving {
		r.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventServerLeaving, Server: s.ID, Reason: reason})
	}
	s.leaving = true
}

// Done records the result of an attempt that Pick counted.
func (r *Router) Done(now time.Time, id turmericshed.ServerID, req turmericshed.RouteRequest, res turmericshed.DispatchResult) {
	s := r.servers[id]
	turmericshed.Assert(s != nil, "done_after_pick", "server %s is not known", id)
	s.addInflight(now, -1)
	s.endServing(req)
	r.recordServed(req, res)
	res.Inconclusive = res.Inconclusive && !r.laterAttemptAnswered(now, res)
	r.updateReachability(now, s, res)
	r.observeSpill(now, s, req, res)
	switch classify(res) {
	case verdictSuccess:
		if began := now.Add(-res.Elapsed); began.After(r.latestAnsweredStart) {
			r.latestAnsweredStart = began
		}
		if s.breaker.recordSuccess(s.Slots) {
			r.recordBreaker(turmericshed.EventBreakerClosed, s, "whole answer")
		}
	case verdictFailure:
		s.failureExpiries = append(s.failureExpiries, now.Add(failedLoadLife))
		if s.breaker.recordFailure(now, r.cfg.Rand) {
			r.recordBreaker(turmericshed.EventBreakerOpened, s, res.Err.Error())
		}
	case verdictNeutral:
	}
	if s.inflight == 0 && !r.isListed(s) {
		delete(r.servers, id)
	}
}

// Release reverts a Pick whose request is not sent.
func (r *Router) Release(now time.Time, id turmericshed.ServerID) {
	s := r.servers[id]
	turmericshed.Assert(s != nil, "release_after_pick", "server %s is not known", id)
	s.addInflight(now, -1)
	if s.inflight == 0 && !r.isListed(s) {
		delete(r.servers, id)
	}
}

// laterAttemptAnswered reports whether an attempt that began after this one
// already got a complete answer. Traffic on the local network link stays in
// order, so the link then does not explain the missing answer.
func (r *Router) laterAttemptAnswered(now time.Time, res turmericshed.DispatchResult) bool {
	return r.latestAnsweredStart.After(now.Add(-res.Elapsed))
}

// isListed reports whether s is in the current list.
func (r *Router) isListed(s *server) bool {
	for _, o := range r.ordered {
		if o == s {
			return true
		}
	}
	return false
}

func (r *Router) recordBreaker(name turmericshed.EventName, s *server, reason string) {
	r.cfg.Recorder.Record(turmericshed.Event{Name: name, Server: s.ID, Reason: reason})
}

// verdict is the effect of an attempt on the server's circuit breaker.
type verdict int

const (
	verdictNeutral verdict = iota
	verdictSuccess
	verdictFailure
)

// classify separates failures of the server from failures that the caller
// caused or that are inconclusive.
func classify(res turmericshed.DispatchResult) verdict {
	if res.Inconclusive {
		return verdictNeutral
	}
	switch turmericshed.KindOf(res.Err) {
	case turmericshed.KindNone:
		return verdictSuccess
	case turmericshed.KindNoBackend, turmericshed.KindBackendRefused, turmericshed.KindStreamBroken,
		turmericshed.KindCallUnknown, turmericshed.KindInternal:
		return verdictFailure
	case turmericshed.KindDeadline:
		if res.FirstByte == 0 {
			return verdictFailure
		}
		return verdictNeutral
	default:
		return verdictNeutral
	}
}
