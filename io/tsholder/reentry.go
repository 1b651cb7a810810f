package tsholder

import (
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// reclaimWait is how long after a restore of the store the tokens that other holders may still enter again
// count as unspent: until then, requests are refused because of the store, not as above the prepaid amount.
const reclaimWait = 10 * time.Second

// confirmLotsLocked records which of the held lots the holding has. Those that it has forgotten since the
// store came back from an older copy are entered again with the next request.
func (x *exchanger) confirmLotsLocked(holding turmericshed.Version) {
	h := x.h
	if holding.Era() > x.holding.Era() {
		x.holdingBefore = x.holding
	}
	isRestored := x.holdingBefore != 0 && holding.Era() > x.holding.Era()
	x.holding = max(x.holding, holding)
	for _, id := range h.core.Budgets() {
		h.core.ConfirmLots(id, x.lots[id], holding.Era())
		for _, l := range h.core.ForgottenLots(id, x.holding.Era()) {
			if isRestored {
				h.requestWrite()
				h.forgottenTokens.Add(float64(l.Charge()))
				h.cfg.Recorder.Record(turmericshed.Event{
					Name: turmericshed.EventLotForgotten, Lot: l.ID, Tokens: l.Charge(), Reason: "the store came back from an older copy; the lot is entered again",
				})
			}
		}
	}
}

// hasForgottenLots reports whether held lots have to be entered again.
func (x *exchanger) hasForgottenLots() bool {
	x.h.mu.Lock()
	defer x.h.mu.Unlock()
	return slices.ContainsFunc(x.h.core.Budgets(), func(id turmericshed.BudgetID) bool {
		return len(x.h.core.ForgottenLots(id, x.holding.Era())) > 0
	})
}

// addReentries adds the lots that the store has forgotten to a request.
func (x *exchanger) addReentries(r *tsbudget.Request) {
	x.h.mu.Lock()
	defer x.h.mu.Unlock()
	x.reentrySequence++
	for _, id := range x.h.core.Budgets() {
		lots := x.h.core.ForgottenLots(id, x.holding.Era())
		if len(lots) == 0 {
			continue
		}
		i := slices.IndexFunc(r.Changes, func(ch tsbudget.Change) bool { return ch.Budget == id })
		if i < 0 {
			i = len(r.Changes)
			r.Changes = append(r.Changes, tsbudget.Change{Budget: id})
		}
		ch := &r.Changes[i]
		ch.Reentry = &tsbudget.Reentry{Era: x.holding.Era(), Sequence: x.reentrySequence, Holder: r.Incarnation, Lots: lots}
		if b := x.h.budgets[id]; b != nil {
			ch.Reentry.Known = b.stateBefore
			ch.Profile, ch.Prepaid = b.profile.Name, b.profile.Prepaid
		}
	}
}

// noteEraLocked keeps what the ledger told before the store came back from an older copy. item replaces
// b.lastItem.
func (b *budget) noteEraLocked(item turmericshed.Item, l tsbudget.Ledger, now time.Time) {
	if before := b.lastItem.Version; before.Era() != 0 && item.Version.Era() > before.Era() {
		// The ledger without the lots of the holding, which may be from another time.
		if was, err := tsbudget.Decode(b.lastItem); err == nil {
			b.stateBefore, b.restoredAt = was.State(before, b.stateBefore), now
		}
	}
	b.lastItem, b.reclaimable = item, 0
	if l.Restored != nil && b.stateBefore.Version != 0 {
		b.reclaimable = l.Restored.Reclaimable
	}
}

// unspent returns the amount that is neither spent nor reported as used.
func (b *budget) unspent(now time.Time) turmericshed.Tokens {
	if now.Sub(b.restoredAt) < reclaimWait {
		return b.ledger.Unspent + b.reclaimable
	}
	return b.ledger.Unspent
}
