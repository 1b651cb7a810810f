package tsholder

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
)

const (
	// ceilingInterval is the time between publications of the ceilings.
	ceilingInterval = time.Second
	// ceilingLease is the length of the leases: a publication's age, the
	// restart of a process (up to 1.5 s) and its first call fit in.
	ceilingLease = 3 * time.Second
	// leaseMargin allows for clocks that don't run quite evenly.
	leaseMargin = 100 * time.Millisecond
	// ceilingSpan is the demand that the ceilings allow for: twice a
	// publication's age. What comes beyond asks for a publication, and in a
	// cut waits for the lease's end; a longer span costs more at a crash.
	ceilingSpan = 2 * ceilingInterval
	// raisePause is the least time between publications that requests ask
	// for.
	raisePause = 20 * time.Millisecond
)

// publisher publishes the ceilings of a holder.
type publisher struct {
	h *Holder
	// key and version are the document in the store, as far as known.
	key      string
	version  turmericshed.Version
	known    bool
	sequence int
	lease    turmericshed.LeaseID
	// granted is when the store's answer with the lease came.
	granted time.Time
}

// Serve publishes until ctx ends.
func (p *publisher) Serve(ctx context.Context) error {
	t := time.NewTicker(ceilingInterval)
	defer t.Stop()
	failing := false
	for {
		err := p.publish(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			event := turmericshed.Event{Name: turmericshed.EventStoreBack, Reason: "ceilings published"}
			if failing {
				event.Name, event.Reason = turmericshed.EventStoreLost, "ceilings not published: "+err.Error()
			}
			p.h.cfg.Recorder.Record(event)
		}
		p.h.grantAll()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-p.h.raise:
			time.Sleep(raisePause)
		}
	}
}

// askRaise asks for higher ceilings before their time.
func (h *Holder) askRaise() {
	select {
	case h.raise <- struct{}{}:
	default:
	}
}

// grantAll serves the requests that waited for higher ceilings.
func (h *Holder) grantAll() {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.budgets {
		h.grantLocked(now, b)
	}
}

// publish writes the ceilings once.
func (p *publisher) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ceilingInterval)
	defer cancel()
	if err := p.renew(ctx); err != nil {
		return err
	}
	if !p.known {
		item, err := p.h.cfg.Store.Get(ctx, p.key)
		if err != nil {
			return err
		}
		p.version, p.known = item.Version, true
	}
	lapse := p.granted.Add(ceilingLease + leaseMargin)
	p.sequence++
	p.h.mu.Lock()
	now := time.Now()
	waiting := make(map[turmericshed.BudgetID]turmericshed.Tokens)
	for id, b := range p.h.budgets {
		var v tsbudget.View
		b.queue.Fill(&v)
		waiting[id] = v.Waiting
	}
	doc := tsbudget.CeilingDocument{
		Holder: p.h.cfg.Self.Incarnation, Sequence: p.sequence,
		Ceilings: p.h.core.WantCeilings(now, ceilingSpan, waiting),
	}
	value, err := json.Marshal(doc)
	if err == nil {
		p.h.core.Ceilings.Sending(now, doc.Ceilings, lapse)
	}
	p.h.mu.Unlock()
	if err != nil {
		return turmericshed.WrapError(turmericshed.KindInternal, err, "ceilings")
	}
	v, err := p.h.cfg.Store.CompareAndSwap(ctx, turmericshed.Write{Key: p.key, Want: p.version, Value: value, Lease: p.lease})
	switch turmericshed.KindOf(err) {
	case turmericshed.KindNone:
		p.version = v
		p.h.mu.Lock()
		p.h.core.Ceilings.Sent(doc.Ceilings)
		p.h.mu.Unlock()
		return nil
	case turmericshed.KindNotFound:
		p.lease = ""
	default:
		p.known = false
	}
	return err
}

// renew takes a new lease when the last one has been used for an interval.
func (p *publisher) renew(ctx context.Context) error {
	if p.lease != "" && time.Since(p.granted) < ceilingInterval*3/4 {
		return nil
	}
	id, err := p.h.cfg.Store.Grant(ctx, ceilingLease)
	if err != nil {
		return err
	}
	p.lease, p.granted = id, time.Now()
	return nil
}

// withdraw removes the document at a graceful stop, when no lot is left.
func (p *publisher) withdraw(ctx context.Context) error {
	item, err := p.h.cfg.Store.Get(ctx, p.key)
	if err != nil || item.Version == 0 {
		return err
	}
	_, err = p.h.cfg.Store.CompareAndSwap(ctx, turmericshed.Write{Key: p.key, Want: item.Version, Delete: true})
	return err
}

// Inherit gives back what an earlier process on this machine, which is dead,
// held above its ceilings. It must be called before the first Hold and before
// the controllers run. Errors: those of the store, after which the lots stay
// charged.
func (h *Holder) Inherit(ctx context.Context) error {
	item, err := h.cfg.Store.Get(ctx, h.publisher.key)
	if err != nil || item.Version == 0 {
		return err
	}
	doc, err := tsbudget.DecodeCeilings(item)
	if err != nil {
		return err
	}
	var first error
	for after := ""; ; {
		items, err := h.cfg.Store.List(ctx, turmericshed.BudgetPrefix, after, refreshPage)
		if err != nil {
			return err
		}
		for _, i := range items {
			after = i.Key
			if err := h.inheritOne(ctx, doc, i); err != nil && first == nil {
				first = err
			}
		}
		if len(items) < refreshPage {
			return first
		}
	}
}

// inheritOne ends the dead holder's lots of one budget.
func (h *Holder) inheritOne(ctx context.Context, doc tsbudget.CeilingDocument, ledger turmericshed.Item) error {
	l, err := tsbudget.Decode(ledger)
	if err != nil || !slices.ContainsFunc(l.Lots, func(lot tsbudget.Lot) bool { return lot.Holder == doc.Holder }) {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	after, err := tsupdate.Run(ctx, h.cfg.Store, tsupdate.NewFrom(ledger, tsbudget.Inherit(doc.Holder, doc.Ceilings)))
	event := turmericshed.Event{Name: turmericshed.EventLotClosed, Profile: l.Profile}
	if err != nil {
		event.Name, event.Reason = turmericshed.EventLotRefused, "lots of "+string(doc.Holder)+" stay charged: "+err.Error()
	} else if now, err := tsbudget.Decode(after); err == nil {
		event.Tokens = now.Room() - l.Room()
		event.Reason = "inherited from " + string(doc.Holder)
	}
	h.cfg.Recorder.Record(event)
	return err
}
