package tsmember

import (
	"encoding/json"
	"math/bits"
	"slices"
	"time"

	"turmericshed"
)

const (
	// maxServerUpdates bounds the changes still to be sent.
	maxServerUpdates = 256
	// Estimated bytes of one entry of the platform's list.
	listedEntryBytes  = 180
	listedServerBytes = 220
	// listBytesPerSecond is the byte rate allowed for reading the platform's list.
	listBytesPerSecond = 1000
	// Fleets of up to smallFleetMembers read every minReadingInterval, so that each member learns
	// within 2 s that a server is leaving. Larger fleets read at least once in
	// readingIntervalPerMember times their number of members.
	smallFleetMembers        = 24
	minReadingInterval       = time.Second
	readingIntervalPerMember = 800 * time.Millisecond
)

// ListBytes estimates the size of a reading of the platform's list.
func ListBytes(snap turmericshed.DirectorySnapshot) int {
	return len(snap.EntryVMs)*listedEntryBytes + len(snap.Servers)*listedServerBytes
}

// ReadingInterval returns how long to wait after a reading of the platform's list, within
// listBytesPerSecond. All members together read it often, and each sends its changes to the
// others.
func ReadingInterval(snap turmericshed.DirectorySnapshot, members int) time.Duration {
	byBytes := time.Duration(ListBytes(snap)) * time.Second / listBytesPerSecond
	if members <= smallFleetMembers {
		return minReadingInterval
	}
	return max(minReadingInterval, min(byBytes, time.Duration(members)*readingIntervalPerMember))
}

// ServerUpdates sends other entry VMs the backend servers that were added or started leaving.
// It implements Piggyback and Urgent. Only the platform's list causes servers to be dropped.
type ServerUpdates struct {
	// Size returns the number of members.
	Size      func() int
	queue     []serverChange
	received  []turmericshed.BackendServer
	hasUrgent bool
}

type serverChange struct {
	id   turmericshed.ServerID
	data []byte
	sent int
}

// Topic returns the name of the topic.
func (*ServerUpdates) Topic() string { return "servers" }

// TakeUrgent reports whether a change was queued since the last call.
func (s *ServerUpdates) TakeUrgent() bool {
	urgent := s.hasUrgent
	s.hasUrgent = false
	return urgent
}

// QueueChanges queues the servers of next that are new or started leaving. The first list of a
// process is not a change.
func (s *ServerUpdates) QueueChanges(prev, next []turmericshed.BackendServer) {
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

// Next returns the least sent changes that fit.
func (s *ServerUpdates) Next(budgetBytes int) [][]byte {
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

// Merge applies a change from a peer and drops a malformed one.
func (s *ServerUpdates) Merge(payload []byte) {
	var b turmericshed.BackendServer
	if err := json.Unmarshal(payload, &b); err != nil || b.ID == "" || !b.Addr.IsValid() || len(s.received) >= maxServerUpdates {
		return
	}
	s.received = append(s.received, b)
}

// TakeReceived returns the changes received from peers since the last call.
func (s *ServerUpdates) TakeReceived() []turmericshed.BackendServer {
	received := s.received
	s.received = nil
	return received
}

// MergePeerChanges merges changes received from peers into the local servers. A peer cannot add back a
// server that this process's own readings dropped.
func (l *ServerList) MergePeerChanges(cur, received []turmericshed.BackendServer) (next []turmericshed.BackendServer, events []turmericshed.Event) {
	next = slices.Clone(cur)
	for _, r := range received {
		i := slices.IndexFunc(next, func(s turmericshed.BackendServer) bool { return s.ID == r.ID })
		switch {
		case i < 0 && !l.dropped[r.ID] && !r.Leaving:
			next = append(next, r)
			events = append(events, turmericshed.Event{Name: turmericshed.EventServerAdded, Server: r.ID, FailureDomain: r.FailureDomain, Reason: "told by peers"})
		case i >= 0 && r.Leaving && !next[i].Leaving && next[i].Addr == r.Addr:
			next[i].Leaving = true
			events = append(events, turmericshed.Event{Name: turmericshed.EventServerLeaving, Server: r.ID, Reason: "told by peers"})
		}
	}
	return next, events
}
