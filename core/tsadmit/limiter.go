package tsadmit

import (
	"math"
	"time"
)

// Overload control. The number of requests that this entry VM runs at once
// follows the capacity of the backend servers, so that requests wait at the
// entry VM, where the order is fair and deadlines are known, and not in the
// servers' queues.
//
// Each limit starts at a fixed ratio of this entry VM's equal share of the
// servers' slots. While requests wait because of it, the limit moves by a part
// of the difference between the target load and the servers' load. It also
// decreases whenever the load is above the target. While nothing waits, it
// returns to its initial value. An entry VM with more than its share of the
// traffic can therefore use what others leave.
//
// There are two limits. One applies to all requests of the entry VM. The other
// applies to any single account that runs far more than its share and has a
// lower target, so that the surge of one account leaves free slots on the
// servers for the others.

const (
	// limitInterval is the minimum time between changes.
	limitInterval = 250 * time.Millisecond
	// limitGain is the part of the difference to the target load that one
	// change applies.
	limitGain = 0.25
	// limitReturnGain is the part of the difference to the idle value that one
	// change applies.
	limitReturnGain = 0.1
	// minLimit admits a few requests even under overload, so that recovery is
	// detected.
	minLimit = 2
)

// Parameters of the limit of all requests. The floor is close to the equal
// share because accounts below their share may exceed the limit, and would
// otherwise push it down without end.
const (
	totalTargetLoad  = 0.95
	totalIdleFactor  = 1.2
	totalFloorFactor = 0.95
)

// Parameters of the limit of an account that runs far more than its share.
const (
	accountTargetLoad  = 0.7
	accountIdleFactor  = 0.5
	accountFloorFactor = 0.45
)

// limit adjusts a concurrency limit so that the servers' load approaches a
// target.
type limit struct {
	// target is the intended load per slot. idle is the value while nothing
	// waits and floor the lowest value, both relative to the equal share.
	target, idle, floor float64
	value               float64
}

// adjust moves the limit by one step and returns it.
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

// Load is the state of the backend servers that the overload control reacts to.
type Load struct {
	// Pressure is the servers' load per slot, running and queued.
	Pressure float64
	// Slots is the number of requests that the servers can run; 0 turns the
	// control off.
	Slots int
	// EntryVMs is the number of entry VMs that send requests to the servers.
	EntryVMs int
}

// Control is the overload control of a queue.
type Control struct {
	lastChange     time.Time
	total, account limit
}

// NewControl returns a control with both limits at their initial values.
func NewControl() *Control {
	return &Control{
		total:   limit{target: totalTargetLoad, idle: totalIdleFactor, floor: totalFloorFactor},
		account: limit{target: accountTargetLoad, idle: accountIdleFactor, floor: accountFloorFactor},
	}
}

// Adapt adjusts the limits of q and returns the resulting decisions.
func (c *Control) Adapt(now time.Time, q *Queue, load Load) []Decision {
	if load.Slots <= 0 || now.Sub(c.lastChange) < limitInterval {
		return nil
	}
	c.lastChange = now
	equalShare := float64(load.Slots) / float64(max(load.EntryVMs, 1))
	return q.setLimits(now, limits{
		total:      c.total.adjust(equalShare, load.Pressure, len(q.waiting) > 0),
		account:    c.account.adjust(equalShare, load.Pressure, q.hasSurge()),
		equalShare: int(math.Round(equalShare)),
	})
}

// limits are the concurrency limits of a queue.
type limits struct {
	// total applies to all requests, account to those of one account that runs
	// far more than its share.
	total, account int
	// equalShare is this entry VM's equal share of the servers' slots.
	equalShare int
}
