package tscrash

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/io/tspeerapi"
)

// Answered returns when this entry VM last passed on an answer to a request with each of
// the given parts.
func (s service) Answered(_ context.Context, r *connect.Request[tspeerapi.AnsweredRequest]) (*connect.Response[tspeerapi.AnsweredResponse], error) {
	now := time.Now()
	m := &tspeerapi.AnsweredResponse{}
	s.w.answeredMu.Lock()
	defer s.w.answeredMu.Unlock()
	for _, part := range r.Msg.Parts {
		if at, ok := s.w.answered.Get(now, turmericshed.Digest(part)); ok {
			m.Parts = append(m.Parts, &tspeerapi.AnsweredPart{Part: part, AgoUs: now.Sub(at).Microseconds()})
		}
	}
	return connect.NewResponse(m), nil
}

// confirmer decides, at an aggregator, whether prompt parts under which servers terminated
// are the cause.
type confirmer struct{ w *Watch }

// String names the controller in the supervisor's log.
func (confirmer) String() string { return "crash confirmer" }

// Serve confirms parts until ctx ends.
func (c confirmer) Serve(ctx context.Context) error {
	for {
		select {
		case <-c.w.confirmWake:
			c.w.confirmParts(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// wakeConfirmer wakes the confirmer if any part waits for it. w.mu is held.
func (w *Watch) wakeConfirmer() {
	if len(w.book.Unconfirmed()) > 0 {
		wake(w.confirmWake)
	}
}

// confirmParts asks every entry VM for answers to requests with the unconfirmed parts, and
// queues those that are found to be the cause, as blocked, and those that are cleared.
func (w *Watch) confirmParts(ctx context.Context) {
	w.mu.Lock()
	parts := w.book.Unconfirmed()
	w.mu.Unlock()
	if len(parts) == 0 {
		return
	}
	parts = parts[:min(len(parts), maxRequestsPerCall)]
	began := time.Now()
	answered, silent := w.lastAnswers(ctx, parts)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	changed := w.book.Confirm(now, parts, answered)
	blocked := 0
	for _, e := range changed {
		if now.Before(e.BlockedUntil()) {
			blocked++
		}
	}
	w.cfg.Log.Info("asked all entry VMs for answers to requests with prompt parts under which servers terminated", "parts", len(parts), "answered", len(answered),
		"blocked", blocked, "silent_vms", silent, "elapsed_ms", now.Sub(began).Milliseconds())
	w.recordChanges(now, changed, "")
	w.queueBlocked(now, changed)
}

// lastAnswers returns the time of the last answer to a request with each of the given
// parts at any entry VM, for the parts that have one. Entry VMs that don't answer count as
// having none; silent is their number.
func (w *Watch) lastAnswers(ctx context.Context, parts []turmericshed.Digest) (answered map[turmericshed.Digest]time.Time, silent int) {
	m := &tspeerapi.AnsweredRequest{}
	answered = make(map[turmericshed.Digest]time.Time)
	w.answeredMu.Lock()
	for _, part := range parts {
		m.Parts = append(m.Parts, string(part))
		if at, ok := w.answered.Get(time.Now(), part); ok {
			answered[part] = at
		}
	}
	w.answeredMu.Unlock()
	var mu sync.Mutex
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for _, vm := range w.cfg.Members.Reachable() {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			err := w.call(ctx, vm, func(ctx context.Context, c tspeerapi.CrashServiceClient) error {
				resp, err := c.Answered(ctx, connect.NewRequest(m))
				if err != nil {
					return err
				}
				now := time.Now()
				mu.Lock()
				defer mu.Unlock()
				for _, a := range resp.Msg.Parts {
					part := turmericshed.Digest(a.Part)
					if at := ago(now, a.AgoUs); at.After(answered[part]) {
						answered[part] = at
					}
				}
				return nil
			})
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				silent++
			}
		})
	}
	calls.Wait()
	return answered, silent
}
