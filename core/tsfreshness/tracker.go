// Package tsfreshness decides for how long a process may act on what it was
// told of the platform's store, and when it has to ask the store itself.
//
// Operators bound how long a change may be without effect, for a process that
// has been in touch with the store for a while. So a process may act
//
//   - within the bound after the time up to which it knows all changes, or
//   - within the contact time after the store left a question of its own
//     unanswered: then it is cut off, the bounds don't hold, and there is
//     nobody else to serve its callers.
//
// Silence alone proves nothing: the answer may wait at the process's own link.
//
//	as of             AskAt            Due              as of + span
//	  |-- hears in time --|-- asks the store --|-- reserve ---|
//	                      |-- Excused, if the store does not answer ------>
//
// Until is the later one of Due and Excused.
//
// # Usage
//
//	t := tsfreshness.New(tsfreshness.Bounds{Spans: spans, Contact: 3 * time.Second})
//	t.Confirm(tsfreshness.Servers, asOf) // once all changes until then took effect here
//	t.Unreached(asked)                   // the store did not answer
//	if !now.Before(t.Until()) { ... }    // refuse
//	if !now.Before(t.AskAt(f)) { ... }   // ask the store itself
package tsfreshness

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Fact is something that a process is told of.
type Fact int

// The factCount.
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
	// effectReserve is what is left of a bound for the way from a decision to its
	// effect: the router's list, a connection, the way to the server.
	effectReserve = 300 * time.Millisecond
	// watchFraction of a span is how long a watch of the store waits at most. After
	// a change it returns at an age of refreshPart, as the answer with the change
	// may be older than it looks.
	watchFraction   = 0.4
	refreshFraction = 0.45
	// queryFraction of a span is the age from which the store is asked at the latest.
	// Each process asks up to askSpread before, so that not all ask at once.
	queryFraction   = 0.6
	queryJitterFraction = 0.1
	// queryReserve is left between the end of a question and the end of its use.
	queryReserve = 100 * time.Millisecond
	// maxExchanges are remembered.
	maxExchanges = 16
	// maxRetryFraction of the contact time passes between questions that the store
	// left unanswered, at most; firstRetryPart after the first of them.
	maxRetryFraction      = 0.33
	firstRetryFraction = 0.15
	// minQueryTimeout is the least time that an answer is waited for.
	minQueryTimeout = 200 * time.Millisecond
)

// The bounds of a process that was told none.
const (
	defaultSpan    = 2 * time.Second
	defaultContact = 3 * time.Second
)

// Bounds are what the operators allow.
type Bounds struct {
	// Spans are how long after its confirmation a change may be without
	// effect, by fact; 0 takes 2 s.
	Spans [factCount]time.Duration
	// Contact is how long a process must have reached the store for the spans
	// to bind it; 0 takes 3 s.
	Contact time.Duration
}

// Tracker follows one process. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	bounds Bounds
	asOf   [factCount]time.Time
	// unreachableAt is the newest time at which the store, or the way to it, was
	// known to be in trouble.
	unreachableAt time.Time
	// queryJitter is this process's part of askSpread.
	queryJitter float64
	// recentExchanges are the newest exchanges that were answered by anybody.
	recentExchanges []exchange
	// retryDelay is the time from the end of a question that stayed unanswered to
	// the next one, and gaveUp that end; 0 and zero after an answer.
	retryDelay  time.Duration
	unansweredAt time.Time
}

// exchange is a call and its answer.
type exchange struct{ startedAt, answeredAt time.Time }

// New returns a tracker of a process that was told nothing.
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

// Confirm notes that every change of a fact that was confirmed until asOf has
// taken effect in this process.
func (t *Tracker) Confirm(f Fact, asOf time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if asOf.After(t.asOf[f]) {
		t.asOf[f] = asOf
	}
}

// AsOf returns the time until which every change of a fact has taken effect;
// zero while nothing is known.
func (t *Tracker) AsOf(f Fact) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asOf[f]
}

// Age returns the time since [Tracker.AsOf]; it is very long while nothing is
// known.
func (t *Tracker) Age(now time.Time, f Fact) time.Duration { return now.Sub(t.AsOf(f)) }

