package tsbudget

import (
	"time"

	"turmericshed"
)

// Bridging lets every entry VM hold what it uses within Span, so that one that
// loses the store and its peers serves on until they are back.
//
// Before any demand is known a part of the budget is handed out evenly, since
// a cut may come first. From then on an entry VM with demand draws for the
// span, and one without gives back when the ledger runs low. A lot whose
// holder dies is lost to the account, so Span is the price of a crash as well.
//
// In a large fleet an account's demand is spread thin: most entry VMs see a
// request now and then. What each of them held for the next one would leave
// nothing to draw where it comes. So what is held for a cut shrinks with the room
// in the ledger, and less than half a typical request is not held at all: such a
// request is drawn for when it comes.
//
// Example: 900 tokens prepaid, 9 entry VMs, a span of 10 s. Each draws 35 at
// first, and 585 stay in the ledger. An entry VM that is asked for 12 a second
// wants 120 for the span and draws 85; one that is asked for nothing gives
// back most of its 35 once the ledger has less than a fifth of what is
// unspent.
type Bridging struct {
	// Span is the length of a cut to be served through; 0 takes
	// defaultCutSpan.
	Span time.Duration
	// UsualRequest is what a request may cost where no demand is known yet. An
	// even part that is smaller serves nobody and stays in the ledger.
	UsualRequest turmericshed.Tokens
}

const (
	// defaultCutSpan is the length of the platform's usual cuts.
	defaultCutSpan = 9 * time.Second
	// evenFraction of what is unspent is handed out before demand is known.
	evenFraction = 0.35
	// quietAfterIdle is how long no request came before a holder counts as one
	// without demand.
	quietAfterIdle = 6 * time.Second
	// quietKeepFraction of an even share is kept there, for callers that move.
	quietKeepFraction = 0.25
	// scarceRoomFraction of the unspent amount in the ledger is enough for others.
	scarceRoomFraction = 0.2
	// drawBelowFraction is the part of the target below which a lot is drawn.
	drawBelowFraction = 0.75
	// topUpBelowFraction is the part of the target below which a lot is drawn when the
	// store is written to anyway.
	topUpBelowFraction = 0.95
	// minDrawDivisor of the target is the least that is drawn ahead of demand,
	// unless it is more than the largest request.
	minDrawDivisor = 4
	// bridgeRequests is how many of the largest requests should be at hand.
	bridgeRequests = 1.5
	// ampleRoomFraction of the unspent amount in the ledger is enough for all to hold
	// what a cut takes; with less they hold less, down to leastSpan of the span.
	ampleRoomFraction = 0.4
	minSpanFraction   = 1.0 / 3
	// minUsefulFraction of a typical request is the least that is held ahead of it.
	minUsefulFraction = 0.5
)

var _ Placement = Bridging{}

// Name returns the policy's name.
func (Bridging) Name() string { return "bridging" }

// Decide draws ahead of demand and returns what others need more.
func (p Bridging) Decide(v View) Decision {
	target := p.target(v)
	want := target + v.Waiting
	d := Decision{Want: want - min(v.Available, want-1), Share: p.drawFraction(v), Rate: v.Arriving}
	d.Min = max(v.minDraw(), min(v.Largest, target/minDrawDivisor))
	d.Report = v.Dirty && v.Ledger.Read && v.Ledger.Room < v.Largest
	short := v.Waiting > v.Available
	if short {
		d.Min = v.minDraw()
	}
	low := turmericshed.Tokens(drawBelowFraction * float64(target))
	d.Draw = short || (v.Available < low && (!v.Ledger.Read || v.Ledger.Room >= d.Min))
	if d.Draw {
		return d
	}
	d.TopUp = v.Available < turmericshed.Tokens(topUpBelowFraction*float64(target)) && v.Ledger.Read && v.Ledger.Room >= d.Min
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

// scarce reports whether the ledger runs low while tokens are held.
func (p Bridging) scarce(v View) bool {
	return float64(v.Ledger.Room) < scarceRoomFraction*float64(v.Ledger.Unspent)
}

// target is what should be at hand: the demand of the span, or when there is
// not so much, the part of all that is unspent that this demand has of all
// demand.
func (p Bridging) target(v View) turmericshed.Tokens {
	if v.Arriving < 1 {
		even := turmericshed.Tokens(p.evenAmount(v))
		if v.Ledger.Mine > 0 || (v.Ledger.Read && p.scarce(v)) || even < p.UsualRequest {
			return 0
		}
		return even
	}
	span := p.Span
	if span <= 0 {
		span = defaultCutSpan
	}
	if !v.Ledger.Read {
		return turmericshed.Tokens(v.Arriving*span.Seconds() + bridgeRequests*float64(v.Largest))
	}
	room := min(float64(v.Ledger.Room)/(ampleRoomFraction*float64(max(v.Ledger.Unspent, 1))), 1)
	wanted := v.Arriving*span.Seconds()*max(room, minSpanFraction) + bridgeRequests*float64(v.Largest)*max(room, 0)
	fair := fairFraction * float64(v.Ledger.Unspent) * v.Arriving / (v.Arriving + v.Ledger.OthersRate)
	target := min(wanted, fair)
	if target < minUsefulFraction*float64(v.Typical) {
		return 0
	}
	return turmericshed.Tokens(target)
}

// evenAmount is an entry VM's equal part of what is unspent.
func (p Bridging) evenAmount(v View) float64 {
	return evenFraction * float64(v.Ledger.Unspent) / float64(max(v.EntryVMs, 1))
}

// drawFraction bounds one draw to a part of the room, so that the first to ask does
// not take all of it.
func (p Bridging) drawFraction(v View) float64 {
	if !v.Ledger.Read {
		return 1 / float64(max(v.EntryVMs, 1))
	}
	if v.Arriving < 1 {
		return 0
	}
	return max(fairFraction*v.Arriving/(v.Arriving+v.Ledger.OthersRate), 1/float64(max(v.EntryVMs, 1)))
}
