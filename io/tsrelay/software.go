package tsrelay

import (
	"slices"

	"turmericshed"
)

// goesOnAtOneVersion reports whether the request is a stream that may be resumed, which then goes on
// at the software version that began it.
func (q *request) goesOnAtOneVersion() bool {
	return q.relay.cfg.StreamVersions != nil && q.route.Stream && q.route.Repeatable
}

// findSoftware determines the software version that began the stream that the caller resumes. Errors:
// those of StreamVersions.Find; KindNoBackend if the stream began at a service that is not a target of
// the route.
func (q *request) findSoftware() error {
	if !q.goesOnAtOneVersion() || q.lastEvent == 0 {
		return nil
	}
	b, err := q.relay.cfg.StreamVersions.Find(q.ctx, q.service, q.inbound.Resumes)
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(q.route.Targets, func(t turmericshed.RouteTarget) bool { return t.Service == b.Service }) {
		return turmericshed.NewError(turmericshed.KindNoBackend, "the stream began at service %s, which is not a target of the route", b.Service)
	}
	q.service, q.software, q.hasSoftware = b.Service, b.Software, true
	return nil
}

// allowedSoftware returns the software versions of which the server of the next attempt may be; nil
// means any.
func (q *request) allowedSoftware() []turmericshed.SoftwareVersion {
	switch {
	case !q.goesOnAtOneVersion():
		return nil
	case q.hasSoftware:
		return []turmericshed.SoftwareVersion{q.software}
	default:
		return q.relay.cfg.StreamVersions.Usable(q.service)
	}
}

// recordEnd records that the stream was relayed to its end.
func (q *request) recordEnd() {
	if q.goesOnAtOneVersion() && q.hasSoftware {
		q.relay.cfg.StreamVersions.Ended(q.streamID())
	}
}

// streamID returns the id of the caller's attempt that brought the first event of the stream; empty if
// the caller did not send it.
func (q *request) streamID() turmericshed.RequestID {
	if q.inbound.LastEvent > 0 {
		return q.inbound.Resumes
	}
	return q.inbound.ID
}

// recordBeginning records the software version of the server that sent the first event of the answer.
func (q *request) recordBeginning() {
	if !q.goesOnAtOneVersion() {
		return
	}
	q.software, q.hasSoftware = q.attemptSoftware, true
	id := q.streamID()
	if id == "" {
		return
	}
	q.relay.cfg.StreamVersions.Began(turmericshed.StreamBeginning{
		Request: id, Service: q.service, Software: q.software, Until: q.arrived.Add(q.callerTimeLimit()),
	}, len(q.route.Targets) > 1)
}
