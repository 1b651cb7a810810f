package tsrelay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed/core/tstable"
	"turmericshed/io/tsrelay"
	"turmericshed/platform"
)

// setIdleTimeout sets a routing table with the idle timeout.
func (s *relayFixture) setIdleTimeout(version int, d time.Duration) {
	s.t.Helper()
	doc := strings.Replace(sendTable, `{"version":1,`, fmt.Sprintf(`{"version":%d,"limits":{"idleTimeoutMs":%d},`, version, d.Milliseconds()), 1)
	table, err := platform.DecodeTable([]byte(doc))
	assert.NilError(s.t, err)
	s.relay.SetTable(tstable.New(table))
}

// keptConn is a caller's connection for several requests.
type keptConn struct {
	net.Conn
	r *bufio.Reader
}

func (s *relayFixture) connect(addr string) *keptConn {
	s.t.Helper()
	c, err := net.Dial("tcp", addr) //nolint:noctx // loopback, in a test.
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	return &keptConn{c, bufio.NewReader(c)}
}

// assertServed sends a request on the connection and checks that it is served.
func (c *keptConn) assertServed(t *testing.T) {
	t.Helper()
	c.assertAnswered(t, http.StatusOK)
}

// assertAnswered sends a request on the connection and checks the status of the answer.
func (c *keptConn) assertAnswered(t *testing.T, status int) {
	t.Helper()
	_, err := io.WriteString(c, "POST /find/1 HTTP/1.1\r\nHost: corner.example\r\nAttempt-Id: a\r\nCredential: k1\r\nDeadline-Remaining: 4000\r\nToken-Counts: 10,5\r\nContent-Length: 5\r\n\r\nframe")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(c.r, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, status)
}

// assertClosed waits until the connection is closed.
func (c *keptConn) assertClosed(t *testing.T, within time.Duration) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(within)))
	_, err := c.r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against idle connections that are closed while the next request is on its way: on a
// congested link it takes seconds, and callers use a connection until shortly before the idle timeout
// that they know.
func TestIdleConnectionsAreClosedUnderRequestsOnTheirWay(t *testing.T) {
	t.Run("on a congested link", func(t *testing.T) {
		const idleTimeout = 400 * time.Millisecond
		s := newRelayFixture(t, "", 0)
		s.setIdleTimeout(1, idleTimeout)
		c := s.connect(s.listen())
		c.assertServed(t)
		s.waitPoints.isCongested.Store(true)
		time.Sleep(4 * idleTimeout)
		c.assertServed(t)
		s.waitPoints.isCongested.Store(false)
		c.assertClosed(t, 5*time.Second)
	})
	t.Run("at a stop on a congested link", func(t *testing.T) {
		const stopTimeout = 4 * time.Second
		s := newRelayFixture(t, "", 0)
		ln, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // loopback, in a test.
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- tsrelay.NewServer(s.relay, slog.New(slog.DiscardHandler)).Serve(ctx, ln, stopTimeout) }()
		c := s.connect(ln.Addr().String())
		c.assertServed(t)
		s.waitPoints.isCongested.Store(true)
		stop()
		// The listener is closed after half of the time.
		time.Sleep(stopTimeout * 5 / 8)
		c.assertAnswered(t, http.StatusServiceUnavailable)
		c.assertClosed(t, time.Second)
		assert.NilError(t, <-ended)
	})
	t.Run("right after the timeout was lowered", func(t *testing.T) {
		const lowered = 1500 * time.Millisecond
		s := newRelayFixture(t, "", 0)
		s.setIdleTimeout(1, time.Minute)
		c := s.connect(s.listen())
		c.assertServed(t)
		time.Sleep(lowered)
		s.setIdleTimeout(2, lowered)
		time.Sleep(lowered / 2)
		c.assertServed(t)
		c.assertClosed(t, 5*time.Second)
	})
}
