// Package tsclaim implements durable claims on non-idempotent calls as pure state
// transitions.
//
// A call is identified by its client account and idempotency key, and is bound to
// a digest of its body. Its entry is stored in one document, the head of the slot
// that the key hashes to, so that a single compare-and-swap decides who may run
// the call. The states are:
//
//	absent ──claim──▶ open ──complete──▶ done
//	                  │  ▲                ▲
//	          abandon │  │ claim          │ complete, resolve
//	                  ▼  │                │
//	              abandoned   open ──▶ in_doubt ──refuse──▶ not_run
//
// Only the runner may dispatch a call under its claim. The runner may be paused
// between any two instructions, and no other process can determine whether it
// will still dispatch. Therefore only the runner abandons a claim, after blocking
// it in its own memory; an abandoned claim may be taken again. Other processes may
// only mark the claim in doubt, which blocks retries permanently, and settle it
// from evidence: an answer found at the service, or an operator's statement. A
// call that an operator settles as not run is not claimed again under its key
// either, since the paused runner may still resume.
//
// Every operation is idempotent by the identifier of its claim. Two owners of a
// slot, a repeated operation and a delayed write are harmless.
//
// # Usage
//
//	h, err := tsclaim.DecodeHead(item.Value, slot)
//	res := h.Apply(tsclaim.Op{Kind: tsclaim.OpClaim, ID: id, Claim: c, ...}, now, archived)
//	if res.Err == nil && res.Changed {
//		value, err := h.Encode()
//	}
package tsclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"

	"turmericshed"
)

// Slots is the number of slots over which claims are distributed. Together with the
// interval between the writes of a slot it bounds the writes per second.
const Slots = 8

// idBytes is the length of a call's identifier before hex encoding.
const idBytes = 16

// digestHexChars is the length of the prefix of a body's hex digest that an entry
// stores.
const digestHexChars = 32

// ID identifies a call by client account and idempotency key.
type ID string

// NewID returns the identifier of the call with the given account and key.
func NewID(account turmericshed.AccountID, key string) ID {
	h := sha256.New()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(account)))
	h.Write(n[:])
	h.Write([]byte(account))
	h.Write([]byte(key))
	return ID(hex.EncodeToString(h.Sum(nil)[:idBytes]))
}

// Slot returns the slot of the call.
func (id ID) Slot() int {
	h1, _ := id.hashes()
	return int(h1 % Slots)
}

// hashes returns the two halves of the identifier as integers.
func (id ID) hashes() (h1, h2 uint64) {
	b, err := hex.DecodeString(string(id))
	if err != nil || len(b) != idBytes {
		sum := sha256.Sum256([]byte(id))
		b = sum[:idBytes]
	}
	return binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
}

// ServiceKey returns the idempotency key under which the call is sent to a plain
// service. It differs between client accounts that use the same key.
func ServiceKey(account turmericshed.AccountID, key string) string {
	return "ts-" + string(NewID(account, key))
}

// State is the state of a claim.
type State string

// The states of an entry.
const (
	StateOpen      State = "open"
	StateDone      State = "done"
	StateInDoubt   State = "in_doubt"
	StateAbandoned State = "abandoned"
	StateNotRun    State = "not_run"
)

// Entry is the claim on one call.
type Entry struct {
	Claim  turmericshed.ClaimID     `json:"claim"`
	Runner turmericshed.Incarnation `json:"runner,omitempty"`
	State  State                    `json:"state"`
	// Digest is the prefix of the body's hex digest.
	Digest  turmericshed.Digest      `json:"digest"`
	Account turmericshed.AccountID   `json:"account,omitempty"`
	Profile turmericshed.ProfileName `json:"profile,omitempty"`
	Service string                   `json:"service,omitempty"`
	Key     string                   `json:"key,omitempty"`
	Request turmericshed.RequestID   `json:"request,omitempty"`
	// At is when the entry last changed, by the writer's clock.
	At time.Time `json:"at"`
	// Reason is why the claim is in doubt, or how it was settled.
	Reason string `json:"reason,omitempty"`
	// By names the operator who settled a claim in doubt.
	By string `json:"by,omitempty"`
	// Answer is the complete answer of a done call. It is nil when AnswerKey names
	// the key that holds the answer.
	Answer    *turmericshed.Answer `json:"answer,omitempty"`
	AnswerKey string               `json:"answer_key,omitempty"`
}

// OpKind is the kind of an operation on an entry.
type OpKind int

// The kinds of operations.
const (
	// OpClaim opens the claim for the runner, unless another claim holds the call.
	OpClaim OpKind = iota + 1
	// OpComplete stores the answer. Only the runner issues it.
	OpComplete
	// OpAbandon releases the claim. Only the runner issues it, after blocking the
	// claim in its own memory.
	OpAbandon
	// OpDoubt marks the claim in doubt, which blocks retries because the call may
	// have run.
	OpDoubt
	// OpResolve stores an answer that was found at the service or stated by an
	// operator.
	OpResolve
	// OpRefuse records an operator's statement that the call did not run.
	OpRefuse
)

// Op is one operation on a call.
type Op struct {
	Kind  OpKind               `json:"kind"`
	ID    ID                   `json:"id"`
	Claim turmericshed.ClaimID `json:"claim"`
	// Entry holds the call for OpClaim, the answer for OpComplete and OpResolve,
	// and Reason and By for the other operations.
	Entry Entry `json:"entry"`
	// NeverSent is set on OpAbandon when the runner still holds the claim and has
	// not sent the call. The operation then also abandons a claim that other
	// processes marked in doubt.
	NeverSent bool `json:"never_sent,omitempty"`
	// ByOperator is set when an operator issues OpResolve. The claim must then be in
	// doubt.
	ByOperator bool `json:"person,omitempty"`
}

