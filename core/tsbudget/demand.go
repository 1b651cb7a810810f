package tsbudget

import (
	"math"
	"time"

	"turmericshed"
)

// demandWindow is the time constant of the demand estimates.
const demandWindow = 30 * time.Second

// demand estimates how fast a budget is used here, and how large its requests
// are. Both decay exponentially.
type demand struct {
	at time.Time
	// weight is the decayed sum of settled tokens, so that weight divided by
	// demandWindow is the rate.
	weight float64
	// largest is the decayed largest reservation.
	largest  float64
	lastSeen time.Time
}

func (d *demand) decay(now time.Time) {
	if dt := now.Sub(d.at); dt > 0 {
		f := math.Exp(-float64(dt) / float64(demandWindow))
		d.weight *= f
		d.largest *= math.Sqrt(math.Sqrt(f))
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
	d.weight += float64(used)
}

// rate returns tokens per second.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	return d.weight / demandWindow.Seconds()
}
