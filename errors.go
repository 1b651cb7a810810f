package turmericshed

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// Outcome reports to a caller whether its request took effect.
type Outcome string

// The outcomes.
const (
	// OutcomeNotRun means that nothing was sent to a backend server.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRan means that the request ran completely or partly.
	OutcomeRan Outcome = "ran"
)

// Kind classifies an error. The list of kinds is closed.
type Kind int

// The error kinds. kindTable maps them to answers.
const (
	KindNone Kind = iota
	KindBadRequest
	KindTooLarge
	KindUnauthenticated
	KindForbidden
	KindUnknownProfile
	KindNotFound
	KindConflict
	KindKeyReused
	KindBudgetExhausted
	KindBudgetUnavailable
	KindRateLimited
	KindOverloaded
	KindDeadline
	KindNoBackend
	KindStoreUnavailable
	KindStoreUnknown
	KindQuarantined
	KindDraining
	KindCanceled
	KindBackendRefused
	KindCallUnknown
	KindStreamBroken
	KindInternal
	KindNotReady
	KindHeadersTooLarge
	kindEnd
)

// KindInfo describes the answer for errors of one kind.
type KindInfo struct {
	// Name is the snake-case name used in answers, logs and metrics.
	Name string
	// Status is the HTTP status code.
	Status int
	// Outcome is the outcome reported to the caller.
	Outcome Outcome
	// Retryable is true when the same request may succeed later.
	Retryable bool
	// RetryAfter is the default Retry-After delay; zero sends none.
	RetryAfter time.Duration
}

// kindTable is the only mapping from kinds to answers.
var kindTable = [kindEnd]KindInfo{
	KindNone:              {Name: "none", Status: http.StatusOK, Outcome: OutcomeRan},
	KindBadRequest:        {Name: "bad_request", Status: http.StatusBadRequest, Outcome: OutcomeNotRun},
	KindTooLarge:          {Name: "too_large", Status: http.StatusRequestEntityTooLarge, Outcome: OutcomeNotRun},
	KindUnauthenticated:   {Name: "unauthenticated", Status: http.StatusUnauthorized, Outcome: OutcomeNotRun},
	KindForbidden:         {Name: "forbidden", Status: http.StatusForbidden, Outcome: OutcomeNotRun},
	KindUnknownProfile:    {Name: "unknown_profile", Status: http.StatusNotFound, Outcome: OutcomeNotRun},
	KindNotFound:          {Name: "not_found", Status: http.StatusNotFound, Outcome: OutcomeNotRun},
	KindConflict:          {Name: "conflict", Status: http.StatusConflict, Outcome: OutcomeNotRun},
	KindKeyReused:         {Name: "key_reused", Status: http.StatusUnprocessableEntity, Outcome: OutcomeNotRun},
	KindBudgetExhausted:   {Name: "budget_exhausted", Status: http.StatusPaymentRequired, Outcome: OutcomeNotRun},
	KindBudgetUnavailable: {Name: "budget_unavailable", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, Retryable: true, RetryAfter: time.Second},
	KindRateLimited:       {Name: "rate_limited", Status: http.StatusTooManyRequests, Outcome: OutcomeNotRun, Retryable: true, RetryAfter: time.Second},
	KindOverloaded:        {Name: "overloaded", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, Retryable: true, RetryAfter: time.Second},
	KindDeadline:          {Name: "deadline", Status: http.StatusGatewayTimeout, Outcome: OutcomeNotRun, Retryable: true},
	KindNoBackend:         {Name: "no_backend", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, Retryable: true, RetryAfter: time.Second},
	KindStoreUnavailable:  {Name: "store_unavailable", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, Retryable: true, RetryAfter: time.Second},
	KindStoreUnknown:      {Name: "store_unknown", Status: http.StatusServiceUnavailable, Outcome: OutcomeUnknown, Retryable: true, RetryAfter: time.Second},
	KindQuarantined:       {Name: "quarantined", Status: http.StatusUnprocessableEntity, Outcome: OutcomeNotRun},
	KindDraining:          {Name: "draining", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, Retryable: true, RetryAfter: time.Second},
	KindCanceled:          {Name: "canceled", Status: 499, Outcome: OutcomeNotRun},
	KindBackendRefused:    {Name: "backend_refused", Status: http.StatusBadGateway, Outcome: OutcomeNotRun, Retryable: true, RetryAfter: time.Second},
	KindCallUnknown:       {Name: "call_unknown", Status: http.StatusBadGateway, Outcome: OutcomeUnknown},
	KindStreamBroken:      {Name: "stream_broken", Status: http.StatusBadGateway, Outcome: OutcomeRan, Retryable: true},
	KindInternal:          {Name: "internal", Status: http.StatusInternalServerError, Outcome: OutcomeUnknown},
	KindNotReady:          {Name: "not_ready", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, Retryable: true, RetryAfter: 500 * time.Millisecond},
	KindHeadersTooLarge:   {Name: "headers_too_large", Status: http.StatusRequestHeaderFieldsTooLarge, Outcome: OutcomeNotRun},
}

