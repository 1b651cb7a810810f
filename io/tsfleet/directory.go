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
	directoryTimeout = 2 * time.Second
	// directoryRetry is the time until a reading that failed is tried again.
	directoryRetry = time.Second
)

// directoryReader posts the platform's list on the board, tells peers of changed
// backend servers and takes up what they tell.
type directoryReader struct {
	f    *Fleet
	list tsmember.ServerList
	updates *serverUpdates
}

// serverUpdates serializes tsmember.ServerNews.
type serverUpdates struct {
	mu      sync.Mutex
	core    tsmember.ServerNews
	arrived chan struct{}
}

var _ tsmember.Urgent = (*serverUpdates)(nil)

// Topic returns the name of the topic.
func (s *serverUpdates) Topic() string { return s.core.Topic() }

// Next returns changes to tell.
func (s *serverUpdates) Next(budgetBytes int) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Next(budgetBytes)
}

// TakeUrgent reports whether there were changes.
func (s *serverUpdates) TakeUrgent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.TakeUrgent()
}

// Merge takes a change and wakes the reader.
func (s *serverUpdates) Merge(payload []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Merge(payload)
	select {
	case s.arrived <- struct{}{}:
	default:
	}
}

// queueChanges tells peers what changed on the board.
func (s *serverUpdates) queueChanges(prev, next []turmericshed.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Note(prev, next)
}

func (s *serverUpdates) takeReceived() []turmericshed.BackendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.TakeHeard()
}

// serveDirectory reads the list until ctx ends. It tells peers of every
// change on the board, whoever saw the first sign.
func (f *Fleet) serveDirectory(ctx context.Context) error {
	r := &directoryReader{f: f, updates: f.serverUpdates}
	t := time.NewTimer(0)
	defer t.Stop()
	prev, changed := f.cfg.Board.Servers.Watch()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			t.Reset(r.read(ctx))
		case <-changed:
			var next []turmericshed.BackendServer
			next, changed = f.cfg.Board.Servers.Watch()
			r.updates.queueChanges(prev, next)
			prev = next
		case <-r.updates.arrived:
			heard := r.updates.takeReceived()
			r.update(func(cur []turmericshed.BackendServer) ([]turmericshed.BackendServer, []turmericshed.Event) {
				return r.list.Hear(cur, heard)
			})
		}
	}
}

// read joins one reading and returns the time until the next. Without an
// answer, with a stale or an empty one, what was known stays.
func (r *directoryReader) read(ctx context.Context) time.Duration {
	call, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	snap, err := r.f.cfg.Directory.Snapshot(call)
	if err != nil || !r.list.Fresh(snap) {
		return directoryRetry
	}
	r.f.cfg.Board.Directory.Write(snap)
	r.update(func(cur []turmericshed.BackendServer) ([]turmericshed.BackendServer, []turmericshed.Event) {
		return r.list.Join(cur, snap)
	})
	wait := tsmember.ReadingInterval(snap, 1+len(r.f.Reachable()))
	if wait > directoryRetry {
		wait = wait/2 + rand.N(wait) // spread over the fleet
	}
	return wait
}

// update changes the servers on the board.
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
