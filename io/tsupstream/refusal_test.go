package tsupstream_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const refused = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"

// A refusal whose body did not end held the request until its time was over.
func TestARefusalWithoutEnd(t *testing.T) {
	for name, body := range map[string]string{
		"that stops":            "Content-Length: 10\r\n\r\nabc",
		"in chunks":             "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"without a length":      "\r\nabc",
		"that is very long":     "Content-Length: 100000000\r\n\r\nabc",
		"whose chunk is a line": "Transfer-Encoding: chunked\r\n\r\n3;" + "abc",
	} {
		t.Run(name, func(t *testing.T) {
			s := newRaw(t, func(c net.Conn, _ *http.Request, _ int) bool { return send(t, refused+"Attempt-Id: a\r\n"+body, c) })
			reply, err := newClient().Send(context.Background(), call(s, "a"))
			assert.NilError(t, err)
			began := time.Now()
			reply.Discard()
			assert.Assert(t, time.Since(began) < 500*time.Millisecond, "%s", time.Since(began))
		})
	}
	t.Run("but one that ends keeps its connection", func(t *testing.T) {
		s := newRaw(t, func(c net.Conn, r *http.Request, _ int) bool {
			return send(t, refused+"Attempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nContent-Length: 3\r\n\r\nabc", c)
		})
		c := newClient()
		for _, id := range []string{"a", "b"} {
			reply, err := c.Send(context.Background(), call(s, id))
			assert.NilError(t, err)
			reply.Discard()
		}
		assert.Equal(t, s.accepted.Load(), int32(1))
	})
}