// Kinds returns all error kinds, without KindNone.
func Kinds() []Kind {
	kinds := make([]Kind, 0, int(kindEnd)-1)
	for k := KindNone + 1; k < kindEnd; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// ParseKind returns the kind with the given name, or KindInternal if the name is
// unknown.
func ParseKind(name string) Kind {
	for k := KindNone; k < kindEnd; k++ {
		if kindTable[k].Name == name {
			return k
		}
	}
	return KindInternal
}

// Info returns the description of the kind; that of KindInternal if the kind is
// out of range.
func (k Kind) Info() KindInfo {
	if k < 0 || k >= kindEnd {
		k = KindInternal
	}
	return kindTable[k]
}

// String returns the kind's snake-case name.
func (k Kind) String() string { return k.Info().Name }

type errorKey int

const (
	kindKey errorKey = iota + 1
	retryAfterKey
	outcomeKey
	currentKey
)

// ErrStoreRestored is wrapped by the error of a transaction that found that the store came back from an older
// copy: it was applied to that copy, if at all.
var ErrStoreRestored = errors.New("the store came back from an older copy")

// NewError returns an error of the given kind. The message is sent to the
// caller, so it must not contain data of other client accounts.
func NewError(kind Kind, format string, args ...any) error {
	return merry.Wrap(fmt.Errorf(format, args...), merry.WithValue(kindKey, kind), merry.NoCaptureStack())
}

// WrapError sets the kind of err and prepends a message. It returns nil if err
// is nil.
func WrapError(kind Kind, err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	msg := fmt.Sprintf(format, args...)
	return merry.Wrap(err, merry.PrependMessage(msg), merry.WithValue(kindKey, kind), merry.NoCaptureStack())
}

// WithRetryAfter attaches a retry delay to err.
func WithRetryAfter(err error, d time.Duration) error {
	return merry.Wrap(err, merry.WithValue(retryAfterKey, d), merry.NoCaptureStack())
}

// WithOutcome overrides the outcome of the error's kind where the request's
// progress requires another one: after dispatch, a passed deadline has
// OutcomeUnknown.
func WithOutcome(err error, o Outcome) error {
	return merry.Wrap(err, merry.WithValue(outcomeKey, o), merry.NoCaptureStack())
}

// WithCurrentItems attaches the store's current items to a conflict error.
func WithCurrentItems(err error, current ...Item) error {
	return merry.Wrap(err, merry.WithValue(currentKey, current), merry.NoCaptureStack())
}

// CurrentItem returns the current item of key that is attached to a conflict
// error, if any.
func CurrentItem(err error, key string) (Item, bool) {
	current, _ := merry.Value(err, currentKey).([]Item)
	for _, i := range current {
		if i.Key == key {
			return i, true
		}
	}
	return Item{}, false
}

// KindOf returns the kind of err: KindNone for nil, KindInternal if err has no
// kind.
func KindOf(err error) Kind {
	if err == nil {
		return KindNone
	}
	if k, ok := merry.Value(err, kindKey).(Kind); ok {
		return k
	}
	return KindInternal
}

// RetryAfterOf returns the retry delay attached to err, or else that of its kind.
func RetryAfterOf(err error) time.Duration {
	if d, ok := merry.Value(err, retryAfterKey).(time.Duration); ok {
		return d
	}
	return KindOf(err).Info().RetryAfter
}

// OutcomeOf returns the outcome attached to err, or else that of its kind.
func OutcomeOf(err error) Outcome {
	if o, ok := merry.Value(err, outcomeKey).(Outcome); ok {
		return o
	}
	return KindOf(err).Info().Outcome
}

// InvariantError reports that an operation would have violated an invariant. The
// operation does not take effect.
type InvariantError struct {
	Name   string
	Detail string
}

// Error describes the violated invariant.
func (e *InvariantError) Error() string { return "invariant " + e.Name + ": " + e.Detail }

// Assert panics with an *InvariantError unless ok is true. The panic terminates
// only the request or the supervised controller, never the fleet.
func Assert(ok bool, name, format string, args ...any) {
	if !ok {
		panic(&InvariantError{Name: name, Detail: fmt.Sprintf(format, args...)})
	}
}

// AsInvariant returns the *InvariantError in a recovered panic value, if any.
func AsInvariant(recovered any) (*InvariantError, bool) {
	err, ok := recovered.(error)
	if !ok {
		return nil, false
	}
	var inv *InvariantError
	return inv, errors.As(err, &inv)
}
