package tscommit

import (
	"context"
	"time"

	"turmericshed"
)

// gather waits for the requests that join the first one, until earliest at
// least, and leaves out those that nobody waits for any more.
func (c *Committer) gather(ctx context.Context, first *pendingRequest, earliest time.Time) []*pendingRequest {
	list := []*pendingRequest{first}
	due := time.Now().Add(first.gatherWindow())
	for wait := true; wait; {
		until := due
		if earliest.After(until) {
			until = earliest
		}
		select {
		case p := <-c.queue:
			list = append(list, p)
			if d := time.Now().Add(p.gatherWindow()); d.Before(due) {
				due = d
			}
		case <-time.After(time.Until(until)):
			wait = false
		case <-ctx.Done():
			wait = false
		}
	}
	alive := list[:0]
	for _, p := range list {
		if p.ctx.Err() == nil {
			alive = append(alive, p)
		}
	}
	return alive
}

// gatherWindow is how long a request waits for others.
func (p *pendingRequest) gatherWindow() time.Duration {
	if p.Urgent || p.Takeover != nil || p.Leave {
		return urgentGatherWindow
	}
	return normalGatherWindow
}

// untilTick returns the time until the next beat that holders can keep. The
// beats of the failure domains are spread by the time of day, so that they don't
// meet at the same ledgers; where clocks differ, some conflict.
func (c *Committer) untilTick(now time.Time) time.Duration {
	wait := (c.tickPhase() - time.Duration(now.UnixNano())%tickInterval + tickInterval) % tickInterval
	if wait < minTickWait {
		wait += tickInterval
	}
	return wait
}

// tickPhase is the domain's place in a beat.
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
