package tsmetastore

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Behaviour determines how a Backend handles subsequent requests.
type Behaviour int

// The behaviours.
const (
	// BehaveNormal runs the request and sends the complete answer.
	BehaveNormal Behaviour = iota
	// BehaveRefusing refuses the request with 503 without running it.
	BehaveRefusing
	// BehaveLosingAnswers runs the request and closes the connection without an
	// answer.
	BehaveLosingAnswers
	// BehaveBreakingStreams closes the connection of a stream in the middle of an
	// event, before half of its events are sent.
	BehaveBreakingStreams
	// BehaveFailing runs the request and answers with 500.
	BehaveFailing
	// BehaveCrossed runs the request and answers with the ID of another one.
	BehaveCrossed
	// BehaveSilent runs the request, sends no answer and keeps the connection
	// open until the client sends more or closes it.
	BehaveSilent
	// BehaveRetryLater refuses the request with 503 without running it, and sends
	// BusyRetryAfter as Retry-After.
	BehaveRetryLater
	// BehaveUnframed sends the complete answer without a length or chunks; it ends
	// with the connection.
	BehaveUnframed
	// BehaveCrashingUnframed begins the same answer and crashes before the second
	// half of the body, or of the events.
	BehaveCrashingUnframed
	// BehaveCrashingBeforeBody does so before the first byte of the body.
	BehaveCrashingBeforeBody
	// BehaveLeaving sends the complete answer with a header that announces
	// that the server is leaving.
	BehaveLeaving
	// BehaveEndless runs the request and sends an answer that does not end: a line of a plain
	// answer, or an event, until endlessBytes are written or the connection is closed.
	BehaveEndless
)

// endlessBytes is how much of an answer a Backend sends that behaves as BehaveEndless.
const endlessBytes = 32 << 20

// BusyRetryAfter is the Retry-After time that a busy Backend sends.
const BusyRetryAfter = 3 * time.Second

// Backend simulates one backend server of the users' platform: a plain service,
// or an engine if Events is positive.
type Backend struct {
	ID string
	// Software is the version of the server's software; empty for v1. If it is set, events name it.
	Software string
	// Events is the number of events per stream; 0 for a plain service.
	Events int
	// Answer is the body of a plain service's answers; empty for a short text with
	// the request's ID.
	Answer string
	// Pause is the time between the events of a stream.
	Pause time.Duration
	// CrashBody is the body of requests that crash the server when it starts to
	// process them; empty for none.
	CrashBody string
	// CrashPart is the ID of a prompt part whose requests crash the server after the
	// head of their answer; empty for none. The last part of a prompt does
	// not count.
	CrashPart string
	// RestartAfter is the time from a crash until the server listens at its address
	// again. It then calls OnRestart, which may be nil.
	RestartAfter time.Duration
	OnRestart    func(b *Backend)

	ln net.Listener

	mu         sync.Mutex
	conns      map[net.Conn]bool
	crashTimes []time.Time
	// partRuns holds the arrival times of requests with CrashPart.
	partRuns    []time.Time
	incarnation int64
	behaviour   Behaviour
	// runsByID counts the runs by Attempt-Id.
	runsByID map[string]int
	canceled int
	// headers and arrivals have one entry per request received.
	headers  []http.Header
	arrivals []time.Time
	// limitPerSecond is the Server-Limit header of answers, in requests per
	// second; empty for none.
	limitPerSecond string
	// load is the Server-Load header of answers; empty for usualLoad.
	load string
}

// usualLoad is the Server-Load header of servers that report three figures.
const usualLoad = "1,0,8"

// Start listens on a free port of the loopback interface until Close.
func (b *Backend) Start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.ln, b.runsByID, b.incarnation = ln, map[string]int{}, 1
	b.conns = make(map[net.Conn]bool)
	go b.accept(ln)
	return nil
}

// accept accepts and serves connections until ln is closed.
func (b *Backend) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		go b.serve(c)
	}
}

// Crash simulates a crash: it closes the listener and all connections, and
// restarts the server after RestartAfter.
func (b *Backend) Crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashTimes = append(b.crashTimes, time.Now())
	_ = b.ln.Close()
	for c := range b.conns {
		_ = c.Close()
	}
	time.AfterFunc(b.RestartAfter, b.restart)
}

