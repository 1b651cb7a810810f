package tsmember

import (
	"slices"
	"strings"
	"time"

	"turmericshed"
)

const (
	// minMissingReadings is how many consecutive readings must lack a backend server before it
	// is dropped.
	minMissingReadings = 3
)

// ServerList merges readings of the platform's list of backend servers. A server is marked
// as leaving at the first report of it, which is never reverted for the same registration,
// and it is dropped only after minMissingReadings consecutive newer readings lack it. It is
// kept while the list is stale or empty.
type ServerList struct {
	asOf           time.Time
	missedReadings map[turmericshed.ServerID]int
	// dropped are the servers that are no longer listed.
	dropped map[turmericshed.ServerID]bool
}

// IsNewer reports whether a reading is newer than the previous ones and not empty.
func (l *ServerList) IsNewer(snap turmericshed.DirectorySnapshot) bool {
	return snap.AsOf.After(l.asOf) && len(snap.EntryVMs)+len(snap.Servers) > 0
}

// ApplyReading returns the servers after a reading, ordered by ID, and the changes as events. It
// does not modify cur, and readers of cur must not either.
func (l *ServerList) ApplyReading(cur []turmericshed.BackendServer, snap turmericshed.DirectorySnapshot) (next []turmericshed.BackendServer, events []turmericshed.Event) {
	if !l.IsNewer(snap) {
		return cur, nil
	}
	l.asOf = snap.AsOf
	if l.missedReadings == nil {
		l.missedReadings = make(map[turmericshed.ServerID]int)
		l.dropped = make(map[turmericshed.ServerID]bool)
	}
	byID := make(map[turmericshed.ServerID]turmericshed.BackendServer, len(cur))
	for _, s := range cur {
		byID[s.ID] = s
	}
	for _, s := range snap.Servers {
		delete(l.missedReadings, s.ID)
		delete(l.dropped, s.ID)
		old, known := byID[s.ID]
		if !known {
			events = append(events, turmericshed.Event{Name: turmericshed.EventServerAdded, Server: s.ID, FailureDomain: s.FailureDomain})
		}
		if s.Leaving && !old.Leaving {
			events = append(events, turmericshed.Event{Name: turmericshed.EventServerLeaving, Server: s.ID, Reason: "listed as leaving"})
		}
		// A server that was registered again has another address.
		s.Leaving = s.Leaving || old.Leaving && old.Addr == s.Addr
		byID[s.ID] = s
	}
	listed := make(map[turmericshed.ServerID]bool, len(snap.Servers))
	for _, s := range snap.Servers {
		listed[s.ID] = true
	}
	for id := range byID {
		if listed[id] {
			continue
		}
		if l.missedReadings[id]++; l.missedReadings[id] >= minMissingReadings && len(snap.Servers) > 0 {
			delete(byID, id)
			delete(l.missedReadings, id)
			l.dropped[id] = true
			events = append(events, turmericshed.Event{Name: turmericshed.EventServerLeaving, Server: id, Reason: "no longer listed"})
		}
	}
	next = make([]turmericshed.BackendServer, 0, len(byID))
	for _, s := range byID {
		next = append(next, s)
	}
	slices.SortFunc(next, func(a, b turmericshed.BackendServer) int { return strings.Compare(string(a.ID), string(b.ID)) })
	slices.SortStableFunc(events, func(a, b turmericshed.Event) int { return strings.Compare(string(a.Server), string(b.Server)) })
	return next, events
}
