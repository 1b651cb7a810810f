package tscalls

import (
	"context"
	"time"

	"turmericshed/io/tspause"

	"turmericshed"
	"turmericshed/core/tsclaim"
)

const (
	// resolveInterval is the time between two runs of the resolver.
	resolveInterval = 30 * time.Second
	// unreachableTimeout is the age at which an open claim is marked in doubt if its
	// runner is unreachable and not known to be gone.
	unreachableTimeout = 2 * time.Minute
	// lookupTimeout bounds one lookup at a service.
	lookupTimeout = 2 * time.Second
	// maxLookups bounds the lookups of one run in one slot.
	maxLookups = 64
)

// resolver periodically settles the claims of runners that are gone, in the slots that
// this process owns.
type resolver struct{ c *Calls }

// Controllers returns the background loops, which the caller has to supervise.
func (c *Calls) Controllers() []turmericshed.Controller {
	return []turmericshed.Controller{resolver{c: c}}
}

// String names the controller in logs.
func (resolver) String() string { return "claim resolver" }

// Serve runs ResolveOnce at a fixed interval until ctx ends.
func (r resolver) Serve(ctx context.Context) error {
	for tspause.For(ctx, resolveInterval) {
		r.c.ResolveOnce(ctx)
	}
	return ctx.Err()
}

// ResolveOnce resolves the calls of all slots that this process owns, once.
func (c *Calls) ResolveOnce(ctx context.Context) {
	for slot := range tsclaim.Slots {
		if _, remote := c.owner(slot); !remote {
			c.resolveSlot(ctx, slot)
		}
	}
}

// resolveSlot looks up the calls of a slot that need resolution at their services, and
// marks the open ones that were not found there in doubt.
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

// needsResolution reports whether the claim is in doubt, or open with a runner that is
// not expected to settle it.
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
