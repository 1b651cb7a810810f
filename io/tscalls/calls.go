// Package tscalls makes non-idempotent calls run at most once. It implements
// turmericshed.Claims over the platform's key-value service.
//
// Each claim is written durably before its call is sent, and the outcome with the
// complete answer after it. The operations of many calls in one slot share one
// compare-and-swap: each slot has a soft owner, chosen by rendezvous hashing over the
// reachable entry VMs, which also commits the operations of its peers. An entry VM
// that cannot reach the owner writes to the store itself; package core/tsclaim
// explains why two owners do no harm.
//
// # Usage
//
//	calls := tscalls.New(tscalls.Config{Self: vm, Store: store, Members: fleet, Peers: transport, Lookup: lookup})
//	server.Mount(calls.PeerHandler())
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
//			err = calls.MarkInDoubt(ctx, d.Claim, err.Error())
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
	// defaultRetention is how long an answer is stored for replay.
	defaultRetention = 72 * time.Hour
	// defaultWriteInterval is the minimum time between two writes of one slot by one
	// process. Together with the number of slots, tsclaim.Slots, it bounds the write
	// rate of the fleet.
	defaultWriteInterval = 60 * time.Millisecond
	// storeTimeout bounds one commit.
	storeTimeout = 3 * time.Second
	// ownerTimeout bounds a commit through the owner of a slot; after it this process
	// writes to the store itself.
	ownerTimeout = 2 * time.Second
	// firstRetry and maxRetry bound the backoff between attempts to write an outcome.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 5 * time.Second
	// firstPoll and maxPoll bound the backoff between reads of the head while the
	// runner cannot be queried.
	firstPoll = 50 * time.Millisecond
	maxPoll   = time.Second
	// outcomeQueryWait is how long a runner waits for the outcome before it answers a
	// query.
	outcomeQueryWait = 5 * time.Second
	// outcomeWriteWait bounds how long Abandon and MarkInDoubt wait for their write.
	outcomeWriteWait = 300 * time.Millisecond
	// abandonTimeout bounds the attempts to write that a claim was abandoned.
	abandonTimeout = time.Minute
	// drainGrace is the part of a drain's time reserved for settling the remaining
	// calls.
	drainGrace = 5 * time.Second
	// drainPoll is the interval at which a drain checks whether all calls have ended.
	drainPoll = 20 * time.Millisecond
)

// LookupFunc queries a plain service for the answer of the call with the given key, which
// is tsclaim.ServiceKey of the call. KindNotFound means that the call had not run when
// the service answered; it may still run later.
type LookupFunc func(ctx context.Context, service, key string) (turmericshed.Answer, error)

// Config holds the dependencies and settings of Calls.
type Config struct {
	Self  turmericshed.EntryVM
	Store turmericshed.Store
	// Members reports which entry VMs are reachable; nil means none.
	Members turmericshed.Members
	// Peers opens connections to other entry VMs; nil disables them.
	Peers tspeer.Peers
	// Lookup resolves calls in doubt; if nil, an operator has to settle them.
	Lookup   LookupFunc
	Recorder turmericshed.Recorder
	// Retention is how long answers are replayed; 0 means 72 hours.
	Retention time.Duration
	// WriteInterval is the minimum time between two writes of one slot; 0 means 60 ms.
	WriteInterval time.Duration
}

// Calls implements turmericshed.Claims. It is safe for concurrent use.
type Calls struct {
	cfg     Config
	writers [tsclaim.Slots]*writer

	// mu guards the fields below.
	mu       sync.Mutex
	byClaim  map[turmericshed.ClaimID]*claimRecord
	byCall   map[tsclaim.ID]*claimRecord
	draining bool
}

var _ turmericshed.Claims = (*Calls)(nil)

// New returns the Calls of one process.
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

// Claim writes the durable claim or finds an earlier one. Errors: KindKeyReused,
// KindStoreUnavailable, KindOverloaded, KindDraining, KindDeadline, and KindConflict
// for a call that an operator settled as not run. After any of these errors this
// attempt has sent nothing and will send nothing.
func (c *Calls) Claim(ctx context.Context, call turmericshed.Call) (turmericshed.ClaimDecision, error) {
	for {
		rec, created, err := c.findOrCreateRecord(ctx, call)
		if err != nil {
			return turmericshed.ClaimDecision{}, err
		}
		var d turmericshed.ClaimDecision
		shouldRetry := false
		if created {
			d, shouldRetry, err = c.commitClaim(ctx, rec)
		} else {
			d, shouldRetry, err = c.awaitLocal(ctx, rec, call)
		}
		if !shouldRetry {
			return d, err
		}
	}
}

// commitClaim commits the claim of rec and maps the resulting entry to a decision.
// shouldRetry reports that the call may be claimed again.
func (c *Calls) commitClaim(ctx context.Context, rec *claimRecord) (d turmericshed.ClaimDecision, shouldRetry bool, err error) {
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

// claimError converts the failure of a commit into the error for the caller; this
// attempt has sent nothing to the service.
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

// decideExisting maps an entry held by another claim to a decision. shouldRetry reports
// that the call may be claimed again.
func (c *Calls) decideExisting(ctx context.Context, rec *claimRecord, e tsclaim.Entry) (d turmericshed.ClaimDecision, shouldRetry bool, err error) {
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

// deadlineError returns KindDeadline once ctx has ended, and nil before.
func deadlineError(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return turmericshed.NewError(turmericshed.KindDeadline, "no time left to claim the call")
}

// replay returns the decision to replay the answer of a done entry.
func (c *Calls) replay(ctx context.Context, rec *claimRecord, e tsclaim.Entry) (turmericshed.ClaimDecision, error) {
	a, err := c.readAnswer(ctx, e)
	if err != nil {
		// The call ran, but its answer cannot be read at the moment.
		return turmericshed.ClaimDecision{}, turmericshed.WithOutcome(err, turmericshed.OutcomeRan)
	}
	c.recordEvent(turmericshed.EventClaimReplayed, rec, "")
	return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimReplay, Claim: e.Claim, Answer: a}, nil
}

// recordEvent records an event about a call.
func (c *Calls) recordEvent(name turmericshed.EventName, rec *claimRecord, reason string) {
	e := rec.op.Entry
	c.cfg.Recorder.Record(turmericshed.Event{
		Name: name, Request: e.Request, Profile: e.Profile, Account: e.Account, Claim: rec.claim, Reason: reason,
	})
}

// retry calls f with exponential backoff until it returns true or ctx ends.
func retry(ctx context.Context, f func() bool) {
	wait := firstRetry
	for !f() {
		if !tspause.For(ctx, wait) {
			return
		}
		wait = min(wait*2, maxRetry)
	}
}
