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
)

// demand estimates how fast a budget is used here, and how large its requests
// are. Both decay exponentially.
type demand struct {
	at time.Time
	// since is when the estimates began.
	since time.Time
	// fast and slow are decayed sums of used tokens; divided by their
	// windows they are rates.
	fast, slow float64
	// largest is the decayed largest reservation.
	largest  float64
	lastSeen time.Time
}

func (d *demand) decay(now time.Time) {
	if dt := now.Sub(d.at); dt > 0 {
		if d.since.IsZero() {
			d.since, dt = now, 0
		}
		f := math.Exp(-float64(dt) / float64(fastWindow))
		d.fast *= f
		slower := math.Exp(-float64(dt) / float64(slowWindow))
		d.slow *= slower
		d.largest *= slower
		d.at = now
	}
}

func (d *demand) reserve(now time.Time, n turmericshed.Tokens) {
	d.decay(now)
	d.largest = max(d.largest, float64(n))
	d.lastSeen = now
}

func (d *demand) settle(now time.Time, used turmericshed.Tokens) {
	d.decay(now)
	d.fast = max(d.fast+float64(used), 0)
	d.slow = max(d.slow+float64(used), 0)
}

// rate returns tokens per second, the higher of both estimates.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	age := max(now.Sub(d.since), fastWindow)
	return max(d.fast/filled(fastWindow, age), d.slow/filled(slowWindow, age))
}

// filled returns the seconds that a decayed sum stands for at its age.
func filled(window, age time.Duration) float64 {
	return window.Seconds() * (1 - math.Exp(-float64(age)/float64(window)))
}
