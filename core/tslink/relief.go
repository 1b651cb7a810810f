package tslink

import "time"

const (
	// fullLoad is the part of the link's capacity in use from which an entry VM
	// asks for relief, spareLoad the one below which it takes more again.
	fullLoad  = 0.75
	spareLoad = 0.5
	// minReliefDuration is the least time of relief: the balancer looks once a second
	// and sends connections elsewhere after two looks.
	minReliefDuration = 2500 * time.Millisecond
)

// Relief decides when an entry VM asks for fewer callers, since its link does
// not carry more. The balancer places each caller on few entry VMs, so that one
// of them can be full in a failure domain with room. What is refused there only
// comes again, with its whole body; what helps is that callers go elsewhere. So
// it must ask before a queue has built up, and for long enough that what waits
// has passed.
type Relief struct {
	isActive bool
	activeSince  time.Time
}

// Update takes the load of the link's fuller direction and reports whether
// relief is wanted.
func (r *Relief) Update(now time.Time, load float64) bool {
	switch {
	case !r.isActive && load >= fullLoad:
		r.isActive, r.activeSince = true, now
	case r.isActive && load < spareLoad && now.Sub(r.activeSince) >= minReliefDuration:
		r.isActive = false
	}
	return r.isActive
}
