// Package tspermits keeps this entry VM to the limits that backend servers name,
// together with the other entry VMs.
//
// Few entry VMs hand out a server's limit, each a part of it, and all choose
// the same few. A request to such a server needs a permit of one of them. Who
// has none chooses another server. Nobody has to agree on anything: an entry VM
// that is lost only takes its part of the limit with it.
//
// # Usage
//
//	p := tspermits.New(tspermits.Config{Board: board, Members: members, Peers: peers, Log: log})
//	server.Mount(p.Handler())
//	supervisor.Add(p)
//	p.Answered(server, asked, reply) // of each answer
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

// Config holds what Permits needs.
type Config struct {
	// Board tells the listed servers.
	Board   *tsboard.Board
	Members turmericshed.Members
	// Count returns how many entry VMs there may be, this one included. It is
	// above the number of Members while these are not known yet.
	Count func() int
	Peers tspeer.Peers
	// Link tells whether bytes wait at the own link; nil never does.
	Link turmericshed.Link
	// Metrics takes the metrics; may be nil.
	Metrics prometheus.Registerer
	Log     *slog.Logger
}

// Permits implements turmericshed.ServerLimits.
type Permits struct {
	cfg Config

	counters counters
	// limitChanged wakes the controller when a limit changed.
	limitChanged chan struct{}

	mu   sync.Mutex
	book tslimit.Book
	// draws are this entry VM's draws on limited servers, shares what it hands
	// out itself.
	draws  map[turmericshed.ServerID]*serverDraws
	shares map[turmericshed.ServerID]*tslimit.Share
	// lastMalformed is what each server named last that could not be read.
	lastMalformed map[turmericshed.ServerID]string
}

var _ turmericshed.ServerLimits = (*Permits)(nil)

// New returns permits that know of no limit.
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

// Serve follows the list of servers and tells other failure domains of limits
// until ctx ends.
func (p *Permits) Serve(ctx context.Context) error {
	servers, changed := p.cfg.Board.Servers.Watch()
	p.setServers(servers)
	again := time.NewTicker(notifyInterval)
	defer again.Stop()
	for {
		select {
		case <-again.C:
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
		if !p.book.Knows(id) {
			delete(p.shares, id)
		}
	}
	for id := range p.draws {
		if !p.book.Knows(id) {
			delete(p.draws, id)
		}
	}
}

// Answered takes what an answer says of the server's limit.
func (p *Permits) Answered(s turmericshed.BackendServer, asked time.Time, r turmericshed.BackendReply) {
	n := turmericshed.LimitNotice{Server: s.ID, Started: s.Started, PerSecond: r.Limit.PerSecond, Asked: asked, Heard: time.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case r.Misdirected:
		return
	case r.Limit.Malformed != "":
		p.logMalformed(s.ID, r.Limit)
	case !r.Limit.Named() && !r.Signed:
		// Not every refusal need name the limit.
		return
	}
	if n.PerSecond > 0 || (r.Limit.Malformed == "" && p.book.Knows(s.ID)) {
		p.recordNotice(n, "")
	}
}

// recordNotice takes a notice, from another entry VM where one is named. p.mu is held.
func (p *Permits) recordNotice(n turmericshed.LimitNotice, from string) {
	before, _ := p.book.Rate(n.Server)
	if !p.book.Note(n) {
		return
	}
	msg := "server names a limit"
	if n.PerSecond == 0 {
		msg = "server names no limit any more"
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
		"asked_ms_ago", now.Sub(n.Asked).Milliseconds(), "heard_ms_ago", now.Sub(n.Heard).Milliseconds())
}

// logMalformed logs a limit that could not be read, once. p.mu is held.
func (p *Permits) logMalformed(id turmericshed.ServerID, l turmericshed.RateLimit) {
	if p.lastMalformed[id] == l.Malformed {
		return
	}
	p.lastMalformed[id] = l.Malformed
	rate, _ := p.book.Rate(id)
	p.cfg.Log.Error("limit of a server not read", "server", string(id), "value", l.Malformed, "read", l.PerSecond, "in_force", rate)
}
