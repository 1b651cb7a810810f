package tsbudget

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"turmericshed"
)

// Where the store writes several keys at once, lots need not stand in the
// ledger. All holders of a failure domain keep their lots of all budgets in one
// document, the domain's holding, and the ledger has only the sums over all
// holdings. So a ledger's size does not grow with the fleet, and one
// transaction can serve every holder of the domain. Both documents change
// together, which keeps the sums true.
//
// The holding also says which process stands for each entry VM, and how far
// each lot may be used, see Ceilings. A process takes its entry VM over from
// its predecessor by name, once; writes for any other process are refused from
// then on, whenever they arrive.
//
// Example: prepaid 1000, two domains with a lot of 300 each. The ledger says
// charge 600 elsewhere, room 400. A holder of the first domain draws 100 more:
// charge 700 elsewhere in the ledger, two lots in its domain's holding.

const (
	// HoldingPrefix is followed by the failure domain's name.
	HoldingPrefix = "holdings/"
	// MarkerPrefix is followed by the failure domain's name and a lease. The
	// key stands as long as that lease.
	MarkerPrefix = "leases/"
)

// HoldingKey returns the store's key of a failure domain's holding.
func HoldingKey(d turmericshed.FailureDomain) string { return HoldingPrefix + string(d) }

// MarkerKey returns the store's key that stands as long as a lease.
func MarkerKey(d turmericshed.FailureDomain, l turmericshed.LeaseID) string {
	return MarkerPrefix + string(d) + "/" + string(l)
}

// Elsewhere sums up the lots that stand in holdings.
type Elsewhere struct {
	Charge   turmericshed.Tokens `json:"charge,omitempty"`
	Used     turmericshed.Tokens `json:"used,omitempty"`
	Requests int64               `json:"requests,omitempty"`
	// Rate is the holders' demand in tokens per second.
	Rate int64 `json:"rate,omitempty"`
	// Holders counts the holders with lots.
	Holders int `json:"holders,omitempty"`
}

