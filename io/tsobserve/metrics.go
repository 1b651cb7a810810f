package tsobserve

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"turmericshed"
)

// Metrics holds the metrics of one process. All labels have fixed sets of values, so
// memory does not grow with the number of accounts, profiles or servers.
type Metrics struct {
	registry         *prometheus.Registry
	events           *prometheus.CounterVec
	tokens           *prometheus.CounterVec
	attempts         *prometheus.CounterVec
	requests         *prometheus.CounterVec
	attemptFirstByte *prometheus.HistogramVec
	firstByte        *prometheus.HistogramVec
	elapsed          *prometheus.HistogramVec
	queueWait        *prometheus.HistogramVec
	tokenGap         prometheus.Histogram
	refusedStamps    prometheus.Counter
}

// NewMetrics returns metrics on a new registry, which also has the process and Go
// collectors.
func NewMetrics() *Metrics {
	seconds := prometheus.ExponentialBuckets(0.001, 2, 17)
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmericshed_events_total", Help: "Events of the time line by name.",
		}, []string{"event"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmericshed_event_tokens_total", Help: "Tokens carried by events, by event name.",
		}, []string{"event"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmericshed_requests_total", Help: "Requests by kind of work and error kind; none is a whole answer.",
		}, []string{"work", "kind"}),
		attemptFirstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "turmericshed_attempt_first_byte_seconds", Help: "Time from dispatch to the first byte from the backend server.", Buckets: seconds,
		}, []string{"work"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmericshed_attempts_total", Help: "Attempts at backend servers by kind of work and error kind; none is a whole answer.",
		}, []string{"work", "kind"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "turmericshed_first_byte_seconds", Help: "Time from receipt to the first byte of the answer.", Buckets: seconds,
		}, []string{"work"}),
		elapsed: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "turmericshed_request_seconds", Help: "Time from receipt to the end of the answer.", Buckets: seconds,
		}, []string{"work"}),
		queueWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "turmericshed_queue_seconds", Help: "Time spent in the admission queue.", Buckets: seconds,
		}, []string{"work"}),
		tokenGap: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "turmericshed_token_gap_seconds", Help: "Time between frames of a token stream.", Buckets: seconds,
		}),
		refusedStamps: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "turmericshed_clock_refused_total", Help: "Remote clock stamps too far ahead to follow.",
		}),
	}
	m.registry.MustRegister(m.events, m.tokens, m.requests, m.attempts, m.attemptFirstByte, m.firstByte, m.elapsed, m.queueWait, m.tokenGap, m.refusedStamps,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Registry returns the registry, to which other packages add collectors.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Handler returns the handler for /metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// RecordRequest records a completed request. A firstByte of 0 means that there was no answer.
func (m *Metrics) RecordRequest(work turmericshed.WorkKind, kind turmericshed.Kind, firstByte, elapsed time.Duration) {
	m.requests.WithLabelValues(string(work), kind.String()).Inc()
	if firstByte > 0 {
		m.firstByte.WithLabelValues(string(work)).Observe(firstByte.Seconds())
	}
	m.elapsed.WithLabelValues(string(work)).Observe(elapsed.Seconds())
}

// RecordTokenGap records the time between two frames of a stream.
func (m *Metrics) RecordTokenGap(d time.Duration) { m.tokenGap.Observe(d.Seconds()) }

// Attempt records a completed attempt at a backend server.
func (m *Metrics) Attempt(r turmericshed.RouteRequest, res turmericshed.DispatchResult) {
	m.attempts.WithLabelValues(string(r.Work), turmericshed.KindOf(res.Err).String()).Inc()
	if res.FirstByte > 0 {
		m.attemptFirstByte.WithLabelValues(string(r.Work)).Observe(res.FirstByte.Seconds())
	}
}

// QueueWait records the time that a request spent in the admission queue.
func (m *Metrics) QueueWait(work turmericshed.WorkKind, d time.Duration) {
	m.queueWait.WithLabelValues(string(work)).Observe(d.Seconds())
}

func (m *Metrics) countEvent(e turmericshed.Event) {
	m.events.WithLabelValues(string(e.Name)).Inc()
	if e.Tokens > 0 {
		m.tokens.WithLabelValues(string(e.Name)).Add(float64(e.Tokens))
	}
}
