package tsentry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"turmericshed/io/tspeer"

	"github.com/thejerf/suture/v4"

	"turmericshed"
	"turmericshed/core/tsboard"
)

// notReadyDelay is how long an entry VM that is stopping still takes
// requests after it told the balancer that it is not ready.
const notReadyDelay = time.Second

// A starting entry VM looks this often whether it is ready, and is ready
// after readyTimeout in any case.
const (
	readyPollInterval = 50 * time.Millisecond
	readyTimeout      = 10 * time.Second
)

// RetryBudget bounds retries to a share of the traffic.
type RetryBudget interface {
	// Sent counts a first attempt.
	Sent(now time.Time)
	// Allow reports whether one more retry is within the budget.
	Allow(now time.Time) bool
}

// Measure takes measurements of requests; it never blocks.
type Measure interface {
	// Request counts one ended request; a firstByte of 0 means no answer.
	Request(work turmericshed.WorkKind, kind turmericshed.Kind, firstByte, elapsed time.Duration)
	// TokenGap counts the time between two frames of a stream.
	TokenGap(d time.Duration)
}

// Deps are the parts that an entry VM works with.
type Deps struct {
	Board      *tsboard.Board
	Store      turmericshed.Store
	Members    turmericshed.Members
	Peers      tspeer.Peers
	Profiles   turmericshed.Profiles
	Budgets    turmericshed.Budgets
	Claims     turmericshed.Claims
	Router     turmericshed.Router
	Admission  turmericshed.Admission
	Quarantine turmericshed.Quarantine
	Retries    RetryBudget
	Engine     turmericshed.Engine
	Service    turmericshed.Service
	Recorder   turmericshed.Recorder
	Measure    Measure
	Log        *slog.Logger
	// Metrics and Timeline serve /metrics and /operator/timeline.
	Metrics  http.Handler
	Timeline http.Handler
	// Controllers run under the supervisor.
	Controllers []turmericshed.Controller
}

// Entry is one entry VM.
type Entry struct {
	cfg             Config
	deps            Deps
	accounts        *accounts
	generations     *generationTable
	unsettled       *unsettledAttempts
	registry        *registry
	ready           atomic.Bool
	stopGenerations context.CancelFunc
	killed          chan struct{}
	kill            sync.Once
}

// New returns an entry VM that is not serving yet.
func New(cfg Config, deps Deps) *Entry {
	base, stop := context.WithCancel(context.Background())
	return &Entry{
		cfg: cfg, deps: deps, accounts: newAccounts(deps.Store, deps.Members), generations: newGenerationTable(base), unsettled: newUnsettledAttempts(),
		registry: newRegistry(), stopGenerations: stop, killed: make(chan struct{}),
	}
}

// Handler serves callers and operators.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.recoverPanics(e.serveChat))
	mux.HandleFunc(servicePathPrefix, e.recoverPanics(e.serveCall))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", e.serveReady)
	if e.deps.Metrics != nil {
		mux.Handle("GET /metrics", e.deps.Metrics)
	}
	if e.deps.Timeline != nil {
		mux.Handle("GET /operator/timeline", e.requireOperatorKey(e.deps.Timeline))
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		e.writeError(w, request{}, turmericshed.NewError(turmericshed.KindNotFound, "no such path"))
	})
	return mux
}

// recoverPanics turns a panic of a request into an internal error.
func (e *Entry) recoverPanics(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(v)
			}
			e.recordPanic(v, "")
			e.writeError(w, request{}, turmericshed.NewError(turmericshed.KindInternal, "panic: %v", v))
		}()
		h(w, r)
	}
}

func (e *Entry) recordPanic(v any, id turmericshed.RequestID) {
	ev := turmericshed.Event{Name: turmericshed.EventControllerFailed, Request: id, Reason: "panic"}
	if inv, ok := turmericshed.AsInvariant(v); ok {
		ev.Name, ev.Reason = turmericshed.EventInvariantBroken, inv.Error()
	}
	e.deps.Recorder.Record(ev)
	e.deps.Log.Error("request panicked", "request", id, "panic", v)
}

