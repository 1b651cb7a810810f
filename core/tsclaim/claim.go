// Package tsclaim holds the durable claims on non-idempotent calls and their
// pure transitions.
//
// A call is identified by its client account and idempotency key, and bound
// to a digest of its body. Its entry lives in one document, the head of the
// slot that the key hashes to, so that one compare-and-swap decides who may
// run it. The states are:
//
//	absent ──claim──▶ open ──complete──▶ done
//	                  │  ▲                ▲
//	          abandon │  │ claim          │ complete, resolve
//	                  ▼  │                │
//	              abandoned   open ──▶ in_doubt ──refuse──▶ not_run
//
// A runner is the only one that may dispatch under its claim, and it may be
// paused between any two instructions. Nobody else can tell whether it still
// will. So only the runner itself abandons a claim, after it has barred the
// claim in its own memory; an abandoned claim may be taken again. Everybody
// else may only mark the claim in doubt, which bars retries for good, and
// settle it from evidence: an answer found at the service, or a person's word.
// A call that a person settles as not run is not taken again under its key
// either, since the runner may still wake.
//
// Every operation is idempotent by its claim's identifier. Two owners of a
// slot, a repeated operation and a write that lands late are harmless.
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

// Slots is the number of slots that claims are spread over. It bounds the
// writes a second together with the interval between the writes of a slot.
const Slots = 8

// idBytes is the length of a call's identifier before hex encoding.
const idBytes = 16

// digestHexChars is how much of the hex digest of a body an entry keeps.
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

// Slot returns the slot that the call belongs to.
func (id ID) Slot() int {
	h1, _ := id.hashes()
	return int(h1 % Slots)
}

// hashes returns the two halves of the identifier.
func (id ID) hashes() (h1, h2 uint64) {
	b, err := hex.DecodeString(string(id))
	if err != nil || len(b) != idBytes {
		sum := sha256.Sum256([]byte(id))
		b = sum[:idBytes]
	}
	return binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
}

// ServiceKey returns the idempotency key under which the call is sent to a
// plain service. It differs between client accounts that use the same key.
func ServiceKey(account turmericshed.AccountID, key string) string {
	return "ts-" + string(NewID(account, key))
}

// State is where a call stands.
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
	// Digest is the beginning of the hex digest of the body.
	Digest  turmericshed.Digest      `json:"digest"`
	Account turmericshed.AccountID   `json:"account,omitempty"`
	Profile turmericshed.ProfileName `json:"profile,omitempty"`
	Service string                   `json:"service,omitempty"`
	Key     string                   `json:"key,omitempty"`
	Request turmericshed.RequestID   `json:"request,omitempty"`
	// At is when the entry last changed, by the writer's clock.
	At time.Time `json:"at"`
	// Reason tells why the claim is in doubt or how it was settled.
	Reason string `json:"reason,omitempty"`
	// By is who settled a claim in doubt.
	By string `json:"by,omitempty"`
	// Answer is the whole answer of a done call; empty when AnswerKey names
	// the key that holds it.
	Answer    *turmericshed.Answer `json:"answer,omitempty"`
	AnswerKey string               `json:"answer_key,omitempty"`
}

// OpKind is what an operation does to an entry.
type OpKind int

// The kinds of operations.
const (
	// OpClaim opens the claim for the runner, where nobody holds it.
	OpClaim OpKind = iota + 1
	// OpComplete keeps the answer. Only the runner issues it.
	OpComplete
	// OpAbandon gives the claim up. Only the runner issues it, after it
	// barred the claim in its own memory.
	OpAbandon
	// OpDoubt bars retries, because the call may have run.
	OpDoubt
	// OpResolve keeps an answer that was found at the service or stated by
	// a person.
	OpResolve
	// OpRefuse keeps a person's word that the call did not run.
	OpRefuse
)

// Op is one operation on a call.
type Op struct {
	Kind  OpKind               `json:"kind"`
	ID    ID                   `json:"id"`
	Claim turmericshed.ClaimID `json:"claim"`
	// Entry holds the call for OpClaim, the answer for OpComplete and
	// OpResolve, and Reason and By for the others.
	Entry Entry `json:"entry"`
	// NeverSent is set on OpAbandon when the runner still holds the claim
	// and knows that nothing was sent; it then also lifts a doubt that
	// others raised.
	NeverSent bool `json:"never_sent,omitempty"`
	// Person is set on OpResolve by a person, which needs a claim in doubt.
	Person bool `json:"person,omitempty"`
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

// Result is what an operation met.
type Result struct {
	// Entry is the call's entry after the operation.
	Entry Entry
	// Found is false when there is no entry.
	Found bool
	// Changed is true when the operation changed the entry.
	Changed bool
	// Err is set when the operation was refused: KindKeyReused,
	// KindOverloaded (too many unsettled claims), KindNotFound (no such
	// claim) or KindConflict (the claim stands otherwise).
	Err error
}

// transition returns the entry after op. prev is nil for an absent call.
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

// settleCompleted keeps the first answer. A call that a person settled as not run
// is corrected when it turns out that it ran.
func settleCompleted(e Entry, op Op, conflict error) (Entry, error) {
	switch {
	case e.State == StateDone:
		return e, nil
	case e.State == StateAbandoned:
		return e, conflict
	case op.Person && e.State != StateInDoubt:
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

// isAllowedTransition lists the transitions that keep a call from running twice. It is
// checked on every write, apart from the code that makes the transitions.
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

// assertAllowedTransition keeps the promise that a claimed call is never claimed anew.
func assertAllowedTransition(id ID, prev *Entry, next Entry) {
	from := "absent"
	if prev != nil {
		from = fmt.Sprintf("%s by %s", prev.State, prev.Claim)
	}
	turmericshed.Assert(isAllowedTransition(prev, next), "claim_runs_once", "call %s: %s to %s by %s", id, from, next.State, next.Claim)
}
