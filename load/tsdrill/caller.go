package tsdrill

import (
	"bufio"
	"cmp"
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
	// slowBodyBytes and slowBodyTime are the size of a body that arrives slowly and the time it takes,
	// as on a saturated link; it is sent in slowBodyPieces.
	slowBodyBytes  = 64 << 10
	slowBodyTime   = 800 * time.Millisecond
	slowBodyPieces = 16
	// maxResumes bounds how often a caller resumes a stream.
	maxResumes = 3
)

// kindOfRequest is what a caller asks for.
type kindOfRequest int

const (
	askStream kindOfRequest = iota
	askOnce
	askBooking
	askLookup
	askNewestRoute
	askNoRoute
	kindCount
)

// request is what a caller saw of a request.
type request struct {
	id     string
	kind   kindOfRequest
	deadly bool
	// isSmall is true for a request of the account with the small budget.
	isSmall bool
	// resumes is the ID of the attempt that brought the first event of the stream that is resumed, and
	// received the events of that stream so far; empty for a new request.
	resumes, received string
	process           *process
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
		q := request{kind: kind, process: p}
		if closes := c.send(conn, br, &q); closes {
			c.resume(ctx, q)
			return true
		}
	}
	return false
}

// sendDeadly sends one request with a deadly part on a connection of its own.
func (c *caller) sendDeadly(p *process) {
	c.sendAlone(request{kind: askStream + kindOfRequest(c.rng.IntN(2)), deadly: true, process: p})
}

// sendAlone sends one request on a connection of its own.
func (c *caller) sendAlone(q request) {
	p := q.process
	conn, err := net.DialTimeout("tcp", p.callerAddr, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	c.send(conn, bufio.NewReader(conn), &q)
}

// resume resumes an interrupted stream at other entry VMs until it is complete or refused.
func (c *caller) resume(ctx context.Context, broken request) {
	for range maxResumes {
		text := broken.received + wholeEvents(broken.body)
		if broken.kind != askStream || broken.status != http.StatusOK || broken.err == nil || text == "" || !time.Now().Before(c.d.until) {
			return
		}
		q := request{kind: askStream, resumes: cmp.Or(broken.resumes, broken.id), received: text}
		conn := c.connectToAny(ctx, &q)
		if conn == nil {
			return
		}
		c.send(conn, bufio.NewReader(conn), &q)
		_ = conn.Close()
		broken = q
	}
}

// connectToAny connects to an entry VM that callers are sent to, which it notes in q; nil if none takes
// the connection within the time limit of a request.
func (c *caller) connectToAny(ctx context.Context, q *request) net.Conn {
	dialer := net.Dialer{Timeout: time.Second}
	for end := time.Now().Add(requestTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(requestInterval) {
		if q.process = c.pick(); q.process == nil {
			continue
		}
		if conn, err := dialer.DialContext(ctx, "tcp", q.process.callerAddr); err == nil {
			return conn
		}
	}
	return nil
}

// wholeEvents returns the complete events at the beginning of a stream.
func wholeEvents(body string) string {
	return body[:strings.LastIndex("\n\n"+body, "\n\n")]
}

// send sends a request, reads the answer and records both. It reports whether the
// connection can't be used any more.
func (c *caller) send(conn net.Conn, br *bufio.Reader, q *request) (closes bool) {
	q.id = turmericshed.NewID("a-")
	defer func() {
		q.endedAt = time.Now()
		c.d.record(*q)
	}()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout + callerSlack))
	if err := c.write(conn, *q); err != nil {
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

// write writes a request; the body of one without a route slowly.
func (c *caller) write(conn net.Conn, q request) error {
	if _, err := io.WriteString(conn, c.text(q)); err != nil || q.kind != askNoRoute {
		return err
	}
	piece := strings.Repeat("x", slowBodyBytes/slowBodyPieces)
	for range slowBodyPieces {
		time.Sleep(slowBodyTime / slowBodyPieces)
		if _, err := io.WriteString(conn, piece); err != nil {
			return err
		}
	}
	return nil
}

var (
	errNotRead  = errors.New("the connection was closed before the request was written")
	errNoAnswer = errors.New("the connection ended without an answer")
)

// text returns the request in the form in which it is sent.
func (c *caller) text(q request) string {
	method, path, headers, key := http.MethodPost, "", "", apiKey
	if q.isSmall {
		key = smallKey
	}
	switch q.kind {
	case askStream, askOnce:
		path = map[kindOfRequest]string{askStream: "/quote/1", askOnce: "/once/1"}[q.kind]
		parts := fmt.Sprintf("f%d:40,", c.rng.IntN(4))
		if q.deadly {
			parts += deadlyPart + ":30,"
		}
		headers = fmt.Sprintf("Model: m\r\nToken-Counts: %d,%d\r\nPrompt-Prefix: %s%s:10\r\n", promptTokens, maxOutputTokens, parts, strings.TrimPrefix(q.id, "a-"))
		if q.resumes != "" {
			headers += fmt.Sprintf("Resumes: %s\r\nLast-Event-Id: %d\r\n", q.resumes, strings.Count(q.received, "id: "))
		}
	case askBooking:
		path = "/book/1"
	case askNoRoute:
		return fmt.Sprintf("POST /none/1 HTTP/1.1\r\nHost: corner.example\r\nAttempt-Id: %s\r\nCredential: %s\r\nContent-Length: %d\r\n\r\n", q.id, apiKey, slowBodyBytes)
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
		method, path, q.id, key, requestTimeout.Milliseconds(), headers, len(body), body)
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
