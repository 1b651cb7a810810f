package tscrash

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// counters holds the counters of terminated servers, probes and blocked attempts.
type counters struct {
	terminations prometheus.Counter
	probes       prometheus.Counter
	refused      prometheus.Counter
}

// register creates the metrics and registers them if a registerer is configured.
func (w *Watch) register() {
	w.counters = counters{
		terminations: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "turmericshed_servers_ended_total", Help: "Backend servers that ended while they worked on requests of this entry VM.",
		}),
		probes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "turmericshed_server_looks_total", Help: "Connections opened to see whether a backend server ended.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "turmericshed_quarantined_attempts_total", Help: "Attempts that were not made since servers had ended under the request.",
		}),
	}
	if w.cfg.Metrics == nil {
		return
	}
	blocked := func() (requests, parts int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.book.BlockedCount(time.Now())
	}
	w.cfg.Metrics.MustRegister(w.counters.terminations, w.counters.probes, w.counters.refused, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "turmericshed_quarantined_requests", Help: "Requests that are kept from backend servers.",
	}, func() float64 {
		n, _ := blocked()
		return float64(n)
	}), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "turmericshed_quarantined_parts", Help: "Prompt parts whose requests are kept from backend servers.",
	}, func() float64 {
		_, n := blocked()
		return float64(n)
	}))
}
