// Package tsroute chooses the backend server for a request. It is pure: time
// and randomness come in, and callers serialize access.
//
// # Usage
//
//	r := tsroute.New(tsroute.Config{Self: "my-west-a", Rand: rng, Recorder: rec})
//	r.SetServers(now, servers)
//	r.Report(now, report)
//	s, err := r.Pick(now, req)       // KindNoBackend, KindOverloaded
//	r.Done(now, s.ID, req, result)   // exactly once for each Pick
//
// The candidates are the servers with the model or service that are not
// leaving, not excluded, and let through by their circuit breaker. See
// choose.go for the choice among them and load.go for the load they are
// compared by.
package tsroute

import (
	"math/rand/v2"
	"time"

	"turmericshed"
)

// Defaults of the settings.
const (
	// defaultReportLife is the age at which a load report tells nothing more.
	defaultReportLife = 800 * time.Millisecond
	// defaultBound is how far above the mean load per slot a server may be
	// and still be chosen for its cached prefix.
	defaultBound = 1.25
	// defaultRemotePenalty is the load per slot that another failure domain
	// must be better by.
	defaultRemotePenalty = 0.15
	// defaultRegionPenalty is the same for another region.
	defaultRegionPenalty = 0.5
	// failedLoadLife is how long a failed request counts as load.
	failedLoadLife = 2 * time.Second
	// overloadedRetryAfter is the advice when every server is at its allowance.
	overloadedRetryAfter = time.Second
)

// Config holds what a Router needs. Zero settings take the defaults.
type Config struct {
	Self turmericshed.FailureDomain
	// Region is the own region; empty counts all servers as near.
	Region turmericshed.Region
	Rand   *rand.Rand
	// ReportLife is the age at which a load report tells nothing more.
	ReportLife time.Duration
	// Bound is the bounded load's factor over the mean, above 1.
	Bound float64
	// Homes is the number of servers that any prefix may be cached at. One
	// saves the second reading of long prompts; two spread short ones.
	Homes int
	// RemotePenalty and RegionPenalty are the load per slot by which another
	// failure domain and another region must be better.
	RemotePenalty float64
	RegionPenalty float64
	// Recorder is told of leaving servers and breakers; nil tells nobody.
	Recorder turmericshed.Recorder
}

// Router chooses among the servers that it was told of.
type Router struct {
	cfg     Config
	servers map[turmericshed.ServerID]*server
	// ordered keeps the servers in the ordered of the list, for repeatability.
	ordered []*server
	// domains tells which failure domains can be reached.
	domains map[turmericshed.FailureDomain]*reachability
	// pools are the servers by what they serve, built on demand.
	pools      map[poolKey]*pool
	popularity popularity
	// isInitialized is true once a first list came in.
	isInitialized bool
	// latestAnsweredStart is when the latest attempt began that was latestAnsweredStart.
	latestAnsweredStart time.Time
}

// New returns a router without servers.
func New(cfg Config) *Router {
	if cfg.ReportLife == 0 {
		cfg.ReportLife = defaultReportLife
	}
	if cfg.Bound == 0 {
		cfg.Bound = defaultBound
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
		pools: map[poolKey]*pool{},
	}
}

// SetServers replaces the candidates. Servers that are known keep their state;
// ones that join a running router get work slowly at first. A server that is
// no longer listed keeps its count until its requests are done.
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
			s.leaving = true
			r.servers[id] = s
		}
	}
	r.isInitialized = r.isInitialized || len(list) > 0
	clear(r.pools)
}

// Report joins a load report. Reports may come late, twice and out of order.
func (r *Router) Report(now time.Time, rep turmericshed.LoadReport) {
	s := r.servers[rep.Server]
	if s == nil {
		return
	}
	if rep.Leaving {
		r.setLeaving(s, "load report")
	}
	if !s.reportReceivedAt.IsZero() && !rep.At.After(s.report.At) {
		return
	}
	s.report, s.reportReceivedAt = rep, now
	r.updateReachabilityFromReport(s)
	s.othersReported = float64(max(rep.Running+rep.Queued-s.history.countAt(rep.At), 0))
}

// SetLeaving takes a server out at once and for as long as it is listed.
func (r *Router) SetLeaving(_ time.Time, id turmericshed.ServerID) {
	if s := r.servers[id]; s != nil {
		r.setLeaving(s, "refused as leaving")
	}
}

// Pause keeps new work from a server for a time. A shorter time than one before
// changes nothing.
func (r *Router) Pause(now time.Time, id turmericshed.ServerID, d time.Duration) {
	s := r.servers[id]
	if s == nil || !now.Add(d).After(s.pausedUntil) {
		return
	}
	s.pausedUntil = now.Add(d)
	r.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventServerPaused, Server: s.ID, Reason: "asked for no work for " + d.String()})
}

// InService reports whether a server is listed, isn't leaving and has not asked
// for a pause.
func (r *Router) InService(now time.Time, id turmericshed.ServerID) bool {
	s := r.servers[id]
	return s != nil && !s.leaving && !now.Before(s.pausedUntil)
}

func (r *Router) setLeaving(s *server, reason string) {
	if !s.leaving {
		r.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventServerLeaving, Server: s.ID, Reason: reason})
	}
	s.leaving = true
}

// Done ends an attempt counted by Pick.
func (r *Router) Done(now time.Time, id turmericshed.ServerID, _ turmericshed.RouteRequest, res turmericshed.DispatchResult) {
	s := r.servers[id]
	turmericshed.Assert(s != nil, "done_after_pick", "server %s is not known", id)
	s.addInflight(now, -1)
	res.Inconclusive = res.Inconclusive && !r.laterAttemptAnswered(now, res)
	r.updateReachability(now, s, res)
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

// Release takes back a Pick whose request is not sent.
func (r *Router) Release(now time.Time, id turmericshed.ServerID) {
	s := r.servers[id]
	turmericshed.Assert(s != nil, "release_after_pick", "server %s is not known", id)
	s.addInflight(now, -1)
	if s.inflight == 0 && !r.isListed(s) {
		delete(r.servers, id)
	}
}

// laterAttemptAnswered reports whether an attempt that began after this one was answered
// already. What passes the own link keeps its order, so that the link does not
// explain why there is no answer.
func (r *Router) laterAttemptAnswered(now time.Time, res turmericshed.DispatchResult) bool {
	return r.latestAnsweredStart.After(now.Add(-res.Elapsed))
}

// isListed reports whether s stands in the newest list.
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

// verdict is what an attempt tells about its server.
type verdict int

const (
	verdictNeutral verdict = iota
	verdictSuccess
	verdictFailure
)

// classify tells the server's fault from the caller's.
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
