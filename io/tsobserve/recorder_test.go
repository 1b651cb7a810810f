package tsobserve_test

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsobserve"
)

var epoch = time.Unix(1_700_000_000, 0).UTC()

func newRecorder(process string, now time.Time, m *tsobserve.Metrics) *tsobserve.Recorder {
	return tsobserve.New(tsobserve.Config{
		Process: process, FailureDomain: "a", Capacity: 3, Metrics: m, Now: func() time.Time { return now },
	})
}

func serveTimeline(t *testing.T, h http.Handler) netip.AddrPort {
	mux := http.NewServeMux()
	mux.Handle("/operator/timeline", h)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func newReader(t *testing.T, addrs ...netip.AddrPort) *tsobserve.Reader {
	return &tsobserve.Reader{Addrs: addrs, Client: &http.Client{}, Warn: func(a netip.AddrPort, err error) { t.Errorf("%s: %v", a, err) }}
}

func TestRecorder(t *testing.T) {
	t.Run("an effect is ordered after its cause although the peer's clock is behind", func(t *testing.T) {
		ahead, behind := newRecorder("x", epoch.Add(2*time.Second), nil), newRecorder("a", epoch, nil)
		peer := httptest.NewServer(behind.Receive(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			behind.Record(turmericshed.Event{Name: turmericshed.EventTokensMoved, Reason: "effect"})
		})))
		defer peer.Close()
		ahead.Record(turmericshed.Event{Name: turmericshed.EventTokensMoved, Reason: "cause"})
		client := &http.Client{Transport: ahead.Transport(http.DefaultTransport)}
		resp, err := client.Get(peer.URL)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		got := newReader(t, serveTimeline(t, ahead.Handler()), serveTimeline(t, behind.Handler())).Read(t.Context())
		assert.Equal(t, len(got), 2)
		assert.Equal(t, got[0].Reason+" "+got[1].Reason, "cause effect")
	})
	t.Run("a full recorder retains the newest events", func(t *testing.T) {
		r := newRecorder("x", epoch, nil)
		for _, reason := range strings.Split("abcde", "") {
			r.Record(turmericshed.Event{Name: turmericshed.EventDispatched, Reason: reason})
		}
		got := newReader(t, serveTimeline(t, r.Handler())).Read(t.Context())
		assert.Equal(t, len(got), 3)
		assert.Equal(t, got[0].Reason, "c")
		assert.Equal(t, got[0].Process, "x")
	})
	t.Run("follow delivers an event recorded later", func(t *testing.T) {
		r := newRecorder("x", epoch, nil)
		ctx, cancel := context.WithCancel(t.Context())
		seen := make(chan string, 2)
		go newReader(t, serveTimeline(t, r.Handler())).Follow(ctx, func(e turmericshed.Event) { seen <- e.Reason })
		r.Record(turmericshed.Event{Name: turmericshed.EventDispatched, Reason: "first"})
		assert.Equal(t, <-seen, "first")
		r.Record(turmericshed.Event{Name: turmericshed.EventDispatched, Reason: "second"})
		assert.Equal(t, <-seen, "second")
		cancel()
	})
	t.Run("a rejected operator key is reported to Warn", func(t *testing.T) {
		warnings := 0
		r := newReader(t, serveTimeline(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })))
		r.Warn = func(netip.AddrPort, error) { warnings++ }
		assert.Equal(t, len(r.Read(t.Context())), 0)
		assert.Equal(t, warnings, 1)
	})
}

func TestMetrics(t *testing.T) {
	m := tsobserve.NewMetrics()
	r := newRecorder("x", epoch, m)
	r.Record(turmericshed.Event{Name: turmericshed.EventLotDrawn, Tokens: 40})
	m.RecordRequest(turmericshed.WorkAssistant, turmericshed.KindNone, time.Millisecond, time.Second)
	m.Attempt(turmericshed.RouteRequest{Work: turmericshed.WorkAssistant}, turmericshed.DispatchResult{
		FirstByte: 100 * time.Millisecond, Elapsed: time.Second, Tokens: 10,
	})
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`turmericshed_events_total{event="lot_drawn"} 1`,
		`turmericshed_event_tokens_total{event="lot_drawn"} 40`,
		`turmericshed_attempts_total{kind="none",work="assistant"} 1`,
		`turmericshed_attempt_first_byte_seconds_sum{work="assistant"} 0.1`,
		`turmericshed_requests_total{kind="none",work="assistant"} 1`,
		`turmericshed_first_byte_seconds_sum{work="assistant"} 0.001`,
	} {
		t.Run(line, func(t *testing.T) { assert.Assert(t, strings.Contains(w.Body.String(), line)) })
	}
}

func TestLogger(t *testing.T) {
	for _, format := range []tsobserve.LogFormat{tsobserve.LogText, tsobserve.LogJSON} {
		t.Run(string(format), func(t *testing.T) {
			var b bytes.Buffer
			l := tsobserve.WithPrefix(tsobserve.NewLogger(&b, format, slog.LevelInfo), "routing").With("server", "s-1")
			l.Info("server excluded")
			assert.Assert(t, strings.Contains(b.String(), "routing: server excluded"), b.String())
			assert.Assert(t, strings.Contains(b.String(), "s-1"))
		})
	}
}
