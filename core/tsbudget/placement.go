package tsbudget

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericshed"
)

const (
	// defaultBridge is the bridging time for profiles that set none, noSurpriseBridge that of
	// profiles with PreferNoSurprise.
	defaultBridge    = 2 * time.Minute
	noSurpriseBridge = 30 * time.Second
	// idleReturn is the idle time after which the tokens of a budget are returned.
	idleReturn = 10 * time.Minute
	// nearEdgeIdleReturn is the same for a budget that is nearly spent.
	nearEdgeIdleReturn = 5 * time.Second
	// nearEdgeFraction is the fraction of the prepaid amount below which a budget counts as nearly
	// spent.
	nearEdgeFraction = 0.1
	// noSurpriseLotFraction and defaultLotFraction limit one lot to a fraction of the undrawn
	// amount.
	noSurpriseLotFraction = 1.0 / 16
	defaultLotFraction    = 1.0 / 4
	// fairFraction is the fraction of the fair shares that is handed out by demand. The other
	// tokens stay in the ledger for demand that moves to another entry VM.
	fairFraction = 0.9
	// lowWatermark is the fraction of the target below which a lot is drawn. At that point the
	// available tokens still cover the bridging time.
	lowWatermark = 0.8
	// highWatermark is the multiple of the target above which tokens are returned.
	highWatermark = 1.5
	// minSurplusFraction is the fraction of the unspent amount below which a surplus is not worth
	// a write.
	minSurplusFraction = 0.05
	// reserveRequests is the number of largest requests that a lot should cover.
	reserveRequests = 4
	// spreadDemandFraction is the fraction of a budget's demand that must arrive at an entry VM
	// other than the home before it draws for itself. It bounds the number of lots.
	spreadDemandFraction = 1.0 / 16
	// spreadRequests is the number of largest requests that must also arrive there within the
	// bridging time.
	spreadRequests = 16
	// borrowBridge is the bridging time for borrowed tokens, which a peer nearby can refill.
	borrowBridge = 10 * time.Second
)

// View is the input of a placement's decision.
type View struct {
	Now       time.Time
	Available turmericshed.Tokens
	Reserved  turmericshed.Tokens
	Suspended turmericshed.Tokens
	Lent      turmericshed.Tokens
	// Waiting is the sum of the amounts of the waiting requests, Needed the largest of them.
	Waiting turmericshed.Tokens
	Needed  turmericshed.Tokens
	// Starved is true if requests were still waiting after the last round.
	Starved bool
	// HasUnreported is true if settled usage or returned tokens are not yet in the ledger.
	HasUnreported bool
	// Unreported is the settled usage that is not yet in the ledger.
	Unreported turmericshed.Tokens
	// Returning is the amount that was returned here and is not yet in the ledger.
	Returning turmericshed.Tokens
	// Rate is the usage in tokens per second, LargestRequest the largest recent reservation, Idle the
	// time since the last reservation.
	Rate           float64
	LargestRequest turmericshed.Tokens
	// TypicalRequest is the average size of recent reservations.
	TypicalRequest turmericshed.Tokens
	// RecentRate is the recent demand in tokens per second, with each request counted at its worst
	// case.
	RecentRate float64
	// SteadyRate is the same over a longer time.
	SteadyRate float64
	Idle       time.Duration
	// Ledger is the ledger as last read.
	Ledger Summary
	// Home is true for the entry VM that holds quiet budgets for its failure domain. EntryVMs is
	// the number of entry VMs in the fleet, Peers the number of others in the failure domain.
	Home     bool
	EntryVMs int
	// RecentEntryVMs is the largest EntryVMs of the last time.
	RecentEntryVMs int
	// Unreachable is true if the store did not answer the last write.
	Unreachable bool
	Peers       int
	// Order is the holder's place for this budget among the entry VMs of its failure domain, from 0
	// to 1. Places are spread evenly and differ between budgets.
	Order  float64
	Edge   turmericshed.EdgePreference
	Bridge time.Duration
}

