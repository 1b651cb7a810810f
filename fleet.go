package turmericshed

import (
	"context"
	"time"
)

// MemberState is the state of another entry VM in the view of this process.
type MemberState int

// The member states.
const (
	MemberUnknown MemberState = iota
	MemberAlive
	MemberSuspect
	MemberGone
	MemberLeft
)

// String returns the snake-case name.
func (s MemberState) String() string {
	switch s {
	case MemberAlive:
		return "alive"
	case MemberSuspect:
		return "suspect"
	case MemberGone:
		return "gone"
	case MemberLeft:
		return "left"
	default:
		return "unknown"
	}
}

// Members reports which entry VMs are currently reachable. Its view may be wrong
// and is only a hint.
type Members interface {
	Self() EntryVM
	// Reachable returns the entry VMs considered alive, without Self.
	Reachable() []EntryVM
	// State returns the state of one incarnation.
	State(in Incarnation) MemberState
}

// Profiles returns profiles from the cache of this process.
type Profiles interface {
	// Get returns the newest cached version of the profile and its age. It reads
	// the store only on the first use of a name. Errors: KindUnknownProfile,
	// KindStoreUnavailable.
	Get(ctx context.Context, name ProfileName) (Profile, time.Duration, error)
}

// Reservation is the worst-case cost of one request, reserved in one lot.
type Reservation struct {
	ID      string
	Profile ProfileName
	Budget  BudgetID
	Lot     LotID
	Request RequestID
	Amount  Tokens
}

// Budgets reserves and settles tokens from the lots that this process holds.
type Budgets interface {
	// Reserve reserves n tokens, the worst-case cost of the request. It waits
	// for draws, settlements and peers until the deadline of ctx. Errors:
	// KindBudgetExhausted, KindBudgetUnavailable, KindDeadline.
	Reserve(ctx context.Context, p Profile, request RequestID, n Tokens) (Reservation, error)
	// Settle replaces a reservation with its actual cost. It must be called at
	// most once and asserts that used does not exceed the amount.
	Settle(res Reservation, used Tokens)
	// Suspend leaves the whole amount charged until the engine confirms the
	// usage; Settle may follow.
	Suspend(res Reservation)
	// Drain returns the unspent tokens of every lot.
	Drain(ctx context.Context) error
}

// Call identifies a non-idempotent call.
type Call struct {
	Account AccountID
	Profile ProfileName
	Service string
	// Key is the caller's idempotency key.
	Key    string
	Digest Digest
	// Request is the request ID of this attempt.
	Request RequestID
}

// ClaimVerdict states how to handle a call.
type ClaimVerdict int

// The claim verdicts.
const (
	// ClaimRun means that this process holds the claim and must dispatch.
	ClaimRun ClaimVerdict = iota + 1
	// ClaimReplay means that the stored answer is to be replayed.
	ClaimReplay
	// ClaimUnknown means that the call may have run and no answer is stored.
	ClaimUnknown
)

// ClaimDecision is the result of Claims.Claim.
type ClaimDecision struct {
	Verdict ClaimVerdict
	Claim   ClaimID
	// Answer is set for ClaimReplay.
	Answer Answer
}

// Claims ensures that non-idempotent calls run at most once.
type Claims interface {
	// Claim writes a durable claim or finds an existing one. If a live process
	// is running the call, it waits for the answer until the deadline of ctx.
	// Errors: KindKeyReused, KindStoreUnavailable (not run), KindDeadline,
	// KindCallUnknown.
	Claim(ctx context.Context, c Call) (ClaimDecision, error)
	// Dispatch must return nil immediately before the call is sent. It returns
	// an error once the claim is abandoned; the call must not be sent then.
	Dispatch(id ClaimID) error
	// Complete stores the complete answer and retries until it is written. The
	// answer may be sent to the caller before that.
	Complete(ctx context.Context, id ClaimID, a Answer) error
	// Abandon releases a claim whose call was certainly not sent, so that a
	// retry can run it.
	Abandon(ctx context.Context, id ClaimID) error
	// MarkInDoubt marks a claim in doubt: its call may have run but has no answer.
	MarkInDoubt(ctx context.Context, id ClaimID, reason string) error
	// Drain hands over open claims.
	Drain(ctx context.Context) error
}

