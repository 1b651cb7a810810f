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
	// maxJointConflicts ends a transaction of several ledgers, which is then
	// made in smaller ones; maxConflicts one of a single ledger.
	maxJointConflicts = 4
	maxConflicts      = 16
	// conflictPause bounds the pause before a transaction that met conflicts
	// more than once, for each of them: about one call's time.
	conflictPause = 8 * time.Millisecond
)

// errCrowded ends a batch that met too many conflicts.
var errCrowded = turmericshed.NewError(turmericshed.KindStoreUnavailable, "others write the same ledgers all the time")

// crowded reports whether a batch was given up for its conflicts, and nothing
// of it can have been applied.
func crowded(err error) bool {
	return errors.Is(err, errCrowded) && turmericshed.KindOf(err) == turmericshed.KindStoreUnavailable
}

// paced bounds each transaction of a batch, and spreads those of writers that
// get in each other's way. One conflict is usual: the keys were not known.
type paced struct {
	turmericshed.Transactor
	conflicts int
	// most is how many conflicts are borne.
	most int
}

func newPaced(t turmericshed.Transactor, ledgers int) *paced {
	if ledgers > 1 {
		return &paced{Transactor: t, most: maxJointConflicts}
	}
	return &paced{Transactor: t, most: maxConflicts}
}

// Transact applies t within transactTimeout.
func (s *paced) Transact(ctx context.Context, t turmericshed.Transaction) (turmericshed.Version, error) {
	if s.conflicts >= s.most {
		return 0, errCrowded
	}
	if s.conflicts > 1 {
		tspause.For(ctx, rand.N(conflictPause*time.Duration(s.conflicts)))
	}
	ctx, cancel := context.WithTimeout(ctx, transactTimeout)
	defer cancel()
	v, err := s.Transactor.Transact(ctx, t)
	if turmericshed.KindOf(err) == turmericshed.KindConflict {
		s.conflicts++
	}
	return v, err
}
