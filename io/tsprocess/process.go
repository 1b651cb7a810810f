// Package tsprocess assembles one entry VM from its components: the platform
// client, membership, profiles, budgets, claims, routing, quarantine and the
// server for callers, all under one supervisor.
//
// # Usage
//
//	p, err := tsprocess.New(cfg, tsprocess.Options{Log: log})
//	if err != nil { ... }
//	err = p.Serve(ctx) // returns after a graceful stop
package tsprocess

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/core/tsmember"
	"turmericshed/io/tsbackend"
	"turmericshed/io/tscalls"
	"turmericshed/io/tsentry"
	"turmericshed/io/tsfleet"
	"turmericshed/io/tsholder"
	"turmericshed/io/tsintake"
	"turmericshed/io/tsobserve"
	"turmericshed/io/tspeer"
	"turmericshed/io/tsplatform"
	"turmericshed/io/tsprofiles"
	"turmericshed/io/tsquarantine"
	"turmericshed/io/tsrouting"
)

const (
	// withdrawTimeout bounds the call that removes this entry VM from the
	// platform's directory at shutdown.
	withdrawTimeout = 2 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// maxRetryFraction is the retry budget: the largest fraction of the traffic
	// that may be retries.
	maxRetryFraction = 0.1
	// maxQueuedPerRunning is the queue's capacity in requests for each request
	// that may run at once.
	maxQueuedPerRunning = 4
	// bodyCopies is how often the bytes of a body are in memory at once: as received, as decoded
	// messages and as the request to a model engine.
	bodyCopies = 4
)

// DialFunc opens a connection; see net.Dialer.DialContext.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Options are the dependencies of a process that are not part of its settings.
type Options struct {
	// Dial opens every outgoing connection of the process; nil means a
	// net.Dialer. Tests replace it to cut links.
	Dial DialFunc
	Log  *slog.Logger
	// Events receives every event of the process in addition to its timeline;
	// nil discards them.
	Events turmericshed.Recorder
}

// Process is one entry VM with all its components.
type Process struct {
	cfg            tsentry.Config
	self           turmericshed.EntryVM
	callerListener net.Listener
	peerListener   net.Listener
	platform       *tsplatform.Client
	recorder       *tsobserve.Recorder
	entry          *tsentry.Entry
	conns          *connTracker
}

// builder holds the components while they are assembled.
type builder struct {
	cfg        tsentry.Config
	opts       Options
	self       turmericshed.EntryVM
	board      *tsboard.Board
	metrics    *tsobserve.Metrics
	recorder   *tsobserve.Recorder
	platform   *tsplatform.Client
	transport  *tspeer.Transport
	server     *tspeer.Server
	fleet      *tsfleet.Fleet
	profiles   *tsprofiles.Cache
	holder     *tsholder.Holder
	calls      *tscalls.Calls
	pool       *tsrouting.Pool
	quarantine *tsquarantine.Guard
	engine     *tsbackend.Engine
	service    *tsbackend.Service
	// intake bounds what callers and servers take up.
	intake *tsintake.Intake
}

// New opens the listeners and builds the components. Errors: KindBadRequest for a
// setting that can't be used.
func New(cfg tsentry.Config, o Options) (*Process, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	callers, err := listen(cfg.CallerAddr, cfg.MemoryBytes)
	if err != nil {
		return nil, err
	}
	peers, err := listen(cfg.PeerAddr, 0)
	if err != nil {
		return nil, errors.Join(err, callers.Close())
	}
	conns := newConnTracker()
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	o.Dial = conns.wrapDial(o.Dial)
	p := &Process{cfg: cfg, conns: conns, callerListener: trackedListener{callers, conns}, peerListener: trackedListener{peers, conns}}
	p.self = turmericshed.EntryVM{
		Name: cfg.Name, Incarnation: turmericshed.Incarnation(turmericshed.NewID("inc-")),
		Region: cfg.Region, FailureDomain: cfg.FailureDomain,
		CallerAddr: listenAddr(callers), PeerAddr: listenAddr(peers),
	}
	if err := p.build(o); err != nil {
		return nil, errors.Join(err, callers.Close(), peers.Close())
	}
	return p, nil
}

