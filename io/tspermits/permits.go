// Package tspermits keeps this entry VM to the limits that backend servers name,
// together with the other entry VMs.
//
// # Usage
//
//	p := tspermits.New(tspermits.Config{Board: board, Metrics: registry, Log: log})
//	supervisor.Add(p)
//	p.Answered(server, asked, reply) // of each answer
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
)

// Config holds what Permits needs.
type Config struct {
	// Board tells the listed servers.
	Board *tsboard.Board
	// Metrics takes the metrics; may be nil.
	Metrics prometheus.Registerer
	Log     *slog.Logger
}

// Permits implements turmericshed.ServerLimits.
type Permits struct {
	cfg Config

	mu   sync.Mutex
	book tslimit.Book
	// malformed is what each server named last that could not be read.
	malformed map[turmericshed.ServerID]string
}

var _ turmericshed.ServerLimits = (*Permits)(nil)

// New returns permits that know of no limit.
func New(cfg Config) *Permits {
	p := &Permits{cfg: cfg, malformed: make(map[turmericshed.ServerID]string)}
	p.setServers(cfg.Board.Servers.Read())
	p.register()
	return p
}

// String names the controller in the supervisor's log.
func (p *Permits) String() string { return "server limits" }

// Serve follows the list of servers until ctx ends.
func (p *Permits) Serve(ctx context.Context) error {
	for {
		servers, changed := p.cfg.Board.Servers.Watch()
		p.setServers(servers)
		select {
		case <-changed:
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
	p.book.SetServers(servers)
	for id := range p.malformed {
		if !listed[id] {
			delete(p.malformed, id)
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
		p.complain(s.ID, r.Limit)
	case !r.Limit.Named() && !r.Signed:
		// Not every refusal need name the limit.
		return
	}
	if n.PerSecond > 0 || (r.Limit.Malformed == "" && p.book.Knows(s.ID)) {
		p.note(n, "")
	}
}

// note takes a notice, from another entry VM where one is named. p.mu is held.
func (p *Permits) note(n turmericshed.LimitNotice, from string) {
	before, _ := p.book.Rate(n.Server)
	if !p.book.Note(n) {
		return
	}
	msg := "server names a limit"
	if n.PerSecond == 0 {
		msg = "server names no limit any more"
	}
	now := time.Now()
	p.cfg.Log.Info(msg, "server", string(n.Server), "per_second", n.PerSecond, "before", before, "entry_vm", from,
		"asked_ms_ago", now.Sub(n.Asked).Milliseconds(), "heard_ms_ago", now.Sub(n.Heard).Milliseconds())
}

// complain logs a limit that could not be read, once. p.mu is held.
func (p *Permits) complain(id turmericshed.ServerID, l turmericshed.RateLimit) {
	if p.malformed[id] == l.Malformed {
		return
	}
	p.malformed[id] = l.Malformed
	rate, _ := p.book.Rate(id)
	p.cfg.Log.Error("limit of a server not read", "server", string(id), "value", l.Malformed, "read", l.PerSecond, "in_force", rate)
}
