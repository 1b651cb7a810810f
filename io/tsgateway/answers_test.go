package tsgateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsgateway"
)

// largeAnswer is more than the budget of tinyMachine holds for answers.
var largeAnswer = strings.Repeat("0123456789abcde\n", 20_000)

// newAnswerRig returns a rig whose entry VM can't hold largeAnswer, and a server that sends the
// given answer after its signed head.
func newAnswerRig(t *testing.T, head string, send func(c *net.TCPConn)) *rig {
	r := newRig(t, 1_000_000)
	r.entryVM = r.startWith("vm-tiny", func(cfg *tsgateway.Config) { cfg.Settings.MemoryBytes = tinyMachine })
	r.startScripted(func(c *net.TCPConn, id string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nResponse-Stamp: s\r\nConnection: close\r\n", head, id)
		send(c)
	})
	return r
}

// Guards against losing or adding bytes of an answer that is relayed piecewise, and against
// refusing it.
func TestAnswerBeyondTheMemoryIsRelayed(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"with a length":    fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(largeAnswer), largeAnswer),
		"in chunks":        fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(largeAnswer), largeAnswer),
		"without a length": "\r\n" + largeAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			r := newAnswerRig(t, "200 OK", func(c *net.TCPConn) { _, _ = c.Write([]byte(text)) })
			for _, path := range []string{"/odd-once/1", "/odd-safe/1"} {
				got := r.request(http.MethodGet, path, "")
				assertStatus(t, got, http.StatusOK)
				assert.Assert(t, got.body == largeAnswer, "%d bytes", len(got.body))
			}
			assert.Assert(t, strings.Contains(r.metrics(), "turmericshed_body_bytes_held 0\n"))
		})
	}
}

// Guards against passing on a part of an answer that is relayed piecewise as the whole, and against
// sending its request to another server.
func TestAnswerThatBreaksOffWhileItIsRelayed(t *testing.T) {
	t.Parallel()
	for name, framing := range map[string]string{
		"with a length":    fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*len(largeAnswer)),
		"in chunks":        fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", 2*len(largeAnswer)),
		"without a length": "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r := newAnswerRig(t, "200 OK", func(c *net.TCPConn) {
				_, _ = c.Write([]byte(framing + largeAnswer))
				_ = c.SetLinger(0)
			})
			for _, path := range []string{"/odd-once/1", "/odd-safe/1"} {
				got := r.request(http.MethodGet, path, "")
				assert.Assert(t, got.err != nil || got.status != http.StatusOK, "status %d, %d bytes", got.status, len(got.body))
			}
		})
	}
}

// Guards against holding, or relaying, the body of an error without a bound.
func TestLongBodyOfAnError(t *testing.T) {
	t.Parallel()
	r := newAnswerRig(t, "500 Internal Server Error", func(c *net.TCPConn) {
		_, _ = fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", len(largeAnswer), largeAnswer)
	})
	assertRefused(t, r.request(http.MethodGet, "/odd-once/1", ""), http.StatusBadGateway, turmericshed.OutcomeUnknown)
}
