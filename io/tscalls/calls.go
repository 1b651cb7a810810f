// Package tscalls makes non-idempotent calls run at most once. It implements
// turmericshed.Claims over the platform's key-value service.
//
// Each claim is written durably before its call is sent, and the outcome with
// the whole answer after. The operations of many calls on one slot go into one
// compare-and-swap: a soft owner of each slot, found by rendezvous hashing over
// the reachable entry VMs, commits what its peers ask for. An entry VM that
// cannot reach the owner writes itself; see package core/tsclaim for why two
// owners are harmless.
//
// # Usage
//
//	calls := tscalls.New(tscalls.Config{Self: vm, Store: store, Members: fleet, Peers: transport, Lookup: lookup})
//	server.Mount(calls.Handler())
//	d, err := calls.Claim(ctx, call)
//	if d.Verdict == turmericshed.ClaimRun {
//		if err := calls.Dispatch(d.Claim); err != nil { ... } // nothing may be sent
//		answer, err := service.Do(ctx, server, request) // Key: tsclaim.ServiceKey(account, key)
//		switch {
//		case err == nil:
//			err = calls.Complete(ctx, d.Claim, answer)
//		case certainly not sent:
//			err = calls.Abandon(ctx, d.Claim)
//		default:
//			err = calls.Doubt(ctx, d.Claim, err.Error())
//		}
//	}
package tscalls

import (
	"context"
	"sync"
	"time"

	"turmericshed/io/tspause"
	"turmericshed/io/tspeer"

	"turmericshed"
	"turmericshed/core/tsclaim"
)

const (
	// defaultRetention is how long an answer is kept for replay.
	defaultRetention = 72 * time.Hour
	// defaultWriteInterval is the least time between two writes of one slot
	// by one process. With tsclaim.Slots slots it bounds the fleet's writes.
	defaultWriteInterval = 60 * time.Millisecond
	// storeTimeout bounds one commit.
	storeTimeout = 3 * time.Second
	// ownerTimeout bounds a commit through the owner of a slot, after which
	// this process writes itself.
	ownerTimeout = 2 * time.Second
	// firstRetry and maxRetry bound the back-off of outcomes that could not be
	// written yet.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 5 * time.Second
	// firstPoll and maxPoll bound the back-off of waiting for a runner that
	// cannot be asked.
	firstPoll = 50 * time.Millisecond
	maxPoll   = time.Second
	// outcomeWait bounds one question to a runner.
	outcomeQueryWait = 5 * time.Second
	// outcomeWritten bounds how long Abandon and Doubt wait for the write.
	outcomeWriteWait = 300 * time.Millisecond
	// abandonFor bounds the tries to write that a claim was given up.
	abandonTimeout = time.Minute
	// drainGrace is kept back from a drain's limit to settle what is left.
	drainGrace = 5 * time.Second
	// drainPoll is how often a drain looks whether all calls have ended.
	drainPoll = 20 * time.Millisecond
)

// LookupFunc asks a plain service whether the call with the key ran; key is
// tsclaim.ServiceKey of the call. KindNotFound means that it had not run when
// the service answered, which does not exclude that it still will.
type LookupFunc func(ctx context.Context, service, key string) (turmericshed.Answer, error)

// Config holds the dependencies and settings of Calls.
type Config struct {
	Self  turmericshed.EntryVM
	Store turmericshed.Store
	// Members tells who is reachable; nil means that nobody is.
	Members turmericshed.Members
	// Peers opens connections; nil means none.
	Peers tspeer.Peers
	// Lookup resolves calls in doubt; nil leaves them to a person.
	Lookup   LookupFunc
	Recorder turmericshed.Recorder
	// Retention is how long answers are replayed; 0 means 72 hours.
	Retention time.Duration
	// WriteInterval is the least time between two writes of one slot; 0
	// means 60 ms.
	WriteInterval time.Duration
}

// Calls implements turmericshed.Claims. It is safe for concurrent use.
type Calls struct {
	cfg     Config
	writers [tsclaim.Slots]*writer

	mu       sync.Mutex
	byClaim  map[turmericshed.ClaimID]*claimRecord
	byCall   map[tsclaim.ID]*claimRecord
	draining bool
}

var _ turmericshed.Claims = (*Calls)(nil)

// New returns a runtime for one process.
func New(cfg Config) *Calls {
	if cfg.Recorder == nil {
		cfg.Recorder = turmericshed.NopRecorder{}
	}
	if cfg.Retention <= 0 {
		cfg.Retention = defaultRetention
	}
	if cfg.WriteInterval <= 0 {
		cfg.WriteInterval = defaultWriteInterval
	}
	c := &Calls{
		cfg:     cfg,
		byClaim: map[turmericshed.ClaimID]*claimRecord{},
		byCall:  map[tsclaim.ID]*claimRecord{},
	}
	for slot := range c.writers {
		c.writers[slot] = newWriter(&c.cfg, slot)
	}
	return c
}

