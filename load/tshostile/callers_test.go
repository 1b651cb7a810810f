package tshostile_test

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
)

const (
	// crowdCallers times the largest body is well over the memory of the machine.
	crowdCallers = 60
	// finishing is the share of the callers, one of so many, that send their body to its end.
	finishing = 8
	// missingBytes is how much of its body a caller that stops keeps back.
	missingBytes = 10
	// writeTimeout ends the writing of a caller whose bytes are no longer read.
	writeTimeout = 10 * time.Second
	// stallPeriod is how long the callers that stopped stay connected.
	stallPeriod = 2 * time.Second
	// settlePeriod is how long a process runs, or a crowd sends, before the first ordinary request.
	settlePeriod = 4 * time.Second
	// idleConnections is well over the descriptors.
	idleConnections = 700
)

// crowd is a group of connections to a process.
type crowd struct {
	// receiveBuffer is the size of the callers' receive buffers in bytes, 0 for the usual one.
	receiveBuffer int

	mu       sync.Mutex
	conns    []net.Conn
	isClosed bool
}

// dial opens one connection of the crowd; nil if that fails or the crowd is closed.
func (c *crowd) dial(addr string) net.Conn {
	conn, err := net.DialTimeout("tcp", addr, writeTimeout)
	if err != nil {
		return nil
	}
	if tcp, ok := conn.(*net.TCPConn); ok && c.receiveBuffer > 0 {
		_ = tcp.SetReadBuffer(c.receiveBuffer)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		_ = conn.Close()
		return nil
	}
	c.conns = append(c.conns, conn)
	return conn
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// send runs one caller for each connection at once and waits until all have written what they
// send, then for the stall period. A caller writes its pieces until the gateway closes its
// connection.
func (c *crowd) send(addr string, pieces func(i int) [][]byte) {
	c.sendFrom(crowdCallers, addr, pieces)
}

// sendFrom is send with n callers.
func (c *crowd) sendFrom(n int, addr string, pieces func(i int) [][]byte) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			conn := c.dial(addr)
			if conn == nil {
				return
			}
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			for _, p := range pieces(i) {
				if _, err := conn.Write(p); err != nil {
					return
				}
			}
		})
	}
	all.Wait()
	time.Sleep(stallPeriod)
}

// head returns the head of a request with the given framing header.
func head(framing string) []byte {
	return fmt.Appendf(nil, "POST /look/1 HTTP/1.1\r\nHost: corner.example\r\nAttempt-Id: %s\r\nCredential: k1\r\nDeadline-Remaining: 8000\r\n%s\r\n\r\n", turmericshed.NewID("a-"), framing)
}

func lengthHead(n int) []byte { return head("Content-Length: " + strconv.Itoa(n)) }

func chunkedHead() []byte { return head("Transfer-Encoding: chunked") }

// inPieces cuts data into n pieces of about the same size.
func inPieces(data []byte, n int) (pieces [][]byte) {
	size := (len(data) + n - 1) / n
	for len(data) > 0 {
		k := min(size, len(data))
		pieces = append(pieces, data[:k])
		data = data[k:]
	}
	return pieces
}

// chunked returns size bytes of a body in chunks, without the last chunk.
func chunked(size, chunk int) []byte {
	one := fmt.Appendf(nil, "%x\r\n%s\r\n", chunk, bytes.Repeat([]byte("x"), chunk))
	return bytes.Repeat(one, size/chunk)
}

// chunkedCrowd sends bodies of nearly the largest size in chunks of one size, most without their end.
func chunkedCrowd(t *testing.T, chunk int) {
	g := startWithDesk(t)
	s := startSampler(g.cmd.Process.Pid, g.callerPort)
	var c crowd
	body := chunked(maxBodyBytes-chunk, chunk)
	end := []byte("0\r\n\r\n")
	c.send(g.callerAddr, func(i int) [][]byte {
		pieces := append([][]byte{chunkedHead()}, inPieces(body, 64)...)
		if i%finishing == 0 {
			pieces = append(pieces, end)
		}
		return pieces
	})
	g.assertBounds(s, c.close)
}

