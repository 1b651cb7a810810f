// Package tscrash blocks requests, and prompt parts, on all entry VMs after several
// backend servers terminated consecutively while running them. It implements
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
// the evidence to the store for those that start later. Before they block a prompt
// part, they ask every entry VM for answers to requests with it, since most requests of
// a route may share a part. See docs/design/crashes.md.
//
// # Usage
//
//	w := tscrash.New(tscrash.Config{Members: members, Peers: peers, Board: board, Store: store, Dial: dial, Log: log})
//	server.Mount(w.Handler())
//	for _, c := range w.Controllers() {
//		supervisor.Add(c)
//	}
//	if err := w.Check(time.Now(), subject); err != nil { ... } // not sent
//	w.ConnectionLost(server, subject, began)
//	w.PartsSurvived(time.Now(), subject.Parts) // the server got past the beginning
//	w.Survived(time.Now(), subject.Request)    // the answer was complete
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
	// maxAnsweredParts bounds the prompt parts whose last answer is remembered, and
	// answeredPartAge for how long.
	maxAnsweredParts = 8192
	answeredPartAge  = 20 * time.Minute
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
	// reportWake, confirmWake, notifyWake and persistWake wake the reporter, the
	// confirmer, the notifier and the persister.
	reportWake, confirmWake, notifyWake, persistWake chan struct{}

	// answeredMu guards answered: when a request with each part was last answered.
	answeredMu sync.Mutex
	answered   *tspoison.Recent[turmericshed.Digest]

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
		cfg: cfg, reportWake: make(chan struct{}, 1), confirmWake: make(chan struct{}, 1), notifyWake: make(chan struct{}, 1), persistWake: make(chan struct{}, 1),
		answered:  tspoison.NewRecent[turmericshed.Digest](maxAnsweredParts, answeredPartAge),
		undecided: make(map[processKey]*undecidedServer), unreported: make(map[turmericshed.Digest]bool), unsaved: make(map[turmericshed.Digest]bool),
		requestChange: make(map[turmericshed.Digest]uint64), deliveries: make(map[string]*delivery),
	}
	w.register()
	return w
}

// Controllers returns the controllers to supervise.
func (w *Watch) Controllers() []turmericshed.Controller {
	return []turmericshed.Controller{listWatcher{w}, reporter{w}, confirmer{w}, notifier{w}, persister{w}}
}

// Active reports whether there is evidence about any request or part.
func (w *Watch) Active() bool { return w.evidenceCount.Load() > 0 }

// Check returns an error for a request that may not be sent. Errors: KindQuarantined,
// with the remaining time of the quarantine as the time to retry after.
func (w *Watch) Check(now time.Time, c turmericshed.CrashSubject) error {
	if !w.Active() {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if until, blocked := w.book.BlockedUntil(now, c.Request); blocked {
		return w.refuse(now, until, "backend servers ended one after another under request %s", c.Request)
	}
	for _, part := range c.Parts {
		if until, blocked := w.book.BlockedUntil(now, part); blocked {
			return w.refuse(now, until, "backend servers ended one after another under requests with prompt part %s", part)
		}
	}
	return nil
}

// refuse counts a refused attempt and returns its error.
func (w *Watch) refuse(now, until time.Time, format string, d turmericshed.Digest) error {
	w.counters.refused.Inc()
	return turmericshed.WithRetryAfter(turmericshed.NewError(turmericshed.KindQuarantined, format, d), until.Sub(now))
}

// Survived clears a request that received a complete answer.
func (w *Watch) Survived(now time.Time, d turmericshed.Digest) {
	if w.Active() {
		w.clear(now, d)
	}
}

// PartsSurvived clears the prompt parts of a request whose answer a server got past the
// beginning of, and remembers the time for evidence that comes later.
func (w *Watch) PartsSurvived(now time.Time, parts []turmericshed.Digest) {
	if len(parts) == 0 {
		return
	}
	w.answeredMu.Lock()
	for _, part := range parts {
		w.answered.Set(now, part)
	}
	w.answeredMu.Unlock()
	if w.Active() {
		w.clear(now, parts...)
	}
}

// clear records an answer for requests or parts, and queues it for the aggregators where
// it clears any evidence.
func (w *Watch) clear(now time.Time, digests ...turmericshed.Digest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range digests {
		if !w.book.Survived(now, d) {
			continue
		}
		w.unreported[d] = true
		wake(w.reportWake)
		message := "request cleared; reporting it"
		if e, _ := w.book.Get(d); e.Depth > 0 {
			message = "prompt part cleared; reporting it"
		}
		w.cfg.Log.Info(message, "digest", string(d), "reason", "answered")
	}
}

// recordChanges updates the number of requests and parts with evidence after changes of
// the book and logs the changed ones that are in quarantine. from is the sender of the
// evidence, empty for this entry VM. w.mu is held.
func (w *Watch) recordChanges(now time.Time, changed []tspoison.Evidence, from string) {
	w.evidenceCount.Store(int64(w.book.Len()))
	for _, e := range changed {
		until := e.BlockedUntil()
		if !now.Before(until) {
			continue
		}
		last := e.Crashes[len(e.Crashes)-1]
		message := "request quarantined"
		if e.Depth > 0 {
			message = "prompt part quarantined"
		}
		w.cfg.Log.Warn(message, "digest", string(e.Digest), "ends", len(e.Crashes), "for_ms", until.Sub(now).Milliseconds(),
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
