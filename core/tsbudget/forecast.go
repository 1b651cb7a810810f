package tsbudget

import (
	"time"

	"turmericshed"
)

// Forecast places nearly all unspent tokens of a budget at the entry VMs where its next requests
// are expected. It is for large fleets, in which an account has less than one request per entry VM
// and partition; in a small fleet Small decides.
//
// In a partition an entry VM spends only what it holds, and an undrawn token serves nobody. Each
// holder therefore holds its part of the unspent amount, by a weight: the demand that it has seen
// recently, plus a prior of a few requests, since most requests of a widely spread account arrive
// at entry VMs that it has not used before. The other holders' weights follow from the demand that
// their lots record and from the size of the fleet.
//
// A part that is smaller than a request serves nobody. Holders that would have such a part and have
// seen no demand then draw lots, in both senses: a few of each failure domain, chosen by rendezvous
// hashing, hold a request each, and the others nothing.
//
// The amount is limited by what the holder can use within Span, so that a holder that is lost with
// its machine costs an account little. What is above the target goes back in calm, while the ledger
// is written anyway.
//
// Example: 2,400,000 tokens unspent, 80 entry VMs, requests of 10,000. Without demand each holds
// 27,000. One entry VM that receives 20,000 a second has the weight 200,000 of 1,780,000 and holds
// 243,000. Of an account with 240,000 unspent, an entry VM would hold 2,700; 18 of the 80 hold
// 12,000 instead.
type Forecast struct {
	// Span is the length of a partition that an entry VM should bridge; 0 means the default,
	// defaultPartitionSpan.
	Span time.Duration
	// UsualRequest is the expected cost of a request while no demand is known.
	UsualRequest turmericshed.Tokens
	// Small decides in a fleet of fewer than minForecastFleet entry VMs.
	Small Placement
}

const (
	// minForecastFleet is the number of entry VMs from which Forecast decides itself.
	minForecastFleet = 40
	// priorRequests is the demand that is assumed of every entry VM, in typical requests per span.
	// The coverage of recorded partitions is flat from 1 to 4.
	priorRequests = 2
	// placedFraction is the fraction of the unspent amount that is held; the rest stays in the
	// ledger for requests that arrive elsewhere.
	placedFraction = 0.9
	// undrawnFraction is the fraction of the unspent amount that draws ahead of demand leave in the
	// ledger.
	undrawnFraction = 0.05
	// spanSafety is the multiple of the forecast demand up to which tokens are held, and
	// headroomRequests the number of large requests that are added.
	spanSafety       = 1.5
	headroomRequests = 2
	// largeRequestFactor is the size of a large request in typical requests, while none was seen.
	largeRequestFactor = 1.5
	// minPartRequests is the least useful part, in typical requests: 6 of 10 requests fit into
	// it. A holder without demand that would have less holds slotRequests or nothing.
	minPartRequests = 0.6
	slotRequests    = 1.2
	// refillBelowFraction is the fraction of the target below which a lot is drawn, and
	// joinBelowFraction that below which it is drawn if the ledgers are written anyway.
	refillBelowFraction = 0.7
	joinBelowFraction   = 0.9
	// surplusFactor is the multiple of the target above which tokens are returned, if they are
	// also more than surplusRequests typical requests.
	surplusFactor   = 1.25
	surplusRequests = 0.4
	// maxDrawFraction limits one draw ahead of demand to a fraction of the undrawn amount.
	maxDrawFraction = 0.8
)

var _ Placement = Forecast{}

// Name returns the policy's name.
func (Forecast) Name() string { return "forecast" }

// Decide draws up to the target and returns what is above it.
func (p Forecast) Decide(v View) Decision {
	if v.EntryVMs < minForecastFleet && p.Small != nil {
		return p.Small.Decide(v)
	}
	target := p.target(v)
	size := p.requestSize(v)
	d := Decision{Min: v.minDraw(), Share: maxDrawFraction, Rate: v.RecentRate, Allowance: p.allowance(v)}
	d.Report = v.HasUnreported && v.Ledger.Read && v.Ledger.Undrawn < v.LargestRequest
	lack := target + v.Waiting - v.Available
	if v.Waiting > v.Available {
		d.Draw, d.Share, d.Want = true, 1, max(lack, d.Min)
		return d
	}
	room := v.Ledger.Undrawn - toAmount(undrawnFraction*float64(v.Ledger.Unspent))
	if !v.Ledger.Read {
		// The writer limits the draw to what is left.
		room = lack
	}
	useful := max(toAmount(float64(target)/minDrawDivisor), 1)
	d.Want, d.Min = min(lack, room), min(useful, max(lack, 1))
	if room >= useful {
		d.Draw = float64(v.Available) < refillBelowFraction*float64(target)
		d.TopUp = !d.Draw && float64(v.Available) < joinBelowFraction*float64(target)
	}
	keep := toAmount(surplusFactor * float64(target))
	if surplus := v.Available - keep; !d.Draw && !d.TopUp && v.Ledger.Read && float64(surplus) > surplusRequests*size {
		d.Return, d.Keep = true, target
	}
	return d
}

// target returns the amount that should be available.
func (p Forecast) target(v View) turmericshed.Tokens {
	size := p.requestSize(v)
	own := v.RecentRate * p.span().Seconds()
	prior := priorRequests * size
	weights := own + v.Ledger.OthersRate*p.span().Seconds() + prior*float64(max(v.EntryVMs, 1))
	placed := placedFraction * float64(max(v.Ledger.Unspent, 0))
	part := placed * (own + prior) / weights
	usable := spanSafety*own + headroomRequests*max(float64(v.LargestRequest), largeRequestFactor*size)
	if part < minPartRequests*size {
		// The fraction of holders that get a slot grows with their demand.
		slot := slotRequests * size
		if v.Order >= part/slot {
			return 0
		}
		part = slot
	}
	return toAmount(min(part, usable))
}

// allowance returns the least that the ceilings should permit: the largest request, so that the
// first one of a partition does not have to wait until the lease has expired.
func (p Forecast) allowance(v View) turmericshed.Tokens {
	return max(v.LargestRequest, toAmount(largeRequestFactor*p.requestSize(v)))
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

func toAmount(tokens float64) turmericshed.Tokens { return turmericshed.Tokens(max(tokens, 0)) }
