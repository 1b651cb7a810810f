// Package tsversion shares between entry VMs, and keeps in the platform's store, what is needed to
// resume a stream at the software version that began it. core/tsversion has the decisions.
//
// While a service has several versions, the beginning of each stream is sent to a few entry VMs, its
// holders, which all entry VMs select by rendezvous hashing of the request's id. The entry VM that a
// caller resumes a stream at asks them. Where no holder knows the stream, the versions that are
// registered in the store decide: if there is only one, it began the stream. Otherwise the beginnings
// that entry VMs save in the store, for the case that all of them are killed, may name it; a stream that
// they don't name is not resumed.
//
// # Usage
//
//	v := tsversion.New(tsversion.Config{Board: board, Members: members, Peers: peers, Store: store, Retention: retention, Log: log})
//	server.Mount(v.Handler())
//	for _, c := range v.Controllers() {
//		supervisor.Add(c)
//	}
//	versions := v.Usable("pool")        // before a stream begins
//	v.Began(beginning, false)           // at its first event
//	v.Ended(id)                         // at its end
//	b, err := v.Find(ctx, "pool", id)   // when a caller resumes it
package tsversion

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/singleflight"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/core/tsversion"
	"turmericshed/io/tspeer"
)

// storeKey is the key of the registered versions.
const storeKey = "software_versions"

// Config holds the dependencies of Versions.
type Config struct {
	// Board provides the list of servers.
	Board   *tsboard.Board
	Members turmericshed.Members
	Peers   tspeer.Peers
	Store   turmericshed.Store
	// Retention returns how long a version stays registered after its last server has left. It is
	// longer than callers resume a stream.
	Retention func() time.Duration
	// Link reports whether the local network link is congested; nil means that it never is.
	Link turmericshed.Link
	// Metrics registers the metrics; nil registers none.
	Metrics prometheus.Registerer
	Log     *slog.Logger
}

// Versions implements turmericshed.StreamVersions.
type Versions struct {
	cfg Config
	// found counts the streams that callers resumed, by how their version was determined.
	found *prometheus.CounterVec
	// shareWake and saveWake wake the sharer and the saver.
	shareWake, saveWake chan struct{}
	// restored wakes the registrar after the store came back from an older copy.
	restored chan struct{}
	loads    singleflight.Group
	surveys  nextCalls[string, survey]

	mu      sync.Mutex
	tracker *tsversion.Tracker
	streams *tsversion.Streams
	// loadedAt is when the saved beginnings were last read.
	loadedAt time.Time
}

var _ turmericshed.StreamVersions = (*Versions)(nil)

// New returns a Versions that knows no streams and no registered versions.
func New(cfg Config) *Versions {
	v := &Versions{
		cfg: cfg, shareWake: make(chan struct{}, 1), saveWake: make(chan struct{}, 1), restored: make(chan struct{}, 1), tracker: tsversion.NewTracker(), streams: tsversion.NewStreams(),
		found: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmericshed_streams_resumed_total", Help: "Streams that callers resumed, by how the version that began them was found: here, holder, sole (the only registered one), saved (in the store) or unknown (refused).",
		}, []string{"by"}),
	}
	if cfg.Metrics != nil {
		cfg.Metrics.MustRegister(v.found)
	}
	return v
}

// Controllers returns the controllers to supervise.
func (v *Versions) Controllers() []turmericshed.Controller {
	return []turmericshed.Controller{registrar{v, rand.N(maxRemoveDelay)}, sharer{v}, &saver{v: v, key: savedPrefix + string(v.cfg.Members.Self().Incarnation)}}
}

// Usable returns the software versions of a service at which a new stream may begin; empty means any.
func (v *Versions) Usable(service string) []turmericshed.SoftwareVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.Usable(service)
}

// Began records that the first event of a stream arrived.
func (v *Versions) Began(b turmericshed.StreamBeginning, isAmbiguous bool) {
	v.mu.Lock()
	v.streams.Begin(b, isAmbiguous)
	isNeeded := isAmbiguous || v.tracker.IsMixed(b.Service)
	v.mu.Unlock()
	if isNeeded {
		v.wake()
	}
}

// Ended records that a stream was relayed to its end.
func (v *Versions) Ended(id turmericshed.RequestID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.streams.End(id)
}

// Restored makes this entry VM write again what the store may have forgotten. It must be called when the store
// came back from an older copy.
func (v *Versions) Restored() {
	v.wake()
	select {
	case v.restored <- struct{}{}:
	default:
	}
}

// wake wakes the sharer and the saver.
func (v *Versions) wake() {
	v.wakeSaver()
	select {
	case v.shareWake <- struct{}{}:
	default:
	}
}

func (v *Versions) wakeSaver() {
	select {
	case v.saveWake <- struct{}{}:
	default:
	}
}
