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
	// probeTimeout is the timeout of one connection attempt to a server's address.
	probeTimeout = 400 * time.Millisecond
	// probePause is the time between two attempts: a terminating process may still
	// accept connections for a moment.
	probePause = 150 * time.Millisecond
	// listTimeout is how long to wait for the list of servers to show the termination
	// of an unreachable server.
	listTimeout = 15 * time.Second
	// maxUndecidedServers bounds the servers that lost a connection and are not yet
	// known to be running or terminated.
	maxUndecidedServers = 512
	// maxRequestsPerServer bounds the requests recorded for each of them, and
	// maxPartsPerServer the prompt parts of these requests.
	maxRequestsPerServer = 256
	maxPartsPerServer    = 1024
)

// processKey identifies one process of a backend server by the server ID and the
// start time in milliseconds since the Unix epoch.
type processKey struct {
	id      turmericshed.ServerID
	started int64
}

// keyOf returns the key of the server's current process.
func keyOf(s turmericshed.BackendServer) processKey { return processKey{s.ID, s.Started.UnixMilli()} }

// undecidedServer is a server that lost connections while requests ran on it, and of
// which it is not known yet whether its process terminated.
type undecidedServer struct {
	server turmericshed.BackendServer
	// attempts holds the attempts whose connections were lost.
	attempts map[turmericshed.Digest]attempt
	// isProbing is true while a probe of the server runs.
	isProbing bool
	// decided is closed when it is known whether the server terminated; hasTerminated
	// holds that.
	decided       chan struct{}
	hasTerminated bool
	// listDeadline is when to stop waiting for the list of servers, after a probe
	// that could not reach the server.
	listDeadline time.Time
}

// attempt is one attempt to run a request on a server, and when its connection was lost.
type attempt struct {
	turmericshed.LostAttempt
	lost time.Time
}

// verdict is the result of probing a server.
type verdict int

const (
	verdictUnreachable verdict = iota
	verdictTerminated
	verdictAlive
)

// ConnectionLost records that the connection to the server was lost while it ran the request
// of the attempt. It starts a probe, unless one is running, to find out whether the server
// terminated. The returned function waits for the result.
func (w *Watch) ConnectionLost(s turmericshed.BackendServer, a turmericshed.LostAttempt) (terminated func(ctx context.Context) bool) {
	now, d := time.Now(), a.Request
	w.mu.Lock()
	defer w.mu.Unlock()
	k := keyOf(s)
	u := w.undecided[k]
	if u == nil {
		if len(w.undecided) >= maxUndecidedServers {
			w.cfg.Log.Warn("too many undecided servers; ignoring a lost connection", "server", string(s.ID), "digest", string(d))
			return func(context.Context) bool { return false }
		}
		u = &undecidedServer{server: s, attempts: make(map[turmericshed.Digest]attempt), decided: make(chan struct{})}
		w.undecided[k] = u
	}
	if len(u.attempts) < maxRequestsPerServer {
		u.attempts[d] = attempt{a, now}
	}
	if !u.isProbing {
		u.isProbing = true
		go w.resolve(k, u)
	}
	return u.hasTerminatedWithin
}

// hasTerminatedWithin waits until it is known whether the server terminated, and reports
// whether it did. It returns false when ctx ends first.
func (u *undecidedServer) hasTerminatedWithin(ctx context.Context) bool {
	select {
	case <-u.decided:
		return u.hasTerminated
	case <-ctx.Done():
		return false
	}
}

// resolve probes a server and applies the verdict. It records a termination. It waits for
// the list of servers if the server is unreachable. If the server is alive, it drops the
// attempts whose connections were lost before the probe, and probes again if there are
// others.
func (w *Watch) resolve(k processKey, u *undecidedServer) {
	v, asOf := w.probeAndConfirm(u.server)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.undecided[k] != u {
		// The list of servers has decided meanwhile.
		return
	}
	u.isProbing = false
	switch v {
	case verdictTerminated:
		w.recordTermination(k, u, "connections refused")
	case verdictUnreachable:
		u.listDeadline = time.Now().Add(listTimeout)
		w.resolveFromList(time.Now(), w.cfg.Board.Servers.Read())
	case verdictAlive:
		for d, a := range u.attempts {
			if !a.lost.After(asOf) {
				delete(u.attempts, d)
			}
		}
		if len(u.attempts) == 0 {
			delete(w.undecided, k)
			close(u.decided)
			return
		}
		u.isProbing = true
		go w.resolve(k, u)
	}
}

