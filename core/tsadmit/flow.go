package tsadmit

import (
	"slices"
	"time"

	"turmericshed"
)

// The order among accounts is start-time fair queueing (Goyal et al., 1996).
// Each account and priority is a flow. A request gets the start tag
// max(virtual time, finish tag of the flow's request before it), and a finish
// tag later by its cost over the flow's weight; the smallest start tag among
// the flows' first requests goes next, and becomes the virtual time. An
// account that sends ten times its share waits behind its own requests, and
// one that was idle goes to the front without having saved anything up.
//
// Priorities multiply the weight by two a step: a kind of work with priority
// 3 gets eight times the places of priority 0 while both wait, and none is
// starved.

// flowKey names a flow.
type flowKey struct {
	account  turmericshed.AccountID
	profile  turmericshed.ProfileName
	work     turmericshed.WorkKind
	priority int
}

// maxPriority is the highest priority of a profile.
const maxPriority = 9

// entry is one waiting request.
type entry struct {
	ticket  Ticket
	request turmericshed.AdmitRequest
	start   float64
	since   time.Time
}

// flow is the state of one account at one priority.
type flow struct {
	key     flowKey
	limit   turmericshed.AccountLimit
	weight  float64
	entries []entry
	running int
	finish  float64
	last    time.Time
	// busy is since when requests had to wait, without a calm of standingTime
	// in between; queued is when the last one had to.
	busy, queued time.Time
	// tokens and filled are the bucket of the rate limit.
	tokens float64
	filled time.Time
}

// flow returns the flow of r, with the newest limits.
func (q *Queue) flow(now time.Time, r turmericshed.AdmitRequest) *flow {
	key := flowKey{account: r.Account, profile: r.Profile, work: r.Work, priority: min(max(r.Priority, 0), maxPriority)}
	f := q.flows[key]
	if f == nil {
		f = &flow{key: key, tokens: float64(max(r.Limit.Burst, 1)), filled: now}
		q.flows[key] = f
	}
	f.limit, f.last = r.Limit, now
	f.weight = float64(max(r.Limit.Weight, 1)) * float64(int(1)<<key.priority)
	return f
}

// takeRate takes one request from the rate limit; a positive result is how
// long to wait instead.
func (f *flow) takeRate(now time.Time) time.Duration {
	rps := f.limit.RequestsPerSecond
	if rps <= 0 {
		return 0
	}
	burst := float64(max(f.limit.Burst, 1))
	f.tokens = min(f.tokens+rps*max(now.Sub(f.filled), 0).Seconds(), burst)
	f.filled = now
	if f.tokens < 1 {
		return max(time.Duration((1-f.tokens)/rps*float64(time.Second)), time.Millisecond)
	}
	f.tokens--
	return 0
}

// atConcurrency reports whether the account runs as many as it may.
func (f *flow) atConcurrency() bool {
	return f.limit.Concurrency > 0 && f.running >= f.limit.Concurrency
}

// enqueue tags a request.
func (f *flow) enqueue(virtual float64, t Ticket, r turmericshed.AdmitRequest) entry {
	e := entry{ticket: t, request: r, start: max(virtual, f.finish)}
	f.finish = e.start + float64(max(r.Cost, 1))/f.weight
	return e
}

// wait notes that a request has to wait.
func (f *flow) wait(now time.Time) {
	if now.Sub(f.queued) > standingTime {
		f.busy = now
	}
	f.queued = now
}

// standing reports whether the queue stands and does not drain.
func (f *flow) standing(now time.Time) bool {
	return len(f.entries) > 0 && now.Sub(f.busy) > standingTime && now.Sub(f.entries[0].since) > standingWait
}

// pop takes the first entry.
func (f *flow) pop() entry {
	e := f.entries[0]
	f.entries = f.entries[1:]
	return e
}

// remove takes a ticket out and gives its share back to the flow.
func (f *flow) remove(t Ticket) {
	i := slices.IndexFunc(f.entries, func(e entry) bool { return e.ticket == t })
	if i < 0 {
		return
	}
	share := float64(max(f.entries[i].request.Cost, 1)) / f.weight
	f.entries = slices.Delete(f.entries, i, i+1)
	for j := i; j < len(f.entries); j++ {
		f.entries[j].start -= share
	}
	f.finish -= share
}

// next returns the flow whose first request goes next; nil for none.
func (q *Queue) next() *flow {
	var best *flow
	for _, f := range q.backlog {
		if q.mayRun(f) && (best == nil || q.before(f.entries[0], best.entries[0])) {
			best = f
		}
	}
	return best
}

// before orders first entries by start tag, or by ticket when fair shares are
// turned off.
func (q *Queue) before(a, b entry) bool {
	if q.cfg.FirstInFirstOut || a.start == b.start {
		return a.ticket < b.ticket
	}
	return a.start < b.start
}

// newest returns the flow that queued last.
func (q *Queue) newest() *flow {
	return slices.MaxFunc(q.backlog, func(a, b *flow) int {
		x, y := a.entries[len(a.entries)-1].ticket, b.entries[len(b.entries)-1].ticket
		if x < y {
			return -1
		}
		return 1
	})
}
