// Package tspermits enforces the rate limits that backend servers announce in their
// answers, jointly with the other entry VMs.
//
// A few entry VMs, the holders, hand out the permits of a server's limit, each an equal
// part of it. All entry VMs select the same holders by rendezvous hashing. A request to a
// limited server needs a permit from one of them; without a permit, another server is
// chosen. The holders need no agreement: if one fails, only its part of the limit is
// unavailable.
//
// # Usage
//
//	p := tspermits.New(tspermits.Config{Board: board, Members: members, Peers: peers, Log: log})
//	server.Mount(p.Handler())
//	supervisor.Add(p)
//	p.Answered(server, asked, reply) // for each answer
//	if p.Acquire(ctx, server) { ... } // before each request
package tspermits

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/core/tslimit"
	"turmericshed/io/tspeer"
)

// Config holds the dependencies of Permits.
type Config struct {
	// Board provides the list of servers.
	Board   *tsboard.Board
	Members turmericshed.Members
	// Count returns the expected number of entry VMs, including this one. It exceeds the
	// number of Members while these are not all known yet.
	Count func() int
	Peers tspeer.Peers
	// Link reports whether the local network link is congested; nil means that it never is.
	Link turmericshed.Link
	// Metrics registers the metrics; nil registers none.
	Metrics prometheus.Registerer
	Log     *slog.Logger
}

// Permits implements turmericshed.ServerLimits.
type Permits struct {
	cfg Config

	counters counters
	// limitChanged wakes the controller when a limit has changed.
	limitChanged chan struct{}

	mu   sync.Mutex
	book tslimit.Book
	// draws holds this entry VM's draws on the limits of servers.
	draws map[turmericshed.ServerID]*serverDraws
	// shares holds the parts of limits that this entry VM hands out as a holder.
	shares map[turmericshed.ServerID]*tslimit.Share
	// lastMalformed holds the last malformed limit of each server.
	lastMalformed map[turmericshed.ServerID]string
}

var _ turmericshed.ServerLimits = (*Permits)(nil)

// New returns Permits without any limit.
func New(cfg Config) *Permits {
	p := &Permits{
		cfg: cfg, limitChanged: make(chan struct{}, 1), lastMalformed: make(map[turmericshed.ServerID]string),
		draws: make(map[turmericshed.ServerID]*serverDraws), shares: make(map[turmericshed.ServerID]*tslimit.Share),
	}
	p.setServers(cfg.Board.Servers.Read())
	p.register()
	return p
}

// String names the controller in the supervisor's log.
func (p *Permits) String() string { return "server limits" }

// Serve follows the list of servers and sends the limits to other failure domains until
// ctx ends.
func (p *Permits) Serve(ctx context.Context) error {
	servers, changed := p.cfg.Board.Servers.Watch()
	p.setServers(servers)
	ticker := time.NewTicker(notifyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.notifyDomains(ctx)
		case <-changed:
			servers, changed = p.cfg.Board.Servers.Watch()
			p.setServers(servers)
		case <-p.limitChanged:
			p.notifyDomains(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// setServers applies the list of servers and drops the state of servers that are no longer
// tracked.
func (p *Permits) setServers(servers []turmericshed.BackendServer) {
	listed := make(map[turmericshed.ServerID]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.SetServers(time.Now(), servers)
	for id := range p.lastMalformed {
		if !listed[id] {
			delete(p.lastMalformed, id)
		}
	}
	for id := range p.shares {
		if !p.book.HasNotice(id) {
			delete(p.shares, id)
		}
	}
	for id := range p.draws {
		if !p.book.HasNotice(id) {
			delete(p.draws, id)
		}
	}
}

// Answered records the limit that a server's answer announces, or the absence of one. asked
// is when the request was sent.
func (p *Permits) Answered(s turmericshed.BackendServer, asked time.Time, r turmericshed.BackendReply) {
	n := turmericshed.LimitNotice{Server: s.ID, Started: s.Started, PerSecond: r.Limit.PerSecond, RequestSentAt: asked, AnswerReceivedAt: time.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case r.Misdirected:
		return
	case r.Limit.Malformed != "":
		p.logMalformed(s.ID, r.Limit)
	case !r.Limit.IsPresent() && !r.Signed:
		// A refusal without a limit does not end the limit: not every refusal announces it.
		return
	}
	if n.PerSecond > 0 || (r.Limit.Malformed == "" && p.book.HasNotice(s.ID)) {
		p.recordNotice(n, "")
	}
}

// recordNotice applies a notice, and logs it and wakes the controller if it changes the
// limit. from is the entry VM that sent the notice, empty for an answer to this entry VM.
// p.mu is held.
func (p *Permits) recordNotice(n turmericshed.LimitNotice, from string) {
	before, _ := p.book.Rate(n.Server)
	if !p.book.ApplyNotice(n) {
		return
	}
	msg := "server reported a rate limit"
	if n.PerSecond == 0 {
		msg = "server removed its rate limit"
	}
	now := time.Now()
	if d := p.draws[n.Server]; d != nil && (n.PerSecond == 0 || n.PerSecond > before) {
		d.Reopen()
	}
	select {
	case p.limitChanged <- struct{}{}:
	default:
	}
	p.cfg.Log.Info(msg, "server", string(n.Server), "per_second", n.PerSecond, "before", before, "entry_vm", from,
		"asked_ms_ago", now.Sub(n.RequestSentAt).Milliseconds(), "heard_ms_ago", now.Sub(n.AnswerReceivedAt).Milliseconds())
}

// logMalformed logs a malformed limit if it differs from the last one of the server.
// p.mu is held.
func (p *Permits) logMalformed(id turmericshed.ServerID, l turmericshed.RateLimit) {
	if p.lastMalformed[id] == l.Malformed {
		return
	}
	p.lastMalformed[id] = l.Malformed
	rate, _ := p.book.Rate(id)
	p.cfg.Log.Error("server sent a malformed rate limit", "server", string(id), "value", l.Malformed, "read", l.PerSecond, "in_force", rate)
}
