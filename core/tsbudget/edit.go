package tsbudget

import (
	"bytes"
	"encoding/json"
	"fmt"

	"turmericshed"
	"turmericshed/core/tsupdate"
)

// An edit of a profile changes two keys, the profile and its ledger, with separate writes. The
// order of the writes preserves "spent + open lots <= the profile's prepaid amount" at every step:
//
//   - A new profile: the ledger is created first.
//   - A raise is written to the profile, then to the ledger.
//   - A reduction is written to the ledger as a pending edit, which has the version of the profile
//     that it is based on (Base) and limits draws at once; then to the profile, on the condition that
//     it still has that version; then the pending edit is removed and the ledger takes the profile's
//     amount.
//   - Closing is written to the profile, then the ledger is recalled.
//
// A pending edit may be removed only once the profile's version differs from Base: from then on,
// the edit's write of the profile can no longer succeed. Any process that finds a pending edit
// finishes it by writing the same profile.
//
// Each step reads the ledger first and the profile second, and writes one of them on the condition
// that its version is unchanged. Since a reduction must change the ledger before the profile, an
// unchanged ledger proves that the amount read from the profile was not reduced in between.

// Edit is a complete new document of a profile. Base is the version of the old one; 0 for a
// profile that does not exist.
type Edit struct {
	Profile turmericshed.Profile
	Base    turmericshed.Version
}

// AmountTooLowError reports the lowest prepaid amount that is possible now.
type AmountTooLowError struct {
	Wanted turmericshed.Tokens
	Lowest turmericshed.Tokens
}

// Error implements error.
func (e *AmountTooLowError) Error() string {
	return fmt.Sprintf("prepaid %d is below what is spent or out: the lowest possible now is %d", e.Wanted, e.Lowest)
}

// ProfileKey returns the store's key of a profile.
func ProfileKey(name turmericshed.ProfileName) string {
	return turmericshed.ProfilePrefix + string(name)
}

// DecodeProfile reads a profile and sets its version. Errors: KindUnknownProfile for an absent
// key, KindInternal for a value that is not a profile.
func DecodeProfile(item turmericshed.Item) (turmericshed.Profile, error) {
	var p turmericshed.Profile
	if item.Version == 0 {
		return p, turmericshed.NewError(turmericshed.KindUnknownProfile, "no profile under %s", item.Key)
	}
	if err := json.Unmarshal(item.Value, &p); err != nil {
		return p, turmericshed.WrapError(turmericshed.KindInternal, err, "profile %s", item.Key)
	}
	p.Version = item.Version
	return p, nil
}

// PlanEdit returns the next write of an edit, or nil once the edit is in force. Both items must
// have been read after the last write, the ledger first. Errors: KindBadRequest; KindConflict if
// another edit was written first, or with a *AmountTooLowError if the amount is too low.
func PlanEdit(e Edit, ledger, profile turmericshed.Item) (*turmericshed.Write, error) {
	want, err := json.Marshal(e.Profile)
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindBadRequest, err, "profile %s", e.Profile.Name)
	}
	if profile.Version != e.Base {
		return planAfterBase(e, want, ledger, profile)
	}
	if ledger.Version == 0 {
		return planCreate(e, ledger, profile)
	}
	l, err := Decode(ledger)
	if err != nil {
		return nil, err
	}
	if l.Profile != e.Profile.Name || l.Recalled {
		return nil, turmericshed.NewError(turmericshed.KindConflict, "budget %s is recalled or belongs to profile %s", l.Budget, l.Profile)
	}
	write := &turmericshed.Write{Key: profile.Key, ExpectedVersion: e.Base, Value: want}
	if profile.Version == 0 {
		return write, nil
	}
	old, err := DecodeProfile(profile)
	if err != nil {
		return nil, err
	}
	switch {
	case old.Budget != e.Profile.Budget:
		if !old.Closed {
			return nil, turmericshed.NewError(turmericshed.KindConflict, "profile %s: close it before it gets a new budget", old.Name)
		}
		return write, nil
	case old.Closed:
		return nil, turmericshed.NewError(turmericshed.KindConflict, "profile %s is closed", old.Name)
	case l.Pending != nil && l.Pending.Base == profile.Version:
		return pendingProfileWrite(l, profile), nil
	case l.Pending != nil:
		return planLedgerRepair(l, ledger, old)
	case e.Profile.Prepaid < old.Prepaid:
		return planReduction(e, want, l, ledger)
	default:
		return write, nil
	}
}

