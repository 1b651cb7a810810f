package tsgateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/core/tsfreshness"
	"turmericshed/core/tsroster"
	"turmericshed/core/tstable"
	"turmericshed/platform"
)

// tableView puts the operators' desired state in force.
type tableView struct {
	log *slog.Logger
	// apply takes a table whose version is above all before it.
	apply    func(t *tstable.Table)
	version  uint64
	hasTable bool
}

// Reset takes the table of a snapshot.
func (v *tableView) Reset(items []turmericshed.Item) {
	for _, i := range items {
		v.applyItem(i)
	}
}

// Change takes a new table. Operators replace it and never remove it.
func (v *tableView) Change(ev turmericshed.WatchEvent) {
	if ev.Deleted {
		v.log.Warn("routing table removed; the last one stays in force", "version", v.version)
		return
	}
	v.applyItem(ev.Item)
}

// Lost keeps the table in force.
func (v *tableView) Lost(error) {}

// applyItem applies a table unless an equal or newer one is in force.
func (v *tableView) applyItem(i turmericshed.Item) {
	if i.Key != platform.TableKey {
		return
	}
	t, err := platform.DecodeTable(i.Value)
	if err != nil {
		v.log.Error("routing table not read", "error", err.Error(), "in_force", v.version)
		return
	}
	if v.hasTable && t.Version <= v.version {
		return
	}
	v.log.Info("routing table in force", "version", t.Version, "before", v.version, "routes", len(t.Routes), "accounts", len(t.Accounts))
	v.version, v.hasTable = t.Version, true
	v.apply(tstable.New(t))
}

// serverView posts the backend servers to the board.
type serverView struct {
	log   *slog.Logger
	board *tsboard.Board
	// freshness bounds for how long a server whose entry is gone is kept.
	freshness *tsfreshness.Tracker

	mu     sync.Mutex
	roster *tsroster.Roster
	// wake ends the wait for the roster's next change by itself.
	wake chan struct{}
}

func newServerView(log *slog.Logger, board *tsboard.Board, freshness *tsfreshness.Tracker) *serverView {
	return &serverView{log: log, board: board, freshness: freshness, roster: tsroster.New(), wake: make(chan struct{}, 1)}
}

// Reset replaces the servers.
func (v *serverView) Reset(items []turmericshed.Item) {
	var servers []turmericshed.BackendServer
	for _, i := range items {
		if s, ok := v.decode(i); ok {
			servers = append(servers, s)
		}
	}
	v.mu.Lock()
	removed := v.roster.Reset(time.Now(), servers, v.grace())
	v.mu.Unlock()
	for _, r := range removed {
		v.log.Info("server entry is missing", "server", string(r.ID), "kept_ms", remainingGrace(r).Milliseconds())
	}
	v.postAndWake()
}

// Change takes one entry.
func (v *serverView) Change(ev turmericshed.WatchEvent) {
	s, ok := turmericshed.BackendServer{ID: platform.ServerOf(ev.Key)}, false
	if !ev.Deleted {
		s, ok = v.decode(ev.Item)
	}
	var removed tsroster.Removal
	v.mu.Lock()
	if ok {
		v.roster.Put(time.Now(), s)
	} else {
		removed = v.roster.Remove(time.Now(), s.ID, v.grace())
	}
	v.mu.Unlock()
	v.log.Info("server entry changed", "server", string(s.ID), "listed", ok, "leaving", s.Leaving || !ok, "service", s.Service,
		"addr", s.Addr.String(), "version", uint64(ev.Version), "age_ms", v.freshness.Age(time.Now(), tsfreshness.Servers).Milliseconds(),
		"kept_ms", remainingGrace(removed).Milliseconds())
	v.postAndWake()
}

// remainingGrace returns for how long a server that left the list keeps getting work.
func remainingGrace(r tsroster.Removal) time.Duration { return max(time.Until(r.KeptUntil), 0) }

// Lost keeps the servers. What may follow an outage is told by the freshness.
func (v *serverView) Lost(error) {}

// grace bounds the keeping of a server whose entry is found gone now: the entry
// may have gone right after the list was last complete.
func (v *serverView) grace() tsroster.Grace {
	return tsroster.Grace{Due: v.freshness.Due(tsfreshness.Servers), Excused: v.freshness.GraceUntil(time.Now(), tsfreshness.Servers)}
}

func (v *serverView) decode(i turmericshed.Item) (turmericshed.BackendServer, bool) {
	s, err := platform.DecodeServer(i)
	if err != nil {
		v.log.Warn("server entry not read", "key", i.Key, "version", uint64(i.Version), "error", err.Error())
	}
	return s, err == nil
}

func (v *serverView) postAndWake() {
	v.post()
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// post writes the list to the board and returns when it changes by itself.
func (v *serverView) post() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	servers, next := v.roster.List(time.Now())
	v.board.Servers.Write(servers)
	return next
}

// Serve posts the changes that come with time.
func (v *serverView) Serve(ctx context.Context) error {
	for {
		var due <-chan time.Time
		if next := v.post(); !next.IsZero() {
			due = time.After(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-v.wake:
		case <-due:
		}
	}
}
