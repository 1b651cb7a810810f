package tsbudget

import (
	"context"
	"time"

	"turmericshed"
)

// Request is one holder's request to change ledgers and its failure domain's holding.
type Request struct {
	VM          string
	Incarnation turmericshed.Incarnation
	Changes     []Change
	// Declaration, if set, is the holder's new declaration of ceilings.
	Declaration *Declaration
	// Takeover, if set, makes the process the current one of its entry VM. Such a request has no
	// changes.
	Takeover *Takeover
	// Leave removes the entry VM from the holding if it has no lots left.
	Leave bool
	// Urgent is true when callers wait for the outcome.
	Urgent bool
	// WriteUsage is true if the ledgers should count the usage at once.
	WriteUsage bool
	// Cursor is that of the last reply, so that each ledger update is sent once.
	Cursor Cursor
	// HoldingBefore is the latest version of the holding that the holder knew in an earlier era of the
	// store; 0 if it knew none.
	HoldingBefore turmericshed.Version
}

// Cursor is a position in the order in which a LedgerWriter received ledgers.
type Cursor struct {
	Writer turmericshed.Incarnation
	At     uint64
}

// Takeover closes the lots of the previous process on the entry VM.
type Takeover struct {
	// From is the previous process; empty if the holding has none.
	From turmericshed.Incarnation
	// Now is the entry VM's time of day.
	Now time.Time
}

// Declaration is a holder's promise to stay within ceilings, see Ceilings.
type Declaration struct {
	// Sequence increases with each declaration of a process.
	Sequence int64
	// Lease is the lease for whose lifetime the promise is binding. The holder learned of it at
	// Since, by its time of day.
	Lease    turmericshed.LeaseID
	Since    time.Time
	Ceilings []LotCeiling
}

// Reply is the answer to a holder's request.
type Reply struct {
	// CurrentIncarnation is the current process of the holder's entry VM.
	CurrentIncarnation turmericshed.Incarnation
	// Lease is the lease that the next declaration may be bound to; empty if there is none.
	Lease turmericshed.LeaseID
	// Declared is true if the request's declaration is in force.
	Declared bool
	// Ledgers include all that changed since the request's Cursor. Cursor is for the next request.
	Ledgers []turmericshed.Item
	Cursor  Cursor
	// Next is the delay after which the next request that is not urgent should be sent, so that
	// all holders of the domain send theirs together.
	Next time.Duration
	// Lots are all lots of the process.
	Lots map[turmericshed.BudgetID][]Lot
	// Holding is the version of the holding; 0 from a writer of an earlier version.
	Holding turmericshed.Version
	// Pools are the amounts that can be drawn from the domain's pools without a write of the
	// ledger.
	Pools map[turmericshed.BudgetID]turmericshed.Tokens
	// Errs are the errors of changes that were not made.
	Errs map[turmericshed.BudgetID]error
}

// LedgerWriter writes the ledgers for the holders of a failure domain.
type LedgerWriter interface {
	// Commit applies the request's changes. Repeating a request changes nothing more. Errors:
	// KindStoreUnavailable (nothing was written), KindStoreUnknown (all, some or none of it was
	// written, or may still be).
	Commit(ctx context.Context, r Request) (Reply, error)
}
