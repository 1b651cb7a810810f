package tsbudget

import (
	"math"
	"time"

	"turmericshed"
)

// Forecast holds nearly all unspent tokens of a budget where its next requests are expected. It is
// for large fleets, in which most entry VMs receive less than one request of an account during a
// partition. In a smaller fleet Small decides.
//
// In a partition an entry VM spends only what it holds, and undrawn tokens serve nobody. Each
// holder therefore holds a part of the unspent amount in proportion to a weight: the demand that it
// has seen, plus a prior of a few requests, since a widely spread account mostly sends requests to
// entry VMs that it has not used before. The weights of the others follow from the demand that
// their lots record and from the size of the fleet. An account whose callers use a few entry VMs
// has no prior at the others.
//
// A part that is much smaller than a request serves nobody. Instead, some of the holders without
// demand have a slot that is large enough for a request, and the others have nothing. Which ones
// is decided by rendezvous hashing in each failure domain.
//
// A holder that is lost with its machine loses its lots. A lot is therefore limited to a multiple
// of what the holder's own demand uses within Span, plus a few large requests.
//
// Tokens above the target are returned at once, not only when the ledger runs low. A reserve stays
// undrawn for requests that arrive where nothing is held: draws ahead of demand leave it, and a
// draw for waiting requests takes little more than they lack. While less is undrawn, all holders
// reduce their targets.
//
// An entry VM that is cut off sees no other one. The size of the fleet is therefore the largest one
// of the last time, and nothing is returned while the store does not answer.
//
// Example: 2,400,000 tokens unspent, 80 entry VMs, requests of 10,000. Before any demand each holds
// 27,000. If one of them then receives 200,000 and the others a request now and then, it holds
// about 230,000. Of a budget with 240,000 unspent a part would be 2,700, so 18 of the 80 hold
// 12,000 each.
type Forecast struct {
	// Span is the length of a partition that an entry VM should bridge; 0 means the default,
	// defaultPartitionSpan.
	Span time.Duration
	// UsualRequest is the expected cost of a request while no demand is known.
	UsualRequest turmericshed.Tokens
	// Small decides in fleets of fewer than minForecastFleet entry VMs; nil means Bridging.
	Small Placement
}

const (
	// minForecastFleet is the number of entry VMs from which Forecast decides itself.
	minForecastFleet = 40
	// nearlySpentFraction is the fraction of the limit below which Small decides in large fleets, too:
	// tokens that are held ahead of demand reach no other entry VM in time, and after a loss of power
	// of all machines too few were left to draw.
	nearlySpentFraction = 0.35
	// priorRequests is the prior of an entry VM, in typical requests.
	priorRequests = 2
	// callerRequests is the recent demand, in typical requests, from which an entry VM counts as
	// one with callers.
	callerRequests = 0.3
	// sizeVariance is the mean square of a request's size divided by the square of its mean. It is
	// about 2 in the recordings; more makes the estimate of the spread less sensitive to chance.
	sizeVariance = 3
	// placedFraction is the fraction of the unspent amount that is held.
	placedFraction = 0.9
	// reserveFraction and reserveUsualRequests are the reserve that stays undrawn: a fraction of
	// the unspent amount or a number of typical requests, whichever is larger. maxReserveFraction
	// limits the latter.
	reserveFraction      = 0.05
	reserveUsualRequests = 14
	maxReserveFraction   = 0.4
	// scarceReserveFraction is the fraction of the reserve below which targets are reduced, down
	// to minScarceFactor of them.
	scarceReserveFraction = 0.8
	minScarceFactor       = 0.5
	// waitingReserveFraction is the fraction of the reserve that a draw with waiting requests leaves
	// undrawn beyond what those requests lack.
	waitingReserveFraction = 0.75
	// ampleReserves is the number of reserves above which holders with demand divide what is
	// undrawn beyond it, of which they take ampleDrawFraction at a time.
	ampleReserves     = 2
	ampleDrawFraction = 0.7
	// maxDemandSpans is the number of spans of the holder's own demand up to which tokens are held,
	// since demand may triple within a partition. headroomRequests large requests are added.
	maxDemandSpans   = 3
	headroomRequests = 2
	// largeRequestFactor is the size of a large request in typical ones while none was seen.
	largeRequestFactor = 1.5
	// minPartRequests is the least useful part in typical requests, slotRequests the size of a
	// slot.
	minPartRequests = 0.55
	slotRequests    = 1.2
	// refillBelowFraction is the fraction of the target below which a lot is drawn, and
	// joinBelowFraction that below which it is drawn if the store is written anyway.
	refillBelowFraction = 0.7
	joinBelowFraction   = 0.9
	// surplusFactor is the multiple of the target above which tokens are returned, if there are
	// also surplusRequests typical requests more.
	surplusFactor   = 1.25
	surplusRequests = 0.4
	// restReserveFraction is the fraction of the reserve below which a holder without a target
	// returns any rest, since many rests together serve requests when an account is nearly spent.
	restReserveFraction = 0.2
	// maxDrawFraction limits a draw ahead of demand to a fraction of the undrawn amount.
	maxDrawFraction = 0.8
	// reportFraction is the fraction of the unspent amount from which unreported usage is reported,
	// since the others compute their parts from it.
	reportFraction = 0.06
	// allowanceSpan is the time for which ceilings permit the holder's own demand, and
	// allowanceRequests the number of large requests that they permit in addition. What they permit is
	// lost with the power: in TestReplay 34 to 38% of the unspent amounts, and 38 to 43% with twice
	// the length of a lease and 2 requests, with which next to no request of a partition waits for the
	// end of the lease (here up to 3%).
	allowanceSpan     = LeaseLength * 5 / 4
	allowanceRequests = 1.5
)

