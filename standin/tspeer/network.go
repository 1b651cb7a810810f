// Package tspeer stands in for the network between entry VMs: listeners and
// connections in memory, whose links can be cut one way. It keeps to the rules
// of testing/synctest.
//
// # Usage
//
//	n := tspeer.NewNetwork()
//	ln := n.Listen(addr)
//	transport := iotspeer.NewTransport(iotspeer.Config{Dial: n.Dialer(self)})
//	n.Cut(a, b) // a can't open connections to b; those open are broken
package tspeer

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"turmericshed"
)

// Network joins listeners and dialers by address.
type Network struct {
	mu          sync.Mutex
	listeners   map[netip.AddrPort]*listener
	cuts        map[link]bool
	connsByLink map[link][]net.Conn
}

// link is one direction between two addresses.
type link struct{ from, to netip.AddrPort }

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{
		listeners: make(map[netip.AddrPort]*listener), cuts: make(map[link]bool),
		connsByLink: make(map[link][]net.Conn),
	}
}

// Cut stops connections from one address to another and breaks open ones.
func (n *Network) Cut(from, to netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := link{from, to}
	n.cuts[k] = true
	for _, c := range n.connsByLink[k] {
		_ = c.Close()
	}
	delete(n.connsByLink, k)
}

// Heal undoes Cut.
func (n *Network) Heal(from, to netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, link{from, to})
}

// Listen opens a listener; one closed before may be opened again.
func (n *Network) Listen(addr netip.AddrPort) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, addr: addr, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

// Dialer returns the dialer of the process at from. Dials over a cut link
// wait until their context ends.
func (n *Network) Dialer(from netip.AddrPort) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, turmericshed.WrapError(turmericshed.KindBadRequest, err, "dial")
		}
		return n.dialLink(ctx, link{from, to})
	}
}

func (n *Network) dialLink(ctx context.Context, k link) (net.Conn, error) {
	n.mu.Lock()
	l, cut := n.listeners[k.to], n.cuts[k]
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, turmericshed.NewError(turmericshed.KindNoBackend, "%s: connection refused", k.to)
	}
	client, server := net.Pipe()
	select {
	case l.accept <- server:
	case <-l.closed:
		return nil, turmericshed.NewError(turmericshed.KindNoBackend, "%s: connection refused", k.to)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connsByLink[k] = append(n.connsByLink[k], client)
	return client, nil
}

// listener is a net.Listener in memory.
type listener struct {
	network *Network
	addr    netip.AddrPort
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept waits for a connection.
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

// Addr returns the address listened on.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }
