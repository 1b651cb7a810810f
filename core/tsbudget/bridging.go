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
	// evenPart of what is unspent is handed out before demand is known.
	evenPart = 0.35
	// quietAfter is how long no request came before a holder counts as one
	// without demand.
	quietAfter = 6 * time.Second
	// quietPart of an even share is kept there, for callers that move.
	quietPart = 0.25
	// scarcePart of the unspent amount in the ledger is enough for others.
	scarcePart = 0.2
	// bridgeLow is the part of the target below which a lot is drawn.
	bridgeLow = 0.75
	// topUpBelow is the part of the target below which a lot is drawn when the
	// store is written to anyway.
	topUpBelow = 0.95
	// minDrawPart of the target is the least that is drawn ahead of demand,
	// unless it is more than the largest request.
	minDrawPart = 4
	// bridgeDepth is how many of the largest requests should be at hand.
	bridgeDepth = 1.5
	// comfortPart of the unspent amount in the ledger is enough for all to hold
	// what a cut takes; with less they hold less, down to leastSpan of the span.
	comfortPart = 0.4
	leastSpan   = 1.0 / 3
	// usefulPart of a typical request is the least that is held ahead of it.
	usefulPart = 0.5
)

var _ Placement = Bridging{}

// Name returns the policy's name.
func (Bridging) Name() string { return "bridging" }

// Decide draws ahead of demand and returns what others need more.
func (p Bridging) Decide(v View) Decision {
	target := p.target(v)
	want := target + v.Waiting
	d := Decision{Want: want - min(v.Available, want-1), Share: p.share(v), Rate: v.Arriving}
	d.Min = max(v.least(), min(v.Largest, target/minDrawPart))
	d.Report = v.Dirty && v.Ledger.Read && v.Ledger.Room < v.Largest
	short := v.Waiting > v.Available
	if short {
		d.Min = v.least()
	}
	low := turmericshed.Tokens(bridgeLow * float64(target))
	d.Draw = short || (v.Available < low && (!v.Ledger.Read || v.Ledger.Room >= d.Min))
	if d.Draw {
		return d
	}
	d.TopUp = v.Available < turmericshed.Tokens(topUpBelow*float64(target)) && v.Ledger.Read && v.Ledger.Room >= d.Min
	keep := target + target/4
	if v.Idle > quietAfter {
		keep = turmericshed.Tokens(quietPart * p.even(v))
		if keep < p.UsualRequest {
			keep = 0
		}
	}
	surplus := v.Available - keep
	if p.scarce(v) && float64(surplus) > surplusPart*float64(v.Ledger.Unspent)/float64(max(v.EntryVMs, 1)) {
		d.Return, d.Keep = true, keep
	}
	return d
}

// scarce reports whether the ledger runs low while tokens are held.
func (p Bridging) scarce(v View) bool {
	return float64(v.Ledger.Room) < scarcePart*float64(v.Ledger.Unspent)
}

// target is what should be at hand: the demand of the span, or when there is
// not so much, the part of all that is unspent that this demand has of all
// demand.
func (p Bridging) target(v View) turmericshed.Tokens {
	if v.Arriving < 1 {
		even := turmericshed.Tokens(p.even(v))
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
		return turmericshed.Tokens(v.Arriving*span.Seconds() + bridgeDepth*float64(v.Largest))
	}
	room := min(float64(v.Ledger.Room)/(comfortPart*float64(max(v.Ledger.Unspent, 1))), 1)
	wanted := v.Arriving*span.Seconds()*max(room, leastSpan) + bridgeDepth*float64(v.Largest)*max(room, 0)
	fair := fairPart * float64(v.Ledger.Unspent) * v.Arriving / (v.Arriving + v.Ledger.OthersRate)
	target := min(wanted, fair)
	if target < usefulPart*float64(v.Typical) {
		return 0
	}
	return turmericshed.Tokens(target)
}

// even is an entry VM's equal part of what is unspent.
func (p Bridging) even(v View) float64 {
	return evenPart * float64(v.Ledger.Unspent) / float64(max(v.EntryVMs, 1))
}

// share bounds one draw to a part of the room, so that the first to ask does
// not take all of it.
func (p Bridging) share(v View) float64 {
	if !v.Ledger.Read {
		return 1 / float64(max(v.EntryVMs, 1))
	}
	if v.Arriving < 1 {
		return 0
	}
	return max(fairPart*v.Arriving/(v.Arriving+v.Ledger.OthersRate), 1/float64(max(v.EntryVMs, 1)))
}
