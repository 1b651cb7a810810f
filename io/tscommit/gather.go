package tscommit

import (
	"context"
	"time"

	"turmericshed"
)

// gather waits for the requests that join the first one, until earliest at
// least, and leaves out those that nobody waits for any more.
func (c *Committer) gather(ctx context.Context, first *pending, earliest time.Time) []*pending {
	list := []*pending{first}
	due := time.Now().Add(first.patience())
	for wait := true; wait; {
		until := due
		if earliest.After(until) {
			until = earliest
		}
		select {
		case p := <-c.queue:
			list = append(list, p)
			if d := time.Now().Add(p.patience()); d.Before(due) {
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

// patience is how long a request waits for others.
func (p *pending) patience() time.Duration {
	if p.Urgent || p.Takeover != nil || p.Leave {
		return gatherPause
	}
	return joinPause
}

// untilBeat returns the time until the next beat that holders can keep. The
// beats of the failure domains are spread by the time of day, so that they don't
// meet at the same ledgers; where clocks differ, some conflict.
func (c *Committer) untilBeat(now time.Time) time.Duration {
	wait := (c.phase() - time.Duration(now.UnixNano())%beatInterval + beatInterval) % beatInterval
	if wait < beatMargin {
		wait += beatInterval
	}
	return wait
}

// phase is the domain's place in a beat.
func (c *Committer) phase() time.Duration {
	before := make(map[turmericshed.FailureDomain]bool)
	all := map[turmericshed.FailureDomain]bool{c.domain: true}
	for _, vm := range c.cfg.Members.Reachable() {
		all[vm.FailureDomain] = true
		if vm.FailureDomain < c.domain {
			before[vm.FailureDomain] = true
		}
	}
	return beatInterval * time.Duration(len(before)) / time.Duration(len(all))
}
