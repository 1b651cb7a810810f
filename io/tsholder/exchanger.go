package tsholder

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
)

const (
	// exchangeInterval is the least time between looks for something to write,
	// and exchangePerVM times the entry VMs the usual time in large fleets,
	// which share the store's writes; maxExchange bounds it.
	exchangeInterval = time.Second
	exchangePerVM    = 25 * time.Millisecond
	maxExchange      = 3 * time.Second
	// raisePause gathers requests that wait before a write that they asked
	// for.
	raisePause = 20 * time.Millisecond
	// restartTime is what a process takes to restart (up to 1.5 s) and to make
	// its first call. The leases are as long as that and an interval, a
	// document's age. In a cut, requests beyond the ceilings wait for the end.
	restartTime = 2 * time.Second
	// ceilingsDue is the part of an interval at which the ceilings are written
	// again: at each look, which may come a little early.
	ceilingsDue = 0.9
	// leaseReuse is the part of an interval for which a lease is used for
	// other documents.
	leaseReuse = 0.75
	// ceilingSpan is the demand that the ceilings allow for, in intervals:
	// twice a document's age. What comes beyond asks for a write, and in a cut
	// waits for the lease's end; a longer span costs more at a crash.
	ceilingSpan = 2
	// leaseMargin allows for clocks that don't run quite evenly.
	leaseMargin = 100 * time.Millisecond
)

// exchanger writes the ledgers that are due, the holder's own lots and its
// ceilings, all in one transaction: the price of a call is the same for one
// key and for many. It runs the rounds of all budgets.
type exchanger struct {
	h *Holder
	// ceilingKey and ceilingVersion are the ceilings' document in the store;
	// the version is 0 when it is not known.
	ceilingKey     string
	ceilingVersion turmericshed.Version
	sequence       int
	lease          turmericshed.LeaseID
	// size is how many ledgers one transaction may have. In a large fleet many
	// of them conflict: then it is halved, and grows by one with each success.
	size int
	// granted is when the store's answer with the lease came, lapse when the
	// lease has ended by then at the latest.
	granted time.Time
	lapse   time.Time

	// mu is held for a transaction, since a stop ends lots beside the loop.
	mu sync.Mutex
	// holding is the own lots' document as last read or written; its version
	// is 0 when the outcome of a write is not known.
	holding turmericshed.Item
	// lots are those of the document, under the holder's mutex.
	lots map[turmericshed.BudgetID][]tsbudget.Lot
}

func newExchanger(h *Holder) *exchanger {
	name := h.cfg.Self.Name
	x := &exchanger{h: h, ceilingKey: tsbudget.CeilingPrefix + name, holding: turmericshed.Item{Key: tsbudget.HoldingKey(name)}}
	if h.cfg.Joint != nil {
		x.size = x.most()
	}
	return x
}

// most is how many ledgers fit in a transaction: two of its keys are the
// holding and the ceilings.
func (x *exchanger) most() int { return x.h.cfg.Joint.MaxKeys() - 2 }

// Serve writes until ctx ends.
func (x *exchanger) Serve(ctx context.Context) error {
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
		case <-time.After(x.untilTurn(time.Now())):
		case <-x.h.raise:
			time.Sleep(raisePause)
		}
	}
}

// interval is the time between looks in a fleet of this size.
func (x *exchanger) interval() time.Duration {
	return min(max(time.Duration(x.fleetSize())*exchangePerVM, exchangeInterval), maxExchange)
}

// fleetSize is the number of entry VMs.
func (x *exchanger) fleetSize() int {
	x.h.mu.Lock()
	defer x.h.mu.Unlock()
	return max(x.h.fleet.size, 1)
}

// untilTurn returns the time until the next look. Each entry VM has its turn
// in an interval, by its rank and the time of day, so that those of a large
// fleet don't meet at the same ledgers; where clocks differ, some conflict.
func (x *exchanger) untilTurn(now time.Time) time.Duration {
	interval := x.interval()
	x.h.mu.Lock()
	turn := interval * time.Duration(x.h.fleet.rank) / time.Duration(max(x.h.fleet.size, 1))
	x.h.mu.Unlock()
	since := time.Duration(now.UnixNano()) % interval
	wait := (turn - since + interval) % interval
	if wait <= 0 {
		wait = interval
	}
	return wait
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
	if len(writing) > 0 {
		return x.inTransactions(writing, func(some []part) error { return x.write(ctx, some) })
	}
	if x.ceilingsDue(time.Now()) {
		return x.write(ctx, nil)
	}
	return nil
}

