package tsexperiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"turmericshed"
)

// RoutingRow is the result of one policy in one scenario.
type RoutingRow struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	Answered int    `json:"answered"`
	// Refused counts tries that were refused or failed.
	Refused          int     `json:"refused"`
	TTFTP50          float64 `json:"ttft_p50_ms"`
	TTFTP95          float64 `json:"ttft_p95_ms"`
	TTFTP99          float64 `json:"ttft_p99_ms"`
	PrefixHitShare   float64 `json:"prefix_hit_share"`
	GoodputPerSecond float64 `json:"goodput_per_second"`
	FalseRefusals    int     `json:"false_refusals"`
	SmallAccountP95  float64 `json:"small_account_p95_ms"`
	WorkToLeaving    int     `json:"work_to_leaving_after_2s"`
	RecoverySeconds  float64 `json:"recovery_seconds"`
}

// routingBook records the outcomes that callers see.
type routingBook struct {
	scenario        routingScenario
	row             RoutingRow
	ttft            *hdrhistogram.Histogram
	smallTTFT       *hdrhistogram.Histogram
	answersInWindow int
	bySecond        []routingSecond
}

// routingSecond counts the outcomes of the calls that began in one second.
type routingSecond struct {
	arrived, answered int
	ttft              *hdrhistogram.Histogram
}

func newRoutingBook(sc routingScenario) *routingBook {
	b := &routingBook{scenario: sc, ttft: newRoutingHistogram(), smallTTFT: newRoutingHistogram()}
	b.bySecond = make([]routingSecond, int(sc.duration/time.Second)+1)
	for i := range b.bySecond {
		b.bySecond[i].ttft = newRoutingHistogram()
	}
	return b
}

// newRoutingHistogram returns a histogram of microseconds up to ten minutes.
func newRoutingHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
}

func (b *routingBook) isMeasured(c *routingCall) bool {
	return c.began >= b.scenario.measureFrom && (b.scenario.measureUntil == 0 || c.began < b.scenario.measureUntil)
}

func (b *routingBook) secondOf(c *routingCall) *routingSecond {
	return &b.bySecond[int(c.began/time.Second)]
}

func (b *routingBook) recordArrival(c *routingCall) {
	b.secondOf(c).arrived++
	if b.isMeasured(c) {
		b.row.Requests++
	}
}

func (b *routingBook) recordFirstToken(c *routingCall, now time.Duration) {
	if c.firstTokenAt > 0 {
		return
	}
	c.firstTokenAt = now
	us := int64((now - c.began) / time.Microsecond)
	_ = b.secondOf(c).ttft.RecordValue(us)
	if !b.isMeasured(c) {
		return
	}
	_ = b.ttft.RecordValue(us)
	if c.account[0] == 's' {
		_ = b.smallTTFT.RecordValue(us)
	}
}

func (b *routingBook) recordAnswer(c *routingCall, now time.Duration) {
	if c.attempts == 1 {
		b.secondOf(c).answered++
	}
	if b.isMeasured(c) {
		b.row.Answered++
	}
	if now >= b.scenario.measureFrom && now < b.scenario.duration {
		b.answersInWindow++
	}
}

func (b *routingBook) recordFailure(c *routingCall, err error, hadSpareCapacity bool) {
	if !b.isMeasured(c) {
		return
	}
	b.row.Refused++
	if hadSpareCapacity && turmericshed.OutcomeOf(err) == turmericshed.OutcomeNotRun && turmericshed.KindOf(err) != turmericshed.KindRateLimited {
		b.row.FalseRefusals++
	}
}

// result computes the row after the run.
func (b *routingBook) result(s *routingSim) RoutingRow {
	r := b.row
	r.Scenario, r.Policy = s.scenario.name, s.policy.name
	r.TTFTP50, r.TTFTP95, r.TTFTP99 = quantileMillis(b.ttft, 50), quantileMillis(b.ttft, 95), quantileMillis(b.ttft, 99)
	r.SmallAccountP95 = quantileMillis(b.smallTTFT, 95)
	r.GoodputPerSecond = float64(b.answersInWindow) / (b.scenario.duration - b.scenario.measureFrom).Seconds()
	hits, total := 0, 0
	for _, e := range s.engines {
		hits += e.hits
		total += e.hits + e.misses
		r.WorkToLeaving += e.lateDispatches
	}
	if total > 0 {
		r.PrefixHitShare = float64(hits) / float64(total)
	}
	r.RecoverySeconds = b.recoverySeconds()
	return r
}

func quantileMillis(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// The criteria for normal service after a surge.
const (
	routingNormalShare = 0.95
	routingNormalTTFT  = 2.0
	// routingNormalWindow is the time over which the criteria must hold.
	routingNormalWindow = 10 * time.Second
)

// recoverySeconds returns the seconds from the end of the surge to the start of the first window of
// normal service: 95% of the calls answered at the first try, and a p95 of at most twice that
// before the surge. If there is no such window, it returns the rest of the run.
func (b *routingBook) recoverySeconds() float64 {
	if b.scenario.surgeEnd == 0 {
		return 0
	}
	before := newRoutingHistogram()
	for i := int(b.scenario.measureFrom / time.Second); i < int(b.scenario.surgeStart/time.Second); i++ {
		before.Merge(b.bySecond[i].ttft)
	}
	limit := routingNormalTTFT * quantileMillis(before, 95)
	end, window := int(b.scenario.surgeEnd/time.Second), int(routingNormalWindow/time.Second)
	last := int((b.scenario.duration - b.scenario.deadline) / time.Second)
	for i := end; i+window <= last; i++ {
		if b.isNormal(b.bySecond[i:i+window], limit) {
			return float64(i - end)
		}
	}
	return float64(last - end)
}

// isNormal reports whether service was normal over the given seconds.
func (b *routingBook) isNormal(seconds []routingSecond, limit float64) bool {
	ttft, arrived, answered := newRoutingHistogram(), 0, 0
	for _, s := range seconds {
		ttft.Merge(s.ttft)
		arrived += s.arrived
		answered += s.answered
	}
	return float64(answered) >= routingNormalShare*float64(arrived) && quantileMillis(ttft, 95) <= limit
}
