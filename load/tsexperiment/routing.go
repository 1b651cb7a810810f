package tsexperiment

import (
	"context"
	"math/rand/v2"
	"time"

	"turmericshed"
)

// routingCapacityPerSecond is the rate of requests that the twelve fake engines sustain if 70% of
// the prompts have a cached prefix: each request occupies one of 16 slots for 100 steps, and its
// prefill delays the whole batch.
const routingCapacityPerSecond = 58.0

// routingScenario describes traffic and faults.
type routingScenario struct {
	name string
	// duration is simulated time. Only calls that begin in [measureFrom, measureUntil) are
	// measured; a measureUntil of 0 means the end.
	duration, measureFrom, measureUntil time.Duration
	// traffic returns the arrival rate per second and the client account of the next call.
	traffic     func(now time.Duration, r *rand.Rand) (float64, string)
	prefixCount int
	// prefixSkew is the Zipf exponent of the prefixes.
	prefixSkew float64
	// reportLag is the delay of load reports.
	reportLag time.Duration
	deadline  time.Duration
	// maxTries is the maximum number of times that a caller sends a call.
	maxTries             int
	faults               []routingFault
	surgeStart, surgeEnd time.Duration
}

// routingFault is injected once, at a fixed time.
type routingFault struct {
	at     time.Duration
	inject func(*routingSim)
}

// drawPrefix draws a prefix from a Zipf distribution.
func (sc routingScenario) drawPrefix(r *rand.Rand) uint64 {
	z := rand.NewZipf(r, sc.prefixSkew, 4, uint64(sc.prefixCount-1))
	return (z.Uint64() + 1) * 0x9e3779b97f4a7c15
}

// routingMix spreads a rate over two large and eight small accounts.
func routingMix(rate float64) func(time.Duration, *rand.Rand) (float64, string) {
	return func(_ time.Duration, r *rand.Rand) (float64, string) {
		return rate, drawRoutingAccount(r)
	}
}

func drawRoutingAccount(r *rand.Rand) string {
	if x := r.Float64(); x < 0.35 {
		return "large-0"
	} else if x < 0.7 {
		return "large-1"
	}
	return "small-" + string('0'+rune(r.IntN(8)))
}

// routingSurge is routingMix at the base rate, with one account sending extra requests per second
// between from and to.
func routingSurge(base, extra float64, from, to time.Duration) func(time.Duration, *rand.Rand) (float64, string) {
	return func(now time.Duration, r *rand.Rand) (float64, string) {
		if now < from || now >= to {
			return base, drawRoutingAccount(r)
		}
		if r.Float64() < extra/(base+extra) {
			return base + extra, "large-0"
		}
		return base + extra, drawRoutingAccount(r)
	}
}

// routingScenarios returns all scenarios.
func routingScenarios(quick bool) []routingScenario {
	s := time.Second
	base := routingScenario{
		duration: 90 * s, measureFrom: 10 * s, prefixCount: 240, prefixSkew: 1.3, reportLag: 500 * time.Millisecond,
		deadline: 20 * s, maxTries: 1, traffic: routingMix(0.8 * routingCapacityPerSecond),
	}
	if quick {
		base.duration = 60 * s
	}
	with := func(name string, change func(*routingScenario)) routingScenario {
		sc := base
		sc.name = name
		change(&sc)
		return sc
	}
	relist := func(sim *routingSim) { sim.after(routingListLag, sim.publishServers) }
	return []routingScenario{
		with("steady_80", func(*routingScenario) {}),
		with("no_prefix_80", func(sc *routingScenario) { sc.prefixCount = 0 }),
		with("skewed_prefixes", func(sc *routingScenario) { sc.prefixSkew = 2 }),
		with("report_lag_100ms", func(sc *routingScenario) { sc.reportLag = s / 10 }),
		with("report_lag_2s", func(sc *routingScenario) { sc.reportLag = 2 * s }),
		with("server_death", func(sc *routingScenario) {
			sc.faults = []routingFault{{20 * s, func(sim *routingSim) { sim.engines[0].crash(); relist(sim) }}}
			sc.traffic = routingMix(0.7 * routingCapacityPerSecond)
		}),
		with("server_leaving", func(sc *routingScenario) {
			sc.faults = []routingFault{{20 * s, func(sim *routingSim) { sim.engines[0].leavingSince = sim.now; relist(sim) }}}
			sc.traffic = routingMix(0.7 * routingCapacityPerSecond)
		}),
		with("fresh_server", func(sc *routingScenario) {
			sc.faults = []routingFault{{20 * s, func(sim *routingSim) { sim.addEngine(len(sim.engines)); sim.publishServers() }}}
			sc.measureFrom, sc.measureUntil = 20*s, 30*s
			sc.traffic = routingMix(0.9 * routingCapacityPerSecond)
		}),
		with("black_hole", func(sc *routingScenario) {
			sc.faults = []routingFault{{20 * s, func(sim *routingSim) { sim.engines[0].isBlackHole = true }}}
			sc.traffic = routingMix(0.7 * routingCapacityPerSecond)
		}),
		with("domain_cut", func(sc *routingScenario) {
			sc.faults = []routingFault{
				{20 * s, func(sim *routingSim) { sim.cutDomain = "c" }},
				{40 * s, func(sim *routingSim) { sim.cutDomain = "" }},
			}
			sc.traffic = routingMix(0.6 * routingCapacityPerSecond)
			sc.measureFrom, sc.measureUntil = 20*s, 50*s
		}),
		with("small_alone", func(sc *routingScenario) {
			sc.traffic = routingMix(0.5 * routingCapacityPerSecond)
			sc.measureFrom, sc.measureUntil = 20*s, 50*s
		}),
		with("large_surge", func(sc *routingScenario) {
			sc.traffic = routingSurge(0.5*routingCapacityPerSecond, 2*routingCapacityPerSecond, 20*s, 50*s)
			sc.measureFrom, sc.measureUntil = 20*s, 50*s
		}),
		with("metastable", func(sc *routingScenario) {
			sc.duration, sc.surgeStart, sc.surgeEnd = 160*s, 30*s, 90*s
			sc.deadline, sc.maxTries = 8*s, 5
			high := routingMix(2.4 * routingCapacityPerSecond)
			low := sc.traffic
			sc.traffic = func(now time.Duration, r *rand.Rand) (float64, string) {
				if now >= 30*s && now < 90*s {
					return high(now, r)
				}
				return low(now, r)
			}
		}),
	}
}

// RoutingResult is the result of the routing experiment.
type RoutingResult struct {
	Seed   uint64         `json:"seed"`
	Rows   []RoutingRow   `json:"rows,omitempty"`
	Slopes *RoutingSlopes `json:"slopes,omitempty"`
}

// runRouting measures every policy in every scenario, or the slopes.
func runRouting(ctx context.Context, o Options) (any, error) {
	res := RoutingResult{Seed: o.Seed}
	if o.Scenario == "slopes" {
		slopes, err := measureRoutingSlopes(ctx, o)
		res.Slopes = &slopes
		return res, err
	}
	for _, sc := range routingScenarios(o.Quick) {
		if o.Scenario != "" && o.Scenario != sc.name {
			continue
		}
		for _, p := range routingPolicies() {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			sim := newRoutingSim(o.Seed, sc, p)
			sim.run()
			res.Rows = append(res.Rows, sim.book.result(sim))
		}
	}
	if len(res.Rows) == 0 {
		return nil, turmericshed.NewError(turmericshed.KindBadRequest, "unknown scenario %q", o.Scenario)
	}
	return res, nil
}
