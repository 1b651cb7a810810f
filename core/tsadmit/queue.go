// Package tsadmit decides which requests run now, which wait and which are
// refused. It is pure: time comes in as an argument, and callers serialize
// access.
//
// # Usage
//
//	q := tsadmit.New(tsadmit.Config{MaxRunning: 256})
//	switch d := q.Offer(now, ticket, req); d.Verdict {
//	case tsadmit.Admitted: // run it, then q.Release(now, ticket)
//	case tsadmit.Queued:   // wait until a later call returns the ticket
//	case tsadmit.Refused:  // d.Err tells why and when to ask again
//	}
//	for _, d := range q.Release(now, ticket) { ... } // tickets that were decided
//
// See flow.go for the order among accounts and estimate.go for refusing
// early.
package tsadmit

import (
	"time"

	"turmericshed"
)

// Defaults of the settings.
const (
	defaultMaxRunning = 256
	// defaultMaxQueued bounds the waiting requests of all accounts.
	defaultMaxQueued = 1024
	// idleFlowLife is how long the state of an idle account is kept.
	idleFlowLife = time.Minute
)

// Ticket names one request at this queue.
type Ticket uint64

// Verdict is what happens to a request now.
type Verdict int

// The verdicts.
const (
	Admitted Verdict = iota + 1
	Queued
	Refused
)

// Decision is the verdict on one ticket. Err is set for Refused.
type Decision struct {
	Ticket  Ticket
	Verdict Verdict
	// Until is, for Queued, when the request can no longer end in time; it is
	// to be canceled then. Zero for never.
	Until time.Time
	Err   error
}

// Config holds the settings of a Queue. Zero values take the defaults.
type Config struct {
	// MaxRunning bounds the requests that run at once.
	MaxRunning int
	// MaxQueued bounds the requests that wait.
	MaxQueued int
	// FirstInFirstOut turns fair shares and priorities off, for comparison.
	FirstInFirstOut bool
	// NoReserve lets one account fill every place, for comparison.
	NoReserve bool
	// Patient turns early refusal off, for comparison.
	Patient bool
}

// Queue is a deadline-aware queue with fair shares among client accounts.
type Queue struct {
	cfg     Config
	limits  limits
	flows   map[flowKey]*flow
	backlog []*flow
	running map[Ticket]running
	waiting map[Ticket]*flow
	// virtual is the start tag of the last request that was admitted.
	virtual float64
	run     meanRun
	swept   time.Time
	// weight is the sum over the flows that were active lately.
	weight  float64
	weighed time.Time
}

// running is one admitted request.
type running struct {
	flow  *flow
	since time.Time
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
		cfg: cfg, limits: limits{total: cfg.MaxRunning, account: cfg.MaxRunning, even: cfg.MaxRunning},
		flows: map[flowKey]*flow{}, running: map[Ticket]running{}, waiting: map[Ticket]*flow{},
	}
}

// Running returns the number of admitted requests.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Accounts returns the number of accounts with state.
func (q *Queue) Accounts() int { return len(q.flows) }

// Limit returns how many requests may run at once.
func (q *Queue) Limit() int { return q.limits.total }

// setLimits changes how many requests may run at once.
func (q *Queue) setLimits(now time.Time, l limits) []Decision {
	l.total = min(l.total, q.cfg.MaxRunning)
	l.account = min(l.account, q.cfg.MaxRunning)
	q.limits = l
	return q.dispatch(now, nil)
}

