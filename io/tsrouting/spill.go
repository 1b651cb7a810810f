package tsrouting

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"turmericshed"
	"turmericshed/core/tsroute"
	"turmericshed/core/tsspill"
)

// SpillConfig holds the settings of spillover between failure domains.
type SpillConfig struct {
	// Enabled is true if the settings call for it. Otherwise it begins once a server
	// reports how long work takes on its machine.
	Enabled  bool
	Settings tsspill.Settings
	// Metrics is the registry for the metrics; may be nil.
	Metrics prometheus.Registerer
	// Log receives changed decisions; nil discards them.
	Log *slog.Logger
}

// spillMetrics counts what left the local failure domain, by service. The services are
// those of the routing table.
type spillMetrics struct {
	requests, bytes *prometheus.CounterVec
	isEnabled       bool
}

// setUpSpill prepares spillover, and enables it if the settings call for it.
func (p *Pool) setUpSpill() {
	cfg := p.cfg.Spill
	if cfg == nil {
		return
	}
	p.spill = &spillMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmericshed_spill_requests_total", Help: "Attempts at backend servers of another failure domain, by service.",
		}, []string{"service"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmericshed_spill_bytes_total", Help: "Body bytes of requests and answers of such attempts, by service.",
		}, []string{"service"}),
	}
	if cfg.Metrics != nil {
		cfg.Metrics.MustRegister(p.spill.requests, p.spill.bytes)
	}
	if cfg.Enabled {
		p.enableSpill("settings")
	}
}

// enableSpillFor enables spillover if a report says how long work takes. p.mu must be
// held.
func (p *Pool) enableSpillFor(r turmericshed.LoadReport) {
	if p.spill != nil && !p.spill.isEnabled && r.WorkTime > 0 {
		p.enableSpill("a server reports how long work takes")
	}
}

// enableSpill enables spillover. p.mu must be held, or p not be in use yet.
func (p *Pool) enableSpill(reason string) {
	p.spill.isEnabled = true
	cfg := p.cfg.Spill
	log := cfg.Log
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	p.router.EnableSpill(cfg.Settings, func(c tsroute.SpillChange) {
		d := c.Decision
		log.Info("spillover to other failure domains changed", "service", c.Service, "fraction", d.Fraction, "penalty", d.Penalty,
			"local_load", c.Loads.Local, "remote_load", c.Loads.Remote, "delay_ms", milliseconds(d.Delay), "slope_ms", milliseconds(d.Slope),
			"bytes", d.Bytes, "measured", d.IsMeasured)
	})
	log.Info("spillover between failure domains enabled", "reason", reason, "cost_ms_per_mb", milliseconds(cfg.Settings.CostPerMegabyte))
}

// countSpill counts an attempt that was sent to another failure domain, also while the
// fixed penalty is in force. p.mu must be held.
func (p *Pool) countSpill(id turmericshed.ServerID, r turmericshed.RouteRequest, res turmericshed.DispatchResult) {
	if p.spill == nil || p.router.IsLocal(id) || res.RequestBytes+res.AnswerBytes == 0 && res.FirstByte == 0 {
		return
	}
	p.spill.requests.WithLabelValues(r.Service).Inc()
	p.spill.bytes.WithLabelValues(r.Service).Add(float64(res.RequestBytes + res.AnswerBytes))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
