// Package tsgateway assembles an entry VM of the users' platform: store mirrors,
// routing, budgets, the peer endpoints and the caller endpoint, with their
// controllers under one supervisor.
//
// # Usage
//
//	g, err := tsgateway.New(tsgateway.Config{Settings: settings, Log: log})
//	if err != nil { ... }
//	err = g.Serve(ctx) // returns after a graceful shutdown
package tsgateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsfreshness"
	"turmericshed/core/tsspill"
	"turmericshed/core/tstable"
	"turmericshed/io/tscommit"
	"turmericshed/io/tscrash"
	"turmericshed/io/tsfeed"
	"turmericshed/io/tsholder"
	"turmericshed/io/tsintake"
	"turmericshed/io/tsload"
	"turmericshed/io/tsmeter"
	"turmericshed/io/tsmirror"
	"turmericshed/io/tsobserve"
	"turmericshed/io/tspeer"
	"turmericshed/io/tspermits"
	"turmericshed/io/tsregistry"
	"turmericshed/io/tsrelay"
	"turmericshed/io/tsrouting"
	"turmericshed/io/tsupstream"
	"turmericshed/io/tsversion"
	"turmericshed/platform"
)

const (
	// lotReturnReserve is the part of the stop timeout reserved for returning
	// lots.
	lotReturnReserve = 1200 * time.Millisecond
	// exitReserve is the part of the stop timeout reserved for the process exit.
	exitReserve = 300 * time.Millisecond
	// firstDrawDelay is the delay before the first draw from a new account's
	// budget, in which an entry VM that has just started discovers its peers.
	// firstDrawJitter is the maximum random addition to it: all entry VMs
	// receive a new account at the same time.
	firstDrawDelay  = 2 * time.Second
	firstDrawJitter = 1500 * time.Millisecond
	// takeOverTimeout bounds the return of an earlier process's lots; no caller is
	// served before it is done.
	takeOverTimeout = 1500 * time.Millisecond
	// usualRequestTokens is the assumed cost of a request before any request
	// was served.
	usualRequestTokens = 10_000
	// serversPerPrefix is the number of servers that a prompt prefix is routed
	// to: computing a prompt of thousands of tokens on a second server costs
	// more than an uneven load.
	serversPerPrefix = 1
	// callerBufferFraction is the part of the memory for what is held for callers that
	// read slowly.
	callerBufferFraction = 0.125
	// minVersionRetention and defaultVersionRetention are how long a software version stays registered
	// after its last server has left: at least, and where the timeouts of streams are unknown.
	minVersionRetention     = 10 * time.Second
	defaultVersionRetention = time.Minute
	// restartBackoff is the supervisor's backoff after repeated controller
	// failures.
	restartBackoff = 200 * time.Millisecond
	// headerTimeout bounds reading the headers of readiness checks and of
	// metrics requests.
	headerTimeout = 2 * time.Second
	// operatorConns is the most connections to the ports for readiness checks and metrics together.
	operatorConns = 64
	// peerStopTimeout bounds the wait for calls from other entry VMs that are in
	// flight when the peer server stops.
	peerStopTimeout = 100 * time.Millisecond
)

