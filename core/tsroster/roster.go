// Package tsroster decides which backend servers may receive work, from a list that lags
// behind the actual state and is unavailable at times. It performs no I/O.
//
// A server whose entry disappears is leaving, even if it never reported so. But entries also
// lapse while the store cannot be written, and reappear shortly after. The roster therefore
// keeps a server whose entry is missing after an outage for returnGrace, and each of many
// servers whose entries disappear at once for lapseGrace, but never beyond the time by which
// a leaving server must stop receiving work.
//
// # Usage
//
//	r := tsroster.New()
//	r.Reset(now, servers, grace)
//	r.Put(now, server)
//	r.Remove(now, id, grace)
//	list, next := r.List(now) // call again at next, if it is set
package tsroster

import (
	"cmp"
	"slices"
	"time"

	"turmericshed"
)

const (
	// returnGrace is how long an entry may be missing after an outage: live servers write theirs
	// within two seconds of the store's recovery.
	returnGrace = 2200 * time.Millisecond
	// lapseGrace is the same for many entries that disappear at once without a detected outage.
	lapseGrace = 1500 * time.Millisecond
	// A lapse is detected if at least lapseFraction of a service's servers disappear within
	// lapseWindow.
	lapseWindow   = time.Second
	lapseFraction = 0.5
)

// Grace bounds how long a server whose entry has disappeared may be kept.
type Grace struct {
	// DueAt is when the removal must have taken effect, assuming that it was made at any time
	// since the list was last complete.
	DueAt time.Time
	// ExcusedUntil is until when no removal needs to take effect, because the store was failing or
	// unreachable; zero if it was not.
	ExcusedUntil time.Time
}

// Removal is a server whose entry has disappeared.
type Removal struct {
	ID turmericshed.ServerID
	// KeptUntil is when the server stops receiving work; zero means at once.
	KeptUntil time.Time
}

// entry is a server and the state of its removal.
type entry struct {
	turmericshed.BackendServer
	// removed is zero while the entry is listed. keepLimit bounds keepUntil after the removal.
	removed, keepLimit time.Time
	// keepUntil is when a removed server stops receiving work.
	keepUntil time.Time
}

// Roster is one process's list of servers. It is not safe for concurrent use.
type Roster struct {
	entries map[turmericshed.ServerID]*entry
}

// New returns an empty roster.
func New() *Roster { return &Roster{entries: make(map[turmericshed.ServerID]*entry)} }

// Reset replaces the list and returns the servers that the new one lacks.
func (r *Roster) Reset(now time.Time, servers []turmericshed.BackendServer, g Grace) []Removal {
	listed := make(map[turmericshed.ServerID]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
		r.Put(now, s)
	}
	var removed []Removal
	for id, e := range r.entries {
		if !listed[id] && e.removed.IsZero() {
			r.Remove(now, id, g)
			removed = append(removed, Removal{ID: id})
		}
	}
	for i := range removed {
		removed[i].KeptUntil = r.entries[removed[i].ID].keepUntil
	}
	return removed
}

// Put stores a server's latest entry.
func (r *Roster) Put(_ time.Time, s turmericshed.BackendServer) {
	r.entries[s.ID] = &entry{BackendServer: s}
}

// Remove records that a server's entry has disappeared or no longer names a server.
func (r *Roster) Remove(now time.Time, id turmericshed.ServerID, g Grace) Removal {
	e := r.entries[id]
	if e == nil || !e.removed.IsZero() {
		return Removal{ID: id}
	}
	e.removed, e.keepLimit = now, g.DueAt
	if !e.Leaving {
		r.setKeepUntil(now, e, g)
	}
	return Removal{ID: id, KeptUntil: e.keepUntil}
}

// setKeepUntil sets until when a server that did not report leaving is kept.
func (r *Roster) setKeepUntil(now time.Time, e *entry, g Grace) {
	if now.Before(g.ExcusedUntil) {
		if g.ExcusedUntil.After(e.keepLimit) {
			e.keepLimit = g.ExcusedUntil
		}
		e.keepUntil = earlier(now.Add(returnGrace), g.ExcusedUntil)
		return
	}
	r.detectLapse(now, e.Service)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// detectLapse keeps the servers of a service for lapseGrace if too many of them disappeared
// at once.
func (r *Roster) detectLapse(now time.Time, service string) {
	var gone []*entry
	all := 0
	for _, e := range r.entries {
		if e.Service != service || e.Leaving {
			continue
		}
		switch {
		case e.removed.IsZero():
			all++
		case now.Sub(e.removed) < lapseWindow:
			all++
			gone = append(gone, e)
		}
	}
	if len(gone) < 2 || float64(len(gone)) < lapseFraction*float64(all) {
		return
	}
	for _, e := range gone {
		e.keepUntil = earlier(e.removed.Add(lapseGrace), e.keepLimit)
	}
}

// List returns the servers ordered by ID, and when the list next changes without a call;
// zero means never.
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
