// Package tsdrill runs entry VMs of the users' platform as separate processes, beside a
// stand-in store and backend servers in its own process, and checks the promises on what
// callers and servers saw.
//
// A run has three phases. In the first, entry VMs are stopped, restarted and reloaded, the
// routing table changes, and engines are replaced by ones of another software version, in
// series and overlapping; no answer may be cut off. In the second, requests with prompt
// parts that crash backend servers come at all entry VMs, beside stops, kills, also of all
// entry VMs at once, lost answers, answers that never end, server crashes, an outage of the
// store, a store that comes back from an older copy, and releases beside entry VMs that stand
// still or are cut off from the store. In the third nothing fails, and callers must be served. Half of the callers
// keep using a stopping entry VM until its process is gone. Callers resume interrupted
// streams, and some send a body slowly to a path without a route.
//
// The seed fixes the schedule of failures. Processes, sockets and the time of day are
// real, so a run does not repeat exactly.
//
// # Usage
//
//	report, err := tsdrill.Run(ctx, tsdrill.Options{Seed: 1, Duration: 30 * time.Second, EntryVMs: 6, Binary: path})
//	for _, v := range report.Violations { ... }
package tsdrill

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

const (
	// contactTimeout is the time within which all entry VMs act on what one of them saw.
	contactTimeout = 3 * time.Second
	// gracePeriod is the time from SIGTERM until a process is killed.
	gracePeriod = 8 * time.Second
	// applyTimeout is the time within which a routing table must be in force.
	applyTimeout = 2 * time.Second
	// plannedShare and faultShare are the parts of a run that the first and the second
	// phase take.
	plannedShare = 0.4
	faultShare   = 0.35
	// maxDownShare is the part of the entry VMs that may be down or stopping at once.
	maxDownShare = 0.5
	// deadlyInterval is the mean time between requests with a deadly part.
	deadlyInterval = 150 * time.Millisecond
	// spendInterval is the mean time between requests of the account with the small budget.
	spendInterval = 12 * time.Millisecond
	// requestInterval is the mean time between two requests of a caller.
	requestInterval = 60 * time.Millisecond
)

// Options are the settings of a run.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// EntryVMs is the number of gateway processes, Callers that of callers.
	EntryVMs, Callers int
	// Binary is the path of the turmericshed binary.
	Binary string
	// Dir holds settings files and logs.
	Dir string
}

// Report is the result of a run.
type Report struct {
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	Answered int    `json:"answered"`
	Refused  int    `json:"refused"`
	Fails    int    `json:"fails"`
	Stops    int    `json:"stops"`
	Kills    int    `json:"kills"`
	// KillsOfAll counts how often all entry VMs were killed at once, Releases the engines that were
	// replaced by ones of another software version.
	KillsOfAll int `json:"kills_of_all"`
	Releases   int `json:"releases"`
	// Resumed counts the interrupted streams that callers resumed, WentOn those that went on.
	Resumed int `json:"resumed"`
	WentOn  int `json:"went_on"`
	// Restores counts how often the store came back from an older copy, Freezes and Cuts the processes
	// that stood still or were cut off from the store.
	Restores int `json:"restores"`
	Freezes  int `json:"freezes"`
	Cuts     int `json:"cuts"`
	// SmallUsed is the number of tokens that the account with the small budget used.
	SmallUsed int `json:"small_used"`
	Reloads   int `json:"reloads"`
	Changes   int `json:"changes"`
	// ServerCrashes counts the crashes of model engines, DeadlyArrivals the requests
	// with a deadly part that reached one.
	ServerCrashes  int `json:"server_crashes"`
	DeadlyArrivals int `json:"deadly_arrivals"`
	// Violations describe the broken promises, at most maxViolations.
	Violations []string `json:"violations"`
}

// drill is the state of a run.
type drill struct {
	Options
	rng     *rand.Rand
	servers *servers
	copier  copier
	vms     []*entryVM
	// plannedUntil and faultsUntil are the ends of the first and the second phase.
	plannedUntil, faultsUntil, until time.Time

	mu       sync.Mutex
	report   Report
	requests []request
}

// Run runs a drill. It returns an error if the processes can't be started, and ctx's error
// when it ends early.
func Run(ctx context.Context, o Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &drill{Options: o, rng: rand.New(rand.NewPCG(o.Seed, o.Seed))}
	d.report.Seed = o.Seed
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return d.report, err
	}
	var err error
	if d.servers, err = startServers(); err != nil {
		return d.report, err
	}
	defer d.servers.close()
	defer d.killAll()
	for i := range o.EntryVMs {
		vm, err := newEntryVM(o, i, d.servers.storeAddr)
		if err != nil {
			return d.report, err
		}
		d.vms = append(d.vms, vm)
		if err := vm.start(); err != nil {
			return d.report, err
		}
	}
	for _, vm := range d.vms {
		if err := vm.awaitReady(ctx); err != nil {
			return d.report, err
		}
	}
	now := time.Now()
	d.plannedUntil = now.Add(time.Duration(plannedShare * float64(o.Duration)))
	d.faultsUntil = d.plannedUntil.Add(time.Duration(faultShare * float64(o.Duration)))
	d.until = now.Add(o.Duration)
	var tasks sync.WaitGroup
	for i := range o.Callers {
		c := &caller{d: d, rng: d.newRand(uint64(i)), isStubborn: i%2 == 0}
		tasks.Go(func() { c.run(ctx) })
	}
	copying, stopCopying := context.WithCancel(ctx)
	defer stopCopying()
	go d.copier.run(copying, d.servers.store)
	tasks.Go(func() { d.runPlanned(ctx) })
	tasks.Go(func() { d.runFaults(ctx) })
	tasks.Wait()
	d.check()
	return d.report, ctx.Err()
}

// newRand returns a random source of its own for a task.
func (d *drill) newRand(task uint64) *rand.Rand { return rand.New(rand.NewPCG(d.Seed, task+1)) }

// killAll kills the remaining processes and waits for them.
func (d *drill) killAll() {
	for _, vm := range d.vms {
		vm.kill()
		_ = vm.link.listener.Close()
	}
}

// pause waits for a time around mean, and reports whether the phase that ends at until
// goes on.
func pause(ctx context.Context, rng *rand.Rand, mean time.Duration, until time.Time) bool {
	select {
	case <-time.After(mean/2 + time.Duration(rng.Int64N(int64(mean)+1))):
		return ctx.Err() == nil && time.Now().Before(until)
	case <-ctx.Done():
		return false
	}
}
