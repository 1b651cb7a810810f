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

// A request was sent on a kept connection although its caller had left before
// the first byte.
func TestACallWhoseCallerLeftIsNotSent(t *testing.T) {
	const calls = 50
	var requests atomic.Int32
	s := newRaw(t, func(c net.Conn, r *http.Request, _ int) bool {
		requests.Add(1)
		return send(t, ok(r.Header.Get("Attempt-Id"), "x"), c)
	})
	c := newClient()
	for range calls {
		_, err := fetch(c, call(s, "stays"))
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		leaves := call(s, "leaves")
		leaves.Ready = func() (time.Time, error) {
			cancel()
			return time.Time{}, nil
		}
		_, err = c.Send(ctx, leaves)
		assertKind(t, err, turmericshed.KindCanceled)
	}
	assert.Equal(t, requests.Load(), int32(calls), "requests of callers that stayed")
}