// Summary is the part of a ledger that a holder caches.
type Summary struct {
	// Read is false before the first read.
	Read    bool
	At      time.Time
	Limit   turmericshed.Tokens
	Undrawn turmericshed.Tokens
	// Unspent is the amount in force that is neither spent nor reported as used.
	Unspent turmericshed.Tokens
	// OthersUnused is the part of Others that is not reported as used.
	OthersUnused turmericshed.Tokens
	// Others is the sum of the charges of the other holders' open lots.
	Others  turmericshed.Tokens
	Holders int
	// Mine is the sum of the charges of this holder's open lots.
	Mine turmericshed.Tokens
	// OthersRate is the demand of the other holders in tokens per second.
	OthersRate float64
	// OthersRateSquares is the sum of the squares of these rates, 0 if it is not known.
	OthersRateSquares float64
}

// Summarize returns the summary of a ledger for the holder self.
func Summarize(l Ledger, self turmericshed.Incarnation, at time.Time) Summary {
	e := l.InHoldings
	s := Summary{
		Read: true, At: at, Limit: l.Limit(), Undrawn: l.Undrawn(), Unspent: l.Limit() - l.Spent - e.Used,
		Others: e.Charge, OthersUnused: e.Charge - e.Used, OthersRate: float64(e.Rate), OthersRateSquares: float64(e.RateSquares),
	}
	rates := make(map[turmericshed.Incarnation]int64, len(l.Lots))
	for _, lot := range l.Lots {
		rates[lot.Holder] = lot.Rate
		s.Unspent -= lot.Used
		if lot.Holder == self {
			s.Mine += lot.Charge()
		} else {
			s.Others += lot.Charge()
			s.OthersUnused += lot.Charge() - lot.Used
		}
	}
	s.Holders = len(rates) + e.Holders
	for holder, rate := range rates {
		if holder != self {
			s.OthersRate += float64(rate)
			s.OthersRateSquares += float64(rate) * float64(rate)
		}
	}
	return s
}

// NearEdge reports whether the budget is nearly spent.
func (s Summary) NearEdge() bool {
	return s.Read && float64(s.Undrawn+s.Mine+s.Others) < nearEdgeFraction*float64(s.Limit)
}

// FromLender converts a lender's summary for a borrower: the lender's lots and rate are added to
// those of the other holders.
func (s Summary) FromLender(rate float64) Summary {
	s.Others, s.Mine = s.Others+s.Mine, 0
	s.OthersRate += rate
	return s
}

const (
	// settleInterval is the interval at which settled usage is reported for a budget that is
	// nearly spent, quietSettleInterval that for other budgets.
	settleInterval      = time.Minute
	quietSettleInterval = 10 * time.Minute
)

// ReportDue reports whether settled usage should be written, given the age of the last report.
func (v View) ReportDue(age time.Duration) bool {
	return v.HasUnreported && (age >= quietSettleInterval || (age >= settleInterval && v.Ledger.NearEdge()))
}

// Decision is the outcome of a placement.
type Decision struct {
	// Draw and Borrow request tokens from the ledger and from peers.
	Draw   bool
	Borrow bool
	Want   turmericshed.Tokens
	Min    turmericshed.Tokens
	Share  float64
	// KeepUndrawn is the amount that the draw leaves undrawn.
	KeepUndrawn turmericshed.Tokens
	// Rate is the demand that is recorded in the lot; 0 means View.Rate.
	Rate float64
	// TopUp is true if a draw is only worth making when other budgets are written anyway.
	TopUp bool
	// Report requests that settled usage is written now, so that other holders see what is left.
	Report bool
	// Return requests that the available tokens beyond Keep are returned.
	Return bool
	Keep   turmericshed.Tokens
	// Allowance is the least of the available tokens that the ceilings should permit to use.
	Allowance turmericshed.Tokens
}

// Placement decides where the tokens of a budget are held, and the size of lots.
type Placement interface {
	Name() string
	Decide(v View) Decision
}

var (
	_ Placement = EqualShare{}
	_ Placement = Concentrated{}
	_ Placement = ByDemand{}
)

// EqualShare lets every entry VM hold an equal share of the undrawn amount.
type EqualShare struct{}

