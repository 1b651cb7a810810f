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
	// maxMultiLedgerConflicts is the number of conflicts after which a transaction
	// of several ledgers is split into smaller ones. After maxConflicts a
	// transaction of a single ledger is abandoned.
	maxMultiLedgerConflicts = 4
	maxConflicts            = 16
	// conflictBackoff bounds the random pause before the next attempt after more
	// than one conflict, multiplied by the number of conflicts. It is about the
	// duration of one call.
	conflictBackoff = 8 * time.Millisecond
)

// errContention is returned instead of an attempt after too many conflicts.
var errContention = turmericshed.NewError(turmericshed.KindStoreUnavailable, "others write the same ledgers all the time")

// isContention reports whether a batch was abandoned because of conflicts and no
// part of it can have been applied.
func isContention(err error) bool {
	return errors.Is(err, errContention) && turmericshed.KindOf(err) == turmericshed.KindStoreUnavailable
}

// pacedTransactor bounds each transaction of a batch, and backs off after conflicts
// so that concurrent writers don't collide again. There is no pause after the first
// conflict, which is usual: the versions of the keys were not known.
type pacedTransactor struct {
	turmericshed.Transactor
	conflicts int
	// conflictLimit is the number of conflicts after which Transact fails.
	conflictLimit int
}

func newPacedTransactor(t turmericshed.Transactor, ledgers int) *pacedTransactor {
	if ledgers > 1 {
		return &pacedTransactor{Transactor: t, conflictLimit: maxMultiLedgerConflicts}
	}
	return &pacedTransactor{Transactor: t, conflictLimit: maxConflicts}
}

// Transact applies t within transactTimeout. Errors: errContention after too many
// conflicts, or the store's error.
func (s *pacedTransactor) Transact(ctx context.Context, t turmericshed.Transaction) (turmericshed.Version, error) {
	if s.conflicts >= s.conflictLimit {
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
