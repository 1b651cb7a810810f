package tsbudget

import (
	"bytes"
	"encoding/json"
	"fmt"

	"turmericshed"
	"turmericshed/core/tsupdate"
)

// Editing a profile touches two keys, the profile and its ledger, and there
// is no write on both. The order keeps "spent + open lots <= what the profile
// says" true at every step:
//
//   - A new profile gets its ledger first.
//   - Raising goes to the profile, then to the ledger.
//   - Lowering goes to the ledger as a pending edit that names the profile's
//     version (Base) and takes the room away at once; then to the profile,
//     on the condition that it still has that version; then the pending mark
//     goes, and the ledger takes the profile's amount.
//   - Closing goes to the profile, then recalls the ledger.
//
// A pending mark may go only once the profile's version differs from Base:
// from then on the edit's write of the profile can never land. Whoever meets
// the mark finishes the edit by writing the same profile.
//
// Each step reads the ledger first and the profile second, and writes one of
// them on the version read. Since a lowering must change the ledger before it
// changes the profile, an unchanged ledger proves that the amount read from
// the profile was not lowered in between.

// Edit is the whole new document of a profile, made for the version Base of
// the old one; 0 for a profile that does not exist.
type Edit struct {
	Profile turmericshed.Profile
	Base    turmericshed.Version
}

// LowestError tells the lowest prepaid amount that can hold now.
type LowestError struct {
	Wanted turmericshed.Tokens
	Lowest turmericshed.Tokens
}

// Error describes the refusal.
func (e *LowestError) Error() string {
	return fmt.Sprintf("prepaid %d is below what is spent or out: the lowest possible now is %d", e.Wanted, e.Lowest)
}

// ProfileKey returns the store's key of a profile.
func ProfileKey(name turmericshed.ProfileName) string {
	return turmericshed.ProfilePrefix + string(name)
}

// DecodeProfile reads a profile and fills in its version. Errors:
// KindUnknownProfile for an absent key, KindInternal for another value.
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

// PlanEdit returns the next write of an edit, or nil when it is in force. Both
// items must have been read after the last write, the ledger first. Errors:
// KindBadRequest; KindConflict when another edit came first, or with a
// *LowestError when the amount is too low.
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
	write := &turmericshed.Write{Key: profile.Key, Want: e.Base, Value: want}
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
		return planLowering(e, want, l, ledger)
	default:
		return write, nil
	}
}

// planCreate makes the ledger. Where the profile stood without one, the
// ledger starts at the lower of both amounts, since the edit may yet lose.
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

// planAfterBase handles a profile whose version is no longer the edit's base:
// the edit stands, or another one came first.
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

// planLowering takes the room away in the ledger first.
func planLowering(e Edit, want []byte, l Ledger, ledger turmericshed.Item) (*turmericshed.Write, error) {
	amount := e.Profile.Prepaid
	if lowest := l.Spent + l.Open(); amount < lowest {
		return nil, turmericshed.WrapError(turmericshed.KindConflict, &LowestError{Wanted: amount, Lowest: lowest}, "profile %s", l.Profile)
	}
	next := l.clone()
	next.Pending = &PendingEdit{Amount: amount, Base: e.Base, Profile: want}
	return writeLedger(ledger, &l, &next)
}

// writeLedger returns the write of a checked ledger.
func writeLedger(ledger turmericshed.Item, prev, next *Ledger) (*turmericshed.Write, error) {
	value, err := seal(prev, next)
	if err != nil {
		return nil, err
	}
	return &turmericshed.Write{Key: ledger.Key, Want: ledger.Version, Value: value}, nil
}

// pendingProfileWrite writes the profile that a half-made edit wanted.
func pendingProfileWrite(l Ledger, profile turmericshed.Item) *turmericshed.Write {
	return &turmericshed.Write{Key: profile.Key, Want: l.Pending.Base, Value: l.Pending.Profile}
}

// PlanRepair returns the next write that brings the ledger in line with its
// profile, whoever left it half-made, or nil when nothing is left to do. Both
// items must have been read after the last write, the ledger first.
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
		// A profile below what is spent and out cannot come of these edits;
		// the ledger's own amount then stays in force.
		if p.Prepaid >= l.Spent+l.Open() {
			next.Prepaid = p.Prepaid
		}
	}
	next.Recalled = l.Recalled || p.Closed || p.Budget != l.Budget
	if next.Prepaid == l.Prepaid && next.Recalled == l.Recalled && l.Pending == nil {
		return nil, nil
	}
	return writeLedger(ledger, &l, &next)
}

// Sequence drives PlanEdit or PlanRepair over a store, one call a step: read
// the ledger, read the profile, write one of them, again. An ambiguous write
// is followed by reading both again.
type Sequence struct {
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

// maxSequenceWrites bounds the writes that one sequence tries.
const maxSequenceWrites = 32

// NewEdit returns the sequence that puts an edit in force.
func NewEdit(e Edit) *Sequence {
	return &Sequence{
		ledgerKey: Key(e.Profile.Budget), profileKey: ProfileKey(e.Profile.Name),
		plan: func(ledger, profile turmericshed.Item) (*turmericshed.Write, error) {
			return PlanEdit(e, ledger, profile)
		},
	}
}

// NewRepair returns the sequence that finishes what others left half-made.
func NewRepair(budget turmericshed.BudgetID, profile turmericshed.ProfileName) *Sequence {
	return &Sequence{ledgerKey: Key(budget), profileKey: ProfileKey(profile), plan: PlanRepair}
}

// Finished reports whether the sequence has a result.
func (s *Sequence) Finished() bool { return s.state == sequenceDone }

// Result returns the ledger and profile as last read. An error of
// KindStoreUnknown means that the edit may stand or may yet land.
func (s *Sequence) Result() (ledger, profile turmericshed.Item, err error) {
	return s.ledger, s.profile, s.err
}

// Step returns the next store call.
func (s *Sequence) Step() tsupdate.Step {
	switch s.state {
	case sequenceReadLedger:
		return tsupdate.Step{Read: true, Key: s.ledgerKey}
	case sequenceReadProfile:
		return tsupdate.Step{Read: true, Key: s.profileKey}
	default:
		return tsupdate.Step{Key: s.nextWrite.Key, Write: *s.nextWrite}
	}
}

// Handle takes the outcome of the last step.
func (s *Sequence) Handle(r tsupdate.Reply) {
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

func (s *Sequence) planNext() {
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

func (s *Sequence) fail(err error) {
	if s.ambiguous {
		err = turmericshed.WrapError(turmericshed.KindStoreUnknown, err, "an earlier write got no answer")
	}
	s.state, s.err = sequenceDone, err
}
