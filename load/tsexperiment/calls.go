package tsexperiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"turmericshed/io/tspause"

	"turmericshed"
	"turmericshed/standin/tsplatform"
)

const (
	// designClaimsPerSecond is the rate of claims at the design size, and
	// designClaimWritesPerSecond the limit of store writes at that rate.
	designClaimsPerSecond      = 1000
	designClaimWritesPerSecond = 200
	// faultClaimsPerSecond is the rate of claims in the scenarios with faults.
	faultClaimsPerSecond = 300

	scenarioDuration      = 10 * time.Second
	quickScenarioDuration = 2 * time.Second
	// pauseDuration is how long a VM is paused; it is longer than callDeadline.
	pauseDuration = 2500 * time.Millisecond
)

// CallsResult is the result of one system in one scenario.
type CallsResult struct {
	Scenario string  `json:"scenario"`
	System   string  `json:"system"`
	Calls    int     `json:"calls"`
	Seconds  float64 `json:"seconds"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	InDoubt  int     `json:"in_doubt"`
	// SettledLater is the number of calls that were settled after their caller had stopped
	// retrying.
	SettledLater int `json:"settled_later"`
	// UnplacedAfterUnknown is the number of calls that never ran, but whose caller received an unknown
	// outcome and stopped retrying.
	UnplacedAfterUnknown int `json:"unplaced_after_unknown"`

	DoubledCalls   int `json:"doubled_calls"`
	LostCalls      int `json:"lost_calls"`
	FalseNotRun    int `json:"false_not_run"`
	UnknownAnswers int `json:"unknown_answers"`
	// ForeignAnswers is the number of answers that belong to another call.
	ForeignAnswers int `json:"foreign_answers"`

	KVWritesPerCall       float64 `json:"kv_writes_per_call"`
	KVWritesPerSecond     float64 `json:"kv_writes_per_second"`
	KVReadsPerSecond      float64 `json:"kv_reads_per_second"`
	KVBytesWrittenPerCall int64   `json:"kv_bytes_written_per_call"`
	ClaimP50Micros        int64   `json:"claim_p50_us"`
	ClaimP99Micros        int64   `json:"claim_p99_us"`
}

// CallsReport is the result of the calls experiment.
type CallsReport struct {
	Seed uint64 `json:"seed"`
	// The totals under the product's own system; the writes and claim latencies are those of the
	// steady scenario.
	DoubledCalls    int     `json:"doubled_calls"`
	LostCalls       int     `json:"lost_calls"`
	FalseNotRun     int     `json:"false_not_run"`
	UnknownAnswers  int     `json:"unknown_answers"`
	PartialAnswers  int     `json:"partial_answers"`
	ForeignFrames   int     `json:"foreign_frames"`
	BilledTwice     int     `json:"billed_twice"`
	Unbilled        int     `json:"unbilled"`
	KVWritesPerCall float64 `json:"kv_writes_per_call"`
	ClaimP50Micros  int64   `json:"claim_p50_us"`
	ClaimP99Micros  int64   `json:"claim_p99_us"`
	CrashesByPoison int     `json:"crashes_by_poison"`
	// WithinWrites reports whether claims at the design size stay below designClaimWritesPerSecond.
	WithinWrites bool           `json:"within_writes"`
	Scenarios    []CallsResult  `json:"scenarios,omitempty"`
	Frames       []FramesResult `json:"frames,omitempty"`
	Poison       []PoisonResult `json:"poison,omitempty"`
	Slopes       *CallsSlopes   `json:"slopes,omitempty"`
}

// callScenario is one scenario with claims.
type callScenario struct {
	name           string
	callsPerSecond int
	duplicateShare float64
	// runsBaselines reports whether the baselines run the scenario too.
	runsBaselines bool
	// injectFaults runs concurrently with the load until ctx ends.
	injectFaults func(ctx context.Context, r *rand.Rand, f *callFleet)
}

func callScenarios() []callScenario {
	return []callScenario{
		{name: "steady", callsPerSecond: designClaimsPerSecond, runsBaselines: true},
		{name: "retries", callsPerSecond: faultClaimsPerSecond, duplicateShare: 0.5, runsBaselines: true},
		{name: "store_outage", callsPerSecond: faultClaimsPerSecond, duplicateShare: 0.2, runsBaselines: true, injectFaults: injectOutages},
		{name: "lost_answers", callsPerSecond: faultClaimsPerSecond, duplicateShare: 0.2, runsBaselines: true, injectFaults: injectLostAnswers},
		{name: "runner_deaths", callsPerSecond: faultClaimsPerSecond, duplicateShare: 0.2, runsBaselines: true, injectFaults: injectDeaths},
		{name: "pauses", callsPerSecond: faultClaimsPerSecond, duplicateShare: 0.2, runsBaselines: true, injectFaults: injectPauses},
		{name: "all_together", callsPerSecond: faultClaimsPerSecond, duplicateShare: 0.2, injectFaults: injectAll},
	}
}

// runCalls measures claims, frames and quarantine. Claims run on goroutines and the real clock: the
// seed fixes the load and the faults, but timings vary between runs.
func runCalls(ctx context.Context, o Options) (any, error) {
	rep := &CallsReport{Seed: o.Seed, WithinWrites: true}
	known := false
	for _, sc := range callScenarios() {
		if o.Scenario != "" && o.Scenario != sc.name {
			continue
		}
		known = true
		systems := []string{systemClaims}
		if sc.runsBaselines {
			systems = append(systems, systemMemory, systemPerKey)
		}
		for _, system := range systems {
			res, err := runCallScenario(ctx, o, sc, system)
			if err != nil {
				return nil, err
			}
			rep.Scenarios = append(rep.Scenarios, res)
			if system == systemClaims {
				rep.addScenario(res)
			}
		}
	}
	if o.Scenario == "" || o.Scenario == "crossed_frames" {
		known = true
		rep.addFrames(runFrames(o))
	}
	if o.Scenario == "" || o.Scenario == "poison" {
		known = true
		rep.addPoison(runPoison(o))
	}
	if o.Scenario == "slopes" {
		known = true
		slopes, err := measureCallSlopes(ctx, o)
		if err != nil {
			return nil, err
		}
		rep.Slopes = slopes
	}
	if !known {
		return nil, turmericshed.NewError(turmericshed.KindBadRequest, "unknown scenario %q", o.Scenario)
	}
	return rep, nil
}

// addScenario adds the result of a scenario to the summary.
func (r *CallsReport) addScenario(res CallsResult) {
	r.DoubledCalls += res.DoubledCalls
	r.LostCalls += res.LostCalls
	r.FalseNotRun += res.FalseNotRun
	r.UnknownAnswers += res.UnknownAnswers
	r.ForeignFrames += res.ForeignAnswers
	if res.Scenario == "steady" {
		r.KVWritesPerCall = res.KVWritesPerCall
		r.ClaimP50Micros, r.ClaimP99Micros = res.ClaimP50Micros, res.ClaimP99Micros
		r.WithinWrites = res.KVWritesPerSecond < designClaimWritesPerSecond
	}
}

// runCallScenario runs one scenario under one system.
func runCallScenario(ctx context.Context, o Options, sc callScenario, system string) (CallsResult, error) {
	d := scenarioDuration
	if o.Quick {
		d = quickScenarioDuration
	}
	r := rand.New(rand.NewPCG(o.Seed, uint64(len(sc.name))))
	f := newCallFleet(system, true)
	l := &callLoad{fleet: f, book: newCallBook(), callsPerSecond: sc.callsPerSecond, duplicateShare: sc.duplicateShare}
	faultCtx, stop := context.WithTimeout(ctx, d)
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if sc.injectFaults != nil {
			sc.injectFaults(faultCtx, rand.New(rand.NewPCG(o.Seed, 2)), f)
		}
	}()
	began := time.Now()
	n := l.run(ctx, r, d)
	elapsed := time.Since(began)
	stop()
	<-ended
	f.clearFaults()
	time.Sleep(settleDuration)
	res, err := l.audit(ctx, n, elapsed)
	res.Scenario, res.System = sc.name, system
	if err != nil {
		return res, fmt.Errorf("audit of %s under %s: %w", sc.name, system, err)
	}
	return res, nil
}

// clearFaults removes all faults except VM deaths and resolves open claims.
func (f *callFleet) clearFaults() {
	f.store.SetFaults(tsplatform.Faults{Delay: turmericshed.Duration(callStoreDelay)})
	f.service.mu.Lock()
	f.service.lossInterval = 0
	f.service.mu.Unlock()
	for _, v := range f.all() {
		v.pausedAt.Store(0)
	}
	for slot := range f.all() {
		if v := f.all()[slot]; v.diedAt.Load() == 0 && v.calls != nil {
			v.calls.ResolveOnce(context.Background())
		}
	}
}

// injectOutages makes the store unavailable for one second of every three.
func injectOutages(ctx context.Context, _ *rand.Rand, f *callFleet) {
	for tspause.For(ctx, 700*time.Millisecond) {
		f.store.ChangeFaults(func(fl *tsplatform.Faults) { fl.Outage = true })
		alive := tspause.For(ctx, time.Second)
		f.store.ChangeFaults(func(fl *tsplatform.Faults) { fl.Outage = false })
		if !alive || !tspause.For(ctx, 1300*time.Millisecond) {
			return
		}
	}
}

// injectLostAnswers drops answers of the store and of the service, and delays writes.
func injectLostAnswers(ctx context.Context, r *rand.Rand, f *callFleet) {
	f.service.mu.Lock()
	f.service.lossInterval = 50
	f.service.mu.Unlock()
	for tspause.For(ctx, 50*time.Millisecond) {
		f.store.ChangeFaults(func(fl *tsplatform.Faults) {
			if r.IntN(2) == 0 {
				fl.LoseAnswers = 1
				return
			}
			fl.HoldWrites, fl.HoldFor = 1, turmericshed.Duration(r.IntN(300)+1)*turmericshed.Duration(time.Millisecond)
		})
	}
}

// injectDeaths terminates a VM every 400 ms and starts another one.
func injectDeaths(ctx context.Context, r *rand.Rand, f *callFleet) {
	for tspause.For(ctx, 400*time.Millisecond) {
		v := f.pickLive(r)
		v.diedAt.Store(time.Now().UnixNano())
		f.startVM(r.IntN(callDomains))
	}
}

// injectPauses pauses a VM every 500 ms, at any point of a call.
func injectPauses(ctx context.Context, r *rand.Rand, f *callFleet) {
	for tspause.For(ctx, 500*time.Millisecond) {
		v := f.pickLive(r)
		v.pausedAt.CompareAndSwap(0, time.Now().UnixNano())
		time.AfterFunc(pauseDuration, func() { v.pausedAt.Store(0) })
	}
}

// injectAll injects every kind of fault concurrently.
func injectAll(ctx context.Context, r *rand.Rand, f *callFleet) {
	done := make(chan struct{})
	faults := []func(context.Context, *rand.Rand, *callFleet){injectOutages, injectLostAnswers, injectDeaths, injectPauses}
	for i, fault := range faults {
		seed := rand.New(rand.NewPCG(r.Uint64(), uint64(i)))
		go func() {
			fault(ctx, seed, f)
			done <- struct{}{}
		}()
	}
	for range faults {
		<-done
	}
}
