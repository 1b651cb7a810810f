package tssoak

import "time"

// place is where something runs: a failure domain, or the platform.
type place int

const (
	platform place = iota
	domainA
	domainB
	domainC
	places
)

// String returns the place's name.
func (p place) String() string {
	return [places]string{"platform", "domain-a", "domain-b", "domain-c"}[p]
}

// network knows the cuts, one way each, and the latencies.
type network struct {
	cut [places][places]int
	// slow is added to each way of a call to the store.
	slow time.Duration
}

// ok reports whether messages get from one place to another.
func (n *network) ok(from, to place) bool { return n.cut[from][to] <= 0 }

// latency is the time of one way between failure domains.
func (n *network) latency(w *world, from, to place) time.Duration {
	if from == to {
		return w.between(100*time.Microsecond, time.Millisecond)
	}
	return w.between(time.Millisecond, 4*time.Millisecond)
}

// storeLatency is the time of one way between a caller and the store.
func (n *network) storeLatency(w *world) time.Duration {
	d := w.between(time.Millisecond, 5*time.Millisecond)
	if n.slow > 0 {
		d += w.between(0, n.slow)
	}
	return d
}

// send delivers f at another place, unless there is a cut by then.
func (w *world) send(from, to place, f func()) {
	w.at(w.net.latency(w, from, to), func() {
		if w.net.ok(from, to) {
			f()
		}
	})
}
