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

// newLateReader is a server that reads a request's head, and its body from a time
// on. It tells how many bytes of the body came.
func newLateReader(t *testing.T, from func() time.Time) (s turmericshed.BackendServer, came <-chan int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	all := make(chan int64, 1)
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
		time.Sleep(time.Until(from()))
		n, err := io.Copy(io.Discard, r.Body)
		all <- n
		if err == nil {
			_, _ = io.WriteString(c, ok(r.Header.Get("Attempt-Id"), "x"))
		}
	}()
	return turmericshed.BackendServer{ID: "i-1", Addr: netip.MustParseAddrPort(ln.Addr().String())}, all
}

// largeBodySize is more than the buffers of both ends take.
const largeBodySize = 32 << 20

// readyUntil lets a call be sent until a time.
func readyUntil(at time.Time) func() (time.Time, error) {
	return func() (time.Time, error) { return at, nil }
}

// sendLargeBody sends a large body that may be sent until a time.
func sendLargeBody(s turmericshed.BackendServer, before time.Time) error {
	_, err := fetch(newClient(), tsupstream.Call{
		Server: s, ID: "a", Method: http.MethodPost, Target: "/p", Host: "corner.example",
		Header: http.Header{"Attempt-Id": {"a"}}, Body: make([]byte, largeBodySize), Ready: readyUntil(before),
	})
	return err
}

// The end of a request's body was written long after the time until which the
// request might be sent.
func TestBodyThatEndsTooLate(t *testing.T) {
	t.Run("is broken off", func(t *testing.T) {
		t.Parallel()
		before := time.Now().Add(time.Second)
		s, came := newLateReader(t, func() time.Time { return before.Add(300 * time.Millisecond) })
		assertKind(t, sendLargeBody(s, before), turmericshed.KindCallUnknown)
		assert.Assert(t, <-came < largeBodySize, "the whole body came")
	})
	t.Run("is sent whole where it may go on", func(t *testing.T) {
		t.Parallel()
		begun := time.Now()
		s, came := newLateReader(t, func() time.Time { return begun.Add(600 * time.Millisecond) })
		_, err := fetch(newClient(), tsupstream.Call{
			Server: s, ID: "a", Method: http.MethodPost, Target: "/p", Host: "corner.example",
			Header: http.Header{"Attempt-Id": {"a"}}, Body: make([]byte, largeBodySize),
			Ready: func() (time.Time, error) { return time.Now().Add(100 * time.Millisecond), nil },
		})
		assert.NilError(t, err)
		assert.Equal(t, <-came, int64(largeBodySize))
	})
	t.Run("is sent whole where any time will do", func(t *testing.T) {
		t.Parallel()
		s, came := newLateReader(t, func() time.Time { return time.Now().Add(300 * time.Millisecond) })
		assert.NilError(t, sendLargeBody(s, time.Time{}))
		assert.Equal(t, <-came, int64(largeBodySize))
	})
	t.Run("the connection that opened in time is not kept to that time", func(t *testing.T) {
		t.Parallel()
		before := time.Now().Add(time.Second)
		s := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool { return send(t, ok(r.Header.Get("Attempt-Id"), "x"), c) })
		client := newClient()
		first := call(s, "a")
		first.Ready = readyUntil(before)
		_, err := fetch(client, first)
		assert.NilError(t, err)
		time.Sleep(time.Until(before.Add(50 * time.Millisecond)))
		_, err = fetch(client, call(s, "b"))
		assert.NilError(t, err)
		assert.Equal(t, s.accepted.Load(), int32(1))
	})
}

// What a server answers after the time until which the request might be sent is
// as good as before.
func TestAnswerAfterSendDeadline(t *testing.T) {
	t.Parallel()
	before := time.Now().Add(time.Second)
	s := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		time.Sleep(time.Until(before.Add(200 * time.Millisecond)))
		return send(t, ok(r.Header.Get("Attempt-Id"), "x"), c)
	})
	in := call(s, "a")
	in.Ready = readyUntil(before)
	reply, err := newClient().Send(context.Background(), in)
	assert.NilError(t, err)
	got, err := reply.ReadAll()
	assert.NilError(t, err)
	assert.Equal(t, string(got), "x")
}

// Bytes of a request that had been given up went out as soon as the way to its
// server was free again, and the server ran it.
func TestBytesOfACallThatWasGivenUpDoNotLeaveLater(t *testing.T) {
	t.Parallel()
	// size is what the buffers of both ends take, so that all of it is written.
	const size = 2 << 20
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	s, came := newLateReader(t, func() time.Time {
		<-ctx.Done()
		return time.Now().Add(200 * time.Millisecond)
	})
	_, err := newClient().Send(ctx, tsupstream.Call{
		Server: s, ID: "a", Method: http.MethodPost, Target: "/p", Host: "corner.example",
		Header: http.Header{"Attempt-Id": {"a"}}, Body: make([]byte, size),
	})
	assertKind(t, err, turmericshed.KindCallUnknown)
	assert.Assert(t, <-came < size, "the whole request came")
}
