// Package tsobserve provides the observability of a process: the time line of events,
// logs and metrics.
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
//	tsobserve.WithPrefix(log, "routing").Info("server excluded", "server", id)
//
// Messages between processes carry a hybrid logical clock: wrap the client's transport
// with [Recorder.Transport] and the server's handler with [Recorder.Receive].
package tsobserve

import (
	"net/http"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/core/tstimeline"
)

const (
	// defaultCapacityEvents is the number of events in memory, about 300 bytes each.
	defaultCapacityEvents = 8192
	// clockHeader is the header with the sender's clock stamp.
	clockHeader = "Turmericshed-Clock"
)

// Config configures a Recorder. Process must be unique in the fleet.
type Config struct {
	Process       string
	FailureDomain turmericshed.FailureDomain
	// Capacity is the number of events in memory; 0 selects the default.
	Capacity int
	// Now returns the wall time; nil selects time.Now.
	Now func() time.Time
	// Next receives every event after it is stamped, if it is not nil.
	Next turmericshed.Recorder
	// Metrics counts the events by name, if it is not nil.
	Metrics *Metrics
}

// Recorder retains the newest events of one process in memory.
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

// Record stamps e and stores it. It never blocks on a reader.
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

// Observe merges the stamp of a received message into the clock. A stamp too far ahead
// is refused and counted.
func (r *Recorder) Observe(s tstimeline.Stamp) {
	r.mu.Lock()
	accepted := r.clock.Observe(r.cfg.Now(), s)
	r.mu.Unlock()
	if !accepted && r.cfg.Metrics != nil {
		r.cfg.Metrics.refusedStamps.Inc()
	}
}

// eventsAfter returns up to readBatchEvents events after the cursor, the sequence
// number of the first one, and a channel that is closed when the next event is recorded.
func (r *Recorder) eventsAfter(cursor uint64) (first uint64, events []turmericshed.Event, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, events = r.ring.After(cursor, readBatchEvents)
	return first, events, r.changed
}

// Transport returns a transport that adds a clock stamp to requests to other processes
// and observes the stamps of their answers.
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

// Receive returns a handler that observes the clock stamps of requests from other
// processes and adds a stamp to their answers. It is for peers only: the clock of a
// caller is not trusted.
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

// RoundTrip calls f(req).
func (f roundTripper) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }
