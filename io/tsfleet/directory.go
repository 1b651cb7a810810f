package tsfleet

import (
	"context"
	"time"

	"turmericshed"
	"turmericshed/core/tsmember"
)

const (
	// directoryInterval is the time between readings of the platform's list.
	directoryInterval = time.Second
	directoryTimeout  = 2 * time.Second
)

// reader posts the platform's list on the board.
type reader struct {
	cfg  Config
	list tsmember.ServerList
}

func newReader(cfg Config) *reader { return &reader{cfg: cfg} }

// Serve reads the list until ctx ends.
func (r *reader) Serve(ctx context.Context) error {
	r.list = tsmember.ServerList{}
	t := time.NewTicker(directoryInterval)
	defer t.Stop()
	for {
		r.read(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// read joins one reading. Without an answer, with a stale or an empty one,
// what was known stays.
func (r *reader) read(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	snap, err := r.cfg.Directory.Snapshot(call)
	if err != nil || !r.list.Fresh(snap) {
		return
	}
	r.cfg.Board.Directory.Write(snap)
	var events []turmericshed.Event
	r.cfg.Board.Servers.Update(func(cur []turmericshed.BackendServer) []turmericshed.BackendServer {
		var next []turmericshed.BackendServer
		next, events = r.list.Join(cur, snap)
		return next
	})
	for _, e := range events {
		r.cfg.Recorder.Record(e)
	}
}
