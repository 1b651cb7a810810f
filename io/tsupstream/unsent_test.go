package tsupstream_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
)

// Guards against a request that is sent on a reused connection although its caller
// disconnected before the first byte.
func TestACallWhoseCallerLeftIsNotSent(t *testing.T) {
	const calls = 50
	var requests atomic.Int32
	s := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		requests.Add(1)
		return send(t, ok(r.Header.Get("Attempt-Id"), "x"), c)
	})
	c := newClient()
	for range calls {
		_, err := fetch(c, call(s, "stays"))
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		canceled := call(s, "leaves")
		canceled.BeforeSend = func() (time.Time, error) {
			cancel()
			return time.Time{}, nil
		}
		_, err = c.Send(ctx, canceled)
		assertKind(t, err, turmericshed.KindCanceled)
	}
	assert.Equal(t, requests.Load(), int32(calls), "requests of callers that stayed")
}

// Guards against a connection that outlives its server's keep-alive time: a call that
// acquired the connection but was not sent must not count as a use of it.
func TestAConnectionThatIsNotUsedStaysIdle(t *testing.T) {
	const idle = 300 * time.Millisecond
	s := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		id := r.Header.Get("Attempt-Id")
		return send(t, "HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nKeep-Alive: timeout=0.5\r\nContent-Length: 0\r\n\r\n", c)
	})
	c := newClient()
	_, err := fetch(c, call(s, "a"))
	assert.NilError(t, err)
	unsent := call(s, "b")
	unsent.BeforeSend = func() (time.Time, error) {
		return time.Time{}, turmericshed.NewError(turmericshed.KindNoBackend, "not now")
	}
	for range 3 {
		time.Sleep(idle / 2)
		_, err := fetch(c, unsent)
		assertKind(t, err, turmericshed.KindNoBackend)
	}
	_, err = fetch(c, call(s, "c"))
	assert.NilError(t, err)
	assert.Equal(t, s.accepted.Load(), int32(2), "connections")
}
