// Package tsload exchanges the load readings that entry VMs take from the answers of backend
// servers, within a failure domain and, thinned, between failure domains. The result is
// written to the board, from which the router applies it.
//
// One entry VM of each failure domain gathers; every entry VM chooses it by the same rule,
// see core/tsload. An entry VM calls it at most every 250 to 500 ms, and only if it received
// an answer of a server since. Readings are hints: no call is repeated, and an entry VM
// without an answer uses what it hears itself.
//
// # Usage
//
//	s := tsload.New(tsload.Config{Board: board, Members: members, Peers: peers, Log: log})
//	server.Mount(s.Handler())
//	supervisor.Add(s)
//	s.Enable("settings")  // or by the first reading with a work time
//	s.Record(now, report) // for each answer
package tsload

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/core/tsload"
	"turmericshed/io/tspeer"
	"turmericshed/io/tspeerapi"
)

const (
	// callTimeout bounds a call to another entry VM. Readings that take longer are of
	// little use.
	callTimeout = 300 * time.Millisecond
	// congestedCallTimeout replaces callTimeout while the local network link is congested.
	congestedCallTimeout = time.Second
	// digestPause is how long a gatherer without new readings of its failure domain doesn't
	// call other failure domains.
	digestPause = time.Second
)

// Config holds the dependencies of a Sharer.
type Config struct {
	// Board provides the list of servers and receives the readings of other entry VMs.
	Board   *tsboard.Board
	Members turmericshed.Members
	Peers   tspeer.Peers
	// Link reports whether the local network link is congested; nil means that it never is.
	Link turmericshed.Link
	// Metrics registers the metrics; nil registers none.
	Metrics prometheus.Registerer
	Log     *slog.Logger
}

// Sharer exchanges readings with other entry VMs once it is enabled. It is safe for
// concurrent use.
type Sharer struct {
	cfg      Config
	counters counters
	// isEnabled is set when enabled is closed. It spares the lock while sharing is off.
	isEnabled atomic.Bool
	enabled   chan struct{}

	mu    sync.Mutex
	table *tsload.Table
	names names
	// tableID identifies the table to other entry VMs.
	tableID uint64
	// thinners hold what was sent to other failure domains.
	thinners map[turmericshed.FailureDomain]*tsload.Thinner
	// lastTaken is when this entry VM last took a reading, and lastReceived when it last
	// received one from its failure domain.
	lastTaken, lastReceived time.Time

	// The following fields belong to Serve.

	plan tsload.Plan
	// progress holds how far the tables of other entry VMs were read, and the own one was
	// sent, by incarnation.
	progress map[turmericshed.Incarnation]progress
	gatherer string
	// lastExchange is when the last round began, published the last change of the table
	// that was written to the board.
	lastExchange time.Time
	published    uint64
}

// progress is how far two tables were exchanged.
type progress struct {
	// sent is the last change of the own table that was sent, seen the last one that was
	// received of the table with the id table.
	sent, seen, table uint64
}

// New returns a Sharer that is off.
func New(cfg Config) *Sharer {
	s := &Sharer{
		cfg: cfg, enabled: make(chan struct{}), table: tsload.NewTable(), tableID: rand.Uint64() | 1,
		thinners: make(map[turmericshed.FailureDomain]*tsload.Thinner), progress: make(map[turmericshed.Incarnation]progress),
	}
	s.register()
	return s
}

// String names the controller in the supervisor's log.
func (s *Sharer) String() string { return "load sharing" }

// Enable switches sharing on. The reason is logged.
func (s *Sharer) Enable(reason string) {
	if s.isEnabled.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isEnabled.Load() {
		return
	}
	s.isEnabled.Store(true)
	close(s.enabled)
	s.cfg.Log.Info("sharing the load of servers with other entry VMs", "reason", reason)
}