// RouteRequest describes a request for which a backend server is chosen.
type RouteRequest struct {
	Work    WorkKind
	Model   Model
	Service string
	// Prefix is a hash of the prompt's prefix; 0 for none.
	Prefix uint64
	// BodyBytes is the size of the request's body.
	BodyBytes int64
	// Cost is the worst-case cost in tokens, which is the request's weight in the
	// server's load.
	Cost Tokens
	// Excluded lists the servers that already failed this request.
	Excluded []ServerID
	// Software lists the software versions of which the server may be; empty means any.
	Software []SoftwareVersion
	// PromptTokens and MaxOutput limit the tokens of a generation, and PrefixTokens is the
	// part of the prompt that Prefix stands for; 0 for plain services.
	PromptTokens Tokens
	PrefixTokens Tokens
	MaxOutput    Tokens
	// FirstByteWithin is the time until which the first byte, or the first event of a
	// stream, is due; 0 if there is no objective or it has passed.
	FirstByteWithin time.Duration
	// MemoryTokens is ServiceSpec.MemoryTokens of the service; 0 if unknown.
	MemoryTokens Tokens
	// Estimate receives what Pick expected of the chosen server. It may be nil; a router
	// that weighs servers by time to serve then learns nothing from the attempt.
	Estimate *RouteEstimate
}

// RouteEstimate is what a router expected when it chose a server for an attempt. The
// router that fills it also reads it; others only log it.
type RouteEstimate struct {
	// UnreadTokens are the request's own prompt tokens that the server has to read, and
	// ReadTokens those together with what it has to read before them.
	UnreadTokens Tokens
	ReadTokens   Tokens
	// ServeTime is the expected time to serve the request; 0 if servers were not weighed
	// by it.
	ServeTime time.Duration
	// Began is when the server was chosen, and IsReading is true until its first byte, or
	// the end of the attempt.
	Began     time.Time
	IsReading bool
}

// DispatchResult is the result of one attempt at a backend server.
type DispatchResult struct {
	// Err is nil after a complete answer.
	Err error
	// FirstByte is the time from dispatch to the first byte; 0 for none.
	FirstByte time.Duration
	// FirstOutput is the time from the choice of the server to the first event of a
	// stream or the headers of another answer; 0 for none.
	FirstOutput time.Duration
	Elapsed     time.Duration
	Tokens      Tokens
	// RequestBytes are the bytes of the body that were sent, AnswerBytes those of the
	// answer's body that were received.
	RequestBytes, AnswerBytes int64
	// Inconclusive is true for an attempt that timed out while bytes were queued
	// on this VM's local link, so that the timeout alone does not indicate a fault
	// of the server.
	Inconclusive bool
}

// Router chooses backend servers.
type Router interface {
	// SetServers replaces the candidates and retains the state of those that
	// were candidates before.
	SetServers(now time.Time, servers []BackendServer)
	// Report merges a load report, which arrives with a lag.
	Report(now time.Time, r LoadReport)
	// SetLeaving removes a server from the candidates immediately.
	SetLeaving(now time.Time, id ServerID)
	// Pause sends no new requests to a server for the duration d, which the
	// server requested.
	Pause(now time.Time, id ServerID, d time.Duration)
	// Pick chooses a server and counts the request as in flight there. It waits
	// at most a few tenths of a second and returns when ctx is done. Errors:
	// KindNoBackend, KindOverloaded, KindCanceled when ctx is done.
	Pick(ctx context.Context, now time.Time, r RouteRequest) (BackendServer, error)
	// RequestNotSent reports that a request was not sent to the server that Pick
	// returned; Done follows.
	RequestNotSent(s BackendServer)
	// InService reports whether requests may still be sent to a server that Pick
	// returned: it is listed, is not leaving and has not requested a pause.
	InService(now time.Time, id ServerID) bool
	// Done reports the result of an attempt that Pick counted.
	Done(now time.Time, id ServerID, r RouteRequest, res DispatchResult)
}

// AdmitRequest describes a request that waits for admission.
type AdmitRequest struct {
	Account AccountID
	// Profile separates the limits that an account has under its profiles.
	Profile ProfileName
	Limit   AccountLimit
	Work    WorkKind
	// Priority orders requests in the queue; the weight grows with the number.
	Priority int
	Cost     Tokens
	Deadline time.Time

	// Service names the servers that the request competes for; empty if requests
	// compete by kind of work only. The fields below describe the request to
	// them.
	Service string
	// PromptTokens and MaxOutput are the token memory that the request needs.
	// CachedTokens is the part of the prompt that is probably cached.
	PromptTokens Tokens
	MaxOutput    Tokens
	CachedTokens Tokens
	// ServerMemory is the token memory of each server; 0 if unknown.
	ServerMemory Tokens
	// Objective is the time within which the request should begin; 0 for none.
	Objective time.Duration
	// Class is the rank of the request's urgency among the Classes ranks of the
	// service; 0 is the most urgent.
	Class   int
	Classes int
	// Content is a hash of account and content, which a repeat shares.
	Content uint64
}

// Admission is a deadline-aware queue with fair shares.
type Admission interface {
	// Admit waits until the request is admitted; release must be called once.
	// Errors: KindRateLimited, KindOverloaded, KindDeadline, KindCanceled.
	Admit(ctx context.Context, r AdmitRequest) (release func(), err error)
}

