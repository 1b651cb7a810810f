package tscrash

import (
	"context"
	"errors"
	"syscall"
	"time"

	"turmericshed"
	"turmericshed/core/tspoison"
)

const (
	// lookTimeout bounds one look at a server's address, and lookPause is the
	// time between two: a process that ends may take connections for an instant.
	lookTimeout = 400 * time.Millisecond
	lookPause   = 150 * time.Millisecond
	// listWait is how long the list of servers may take to tell of the end of a
	// server that can't be reached.
	listWait = 15 * time.Second
	// maxBroken and maxRequests bound the servers in doubt and the requests of
	// each.
	maxBroken   = 512
	maxRequests = 256
)

// start is one start of a backend server.
type start struct {
	id      turmericshed.ServerID
	started int64
}

func startOf(s turmericshed.BackendServer) start { return start{s.ID, s.Started.UnixMilli()} }

// breaks are the requests whose connections to a server ended.
type breaks struct {
	server   turmericshed.BackendServer
	requests map[turmericshed.Digest]run
	// looking is true while the server is looked at; until is for how long the
	// list is waited for after that.
	looking bool
	until   time.Time
}

// run is a request's time at a server.
type run struct{ began, broke time.Time }

// verdict is what a look at a server shows.
type verdict int

const (
	verdictUnreached verdict = iota
	verdictEnded
	verdictAlive
)

// Broke notes that the connection ended on which a server worked on a request
// since began, and looks whether the server did.
func (w *Watch) Broke(s turmericshed.BackendServer, d turmericshed.Digest, began time.Time) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	k := startOf(s)
	b := w.broken[k]
	if b == nil {
		if len(w.broken) >= maxBroken {
			w.cfg.Log.Warn("too many servers in doubt", "server", string(s.ID), "digest", string(d))
			return
		}
		b = &breaks{server: s, requests: make(map[turmericshed.Digest]run)}
		w.broken[k] = b
	}
	if len(b.requests) < maxRequests {
		b.requests[d] = run{began, now}
	}
	if !b.looking {
		b.looking = true
		go w.look(k, b)
	}
}

// look finds out whether a server ended.
func (w *Watch) look(k start, b *breaks) {
	v, asOf := w.judge(b.server)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken[k] != b {
		// The list told meanwhile.
		return
	}
	b.looking = false
	switch v {
	case verdictEnded:
		w.ended(k, b, "connections refused")
	case verdictUnreached:
		b.until = time.Now().Add(listWait)
		w.compare(time.Now(), w.cfg.Board.Servers.Read())
	case verdictAlive:
		for d, r := range b.requests {
			if !r.broke.After(asOf) {
				delete(b.requests, d)
			}
		}
		if len(b.requests) == 0 {
			delete(w.broken, k)
			return
		}
		b.looking = true
		go w.look(k, b)
	}
}

// verdict looks at a server's address, twice where it takes connections. asOf is
// when it looked last.
func (w *Watch) verdict(s turmericshed.BackendServer) (v verdict, asOf time.Time) {
	for try := range 2 {
		if try > 0 {
			time.Sleep(lookPause)
		}
		asOf = time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
		c, err := w.cfg.Dial(ctx, "tcp", s.Addr.String())
		cancel()
		w.counters.looks.Inc()
		if errors.Is(err, syscall.ECONNREFUSED) {
			return verdictEnded, asOf
		}
		if err != nil {
			w.cfg.Log.Info("server not reached", "server", string(s.ID), "error", err.Error())
			return verdictUnreached, asOf
		}
		if err := c.Close(); err != nil {
			w.cfg.Log.Debug("connection", "server", string(s.ID), "error", err.Error())
		}
	}
	return verdictAlive, asOf
}

// ended notes that a server ended under its requests. w.mu is held.
func (w *Watch) ended(k start, b *breaks, how string) {
	delete(w.broken, k)
	var names []string
	for d, r := range b.requests {
		e := w.book.Ended(r.began, r.broke, d, b.server)
		w.noted(time.Now(), []tspoison.Evidence{e}, "")
		w.outbox[d] = true
		if len(names) < loggedDigests {
			names = append(names, string(d))
		}
	}
	w.counters.ends.Inc()
	wake(w.reports)
	w.cfg.Log.Info("server ended", "server", string(b.server.ID), "addr", b.server.Addr.String(), "how", how, "requests", len(b.requests), "digests", names)
}

// compare ends the doubt about servers that the list names no more, or as
// started anew. w.mu is held.
func (w *Watch) compare(now time.Time, servers []turmericshed.BackendServer) {
	if len(w.broken) == 0 {
		return
	}
	listed := make(map[start]bool, len(servers))
	for _, s := range servers {
		listed[startOf(s)] = true
	}
	for k, b := range w.broken {
		switch {
		case b.looking:
		case now.After(b.until):
			delete(w.broken, k)
		case !listed[k]:
			w.ended(k, b, "not listed any more")
		}
	}
}

// lister follows the list of servers.
type lister struct{ w *Watch }

// String names the controller in the supervisor's log.
func (lister) String() string { return "ended servers" }

// Serve runs until ctx ends.
func (c lister) Serve(ctx context.Context) error {
	forget := time.NewTicker(forgetInterval)
	defer forget.Stop()
	for {
		servers, changed := c.w.cfg.Board.Servers.Watch()
		c.w.mu.Lock()
		c.w.compare(time.Now(), servers)
		c.w.mu.Unlock()
		select {
		case <-changed:
		case now := <-forget.C:
			c.w.forget(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// forget drops evidence that is spent.
func (w *Watch) forget(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.book.Forget(now)
	w.known.Store(int64(w.book.Len()))
	for d := range w.change {
		if _, known := w.book.Get(d); !known {
			delete(w.change, d)
		}
	}
}
