package tsadmit

import (
	"math"
	"time"

	"turmericshed"
)

// Load shedding in front of the servers of a service, where many entry VMs each
// see a small part of the load and callers retry at any of them.
//
// Load pattern: bursts of 1.5 to 2.5 times what the servers can do for 3 to 10 s,
// with long prompts, callers that retry at once, and one account that sends a
// multiple of its usual load. An entry VM sends a few requests per second to each
// of dozens of servers, so a bound on its own running requests would be a
// fraction. Instead each entry VM refuses a share of the requests. A controller
// adapts the share so that requests begin within twice their objective, half of the
// time after which callers cancel (an integral controller with a proportional term,
// as in PIE, RFC 8033): an answer that is late is worth more than a refusal. All
// entry VMs see the same servers and arrive at similar shares.
//
// The share is taken from the least urgent class first (maxClassShare at most, so
// that no class starves), then from the next one. Within a class the choice
// depends on the hash of the account and content and on the time: the hash is a
// position on a circle that turns once per rotation period, and requests in the
// refused arc are refused. Every entry VM thus decides alike on a repeat. A
// repeat that comes at once is in the arc as well, and the Retry-After is the time
// until the position has left the arc, so that a caller that waits is admitted
// and, of two that have as long to wait, the one that was refused earlier comes first.
// The arc ends at the same place however large it is, so that a growing share does
// not break what a caller was told.
//
// Nothing is refused without evidence: while no load report is recent, or while
// less than half of the reported places are taken and nothing waits.

const (
	// maxClassShare is the largest share of a class that is refused.
	maxClassShare = 0.9
	// targetBegin is the aim for the time until a request begins, relative to its
	// objective. Callers cancel at cancelFactor. A late answer is worth a third to a
	// half of one in time and a refused request nothing, so only what would probably
	// be cancelled is refused: an aim of 0.45 took the worth of a busy day from
	// 0.459 to 0.417 and 0.406, an aim of 2.0 gave 0.467.
	targetBegin = 2.0
	// shedInterval is the time between steps of the controller.
	shedInterval = 250 * time.Millisecond
	// shedIntegral and shedProportional are the gains of one step. With these
	// gains a burst of twice the capacity is met within about a second.
	shedIntegral     = 0.5
	shedProportional = 1.0
	// maxShedError bounds the deviation that one step reacts to.
	maxShedError = 1.5
	// shedDecay is the factor of the share per step once nothing waits at the
	// servers.
	shedDecay = 0.5
	// minShare is the share below which nothing is refused.
	minShare = 0.02
	// holdFraction is the part of its objective that a request may wait at the
	// entry VM instead of being refused.
	holdFraction = 8
	// maxHeld bounds the requests that wait at this entry VM.
	maxHeld = 64
	// minRotation and maxRotation bound the rotation period, which bounds the
	// Retry-After. It is a third of four times the objective, after which callers
	// cancel: callers wait for up to a third of their remaining time.
	minRotation = 500 * time.Millisecond
	maxRotation = 3 * time.Second
	// defaultObjective applies to requests without an objective and a deadline.
	defaultObjective = 2 * time.Second
	// cancelFactor times the objective is when callers cancel.
	cancelFactor = 4
	// waitFraction is the part of their remaining time that callers wait before
	// they retry.
	waitFraction = 3
	// minRetryAfter is the shortest Retry-After of a refused request.
	minRetryAfter = 100 * time.Millisecond
	// retryJitter is the largest random addition to a Retry-After, as a part of
	// it.
	retryJitter = 0.25
	// sizeBias is how much more the large requests of a partly refused class are
	// refused than the small ones: a request of eight times the mean size at most
	// half as much again.
	sizeBias = 0.5
)

// RefusalReason is why a Shedder refused a request.
type RefusalReason string

// The reasons.
const (
	// RefusedShare means that the request belongs to the refused share.
	RefusedShare RefusalReason = "share"
	// RefusedLate means that it can't begin in its remaining time.
	RefusedLate RefusalReason = "late"
	// RefusedMemory means that no server has token memory for it.
	RefusedMemory RefusalReason = "memory"
)

// ShedDecision is the decision on a request.
type ShedDecision struct {
	Verdict Verdict
	// HoldUntil applies to Queued only: the request runs from then on without a
	// further decision.
	HoldUntil time.Time
	// Reason, RetryAfter and Err apply to Refused only. Err has KindOverloaded.
	Reason     RefusalReason
	RetryAfter time.Duration
	Err        error
}

// Shedder decides which requests are refused while the servers of a service are
// overloaded. It does no I/O; callers serialize access.
type Shedder struct {
	services map[string]*serviceLoad
	byServer map[turmericshed.ServerID]*serverLoad
	held     int
}

// NewShedder returns a Shedder that knows no servers and admits every request.
func NewShedder() *Shedder {
	return &Shedder{services: map[string]*serviceLoad{}, byServer: map[turmericshed.ServerID]*serverLoad{}}
}