// Config configures a Gateway.
type Config struct {
	Settings platform.Settings
	// MetricsPort replaces the port of the settings' MetricsAddr; 0 keeps that
	// port.
	MetricsPort uint16
	// Spill are the settings of spillover between failure domains; nil means the
	// defaults.
	Spill *tsspill.Settings
	Log   *slog.Logger
	// Dial opens connections to the store, to backend servers and to other
	// entry VMs; nil uses a [tsupstream.Dialer].
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Gateway runs one entry VM.
type Gateway struct {
	cfg        Config
	log        *slog.Logger
	self       turmericshed.EntryVM
	board      *tsboard.Board
	metrics    *tsobserve.Metrics
	registry   *tsregistry.Registry
	peerServer *tspeer.Server
	committer  *tscommit.Committer
	holder     *tsholder.Holder
	permits    *tspermits.Permits
	crashWatch *tscrash.Watch
	versions   *tsversion.Versions
	pool       *tsrouting.Pool
	loads      *tsload.Sharer
	// shedding is the admission control; nil if it is off.
	shedding *tsrouting.Shedding
	upstream *tsupstream.Client
	meter    *tsmeter.Meter
	// freshness decides for how long store updates may be acted on.
	freshness    *tsfreshness.Tracker
	relay        *tsrelay.Relay
	tableMirror  *tsmirror.Mirror
	serverMirror *tsmirror.Mirror
	roster       *serverView

	callerListener, readyListener, metricsListener, peerListener net.Listener
	// killed is closed by Kill.
	killed chan struct{}

	mu sync.Mutex
	// heldPrepaid is the prepaid amount of each budget in the last routing table
	// that named it.
	heldPrepaid map[turmericshed.BudgetID]turmericshed.Tokens
}

// New opens the listeners and builds the components. It returns KindBadRequest
// if it can't listen on an address.
func New(cfg Config) (*Gateway, error) {
	s := cfg.Settings
	g := &Gateway{
		cfg: cfg, log: cfg.Log, board: &tsboard.Board{}, metrics: tsobserve.NewMetrics(),
		heldPrepaid: make(map[turmericshed.BudgetID]turmericshed.Tokens), killed: make(chan struct{}),
		self: turmericshed.EntryVM{
			Name: s.Name, Incarnation: turmericshed.Incarnation(turmericshed.NewID("inc-")), Region: s.Region,
			FailureDomain: s.FailureDomain, CallerAddr: s.CallerAddr, Capacity: s.Capacity,
		},
	}
	g.meter = tsmeter.New(tsmeter.Config{BytesPerSecond: s.LinkRate, Metrics: g.metrics.Registry(), Log: tsobserve.WithPrefix(g.log, "link")})
	intake := tsintake.New(tsintake.Config{
		MemoryBytes: s.MemoryBytes, Descriptors: s.FileDescriptors, Metrics: g.metrics.Registry(), Log: tsobserve.WithPrefix(g.log, "intake"),
	})
	if cfg.Dial == nil {
		cfg.Dial = tsupstream.Dialer{Link: g.meter}.Dial
	}
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.self.PeerAddr = tcpAddr(g.peerListener)
	store := platform.NewStore(s.StoreAddr, platform.StoreOptions{
		Dial: g.meter.Dialer(tsmeter.Store, cfg.Dial),
		OnRestored: func(era uint64) {
			g.log.Warn("store came back from an older copy; reading everything again", "era", era)
			g.registry.Restored()
			g.versions.Restored()
			g.crashWatch.Restored()
		},
	})
	events := eventLogger{log: tsobserve.WithPrefix(g.log, "event")}
	g.registry = tsregistry.New(tsregistry.Config{Self: g.self, Store: store, StaleLister: store, Log: tsobserve.WithPrefix(g.log, "registry")})
	peering := tspeer.Config{Dial: g.meter.Dialer(tsmeter.EntryVMs, cfg.Dial), HTTP1: true, StopTimeout: peerStopTimeout}
	transport := tspeer.NewTransport(peering)
	g.committer = tscommit.New(tscommit.Config{Members: g.registry, Store: store, StaleLedgers: store, Peers: transport, Link: g.meter, Log: tsobserve.WithPrefix(g.log, "ledgers")})
	g.peerServer = tspeer.NewServer(peering)
	g.peerServer.Mount(g.committer.Handler())
	g.holder = tsholder.New(tsholder.Config{
		Self: g.self, Store: store, Members: g.registry, Recorder: events,
		Placement: placement(), Reconciler: tsholder.RoutingTableProfiles{}, Link: g.meter,
		Metrics: g.metrics.Registry(),
		Writer: tscommit.NewClient(tscommit.ClientConfig{
			Members: g.registry, Peers: transport, LocalWriter: g.committer, Link: g.meter, Log: tsobserve.WithPrefix(g.log, "ledgers"),
		}),
	})
	g.permits = tspermits.New(tspermits.Config{
		Board: g.board, Members: g.registry, Count: g.registry.Count, Peers: transport, Link: g.meter,
		Metrics: g.metrics.Registry(), Log: tsobserve.WithPrefix(g.log, "limits"),
	})
	g.peerServer.Mount(g.permits.Handler())
	serverDial := g.meter.Dialer(tsmeter.Servers, intake.Dialer(cfg.Dial))
	g.crashWatch = tscrash.New(tscrash.Config{
		Members: g.registry, Peers: transport, Board: g.board, Store: store, FirstStart: s.FirstStart, Dial: serverDial, Link: g.meter,
		Metrics: g.metrics.Registry(), Log: tsobserve.WithPrefix(g.log, "crashes"),
	})
	g.peerServer.Mount(g.crashWatch.Handler())
	g.versions = tsversion.New(tsversion.Config{
		Board: g.board, Members: g.registry, Peers: transport, Store: store, Retention: g.versionRetention, Link: g.meter,
		Metrics: g.metrics.Registry(), Log: tsobserve.WithPrefix(g.log, "versions"),
	})
	g.peerServer.Mount(g.versions.Handler())
	admission := g.newRouting(transport, events)
	g.freshness = tsfreshness.New(freshnessBounds(s))
	feed := tsfeed.New(tsfeed.Config{
		Members: g.registry, AwaitMembers: g.registry.AwaitFirstList, Store: store, Peers: transport, Limits: g.permits, Link: g.meter,
		Freshness: g.freshness, FactsByPrefix: map[string]tsfreshness.Fact{platform.TableKey: tsfreshness.Table, platform.ServerPrefix: tsfreshness.Servers},
		Log: tsobserve.WithPrefix(g.log, "news"),
	})
	g.peerServer.Mount(feed.Handler())
	g.upstream = tsupstream.New(tsupstream.Config{Codec: platform.Codec{}, Dial: serverDial})
	g.newMirrors(feed)
	g.registerAgeGauges()
	g.relay = tsrelay.New(tsrelay.Config{
		Codec: platform.Codec{}, Router: g.pool, Budgets: g.holder, Upstream: g.upstream, Link: g.meter, ServerLimits: g.permits, CrashWatch: g.crashWatch, StreamVersions: g.versions, Metrics: g.metrics,
		OnFirstByte: g.pool.FirstByte,
		Log:         tsobserve.WithPrefix(g.log, "relay"), RetryLimits: retryBounds(s), EntryVMs: g.registry.Count,
		Freshness: g.freshness, Intake: intake, Admission: admission, CallerBufferBytes: int64(float64(s.MemoryBytes) * callerBufferFraction),
	})
	return g, nil
}

// newRouting builds the router, the sharing of load reports and the admission control,
// which it returns; nil if the settings don't ask for it.
func (g *Gateway) newRouting(transport tspeer.Peers, events turmericshed.Recorder) turmericshed.Admission {
	s := g.cfg.Settings
	g.loads = tsload.New(tsload.Config{
		Board: g.board, Members: g.registry, Peers: transport, Link: g.meter, Metrics: g.metrics.Registry(), Log: tsobserve.WithPrefix(g.log, "loads"),
	})
	g.peerServer.Mount(g.loads.Handler())
	if s.ShareLoad {
		g.loads.Enable("settings")
	}
	pool := tsrouting.PoolConfig{
		FailureDomain: g.self.FailureDomain, Homes: serversPerPrefix, Board: g.board, Limits: g.permits, Recorder: events,
		ServeTime: s.ShareLoad, OnReport: g.loads.Record, Spill: g.spillConfig(),
	}
	admission := g.newAdmission(&pool)
	g.pool = tsrouting.NewPool(pool)
	return admission
}

// newMirrors builds the mirrors of the routing table and of the servers.
func (g *Gateway) newMirrors(feed turmericshed.Source) {
	g.tableMirror = tsmirror.New(tsmirror.Config{
		Store: feed, Prefix: platform.TableKey, Log: tsobserve.WithPrefix(g.log, "table"),
		View:        &tableView{log: tsobserve.WithPrefix(g.log, "table"), apply: g.applyTable},
		OnConfirmed: func(asOf time.Time) { g.freshness.Confirm(tsfreshness.Table, asOf) },
	})
	g.roster = newServerView(tsobserve.WithPrefix(g.log, "servers"), g.board, g.freshness)
	g.serverMirror = tsmirror.New(tsmirror.Config{
		Store: feed, Prefix: platform.ServerPrefix, Log: tsobserve.WithPrefix(g.log, "servers"), View: g.roster,
		OnConfirmed: func(asOf time.Time) { g.freshness.Confirm(tsfreshness.Servers, asOf) },
	})
}

// newAdmission returns the admission control, which receives the load reports of the
// pool, or nil if the settings don't ask for it.
func (g *Gateway) newAdmission(pool *tsrouting.PoolConfig) turmericshed.Admission {
	if !g.cfg.Settings.Admission {
		return nil
	}
	g.shedding = tsrouting.NewShedding(tsrouting.SheddingConfig{Board: g.board, Metrics: g.metrics.Registry(), Log: tsobserve.WithPrefix(g.log, "admission")})
	pool.OnApplied = g.shedding.Report
	return g.shedding
}

// placement returns the policy that decides which tokens this entry VM holds.
func placement() tsbudget.Placement {
	return tsbudget.Forecast{UsualRequest: usualRequestTokens, Small: tsbudget.Bridging{UsualRequest: usualRequestTokens}}
}

// listen opens all listeners, or closes the opened ones and returns an error.
func (g *Gateway) listen() error {
	metrics := g.metricsAddr()
	var open []net.Listener
	for _, l := range []struct {
		to   *net.Listener
		addr netip.AddrPort
	}{{&g.callerListener, g.cfg.Settings.CallerAddr}, {&g.readyListener, g.cfg.Settings.ReadyAddr}, {&g.metricsListener, metrics}, {&g.peerListener, g.cfg.Settings.PeerAddr}} {
		memoryBytes := int64(0)
		if l.to == &g.callerListener {
			memoryBytes = g.cfg.Settings.MemoryBytes
		}
		ln, err := tsintake.Listen(context.Background(), l.addr, memoryBytes)
		if err != nil {
			for _, o := range open {
				err = errors.Join(err, o.Close())
			}
			return turmericshed.WrapError(turmericshed.KindBadRequest, err, "listen on %s", l.addr)
		}
		*l.to = ln
		open = append(open, ln)
	}
	return nil
}

// metricsAddr returns the address to serve metrics on. If the configured port is
// in use, it falls back to the settings' MetricsAddr, so that callers are still
// served.
func (g *Gateway) metricsAddr() netip.AddrPort {
	controlAddr := g.cfg.Settings.MetricsAddr
	if g.cfg.MetricsPort == 0 {
		return controlAddr
	}
	addr := netip.AddrPortFrom(controlAddr.Addr(), g.cfg.MetricsPort)
	ln, err := net.Listen("tcp", addr.String())
	if err == nil {
		err = ln.Close()
	}
	if err != nil {
		g.log.Error("metrics port is unavailable; serving metrics on the control address", "addr", addr.String(), "error", err.Error())
		return controlAddr
	}
	return addr
}

// CallerAddr returns the address that serves callers.
func (g *Gateway) CallerAddr() netip.AddrPort { return tcpAddr(g.callerListener) }

// ReadyAddr returns the address that serves readiness checks.
func (g *Gateway) ReadyAddr() netip.AddrPort { return tcpAddr(g.readyListener) }

// MetricsAddr returns the address that serves metrics.
func (g *Gateway) MetricsAddr() netip.AddrPort { return tcpAddr(g.metricsListener) }

// tcpAddr returns a listener's address; the zero value if it isn't a TCP listener.
func tcpAddr(ln net.Listener) netip.AddrPort {
	addr, ok := ln.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return addr.AddrPort()
}

// Kill makes Serve return as if the process had crashed: no lots are returned and
// the entry VM is not deregistered. It is for tests.
func (g *Gateway) Kill() { close(g.killed) }

func retryBounds(s platform.Settings) tsrelay.RetryLimits {
	return tsrelay.RetryLimits{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow}
}

func freshnessBounds(s platform.Settings) tsfreshness.Bounds {
	b := tsfreshness.Bounds{Contact: s.Bounds.ContactTimeout}
	b.Spans[tsfreshness.Table] = s.Bounds.ApplyTimeout
	b.Spans[tsfreshness.Servers] = s.Bounds.DrainTimeout
	return b
}

// versionRetention returns how long a software version stays registered after its last server has left:
// twice the longest timeout of a stream, since callers resume streams within a time limit of their own.
func (g *Gateway) versionRetention() time.Duration {
	d := minVersionRetention
	t := g.relay.Table()
	if t == nil {
		return defaultVersionRetention
	}
	for _, r := range t.Routes {
		switch {
		case !r.Stream || !r.Repeatable:
		case r.Timeout <= 0:
			d = max(d, defaultVersionRetention)
		default:
			d = max(d, 2*r.Timeout)
		}
	}
	return d
}

// spillConfig returns the settings of spillover between failure domains.
func (g *Gateway) spillConfig() *tsrouting.SpillConfig {
	settings := tsspill.Settings{CostPerMegabyte: tsspill.DefaultCostPerMegabyte}
	if g.cfg.Spill != nil {
		settings = *g.cfg.Spill
	}
	return &tsrouting.SpillConfig{
		Enabled: g.cfg.Settings.ShareLoad, Settings: settings, Metrics: g.metrics.Registry(), Log: tsobserve.WithPrefix(g.log, "spill"),
	}
}

// Reload applies changed settings. Addresses and names change only on a restart.
func (g *Gateway) Reload(s platform.Settings) {
	g.relay.SetRetryLimits(retryBounds(s))
	g.freshness.SetBounds(freshnessBounds(s))
	g.log.Info("settings reloaded", "retry_ratio", s.Bounds.RetryRatio, "retry_slack", s.Bounds.RetrySlack)
}

// applyTable applies a routing table and schedules the first draw from each
// budget whose prepaid amount is new or was raised.
func (g *Gateway) applyTable(t *tstable.Table) {
	g.relay.SetTable(t)
	for _, a := range t.Accounts {
		if !a.HasPrepaid {
			continue
		}
		p := tsrelay.BudgetProfile(t, a)
		g.mu.Lock()
		previous, isKnown := g.heldPrepaid[p.Budget]
		g.heldPrepaid[p.Budget] = p.Prepaid
		g.mu.Unlock()
		if isKnown && previous >= p.Prepaid {
			continue
		}
		time.AfterFunc(firstDrawDelay+rand.N(firstDrawJitter), func() { g.holder.Track(p) })
	}
}

// Serve runs until ctx ends and then shuts down gracefully.
func (g *Gateway) Serve(ctx context.Context) error {
	defer g.serveOperatorEndpoints()()
	// The controllers keep running while requests drain.
	controllersCtx, stopControllers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControllers()
	controllersDone := g.startControllers(controllersCtx)
	g.takeOverLots(ctx)
	stopTimeout := g.cfg.Settings.Bounds.StopTimeout
	g.log.Info("serving", "name", g.self.Name, "incarnation", string(g.self.Incarnation), "failure_domain", string(g.self.FailureDomain),
		"addr", g.callerListener.Addr().String(), "store", g.cfg.Settings.StoreAddr.String(),
		"drain_timeout", g.cfg.Settings.Bounds.DrainTimeout.String(), "apply_timeout", g.cfg.Settings.Bounds.ApplyTimeout.String(),
		"contact_timeout", g.cfg.Settings.Bounds.ContactTimeout.String())
	stopSignals := make(chan time.Time, 1)
	defer context.AfterFunc(ctx, func() { stopSignals <- time.Now() })()
	server := tsrelay.NewServer(g.relay, tsobserve.WithPrefix(g.log, "callers"))
	served := make(chan error, 1)
	go func() {
		served <- server.Serve(ctx, g.meter.Listener(tsmeter.Callers, g.callerListener), stopTimeout-lotReturnReserve)
	}()
	var err error
	select {
	case err = <-served:
	case <-g.killed:
		return errors.Join(g.callerListener.Close(), server.Close())
	}
	if ctx.Err() == nil {
		return err
	}
	signaled := <-stopSignals
	drainCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), signaled.Add(stopTimeout-exitReserve))
	defer cancel()
	drainErr := errors.Join(g.holder.Drain(drainCtx), g.registry.Withdraw(drainCtx))
	stopControllers()
	if err := <-controllersDone; err != nil && !errors.Is(err, context.Canceled) {
		g.log.Warn("controllers stopped with an error", "error", err.Error())
	}
	g.log.Info("stopped", "elapsed_ms", time.Since(signaled).Milliseconds(), "cut_off", err != nil, "lots_returned", drainErr == nil)
	return errors.Join(err, drainErr)
}

