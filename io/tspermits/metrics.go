package tspermits

import "github.com/prometheus/client_golang/prometheus"

// Results of draws, the values of the label "result".
const (
	drawGranted  = "granted"
	drawRefused  = "refused"
	drawFailed   = "failed"
	drawIsolated = "alone"
)

// counters holds the counters of draws, permits used and permits returned.
type counters struct {
	draws    *prometheus.CounterVec
	sent     prometheus.Counter
	returned prometheus.Counter
}

// register creates the metrics and registers them if a registerer is configured.
func (p *Permits) register() {
	p.counters = counters{
		draws: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmericshed_permit_draws_total", Help: "Draws of permits for limited servers by result; alone where no holder answers.",
		}, []string{"result"}),
		sent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "turmericshed_limited_requests_total", Help: "Permits used to send to limited servers.",
		}),
		returned: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "turmericshed_permits_returned_total", Help: "Permits of requests that were not sent after all.",
		}),
	}
	if p.cfg.Metrics == nil {
		return
	}
	p.cfg.Metrics.MustRegister(p.counters.draws, p.counters.sent, p.counters.returned, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "turmericshed_limited_servers", Help: "Backend servers that name a limit, as far as this entry VM knows.",
	}, func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return float64(p.book.Limited())
	}))
}
