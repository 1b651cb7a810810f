package tsadmit

import (
	"sort"
	"time"

	"turmericshed"
)

// Early refusal. A request that cannot complete before its deadline is refused
// at once instead of occupying a place in the queue, and its caller gets the
// expected wait. The wait is the number of requests ahead of it over the rate
// at which places become free, which is the number of places over the mean run
// time (Little's law). The estimate needs no history of the queue's load.

const (
	// meanRunWeight is the weight of one release in the moving mean.
	meanRunWeight = 0.05
	// minRunShare is the share of the mean run time that must be left before
	// the deadline.
	minRunShare = 0.5
	// An account has a standing queue once its requests have had to wait for
	// longer than standingQueueAge and the first of them has waited for longer
	// than standingQueueWait. Further requests are then refused. A burst may
	// wait up to its deadline. Under a load that stays above the capacity,
	// though, every request would wait for as long as its caller accepts, and
	// service would recover long after the overload is over.
	standingQueueAge  = 3 * time.Second
	standingQueueWait = 100 * time.Millisecond
	// defaultWait is the suggested retry delay until the first request has
	// ended.
	defaultWait = time.Second
)

// meanRunTime is the exponential moving average of the run time of requests.
type meanRunTime time.Duration

// add includes the run time of one released request.
func (m *meanRunTime) add(run time.Duration) {
	if *m == 0 {
		*m = meanRunTime(run)
		return
	}
	*m += meanRunTime(meanRunWeight * float64(run-time.Duration(*m)))
}

// earlyRefusal returns the error and the suggested retry delay for a request
// that is refused instead of queued, or nil if it may wait. Error kinds:
// KindDeadline and KindOverloaded.
func (q *Queue) earlyRefusal(now time.Time, f *flow, r turmericshed.AdmitRequest) (error, time.Duration) { //nolint:revive,staticcheck // the retry delay belongs to the error
	if q.cfg.NoEarlyRefusal {
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

// latestStart returns the time after which r can no longer complete before its
// deadline, or zero if it has none.
func (q *Queue) latestStart(r turmericshed.AdmitRequest) time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}
	if q.cfg.NoEarlyRefusal {
		return r.Deadline
	}
	return r.Deadline.Add(-q.minRunTime())
}

// minRunTime returns the least time that a request is assumed to run.
func (q *Queue) minRunTime() time.Duration {
	return time.Duration(minRunShare * float64(q.meanRun))
}

// expectedWait returns the expected time until a new request of f is admitted.
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

// requestsAhead counts the waiting requests that precede a new request of f.
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
