package tslink

import "time"

const (
	// reliefLoad is the load from which an entry VM requests relief, as a part of its link's
	// capacity; spareLoad is the load below which it accepts more callers again.
	reliefLoad = 0.75
	spareLoad  = 0.5
	// minReliefDuration is the least duration of relief: the balancer probes once a second and
	// diverts connections after two probes.
	minReliefDuration = 2500 * time.Millisecond
)

// Relief decides when an entry VM requests fewer callers because its link is saturated. The
// balancer assigns each caller to few entry VMs, so that one of them can be saturated in a
// failure domain with spare capacity. Refusing requests does not help, since they are
// retried with the whole body; diverting callers does. Relief therefore has to start before
// a queue has built up, and last until the waiting bytes have passed.
type Relief struct {
	isActive    bool
	activeSince time.Time
}

// Update takes the load of the more loaded direction and reports whether to request relief.
func (r *Relief) Update(now time.Time, load float64) bool {
	switch {
	case !r.isActive && load >= reliefLoad:
		r.isActive, r.activeSince = true, now
	case r.isActive && load < spareLoad && now.Sub(r.activeSince) >= minReliefDuration:
		r.isActive = false
	}
	return r.isActive
}
