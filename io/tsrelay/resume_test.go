package tsrelay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/core/tstable"
	"turmericshed/io/tsrelay"
	"turmericshed/io/tsrouting"
	"turmericshed/io/tsupstream"
	"turmericshed/platform"
)

const streamTable = `{"version":1,"services":[{"name":"pool","maxConnections":100}],"routes":[
 {"name":"tell","host":"corner.example","prefix":"/tell/","kind":"streaming","service":"pool","timeoutMs":4000,"maxAttempts":2,"resumable":true}]}`

// firstEvents is what the first server sends before it interrupts the stream.
const firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// chunked returns the parts in chunked encoding, without the last chunk.
func chunked(parts ...string) string {
	var b strings.Builder
	for _, p := range parts {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(p), p)
	}
	return b.String()
}

func streamHead(id string) string {
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// newInterruptedRelay returns a relay with two backend servers. The first attempt is
// interrupted after two events; resumedAnswer returns the bytes that answer the resumed one. configure
// changes the relay's configuration and the servers.
func newInterruptedRelay(t *testing.T, resumedAnswer func(id string) string, configure ...func(cfg *tsrelay.Config, servers []turmericshed.BackendServer)) *tsrelay.Relay {
	t.Helper()
	var list []turmericshed.BackendServer
	for i := range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = ln.Close() })
		go serveStreams(ln, resumedAnswer)
		list = append(list, turmericshed.BackendServer{
			ID: turmericshed.ServerID(fmt.Sprint("e-", i)), Addr: netip.MustParseAddrPort(ln.Addr().String()),
			Work: turmericshed.WorkService, Service: "pool", Slots: 8,
		})
	}
	cfg := tsrelay.Config{
		Codec: platform.Codec{}, Log: slog.New(slog.DiscardHandler), Upstream: tsupstream.New(tsupstream.Config{Codec: platform.Codec{}}),
		RetryLimits: tsrelay.RetryLimits{Ratio: 1, Slack: 100, Window: time.Minute}, EntryVMs: func() int { return 1 },
	}
	for _, f := range configure {
		f(&cfg, list)
	}
	board := &tsboard.Board{}
	board.Servers.Write(list)
	cfg.Router = tsrouting.NewPool(tsrouting.PoolConfig{Board: board})
	relay := tsrelay.New(cfg)
	table, err := platform.DecodeTable([]byte(streamTable))
	assert.NilError(t, err)
	relay.SetTable(tstable.New(table))
	return relay
}

// requestInterruptedStream requests a stream from such a relay and returns the body that
// the caller received.
func requestInterruptedStream(t *testing.T, resumedAnswer func(id string) string, configure ...func(cfg *tsrelay.Config, servers []turmericshed.BackendServer)) (body string, err error) {
	t.Helper()
	srv := httptest.NewServer(newInterruptedRelay(t, resumedAnswer, configure...))
	t.Cleanup(srv.Close)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, srv.URL+"/tell/1", strings.NewReader("x"))
	assert.NilError(t, err)
	req.Host = "corner.example"
	req.Header.Set("Attempt-Id", "a")
	req.Header.Set("Deadline-Remaining", "3000")
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// serveStreams answers each request on the listener: a new stream with firstEvents and an
// incomplete event, a resumed one with what resumedAnswer returns.
func serveStreams(ln net.Listener, resumedAnswer func(id string) string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			id := r.Header.Get("Attempt-Id")
			if r.Header.Get("Last-Event-Id") == "" {
				_, _ = io.WriteString(c, streamHead(id)+chunked(firstEvents, "id: 3\nda"))
				return
			}
			_, _ = io.WriteString(c, resumedAnswer(id))
		}()
	}
}

