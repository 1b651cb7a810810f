package tsrelay

import (
	"sync"
	"sync/atomic"
	"time"

	"turmericshed"
)

// maxMalformedLoads bounds the servers whose malformed load is remembered. Beyond it all
// are forgotten and may be logged again.
const maxMalformedLoads = 1024

// maxHeadAge is the assumed age of a reading with a work time when it arrives: that of the
// head of the answer, on a link with some load.
const maxHeadAge = 10 * time.Millisecond

// malformedLoads remembers the last malformed load of each server, so that it is logged
// once until it changes.
type malformedLoads struct {
	// count is len(last). It spares the lock for answers with a well-formed load.
	count atomic.Int64
	mu    sync.Mutex
	last  map[turmericshed.ServerID]string
}

// changed records what a server sent, empty if well-formed, and reports whether a
// malformed load is to be logged.
func (m *malformedLoads) changed(id turmericshed.ServerID, malformed string) bool {
	if malformed == "" && m.count.Load() == 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.last[id] == malformed {
		return false
	}
	if m.last == nil || len(m.last) >= maxMalformedLoads {
		m.last = make(map[turmericshed.ServerID]string)
	}
	if malformed == "" {
		delete(m.last, id)
	} else {
		m.last[id] = malformed
	}
	m.count.Store(int64(len(m.last)))
	return malformed != ""
}

// reportFirstByte reports once for each attempt that the server has begun to answer.
func (q *request) reportFirstByte(id turmericshed.ServerID) {
	if f := q.relay.cfg.OnFirstByte; f != nil && q.attemptRoute.Estimate.IsReading {
		f(time.Now(), id, q.attemptRoute)
	}
}

// prefixTokens returns the tokens of the prompt's parts that prefixHash covers.
func (q *request) prefixTokens() (n turmericshed.Tokens) {
	parts := q.inbound.Parts
	if len(parts) == 1 {
		return q.inbound.PromptTokens
	}
	for _, p := range parts[:max(len(parts)-1, 0)] {
		n += max(p.Tokens, 0)
	}
	return min(max(n, 0), q.inbound.PromptTokens)
}

// reportLoad passes the load that a server sent with an answer to the router. at is the
// estimated time of the reading.
func (s *Relay) reportLoad(id turmericshed.ServerID, at time.Time, info turmericshed.BackendReply) {
	if (info.HasLoad || info.MalformedLoad != "") && s.malformedLoads.changed(id, info.MalformedLoad) {
		s.cfg.Log.Warn("server sent a malformed load; ignoring the malformed part", "server", string(id), "value", info.MalformedLoad)
	}
	if !info.HasLoad {
		return
	}
	l := info.Load
	if now := time.Now(); l.WorkTime > 0 && now.Sub(at) > maxHeadAge {
		// These servers take the reading when they write the head of the answer.
		at = now.Add(-maxHeadAge)
	}
	s.cfg.Router.Report(time.Now(), turmericshed.LoadReport{Server: id, At: at, Running: l.Running, Queued: l.Queued, WorkTime: l.WorkTime})
}
