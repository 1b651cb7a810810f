package tssoak

import (
	"maps"
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tsclaim"
	"turmericshed/core/tsupdate"
)

const (
	// callTimeout is how long a VM waits for a service.
	callTimeout = 2 * time.Second
	// pollInterval is how often an open claim of another VM is read again.
	pollInterval = time.Second
	// writeRetry is the wait before an outcome is written again.
	writeRetry = time.Second
	// silentAfter is the age at which an open claim of a runner that is gone
	// is put in doubt.
	silentAfter = 30 * time.Second
	// resolveChance is the part of ticks in which a VM visits a slot.
	resolveChance = 0.05
)

// phase is how far a VM has come with a claim of its own.
type phase int

const (
	phaseClaiming phase = iota
	phaseHeld
	phaseDispatched
	phaseEnded
)

// record is a claim of this VM. A claim without a record is never dispatched.
type record struct {
	id       tsclaim.ID
	claim    turmericshed.ClaimID
	op       tsclaim.Op
	try      *callerTry
	phase    phase
	tries    int
	deadline time.Time
	// answer is set once the call was answered, doubted once it may have run.
	answer  *turmericshed.Answer
	doubted bool
	waiting []*callerTry
}

// place takes a call in: it may run at most once.
func (v *vm) place(t *callerTry) {
	r := t.req
	t.work = t
	if p, ok := v.profile(r.profile); !ok || p.Closed || v.draining {
		r.ended(t, turmericshed.NewError(turmericshed.KindDraining, "not served here"))
		return
	}
	call := turmericshed.Call{
		Account: r.account, Profile: r.profile, Service: "booking", Key: r.key, Digest: r.digest, Request: turmericshed.RequestID(r.key),
	}
	claim := turmericshed.ClaimID(v.w.id("claim-"))
	op := tsclaim.ClaimOp(call, claim, v.self.Incarnation)
	if rec, ok := v.calls[op.ID]; ok {
		v.join(rec, t)
		return
	}
	rec := &record{id: op.ID, claim: claim, op: op, try: t, deadline: t.deadline}
	v.calls[op.ID] = rec
	v.running++
	v.commit(op, func(res tsclaim.Result) { v.claimed(rec, res) })
}

// join waits for a claim of this VM on the same call.
func (v *vm) join(rec *record, t *callerTry) {
	rec.waiting = append(rec.waiting, t)
	v.after(callerDeadline, func() { t.unknown() })
}

func (t *callerTry) unknown() {
	t.req.ended(t, turmericshed.NewError(turmericshed.KindCallUnknown, "may have run"))
}

// commit applies an operation to the head of its slot.
func (v *vm) commit(op tsclaim.Op, done func(res tsclaim.Result)) {
	var res tsclaim.Result
	slot := op.ID.Slot()
	v.update(tsclaim.HeadKey(slot), applyOp(op, slot, &res, func() time.Time { return v.w.now }), func(_ turmericshed.Item, err error) {
		if err != nil {
			res = tsclaim.Result{Err: err}
		}
		done(res)
	})
}

// applyOp is the mutation of a head by one operation.
func applyOp(op tsclaim.Op, slot int, res *tsclaim.Result, now func() time.Time) tsupdate.Mutation {
	return func(cur turmericshed.Item) ([]byte, error) {
		h, err := tsclaim.DecodeHead(cur.Value, slot)
		if err != nil {
			return nil, err
		}
		*res = h.Apply(op, now(), nil)
		if res.Err != nil || !res.Changed {
			return nil, nil
		}
		return h.Encode()
	}
}

// claimed goes on once the claim was written, or met another.
func (v *vm) claimed(rec *record, res tsclaim.Result) {
	e := res.Entry
	switch {
	case res.Err != nil:
		// The claim may stand: nothing is ever sent under it.
		v.abandon(rec, turmericshed.NewError(turmericshed.KindStoreUnavailable, "no claim: %v", res.Err))
	case e.Claim == rec.claim && e.State == tsclaim.StateOpen:
		rec.phase = phaseHeld
		v.dispatch(rec)
	case e.Claim == rec.claim:
		// Put in doubt before this VM learned that it stands.
		v.abandon(rec, turmericshed.NewError(turmericshed.KindStoreUnavailable, "the claim is %s", e.State))
	default:
		v.drop(rec)
		v.meet(rec.try, rec.op, e)
		for _, t := range rec.waiting {
			v.meet(t, rec.op, e)
		}
	}
}

// meet decides on an entry that another claim holds.
func (v *vm) meet(t *callerTry, op tsclaim.Op, e tsclaim.Entry) {
	switch e.State {
	case tsclaim.StateDone:
		t.req.answeredCall(t, *e.Answer)
	case tsclaim.StateNotRun:
		t.req.ended(t, turmericshed.NewError(turmericshed.KindConflict, "settled as not run by %s", e.By))
	case tsclaim.StateAbandoned:
		t.req.ended(t, turmericshed.NewError(turmericshed.KindStoreUnavailable, "released, ask again"))
	case tsclaim.StateInDoubt:
		t.unknown()
	default:
		v.awaitOther(t, op)
	}
}

