package tsholder

import (
	"github.com/prometheus/client_golang/prometheus"

	"turmericshed"
)

// newRefusalCounter returns the counter of refusals, by the kind of the error.
func newRefusalCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "turmericshed_token_refusals_total", Help: "Requests refused for tokens, by error kind and whether the store answered.",
	}, []string{"kind", "store"})
}

// registerMetrics registers the metrics of the holder.
func (h *Holder) registerMetrics() {
	if h.cfg.Metrics == nil {
		return
	}
	h.cfg.Metrics.MustRegister(h.refusals, h.forgottenTokens, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "turmericshed_tokens_held", Help: "Tokens available to requests at this entry VM, of all budgets.",
	}, func() float64 { return float64(h.heldTokens()) }))
}

func (h *Holder) heldTokens() (sum turmericshed.Tokens) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.budgets {
		sum += h.core.Available(id)
	}
	return sum
}

// countRefusalLocked counts a refused request in the metrics.
func (h *Holder) countRefusalLocked(b *budget, err error) {
	store := "answered"
	if b.storeErr != nil {
		store = "silent"
	}
	h.refusals.WithLabelValues(turmericshed.KindOf(err).String(), store).Inc()
}
