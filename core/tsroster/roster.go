// Package tsroster decides which backend servers may get work, from a list
// that lags and from its outages. It is pure.
//
// A server whose entry goes away is leaving, even when it never said so. But
// entries also lapse while the store cannot be written, and come back shortly
// after. So an entry that is missing after an outage keeps its server for
// returnGrace, and so does each one of many that go away at once.
//
// # Usage
//
//	r := tsroster.New()
//	r.Reset(now, servers)
//	r.Put(now, server)
//	r.Remove(now, id)
//	r.Lost()
//	list, next := r.List(now) // ask again at next, if it is set
package tsroster

import (
	"cmp"
	"slices"
	"time"

	"turmericshed"
)

const (
	// returnGrace is how long after an outage an entry may stay missing: live
	// servers write again within two seconds of the store's return.
	returnGrace = 2200 * time.Millisecond
	// lapseGrace is the same for many entries that go away at once without an
	// outage that was noticed here; shorter than the time in which a leaving
	// server must get no more work.
	lapseGrace = 1500 * time.Millisecond
	// lapseSpan and lapsePart tell such a lapse: so much of a service's
	// servers within the span.
	lapseSpan = time.Second
	lapsePart = 0.5
)

// entry is a server with the time of its removal.
type entry struct {
	turmericshed.BackendServer
	// removed is zero while the entry is listed.
	removed time.Time
	// keepUntil is when a removed server stops getting work.
	keepUntil time.Time
}

// Roster is the list of servers of one process. It is not safe for concurrent
// use.
type Roster struct {
	entries map[turmericshed.ServerID]*entry
	// lost is true from an outage until the next list; returned is when that
	// list came.
	lost     bool
	returned time.Time
	started  bool
}

// New returns an empty roster.
func New() *Roster { return &Roster{entries: make(map[turmericshed.ServerID]*entry)} }

// Lost notes that the store stopped answering.
func (r *Roster) Lost() { r.lost = true }

// Reset replaces the list.
func (r *Roster) Reset(now time.Time, servers []turmericshed.BackendServer) {
	if r.lost && r.started {
		r.returned = now
	}
	r.lost, r.started = false, true
	listed := make(map[turmericshed.ServerID]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
		r.Put(now, s)
	}
	for id := range r.entries {
		if !listed[id] {
			r.Remove(now, id)
		}
	}
}

// Put takes a server's newest entry.
func (r *Roster) Put(_ time.Time, s turmericshed.BackendServer) {
	r.entries[s.ID] = &entry{BackendServer: s}
}

// Remove notes that a server's entry is gone or names no server any more.
func (r *Roster) Remove(now time.Time, id turmericshed.ServerID) {
	e := r.entries[id]
	if e == nil || !e.removed.IsZero() {
		return
	}
	e.removed = now
	if e.Leaving {
		return
	}
	if !r.returned.IsZero() && now.Sub(r.returned) < returnGrace {
		e.keepUntil = r.returned.Add(returnGrace)
		return
	}
	r.noteLapse(now, e.Service)
}

// noteLapse keeps the servers of a service for a while when too many of them
// went away at once.
func (r *Roster) noteLapse(now time.Time, service string) {
	var gone []*entry
	all := 0
	for _, e := range r.entries {
		if e.Service != service || e.Leaving {
			continue
		}
		switch {
		case e.removed.IsZero():
			all++
		case now.Sub(e.removed) < lapseSpan:
			all++
			gone = append(gone, e)
		}
	}
	if len(gone) < 2 || float64(len(gone)) < lapsePart*float64(all) {
		return
	}
	for _, e := range gone {
		e.keepUntil = e.removed.Add(lapseGrace)
	}
}

// List returns the servers in the order of their ids, and when the list
// changes by itself; zero for never.
func (r *Roster) List(now time.Time) (servers []turmericshed.BackendServer, next time.Time) {
	for id, e := range r.entries {
		if !e.removed.IsZero() && !now.Before(e.keepUntil) {
			delete(r.entries, id)
			continue
		}
		if !e.removed.IsZero() && (next.IsZero() || e.keepUntil.Before(next)) {
			next = e.keepUntil
		}
		servers = append(servers, e.BackendServer)
	}
	slices.SortFunc(servers, func(a, b turmericshed.BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	return servers, next
}
