// Package tsintake bounds the memory and the descriptors that callers and servers take up, as
// core/tsintake decides: it reserves memory for bodies before they are read, interrupts the
// reading of bodies that are evicted, refuses requests of client accounts that use more than their
// share, and closes connections over the limits. All programs that serve callers read requests
// through it.
//
// # Usage
//
//	in := tsintake.New(tsintake.Config{MemoryBytes: settings.MemoryBytes, Metrics: registry, Log: log})
//	srv := &http.Server{ConnContext: tsintake.WithConn, ConnState: tsintake.TrackState, ...}
//	err := srv.Serve(in.Listener(ln))
//
// and in the handler, once the client account of the request is known:
//
//	q := in.NewRequest(w, r)
//	defer q.Release()
//	parts, err := q.ReadBody(flow, maxBytes, timeout)
//	if err != nil {
//		q.Refuse(err) // before the answer is written
//	}
package tsintake

import (
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"turmericshed"
	"turmericshed/core/tsintake"
)

// fullRetryAfter is the Retry-After of a request whose body found no room: several bodies of usual
// size are sent on within that time.
const fullRetryAfter = 500 * time.Millisecond

// logInterval is the least time between two log lines about connections that were closed.
const logInterval = time.Second

// Config holds the limits and dependencies of an Intake.
type Config struct {
	// MemoryBytes is the memory of the machine and Descriptors the most open files of the
	// process; 0 means unknown and sets no limit.
	MemoryBytes int64
	Descriptors int
	// MaxConns is the most connections, where memory and descriptors allow more; 0 means no other
	// limit.
	MaxConns int
	// BodyCopies is how often a process holds the bytes of a body while it serves the request; 0
	// means once.
	BodyCopies int
	// Metrics is the registry for the metrics; may be nil.
	Metrics prometheus.Registerer
	Log     *slog.Logger
}

// Intake bounds what a process holds for callers and servers. A nil *Intake sets no bounds.
type Intake struct {
	log     *slog.Logger
	limits  tsintake.ConnLimits
	refused *prometheus.CounterVec
	closed  *prometheus.CounterVec

	mu     sync.Mutex
	budget *tsintake.Budget
	bodies map[tsintake.BodyID]*Body
	conns  *tsintake.Conns
	open   map[tsintake.ConnID]*conn
	lastID uint64
	// stopped is why no bodies are read any more; nil before that.
	stopped error
	// loggedAt is when closed connections were last logged, closedSince how many were closed
	// since then.
	loggedAt    time.Time
	closedSince int
}

// New returns an Intake without bodies and connections.
func New(cfg Config) *Intake {
	limits := tsintake.ConnsFor(cfg.MemoryBytes, cfg.Descriptors).AtMost(cfg.MaxConns)
	in := &Intake{
		log: cfg.Log, limits: limits,
		budget: tsintake.NewBudget(tsintake.BudgetFor(cfg.MemoryBytes / int64(max(cfg.BodyCopies, 1)))), bodies: make(map[tsintake.BodyID]*Body),
		conns: tsintake.NewConns(limits), open: make(map[tsintake.ConnID]*conn),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmericshed_bodies_refused_total", Help: "Bodies that were not held, by reason: full, stalled (evicted for others), too_large, share (the account has too many requests), or answer (not held whole).",
		}, []string{"reason"}),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmericshed_caller_connections_closed_total", Help: "Connections of callers that were closed to stay within the limits, by reason.",
		}, []string{"reason"}),
	}
	if cfg.Metrics != nil {
		in.register(cfg.Metrics)
	}
	return in
}

func (in *Intake) register(r prometheus.Registerer) {
	r.MustRegister(in.refused, in.closed, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "turmericshed_body_bytes_held", Help: "Bytes reserved for bodies of requests and answers.",
	}, func() float64 {
		in.mu.Lock()
		defer in.mu.Unlock()
		return float64(in.budget.Held())
	}))
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "turmericshed_caller_receive_buffer_bytes", Help: "Most bytes of callers that may wait in the kernel, beyond the least for each connection.",
	}, func() float64 {
		in.mu.Lock()
		defer in.mu.Unlock()
		return float64(in.conns.BufferBytes())
	}))
	for _, s := range []tsintake.ConnState{tsintake.AwaitingHead, tsintake.ReadingBody, tsintake.Running, tsintake.Refused, tsintake.Idle} {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "turmericshed_caller_connections", Help: "Open connections of callers by state.",
			ConstLabels: prometheus.Labels{"state": s.String()},
		}, func() float64 {
			in.mu.Lock()
			defer in.mu.Unlock()
			return float64(in.conns.Count(s))
		}))
	}
}

// Reasons of refusals, the values of the label "reason".
const (
	reasonFull     = "full"
	reasonAnswer   = "answer"
	reasonStalled  = "stalled"
	reasonTooLarge = "too_large"
	reasonShare    = "share"
)

