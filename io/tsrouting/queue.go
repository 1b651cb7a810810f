// Package tsrouting runs the admission queue of tsadmit and the router of tsroute
// in a process. Those packages only decide; this one serializes access to them,
// blocks requests until they are admitted, and follows the board of the process.
//
// # Usage
//
//	pool := tsrouting.NewPool(tsrouting.PoolConfig{Board: board, LoadReader: engines, ...})
//	queue := tsrouting.NewQueue(tsrouting.QueueConfig{Board: board, Load: pool.Load})
//	retries := tsrouting.NewRetries(0)
//	controllers := append(pool.Controllers(), queue.Controllers()...)
//
//	release, err := queue.Admit(ctx, req)
//	defer release()
//	s, err := pool.Pick(ctx, time.Now(), route)
//	defer func() { pool.Done(time.Now(), s.ID, route, result) }()
package tsrouting

import (
	"context"
	"errors"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/core/tsadmit"
	"turmericshed/core/tsboard"
)

const (
	// adaptInterval is the time between adaptations of the admission limits to the
	// load.
	adaptInterval = 250 * time.Millisecond
	// lateRetryAfter is the retry-after time of a request that waited until its
	// deadline could no longer be met.
	lateRetryAfter = time.Second
)

// QueueConfig holds the settings and dependencies of a Queue. Zero settings mean
// defaults.
type QueueConfig struct {
	// MaxRunning bounds the requests that run concurrently, for each kind of work.
	MaxRunning int
	// MaxQueued bounds the queued requests, for each kind of work.
	MaxQueued int
	// Board lists the entry VMs that share an account's rate limit; if nil, only
	// this process counts.
	Board *tsboard.Board
	// Load returns the load per slot and the number of slots of the servers for a
	// kind of work; nil disables overload control.
	Load func(now time.Time, work turmericshed.WorkKind) (pressure float64, slots int)
	// OnAdmitted is called with the time that each admitted request waited; may be nil.
	OnAdmitted func(work turmericshed.WorkKind, d time.Duration)
}

// Queue implements turmericshed.Admission, with one tsadmit.Queue for each
// kind of work.
type Queue struct {
	cfg QueueConfig

	mu         sync.Mutex
	lanes      map[turmericshed.WorkKind]*lane
	lastTicket tsadmit.Ticket
}

// lane is the queue of one kind of work with its overload control.
type lane struct {
	queue   *tsadmit.Queue
	control *tsadmit.Control
	// waiters receive the decision on their ticket.
	waiters map[tsadmit.Ticket]chan tsadmit.Decision
}

var _ turmericshed.Admission = (*Queue)(nil)

// NewQueue returns an empty queue.
func NewQueue(cfg QueueConfig) *Queue {
	return &Queue{cfg: cfg, lanes: map[turmericshed.WorkKind]*lane{}}
}

// Admit blocks until the request may run. The caller calls the returned function
// when the request is done. Errors: KindRateLimited, KindOverloaded, KindDeadline,
// KindCanceled; each of them means that nothing was sent.
func (q *Queue) Admit(ctx context.Context, r turmericshed.AdmitRequest) (func(), error) {
	if ctx.Err() != nil {
		return nil, contextError(ctx)
	}
	if d, ok := ctx.Deadline(); ok && (r.Deadline.IsZero() || d.Before(r.Deadline)) {
		r.Deadline = d
	}
	r.Limit.RequestsPerSecond /= float64(q.entryVMCount())
	began := time.Now()
	l, t, until, decided := q.offer(began, r)
	d, err := awaitDecision(ctx, until, decided)
	if err != nil {
		return nil, q.abandon(l, t, decided, err)
	}
	if d.Verdict == tsadmit.Refused {
		return nil, d.Err
	}
	if q.cfg.OnAdmitted != nil {
		q.cfg.OnAdmitted(r.Work, time.Since(began))
	}
	return sync.OnceFunc(func() { q.release(l, t) }), nil
}

