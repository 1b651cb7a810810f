package tsrouting

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"turmericshed"
	"turmericshed/core/tsadmit"
	"turmericshed/core/tsboard"
)

// shedInterval is the time between steps of the shedding controller, also while no
// requests arrive.
const shedInterval = 250 * time.Millisecond

// SheddingConfig holds the dependencies of a Shedding.
type SheddingConfig struct {
	Board   *tsboard.Board
	Metrics prometheus.Registerer
	Log     *slog.Logger
}

// Shedding implements turmericshed.Admission: it refuses requests that the servers
// of their service can't serve in time, see tsadmit.Shedder. Requests without a
// service are admitted.
type Shedding struct {
	cfg       SheddingConfig
	decisions *prometheus.CounterVec

	mu       sync.Mutex
	shedder  *tsadmit.Shedder
	refusing map[string]bool
	// maxShare is the largest refused share of the services.
	maxShare float64
}

var (
	_ turmericshed.Admission         = (*Shedding)(nil)
	_ turmericshed.AdmissionFeedback = (*Shedding)(nil)
)

// NewShedding returns a Shedding for the servers on the board.
func NewShedding(cfg SheddingConfig) *Shedding {
	s := &Shedding{
		cfg: cfg, shedder: tsadmit.NewShedder(), refusing: make(map[string]bool),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "turmericshed_admission_decisions_total", Help: "Decisions of the admission control: admitted, held, or the reason of a refusal.",
		}, []string{"decision"}),
	}
	if cfg.Metrics != nil {
		cfg.Metrics.MustRegister(s.decisions, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "turmericshed_admission_refused_share", Help: "Largest refused share of a service, in urgency classes; 0 refuses nothing.",
		}, s.share))
	}
	return s
}

func (s *Shedding) share() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxShare
}

// Admit decides on a request and returns at once, unless a short wait admits it. The
// caller calls the returned function when the request is done. Errors: KindOverloaded,
// KindDeadline, KindCanceled; each of them means that nothing was sent.
func (s *Shedding) Admit(ctx context.Context, r turmericshed.AdmitRequest) (func(), error) {
	if r.Service != "" {
		if err := s.shed(ctx, r); err != nil {
			return nil, err
		}
	}
	return func() {}, nil
}

// shed refuses or holds a request of a service.
func (s *Shedding) shed(ctx context.Context, r turmericshed.AdmitRequest) error {
	s.mu.Lock()
	d := s.shedder.Decide(time.Now(), r)
	s.mu.Unlock()
	switch d.Verdict {
	case tsadmit.Refused:
		s.decisions.WithLabelValues(string(d.Reason)).Inc()
		return d.Err
	case tsadmit.Queued:
		s.decisions.WithLabelValues("held").Inc()
		return s.hold(ctx, d.HoldUntil)
	default:
		s.decisions.WithLabelValues("admitted").Inc()
		return nil
	}
}

// hold waits until the given time or the end of ctx.
func (s *Shedding) hold(ctx context.Context, until time.Time) error {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.shedder.HoldEnded()
	}()
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return contextError(ctx)
	}
}

// Report applies a load report.
func (s *Shedding) Report(now time.Time, r turmericshed.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedder.Report(now, r)
}

// FullServers returns the servers whose token memory can't hold r, unless every
// server that is not excluded is full.
func (s *Shedding) FullServers(now time.Time, r turmericshed.AdmitRequest, excluded []turmericshed.ServerID) []turmericshed.ServerID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedder.FullServers(now, r, excluded)
}

// AttemptStarted reports that a server was picked for r.
func (s *Shedding) AttemptStarted(_ time.Time, id turmericshed.ServerID, r turmericshed.AdmitRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedder.AttemptStarted(id, r)
}

// AttemptBegan reports how long a server took until the first event or the answer.
func (s *Shedding) AttemptBegan(now time.Time, r turmericshed.AdmitRequest, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedder.AttemptBegan(now, r, elapsed)
}

// AttemptEnded reports the end of an attempt.
func (s *Shedding) AttemptEnded(now time.Time, id turmericshed.ServerID, r turmericshed.AdmitRequest, res turmericshed.AttemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedder.AttemptEnded(now, id, r, res)
}

// RetryAfter returns after how long a request that a server refused is worth another
// attempt.
func (s *Shedding) RetryAfter(now time.Time, id turmericshed.ServerID, r turmericshed.AdmitRequest) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedder.RetryAfter(now, id, r)
}

// Controllers returns the loop that follows the servers and runs the controller.
func (s *Shedding) Controllers() []turmericshed.Controller {
	return []turmericshed.Controller{sheddingController{s}}
}

// sheddingController follows the board's servers and steps the shedder.
type sheddingController struct{ shedding *Shedding }

// String names the controller in the supervisor's log.
func (sheddingController) String() string { return "admission shedding" }

// Serve runs until ctx ends.
func (c sheddingController) Serve(ctx context.Context) error {
	tick := time.NewTicker(shedInterval)
	defer tick.Stop()
	servers, changed := c.shedding.cfg.Board.Servers.Watch()
	c.shedding.setServers(servers)
	for {
		select {
		case <-changed:
			servers, changed = c.shedding.cfg.Board.Servers.Watch()
			c.shedding.setServers(servers)
		case now := <-tick.C:
			c.shedding.step(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Shedding) setServers(servers []turmericshed.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedder.SetServers(servers)
}

// step runs the controller and logs which services begin and end to be overloaded.
func (s *Shedding) step(now time.Time) {
	for _, st := range s.changedStatuses(now) {
		attrs := []any{"service", st.Service, "share", st.Share, "running", st.Running, "queued", st.Queued, "slots", st.Slots}
		if st.Refusing {
			s.cfg.Log.Warn("service is overloaded; refusing a share of its requests", attrs...)
		} else {
			s.cfg.Log.Info("service is no longer overloaded", attrs...)
		}
	}
}

// changedStatuses runs the controller and returns the states of the services that have
// begun or ended to be overloaded.
func (s *Shedding) changedStatuses(now time.Time) (changed []tsadmit.ServiceStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxShare = 0
	for _, st := range s.shedder.Step(now) {
		s.maxShare = max(s.maxShare, st.Share)
		if st.Refusing != s.refusing[st.Service] {
			s.refusing[st.Service] = st.Refusing
			changed = append(changed, st)
		}
	}
	return changed
}
