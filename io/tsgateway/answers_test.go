package tsgateway_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsgateway"
	"turmericshed/platform"
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

// listScriptedTwice lists the server of startScripted under a second name and address, and waits
// until a request for path, which has to succeed, has reached it there.
func (r *rig) listScriptedTwice(path string) {
	r.t.Helper()
	item, ok := r.store.Get(platform.ServerPrefix + "odd-0")
	assert.Assert(r.t, ok)
	var entry struct{ Address string }
	assert.NilError(r.t, json.Unmarshal(item.Value, &entry))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = ln.Close() })
	var accepted atomic.Int32
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go forward(c, entry.Address)
		}
	}()
	r.store.Put(platform.ServerPrefix+"odd-1", []byte(strings.Replace(string(item.Value), entry.Address, ln.Addr().String(), 1)))
	r.eventually("the second address is used", func() bool {
		_ = r.request(http.MethodGet, path, "")
		return accepted.Load() > 0
	})
}

// forward copies the bytes between c and a connection to the address, until the latter ends.
func forward(c net.Conn, address string) {
	defer func() { _ = c.Close() }()
	s, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	go func() { _, _ = io.Copy(s, c) }()
	_, _ = io.Copy(c, s)
}

// Guards against counting the answer of a failed attempt until its request ends, so that the next
// attempt's answer is not held and can't be replaced.
func TestFailedAnswerFreesItsMemory(t *testing.T) {
	t.Parallel()
	var attempts atomic.Int32
	var breaksFirst atomic.Bool
	// The blocks of two such answers are more than the budget holds.
	half := largeAnswer[:29_000]
	r := newAnswerRig(t, "200 OK", func(c *net.TCPConn) {
		_, _ = fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", 2*len(half), half)
		if attempts.Add(1) > 1 || !breaksFirst.Load() {
			_, _ = c.Write([]byte(half))
		}
	})
	r.listScriptedTwice("/odd-safe/1")
	attempts.Store(0)
	breaksFirst.Store(true)
	got := r.request(http.MethodGet, "/odd-safe/1", "")
	assertStatus(t, got, http.StatusOK)
	assert.Assert(t, got.body == half+half, "%d bytes", len(got.body))
	assert.Equal(t, attempts.Load(), int32(2))
	assert.Assert(t, !strings.Contains(r.metrics(), `turmericshed_bodies_refused_total{reason="answer"}`), "both answers are held")
}

// Guards against running a request again whose answer can't be relayed any more, since a part of
// an error was relayed on a route of streams.
func TestErrorThatBreaksOffOnARouteOfStreamsIsNotRepeated(t *testing.T) {
	t.Parallel()
	var attempts atomic.Int32
	var isLong atomic.Bool
	r := newAnswerRig(t, "404 Not Found", func(c *net.TCPConn) {
		attempts.Add(1)
		if !isLong.Load() {
			_, _ = c.Write([]byte("Content-Length: 0\r\n\r\n"))
			return
		}
		_, _ = fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", 2*len(largeAnswer), largeAnswer)
	})
	item, ok := r.store.Get(platform.TableKey)
	assert.Assert(t, ok)
	table := strings.Replace(string(item.Value), fmt.Sprintf(`"version":%d,`, r.tableVersion), fmt.Sprintf(`"version":%d,`, r.tableVersion+1), 1)
	r.tableVersion++
	table = strings.ReplaceAll(table, `"timeoutMs":3000,"maxAttempts":1}`, `"timeoutMs":3000,"maxAttempts":2,"resumable":true}`)
	r.store.Put(platform.TableKey, []byte(strings.Replace(table, `"prefix":"/odd-stream/"`, `"prefix":"/odd-again/"`, 1)))
	r.listScriptedTwice("/odd-again/1")
	attempts.Store(0)
	isLong.Store(true)
	got := r.request(http.MethodGet, "/odd-again/1", "")
	assert.Assert(t, got.err != nil || len(got.body) < 2*len(largeAnswer))
	assert.Equal(t, attempts.Load(), int32(1))
}
