package tsadmit

import (
	"math"
	"time"
)

// Overload control. The number of requests that run at once here follows what
// the backend servers can take, so that requests wait at the entry VM, where
// the order is fair and deadlines are known, and not in the servers' queues.
//
// Each limit starts at a share of this entry VM's even part of the servers'
// slots. While requests wait for it, it moves by a part of the room that the
// servers have left below the target load, or down while they are above it.
// While nothing waits it moves back to where it started. One entry VM that
// gets more than its part of the traffic can so use what others leave.
//
// There are two limits. One bounds all requests here. The other bounds any
// single account that runs far more than its share, at a lower target, so that
// the surge of one account leaves servers with free slots for the others.

const (
	// limitInterval is the time between changes.
	limitInterval = 250 * time.Millisecond
	// limitGain is the part of the room that one change takes.
	limitGain = 0.25
	// limitReturnGain is the part of the way back that one change takes.
	limitReturnGain = 0.1
	// minLimit keeps a trickle that notices recovery.
	minLimit = 2
)

// The limit of all requests. Its floor is near the even part, because accounts
// below their share pass it and would else push it ever further down.
const (
	totalTarget = 0.95
	totalIdle   = 1.2
	totalFloor  = 0.95
)

// The limit of an account that runs far more than its share.
const (
	accountTarget = 0.7
	accountIdle   = 0.5
	accountFloor  = 0.45
)

// limit follows the servers' load towards a target.
type limit struct {
	// target is the load per slot that is aimed for. idle is the value while
	// nothing waits and floor the lowest, as shares of the even part.
	target, idle, floor float64
	value               float64
}

// adjust moves the limit.
func (l *limit) adjust(equalShare, pressure float64, waiting bool) int {
	if l.value == 0 {
		l.value = l.idle * equalShare
	}
	if headroom := l.target - pressure; waiting || headroom < 0 {
		l.value += limitGain * headroom * equalShare
	} else {
		l.value += limitReturnGain * (l.idle*equalShare - l.value)
	}
	l.value = max(l.value, l.floor*equalShare, minLimit)
	return int(math.Round(l.value))
}

// Load is what the overload control knows of the servers.
type Load struct {
	// Pressure is the servers' load per slot, running and queued.
	Pressure float64
	// Slots is the number of requests that the servers can run; 0 turns the
	// control off.
	Slots int
	// Sharers is the number of entry VMs that send to them.
	Sharers int
}

// Control is the overload control of a queue.
type Control struct {
	lastChange     time.Time
	total, account limit
}

// NewControl returns a control at rest.
func NewControl() *Control {
	return &Control{
		total:   limit{target: totalTarget, idle: totalIdle, floor: totalFloor},
		account: limit{target: accountTarget, idle: accountIdle, floor: accountFloor},
	}
}

// Adapt moves the limits of q and returns the decisions that follow.
func (c *Control) Adapt(now time.Time, q *Queue, load Load) []Decision {
	if load.Slots <= 0 || now.Sub(c.lastChange) < limitInterval {
		return nil
	}
	c.lastChange = now
	equalShare := float64(load.Slots) / float64(max(load.Sharers, 1))
	return q.setLimits(now, limits{
		total:      c.total.adjust(equalShare, load.Pressure, len(q.waiting) > 0),
		account:    c.account.adjust(equalShare, load.Pressure, q.hasSurge()),
		equalShare: int(math.Round(equalShare)),
	})
}

// limits are the places of a queue.
type limits struct {
	// total bounds all requests, account those of one account that runs far
	// more than its share.
	total, account int
	// equalShare is this entry VM's equalShare part of the servers' slots.
	equalShare int
}
