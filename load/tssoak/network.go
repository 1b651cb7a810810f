package tssoak

import "time"

// place is where something runs: a failure domain, or the platform.
type location int

const (
	platform location = iota
	domainA
	domainB
	domainC
	locationCount
)

// String returns the place's name.
func (p location) String() string {
	return [locationCount]string{"platform", "domain-a", "domain-b", "domain-c"}[p]
}

// network knows the cuts, one way each, and the latencies.
type network struct {
	cuts [locationCount][locationCount]int
	// slow is added to each way of a call to the store.
	extraStoreLatency time.Duration
}

// ok reports whether messages get from one place to another.
func (n *network) connected(from, to location) bool { return n.cuts[from][to] <= 0 }

// latency is the time of one way between failure domains.
func (n *network) latency(w *world, from, to location) time.Duration {
	if from == to {
		return w.between(100*time.Microsecond, time.Millisecond)
	}
	return w.between(time.Millisecond, 4*time.Millisecond)
}

// storeLatency is the time of one way between a caller and the store.
func (n *network) storeLatency(w *world) time.Duration {
	d := w.between(time.Millisecond, 5*time.Millisecond)
	if n.extraStoreLatency > 0 {
		d += w.between(0, n.extraStoreLatency)
	}
	return d
}

// send delivers f at another place, unless there is a cut by then.
func (w *world) send(from, to location, f func()) {
	w.schedule(w.network.latency(w, from, to), func() {
		if w.network.connected(from, to) {
			f()
		}
	})
}