// Claim makes the durable claim or finds an earlier one. Errors:
// KindKeyReused, KindStoreUnavailable, KindOverloaded, KindDraining,
// KindDeadline, and KindConflict for a call that a person settled as not run.
// With every error this attempt has sent nothing and will send nothing.
func (c *Calls) Claim(ctx context.Context, call turmericshed.Call) (turmericshed.ClaimDecision, error) {
	for {
		rec, mine, err := c.begin(ctx, call)
		if err != nil {
			return turmericshed.ClaimDecision{}, err
		}
		var d turmericshed.ClaimDecision
		again := false
		if mine {
			d, again, err = c.commitClaim(ctx, rec)
		} else {
			d, again, err = c.awaitLocal(ctx, rec, call)
		}
		if !again {
			return d, err
		}
	}
}

// claimAt commits the claim of rec and maps what it met to a decision.
func (c *Calls) commitClaim(ctx context.Context, rec *claimRecord) (d turmericshed.ClaimDecision, again bool, err error) {
	res := c.commit(ctx, rec.op)
	e := res.Entry
	if res.Err == nil && e.Claim == rec.claim && e.State == tsclaim.StateOpen {
		if c.markHeld(rec) {
			c.recordEvent(turmericshed.EventClaimMade, rec, "")
			return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimRun, Claim: rec.claim}, false, nil
		}
		err = turmericshed.NewError(turmericshed.KindDraining, "claim was given up")
		c.abandonUnsent(rec, "given up before dispatch")
		return d, false, err
	}
	if res.Err != nil {
		if turmericshed.OutcomeOf(res.Err) == turmericshed.OutcomeNotRun {
			c.discard(rec, turmericshed.Answer{}, endReleased)
		} else {
			c.abandonUnsent(rec, "claim not confirmed")
		}
		return d, false, claimError(ctx, res.Err)
	}
	c.discard(rec, turmericshed.Answer{}, endReleased)
	return c.decideExisting(ctx, rec, e)
}

// claimError turns the failure of a commit into the answer to a caller to
// whom nothing has been sent under this attempt.
func claimError(ctx context.Context, err error) error {
	switch kind := turmericshed.KindOf(err); kind {
	case turmericshed.KindStoreUnknown:
		return turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "claim not confirmed")
	case turmericshed.KindInternal, turmericshed.KindCanceled:
		if ctx.Err() != nil {
			return turmericshed.WrapError(turmericshed.KindDeadline, err, "claim not confirmed in time")
		}
		return turmericshed.WithOutcome(err, turmericshed.OutcomeNotRun)
	default:
		return err
	}
}

// meet decides on an entry that another claim holds.
func (c *Calls) decideExisting(ctx context.Context, rec *claimRecord, e tsclaim.Entry) (d turmericshed.ClaimDecision, again bool, err error) {
	switch e.State {
	case tsclaim.StateDone:
		d, err = c.replay(ctx, rec, e)
		return d, false, err
	case tsclaim.StateAbandoned:
		return d, ctx.Err() == nil, deadlineError(ctx)
	case tsclaim.StateNotRun:
		return d, false, turmericshed.NewError(turmericshed.KindConflict,
			"the call was settled as not run by %s: place it under a new idempotency key", e.By)
	case tsclaim.StateInDoubt:
		if a, ok := c.lookup(ctx, rec.op.ID, e); ok {
			return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimReplay, Claim: e.Claim, Answer: a}, false, nil
		}
		return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimUnknown, Claim: e.Claim}, false, nil
	default:
		return c.awaitRunner(ctx, rec, e)
	}
}

func deadlineError(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return turmericshed.NewError(turmericshed.KindDeadline, "no time left to claim the call")
}

// replay returns the answer of a done entry.
func (c *Calls) replay(ctx context.Context, rec *claimRecord, e tsclaim.Entry) (turmericshed.ClaimDecision, error) {
	a, err := c.readAnswer(ctx, e)
	if err != nil {
		// The call ran; only its answer cannot be read now.
		return turmericshed.ClaimDecision{}, turmericshed.WithOutcome(err, turmericshed.OutcomeRan)
	}
	c.recordEvent(turmericshed.EventClaimReplayed, rec, "")
	return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimReplay, Claim: e.Claim, Answer: a}, nil
}

// record puts an event about a call on the time line.
func (c *Calls) recordEvent(name turmericshed.EventName, rec *claimRecord, reason string) {
	e := rec.op.Entry
	c.cfg.Recorder.Record(turmericshed.Event{
		Name: name, Request: e.Request, Profile: e.Profile, Account: e.Account, Claim: rec.claim, Reason: reason,
	})
}

// retry calls f with a growing back-off until it returns true.
func retry(ctx context.Context, f func() bool) {
	wait := firstRetry
	for !f() {
		if !tspause.For(ctx, wait) {
			return
		}
		wait = min(wait*2, maxRetry)
	}
}