// Body is the memory reserved for one body. A nil *Body sets no bounds.
type Body struct {
	in        *Intake
	id        tsintake.BodyID
	interrupt func()
	// isAnswer is true for an answer, which is not evicted.
	isAnswer bool
	// flow is what a request's body counts toward; nil for none.
	flow *tsintake.Flow
	// ended is why the body is no longer read, nil while it may be; isComplete is true once it was
	// read to its end. in.mu must be held.
	ended      error
	isComplete bool
}

// NewBody returns a Body without a reservation. interrupt ends the reading of the body; it must
// not block. It is called at most once, and not after Complete or Release.
func (in *Intake) NewBody(interrupt func()) *Body {
	if in == nil {
		return nil
	}
	return in.add(&Body{interrupt: interrupt})
}

// NewAnswer returns a Body for the answer of a server, without a reservation. It is not evicted,
// since its request has run.
func (in *Intake) NewAnswer() *Body {
	if in == nil {
		return nil
	}
	return in.add(&Body{isAnswer: true})
}

func (in *Intake) add(b *Body) *Body {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.lastID++
	b.in, b.id = in, tsintake.BodyID(in.lastID)
	in.bodies[b.id] = b
	return b
}

// open adds a request's body with the announced length to the budget. Error: KindOverloaded if the
// length doesn't fit; that of StopReading.
func (b *Body) open(length int64) error {
	if b == nil {
		return nil
	}
	in := b.in
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.stopped != nil {
		return in.stopped
	}
	now := time.Now()
	if b.flow != nil {
		in.budget.Open(now, b.id, *b.flow, length)
	}
	if in.budget.Fits(now, b.id, max(length, 0)) {
		return nil
	}
	return in.refuse(reasonFull, length)
}

// refuse counts n bytes that are not reserved and returns the error for it. in.mu must be held.
func (in *Intake) refuse(reason string, n int64) error {
	in.refused.WithLabelValues(reason).Inc()
	err := turmericshed.NewError(turmericshed.KindOverloaded, "no memory for a body of %d bytes: %d bytes are held", n, in.budget.Held())
	return turmericshed.WithRetryAfter(err, fullRetryAfter)
}

// errEvicted reports that a body was evicted.
func errEvicted() error {
	return turmericshed.NewError(turmericshed.KindOverloaded, "the body came too slowly while others needed its memory")
}

// Reserve reserves n more bytes. Error: KindOverloaded if there is no room for them, or if the
// body was evicted.
func (b *Body) Reserve(n int64) error {
	if b == nil {
		return nil
	}
	in := b.in
	in.mu.Lock()
	defer in.mu.Unlock()
	if b.ended != nil {
		return b.ended
	}
	var evicted []tsintake.BodyID
	var ok bool
	if b.isAnswer {
		ok = in.budget.ReserveAnswer(b.id, n)
	} else {
		evicted, ok = in.budget.Reserve(time.Now(), b.id, n)
	}
	for _, id := range evicted {
		in.bodies[id].end(errEvicted())
		in.refused.WithLabelValues(reasonStalled).Inc()
	}
	if ok {
		return nil
	}
	if b.isAnswer {
		return in.refuse(reasonAnswer, n)
	}
	return in.refuse(reasonFull, n)
}

// received records that n bytes were received.
func (b *Body) received(n int) {
	if b == nil || n == 0 {
		return
	}
	b.in.mu.Lock()
	defer b.in.mu.Unlock()
	b.in.budget.Received(time.Now(), b.id, int64(n))
}

// complete records that the body was read to its end. Errors: KindOverloaded if it was evicted;
// that of StopReading.
func (b *Body) complete(size int64) error {
	if b == nil {
		return nil
	}
	b.in.mu.Lock()
	defer b.in.mu.Unlock()
	if b.ended != nil {
		return b.ended
	}
	b.isComplete = true
	b.in.budget.Complete(b.id, size)
	return nil
}

// endedError returns why the body is no longer read, nil while it may be.
func (b *Body) endedError() error {
	if b == nil {
		return nil
	}
	b.in.mu.Lock()
	defer b.in.mu.Unlock()
	return b.ended
}

// end ends the reading of the body. in.mu must be held.
func (b *Body) end(err error) {
	b.ended = err
	b.interrupt()
}

// StopReading ends the reading of all bodies that are not complete, and of later ones, with err. A
// process that stops calls it once requests that are not complete would be refused.
func (in *Intake) StopReading(err error) {
	if in == nil {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.stopped = err
	for _, b := range in.bodies {
		if !b.isAnswer && !b.isComplete && b.ended == nil {
			b.end(err)
		}
	}
}

// Release frees the reservation. The memory must not be in use any more, except by the garbage
// collector.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.in.mu.Lock()
	defer b.in.mu.Unlock()
	b.in.budget.Release(b.id)
	delete(b.in.bodies, b.id)
}

// CountTooLarge counts a body over the size limit.
func (in *Intake) CountTooLarge() {
	if in != nil {
		in.refused.WithLabelValues(reasonTooLarge).Inc()
	}
}
