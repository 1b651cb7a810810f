package tsbudget

import (
	"encoding/json"
	"slices"

	"turmericshed"
	"turmericshed/core/tsupdate"
)

// Where the store writes several keys at once, lots need not stand in the
// ledger. Each holder keeps its own lots of all budgets in one document, its
// holding, and the ledger has only the sums over all holdings. So a ledger's
// size does not grow with the fleet, and a holder writes and reads none of the
// others' lots. Both documents change in one transaction, which keeps the sums
// true.
//
// Example: prepaid 1000, two holders with a lot of 300 each. The ledger says
// charge 600 elsewhere, room 400. The first one joins the ledger with its own
// lots: charge 300 elsewhere, one lot of 300, room 400. It draws 100 more and
// parts the result: charge 700 elsewhere in the ledger, two lots in its holding.

// HoldingPrefix is followed by the entry VM's name.
const HoldingPrefix = "holdings/"

// Elsewhere sums up the lots that stand in holdings.
type Elsewhere struct {
	Charge   turmericshed.Tokens `json:"charge,omitempty"`
	Used     turmericshed.Tokens `json:"used,omitempty"`
	Requests int64               `json:"requests,omitempty"`
	// Rate is the holders' demand in tokens per second.
	Rate int64 `json:"rate,omitempty"`
	// Holders counts the holdings.
	Holders int `json:"holders,omitempty"`
}

// sumOf returns what lots of one holding add to the sums.
func sumOf(lots []Lot) Elsewhere {
	var e Elsewhere
	for _, l := range lots {
		e.Charge += l.Charge()
		e.Used += l.Used
		e.Requests += l.Requests
		// The newest lot tells the demand of now.
		e.Rate = l.Rate
		e.Holders = 1
	}
	return e
}

func (e Elsewhere) plus(o Elsewhere) Elsewhere {
	return Elsewhere{
		Charge: e.Charge + o.Charge, Used: e.Used + o.Used, Requests: e.Requests + o.Requests, Rate: e.Rate + o.Rate, Holders: e.Holders + o.Holders,
	}
}

func (e Elsewhere) minus(o Elsewhere) Elsewhere {
	return Elsewhere{
		Charge: e.Charge - o.Charge, Used: e.Used - o.Used, Requests: e.Requests - o.Requests, Rate: e.Rate - o.Rate, Holders: e.Holders - o.Holders,
	}
}

// Holding is an entry VM's lots by budget.
type Holding struct {
	Lots map[turmericshed.BudgetID][]Lot `json:"lots"`
}

// HoldingKey returns the store's key of an entry VM's holding.
func HoldingKey(vm string) string { return HoldingPrefix + vm }

// DecodeHolding reads a holding; an absent one is empty. KindInternal when it
// cannot be read.
func DecodeHolding(item turmericshed.Item) (Holding, error) {
	h := Holding{}
	if item.Version != 0 {
		if err := json.Unmarshal(item.Value, &h); err != nil {
			return h, turmericshed.WrapError(turmericshed.KindInternal, err, "holding %s", item.Key)
		}
	}
	if h.Lots == nil {
		h.Lots = make(map[turmericshed.BudgetID][]Lot)
	}
	return h, nil
}

// Encode returns the value to write. Budgets without lots are left out.
func (h Holding) Encode() ([]byte, error) {
	kept := Holding{Lots: make(map[turmericshed.BudgetID][]Lot, len(h.Lots))}
	for id, lots := range h.Lots {
		if len(lots) > 0 {
			assertLots(lots)
			kept.Lots[id] = lots
		}
	}
	value, err := json.Marshal(kept)
	return value, turmericshed.WrapError(turmericshed.KindInternal, err, "holding")
}

// Join returns the ledger with the lots of one holding in it, which are part
// of its sums. A ledger that was read at another time than the holding may
// count less; then the rest counts as nothing.
func (l Ledger) Join(lots []Lot) Ledger {
	l = l.clone()
	rest := l.Elsewhere.minus(sumOf(lots))
	l.Elsewhere = Elsewhere{
		Charge: max(rest.Charge, 0), Used: max(rest.Used, 0), Requests: max(rest.Requests, 0), Rate: max(rest.Rate, 0), Holders: max(rest.Holders, 0),
	}
	l.Lots = append(l.Lots, lots...)
	return l
}

// Parted returns the mutation that makes m of a ledger whose lots stand in
// holdings. lots returns those of the own holding; parted is told what they
// are afterwards, in every attempt. Errors: those of m, and KindInternal when
// ledger and holding don't fit together.
func Parted(m tsupdate.Mutation, lots func() ([]Lot, error), parted func([]Lot)) tsupdate.Mutation {
	return func(cur turmericshed.Item) ([]byte, error) {
		own, err := lots()
		if err != nil {
			return nil, err
		}
		parted(own)
		joined, err := joinItem(cur, own)
		if err != nil {
			return nil, err
		}
		next, err := m(joined)
		if err != nil || next == nil {
			return nil, err
		}
		l, err := Decode(turmericshed.Item{Key: cur.Key, Value: next, Version: cur.Version + 1})
		if err != nil {
			return nil, err
		}
		var prev *Ledger
		if cur.Version != 0 {
			was, err := Decode(cur)
			if err != nil {
				return nil, err
			}
			prev = &was
		}
		parted(l.Lots)
		l.Elsewhere, l.Lots = l.Elsewhere.plus(sumOf(l.Lots)), nil
		return seal(prev, &l)
	}
}

// joinItem returns the ledger's item with the lots in it.
func joinItem(cur turmericshed.Item, lots []Lot) (turmericshed.Item, error) {
	if cur.Version == 0 {
		if len(lots) > 0 {
			return cur, turmericshed.NewError(turmericshed.KindInternal, "no ledger under %s, but %d lots", cur.Key, len(lots))
		}
		return cur, nil
	}
	l, err := Decode(cur)
	if err != nil {
		return cur, err
	}
	if own := sumOf(lots); l.Elsewhere.Charge < own.Charge || l.Elsewhere.Used < own.Used {
		return cur, turmericshed.NewError(turmericshed.KindInternal, "ledger %s counts %d tokens in holdings, the own one has %d",
			l.Budget, l.Elsewhere.Charge, own.Charge)
	}
	value, err := json.Marshal(l.Join(lots))
	cur.Value = value
	return cur, turmericshed.WrapError(turmericshed.KindInternal, err, "ledger %s", l.Budget)
}

// Foreign returns the budgets in which another process has lots in this
// holding, in order.
func (h Holding) Foreign(self turmericshed.Incarnation) []turmericshed.BudgetID {
	var ids []turmericshed.BudgetID
	for id, lots := range h.Lots {
		if slices.ContainsFunc(lots, func(l Lot) bool { return l.Holder != self }) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
