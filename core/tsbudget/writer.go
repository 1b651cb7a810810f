package tsbudget

import (
	"context"
	"time"

	"turmericshed"
)

// Request is what one holder wants done to the ledgers and to its failure
// domain's holding.
type Request struct {
	VM          string
	Incarnation turmericshed.Incarnation
	Changes     []Change
	// Declaration, if set, is how far the holder's lots may be used.
	Declaration *Declaration
	// Takeover makes the process stand for its entry VM. Such a request has no
	// changes.
	Takeover *Takeover
	// Leave takes the entry VM out of the holding, when no lot is left.
	Leave bool
	// Urgent is true when callers wait for the outcome.
	Urgent bool
	// Count is true when ledgers should count at once what was used.
	Count bool
	// Cursor is that of the last reply, so that ledgers are told once.
	Cursor Cursor
}

// Cursor is a place in the order in which a LedgerWriter learned of ledgers.
type Cursor struct {
	Writer turmericshed.Incarnation
	At     uint64
}

// Takeover ends what an earlier process on the entry VM held.
type Takeover struct {
	// From is the earlier process; empty where the holding has none.
	From turmericshed.Incarnation
	// Now is the entry VM's time of day.
	Now time.Time
}

// Declaration is a holder's promise, see Ceilings.
type Declaration struct {
	// Sequence grows with each declaration of a process.
	Sequence int64
	// Lease is what the promise lasts as long as. The holder learned of it at
	// Since, by its time of day.
	Lease    turmericshed.LeaseID
	Since    time.Time
	Ceilings []LotCeiling
}

// Reply is what a holder is told of its request.
type Reply struct {
	// Standing is the process that stands for the holder's entry VM.
	Standing turmericshed.Incarnation
	// Lease is what the next declaration may be bound to; empty for none.
	Lease turmericshed.LeaseID
	// Declared is true when the request's declaration stands.
	Declared bool
	// Ledgers are those that changed since the request's Cursor, at least, and
	// Cursor is for the next request.
	Ledgers []turmericshed.Item
	Cursor  Cursor
	// Next is the time until a request that is not urgent is best made: all
	// holders then ask at once.
	Next time.Duration
	// Lots are all of the process.
	Lots map[turmericshed.BudgetID][]Lot
	// Pools are what the domain can still give of budgets without their
	// ledgers.
	Pools map[turmericshed.BudgetID]turmericshed.Tokens
	// Errs are why changes were not made.
	Errs map[turmericshed.BudgetID]error
}

// LedgerWriter writes the ledgers for the holders of a failure domain.
type LedgerWriter interface {
	// Commit makes the request's changes. Repeated, it changes nothing more.
	// Errors: KindStoreUnavailable (nothing of it was written),
	// KindStoreUnknown (all, some or nothing was, or may yet be).
	Commit(ctx context.Context, r Request) (Reply, error)
}
