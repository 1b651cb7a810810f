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

// tableView decodes the operators' routing table and applies new versions.
type tableView struct {
	log *slog.Logger
	// apply is called with each table whose version is higher than all before.
	apply    func(t *tstable.Table)
	version  uint64
	hasTable bool
}

// Reset applies the table of a snapshot.
func (v *tableView) Reset(items []turmericshed.Item) {
	for _, i := range items {
		v.applyItem(i)
	}
}

// Change applies an updated table. A deletion is ignored: operators replace the
// table and never remove it.
func (v *tableView) Change(ev turmericshed.WatchEvent) {
	if ev.Deleted {
		v.log.Warn("routing table was removed from the store; keeping the last one", "version", v.version)
		return
	}
	v.applyItem(ev.Item)
}

// Lost keeps the current table.
func (v *tableView) StoreLost(error) {}

// applyItem applies a table if it is the first one or its version is higher than that
// of the current one.
func (v *tableView) applyItem(i turmericshed.Item) {
	if i.Key != platform.TableKey {
		return
	}
	t, err := platform.DecodeTable(i.Value)
	if err != nil {
		v.log.Error("invalid routing table; keeping the current one", "error", err.Error(), "in_force", v.version)
		return
	}
	if v.hasTable && t.Version <= v.version {
		return
	}
	v.log.Info("routing table in force", "version", t.Version, "before", v.version, "routes", len(t.Routes), "accounts", len(t.Accounts))
	v.version, v.hasTable = t.Version, true
	v.apply(tstable.New(t))
}

// serverView maintains the list of backend servers and writes it to the board.
type serverView struct {
	log   *slog.Logger
	board *tsboard.Board
	// freshness bounds for how long a server whose entry was removed is kept.
	freshness *tsfreshness.Tracker

	mu     sync.Mutex
	roster *tsroster.Roster
	// wake makes Serve recompute the time of the roster's next change.
	wake chan struct{}
}

func newServerView(log *slog.Logger, board *tsboard.Board, freshness *tsfreshness.Tracker) *serverView {
	return &serverView{log: log, board: board, freshness: freshness, roster: tsroster.New(), wake: make(chan struct{}, 1)}
}

// Reset replaces the list of servers.
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
		v.log.Info("server entry is missing from the store snapshot", "server", string(r.ID), "kept_ms", remainingGrace(r).Milliseconds())
	}
	v.postAndWake()
}

// Change applies the update of one entry. An entry that can't be decoded counts as
// removed.
func (v *serverView) Change(ev turmericshed.WatchEvent) {
	s, isListed := turmericshed.BackendServer{ID: platform.ServerIDFromKey(ev.Key)}, false
	if !ev.Deleted {
		s, isListed = v.decode(ev.Item)
	}
	var removed tsroster.Removal
	v.mu.Lock()
	if isListed {
		v.roster.Put(time.Now(), s)
	} else {
		removed = v.roster.Remove(time.Now(), s.ID, v.grace())
	}
	v.mu.Unlock()
	v.log.Info("server entry changed", "server", string(s.ID), "listed", isListed, "leaving", s.Leaving || !isListed, "service", s.Service,
		"addr", s.Addr.String(), "version", uint64(ev.Version), "age_ms", v.freshness.Age(time.Now(), tsfreshness.Servers).Milliseconds(),
		"kept_ms", remainingGrace(removed).Milliseconds())
	v.postAndWake()
}

// remainingGrace returns for how much longer a removed server gets work.
func remainingGrace(r tsroster.Removal) time.Duration { return max(time.Until(r.KeptUntil), 0) }

// Lost keeps the servers. The freshness tracker takes outages into account.
func (v *serverView) StoreLost(error) {}

// grace returns the bounds on keeping a server whose entry is found missing now.
// The entry may have been removed right after the list was last complete.
func (v *serverView) grace() tsroster.Grace {
	return tsroster.Grace{DueAt: v.freshness.DueAt(tsfreshness.Servers), ExcusedUntil: v.freshness.GraceUntil(time.Now(), tsfreshness.Servers)}
}

// decode returns an entry's server, and false for an invalid entry.
func (v *serverView) decode(i turmericshed.Item) (turmericshed.BackendServer, bool) {
	s, err := platform.DecodeServer(i)
	if err != nil {
		v.log.Warn("invalid server entry", "key", i.Key, "version", uint64(i.Version), "error", err.Error())
	}
	return s, err == nil
}

// postAndWake posts the list and makes Serve recompute its timer.
func (v *serverView) postAndWake() {
	v.post()
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// post writes the list to the board and returns when it next changes without an
// update; zero for never.
func (v *serverView) post() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	servers, next := v.roster.List(time.Now())
	v.board.Servers.Write(servers)
	return next
}

// Serve posts the list whenever the end of a grace period changes it, until ctx ends.
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