// Name returns the policy's name.
func (EqualShare) Name() string { return "equal_share" }

// Decide draws when the available tokens fall below the low watermark of the share.
func (EqualShare) Decide(v View) Decision {
	share := 1 / float64(max(v.EntryVMs, 1))
	target := turmericshed.Tokens(float64(v.Ledger.Undrawn+v.Ledger.Mine) * share)
	if !v.Ledger.Read {
		target = v.targetForRequests()
	}
	d := Decision{Want: max(target, v.targetForRequests()), Min: v.minDraw(), Share: share}
	d.Draw = v.shouldFetch(target)
	return d
}

// Concentrated lets one entry VM of each failure domain hold the budget; the other entry VMs
// borrow from it.
type Concentrated struct{}

// Name returns the policy's name.
func (Concentrated) Name() string { return "concentrated" }

// Decide draws at the home entry VM and borrows at the others.
func (Concentrated) Decide(v View) Decision { return v.decideByDemand(v.Home) }

// ByDemand holds quiet budgets like Concentrated. An entry VM that receives much demand draws for
// itself, until the budget is nearly spent.
type ByDemand struct{}

// Name returns the policy's name.
func (ByDemand) Name() string { return "by_demand" }

// Decide draws where demand arrives, and borrows elsewhere.
func (ByDemand) Decide(v View) Decision {
	busy := v.Ledger.Read && v.Rate*v.bridge().Seconds() >= spreadRequests*float64(max(v.LargestRequest, 1)) &&
		v.Rate >= spreadDemandFraction*(v.Rate+v.Ledger.OthersRate)
	return v.decideByDemand(v.Home || (busy && !v.Ledger.NearEdge()))
}

func (v View) bridge() time.Duration {
	if v.Bridge > 0 {
		return v.Bridge
	}
	if v.Edge == turmericshed.PreferNoSurprise {
		return noSurpriseBridge
	}
	return defaultBridge
}

// targetForRequests returns the amount that should be available for the waiting requests and the
// next few.
func (v View) targetForRequests() turmericshed.Tokens {
	return v.Waiting + reserveRequests*v.LargestRequest
}

// minDraw returns the smallest useful draw: what the largest waiting request lacks.
func (v View) minDraw() turmericshed.Tokens { return max(v.Needed-v.Available, 1) }

// shouldFetch reports whether tokens should be drawn or borrowed now, for waiting requests or
// ahead of demand.
func (v View) shouldFetch(target turmericshed.Tokens) bool {
	if v.Waiting > 0 {
		return true
	}
	if v.Idle > nearEdgeIdleReturn && v.Ledger.NearEdge() {
		return false
	}
	low := max(turmericshed.Tokens(lowWatermark*float64(target)), min(2*v.LargestRequest, v.targetForRequests()))
	return v.LargestRequest > 0 && v.Available < low && v.Idle < idleReturn
}

func (v View) lotFraction() float64 {
	if v.Edge == turmericshed.PreferNoSurprise {
		return noSurpriseLotFraction
	}
	return defaultLotFraction
}

// scarce reports whether the ledger can no longer refill this entry VM's reserve and little is
// available here. Tokens then stay in the ledger until a request needs them, since tokens idle at
// one entry VM are unavailable to callers at the others.
func (v View) scarce() bool {
	reserve := reserveRequests * v.LargestRequest
	return v.Ledger.NearEdge() && v.Ledger.Undrawn < reserve && v.Available <= reserve
}

// decideByDemand requests the tokens that the demand uses within the bridging time, limited to a
// share of the undrawn amount, and returns a large surplus.
func (v View) decideByDemand(draws bool) Decision {
	if v.scarce() {
		return v.decideForWaiting(draws)
	}
	bridge := v.bridge()
	if !draws {
		bridge = min(bridge, borrowBridge)
	}
	target := turmericshed.Tokens(v.Rate * bridge.Seconds() / lowWatermark)
	if v.Ledger.Read {
		target = min(target, v.fairShare())
	}
	target = max(target, v.targetForRequests())
	d := Decision{Want: target - min(v.Available, target-1), Min: v.minDraw(), Share: v.fairShareFraction()}
	fetch := v.shouldFetch(target)
	d.Draw, d.Borrow = fetch && draws, fetch && !draws
	if d.Return, d.Keep = v.surplus(target); d.Return && v.Waiting > 0 {
		d.Min, d.Want = max(v.Needed, 1), max(d.Want, v.Needed)
	}
	return d
}

