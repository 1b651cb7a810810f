// Package tscrash blocks requests on all entry VMs after several backend servers
// terminated consecutively while running them. It implements
// turmericshed.CrashWatch; core/tspoison makes the decisions.
//
// A connection that is lost before the complete answer is weak evidence: answers
// get lost, and links fail. The server's address is therefore probed, by this entry
// VM and by others, because a network partition on this side may refuse connections
// as well. An unreachable server counts as terminated once the list of servers no
// longer contains its process.
//
// Evidence is reported to a few aggregators, entry VMs that every entry VM selects by
// the same ranking. Once several servers terminated consecutively under a request,
// with no complete answer in between, the aggregators notify every entry VM and write
// the evidence to the store for those that start later. See docs/design/crashes.md.
//
// # Usage
//
//	w := tscrash.New(tscrash.Config{Members: members, Peers: peers, Board: board, Store: store, Dial: dial, Log: log})
//	server.Mount(w.Handler())
//	for _, c := range w.Controllers() {
//		supervisor.Add(c)
//	}
//	if err := w.Check(time.Now(), digest); err != nil { ... } // not sent
//	w.Broke(server, digest, began)   // the connection was lost
//	w.Survived(time.Now(), digest)   // the answer was complete
package tscrash

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/core/tspoison"
	"turmericshed/io/tspeer"
)

const (
	// dropExpiredInterval is the time between removals of expired evidence.
	dropExpiredInterval = time.Minute
	// maxLoggedDigests bounds the digests in one log line.
	maxLoggedDigests = 8
)

// Config holds the dependencies of a Watch.
type Config struct {
	Members turmericshed.Members
	Peers   tspeer.Peers
	// Board provides the list of servers.
	Board *tsboard.Board
	// Store holds the evidence about blocked requests for entry VMs that start later.
	Store turmericshed.Store
	// FirstStart is true when the store cannot hold any evidence yet.
	FirstStart bool
	// Dial opens a connection to a server.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Link reports whether the local network link is congested; nil means that it never is.
	Link turmericshed.Link
	// Metrics registers the metrics; nil registers none.
	Metrics prometheus.Registerer
	Log     *slog.Logger
}

// Watch implements turmericshed.CrashWatch.
type Watch struct {
	cfg      Config
	counters counters
	// evidenceCount is the number of requests with evidence in the book.
	evidenceCount atomic.Int64
	// reportWake, notifyWake and persistWake wake the reporter, the notifier and the
	// persister.
	reportWake, notifyWake, persistWake chan struct{}

	mu   sync.Mutex
	book tspoison.Book
	// undecided holds the servers that lost a connection and whose termination is
	// neither confirmed nor ruled out yet.
	undecided map[processKey]*undecidedServer
	// unreported holds the requests whose evidence is to be sent to the aggregators.
	unreported map[turmericshed.Digest]bool
	// unsaved holds the requests whose evidence is to be written to the store.
	unsaved map[turmericshed.Digest]bool
	// lastChange is the number of the last change to be sent to all entry VMs.
	lastChange uint64
	// requestChange holds the number of the last change of each request.
	requestChange map[turmericshed.Digest]uint64
	// deliveries holds the progress of notifying each entry VM, by name.
	deliveries map[string]*delivery
}

var _ turmericshed.CrashWatch = (*Watch)(nil)

// New returns a Watch without evidence.
func New(cfg Config) *Watch {
	w := &Watch{
		cfg: cfg, reportWake: make(chan struct{}, 1), notifyWake: make(chan struct{}, 1), persistWake: make(chan struct{}, 1),
		undecided: make(map[processKey]*undecidedServer), unreported: make(map[turmericshed.Digest]bool), unsaved: make(map[turmericshed.Digest]bool),
		requestChange: make(map[turmericshed.Digest]uint64), deliveries: make(map[string]*delivery),
	}
	w.register()
	return w
}

// Controllers returns the controllers to supervise.
func (w *Watch) Controllers() []turmericshed.Controller {
	return []turmericshed.Controller{listWatcher{w}, reporter{w}, notifier{w}, persister{w}}
}

// Active reports whether there is evidence about any request.
func (w *Watch) Active() bool { return w.evidenceCount.Load() > 0 }

// Check returns an error for a request that may not be sent. Errors: KindQuarantined,
// with the remaining time of the quarantine as the time to retry after.
func (w *Watch) Check(now time.Time, d turmericshed.Digest) error {
	if !w.Active() {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	until, blocked := w.book.BlockedUntil(now, d)
	if !blocked {
		return nil
	}
	w.counters.refused.Inc()
	err := turmericshed.NewError(turmericshed.KindQuarantined, "backend servers ended one after another under request %s", d)
	return turmericshed.WithRetryAfter(err, until.Sub(now))
}

// Survived clears a request that received a complete answer.
func (w *Watch) Survived(now time.Time, d turmericshed.Digest) {
	if !w.Active() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.book.Survived(now, d) {
		return
	}
	w.unreported[d] = true
	wake(w.reportWake)
	w.cfg.Log.Info("request cleared; reporting it", "digest", string(d), "reason", "answered whole")
}

// recordChanges updates the number of requests with evidence after changes of the book
// and logs the changed requests that are in quarantine. from is the sender of the
// evidence, empty for this entry VM. w.mu is held.
func (w *Watch) recordChanges(now time.Time, changed []tspoison.Evidence, from string) {
	w.evidenceCount.Store(int64(w.book.Len()))
	for _, e := range changed {
		until := e.BlockedUntil()
		if !now.Before(until) {
			continue
		}
		last := e.Crashes[len(e.Crashes)-1]
		w.cfg.Log.Warn("request quarantined", "digest", string(e.Digest), "ends", len(e.Crashes), "for_ms", until.Sub(now).Milliseconds(),
			"server", string(last.Server), "last_end_ms_ago", now.Sub(last.At).Milliseconds(), "entry_vm", from)
	}
}

// wake wakes the controller that receives from c, without blocking.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
