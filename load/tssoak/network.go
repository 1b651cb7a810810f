package tssoak

import "time"

// location is where a component runs: a failure domain or the platform.
type location int

const (
	platform location = iota
	domainA
	domainB
	domainC
	locationCount
)

// String returns the name of the location.
func (l location) String() string {
	return [locationCount]string{"platform", "domain-a", "domain-b", "domain-c"}[l]
}

// network holds the link cuts and the added latency of the simulated network.
type network struct {
	// cuts counts the active cuts of each link, by direction: cuts[from][to].
	cuts [locationCount][locationCount]int
	// extraStoreLatency bounds the random delay that is added to each direction
	// of a store call.
	extraStoreLatency time.Duration
}

// connected reports whether messages from one location reach another. The
// opposite direction may be cut.
func (n *network) connected(from, to location) bool { return n.cuts[from][to] <= 0 }

// latency returns a random one-way latency between two locations.
func (n *network) latency(w *world, from, to location) time.Duration {
	if from == to {
		return w.between(100*time.Microsecond, time.Millisecond)
	}
	return w.between(time.Millisecond, 4*time.Millisecond)
}

// storeLatency returns a random one-way latency between a client and the store.
func (n *network) storeLatency(w *world) time.Duration {
	d := w.between(time.Millisecond, 5*time.Millisecond)
	if n.extraStoreLatency > 0 {
		d += w.between(0, n.extraStoreLatency)
	}
	return d
}

// send runs f after the network latency, unless the link is cut at that time.
func (w *world) send(from, to location, f func()) {
	w.schedule(w.network.latency(w, from, to), func() {
		if w.network.connected(from, to) {
			f()
		}
	})
}
