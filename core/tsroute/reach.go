package tsroute

import (
	"time"

	"turmericshed"
)

const (
	// unreachableThreshold is the number of different servers of another
	// failure domain that must fail to accept a connection, without any answer
	// from the domain in between, before the domain is considered unreachable.
	unreachableThreshold = 2
	// unreachableProbeInterval is the time between requests that probe an
	// unreachable failure domain while no load report arrives from it either.
	unreachableProbeInterval = 10 * time.Second
)

// reachability tracks whether a failure domain can be reached from this entry
// VM. It detects a network partition after a few failed connections in total
// instead of a few for each server.
type reachability struct {
	failures   int
	lastFailed turmericshed.ServerID
	lastProbe  time.Time
}

// isUnreachable reports whether the domain is considered unreachable.
func (d *reachability) isUnreachable() bool { return d.failures >= unreachableThreshold }

// allows reports whether a request may go to the domain.
func (d *reachability) allows(now time.Time) bool {
	return !d.isUnreachable() || now.Sub(d.lastProbe) >= unreachableProbeInterval
}

// recordAnswer records an answer from a server of the domain. It reports
// whether the domain was unreachable before.
func (d *reachability) recordAnswer() (recovered bool) {
	recovered = d.isUnreachable()
	d.failures, d.lastFailed = 0, ""
	return recovered
}

// recordFailure records a failed connection to a server of the domain. It
// reports whether the domain became unreachable.
func (d *reachability) recordFailure(now time.Time, id turmericshed.ServerID) (becameUnreachable bool) {
	if d.isUnreachable() || id == d.lastFailed {
		return false
	}
	d.failures, d.lastFailed, d.lastProbe = d.failures+1, id, now
	return d.isUnreachable()
}

// updateReachabilityFromReport marks the failure domain of s as reachable if
// the load report of s was taken by this entry VM after the last failed connection or probe.
func (r *Router) updateReachabilityFromReport(s *server, rep turmericshed.LoadReport) {
	if !rep.Relayed && s.reachability.isUnreachable() && rep.At.After(s.reachability.lastProbe) && s.reachability.recordAnswer() {
		r.recordReachability(turmericshed.EventBreakerClosed, s, "load report from failure domain "+string(s.FailureDomain))
	}
}

// updateReachability updates the reachability of the failure domain of s from
// the result of an attempt.
func (r *Router) updateReachability(now time.Time, s *server, res turmericshed.DispatchResult) {
	switch {
	case s.FailureDomain == r.cfg.FailureDomain || res.Inconclusive:
	case turmericshed.KindOf(res.Err) == turmericshed.KindNoBackend:
		if s.reachability.recordFailure(now, s.ID) {
			r.recordReachability(turmericshed.EventBreakerOpened, s, "failure domain cut off: "+string(s.FailureDomain))
		}
	case res.Err == nil || res.FirstByte > 0:
		if s.reachability.recordAnswer() {
			r.recordReachability(turmericshed.EventBreakerClosed, s, "failure domain reached: "+string(s.FailureDomain))
		}
	}
}

func (r *Router) recordReachability(name turmericshed.EventName, s *server, reason string) {
	r.cfg.Recorder.Record(turmericshed.Event{Name: name, Server: s.ID, Reason: reason})
}

// reachabilityOf returns the state that all servers of a failure domain share.
func (r *Router) reachabilityOf(domain turmericshed.FailureDomain) *reachability {
	d := r.domains[domain]
	if d == nil {
		d = &reachability{}
		r.domains[domain] = d
	}
	return d
}
