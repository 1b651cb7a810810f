package tsrelay_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed/io/tsobserve"
	"turmericshed/io/tsrelay"
)

const slowReadersCut = "turmericshed_slow_readers_cut_total"

// postSlowly sends a request on a new connection and reads the head of the answer only.
func (s *relayFixture) postSlowly() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://")) //nolint:noctx // loopback, in a test.
	assert.NilError(s.t, err)
	assert.NilError(s.t, c.(*net.TCPConn).SetReadBuffer(128<<10))
	_, err = io.WriteString(c, "POST /find/1 HTTP/1.1\r\nHost: corner.example\r\nCredential: k1\r\nDeadline-Remaining: 4000\r\nToken-Counts: 10,5\r\nAttempt-Id: slow\r\nContent-Length: 5\r\n\r\nframe")
	assert.NilError(s.t, err)
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	assert.NilError(s.t, err)
	assert.Assert(s.t, strings.Contains(line, "200"), line)
	return c, r
}

// assertWholeAnswers sends requests one after the other on one connection.
func (s *relayFixture) assertWholeAnswers(count, size int) {
	s.t.Helper()
	client := http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for range count {
		req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, s.url+"/find/1", strings.NewReader("frame"))
		assert.NilError(s.t, err)
		req.Host = "corner.example"
		for k, v := range map[string]string{"Attempt-Id": "a-1", "Credential": "k1", "Deadline-Remaining": "4000", "Token-Counts": "10,5"} {
			req.Header.Set(k, v)
		}
		resp, err := client.Do(req)
		assert.NilError(s.t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(s.t, err)
		assert.NilError(s.t, resp.Body.Close())
		assert.Equal(s.t, len(body), size)
	}
}

// Guards against a slow reader that is not cut off where an ordinary caller needs its
// memory, is cut off without need, or gets an incomplete answer as a complete one, and
// against an ordinary caller that is cut off.
func TestSlowReaders(t *testing.T) {
	// More than the kernel's socket buffers take.
	const answerBytes = 14 << 20
	for name, c := range map[string]struct {
		limit int64
		cuts  float64
	}{
		"with room for both answers": {3 * answerBytes, 0},
		"with room for one answer":   {3 * answerBytes / 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			metrics := tsobserve.NewMetrics()
			s := newRelayFixture(t, "", 0, func(cfg *tsrelay.Config) { cfg.Metrics, cfg.CallerBufferBytes = metrics, c.limit })
			for _, b := range s.backends {
				b.Answer = strings.Repeat("x", answerBytes)
			}
			slow, reader := s.postSlowly()
			defer func() { _ = slow.Close() }()
			time.Sleep(600 * time.Millisecond)
			s.assertWholeAnswers(3, answerBytes)
			assert.Equal(t, counterValue(t, metrics), c.cuts)
			if c.cuts == 0 {
				return
			}
			n, err := io.Copy(io.Discard, reader)
			assert.Assert(t, n < answerBytes, "%d bytes, %v", n, err)
		})
	}
}

// counterValue returns how many slow readers were cut off.
func counterValue(t *testing.T, m *tsobserve.Metrics) float64 {
	t.Helper()
	families, err := m.Registry().Gather()
	assert.NilError(t, err)
	for _, f := range families {
		if f.GetName() == slowReadersCut {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	t.Fatal("no metric " + slowReadersCut)
	return 0
}
