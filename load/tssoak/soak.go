// Package tssoak is a deterministic simulation of the whole system. It runs the
// decision code of core in one goroutine, with small fakes and a fake clock,
// while it injects faults on a seeded random schedule.
//
// Entry VMs, engines, a service, operators and callers exchange messages over
// a network that drops them while a link is cut. Each store call of an update
// is a separate event, so that a VM can be paused, crash or lose a race between
// any two. The engines, the service and the callers record what happens in
// books that are independent of the code under test. Invariants are asserted
// as the events occur: consumed tokens are charged and stay within the prepaid
// amount, a call runs at most once, answers are complete and belong to their
// request, bills match consumption, and accepted edits take effect. The same
// seed produces a byte-identical run.
//
// # Usage
//
//	r := tssoak.Run(tssoak.Options{Seed: 1, Duration: time.Hour})
//	if r.Failure != "" {
//		fmt.Print(r.TraceTail)
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
	// entryVMCount and engineCount are the sizes of current deployments.
	entryVMCount = 9
	engineCount  = 9
	// recoveryDuration is how long a run continues without new faults before its
	// final state is checked.
	recoveryDuration = 3 * time.Minute
)

// Options configures a run.
type Options struct {
	Seed uint64
	// Duration is the fake time during which faults are injected.
	Duration time.Duration
	// Rate is the mean number of requests per second; 0 means 3.
	Rate float64
	// FaultInterval is the mean time between faults; 0 means 4 s.
	FaultInterval time.Duration
	// Trace receives every trace line as it is produced; nil disables it.
	Trace io.Writer

	ctx context.Context
}

// Report is the result of a run.
type Report struct {
	Seed          uint64                `json:"seed"`
	Duration      turmericshed.Duration `json:"duration"`
	Steps         int                   `json:"steps"`
	Requests      int                   `json:"requests"`
	Answered      int                   `json:"answered"`
	Refused       map[string]int        `json:"refused"`
	Failed        int                   `json:"failed"`
	Unknown       int                   `json:"unknown"`
	Calls         int                   `json:"calls"`
	Edits         int                   `json:"edits"`
	RejectedEdits int                   `json:"edits_refused"`
	Limited       int                   `json:"limited_requests"`
	Consumed      turmericshed.Tokens   `json:"consumed_tokens"`
	// ForfeitedTokens counts the tokens that were charged but never billed.
	ForfeitedTokens turmericshed.Tokens `json:"burnt_tokens"`
	Dropped         int                 `json:"dropped_frames"`
	// Joined counts the attempts that joined a generation with the same
	// idempotency key.
	Joined int `json:"joined_attempts"`
	// Digest is the hash of all trace lines.
	Digest string `json:"digest"`
	// Failure describes the violated invariant, and TraceTail holds the last
	// trace lines up to it; both are empty when the run passed.
	Failure   string `json:"failure,omitempty"`
	TraceTail string `json:"-"`
}

// Run simulates one run and reports its result.
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

// simulate performs the whole run. It returns the invariant that was violated,
// or "" when all of them held. Other panics pass through.
func (w *world) simulate() (failure string) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		invariant, ok := turmericshed.AsInvariant(v)
		if !ok {
			panic(v)
		}
		failure = invariant.Error()
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

// checkFinalState asserts the invariants that hold once every fault has ended
// and the system has recovered.
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
			cached, isCached := v.profile(name)
			turmericshed.Assert(!ok || cached.Version == p.Version, "profiles_converge", "%s: %d at %s, %d in the store", name, cached.Version, v.self.Incarnation, p.Version)
			turmericshed.Assert(ok || !isCached || cached.Closed, "profiles_converge", "%s is deleted and serves at %s", name, v.self.Incarnation)
		}
	}
}

func (w *world) report(failure string) Report {
	b := &w.books
	r := Report{
		Seed: w.options.Seed, Duration: turmericshed.Duration(w.options.Duration), Steps: w.steps, Requests: b.requests, Answered: b.answered,
		Refused: b.refused, Failed: b.failed, Unknown: b.unknown, Calls: b.calls, Edits: b.edits, RejectedEdits: b.rejectedEdits, Limited: b.limitChecks,
		Dropped: b.droppedFrames, Joined: b.joinedAttempts, Failure: failure, Digest: fmt.Sprintf("%016x", w.digest.Sum64()),
	}
	for _, tokens := range b.consumedByBudget {
		r.Consumed += tokens
	}
	r.ForfeitedTokens = w.forfeitedTokens()
	if failure != "" {
		r.TraceTail = strings.Join(w.traceLines[max(len(w.traceLines)-traceTailLines, 0):], "\n") + "\n"
	}
	return r
}