var _ Placement = Forecast{}

// Name returns the policy's name.
func (Forecast) Name() string { return "forecast" }

// Decide draws up to the target and returns what is above it.
func (p Forecast) Decide(v View) Decision {
	if !v.largeFleet() || v.nearlySpent() {
		return p.small().Decide(v)
	}
	v.EntryVMs = max(v.EntryVMs, v.RecentEntryVMs)
	target := p.target(v)
	d := Decision{Min: v.minDraw(), Share: maxDrawFraction, Rate: v.SteadyRate, Allowance: p.allowance(v)}
	d.Report = v.HasUnreported && v.Ledger.Read &&
		(v.Ledger.Undrawn < v.LargestRequest || float64(v.Unreported) > reportFraction*float64(v.Ledger.Unspent))
	lack := target + v.Waiting - v.Available
	if v.Waiting > v.Available {
		d.Draw, d.Share = true, 1
		ample := toTokens(float64(v.Ledger.Undrawn) - waitingReserveFraction*p.reserve(v))
		d.Want = max(v.Waiting-v.Available, min(lack, ample), d.Min)
		return d
	}
	if v.Ledger.Read {
		d.KeepUndrawn = toTokens(p.reserve(v))
	}
	room := v.Ledger.Undrawn - toTokens(p.reserve(v))
	if !v.Ledger.Read {
		// The writer limits the draw to what is left.
		room = lack
	}
	useful := max(target/minDrawDivisor, 1)
	d.Want, d.Min = min(lack, room), min(useful, max(lack, 1))
	if room >= useful {
		d.Draw = float64(v.Available) < refillBelowFraction*float64(target)
		d.TopUp = !d.Draw && float64(v.Available) < joinBelowFraction*float64(target)
	}
	surplus := float64(v.Available) - surplusFactor*float64(target)
	switch {
	case v.Unreachable:
		// A return would not be written, and its tokens would serve nobody.
	case !d.Draw && !d.TopUp && v.Ledger.Read && (surplus > surplusRequests*p.requestSize(v) || p.isRest(v, target)):
		d.Return, d.Keep = true, target
	case v.Returning > 0:
		// An earlier return was not written: each round writes a few ledgers only.
		d.Return, d.Keep = true, v.Available
	}
	return d
}

func (p Forecast) small() Placement {
	if p.Small != nil {
		return p.Small
	}
	return Bridging{Span: p.Span, UsualRequest: p.UsualRequest}
}

// target returns the amount that should be available.
func (p Forecast) target(v View) turmericshed.Tokens {
	size := p.requestSize(v)
	part := p.part(v)
	if part < minPartRequests*size {
		// The fraction of holders that have a slot grows with the part.
		slot := slotRequests * size
		if v.Order >= part/slot {
			return 0
		}
		part = slot
	}
	usable := maxDemandSpans*v.RecentRate*p.span().Seconds() + headroomRequests*max(float64(v.LargestRequest), largeRequestFactor*size)
	return toTokens(min(part, usable))
}

