package tsbudget

import (
	"time"

	"turmericshed"
)

// Bridging lets every entry VM hold the tokens that it uses within Span, so that one that cannot
// reach the store and its peers keeps serving until they are reachable again.
//
// Before any demand is known, a part of the budget is handed out evenly, since a partition may
// come first. From then on, an entry VM with demand draws for the span, and one without demand
// returns tokens when the ledger runs low. The tokens in a lot are lost to the account if the
// holder dies, so a longer Span also makes a crash more expensive.
//
// In a large fleet an account's demand is spread thin: most entry VMs receive a request only now
// and then. If each of them held tokens for its next request, nothing would be left to draw where
// a request does arrive. The amount held for a partition therefore decreases with the undrawn
// amount of the ledger, and nothing is held if that would be less than half a typical request:
// tokens are then drawn when a request arrives.
//
// Example: 900 tokens prepaid, 9 entry VMs, a span of 10 s. Each draws 35 at first, and 585 stay
// in the ledger. An entry VM with a demand of 12 a second needs 120 for the span and draws 85. One
// without demand returns most of its 35 once the ledger has less than a fifth of the unspent
// amount.
type Bridging struct {
	// Span is the length of a partition that an entry VM should bridge; 0 means the default,
	// defaultPartitionSpan.
	Span time.Duration
	// UsualRequest is the expected cost of a request while no demand is known. An even part
	// smaller than this would serve no request and stays in the ledger.
	UsualRequest turmericshed.Tokens
}

const (
	// defaultPartitionSpan is the usual length of the platform's network partitions.
	defaultPartitionSpan = 9 * time.Second
	// evenFraction is the fraction of the unspent amount that is handed out before demand is
	// known.
	evenFraction = 0.35
	// quietAfterIdle is the time without a request after which a holder counts as one without
	// demand.
	quietAfterIdle = 6 * time.Second
	// quietKeepFraction is the fraction of an even part that a holder without demand keeps, for
	// callers that move to it.
	quietKeepFraction = 0.25
	// scarceRoomFraction is the fraction of the unspent amount that must be left to draw; below
	// it, holders return their surplus.
	scarceRoomFraction = 0.2
	// drawBelowFraction is the fraction of the target below which a lot is drawn.
	drawBelowFraction = 0.75
	// topUpBelowFraction is the fraction of the target below which a lot is drawn if the store is
	// written anyway.
	topUpBelowFraction = 0.95
	// minDrawDivisor divides the target to get the least that is drawn ahead of demand, unless the
	// largest request is smaller.
	minDrawDivisor = 4
	// bridgeRequests is the number of largest requests that should be available.
	bridgeRequests = 1.5
	// ampleRoomFraction is the fraction of the unspent amount that must be left to draw for all to
	// hold tokens for the full span. With less, the span is reduced, down to minSpanFraction of
	// it.
	ampleRoomFraction = 0.4
	minSpanFraction   = 1.0 / 3
	// minUsefulFraction is the fraction of a typical request below which nothing is held ahead of
	// it.
	minUsefulFraction = 0.5
)

var _ Placement = Bridging{}

// Name returns the policy's name.
func (Bridging) Name() string { return "bridging" }

// Decide draws ahead of demand, and returns the surplus when the ledger runs low.
func (p Bridging) Decide(v View) Decision {
	target := p.target(v)
	want := target + v.Waiting
	d := Decision{Want: want - min(v.Available, want-1), Share: p.drawFraction(v), Rate: v.RecentRate}
	d.Min = max(v.minDraw(), min(v.LargestRequest, target/minDrawDivisor))
	d.Report = v.HasUnreported && v.Ledger.Read && v.Ledger.Undrawn < v.LargestRequest
	short := v.Waiting > v.Available
	if short {
		d.Min = v.minDraw()
	}
	low := turmericshed.Tokens(drawBelowFraction * float64(target))
	d.Draw = short || (v.Available < low && (!v.Ledger.Read || v.Ledger.Undrawn >= d.Min))
	if d.Draw {
		return d
	}
	d.TopUp = v.Available < turmericshed.Tokens(topUpBelowFraction*float64(target)) && v.Ledger.Read && v.Ledger.Undrawn >= d.Min
	keep := target + target/4
	if v.Idle > quietAfterIdle {
		keep = turmericshed.Tokens(quietKeepFraction * p.evenAmount(v))
		if keep < p.UsualRequest {
			keep = 0
		}
	}
	surplus := v.Available - keep
	if p.scarce(v) && float64(surplus) > minSurplusFraction*float64(v.Ledger.Unspent)/float64(max(v.EntryVMs, 1)) {
		d.Return, d.Keep = true, keep
	}
	return d
}

// scarce reports whether little is left to draw compared with the unspent amount.
func (p Bridging) scarce(v View) bool {
	return float64(v.Ledger.Undrawn) < scarceRoomFraction*float64(v.Ledger.Unspent)
}

// target returns the amount that should be available: the demand of the span, limited to this
// holder's fair share of the unspent amount by demand. Before any demand it is an even part of the
// unspent amount, which is drawn once.
func (p Bridging) target(v View) turmericshed.Tokens {
	if v.RecentRate < 1 {
		even := turmericshed.Tokens(p.evenAmount(v))
		if v.Ledger.Mine > 0 || (v.Ledger.Read && p.scarce(v)) || even < p.UsualRequest {
			return 0
		}
		return even
	}
	span := p.Span
	if span <= 0 {
		span = defaultPartitionSpan
	}
	if !v.Ledger.Read {
		return turmericshed.Tokens(v.RecentRate*span.Seconds() + bridgeRequests*float64(v.LargestRequest))
	}
	room := min(float64(v.Ledger.Undrawn)/(ampleRoomFraction*float64(max(v.Ledger.Unspent, 1))), 1)
	wanted := v.RecentRate*span.Seconds()*max(room, minSpanFraction) + bridgeRequests*float64(v.LargestRequest)*max(room, 0)
	fair := fairFraction * float64(v.Ledger.Unspent) * v.RecentRate / (v.RecentRate + v.Ledger.OthersRate)
	target := min(wanted, fair)
	if target < minUsefulFraction*float64(v.TypicalRequest) {
		return 0
	}
	return turmericshed.Tokens(target)
}

// evenAmount returns an entry VM's equal part of the unspent amount.
func (p Bridging) evenAmount(v View) float64 {
	return evenFraction * float64(v.Ledger.Unspent) / float64(max(v.EntryVMs, 1))
}

// drawFraction returns the fraction of the undrawn amount to which one draw is limited, so that
// the first holder to draw does not take all of it.
func (p Bridging) drawFraction(v View) float64 {
	if !v.Ledger.Read {
		return 1 / float64(max(v.EntryVMs, 1))
	}
	if v.RecentRate < 1 {
		return 0
	}
	return max(fairFraction*v.RecentRate/(v.RecentRate+v.Ledger.OthersRate), 1/float64(max(v.EntryVMs, 1)))
}
