package tsholder

import (
	"context"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
)

// Keeper brings a ledger's prepaid amount in line with its profile.
type Keeper interface {
	// Stale reports whether the ledger, as far as it is known, differs.
	Stale(known tsbudget.Summary, p turmericshed.Profile) bool
	// Repair writes the ledger and returns it.
	Repair(ctx context.Context, s turmericshed.Store, p turmericshed.Profile) (turmericshed.Item, error)
}

var (
	_ Keeper = EditedProfiles{}
	_ Keeper = GrantedProfiles{}
)

// EditedProfiles finishes what operators' edits of profile documents left.
type EditedProfiles struct{}

// Stale compares with a ledger that was read.
func (EditedProfiles) Stale(known tsbudget.Summary, p turmericshed.Profile) bool {
	return known.Read && known.Limit != p.Prepaid
}

// Repair reads the profile's document and the ledger.
func (EditedProfiles) Repair(ctx context.Context, s turmericshed.Store, p turmericshed.Profile) (turmericshed.Item, error) {
	return Repair(ctx, s, p.Budget, p.Name)
}

// GrantedProfiles makes and raises ledgers by profiles that come from a
// routing table, where an account's prepaid amount only ever grows.
type GrantedProfiles struct{}

// Stale is true for a ledger that was not read, or that lacks a raise.
func (GrantedProfiles) Stale(known tsbudget.Summary, p turmericshed.Profile) bool {
	return !known.Read || known.Limit < p.Prepaid
}

// Repair makes the ledger, or raises its amount.
func (GrantedProfiles) Repair(ctx context.Context, s turmericshed.Store, p turmericshed.Profile) (turmericshed.Item, error) {
	return tsupdate.Run(ctx, s, tsupdate.New(tsbudget.Key(p.Budget), tsbudget.Grant(p.Budget, p.Name, p.Prepaid)))
}
