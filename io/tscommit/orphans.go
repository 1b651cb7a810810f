package tscommit

import (
	"context"
	"math/rand/v2"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tspreference"
	"turmericshed/io/tspause"
)

const (
	// orphanScanInterval is the time between looks for entry VMs that nobody comes
	// back to, jittered by as much again.
	orphanScanInterval = 10 * time.Minute
	// orphanAfter is how long an entry VM must be off the list before its lots
	// are ended: what it held counts as spent already, so this only keeps the
	// holding small.
	orphanAfter = time.Hour
	// orphanIncarnation stands for an entry VM that is gone for good, until
	// its row is removed.
	orphanIncarnation turmericshed.Incarnation = "gone"
)

// orphanLoop ends the lots of entry VMs that are gone for good.
func (c *Committer) orphanLoop(ctx context.Context) error {
	missing := make(map[string]time.Time)
	for tspause.For(ctx, orphanScanInterval+rand.N(orphanScanInterval)) {
		if err := c.removeOrphans(ctx, missing); err != nil && ctx.Err() == nil {
			c.cfg.Log.Warn("entry VMs that are gone still have lots", "error", err.Error())
		}
	}
	return ctx.Err()
}

// removeOrphans looks once; missing is since when each entry VM is off the list.
// The first one in the domain's order does it for all.
func (c *Committer) removeOrphans(ctx context.Context, missing map[string]time.Time) error {
	self := c.cfg.Members.Self()
	listed := append(c.cfg.Members.Reachable(), self)
	if ranked := tspreference.Rank(listed, self.FailureDomain); ranked[0].Name != self.Name {
		clear(missing)
		return nil
	}
	known := make(map[string]bool)
	for _, vm := range listed {
		known[vm.Name] = true
	}
	item, err := c.cfg.Store.Get(ctx, tsbudget.HoldingKey(self.FailureDomain))
	if err != nil {
		return err
	}
	holding, err := tsbudget.DecodeHolding(item)
	if err != nil {
		return err
	}
	now := time.Now()
	for name, vm := range holding.VMs {
		since, ok := missing[name]
		switch {
		case known[name]:
			delete(missing, name)
		case !ok:
			missing[name] = now
		case now.Sub(since) >= orphanAfter:
			if err := c.removeOrphan(ctx, name, vm.Incarnation); err != nil {
				return err
			}
			delete(missing, name)
		}
	}
	return nil
}

// removeOrphan charges what an entry VM holds, and removes it from the holding.
func (c *Committer) removeOrphan(ctx context.Context, name string, in turmericshed.Incarnation) error {
	r := tsbudget.Request{VM: name, Incarnation: orphanIncarnation, Takeover: &tsbudget.Takeover{From: in}}
	reply, err := c.Commit(ctx, r)
	if err != nil {
		return err
	}
	if reply.Standing != orphanIncarnation {
		return turmericshed.NewError(turmericshed.KindStoreUnavailable, "process %q still stands for entry VM %s", reply.Standing, name)
	}
	c.cfg.Log.Info("lots of an entry VM that is gone were charged", "entry_vm", name, "incarnation", string(in))
	_, err = c.Commit(ctx, tsbudget.Request{VM: name, Incarnation: orphanIncarnation, Leave: true})
	return err
}