// Decide decides on a new request. A request with verdict Queued must be passed to
// HoldEnded.
func (s *Shedder) Decide(now time.Time, r turmericshed.AdmitRequest) ShedDecision {
	l := s.service(r.Service)
	l.step(now)
	l.offered(now, r)
	e := l.evidence(now)
	objective := objectiveOf(now, r)
	if !e.mayRefuse() {
		return ShedDecision{Verdict: Admitted}
	}
	if left := r.Deadline.Sub(now); !r.Deadline.IsZero() && l.expectedBegin(now, r, objective, e) > left {
		return refuse(now, r, RefusedLate, l.drainTime(e), l.drainTime(e), "the request can't begin in its remaining time")
	}
	share, reason := l.shareFor(now, r), RefusedShare
	if m := l.memoryShare(now, r); m > share {
		share, reason = m, RefusedMemory
	}
	rotation := rotationPeriod(objective)
	pos := position(now, r.Content, rotation)
	wait := time.Duration((1 - pos) * float64(rotation))
	switch {
	case share < minShare || pos < 1-share:
		return ShedDecision{Verdict: Admitted}
	case wait <= objective/holdFraction && s.held < maxHeld && share < 1:
		s.held++
		return ShedDecision{Verdict: Queued, HoldUntil: now.Add(wait)}
	default:
		// A longer wait than the free arc would end in the refused arc again.
		free := time.Duration((1 - share) * float64(rotation))
		return refuse(now, r, reason, wait, free/2, "the servers are overloaded")
	}
}

// HoldEnded reports that a request with verdict Queued no longer waits.
func (s *Shedder) HoldEnded() {
	s.held--
	turmericshed.Assert(s.held >= 0, "held_not_negative", "%d", s.held)
}

// ServiceStatus is the state of a service for logs and metrics.
type ServiceStatus struct {
	Service string
	// Share is the refused share in classes: 1.2 means most of the least urgent
	// class and 0.3 of the next.
	Share float64
	// Refusing is true while requests may be refused because of the share.
	Refusing bool
	// Running, Queued and Slots are sums over the servers with a recent report.
	Running, Queued, Slots int
}

// Step runs the controller of every service and returns their states.
func (s *Shedder) Step(now time.Time) []ServiceStatus {
	statuses := make([]ServiceStatus, 0, len(s.services))
	for name, l := range s.services {
		l.step(now)
		e := l.evidence(now)
		statuses = append(statuses, ServiceStatus{
			Service: name, Share: l.share, Refusing: l.share >= minShare && e.mayRefuse(),
			Running: e.running, Queued: e.queued, Slots: e.slots,
		})
	}
	return statuses
}

// RetryAfter returns after how long a request that a full server refused is worth
// another attempt: once the queue of that server, and those of the others, have
// shrunk.
func (s *Shedder) RetryAfter(now time.Time, id turmericshed.ServerID, r turmericshed.AdmitRequest) time.Duration {
	l := s.service(r.Service)
	wait := l.drainTime(l.evidence(now))
	if x := s.byServer[id]; x != nil && x.isRecent(now) {
		wait = max(wait, l.queueTime(loadEvidence{running: x.report.Running, queued: x.report.Queued}))
	}
	return jitteredRetryAfter(now, r, wait, wait)
}

// Share returns the refused share of a service, in classes.
func (s *Shedder) Share(service string) float64 {
	if l := s.services[service]; l != nil {
		return l.share
	}
	return 0
}

// objectiveOf returns the time within which r should begin.
func objectiveOf(now time.Time, r turmericshed.AdmitRequest) time.Duration {
	switch {
	case r.Objective > 0:
		return r.Objective
	case !r.Deadline.IsZero():
		return max(r.Deadline.Sub(now)/cancelFactor, time.Millisecond)
	default:
		return defaultObjective
	}
}

// rotationPeriod returns the time in which a position turns once.
func rotationPeriod(objective time.Duration) time.Duration {
	return min(max(objective*cancelFactor/waitFraction, minRotation), maxRotation)
}

// position returns the position of a content on the circle, in [0, 1). It is the
// same at all entry VMs, as far as their clocks agree.
func position(now time.Time, content uint64, rotation time.Duration) float64 {
	const fractionBits = 53
	start := float64(mix(content)>>(64-fractionBits)) / (1 << fractionBits)
	turn := float64(now.UnixNano()%int64(rotation)) / float64(rotation)
	_, frac := math.Modf(start + turn)
	return frac
}

// mix is the finalizer of the SplitMix64 generator.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// refuse returns a refusal with the given wait, jitter added, bounded by what the
// caller can wait.
func refuse(now time.Time, r turmericshed.AdmitRequest, reason RefusalReason, wait, maxJitter time.Duration, msg string) ShedDecision {
	d := jitteredRetryAfter(now, r, wait, maxJitter)
	return ShedDecision{
		Verdict: Refused, Reason: reason, RetryAfter: d,
		Err: turmericshed.WithRetryAfter(turmericshed.NewError(turmericshed.KindOverloaded, "%s", msg), d),
	}
}

// jitteredRetryAfter returns a Retry-After for r from the expected wait: longer by
// jitter, and at most what the caller can wait.
func jitteredRetryAfter(now time.Time, r turmericshed.AdmitRequest, wait, maxJitter time.Duration) time.Duration {
	const jitterBits = 16
	jitter := float64(mix(r.Content^uint64(now.UnixNano()))>>(64-jitterBits)) / (1 << jitterBits) //nolint:gosec // Only mixed into a hash.
	wait = max(wait, minRetryAfter)
	wait += time.Duration(jitter * min(retryJitter*float64(wait), float64(maxJitter)))
	if !r.Deadline.IsZero() {
		wait = min(wait, max(r.Deadline.Sub(now), 0)/waitFraction)
	}
	return wait
}