// restart listens at the same address as a new incarnation. It leaves the
// server down if the address is not available.
func (b *Backend) restart() {
	ln, err := net.Listen("tcp", b.Addr())
	if err != nil {
		return
	}
	b.mu.Lock()
	b.ln = ln
	b.incarnation++
	b.mu.Unlock()
	go b.accept(ln)
	if b.OnRestart != nil {
		b.OnRestart(b)
	}
}

// CrashTimes returns the times of the crashes, in order.
func (b *Backend) CrashTimes() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Time(nil), b.crashTimes...)
}

// CrashPartArrivals returns the arrival times of requests with CrashPart, in order.
func (b *Backend) CrashPartArrivals() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Time(nil), b.partRuns...)
}

// hasCrashPart reports whether the request's prompt has CrashPart, and records its arrival.
func (b *Backend) hasCrashPart(r *http.Request) bool {
	parts := strings.Split(r.Header.Get("Prompt-Prefix"), ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); b.CrashPart != "" && id == b.CrashPart {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.partRuns = append(b.partRuns, time.Now())
			return true
		}
	}
	return false
}

// Close closes the listener. Open connections remain.
func (b *Backend) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ln.Close()
}

// Addr returns the address that the server listens on.
func (b *Backend) Addr() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ln.Addr().String()
}

// SetLoad changes the Server-Load header of subsequent answers.
func (b *Backend) SetLoad(load string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load = load
}

// SetBehaviour changes how subsequent requests are handled.
func (b *Backend) SetBehaviour(behaviour Behaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behaviour = behaviour
}

// Runs returns how many times this server ran the request with the given
// Attempt-Id, and how many requests it ran in total.
func (b *Backend) Runs(id string) (ofID, total int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.runsByID {
		total += n
	}
	return b.runsByID[id], total
}

// Canceled returns how many requests lost their connection while they ran.
func (b *Backend) Canceled() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.canceled
}

// SetLimit sets the Server-Limit header of subsequent answers, in requests per
// second; empty omits it.
func (b *Backend) SetLimit(perSecond string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limitPerSecond = perSecond
}

// Arrivals returns the arrival times of the requests, in order.
func (b *Backend) Arrivals() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Time(nil), b.arrivals...)
}

// RequestHeaders returns the headers of all requests received, in order.
func (b *Backend) RequestHeaders() []http.Header {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]http.Header(nil), b.headers...)
}

// Entry returns the JSON value of the server's entry in the metadata store.
func (b *Backend) Entry(service, domain, state string) []byte {
	b.mu.Lock()
	incarnation := b.incarnation
	b.mu.Unlock()
	fields := map[string]any{
		"service": service, "address": b.Addr(), "zone": domain, "version": cmp.Or(b.Software, "v1"), "slots": 8, "state": state,
		"coldRemainingMs": 0, "sequence": 1, "born": incarnation,
	}
	if b.Events > 0 {
		fields["models"] = []map[string]any{{"name": "m", "version": 1}}
	}
	entry, _ := json.Marshal(fields)
	return entry
}

// serve handles the requests of one connection, one after another.
func (b *Backend) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.conns, c)
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body := make([]byte, max(r.ContentLength, 0))
		if _, err := readFull(br, body); err != nil {
			return
		}
		if b.CrashBody != "" && string(body) == b.CrashBody {
			b.Crash()
			return
		}
		if b.hasCrashPart(r) {
			write(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nResponse-Stamp: "+b.ID+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			time.Sleep(b.Pause)
			b.Crash()
			return
		}
		if !b.answer(c, r) {
			return
		}
	}
}