// listen listens on an address, with bounded buffers if memoryBytes is not 0.
func listen(addr netip.AddrPort, memoryBytes int64) (net.Listener, error) {
	ln, err := tsintake.Listen(context.Background(), addr, memoryBytes)
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindBadRequest, err, "listen on %s", addr)
	}
	return ln, nil
}

func listenAddr(ln net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(ln.Addr().String())
}

// build builds the components in the order of their dependencies.
func (p *Process) build(o Options) error {
	b := &builder{cfg: p.cfg, opts: o, self: p.self, board: &tsboard.Board{}}
	for _, step := range []func() error{b.buildPlatform, b.buildPeers, b.buildFleet, b.buildBudgetsAndCalls, b.buildRouting} {
		if err := step(); err != nil {
			return err
		}
	}
	p.platform, p.recorder = b.platform, b.recorder
	p.entry = tsentry.New(p.cfg, b.entryDeps(p.peerListener))
	b.server.Mount(p.entry.StreamService())
	return nil
}

func (b *builder) buildPlatform() (err error) {
	b.metrics = tsobserve.NewMetrics()
	b.recorder = tsobserve.New(tsobserve.Config{
		Process: b.cfg.Name, FailureDomain: b.cfg.FailureDomain, Metrics: b.metrics, Next: b.opts.Events,
	})
	b.platform, err = tsplatform.NewClient(b.cfg.PlatformAddr, tsplatform.Options{Caller: b.cfg.Name, Dial: b.opts.Dial})
	return err
}

func (b *builder) buildPeers() error {
	cfg := tspeer.Config{Dial: b.opts.Dial, Clock: b.recorder}
	if b.cfg.CertFile != "" {
		tlsConfig, err := b.loadTLS()
		if err != nil {
			return err
		}
		cfg.TLS = tlsConfig
	}
	b.transport, b.server = tspeer.NewTransport(cfg), tspeer.NewServer(cfg)
	return nil
}

func (b *builder) loadTLS() (*tls.Config, error) {
	return tspeer.LoadTLS(b.cfg.CertFile, b.cfg.KeyFile, b.cfg.CAFile)
}

func (b *builder) buildFleet() error {
	b.profiles = tsprofiles.New(tsprofiles.Config{
		Self: b.self, Store: b.platform, Peers: b.transport, Recorder: b.recorder, Log: b.opts.Log,
	})
	b.fleet = tsfleet.New(tsfleet.Config{
		Self: b.self, Directory: b.platform, Board: b.board, Peers: b.transport,
		Recorder: b.recorder, Log: b.opts.Log, Metrics: b.metrics.Registry(),
		Piggyback: []tsmember.Piggyback{b.profiles.Topic()},
	})
	b.profiles.SetMembers(b.fleet)
	b.server.Mount(b.fleet.Handler())
	b.server.Mount(b.profiles.Handler())
	return nil
}

func (b *builder) buildBudgetsAndCalls() error {
	b.intake = b.newIntake()
	b.service = tsbackend.NewService(tsbackend.Options{Dial: b.opts.Dial, Intake: b.intake})
	b.holder = tsholder.New(tsholder.Config{
		Self: b.self, Store: b.platform, Members: b.fleet, Recorder: b.recorder,
		Peers: b.transport, Profiles: b.profiles,
	})
	b.calls = tscalls.New(tscalls.Config{
		Self: b.self, Store: b.platform, Members: b.fleet, Peers: b.transport,
		Lookup: b.lookupCall, Recorder: b.recorder,
	})
	b.quarantine = tsquarantine.New(tsquarantine.Config{
		Self: b.self, Store: b.platform, Members: b.fleet, Peers: b.transport, Recorder: b.recorder,
	})
	b.server.Mount(b.quarantine.Handler())
	b.server.Mount(b.holder.Handler())
	b.server.Mount(b.calls.PeerHandler())
	return nil
}

// lookupCall queries the servers of a plain service for the outcome of a call until
// one has a record of it. Servers may record calls separately, so the lack of a
// record at one server does not mean that no server ran the call.
func (b *builder) lookupCall(ctx context.Context, service, key string) (turmericshed.Answer, error) {
	err := turmericshed.NewError(turmericshed.KindNoBackend, "no server of service %s is known", service)
	for _, s := range b.board.Servers.Read() {
		if s.Service != service {
			continue
		}
		var a turmericshed.Answer
		if a, err = b.service.Lookup(ctx, s, key); err == nil {
			return a, nil
		}
	}
	return turmericshed.Answer{}, err
}

