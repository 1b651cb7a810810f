package tsholder

import (
	"context"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
)

// PutProfile writes a complete profile, on the condition that its stored version is still base, the
// version that the operator edited; 0 creates a new profile. It writes the profile and its ledger
// in the safe order and finishes any unfinished earlier edit. It may be repeated: a profile that is
// already in force is a success. A new profile, or one that was closed, needs a new BudgetID; see
// [NewBudgetID]. p.Closed closes it. Errors: KindConflict if another edit was written first, or
// with a *tsbudget.AmountTooLowError if the amount is too low; KindBadRequest; the store's kinds.
func PutProfile(ctx context.Context, s turmericshed.Store, p turmericshed.Profile, base turmericshed.Version) (turmericshed.Profile, error) {
	if p.Name == "" || p.Budget == "" || p.Prepaid < 0 {
		return p, turmericshed.NewError(turmericshed.KindBadRequest, "profile %q: want a name, a budget id and a prepaid amount of zero or more", p.Name)
	}
	seq := tsbudget.NewEdit(tsbudget.Edit{Profile: p, Base: base})
	_, item, err := runSequence(ctx, s, seq)
	if err != nil {
		return p, err
	}
	return tsbudget.DecodeProfile(item)
}

// CloseProfile closes a profile: no new lots are drawn, and the open ones are recalled. Errors: as
// [PutProfile].
func CloseProfile(ctx context.Context, s turmericshed.Store, p turmericshed.Profile) (turmericshed.Profile, error) {
	p.Closed = true
	return PutProfile(ctx, s, p, p.Version)
}

// Repair finishes an unfinished edit of a profile, whichever process started it, so that the ledger
// matches the profile. It returns the ledger.
func Repair(ctx context.Context, s turmericshed.Store, budget turmericshed.BudgetID, profile turmericshed.ProfileName) (turmericshed.Item, error) {
	ledger, _, err := runSequence(ctx, s, tsbudget.NewRepair(budget, profile))
	return ledger, err
}

// ReadLedger reads a budget's ledger. Errors: KindNotFound, the store's
// kinds.
func ReadLedger(ctx context.Context, s turmericshed.Store, budget turmericshed.BudgetID) (tsbudget.Ledger, error) {
	item, err := s.Get(ctx, tsbudget.Key(budget))
	if err != nil {
		return tsbudget.Ledger{}, err
	}
	item.Key = tsbudget.Key(budget)
	return tsbudget.Decode(item)
}

// NewBudgetID returns a new unique budget id.
func NewBudgetID() turmericshed.BudgetID { return turmericshed.BudgetID(turmericshed.NewID("budget-")) }

// runSequence executes the steps of a sequence until it is finished.
func runSequence(ctx context.Context, s turmericshed.Store, seq *tsbudget.EditSequence) (ledger, profile turmericshed.Item, err error) {
	for !seq.Finished() {
		seq.Handle(tsupdate.Do(ctx, s, seq.Step()))
	}
	return seq.Result()
}