// Offer decides on a new request. The first decision is on the request
// itself; others may follow on requests that it displaced. Errors of refused
// ones: KindRateLimited, KindOverloaded, KindDeadline.
func (q *Queue) Offer(now time.Time, t Ticket, r turmericshed.AdmitRequest) []Decision {
	q.sweep(now)
	f := q.flow(now, r)
	q.weigh(now)
	if wait := f.takeRate(now); wait > 0 {
		err := turmericshed.NewError(turmericshed.KindRateLimited, "above the rate limit of the client account")
		return []Decision{refused(t, err, wait)}
	}
	if q.mayRun(f) && q.next() == nil {
		q.admit(now, f, f.enqueue(q.virtual, t, r))
		return []Decision{{Ticket: t, Verdict: Admitted}}
	}
	f.wait(now)
	if err, wait := q.hopeless(now, f, r); err != nil {
		return []Decision{refused(t, err, wait)}
	}
	q.push(now, f, t, r)
	more := q.displace()
	for i, d := range more {
		if d.Ticket == t {
			return append([]Decision{d}, append(more[:i:i], more[i+1:]...)...)
		}
	}
	return append([]Decision{{Ticket: t, Verdict: Queued, Until: q.until(r)}}, more...)
}

// Release ends an admitted request and returns the decisions that follow.
func (q *Queue) Release(now time.Time, t Ticket) []Decision {
	r, ok := q.running[t]
	turmericshed.Assert(ok, "release_once", "ticket %d is not running", t)
	delete(q.running, t)
	r.flow.running--
	r.flow.last = now
	q.run.ended(now.Sub(r.since))
	return q.dispatch(now, nil)
}

// Cancel takes a waiting request out; it reports whether it was waiting.
func (q *Queue) Cancel(t Ticket) bool {
	f := q.waiting[t]
	if f == nil {
		return false
	}
	f.remove(t)
	q.forget(f, t)
	return true
}

// dispatch admits waiting requests while there is room, and refuses those
// whose deadline can no longer be met.
func (q *Queue) dispatch(now time.Time, ds []Decision) []Decision {
	for f := q.next(); f != nil; f = q.next() {
		e := f.pop()
		q.forget(f, e.ticket)
		if !q.cfg.Patient && q.tooLate(now, e.request) {
			err := turmericshed.NewError(turmericshed.KindDeadline, "the deadline can't be met after waiting")
			ds = append(ds, refused(e.ticket, err, q.wait(f)))
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
	f.last = now
	q.virtual = max(q.virtual, e.start)
	q.running[e.ticket] = running{flow: f, since: now}
}

// push queues a request.
func (q *Queue) push(now time.Time, f *flow, t Ticket, r turmericshed.AdmitRequest) {
	if len(f.entries) == 0 {
		q.backlog = append(q.backlog, f)
	}
	e := f.enqueue(q.virtual, t, r)
	e.since = now
	f.entries = append(f.entries, e)
	q.waiting[t] = f
}

// forget drops the note that t waits in f.
func (q *Queue) forget(f *flow, t Ticket) {
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

// displace refuses the newest request of the account with the longest queue
// for its weight while too many wait, so that a surge of one account does not
// shut the others out.
func (q *Queue) displace() []Decision {
	var ds []Decision
	for len(q.waiting) > q.cfg.MaxQueued {
		longest := q.backlog[0]
		for _, f := range q.backlog[1:] {
			if float64(len(f.entries))/f.weight > float64(len(longest.entries))/longest.weight {
				longest = f
			}
		}
		if q.cfg.FirstInFirstOut {
			longest = q.newest()
		}
		e := longest.entries[len(longest.entries)-1]
		longest.remove(e.ticket)
		q.forget(longest, e.ticket)
		err := turmericshed.NewError(turmericshed.KindOverloaded, "too many requests wait")
		ds = append(ds, refused(e.ticket, err, q.wait(longest)))
	}
	return ds
}

// sweep drops the state of accounts that were idle for long, a round a
// minute.
func (q *Queue) sweep(now time.Time) {
	if now.Sub(q.swept) < idleFlowLife {
		return
	}
	q.swept = now
	for key, f := range q.flows {
		if f.running == 0 && len(f.entries) == 0 && now.Sub(f.last) >= idleFlowLife {
			delete(q.flows, key)
		}
	}
}

// refused returns a refusal with advice.
func refused(t Ticket, err error, wait time.Duration) Decision {
	return Decision{Ticket: t, Verdict: Refused, Err: turmericshed.WithRetryAfter(err, wait)}
}
