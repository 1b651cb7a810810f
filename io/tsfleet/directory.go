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

// reader posts the platform's list on the board, tells peers of changed
// backend servers and takes up what they tell.
type reader struct {
	f    *Fleet
	list tsmember.ServerList
	news *serverNews
}

// serverNews serializes tsmember.ServerNews.
type serverNews struct {
	mu      sync.Mutex
	core    tsmember.ServerNews
	arrived chan struct{}
}

var _ tsmember.Urgent = (*serverNews)(nil)

// Topic returns the name of the topic.
func (s *serverNews) Topic() string { return s.core.Topic() }

// Next returns changes to tell.
func (s *serverNews) Next(budgetBytes int) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Next(budgetBytes)
}

// TakeUrgent reports whether there were changes.
func (s *serverNews) TakeUrgent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.TakeUrgent()
}

// Merge takes a change and wakes the reader.
func (s *serverNews) Merge(payload []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Merge(payload)
	select {
	case s.arrived <- struct{}{}:
	default:
	}
}

// note tells peers what changed on the board.
func (s *serverNews) note(prev, next []turmericshed.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Note(prev, next)
}

func (s *serverNews) takeHeard() []turmericshed.BackendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.TakeHeard()
}

// serveDirectory reads the list until ctx ends. It tells peers of every
// change on the board, whoever saw the first sign.
func (f *Fleet) serveDirectory(ctx context.Context) error {
	r := &reader{f: f, news: f.news}
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
			r.news.note(prev, next)
			prev = next
		case <-r.news.arrived:
			heard := r.news.takeHeard()
			r.update(func(cur []turmericshed.BackendServer) ([]turmericshed.BackendServer, []turmericshed.Event) {
				return r.list.Hear(cur, heard)
			})
		}
	}
}

// read joins one reading and returns the time until the next. Without an
// answer, with a stale or an empty one, what was known stays.
func (r *reader) read(ctx context.Context) time.Duration {
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
func (r *reader) update(change func(cur []turmericshed.BackendServer) ([]turmericshed.BackendServer, []turmericshed.Event)) {
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
