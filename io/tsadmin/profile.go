package tsadmin

import (
	"context"
	"fmt"
	"strings"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsprofile"
	"turmericshed/io/tsholder"
)

// Profile returns a profile with its version. Errors: KindUnknownProfile,
// KindStoreUnavailable.
func (a *Admin) Profile(ctx context.Context, name turmericshed.ProfileName) (turmericshed.Profile, error) {
	it, err := a.cfg.Store.Get(ctx, tsbudget.ProfileKey(name))
	if err != nil {
		return turmericshed.Profile{}, err
	}
	return tsbudget.DecodeProfile(it)
}

// Ledger returns the ledger of a profile's budget. Errors: KindNotFound,
// KindStoreUnavailable.
func (a *Admin) Ledger(ctx context.Context, p turmericshed.Profile) (tsbudget.Ledger, error) {
	return tsholder.ReadLedger(ctx, a.cfg.Store, p.Budget)
}

// Profiles returns every profile in order of name.
func (a *Admin) Profiles(ctx context.Context) ([]turmericshed.Profile, error) {
	return listDocuments(ctx, a.cfg.Store, turmericshed.ProfilePrefix, func(p *turmericshed.Profile, v turmericshed.Version) { p.Version = v })
}

// PutProfile creates a profile (version 0) or replaces the given version of it. It
// fills in the budget, the editor and the edit time. Errors: KindBadRequest;
// KindConflict with the last editor and the differences, or with a
// *tsbudget.AmountTooLowError; KindStoreUnavailable (nothing changed); KindStoreUnknown
// (the edit may have been written).
func (a *Admin) PutProfile(ctx context.Context, p turmericshed.Profile, version turmericshed.Version) (turmericshed.Profile, error) {
	if err := ValidateProfile(p); err != nil {
		return p, err
	}
	cur, err := a.Profile(ctx, p.Name)
	if err != nil && turmericshed.KindOf(err) != turmericshed.KindUnknownProfile {
		return p, err
	}
	if cur.Version != version {
		return p, versionConflictError(p, cur, version)
	}
	return a.writeProfile(ctx, cur, p)
}

// EditProfile applies change to the current profile and writes the result; a version
// other than 0 must be the current one. Errors: those of PutProfile and of change,
// and KindUnknownProfile.
func (a *Admin) EditProfile(ctx context.Context, name turmericshed.ProfileName, version turmericshed.Version, change func(p *turmericshed.Profile) error) (turmericshed.Profile, error) {
	cur, err := a.Profile(ctx, name)
	if err != nil {
		return cur, err
	}
	next := cur
	next.Accounts = append([]turmericshed.AccountLimit(nil), cur.Accounts...)
	next.Services = append([]string(nil), cur.Services...)
	if err := change(&next); err != nil {
		return cur, err
	}
	if version != 0 && cur.Version != version {
		return cur, versionConflictError(next, cur, version)
	}
	if next.Name != cur.Name {
		return cur, invalidFieldError("name %q: a profile keeps its name", next.Name)
	}
	if err := ValidateProfile(next); err != nil {
		return cur, err
	}
	return a.writeProfile(ctx, cur, next)
}

// writeProfile replaces cur, the version on which the edit is based, by next.
func (a *Admin) writeProfile(ctx context.Context, cur, next turmericshed.Profile) (turmericshed.Profile, error) {
	next.Budget = cur.Budget
	if cur.Version == 0 || (cur.Closed && !next.Closed) {
		// A closed budget is never reopened, so a new budget never has lots of
		// an old one.
		next.Budget = tsholder.NewBudgetID()
	}
	next.EditedBy, next.EditedAt = a.cfg.Operator, a.cfg.Now().UTC()
	p, err := tsholder.PutProfile(ctx, a.cfg.Store, next, cur.Version)
	if turmericshed.KindOf(err) == turmericshed.KindConflict {
		latest, readErr := a.Profile(ctx, cur.Name)
		if readErr == nil && latest.Version != cur.Version {
			return cur, lostRaceError(cur, latest)
		}
	}
	return p, err
}

// lostRaceError returns the error of an edit of base that lost a race; it describes
// what the winning edit changed.
func lostRaceError(base, latest turmericshed.Profile) error {
	return turmericshed.NewError(turmericshed.KindConflict, "profile %s is now version %d, edited by %q at %s: %s",
		latest.Name, latest.Version, latest.EditedBy, latest.EditedAt.UTC().Format(timeFormat), describeChanges(tsprofile.Changes(base, latest)))
}

// versionConflictError returns the error of an edit that expects a version other than
// the current one; it describes how the wanted profile differs from the current one.
func versionConflictError(wanted, cur turmericshed.Profile, version turmericshed.Version) error {
	if cur.Version == 0 {
		return turmericshed.NewError(turmericshed.KindConflict, "profile %s does not exist, so it has no version %d", wanted.Name, version)
	}
	wanted.Budget = cur.Budget
	return turmericshed.NewError(turmericshed.KindConflict, "profile %s has version %d, not %d, edited by %q at %s; yours would change %s",
		cur.Name, cur.Version, version, cur.EditedBy, cur.EditedAt.UTC().Format(timeFormat), describeChanges(tsprofile.Changes(cur, wanted)))
}

// timeFormat is the layout of UTC times in messages to operators.
const timeFormat = "2006-01-02T15:04:05Z"

func describeChanges(changes []tsprofile.Change) string {
	if len(changes) == 0 {
		return "nothing"
	}
	parts := make([]string, 0, len(changes))
	for _, c := range changes {
		parts = append(parts, fmt.Sprint(c))
	}
	return strings.Join(parts, "; ")
}

// DeleteProfile closes a profile, which recalls its budget, and deletes it; a version
// other than 0 must be the current one. Errors: KindUnknownProfile,
// KindConflict, KindStoreUnavailable, KindStoreUnknown.
func (a *Admin) DeleteProfile(ctx context.Context, name turmericshed.ProfileName, version turmericshed.Version) error {
	p, err := a.EditProfile(ctx, name, version, func(p *turmericshed.Profile) error {
		p.Closed = true
		return nil
	})
	if err != nil {
		return err
	}
	return a.deleteKey(ctx, tsbudget.ProfileKey(name), p.Version)
}
