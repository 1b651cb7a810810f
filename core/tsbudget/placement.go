package tsbudget

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericshed"
)

const (
	// defaultBridge sizes lots of profiles that name no bridging time;
	// surpriseBridge those of profiles that prefer no surprise.
	defaultBridge    = 2 * time.Minute
	noSurpriseBridge = 30 * time.Second
	// idleReturn is how long an unused budget stays held.
	idleReturn = 10 * time.Minute
	// nearEdgeIdleReturn is the same for a budget that is nearly spent.
	nearEdgeIdleReturn = 5 * time.Second
	// nearEdgeFraction is the part of the prepaid amount below which what is not spent
	// counts as nearly nothing.
	nearEdgeFraction = 0.1
	// noSurpriseLotFraction and refusalShare bound one lot to a part of the room.
	noSurpriseLotFraction = 1.0 / 16
	defaultLotFraction    = 1.0 / 4
	// fairFraction is what is handed out of the fair shares by demand; the rest
	// stays in the ledger for demand that moves.
	fairFraction = 0.9
	// lowWatermark is the part of the target below which a lot is drawn. What is
	// left then still covers the bridging time.
	lowWatermark = 0.8
	// highWatermark is the multiple of the target above which tokens go back.
	highWatermark = 1.5
	// minSurplusFraction is the part of all that is not spent below which a surplus
	// is not worth a write.
	minSurplusFraction = 0.05
	// reserveRequests is how many of the largest requests a lot should cover.
	reserveRequests = 4
	// spreadDemandFraction is the part of a budget's demand that must arrive at an entry
	// VM that is not home before it draws for itself. It bounds the lots.
	spreadDemandFraction = 1.0 / 16
	// spreadRequests is how many of the largest requests must arrive there
	// within the bridging time as well.
	spreadRequests = 16
	// borrowBridge is the bridging time of borrowed tokens, which can be
	// fetched again nearby.
	borrowBridge = 10 * time.Second
)

// View is what a placement decides from.
type View struct {
	Now       time.Time
	Available turmericshed.Tokens
	Reserved  turmericshed.Tokens
	Suspended turmericshed.Tokens
	Lent      turmericshed.Tokens
	// Waiting is the sum of the requests that wait for tokens, Needed the
	// largest of them.
	Waiting turmericshed.Tokens
	Needed  turmericshed.Tokens
	// Starved is true when the last round left requests waiting.
	Starved bool
	// Dirty is true when the ledger lacks something that was settled.
	Dirty bool
	// Rate is the usage in tokens per second, Largest the recent largest
	// reservation, Idle the time since the last one.
	Rate    float64
	Largest turmericshed.Tokens
	// Typical is the recent size of reservations.
	Typical turmericshed.Tokens
	// Arriving is what was asked for in the last seconds, in tokens per
	// second at the requests' worst case.
	Arriving float64
	Idle     time.Duration
	// Ledger is the ledger as last read.
	Ledger Summary
	// Home is true at the entry VM that holds quiet budgets for its failure
	// domain; EntryVMs counts the fleet and Peers the failure domain's other
	// entry VMs.
	Home     bool
	EntryVMs int
	Peers    int
	Edge     turmericshed.EdgePreference
	Bridge   time.Duration
}

// Summary is what a holder remembers of a ledger.
type Summary struct {
	// Read is false before the first read.
	Read  bool
	At    time.Time
	Limit turmericshed.Tokens
	Room  turmericshed.Tokens
	// Unspent is what is neither spent nor reported as used.
	Unspent turmericshed.Tokens
	// OthersUnused is the part of Others that is not reported as used.
	OthersUnused turmericshed.Tokens
	// Others is the sum of the other holders' open lots.
	Others  turmericshed.Tokens
	Holders int
	// Mine is the sum of the holder's own open lots.
	Mine turmericshed.Tokens
	// OthersRate is the demand of the other holders, in tokens per second.
	OthersRate float64
}

// Summarize returns what the holder self remembers of a ledger.
func Summarize(l Ledger, self turmericshed.Incarnation, at time.Time) Summary {
	e := l.Elsewhere
	s := Summary{
		Read: true, At: at, Limit: l.Limit(), Room: l.Room(), Unspent: l.Limit() - l.Spent - e.Used,
		Others: e.Charge, OthersUnused: e.Charge - e.Used, OthersRate: float64(e.Rate),
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
		}
	}
	return s
}

// NearEdge reports whether the budget is nearly spent.
func (s Summary) NearEdge() bool {
	return s.Read && float64(s.Room+s.Mine+s.Others) < nearEdgeFraction*float64(s.Limit)
}

// FromLender returns the summary that a borrower takes from its lender's.
func (s Summary) FromLender(rate float64) Summary {
	s.Others, s.Mine = s.Others+s.Mine, 0
	s.OthersRate += rate
	return s
}

const (
	// settleInterval is the time after which settled usage is reported, near
	// the end of a budget; quietSettleInterval the same elsewhere.
	settleInterval      = time.Minute
	quietSettleInterval = 10 * time.Minute
)

// ReportDue reports whether settled usage should be written, age after the
// last report.
func (v View) ReportDue(age time.Duration) bool {
	return v.Dirty && (age >= quietSettleInterval || (age >= settleInterval && v.Ledger.NearEdge()))
}

// Decision is what a placement wants done.
type Decision struct {
	// Draw and Borrow ask for tokens from the ledger and from peers.
	Draw   bool
	Borrow bool
	Want   turmericshed.Tokens
	Min    turmericshed.Tokens
	Share  float64
	// Rate is the demand that the lot is marked with; 0 takes View.Rate.
	Rate float64
	// TopUp is true when a draw is worth making only if other budgets are
	// written anyway.
	TopUp bool
	// Report writes settled usage now, so that others know what is left.
	Report bool
	// Return gives back what is available beyond Keep.
	Return bool
	Keep   turmericshed.Tokens
}

