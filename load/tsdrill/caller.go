package tsdrill

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"turmericshed"
)

// requestTimeout is the time limit that callers send, callerSlack how much longer they
// wait for the answer.
const (
	requestTimeout = 6 * time.Second
	callerSlack    = 2 * time.Second
)

// kindOfRequest is what a caller asks for.
type kindOfRequest int

const (
	askStream kindOfRequest = iota
	askOnce
	askBooking
	askLookup
	askNewestRoute
	kindCount
)

// request is what a caller saw of a request.
type request struct {
	id      string
	kind    kindOfRequest
	deadly  bool
	process *process
	// sentAt is when the last byte was written, endedAt when the answer or the
	// connection ended.
	sentAt, endedAt time.Time
	// status is 0 if there was no answer; err is set if it was incomplete.
	status int
	body   string
	err    error
}

// caller sends one request after another.
type caller struct {
	d   *drill
	rng *rand.Rand
	// isStubborn callers reconnect to an entry VM until its process is gone.
	isStubborn bool
}

// run sends requests until the end of the drill.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil && time.Now().Before(c.d.until) {
		p := c.pick()
		if p == nil {
			time.Sleep(requestInterval)
			continue
		}
		for c.connect(ctx, p) && c.isStubborn {
			continue
		}
	}
}

// pick returns the process of a random entry VM that callers are sent to; nil if there is
// none.
func (c *caller) pick() *process {
	p := c.d.vms[c.rng.IntN(len(c.d.vms))].current()
	if p == nil || p.isStopping() {
		return nil
	}
	return p
}

// connect sends requests on one connection until either side closes it. It reports whether
// the process took the connection.
func (c *caller) connect(ctx context.Context, p *process) bool {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", p.callerAddr)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for pause(ctx, c.rng, requestInterval, c.d.until) {
		kind := kindOfRequest(c.rng.IntN(int(kindCount)))
		if closes := c.send(conn, br, p, kind, false); closes {
			return true
		}
	}
	return false
}

// sendDeadly sends one request with a deadly part on a connection of its own.
func (c *caller) sendDeadly(p *process) {
	conn, err := net.DialTimeout("tcp", p.callerAddr, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	c.send(conn, bufio.NewReader(conn), p, askStream+kindOfRequest(c.rng.IntN(2)), true)
}

// send sends a request, reads the answer and records both. It reports whether the
// connection can't be used any more.
func (c *caller) send(conn net.Conn, br *bufio.Reader, p *process, kind kindOfRequest, deadly bool) (closes bool) {
	q := request{id: turmericshed.NewID("a-"), kind: kind, deadly: deadly, process: p}
	defer func() {
		q.endedAt = time.Now()
		c.d.record(q)
	}()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout + callerSlack))
	if _, err := io.WriteString(conn, c.text(q)); err != nil {
		// The entry VM closed the connection before it read the request.
		q.sentAt = time.Now()
		q.err = errNotRead
		return true
	}
	q.sentAt = time.Now()
	if _, err := br.Peek(1); err != nil {
		q.err = errNoAnswer
		return true
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		q.err = err
		return true
	}
	body, err := io.ReadAll(resp.Body)
	q.status, q.body, q.err = resp.StatusCode, string(body), errors.Join(err, resp.Body.Close())
	return err != nil || resp.Close
}

var (
	errNotRead  = errors.New("the connection was closed before the request was written")
	errNoAnswer = errors.New("the connection ended without an answer")
)

// text returns the request in the form in which it is sent.
func (c *caller) text(q request) string {
	method, path, headers := http.MethodPost, "", ""
	switch q.kind {
	case askStream, askOnce:
		path = map[kindOfRequest]string{askStream: "/quote/1", askOnce: "/once/1"}[q.kind]
		parts := fmt.Sprintf("f%d:40,", c.rng.IntN(4))
		if q.deadly {
			parts += deadlyPart + ":30,"
		}
		headers = fmt.Sprintf("Model: m\r\nToken-Counts: %d,%d\r\nPrompt-Prefix: %s%s:10\r\n", promptTokens, maxOutputTokens, parts, strings.TrimPrefix(q.id, "a-"))
	case askBooking:
		path = "/book/1"
	case askLookup:
		method, path = http.MethodGet, "/look/1"
	default:
		method, path = http.MethodGet, c.d.servers.newestRoute(time.Now())
	}
	body := ""
	if method == http.MethodPost {
		body = "body of " + q.id
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: corner.example\r\nAttempt-Id: %s\r\nCredential: %s\r\nDeadline-Remaining: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, q.id, apiKey, requestTimeout.Milliseconds(), headers, len(body), body)
}

// record adds a request to the report and checks its answer.
func (d *drill) record(q request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.Requests++
	switch {
	case q.err != nil:
		d.report.Fails++
	case q.status == http.StatusOK:
		d.report.Answered++
	default:
		d.report.Refused++
	}
	d.requests = append(d.requests, q)
}