// probe opens a connection to a server's address, and a second one if the first
// succeeds. asOf is when the last attempt began.
func (w *Watch) probe(s turmericshed.BackendServer) (v verdict, asOf time.Time) {
	for i := range 2 {
		if i > 0 {
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
			w.cfg.Log.Info("cannot reach a backend server to probe it", "server", string(s.ID), "error", err.Error())
			return verdictUnreachable, asOf
		}
		if err := c.Close(); err != nil {
			w.cfg.Log.Debug("cannot close a probe connection", "server", string(s.ID), "error", err.Error())
		}
	}
	return verdictAlive, asOf
}

// recordTermination records that a server terminated while it ran the requests of u, and
// queues the evidence for the aggregators. reason is the observation that shows the
// termination. w.mu is held.
func (w *Watch) recordTermination(k processKey, u *undecidedServer, reason string) {
	delete(w.undecided, k)
	u.hasTerminated = true
	close(u.decided)
	var digests []string
	parts := make(map[turmericshed.Digest]bool)
	for d, a := range u.attempts {
		evidence := []tspoison.Evidence{w.book.Ended(a.Began, a.lost, d, u.server)}
		w.unreported[d] = true
		if len(digests) < maxLoggedDigests {
			digests = append(digests, string(d))
		}
		for i, part := range a.Parts {
			if !parts[part] && len(parts) >= maxPartsPerServer {
				continue
			}
			parts[part] = true
			evidence = append(evidence, w.book.EndedPart(a.lost, part, i+1, a.LostAttempt, u.server))
			w.unreported[part] = true
		}
		w.recordChanges(time.Now(), evidence, "")
	}
	w.counters.terminations.Inc()
	wake(w.reportWake)
	w.cfg.Log.Info("server terminated while it ran requests; reporting them", "server", string(u.server.ID), "addr", u.server.Addr.String(), "how", reason, "requests", len(u.attempts), "digests", digests, "parts", len(parts))
}

// resolveFromList records the termination of undecided servers whose process is no
// longer in the list, and drops those whose deadline has passed. w.mu is held.
func (w *Watch) resolveFromList(now time.Time, servers []turmericshed.BackendServer) {
	if len(w.undecided) == 0 {
		return
	}
	listed := make(map[processKey]bool, len(servers))
	for _, s := range servers {
		listed[keyOf(s)] = true
	}
	for k, u := range w.undecided {
		switch {
		case u.isProbing:
		case now.After(u.listDeadline):
			delete(w.undecided, k)
			close(u.decided)
		case !listed[k]:
			w.recordTermination(k, u, "not listed any more")
		}
	}
}

// listWatcher resolves undecided servers from the list of servers and drops expired
// evidence periodically.
type listWatcher struct{ w *Watch }

// String names the controller in the supervisor's log.
func (listWatcher) String() string { return "ended servers" }

// Serve follows the list of servers until ctx ends.
func (c listWatcher) Serve(ctx context.Context) error {
	ticker := time.NewTicker(dropExpiredInterval)
	defer ticker.Stop()
	for {
		servers, changed := c.w.cfg.Board.Servers.Watch()
		c.w.mu.Lock()
		c.w.resolveFromList(time.Now(), servers)
		c.w.mu.Unlock()
		select {
		case <-changed:
		case now := <-ticker.C:
			c.w.dropExpired(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// dropExpired drops expired evidence from the book and the change numbers of its requests.
func (w *Watch) dropExpired(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.book.DropExpired(now)
	w.evidenceCount.Store(int64(w.book.Len()))
	for d := range w.requestChange {
		if _, found := w.book.Get(d); !found {
			delete(w.requestChange, d)
		}
	}
}
