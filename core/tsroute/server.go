package tsroute

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericshed"
)

const (
	// defaultSlots is used for servers that do not report their slots.
	defaultSlots = 16
	// historyStep and historyLen define the history of requests in flight at a
	// server. It must cover the maximum lag of a load report.
	historyStep = 100 * time.Millisecond
	historyLen  = 32
)

// server is the router's state for one backend server.
type server struct {
	turmericshed.BackendServer
	hash uint64
	// inflight counts the requests from this entry VM at the server.
	inflight int
	// failureExpiries holds, for each recently failed request, the time until
	// which it counts as load, so that a server that fails fast does not look
	// idle.
	failureExpiries []time.Time
	// leaving stays set for as long as the server is listed.
	leaving bool
	// unlisted is true for a server that is not in the list and kept for its requests in flight.
	unlisted bool
	// pausedUntil is the end of the pause that the server requested.
	pausedUntil time.Time
	breaker     breaker
	// reachability is shared by all servers of the failure domain.
	reachability *reachability
	history      history
	report       turmericshed.LoadReport
	// othersReported is the number of requests in the report that were not from
	// this entry VM.
	othersReported float64
	// loadAtPick is the load per slot when the server was last picked while
	// spillover was enabled.
	loadAtPick float64
	// reportReceivedAt is zero if there is no report.
	reportReceivedAt time.Time
	// pace is the server's speed, and reportsWorkTime is true if it reports its work time.
	pace            servePace
	reportsWorkTime bool
}

func newServer(b turmericshed.BackendServer) *server {
	s := &server{BackendServer: b, hash: xxhash.Sum64String(string(b.ID)), leaving: b.Leaving}
	if s.Slots <= 0 {
		s.Slots = defaultSlots
	}
	return s
}

// update applies a new description of the server. A changed address or start
// time means a new process, which resets the breaker, the report and the pause.
// Otherwise a server that was marked as leaving stays so even if the platform's
// list does not say it.
func (s *server) update(b turmericshed.BackendServer) {
	isNewProcess := s.Addr != b.Addr || !s.Started.Equal(b.Started)
	s.BackendServer = b
	if s.Slots <= 0 {
		s.Slots = defaultSlots
	}
	s.unlisted = false
	s.leaving = b.Leaving || (s.leaving && !isNewProcess)
	if isNewProcess {
		s.breaker, s.reportReceivedAt, s.pausedUntil = breaker{}, time.Time{}, time.Time{}
		s.breaker.startRamp()
		// Requests in flight at the earlier process still end what they counted.
		s.pace = servePace{unread: s.pace.unread, memory: s.pace.memory}
	}
}

// acceptsWork reports whether the server may get new work at all.
func (s *server) acceptsWork(now time.Time) bool {
	return !s.leaving && !s.unlisted && !now.Before(s.pausedUntil)
}

// serves reports whether s does the kind of work that r requests.
func (s *server) serves(r turmericshed.RouteRequest) bool {
	return s.Work == r.Work && s.Service == r.Service && (r.Model == "" || slices.Contains(s.Models, r.Model))
}

// isExcluded reports whether the request must not go to s, which serves its service.
func (s *server) isExcluded(r turmericshed.RouteRequest) bool {
	return slices.Contains(r.Excluded, s.ID) || len(r.Software) > 0 && !slices.Contains(r.Software, s.Software)
}

// ownLoad returns this entry VM's part of the load: requests in flight and
// recent failures.
func (s *server) ownLoad(now time.Time) int {
	s.failureExpiries = slices.DeleteFunc(s.failureExpiries, func(t time.Time) bool { return !now.Before(t) })
	return s.inflight + len(s.failureExpiries)
}

// addInflight changes the number of requests in flight by n and records it in
// the history.
func (s *server) addInflight(now time.Time, n int) {
	s.inflight += n
	turmericshed.Assert(s.inflight >= 0, "inflight_not_negative", "server %s: %d", s.ID, s.inflight)
	s.history.record(now, s.inflight)
}

// history is a ring buffer of the number of requests in flight. Times are in
// Unix nanoseconds.
type history struct {
	at    [historyLen]int64
	count [historyLen]int32
	next  int
}

// record stores n. Within one step only the latest count is retained.
func (h *history) record(now time.Time, n int) {
	last := (h.next + historyLen - 1) % historyLen
	if h.at[last] != 0 && now.UnixNano()-h.at[last] < int64(historyStep) {
		h.count[last] = int32(n)
		return
	}
	h.at[h.next], h.count[h.next] = now.UnixNano(), int32(n)
	h.next = (h.next + 1) % historyLen
}

// countAt returns the count at time t, or 0 if the history does not reach back
// that far.
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
