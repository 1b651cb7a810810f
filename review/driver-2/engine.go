//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a model server that streams events.
type engine struct {
	events int
	pause  time.Duration
	// part is the id of the prompt part that crashes each server that begins to write an answer
	// on it; empty for none. back is how long the server is away then.
	part string
	back time.Duration
	// quiet leaves single runs out of the record.
	quiet bool

	mu sync.Mutex
	// ran counts the runs by Attempt-Id; arrivals and crashes are the times of requests with the
	// part and of the crashes.
	ran               map[string]int
	arrivals, crashes []time.Time
}

func newEngine(events int, pause time.Duration) *engine {
	return &engine{events: events, pause: pause, ran: map[string]int{}}
}

// handle runs a request and streams its events.
func (e *engine) handle(s *server, c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Attempt-Id")
	isDeadly := e.part != "" && hasPart(r.Header.Get("Prompt-Prefix"), e.part)
	s.mu.Lock()
	version, born := s.version, s.born
	s.mu.Unlock()
	e.mu.Lock()
	if !e.quiet {
		e.ran[id]++
	}
	if isDeadly {
		e.arrivals = append(e.arrivals, time.Now())
	}
	e.mu.Unlock()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if !e.quiet {
		s.w.rec.add("server %s (%s) runs %s after event %d", s.id, version, id, after)
	}
	if _, err := io.WriteString(c, s.head(r, "200 OK", "Response-Stamp: "+s.id+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")); err != nil {
		return false
	}
	if isDeadly {
		time.Sleep(5 * time.Millisecond)
		e.crash(s, id)
		return false
	}
	for n := after + 1; n <= e.events; n++ {
		time.Sleep(e.pause)
		if !s.isUp(born) {
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, version)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			s.w.rec.add("server %s: run of %s ended by its caller at event %d", s.id, id, n)
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// crash ends the server's process, which starts again under its id after a while.
func (e *engine) crash(s *server, id string) {
	e.mu.Lock()
	e.crashes = append(e.crashes, time.Now())
	n := len(e.crashes)
	e.mu.Unlock()
	s.w.rec.add("server %s crashes under %s, crash %d", s.id, id, n)
	s.crash()
	time.AfterFunc(e.back, func() {
		select {
		case <-s.w.done:
			return
		default:
		}
		if err := s.listen(s.addr, s.version); err != nil {
			s.w.rec.add("server %s is not back: %v", s.id, err)
			return
		}
		s.w.rec.add("server %s is back", s.id)
		s.checkIn()
	})
}

// hasRun reports whether a server began to work on the client attempt.
func (e *engine) hasRun(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[id] > 0
}

// hasPart reports whether a prompt's parts but the last have the id.
func hasPart(prefix, id string) bool {
	parts := strings.Split(prefix, ",")
	for _, p := range parts[:len(parts)-1] {
		if got, _, _ := strings.Cut(p, ":"); got == id {
			return true
		}
	}
	return false
}

// streamConfig is a desired state with one streaming route.
func streamConfig(service string, prepaid, maxAttempts int) map[string]any {
	return map[string]any{
		"routes": []map[string]any{{
			"name": "pattern-walk", "host": hostName, "prefix": "/lohu930/", "service": service, "kind": "streaming", "resumable": true,
			"timeoutMs": 8000, "targetLatencyMs": 600, "gapTargetMs": 400, "maxAttempts": maxAttempts, "priority": 1, "stickySessions": true,
		}},
		"services": []map[string]any{{"name": service, "maxConnections": 630, "engine": map[string]any{"stride": tokensPerEvent, "kvCacheTokens": 731687}}},
		"limits":   limits(),
		"tenants":  []map[string]any{{"name": tenantName, "apiKeys": []string{keyOfTenant}, "prepaid": prepaid}},
	}
}
