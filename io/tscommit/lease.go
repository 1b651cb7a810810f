package tscommit

import (
	"context"
	"strings"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// lease is a lease of the store and when it was requested.
type lease struct {
	id          turmericshed.LeaseID
	requestedAt time.Time
}

// aliveLeases returns a function that reports whether a lease is alive. It lists
// the leases only if a request takes an entry VM over from another process;
// otherwise none counts as alive.
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

// ensureLease requests a new lease if the last request is leaseInterval ago:
// holders bind their next declarations to the lease, and its age then shortens the
// time that a process has for a restart. If the store is slow, the round continues
// with the last lease up to maxLeaseAge.
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
	began := time.Now()
	id, err := c.cfg.Store.Grant(ctx, tsbudget.LeaseLength)
	if err != nil {
		c.cfg.Log.Debug("granting a lease failed, keeping the last one", "error", err.Error())
		return
	}
	select {
	case c.granted <- lease{id: id, requestedAt: began}:
	default: // An earlier lease has not been received yet.
	}
}