// Ready reports whether callers are told to come.
func (e *Entry) Ready() bool { return e.ready.Load() }

// awaitReady waits until the platform's list and the accounts have been
// read, or for readyTimeout: a failure domain that is cut off serves what it
// can.
func (e *Entry) awaitReady(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := time.After(readyTimeout)
	for {
		dir, changed := e.deps.Board.Directory.Watch()
		if !dir.AsOf.IsZero() && len(e.deps.Board.Servers.Read()) > 0 && e.accounts.ready() {
			break
		}
		select {
		case <-changed:
		case <-time.After(readyPollInterval):
		case <-limit:
			e.deps.Log.Warn("ready without the platform's list")
			e.ready.Store(true)
			return
		case <-ctx.Done():
			return
		}
	}
	e.ready.Store(ctx.Err() == nil)
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Serve serves callers on the caller address until ctx ends, then stops
// gracefully: not ready, drained, lots returned, claims handed on.
func (e *Entry) Serve(ctx context.Context) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", e.cfg.CallerAddr.String())
	if err != nil {
		return turmericshed.WrapError(turmericshed.KindBadRequest, err, "caller address %s", e.cfg.CallerAddr)
	}
	return e.ServeListener(ctx, ln)
}

// ServeListener is Serve on a listener that is already open.
func (e *Entry) ServeListener(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{
		Handler: e.Handler(), ReadHeaderTimeout: headerReadTimeout,
		MaxHeaderBytes: maxHeaderBytes, IdleTimeout: 2 * time.Minute,
	}
	controllers, stopControllers := context.WithCancel(context.Background())
	defer stopControllers()
	stopped := e.supervise(controllers)
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	go e.awaitReady(ctx)
	e.deps.Log.Info("serving", "addr", ln.Addr().String())
	select {
	case err := <-failed:
		return turmericshed.WrapError(turmericshed.KindInternal, err, "caller server")
	case <-e.killed:
		return srv.Close()
	case <-ctx.Done():
	}
	err := e.drain(srv)
	stopControllers()
	err = errors.Join(err, ignoreCanceled(<-stopped))
	return err
}

// Kill ends a serving entry VM at once, as the loss of its VM does: nothing
// is drained, settled or returned.
func (e *Entry) Kill() {
	e.kill.Do(func() { close(e.killed) })
	e.stopGenerations()
}

// supervise runs every controller; the channel closes once all have ended.
func (e *Entry) supervise(ctx context.Context) <-chan error {
	sup := suture.New("entry", suture.Spec{EventHook: func(ev suture.Event) {
		e.deps.Log.Warn("controller restarted", "event", ev.String())
		e.deps.Recorder.Record(turmericshed.Event{Name: turmericshed.EventControllerFailed, Reason: ev.String()})
	}})
	sup.Add(&canceler{e})
	sup.Add(e.accounts)
	for _, c := range e.deps.Controllers {
		sup.Add(c)
	}
	return sup.ServeBackground(ctx)
}

// ignoreCanceled drops the error of a supervisor that was told to stop.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// drain ends a graceful stop within the drain limit.
func (e *Entry) drain(srv *http.Server) error {
	e.deps.Recorder.Record(turmericshed.Event{Name: turmericshed.EventDrainStarted})
	e.ready.Store(false)
	e.deps.Board.Draining.Write(true)
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.DrainLimit)
	defer cancel()
	select {
	case <-time.After(min(notReadyDelay, e.cfg.DrainLimit/4)):
	case <-ctx.Done():
	}
	err := srv.Shutdown(ctx)
	e.stopGenerations()
	(&canceler{e}).cancelAll(ctx)
	err = errors.Join(err, e.deps.Claims.Drain(ctx), e.deps.Budgets.Drain(ctx))
	e.deps.Recorder.Record(turmericshed.Event{Name: turmericshed.EventDrainEnded})
	e.deps.Log.Info("stopped")
	if err != nil {
		return turmericshed.WrapError(turmericshed.KindInternal, err, "graceful stop")
	}
	return nil
}
