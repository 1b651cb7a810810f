package tsroute

import (
	"time"

	"turmericshed"
)

const (
	// unreachableThreshold is the number of servers of another failure domain that must
	// refuse connections, with no answer from there in between, before the
	// domain counts as cut off.
	unreachableThreshold = 2
	// unreachableProbeInterval spaces the requests that try a failure domain that is cut off
	// while no load report comes from there either.
	unreachableProbeInterval = 10 * time.Second
)

// reachability tells whether a failure domain can be reached from here. A cut is then
// noticed after a few failed connections instead of a few for each server.
type reachability struct {
	failures   int
	lastFailed turmericshed.ServerID
	lastProbe  time.Time
}

// isUnreachable reports whether the domain counts as isUnreachable off.
func (d *reachability) isUnreachable() bool { return d.failures >= unreachableThreshold }

// allows reports whether a request may go to the domain.
func (d *reachability) allows(now time.Time) bool {
	return !d.isUnreachable() || now.Sub(d.lastProbe) >= unreachableProbeInterval
}

// recordAnswer notes an answer from a server of the domain; it reports whether
// the cut ended.
func (d *reachability) recordAnswer() (recovered bool) {
	recovered = d.isUnreachable()
	d.failures, d.lastFailed = 0, ""
	return recovered
}

// recordFailure notes that no connection was made to a server of the domain; it
// reports whether the domain counts as cut off from now on.
func (d *reachability) recordFailure(now time.Time, id turmericshed.ServerID) (lost bool) {
	if d.isUnreachable() || id == d.lastFailed {
		return false
	}
	d.failures, d.lastFailed, d.lastProbe = d.failures+1, id, now
	return d.isUnreachable()
}

// updateReachabilityFromReport ends a cut by a load report that was read from s after it began.
func (r *Router) updateReachabilityFromReport(s *server) {
	if s.reachability.isUnreachable() && s.report.At.After(s.reachability.lastProbe) && s.reachability.recordAnswer() {
		r.recordReachability(turmericshed.EventBreakerClosed, s, "load report from failure domain "+string(s.FailureDomain))
	}
}

// updateReachability follows the failure domain of s by the end of an attempt.
func (r *Router) updateReachability(now time.Time, s *server, res turmericshed.DispatchResult) {
	switch {
	case s.FailureDomain == r.cfg.Self || res.Inconclusive:
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

// reachabilityOf returns the state shared by the servers of a failure domain.
func (r *Router) reachabilityOf(domain turmericshed.FailureDomain) *reachability {
	d := r.domains[domain]
	if d == nil {
		d = &reachability{}
		r.domains[domain] = d
	}
	return d
}