// Placement decides where the tokens of a budget are held, and how large
// lots are.
type Placement interface {
	Name() string
	Decide(v View) Decision
}

var (
	_ Placement = EqualShare{}
	_ Placement = Concentrated{}
	_ Placement = ByDemand{}
)

// EqualShare lets every entry VM hold an equal share of the room.
type EqualShare struct{}

// Name returns the policy's name.
func (EqualShare) Name() string { return "equal_share" }

// Decide draws a share when half of it is gone.
func (EqualShare) Decide(v View) Decision {
	share := 1 / float64(max(v.EntryVMs, 1))
	target := turmericshed.Tokens(float64(v.Ledger.Room+v.Ledger.Mine) * share)
	if !v.Ledger.Read {
		target = v.targetForRequests()
	}
	d := Decision{Want: max(target, v.targetForRequests()), Min: v.minDraw(), Share: share}
	d.Draw = v.shouldFetch(target)
	return d
}

// Concentrated holds every budget at one entry VM of each failure domain; the
// others borrow from it.
type Concentrated struct{}

// Name returns the policy's name.
func (Concentrated) Name() string { return "concentrated" }

// Decide draws at the home entry VM and borrows elsewhere.
func (Concentrated) Decide(v View) Decision { return v.decideByDemand(v.Home) }

// ByDemand holds quiet budgets like Concentrated. An entry VM where much
// demand arrives draws for itself, until the budget is nearly spent.
type ByDemand struct{}

// Name returns the policy's name.
func (ByDemand) Name() string { return "by_demand" }

// Decide draws where demand arrives.
func (ByDemand) Decide(v View) Decision {
	busy := v.Ledger.Read && v.Rate*v.bridge().Seconds() >= spreadRequests*float64(max(v.Largest, 1)) &&
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

// targetForRequests is what should be at hand for the requests that wait and the next few.
func (v View) targetForRequests() turmericshed.Tokens { return v.Waiting + reserveRequests*v.Largest }

// minDraw is the smallest amount that is of use.
func (v View) minDraw() turmericshed.Tokens { return max(v.Needed-v.Available, 1) }

// shouldFetch reports whether tokens should be fetched ahead of demand.
func (v View) shouldFetch(target turmericshed.Tokens) bool {
	if v.Waiting > 0 {
		return true
	}
	if v.Idle > nearEdgeIdleReturn && v.Ledger.NearEdge() {
		return false
	}
	low := max(turmericshed.Tokens(lowWatermark*float64(target)), min(2*v.Largest, v.targetForRequests()))
	return v.Largest > 0 && v.Available < low && v.Idle < idleReturn
}

func (v View) lotFraction() float64 {
	if v.Edge == turmericshed.PreferNoSurprise {
		return noSurpriseLotFraction
	}
	return defaultLotFraction
}

// scarce reports whether the ledger cannot fill this entry VM's reserve any
// more and little is left here. Tokens then stay in the ledger until a request
// needs them: what one entry VM keeps idle is missed by the callers at another.
func (v View) scarce() bool {
	reserve := reserveRequests * v.Largest
	return v.Ledger.NearEdge() && v.Ledger.Room < reserve && v.Available <= reserve
}

// decideByDemand fetches what the demand uses within the bridging time, bounded by a
// share of the room, and returns what is far above that.
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

// decideForWaiting fetches what the requests that wait need, and returns the rest.
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

// fairShare returns the part of all that is not spent that this holder's
// demand has of the demand of all holders.
func (v View) fairShare() turmericshed.Tokens {
	return turmericshed.Tokens(v.fairShareFraction() * float64(v.Ledger.Room+v.Ledger.Mine+v.Ledger.Others))
}

func (v View) fairShareFraction() float64 {
	part := v.lotFraction()
	if all := v.Rate + v.Ledger.OthersRate; v.Ledger.OthersRate > 0 {
		part = fairFraction * v.Rate / all
	}
	return part
}

// surplus reports whether tokens should go back, and what to keep.
func (v View) surplus(target turmericshed.Tokens) (bool, turmericshed.Tokens) {
	if v.Available == 0 {
		return false, 0
	}
	edge := v.Ledger.NearEdge()
	switch {
	case v.Waiting > 0:
		// Remainders that are too small for any request here go back, so
		// that they add up somewhere.
		return edge && v.Starved, 0
	case v.Idle >= idleReturn, edge && v.Idle >= nearEdgeIdleReturn:
		return true, 0
	case float64(v.Available) > highWatermark*float64(target) &&
		float64(v.Available-target) > minSurplusFraction*float64(v.Ledger.Room+v.Ledger.Mine+v.Ledger.Others):
		return true, target
	default:
		return false, 0
	}
}

// Home returns the entry VM among candidates that holds the quiet budget, by
// rendezvous hashing, so that a change of the candidates moves few budgets.
func Home(budget turmericshed.BudgetID, candidates []turmericshed.EntryVM) (turmericshed.EntryVM, bool) {
	if len(candidates) == 0 {
		return turmericshed.EntryVM{}, false
	}
	return slices.MaxFunc(candidates, func(a, b turmericshed.EntryVM) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(budget, a), rendezvousWeight(budget, b)), cmp.Compare(a.Incarnation, b.Incarnation))
	}), true
}

func rendezvousWeight(budget turmericshed.BudgetID, vm turmericshed.EntryVM) uint64 {
	return xxhash.Sum64String(string(budget) + "\x00" + string(vm.Incarnation))
}
