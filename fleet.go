package turmericshed

import (
	"context"
	"time"
)

// MemberState is what this process believes about another entry VM.
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

// Members tells who is reachable now. Everything it says is a hint.
type Members interface {
	Self() EntryVM
	// Reachable returns the entry VMs believed alive, without Self.
	Reachable() []EntryVM
	// State returns the belief about one incarnation.
	State(in Incarnation) MemberState
}

// Profiles gives the newest profile known to this process.
type Profiles interface {
	// Get returns the profile and how old the knowledge is. It reads the
	// store only on first use of a name. Errors: KindUnknownProfile,
	// KindStoreUnavailable.
	Get(ctx context.Context, name ProfileName) (Profile, time.Duration, error)
}

// Reservation is the worst case of one request, taken from one lot.
type Reservation struct {
	ID      string
	Profile ProfileName
	Budget  BudgetID
	Lot     LotID
	Request RequestID
	Amount  Tokens
}

// Budgets spends tokens that this process holds.
type Budgets interface {
	// Reserve takes the worst case n, waiting within the deadline of ctx
	// for draws, settlements and peers. Errors: KindBudgetExhausted,
	// KindBudgetUnavailable, KindDeadline.
	Reserve(ctx context.Context, p Profile, request RequestID, n Tokens) (Reservation, error)
	// Settle replaces a reservation by its true cost, once. Asserts that
	// used is at most the amount.
	Settle(res Reservation, used Tokens)
	// Suspend keeps the amount charged while the engine has not confirmed
	// the usage; Settle may follow.
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
	// Request is the request id of this attempt.
	Request RequestID
}

// ClaimVerdict tells what to do with a call.
type ClaimVerdict int

// The claim verdicts.
const (
	// ClaimRun means that this process holds the claim and must dispatch.
	ClaimRun ClaimVerdict = iota + 1
	// ClaimReplay means that the answer is known.
	ClaimReplay
	// ClaimUnknown means that the call may have run and has no answer.
	ClaimUnknown
)

// ClaimDecision is the result of Claims.Claim.
type ClaimDecision struct {
	Verdict ClaimVerdict
	Claim   ClaimID
	// Answer is set for ClaimReplay.
	Answer Answer
}

// Claims makes non-idempotent calls run at most once.
type Claims interface {
	// Claim makes the durable claim or finds an earlier one; it waits for a
	// living runner within the deadline of ctx. Errors: KindKeyReused,
	// KindStoreUnavailable (not run), KindDeadline, KindCallUnknown.
	Claim(ctx context.Context, c Call) (ClaimDecision, error)
	// Dispatch must return nil immediately before the call is sent. It
	// fails once the claim was given up; nothing may be sent then.
	Dispatch(id ClaimID) error
	// Complete keeps the whole answer. It retries until written; the answer
	// may go to the caller before that.
	Complete(ctx context.Context, id ClaimID, a Answer) error
	// Abandon gives up a claim whose call was certainly not sent, so that a
	// retry may run it.
	Abandon(ctx context.Context, id ClaimID) error
	// Doubt marks a claim whose call may have run and has no answer.
	Doubt(ctx context.Context, id ClaimID, reason string) error
	// Drain hands open claims on.
	Drain(ctx context.Context) error
}

// RouteRequest asks for a backend server.
type RouteRequest struct {
	Work    WorkKind
	Model   Model
	Service string
	// Prefix is a hash of the prompt's beginning; 0 for none.
	Prefix uint64
	// Cost is the worst case in tokens; the weight of the request in load.
	Cost Tokens
	// Excluded servers already failed this request.
	Excluded []ServerID
}

// DispatchResult is how an attempt at a backend server ended.
type DispatchResult struct {
	// Err is nil after a whole answer.
	Err error
	// FirstByte is the time from dispatch to the first byte; 0 for none.
	FirstByte time.Duration
	Elapsed   time.Duration
	Tokens    Tokens
	// Inconclusive is true for an attempt that timed out while bytes waited at
	// this VM's own link, which by itself says nothing about the server.
	Inconclusive bool
}

// Router chooses backend servers.
type Router interface {
	// SetServers replaces the candidates, keeping state of known ones.
	SetServers(now time.Time, servers []BackendServer)
	// Report joins a lagged load report.
	Report(now time.Time, r LoadReport)
	// SetLeaving takes a server out at once.
	SetLeaving(now time.Time, id ServerID)
	// Pause keeps new work from a server that asked for it, for a time.
	Pause(now time.Time, id ServerID, d time.Duration)
	// Pick chooses a server and counts the request as in flight there. It waits
	// some tenths of a second at most, and not after the end of ctx. Errors:
	// KindNoBackend, KindOverloaded, KindCanceled when ctx ended.
	Pick(ctx context.Context, now time.Time, r RouteRequest) (BackendServer, error)
	// Unsent tells that a request was not sent to the server that was picked
	// for it; Done follows.
	Unsent(s BackendServer)
	// InService reports whether a server that was picked may still be sent to:
	// it is listed, isn't leaving and has not asked for a pause.
	InService(now time.Time, id ServerID) bool
	// Done ends an attempt counted by Pick.
	Done(now time.Time, id ServerID, r RouteRequest, res DispatchResult)
}

// AdmitRequest asks for a place to run.
type AdmitRequest struct {
	Account AccountID
	// Profile keeps an account's limits under its profiles apart.
	Profile  ProfileName
	Limit    AccountLimit
	Work     WorkKind
	Priority int
	Cost     Tokens
	Deadline time.Time
}

// Admission is a deadline-aware queue with fair shares.
type Admission interface {
	// Admit waits for a place; release must be called once. Errors:
	// KindRateLimited, KindOverloaded, KindDeadline, KindCanceled.
	Admit(ctx context.Context, r AdmitRequest) (release func(), err error)
}

// CrashWatch keeps requests from backend servers after others ended under them,
// counted over all entry VMs.
type CrashWatch interface {
	// Active reports whether any request is suspected. Check and Survived do
	// nothing while none is.
	Active() bool
	// Check returns KindQuarantined for a request that may not be sent.
	Check(now time.Time, d Digest) error
	// Broke tells that the connection ended on which a server worked on the
	// request since began. Whether the server did is found out later.
	Broke(s BackendServer, d Digest, began time.Time)
	// Survived tells that the request was answered whole.
	Survived(now time.Time, d Digest)
}

// Quarantine stops requests that crash backend servers.
type Quarantine interface {
	// Check returns KindQuarantined for a digest that may not run. It is an
	// early refusal; Started decides.
	Check(now time.Time, d Digest) error
	// Started must return nil right before an attempt is sent; nothing may
	// be sent otherwise. Errors: KindQuarantined, and KindOverloaded for a
	// suspect that has to wait.
	Started(now time.Time, d Digest, s ServerID) error
	// Ended ends an attempt that Started let through; crashed tells that the
	// server went away while the request ran there.
	Ended(now time.Time, d Digest, s ServerID, crashed bool)
	// Survived tells that the request was answered whole, which clears it of
	// suspicion. Attempts that ended otherwise don't.
	Survived(now time.Time, d Digest)
}