// inTransactions makes as few transactions of the parts as get through: a
// large one that conflicts with others' again and again is made in two.
func (x *exchanger) inTransactions(parts []part, transact func(some []part) error) error {
	for len(parts) > 0 {
		n := min(len(parts), x.size)
		err := transact(parts[:n])
		if crowded(err) && n > 1 {
			x.size = n / 2
			continue
		}
		if err != nil {
			x.fail(parts[n:], err)
			return err
		}
		parts = parts[n:]
		x.size = min(x.size+1, x.most())
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

// joinRound decides what a budget's round writes.
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
	interval := x.interval()
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
		soon := turmericshed.Tokens(v.Arriving * interval.Seconds())
		if spendable < v.Available && (b.queue.Len() > 0 || spendable < soon) {
			return true
		}
	}
	return held && now.Sub(h.written).Seconds() >= ceilingsDue*interval.Seconds()
}

// write makes one transaction of some ledgers, the holding and the ceilings.
func (x *exchanger) write(ctx context.Context, parts []part) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if err := x.renew(ctx); err != nil {
		x.fail(parts, err)
		return err
	}
	w := x.newWriting(parts)
	var sent []tsbudget.LotCeiling
	w.changes = append(w.changes, tsupdate.Change{
		Key: x.ceilingKey, Cached: turmericshed.Item{Version: x.ceilingVersion}, Lease: x.lease,
		Mutate: func(turmericshed.Item) (value []byte, err error) {
			sent, value, err = x.document(w)
			return value, err
		},
	})
	err := w.run(ctx)
	if crowded(err) && len(parts) > 1 {
		w.keepTold()
		return err
	}
	x.ceilingVersion = 0
	switch {
	case err == nil:
		// The document's own error leaves the ledgers as written.
		var item turmericshed.Item
		item, err = w.batch.Result(len(w.changes) - 1)
		x.ceilingVersion = item.Version
	case turmericshed.KindOf(err) == turmericshed.KindNotFound:
		x.lease = ""
		err = turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "ceilings")
	}
	x.h.mu.Lock()
	defer x.h.mu.Unlock()
	_ = w.takeLocked() // Each budget keeps its own error.
	if err == nil {
		x.h.written = time.Now()
		x.h.core.Ceilings.Sent(sent)
	}
	return err
}

// update makes one change of a ledger, and of the holding with it.
func (x *exchanger) update(ctx context.Context, b *budget, m tsupdate.Mutation, reports []tsbudget.Report) (turmericshed.Item, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	w := x.newWriting([]part{{b: b, plan: plan{mutation: m, reports: reports}}})
	_ = w.run(ctx) // Result tells the error.
	x.h.mu.Lock()
	defer x.h.mu.Unlock()
	item, _ := w.batch.Result(0)
	return item, w.takeLocked()
}

// document returns the ceilings for the lots held and those that the
// transaction draws. From now on they are kept to.
func (x *exchanger) document(w *writing) ([]tsbudget.LotCeiling, []byte, error) {
	h := x.h
	interval := x.interval()
	x.sequence++
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	drawn := make(map[turmericshed.BudgetID]tsbudget.Lot)
	for i, p := range w.parts {
		if p.draw == nil || w.batch.Pending(i) == nil {
			continue
		}
		for _, lot := range w.lots[i] {
			if lot.ID == p.draw.Lot {
				drawn[p.b.id] = lot
			}
		}
	}
	waiting := make(map[turmericshed.BudgetID]turmericshed.Tokens)
	for id, b := range h.budgets {
		var v tsbudget.View
		b.queue.Fill(&v)
		waiting[id] = v.Waiting
	}
	list := h.core.WantCeilings(now, ceilingSpan*interval, waiting, drawn)
	value, err := json.Marshal(tsbudget.CeilingDocument{Holder: h.cfg.Self.Incarnation, Sequence: x.sequence, Ceilings: list})
	if err != nil {
		return nil, nil, turmericshed.WrapError(turmericshed.KindInternal, err, "ceilings")
	}
	h.core.Ceilings.Sending(now, list, x.lapse.Add(leaseMargin))
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
	interval := x.interval()
	if x.lease != "" && time.Since(x.granted).Seconds() < leaseReuse*interval.Seconds() {
		return nil
	}
	length := interval + restartTime
	ctx, cancel := context.WithTimeout(ctx, transactTimeout)
	defer cancel()
	id, err := x.h.cfg.Store.Grant(ctx, length)
	if err != nil {
		return err
	}
	x.lease, x.granted = id, time.Now()
	x.lapse = x.granted.Add(length)
	return nil
}

// withdraw removes the documents at a graceful stop, when no lot is left.
func (x *exchanger) withdraw(ctx context.Context) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, key := range []string{x.ceilingKey, x.holding.Key} {
		item, err := x.h.cfg.Store.Get(ctx, key)
		if err != nil {
			return err
		}
		if key == x.holding.Key {
			if holding, err := tsbudget.DecodeHolding(item); err != nil || len(holding.Lots) > 0 {
				return err
			}
		}
		if item.Version == 0 {
			continue
		}
		if _, err := x.h.cfg.Store.CompareAndSwap(ctx, turmericshed.Write{Key: key, Want: item.Version, Delete: true}); err != nil {
			return err
		}
	}
	return nil
}
