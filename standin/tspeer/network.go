// Package tspeer simulates the network between entry VMs: in-memory listeners
// and connections whose links can be cut in one direction. It can be used inside
// a testing/synctest bubble.
//
// # Usage
//
//	n := tspeer.NewNetwork()
//	ln := n.Listen(addr)
//	transport := iotspeer.NewTransport(iotspeer.Config{Dial: n.Dialer(self)})
//	n.Cut(a, b) // closes connections from a to b and blocks new ones
package tspeer

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"turmericshed"
)

// Network connects dialers to listeners by address.
type Network struct {
	mu          sync.Mutex
	listeners   map[netip.AddrPort]*listener
	cuts        map[link]bool
	connsByLink map[link][]net.Conn
}

// link identifies the connections that one address opens to another.
type link struct{ from, to netip.AddrPort }

// NewNetwork returns a network without listeners or cuts.
func NewNetwork() *Network {
	return &Network{
		listeners: make(map[netip.AddrPort]*listener), cuts: make(map[link]bool),
		connsByLink: make(map[link][]net.Conn),
	}
}

// Cut blocks new connections from one address to another and closes open ones.
// Connections opened in the opposite direction are not affected.
func (n *Network) Cut(from, to netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := link{from, to}
	n.cuts[l] = true
	for _, c := range n.connsByLink[l] {
		_ = c.Close()
	}
	delete(n.connsByLink, l)
}

// Heal allows connections from one address to another again after Cut.
func (n *Network) Heal(from, to netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, link{from, to})
}

// Listen returns a listener at addr. An address can be reused after its listener
// is closed.
func (n *Network) Listen(addr netip.AddrPort) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, addr: addr, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

// Dialer returns the dial function of the process at from. A dial over a cut
// link blocks until its context ends and returns the context's error. A dial to
// an address without an open listener returns KindNoBackend, one to a malformed
// address KindBadRequest.
func (n *Network) Dialer(from netip.AddrPort) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, turmericshed.WrapError(turmericshed.KindBadRequest, err, "dial")
		}
		return n.dialLink(ctx, link{from, to})
	}
}

// dialLink opens a connection over a link and registers it for Cut.
func (n *Network) dialLink(ctx context.Context, via link) (net.Conn, error) {
	n.mu.Lock()
	l, isCut := n.listeners[via.to], n.cuts[via]
	n.mu.Unlock()
	if isCut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, turmericshed.NewError(turmericshed.KindNoBackend, "%s: connection refused", via.to)
	}
	client, server := net.Pipe()
	select {
	case l.accept <- server:
	case <-l.closed:
		return nil, turmericshed.NewError(turmericshed.KindNoBackend, "%s: connection refused", via.to)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connsByLink[via] = append(n.connsByLink[via], client)
	return client, nil
}

// listener is an in-memory net.Listener.
type listener struct {
	network *Network
	addr    netip.AddrPort
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept waits for the next connection. It returns net.ErrClosed after Close.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses further connections.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address that the listener is bound to.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }
