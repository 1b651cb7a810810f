package tsmember

import (
	"encoding/json"
	"math/bits"
	"slices"
	"time"

	"turmericshed"
)

const (
	// maxServerUpdates bounds the changes still to be told.
	maxServerUpdates = 256
	// Estimated bytes of one entry of the platform's list.
	listedEntryBytes  = 180
	listedServerBytes = 220
	// listBytesPerSecond is what reading the platform's list may take.
	listBytesPerSecond = 1000
	// smallFleetMembers members read every smallReading, so that each sees within
	// 2 s that a server leaves; larger fleets read within memberReading
	// times their members.
	smallFleetMembers    = 24
	minReadingInterval  = time.Second
	readingIntervalPerMember = 800 * time.Millisecond
)

// ListBytes estimates the size of a reading of the platform's list.
func ListBytes(snap turmericshed.DirectorySnapshot) int {
	return len(snap.Entries)*listedEntryBytes + len(snap.Servers)*listedServerBytes
}

// ReadingInterval returns how long to wait after a reading of the platform's
// list, within a share of bytes. The members of a fleet together read it often;
// each tells the others what changed.
func ReadingInterval(snap turmericshed.DirectorySnapshot, members int) time.Duration {
	byBytes := time.Duration(ListBytes(snap)) * time.Second / listBytesPerSecond
	if members <= smallFleetMembers {
		return minReadingInterval
	}
	return max(minReadingInterval, min(byBytes, time.Duration(members)*readingIntervalPerMember))
}

// ServerNews tells other entry VMs which backend servers were added or began
// to leave. It is a Piggyback and Urgent. The platform's list stays the only
// source for dropping servers.
type ServerNews struct {
	// Size returns the number of members.
	Size   func() int
	queue  []serverChange
	received  []turmericshed.BackendServer
	hasUrgent bool
}

type serverChange struct {
	id   turmericshed.ServerID
	data []byte
	sent int
}

// Topic returns the name of the topic.
func (*ServerNews) Topic() string { return "servers" }

// TakeUrgent reports whether a change was noted since the last call.
func (s *ServerNews) TakeUrgent() bool {
	urgent := s.hasUrgent
	s.hasUrgent = false
	return urgent
}

// Note queues the servers of next that are new or began to leave. The first
// list of a process is no news.
func (s *ServerNews) Note(prev, next []turmericshed.BackendServer) {
	if len(prev) == 0 {
		return
	}
	known := make(map[turmericshed.ServerID]bool, len(prev))
	for _, p := range prev {
		known[p.ID] = p.Leaving
	}
	for _, n := range next {
		leaving, ok := known[n.ID]
		if ok && leaving == n.Leaving {
			continue
		}
		data, err := json.Marshal(n)
		if err != nil || len(data) > MaxPiggybackBytes/2 {
			continue
		}
		s.queue = slices.DeleteFunc(s.queue, func(c serverChange) bool { return c.id == n.ID })
		s.queue = append(s.queue, serverChange{id: n.ID, data: data})
		s.hasUrgent = true
	}
	if len(s.queue) > maxServerUpdates {
		s.queue = slices.Delete(s.queue, 0, len(s.queue)-maxServerUpdates)
	}
}

// Next returns the least told changes that fit.
func (s *ServerNews) Next(budgetBytes int) [][]byte {
	slices.SortStableFunc(s.queue, func(a, b serverChange) int { return a.sent - b.sent })
	limit := retransmitFactor * bits.Len(uint(s.Size()))
	var out [][]byte
	for i := range s.queue {
		c := &s.queue[i]
		if budgetBytes -= len(c.data) + payloadBytes; budgetBytes < 0 {
			break
		}
		out = append(out, c.data)
		c.sent++
	}
	s.queue = slices.DeleteFunc(s.queue, func(c serverChange) bool { return c.sent >= limit })
	return out
}

// Merge takes a change from a peer; a malformed one is dropped.
func (s *ServerNews) Merge(payload []byte) {
	var b turmericshed.BackendServer
	if err := json.Unmarshal(payload, &b); err != nil || b.ID == "" || !b.Addr.IsValid() || len(s.received) >= maxServerUpdates {
		return
	}
	s.received = append(s.received, b)
}

// TakeHeard returns the changes that peers told since the last call.
func (s *ServerNews) TakeHeard() []turmericshed.BackendServer {
	heard := s.received
	s.received = nil
	return heard
}

// Hear joins what peers told with the servers known here. A server dropped by
// this process's own readings does not come back through peers.
func (l *ServerList) Hear(cur, heard []turmericshed.BackendServer) (next []turmericshed.BackendServer, events []turmericshed.Event) {
	next = slices.Clone(cur)
	for _, h := range heard {
		i := slices.IndexFunc(next, func(s turmericshed.BackendServer) bool { return s.ID == h.ID })
		switch {
		case i < 0 && !l.dropped[h.ID] && !h.Leaving:
			next = append(next, h)
			events = append(events, turmericshed.Event{Name: turmericshed.EventServerAdded, Server: h.ID, FailureDomain: h.FailureDomain, Reason: "told by peers"})
		case i >= 0 && h.Leaving && !next[i].Leaving && next[i].Addr == h.Addr:
			next[i].Leaving = true
			events = append(events, turmericshed.Event{Name: turmericshed.EventServerLeaving, Server: h.ID, Reason: "told by peers"})
		}
	}
	return next, events
}
