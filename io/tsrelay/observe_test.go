package tsrelay_test

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"turmericshed/io/tsintake"
	"turmericshed/io/tsobserve"
	"turmericshed/io/tsrelay"
)

// logBuffer holds what is logged.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// assertLine waits for a line that contains all texts.
func (l *logBuffer) assertLine(t *testing.T, texts ...string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, line := range strings.Split(l.b.String(), "\n") {
			found := 0
			for _, text := range texts {
				if strings.Contains(line, text) {
					found++
				}
			}
			if found == len(texts) {
				return poll.Success()
			}
		}
		return poll.Continue("no line with %q in %s", texts, l.b.String())
	}, poll.WithTimeout(5*time.Second))
}

// Guards against connections that end without an answer and leave no line in the log.
func TestEndsWithoutAnAnswerAreLogged(t *testing.T) {
	var out logBuffer
	log := tsobserve.NewLogger(&out, tsobserve.LogJSON, slog.LevelInfo)
	s := newRelayFixture(t, forTurn, 0, func(cfg *tsrelay.Config) {
		cfg.Log = log
		cfg.Intake = tsintake.New(tsintake.Config{MemoryBytes: 128 << 20, Descriptors: 4096, Log: log})
	})
	addr := s.listen()
	send := func(t *testing.T, text string) net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", addr) //nolint:noctx // loopback, in a test.
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, text)
		assert.NilError(t, err)
		return c
	}
	const request = "POST /find/1 HTTP/1.1\r\nHost: corner.example\r\nCredential: k1\r\nDeadline-Remaining: 4000\r\nToken-Counts: 10,5\r\nContent-Length: 5\r\n"
	t.Run("a panic", func(t *testing.T) {
		s.waitPoints.hook = func() { panic("broken invariant") }
		c := send(t, request+"Attempt-Id: a-panic\r\n\r\nframe")
		data, _ := io.ReadAll(c)
		assert.Equal(t, string(data), "")
		out.assertLine(t, `"level":"ERROR"`, "a-panic", "broken invariant")
	})
	t.Run("a head that is not complete", func(t *testing.T) {
		c := send(t, request)
		time.Sleep(50 * time.Millisecond)
		assert.NilError(t, c.Close())
		out.assertLine(t, "connection ended before its request was complete", c.LocalAddr().String())
	})
}

// listen serves the relay on a listener of its own, as the gateway does, and returns its address.
func (s *relayFixture) listen() string {
	s.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // loopback, in a test.
	assert.NilError(s.t, err)
	server := tsrelay.NewServer(s.relay, slog.New(slog.DiscardHandler))
	go func() { _ = server.Serve(s.t.Context(), ln, time.Second) }()
	s.t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}
