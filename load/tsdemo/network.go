package tsdemo

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// cutDialTimeout is how long a dial over a cut link waits before it fails.
const cutDialTimeout = 300 * time.Millisecond

// place is a location in the simulated network: a failure domain, the platform, or
// the callers.
type place string

// The places other than the failure domains.
const (
	placePlatform place = "platform"
	placeCallers  place = "callers"
)

// network decides which places reach each other. Dialers enforce the cuts: new
// connections over a cut link fail, and open ones are closed.
type network struct {
	mu     sync.Mutex
	places map[netip.AddrPort]place
	cut    map[[2]place]bool
	conns  map[*cutConn]struct{}
}

func newNetwork() *network {
	return &network{
		places: map[netip.AddrPort]place{}, cut: map[[2]place]bool{}, conns: map[*cutConn]struct{}{},
	}
}

// setPlace records the place of an address.
func (n *network) setPlace(addr netip.AddrPort, at place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[addr] = at
}

// isolate cuts the links between p and each of the others, in both directions, and
// closes the open connections over them.
func (n *network) isolate(p place, others ...place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, o := range others {
		n.cut[[2]place{p, o}], n.cut[[2]place{o, p}] = true, true
	}
	for c := range n.conns {
		if n.cut[c.link] {
			_ = c.Conn.Close()
			delete(n.conns, c)
		}
	}
}

// heal restores all links.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = map[[2]place]bool{}
}

// dialer returns the dial function of a process at a place.
func (n *network) dialer(from place) func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := &net.Dialer{Timeout: 2 * time.Second}
	return func(ctx context.Context, kind, addr string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		link := [2]place{from, n.places[to]}
		cut := n.cut[link]
		n.mu.Unlock()
		if cut {
			return nil, failCutDial(ctx, link)
		}
		c, err := d.DialContext(ctx, kind, addr)
		if err != nil {
			return nil, err
		}
		return n.track(c, link)
	}
}

// failCutDial fails as a dial over a cut link does: after a time without an answer.
func failCutDial(ctx context.Context, link [2]place) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(cutDialTimeout):
		return fmt.Errorf("no route from %s to %s", link[0], link[1])
	}
}

func (n *network) track(c net.Conn, link [2]place) (net.Conn, error) {
	t := &cutConn{Conn: c, net: n, link: link}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[link] {
		_ = c.Close()
		return nil, fmt.Errorf("no route from %s to %s", link[0], link[1])
	}
	n.conns[t] = struct{}{}
	return t, nil
}

// cutConn is a connection that is closed when its link is cut.
type cutConn struct {
	net.Conn
	net  *network
	link [2]place
}

// Close closes the connection.
func (c *cutConn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}