// Addr returns the address at which callers are served.
func (p *Process) Addr() netip.AddrPort { return p.self.CallerAddr }

// Ready reports whether the process is ready for callers.
func (p *Process) Ready() bool { return p.entry.Ready() }

// Self describes the process.
func (p *Process) Self() turmericshed.EntryVM { return p.self }

// Recorder returns the recorder of this process's timeline.
func (p *Process) Recorder() *tsobserve.Recorder { return p.recorder }

// Serve runs until ctx ends, then drains, withdraws from the platform's directory
// and closes the remaining connections.
func (p *Process) Serve(ctx context.Context) error {
	err := p.entry.ServeListener(ctx, p.callerListener)
	withdrawCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), withdrawTimeout)
	defer cancel()
	_ = p.platform.WithdrawEntry(withdrawCtx, p.self.Incarnation)
	p.conns.closeAll()
	return err
}

// Kill simulates the loss of the VM: it closes all connections at once, and no
// budget is returned, no state handed over and no directory entry withdrawn.
func (p *Process) Kill() {
	p.entry.Kill()
	_ = p.peerListener.Close()
	p.conns.closeAll()
}

// peerServer is the controller that serves other entry VMs.
type peerServer struct {
	server *tspeer.Server
	ln     net.Listener
}

// Serve serves peers until ctx ends.
func (s peerServer) Serve(ctx context.Context) error { return s.server.Serve(ctx, s.ln) }

// String returns the controller's name for the supervisor's log.
func (s peerServer) String() string { return "peer server" }

// buildRouting builds the engine client and the pool of backend servers.
func (b *builder) buildRouting() error {
	b.engine = tsbackend.NewEngine(tsbackend.Options{Dial: b.opts.Dial, Intake: b.intake})
	b.pool = tsrouting.NewPool(tsrouting.PoolConfig{
		FailureDomain: b.self.FailureDomain, Region: b.self.Region, Board: b.board, LoadReader: b.engine, Recorder: b.recorder,
		OnAttempt: b.metrics.Attempt,
	})
	return nil
}

// entryDeps returns the dependencies of the server for callers.
func (b *builder) entryDeps(peers net.Listener) tsentry.Deps {
	queue := tsrouting.NewQueue(tsrouting.QueueConfig{
		MaxRunning: b.cfg.MaxConcurrentRequests, MaxQueued: b.cfg.MaxConcurrentRequests * maxQueuedPerRunning, Board: b.board,
		Load: b.pool.Load, OnAdmitted: b.metrics.QueueWait,
	})
	controllers := []turmericshed.Controller{
		peerServer{b.server, peers},
		tsplatform.NewEntryAnnouncer(b.platform, b.self),
	}
	for _, list := range [][]turmericshed.Controller{
		b.fleet.Controllers(), b.profiles.Controllers(), b.holder.Controllers(), b.calls.Controllers(), b.pool.Controllers(),
		queue.Controllers(), b.quarantine.Controllers(),
	} {
		controllers = append(controllers, list...)
	}
	return tsentry.Deps{
		Board: b.board, Store: b.platform, Members: b.fleet, Peers: b.transport, Profiles: b.profiles,
		Budgets: b.holder, Claims: b.calls, Router: b.pool, Service: b.service,
		Engine: b.engine, Quarantine: b.quarantine, Retries: tsrouting.NewRetries(maxRetryFraction),
		Admission: queue, Intake: b.intake,
		Recorder: b.recorder, Log: tsobserve.WithPrefix(b.opts.Log, "entry"), Metrics: b.metrics.Handler(), RequestMetrics: b.metrics, Timeline: b.recorder.Handler(),
		Controllers: controllers,
	}
}

// newIntake returns the bounds of what callers and servers take up.
func (b *builder) newIntake() *tsintake.Intake {
	return tsintake.New(tsintake.Config{
		MemoryBytes: b.cfg.MemoryBytes, Descriptors: b.cfg.FileDescriptors, BodyCopies: bodyCopies,
		Metrics: b.metrics.Registry(), Log: tsobserve.WithPrefix(b.opts.Log, "intake"),
	})
}
