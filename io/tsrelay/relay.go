// Package tsrelay serves callers by host and path: it finds the route and the
// client account of a request, reserves its tokens, sends it to a backend
// server and relays the answer.
//
// Every error response follows the table of error kinds, and states that the request
// did not run only when that is certain. A request that may run at most once is not
// sent again once its first byte may have left. An interrupted stream is resumed at
// another server after its last complete event, where the route allows that.
//
// # Usage
//
//	relay := tsrelay.New(tsrelay.Config{Codec: codec, Router: pool, Budgets: holder, Upstream: upstream, Log: log})
//	relay.SetTable(tstable.New(table))
//	server := tsrelay.NewServer(relay, log)
//	err := server.Serve(ctx, listener, stopTimeout) // returns after a graceful stop
package tsrelay

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"turmericshed"
	"turmericshed/core/tsadmit"
	"turmericshed/core/tsfreshness"
	"turmericshed/core/tstable"
	"turmericshed/io/tsintake"
	"turmericshed/io/tsobserve"
	"turmericshed/io/tsupstream"
)

const (
	// maxUnsentAttempts is the number of attempts in which nothing could be sent, for
	// example because the connection was refused, after which the request fails.
	maxUnsentAttempts = 4
	// defaultTimeLimit applies when the caller sent no time limit.
	defaultTimeLimit = 30 * time.Second
	// silenceFactor times the route's Objective is how long a request that can be sent to
	// another server waits for its answer or first event. Callers cancel at four
	// times the Objective.
	silenceFactor = 3
	// pauseFactor times the route's PauseObjective is how long the stream of such a
	// request may pause. Callers cancel at eight times the PauseObjective.
	pauseFactor = 4
	// eventsPastBeginning is the number of events after which a server has got past the
	// beginning of its answer: a prompt part that crashes servers does so when they begin
	// to write, and their first event may still leave.
	eventsPastBeginning = 2
	// verdictTimeout bounds the wait for a verdict on a server that may have terminated,
	// before a request is sent to another one.
	verdictTimeout = 400 * time.Millisecond
	// staleRetryAfter is the Retry-After while the routing table or the server list is
	// too old to act on.
	staleRetryAfter = 300 * time.Millisecond
	// sharedConnectionFraction is the part of a server's connections that is divided
	// evenly among the entry VMs; the remainder is a reserve for uneven load.
	sharedConnectionFraction = 0.8
	// minConnectionShare is the least number of connections to a server for each entry
	// VM, if the server allows that many for all of them.
	minConnectionShare = 4
)

// RetryLimits limit the repeated requests that all entry VMs together send to a service
// within Window: Ratio times the number of first requests, plus Slack.
type RetryLimits struct {
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
	// Link schedules bodies on the local link and reports whether the link is congested
	// or full; nil means that it never is.
	Link turmericshed.Link
	// ServerLimits receives the limits that servers send with their answers; may be nil.
	ServerLimits turmericshed.ServerLimits
	// OnFirstByte is called when the first byte of an answer, or the first event of a
	// stream, arrived from the server of an attempt. It may be called again for the same
	// attempt. nil means that nobody needs it.
	OnFirstByte func(now time.Time, id turmericshed.ServerID, r turmericshed.RouteRequest)
	// CrashWatch quarantines requests that crash servers; nil quarantines none.
	CrashWatch turmericshed.CrashWatch
	// StreamVersions knows at which software version streams began; nil lets a stream go on at any.
	StreamVersions turmericshed.StreamVersions
	// Admission refuses requests that the servers can't serve in time; nil admits
	// all. One that implements turmericshed.AdmissionFeedback learns from attempts.
	Admission   turmericshed.Admission
	Metrics     *tsobserve.Metrics
	Log         *slog.Logger
	RetryLimits RetryLimits
	// EntryVMs returns an upper bound on the number of entry VMs, this one included.
	EntryVMs func() int
	// Intake bounds the memory and connections of callers; nil sets no bounds.
	Intake *tsintake.Intake
	// Freshness bounds the age of the routes, keys and servers that the relay acts
	// on; nil sets no bound.
	Freshness *tsfreshness.Tracker
	// CallerBufferBytes bounds the bytes that are held for callers, see callerBuffers; 0
	// means a default.
	CallerBufferBytes int64
}

// Relay serves callers' requests.
type Relay struct {
	cfg   Config
	table atomic.Pointer[tstable.Table]
	// stop is set from the start of a graceful stop.
	stop    atomic.Pointer[stopTimes]
	buffers *callerBuffers

	mu      sync.Mutex
	bounds  RetryLimits
	retries map[string]*tsadmit.RetryWindow

	malformedLoads malformedLoads
}

// New returns a relay without a routing table, which refuses every request until
// SetTable is called.
func New(cfg Config) *Relay {
	var metrics prometheus.Registerer
	if cfg.Metrics != nil {
		metrics = cfg.Metrics.Registry()
	}
	return &Relay{
		cfg: cfg, bounds: cfg.RetryLimits, retries: make(map[string]*tsadmit.RetryWindow),
		buffers: newCallerBuffers(cfg.CallerBufferBytes, metrics, cfg.Log),
	}
}