// registerAgeGauges registers the gauges of the age of the mirrored store data.
func (g *Gateway) registerAgeGauges() {
	for _, f := range []tsfreshness.Fact{tsfreshness.Table, tsfreshness.Servers} {
		g.metrics.Registry().MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "turmericshed_news_age_seconds", Help: "Time since what is heard of the platform's store was true for certain.",
			ConstLabels: prometheus.Labels{"of": f.String()},
		}, func() float64 { return g.freshness.Age(time.Now(), f).Seconds() }))
	}
}

// takeOverLots returns the unused tokens of an earlier process on this machine.
// After an error, the first request to the ledgers tries again.
func (g *Gateway) takeOverLots(ctx context.Context) {
	if g.cfg.Settings.FirstStart {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	began := time.Now()
	err := g.registry.List(ctx)
	if err == nil {
		err = g.holder.TakeOver(ctx)
	}
	if err != nil {
		g.log.Warn("lots of an earlier process were not returned; the first ledger request retries", "error", err.Error(), "elapsed_ms", time.Since(began).Milliseconds())
	}
}

// startControllers starts the controllers under a supervisor. The channel
// receives the supervisor's error when it stops.
func (g *Gateway) startControllers(ctx context.Context) <-chan error {
	sup := suture.New("gateway", suture.Spec{FailureBackoff: restartBackoff, EventHook: func(e suture.Event) {
		g.log.Error("supervisor event", "event", e.String())
	}})
	controllers := []turmericshed.Controller{g.tableMirror, g.serverMirror, g.roster, g.registry, g.upstream, g.meter, g.permits, g.loads, peerController{g}}
	controllers = append(controllers, g.crashWatch.Controllers()...)
	controllers = append(controllers, g.versions.Controllers()...)
	controllers = append(controllers, g.committer.Controllers()...)
	controllers = append(controllers, g.holder.Controllers()...)
	controllers = append(controllers, g.pool.Controllers()...)
	if g.shedding != nil {
		controllers = append(controllers, g.shedding.Controllers()...)
	}
	for _, c := range controllers {
		sup.Add(c)
	}
	return sup.ServeBackground(ctx)
}

// peerController serves calls from other entry VMs.
type peerController struct{ g *Gateway }

// Serve serves calls until ctx ends.
func (c peerController) Serve(ctx context.Context) error {
	return c.g.peerServer.Serve(ctx, c.g.meter.Listener(tsmeter.EntryVMs, c.g.peerListener))
}

// serveOperatorEndpoints serves readiness checks and metrics until stop is called.
func (g *Gateway) serveOperatorEndpoints() (stop func()) {
	// Probes and scrapers use a few connections.
	intake := tsintake.New(tsintake.Config{MaxConns: operatorConns, Log: tsobserve.WithPrefix(g.log, "operators")})
	readiness := &http.Server{ReadHeaderTimeout: headerTimeout, ConnState: tsintake.TrackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.relay.Ready() || len(g.board.Servers.Read()) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", g.metrics.Handler())
	metrics := &http.Server{ReadHeaderTimeout: headerTimeout, ConnState: tsintake.TrackState, Handler: mux}
	for srv, ln := range map[*http.Server]net.Listener{readiness: g.readyListener, metrics: g.metricsListener} {
		go func() {
			if err := srv.Serve(intake.Listener(ln)); !errors.Is(err, http.ErrServerClosed) {
				g.log.Error("listener stopped unexpectedly", "addr", ln.Addr().String(), "error", err.Error())
			}
		}()
	}
	return func() {
		if err := errors.Join(readiness.Close(), metrics.Close()); err != nil {
			g.log.Debug("closing the readiness and metrics servers failed", "error", err.Error())
		}
	}
}

// eventLogger logs the events of budgets and routing.
type eventLogger struct{ log *slog.Logger }

// Record logs an event, except settled reservations: each request has a log line
// that covers them.
func (l eventLogger) Record(e turmericshed.Event) {
	if e.Name == turmericshed.EventReservationSettled {
		return
	}
	l.log.LogAttrs(context.Background(), slog.LevelInfo, string(e.Name), slog.String("profile", string(e.Profile)),
		slog.String("lot", string(e.Lot)), slog.String("server", string(e.Server)), slog.Int64("tokens", int64(e.Tokens)), slog.String("reason", e.Reason))
}
