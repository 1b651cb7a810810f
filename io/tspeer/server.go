package tspeer

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"turmericshed"
)

// Server serves the connect-go services of one entry VM to its peers.
type Server struct {
	cfg Config
	mux *http.ServeMux
}

// NewServer returns a server without services.
func NewServer(cfg Config) *Server {
	return &Server{cfg: cfg, mux: http.NewServeMux()}
}

// Mount adds a service. Its arguments are the results of connect-go's handler
// constructors.
func (s *Server) Mount(path string, h http.Handler) { s.mux.Handle(path, h) }

// Serve serves calls on ln until ctx ends, then waits at most StopTimeout for calls in
// flight. It closes ln. Errors: KindInternal if serving fails, and ctx's error.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	handler := http.Handler(s.mux)
	if s.cfg.Clock != nil {
		handler = s.cfg.Clock.Receive(handler)
	}
	srv := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         new(http.Protocols),
	}
	switch {
	case s.cfg.TLS != nil:
		srv.Protocols.SetHTTP2(true)
		tlsConfig := s.cfg.TLS.Clone()
		tlsConfig.NextProtos = []string{"h2"}
		ln = tls.NewListener(ln, tlsConfig)
	case s.cfg.HTTP1:
		srv.Protocols.SetHTTP1(true)
	default:
		srv.Protocols.SetUnencryptedHTTP2(true)
	}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	select {
	case err := <-failed:
		return turmericshed.WrapError(turmericshed.KindInternal, err, "peer server")
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cmp.Or(s.cfg.StopTimeout, shutdownTimeout))
	defer cancel()
	if err := srv.Shutdown(stopCtx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		_ = srv.Close()
	}
	return ctx.Err()
}
