package tsmetastore

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Behaviour is how a Backend treats the requests that follow.
type Behaviour int

// The behaviours.
const (
	// BehaveWell answers whole.
	BehaveWell Behaviour = iota
	// BehaveFull refuses without running the request.
	BehaveFull
	// BehaveLosing runs the request and closes the connection unanswered.
	BehaveLosing
	// BehaveBreaking breaks a stream off inside an event, before half of its
	// events were sent.
	BehaveBreaking
	// BehaveFailing answers 500.
	BehaveFailing
	// BehaveCrossed answers for another request.
	BehaveCrossed
	// BehaveSilent runs the request and never answers.
	BehaveSilent
	// BehaveBusy refuses without running the request, and wants nothing for
	// BusyFor.
	BehaveBusy
	// BehaveLeaving answers whole and says that it is going away.
	BehaveLeaving
)

// BusyFor is for how long a busy Backend wants no request.
const BusyFor = 3 * time.Second

// Backend stands in for one server of the users' platform: a plain service, or
// with Events an engine whose streams have so many events.
type Backend struct {
	ID     string
	Events int
	// Pause is the time between the events of a stream.
	Pause time.Duration
	// Poison is the body of requests that end the server when it begins to work
	// on them; empty for none. It stays away for Down, starts again at its
	// address and calls Restarted.
	Poison    string
	Down      time.Duration
	Restarted func(b *Backend)

	ln net.Listener

	mu          sync.Mutex
	conns       map[net.Conn]bool
	crashTimes  []time.Time
	incarnation int64
	behaviour   Behaviour
	runsByID    map[string]int
	canceled    int
	headers     []http.Header
	arrivals    []time.Time
	// limit is what answers name as the requests a second that are taken.
	limitPerSecond string
}

// Start listens on the loopback interface until Close.
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

// End ends the server with all that it works on, and starts it again after
// Down.
func (b *Backend) End() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashTimes = append(b.crashTimes, time.Now())
	_ = b.ln.Close()
	for c := range b.conns {
		_ = c.Close()
	}
	time.AfterFunc(b.Down, b.restart)
}

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
	if b.Restarted != nil {
		b.Restarted(b)
	}
}

// Ends returns when the server ended, in order.
func (b *Backend) Ends() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Time(nil), b.crashTimes...)
}

// Close stops listening.
func (b *Backend) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ln.Close()
}

// Addr returns the address.
func (b *Backend) Addr() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ln.Addr().String()
}

// Behave changes how requests are treated.
func (b *Backend) Behave(how Behaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behaviour = how
}

// Runs returns how often the request ran here, and in all.
func (b *Backend) Runs(id string) (one, all int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.runsByID {
		all += n
	}
	return b.runsByID[id], all
}

// Canceled returns how many requests lost their connection while they ran.
func (b *Backend) Canceled() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.canceled
}

// SetLimit makes the answers that follow name a limit; empty names none.
func (b *Backend) SetLimit(perSecond string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limitPerSecond = perSecond
}

// Arrivals returns when requests came, in order.
func (b *Backend) Arrivals() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Time(nil), b.arrivals...)
}

// Seen returns the headers of the requests, in order.
func (b *Backend) Seen() []http.Header {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]http.Header(nil), b.headers...)
}

// Entry returns the server's entry in the store.
func (b *Backend) Entry(service, domain, state string) []byte {
	b.mu.Lock()
	born := b.incarnation
	b.mu.Unlock()
	doc := map[string]any{
		"service": service, "address": b.Addr(), "zone": domain, "version": "v1", "slots": 8, "state": state,
		"coldRemainingMs": 0, "sequence": 1, "born": born,
	}
	if b.Events > 0 {
		doc["models"] = []map[string]any{{"name": "m", "version": 1}}
	}
	entry, _ := json.Marshal(doc)
	return entry
}

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
		if b.Poison != "" && string(body) == b.Poison {
			b.End()
			return
		}
		if !b.answer(c, r) {
			return
		}
	}
}

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

// answer treats one request and reports whether the connection goes on.
func (b *Backend) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Attempt-Id")
	b.mu.Lock()
	how := b.behaviour
	b.headers = append(b.headers, r.Header)
	b.arrivals = append(b.arrivals, time.Now())
	says := "Server-Load: 1,0,8\r\n"
	if b.limitPerSecond != "" {
		says += "Server-Limit: " + b.limitPerSecond + "\r\n"
	}
	if r.Header.Get("Expect-Instance") != b.ID {
		b.mu.Unlock()
		return write(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	}
	if how != BehaveFull && how != BehaveBusy {
		b.runsByID[id]++
	}
	b.mu.Unlock()
	head := func(status, extra string) string {
		return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + id + "\r\n" + says + extra
	}
	switch how {
	case BehaveBusy:
		return write(c, head("503 Service Unavailable", fmt.Sprintf("Not-Executed: 1\r\nRetry-After: %.2f\r\nContent-Length: 0\r\n\r\n", BusyFor.Seconds())))
	case BehaveFull:
		return write(c, head("503 Service Unavailable", "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
	case BehaveLosing:
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
	if how == BehaveLeaving {
		says += "Server-Leaving: 1\r\n"
	}
	if b.Events > 0 {
		return b.stream(c, r, head, how == BehaveBreaking)
	}
	text := "answer to " + id
	return write(c, head("200 OK", fmt.Sprintf("Response-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", len(text), text)))
}

// stream sends the events that follow the last one that the caller has.
func (b *Backend) stream(c net.Conn, r *http.Request, head func(status, extra string) string, breaks bool) bool {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if !write(c, head("200 OK", "Response-Stamp: "+b.ID+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
		return false
	}
	for n := from + 1; n <= b.Events; n++ {
		time.Sleep(b.Pause)
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
		if breaks && n >= from+b.Events/2 {
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

func (b *Backend) countCanceled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.canceled++
}

func write(c net.Conn, s string) bool {
	_, err := c.Write([]byte(s))
	return err == nil
}
