package tsholder

import (
	"context"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
)

// Reconciler aligns a ledger's prepaid amount with its profile.
type Reconciler interface {
	// Stale reports whether the ledger, as last read, differs from the profile.
	Stale(known tsbudget.Summary, p turmericshed.Profile) bool
	// Repair writes the ledger and returns it.
	Repair(ctx context.Context, s turmericshed.Store, p turmericshed.Profile) (turmericshed.Item, error)
}

var (
	_ Reconciler = EditedProfiles{}
	_ Reconciler = RoutingTableProfiles{}
)

// EditedProfiles is for profile documents that operators edit. It finishes unfinished edits.
type EditedProfiles struct{}

// Stale reports whether the ledger was read and has another prepaid amount than the profile.
func (EditedProfiles) Stale(known tsbudget.Summary, p turmericshed.Profile) bool {
	return known.Read && known.Limit != p.Prepaid
}

// Repair finishes an unfinished edit of the profile document and its ledger.
func (EditedProfiles) Repair(ctx context.Context, s turmericshed.Store, p turmericshed.Profile) (turmericshed.Item, error) {
	return Repair(ctx, s, p.Budget, p.Name)
}

// RoutingTableProfiles is for profiles from a routing table, where an account's prepaid amount never
// decreases. It creates ledgers and raises their amounts.
type RoutingTableProfiles struct{}

// Stale reports whether the ledger was not read yet, or has a lower prepaid amount than the
// profile.
func (RoutingTableProfiles) Stale(known tsbudget.Summary, p turmericshed.Profile) bool {
	return !known.Read || known.Limit < p.Prepaid
}

// Repair creates the ledger, or raises its amount.
func (RoutingTableProfiles) Repair(ctx context.Context, s turmericshed.Store, p turmericshed.Profile) (turmericshed.Item, error) {
	return tsupdate.Run(ctx, s, tsupdate.New(tsbudget.Key(p.Budget), tsbudget.Grant(p.Budget, p.Name, p.Prepaid)))
}
