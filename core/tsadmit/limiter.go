package tsadmit

import "time"

// Overload control. The number of requests that run at once follows what the
// backend servers can take: while they report more work than slots the limit
// shrinks by a share, and while requests wait here and the servers have room
// it grows by a step (additive increase, multiplicative decrease). Requests
// then wait at the entry VM, where order is fair and deadlines are known,
// and not in the servers' queues.

// The steps of the limiter.
const (
	// limitInterval is the time between changes; load reports lag about as
	// much.
	limitInterval = 250 * time.Millisecond
	// pressureHigh and pressureLow are requests per slot at the servers.
	pressureHigh = 1.1
	pressureLow  = 0.95
	// limitShrink is the factor of one decrease.
	limitShrink = 0.9
	// limitGrow is the share of the limit added by one increase, at least 1.
	limitGrow = 0.1
	// minLimit keeps a trickle that notices recovery.
	minLimit = 2
)

// Usage is what the limiter looks at.
type Usage struct {
	// Limit is in force now, Ceiling the highest allowed.
	Limit, Ceiling int
	// Running and Waiting are requests here.
	Running, Waiting int
	// Pressure is the servers' load per slot, running and queued.
	Pressure float64
}

// Limiter follows the servers' load. The zero value is ready to use.
type Limiter struct {
	last time.Time
}

// Next returns the limit to use from now on.
func (l *Limiter) Next(now time.Time, u Usage) int {
	if now.Sub(l.last) < limitInterval {
		return u.Limit
	}
	l.last = now
	n := u.Limit
	switch step := max(int(float64(n)*limitGrow), 1); {
	case u.Pressure > pressureHigh:
		n = int(float64(min(n, max(u.Running, minLimit))) * limitShrink)
	case u.Pressure < pressureLow && (u.Waiting > 0 || u.Running < n/2):
		// Also when idle, so that the next surge starts from the ceiling.
		n += step
	}
	return min(max(n, minLimit), u.Ceiling)
}
