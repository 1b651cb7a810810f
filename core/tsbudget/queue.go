package tsbudget

import (
	"time"

	"turmericshed"
)

// Waiter is a request that is waiting for tokens.
type Waiter struct {
	Profile turmericshed.Profile
	Request turmericshed.RequestID
	Amount  turmericshed.Tokens
	// Round is the number of rounds of drawing and borrowing that had begun when the request
	// arrived. Only the outcome of later rounds applies to it.
	Round    int
	Deadline time.Time
	// Since is when the request arrived.
	Since time.Time
}

// Queue holds the requests that wait for tokens of one budget, in order of arrival. E identifies a
// waiter to its owner.
type Queue[E comparable] struct {
	entries []queueEntry[E]
}

type queueEntry[E comparable] struct {
	owner E
	Waiter
}

// Granted is a waiter with its reservation.
type Granted[E comparable] struct {
	Owner       E
	Reservation turmericshed.Reservation
}

// Refused is a waiter that was refused, with the error.
type Refused[E comparable] struct {
	Owner  E
	Amount turmericshed.Tokens
	Err    error
}

// Add appends a waiter.
func (q *Queue[E]) Add(owner E, w Waiter) {
	q.entries = append(q.entries, queueEntry[E]{owner: owner, Waiter: w})
}

// Remove drops a waiter and reports whether it was still waiting.
func (q *Queue[E]) Remove(owner E) bool {
	for i := range q.entries {
		if q.entries[i].owner == owner {
			q.entries = append(q.entries[:i], q.entries[i+1:]...)
			return true
		}
	}
	return false
}

// Len returns the number of waiters.
func (q *Queue[E]) Len() int { return len(q.entries) }

// Fill adds the waiters' amounts to a view.
func (q *Queue[E]) Fill(v *View) {
	for _, e := range q.entries {
		v.Waiting += e.Amount
		v.Needed = max(v.Needed, e.Amount)
	}
}

// Grant makes a reservation for every waiter whose amount can be reserved, in order of arrival.
func (q *Queue[E]) Grant(now time.Time, h *Holder) []Granted[E] {
	var granted []Granted[E]
	rest := q.entries[:0]
	for _, e := range q.entries {
		res, ok := h.Reserve(now, e.Profile, e.Request, e.Amount)
		if ok {
			granted = append(granted, Granted[E]{Owner: e.owner, Reservation: res})
			continue
		}
		rest = append(rest, e)
	}
	q.entries = rest
	return granted
}

// Refuse removes the waiters that no tokens can be expected for, with the error of each.
func (q *Queue[E]) Refuse(s Situation) []Refused[E] {
	var refused []Refused[E]
	rest := q.entries[:0]
	for _, e := range q.entries {
		if err := s.Judge(e.Waiter); err != nil {
			refused = append(refused, Refused[E]{Owner: e.owner, Amount: e.Amount, Err: err})
			continue
		}
		rest = append(rest, e)
	}
	q.entries = rest
	return refused
}

const (
	// deadlineMargin is how long before its deadline a request stops waiting for tokens.
	deadlineMargin = 50 * time.Millisecond
	// unavailableRetryAfter is the retry delay sent to callers while tokens are unavailable here:
	// the balancer sends a retry to another entry VM, which may hold some.
	unavailableRetryAfter = 250 * time.Millisecond
	// returnWaitFraction is the fraction of its time for which a request waits for tokens that other
	// holders return. Two thirds of an eighth: callers lose nothing by a wait of up to an eighth of
	// their time. With a longer wait there are fewer refusals and more transactions in TestReplay.
	returnWaitFraction = 0.08
)

// Situation is the state from which a waiting request is judged.
type Situation struct {
	View
	// StoreErr is the error of the last attempt to draw; nil if the ledger was read.
	StoreErr error
	// Round is the number of the last completed round.
	Round int
	// PeersMissing is true if a holder of open lots could not be queried.
	PeersMissing bool
	// Closed is true once the profile is closed.
	Closed bool
}

