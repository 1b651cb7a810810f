//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"turmericshed/platform"
)

// heartbeat is the interval at which servers write their entries.
const heartbeat = 1200 * time.Millisecond

// server is a stand-in for a backend server. It serves one request at a time on a channel.
type server struct {
	w             *world
	id, svc, zone string
	slots         int
	// events is the number of events of a stream, 0 for plain answers, and work the
	// time to the first byte, pause the time between events.
	events      int
	work, pause time.Duration
	// trouble, if set, answers a request in place of the server. It reports whether it did.
	trouble func(s *server, c net.Conn, r *http.Request) bool

	ln   net.Listener
	born int64

	mu       sync.Mutex
	running  int
	runs     map[string]int
	sequence int
	stop     chan struct{}
}

// startServer starts a server and registers it in the store.
func (w *world) startServer(s *server) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.w, s.ln, s.born = w, ln, time.Now().UnixMilli()
	s.runs, s.stop = map[string]int{}, make(chan struct{})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	s.beat()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				s.beat()
			case <-s.stop:
				return
			}
		}
	}()
	return s, nil
}

// beat writes the server's entry. The store keeps the old one if only sequence differs.
func (s *server) beat() {
	s.mu.Lock()
	s.sequence++
	fields := map[string]any{
		"service": s.svc, "address": s.ln.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"coldRemainingMs": 0, "born": s.born,
	}
	if s.events > 0 {
		fields["stage"] = "both"
		fields["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	want, _ := json.Marshal(fields)
	fields["sequence"] = s.sequence
	value, _ := json.Marshal(fields)
	s.mu.Unlock()
	key := platform.ServerPrefix + s.id
	if item, ok := s.w.store.Get(key); ok {
		var old map[string]any
		if json.Unmarshal(item.Value, &old) == nil {
			delete(old, "sequence")
			have, _ := json.Marshal(old)
			if same, _ := json.Marshal(json.RawMessage(want)); string(have) == string(same) {
				return
			}
		}
	}
	s.w.store.Put(key, value)
	s.w.note("server %s writes its entry", s.id)
}

func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !s.answer(c, r) {
			return
		}
	}
}

// answer runs a request, and reports whether the channel stays open.
func (s *server) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Attempt-Id")
	if r.Header.Get("Expect-Instance") != s.id {
		return put(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: "+id+"\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	s.mu.Lock()
	if s.running >= s.slots {
		s.mu.Unlock()
		return put(c, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: "+id+"\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	s.running++
	load := fmt.Sprintf("%d,0,%d", s.running, s.slots)
	s.runs[id]++
	s.mu.Unlock()
	s.w.note("server %s runs %s %s %s for %q", s.id, r.Method, r.RequestURI, id, r.Header.Get("Tenant"))
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
	}()
	if s.trouble != nil && s.trouble(s, c, r) {
		return false
	}
	time.Sleep(s.work)
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Stamp: " + s.id + "." + id + "\r\nServer-Load: " + load + "\r\n"
	if s.events == 0 {
		text := answerTo(id)
		return put(c, head+"Content-Length: "+strconv.Itoa(len(text))+"\r\n\r\n"+text)
	}
	if !put(c, head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n") {
		return false
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= s.events; n++ {
		text := event(n)
		if !put(c, fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) {
			return false
		}
		time.Sleep(s.pause)
	}
	return put(c, "0\r\n\r\n")
}

// answerTo returns the body of a plain answer.
func answerTo(id string) string { return fmt.Sprintf("%-800s", "answer to "+id) }

// event returns one event of a stream.
func event(n int) string { return fmt.Sprintf("id: %[1]d\ndata: piece %[1]d\n\n", n) }

// wholeStream returns the body of a complete stream.
func wholeStream(events int) (s string) {
	for n := range events {
		s += event(n + 1)
	}
	return s
}

func put(c net.Conn, s string) bool {
	_, err := io.WriteString(c, s)
	return err == nil
}