// ClaimOp returns the operation that claims call c for a runner.
func ClaimOp(c turmericshed.Call, claim turmericshed.ClaimID, runner turmericshed.Incarnation) Op {
	return Op{Kind: OpClaim, ID: NewID(c.Account, c.Key), Claim: claim, Entry: Entry{
		Runner: runner, Digest: truncateDigest(c.Digest), Account: c.Account, Profile: c.Profile,
		Service: c.Service, Key: c.Key, Request: c.Request,
	}}
}

func truncateDigest(d turmericshed.Digest) turmericshed.Digest {
	if len(d) > digestHexChars {
		return d[:digestHexChars]
	}
	return d
}

// Result is the outcome of an operation.
type Result struct {
	// Entry is the call's entry after the operation.
	Entry Entry
	// Found reports whether the call has an entry.
	Found bool
	// Changed reports whether the operation changed the entry.
	Changed bool
	// Err is set when the operation was refused: KindKeyReused,
	// KindOverloaded (too many unsettled claims), KindNotFound (no claim
	// on the call), KindConflict (another claim holds the call, or the
	// claim's state does not permit the operation) or KindBadRequest
	// (unknown operation).
	Err error
}

// transition applies op to an entry. prev is nil for an absent call.
func transition(prev *Entry, op Op, now time.Time) Result {
	if op.Kind == OpClaim {
		return transitionClaim(prev, op, now)
	}
	if prev == nil {
		return Result{Err: turmericshed.NewError(turmericshed.KindNotFound, "no claim for call %s", op.ID)}
	}
	res := Result{Entry: *prev, Found: true}
	if prev.Claim != op.Claim {
		res.Err = turmericshed.NewError(turmericshed.KindConflict, "call %s is held by another claim", op.ID)
		return res
	}
	next, err := settle(*prev, op)
	if err != nil {
		res.Err = err
		return res
	}
	if next.State != prev.State {
		next.At = now
		res.Entry, res.Changed = next, true
	}
	return res
}

func transitionClaim(prev *Entry, op Op, now time.Time) Result {
	if prev != nil && (prev.State != StateAbandoned || prev.Claim == op.Claim) {
		res := Result{Entry: *prev, Found: true}
		if prev.Digest != op.Entry.Digest {
			res.Err = turmericshed.NewError(turmericshed.KindKeyReused, "idempotency key was used with another body")
		}
		return res
	}
	e := op.Entry
	e.Claim, e.State, e.At = op.Claim, StateOpen, now
	return Result{Entry: e, Found: true, Changed: true}
}

// settle applies an operation other than OpClaim to the claim it names.
func settle(e Entry, op Op) (Entry, error) {
	conflict := turmericshed.NewError(turmericshed.KindConflict, "call %s is %s", op.ID, e.State)
	switch op.Kind {
	case OpComplete, OpResolve:
		return settleCompleted(e, op, conflict)
	case OpAbandon:
		if e.State == StateOpen || e.State == StateInDoubt && op.NeverSent {
			e.State, e.Reason = StateAbandoned, op.Entry.Reason
			return e, nil
		}
		if e.State != StateAbandoned {
			return e, conflict
		}
	case OpDoubt:
		if e.State == StateOpen {
			e.State, e.Reason = StateInDoubt, op.Entry.Reason
		}
	case OpRefuse:
		if e.State == StateInDoubt {
			e.State, e.Reason, e.By = StateNotRun, op.Entry.Reason, op.Entry.By
			return e, nil
		}
		if e.State != StateNotRun {
			return e, conflict
		}
	default:
		return e, turmericshed.NewError(turmericshed.KindBadRequest, "unknown operation %d", int(op.Kind))
	}
	return e, nil
}

// settleCompleted stores the answer of a call that ran; the first answer is retained. A
// call that an operator settled as not run is corrected when it turns out to have run.
func settleCompleted(e Entry, op Op, conflict error) (Entry, error) {
	switch {
	case e.State == StateDone:
		return e, nil
	case e.State == StateAbandoned:
		return e, conflict
	case op.ByOperator && e.State != StateInDoubt:
		return e, conflict
	case e.State == StateNotRun:
		e.Reason = "ran after it was settled as not run by " + e.By
	}
	e.State, e.Answer, e.AnswerKey = StateDone, op.Entry.Answer, op.Entry.AnswerKey
	if op.Entry.By != "" {
		e.By = op.Entry.By
	}
	return e, nil
}

// isAllowedTransition reports whether a transition preserves the guarantee that a call
// does not run twice. It is checked on every write, independently of the code that
// makes the transitions.
func isAllowedTransition(prev *Entry, next Entry) bool {
	if prev == nil {
		return next.State == StateOpen
	}
	if prev.Claim != next.Claim {
		return prev.State == StateAbandoned && next.State == StateOpen
	}
	switch prev.State {
	case StateOpen:
		return next.State == StateDone || next.State == StateInDoubt || next.State == StateAbandoned
	case StateInDoubt:
		return next.State == StateDone || next.State == StateNotRun || next.State == StateAbandoned
	case StateNotRun:
		return next.State == StateDone
	default:
		return false
	}
}

// assertAllowedTransition asserts that a claimed call is never claimed again, except
// after its runner abandoned it.
func assertAllowedTransition(id ID, prev *Entry, next Entry) {
	from := "absent"
	if prev != nil {
		from = fmt.Sprintf("%s by %s", prev.State, prev.Claim)
	}
	turmericshed.Assert(isAllowedTransition(prev, next), "claim_runs_once", "call %s: %s to %s by %s", id, from, next.State, next.Claim)
}
