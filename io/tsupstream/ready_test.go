package tsupstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsupstream"
)

// newLateReader starts a server that reads the headers of one request at once and its body
// at the time that readBodyAt returns. bodyBytes receives the number of body bytes that arrived.
func newLateReader(t *testing.T, readBodyAt func() time.Time) (s turmericshed.BackendServer, bodyBytes <-chan int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	received := make(chan int64, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		time.Sleep(time.Until(readBodyAt()))
		n, err := io.Copy(io.Discard, r.Body)
		received <- n
		if err == nil {
			_, _ = io.WriteString(c, ok(r.Header.Get("Attempt-Id"), "x"))
		}
	}()
	return turmericshed.BackendServer{ID: "i-1", Addr: netip.MustParseAddrPort(ln.Addr().String())}, received
}

// largeBodySize is more than the socket buffers of both ends hold.
const largeBodySize = 32 << 20

// readyUntil returns a Call.BeforeSend that always returns the same deadline.
func readyUntil(at time.Time) func() (time.Time, error) {
	return func() (time.Time, error) { return at, nil }
}

// sendLargeBody sends a request with a large body and a deadline for its last byte.
func sendLargeBody(s turmericshed.BackendServer, deadline time.Time) error {
	_, err := fetch(newClient(), tsupstream.Call{
		Server: s, ID: "a", Method: http.MethodPost, Target: "/p", Host: "corner.example",
		Header: http.Header{"Attempt-Id": {"a"}}, Body: [][]byte{make([]byte, largeBodySize)}, BeforeSend: readyUntil(deadline),
	})
	return err
}

// Guards against a body whose last bytes are written long after the deadline by which the
// request had to be sent.
func TestBodyThatEndsTooLate(t *testing.T) {
	t.Run("a body that is not sent by the send deadline is cut off", func(t *testing.T) {
		t.Parallel()
		deadline := time.Now().Add(time.Second)
		s, bodyBytes := newLateReader(t, func() time.Time { return deadline.Add(300 * time.Millisecond) })
		assertKind(t, sendLargeBody(s, deadline), turmericshed.KindCallUnknown)
		assert.Assert(t, <-bodyBytes < largeBodySize, "the complete body arrived")
	})
	t.Run("a body whose send deadline is extended is sent completely", func(t *testing.T) {
		t.Parallel()
		start := time.Now()
		s, bodyBytes := newLateReader(t, func() time.Time { return start.Add(600 * time.Millisecond) })
		_, err := fetch(newClient(), tsupstream.Call{
			Server: s, ID: "a", Method: http.MethodPost, Target: "/p", Host: "corner.example",
			Header: http.Header{"Attempt-Id": {"a"}}, Body: [][]byte{make([]byte, largeBodySize)},
			BeforeSend: func() (time.Time, error) { return time.Now().Add(100 * time.Millisecond), nil },
		})
		assert.NilError(t, err)
		assert.Equal(t, <-bodyBytes, int64(largeBodySize))
	})
	t.Run("a request without a send deadline is sent completely", func(t *testing.T) {
		t.Parallel()
		s, bodyBytes := newLateReader(t, func() time.Time { return time.Now().Add(300 * time.Millisecond) })
		assert.NilError(t, sendLargeBody(s, time.Time{}))
		assert.Equal(t, <-bodyBytes, int64(largeBodySize))
	})
	t.Run("the send deadline does not apply to later requests on the connection", func(t *testing.T) {
		t.Parallel()
		deadline := time.Now().Add(time.Second)
		s := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool { return send(t, ok(r.Header.Get("Attempt-Id"), "x"), c) })
		client := newClient()
		first := call(s, "a")
		first.BeforeSend = readyUntil(deadline)
		_, err := fetch(client, first)
		assert.NilError(t, err)
		time.Sleep(time.Until(deadline.Add(50 * time.Millisecond)))
		_, err = fetch(client, call(s, "b"))
		assert.NilError(t, err)
		assert.Equal(t, s.accepted.Load(), int32(1))
	})
}

// Checks that an answer is accepted after the deadline: the deadline applies only to the
// sending of the request.
func TestAnswerAfterSendDeadline(t *testing.T) {
	t.Parallel()
	deadline := time.Now().Add(time.Second)
	s := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		time.Sleep(time.Until(deadline.Add(200 * time.Millisecond)))
		return send(t, ok(r.Header.Get("Attempt-Id"), "x"), c)
	})
	request := call(s, "a")
	request.BeforeSend = readyUntil(deadline)
	reply, err := newClient().Send(context.Background(), request)
	assert.NilError(t, err)
	got, err := reply.ReadAll()
	assert.NilError(t, err)
	assert.Equal(t, string(got), "x")
}

// Guards against buffered bytes of a canceled request that reach the server as soon as it
// reads again, so that it runs the request.
func TestBytesOfACallThatWasGivenUpDoNotLeaveLater(t *testing.T) {
	t.Parallel()
	// size fits into the socket buffers of both ends, so that all of it is written at once.
	const size = 2 << 20
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	s, bodyBytes := newLateReader(t, func() time.Time {
		<-ctx.Done()
		return time.Now().Add(200 * time.Millisecond)
	})
	_, err := newClient().Send(ctx, tsupstream.Call{
		Server: s, ID: "a", Method: http.MethodPost, Target: "/p", Host: "corner.example",
		Header: http.Header{"Attempt-Id": {"a"}}, Body: [][]byte{make([]byte, size)},
	})
	assertKind(t, err, turmericshed.KindCallUnknown)
	assert.Assert(t, <-bodyBytes < size, "the whole request came")
}
