package tsgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/platform"
)

// uploadBytes is more than the socket buffers of a connection hold, so that a body of this size is
// still being written while its server does not read it.
const uploadBytes = 16 << 20

// startScripted starts a server of the service odd that reads the head of each request and calls
// answer for it. It writes a routing table with routes to it and a limit above uploadBytes.
func (r *rig) startScripted(answer func(c *net.TCPConn, id string)) {
	r.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answer(c.(*net.TCPConn), req.Header.Get("Attempt-Id"))
				}
			}()
		}
	}()
	r.store.Put(platform.ServerPrefix+"odd-0", fmt.Appendf(nil,
		`{"service":"odd","address":%q,"zone":"a","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1,"models":[{"name":"m","version":1}]}`, ln.Addr()))
	r.setTable(1_000_000,
		`{"name":"odd-once","host":"corner.example","prefix":"/odd-once/","kind":"unsafe","service":"odd","timeoutMs":3000,"maxAttempts":1}`,
		`{"name":"odd-safe","host":"corner.example","prefix":"/odd-safe/","kind":"safe","service":"odd","timeoutMs":3000,"maxAttempts":2}`,
		`{"name":"odd-stream","host":"corner.example","prefix":"/odd-stream/","kind":"streaming","service":"odd","timeoutMs":3000,"maxAttempts":1}`)
	item, ok := r.store.Get(platform.TableKey)
	assert.Assert(r.t, ok)
	table := strings.Replace(string(item.Value), fmt.Sprintf(`"version":%d,`, r.tableVersion), fmt.Sprintf(`"version":%d,`, r.tableVersion+1), 1)
	r.tableVersion++
	table = strings.Replace(table, `"maxBodyBytes":1000,`, fmt.Sprintf(`"maxBodyBytes":%d,`, 2*uploadBytes), 1)
	r.store.Put(platform.TableKey, []byte(strings.Replace(table, `{"name":"desk","maxConnections":100}`, `{"name":"desk","maxConnections":100},{"name":"odd","maxConnections":100}`, 1)))
	r.eventually("the limit is in force", func() bool {
		return r.request(http.MethodPost, "/look/1", strings.Repeat("x", 2000)).status == http.StatusOK
	})
	r.eventually("the server is listed", func() bool {
		return r.request(http.MethodGet, "/odd-once/1", "").status != http.StatusServiceUnavailable
	})
}

// Guards against passing on a part of an answer without a length as the whole answer: the server
// resets the connection while the request is still being written, so that the failed write takes
// up the socket's error and the reader sees an orderly end.
func TestAnswerThatEndsWithAResetDuringTheUpload(t *testing.T) {
	for _, path := range []string{"/odd-once/1", "/odd-safe/1", "/odd-stream/1"} {
		t.Run(path[1:len(path)-2], func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 1_000_000)
			r.startScripted(func(c *net.TCPConn, id string) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: part\n\n", id)
				time.Sleep(100 * time.Millisecond)
				_ = c.SetLinger(0)
			})
			for range 3 {
				got := r.request(http.MethodPost, path, strings.Repeat("x", uploadBytes))
				t.Logf("status %d, %q, %v", got.status, got.body, got.err)
				assert.Assert(t, got.err != nil || got.status != http.StatusOK, "a part looks like the whole answer")
			}
		})
	}
}

// Guards against refusing a complete answer without a length whose server reads the request first.
func TestUnframedAnswerAfterTheUpload(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1_000_000)
	r.startScripted(func(c *net.TCPConn, id string) {
		_, _ = io.CopyN(io.Discard, c, uploadBytes-64<<10)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: s\r\n\r\nwhole", id)
		_, _ = io.CopyN(io.Discard, c, 32<<10)
		time.Sleep(50 * time.Millisecond)
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	got := r.request(http.MethodPost, "/odd-once/1", strings.Repeat("x", uploadBytes))
	assertStatus(t, got, http.StatusOK)
	assert.Equal(t, got.body, "whole")
}

// Guards against relaying a status that HTTP does not have, or taking such an answer for an
// informational one and what follows for the answer.
func TestStatusOutsideOfHTTP(t *testing.T) {
	inner := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: s\r\nContent-Length: 5\r\n\r\ninner", id)
	}
	for name, body := range map[string]func(id string) string{
		"with an answer as its body": inner,
		"with text":                  func(string) string { return "trouble" },
		"without a body":             func(string) string { return "" },
	} {
		for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
			t.Run(status+" "+name, func(t *testing.T) {
				t.Parallel()
				r := newRig(t, 1_000_000)
				r.startScripted(func(c *net.TCPConn, id string) {
					text := body(id)
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Trouble\r\nAttempt-Id: %s\r\nResponse-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(text), text)
					_, _ = c.Read(make([]byte, 1))
				})
				got := r.request(http.MethodGet, "/odd-once/1", "")
				assertRefused(t, got, http.StatusBadGateway, turmericshed.OutcomeUnknown)
			})
		}
	}
}
