// Package tsspill decides when requests of a service leave the local failure
// domain, and how many. It does no I/O: the caller provides time, randomness,
// loads and measurements, and serializes access.
//
// # Usage
//
//	c := tsspill.New(tsspill.Settings{CostPerMegabyte: tsspill.DefaultCostPerMegabyte}, rng)
//	if c.Due(now) {
//		changed := c.Update(now, tsspill.Loads{Local: 0.9, Remote: 0.3, LocalSlots: 640, RemoteSlots: 1280, AreKnown: true})
//	}
//	leave := c.Leave(localLoad, remoteLoad, bodyBytes)
//	c.Observe(now, sample)                      // after an answer
//
// See model.go for the estimate of what leaving costs, and prefix.go for
// requests with a prompt prefix.
package tsspill

import (
	"math"
	"math/rand/v2"
	"time"
)

// Load pattern: demand of one failure domain rises above what its own servers
// carry, or its servers slow down, while servers of other failure domains have
// room. Some twenty entry VMs of the failure domain see the same readings, which
// are up to 0.8 s old.
//
// The penalty is what leaving costs the caller, in load per slot: the measured
// difference in the time to first byte plus the cost of the bytes, divided by
// what one more request per slot costs in time. The fraction follows the
// difference of the loads: it moves by a part of what would even them out, at
// most maxStep at once, and each entry VM decides at its own random times. Beyond the
// fraction, a request leaves whose local server is worse by urgentExcess.

// DefaultCostPerMegabyte is the time to first byte that one megabyte between
// failure domains is worth. It is what a megabyte takes on the smallest entry
// VM's link, 10 Mbit/s: callers whose bytes pass a link of that size after it
// have to wait for as long. docs/design/spillover.md compares other values.
const DefaultCostPerMegabyte = 800 * time.Millisecond

const (
	// DefaultPenalty is the penalty while nothing is measured.
	DefaultPenalty = 0.15
	// maxPenalty keeps sums finite. The least penalty is 0: local servers that are
	// slower at equal load fill up and lose requests by their load. With a least of
	// -0.5 the replay of the second deployment moved 137 instead of 82 MB for the
	// same first token.
	maxPenalty = 1e6
	// minWeight is the weight of the measurements below which there are none.
	minWeight = 3
	// decisionInterval is the mean time between decisions. Single ones are half
	// to one and a half of it apart at random.
	decisionInterval = 250 * time.Millisecond
	// maxStep bounds the change of the fraction by one decision.
	maxStep = 0.1
	// damping is the part of the calculated change that one decision makes. The
	// loads are as old as three decisions, so that each change is decided on
	// about three times before it shows.
	damping = 0.3
	// openMargin is the difference in load per slot, beyond the penalty, above
	// which requests begin to leave, and holdMargin that up to which the fraction
	// stays as it is.
	openMargin, holdMargin = 0.05, 0.02
	// urgentExcess is the difference in load per slot, beyond the penalty, from which
	// on a request leaves whatever the fraction is: a wave of demand outruns the
	// fraction's steps. Differences up to 0.3 are noise of old readings: with 0.3 the
	// first token of the oscillation replay came after 398 ms, with 0.8 after 129.
	urgentExcess = 0.8
	// drawnSlack is by how much a request that the fraction lets leave may miss the
	// penalty. If it had to be met by each request, all entry VMs would turn back at
	// the same reading: in that replay the share that leaves changed by 0.18 from one
	// second to the next, with the slack by 0.07.
	drawnSlack = 0.3
	// maxFraction leaves some requests to the local servers, so that their
	// recovery is measured.
	maxFraction = 0.95
	// minFraction is the fraction below which no request leaves.
	minFraction = 0.01
	// idleSpan is the time constant with which the fraction falls while nothing
	// is decided.
	idleSpan = 2 * time.Second
	// minLoad bounds the load that the fraction is calculated from.
	minLoad = 0.05
	// bytesWeight is the weight of one answer in the mean answer bytes.
	bytesWeight = 0.05
	bytesPerMB  = 1e6
	// reportStep is the change of the fraction from which on a decision counts as
	// changed, and reportInterval the least time between two such decisions.
	reportStep     = 0.2
	reportInterval = 2 * time.Second
)

// Settings are the operators' settings.
type Settings struct {
	// CostPerMegabyte is the time to first byte that one megabyte between failure
	// domains is worth. 0 means that bytes cost nothing.
	CostPerMegabyte time.Duration
}

// Loads are the mean loads per slot of the servers that may take work, in the
// local failure domain and in the others of the region.
type Loads struct {
	Local, Remote           float64
	LocalSlots, RemoteSlots int
	// AreKnown is false without recent readings of both sides.
	AreKnown bool
}

// Decision is how requests leave the local failure domain.
type Decision struct {
	// Fraction of the requests may leave. Penalty is the load per slot by which the
	// other servers must be less loaded, for a mean request.
	Fraction float64
	Penalty  float64
	// Delay is the measured extra time to first byte of other failure domains at
	// equal load, Slope what one request per slot costs, and Bytes the mean bytes
	// of a request and its answer.
	Delay, Slope time.Duration
	Bytes        int64
	// IsMeasured is false while the measurements are too few, and LoadsKnown without
	// recent readings of both sides; then the difference of two servers' loads decides
	// alone, with at least DefaultPenalty.
	IsMeasured, LoadsKnown bool
}

