package tsmeter

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"turmericshed/core/tslink"
)

// reportInterval is the time between log lines while the link is congested.
const reportInterval = time.Second

// totals are the bytes and connections since the start, by party.
type totals [partyCount]struct{ in, out, opened int64 }

func (m *Meter) totals() (t totals) {
	for p := range t {
		c := &m.counters[p]
		t[p].in, t[p].out, t[p].opened = c.in.Load(), c.out.Load(), c.opened.Load()
	}
	return t
}

// String returns the controller's name for the supervisor's log.
func (m *Meter) String() string { return "link meter" }

// Serve logs the traffic once a second while the link is congested, and logs once when it no longer
// is. It also updates whether the link is saturated.
func (m *Meter) Serve(ctx context.Context) error {
	reportTick, lookTick := time.NewTicker(reportInterval), time.NewTicker(tslink.TickInterval)
	defer reportTick.Stop()
	defer lookTick.Stop()
	last, since := m.totals(), time.Now()
	var wasCongested bool
	for {
		select {
		case now := <-reportTick.C:
			s, t := m.state(), m.totals()
			s.congested = m.WasCongested(since)
			switch {
			case s.congested:
				m.cfg.Log.LogAttrs(ctx, slog.LevelWarn, "link is congested", attrs(s, last, t)...)
			case wasCongested:
				m.cfg.Log.LogAttrs(ctx, slog.LevelInfo, "link is no longer congested", attrs(s, last, t)...)
			}
			last, since, wasCongested = t, now, s.congested
		case <-lookTick.C:
			m.updateFull(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// updateFull decides whether callers should be sent to other entry VMs and logs a change.
func (m *Meter) updateFull(ctx context.Context) {
	s := m.state()
	m.mu.Lock()
	now := time.Now()
	m.link.RecordTick(now)
	full := m.relief.Update(now, max(s.inboundLoad, s.outboundLoad))
	m.mu.Unlock()
	if m.isFull.Swap(full) == full {
		return
	}
	msg := "link is no longer saturated; accepting callers again"
	if full {
		msg = "link is saturated; sending callers to other entry VMs"
	}
	m.cfg.Log.LogAttrs(ctx, slog.LevelWarn, msg, slog.Float64("inbound_load", s.inboundLoad), slog.Float64("outbound_load", s.outboundLoad),
		slog.Int64("outbound_queue_ms", s.queueDelay.Milliseconds()))
}

// attrs returns the load of the link, and the bytes and connections of each party between two
// totals.
func attrs(s linkState, last, t totals) []slog.Attr {
	as := []slog.Attr{
		slog.Float64("inbound_load", s.inboundLoad), slog.Float64("outbound_load", s.outboundLoad), slog.Int64("outbound_queue_ms", s.queueDelay.Milliseconds()),
	}
	for p := range t {
		name := Party(p).String()
		as = append(as, slog.Group(name, slog.Int64("inbound_bytes", t[p].in-last[p].in),
			slog.Int64("outbound_bytes", t[p].out-last[p].out), slog.Int64("opened", t[p].opened-last[p].opened)))
	}
	return as
}

// register registers the meter's metrics.
func (m *Meter) register() {
	if m.cfg.Metrics == nil {
		return
	}
	for p := range partyCount {
		c := &m.counters[p]
		for d, n := range map[tslink.Direction]func() float64{
			tslink.Inbound:  func() float64 { return float64(c.in.Load()) },
			tslink.Outbound: func() float64 { return float64(c.out.Load()) },
		} {
			m.cfg.Metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
				Name: "turmericshed_link_bytes_total", Help: "Bytes of the process's connections by direction and by who is at the other end.",
				ConstLabels: prometheus.Labels{"party": p.String(), "direction": d.String()},
			}, n))
		}
		m.cfg.Metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "turmericshed_link_connections_total", Help: "Connections opened or accepted, by who is at the other end.",
			ConstLabels: prometheus.Labels{"party": p.String()},
		}, func() float64 { return float64(c.opened.Load()) }))
	}
	for d, load := range map[tslink.Direction]func() float64{
		tslink.Inbound:  func() float64 { return m.state().inboundLoad },
		tslink.Outbound: func() float64 { return m.state().outboundLoad },
	} {
		m.cfg.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "turmericshed_link_load", Help: "Part of the link's capacity in use over the last half second.",
			ConstLabels: prometheus.Labels{"direction": d.String()},
		}, load))
	}
	m.cfg.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "turmericshed_link_queue_seconds", Help: "Time until what was written so far has left the link.",
	}, func() float64 { return m.state().queueDelay.Seconds() }))
}
