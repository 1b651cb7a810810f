package tsbudget

import (
	"math"
	"time"

	"turmericshed"
)

const (
	// fastWindow and slowWindow are the time constants of the demand
	// estimates: the fast one follows a rise, the slow one outlasts a lull.
	fastWindow = 30 * time.Second
	slowWindow = 10 * time.Minute
	// recentWindow follows what is asked for now, and recentFloor is the age
	// from which that is trusted.
	recentWindow = 8 * time.Second
	recentMinAge = 2 * time.Second
	// typicalWeight is the weight of the newest reservation in the average.
	typicalWeight = 0.2
)

// demand estimates how fast a budget is used here, and how large its requests
// are. Both decay exponentially.
type demand struct {
	updatedAt time.Time
	// startedAt is when the estimates began.
	startedAt time.Time
	// fastSum and slowSum are decayed sums of used tokens; divided by their
	// windows they are rates.
	fastSum, slowSum float64
	// recentSum is the same for reserved tokens, so that it sees a request when
	// it comes.
	recentSum float64
	// largest is the decayed largest reservation.
	largest float64
	// typical is the moving average of reservations.
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
	d.lastSeen = now
}

func (d *demand) settle(now time.Time, used turmericshed.Tokens) {
	d.decay(now)
	d.fastSum = max(d.fastSum+float64(used), 0)
	d.slowSum = max(d.slowSum+float64(used), 0)
}

// rate returns tokens per second, the higher of both estimates.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	age := max(now.Sub(d.startedAt), fastWindow)
	return max(d.fastSum/effectiveWindow(fastWindow, age), d.slowSum/effectiveWindow(slowWindow, age))
}

// recentRate returns the reserved tokens per second of the last seconds.
func (d *demand) recentRate(now time.Time) float64 {
	d.decay(now)
	return d.recentSum / effectiveWindow(recentWindow, max(now.Sub(d.startedAt), recentMinAge))
}

// effectiveWindow returns the seconds that a decayed sum stands for at its age.
func effectiveWindow(window, age time.Duration) float64 {
	return window.Seconds() * (1 - math.Exp(-float64(age)/float64(window)))
}
