package tscommit

import (
	"context"
	"strings"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// lease is a lease and when it was asked for.
type lease struct {
	id          turmericshed.LeaseID
	requestedAt time.Time
}

// aliveLeases returns which aliveLeases are alive, if a request takes an entry VM over.
func (c *Committer) aliveLeases(ctx context.Context, list []*pendingRequest) (func(turmericshed.LeaseID) bool, error) {
	alive := make(map[turmericshed.LeaseID]bool)
	for _, p := range list {
		if p.Takeover == nil || p.Takeover.From == "" {
			continue
		}
		prefix := tsbudget.MarkerKey(c.domain, "")
		items, err := c.cfg.Store.List(ctx, prefix, "", refreshPageSize)
		if err != nil {
			return nil, err
		}
		for _, i := range items {
			alive[turmericshed.LeaseID(strings.TrimPrefix(i.Key, prefix))] = true
		}
		break
	}
	return func(l turmericshed.LeaseID) bool { return alive[l] }, nil
}

// ensureLease takes a new lease where the last one is not fresh: holders declare
// for it with their next requests, and its age then is lost to a restart. A
// round goes on with the last one when the store is slow.
func (c *Committer) ensureLease(ctx context.Context) {
	c.awaitLease(0)
	if time.Since(c.leaseRequested) >= leaseInterval {
		c.leaseRequested = time.Now()
		go c.grantLease(ctx)
		c.awaitLease(leaseWait)
	}
	if time.Since(c.lease.requestedAt) > maxLeaseAge {
		c.lease, c.isLeaseMarked = lease{}, false
		c.awaitLease(firstLeaseWait)
	}
}

func (c *Committer) awaitLease(wait time.Duration) {
	select {
	case l := <-c.granted:
		c.lease, c.isLeaseMarked = l, false
	case <-time.After(wait):
	}
}

func (c *Committer) grantLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaseInterval)
	defer cancel()
	asked := time.Now()
	id, err := c.cfg.Store.Grant(ctx, tsbudget.LeaseLength)
	if err != nil {
		c.cfg.Log.Debug("no lease", "error", err.Error())
		return
	}
	select {
	case c.granted <- lease{id: id, requestedAt: asked}:
	default: // An earlier one is not taken yet.
	}
}
