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

	"github.com/thejerf/suture/v4"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/io/tsintake"
	"turmericshed/io/tspeer"
)

// notReadyDelay is how long a stopping entry VM still accepts requests after it reports not ready, so that
// the load balancer has time to notice.
const notReadyDelay = time.Second

// A starting entry VM checks its readiness at readyPollInterval and becomes ready after readyTimeout in
// any case.
const (
	readyPollInterval = 50 * time.Millisecond
	readyTimeout      = 10 * time.Second
)

// RetryBudget limits retries to a fraction of the traffic.
type RetryBudget interface {
	// RecordFirstAttempt counts a first attempt.
	RecordFirstAttempt(now time.Time)
	// Allow reports whether another retry is within the budget, and if so charges it to the budget.
	Allow(now time.Time) bool
}

// RequestMetrics records request metrics. Its methods never block.
type RequestMetrics interface {
	// RecordRequest records a finished request; a firstByte of 0 means that there was no answer.
	RecordRequest(work turmericshed.WorkKind, kind turmericshed.Kind, firstByte, elapsed time.Duration)
	// RecordTokenGap records the time between two frames of a stream.
	RecordTokenGap(d time.Duration)
}

// Deps holds the dependencies of an entry VM.
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
	// Intake bounds the memory and connections of callers; nil sets no bounds.
	Intake         *tsintake.Intake
	Engine         turmericshed.Engine
	Service        turmericshed.Service
	Recorder       turmericshed.Recorder
	RequestMetrics RequestMetrics
	Log            *slog.Logger
	// Metrics and Timeline serve /metrics and /operator/timeline; a nil handler leaves its path unserved.
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
	unsettled       *unsettledQueue
	registry        *registry
	ready           atomic.Bool
	stopGenerations context.CancelFunc
	killed          chan struct{}
	kill            sync.Once
}

// New returns an entry VM; Serve starts it.
func New(cfg Config, deps Deps) *Entry {
	base, stop := context.WithCancel(context.Background())
	return &Entry{
		cfg: cfg, deps: deps, accounts: newAccounts(deps.Store, deps.Members), generations: newGenerationTable(base), unsettled: newUnsettledQueue(),
		registry: newRegistry(), stopGenerations: stop, killed: make(chan struct{}),
	}
}

// Handler returns the HTTP handler for callers and operators.
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

// recoverPanics answers a request whose handler panics with an internal error.
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

// Ready reports whether /readyz reports ready, so that the load balancer sends requests here.
func (e *Entry) Ready() bool { return e.ready.Load() }

// awaitReady waits until the platform's list and the accounts have been read, but at most readyTimeout:
// an isolated failure domain serves the requests that it can.
func (e *Entry) awaitReady(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.After(readyTimeout)
	for {
		dir, changed := e.deps.Board.Directory.Watch()
		if !dir.AsOf.IsZero() && len(e.deps.Board.Servers.Read()) > 0 && e.accounts.ready() {
			break
		}
		select {
		case <-changed:
		case <-time.After(readyPollInterval):
		case <-timeout:
			e.deps.Log.Warn("readiness timeout passed before the platform's list and the accounts were read; reporting ready")
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

// Serve serves callers on the caller address until ctx is done, then stops gracefully: it reports not
// ready, drains the running requests, returns its lots and hands over its claims. Errors: KindBadRequest
// (the address can't be listened on), KindInternal.
func (e *Entry) Serve(ctx context.Context) error {
	ln, err := tsintake.Listen(ctx, e.cfg.CallerAddr, e.cfg.MemoryBytes)
	if err != nil {
		return turmericshed.WrapError(turmericshed.KindBadRequest, err, "caller address %s", e.cfg.CallerAddr)
	}
	return e.ServeListener(ctx, ln)
}

// ServeListener is like Serve but uses an open listener.
func (e *Entry) ServeListener(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{
		Handler: e.Handler(), ReadHeaderTimeout: headerReadTimeout,
		MaxHeaderBytes: maxHeaderBytes, IdleTimeout: 2 * time.Minute,
		ConnContext: tsintake.WithConn, ConnState: tsintake.TrackState,
	}
	controllers, stopControllers := context.WithCancel(context.Background())
	defer stopControllers()
	stopped := e.supervise(controllers)
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(e.deps.Intake.Listener(ln)) }()
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

// Kill stops a serving entry VM immediately, as a VM crash does: no request is drained, no cost settled
// and no lot returned.
func (e *Entry) Kill() {
	e.kill.Do(func() { close(e.killed) })
	e.stopGenerations()
}

// supervise starts every controller. The returned channel receives the supervisor's error once all have
// stopped.
func (e *Entry) supervise(ctx context.Context) <-chan error {
	sup := suture.New("entry", suture.Spec{EventHook: func(ev suture.Event) {
		e.deps.Log.Warn("supervisor reported a controller event", "event", ev.String())
		e.deps.Recorder.Record(turmericshed.Event{Name: turmericshed.EventControllerFailed, Reason: ev.String()})
	}})
	sup.Add(&canceler{e})
	sup.Add(e.accounts)
	for _, c := range e.deps.Controllers {
		sup.Add(c)
	}
	return sup.ServeBackground(ctx)
}

// ignoreCanceled drops the error of a supervisor that was stopped on purpose.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// drain runs the steps of a graceful stop within the drain limit.
func (e *Entry) drain(srv *http.Server) error {
	e.deps.Recorder.Record(turmericshed.Event{Name: turmericshed.EventDrainStarted})
	e.ready.Store(false)
	e.deps.Board.Draining.Write(true)
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.DrainTimeout)
	defer cancel()
	select {
	case <-time.After(min(notReadyDelay, e.cfg.DrainTimeout/4)):
	case <-ctx.Done():
	}
	e.deps.Intake.StopReading(turmericshed.NewError(turmericshed.KindDraining, "this entry VM is stopping"))
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
