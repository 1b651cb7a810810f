package tsexperiment

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// budgetSpec describes one scenario at one load.
type budgetSpec struct {
	scenario  string
	load      string
	domains   int
	perDomain int
	budgets   int
	prepaid   turmericshed.Tokens
	spent     turmericshed.Tokens
	bridge    time.Duration
	duration  time.Duration
	// rate is the total number of requests per second. weights are the shares of the failure
	// domains; nil selects the domain at random or by budget, see pickNode.
	rate    float64
	weights []float64
	// topUp is added to the first budget at topUpAt.
	topUp   turmericshed.Tokens
	topUpAt time.Duration
	// Between faultAt and faultEnd the last failure domain is cut off or the key-value service is
	// down.
	cutsLastDomain, hasOutage bool
	faultAt, faultEnd         time.Duration
	// crashEvery is the interval between crashes, which hit the entry VMs in order; 0 means no
	// crashes.
	crashEvery time.Duration
}

// budgetPolicy is one way to distribute tokens among the entry VMs.
type budgetPolicy struct {
	name      string
	placement tsbudget.Placement
	edge      turmericshed.EdgePreference
	// chargesPerRequest reserves each request in the key-value service. skipsPeers disables loans
	// between entry VMs.
	chargesPerRequest bool
	skipsPeers        bool
	// witnessGap models a witnessed ceiling that is ahead of the usage by this much time; 0 means
	// no witness.
	witnessGap time.Duration
}

// budgetRequest is one request with its actual cost, which the policies learn only at its end.
type budgetRequest struct {
	arrivalOffset time.Duration
	arrivedAt     time.Time
	nodeIndex     int
	budget        int
	worstCase     turmericshed.Tokens
	cost          turmericshed.Tokens
	duration      time.Duration
	maxWait       time.Duration
}

// BudgetRow is the result of one policy in one scenario.
type BudgetRow struct {
	Scenario          string              `json:"scenario"`
	Load              string              `json:"load"`
	Policy            string              `json:"policy"`
	Requests          int                 `json:"requests"`
	Refusals          int                 `json:"refusals"`
	FalseRefusals     int                 `json:"false_refusals"`
	OverspendTokens   turmericshed.Tokens `json:"overspend_tokens"`
	BurntTokens       turmericshed.Tokens `json:"burnt_tokens"`
	Crashes           int                 `json:"crashes"`
	BurntPerCrash     turmericshed.Tokens `json:"burnt_tokens_per_crash"`
	WritesPerSecond   float64             `json:"kv_writes_per_second"`
	ReadsPerSecond    float64             `json:"kv_reads_per_second"`
	AdmissionP50Micro int64               `json:"admission_p50_us"`
	AdmissionP99Micro int64               `json:"admission_p99_us"`
}

// BudgetResult is the result of the experiment.
type BudgetResult struct {
	Seed uint64      `json:"seed"`
	Rows []BudgetRow `json:"rows"`
}

const (
	// meanRequestTokens is the approximate mean cost of a request.
	meanRequestTokens = 675
	// budgetFaultDuration is the duration of network cuts and outages.
	budgetFaultDuration = time.Hour
	// busiestPerRequestDuration is the duration of the busiest scenario under the policy that
	// reserves each request in the key-value service.
	busiestPerRequestDuration = 2 * time.Second
)

var threeDomainWeights = []float64{0.3, 0.1, 0.6}

func budgetPolicies() []budgetPolicy {
	return []budgetPolicy{
		{name: "equal_share", placement: tsbudget.EqualShare{}, edge: turmericshed.PreferNoRefusal},
		{name: "concentrated", placement: tsbudget.Concentrated{}, edge: turmericshed.PreferNoRefusal},
		{name: "by_demand", placement: tsbudget.ByDemand{}, edge: turmericshed.PreferNoRefusal},
		{name: "by_demand_no_surprise", placement: tsbudget.ByDemand{}, edge: turmericshed.PreferNoSurprise},
		{name: "store_per_request", placement: fixedSplit{}, edge: turmericshed.PreferNoRefusal, chargesPerRequest: true, skipsPeers: true},
		{name: "fixed_split", placement: fixedSplit{}, edge: turmericshed.PreferNoRefusal, skipsPeers: true},
	}
}

