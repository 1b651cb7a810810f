// Package tsprocess puts the parts of one entry VM together: the platform's
// client, membership, profiles, budgets, claims, routing and the callers'
// side, under one supervisor.
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
	"turmericshed/io/tsobserve"
	"turmericshed/io/tspeer"
	"turmericshed/io/tsplatform"
	"turmericshed/io/tsprofiles"
	"turmericshed/io/tsquarantine"
	"turmericshed/io/tsrouting"
)

const (
	// withdrawTimeout bounds the last call to the platform's list.
	withdrawTimeout = 2 * time.Second
	// dialTimeout bounds the making of a connection.
	dialTimeout = 2 * time.Second
	// retryShare is the part of the traffic that may be retries.
	maxRetryFraction = 0.1
	// queuePerRunning is how many requests may wait for each that may run.
	maxQueuedPerRunning = 4
)

// DialFunc opens a connection; see net.Dialer.DialContext.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Options are what the settings of an entry VM don't say.
type Options struct {
	// Dial opens every connection of the process; nil means a net.Dialer.
	// Tests cut links here.
	Dial DialFunc
	Log  *slog.Logger
	// Events gets every event of the process besides the time line; nil
	// means nobody.
	Events turmericshed.Recorder
}

// Process is one entry VM with all its parts.
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

// parts are the pieces while they are put together.
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
}

// New opens the listeners and builds the parts. Errors: KindBadRequest for a
// setting that can't be used.
func New(cfg tsentry.Config, o Options) (*Process, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	callers, err := listen(cfg.CallerAddr)
	if err != nil {
		return nil, err
	}
	peers, err := listen(cfg.PeerAddr)
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

func listen(addr netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindBadRequest, err, "listen on %s", addr)
	}
	return ln, nil
}

func listenAddr(ln net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(ln.Addr().String())
}

// build makes every part in the order in which they need each other.
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
	b.service = tsbackend.NewService(tsbackend.Options{Dial: b.opts.Dial})
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
	b.server.Mount(b.calls.Handler())
	return nil
}

// lookup asks the servers of a plain service whether a call ran, until one
// knows it. Servers may keep their own books, so one that doesn't know the
// call doesn't speak for the others.
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

// Addr returns the callers' address.
func (p *Process) Addr() netip.AddrPort { return p.self.CallerAddr }

// Ready reports whether callers are told to come.
func (p *Process) Ready() bool { return p.entry.Ready() }

// Self describes the process.
func (p *Process) Self() turmericshed.EntryVM { return p.self }

// Recorder returns the process's part of the time line.
func (p *Process) Recorder() *tsobserve.Recorder { return p.recorder }

// Serve runs until ctx ends and then stops gracefully.
func (p *Process) Serve(ctx context.Context) error {
	err := p.entry.ServeListener(ctx, p.callerListener)
	withdrawCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), withdrawTimeout)
	defer cancel()
	_ = p.platform.WithdrawEntry(withdrawCtx, p.self.Incarnation)
	p.conns.closeAll()
	return err
}

// Kill ends the process at once, as the loss of its VM does: connections
// break, nothing is returned, handed on or withdrawn.
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

// Serve answers peers until ctx ends.
func (s peerServer) Serve(ctx context.Context) error { return s.server.Serve(ctx, s.ln) }

// String returns the name that the supervisor logs.
func (s peerServer) String() string { return "peer server" }

// buildRouting makes the router's pool.
func (b *builder) buildRouting() error {
	b.engine = tsbackend.NewEngine(tsbackend.Options{Dial: b.opts.Dial})
	b.pool = tsrouting.NewPool(tsrouting.PoolConfig{
		Self: b.self.FailureDomain, Region: b.self.Region, Board: b.board, Loads: b.engine, Recorder: b.recorder,
		Attempted: b.metrics.Attempt,
	})
	return nil
}

// deps gathers what the callers' side works with.
func (b *builder) entryDeps(peers net.Listener) tsentry.Deps {
	queue := tsrouting.NewQueue(tsrouting.QueueConfig{
		MaxRunning: b.cfg.MaxRunning, MaxQueued: b.cfg.MaxRunning * maxQueuedPerRunning, Board: b.board,
		Load: b.pool.Load, Waited: b.metrics.QueueWait,
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
		Admission: queue,
		Recorder:  b.recorder, Log: tsobserve.Part(b.opts.Log, "entry"), Metrics: b.metrics.Handler(), Measure: b.metrics, Timeline: b.recorder.Handler(),
		Controllers: controllers,
	}
}