// Guards against holding many whole bodies of the largest legal size at once.
func TestManyWholeLargeBodies(t *testing.T) {
	g := startWithDesk(t)
	s := startSampler(g.cmd.Process.Pid, g.callerPort)
	var c crowd
	body := bytes.Repeat([]byte("x"), maxBodyBytes)
	c.send(g.callerAddr, func(int) [][]byte { return [][]byte{lengthHead(maxBodyBytes), body} })
	g.assertBounds(s, c.close)
}

// Guards against holding the bodies of callers that send piece by piece and stop just short of
// the end.
func TestLargeBodiesThatStopShort(t *testing.T) {
	g := startWithDesk(t)
	s := startSampler(g.cmd.Process.Pid, g.callerPort)
	var c crowd
	body := bytes.Repeat([]byte("x"), maxBodyBytes)
	c.send(g.callerAddr, func(i int) [][]byte {
		b := body
		if i%finishing != 0 {
			b = body[:maxBodyBytes-missingBytes]
		}
		return append([][]byte{lengthHead(maxBodyBytes)}, inPieces(b, 64)...)
	})
	g.assertBounds(s, c.close)
}

// Guards against holding bodies without a length that come in large chunks and never end.
func TestLargeChunksThatStopShort(t *testing.T) { chunkedCrowd(t, 64<<10) }

// Guards against holding bodies without a length that come in tiny chunks and never end.
func TestTinyChunksThatStopShort(t *testing.T) { chunkedCrowd(t, 4) }

// overLimitBytes is the size of a body far over the limit.
const overLimitBytes = 8 * maxBodyBytes

// Guards against reading announced bodies that are far over the limit.
func TestAnnouncedBodiesOverTheLimit(t *testing.T) {
	g := startWithDesk(t)
	s := startSampler(g.cmd.Process.Pid, g.callerPort)
	var c crowd
	body := bytes.Repeat([]byte("x"), overLimitBytes)
	c.send(g.callerAddr, func(int) [][]byte { return append([][]byte{lengthHead(overLimitBytes)}, inPieces(body, 64)...) })
	g.assertBounds(s, c.close)
}

// Guards against holding what came of bodies that turn out to be far over the limit.
func TestUnannouncedBodiesOverTheLimit(t *testing.T) {
	g := startWithDesk(t)
	s := startSampler(g.cmd.Process.Pid, g.callerPort)
	var c crowd
	body := chunked(overLimitBytes, 64<<10)
	c.send(g.callerAddr, func(int) [][]byte { return append([][]byte{chunkedHead()}, inPieces(body, 64)...) })
	g.assertBounds(s, c.close)
}

// Guards against connections that use up the descriptors without sending a request.
func TestConnectionsWithoutARequest(t *testing.T) {
	connectionCrowd(t, []byte("POST /look/1 HTTP/1.1\r\nHost: corner.example\r\n"))
}

// Guards against connections that use up the descriptors with small bodies that never end.
func TestConnectionsWithASmallBodyThatStopsShort(t *testing.T) {
	connectionCrowd(t, append(lengthHead(1000), "first bytes"...))
}

// connectionCrowd opens many connections that send the same bytes.
func connectionCrowd(t *testing.T, sent []byte) {
	t.Helper()
	g := startWithDesk(t)
	s := startSampler(g.cmd.Process.Pid, g.callerPort)
	var c crowd
	for range idleConnections {
		conn := c.dial(g.callerAddr)
		if conn == nil {
			break
		}
		_, err := conn.Write(sent)
		_ = err // The gateway may have closed the connection.
	}
	time.Sleep(stallPeriod)
	assert.Assert(t, len(c.conns) > 0)
	g.assertBounds(s, c.close)
}

// Guards against idle connections to the ports for operators that use up the descriptors.
func TestIdleConnectionsToTheOperatorsPorts(t *testing.T) {
	for name, addrOf := range map[string]func(g *gateway) string{
		"readiness": func(g *gateway) string { return g.ready.String() },
		"control":   func(g *gateway) string { return g.control.String() },
	} {
		t.Run(name, func(t *testing.T) {
			g := startWithDesk(t)
			s := startSampler(g.cmd.Process.Pid, g.callerPort)
			var c crowd
			for range idleConnections {
				conn := c.dial(addrOf(g))
				if conn == nil {
					break
				}
				_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
				_ = err // The gateway may have closed the connection.
			}
			time.Sleep(stallPeriod)
			g.awaitReady()
			g.assertBounds(s, c.close)
		})
	}
}