// Guards against an answer of the next server that is joined to an interrupted stream
// although it does not continue it, or that ends the stream as if it were complete.
func TestInvalidStreamContinuation(t *testing.T) {
	plain := func(status, body string) func(string) string {
		return func(id string) string {
			return fmt.Sprintf("HTTP/1.1 %s\r\nAttempt-Id: %s\r\nResponse-Stamp: s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
		}
	}
	events := func(parts ...string) func(string) string {
		return func(id string) string { return streamHead(id) + chunked(parts...) + "0\r\n\r\n" }
	}
	for name, resumedAnswer := range map[string]func(id string) string{
		"a failure":                   plain("500 Internal Server Error", "out of memory\n\n"),
		"a refusal of the request":    plain("400 Bad Request", "id: 3\ndata: no\n\n"),
		"a redirect":                  plain("302 Found", "id: 3\ndata: no\n\n"),
		"a plain text answer":         plain("200 OK", "out of memory\n\n"),
		"text that looks like events": plain("200 OK", "id: 3\ndata: no\n\n"),
		"an empty text":               plain("200 OK", ""),
		"no content": func(id string) string {
			return "HTTP/1.1 204 No Content\r\nAttempt-Id: " + id + "\r\nResponse-Stamp: s\r\n\r\n"
		},
		"text without a length": func(id string) string {
			return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Stamp: s\r\n\r\nout of memory\n\n"
		},
		"events without ids":         events("data: out of memory\n\n"),
		"a named event":              events("event: error\ndata: out of memory\n\n"),
		"the first event again":      events(firstEvents),
		"a later event":              events("id: 4\ndata: d\n\n"),
		"the last event again":       events("id: 2\ndata: b\n\n"),
		"an id that is not a number": events("id: x\ndata: d\n\n"),
		"an unsigned stream": func(id string) string {
			return strings.Replace(streamHead(id), "Response-Stamp: s\r\n", "", 1) + chunked("id: 3\ndata: c\n\n") + "0\r\n\r\n"
		},
		"another request's stream":   func(string) string { return streamHead("b") + chunked("id: 3\ndata: c\n\n") + "0\r\n\r\n" },
		"a response head in a chunk": events("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno\n\n"),
		"a response head":            func(id string) string { return streamHead(id) + "HTTP/1.1 500 Internal Server Error\r\n\r\n" },
		"a failure after an event": func(id string) string {
			return streamHead(id) + chunked("id: 7\ndata: x\n\n") + "HTTP/1.1 500 Internal Server Error\r\n\r\n"
		},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := requestInterruptedStream(t, resumedAnswer)
			assert.Equal(t, body, firstEvents)
			assert.Assert(t, err != nil, "the stream looks complete")
		})
	}
	for name, resumedAnswer := range map[string]func(id string) string{
		"the remaining events":                           events("id: 3\ndata: c\n\n"),
		"the remaining events between comments":          events(": wait\n\n", "id: 3\ndata: c\n\n", ": done\n\n"),
		"the remaining events in several pieces":         events("id: 3\nda", "ta: c\n", "\n"),
		"the remaining events with a new version header": events("weight-versions: 2\nid: 3\ndata: c\n\n"),
	} {
		t.Run("accepts "+name+" as a continuation", func(t *testing.T) {
			body, err := requestInterruptedStream(t, resumedAnswer)
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(body, firstEvents) && strings.Contains(body, "data: c\n"), body)
		})
	}
}

// Guards against an interrupted stream that appears complete to an HTTP/1.0 caller, for whom
// the close of the connection is the end of the answer.
func TestBrokenStreamWithoutChunksIsReset(t *testing.T) {
	relay := newInterruptedRelay(t, func(id string) string {
		return "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := tsrelay.NewServer(relay, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = server.Serve(ctx, ln, time.Second) }()
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", ln.Addr().String()) //nolint:noctx // loopback, in a test.
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /tell/1 HTTP/1.0\r\nHost: corner.example\r\nAttempt-Id: a\r\nDeadline-Remaining: 3000\r\nContent-Length: 1\r\n\r\nx")
	assert.NilError(t, err)
	data, err := io.ReadAll(c)
	assert.Assert(t, strings.Contains(string(data), "data: a"), "%s", data)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}
