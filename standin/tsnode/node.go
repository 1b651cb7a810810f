// Package tsnode runs a simulated backend server at one address. It announces
// the server to the platform, simulates crashes, and restarts the server under a
// new ID at the same address.
//
// # Usage
//
//	n, err := tsnode.Listen(tsnode.Options{Server: server}, build)
//	if err != nil { ... }
//	err = n.Serve(ctx)
package tsnode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"turmericshed/io/tspause"

	"turmericshed"
	"turmericshed/io/tsbackend"
	"turmericshed/io/tsplatform"
)

const (
	// headerTimeout limits the time to read a request's headers.
	headerTimeout = 5 * time.Second
	// listenRetryInterval is the time between attempts to bind the address
	// after a crash.
	listenRetryInterval = 20 * time.Millisecond
	// withdrawTimeout limits the call that removes a terminated server from
	// the platform's list.
	withdrawTimeout = time.Second
)

// ErrCrashed is the error that Serve returns after a crash without a restart.
var ErrCrashed = errors.New("the server crashed")

// App is the application of one server, from its start to its crash.
type App interface {
	http.Handler
	// Run does the application's background work until ctx is canceled.
	Run(ctx context.Context)
}

// Options configures a Node.
type Options struct {
	// Server describes the first server. Listen replaces a port of 0 with a
	// free one.
	Server turmericshed.BackendServer
	// Platform is the platform to which the server announces itself; nil for
	// none.
	Platform *tsplatform.Client
	// RestartAfter is the time from a crash to the start of the replacement,
	// which has a new ID. With 0, Serve returns ErrCrashed instead.
	RestartAfter time.Duration
}

// Node is a server at one address and the servers that replace it after crashes.
type Node struct {
	opts  Options
	build func(s turmericshed.BackendServer) App

	mu      sync.Mutex
	ln      net.Listener
	server  turmericshed.BackendServer
	crashes int
	leaving bool
	// serverCtx is canceled when the current server crashes or Serve ends;
	// cancelServer cancels it.
	serverCtx    context.Context
	cancelServer context.CancelFunc
}

// Listen binds the address. Serve calls build for the application of each
// server.
func Listen(o Options, build func(s turmericshed.BackendServer) App) (*Node, error) {
	ln, err := net.Listen("tcp", o.Server.Addr.String())
	if err != nil {
		return nil, err
	}
	o.Server.Addr = netip.MustParseAddrPort(ln.Addr().String())
	n := &Node{opts: o, build: build, ln: ln, server: o.Server}
	n.serverCtx, n.cancelServer = context.WithCancel(context.Background())
	return n, nil
}

// Server returns the description of the current server.
func (n *Node) Server() turmericshed.BackendServer {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.server
	s.Leaving = n.leaving
	return s
}

// Crashes returns the number of crashes so far.
func (n *Node) Crashes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.crashes
}

// Leaving reports whether the current server is leaving.
func (n *Node) Leaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// Leave marks the current server as leaving: it refuses new work and finishes
// the work in progress.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	n.leaving = true
	id := n.server.ID
	n.mu.Unlock()
	if n.opts.Platform != nil {
		_ = n.opts.Platform.LeaveServer(ctx, id)
	}
}

// Crash terminates the current server immediately and closes all its connections.
func (n *Node) Crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.serverCtx.Err() == nil {
		n.crashes++
		n.cancelServer()
	}
}

var _ turmericshed.Controller = (*Node)(nil)

// Serve runs the server and its replacements until ctx is canceled. It returns
// ErrCrashed after a crash if Options.RestartAfter is 0.
func (n *Node) Serve(ctx context.Context) error {
	for {
		n.serveOnce(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if n.opts.RestartAfter <= 0 {
			return ErrCrashed
		}
		if !tspause.For(ctx, n.opts.RestartAfter) {
			return ctx.Err()
		}
		if err := n.replace(ctx); err != nil {
			return err
		}
	}
}

// serveOnce runs the current server until it crashes or ctx is canceled. It
// announces the server to the platform meanwhile and withdraws it at the end.
func (n *Node) serveOnce(ctx context.Context) {
	n.mu.Lock()
	ln, server, serverCtx, cancel := n.ln, n.server, n.serverCtx, n.cancelServer
	n.mu.Unlock()
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	app := n.build(server)
	h := &http.Server{Handler: n.refuseMisdirected(server.ID, app), ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(serverCtx, func() { _ = h.Close() })
	var wg sync.WaitGroup
	wg.Go(func() { app.Run(serverCtx) })
	if n.opts.Platform != nil {
		wg.Go(func() { _ = tsplatform.NewServerAnnouncer(n.opts.Platform, server).Serve(serverCtx) })
	}
	_ = h.Serve(ln)
	<-serverCtx.Done()
	wg.Wait()
	if n.opts.Platform != nil {
		withdrawCtx, done := context.WithTimeout(context.WithoutCancel(ctx), withdrawTimeout)
		_ = n.opts.Platform.WithdrawServer(withdrawCtx, server.ID)
		done()
	}
}

// replace binds the address again for a server with a new ID. It retries until
// it succeeds or ctx is canceled.
func (n *Node) replace(ctx context.Context) error {
	for {
		ln, err := net.Listen("tcp", n.opts.Server.Addr.String())
		if err == nil {
			n.mu.Lock()
			n.ln, n.leaving = ln, false
			n.serverCtx, n.cancelServer = context.WithCancel(context.Background())
			n.server.ID = turmericshed.ServerID(fmt.Sprintf("%s-r%d", n.opts.Server.ID, n.crashes))
			n.mu.Unlock()
			return nil
		}
		if !tspause.For(ctx, listenRetryInterval) {
			return ctx.Err()
		}
	}
}

// refuseMisdirected returns a handler that refuses the calls that name another
// server in HeaderServer, and passes the others to app.
func (n *Node) refuseMisdirected(id turmericshed.ServerID, app App) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if addressee := r.Header.Get(tsbackend.HeaderServerID); addressee != "" && addressee != string(id) {
			Refuse(w, http.StatusMisdirectedRequest, tsbackend.CodeOtherServer, tsbackend.OtherServerPrefix+string(id))
			return
		}
		app.ServeHTTP(w, r)
	})
}

// Refuse answers that a call did not run, with an error code and message.
func Refuse(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(tsbackend.HeaderCallRefused, "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(tsbackend.ErrorBody{Error: tsbackend.ErrorDetail{Code: code, Message: message}})
}

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
