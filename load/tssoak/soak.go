// Package tssoak drives the decision code of core in one goroutine over small
// fakes with a fake clock, through a seeded schedule of failures.
//
// Entry VMs, engines, a service, operators and callers exchange messages over
// a network that loses them in cuts; every store call of an update is a step
// of its own, so that a VM can be paused, crash or be overtaken between any
// two. The engines, the service and the callers keep books of their own, and
// invariants are asserted at every step: tokens consumed against what is
// charged and prepaid, runs of each call, answers whole and own, bills, and
// edits in force. The same seed gives the same run to the byte.
//
// # Usage
//
//	r := tssoak.Run(tssoak.Options{Seed: 1, Duration: time.Hour})
//	if r.Failure != "" {
//		fmt.Print(r.TimeLine)
//	}
package tssoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericshed"
	"turmericshed/standin/tsplatform"
)

const (
	// entryVMs and engineCount are the sizes of today's users.
	entryVMCount = 9
	engineCount  = 9
	// cooling is how long a healed world runs on before its end is checked.
	recoveryDuration = 3 * time.Minute
)

// Options sets up a run.
type Options struct {
	Seed uint64
	// Duration is how much fake time has failures in it.
	Duration time.Duration
	// Rate is the mean number of requests a second; 0 means 3.
	Rate float64
	// FaultInterval is the mean time between failures; 0 means 4 s.
	FaultInterval time.Duration
	// Trace takes the whole time line while the run goes on; nil for none.
	Trace io.Writer

	ctx context.Context
}

// Report is the result of a run.
type Report struct {
	Seed     uint64                `json:"seed"`
	Duration turmericshed.Duration `json:"duration"`
	Steps    int                   `json:"steps"`
	Requests int                   `json:"requests"`
	Answered int                   `json:"answered"`
	Refused  map[string]int        `json:"refused"`
	Failed   int                   `json:"failed"`
	Unknown  int                   `json:"unknown"`
	Calls    int                   `json:"calls"`
	Edits    int                   `json:"edits"`
	Lost     int                   `json:"edits_refused"`
	Limited  int                   `json:"limited_requests"`
	Consumed turmericshed.Tokens   `json:"consumed_tokens"`
	// Burnt was charged without a bill.
	Burnt   turmericshed.Tokens `json:"burnt_tokens"`
	Dropped int                 `json:"dropped_frames"`
	// Joined counts attempts that joined a generation under their key.
	Joined int `json:"joined_attempts"`
	// Digest is of the whole time line.
	Digest string `json:"digest"`
	// Failure names the invariant that broke; TimeLine are the last lines
	// before.
	Failure  string `json:"failure,omitempty"`
	TimeLine string `json:"-"`
}

// Run performs one run.
func Run(o Options) Report {
	if o.Rate <= 0 {
		o.Rate = 3
	}
	if o.FaultInterval <= 0 {
		o.FaultInterval = 4 * time.Second
	}
	o.ctx = context.Background()
	w := newWorld(o)
	failure := w.simulate()
	return w.report(failure)
}

func newWorld(o Options) *world {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{options: o, start: start, now: start, rnd: rand.New(rand.NewPCG(o.Seed, 1)), digest: xxhash.New(), enginesByID: map[turmericshed.ServerID]*engine{}, books: newBooks()}
	w.store = tsplatform.NewStore(tsplatform.Options{Now: func() time.Time { return w.now }})
	w.directory = tsplatform.NewDirectory(tsplatform.DirectoryOptions{Now: func() time.Time { return w.now }, Lag: 2 * time.Second})
	w.operators, w.callers = &operators{w: w}, &callers{w: w}
	w.service = &service{w: w, down: make([]bool, locationCount-domainA)}
	return w
}

// guarded runs the world to its end and returns the invariant that broke.
func (w *world) simulate() (failure string) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		inv, ok := turmericshed.AsInvariant(v)
		if !ok {
			panic(v)
		}
		failure = inv.Error()
		w.logf("FAILED: %s", failure)
	}()
	w.operators.createProfiles()
	for i := range engineCount {
		w.engines = append(w.engines, w.newEngine(i))
	}
	w.vms = make([]*vm, entryVMCount)
	for i := range w.vms {
		w.vms[i] = w.newVM(i)
	}
	w.callers.scheduleNext()
	w.every(4*time.Second, w.operators.startEdits)
	w.every(5*time.Second, w.operators.settleInDoubtCall)
	w.scheduleNextFault()
	w.runUntil(w.start.Add(w.options.Duration))
	w.heal()
	w.runUntil(w.start.Add(w.options.Duration + recoveryDuration))
	w.checkFinalState()
	return ""
}

// checkEnd holds once everything has healed and settled.
func (w *world) checkFinalState() {
	turmericshed.Assert(len(w.callers.openRequests) == 0, "every_request_ends", "%d requests have no result", len(w.callers.openRequests))
	for s, billed := range w.books.billed {
		turmericshed.Assert(billed == w.books.consumedByStream[s], "bill_is_true", "%s: billed %d, consumed %d", s, billed, w.books.consumedByStream[s])
	}
	for key, n := range w.books.callRuns {
		turmericshed.Assert(n == 1 && !w.books.reportedNotRun[key], "call_runs_once", "%s ran %d times, told not run: %v", key, n, w.books.reportedNotRun[key])
	}
	for d, n := range w.books.poisonCrashes {
		turmericshed.Assert(n <= 2*int(locationCount-domainA), "poison_is_stopped", "%s crashed %d engines", d, n)
	}
	for _, name := range profileNames {
		p, ok := w.peekProfile(name)
		if ok {
			w.checkBudget(p.Budget)
		}
		for _, v := range w.vms {
			mine, known := v.profile(name)
			turmericshed.Assert(!ok || mine.Version == p.Version, "profiles_converge", "%s: %d at %s, %d in the store", name, mine.Version, v.self.Incarnation, p.Version)
			turmericshed.Assert(ok || !known || mine.Closed, "profiles_converge", "%s is deleted and serves at %s", name, v.self.Incarnation)
		}
	}
}

func (w *world) report(failure string) Report {
	b := &w.books
	r := Report{
		Seed: w.options.Seed, Duration: turmericshed.Duration(w.options.Duration), Steps: w.steps, Requests: b.requests, Answered: b.answered,
		Refused: b.refused, Failed: b.failed, Unknown: b.unknown, Calls: b.calls, Edits: b.edits, Lost: b.rejectedEdits, Limited: b.limitChecks,
		Dropped: b.droppedFrames, Joined: b.joinedAttempts, Failure: failure, Digest: fmt.Sprintf("%016x", w.digest.Sum64()),
	}
	for _, n := range b.consumedByBudget {
		r.Consumed += n
	}
	r.Burnt = w.forfeitedTokens()
	if failure != "" {
		r.TimeLine = strings.Join(w.traceLines[max(len(w.traceLines)-traceTailLines, 0):], "\n") + "\n"
	}
	return r
}
