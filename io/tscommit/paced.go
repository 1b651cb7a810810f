package tscommit

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"turmericshed"
	"turmericshed/io/tspause"
)

const (
	// transactTimeout bounds one transaction. All budgets wait for it; a slow
	// platform answers within 300 ms.
	transactTimeout = 800 * time.Millisecond
	// maxMultiLedgerConflicts ends a transaction of several ledgers, which is then
	// made in smaller ones; maxConflicts one of a single ledger.
	maxMultiLedgerConflicts = 4
	maxConflicts            = 16
	// conflictBackoff bounds the pause before a transaction that met conflicts
	// more than once, for each of them: about one call's time.
	conflictBackoff = 8 * time.Millisecond
)

// errContention ends a batch that met too many conflicts.
var errContention = turmericshed.NewError(turmericshed.KindStoreUnavailable, "others write the same ledgers all the time")

// isContention reports whether a batch was given up for its conflicts, and nothing
// of it can have been applied.
func isContention(err error) bool {
	return errors.Is(err, errContention) && turmericshed.KindOf(err) == turmericshed.KindStoreUnavailable
}

// pacedTransactor bounds each transaction of a batch, and spreads those of writers that
// get in each other's way. One conflict is usual: the keys were not known.
type pacedTransactor struct {
	turmericshed.Transactor
	conflicts int
	// maxConflicts is how many conflicts are borne.
	maxConflicts int
}

func newPacedTransactor(t turmericshed.Transactor, ledgers int) *pacedTransactor {
	if ledgers > 1 {
		return &pacedTransactor{Transactor: t, maxConflicts: maxMultiLedgerConflicts}
	}
	return &pacedTransactor{Transactor: t, maxConflicts: maxConflicts}
}

// Transact applies t within transactTimeout.
func (s *pacedTransactor) Transact(ctx context.Context, t turmericshed.Transaction) (turmericshed.Version, error) {
	if s.conflicts >= s.maxConflicts {
		return 0, errContention
	}
	if s.conflicts > 1 {
		tspause.For(ctx, rand.N(conflictBackoff*time.Duration(s.conflicts)))
	}
	ctx, cancel := context.WithTimeout(ctx, transactTimeout)
	defer cancel()
	v, err := s.Transactor.Transact(ctx, t)
	if turmericshed.KindOf(err) == turmericshed.KindConflict {
		s.conflicts++
	}
	return v, err
}
