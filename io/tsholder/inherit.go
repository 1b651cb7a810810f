package tsholder

import (
	"context"
	"math/rand/v2"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
	"turmericshed/io/tspause"
)

const (
	// orphanScan is the time between looks for holdings that nobody comes
	// back to, jittered by as much again.
	orphanScan = 10 * time.Minute
	// orphanAfter is how long an entry VM must be off the list before its
	// holding is ended: what it held counts as spent already, so this only
	// keeps the store small.
	orphanAfter = time.Hour
	// maxHoldings bounds one reading of the holdings.
	maxHoldings = 500
)

// Inherit ends the lots of an earlier process on this machine, which is dead:
// what it held above its ceilings goes back, and without ceilings all of it
// counts as spent. It must be called before the first Hold and before the
// controllers run, of a holder with Joint. Errors: those of the store, after
// which the lots stay charged.
func (h *Holder) Inherit(ctx context.Context) error {
	x := h.exchanger
	item, err := h.cfg.Store.Get(ctx, x.holding.Key)
	if err != nil || item.Version == 0 {
		return err
	}
	ceilings, err := h.cfg.Store.Get(ctx, x.ceilingKey)
	if err != nil {
		return err
	}
	var doc tsbudget.CeilingDocument
	if ceilings.Version != 0 {
		if doc, err = tsbudget.DecodeCeilings(ceilings); err != nil {
			return err
		}
	}
	x.holding = item
	return x.adopt(ctx, doc)
}

// adopt ends all lots of other processes in the holding.
func (x *exchanger) adopt(ctx context.Context, doc tsbudget.CeilingDocument) error {
	holding, err := tsbudget.DecodeHolding(x.holding)
	if err != nil {
		return err
	}
	var parts []part
	for _, id := range holding.Foreign(x.h.cfg.Self.Incarnation) {
		parts = append(parts, part{b: &budget{id: id}, plan: plan{mutation: inherited(holding.Lots[id], doc)}})
	}
	x.size = x.most()
	return x.inTransactions(parts, func(some []part) error { return x.endLots(ctx, some) })
}

// inherited returns the mutation that ends lots: with the ceilings as charge
// for those of the process that published them, else with all of it.
func inherited(lots []tsbudget.Lot, doc tsbudget.CeilingDocument) tsupdate.Mutation {
	m := tsbudget.Inherit(doc.Holder, doc.Ceilings)
	for _, l := range lots {
		if l.Holder != doc.Holder {
			m = tsupdate.Then(m, tsbudget.Settle(tsbudget.Report{Lot: l.ID, Used: l.Used, Returned: l.Returned, Requests: l.Requests, Final: true}))
		}
	}
	return m
}

// endLots makes one transaction that ends lots, and tells what came of it.
func (x *exchanger) endLots(ctx context.Context, parts []part) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	w := x.newWriting(parts)
	err := w.run(ctx)
	if crowded(err) && len(parts) > 1 {
		w.keepTold()
		return err
	}
	x.h.mu.Lock()
	defer x.h.mu.Unlock()
	_ = w.takeLocked() // The parts' errors are told below.
	for i, p := range parts {
		event := turmericshed.Event{Name: turmericshed.EventLotClosed, Profile: turmericshed.ProfileName(p.b.id)}
		item, partErr := w.batch.Result(i)
		l, decodeErr := tsbudget.Decode(item)
		if partErr == nil {
			partErr = decodeErr
		}
		if partErr != nil {
			event.Name, event.Reason = turmericshed.EventLotRefused, "lots of an earlier process stay charged: "+partErr.Error()
		} else {
			event.Tokens, event.Reason = l.Room(), "inherited from an earlier process; the room is now"
		}
		x.h.cfg.Recorder.Record(event)
	}
	return err
}

// orphanLoop ends the holdings of entry VMs that are gone for good.
func (h *Holder) orphanLoop(ctx context.Context) error {
	missing := make(map[string]time.Time)
	for tspause.For(ctx, orphanScan+rand.N(orphanScan)) {
		if err := h.endOrphans(ctx, missing); err != nil && ctx.Err() == nil {
			h.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventLotRefused, Reason: "holdings of entry VMs that are gone: " + err.Error()})
		}
	}
	return ctx.Err()
}

// endOrphans looks once; missing is since when each holding has no entry VM.
func (h *Holder) endOrphans(ctx context.Context, missing map[string]time.Time) error {
	items, err := h.cfg.Store.List(ctx, tsbudget.HoldingPrefix, "", maxHoldings)
	if err != nil {
		return err
	}
	now := time.Now()
	known := map[string]bool{tsbudget.HoldingKey(h.cfg.Self.Name): true}
	for _, vm := range h.cfg.Members.Reachable() {
		known[tsbudget.HoldingKey(vm.Name)] = true
	}
	for _, item := range items {
		since, ok := missing[item.Key]
		switch {
		case known[item.Key]:
			delete(missing, item.Key)
		case !ok:
			missing[item.Key] = now
		case now.Sub(since) >= orphanAfter:
			if err := h.endOrphan(ctx, item); err != nil {
				return err
			}
			delete(missing, item.Key)
		}
	}
	return nil
}

// endOrphan charges what a holding has, and removes it.
func (h *Holder) endOrphan(ctx context.Context, item turmericshed.Item) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	x := &exchanger{h: h, holding: item}
	if err := x.adopt(ctx, tsbudget.CeilingDocument{}); err != nil {
		return err
	}
	_, err := h.cfg.Store.CompareAndSwap(ctx, turmericshed.Write{Key: item.Key, Want: x.holding.Version, Delete: true})
	return err
}
