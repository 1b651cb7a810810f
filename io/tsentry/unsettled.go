package tsentry

import (
	"context"
	"sync"
	"time"

	"turmericshed"
)

// Cancels of broken streams are retried at this pace, a few at a time.
const (
	cancelTimeout       = 2 * time.Second
	cancelRetryInterval = time.Second
	cancelWorkers       = 8
	// maxCancelDuration bounds how long an engine is asked about one stream; the
	// whole reservation then stays charged.
	maxCancelDuration = 10 * time.Minute
)

// unsettledAttempts holds attempts whose cost the engine has not reported. Each stays
// charged in full until a cancel is confirmed.
type unsettledAttempts struct {
	mu       sync.Mutex
	attempts []*attempt
	wake     chan struct{}
}

func newUnsettledAttempts() *unsettledAttempts {
	return &unsettledAttempts{wake: make(chan struct{}, 1)}
}

func (u *unsettledAttempts) add(at *attempt) {
	u.mu.Lock()
	u.attempts = append(u.attempts, at)
	u.mu.Unlock()
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// take removes up to n attempts.
func (u *unsettledAttempts) take(n int) []*attempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	n = min(n, len(u.attempts))
	batch := u.attempts[:n:n]
	u.attempts = u.attempts[n:]
	return batch
}

// canceler is the controller that asks engines to cancel broken streams and
// settles what they report.
type canceler struct{ e *Entry }

// Serve runs until ctx ends.
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

// cancelAll asks about every waiting attempt once.
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

// cancel settles one attempt and reports whether it is done with. An engine
// that does not know the stream may have lost it in a restart, so that a
// report of no usage leaves the whole reservation charged.
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
