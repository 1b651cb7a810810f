// Package tsobserve is what a process shows of itself: the time line of
// events, logs and metrics.
//
// # Usage
//
//	m := tsobserve.NewMetrics()
//	rec := tsobserve.New(tsobserve.Config{Process: "entry-1", FailureDomain: "a", Metrics: m})
//	rec.Record(turmericshed.Event{Name: turmericshed.EventDispatched, Request: id})
//	mux.Handle("/operator/timeline", rec.Handler()) // JSON lines, ?since=17&follow=true
//	mux.Handle("/metrics", m.Handler())
//
//	log := tsobserve.NewLogger(os.Stderr, tsobserve.LogText, slog.LevelInfo)
//	tsobserve.Part(log, "routing").Info("Server taken out", "server", id)
//
// Messages between processes carry the clock: wrap the client's transport by
// [Recorder.Transport] and the server's handler by [Recorder.Receive].
package tsobserve

import (
	"net/http"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/core/tstimeline"
)

const (
	// defaultCapacity is the number of events kept; about 300 bytes each.
	defaultCapacityEvents = 8192
	// clockHeader carries the sender's stamp between processes.
	clockHeader = "Turmericshed-Clock"
)

// Config holds what a Recorder needs. Process must be unique in the fleet.
type Config struct {
	Process       string
	FailureDomain turmericshed.FailureDomain
	// Capacity is the number of events kept; 0 takes the default.
	Capacity int
	// Now is the clock; nil takes time.Now.
	Now func() time.Time
	// Next gets every event with its stamp; nil means nobody.
	Next turmericshed.Recorder
	// Metrics counts each event by name; nil counts nothing.
	Metrics *Metrics
}

// Recorder keeps the newest events of one process in memory.
type Recorder struct {
	cfg Config

	mu      sync.Mutex
	clock   tstimeline.Clock
	ring    *tstimeline.Ring[turmericshed.Event]
	changed chan struct{}
}

var _ turmericshed.Recorder = (*Recorder)(nil)

// New returns a recorder.
func New(cfg Config) *Recorder {
	if cfg.Capacity == 0 {
		cfg.Capacity = defaultCapacityEvents
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Recorder{cfg: cfg, ring: tstimeline.NewRing[turmericshed.Event](cfg.Capacity), changed: make(chan struct{})}
}

// Record stamps e and keeps it. It never blocks on a reader.
func (r *Recorder) Record(e turmericshed.Event) {
	e.Process, e.FailureDomain = r.cfg.Process, r.cfg.FailureDomain
	r.mu.Lock()
	s := r.clock.Next(r.cfg.Now())
	e.Wall, e.Logical = s.Wall, s.Logical
	r.ring.Push(e)
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	if r.cfg.Next != nil {
		r.cfg.Next.Record(e)
	}
	if r.cfg.Metrics != nil {
		r.cfg.Metrics.countEvent(e)
	}
}

// Stamp returns a stamp for a message about to be sent.
func (r *Recorder) Stamp() tstimeline.Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Next(r.cfg.Now())
}

// Observe joins the stamp of a received message.
func (r *Recorder) Observe(s tstimeline.Stamp) {
	r.mu.Lock()
	taken := r.clock.Observe(r.cfg.Now(), s)
	r.mu.Unlock()
	if !taken && r.cfg.Metrics != nil {
		r.cfg.Metrics.refusedStamps.Inc()
	}
}

// after returns events above the cursor and a channel closed at the next one.
func (r *Recorder) eventsAfter(cursor uint64) (first uint64, events []turmericshed.Event, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, events = r.ring.After(cursor, readBatchEvents)
	return first, events, r.changed
}

// Transport adds the clock to requests sent to other processes.
func (r *Recorder) Transport(next http.RoundTripper) http.RoundTripper {
	return roundTripper(func(req *http.Request) (*http.Response, error) {
		req = req.Clone(req.Context())
		req.Header.Set(clockHeader, r.Stamp().String())
		resp, err := next.RoundTrip(req)
		if err == nil {
			r.observeHeader(resp.Header)
		}
		return resp, err
	})
}

// Receive joins the clock of requests received from other processes. It is
// for peers only: a caller's clock is not taken.
func (r *Recorder) Receive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.observeHeader(req.Header)
		w.Header().Set(clockHeader, r.Stamp().String())
		next.ServeHTTP(w, req)
	})
}

func (r *Recorder) observeHeader(h http.Header) {
	s, err := tstimeline.ParseStamp(h.Get(clockHeader))
	if err == nil {
		r.Observe(s)
	}
}

type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip calls f.
func (f roundTripper) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }
