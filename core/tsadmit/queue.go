// Package tsadmit decides which requests run now, which wait and which are
// refused. It does no I/O: time is an argument, and callers serialize access.
//
// # Usage
//
//	q := tsadmit.New(tsadmit.Config{MaxRunning: 256})
//	switch d := q.Offer(now, ticket, req); d.Verdict {
//	case tsadmit.Admitted: // run it, then q.Release(now, ticket)
//	case tsadmit.Queued:   // wait until a later call returns the ticket
//	case tsadmit.Refused:  // d.Err has the reason and the retry delay
//	}
//	for _, d := range q.Release(now, ticket) { ... } // decisions on waiting tickets
//
// See flow.go for the order among accounts and estimate.go for early refusal.
package tsadmit

import (
	"time"

	"turmericshed"
)

// Default settings.
const (
	defaultMaxRunning = 256
	// defaultMaxQueued bounds the waiting requests of all accounts.
	defaultMaxQueued = 1024
	// idleFlowLife is how long the state of an idle account is retained.
	idleFlowLife = time.Minute
)

// Ticket identifies one request in a queue.
type Ticket uint64

// Verdict is the outcome of a decision on a request.
type Verdict int

// Verdicts of a Queue.
const (
	Admitted Verdict = iota + 1
	Queued
	Refused
)

// Decision is the verdict on one ticket. Err is set for Refused.
type Decision struct {
	Ticket  Ticket
	Verdict Verdict
	// Until applies to Queued only. It is the time after which the request can
	// no longer complete before its deadline and has to be canceled, or zero if
	// it has no deadline.
	Until time.Time
	Err   error
}

// Config holds the settings of a Queue. Zero values are replaced by defaults.
type Config struct {
	// MaxRunning bounds the requests that run at once.
	MaxRunning int
	// MaxQueued bounds the requests that wait.
	MaxQueued int
	// FirstInFirstOut disables fair shares and priorities, as a baseline for
	// comparison.
	FirstInFirstOut bool
	// NoFairShareReserve lets one account use every place, as a baseline for comparison.
	NoFairShareReserve bool
	// NoEarlyRefusal disables early refusal, as a baseline for comparison.
	NoEarlyRefusal bool
}

// Queue is a deadline-aware queue with fair shares among client accounts.
type Queue struct {
	cfg     Config
	limits  limits
	flows   map[flowKey]*flow
	backlog []*flow
	running map[Ticket]running
	waiting map[Ticket]*flow
	// virtualTime is the largest start tag of the admitted requests.
	virtualTime float64
	meanRun     meanRunTime
	lastSweep   time.Time
	// activeWeight is the sum of the weights of recently active flows.
	activeWeight float64
	lastWeighed  time.Time
}

// running is one admitted request.
type running struct {
	flow      *flow
	startedAt time.Time
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.MaxRunning == 0 {
		cfg.MaxRunning = defaultMaxRunning
	}
	if cfg.MaxQueued == 0 {
		cfg.MaxQueued = defaultMaxQueued
	}
	return &Queue{
		cfg: cfg, limits: limits{total: cfg.MaxRunning, account: cfg.MaxRunning, equalShare: cfg.MaxRunning},
		flows: map[flowKey]*flow{}, running: map[Ticket]running{}, waiting: map[Ticket]*flow{},
	}
}

// Running returns the number of admitted requests.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Accounts returns the number of flows in memory: one for each recently active
// account, kind of work, profile and priority.
func (q *Queue) Accounts() int { return len(q.flows) }

// Limit returns how many requests may run at once.
func (q *Queue) Limit() int { return q.limits.total }

// setLimits applies new limits, capped at Config.MaxConcurrentRequests, and returns the
// resulting decisions.
func (q *Queue) setLimits(now time.Time, l limits) []Decision {
	l.total = min(l.total, q.cfg.MaxRunning)
	l.account = min(l.account, q.cfg.MaxRunning)
	q.limits = l
	return q.dispatch(now, nil)
}

// Offer decides on a new request. The first decision is on the request itself;
// further ones are on requests that it displaced. Errors of refused requests:
// KindRateLimited, KindOverloaded, KindDeadline.
func (q *Queue) Offer(now time.Time, t Ticket, r turmericshed.AdmitRequest) []Decision {
	q.sweep(now)
	f := q.flowFor(now, r)
	q.updateActiveWeight(now)
	if wait := f.takeRateToken(now); wait > 0 {
		err := turmericshed.NewError(turmericshed.KindRateLimited, "above the rate limit of the client account")
		return []Decision{refusal(t, err, wait)}
	}
	if q.mayRun(f) && q.nextFlow() == nil {
		q.admit(now, f, f.newEntry(q.virtualTime, t, r))
		return []Decision{{Ticket: t, Verdict: Admitted}}
	}
	f.markQueued(now)
	if err, wait := q.earlyRefusal(now, f, r); err != nil {
		return []Decision{refusal(t, err, wait)}
	}
	q.push(now, f, t, r)
	more := q.refuseExcess()
	for i, d := range more {
		if d.Ticket == t {
			return append([]Decision{d}, append(more[:i:i], more[i+1:]...)...)
		}
	}
	return append([]Decision{{Ticket: t, Verdict: Queued, Until: q.latestStart(r)}}, more...)
}

// Release ends an admitted request and returns the resulting decisions.
func (q *Queue) Release(now time.Time, t Ticket) []Decision {
	r, ok := q.running[t]
	turmericshed.Assert(ok, "release_once", "ticket %d is not running", t)
	delete(q.running, t)
	r.flow.running--
	r.flow.lastActive = now
	q.meanRun.add(now.Sub(r.startedAt))
	return q.dispatch(now, nil)
}

// Cancel removes a waiting request. It reports whether the request was waiting.
func (q *Queue) Cancel(t Ticket) bool {
	f := q.waiting[t]
	if f == nil {
		return false
	}
	f.remove(t)
	q.removeWaiting(f, t)
	return true
}

// dispatch admits waiting requests while places are free, and refuses those
// that can no longer meet their deadline. It appends its decisions to ds.
func (q *Queue) dispatch(now time.Time, ds []Decision) []Decision {
	for f := q.nextFlow(); f != nil; f = q.nextFlow() {
		e := f.pop()
		q.removeWaiting(f, e.ticket)
		if !q.cfg.NoEarlyRefusal && q.isTooLate(now, e.request) {
			err := turmericshed.NewError(turmericshed.KindDeadline, "the deadline can't be met after waiting")
			ds = append(ds, refusal(e.ticket, err, q.expectedWait(f)))
			continue
		}
		q.admit(now, f, e)
		ds = append(ds, Decision{Ticket: e.ticket, Verdict: Admitted})
	}
	return ds
}

// admit counts e as running.
func (q *Queue) admit(now time.Time, f *flow, e entry) {
	turmericshed.Assert(f.limit.Concurrency <= 0 || f.running < f.limit.Concurrency, "within_concurrency", "account %s", f.key.account)
	f.running++
	f.lastActive = now
	q.virtualTime = max(q.virtualTime, e.startTag)
	q.running[e.ticket] = running{flow: f, startedAt: now}
}

// push queues a request.
func (q *Queue) push(now time.Time, f *flow, t Ticket, r turmericshed.AdmitRequest) {
	if len(f.entries) == 0 {
		q.backlog = append(q.backlog, f)
	}
	e := f.newEntry(q.virtualTime, t, r)
	e.queuedAt = now
	f.entries = append(f.entries, e)
	q.waiting[t] = f
}

// removeWaiting removes t from the waiting tickets, and f from the backlog if
// it was the flow's last entry.
func (q *Queue) removeWaiting(f *flow, t Ticket) {
	delete(q.waiting, t)
	if len(f.entries) > 0 {
		return
	}
	for i, o := range q.backlog {
		if o == f {
			q.backlog = append(q.backlog[:i], q.backlog[i+1:]...)
			return
		}
	}
}

// refuseExcess refuses requests while more than Config.MaxQueued wait: the
// newest one of the flow with the longest queue relative to its weight, so that
// the surge of one account does not displace the others.
func (q *Queue) refuseExcess() []Decision {
	var ds []Decision
	for len(q.waiting) > q.cfg.MaxQueued {
		longest := q.backlog[0]
		for _, f := range q.backlog[1:] {
			if float64(len(f.entries))/f.weight > float64(len(longest.entries))/longest.weight {
				longest = f
			}
		}
		if q.cfg.FirstInFirstOut {
			longest = q.newestFlow()
		}
		e := longest.entries[len(longest.entries)-1]
		longest.remove(e.ticket)
		q.removeWaiting(longest, e.ticket)
		err := turmericshed.NewError(turmericshed.KindOverloaded, "too many requests wait")
		ds = append(ds, refusal(e.ticket, err, q.expectedWait(longest)))
	}
	return ds
}

// sweep removes the flows that were idle for idleFlowLife. It runs at most once
// a minute.
func (q *Queue) sweep(now time.Time) {
	if now.Sub(q.lastSweep) < idleFlowLife {
		return
	}
	q.lastSweep = now
	for key, f := range q.flows {
		if f.running == 0 && len(f.entries) == 0 && now.Sub(f.lastActive) >= idleFlowLife {
			delete(q.flows, key)
		}
	}
}

// refusal returns a Refused decision with a retry delay.
func refusal(t Ticket, err error, wait time.Duration) Decision {
	return Decision{Ticket: t, Verdict: Refused, Err: turmericshed.WithRetryAfter(err, wait)}
}
