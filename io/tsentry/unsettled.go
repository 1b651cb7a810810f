package tsentry

import (
	"context"
	"sync"
	"time"

	"turmericshed"
)

// Limits on the cancellation of streams whose cost is unknown.
const (
	// cancelTimeout bounds one cancel call.
	cancelTimeout       = 2 * time.Second
	cancelRetryInterval = time.Second
	// cancelWorkers bounds the concurrent cancel calls.
	cancelWorkers = 8
	// maxCancelDuration is how long after an attempt's start its cancellation is retried. After that, the
	// full reservation is charged.
	maxCancelDuration = 10 * time.Minute
)

// unsettledQueue holds attempts whose cost the engine has not reported. Each stays charged
// in full until the engine confirms its cancellation.
type unsettledQueue struct {
	mu       sync.Mutex
	attempts []*attempt
	wake     chan struct{}
}

func newUnsettledQueue() *unsettledQueue { return &unsettledQueue{wake: make(chan struct{}, 1)} }

func (u *unsettledQueue) add(at *attempt) {
	u.mu.Lock()
	u.attempts = append(u.attempts, at)
	u.mu.Unlock()
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// take removes and returns up to n attempts.
func (u *unsettledQueue) take(n int) []*attempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	n = min(n, len(u.attempts))
	batch := u.attempts[:n:n]
	u.attempts = u.attempts[n:]
	return batch
}

// canceler is the controller that cancels streams of unsettled attempts at their engines and settles the
// usage that the engines report.
type canceler struct{ e *Entry }

// Serve cancels unsettled attempts as they arrive, and retries failed cancellations at
// cancelRetryInterval, until ctx is done.
func (c *canceler) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.e.unsettled.wake:
		case <-time.After(cancelRetryInterval):
		}
		c.cancelAll(ctx)
	}
}

// cancelAll tries to cancel every queued attempt once and requeues those that can't be settled yet.
func (c *canceler) cancelAll(ctx context.Context) {
	var remaining []*attempt
	for {
		batch := c.e.unsettled.take(cancelWorkers)
		if len(batch) == 0 {
			break
		}
		var wg sync.WaitGroup
		done := make([]bool, len(batch))
		for i, at := range batch {
			wg.Go(func() { done[i] = c.cancel(ctx, at) })
		}
		wg.Wait()
		for i, at := range batch {
			if !done[i] {
				remaining = append(remaining, at)
			}
		}
	}
	c.e.unsettled.mu.Lock()
	c.e.unsettled.attempts = append(c.e.unsettled.attempts, remaining...)
	c.e.unsettled.mu.Unlock()
}

// cancel cancels and settles one attempt and reports whether it is settled. An engine may have lost the
// stream in a restart, so a reported usage of 0 charges the full reservation.
func (c *canceler) cancel(ctx context.Context, at *attempt) bool {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	u, err := c.e.deps.Engine.Cancel(ctx, at.server, at.stream)
	cost := u.Total()
	if err != nil {
		if time.Since(at.startedAt) < maxCancelDuration {
			return false
		}
		cost = at.res.Amount
	}
	if cost == 0 {
		cost = at.res.Amount
	}
	c.e.deps.Recorder.Record(turmericshed.Event{
		Name: turmericshed.EventStreamCanceled, Request: at.res.Request, Server: at.server.ID, Tokens: cost,
	})
	c.e.settle(at.res, at.bill, cost)
	return true
}
