// Package tsnode runs a stand-in for a backend server at one address: it
// listens, announces the server to the platform, crashes and comes back as a
// new server at the same address.
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
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
	// listenRetry is the wait before an address is tried again.
	listenRetryInterval = 20 * time.Millisecond
	// withdrawTimeout bounds the last call to the platform's list.
	withdrawTimeout = time.Second
)

// ErrCrashed is returned by Serve after a crash without a restart.
var ErrCrashed = errors.New("the server crashed")

// App is the server's program from start to crash.
type App interface {
	http.Handler
	// Run does the program's own work until ctx ends.
	Run(ctx context.Context)
}

// Options sets up a Node.
type Options struct {
	// Server describes the server; a port of 0 is chosen at Listen.
	Server turmericshed.BackendServer
	// Platform is where the server announces itself; nil for nowhere.
	Platform *tsplatform.Client
	// RestartAfter is the time from a crash to the replacement, which has an
	// ID of its own; 0 ends Serve instead.
	RestartAfter time.Duration
}

// Node is one server and its replacements.
type Node struct {
	opts  Options
	build func(s turmericshed.BackendServer) App

	mu      sync.Mutex
	ln      net.Listener
	server  turmericshed.BackendServer
	crashes int
	leaving bool
	// life ends at the crash of the present server.
	serverCtx    context.Context
	cancelServer context.CancelFunc
}

// Listen binds the address. build makes the program of each server.
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

// Server returns the server as it is now.
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

// Leaving reports whether the server is going away.
func (n *Node) Leaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// Leave marks the server as going away: it refuses new work and finishes what
// runs.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	n.leaving = true
	id := n.server.ID
	n.mu.Unlock()
	if n.opts.Platform != nil {
		_ = n.opts.Platform.LeaveServer(ctx, id)
	}
}

// Crash ends the program at once, with all its connections.
func (n *Node) Crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.serverCtx.Err() == nil {
		n.crashes++
		n.cancelServer()
	}
}

var _ turmericshed.Controller = (*Node)(nil)

// Serve runs the server and its replacements until ctx ends.
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

// serveOnce serves until a crash or the end of ctx, and lists the server at
// the platform for that long.
func (n *Node) serveOnce(ctx context.Context) {
	n.mu.Lock()
	ln, server, life, cancel := n.ln, n.server, n.serverCtx, n.cancelServer
	n.mu.Unlock()
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	app := n.build(server)
	h := &http.Server{Handler: n.refuseMisdirected(server.ID, app), ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(life, func() { _ = h.Close() })
	var wg sync.WaitGroup
	wg.Go(func() { app.Run(life) })
	if n.opts.Platform != nil {
		wg.Go(func() { _ = tsplatform.NewServerAnnouncer(n.opts.Platform, server).Serve(life) })
	}
	_ = h.Serve(ln)
	<-life.Done()
	wg.Wait()
	if n.opts.Platform != nil {
		last, done := context.WithTimeout(context.WithoutCancel(ctx), withdrawTimeout)
		_ = n.opts.Platform.WithdrawServer(last, server.ID)
		done()
	}
}

// replace binds the address again for a server with a new ID.
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

// guard refuses calls that are meant for another server.
func (n *Node) refuseMisdirected(id turmericshed.ServerID, app App) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get(tsbackend.HeaderServer); want != "" && want != string(id) {
			Refuse(w, http.StatusMisdirectedRequest, tsbackend.CodeOther, tsbackend.OtherServerPrefix+string(id))
			return
		}
		app.ServeHTTP(w, r)
	})
}

// Refuse answers that a call did not run, and why.
func Refuse(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(tsbackend.HeaderRefused, "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(tsbackend.ErrorAnswer{Error: tsbackend.ErrorDetail{Code: code, Message: message}})
}

// WriteJSON answers with v.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
