package tsfleet

import (
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"turmericshed/core/tsmember"
)

// metrics holds the metrics of membership traffic and members.
type metrics struct {
	bytes     *prometheus.CounterVec
	failures  prometheus.Counter
	states    *prometheus.GaugeVec
	reachable prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmericshed_gossip_bytes_total", Help: "Bytes of membership messages, without transport overhead.",
		}, []string{"direction"}),
		failures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "turmericshed_gossip_failures_total", Help: "Calls to other entry VMs that failed.",
		}),
		states: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "turmericshed_members", Help: "Known incarnations of entry VMs by state.",
		}, []string{"state"}),
		reachable: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "turmericshed_members_reachable", Help: "Entry VMs believed reachable.",
		}),
	}
	if r != nil {
		r.MustRegister(m.bytes, m.failures, m.states, m.reachable)
	}
	return m
}

func (m *metrics) sent(msg proto.Message) {
	m.bytes.WithLabelValues("sent").Add(float64(proto.Size(msg)))
}

func (m *metrics) received(msg proto.Message) {
	m.bytes.WithLabelValues("received").Add(float64(proto.Size(msg)))
}

func (m *metrics) members(members []tsmember.Member, reachable int) {
	m.states.Reset()
	for _, member := range members {
		m.states.WithLabelValues(member.State.String()).Inc()
	}
	m.reachable.Set(float64(reachable))
}
