package tsrelay

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// headerTimeout bounds the reading of a request's headers, above any that
	// a routing table names.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds them; the routing table's lower bound is checked
	// by the relay, which answers with its own refusal.
	maxHeaderBytes = 64 << 10
	// idleSweepInterval is the time between searches for idle connections.
	idleSweepInterval = 500 * time.Millisecond
	// stopAcceptPeriod is how long a stopping entry VM still takes new
	// connections: the balancer asks once a second and needs two misses.
	stopAcceptPeriod = 3 * time.Second
)

// Server serves a relay on a listener. It closes idle connections by the
// routing table's time and stops gracefully.
type Server struct {
	relay *Relay
	log   *slog.Logger
	http  *http.Server

	mu   sync.Mutex
	idleSince map[net.Conn]time.Time
}

// NewServer returns a server of the relay.
func NewServer(relay *Relay, log *slog.Logger) *Server {
	s := &Server{relay: relay, log: log, idleSince: make(map[net.Conn]time.Time)}
	s.http = &http.Server{
		Handler: relay, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.trackIdle, ConnContext: withCallerConn, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return s
}

// Close ends the server at once.
func (s *Server) Close() error { return s.http.Close() }

// Serve takes connections until ctx ends, and then stops: answers close their
// connections, new ones are still taken while the balancer sends them, and
// what runs may end until stopTimeout has passed.
func (s *Server) Serve(ctx context.Context, ln net.Listener, stopTimeout time.Duration) error {
	served := make(chan error, 1)
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
			return s.shutdown(stopTimeout)
		}
	}
}

// shutdown ends the server gracefully.
func (s *Server) shutdown(timeout time.Duration) error {
	began := time.Now()
	s.relay.Stop()
	s.log.Info("stopping", "timeout_ms", timeout.Milliseconds())
	time.Sleep(min(stopAcceptPeriod, timeout/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(timeout))
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.http.Close())
	}
	s.log.Info("stopped serving", "elapsed_ms", time.Since(began).Milliseconds(), "whole", err == nil)
	return err
}

// trackIdle keeps the idle connections.
func (s *Server) trackIdle(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle {
		s.idleSince[c] = time.Now()
		return
	}
	delete(s.idleSince, c)
}

// closeIdle closes the connections that were idle for the routing table's
// time.
func (s *Server) closeIdle(now time.Time) {
	t := s.relay.Table()
	if t == nil || t.Limits.IdleTimeout <= 0 {
		return
	}
	s.mu.Lock()
	var old []net.Conn
	for c, since := range s.idleSince {
		if now.Sub(since) >= t.Limits.IdleTimeout {
			old = append(old, c)
			delete(s.idleSince, c)
		}
	}
	s.mu.Unlock()
	for _, c := range old {
		if err := c.Close(); err != nil {
			s.log.Debug("idle connection", "error", err.Error())
		}
	}
}
