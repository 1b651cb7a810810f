package tsrelay_test

import (
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

	"turmericshed/io/tsrelay"
	"turmericshed/standin/tsmetastore"
)

// settleTime is how long a wrongly sent request may take to reach a server.
const settleTime = 100 * time.Millisecond

// openConnections makes the relay open a connection to each backend server, which later
// requests reuse.
func (s *relayFixture) openConnections() {
	for s.arrivals() < 2 || len(s.backends[0].Arrivals()) == 0 || len(s.backends[1].Arrivals()) == 0 {
		assert.Equal(s.t, s.post(), http.StatusOK)
	}
}

func (s *relayFixture) arrivals() (n int) {
	for _, b := range s.backends {
		n += len(b.Arrivals())
	}
	return n
}

// postWithContext sends a request whose caller disconnects when ctx ends, and waits until
// it ends.
func (s *relayFixture) postWithContext(ctx context.Context) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+"/find/1", strings.NewReader("frame"))
	assert.NilError(s.t, err)
	req.Host = "corner.example"
	for k, v := range map[string]string{"Attempt-Id": "gone", "Credential": "k1", "Deadline-Remaining": "4000", "Token-Counts": "10,5"} {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// Guards against a request that is sent to a server although its caller disconnected while
// the request waited.
func TestCallersThatLeaveWhileTheirRequestWaits(t *testing.T) {
	for _, at := range []waitPoint{forTokens, forTurn, forPermit} {
		t.Run(fmt.Sprintf("for %s are not sent on", at), func(t *testing.T) {
			s := newRelayFixture(t, "", 0)
			s.openConnections()
			before := s.arrivals()
			ctx, disconnect := context.WithCancel(t.Context())
			s.waitPoints.hookAt = at
			s.waitPoints.hook = func() {
				disconnect()
				time.Sleep(settleTime)
			}
			s.postWithContext(ctx)
			time.Sleep(3 * settleTime)
			assert.Equal(t, s.arrivals(), before, "requests that reached the servers")
		})
	}
	t.Run("for a silent server get no second attempt", func(t *testing.T) {
		s := newRelayFixture(t, "", 0)
		s.openConnections()
		before := s.arrivals()
		for _, b := range s.backends {
			b.SetBehaviour(tsmetastore.BehaveSilent)
		}
		ctx, disconnect := context.WithCancel(t.Context())
		time.AfterFunc(settleTime, disconnect)
		s.postWithContext(ctx)
		time.Sleep(3 * settleTime)
		assert.Equal(t, s.arrivals(), before+1, "requests that reached the servers")
		assert.Equal(t, s.backends[0].Canceled()+s.backends[1].Canceled(), 1, "requests that were cancelled at their server")
	})
}

// slowListener delays every accepted connection, as on a VM that is slow or was paused.
type slowListener struct {
	net.Listener
	delay time.Duration
}

// Accept waits for a connection and returns it after the delay.
func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		time.Sleep(l.delay)
	}
	return c, err
}

// Guards against a slow entry VM that reads requests whose callers disconnected long before
// and sends them to servers.
func TestCallersThatLeftBeforeTheirRequestWasRead(t *testing.T) {
	const callers = 20
	head := func(id string) string {
		return "POST /find/1 HTTP/1.1\r\nHost: corner.example\r\nCredential: k1\r\nDeadline-Remaining: 4000\r\nToken-Counts: 10,5\r\nAttempt-Id: " + id + "\r\nContent-Length: 5\r\n\r\nframe"
	}
	for name, disconnect := range map[string]func(c *net.TCPConn) error{
		"closed their connections":     func(c *net.TCPConn) error { return c.Close() },
		"closed only their write side": func(c *net.TCPConn) error { return c.CloseWrite() },
		"closed them in the middle of a next request": func(c *net.TCPConn) error {
			if _, err := io.WriteString(c, "GET /find/2 HTTP/1.1\r\n"); err != nil {
				return err
			}
			return c.Close()
		},
		"reset them": func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRelayFixture(t, "", 0)
			s.openConnections()
			before := s.arrivals()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			server := tsrelay.NewServer(s.relay, slog.New(slog.DiscardHandler))
			go func() { _ = server.Serve(ctx, slowListener{ln, 20 * time.Millisecond}, time.Second) }()
			defer func() { _ = server.Close() }()
			for i := range callers {
				c, err := net.Dial("tcp", ln.Addr().String()) //nolint:noctx // loopback, in a test.
				assert.NilError(t, err)
				_, err = io.WriteString(c, head(fmt.Sprint("left-", i)))
				assert.NilError(t, err)
				assert.NilError(t, disconnect(c.(*net.TCPConn)))
			}
			time.Sleep(callers*20*time.Millisecond + 3*settleTime)
			assert.Equal(t, s.arrivals(), before, "requests that reached the servers")
		})
	}
}

// Guards against a disconnect that is not detected because the caller has already sent bytes
// of a pipelined request: the server then continues to work on the request.
func TestCallersThatLeaveAfterBytesOfTheirNextRequest(t *testing.T) {
	s := newRelayFixture(t, "", 0)
	s.setBehaviour(tsmetastore.BehaveSilent)
	c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://")) //nolint:noctx // loopback, in a test.
	assert.NilError(t, err)
	_, err = io.WriteString(c, "POST /find/1 HTTP/1.1\r\nHost: corner.example\r\nCredential: k1\r\nDeadline-Remaining: 4000\r\nToken-Counts: 10,5\r\nAttempt-Id: gone\r\nContent-Length: 5\r\n\r\nframe")
	assert.NilError(t, err)
	time.Sleep(settleTime)
	_, err = io.WriteString(c, "GET /find/2 HTTP/1.1\r\n")
	assert.NilError(t, err)
	time.Sleep(settleTime)
	assert.NilError(t, c.Close())
	time.Sleep(5 * settleTime)
	assert.Equal(t, s.backends[0].Canceled()+s.backends[1].Canceled(), 1, "requests that were cancelled at their server half a second later")
}
