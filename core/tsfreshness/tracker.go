// Package tsfreshness decides for how long a process may act on its copy of the
// platform's store, and when it has to query the store directly.
//
// Operators bound how long a change may take to have effect, for a process that has had
// contact with the store for a while. So a process may act
//
//   - within the span after the time up to which it has received all changes, or
//   - within the contact time after the store left one of its own queries unanswered: the
//     process is then cut off, the bounds don't apply, and no other process can serve its
//     callers.
//
// Silence alone proves nothing: the answer may be queued at the process's own link.
//
//	as of                QueryAt              DueAt      as of + span
//	  |-- changes arrive --|-- queries store --|-- margin --|
//	                       |-- ExcusedUntil, if the store does not answer ---->
//
// UsableUntil is the later one of DueAt and ExcusedUntil.
//
// # Usage
//
//	t := tsfreshness.New(tsfreshness.Bounds{Spans: spans, Contact: 3 * time.Second})
//	t.Confirm(tsfreshness.Servers, asOf) // all changes until asOf have taken effect here
//	t.RecordUnreachable(asked)                   // the store did not answer
//	if !now.Before(t.UsableUntil()) { ... }    // refuse
//	if !now.Before(t.QueryAt(f)) { ... }   // query the store directly
package tsfreshness

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Fact is a kind of data that a process receives from the store.
type Fact int

// The facts.
const (
	// Table is the routing table, with routes, keys and accounts.
	Table Fact = iota
	// Servers are the backend servers.
	Servers
	factCount
)

// String returns the snake-case name used in logs and metrics.
func (f Fact) String() string { return [factCount]string{"table", "servers"}[f] }

const (
	// effectMargin is the part of a span left for the time from a decision to its effect:
	// the update of the router's list, a connection, the transit to the server.
	effectMargin = 300 * time.Millisecond
	// A watch of the store waits for at most watchFraction of a span. After a change it returns
	// once the data's age is refreshFraction of the span, since the answer with the change may
	// be older than it appears.
	watchFraction   = 0.4
	refreshFraction = 0.45
	// queryFraction of a span is the age of the data at which a process queries the store at
	// the latest. Each process queries up to queryJitterFraction earlier, so that they don't
	// all query at once.
	queryFraction       = 0.6
	queryJitterFraction = 0.1
	// queryMargin is the time between the timeout of a query and the end of the answer's use.
	queryMargin = 100 * time.Millisecond
	// maxExchanges bounds the exchanges stored.
	maxExchanges = 16
	// The delay after an unanswered query is firstRetryFraction of the contact time at first
	// and at most maxRetryFraction.
	maxRetryFraction   = 0.33
	firstRetryFraction = 0.15
	// minQueryTimeout is the least timeout of a query.
	minQueryTimeout = 200 * time.Millisecond
)

// The bounds of a process without configured ones.
const (
	defaultSpan    = 2 * time.Second
	defaultContact = 3 * time.Second
)

// Bounds are the operators' limits on stale data.
type Bounds struct {
	// Spans are how long after its confirmation a change may take to have effect, by fact;
	// 0 means 2 s.
	Spans [factCount]time.Duration
	// Contact is how long a process must have had contact with the store before the spans apply
	// to it; 0 means 3 s.
	Contact time.Duration
}

// Tracker tracks the freshness of one process's data. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	bounds Bounds
	asOf   [factCount]time.Time
	// unreachableAt is the latest time at which the store was known to be failing or unreachable.
	unreachableAt time.Time
	// queryJitter is this process's random share of queryJitterFraction.
	queryJitter float64
	// recentExchanges are the latest exchanges with peers and other servers that were answered.
	recentExchanges []exchange
	// retryDelay is the time from the end of an unanswered query, unansweredAt, to the next
	// query. Both are zero after an answer.
	retryDelay   time.Duration
	unansweredAt time.Time
}

// exchange is a call that was answered.
type exchange struct{ startedAt, answeredAt time.Time }

// New returns a tracker of a process that has received no data.
func New(b Bounds) *Tracker {
	t := &Tracker{queryJitter: rand.Float64() * queryJitterFraction}
	t.SetBounds(b)
	return t
}

// SetBounds replaces the bounds.
func (t *Tracker) SetBounds(b Bounds) {
	for f, span := range b.Spans {
		if span <= 0 {
			b.Spans[f] = defaultSpan
		}
	}
	if b.Contact <= 0 {
		b.Contact = defaultContact
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bounds = b
}

// Confirm records that every change of a fact that was confirmed until asOf has taken effect
// in this process.
func (t *Tracker) Confirm(f Fact, asOf time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if asOf.After(t.asOf[f]) {
		t.asOf[f] = asOf
	}
}

// AsOf returns the time until which every change of a fact has taken effect; zero before the
// first [Tracker.Confirm].
func (t *Tracker) AsOf(f Fact) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asOf[f]
}

// Age returns the time since [Tracker.AsOf]; it is very long before the first
// [Tracker.Confirm].
func (t *Tracker) Age(now time.Time, f Fact) time.Duration { return now.Sub(t.AsOf(f)) }

