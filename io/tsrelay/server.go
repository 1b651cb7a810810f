package tsrelay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"turmericshed/io/tsintake"
)

const (
	// headerTimeout bounds the reading of a request's headers. It is above any header
	// timeout of a routing table.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a request's headers. The relay checks the
	// routing table's lower limit and sends the relay's error response.
	maxHeaderBytes = 64 << 10
	// idleSweepInterval is the time between checks for idle connections to close.
	idleSweepInterval = 500 * time.Millisecond
	// linkRecoveryTime is how long after a congestion of the local link requests may still arrive
	// late.
	linkRecoveryTime = 2 * time.Second
	// stopAcceptPeriod is how long a stopping entry VM still accepts connections: the
	// load balancer probes once a second and removes an entry VM after two failed
	// probes.
	stopAcceptPeriod = 3 * time.Second
	// drainPollInterval is the time between checks whether running requests have ended.
	drainPollInterval = 10 * time.Millisecond
)

// Server serves a relay on a listener. It closes connections after the routing table's
// idle timeout and stops gracefully.
type Server struct {
	relay *Relay
	log   *slog.Logger
	http  *http.Server

	mu sync.Mutex
	// conns holds the state of each open connection.
	conns map[net.Conn]connState
	// idleTimeout is the idle timeout at the last sweep, which is in force since idleTimeoutSince.
	idleTimeout      time.Duration
	idleTimeoutSince time.Time
}

// connState is the state of a connection, and since when it has it.
type connState struct {
	http.ConnState
	since time.Time
}

// NewServer returns a server for the relay.
func NewServer(relay *Relay, log *slog.Logger) *Server {
	s := &Server{relay: relay, log: log, conns: make(map[net.Conn]connState)}
	s.http = &http.Server{
		Handler: relay, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.trackState, ConnContext: tsintake.WithConn, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelError),
	}
	return s
}

// Close terminates the server immediately and closes its connections.
func (s *Server) Close() error { return s.http.Close() }

// Serve accepts connections until ctx ends and then stops gracefully: answers close
// their connections, new connections are accepted while the load balancer still sends
// them, and running requests may finish until stopTimeout has passed. Requests that come
// later, on connections that were open, are refused.
func (s *Server) Serve(ctx context.Context, ln net.Listener, stopTimeout time.Duration) error {
	served := make(chan error, 1)
	ln = s.relay.cfg.Intake.Listener(ln)
	go func() { served <- s.http.Serve(ln) }()
	sweep := time.NewTicker(idleSweepInterval)
	defer sweep.Stop()
	for {
		select {
		case err := <-served:
			return err
		case now := <-sweep.C:
			s.closeIdle(now)
		case <-ctx.Done():
			return s.shutdown(ln, served, stopTimeout)
		}
	}
}

// shutdown stops the server gracefully and closes what is left after the timeout. It does
// not use [http.Server.Shutdown], which closes a connection without an answer when it has
// read a request.
func (s *Server) shutdown(ln net.Listener, served <-chan error, timeout time.Duration) error {
	began := time.Now()
	acceptPeriod := min(stopAcceptPeriod, timeout/2)
	cutAt := began.Add(timeout)
	s.relay.Stop(began.Add(acceptPeriod), cutAt)
	s.log.Info("stopping", "timeout_ms", timeout.Milliseconds())
	time.Sleep(acceptPeriod)
	s.relay.cfg.Intake.StopReading(errStopping())
	err := ln.Close()
	// Serve has closed the listener as well when it returns.
	if serveErr := <-served; !errors.Is(serveErr, net.ErrClosed) {
		err = errors.Join(err, serveErr)
	}
	for s.closeInactive() > 0 && time.Now().Before(cutAt) {
		time.Sleep(drainPollInterval)
	}
	if n := s.countActive(); n > 0 {
		err = errors.Join(err, fmt.Errorf("%d connections with running requests were closed", n))
	}
	err = errors.Join(err, s.http.Close())
	s.log.Info("stopped serving", "elapsed_ms", time.Since(began).Milliseconds(), "whole", err == nil)
	return err
}

// closeInactive closes the idle connections, and returns the number of those on which a
// request is read or runs. A connection without a first request stays open, so that a
// request which is on its way can be refused, and so do all while the local link is congested;
// the idle ones then count as active.
func (s *Server) closeInactive() (active int) {
	isCongested := s.relay.linkCongested(time.Now().Add(-linkRecoveryTime))
	s.mu.Lock()
	var idle []net.Conn
	for c, state := range s.conns {
		switch {
		case state.ConnState == http.StateActive, state.ConnState == http.StateIdle && isCongested:
			active++
		case state.ConnState == http.StateIdle:
			idle = append(idle, c)
			delete(s.conns, c)
		}
	}
	s.mu.Unlock()
	s.closeAll(idle)
	return active
}

// countActive returns the number of connections on which a request is read or runs.
func (s *Server) countActive() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.conns {
		if state.ConnState == http.StateActive {
			n++
		}
	}
	return n
}

// trackState keeps conns up to date; net/http calls it when a connection changes its state.
func (s *Server) trackState(c net.Conn, state http.ConnState) {
	tsintake.TrackState(c, state)
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = connState{state, time.Now()}
}

// closeIdle closes the connections that exceed the routing table's idle timeout. While the local link
// is congested it closes none: the next request may be on its way. After the timeout was changed,
// connections that are idle already have the whole new timeout, since callers learn of it no earlier.
func (s *Server) closeIdle(now time.Time) {
	t := s.relay.Table()
	if t == nil || t.Limits.IdleTimeout <= 0 || s.relay.linkCongested(now.Add(-linkRecoveryTime)) {
		return
	}
	s.mu.Lock()
	if s.idleTimeout != t.Limits.IdleTimeout {
		s.idleTimeout, s.idleTimeoutSince = t.Limits.IdleTimeout, now
	}
	var expired []net.Conn
	for c, state := range s.conns {
		since := state.since
		if since.Before(s.idleTimeoutSince) {
			since = s.idleTimeoutSince
		}
		if state.ConnState == http.StateIdle && now.Sub(since) >= s.idleTimeout {
			expired = append(expired, c)
			delete(s.conns, c)
		}
	}
	s.mu.Unlock()
	s.closeAll(expired)
}

// closeAll closes idle connections.
func (s *Server) closeAll(conns []net.Conn) {
	for _, c := range conns {
		if err := c.Close(); err != nil {
			s.log.Debug("closing an idle connection failed", "error", err.Error())
		}
	}
}