// budgetSpecs returns the scenarios. With quick set, most durations are divided by 6.
func budgetSpecs(quick bool) []budgetSpec {
	quickDivisor := time.Duration(1)
	if quick {
		quickDivisor = 6
	}
	tokens := func(rate float64, d time.Duration) turmericshed.Tokens {
		return turmericshed.Tokens(rate * meanRequestTokens * d.Seconds())
	}
	var specs []budgetSpec
	for _, load := range []struct {
		name string
		rate float64
	}{{"heavy", 40}, {"light", 1}} {
		base := budgetSpec{load: load.name, domains: 3, perDomain: 3, budgets: 1, rate: load.rate, weights: threeDomainWeights}
		steady := base
		steady.scenario, steady.duration = "steady", 600*time.Second/quickDivisor
		steady.prepaid = tokens(load.rate, 3*steady.duration)
		nearlySpent := base
		nearlySpent.scenario, nearlySpent.duration = "nearly_spent", time.Duration(2400/load.rate)*2*time.Second/quickDivisor
		nearlySpent.duration = max(nearlySpent.duration, 2*time.Minute)
		remaining := tokens(load.rate, nearlySpent.duration*2/3)
		nearlySpent.prepaid, nearlySpent.spent = 20*remaining, 19*remaining
		cutTopUp := base
		cutTopUp.rate = min(load.rate, 10)
		cutTopUp.scenario, cutTopUp.duration, cutTopUp.bridge = "cut_top_up", (budgetFaultDuration+20*time.Minute)/quickDivisor, budgetFaultDuration/quickDivisor
		cutTopUp.cutsLastDomain, cutTopUp.faultAt, cutTopUp.faultEnd = true, 10*time.Minute/quickDivisor, 10*time.Minute/quickDivisor+budgetFaultDuration/quickDivisor
		cutTopUp.prepaid, cutTopUp.topUp, cutTopUp.topUpAt = tokens(cutTopUp.rate, cutTopUp.duration), tokens(cutTopUp.rate, cutTopUp.duration), 40*time.Minute/quickDivisor
		storeOutage := cutTopUp
		storeOutage.scenario, storeOutage.cutsLastDomain, storeOutage.hasOutage, storeOutage.topUp = "store_outage", false, true, 0
		storeOutage.prepaid *= 2
		specs = append(specs, steady, nearlySpent, cutTopUp, storeOutage)
	}
	crashStorm := budgetSpec{
		scenario: "crash_storm", load: "heavy", domains: 3, perDomain: 3, budgets: 1, rate: 40, weights: threeDomainWeights,
		duration: 600 * time.Second / quickDivisor, crashEvery: 20 * time.Second,
	}
	crashStorm.prepaid = tokens(crashStorm.rate, 3*crashStorm.duration)
	busiest := budgetSpec{
		scenario: "busiest", load: "heavy", domains: 15, perDomain: 8, budgets: 1, rate: 400, duration: 120 * time.Second / quickDivisor,
	}
	busiest.prepaid = tokens(busiest.rate, 10*busiest.duration)
	manyQuiet := budgetSpec{
		scenario: "many_quiet", load: "light", domains: 15, perDomain: 2, budgets: 470, rate: 470.0 / 60, duration: 30 * time.Minute / quickDivisor,
		prepaid: 2_000_000,
	}
	return append(specs, crashStorm, busiest, manyQuiet)
}

// runBudget measures every policy in every scenario.
func runBudget(ctx context.Context, o Options) (any, error) {
	switch o.Scenario {
	case "slopes":
		return budgetSlopes(), nil
	case "crash_sweep":
		return runCrashSweep(ctx, o)
	}
	res := BudgetResult{Seed: o.Seed}
	known := []string{"slopes", "crash_sweep"}
	for _, spec := range budgetSpecs(o.Quick) {
		known = append(known, spec.scenario)
		if o.Scenario != "" && o.Scenario != spec.scenario {
			continue
		}
		for _, p := range budgetPolicies() {
			res.Rows = append(res.Rows, measureBudget(ctx, o.Seed, spec, p))
			if ctx.Err() != nil {
				return nil, turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "experiment")
			}
		}
	}
	if len(res.Rows) == 0 {
		return nil, turmericshed.NewError(turmericshed.KindBadRequest, "unknown scenario %q: expected one of %v", o.Scenario, slices.Compact(known))
	}
	return res, nil
}

