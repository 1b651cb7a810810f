package tsholder

import (
	"context"
	"encoding/json"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
)

const (
	// exchangeInterval is the time between looks for something to write.
	exchangeInterval = time.Second
	// raisePause gathers requests that wait before a write that they asked
	// for.
	raisePause = 20 * time.Millisecond
	// transactTimeout bounds one transaction. All budgets wait for it; a slow
	// platform answers within 300 ms.
	transactTimeout = 800 * time.Millisecond
	// ceilingLease is the length of the leases: a document's age, the restart
	// of a process (up to 1.5 s) and its first call fit in. In a cut, requests
	// beyond the ceilings wait for its end.
	ceilingLease = 3 * time.Second
	// ceilingsDue is the age from which the ceilings are written again: at
	// each look, which may come a little early.
	ceilingsDue = exchangeInterval * 9 / 10
	// leaseReuse is the age to which a lease is used for another document.
	leaseReuse = exchangeInterval * 3 / 4
	// leaseMargin allows for clocks that don't run quite evenly.
	leaseMargin = 100 * time.Millisecond
	// ceilingSpan is the demand that the ceilings allow for: twice a
	// document's age. What comes beyond asks for a write, and in a cut waits
	// for the lease's end; a longer span costs more at a crash.
	ceilingSpan = 2 * exchangeInterval
)

// exchanger writes the ledgers that are due and the holder's ceilings, all in
// one transaction: the price of a call is the same for one key and for many.
// It runs the rounds of all budgets.
type exchanger struct {
	h *Holder
	// key and version are the ceilings' document in the store; version is 0
	// when it is not known.
	key      string
	version  turmericshed.Version
	sequence int
	lease    turmericshed.LeaseID
	// granted is when the store's answer with the lease came.
	granted time.Time
}

// Serve writes until ctx ends.
func (x *exchanger) Serve(ctx context.Context) error {
	t := time.NewTicker(exchangeInterval)
	defer t.Stop()
	failing := false
	for {
		err := x.exchange(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			event := turmericshed.Event{Name: turmericshed.EventStoreBack, Reason: "ledgers and ceilings written"}
			if failing {
				event.Name, event.Reason = turmericshed.EventStoreLost, "ledgers and ceilings not written: "+err.Error()
			}
			x.h.cfg.Recorder.Record(event)
		}
		x.h.grantAll()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-x.h.raise:
			time.Sleep(raisePause)
		}
	}
}

// askRaise asks for a write before its time.
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

// part is one budget's round in a transaction.
type part struct {
	b *budget
	plan
	// blind is true when the ledger was not known at the decision.
	blind bool
}

// exchange writes what is due, if anything is.
func (x *exchanger) exchange(ctx context.Context) error {
	parts := x.begin()
	defer x.end(ctx, parts)
	writing := make([]part, 0, len(parts))
	for _, p := range parts {
		if p.mutation != nil {
			writing = append(writing, p)
		}
	}
	if len(writing) == 0 && !x.ceilingsDue(time.Now()) {
		return nil
	}
	// One key of each transaction is the ceilings' document.
	most := x.h.cfg.Joint.MaxKeys() - 1
	for first := true; first || len(writing) > 0; first = false {
		n := min(len(writing), most)
		if err := x.write(ctx, writing[:n]); err != nil {
			x.fail(writing[n:], err)
			return err
		}
		writing = writing[n:]
	}
	return nil
}

// end closes the rounds: requests are granted or refused.
func (x *exchanger) end(ctx context.Context, parts []part) {
	h := x.h
	for _, p := range parts {
		missing := h.stillShort(p.b) && !h.borrowAnywhere(ctx, p.b)
		h.collect(ctx, p.b)
		h.mu.Lock()
		p.b.peersMissing = missing
		read := p.b.ledger.Read
		h.mu.Unlock()
		h.endRound(p.b)
		if p.blind && read {
			// Now it is known how much there is to draw.
			h.mu.Lock()
			h.kickLocked(p.b)
			h.askRaise()
			h.mu.Unlock()
		}
	}
}

