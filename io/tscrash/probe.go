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
	// probeTimeout bounds one look at a server's address, and lookPause is the
	// time between two: a process that ends may take connections for an instant.
	probeTimeout = 400 * time.Millisecond
	probePause   = 150 * time.Millisecond
	// listTimeout is how long the list of servers may take to tell of the end of a
	// server that can't be reached.
	listTimeout = 15 * time.Second
	// maxUndecidedServers and maxRequests bound the servers in doubt and the requests of
	// each.
	maxUndecidedServers   = 512
	maxRequestsPerServer = 256
)

// serverProcess is one serverProcess of a backend server.
type serverProcess struct {
	id      turmericshed.ServerID
	started int64
}

func processOf(s turmericshed.BackendServer) serverProcess { return serverProcess{s.ID, s.Started.UnixMilli()} }

// undecidedServer are the requests whose connections to a server ended.
type undecidedServer struct {
	server   turmericshed.BackendServer
	attempts map[turmericshed.Digest]attempt
	// isProbing is true while the server is looked at; until is for how long the
	// list is waited for after that.
	isProbing bool
	listDeadline   time.Time
}

// attempt is a request's time at a server.
type attempt struct{ began, lost time.Time }

// verdict is what a look at a server shows.
type verdict int

const (
	verdictUnreachable verdict = iota
	verdictTerminated
	verdictAlive
)

// Broke notes that the connection ended on which a server worked on a request
// since began, and looks whether the server did.
func (w *Watch) Broke(s turmericshed.BackendServer, d turmericshed.Digest, began time.Time) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	k := processOf(s)
	b := w.undecided[k]
	if b == nil {
		if len(w.undecided) >= maxUndecidedServers {
			w.cfg.Log.Warn("too many servers in doubt", "server", string(s.ID), "digest", string(d))
			return
		}
		b = &undecidedServer{server: s, attempts: make(map[turmericshed.Digest]attempt)}
		w.undecided[k] = b
	}
	if len(b.attempts) < maxRequestsPerServer {
		b.attempts[d] = attempt{began, now}
	}
	if !b.isProbing {
		b.isProbing = true
		go w.resolve(k, b)
	}
}

// resolve finds out whether a server ended.
func (w *Watch) resolve(k serverProcess, b *undecidedServer) {
	v, asOf := w.probeAndConfirm(b.server)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.undecided[k] != b {
		// The list told meanwhile.
		return
	}
	b.isProbing = false
	switch v {
	case verdictTerminated:
		w.recordTermination(k, b, "connections refused")
	case verdictUnreachable:
		b.listDeadline = time.Now().Add(listTimeout)
		w.resolveFromList(time.Now(), w.cfg.Board.Servers.Read())
	case verdictAlive:
		for d, r := range b.attempts {
			if !r.lost.After(asOf) {
				delete(b.attempts, d)
			}
		}
		if len(b.attempts) == 0 {
			delete(w.undecided, k)
			return
		}
		b.isProbing = true
		go w.resolve(k, b)
	}
}

// probe looks at a server's address, twice where it takes connections. asOf is
// when it looked last.
func (w *Watch) probe(s turmericshed.BackendServer) (v verdict, asOf time.Time) {
	for try := range 2 {
		if try > 0 {
			time.Sleep(probePause)
		}
		asOf = time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		c, err := w.cfg.Dial(ctx, "tcp", s.Addr.String())
		cancel()
		w.counters.probes.Inc()
		if errors.Is(err, syscall.ECONNREFUSED) {
			return verdictTerminated, asOf
		}
		if err != nil {
			w.cfg.Log.Info("server not reached", "server", string(s.ID), "error", err.Error())
			return verdictUnreachable, asOf
		}
		if err := c.Close(); err != nil {
			w.cfg.Log.Debug("connection", "server", string(s.ID), "error", err.Error())
		}
	}
	return verdictAlive, asOf
}

// recordTermination notes that a server recordTermination under its requests. w.mu is held.
func (w *Watch) recordTermination(k serverProcess, b *undecidedServer, how string) {
	delete(w.undecided, k)
	var names []string
	for d, r := range b.attempts {
		e := w.book.Ended(r.began, r.lost, d, b.server)
		w.recordChanges(time.Now(), []tspoison.Evidence{e}, "")
		w.unreported[d] = true
		if len(names) < maxLoggedDigests {
			names = append(names, string(d))
		}
	}
	w.counters.terminations.Inc()
	wake(w.reportWake)
	w.cfg.Log.Info("server ended", "server", string(b.server.ID), "addr", b.server.Addr.String(), "how", how, "requests", len(b.attempts), "digests", names)
}

// resolveFromList ends the doubt about servers that the list names no more, or as
// started anew. w.mu is held.
func (w *Watch) resolveFromList(now time.Time, servers []turmericshed.BackendServer) {
	if len(w.undecided) == 0 {
		return
	}
	listed := make(map[serverProcess]bool, len(servers))
	for _, s := range servers {
		listed[processOf(s)] = true
	}
	for k, b := range w.undecided {
		switch {
		case b.isProbing:
		case now.After(b.listDeadline):
			delete(w.undecided, k)
		case !listed[k]:
			w.recordTermination(k, b, "not listed any more")
		}
	}
}

// listWatcher follows the list of servers.
type listWatcher struct{ w *Watch }

// String names the controller in the supervisor's log.
func (listWatcher) String() string { return "ended servers" }

// Serve runs until ctx ends.
func (c listWatcher) Serve(ctx context.Context) error {
	forget := time.NewTicker(dropExpiredInterval)
	defer forget.Stop()
	for {
		servers, changed := c.w.cfg.Board.Servers.Watch()
		c.w.mu.Lock()
		c.w.resolveFromList(time.Now(), servers)
		c.w.mu.Unlock()
		select {
		case <-changed:
		case now := <-forget.C:
			c.w.dropExpired(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// dropExpired drops evidence that is spent.
func (w *Watch) dropExpired(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.book.Forget(now)
	w.evidenceCount.Store(int64(w.book.Len()))
	for d := range w.requestChange {
		if _, known := w.book.Get(d); !known {
			delete(w.requestChange, d)
		}
	}
}
