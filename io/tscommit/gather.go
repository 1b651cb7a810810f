package tscommit

import (
	"context"
	"time"

	"turmericshed"
)

// gather collects the requests that join the first one, until earliest or later,
// and drops those whose callers stopped waiting.
func (c *Committer) gather(ctx context.Context, first *pendingRequest, earliest time.Time) []*pendingRequest {
	list := []*pendingRequest{first}
	closeAt := time.Now().Add(first.gatherWindow())
	for isOpen := true; isOpen; {
		until := closeAt
		if earliest.After(until) {
			until = earliest
		}
		select {
		case p := <-c.queue:
			list = append(list, p)
			if d := time.Now().Add(p.gatherWindow()); d.Before(closeAt) {
				closeAt = d
			}
		case <-time.After(time.Until(until)):
			isOpen = false
		case <-ctx.Done():
			isOpen = false
		}
	}
	waiting := list[:0]
	for _, p := range list {
		if p.ctx.Err() == nil {
			waiting = append(waiting, p)
		}
	}
	return waiting
}

// gatherWindow returns how long the request waits for others to join its round.
func (p *pendingRequest) gatherWindow() time.Duration {
	if p.Urgent || p.Takeover != nil || p.Leave {
		return urgentGatherWindow
	}
	return normalGatherWindow
}

// untilTick returns the time until the next tick that a holder can meet. The ticks
// of the failure domains are spread over the interval by the time of day, so that
// the domains don't write the same ledgers at the same time. Where clocks differ,
// some writes conflict.
func (c *Committer) untilTick(now time.Time) time.Duration {
	wait := (c.tickPhase() - time.Duration(now.UnixNano())%tickInterval + tickInterval) % tickInterval
	if wait < minTickWait {
		wait += tickInterval
	}
	return wait
}

// tickPhase returns the offset of the domain's tick within tickInterval: the
// domains are spaced evenly, in the order of their names.
func (c *Committer) tickPhase() time.Duration {
	before := make(map[turmericshed.FailureDomain]bool)
	all := map[turmericshed.FailureDomain]bool{c.domain: true}
	for _, vm := range c.cfg.Members.Reachable() {
		all[vm.FailureDomain] = true
		if vm.FailureDomain < c.domain {
			before[vm.FailureDomain] = true
		}
	}
	return tickInterval * time.Duration(len(before)) / time.Duration(len(all))
}