// begin starts the rounds of the budgets that asked for one. When there are
// any, those that would ask soon are taken along.
func (x *exchanger) begin() []part {
	h := x.h
	h.mu.Lock()
	var ids, soon []turmericshed.BudgetID
	for id, b := range h.budgets {
		switch {
		case b.queued:
			ids = append(ids, id)
		case !b.running && b.ledger.Read && h.cfg.Placement.Decide(h.viewLocked(time.Now(), b)).TopUp:
			soon = append(soon, id)
		}
	}
	h.mu.Unlock()
	if len(ids) > 0 {
		ids = append(ids, soon...)
	}
	var parts []part
	for _, id := range ids {
		if b, ok := h.beginRound(id, false); ok {
			parts = append(parts, h.joinRound(b))
		}
	}
	return parts
}

// joinRound decides what a round writes.
func (h *Holder) joinRound(b *budget) part {
	now := time.Now()
	d, waiting := h.decide(now, b)
	h.mu.Lock()
	defer h.mu.Unlock()
	if d.Return {
		h.core.Retire(b.id, d.Keep)
	}
	d.Draw = d.Draw || d.TopUp
	raiser, raises := h.cfg.Keeper.(Raiser)
	if raises = raises && h.cfg.Keeper.Stale(b.ledger, b.profile); raises {
		// What is known of the ledger tells nothing of what it will have.
		b.item = turmericshed.Item{}
	}
	p := part{b: b, plan: h.planLocked(now, b, d, waiting), blind: !b.ledger.Read}
	if p.draw != nil {
		p.mutation = h.sized(b, p.draw.DrawRequest, p.reports)
	}
	if raises {
		raise := raiser.Raise(b.profile)
		if p.mutation != nil {
			raise = tsupdate.Then(raise, p.mutation)
		}
		p.mutation = raise
	}
	return p
}

// sized returns the mutation that draws what is wanted of the ledger as the
// store has it, which may be newer than what the round was decided by.
func (h *Holder) sized(b *budget, r tsbudget.DrawRequest, reports []tsbudget.Report) tsupdate.Mutation {
	return func(cur turmericshed.Item) ([]byte, error) {
		r := r
		if l, err := tsbudget.Decode(cur); err == nil {
			now := time.Now()
			h.mu.Lock()
			v := h.viewLocked(now, b)
			v.Ledger = tsbudget.Summarize(l, h.cfg.Self.Incarnation, now)
			h.mu.Unlock()
			if d := h.cfg.Placement.Decide(v); d.Draw || d.TopUp {
				r.Want, r.Min, r.Share = d.Want, d.Min, d.Share
			}
		}
		return tsbudget.Exchange(r, reports...)(cur)
	}
}

// ceilingsDue reports whether the ceilings must be written although no ledger
// is: they age, requests wait for higher ones, or soon will.
func (x *exchanger) ceilingsDue(now time.Time) bool {
	h := x.h
	h.mu.Lock()
	defer h.mu.Unlock()
	held := false
	for id, b := range h.budgets {
		v := h.core.View(now, id)
		if v.Available+v.Reserved == 0 {
			continue
		}
		held = true
		spendable := h.core.Spendable(now, id)
		soon := turmericshed.Tokens(v.Arriving * exchangeInterval.Seconds())
		if spendable < v.Available && (b.queue.Len() > 0 || spendable < soon) {
			return true
		}
	}
	return held && now.Sub(h.written) >= ceilingsDue
}

