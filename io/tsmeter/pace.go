package tsmeter

import (
	"context"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/core/tslink"
	"turmericshed/io/tspause"
)

// minPacedSize is the size in bytes from which bodies wait for their turn.
const minPacedSize = 2 << 10

// targetQueueDelay is the delay of the link's queue up to which a body is sent once its turn comes.
const targetQueueDelay = 100 * time.Millisecond

// maxLinkQueueWait is the longest time that a body waits for a short queue. It is sent after that,
// so that bodies get a part of a link that answers to callers saturate.
const maxLinkQueueWait = time.Second

// bodyQueue decides when each body may be sent over the link.
type bodyQueue struct {
	mu         sync.Mutex
	pacer      *tslink.Pacer
	lastTicket tslink.Ticket
	waiting    map[tslink.Ticket]chan struct{}
	// linkWait is a semaphore with a capacity of 1, held by the body that waits for the link's
	// queue to become short.
	linkWait chan struct{}
	// timer calls releaseReady for the next waiting body.
	timer *time.Timer
}

func newBodyQueue(rate float64) *bodyQueue {
	return &bodyQueue{pacer: tslink.NewPacer(rate), waiting: make(map[tslink.Ticket]chan struct{}), linkWait: make(chan struct{}, 1)}
}

// Await waits until size bytes of a client account may be sent: first for their turn among the
// bodies, and then until the link's queue is short. Errors: KindOverloaded at once, with the
// waiting time as the retry delay, if that would be after the deadline of ctx; KindCanceled if ctx
// ends.
func (m *Meter) Await(ctx context.Context, account turmericshed.AccountID, size int) error {
	if size < minPacedSize {
		return nil
	}
	q := m.bodyQueue
	ticket, turn, wait := q.enqueue(account, size)
	if turn == nil {
		return m.awaitQueue(ctx)
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
		q.cancel(ticket)
		err := turmericshed.NewError(turmericshed.KindOverloaded, "the own link is full: %s to wait", wait.Round(time.Millisecond))
		return turmericshed.WithRetryAfter(err, wait)
	}
	select {
	case <-turn:
		return m.awaitQueue(ctx)
	case <-ctx.Done():
		q.cancel(ticket)
		return turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "waiting for the own link")
	}
}

// awaitQueue waits until the link's queue is short. Only bodies take turns, so answers to callers
// may be queued ahead of them. One body at a time waits here, so that each one finds the bytes of
// the one before it in the queue. Errors: as Await.
func (m *Meter) awaitQueue(ctx context.Context) error {
	select {
	case m.bodyQueue.linkWait <- struct{}{}:
		defer func() { <-m.bodyQueue.linkWait }()
	case <-ctx.Done():
		return turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "waiting for the own link")
	}
	for waitUntil := time.Now().Add(maxLinkQueueWait); ; {
		wait := m.state().queueDelay - targetQueueDelay
		if wait <= 0 || !time.Now().Before(waitUntil) {
			return nil
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
			err := turmericshed.NewError(turmericshed.KindOverloaded, "the own link is full: %s to wait", wait.Round(time.Millisecond))
			return turmericshed.WithRetryAfter(err, wait)
		}
		if !tspause.For(ctx, wait) {
			return turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "waiting for the own link")
		}
	}
}

// enqueue requests a turn. It returns a channel that is closed when the turn comes, or nil if the
// body may be sent now, and an estimate of the waiting time.
func (q *bodyQueue) enqueue(account turmericshed.AccountID, size int) (ticket tslink.Ticket, turn chan struct{}, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastTicket++
	wait, ready := q.pacer.Offer(time.Now(), q.lastTicket, string(account), size)
	if ready {
		return q.lastTicket, nil, 0
	}
	turn = make(chan struct{})
	q.waiting[q.lastTicket] = turn
	q.releaseReady()
	return q.lastTicket, turn, wait
}

// cancel withdraws a request for a turn.
func (q *bodyQueue) cancel(ticket tslink.Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, ticket)
	q.pacer.Cancel(ticket)
}

// releaseReady releases the bodies whose turn has come and sets the timer for the next one. q.mu
// must be held.
func (q *bodyQueue) releaseReady() {
	readyTickets, wait := q.pacer.Ready(time.Now())
	for _, ticket := range readyTickets {
		close(q.waiting[ticket])
		delete(q.waiting, ticket)
	}
	switch {
	case wait == 0:
	case q.timer == nil:
		q.timer = time.AfterFunc(wait, func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.releaseReady()
		})
	default:
		q.timer.Reset(wait)
	}
}
