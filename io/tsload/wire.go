package tsload

import (
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"turmericshed"
	"turmericshed/io/tspeerapi"
)

const (
	// maxReadings bounds the readings of one message.
	maxReadings = 512
	// maxMessageBytes bounds a message, uncompressed. maxReadings need at most 15 KB.
	maxMessageBytes = 64 << 10
	// percent converts work times.
	percent = 100
)

// names maps the numbers by which messages name servers to their IDs.
type names struct {
	ids map[uint32]turmericshed.ServerID
	// of is the list of servers from which ids was built.
	of []turmericshed.BackendServer
}

// serverNumber returns the number by which messages name a server.
func serverNumber(id turmericshed.ServerID) uint32 {
	return uint32(xxhash.Sum64String(string(id)) & math.MaxUint32)
}

// update rebuilds the map if the list of servers changed. Servers with the same number are
// left out: their readings could be mistaken.
func (n *names) update(servers []turmericshed.BackendServer) {
	if len(servers) == len(n.of) && (len(servers) == 0 || &servers[0] == &n.of[0]) {
		return
	}
	n.of, n.ids = servers, make(map[uint32]turmericshed.ServerID, len(servers))
	for _, s := range servers {
		k := serverNumber(s.ID)
		if _, taken := n.ids[k]; taken {
			n.ids[k] = ""
			continue
		}
		n.ids[k] = s.ID
	}
}

// encode returns a message with the readings; the youngest if there are too many. s.mu is
// held.
func (s *Sharer) encode(now time.Time, readings []turmericshed.LoadReport) *tspeerapi.LoadExchange {
	s.names.update(s.cfg.Board.Servers.Read())
	slices.SortFunc(readings, func(a, b turmericshed.LoadReport) int { return b.At.Compare(a.At) })
	m := &tspeerapi.LoadExchange{}
	for _, r := range readings[:min(len(readings), maxReadings)] {
		k := serverNumber(r.Server)
		if s.names.ids[k] != r.Server {
			continue
		}
		m.Server = append(m.Server, k)
		m.AgeMs = append(m.AgeMs, clamp(math.Ceil(float64(now.Sub(r.At))/float64(time.Millisecond))))
		m.Running = append(m.Running, clamp(float64(r.Running)))
		m.Queued = append(m.Queued, clamp(float64(r.Queued)))
		m.WorkPercent = append(m.WorkPercent, clamp(math.Ceil(r.WorkTime*percent)))
	}
	return m
}

// clamp returns v within the range of the wire's numbers.
func clamp(v float64) uint32 { return uint32(min(max(v, 0), math.MaxUint32)) }

// decode returns the readings of a message about listed servers. Columns of different
// lengths make the message malformed; it has no readings then. s.mu is held.
func (s *Sharer) decode(now time.Time, m *tspeerapi.LoadExchange) []turmericshed.LoadReport {
	n := len(m.Server)
	for _, column := range [][]uint32{m.AgeMs, m.Running, m.Queued, m.WorkPercent} {
		if len(column) != n || n > maxReadings {
			s.counters.malformed.Inc()
			return nil
		}
	}
	s.names.update(s.cfg.Board.Servers.Read())
	var readings []turmericshed.LoadReport
	for i, k := range m.Server {
		id := s.names.ids[k]
		if id == "" {
			continue
		}
		readings = append(readings, turmericshed.LoadReport{
			Server: id, At: now.Add(-time.Duration(m.AgeMs[i]) * time.Millisecond), Running: int(m.Running[i]), Queued: int(m.Queued[i]),
			WorkTime: float64(m.WorkPercent[i]) / percent,
		})
	}
	return readings
}

// Handler returns the path and handler of the calls from other entry VMs.
func (s *Sharer) Handler() (string, http.Handler) {
	return tspeerapi.NewLoadServiceHandler(service{s}, connect.WithReadMaxBytes(maxMessageBytes))
}

// service answers the calls from other entry VMs.
type service struct{ s *Sharer }

// Exchange merges the readings of another entry VM and returns those that it lacks.
func (c service) Exchange(_ context.Context, r *connect.Request[tspeerapi.LoadExchange]) (*connect.Response[tspeerapi.LoadExchange], error) {
	s := c.s
	s.Enable("entry VM " + r.Msg.From + " shares it")
	var answer *tspeerapi.LoadExchange
	if r.Msg.Digest {
		answer = s.answerDigest(r.Msg)
	} else {
		s.merge(r.Msg, r.Msg.From)
		answer = s.answerReadings(r.Msg)
	}
	answer.From = s.cfg.Members.Self().Name
	return connect.NewResponse(answer), nil
}

// answerReadings returns the readings that an entry VM of this failure domain lacks.
func (s *Sharer) answerReadings(m *tspeerapi.LoadExchange) *tspeerapi.LoadExchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := m.Seen
	if m.Table != s.tableID {
		seen = 0
	}
	now := time.Now()
	readings, last := s.table.Since(now, seen, m.From)
	answer := s.encode(now, readings)
	answer.Table, answer.Seen = s.tableID, last
	s.counters.sent.WithLabelValues(scopeDomain).Add(float64(len(answer.Server)))
	return answer
}

// answerDigest merges a digest and returns one for the caller's failure domain.
func (s *Sharer) answerDigest(m *tspeerapi.LoadExchange) *tspeerapi.LoadExchange {
	domain, ok := s.domainOf(m.From)
	if !ok {
		return &tspeerapi.LoadExchange{}
	}
	s.mergeDigest(m, m.From, domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	answer := s.encode(now, s.thinner(domain).Thin(now, s.table.Local(now)))
	s.counters.sent.WithLabelValues(scopeDigest).Add(float64(len(answer.Server)))
	return answer
}

// domainOf returns the failure domain of a listed entry VM. ok is false for other names.
func (s *Sharer) domainOf(name string) (d turmericshed.FailureDomain, ok bool) {
	for _, vm := range s.cfg.Members.Reachable() {
		if vm.Name == name {
			return vm.FailureDomain, true
		}
	}
	return "", false
}
