package tsupstream_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against taking the head of an answer for complete when its server terminated
// within it.
func TestHeadCutOffLooksComplete(t *testing.T) {
	for name, head := range map[string]string{
		"a length":                    "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Stamp: s\r\nContent-Length: 100\r\n\r\n",
		"no length":                   "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Stamp: s\r\n\r\n",
		"lines that end with LF":      "HTTP/1.1 200 OK\nAttempt-Id: a\nResponse-Stamp: s\n\n",
		"folded lines":                "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Stamp: s\r\nX: b\r\n c\r\n\td\r\n\r\n",
		"an informational head first": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Stamp: s\r\n\r\n",
		"HTTP/1.0":                    "HTTP/1.0 200 OK\r\nAttempt-Id: a\r\nResponse-Stamp: s\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var cut atomic.Int64
			s := newRawServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
				send(t, head[:cut.Load()], c)
				return false
			})
			c := newClient()
			var accepted []string
			for n := range len(head) {
				cut.Store(int64(n))
				reply, err := c.Send(t.Context(), call(s, "a"))
				if err != nil {
					continue
				}
				body, err := reply.ReadAll()
				accepted = append(accepted, fmt.Sprintf("%q: %q, %v", head[:n], body, err))
			}
			assert.Equal(t, len(accepted), 0, "%s", strings.Join(accepted, "\n"))
		})
	}
}
