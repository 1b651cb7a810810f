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
	ticket   Ticket
	request  turmericshed.AdmitRequest
	startTag float64
	queuedAt time.Time
}

// flow is the state of one account at one priority.
type flow struct {
	key        flowKey
	limit      turmericshed.AccountLimit
	weight     float64
	entries    []entry
	running    int
	finishTag  float64
	lastActive time.Time
	// busySince is since when requests had to wait, without a calm of standingTime
	// in between; lastQueued is when the last one had to.
	busySince, lastQueued time.Time
	// tokens and filled are the bucket of the rate limit.
	tokens     float64
	lastRefill time.Time
}

// flowFor returns the flowFor of r, with the newest limits.
func (q *Queue) flowFor(now time.Time, r turmericshed.AdmitRequest) *flow {
	key := flowKey{account: r.Account, profile: r.Profile, work: r.Work, priority: min(max(r.Priority, 0), maxPriority)}
	f := q.flows[key]
	if f == nil {
		f = &flow{key: key, tokens: float64(max(r.Limit.Burst, 1)), lastRefill: now}
		q.flows[key] = f
	}
	f.limit, f.lastActive = r.Limit, now
	f.weight = float64(max(r.Limit.Weight, 1)) * float64(int(1)<<key.priority)
	return f
}

// takeRateToken takes one request from the rate limit; a positive result is how
// long to wait instead.
func (f *flow) takeRateToken(now time.Time) time.Duration {
	rps := f.limit.RequestsPerSecond
	if rps <= 0 {
		return 0
	}
	burst := float64(max(f.limit.Burst, 1))
	f.tokens = min(f.tokens+rps*max(now.Sub(f.lastRefill), 0).Seconds(), burst)
	f.lastRefill = now
	if f.tokens < 1 {
		return max(time.Duration((1-f.tokens)/rps*float64(time.Second)), time.Millisecond)
	}
	f.tokens--
	return 0
}

// atConcurrencyLimit reports whether the account runs as many as it may.
func (f *flow) atConcurrencyLimit() bool {
	return f.limit.Concurrency > 0 && f.running >= f.limit.Concurrency
}

// newEntry tags a request.
func (f *flow) newEntry(virtual float64, t Ticket, r turmericshed.AdmitRequest) entry {
	e := entry{ticket: t, request: r, startTag: max(virtual, f.finishTag)}
	f.finishTag = e.startTag + float64(max(r.Cost, 1))/f.weight
	return e
}

// markQueued notes that a request has to markQueued.
func (f *flow) markQueued(now time.Time) {
	if now.Sub(f.lastQueued) > standingQueueAge {
		f.busySince = now
	}
	f.lastQueued = now
}

// hasStandingQueue reports whether the queue stands and does not drain.
func (f *flow) hasStandingQueue(now time.Time) bool {
	return len(f.entries) > 0 && now.Sub(f.busySince) > standingQueueAge && now.Sub(f.entries[0].queuedAt) > standingQueueWait
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
		f.entries[j].startTag -= share
	}
	f.finishTag -= share
}

// nextFlow returns the flow whose first request goes nextFlow; nil for none.
func (q *Queue) nextFlow() *flow {
	var best *flow
	for _, f := range q.backlog {
		if q.mayRun(f) && (best == nil || q.runsBefore(f.entries[0], best.entries[0])) {
			best = f
		}
	}
	return best
}

// runsBefore orders first entries by start tag, or by ticket when fair shares are
// turned off.
func (q *Queue) runsBefore(a, b entry) bool {
	if q.cfg.FirstInFirstOut || a.startTag == b.startTag {
		return a.ticket < b.ticket
	}
	return a.startTag < b.startTag
}

// newestFlow returns the flow that queued last.
func (q *Queue) newestFlow() *flow {
	return slices.MaxFunc(q.backlog, func(a, b *flow) int {
		x, y := a.entries[len(a.entries)-1].ticket, b.entries[len(b.entries)-1].ticket
		if x < y {
			return -1
		}
		return 1
	})
}
