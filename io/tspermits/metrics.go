package tspermits

import "github.com/prometheus/client_golang/prometheus"

// register adds the metrics.
func (p *Permits) register() {
	if p.cfg.Metrics == nil {
		return
	}
	p.cfg.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "turmericshed_limited_servers", Help: "Backend servers that name a limit, as far as this entry VM knows.",
	}, func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return float64(p.book.Limited())
	}))
}
