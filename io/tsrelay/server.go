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
	// headerTimeout bounds the reading of a request's headers. It is above any header
	// timeout of a routing table.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a request's headers. The relay checks the
	// routing table's lower limit and sends the relay's error response.
	maxHeaderBytes = 64 << 10
	// idleSweepInterval is the time between checks for idle connections to close.
	idleSweepInterval = 500 * time.Millisecond
	// stopAcceptPeriod is how long a stopping entry VM still accepts connections: the
	// load balancer probes once a second and removes an entry VM after two failed
	// probes.
	stopAcceptPeriod = 3 * time.Second
)

// Server serves a relay on a listener. It closes connections after the routing table's
// idle timeout and stops gracefully.
type Server struct {
	relay *Relay
	log   *slog.Logger
	http  *http.Server

	mu sync.Mutex
	// idleSince holds the idle connections and when each became idle.
	idleSince map[net.Conn]time.Time
}

// NewServer returns a server for the relay.
func NewServer(relay *Relay, log *slog.Logger) *Server {
	s := &Server{relay: relay, log: log, idleSince: make(map[net.Conn]time.Time)}
	s.http = &http.Server{
		Handler: relay, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.trackIdle, ConnContext: withCallerConn, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return s
}

// Close terminates the server immediately and closes its connections.
func (s *Server) Close() error { return s.http.Close() }

// Serve accepts connections until ctx ends and then stops gracefully: answers close
// their connections, new connections are accepted while the load balancer still sends
// them, and running requests may finish until stopTimeout has passed.
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

// shutdown stops the server gracefully and closes what is left after the timeout.
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

// trackIdle keeps idleSince up to date; net/http calls it when a connection changes its
// state.
func (s *Server) trackIdle(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle {
		s.idleSince[c] = time.Now()
		return
	}
	delete(s.idleSince, c)
}

// closeIdle closes the connections that exceed the routing table's idle timeout.
func (s *Server) closeIdle(now time.Time) {
	t := s.relay.Table()
	if t == nil || t.Limits.IdleTimeout <= 0 {
		return
	}
	s.mu.Lock()
	var expired []net.Conn
	for c, since := range s.idleSince {
		if now.Sub(since) >= t.Limits.IdleTimeout {
			expired = append(expired, c)
			delete(s.idleSince, c)
		}
	}
	s.mu.Unlock()
	for _, c := range expired {
		if err := c.Close(); err != nil {
			s.log.Debug("closing an idle connection failed", "error", err.Error())
		}
	}
}
