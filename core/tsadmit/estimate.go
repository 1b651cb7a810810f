package tsadmit

import (
	"sort"
	"time"

	"turmericshed"
)

// Early refusal. A request that could not end before its deadline is refused
// at once instead of holding a place, and its caller is told how long the
// queue is. The wait is the number of requests that go before it over the
// rate at which places become free, which is the number of places over the
// mean run time (Little's law). It needs no memory of how busy the queue was.

const (
	// meanRunWeight is the weight of one release in the mean run time.
	meanRunWeight = 0.05
	// minRunShare of the mean run time must be left before the deadline.
	minRunShare = 0.5
	// standingQueueAge is how long requests of an account may have to wait before
	// further ones are refused while the first waits longer than standingWait.
	// A burst may wait up to its deadline; a load that stays above what can
	// be served must not, or every request waits as long as its caller bears,
	// and service comes back long after the load is gone.
	standingQueueAge  = 3 * time.Second
	standingQueueWait = 100 * time.Millisecond
	// defaultWait is the advice while nothing has ended yet.
	defaultWait = time.Second
)

// meanRunTime is the moving mean of how long requests run.
type meanRunTime time.Duration

// add counts one release after the given run time.
func (m *meanRunTime) add(run time.Duration) {
	if *m == 0 {
		*m = meanRunTime(run)
		return
	}
	*m += meanRunTime(meanRunWeight * float64(run-time.Duration(*m)))
}

// earlyRefusal tells why r is refused at once although it could wait, and the
// advice; nil when it may wait.
func (q *Queue) earlyRefusal(now time.Time, f *flow, r turmericshed.AdmitRequest) (error, time.Duration) { //nolint:revive,staticcheck // the advice belongs to the error
	if q.cfg.Patient {
		return nil, 0
	}
	wait := q.expectedWait(f)
	if !r.Deadline.IsZero() && now.Add(wait+q.minRunTime()).After(r.Deadline) {
		return turmericshed.NewError(turmericshed.KindDeadline, "the deadline can't be met: about %v to wait", wait.Round(time.Millisecond)), wait
	}
	if f.hasStandingQueue(now) {
		return turmericshed.NewError(turmericshed.KindOverloaded, "requests of the client account wait for more than %v already", standingQueueWait), wait
	}
	return nil, 0
}

// isTooLate reports whether too little time is left to run r.
func (q *Queue) isTooLate(now time.Time, r turmericshed.AdmitRequest) bool {
	return !r.Deadline.IsZero() && now.Add(q.minRunTime()).After(r.Deadline)
}

// latestStart returns when r can no longer end in time; zero for never.
func (q *Queue) latestStart(r turmericshed.AdmitRequest) time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}
	if q.cfg.Patient {
		return r.Deadline
	}
	return r.Deadline.Add(-q.minRunTime())
}

// minRunTime is the time that a request needs at least once it runs.
func (q *Queue) minRunTime() time.Duration {
	return time.Duration(minRunShare * float64(q.meanRun))
}

// expectedWait returns the expected time until a new request of f would run.
func (q *Queue) expectedWait(f *flow) time.Duration {
	if q.meanRun == 0 {
		if len(q.waiting) == 0 {
			return 0
		}
		return defaultWait
	}
	d := time.Duration(float64(q.requestsAhead(f)+1) / float64(max(q.limits.total, len(q.running))) * float64(q.meanRun))
	if f.limit.Concurrency > 0 {
		accountWait := float64(len(f.entries)+1) / float64(f.limit.Concurrency) * float64(q.meanRun)
		d = max(d, time.Duration(accountWait))
	}
	return d
}

// requestsAhead counts the waiting requests that go before a new one of f.
func (q *Queue) requestsAhead(f *flow) int {
	if q.cfg.FirstInFirstOut {
		return len(q.waiting)
	}
	start, n := max(q.virtualTime, f.finishTag), 0
	for _, o := range q.backlog {
		n += sort.Search(len(o.entries), func(i int) bool { return o.entries[i].startTag > start })
	}
	return n
}
