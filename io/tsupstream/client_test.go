package tsupstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsupstream"
	"turmericshed/platform"
)

// rawServer is a TCP server whose handler writes the bytes of its answers itself.
type rawServer struct {
	ln       net.Listener
	accepted atomic.Int32
}

// newRawServer starts a server that calls answer with each request of a connection and the
// request's number on it, until answer returns false; then it closes the connection.
func newRawServer(t *testing.T, answer func(c net.Conn, r *http.Request, n int) bool) *rawServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := &rawServer{ln: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				for n := 1; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil || !answer(c, r, n) {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
				}
			}()
		}
	}()
	return s
}

func (s *rawServer) server() turmericshed.BackendServer {
	return turmericshed.BackendServer{ID: "i-1", Addr: netip.MustParseAddrPort(s.ln.Addr().String())}
}

// call returns a POST request to the server with the id.
func call(s *rawServer, id string) tsupstream.Call {
	return tsupstream.Call{
		Server: s.server(), ID: turmericshed.RequestID(id), Method: http.MethodPost, Target: "/p?q=1", Host: "corner.example",
		Header: http.Header{"Attempt-Id": {id}}, Body: [][]byte{[]byte("body")},
	}
}

// ok returns the bytes of a signed 200 answer to the request id.
func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// send writes s to the connection and reports whether that succeeded.
func send(t *testing.T, s string, c net.Conn) bool {
	t.Helper()
	_, err := io.WriteString(c, s)
	return err == nil
}

// fetch sends the call and returns the complete body.
func fetch(c *tsupstream.Client, call tsupstream.Call) (string, error) {
	reply, err := c.Send(context.Background(), call)
	if err != nil {
		return "", err
	}
	data, err := reply.ReadAll()
	return string(data), err
}

func assertKind(t *testing.T, err error, want turmericshed.Kind) {
	t.Helper()
	assert.Equal(t, turmericshed.KindOf(err), want, "%v", err)
}

func newClient() *tsupstream.Client {
	return tsupstream.New(tsupstream.Config{Codec: platform.Codec{}})
}

func TestConnectionsAreReused(t *testing.T) {
	s := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool { return send(t, ok(r.Header.Get("Attempt-Id"), "x"), c) })
	c := newClient()
	for i := range 3 {
		got, err := fetch(c, call(s, fmt.Sprint("a", i)))
		assert.NilError(t, err)
		assert.Equal(t, got, "x")
	}
	assert.Equal(t, s.accepted.Load(), int32(1))
}

func TestRequestBytes(t *testing.T) {
	var line, host, length string
	s := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		line, host, length = r.Method+" "+r.RequestURI, r.Host, r.Header.Get("Content-Length")
		return send(t, ok("a", ""), c)
	})
	_, err := fetch(newClient(), call(s, "a"))
	assert.NilError(t, err)
	assert.Equal(t, line, "POST /p?q=1")
	assert.Equal(t, host, "corner.example")
	assert.Equal(t, length, "4")
}

func TestInvalidAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"for another request":    ok("b", "x"),
		"not HTTP":               "hello\r\n\r\n",
		"cut off in the headers": "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nConte",
		"cut off in the body":    "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 9\r\n\r\nx",
		"cut off in a chunk":     "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
		"nothing":                "",
	} {
		t.Run(name, func(t *testing.T) {
			s := newRawServer(t, func(c net.Conn, _ *http.Request, _ int) bool { send(t, answer, c); return false })
			_, err := fetch(newClient(), call(s, "a"))
			assertKind(t, err, turmericshed.KindCallUnknown)
		})
	}
	t.Run("an answer without a length is complete when its connection closes", func(t *testing.T) {
		s := newRawServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
			send(t, "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\nwhole", c)
			return false
		})
		got, err := fetch(newClient(), call(s, "a"))
		assert.NilError(t, err)
		assert.Equal(t, got, "whole")
	})
	t.Run("an answer without a length is incomplete when its connection is reset", func(t *testing.T) {
		s := newRawServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
			send(t, "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\nwho", c)
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		})
		_, err := fetch(newClient(), call(s, "a"))
		assertKind(t, err, turmericshed.KindCallUnknown)
	})
}