// write makes one transaction of some ledgers and the ceilings.
func (x *exchanger) write(ctx context.Context, parts []part) error {
	err := x.renew(ctx)
	if err != nil {
		x.fail(parts, err)
		return err
	}
	changes := make([]tsupdate.Change, 0, len(parts)+1)
	x.h.mu.Lock()
	for _, p := range parts {
		changes = append(changes, tsupdate.Change{Key: tsbudget.Key(p.b.id), Mutate: p.mutation, Cached: p.b.item})
	}
	x.h.mu.Unlock()
	var batch *tsupdate.Batch
	var sent []tsbudget.LotCeiling
	changes = append(changes, tsupdate.Change{
		Key: x.key, Cached: turmericshed.Item{Version: x.version}, Lease: x.lease,
		Mutate: func(turmericshed.Item) (value []byte, err error) {
			sent, value, err = x.document(batch, parts)
			return value, err
		},
	})
	batch = tsupdate.NewBatch(changes)
	err = tsupdate.RunBatch(ctx, timed{x.h.cfg.Joint}, batch)
	x.version = 0
	switch {
	case err == nil:
		// The document's own error leaves the ledgers as written.
		var item turmericshed.Item
		item, err = batch.Result(len(parts))
		x.version = item.Version
	case turmericshed.KindOf(err) == turmericshed.KindNotFound:
		x.lease = ""
		err = turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "ceilings")
	}
	x.h.mu.Lock()
	defer x.h.mu.Unlock()
	for i, p := range parts {
		item, partErr := batch.Result(i)
		if batch.Err() != nil {
			partErr = err
		}
		partErr = x.h.takeWriteLocked(p.b, item, partErr, p.reports)
		if p.draw != nil {
			x.h.takeDrawLocked(p.b, p.draw, item, partErr)
		}
	}
	if err == nil {
		x.h.written = time.Now()
		x.h.core.Ceilings.Sent(sent)
	}
	return err
}

// document returns the ceilings for the lots held and those that the
// transaction draws. From now on they are kept to.
func (x *exchanger) document(batch *tsupdate.Batch, parts []part) ([]tsbudget.LotCeiling, []byte, error) {
	h := x.h
	x.sequence++
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	drawn := make(map[turmericshed.BudgetID]tsbudget.Lot)
	for i, p := range parts {
		pending := batch.Pending(i)
		if p.draw == nil || pending == nil {
			continue
		}
		l, err := tsbudget.Decode(turmericshed.Item{Key: tsbudget.Key(p.b.id), Value: pending, Version: 1})
		if err != nil {
			return nil, nil, err
		}
		if lot, ok := l.Lot(p.draw.Lot); ok {
			drawn[p.b.id] = lot
		}
	}
	waiting := make(map[turmericshed.BudgetID]turmericshed.Tokens)
	for id, b := range h.budgets {
		var v tsbudget.View
		b.queue.Fill(&v)
		waiting[id] = v.Waiting
	}
	list := h.core.WantCeilings(now, ceilingSpan, waiting, drawn)
	value, err := json.Marshal(tsbudget.CeilingDocument{Holder: h.cfg.Self.Incarnation, Sequence: x.sequence, Ceilings: list})
	if err != nil {
		return nil, nil, turmericshed.WrapError(turmericshed.KindInternal, err, "ceilings")
	}
	h.core.Ceilings.Sending(now, list, x.granted.Add(ceilingLease+leaseMargin))
	return list, value, nil
}

// fail tells the rounds of ledgers that the store was not reached.
func (x *exchanger) fail(parts []part, err error) {
	x.h.mu.Lock()
	defer x.h.mu.Unlock()
	for _, p := range parts {
		p.b.storeErr = err
		if p.draw != nil && p.draw != p.b.draw {
			p.b.nextDraw = time.Now().Add(exhaustedPause)
		}
	}
}

// renew takes a new lease when the last one is not fresh.
func (x *exchanger) renew(ctx context.Context) error {
	if x.lease != "" && time.Since(x.granted) < leaseReuse {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, transactTimeout)
	defer cancel()
	id, err := x.h.cfg.Store.Grant(ctx, ceilingLease)
	if err != nil {
		return err
	}
	x.lease, x.granted = id, time.Now()
	return nil
}

// withdraw removes the document at a graceful stop, when no lot is left.
func (x *exchanger) withdraw(ctx context.Context) error {
	item, err := x.h.cfg.Store.Get(ctx, x.key)
	if err != nil || item.Version == 0 {
		return err
	}
	_, err = x.h.cfg.Store.CompareAndSwap(ctx, turmericshed.Write{Key: x.key, Want: item.Version, Delete: true})
	return err
}

// timed bounds each transaction.
type timed struct{ turmericshed.Transactor }

// Transact applies t within transactTimeout.
func (s timed) Transact(ctx context.Context, t turmericshed.Transaction) (turmericshed.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, transactTimeout)
	defer cancel()
	return s.Transactor.Transact(ctx, t)
}
