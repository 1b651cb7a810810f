package tsroute

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericshed"
)

const (
	// defaultSlots stands in where a server does not tell its slots.
	defaultSlots = 16
	// historyStep and historyLen keep what we had in flight at a server over
	// the time that a load report may lag.
	historyStep = 100 * time.Millisecond
	historyLen  = 32
)

// server is what the router knows about one backend server.
type server struct {
	turmericshed.BackendServer
	hash uint64
	// inflight counts requests of ours at the server.
	inflight int
	// failureExpiries counts failed requests whose load still counts, each until its
	// time, so that a server that fails fast does not look idle.
	failureExpiries []time.Time
	// leaving stays set as long as the server is listed.
	leaving bool
	// pausedUntil is until when the server asked for no new work.
	pausedUntil time.Time
	breaker     breaker
	// reachability is shared by the servers of the failure domain.
	reachability *reachability
	history      history
	report       turmericshed.LoadReport
	// othersReported is the part of the report that was not ours when it was taken.
	othersReported float64
	// reportReceivedAt is when the report came in; zero for none.
	reportReceivedAt time.Time
}

func newServer(b turmericshed.BackendServer) *server {
	s := &server{BackendServer: b, hash: xxhash.Sum64String(string(b.ID)), leaving: b.Leaving}
	if s.Slots <= 0 {
		s.Slots = defaultSlots
	}
	return s
}

// update takes over a new description of the same server. One that listens
// elsewhere, or that started again, is a new process; a leaving mark outlives the platform's list.
func (s *server) update(b turmericshed.BackendServer) {
	moved := s.Addr != b.Addr || !s.Started.Equal(b.Started)
	s.BackendServer = b
	if s.Slots <= 0 {
		s.Slots = defaultSlots
	}
	s.leaving = b.Leaving || (s.leaving && !moved)
	if moved {
		s.breaker, s.reportReceivedAt, s.pausedUntil = breaker{}, time.Time{}, time.Time{}
		s.breaker.startRamp()
	}
}

// acceptsWork reports whether the server may get new work at all.
func (s *server) acceptsWork(now time.Time) bool { return !s.leaving && !now.Before(s.pausedUntil) }

// serves reports whether s runs the kind of work that r asks for.
func (s *server) serves(r turmericshed.RouteRequest) bool {
	return s.Work == r.Work && s.Service == r.Service && (r.Model == "" || slices.Contains(s.Models, r.Model))
}

// ownLoad returns our part of the load: in flight, and failed of late.
func (s *server) ownLoad(now time.Time) int {
	s.failureExpiries = slices.DeleteFunc(s.failureExpiries, func(t time.Time) bool { return !now.Before(t) })
	return s.inflight + len(s.failureExpiries)
}

// addInflight changes the count in flight and keeps it in the history.
func (s *server) addInflight(now time.Time, n int) {
	s.inflight += n
	turmericshed.Assert(s.inflight >= 0, "inflight_not_negative", "server %s: %d", s.ID, s.inflight)
	s.history.record(now, s.inflight)
}

// history is the count in flight over the last steps, newest last. Times are
// in Unix nanoseconds.
type history struct {
	at    [historyLen]int64
	count [historyLen]int32
	next  int
}

// record keeps the newest count of each step.
func (h *history) record(now time.Time, n int) {
	last := (h.next + historyLen - 1) % historyLen
	if h.at[last] != 0 && now.UnixNano()-h.at[last] < int64(historyStep) {
		h.count[last] = int32(n)
		return
	}
	h.at[h.next], h.count[h.next] = now.UnixNano(), int32(n)
	h.next = (h.next + 1) % historyLen
}

// countAt returns the count at time t; 0 when that is not kept.
func (h *history) countAt(t time.Time) int {
	for i := 1; i <= historyLen; i++ {
		j := (h.next + historyLen - i) % historyLen
		if h.at[j] == 0 {
			return 0
		}
		if h.at[j] <= t.UnixNano() {
			return int(h.count[j])
		}
	}
	return 0
}
