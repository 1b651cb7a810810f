package tsload

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Values of the label "scope": within the failure domain, and between failure domains.
const (
	scopeDomain = "domain"
	scopeDigest = "digest"
)

// Values of the label "result".
const (
	resultAnswered   = "answered"
	resultFailed     = "failed"
	resultOldVersion = "old_version"
)

// counters holds the counters of calls and readings.
type counters struct {
	calls          *prometheus.CounterVec
	sent, received *prometheus.CounterVec
	taken          prometheus.Counter
	malformed      prometheus.Counter
}

// register creates the metrics and registers them if a registerer is configured.
func (s *Sharer) register() {
	s.counters = counters{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmericshed_load_calls_total", Help: "Calls to other entry VMs that exchange load readings, by scope and result.",
		}, []string{"scope", "result"}),
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmericshed_load_readings_sent_total", Help: "Load readings sent to other entry VMs, by scope.",
		}, []string{"scope"}),
		received: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmericshed_load_readings_received_total", Help: "New load readings received from other entry VMs, by scope.",
		}, []string{"scope"}),
		taken: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "turmericshed_load_readings_taken_total", Help: "Load readings taken from answers while load is shared.",
		}),
		malformed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "turmericshed_load_malformed_total", Help: "Messages with load readings that were malformed.",
		}),
	}
	if s.cfg.Metrics == nil {
		return
	}
	s.cfg.Metrics.MustRegister(s.counters.calls, s.counters.sent, s.counters.received, s.counters.taken, s.counters.malformed,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "turmericshed_load_known_servers", Help: "Backend servers with a load reading that is young enough to choose by.",
		}, func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return float64(s.table.Young(time.Now()))
		}))
}