// Judge returns nil while the request should keep waiting, otherwise the error to refuse it with:
// KindBudgetExhausted if the ledger was read and not enough is left, KindBudgetUnavailable if that
// is unknown or nothing can be drawn now, KindUnknownProfile for a closed profile.
func (s Situation) Judge(w Waiter) error {
	if s.Closed {
		return turmericshed.NewError(turmericshed.KindUnknownProfile, "profile %s is closed", w.Profile.Name)
	}
	if s.Round <= w.Round {
		if s.nearDeadline(w) {
			return unavailable("budget of %s: no answer about it in time", w.Profile.Name)
		}
		return nil
	}
	if s.Available >= w.Amount && !s.nearDeadline(w) {
		// Only the holder's ceilings block the request. They are being raised, or expire with
		// their lease while the store is unreachable.
		return nil
	}
	inUse := s.Available + s.Reserved - s.Suspended + s.Lent
	if s.StoreErr == nil && s.Ledger.Read && min(inUse+s.Ledger.Undrawn+s.Ledger.Others, s.Ledger.Unspent) < w.Amount {
		return Exhausted(w.Profile.Name, max(s.Ledger.Undrawn+inUse, 0), w.Amount)
	}
	// Settlements here, or lots of other holders, may still free enough tokens for the request.
	mayFree := inUse >= w.Amount
	if s.StoreErr == nil {
		mayFree = mayFree || inUse+s.Ledger.Undrawn+s.Ledger.Others >= w.Amount
	}
	if (w.Profile.Edge != turmericshed.PreferNoSurprise || s.mayReturn(w)) && mayFree && !s.nearDeadline(w) {
		return nil
	}
	switch {
	case s.StoreErr != nil:
		return Unavailable(w.Profile.Name)
	case s.PeersMissing:
		return unavailable("budget of %s: the tokens left are held where nobody can be asked", w.Profile.Name)
	case s.Ledger.Undrawn >= w.Amount:
		return unavailable("budget of %s: nothing could be drawn in time", w.Profile.Name)
	default:
		return turmericshed.NewError(turmericshed.KindBudgetExhausted,
			"budget of %s: %d tokens left to draw, %d needed, the rest is in use", w.Profile.Name, max(s.Ledger.Undrawn, 0), w.Amount)
	}
}

// Exhausted returns the refusal of a request for more than is left: KindBudgetExhausted.
func Exhausted(p turmericshed.ProfileName, left, needed turmericshed.Tokens) error {
	return turmericshed.NewError(turmericshed.KindBudgetExhausted, "budget of %s: %d tokens left, %d needed", p, left, needed)
}

// Unavailable returns the refusal while the store with the ledger does not answer:
// KindBudgetUnavailable.
func Unavailable(p turmericshed.ProfileName) error {
	return unavailable("budget of %s: nothing can be drawn now", p)
}

// mayReturn reports whether the request should wait for tokens that other holders return. In a large
// fleet most tokens are held by entry VMs that do not need them now, and a retry does not reach a
// particular one.
func (s Situation) mayReturn(w Waiter) bool {
	if !s.largeFleet() || s.StoreErr != nil || w.Since.IsZero() || w.Deadline.IsZero() {
		return false
	}
	patience := time.Duration(returnWaitFraction * float64(w.Deadline.Sub(w.Since)))
	return s.Now.Before(w.Since.Add(patience))
}

func (s Situation) nearDeadline(w Waiter) bool {
	return !w.Deadline.IsZero() && !s.Now.Before(w.Deadline.Add(-deadlineMargin))
}

func unavailable(format string, args ...any) error {
	return turmericshed.WithRetryAfter(turmericshed.NewError(turmericshed.KindBudgetUnavailable, format, args...), unavailableRetryAfter)
}