// SetTable sets the routing table for later requests.
func (s *Relay) SetTable(t *tstable.Table) { s.table.Store(t) }

// Table returns the current routing table, nil before the first SetTable.
func (s *Relay) Table() *tstable.Table { return s.table.Load() }

// SetRetryLimits replaces the limits on repeated requests. Services that already have a
// retry budget retain its window length.
func (s *Relay) SetRetryLimits(b RetryLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bounds = b
}

// stopTimes are the times of a graceful stop.
type stopTimes struct {
	// acceptUntil is until when requests are sent to servers, cutAt when the connections
	// of running requests are closed.
	acceptUntil, cutAt time.Time
}

// Stop begins a graceful stop: from now on every answer closes its connection. Requests
// that were not sent to a server by acceptUntil are refused, and so are those that may not
// be repeated and have time beyond cutAt, when the remaining connections are closed.
func (s *Relay) Stop(acceptUntil, cutAt time.Time) {
	s.stop.Store(&stopTimes{acceptUntil: acceptUntil, cutAt: cutAt})
}

// isStopping reports whether a graceful stop has begun.
func (s *Relay) isStopping() bool { return s.stop.Load() != nil }

// Ready reports whether this entry VM should receive new connections.
func (s *Relay) Ready() bool {
	return s.table.Load() != nil && !s.isStopping() && !s.linkFull() && s.checkFreshness(time.Now(), 0) == nil
}

// linkFull reports whether callers should use other entry VMs because the local link is
// full.
func (s *Relay) linkFull() bool { return s.cfg.Link != nil && s.cfg.Link.IsSaturated() }

// ServeHTTP serves one request.
func (s *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isStopping() || s.linkFull() {
		w.Header().Set("Connection", "close")
	}
	req := &request{relay: s, w: w, r: r, rc: http.NewResponseController(w), arrived: time.Now(), intake: s.cfg.Intake.NewRequest(w, r)}
	defer req.releaseMemory()
	defer req.logPanic()
	err := req.prepare()
	if err == nil {
		var cancel context.CancelFunc
		req.ctx, cancel = context.WithDeadlineCause(r.Context(), req.deadline, errDeadline)
		defer cancel()
		defer context.AfterFunc(r.Context(), req.recordCallerDisconnect)()
		err = req.serve()
	}
	req.finish(err)
}

// errDeadline is the cancellation cause of a context whose deadline passed.
var errDeadline = errors.New("the request's deadline passed")

// countRequest counts a first request toward the service's retry budget.
func (s *Relay) countRequest(now time.Time, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryWindow(service).Request(now)
}

// allowRepeat reports whether the service's retry budget allows one more repeat, and
// takes it from the budget.
func (s *Relay) allowRepeat(now time.Time, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryWindow(service).Allow(now)
}

// retryWindow returns a service's retry budget, with this entry VM's share of the
// fleet-wide slack. s.mu must be held.
func (s *Relay) retryWindow(service string) *tsadmit.RetryWindow {
	w := s.retries[service]
	if w == nil {
		w = &tsadmit.RetryWindow{Window: s.bounds.Window}
		s.retries[service] = w
	}
	w.Ratio, w.Slack = s.bounds.Ratio, s.bounds.Slack/float64(max(s.cfg.EntryVMs(), 1))
	return w
}

// linkCongested reports whether bytes waited at the local link at any time after since.
func (s *Relay) linkCongested(since time.Time) bool {
	return s.cfg.Link != nil && s.cfg.Link.WasCongested(since)
}

// checkFreshness returns nil if the routes, keys and servers are recent enough for an
// action that takes effect after the delay, else KindNotReady. While the store is known to
// be unreachable, older state is accepted for a limited time.
func (s *Relay) checkFreshness(now time.Time, delay time.Duration) error {
	f := s.cfg.Freshness
	if f == nil || now.Add(delay).Before(f.UsableUntil()) {
		return nil
	}
	err := turmericshed.NewError(turmericshed.KindNotReady, "the routing table is %s old and the server list is %s old, and the store is not known to be unreachable",
		f.Age(now, tsfreshness.Table).Round(time.Millisecond), f.Age(now, tsfreshness.Servers).Round(time.Millisecond))
	return turmericshed.WithRetryAfter(err, staleRetryAfter)
}

// connectionShare returns how many connections this entry VM may open to one server; 0
// means no limit.
func (s *Relay) connectionShare(spec turmericshed.ServiceSpec) int {
	if spec.MaxConnections <= 0 {
		return 0
	}
	n := max(s.cfg.EntryVMs(), 1)
	return max(int(float64(spec.MaxConnections)*sharedConnectionFraction)/n, min(minConnectionShare, spec.MaxConnections/n), 1)
}
