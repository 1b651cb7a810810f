// Package tsfleet runs the membership protocol: it probes other entry VMs, answers their
// probes, reads the platform's list, and writes members and backend servers to the
// board. The decisions are made by core/tsmember.
//
// # Usage
//
//	f := tsfleet.New(tsfleet.Config{Self: self, Directory: d, Board: b, Peers: transport})
//	server.Mount(f.Handler())
//	for _, c := range f.Controllers() {
//		supervisor.Add(c)
//	}
//
// If the supervisor stops while Board.Draining is true, peers are notified that the
// process leaves.
package tsfleet

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"turmericshed/io/tspeer"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/core/tsmember"
	"turmericshed/io/tspeerapi"
)

const (
	// tickInterval is the time between two calls of tsmember.Node.Tick.
	tickInterval = 100 * time.Millisecond
	// leaveTimeout is the timeout of the calls that notify peers of a graceful stop.
	leaveTimeout = time.Second
	// maxConcurrentCalls bounds the concurrent calls to peers.
	maxConcurrentCalls = 64
	// maxMessageBytes bounds the size of a message from a peer.
	maxMessageBytes = 64 << 10
)

// Config holds the dependencies of a Fleet. Board, Directory and Peers are required.
type Config struct {
	Self      turmericshed.EntryVM
	Directory turmericshed.Directory
	Board     *tsboard.Board
	Peers     tspeer.Peers
	Recorder  turmericshed.Recorder
	Log       *slog.Logger
	// Piggyback lists the topics carried by probes. Their methods are called one at a
	// time and must not call the Fleet.
	Piggyback []tsmember.Piggyback
	// Metrics registers the metrics; nil registers none.
	Metrics prometheus.Registerer
}

// Fleet runs the membership protocol of one process.
type Fleet struct {
	cfg Config
	// epoch orders the incarnations of this entry VM.
	epoch uint64
	// callSlots limits the concurrent calls to peers.
	callSlots chan struct{}
	// stepPanic carries the error of a panic in runStep to the membership controller.
	stepPanic chan error

	mu   sync.Mutex
	node *tsmember.Node

	serverUpdates *serverUpdates
	view          atomic.Pointer[view]
	metrics       *metrics
}

// view is an immutable snapshot of the membership, read without a lock.
type view struct {
	// changes is the value of tsmember.Node.ChangeCount for this snapshot.
	changes   uint64
	reachable []turmericshed.EntryVM
	states    map[turmericshed.Incarnation]turmericshed.MemberState
}

var _ turmericshed.Members = (*Fleet)(nil)

// New returns a Fleet whose only member is its own process.
func New(cfg Config) *Fleet {
	if cfg.Recorder == nil {
		cfg.Recorder = turmericshed.NopRecorder{}
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	f := &Fleet{
		cfg:           cfg,
		epoch:         uint64(time.Now().UnixMilli()),
		callSlots:     make(chan struct{}, maxConcurrentCalls),
		stepPanic:     make(chan error, 1),
		metrics:       newMetrics(cfg.Metrics),
		serverUpdates: &serverUpdates{received: make(chan struct{}, 1)},
	}
	f.serverUpdates.core.Size = func() int { return 1 + len(f.Reachable()) }
	f.reset()
	return f
}

// reset replaces the node by a new one that is seeded from the platform's list. Further
// members are learned from peers.
func (f *Fleet) reset() {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.node = tsmember.New(tsmember.Config{
		Self: f.cfg.Self, Epoch: f.epoch, Rand: newRand(),
		Piggyback: append([]tsmember.Piggyback{f.serverUpdates}, f.cfg.Piggyback...),
	}, now)
	f.node.Seed(now, f.cfg.Board.Directory.Read().EntryVMs)
	f.publish()
}

// newRand returns a generator with a random seed.
func newRand() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:])
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

// Controllers returns the controllers to supervise.
func (f *Fleet) Controllers() []turmericshed.Controller {
	return []turmericshed.Controller{
		controller{"membership", f.serveMembership},
		controller{"directory", f.serveDirectory},
	}
}

// controller is a named turmericshed.Controller.
type controller struct {
	name  string
	serve func(ctx context.Context) error
}

// Serve runs the controller.
func (c controller) Serve(ctx context.Context) error { return c.serve(ctx) }

// String returns the name in the supervisor's log.
func (c controller) String() string { return "fleet " + c.name }

// Handler returns the path and handler of the Gossip service.
func (f *Fleet) Handler() (string, http.Handler) {
	return tspeerapi.NewGossipHandler(&service{f}, connect.WithReadMaxBytes(maxMessageBytes))
}

// Self returns the entry VM of this process.
func (f *Fleet) Self() turmericshed.EntryVM { return f.cfg.Self }

// Reachable returns the entry VMs considered reachable, without Self. The result must not
// be modified.
func (f *Fleet) Reachable() []turmericshed.EntryVM { return f.view.Load().reachable }

// State returns the local view of one incarnation.
func (f *Fleet) State(in turmericshed.Incarnation) turmericshed.MemberState {
	return f.view.Load().states[in]
}

// runStep runs a step of the node and publishes its results. A panic is returned as an
// error and handed over to the membership controller, which restarts with a new node.
// Errors: KindInternal.
func (f *Fleet) runStep(step func(now time.Time, n *tsmember.Node)) (err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		err = turmericshed.NewError(turmericshed.KindInternal, "membership: %v", v)
		name := turmericshed.EventControllerFailed
		if _, ok := turmericshed.AsInvariant(v); ok {
			name = turmericshed.EventInvariantBroken
		}
		f.cfg.Recorder.Record(turmericshed.Event{Name: name, Reason: err.Error()})
		select {
		case f.stepPanic <- err:
		default:
		}
	}()
	step(time.Now(), f.node)
	f.publish()
	return nil
}

// publish records the node's events, and updates the view, the board and the metrics if
// the members changed.
func (f *Fleet) publish() {
	for _, e := range f.node.Events() {
		f.cfg.Recorder.Record(turmericshed.Event{Name: e.Name, Member: e.Member.Name, Reason: e.Reason})
		f.cfg.Log.Info("fleet: "+string(e.Name), "member", e.Member.Name, "reason", e.Reason)
	}
	if current := f.view.Load(); current != nil && current.changes == f.node.ChangeCount() {
		return
	}
	members := f.node.Members()
	v := &view{
		changes: f.node.ChangeCount(), reachable: f.node.Reachable(),
		states: make(map[turmericshed.Incarnation]turmericshed.MemberState, len(members)),
	}
	boardMembers := make([]tsboard.Member, 0, len(members))
	for _, m := range members {
		v.states[m.Incarnation] = m.State
		boardMembers = append(boardMembers, tsboard.Member{EntryVM: m.EntryVM, State: m.State, Since: m.Since})
	}
	self := f.node.Self()
	v.states[self.Incarnation] = turmericshed.MemberAlive
	f.view.Store(v)
	f.cfg.Board.Members.Write(boardMembers)
	f.metrics.members(members, len(v.reachable))
}