// sumOf returns what lots add to the sums.
func sumOf(lots []Lot) Elsewhere {
	var e Elsewhere
	rates := make(map[turmericshed.Incarnation]int64, len(lots))
	for _, l := range lots {
		e.Charge += l.Charge()
		e.Used += l.Used
		e.Requests += l.Requests
		// The newest lot tells the demand of now.
		rates[l.Holder] = l.Rate
	}
	for _, r := range rates {
		e.Rate += r
	}
	e.Holders = len(rates)
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

// valid reports whether lots may have these sums.
func (e Elsewhere) valid() bool {
	return e.Charge >= 0 && e.Used >= 0 && e.Used <= e.Charge && e.Requests >= 0 && e.Holders >= 0
}

// HoldingVM is what a holding says of one entry VM.
type HoldingVM struct {
	// Incarnation is the process that stands for the entry VM.
	Incarnation turmericshed.Incarnation `json:"incarnation"`
	// Sequence is that of the process's last declaration, Lease the lease that
	// it is bound to, and Since when the process learned of that lease, by the
	// entry VM's time of day.
	Sequence int64                `json:"sequence,omitempty"`
	Lease    turmericshed.LeaseID `json:"lease,omitempty"`
	Since    time.Time            `json:"since,omitzero"`
}

// Holding is what the holders of one failure domain hold.
type Holding struct {
	VMs  map[string]HoldingVM
	Lots map[turmericshed.BudgetID][]Lot
	// Most is how far a lot may be used; nothing of a lot that is not listed.
	Most map[turmericshed.LotID]turmericshed.Tokens
}

// holdingDoc is the stored form: a lot is a short row, since there is one for
// each entry VM and budget.
type holdingDoc struct {
	VMs  map[string]HoldingVM                   `json:"entry_vms"`
	Lots map[turmericshed.BudgetID][]holdingRow `json:"lots"`
}

type holdingRow struct {
	ID       turmericshed.LotID       `json:"i"`
	Holder   turmericshed.Incarnation `json:"h"`
	Drawn    turmericshed.Tokens      `json:"d"`
	Returned turmericshed.Tokens      `json:"b,omitempty"`
	Used     turmericshed.Tokens      `json:"u,omitempty"`
	Requests int64                    `json:"n,omitempty"`
	Rate     int64                    `json:"r,omitempty"`
	AtMS     int64                    `json:"t"`
	Most     turmericshed.Tokens      `json:"m,omitempty"`
}

// DecodeHolding reads a holding; an absent one is empty. KindInternal when it
// cannot be read.
func DecodeHolding(item turmericshed.Item) (Holding, error) {
	h := Holding{
		VMs: make(map[string]HoldingVM), Lots: make(map[turmericshed.BudgetID][]Lot), Most: make(map[turmericshed.LotID]turmericshed.Tokens),
	}
	if item.Version == 0 {
		return h, nil
	}
	var doc holdingDoc
	if err := json.Unmarshal(item.Value, &doc); err != nil {
		return h, turmericshed.WrapError(turmericshed.KindInternal, err, "holding %s", item.Key)
	}
	maps.Copy(h.VMs, doc.VMs)
	for id, rows := range doc.Lots {
		lots := make([]Lot, 0, len(rows))
		for _, r := range rows {
			lots = append(lots, Lot{
				ID: r.ID, Holder: r.Holder, Drawn: r.Drawn, Returned: r.Returned, Used: r.Used, Requests: r.Requests, Rate: r.Rate,
				At: time.UnixMilli(r.AtMS).UTC(),
			})
			if r.Most > 0 {
				h.Most[r.ID] = r.Most
			}
		}
		h.Lots[id] = lots
	}
	return h, nil
}

// Encode returns the value to write. Budgets without lots are left out.
func (h Holding) Encode() ([]byte, error) {
	doc := holdingDoc{VMs: h.VMs, Lots: make(map[turmericshed.BudgetID][]holdingRow, len(h.Lots))}
	for id, lots := range h.Lots {
		if len(lots) == 0 {
			continue
		}
		assertLots(lots)
		rows := make([]holdingRow, 0, len(lots))
		for _, l := range lots {
			rows = append(rows, holdingRow{
				ID: l.ID, Holder: l.Holder, Drawn: l.Drawn, Returned: l.Returned, Used: l.Used, Requests: l.Requests, Rate: l.Rate,
				AtMS: l.At.UnixMilli(), Most: h.Most[l.ID],
			})
		}
		doc.Lots[id] = rows
	}
	value, err := json.Marshal(doc)
	return value, turmericshed.WrapError(turmericshed.KindInternal, err, "holding")
}

// clone returns a copy whose maps are its own; the lists of lots are shared
// and never changed in place.
func (h Holding) clone() Holding {
	return Holding{VMs: maps.Clone(h.VMs), Lots: maps.Clone(h.Lots), Most: maps.Clone(h.Most)}
}

// Of returns the lots of one process, by budget.
func (h Holding) Of(in turmericshed.Incarnation) map[turmericshed.BudgetID][]Lot {
	own := make(map[turmericshed.BudgetID][]Lot)
	for id := range h.Lots {
		if lots := h.LotsOf(in, id); len(lots) > 0 {
			own[id] = lots
		}
	}
	return own
}

// LotsOf returns the lots of one process in one budget.
func (h Holding) LotsOf(in turmericshed.Incarnation, id turmericshed.BudgetID) []Lot {
	var own []Lot
	for _, l := range h.Lots[id] {
		if l.Holder == in {
			own = append(own, l)
		}
	}
	return own
}

// Join returns the ledger with lots of a holding in it, which are part of its
// sums. A ledger that was read at another time than the holding may count
// less; then the rest counts as nothing.
func (l Ledger) Join(lots []Lot) Ledger {
	l = l.clone()
	rest := l.Elsewhere.minus(sumOf(lots))
	l.Elsewhere = Elsewhere{
		Charge: max(rest.Charge, 0), Used: max(rest.Used, 0), Requests: max(rest.Requests, 0), Rate: max(rest.Rate, 0), Holders: max(rest.Holders, 0),
	}
	l.Lots = append(l.Lots, lots...)
	return l
}

// Change is what one holder wants written to one ledger.
type Change struct {
	Budget  turmericshed.BudgetID
	Profile turmericshed.ProfileName
	// Prepaid makes the ledger or raises its amount; a lower amount, as in an
	// older edit, changes nothing.
	Prepaid turmericshed.Tokens
	Reports []Report
	// Draw asks for a lot, if set.
	Draw *DrawRequest
	// Withdraw, if set, ends a lot unused that may have been drawn.
	Withdraw turmericshed.LotID
}

// apply makes the change. A draw that is refused does not hold up the rest:
// then the error is returned only if nothing else changes.
func (c Change) apply(l *Ledger) (bool, error) {
	changed := false
	if c.Prepaid > l.Prepaid {
		l.Prepaid, changed = c.Prepaid, true
	}
	for _, r := range c.Reports {
		changed = settleOne(l, r) || changed
	}
	if i := index(l.Lots, c.Withdraw); c.Withdraw != "" && i >= 0 {
		l.Lots, changed = slices.Delete(l.Lots, i, i+1), true
	}
	if c.Draw == nil {
		return changed, nil
	}
	drawn, err := draw(l, *c.Draw)
	if changed {
		return true, nil
	}
	return drawn, err
}

// mergeChanges makes several holders' changes of one ledger, in their order. lots are
// the holding's lots of the budget. It returns the ledger's value, nil when
// nothing changes, the lots after it, and an error for each change. Errors:
// KindNotFound without a ledger, KindInternal when ledger and holding don't fit
// together.
func mergeChanges(cur turmericshed.Item, lots []Lot, changes []Change) (value []byte, after []Lot, errs []error, err error) {
	var prev *Ledger
	var next Ledger
	if cur.Version != 0 {
		was, err := Decode(cur)
		if err != nil {
			return nil, lots, nil, err
		}
		if rest := was.Elsewhere.minus(sumOf(lots)); !rest.valid() {
			// One of them is older than the other.
			return nil, lots, nil, turmericshed.NewError(turmericshed.KindInternal, "ledger %s does not count what a holding has: %+v are left for the others",
				was.Budget, rest)
		}
		prev, next = &was, was.Join(lots)
	} else {
		i := slices.IndexFunc(changes, func(c Change) bool { return c.Prepaid > 0 })
		if i < 0 || len(lots) > 0 {
			return nil, lots, nil, turmericshed.NewError(turmericshed.KindNotFound, "no ledger under %s, %d lots", cur.Key, len(lots))
		}
		next = Ledger{Budget: changes[i].Budget, Profile: changes[i].Profile}
	}
	changed := false
	errs = make([]error, len(changes))
	for i, c := range changes {
		var did bool
		did, errs[i] = c.apply(&next)
		changed = changed || did
	}
	if !changed {
		return nil, lots, errs, nil
	}
	after = slices.Clone(next.Lots)
	next.Elsewhere, next.Lots = next.Elsewhere.plus(sumOf(next.Lots)), nil
	value, err = seal(prev, &next)
	return value, after, errs, err
}

// sortedBudgets returns the budgets in order.
func sortedBudgets[V any](m map[turmericshed.BudgetID]V) []turmericshed.BudgetID {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare[turmericshed.BudgetID])
}
