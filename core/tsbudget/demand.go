package tsbudget

import (
	"math"
	"time"

	"turmericshed"
)

const (
	// fastWindow and slowWindow are the time constants of the demand estimates: the fast one
	// follows a rise in demand, the slow one outlasts a pause.
	fastWindow = 30 * time.Second
	slowWindow = 10 * time.Minute
	// recentWindow is the time constant of the estimate of current demand. recentMinAge is the age
	// from which that estimate is trusted; a younger one is computed as if it had this age.
	recentWindow = 8 * time.Second
	recentMinAge = 2 * time.Second
	// steadyWindow is the time constant of the estimate of steady demand, which tells entry VMs with
	// an account's callers from those that received a request by chance.
	steadyWindow = 20 * time.Second
	// typicalWeight is the weight of the newest reservation in the average.
	typicalWeight = 0.2
)

// demand estimates the rate at which this holder uses a budget, and the size of its requests. The
// estimates decay exponentially.
type demand struct {
	updatedAt time.Time
	// startedAt is when the estimates began.
	startedAt time.Time
	// fastSum and slowSum are decayed sums of used tokens; divided by their windows they are
	// rates.
	fastSum, slowSum float64
	// recentSum is a decayed sum of reserved tokens, so that it includes a request as soon as it
	// arrives.
	recentSum float64
	// steadySum is the same over steadyWindow.
	steadySum float64
	// largest is the size of the largest reservation, decayed over slowWindow.
	largest float64
	// typical is the moving average of the size of reservations.
	typical  float64
	lastSeen time.Time
}

func (d *demand) decay(now time.Time) {
	if dt := now.Sub(d.updatedAt); dt > 0 {
		if d.startedAt.IsZero() {
			d.startedAt, dt = now, 0
		}
		f := math.Exp(-float64(dt) / float64(fastWindow))
		d.fastSum *= f
		d.steadySum *= math.Exp(-float64(dt) / float64(steadyWindow))
		d.recentSum *= math.Exp(-float64(dt) / float64(recentWindow))
		slower := math.Exp(-float64(dt) / float64(slowWindow))
		d.slowSum *= slower
		d.largest *= slower
		d.updatedAt = now
	}
}

func (d *demand) reserve(now time.Time, n turmericshed.Tokens) {
	d.decay(now)
	d.largest = max(d.largest, float64(n))
	if d.typical == 0 {
		d.typical = float64(n)
	}
	d.typical += typicalWeight * (float64(n) - d.typical)
	d.recentSum += float64(n)
	d.steadySum += float64(n)
	d.lastSeen = now
}

func (d *demand) settle(now time.Time, used turmericshed.Tokens) {
	d.decay(now)
	d.fastSum = max(d.fastSum+float64(used), 0)
	d.slowSum = max(d.slowSum+float64(used), 0)
}

// rate returns the used tokens per second, the higher of both estimates.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	age := max(now.Sub(d.startedAt), fastWindow)
	return max(d.fastSum/effectiveWindow(fastWindow, age), d.slowSum/effectiveWindow(slowWindow, age))
}

// recentRate returns the reserved tokens per second within about recentWindow.
func (d *demand) recentRate(now time.Time) float64 {
	d.decay(now)
	return d.recentSum / effectiveWindow(recentWindow, max(now.Sub(d.startedAt), recentMinAge))
}

// steadyRate returns the reserved tokens per second within steadyWindow. It does not allow for a
// younger estimate, so that it grows with what is known.
func (d *demand) steadyRate(now time.Time) float64 {
	d.decay(now)
	return d.steadySum / steadyWindow.Seconds()
}

// effectiveWindow returns the seconds of demand that a decayed sum covers at its age.
func effectiveWindow(window, age time.Duration) float64 {
	return window.Seconds() * (1 - math.Exp(-float64(age)/float64(window)))
}
