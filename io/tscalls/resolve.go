package tscalls

import (
	"context"
	"time"

	"turmericshed/io/tspause"

	"turmericshed"
	"turmericshed/core/tsclaim"
)

const (
	// resolveInterval is the time between two visits of the resolver.
	resolveInterval = 30 * time.Second
	// silentAfter is the age at which an open claim of a runner that nobody
	// knows is put in doubt.
	unreachableTimeout = 2 * time.Minute
	// lookupTimeout bounds one look-up at a service.
	lookupTimeout = 2 * time.Second
	// maxLookups bounds the look-ups of one visit of a slot.
	maxLookups = 64
)

// resolver settles the claims of runners that are gone, in the slots that
// this process owns.
type resolver struct{ c *Calls }

// Controllers returns the loops to be supervised.
func (c *Calls) Controllers() []turmericshed.Controller {
	return []turmericshed.Controller{resolver{c: c}}
}

// String names the controller in logs.
func (resolver) String() string { return "claim resolver" }

// Serve visits the owned slots until ctx ends.
func (r resolver) Serve(ctx context.Context) error {
	for tspause.For(ctx, resolveInterval) {
		r.c.Resolve(ctx)
	}
	return ctx.Err()
}

// Resolve visits the slots that this process owns, once.
func (c *Calls) Resolve(ctx context.Context) {
	for slot := range tsclaim.Slots {
		if _, remote := c.owner(slot); !remote {
			c.resolveSlot(ctx, slot)
		}
	}
}

// resolveSlot looks the doubtful calls of a slot up at their services, and
// puts open claims of runners that are gone in doubt.
func (c *Calls) resolveSlot(ctx context.Context, slot int) {
	item, err := c.cfg.Store.Get(ctx, tsclaim.HeadKey(slot))
	if err != nil {
		return
	}
	h, err := tsclaim.DecodeHead(item.Value, slot)
	if err != nil {
		return
	}
	lookups := 0
	for id, e := range h.Entries {
		if lookups >= maxLookups || ctx.Err() != nil {
			return
		}
		if !c.needsResolution(e) {
			continue
		}
		lookups++
		if _, found := c.lookup(ctx, id, e); found || e.State == tsclaim.StateInDoubt {
			continue
		}
		res := c.commit(ctx, tsclaim.Op{Kind: tsclaim.OpDoubt, ID: id, Claim: e.Claim, Entry: tsclaim.Entry{Reason: "its runner is gone"}})
		if res.Err == nil && res.Changed {
			c.cfg.Recorder.Record(turmericshed.Event{
				Name: turmericshed.EventClaimInDoubt, Request: e.Request, Profile: e.Profile, Account: e.Account,
				Claim: e.Claim, Reason: "its runner is gone",
			})
		}
	}
}

// doubtful reports whether nobody is expected to settle the claim.
func (c *Calls) needsResolution(e tsclaim.Entry) bool {
	switch e.State {
	case tsclaim.StateInDoubt:
		return true
	case tsclaim.StateOpen:
		if e.Runner == c.cfg.Self.Incarnation {
			return false
		}
		_, reachable := c.reachableMember(e.Runner)
		return c.isGone(e.Runner) || !reachable && time.Since(e.At) > unreachableTimeout
	default:
		return false
	}
}
