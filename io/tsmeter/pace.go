package tsmeter

import (
	"context"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/core/tslink"
	"turmericshed/io/tspause"
)

// pacedSize is the size from which bodies wait for their turn.
const pacedSize = 2 << 10

// shortQueue is what a body may find at the link when its turn comes.
const shortQueue = 100 * time.Millisecond

// maxQueueWait is for how long it waits for that: where answers to callers fill
// the link, bodies have their part of it.
const maxQueueWait = time.Second

// turns hands out the turns of bodies at the link.
type turns struct {
	mu      sync.Mutex
	pacer   *tslink.Pacer
	ticket  tslink.Ticket
	waiting map[tslink.Ticket]chan struct{}
	// last is held by the body that waits for the link's queue.
	last chan struct{}
	// timer runs while something waits.
	timer *time.Timer
}

func newTurns(rate float64) *turns {
	return &turns{pacer: tslink.NewPacer(rate), waiting: make(map[tslink.Ticket]chan struct{}), last: make(chan struct{}, 1)}
}

// Await waits until size bytes of a client account may be sent: for their turn
// among the bodies, and then until little else waits at the link. Errors:
// KindOverloaded at once when that would be after the deadline of ctx, with the
// time to wait as advice; KindCanceled when ctx ends.
func (m *Meter) Await(ctx context.Context, account turmericshed.AccountID, size int) error {
	if size < pacedSize {
		return nil
	}
	t := m.turns
	ticket, turn, wait := t.offer(account, size)
	if turn == nil {
		return m.awaitQueue(ctx)
	}
	if until, ok := ctx.Deadline(); ok && time.Until(until) <= wait {
		t.cancel(ticket)
		err := turmericshed.NewError(turmericshed.KindOverloaded, "the own link is full: %s to wait", wait.Round(time.Millisecond))
		return turmericshed.WithRetryAfter(err, wait)
	}
	select {
	case <-turn:
		return m.awaitQueue(ctx)
	case <-ctx.Done():
		t.cancel(ticket)
		return turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "waiting for the own link")
	}
}

// awaitQueue waits until little waits at the link. Only bodies take turns, and
// answers to callers may be in front of them. One body at a time waits for the
// queue, so that each finds what the one before it wrote.
func (m *Meter) awaitQueue(ctx context.Context) error {
	select {
	case m.turns.last <- struct{}{}:
		defer func() { <-m.turns.last }()
	case <-ctx.Done():
		return turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "waiting for the own link")
	}
	for patience := time.Now().Add(maxQueueWait); ; {
		wait := m.state().queue - shortQueue
		if wait <= 0 || !time.Now().Before(patience) {
			return nil
		}
		if until, ok := ctx.Deadline(); ok && time.Until(until) <= wait {
			err := turmericshed.NewError(turmericshed.KindOverloaded, "the own link is full: %s to wait", wait.Round(time.Millisecond))
			return turmericshed.WithRetryAfter(err, wait)
		}
		if !tspause.For(ctx, wait) {
			return turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "waiting for the own link")
		}
	}
}

// offer asks for a turn; a nil channel stands for now.
func (t *turns) offer(account turmericshed.AccountID, size int) (ticket tslink.Ticket, turn chan struct{}, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ticket++
	wait, ready := t.pacer.Offer(time.Now(), t.ticket, string(account), size)
	if ready {
		return t.ticket, nil, 0
	}
	turn = make(chan struct{})
	t.waiting[t.ticket] = turn
	t.dispatch()
	return t.ticket, turn, wait
}

// cancel takes back a request for a turn.
func (t *turns) cancel(ticket tslink.Ticket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, ticket)
	t.pacer.Cancel(ticket)
}

// dispatch lets go what may go and sets the timer for the rest. t.mu is held.
func (t *turns) dispatch() {
	ready, again := t.pacer.Ready(time.Now())
	for _, ticket := range ready {
		close(t.waiting[ticket])
		delete(t.waiting, ticket)
	}
	switch {
	case again == 0:
	case t.timer == nil:
		t.timer = time.AfterFunc(again, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.dispatch()
		})
	default:
		t.timer.Reset(again)
	}
}