// awaitOther polls the head until the runner of an open claim has settled it.
func (v *vm) awaitOther(t *callerTry, op tsclaim.Op) {
	if !v.w.now.Before(t.deadline) {
		t.unknown()
		return
	}
	v.after(pollInterval, func() {
		v.call(tsupdate.Step{Read: true, Key: tsclaim.HeadKey(op.ID.Slot())}, func(r tsupdate.Reply) {
			h, err := tsclaim.DecodeHead(r.Item.Value, op.ID.Slot())
			if e, ok := h.Entries[op.ID]; r.Err == nil && err == nil && ok {
				v.meet(t, op, e)
				return
			}
			v.awaitOther(t, op)
		})
	})
}

// dispatch sends the call to a server of the service, unless the claim was
// given up or its time is over.
func (v *vm) dispatch(rec *record) {
	if rec.phase != phaseHeld && rec.phase != phaseDispatched {
		return
	}
	if !v.w.now.Before(rec.deadline) || rec.tries >= maxTries {
		v.abandon(rec, turmericshed.NewError(turmericshed.KindDeadline, "not sent in time"))
		return
	}
	rec.tries++
	rec.phase = phaseDispatched
	s := v.w.service
	server := v.w.rnd.IntN(len(s.servers))
	at := domainA + place(server)
	if s.servers[server] || !v.w.net.ok(v.at, at) {
		v.after(v.w.between(time.Millisecond, connectTimeout), func() { v.dispatch(rec) })
		return
	}
	v.w.at(v.w.net.latency(v.w, v.at, at), func() {
		s.run(server, rec.try.req, func(a turmericshed.Answer) {
			v.w.send(at, v.at, func() { v.do(func() { v.complete(rec, a) }) })
		})
	})
	v.after(callTimeout, func() { v.doubt(rec) })
}

// finish bars a claim; it reports whether that had not happened before.
func (rec *record) finish() bool {
	first := rec.phase != phaseEnded
	rec.phase = phaseEnded
	return first
}

func (v *vm) complete(rec *record, a turmericshed.Answer) {
	if !rec.finish() {
		return
	}
	rec.answer = &a
	for _, t := range append(rec.waiting, rec.try) {
		t.req.answeredCall(t, a)
	}
	v.settle(rec, tsclaim.Op{Kind: tsclaim.OpComplete, Entry: tsclaim.Entry{Answer: &a}})
}

func (v *vm) doubt(rec *record) {
	if !rec.finish() {
		return
	}
	rec.doubted = true
	for _, t := range append(rec.waiting, rec.try) {
		t.unknown()
	}
	v.settle(rec, tsclaim.Op{Kind: tsclaim.OpDoubt, Entry: tsclaim.Entry{Reason: "no answer"}})
}

// abandon gives up a claim under which nothing was sent.
func (v *vm) abandon(rec *record, err error) {
	if !rec.finish() {
		return
	}
	for _, t := range append(rec.waiting, rec.try) {
		t.req.ended(t, err)
	}
	v.settle(rec, tsclaim.Op{Kind: tsclaim.OpAbandon, NeverSent: true, Entry: tsclaim.Entry{Reason: "not sent"}})
}

// drop forgets a claim that does not stand.
func (v *vm) drop(rec *record) {
	if v.calls[rec.id] == rec {
		delete(v.calls, rec.id)
		v.running--
	}
}

// settle writes an outcome until it stands, then forgets the claim.
func (v *vm) settle(rec *record, op tsclaim.Op) {
	op.ID, op.Claim = rec.id, rec.claim
	v.commit(op, func(res tsclaim.Result) {
		switch turmericshed.KindOf(res.Err) {
		case turmericshed.KindNone, turmericshed.KindConflict, turmericshed.KindNotFound:
			v.drop(rec)
		default:
			v.after(writeRetry, func() { v.settle(rec, op) })
		}
	})
}

// resolve settles the claims of runners that are gone, in one slot.
func (v *vm) resolve() {
	if v.draining || !v.w.chance(resolveChance) {
		return
	}
	slot := v.w.rnd.IntN(tsclaim.Slots)
	v.call(tsupdate.Step{Read: true, Key: tsclaim.HeadKey(slot)}, func(r tsupdate.Reply) {
		h, err := tsclaim.DecodeHead(r.Item.Value, slot)
		if r.Err != nil || err != nil {
			return
		}
		for _, id := range slices.Sorted(maps.Keys(h.Entries)) {
			v.resolveEntry(id, h.Entries[id])
		}
	})
}

func (v *vm) resolveEntry(id tsclaim.ID, e tsclaim.Entry) {
	gone := e.State == tsclaim.StateOpen && v.gone(e.Runner) && v.w.now.Sub(e.At) > silentAfter
	if !gone && e.State != tsclaim.StateInDoubt {
		return
	}
	op := tsclaim.Op{Kind: tsclaim.OpDoubt, ID: id, Claim: e.Claim, Entry: tsclaim.Entry{Reason: "its runner is gone"}}
	if a, ok := v.w.service.lookup(v, string(e.Account)+"/"+e.Key); ok {
		op = tsclaim.Op{Kind: tsclaim.OpResolve, ID: id, Claim: e.Claim, Entry: tsclaim.Entry{Answer: &a, By: "look-up"}}
	} else if !gone {
		return
	}
	v.commit(op, func(tsclaim.Result) {})
}
