//go:build review

package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards channels to one address. While it is cut, it resets all of them.
type proxy struct {
	ln net.Listener
	to string

	mu    sync.Mutex
	isCut bool
	open  map[net.Conn]bool
}

// startProxy starts a proxy to an address.
func startProxy(to string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, to: to, open: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

// forward copies both directions of a channel until one of them ends.
func (p *proxy) forward(c net.Conn) {
	d, err := net.Dial("tcp", p.to)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	if p.isCut {
		p.mu.Unlock()
		reset(c)
		_ = d.Close()
		return
	}
	p.open[c], p.open[d] = true, true
	p.mu.Unlock()
	var ends sync.WaitGroup
	ends.Go(func() { p.copy(c, d) })
	ends.Go(func() { p.copy(d, c) })
	ends.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
	delete(p.open, d)
}

func (p *proxy) copy(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// cut resets all channels and those that are opened later, until heal.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = true
	for c := range p.open {
		reset(c)
	}
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = false
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
