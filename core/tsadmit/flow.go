package tsadmit

import (
	"slices"
	"time"

	"turmericshed"
)

// Accounts are ordered by start-time fair queueing (Goyal et al., 1996). Each
// account and priority is a flow. A request's start tag is max(virtual time,
// finish tag of the flow's previous request); its finish tag is larger by its
// cost over the flow's weight. The smallest start tag among the flows' first
// requests is admitted next and becomes the virtual time. An account that sends
// ten times its share waits behind its own requests. An account that was idle
// goes to the front, but gets no credit for the idle time.
//
// Each priority step doubles the weight: while both wait, a kind of work with
// priority 3 gets eight times the places of priority 0, and neither starves.

// flowKey identifies a flow.
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
	// busySince is the first time that a request had to wait, lastQueued the
	// latest. busySince starts anew once no request had to wait for longer than
	// standingQueueAge.
	busySince, lastQueued time.Time
	// tokens and lastRefill are the token bucket of the rate limit.
	tokens     float64
	lastRefill time.Time
}

// flowFor returns the flow of r, updated to the limits in r.
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

// takeRateToken counts one request against the rate limit. If the limit is
// reached it returns the time to wait instead, else 0.
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

// atConcurrencyLimit reports whether the account runs as many requests as it
// may.
func (f *flow) atConcurrencyLimit() bool {
	return f.limit.Concurrency > 0 && f.running >= f.limit.Concurrency
}

// newEntry returns the queue entry of a request and advances the finish tag of
// f.
func (f *flow) newEntry(virtualTime float64, t Ticket, r turmericshed.AdmitRequest) entry {
	e := entry{ticket: t, request: r, startTag: max(virtualTime, f.finishTag)}
	f.finishTag = e.startTag + float64(max(r.Cost, 1))/f.weight
	return e
}

// markQueued records that a request has to wait.
func (f *flow) markQueued(now time.Time) {
	if now.Sub(f.lastQueued) > standingQueueAge {
		f.busySince = now
	}
	f.lastQueued = now
}

// hasStandingQueue reports whether the queue has not drained for too long.
func (f *flow) hasStandingQueue(now time.Time) bool {
	return len(f.entries) > 0 && now.Sub(f.busySince) > standingQueueAge && now.Sub(f.entries[0].queuedAt) > standingQueueWait
}

// pop removes and returns the first entry.
func (f *flow) pop() entry {
	e := f.entries[0]
	f.entries = f.entries[1:]
	return e
}

// remove removes a ticket and moves up the tags of the entries behind it.
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

// nextFlow returns the flow whose first request is admitted next, or nil if
// there is none.
func (q *Queue) nextFlow() *flow {
	var best *flow
	for _, f := range q.backlog {
		if q.mayRun(f) && (best == nil || q.runsBefore(f.entries[0], best.entries[0])) {
			best = f
		}
	}
	return best
}

// runsBefore orders first entries by start tag, or by ticket when fair shares
// are turned off.
func (q *Queue) runsBefore(a, b entry) bool {
	if q.cfg.FirstInFirstOut || a.startTag == b.startTag {
		return a.ticket < b.ticket
	}
	return a.startTag < b.startTag
}

// newestFlow returns the flow with the most recently queued request.
func (q *Queue) newestFlow() *flow {
	return slices.MaxFunc(q.backlog, func(a, b *flow) int {
		x, y := a.entries[len(a.entries)-1].ticket, b.entries[len(b.entries)-1].ticket
		if x < y {
			return -1
		}
		return 1
	})
}
