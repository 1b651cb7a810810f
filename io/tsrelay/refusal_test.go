package tsrelay_test

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

	"turmericshed/io/tsintake"
	"turmericshed/io/tsrelay"
)

// slowSender is a caller whose body takes sendTime to arrive, as on a saturated link.
type slowSender struct {
	head     string
	body     string
	sendTime time.Duration
}

// received is what a slowSender got.
type received struct {
	status int
	err    error
	// after is the time from the head of the request to the whole answer.
	after time.Duration
	// sendErr is the error of sending the body.
	sendErr error
}

// send sends the request and reads the answer only after the body was sent, as callers do that
// write and read by turns.
func (s slowSender) send(t *testing.T, addr string) received {
	t.Helper()
	const pieces = 20
	c, err := net.Dial("tcp", addr) //nolint:noctx // loopback, in a test.
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	began := time.Now()
	_, err = io.WriteString(c, s.head)
	assert.NilError(t, err)
	answered := make(chan received, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			answered <- received{err: err}
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		answered <- received{status: resp.StatusCode, err: err, after: time.Since(began)}
	}()
	var sendErr error
	for i := 0; i < pieces && sendErr == nil; i++ {
		time.Sleep(s.sendTime / pieces)
		_, sendErr = io.WriteString(c, s.body[i*len(s.body)/pieces:(i+1)*len(s.body)/pieces])
	}
	select {
	case r := <-answered:
		r.sendErr = sendErr
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("no answer within 10 s")
		return received{}
	}
}

// Guards against a refusal that is held back until the body has arrived, and against a connection
// that is closed while its caller still sends the body: the caller's kernel then discards the
// answer, and the request ends without one.
func TestRefusalsReachCallersThatStillSendTheirBody(t *testing.T) {
	const (
		bodyBytes = 64 << 10
		sendTime  = 1500 * time.Millisecond
		// maxRefusalTime is a fraction of the time in which the body arrives.
		maxRefusalTime = 300 * time.Millisecond
	)
	s := newRelayFixture(t, forTokens, 0, func(cfg *tsrelay.Config) {
		cfg.Intake = tsintake.New(tsintake.Config{MemoryBytes: 128 << 20, Descriptors: 4096})
	})
	addr := s.listen()
	for name, target := range map[string]string{"no route": "/none/1", "an unknown key": "/find/1"} {
		for framing, head := range map[string]string{
			"a length": fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes),
			"chunks":   "Transfer-Encoding: chunked\r\n\r\n",
		} {
			t.Run(name+" with "+framing, func(t *testing.T) {
				t.Parallel()
				body := strings.Repeat("x", bodyBytes)
				if framing == "chunks" {
					body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", bodyBytes, body)
				}
				r := slowSender{
					head:     "POST " + target + " HTTP/1.1\r\nHost: corner.example\r\nAttempt-Id: a\r\nCredential: none\r\nDeadline-Remaining: 4000\r\n" + head,
					body:     body,
					sendTime: sendTime,
				}.send(t, addr)
				assert.NilError(t, r.err)
				assert.Assert(t, r.status == http.StatusNotFound || r.status == http.StatusUnauthorized, "status %d", r.status)
				assert.Check(t, r.after < maxRefusalTime, "the refusal came after %s", r.after)
				assert.Check(t, r.sendErr == nil, "the connection was closed before the body was sent")
			})
		}
	}
}