// part returns this holder's part of the unspent amount.
func (p Forecast) part(v View) float64 {
	size, window := p.requestSize(v), steadyWindow.Seconds()
	seen, others := v.SteadyRate*window, v.Ledger.OthersRate*window
	callers, quiet := p.spread(v)
	prior := priorRequests * size
	weights := seen + others + prior*(callers+(float64(v.EntryVMs)-callers)*quiet)
	if seen < callerRequests*size {
		prior *= quiet
	}
	placed := placedFraction * float64(max(v.Ledger.Unspent, 1))
	if !v.Ledger.Read {
		return placed * (seen + prior) / weights
	}
	undrawn, reserve := float64(v.Ledger.Undrawn), p.reserve(v)
	part := placed * (seen + prior) / weights * max(min(undrawn/(scarceReserveFraction*reserve), 1), minScarceFactor)
	if ample := undrawn - ampleReserves*reserve; ample > 0 && seen > 0 {
		part = max(part, float64(v.Available)+ampleDrawFraction*ample*seen/(seen+others))
	}
	return part
}

// spread estimates the number of entry VMs with callers of the account, and the probability that
// one without demand is among them.
//
// If m requests are spread evenly over n entry VMs, the squares of the entry VMs' fractions of the
// demand add up to about 1/n + sizeVariance/m. Unless n is significantly lower than the size of
// the fleet, the account is assumed to use all of it.
func (p Forecast) spread(v View) (callers, quiet float64) {
	fleet := float64(v.EntryVMs)
	sum := v.SteadyRate + v.Ledger.OthersRate
	if sum <= 0 || v.Ledger.OthersRateSquares < v.Ledger.OthersRate*v.Ledger.OthersRate/fleet/2 {
		// Nothing is known, or an earlier version wrote the ledger without the squares.
		return fleet, 1
	}
	requests := sum * steadyWindow.Seconds() / p.requestSize(v)
	inverse := (v.SteadyRate*v.SteadyRate+v.Ledger.OthersRateSquares)/(sum*sum) - sizeVariance/requests
	callers = 1 / max(inverse, 1/fleet)
	// An entry VM with callers has received none of requests/callers requests with the probability
	// exp(-requests/callers).
	missed := callers * math.Exp(-requests/callers)
	return callers, missed / (missed + fleet - callers)
}

// reserve returns the amount that should stay undrawn.
func (p Forecast) reserve(v View) float64 {
	unspent := float64(max(v.Ledger.Unspent, 1))
	return max(reserveFraction*unspent, min(reserveUsualRequests*p.requestSize(v), maxReserveFraction*unspent))
}

// allowance returns the least that the ceilings should permit. A request above the ceilings waits
// for up to the length of a lease when a partition begins.
func (p Forecast) allowance(v View) turmericshed.Tokens {
	large := max(float64(v.LargestRequest), largeRequestFactor*p.requestSize(v))
	return toTokens(v.RecentRate*allowanceSpan.Seconds() + allowanceRequests*large)
}

// isRest reports whether what is available is a rest that should be returned however small it is.
func (p Forecast) isRest(v View, target turmericshed.Tokens) bool {
	return target == 0 && v.Available > 0 && float64(v.Ledger.Undrawn) < restReserveFraction*p.reserve(v)
}

func (p Forecast) requestSize(v View) float64 {
	return float64(max(v.TypicalRequest, p.UsualRequest, 1))
}

func (p Forecast) span() time.Duration {
	if p.Span <= 0 {
		return defaultPartitionSpan
	}
	return p.Span
}

// nearlySpent reports whether too little of the budget is left to hold it ahead of demand.
func (v View) nearlySpent() bool {
	return v.Ledger.Read && float64(v.Ledger.Unspent) < nearlySpentFraction*float64(v.Ledger.Limit)
}

// largeFleet reports whether Forecast decides instead of its Small placement.
func (v View) largeFleet() bool { return isLargeFleet(max(v.EntryVMs, v.RecentEntryVMs)) }

func isLargeFleet(entryVMs int) bool { return entryVMs >= minForecastFleet }

func toTokens(n float64) turmericshed.Tokens { return turmericshed.Tokens(max(n, 0)) }
