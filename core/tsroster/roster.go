// Package tsroster decides which backend servers may get work, from a list
// that lags and from its outages. It is pure.
//
// A server whose entry goes away is leaving, even when it never said so. But
// entries also lapse while the store cannot be written, and come back shortly
// after. So an entry that is missing after an outage keeps its server for
// returnGrace, and each one of many that go away at once for lapseGrace, but
// never beyond the time in which a leaving server must get no more work.
//
// # Usage
//
//	r := tsroster.New()
//	r.Reset(now, servers, grace)
//	r.Put(now, server)
//	r.Remove(now, id, grace)
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
	// outage that was noticed here.
	lapseGrace = 1500 * time.Millisecond
	// lapseWindow and lapsePart tell such a lapse: so much of a service's
	// servers within the span.
	lapseWindow = time.Second
	lapseFraction = 0.5
)

// Grace bounds for how long a server whose entry is found gone may be kept.
type Grace struct {
	// Due is when the removal must have taken effect, whenever it was made
	// since the list was last known to be complete.
	Due time.Time
	// Excused is until when no removal need take effect, since the store or the
	// way to it was in trouble; zero where it was not.
	Excused time.Time
}

// Removal tells of a server whose entry is found gone.
type Removal struct {
	ID turmericshed.ServerID
	// KeptUntil is when it stops getting work; zero for at once.
	KeptUntil time.Time
}

// entry is a server with the time of its removal.
type entry struct {
	turmericshed.BackendServer
	// removed is zero while the entry is listed, and keepLimit the bound on
	// keepUntil from then on.
	removed, keepLimit time.Time
	// keepUntil is when a removed server stops getting work.
	keepUntil time.Time
}

// Roster is the list of servers of one process. It is not safe for concurrent
// use.
type Roster struct {
	entries map[turmericshed.ServerID]*entry
}

// New returns an empty roster.
func New() *Roster { return &Roster{entries: make(map[turmericshed.ServerID]*entry)} }

// Reset replaces the list and returns what is missing in the new one.
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

// Put takes a server's newest entry.
func (r *Roster) Put(_ time.Time, s turmericshed.BackendServer) {
	r.entries[s.ID] = &entry{BackendServer: s}
}

// Remove notes that a server's entry is gone or names no server any more.
func (r *Roster) Remove(now time.Time, id turmericshed.ServerID, g Grace) Removal {
	e := r.entries[id]
	if e == nil || !e.removed.IsZero() {
		return Removal{ID: id}
	}
	e.removed, e.keepLimit = now, g.Due
	if !e.Leaving {
		r.setKeepUntil(now, e, g)
	}
	return Removal{ID: id, KeptUntil: e.keepUntil}
}

// setKeepUntil decides until when a server that went without a word is kept.
func (r *Roster) setKeepUntil(now time.Time, e *entry, g Grace) {
	if now.Before(g.Excused) {
		if g.Excused.After(e.keepLimit) {
			e.keepLimit = g.Excused
		}
		e.keepUntil = earlier(now.Add(returnGrace), g.Excused)
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

// detectLapse keeps the servers of a service for a while when too many of them
// went away at once.
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
