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
	recentFloor  = 2 * time.Second
	// typicalWeight is the weight of the newest reservation in the average.
	typicalWeight = 0.2
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
	// recent is the same for reserved tokens, so that it sees a request when
	// it comes.
	recent float64
	// largest is the decayed largest reservation.
	largest float64
	// typical is the moving average of reservations.
	typical  float64
	lastSeen time.Time
}

func (d *demand) decay(now time.Time) {
	if dt := now.Sub(d.at); dt > 0 {
		if d.since.IsZero() {
			d.since, dt = now, 0
		}
		f := math.Exp(-float64(dt) / float64(fastWindow))
		d.fast *= f
		d.recent *= math.Exp(-float64(dt) / float64(recentWindow))
		slower := math.Exp(-float64(dt) / float64(slowWindow))
		d.slow *= slower
		d.largest *= slower
		d.at = now
	}
}

func (d *demand) reserve(now time.Time, n turmericshed.Tokens) {
	d.decay(now)
	d.largest = max(d.largest, float64(n))
	if d.typical == 0 {
		d.typical = float64(n)
	}
	d.typical += typicalWeight * (float64(n) - d.typical)
	d.recent += float64(n)
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

// arriving returns the reserved tokens per second of the last seconds.
func (d *demand) arriving(now time.Time) float64 {
	d.decay(now)
	return d.recent / filled(recentWindow, max(now.Sub(d.since), recentFloor))
}

// filled returns the seconds that a decayed sum stands for at its age.
func filled(window, age time.Duration) float64 {
	return window.Seconds() * (1 - math.Exp(-float64(age)/float64(window)))
}