// entryVMCount returns the number of live entry VMs, including this one, among
// which the requests are spread.
func (q *Queue) entryVMCount() int {
	n := 1
	if q.cfg.Board == nil {
		return n
	}
	for _, m := range q.cfg.Board.Members.Read() {
		if m.State == turmericshed.MemberAlive {
			n++
		}
	}
	return n
}

// offer adds a request to its queue. It returns the channel that receives the
// decision, and the time after which waiting is useless.
func (q *Queue) offer(now time.Time, r turmericshed.AdmitRequest) (*lane, tsadmit.Ticket, time.Time, chan tsadmit.Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.lanes[r.Work]
	if l == nil {
		l = &lane{
			queue:   tsadmit.New(tsadmit.Config{MaxRunning: q.cfg.MaxRunning, MaxQueued: q.cfg.MaxQueued}),
			control: tsadmit.NewControl(),
			waiters: map[tsadmit.Ticket]chan tsadmit.Decision{},
		}
		q.lanes[r.Work] = l
	}
	q.lastTicket++
	t, decided := q.lastTicket, make(chan tsadmit.Decision, 1)
	l.waiters[t] = decided
	decisions := l.queue.Offer(now, t, r)
	l.deliver(decisions)
	return l, t, decisions[0].Until, decided
}

// release ends an admitted request and admits the next ones.
func (q *Queue) release(l *lane, t tsadmit.Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l.deliver(l.queue.Release(time.Now(), t))
}

// abandon withdraws a request whose caller stopped waiting, and returns err. If the
// request was admitted at the same moment, it is released.
func (q *Queue) abandon(l *lane, t tsadmit.Ticket, decided chan tsadmit.Decision, err error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(l.waiters, t)
	if l.queue.Cancel(t) {
		return err
	}
	if d := <-decided; d.Verdict == tsadmit.Admitted {
		l.deliver(l.queue.Release(time.Now(), t))
	}
	return err
}

// deliver sends final decisions to the requests that wait for them.
func (l *lane) deliver(decisions []tsadmit.Decision) {
	for _, d := range decisions {
		if d.Verdict == tsadmit.Queued {
			continue
		}
		if c := l.waiters[d.Ticket]; c != nil {
			delete(l.waiters, d.Ticket)
			c <- d
		}
	}
}

// awaitDecision blocks until the decision arrives, ctx ends, or the time until has
// passed. Errors: KindDeadline, KindCanceled.
func awaitDecision(ctx context.Context, until time.Time, decided <-chan tsadmit.Decision) (tsadmit.Decision, error) {
	select {
	case d := <-decided:
		return d, nil
	default:
	}
	var expired <-chan time.Time
	if !until.IsZero() {
		t := time.NewTimer(time.Until(until))
		defer t.Stop()
		expired = t.C
	}
	select {
	case d := <-decided:
		return d, nil
	case <-expired:
		err := turmericshed.NewError(turmericshed.KindDeadline, "the deadline can't be met after waiting")
		return tsadmit.Decision{}, turmericshed.WithRetryAfter(err, lateRetryAfter)
	case <-ctx.Done():
		return tsadmit.Decision{}, contextError(ctx)
	}
}

func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return turmericshed.WrapError(turmericshed.KindDeadline, ctx.Err(), "deadline passed in the queue")
	}
	return turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "caller went away")
}

// Controllers returns the overload control, if it is enabled.
func (q *Queue) Controllers() []turmericshed.Controller {
	if q.cfg.Load == nil {
		return nil
	}
	return []turmericshed.Controller{limitController{q}}
}

// limitController adapts the bound on running requests to the servers' load.
type limitController struct{ queue *Queue }

// String names the controller in the supervisor's log.
func (limitController) String() string { return "admission limit" }

// Serve runs until ctx ends.
func (c limitController) Serve(ctx context.Context) error {
	tick := time.NewTicker(adaptInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			c.queue.adaptLimits(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// adaptLimits adapts the bound on running requests of every lane.
func (q *Queue) adaptLimits(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for work, l := range q.lanes {
		pressure, slots := q.cfg.Load(now, work)
		l.deliver(l.control.Adapt(now, l.queue, tsadmit.Load{Pressure: pressure, Slots: slots, EntryVMs: q.entryVMCount()}))
	}
}
