package tsholder

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
	"turmericshed/io/tspause"
)

const (
	// transactTimeout bounds one transaction. All budgets wait for it; a slow
	// platform answers within 300 ms.
	transactTimeout = 800 * time.Millisecond
	// maxJointConflicts ends a transaction of several ledgers, which is then
	// made in smaller ones; maxConflicts one of a single ledger.
	maxJointConflicts = 3
	maxConflicts      = 16
	// conflictPause bounds the pause before a transaction that met conflicts
	// more than once, for each of them: about one call's time.
	conflictPause = 8 * time.Millisecond
)

// writing is one transaction in the making.
type writing struct {
	x       *exchanger
	parts   []part
	changes []tsupdate.Change
	batch   *tsupdate.Batch
	// lots are what each part's lots are after it.
	lots [][]tsbudget.Lot
}

// newWriting prepares the changes of the ledgers and of the holding.
func (x *exchanger) newWriting(parts []part) *writing {
	w := &writing{x: x, parts: parts, lots: make([][]tsbudget.Lot, len(parts))}
	x.h.mu.Lock()
	defer x.h.mu.Unlock()
	for i, p := range parts {
		w.changes = append(w.changes, tsupdate.Change{
			Key: tsbudget.Key(p.b.id), Cached: p.b.item,
			Mutate: tsbudget.Parted(p.mutation,
				func() ([]tsbudget.Lot, error) {
					holding, err := tsbudget.DecodeHolding(w.batch.Current(len(parts)))
					return holding.Lots[p.b.id], err
				},
				func(lots []tsbudget.Lot) { w.lots[i] = lots }),
		})
	}
	w.changes = append(w.changes, tsupdate.Change{Key: x.holding.Key, Cached: x.holding, Mutate: w.held})
	return w
}

// held is the mutation of the holding: the lots of the ledgers that are
// written.
func (w *writing) held(cur turmericshed.Item) ([]byte, error) {
	holding, err := tsbudget.DecodeHolding(cur)
	if err != nil {
		return nil, err
	}
	changed := false
	for i, p := range w.parts {
		if w.batch.Pending(i) != nil && !slices.Equal(holding.Lots[p.b.id], w.lots[i]) {
			holding.Lots[p.b.id], changed = w.lots[i], true
		}
	}
	if !changed {
		return nil, nil
	}
	return holding.Encode()
}

func (w *writing) run(ctx context.Context) error {
	w.batch = tsupdate.NewBatch(w.changes)
	most := maxConflicts
	if len(w.parts) > 1 {
		most = maxJointConflicts
	}
	return tsupdate.RunBatch(ctx, &paced{Transactor: w.x.h.cfg.Joint, most: most}, w.batch)
}

// keepTold remembers the items that the store told with conflicts.
func (w *writing) keepTold() {
	w.x.h.mu.Lock()
	defer w.x.h.mu.Unlock()
	for i, p := range w.parts {
		p.b.item = w.batch.Current(i)
	}
	w.x.holding = w.batch.Current(len(w.parts))
	if len(w.changes) > len(w.parts)+1 {
		w.x.ceilingVersion = w.batch.Current(len(w.parts) + 1).Version
	}
}

// takeLocked takes in the outcome, and returns the first ledger's error.
func (w *writing) takeLocked() error {
	x := w.x
	item, err := w.batch.Result(len(w.parts))
	x.holding = turmericshed.Item{Key: x.holding.Key}
	if err == nil {
		holding, decodeErr := tsbudget.DecodeHolding(item)
		if err = decodeErr; err == nil {
			x.holding, x.lots = item, holding.Lots
		}
	}
	var first error
	for i, p := range w.parts {
		item, partErr := w.batch.Result(i)
		if turmericshed.KindOf(w.batch.Err()) == turmericshed.KindNotFound {
			// A lease that lapsed says nothing of the ledger.
			partErr = turmericshed.WrapError(turmericshed.KindStoreUnavailable, partErr, "ceilings")
		}
		if partErr == nil {
			partErr = err
		}
		partErr = x.h.takeWriteLocked(p.b, item, partErr, p.reports)
		if p.draw != nil {
			x.h.takeDrawLocked(p.b, p.draw, item, partErr)
		}
		if i == 0 {
			first = partErr
		}
	}
	return first
}

// paced bounds each transaction of a batch, and spreads those of holders that
// get in each other's way. One conflict is usual: the keys were not known.
type paced struct {
	turmericshed.Transactor
	conflicts int
	// most is how many conflicts are borne.
	most int
}

// errCrowded ends a batch that met too many conflicts.
var errCrowded = turmericshed.NewError(turmericshed.KindStoreUnavailable, "others write the same ledgers all the time")

// crowded reports whether a batch was given up for its conflicts, and nothing
// of it can have been applied.
func crowded(err error) bool {
	return errors.Is(err, errCrowded) && turmericshed.KindOf(err) == turmericshed.KindStoreUnavailable
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
