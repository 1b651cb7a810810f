package tsfleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/core/tsmember"
)

const (
	// directoryTimeout is the timeout of one reading of the platform's list.
	directoryTimeout = 2 * time.Second
	// directoryRetryDelay is the delay before a failed reading is retried.
	directoryRetryDelay = time.Second
)

// directoryReader writes the platform's list to the board, sends changes of backend
// servers to peers and merges the changes received from them.
type directoryReader struct {
	f       *Fleet
	list    tsmember.ServerList
	updates *serverUpdates
}

// serverUpdates makes tsmember.ServerUpdates safe for concurrent use.
type serverUpdates struct {
	mu   sync.Mutex
	core tsmember.ServerUpdates
	// received wakes the directory controller after Merge.
	received chan struct{}
}

var _ tsmember.Urgent = (*serverUpdates)(nil)

// Topic returns the name of the topic.
func (s *serverUpdates) Topic() string { return s.core.Topic() }

// Next returns changes to send.
func (s *serverUpdates) Next(budgetBytes int) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Next(budgetBytes)
}

// TakeUrgent reports whether a change was queued since the last call.
func (s *serverUpdates) TakeUrgent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.TakeUrgent()
}

// Merge applies a change from a peer and wakes the directory controller.
func (s *serverUpdates) Merge(payload []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Merge(payload)
	select {
	case s.received <- struct{}{}:
	default:
	}
}

// queueChanges queues the changes of the board between prev and next for peers.
func (s *serverUpdates) queueChanges(prev, next []turmericshed.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.QueueChanges(prev, next)
}

// takeReceived returns the changes received from peers since the last call.
func (s *serverUpdates) takeReceived() []turmericshed.BackendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.TakeReceived()
}

// serveDirectory reads the platform's list periodically until ctx ends. It sends peers
// every change of the backend servers on the board, whichever source caused it.
func (f *Fleet) serveDirectory(ctx context.Context) error {
	r := &directoryReader{f: f, updates: f.serverUpdates}
	timer := time.NewTimer(0)
	defer timer.Stop()
	prev, changed := f.cfg.Board.Servers.Watch()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			timer.Reset(r.read(ctx))
		case <-changed:
			var next []turmericshed.BackendServer
			next, changed = f.cfg.Board.Servers.Watch()
			r.updates.queueChanges(prev, next)
			prev = next
		case <-r.updates.received:
			changes := r.updates.takeReceived()
			r.update(func(cur []turmericshed.BackendServer) ([]turmericshed.BackendServer, []turmericshed.Event) {
				return r.list.MergePeerChanges(cur, changes)
			})
		}
	}
}

// read merges one reading of the platform's list and returns the time until the next
// one. A reading that failed, is stale or is empty changes nothing.
func (r *directoryReader) read(ctx context.Context) time.Duration {
	callCtx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	snap, err := r.f.cfg.Directory.Snapshot(callCtx)
	if err != nil || !r.list.IsNewer(snap) {
		return directoryRetryDelay
	}
	r.f.cfg.Board.Directory.Write(snap)
	r.update(func(cur []turmericshed.BackendServer) ([]turmericshed.BackendServer, []turmericshed.Event) {
		return r.list.ApplyReading(cur, snap)
	})
	wait := tsmember.ReadingInterval(snap, 1+len(r.f.Reachable()))
	if wait > directoryRetryDelay {
		wait = wait/2 + rand.N(wait) // jitter spreads the readings of the fleet
	}
	return wait
}

// update applies change to the servers on the board and records its events.
func (r *directoryReader) update(change func(cur []turmericshed.BackendServer) ([]turmericshed.BackendServer, []turmericshed.Event)) {
	var events []turmericshed.Event
	r.f.cfg.Board.Servers.Update(func(cur []turmericshed.BackendServer) []turmericshed.BackendServer {
		var next []turmericshed.BackendServer
		next, events = change(cur)
		return next
	})
	for _, e := range events {
		r.f.cfg.Recorder.Record(e)
	}
}