// Controller decides for one service in one failure domain.
type Controller struct {
	settings Settings
	rng      *rand.Rand
	model    model
	estimate estimate
	// requestBytes and answerBytes are means; answers that were measured.
	requestBytes, answerBytes float64
	decision                  Decision
	// reported is the fraction when a decision was last reported as changed.
	reported     float64
	reportedAt   time.Time
	decidedAt    time.Time
	nextDecision time.Time
	prefixes     prefixes
	// prefixModel and prefixEstimate are what prefixes are decided by.
	prefixModel    model
	prefixEstimate estimate
	// homes are what the homes' caches are judged by, unreadSince since when they are
	// measured to read prefixes that they were taken to have; zero if they are not.
	homes       homeShares
	unreadSince time.Time
}

// New returns a controller that lets no request leave yet.
func New(s Settings, rng *rand.Rand) *Controller {
	assumed := estimate{readMs: priorReadMs, delayMs: priorDelayMs}
	c := &Controller{
		settings: s, rng: rng, estimate: assumed, prefixEstimate: assumed,
		model: model{span: memorySpan, priors: priorWeights}, prefixModel: model{span: prefixMemorySpan, priors: prefixPriorWeights},
		homes: homeShares{early: 1},
	}
	c.decision.Penalty = DefaultPenalty
	return c
}

// Decision returns the latest decision.
func (c *Controller) Decision() Decision { return c.decision }

// Observe records a measured request.
func (c *Controller) Observe(now time.Time, s Sample) {
	if s.FirstByte <= 0 {
		return
	}
	c.model.add(now, s)
	c.prefixModel.add(now, s)
	c.homes.observe(s, c.readMs())
	c.requestBytes = smooth(c.requestBytes, float64(s.RequestBytes))
	c.answerBytes = smooth(c.answerBytes, float64(s.AnswerBytes))
}

func smooth(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + bytesWeight*(value-mean)
}

// Due reports whether Update would decide.
func (c *Controller) Due(now time.Time) bool { return !now.Before(c.nextDecision) }

// Update decides by the loads. It reports whether the decision changed so much
// that operators are told.
func (c *Controller) Update(now time.Time, l Loads) (changed bool) {
	c.estimate, c.prefixEstimate = c.model.estimate(now), c.prefixModel.estimate(now)
	c.decision.LoadsKnown = l.AreKnown
	c.decision.IsMeasured = c.estimate.weight >= minWeight
	c.updateUnshared(now)
	c.decision.Delay, c.decision.Slope = duration(c.estimate.delayMs), duration(c.estimate.slopeMs)
	c.decision.Bytes = int64(c.requestBytes + c.answerBytes)
	c.decision.Penalty = c.Penalty(int64(c.requestBytes))
	c.decision.Fraction = c.nextFraction(now, l)
	c.decidedAt = now
	c.nextDecision = now.Add(decisionInterval/2 + time.Duration(c.rng.Int64N(int64(decisionInterval))))
	opened := (c.decision.Fraction > 0) != (c.reported > 0)
	if now.Sub(c.reportedAt) < reportInterval || !opened && math.Abs(c.decision.Fraction-c.reported) < reportStep {
		return false
	}
	c.reported, c.reportedAt = c.decision.Fraction, now
	return true
}

// Leave reports whether a request with a body of that many bytes leaves the local
// failure domain. The loads are those of the best server on each side.
func (c *Controller) Leave(local, remote float64, requestBytes int64) bool {
	penalty := c.Penalty(requestBytes)
	if !c.decision.LoadsKnown {
		return local-remote > max(penalty, DefaultPenalty)
	}
	excess := local - remote - penalty
	return excess > urgentExcess || excess > -drawnSlack && c.rng.Float64() < c.decision.Fraction
}

// nextFraction returns the fraction that follows from the loads.
func (c *Controller) nextFraction(now time.Time, l Loads) float64 {
	f := c.decision.Fraction
	if idle := now.Sub(c.decidedAt) - 2*decisionInterval; idle > 0 {
		f *= math.Exp(-float64(idle) / float64(idleSpan))
	}
	excess := l.Local - l.Remote - c.decision.Penalty
	switch {
	case !l.AreKnown:
		return 0
	case f == 0 && excess < openMargin:
		return 0
	case math.Abs(excess) > holdMargin:
		// A request that leaves takes 1/LocalSlots from the local load and adds
		// 1/RemoteSlots to the other; Local/(1-f) is the load if none left.
		demand := max(l.Local, minLoad) / (1 - f)
		change := excess / (demand * (1 + float64(l.LocalSlots)/float64(l.RemoteSlots)))
		f += min(max(damping*change, -maxStep), maxStep)
	}
	if f < minFraction {
		return 0
	}
	return min(f, maxFraction)
}

// Penalty returns the load per slot by which a server of another failure domain
// must be less loaded to take a request with a body of that many bytes.
func (c *Controller) Penalty(requestBytes int64) float64 {
	cost := c.leavingMs(requestBytes)
	if c.estimate.weight < minWeight {
		// Without a slope the cost can't be converted, but bytes that are worth
		// more than any wait still keep requests in the failure domain.
		if cost >= milliseconds(maxFirstByte) {
			return maxPenalty
		}
		return DefaultPenalty
	}
	return min(max(cost/c.estimate.slopeMs, 0), maxPenalty)
}

// leavingMs returns what leaving costs a request in time to first byte.
func (c *Controller) leavingMs(requestBytes int64) float64 {
	return c.estimate.delayMs + c.bytesMs(requestBytes)
}

// bytesMs returns what the bytes of a request and its answer cost.
func (c *Controller) bytesMs(requestBytes int64) float64 {
	return (float64(requestBytes) + c.answerBytes) / bytesPerMB * milliseconds(c.settings.CostPerMegabyte)
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