// planCreate creates the ledger. If the profile exists without a ledger, the ledger starts at the
// lower of both amounts, since the edit may still fail.
func planCreate(e Edit, ledger, profile turmericshed.Item) (*turmericshed.Write, error) {
	amount := e.Profile.Prepaid
	if old, err := DecodeProfile(profile); err == nil && old.Budget == e.Profile.Budget {
		amount = min(amount, old.Prepaid)
	}
	value, err := Create(e.Profile.Budget, e.Profile.Name, amount)(ledger)
	if err != nil {
		return nil, err
	}
	return &turmericshed.Write{Key: ledger.Key, Value: value}, nil
}

// planAfterBase handles a profile whose version is no longer the edit's base: either this edit has
// been written, or another one was written first.
func planAfterBase(e Edit, want []byte, ledger, profile turmericshed.Item) (*turmericshed.Write, error) {
	w, err := PlanRepair(ledger, profile)
	if w != nil || err != nil {
		return w, err
	}
	if bytes.Equal(profile.Value, want) {
		return nil, nil
	}
	p, err := DecodeProfile(profile)
	if err != nil {
		return nil, err
	}
	return nil, turmericshed.NewError(turmericshed.KindConflict, "profile %s: edited by %q at %s, now version %d, not %d",
		p.Name, p.EditedBy, p.EditedAt.Format("15:04:05"), p.Version, e.Base)
}

// planReduction writes the reduction to the ledger as a pending edit.
func planReduction(e Edit, want []byte, l Ledger, ledger turmericshed.Item) (*turmericshed.Write, error) {
	amount := e.Profile.Prepaid
	if lowest := l.Spent + l.OpenCharge(); amount < lowest {
		return nil, turmericshed.WrapError(turmericshed.KindConflict, &AmountTooLowError{Wanted: amount, Lowest: lowest}, "profile %s", l.Profile)
	}
	next := l.clone()
	next.Pending = &PendingEdit{Amount: amount, Base: e.Base, Profile: want}
	return writeLedger(ledger, &l, &next)
}

// writeLedger returns the write of a ledger after its invariants are asserted.
func writeLedger(ledger turmericshed.Item, prev, next *Ledger) (*turmericshed.Write, error) {
	value, err := seal(prev, next)
	if err != nil {
		return nil, err
	}
	return &turmericshed.Write{Key: ledger.Key, ExpectedVersion: ledger.Version, Value: value}, nil
}

// pendingProfileWrite returns the write of the profile that an unfinished edit has left to make.
func pendingProfileWrite(l Ledger, profile turmericshed.Item) *turmericshed.Write {
	return &turmericshed.Write{Key: profile.Key, ExpectedVersion: l.Pending.Base, Value: l.Pending.Profile}
}

// PlanRepair returns the next write that makes the ledger consistent with its profile after an
// unfinished edit, or nil if nothing is left to do. Both items must have been read after the last
// write, the ledger first.
func PlanRepair(ledger, profile turmericshed.Item) (*turmericshed.Write, error) {
	l, err := Decode(ledger)
	if err != nil {
		return nil, err
	}
	p, err := DecodeProfile(profile)
	if err != nil {
		return nil, err
	}
	if l.Pending != nil && l.Pending.Base == p.Version {
		return pendingProfileWrite(l, profile), nil
	}
	return planLedgerRepair(l, ledger, p)
}

func planLedgerRepair(l Ledger, ledger turmericshed.Item, p turmericshed.Profile) (*turmericshed.Write, error) {
	next := l.clone()
	next.Pending = nil
	if p.Budget == l.Budget {
		// These edits cannot set a profile's amount below what is spent and in open lots. If it is
		// lower all the same, the ledger's amount stays in force.
		if p.Prepaid >= l.Spent+l.OpenCharge() {
			next.Prepaid = p.Prepaid
		}
	}
	next.Recalled = l.Recalled || p.Closed || p.Budget != l.Budget
	if next.Prepaid == l.Prepaid && next.Recalled == l.Recalled && l.Pending == nil {
		return nil, nil
	}
	return writeLedger(ledger, &l, &next)
}

