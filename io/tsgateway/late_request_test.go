package tsgateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

// Guards against requests that come late in the grace period of a stop, on connections
// that were opened while the load balancer still sent some, being passed on and cut off,
// or read and closed without an answer while other requests still run.
func TestLateRequestsOfAStopAreCutOff(t *testing.T) {
	const (
		eventPause = 600 * time.Millisecond
		// openAfter is when the connections are opened after the stop began.
		openAfter = 2500 * time.Millisecond
	)
	for path, sendTimes := range map[string][]time.Duration{
		// A stream that may be resumed goes on at another entry VM.
		"/quote/1": {3500 * time.Millisecond, 4300 * time.Millisecond},
		"/once/1":  {2600 * time.Millisecond, 3500 * time.Millisecond, 4300 * time.Millisecond},
	} {
		for _, sendAfter := range sendTimes {
			t.Run(fmt.Sprintf("%s sent %s after the stop began", path, sendAfter), func(t *testing.T) {
				t.Parallel()
				r := newRig(t, 1_000_000)
				for _, e := range r.engines {
					r.store.Remove(platform.ServerPrefix + e.ID)
				}
				slow := &tsmetastore.Backend{ID: "slow", Events: eventsPerStream, Pause: eventPause}
				assert.NilError(t, slow.Start())
				t.Cleanup(func() { _ = slow.Close() })
				r.putBackend(slow, "pool")
				time.Sleep(time.Second)
				var running sync.WaitGroup
				running.Go(func() { r.requestGeneration("/quote/1", "Deadline-Remaining", "8000") })
				time.Sleep(200 * time.Millisecond)
				stopped := make(chan error, 1)
				began, vm := time.Now(), r.entryVM
				addr := vm.gateway.CallerAddr().String()
				go func() { stopped <- vm.shutdown() }()
				time.Sleep(time.Until(began.Add(openAfter)))
				conn, err := net.Dial("tcp", addr)
				assert.NilError(t, err)
				defer func() { _ = conn.Close() }()
				time.Sleep(time.Until(began.Add(sendAfter)))
				status, body, err := r.sendRaw(conn, path)
				ran := runCount([]*tsmetastore.Backend{slow}) - 1
				t.Logf("status %d after %s, ran %d times, %v", status, time.Since(began).Round(time.Millisecond), ran, err)
				assert.NilError(t, err, "the request got no answer, or a part of one; it ran %d times", ran)
				if ran == 0 {
					assert.Equal(t, status, http.StatusServiceUnavailable)
				} else {
					assert.Equal(t, body, completeStream(1))
				}
				running.Wait()
				assert.NilError(t, <-stopped)
			})
		}
	}
}

// sendRaw sends a generation request on a connection and reads the answer.
func (r *rig) sendRaw(conn net.Conn, path string) (status int, body string, err error) {
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: corner.example\r\nAttempt-Id: %s\r\nCredential: %s\r\nDeadline-Remaining: 8000\r\nModel: m\r\n"+
		"Token-Counts: %d,%d\r\nPrompt-Prefix: aa:60,bb:40\r\nContent-Length: 6\r\n\r\nprompt", path, turmericshed.NewID("a-"), apiKey, promptTokens, outputTokens)
	if err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), errors.Join(err, resp.Body.Close())
}