// measureBudget runs one policy in one scenario.
func measureBudget(ctx context.Context, seed uint64, spec budgetSpec, p budgetPolicy) BudgetRow {
	if p.chargesPerRequest && spec.scenario == "busiest" {
		// A single key can't sustain this rate; a short run is enough to show it.
		spec.duration = busiestPerRequestDuration
	}
	sim := newBudgetSim(seed, spec, p)
	requests := budgetRequests(seed, spec)
	sim.schedule(requests)
	sim.run(ctx, sim.now.Add(spec.duration+time.Minute))
	reads, writes := sim.reads, sim.writes
	burntTokens := sim.drain()
	idealRefused := idealRefusals(ctx, spec, requests)
	row := BudgetRow{
		Scenario: spec.scenario, Load: spec.load, Policy: p.name, Requests: sim.tally.requests, Refusals: sim.tally.refused,
		FalseRefusals:   max(sim.tally.falseRefusals, sim.tally.refused-idealRefused),
		OverspendTokens: sim.tally.overspend, BurntTokens: burntTokens, Crashes: sim.tally.crashes,
		WritesPerSecond: float64(writes) / spec.duration.Seconds(), ReadsPerSecond: float64(reads) / spec.duration.Seconds(),
		AdmissionP50Micro: percentile(sim.tally.admissionWaits, 50).Microseconds(), AdmissionP99Micro: percentile(sim.tally.admissionWaits, 99).Microseconds(),
	}
	if row.Crashes > 0 {
		row.BurntPerCrash = burntTokens / turmericshed.Tokens(row.Crashes)
	}
	return row
}

// percentile sorts waits in place and returns their p-th percentile, or 0 if there are none.
func percentile(waits []time.Duration, p int) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[min(len(waits)*p/100, len(waits)-1)]
}

// schedule sets up the budgets and schedules the requests and faults.
func (sim *budgetSim) schedule(requests []*budgetRequest) {
	spec := sim.spec
	for b := range spec.budgets {
		sim.chargeInitial(b, spec.spent)
		sim.topUpFixedSplit(b, spec.prepaid-spec.spent)
	}
	sim.writes = 0
	for _, r := range requests {
		r.arrivedAt = sim.now.Add(r.arrivalOffset)
		sim.at(r.arrivedAt, func() { sim.nodes[r.nodeIndex].arrive(r) })
	}
	if spec.topUp > 0 {
		sim.after(spec.topUpAt, func() { sim.topUp(0, spec.topUp) })
	}
	if spec.cutsLastDomain || spec.hasOutage {
		sim.after(spec.faultAt, func() {
			sim.storeDown = spec.hasOutage
			if spec.cutsLastDomain {
				sim.cutDomain = spec.domains - 1
			}
		})
		sim.after(spec.faultEnd, func() { sim.storeDown, sim.cutDomain = false, -1 })
	}
	for i, at := 0, spec.crashEvery; spec.crashEvery > 0 && at < spec.duration; i, at = i+1, at+spec.crashEvery {
		sim.after(at, func() { sim.crash(i % len(sim.nodes)) })
	}
}

// budgetRequests returns the arrivals of a scenario, which are the same for every policy.
func budgetRequests(seed uint64, spec budgetSpec) []*budgetRequest {
	r := rand.New(rand.NewPCG(seed, 2))
	var list []*budgetRequest
	for at := 0.0; ; {
		at += r.ExpFloat64() / spec.rate
		after := time.Duration(at * float64(time.Second))
		if after >= spec.duration {
			return list
		}
		prompt := turmericshed.Tokens(50 + r.IntN(350))
		completion := turmericshed.Tokens(100 + r.IntN(700))
		budget := r.IntN(spec.budgets)
		list = append(list, &budgetRequest{
			arrivalOffset: after, budget: budget, nodeIndex: spec.pickNode(r, budget),
			worstCase: prompt*8/5 + 1024, cost: prompt + completion,
			duration: time.Duration(completion) * 8 * time.Millisecond, maxWait: 20 * time.Second,
		})
	}
}

// pickNode returns the index of the entry VM that receives the request.
func (s budgetSpec) pickNode(r *rand.Rand, budget int) int {
	domain := r.IntN(s.domains)
	switch {
	case s.weights != nil:
		x := r.Float64()
		for domain = 0; domain < s.domains-1 && x >= s.weights[domain]; domain++ {
			x -= s.weights[domain]
		}
	case s.budgets > 1 && r.Float64() < 0.8:
		// Most client accounts of a quiet budget are in one failure domain.
		domain = budget % s.domains
	}
	return domain*s.perDomain + r.IntN(s.perDomain)
}