// decideForWaiting requests only what the waiting requests lack, and returns tokens that serve no
// waiting request.
func (v View) decideForWaiting(draws bool) Decision {
	d := Decision{Want: max(v.Waiting-v.Available, 1), Min: v.minDraw(), Share: 1}
	fetch := v.Waiting > 0
	d.Draw, d.Borrow = fetch && draws, fetch && !draws
	if v.Available > 0 && (!fetch || v.Starved) {
		d.Return = true
		d.Min, d.Want = max(v.Needed, 1), max(v.Waiting, 1)
	}
	return d
}

// fairShare returns the part of the undrawn amount and open lots that is proportional to this
// holder's part of the demand.
func (v View) fairShare() turmericshed.Tokens {
	return turmericshed.Tokens(v.fairShareFraction() * float64(v.Ledger.Undrawn+v.Ledger.Mine+v.Ledger.Others))
}

func (v View) fairShareFraction() float64 {
	part := v.lotFraction()
	if all := v.Rate + v.Ledger.OthersRate; v.Ledger.OthersRate > 0 {
		part = fairFraction * v.Rate / all
	}
	return part
}

// surplus reports whether tokens should be returned, and how many to keep.
func (v View) surplus(target turmericshed.Tokens) (bool, turmericshed.Tokens) {
	if v.Available == 0 {
		return false, 0
	}
	edge := v.Ledger.NearEdge()
	switch {
	case v.Waiting > 0:
		// An amount that is too small for any waiting request is returned, so that such amounts
		// from several entry VMs can serve a request together.
		return edge && v.Starved, 0
	case v.Idle >= idleReturn, edge && v.Idle >= nearEdgeIdleReturn:
		return true, 0
	case float64(v.Available) > highWatermark*float64(target) &&
		float64(v.Available-target) > minSurplusFraction*float64(v.Ledger.Undrawn+v.Ledger.Mine+v.Ledger.Others):
		return true, target
	default:
		return false, 0
	}
}

// Home returns the entry VM among candidates that holds a quiet budget. It is chosen by rendezvous
// hashing, so that a change of the candidates moves few budgets.
func Home(budget turmericshed.BudgetID, candidates []turmericshed.EntryVM) (turmericshed.EntryVM, bool) {
	if len(candidates) == 0 {
		return turmericshed.EntryVM{}, false
	}
	return slices.MaxFunc(candidates, func(a, b turmericshed.EntryVM) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(budget, a), rendezvousWeight(budget, b)), cmp.Compare(a.Incarnation, b.Incarnation))
	}), true
}

// Order returns the place of self among candidates for a budget, as a fraction of their number in
// the middle of the place. It is chosen by rendezvous hashing over names, so that a restart keeps
// the place.
func Order(budget turmericshed.BudgetID, self turmericshed.EntryVM, candidates []turmericshed.EntryVM) float64 {
	before, own := 0, nameWeight(budget, self)
	for _, vm := range candidates {
		if vm.Name != self.Name && cmp.Or(cmp.Compare(nameWeight(budget, vm), own), cmp.Compare(vm.Name, self.Name)) > 0 {
			before++
		}
	}
	return (float64(before) + 0.5) / float64(max(len(candidates), before+1))
}

func nameWeight(budget turmericshed.BudgetID, vm turmericshed.EntryVM) uint64 {
	return xxhash.Sum64String(string(budget) + "\x00" + vm.Name)
}

func rendezvousWeight(budget turmericshed.BudgetID, vm turmericshed.EntryVM) uint64 {
	return xxhash.Sum64String(string(budget) + "\x00" + string(vm.Incarnation))
}