// AttemptResult is the result of one attempt, for admission.
type AttemptResult struct {
	Elapsed time.Duration
	// Complete is true after a complete answer.
	Complete bool
	// Refused is true if the server refused the request because it was full.
	Refused bool
}

// AdmissionFeedback is implemented by an Admission that learns from attempts at
// backend servers.
type AdmissionFeedback interface {
	// FullServers returns the servers whose token memory can't hold r, unless every
	// server that is not excluded is full.
	FullServers(now time.Time, r AdmitRequest, excluded []ServerID) []ServerID
	// AttemptStarted reports that a server was picked for r; AttemptEnded follows.
	AttemptStarted(now time.Time, id ServerID, r AdmitRequest)
	// AttemptBegan reports how long the server took until the first event of a
	// stream or the answer.
	AttemptBegan(now time.Time, r AdmitRequest, elapsed time.Duration)
	AttemptEnded(now time.Time, id ServerID, r AdmitRequest, res AttemptResult)
	// RetryAfter returns after how long a request that the server refused is worth
	// another attempt.
	RetryAfter(now time.Time, id ServerID, r AdmitRequest) time.Duration
}

// StreamBeginning is the version at which a stream began.
type StreamBeginning struct {
	// Request is the ID of the caller's attempt that brought the first event.
	Request  RequestID
	Service  string
	Software SoftwareVersion
	// Until is when the caller's time limit ends, after which the stream is not resumed.
	Until time.Time
}

// StreamVersions knows at which software version streams began, so that each goes on there.
type StreamVersions interface {
	// Usable returns the software versions of a service at which a new stream may begin; empty
	// means any.
	Usable(service string) []SoftwareVersion
	// Began records that the first event of a stream arrived. isAmbiguous is true if the route has
	// other services at which the stream could have begun.
	Began(b StreamBeginning, isAmbiguous bool)
	// Ended records that a stream was relayed to its end.
	Ended(id RequestID)
	// Find returns the beginning of the stream whose first event the attempt with the ID brought,
	// on a route to the service. It waits at most a few tenths of a second for other entry VMs and
	// the store. Errors: KindNoBackend if the version can't be determined, KindCanceled.
	Find(ctx context.Context, service string, id RequestID) (StreamBeginning, error)
}

// CrashSubject is what a backend server may crash by while it runs a request.
type CrashSubject struct {
	// Request identifies the request and its repeats.
	Request Digest
	// Parts identify the parts of its prompt that other requests may share, in order.
	Parts []Digest
}

// LostAttempt is an attempt to run a request on a server whose connection was lost.
type LostAttempt struct {
	// Parts are empty if they can't be the cause of a crash.
	CrashSubject

	// Began is when the request was sent.
	Began time.Time
	// OnlyHead is true if the server had sent the head of its answer and nothing after it.
	OnlyHead bool
}

// CrashWatch blocks requests, and parts of prompts, during which backend servers
// terminated. It counts the terminations seen by all entry VMs.
type CrashWatch interface {
	// Active reports whether any request or part is suspected. Check and Survived do
	// nothing while there is none.
	Active() bool
	// Check returns KindQuarantined for a request that must not be sent, because of
	// itself or of a part of its prompt.
	Check(now time.Time, c CrashSubject) error
	// ConnectionLost reports that a connection was lost on which the server had been
	// running a request. Whether the server terminated as well is determined later:
	// the returned function waits for that, and returns false if it is not known when
	// ctx ends.
	ConnectionLost(s BackendServer, a LostAttempt) (terminated func(ctx context.Context) bool)
	// Survived reports that the request got a complete answer.
	Survived(now time.Time, d Digest)
	// PartsSurvived reports that a server got past the beginning of its answer to a
	// request with the given parts. It is called also while nothing is suspected.
	PartsSurvived(now time.Time, parts []Digest)
}

// Quarantine blocks requests that crash backend servers.
type Quarantine interface {
	// Check returns KindQuarantined for a digest that must not run. It only
	// rejects early; Started decides.
	Check(now time.Time, d Digest) error
	// Started must return nil immediately before an attempt is sent; otherwise
	// the attempt must not be sent. Errors: KindQuarantined, and KindOverloaded
	// for a suspected request that has to wait.
	Started(now time.Time, d Digest, s ServerID) error
	// Ended reports the end of an attempt that Started allowed; crashed is true
	// if the server terminated while it ran the request.
	Ended(now time.Time, d Digest, s ServerID, crashed bool)
	// Survived reports that the request got a complete answer, which clears the
	// suspicion. Attempts with any other result do not clear it.
	Survived(now time.Time, d Digest)
}
