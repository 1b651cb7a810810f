// Package tsrelay serves callers by host and path: it finds the route and the
// client account of a request, reserves its tokens, sends it to a backend
// server and relays the answer.
//
// Every refusal comes from the table of error kinds, and says that the request
// did not run only when that is certain. A request that may run at most once
// is sent to one server and never again once its first byte may have left. A
// stream that breaks off goes on at another server after its last whole event,
// where the route allows that.
//
// # Usage
//
//	relay := tsrelay.New(tsrelay.Config{Codec: codec, Router: pool, Budgets: holder, Upstream: upstream, Log: log})
//	relay.SetTable(tstable.New(table))
//	server := tsrelay.NewServer(relay, log)
//	err := server.Serve(ctx, listener) // returns after a graceful stop
package tsrelay

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"turmericshed"
	"turmericshed/core/tsadmit"
	"turmericshed/core/tsfreshness"
	"turmericshed/core/tstable"
	"turmericshed/io/tsobserve"
	"turmericshed/io/tsupstream"
)

const (
	// maxUnsentAttempts is how many servers may refuse the connection before a request
	// is given up.
	maxUnsentAttempts = 4
	// defaultTimeLimit stands in for a time limit that the caller did not tell.
	defaultTimeLimit = 30 * time.Second
	// silenceFactor times the objective is how long a request that can go
	// elsewhere may stay without its answer or first event; callers give up
	// at four times the objective.
	silenceFactor = 3
	// pauseFactor times the longest good pause is how long such a stream may
	// pause; callers give up at eight times that.
	pauseFactor = 4
	// staleRetryAfter is the advice where what is known is too old to act on.
	staleRetryAfter = 300 * time.Millisecond
	// sharedConnectionFraction of a server's connections is shared by the entry VMs
	// evenly; the rest is left for uneven loads.
	sharedConnectionFraction = 0.8
	// minConnectionShare is what each entry VM gets of a server's connections where
	// there are so many for all of them.
	minConnectionShare = 4
)

// RetryBounds bound the repeats that all entry VMs together send.
type RetryBounds struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Config holds what a Relay needs.
type Config struct {
	Codec    turmericshed.Codec
	Router   turmericshed.Router
	Budgets  turmericshed.Budgets
	Upstream *tsupstream.Client
	// Link tells whether bytes wait at this VM's own link; nil never does.
	Link turmericshed.Link
	// Limits hears what servers say of their limits; nil hears nothing.
	Limits turmericshed.ServerLimits
	// Crashes keeps requests from servers that end others; nil keeps none.
	Crashes turmericshed.CrashWatch
	Metrics *tsobserve.Metrics
	Log     *slog.Logger
	Retries RetryBounds
	// EntryVMs returns how many entry VMs there may be, this one included.
	EntryVMs func() int
	// Freshness tells for how long to act on what is known of routes, keys and
	// servers; nil allows any time.
	Freshness *tsfreshness.Tracker
}

// Relay serves callers' requests.
type Relay struct {
	cfg   Config
	table atomic.Pointer[tstable.Table]
	// isStopping is true from the start of a graceful stop.
	isStopping atomic.Bool

	mu      sync.Mutex
	bounds  RetryBounds
	retries map[string]*tsadmit.RetryWindow
}

// New returns a relay without a routing table, which refuses everything.
func New(cfg Config) *Relay {
	return &Relay{cfg: cfg, bounds: cfg.Retries, retries: make(map[string]*tsadmit.RetryWindow)}
}

// SetTable puts a routing table in force for the requests that follow.
func (s *Relay) SetTable(t *tstable.Table) { s.table.Store(t) }

// Table returns the routing table in force; nil before the first.
func (s *Relay) Table() *tstable.Table { return s.table.Load() }

// SetRetries replaces the bounds on repeats. The window's length stays for
// services that are in use.
func (s *Relay) SetRetries(b RetryBounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bounds = b
}

// Stop makes answers close their connections from now on.
func (s *Relay) Stop() { s.isStopping.Store(true) }

// Ready reports whether new connections are welcome.
func (s *Relay) Ready() bool {
	return s.table.Load() != nil && !s.isStopping.Load() && !s.linkFull() && s.checkFreshness(time.Now(), 0) == nil
}

// linkFull reports whether callers should go to other entry VMs.
func (s *Relay) linkFull() bool { return s.cfg.Link != nil && s.cfg.Link.Full() }

// ServeHTTP serves one request.
func (s *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isStopping.Load() || s.linkFull() {
		w.Header().Set("Connection", "close")
	}
	req := &request{relay: s, w: w, r: r, rc: http.NewResponseController(w), arrived: time.Now()}
	err := req.prepare()
	if err == nil {
		var cancel context.CancelFunc
		req.ctx, cancel = context.WithDeadlineCause(r.Context(), req.deadline, errDeadline)
		defer cancel()
		defer context.AfterFunc(r.Context(), req.recordCallerLeft)()
		err = req.serve()
	}
	req.finish(err)
}

// errDeadline is the cause of a context that ended at the request's deadline.
var errDeadline = errors.New("the request's deadline passed")

// countRequest counts a request for the service's retry budget.
func (s *Relay) countRequest(now time.Time, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryWindow(service).Request(now)
}

// allowRepeat reports whether one more repeat may be sent to the service.
func (s *Relay) allowRepeat(now time.Time, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryWindow(service).Allow(now)
}

// retryWindow returns a service's retry budget, with this entry VM's part of the
// fleet's slack.
func (s *Relay) retryWindow(service string) *tsadmit.RetryWindow {
	w := s.retries[service]
	if w == nil {
		w = &tsadmit.RetryWindow{Window: s.bounds.Window}
		s.retries[service] = w
	}
	w.Ratio, w.Slack = s.bounds.Ratio, s.bounds.Slack/float64(max(s.cfg.EntryVMs(), 1))
	return w
}

// linkCrowded reports whether bytes waited at this VM's own link at some time since
// then.
func (s *Relay) linkCrowded(since time.Time) bool { return s.cfg.Link != nil && s.cfg.Link.Crowded(since) }

// checkFreshness returns nil while this entry VM may act on what it knows of routes, keys
// and servers, in a way that takes effect after the delay. Else KindNotReady.
func (s *Relay) checkFreshness(now time.Time, delay time.Duration) error {
	f := s.cfg.Freshness
	if f == nil || now.Add(delay).Before(f.Until()) {
		return nil
	}
	err := turmericshed.NewError(turmericshed.KindNotReady, "the table is %s and the servers are %s old, and the store is not known to be out of reach",
		f.Age(now, tsfreshness.Table).Round(time.Millisecond), f.Age(now, tsfreshness.Servers).Round(time.Millisecond))
	return turmericshed.WithRetryAfter(err, staleRetryAfter)
}

// connectionShare is how many connections this entry VM opens to one server.
func (s *Relay) connectionShare(spec turmericshed.ServiceSpec) int {
	if spec.MaxConnections <= 0 {
		return 0
	}
	n := max(s.cfg.EntryVMs(), 1)
	return max(int(float64(spec.MaxConnections)*sharedConnectionFraction)/n, min(minConnectionShare, spec.MaxConnections/n), 1)
}