// Fresh reports whether no change can be overdue by the fact's bound.
func (t *Tracker) Fresh(now time.Time, f Fact) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.dueLocked(f))
}

// Due returns until when what is known of a fact may take effect.
func (t *Tracker) Due(f Fact) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dueLocked(f)
}

func (t *Tracker) dueLocked(f Fact) time.Time { return t.asOf[f].Add(t.bounds.Spans[f] - effectReserve) }

// Excused returns until when the bounds don't bind this process, since the
// store or the way to it was in trouble; zero if it never was.
func (t *Tracker) Excused() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.excusedLocked()
}

func (t *Tracker) excusedLocked() time.Time {
	if t.unreachableAt.IsZero() {
		return time.Time{}
	}
	return t.unreachableAt.Add(t.bounds.Contact - effectReserve)
}

// Until returns until when this process may act on what it was told.
func (t *Tracker) Until() time.Time {
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

// GraceUntil returns until when a change that is heard now need not take effect
// because of the store's trouble; it must within the span in any case.
func (t *Tracker) GraceUntil(now time.Time, f Fact) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := now.Add(t.bounds.Spans[f] - effectReserve)
	if e := t.excusedLocked(); e.Before(until) {
		return e
	}
	return until
}

// WatchWait returns how long a watch of a fact that begins now waits at the
// store, which takes a time to answer.
func (t *Tracker) WatchWait(now time.Time, f Fact, latency time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	span := t.bounds.Spans[f]
	refresh := t.asOf[f].Add(scale(span, refreshFraction)).Sub(now) - latency
	return max(min(scale(span, watchFraction), refresh), 0)
}

// AskAt returns when to ask the store itself about a fact, unless there is news
// of it before.
func (t *Tracker) AskAt(f Fact) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.asOf[f].Add(scale(t.bounds.Spans[f], queryFraction-t.queryJitter))
	if next := t.nextQueryLocked(); next.After(at) {
		return next
	}
	return at
}

// AskAge returns the age of news from which the store is asked.
func (t *Tracker) AskAge(f Fact) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return scale(t.bounds.Spans[f], queryFraction)
}

// MayAsk reports whether the store may be asked now: it answered the last
// question, or that was a while ago.
func (t *Tracker) MayAsk(now time.Time) bool {
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

// AskTimeout returns how long an answer to a question about a fact is of use:
// what is left of its bound by then. It is the contact time where the answer has
// to pass a crowded link and asking again would only wait again.
func (t *Tracker) AskTimeout(f Fact, crowded bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if crowded {
		return t.bounds.Contact
	}
	return max(t.bounds.Spans[f]-scale(t.bounds.Spans[f], queryFraction)-effectReserve-queryReserve, minQueryTimeout)
}

// Reached notes that the store answered a question.
func (t *Tracker) Reached() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryDelay, t.unansweredAt = 0, time.Time{}
}

// Unanswered notes that a question was given up without an answer, whatever the
// reason, and puts the next one off.
func (t *Tracker) Unanswered(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryDelay = min(max(2*t.retryDelay, scale(t.bounds.Contact, firstRetryFraction)), scale(t.bounds.Contact, maxRetryFraction))
	t.unansweredAt = now
}

// Unreached notes that the store, or the way to it, was in trouble at a time.
func (t *Tracker) Unreached(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.unreachableAt) {
		t.unreachableAt = at
	}
}

// Answered notes that an exchange with anybody else was answered now. It passed
// the same link and the same process.
func (t *Tracker) Answered(now, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.recentExchanges) == maxExchanges {
		t.recentExchanges = t.recentExchanges[1:]
	}
	t.recentExchanges = append(t.recentExchanges, exchange{began, now})
}

// Overtaken reports whether two exchanges, one after the other, began and were
// answered after a time. What began at that time and takes two round trips,
// such as a call on a new connection, was not kept by the own link then.
func (t *Tracker) Overtaken(since time.Time) bool {
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

func scale(d time.Duration, of float64) time.Duration { return time.Duration(float64(d) * of) }