func TestExtraBytesAfterAnAnswerAreDropped(t *testing.T) {
	s := newRawServer(t, func(c net.Conn, r *http.Request, n int) bool {
		id := r.Header.Get("Attempt-Id")
		if n == 1 && id == "a" {
			return send(t, ok(id, "x")+ok("late", "y"), c)
		}
		return send(t, ok(id, "x"), c)
	})
	c := newClient()
	_, err := fetch(c, call(s, "a"))
	assert.NilError(t, err)
	got, err := fetch(c, call(s, "b"))
	assert.NilError(t, err)
	assert.Equal(t, got, "x")
	assert.Equal(t, s.accepted.Load(), int32(2))
}

func TestAConnectionThatTheServerClosedIsNotUsed(t *testing.T) {
	s := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		send(t, ok(r.Header.Get("Attempt-Id"), "x"), c)
		return false
	})
	c := newClient()
	for _, id := range []string{"a", "b", "c"} {
		_, err := fetch(c, call(s, id))
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
}

func TestClientDoesNotRetry(t *testing.T) {
	var requests atomic.Int32
	s := newRawServer(t, func(c net.Conn, r *http.Request, n int) bool {
		requests.Add(1)
		if n == 1 {
			return send(t, ok(r.Header.Get("Attempt-Id"), "x"), c)
		}
		return false
	})
	c := newClient()
	_, err := fetch(c, call(s, "a"))
	assert.NilError(t, err)
	get := call(s, "b")
	get.Method, get.Body = http.MethodGet, nil
	_, err = fetch(c, get)
	assertKind(t, err, turmericshed.KindCallUnknown)
	assert.Equal(t, requests.Load(), int32(2))
}

func TestNoConnectionMeansNotSent(t *testing.T) {
	s := newRawServer(t, nil)
	server := call(s, "a")
	assert.NilError(t, s.ln.Close())
	_, err := fetch(newClient(), server)
	assertKind(t, err, turmericshed.KindNoBackend)
}

func TestACallWhoseTimeIsOverIsNotSent(t *testing.T) {
	var requests atomic.Int32
	s := newRawServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
		requests.Add(1)
		return send(t, ok("a", "late"), c)
	})
	late := call(s, "a")
	late.BeforeSend = func() (time.Time, error) {
		return time.Time{}, turmericshed.NewError(turmericshed.KindNoBackend, "too late")
	}
	_, err := fetch(newClient(), late)
	assertKind(t, err, turmericshed.KindNoBackend)
	late.BeforeSend = func() (time.Time, error) { return time.Now().Add(time.Hour), nil }
	_, err = fetch(newClient(), late)
	assert.NilError(t, err)
	assert.Equal(t, requests.Load(), int32(1))
}

func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	s := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		<-release
		return send(t, ok(r.Header.Get("Attempt-Id"), "x"), c)
	})
	c := newClient()
	bounded := call(s, "a")
	bounded.MaxConnections = 1
	done := make(chan error)
	go func() { _, err := fetch(c, bounded); done <- err }()
	for s.accepted.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := fetch(c, bounded)
	assertKind(t, err, turmericshed.KindOverloaded)
	close(release)
	assert.NilError(t, <-done)
	_, err = fetch(c, bounded)
	assert.NilError(t, err)
}

func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	s := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		// The server reads the body only after it has sent the answer.
		return send(t, ok(r.Header.Get("Attempt-Id"), "early"), c)
	})
	long := call(s, "a")
	long.Body = [][]byte{[]byte(strings.Repeat("x", 8<<20))}
	got, err := fetch(newClient(), long)
	assert.NilError(t, err)
	assert.Equal(t, got, "early")
}

func TestCancellationClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	s := newRawServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
		var p [1]byte
		_, _ = c.Read(p[:])
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := newClient().Send(ctx, call(s, "a"))
	assertKind(t, err, turmericshed.KindCallUnknown)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the server's connection is still open")
	}
}

func TestRestartedServerGetsNewConnections(t *testing.T) {
	s := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool { return send(t, ok(r.Header.Get("Attempt-Id"), "x"), c) })
	c := newClient()
	first := call(s, "a")
	_, err := fetch(c, first)
	assert.NilError(t, err)
	first.Server.Started = time.UnixMilli(5)
	_, err = fetch(c, first)
	assert.NilError(t, err)
	assert.Equal(t, s.accepted.Load(), int32(2))
}

// readCounter counts the bytes that the client reads. Those that remain in the socket
// buffers of both ends are not counted.
type readCounter struct {
	net.Conn
	n *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c readCounter) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// countReads returns a Dial whose connections add the bytes read to n.
func countReads(n *atomic.Int64) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := tsupstream.Dial(ctx, network, addr)
		return readCounter{c, n}, err
	}
}

// Guards against unbounded reading: a faulty server sends bytes until its connection is
// closed, in each part of an answer.
func TestEndlessAnswer(t *testing.T) {
	const maxRead = 32 << 20
	for name, c := range map[string]struct{ start, repeated string }{
		"in a header's line":       {"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nX: ", strings.Repeat("x", 32<<10)},
		"in headers":               {"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n", strings.Repeat("X-Y: z\r\n", 4<<10)},
		"in the status line":       {"HTTP/1.1 200 ", strings.Repeat("x", 32<<10)},
		"in informational answers": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 1<<10)},
		"in a body":                {"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\n", strings.Repeat("x", 32<<10)},
		"in a chunk's extension":   {"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5;", strings.Repeat("x", 32<<10)},
		"in a trailer":             {"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-Y: z\r\n", 4<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			s := newRawServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				n := 0
				for ok := send(t, c.start, conn); ok && n < 4*maxRead; ok = send(t, c.repeated, conn) {
					n += len(c.repeated)
				}
				sent <- n
				return false
			})
			var read atomic.Int64
			client := tsupstream.New(tsupstream.Config{Codec: platform.Codec{}, Dial: countReads(&read)})
			began := time.Now()
			_, err := fetch(client, call(s, "a"))
			assertKind(t, err, turmericshed.KindCallUnknown)
			assert.Assert(t, read.Load() < maxRead, "%d MB were read in %s", read.Load()>>20, time.Since(began))
			assert.Assert(t, <-sent < 4*maxRead, "the connection was not closed")
		})
	}
}

// lateWriter is a connection whose writes return a while after their bytes were sent.
type lateWriter struct{ net.Conn }

func (c lateWriter) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	time.Sleep(40 * time.Millisecond)
	return n, err
}

// Guards against taking a whole answer without a length for an incomplete one: the server has read
// the request and answers before the writer of the request has noticed that it is done.
func TestUnframedAnswerBeforeTheWriteReturns(t *testing.T) {
	s := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		send(t, "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nResponse-Stamp: s\r\n\r\nwhole", c)
		return false
	})
	c := tsupstream.New(tsupstream.Config{Codec: platform.Codec{}, Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := tsupstream.Dial(ctx, network, addr)
		return lateWriter{conn}, err
	}})
	large := call(s, "1")
	large.Body = [][]byte{make([]byte, 100<<10)}
	reply, err := c.Send(t.Context(), large)
	assert.NilError(t, err)
	parts, isWhole, err := reply.ReadBody(nil, 1000)
	assert.NilError(t, err)
	assert.Assert(t, isWhole)
	assert.Equal(t, string(parts[0]), "whole")
	assert.Assert(t, !reply.EndedEarly(t.Context()))
}
