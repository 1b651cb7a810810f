package tsholder

import (
	"context"
	"slices"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
)

// Inherit gives back what an earlier process on this machine, which is dead,
// held above its ceilings. It must be called before the first Hold and before
// the controllers run, of a holder with Joint. Errors: those of the store,
// after which the lots stay charged.
func (h *Holder) Inherit(ctx context.Context) error {
	item, err := h.cfg.Store.Get(ctx, h.exchanger.key)
	if err != nil || item.Version == 0 {
		return err
	}
	doc, err := tsbudget.DecodeCeilings(item)
	if err != nil {
		return err
	}
	var found []turmericshed.Item
	for after := ""; ; {
		items, err := h.cfg.Store.List(ctx, turmericshed.BudgetPrefix, after, refreshPage)
		if err != nil {
			return err
		}
		for _, i := range items {
			after = i.Key
			l, err := tsbudget.Decode(i)
			if err != nil {
				h.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventLotRefused, Reason: err.Error()})
				continue
			}
			if slices.ContainsFunc(l.Lots, func(lot tsbudget.Lot) bool { return lot.Holder == doc.Holder }) {
				found = append(found, i)
			}
		}
		if len(items) < refreshPage {
			break
		}
	}
	for chunk := range slices.Chunk(found, h.cfg.Joint.MaxKeys()) {
		if err := h.inherit(ctx, doc, chunk); err != nil {
			return err
		}
	}
	return nil
}

// inherit ends the dead holder's lots in some ledgers.
func (h *Holder) inherit(ctx context.Context, doc tsbudget.CeilingDocument, ledgers []turmericshed.Item) error {
	changes := make([]tsupdate.Change, 0, len(ledgers))
	for _, i := range ledgers {
		changes = append(changes, tsupdate.Change{Key: i.Key, Mutate: tsbudget.Inherit(doc.Holder, doc.Ceilings), Cached: i})
	}
	batch := tsupdate.NewBatch(changes)
	err := tsupdate.RunBatch(ctx, timed{h.cfg.Joint}, batch)
	for n, i := range ledgers {
		event := turmericshed.Event{Name: turmericshed.EventLotClosed, Reason: "inherited from " + string(doc.Holder)}
		before, decodeErr := tsbudget.Decode(i)
		event.Profile = before.Profile
		after, partErr := batch.Result(n)
		now, nowErr := tsbudget.Decode(after)
		for _, e := range []error{decodeErr, partErr, nowErr} {
			if e != nil {
				event.Name, event.Reason = turmericshed.EventLotRefused, "lots of "+string(doc.Holder)+" stay charged: "+e.Error()
			}
		}
		event.Tokens = now.Room() - before.Room()
		h.cfg.Recorder.Record(event)
	}
	return err
}