// Record adds a reading that this entry VM took from an answer. The first one with a work
// time switches sharing on.
func (s *Sharer) Record(now time.Time, r turmericshed.LoadReport) {
	if !s.isEnabled.Load() {
		if r.WorkTime == 0 {
			return
		}
		s.Enable("server " + string(r.Server) + " reports its work time")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Take(now, r)
	s.lastTaken = now
	s.counters.taken.Inc()
}

// Serve exchanges readings until ctx ends.
func (s *Sharer) Serve(ctx context.Context) error {
	select {
	case <-s.enabled:
	case <-ctx.Done():
		return ctx.Err()
	}
	lastDigest := time.Now()
	for {
		self, others := s.cfg.Members.Self(), s.cfg.Members.Reachable()
		interval := tsload.Interval(countInDomain(others, self.FailureDomain) + 1)
		// Jitter keeps the calls of entry VMs that started together apart.
		t := time.NewTimer(interval - interval/8 + rand.N(interval/4))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
		now := time.Now()
		isGatherer := s.exchange(ctx, now, self, others)
		if isGatherer && now.Sub(lastDigest) >= tsload.DigestInterval && s.hasNews(now) {
			lastDigest = now
			s.sendDigests(ctx, now, self, others)
		}
		s.publish()
	}
}

func countInDomain(vms []turmericshed.EntryVM, d turmericshed.FailureDomain) int {
	n := 0
	for _, vm := range vms {
		if vm.FailureDomain == d {
			n++
		}
	}
	return n
}

// exchange calls the gatherer of the failure domain if this entry VM received an answer of
// a server since the last round. It reports whether this entry VM is the gatherer itself.
func (s *Sharer) exchange(ctx context.Context, now time.Time, self turmericshed.EntryVM, others []turmericshed.EntryVM) (isGatherer bool) {
	g, ok := s.plan.Gatherer(now, self, others)
	if !ok {
		return false
	}
	if g.Name != s.gatherer {
		s.cfg.Log.Info("load gatherer changed", "entry_vm", g.Name, "before", s.gatherer)
		s.gatherer = g.Name
	}
	if g.Name == self.Name {
		return true
	}
	s.mu.Lock()
	isIdle := !s.lastTaken.After(s.lastExchange)
	s.mu.Unlock()
	if isIdle {
		return false
	}
	s.lastExchange = now
	s.callGatherer(ctx, self, g)
	return false
}

// callGatherer sends the new readings to the gatherer and merges those that it returns.
func (s *Sharer) callGatherer(ctx context.Context, self, g turmericshed.EntryVM) {
	p := s.progress[g.Incarnation]
	s.mu.Lock()
	now := time.Now()
	readings, last := s.table.Since(now, p.sent, g.Name)
	m := s.encode(now, readings)
	s.mu.Unlock()
	m.From, m.Table, m.Seen = self.Name, p.table, p.seen
	answer, err := s.call(ctx, g, m, scopeDomain)
	if err != nil {
		return
	}
	if len(s.progress) > maxProgress {
		clear(s.progress)
	}
	s.progress[g.Incarnation] = progress{sent: last, seen: answer.Seen, table: answer.Table}
	s.merge(answer, g.Name)
}

// maxProgress bounds the entry VMs whose progress is remembered.
const maxProgress = 16

// sendDigests exchanges digests with the gatherers of other failure domains.
func (s *Sharer) sendDigests(ctx context.Context, now time.Time, self turmericshed.EntryVM, others []turmericshed.EntryVM) {
	var calls sync.WaitGroup
	for _, vm := range s.plan.Distant(now, self, others) {
		s.mu.Lock()
		m := s.encode(now, s.thinner(vm.FailureDomain).Thin(now, s.table.Local(now)))
		s.mu.Unlock()
		m.From, m.Digest = self.Name, true
		calls.Go(func() {
			if answer, err := s.call(ctx, vm, m, scopeDigest); err == nil {
				s.mergeDigest(answer, vm.Name, vm.FailureDomain)
			}
		})
	}
	calls.Wait()
}

// hasNews reports whether readings were taken in the failure domain recently.
func (s *Sharer) hasNews(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastTaken) < digestPause || now.Sub(s.lastReceived) < digestPause
}

// thinner returns what was sent to a failure domain. s.mu is held.
func (s *Sharer) thinner(d turmericshed.FailureDomain) *tsload.Thinner {
	if s.thinners[d] == nil {
		s.thinners[d] = &tsload.Thinner{}
	}
	return s.thinners[d]
}

// call sends a message to another entry VM and records whether it answered. Errors: those
// of connect.
func (s *Sharer) call(ctx context.Context, vm turmericshed.EntryVM, m *tspeerapi.LoadExchange, scope string) (*tspeerapi.LoadExchange, error) {
	callCtx, cancel := context.WithTimeout(ctx, turmericshed.LinkTimeout(s.cfg.Link, callTimeout, congestedCallTimeout))
	defer cancel()
	hc, base := s.cfg.Peers.Client(vm.PeerAddr)
	client := tspeerapi.NewLoadServiceClient(hc, base, connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxMessageBytes))
	resp, err := client.Exchange(callCtx, connect.NewRequest(m))
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.plan.Answered(vm)
		s.counters.calls.WithLabelValues(scope, resultAnswered).Inc()
		s.counters.sent.WithLabelValues(scope).Add(float64(len(m.Server)))
		return resp.Msg, nil
	case connect.CodeOf(err) == connect.CodeUnimplemented:
		s.plan.OldVersion(vm)
		s.counters.calls.WithLabelValues(scope, resultOldVersion).Inc()
		s.cfg.Log.Info("entry VM does not know the call for load sharing; not calling it again", "entry_vm", vm.Name, "incarnation", string(vm.Incarnation))
	case ctx.Err() == nil:
		s.plan.Failed(time.Now(), vm)
		s.counters.calls.WithLabelValues(scope, resultFailed).Inc()
		s.cfg.Log.Info("entry VM did not answer a load exchange", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "scope", scope, "error", err.Error())
	}
	return nil, err
}

// merge adds the readings of an entry VM of this failure domain.
func (s *Sharer) merge(m *tspeerapi.LoadExchange, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	n := s.table.Merge(now, from, s.decode(now, m))
	if n > 0 {
		s.lastReceived = now
	}
	s.counters.received.WithLabelValues(scopeDomain).Add(float64(n))
}

// mergeDigest adds the readings of another failure domain.
func (s *Sharer) mergeDigest(m *tspeerapi.LoadExchange, from string, d turmericshed.FailureDomain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	readings := s.decode(now, m)
	s.thinner(d).Received(now, readings)
	s.counters.received.WithLabelValues(scopeDigest).Add(float64(s.table.MergeDigest(now, from, readings)))
}

// publish writes the new readings of other entry VMs to the board.
func (s *Sharer) publish() {
	s.mu.Lock()
	readings, last := s.table.RelayedSince(s.published)
	s.published = last
	s.mu.Unlock()
	if len(readings) == 0 {
		return
	}
	type loads = map[turmericshed.ServerID]turmericshed.LoadReport
	oldest := time.Now().Add(-tsload.Life)
	s.cfg.Board.Loads.Update(func(old loads) loads {
		next := make(loads, len(old)+len(readings))
		maps.Copy(next, old)
		// The router has applied what is older.
		maps.DeleteFunc(next, func(_ turmericshed.ServerID, r turmericshed.LoadReport) bool { return r.At.Before(oldest) })
		for _, r := range readings {
			if r.At.After(next[r.Server].At) {
				next[r.Server] = r
			}
		}
		return next
	})
}
