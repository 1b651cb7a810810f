package tsholder

import (
	"context"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
)

// PutProfile puts a whole profile in force, for the version base that the
// operator saw; 0 makes a new one. It does the safe sequence over the profile
// and its ledger, and finishes what an earlier edit left half-made. It may be
// repeated: a profile that stands is done. A new profile, or one that was
// closed, needs a new BudgetID; see [NewBudgetID]. p.Closed closes it. Errors:
// KindConflict when another edit came first, or with a *tsbudget.LowestError
// when the amount is too low; KindBadRequest; the store's kinds.
func PutProfile(ctx context.Context, s turmericshed.Store, p turmericshed.Profile, base turmericshed.Version) (turmericshed.Profile, error) {
	if p.Name == "" || p.Budget == "" || p.Prepaid < 0 {
		return p, turmericshed.NewError(turmericshed.KindBadRequest, "profile %q: want a name, a budget id and a prepaid amount of zero or more", p.Name)
	}
	seq := tsbudget.NewEdit(tsbudget.Edit{Profile: p, Base: base})
	_, item, err := run(ctx, s, seq)
	if err != nil {
		return p, err
	}
	return tsbudget.DecodeProfile(item)
}

// CloseProfile closes a profile: no new lots, and the open ones are recalled.
func CloseProfile(ctx context.Context, s turmericshed.Store, p turmericshed.Profile) (turmericshed.Profile, error) {
	p.Closed = true
	return PutProfile(ctx, s, p, p.Version)
}

// Repair brings a ledger in line with its profile, whoever left it half-made,
// and returns the ledger.
func Repair(ctx context.Context, s turmericshed.Store, budget turmericshed.BudgetID, profile turmericshed.ProfileName) (turmericshed.Item, error) {
	ledger, _, err := run(ctx, s, tsbudget.NewRepair(budget, profile))
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

// NewBudgetID returns an identity for a new budget.
func NewBudgetID() turmericshed.BudgetID { return turmericshed.BudgetID(turmericshed.NewID("budget-")) }

func run(ctx context.Context, s turmericshed.Store, seq *tsbudget.Sequence) (ledger, profile turmericshed.Item, err error) {
	for !seq.Finished() {
		seq.Handle(tsupdate.Do(ctx, s, seq.Step()))
	}
	return seq.Result()
}
