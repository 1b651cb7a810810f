package tsupstream_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
)

// refusal is the start of a refusal, without the end of its headers.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"

// Guards against a refusal that is attributed to the wrong request: on a reused connection
// a server sends a refusal of an earlier request while it already runs the current one.
func TestRepeatedEarlierRefusal(t *testing.T) {
	replay := func(t *testing.T, second string) error {
		t.Helper()
		s := newRawServer(t, func(c net.Conn, r *http.Request, n int) bool {
			if n == 1 {
				return send(t, ok(r.Header.Get("Attempt-Id"), "x"), c)
			}
			send(t, second, c)
			return true
		})
		c := newClient()
		_, err := fetch(c, call(s, "a"))
		assert.NilError(t, err)
		reply, err := c.Send(context.Background(), call(s, "b"))
		if err == nil {
			assert.Assert(t, reply.Info.NotRun)
			reply.Close()
		}
		return err
	}
	for name, second := range map[string]string{
		"with the earlier id":                     refusal + "Attempt-Id: a\r\nContent-Length: 0\r\n\r\n",
		"without an id":                           refusal + "Content-Length: 0\r\n\r\n",
		"without an id, for another server":       "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"without an id, as too many":              "HTTP/1.1 429 Too Many Requests\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"without an id, from one that is leaving": refusal + "Server-Leaving: 1\r\nRetry-After: 5\r\nServer-Limit: 0.1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { assertKind(t, replay(t, second), turmericshed.KindCallUnknown) })
	}
	t.Run("a refusal with the request's own id is accepted", func(t *testing.T) {
		assert.NilError(t, replay(t, refusal+"Attempt-Id: b\r\nContent-Length: 0\r\n\r\n"))
	})
	t.Run("the first answer on a connection is accepted without an id", func(t *testing.T) {
		s := newRawServer(t, func(c net.Conn, _ *http.Request, _ int) bool { return send(t, refusal+"Content-Length: 0\r\n\r\n", c) })
		reply, err := newClient().Send(context.Background(), call(s, "a"))
		assert.NilError(t, err)
		assert.Assert(t, reply.Info.NotRun)
		reply.Close()
	})
}

// Guards against a refusal whose body does not end, which blocked the request until its
// time limit.
func TestDiscardOfAnUnfinishedRefusal(t *testing.T) {
	for name, body := range map[string]string{
		"that stops":            "Content-Length: 10\r\n\r\nabc",
		"in chunks":             "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"without a length":      "\r\nabc",
		"that is very long":     "Content-Length: 100000000\r\n\r\nabc",
		"whose chunk is a line": "Transfer-Encoding: chunked\r\n\r\n3;" + "abc",
	} {
		t.Run(name, func(t *testing.T) {
			s := newRawServer(t, func(c net.Conn, _ *http.Request, _ int) bool { return send(t, refusal+"Attempt-Id: a\r\n"+body, c) })
			reply, err := newClient().Send(context.Background(), call(s, "a"))
			assert.NilError(t, err)
			began := time.Now()
			reply.Discard()
			assert.Assert(t, time.Since(began) < 500*time.Millisecond, "%s", time.Since(began))
		})
	}
	t.Run("a complete refusal keeps its connection open", func(t *testing.T) {
		s := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool {
			return send(t, refusal+"Attempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nContent-Length: 3\r\n\r\nabc", c)
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