// IsFresh reports whether every change due by the fact's span has taken effect.
func (t *Tracker) IsFresh(now time.Time, f Fact) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.dueLocked(f))
}

// DueAt returns until when the process may act on its data of a fact within the fact's span.
func (t *Tracker) DueAt(f Fact) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dueLocked(f)
}

func (t *Tracker) dueLocked(f Fact) time.Time { return t.asOf[f].Add(t.bounds.Spans[f] - effectMargin) }

// ExcusedUntil returns until when the bounds don't apply to this process because the store was
// failing or unreachable; zero if it never was.
func (t *Tracker) ExcusedUntil() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.excusedLocked()
}

func (t *Tracker) excusedLocked() time.Time {
	if t.unreachableAt.IsZero() {
		return time.Time{}
	}
	return t.unreachableAt.Add(t.bounds.Contact - effectMargin)
}

// UsableUntil returns until when this process may act on its data.
func (t *Tracker) UsableUntil() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := t.dueLocked(0)
	for f := range factCount {
		if due := t.dueLocked(f); due.Before(until) {
			until = due
		}
	}
	if e := t.excusedLocked(); e.After(until) {
		return e
	}
	return until
}

// GraceUntil returns until when a change received now may be delayed because the store is
// failing. It is never later than the fact's span from now.
func (t *Tracker) GraceUntil(now time.Time, f Fact) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := now.Add(t.bounds.Spans[f] - effectMargin)
	if e := t.excusedLocked(); e.Before(until) {
		return e
	}
	return until
}

// WatchWait returns how long a watch of a fact that starts now may wait at the store, given
// the store's latency.
func (t *Tracker) WatchWait(now time.Time, f Fact, latency time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	span := t.bounds.Spans[f]
	refresh := t.asOf[f].Add(scale(span, refreshFraction)).Sub(now) - latency
	return max(min(scale(span, watchFraction), refresh), 0)
}

// QueryAt returns when to query the store directly about a fact, unless an update arrives
// earlier.
func (t *Tracker) QueryAt(f Fact) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.asOf[f].Add(scale(t.bounds.Spans[f], queryFraction-t.queryJitter))
	if next := t.nextQueryLocked(); next.After(at) {
		return next
	}
	return at
}

// QueryAge returns the age of the data of a fact at which the store is queried.
func (t *Tracker) QueryAge(f Fact) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return scale(t.bounds.Spans[f], queryFraction)
}

// MayQuery reports whether the store may be queried now: it answered the last query, or the
// retry delay has passed.
func (t *Tracker) MayQuery(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.nextQueryLocked())
}

func (t *Tracker) nextQueryLocked() time.Time {
	if t.unansweredAt.IsZero() {
		return time.Time{}
	}
	return t.unansweredAt.Add(t.retryDelay)
}

// QueryTimeout returns the timeout of a query about a fact: the part of its span after
// queryFraction, less the margins. It is the contact time if the answer has to pass a
// congested link, where a retry would only queue again.
func (t *Tracker) QueryTimeout(f Fact, congested bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if congested {
		return t.bounds.Contact
	}
	return max(t.bounds.Spans[f]-scale(t.bounds.Spans[f], queryFraction)-effectMargin-queryMargin, minQueryTimeout)
}

// RecordQueryAnswer records that the store answered a query.
func (t *Tracker) RecordQueryAnswer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryDelay, t.unansweredAt = 0, time.Time{}
}

// RecordUnansweredQuery records that a query was abandoned without an answer, whatever the reason, and
// delays the next one.
func (t *Tracker) RecordUnansweredQuery(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryDelay = min(max(2*t.retryDelay, scale(t.bounds.Contact, firstRetryFraction)), scale(t.bounds.Contact, maxRetryFraction))
	t.unansweredAt = now
}

// RecordUnreachable records that the store was failing or unreachable at a time.
func (t *Tracker) RecordUnreachable(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.unreachableAt) {
		t.unreachableAt = at
	}
}

// RecordExchange records an exchange with a server other than the store that was answered now. It
// passed the same link and the same process.
func (t *Tracker) RecordExchange(now, startedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.recentExchanges) == maxExchanges {
		t.recentExchanges = t.recentExchanges[1:]
	}
	t.recentExchanges = append(t.recentExchanges, exchange{startedAt, now})
}

// HasCompletedExchangesSince reports whether two consecutive exchanges started and were answered after a
// time. A call that started at that time and takes two round trips, such as one on a new
// connection, was then not delayed by the process's own link.
func (t *Tracker) HasCompletedExchangesSince(since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var first time.Time
	for _, e := range t.recentExchanges {
		if e.startedAt.After(since) && (first.IsZero() || e.answeredAt.Before(first)) {
			first = e.answeredAt
		}
	}
	return !first.IsZero() && slices.ContainsFunc(t.recentExchanges, func(e exchange) bool { return e.startedAt.After(first) })
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