// readFull fills p. On an error, it returns the number of bytes read so far.
func readFull(br *bufio.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		m, err := br.Read(p[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// answer handles one request as the Behaviour requires, and reports whether the
// connection stays open. It answers with 421, without running the request, if
// the request expects another server.
func (b *Backend) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Attempt-Id")
	b.mu.Lock()
	behaviour := b.behaviour
	b.headers = append(b.headers, r.Header)
	b.arrivals = append(b.arrivals, time.Now())
	stateHeaders := "Server-Load: " + cmp.Or(b.load, usualLoad) + "\r\n"
	if b.limitPerSecond != "" {
		stateHeaders += "Server-Limit: " + b.limitPerSecond + "\r\n"
	}
	if r.Header.Get("Expect-Instance") != b.ID {
		b.mu.Unlock()
		return write(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	}
	if behaviour != BehaveRefusing && behaviour != BehaveRetryLater {
		b.runsByID[id]++
	}
	b.mu.Unlock()
	head := func(status, extra string) string {
		return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + id + "\r\n" + stateHeaders + extra
	}
	switch behaviour {
	case BehaveRetryLater:
		return write(c, head("503 Service Unavailable", fmt.Sprintf("Not-Executed: 1\r\nRetry-After: %.2f\r\nContent-Length: 0\r\n\r\n", BusyRetryAfter.Seconds())))
	case BehaveRefusing:
		return write(c, head("503 Service Unavailable", "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
	case BehaveLosingAnswers:
		return false
	case BehaveSilent:
		var p [1]byte
		_, _ = c.Read(p[:])
		b.countCanceled()
		return false
	case BehaveFailing:
		return write(c, head("500 Internal Server Error", "Response-Stamp: s\r\nContent-Length: 5\r\n\r\nerror"))
	case BehaveCrossed:
		return write(c, strings.Replace(head("200 OK", "Response-Stamp: s\r\nContent-Length: 5\r\n\r\nother"), id, "another", 1))
	}
	if behaviour == BehaveEndless {
		return b.writeEndless(c, head)
	}
	if behaviour == BehaveLeaving {
		stateHeaders += "Server-Leaving: 1\r\n"
	}
	text := cmp.Or(b.Answer, "answer to "+id)
	if behaviour >= BehaveUnframed && behaviour <= BehaveCrashingBeforeBody {
		return b.writeUnframed(c, r, head, text, behaviour)
	}
	if b.Events > 0 {
		return b.stream(c, r, head, behaviour == BehaveBreakingStreams)
	}
	return write(c, head("200 OK", fmt.Sprintf("Response-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", len(text), text)))
}

// stream sends the events after the request's Last-Event-Id. If breaks is true,
// it stops in the middle of an event. It reports whether it sent all events.
func (b *Backend) stream(c net.Conn, r *http.Request, head func(status, extra string) string, breaks bool) bool {
	lastReceived, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if !write(c, head("200 OK", "Response-Stamp: "+b.ID+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
		return false
	}
	for n := lastReceived + 1; n <= b.Events; n++ {
		time.Sleep(b.Pause)
		event := b.event(n)
		if breaks && n >= lastReceived+b.Events/2 {
			event = event[:len(event)/2]
			write(c, fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
			return false
		}
		if !write(c, fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			b.countCanceled()
			return false
		}
	}
	return write(c, "0\r\n\r\n")
}

// event returns the event with the number n.
func (b *Backend) event(n int) string {
	if b.Software != "" {
		return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, b.Software)
	}
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
}

// writeEndless sends an answer without an end. It returns false: the connection closes.
func (b *Backend) writeEndless(c net.Conn, head func(status, extra string) string) bool {
	contentType := "text/plain"
	if b.Events > 0 {
		contentType = "text/event-stream"
	}
	piece := strings.Repeat("x", 64<<10)
	isOpen := write(c, head("200 OK", "Response-Stamp: "+b.ID+"\r\nContent-Type: "+contentType+"\r\nTransfer-Encoding: chunked\r\n\r\n"))
	for sent := 0; isOpen && sent < endlessBytes; sent += len(piece) {
		isOpen = write(c, fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece))
	}
	return false
}

// writeUnframed sends an answer that ends with its connection, or crashes on the way as the
// behaviour requires. It returns false: the connection closes.
func (b *Backend) writeUnframed(c net.Conn, r *http.Request, head func(status, extra string) string, text string, behaviour Behaviour) bool {
	extra := "Response-Stamp: " + b.ID + "\r\n"
	if b.Events > 0 {
		extra += "Content-Type: text/event-stream\r\n"
		var events strings.Builder
		lastReceived, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for n := lastReceived + 1; n <= b.Events; n++ {
			fmt.Fprintf(&events, "id: %d\ndata: piece %d\n\n", n, n)
		}
		text = events.String()
	}
	write(c, head("200 OK", extra+"\r\n"))
	switch behaviour {
	case BehaveCrashingUnframed:
		half := strings.Index(text, "\n\n") + 2
		if half < 2 {
			half = len(text) / 2
		}
		write(c, text[:half])
		b.Crash()
	case BehaveCrashingBeforeBody:
		b.Crash()
	default:
		write(c, text)
	}
	return false
}

// countCanceled counts a request that lost its connection while it ran.
func (b *Backend) countCanceled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.canceled++
}

// write reports whether s was written.
func write(c net.Conn, s string) bool {
	_, err := c.Write([]byte(s))
	return err == nil
}