// EditSequence drives PlanEdit or PlanRepair over a store, one call for each step: it reads the
// ledger, reads the profile, writes one of them, and repeats. After an ambiguous write it reads
// both again.
type EditSequence struct {
	ledgerKey  string
	profileKey string
	plan       func(ledger, profile turmericshed.Item) (*turmericshed.Write, error)

	state     sequenceState
	ledger    turmericshed.Item
	profile   turmericshed.Item
	nextWrite *turmericshed.Write
	writes    int
	ambiguous bool
	err       error
}

type sequenceState int

const (
	sequenceReadLedger sequenceState = iota
	sequenceReadProfile
	sequenceWrite
	sequenceDone
)

// maxSequenceWrites bounds the writes that one sequence attempts.
const maxSequenceWrites = 32

// NewEdit returns the sequence that puts an edit into force.
func NewEdit(e Edit) *EditSequence {
	return &EditSequence{
		ledgerKey: Key(e.Profile.Budget), profileKey: ProfileKey(e.Profile.Name),
		plan: func(ledger, profile turmericshed.Item) (*turmericshed.Write, error) {
			return PlanEdit(e, ledger, profile)
		},
	}
}

// NewRepair returns the sequence that finishes unfinished edits of a profile.
func NewRepair(budget turmericshed.BudgetID, profile turmericshed.ProfileName) *EditSequence {
	return &EditSequence{ledgerKey: Key(budget), profileKey: ProfileKey(profile), plan: PlanRepair}
}

// Finished reports whether the sequence has a result.
func (s *EditSequence) Finished() bool { return s.state == sequenceDone }

// Result returns the ledger and the profile as last read. KindStoreUnknown means that the edit may
// have been written or may still be.
func (s *EditSequence) Result() (ledger, profile turmericshed.Item, err error) {
	return s.ledger, s.profile, s.err
}

// Step returns the next store call.
func (s *EditSequence) Step() tsupdate.Step {
	switch s.state {
	case sequenceReadLedger:
		return tsupdate.Step{Read: true, Key: s.ledgerKey}
	case sequenceReadProfile:
		return tsupdate.Step{Read: true, Key: s.profileKey}
	default:
		return tsupdate.Step{Key: s.nextWrite.Key, Write: *s.nextWrite}
	}
}

// Handle processes the outcome of the last step.
func (s *EditSequence) Handle(r tsupdate.StepResult) {
	kind := turmericshed.KindOf(r.Err)
	if s.state == sequenceWrite && (kind == turmericshed.KindConflict || kind == turmericshed.KindStoreUnknown) && s.writes < maxSequenceWrites {
		s.ambiguous = s.ambiguous || kind == turmericshed.KindStoreUnknown
		s.state = sequenceReadLedger
		return
	}
	if r.Err != nil {
		s.fail(r.Err)
		return
	}
	switch s.state {
	case sequenceReadLedger:
		s.ledger, s.state = r.Item, sequenceReadProfile
		s.ledger.Key = s.ledgerKey
	case sequenceReadProfile:
		s.profile = r.Item
		s.profile.Key = s.profileKey
		s.planNext()
	default:
		s.state = sequenceReadLedger
	}
}

func (s *EditSequence) planNext() {
	w, err := s.plan(s.ledger, s.profile)
	switch {
	case err != nil:
		s.state, s.err = sequenceDone, err
	case w == nil:
		s.state = sequenceDone
	default:
		s.nextWrite, s.state = w, sequenceWrite
		s.writes++
	}
}

func (s *EditSequence) fail(err error) {
	if s.ambiguous {
		err = turmericshed.WrapError(turmericshed.KindStoreUnknown, err, "an earlier write got no answer")
	}
	s.state, s.err = sequenceDone, err
}
