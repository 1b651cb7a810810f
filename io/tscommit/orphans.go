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
	// orphanScanInterval is the least time between scans for entry VMs that no
	// process takes over any more; the jitter adds up to as much again.
	orphanScanInterval = 10 * time.Minute
	// orphanAfter is how long an entry VM must be missing from the member list
	// before its lots are charged. They count as spent already, so that this only
	// keeps the holding small.
	orphanAfter = time.Hour
	// orphanIncarnation is the incarnation that owns a terminated entry VM until
	// its row is removed from the holding.
	orphanIncarnation turmericshed.Incarnation = "gone"
)

// orphanLoop charges the lots of entry VMs that have disappeared.
func (c *Committer) orphanLoop(ctx context.Context) error {
	missingSince := make(map[string]time.Time)
	for tspause.For(ctx, orphanScanInterval+rand.N(orphanScanInterval)) {
		if err := c.removeOrphans(ctx, missingSince); err != nil && ctx.Err() == nil {
			c.cfg.Log.Warn("charging the lots of missing entry VMs failed, retrying with the next scan", "error", err.Error())
		}
	}
	return ctx.Err()
}

// removeOrphans runs one scan; missingSince records since when each entry VM is
// missing from the member list. Only the highest ranked entry VM of the domain runs
// it.
func (c *Committer) removeOrphans(ctx context.Context, missingSince map[string]time.Time) error {
	self := c.cfg.Members.Self()
	listed := append(c.cfg.Members.Reachable(), self)
	if ranked := tspreference.Rank(listed, self.FailureDomain); ranked[0].Name != self.Name {
		clear(missingSince)
		return nil
	}
	isListed := make(map[string]bool)
	for _, vm := range listed {
		isListed[vm.Name] = true
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
		since, ok := missingSince[name]
		switch {
		case isListed[name]:
			delete(missingSince, name)
		case !ok:
			missingSince[name] = now
		case now.Sub(since) >= orphanAfter:
			if err := c.removeOrphan(ctx, name, vm.Incarnation); err != nil {
				return err
			}
			delete(missingSince, name)
		}
	}
	return nil
}

// removeOrphan charges the lots of an entry VM and removes it from the holding.
// Errors: KindStoreUnavailable if another process owns the entry VM by now, or the
// error of a commit.
func (c *Committer) removeOrphan(ctx context.Context, name string, incarnation turmericshed.Incarnation) error {
	r := tsbudget.Request{VM: name, Incarnation: orphanIncarnation, Takeover: &tsbudget.Takeover{From: incarnation}}
	reply, err := c.Commit(ctx, r)
	if err != nil {
		return err
	}
	if reply.CurrentIncarnation != orphanIncarnation {
		return turmericshed.NewError(turmericshed.KindStoreUnavailable, "process %q still stands for entry VM %s", reply.CurrentIncarnation, name)
	}
	c.cfg.Log.Info("charged the lots of a missing entry VM", "entry_vm", name, "incarnation", string(incarnation))
	_, err = c.Commit(ctx, tsbudget.Request{VM: name, Incarnation: orphanIncarnation, Leave: true})
	return err
}
