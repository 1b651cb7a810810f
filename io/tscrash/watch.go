// Package tscrash keeps requests from backend servers after others ended under
// them, on all entry VMs. It implements turmericshed.CrashWatch around the
// decisions of core/tspoison.
//
// A connection that ends without a whole answer proves little: answers are lost,
// and links fail. The server's address is looked at then, by this entry VM and by
// others, since one's own cut may refuse connections as well. A server that can't
// be reached has ended when the list of servers says so. That is reported to a few
// entry VMs, which all choose alike and which count for all. Once servers ended in
// turn, with no whole answer in between, they tell every entry VM, and write it to
// the store for those that start later. See docs/design/crashes.md.
//
// # Usage
//
//	w := tscrash.New(tscrash.Config{Members: members, Peers: peers, Board: board, Store: store, Dial: dial, Log: log})
//	server.Mount(w.Handler())
//	for _, c := range w.Controllers() {
//		supervisor.Add(c)
//	}
//	if err := w.Check(time.Now(), digest); err != nil { ... } // not sent
//	w.Broke(server, digest, began)   // the connection ended
//	w.Survived(time.Now(), digest)   // answered whole
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
	// dropExpiredInterval is the time between searches for evidence that is spent.
	dropExpiredInterval = time.Minute
	// maxLoggedDigests bounds the requests that a line of the log names.
	maxLoggedDigests = 8
)

// Config holds what a Watch needs.
type Config struct {
	Members turmericshed.Members
	Peers   tspeer.Peers
	// Board tells the listed servers.
	Board *tsboard.Board
	// Store keeps what is barred for entry VMs that start later.
	Store turmericshed.Store
	// FirstStart is true when nothing can be kept yet.
	FirstStart bool
	// Dial opens connections to servers.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Link tells whether bytes wait at the own link; nil never does.
	Link turmericshed.Link
	// Metrics takes the metrics; may be nil.
	Metrics prometheus.Registerer
	Log     *slog.Logger
}

// Watch implements turmericshed.CrashWatch.
type Watch struct {
	cfg      Config
	counters counters
	// evidenceCount is the number of requests with evidence.
	evidenceCount atomic.Int64
	// reportWake, notifyWake and persistWake wake the controllers.
	reportWake, notifyWake, persistWake chan struct{}

	mu   sync.Mutex
	book tspoison.Book
	// undecided are the servers whose connections broke and of which it isn't known
	// whether they ended.
	undecided map[serverProcess]*undecidedServer
	// unreported is the evidence to be reported, unkept what the store lacks.
	unreported map[turmericshed.Digest]bool
	unsaved map[turmericshed.Digest]bool
	// lastChange numbers the lastChange to be told, change has the last one of each
	// request, and told how far each entry VM was told, by name.
	lastChange uint64
	requestChange  map[turmericshed.Digest]uint64
	deliveries    map[string]*delivery
}

var _ turmericshed.CrashWatch = (*Watch)(nil)

// New returns a watch without evidence.
func New(cfg Config) *Watch {
	w := &Watch{
		cfg: cfg, reportWake: make(chan struct{}, 1), notifyWake: make(chan struct{}, 1), persistWake: make(chan struct{}, 1),
		undecided: make(map[serverProcess]*undecidedServer), unreported: make(map[turmericshed.Digest]bool), unsaved: make(map[turmericshed.Digest]bool),
		requestChange: make(map[turmericshed.Digest]uint64), deliveries: make(map[string]*delivery),
	}
	w.register()
	return w
}

// Controllers returns the loops to be supervised.
func (w *Watch) Controllers() []turmericshed.Controller {
	return []turmericshed.Controller{listWatcher{w}, reporter{w}, notifier{w}, persister{w}}
}

// Active reports whether there is any evidence.
func (w *Watch) Active() bool { return w.evidenceCount.Load() > 0 }

// Check returns KindQuarantined, with the time to the quarantine's end, for a
// request that may not be sent.
func (w *Watch) Check(now time.Time, d turmericshed.Digest) error {
	if !w.Active() {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	until, barred := w.book.Barred(now, d)
	if !barred {
		return nil
	}
	w.counters.refused.Inc()
	err := turmericshed.NewError(turmericshed.KindQuarantined, "backend servers ended one after another under request %s", d)
	return turmericshed.WithRetryAfter(err, until.Sub(now))
}

// Survived clears a request that was answered whole.
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
	w.cfg.Log.Info("request cleared", "digest", string(d), "reason", "answered whole")
}

// recordChanges takes over what the book has learned. w.mu is held.
func (w *Watch) recordChanges(now time.Time, news []tspoison.Evidence, from string) {
	w.evidenceCount.Store(int64(w.book.Len()))
	for _, e := range news {
		until := e.BarredUntil()
		if !now.Before(until) {
			continue
		}
		last := e.Crashes[len(e.Crashes)-1]
		w.cfg.Log.Warn("request quarantined", "digest", string(e.Digest), "ends", len(e.Crashes), "for_ms", until.Sub(now).Milliseconds(),
			"server", string(last.Server), "last_end_ms_ago", now.Sub(last.At).Milliseconds(), "entry_vm", from)
	}
}

// wake wakes a controller.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
