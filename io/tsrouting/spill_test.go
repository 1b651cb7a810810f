package tsrouting_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/core/tsspill"
	"turmericshed/io/tsrouting"
)

// newSpillPool returns a pool in failure domain a, with one server there and one in b.
func newSpillPool(cfg *tsrouting.SpillConfig) *tsrouting.Pool {
	board := &tsboard.Board{}
	list := servers(2)
	for i := range list {
		list[i].Work, list[i].Service, list[i].Models = turmericshed.WorkService, "desk", nil
	}
	list[1].FailureDomain = "b"
	board.Servers.Write(list)
	return tsrouting.NewPool(tsrouting.PoolConfig{FailureDomain: "a", Board: board, Spill: cfg})
}

var desk = turmericshed.RouteRequest{Work: turmericshed.WorkService, Service: "desk", BodyBytes: 1000}

// send picks a server for a request and ends it.
func send(t *testing.T, p *tsrouting.Pool, now time.Time) turmericshed.BackendServer {
	t.Helper()
	s, err := p.Pick(t.Context(), now, desk)
	assert.NilError(t, err)
	p.Done(now, s.ID, desk, turmericshed.DispatchResult{FirstByte: 1, FirstOutput: time.Millisecond, RequestBytes: 1000, AnswerBytes: 500})
	return s
}

// counted returns the value of a counter for the service desk.
func counted(t *testing.T, reg *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := reg.Gather()
	assert.NilError(t, err)
	for _, f := range families {
		if f.GetName() == name {
			assert.Equal(t, f.GetMetric()[0].GetLabel()[0].GetValue(), "desk")
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}

func TestSpill(t *testing.T) {
	now := time.Now()
	crowded := turmericshed.LoadReport{Server: "s-0", At: now, Running: 20}
	idle := turmericshed.LoadReport{Server: "s-1", At: now}
	t.Run("requests and bytes that leave are counted and the decision is logged", func(t *testing.T) {
		reg, log := prometheus.NewRegistry(), &bytes.Buffer{}
		p := newSpillPool(&tsrouting.SpillConfig{Enabled: true, Settings: tsspill.Settings{CostPerMegabyte: time.Second}, Metrics: reg, Log: slog.New(slog.NewJSONHandler(log, nil))})
		p.Report(now, crowded)
		p.Report(now, idle)
		assert.Equal(t, string(send(t, p, now).FailureDomain), "b")
		assert.Equal(t, counted(t, reg, "turmericshed_spill_requests_total"), 1.0)
		assert.Equal(t, counted(t, reg, "turmericshed_spill_bytes_total"), 1500.0)
		assert.Assert(t, strings.Contains(log.String(), `"msg":"spillover to other failure domains changed","service":"desk"`), "%s", log)
	})
	t.Run("an attempt that was not sent is not counted", func(t *testing.T) {
		reg := prometheus.NewRegistry()
		p := newSpillPool(&tsrouting.SpillConfig{Metrics: reg})
		req := desk
		req.Excluded = []turmericshed.ServerID{"s-0"}
		s, err := p.Pick(t.Context(), now, req)
		assert.NilError(t, err)
		p.Done(now, s.ID, req, turmericshed.DispatchResult{Err: turmericshed.NewError(turmericshed.KindNoBackend, "x")})
		assert.Equal(t, counted(t, reg, "turmericshed_spill_requests_total"), 0.0)
	})
	enabled := func(cfg *tsrouting.SpillConfig, workTime float64) bool {
		log := &bytes.Buffer{}
		if cfg != nil {
			cfg.Log = slog.New(slog.NewJSONHandler(log, nil))
		}
		p := newSpillPool(cfg)
		r := crowded
		r.WorkTime = workTime
		p.Report(now, r)
		p.Report(now, r)
		return strings.Count(log.String(), "spillover between failure domains enabled") == 1
	}
	t.Run("it is enabled by the settings", func(t *testing.T) {
		assert.Assert(t, enabled(&tsrouting.SpillConfig{Enabled: true}, 0))
	})
	t.Run("it is enabled once by a server that reports how long work takes", func(t *testing.T) {
		assert.Assert(t, enabled(&tsrouting.SpillConfig{}, 1.2))
	})
	t.Run("it stays off without either", func(t *testing.T) {
		assert.Assert(t, !enabled(&tsrouting.SpillConfig{}, 0))
		assert.Assert(t, !enabled(nil, 1.2))
	})
}
