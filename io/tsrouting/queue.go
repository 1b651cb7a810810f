// Package tsrouting runs the pure decisions of tsroute and tsadmit in a
// process: it serializes access, waits for places and reads the blackboard.
//
// # Usage
//
//	pool := tsrouting.NewPool(tsrouting.PoolConfig{Board: board, Loads: engines, ...})
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
	// adaptInterval is how often the overload control looks at the load.
	adaptInterval = 250 * time.Millisecond
	// lateRetryAfter is the advice after a wait that led to nothing.
	lateRetryAfter = time.Second
)

// QueueConfig holds what a Queue needs. Zero settings take defaults.
type QueueConfig struct {
	// MaxRunning bounds the requests that run at once for each kind of work.
	MaxRunning int
	// MaxQueued bounds the waiting requests for each kind of work.
	MaxQueued int
	// Board tells how many entry VMs share an account's rate limit; nil
	// counts this process alone.
	Board *tsboard.Board
	// Load returns the load per slot and the slots of the servers for a kind
	// of work; nil turns overload control off.
	Load func(now time.Time, work turmericshed.WorkKind) (pressure float64, slots int)
	// Waited is told how long each admitted request waited; may be nil.
	Waited func(work turmericshed.WorkKind, d time.Duration)
}

// Queue implements turmericshed.Admission, with one tsadmit.Queue for each
// kind of work.
type Queue struct {
	cfg QueueConfig

	mu         sync.Mutex
	lanes      map[turmericshed.WorkKind]*lane
	lastTicket tsadmit.Ticket
}

// lane is the queue of one kind of work.
type lane struct {
	queue   *tsadmit.Queue
	control *tsadmit.Control
	// waiters are told the decision on their ticket.
	waiters map[tsadmit.Ticket]chan tsadmit.Decision
}

var _ turmericshed.Admission = (*Queue)(nil)

// NewQueue returns an empty queue.
func NewQueue(cfg QueueConfig) *Queue {
	return &Queue{cfg: cfg, lanes: map[turmericshed.WorkKind]*lane{}}
}

// Admit waits for a place. Errors: KindRateLimited, KindOverloaded,
// KindDeadline, KindCanceled. All of them mean that nothing was sent.
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
	if q.cfg.Waited != nil {
		q.cfg.Waited(r.Work, time.Since(began))
	}
	return sync.OnceFunc(func() { q.release(l, t) }), nil
}

// entryVMCount returns the number of entry VMs that callers are spread over.
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

// offer asks for a place and returns the channel of the decision, and until
// when it is worth waiting for.
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
	ds := l.queue.Offer(now, t, r)
	l.deliver(ds)
	return l, t, ds[0].Until, decided
}

// release gives a place back.
func (q *Queue) release(l *lane, t tsadmit.Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l.deliver(l.queue.Release(time.Now(), t))
}

// abandon takes back a request whose caller stopped waiting. A place that was
// given in the same instant is released.
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

// deliver hands decisions to those who wait for them.
func (l *lane) deliver(ds []tsadmit.Decision) {
	for _, d := range ds {
		if d.Verdict == tsadmit.Queued {
			continue
		}
		if c := l.waiters[d.Ticket]; c != nil {
			delete(l.waiters, d.Ticket)
			c <- d
		}
	}
}

// awaitDecision blocks until the decision, the end of ctx, or the given time.
func awaitDecision(ctx context.Context, until time.Time, decided <-chan tsadmit.Decision) (tsadmit.Decision, error) {
	select {
	case d := <-decided:
		return d, nil
	default:
	}
	var late <-chan time.Time
	if !until.IsZero() {
		t := time.NewTimer(time.Until(until))
		defer t.Stop()
		late = t.C
	}
	select {
	case d := <-decided:
		return d, nil
	case <-late:
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

// Controllers returns the overload control.
func (q *Queue) Controllers() []turmericshed.Controller {
	if q.cfg.Load == nil {
		return nil
	}
	return []turmericshed.Controller{limitController{q}}
}

// limitController adapts the number of running requests to the servers' load.
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

// adaptLimits moves the limits of every lane.
func (q *Queue) adaptLimits(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for work, l := range q.lanes {
		pressure, slots := q.cfg.Load(now, work)
		l.deliver(l.control.Adapt(now, l.queue, tsadmit.Load{Pressure: pressure, Slots: slots, Sharers: q.entryVMCount()}))
	}
}
