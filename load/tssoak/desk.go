package tssoak

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsclaim"
	"turmericshed/core/tsupdate"
)

const (
	// inForceWithin is how soon an accepted edit is in force everywhere.
	inForceWithin = 9 * time.Second
	// topUp is the least amount that a top-up adds.
	topUp = 20000
	// goAway is the chance that an operator goes away before a step.
	goAway = 0.04
	// goAwayUnsure is the chance after a write without an answer.
	goAwayUnsure = 0.5
	// staffAfter is the age at which a person settles a call in doubt.
	staffAfter = time.Minute
	// operators is the number of operators, who race each other.
	operators = 3
)

// desk is where operators edit profiles.
type desk struct {
	w *world
}

// found makes the profiles before the run starts.
func (d *desk) found() {
	for i, name := range profileNames {
		p := d.fresh(name)
		p.EditedBy, p.Prepaid = "founder", 10*topUp
		if i == 2 {
			p.Prepaid = 6000
		}
		s := tsbudget.NewEdit(tsbudget.Edit{Profile: p})
		for !s.Finished() {
			s.Handle(tsupdate.Do(d.w.o.ctx, d.w.store, s.Step()))
		}
		_, _, err := s.Result()
		turmericshed.Assert(err == nil, "profiles_founded", "%v", err)
	}
}

// edit starts an edit of a random profile, or two that race.
func (d *desk) edit() {
	if d.w.healed {
		return
	}
	name := profileNames[d.w.rnd.IntN(len(profileNames))]
	n := 1
	if d.w.chance(0.4) {
		n = 2
	}
	for range n {
		operator := d.w.rnd.IntN(operators)
		at := domainA + place(operator)
		d.w.at(d.w.between(0, 20*time.Millisecond), func() { d.read(operator, at, name) })
	}
}

// read reads the profile as an operator in a failure domain sees it.
func (d *desk) read(operator int, at place, name turmericshed.ProfileName) {
	who := fmt.Sprintf("operator-%d", operator)
	d.w.storeCall(who, at, tsupdate.Step{Read: true, Key: tsbudget.ProfileKey(name)}, func(r tsupdate.Reply) {
		if r.Err != nil {
			return
		}
		p, err := tsbudget.DecodeProfile(r.Item)
		switch {
		case err != nil:
			p = d.fresh(name)
		case p.Closed && d.w.chance(0.5):
			d.remove(who, at, r.Item)
			return
		default:
			d.change(&p)
		}
		p.EditedBy, p.EditedAt, p.Version = d.w.id(who+"/"), d.w.now.UTC(), 0
		d.apply(who, at, tsbudget.Edit{Profile: p, Base: r.Item.Version})
	})
}

// fresh returns a new profile with a budget of its own.
func (d *desk) fresh(name turmericshed.ProfileName) turmericshed.Profile {
	p := turmericshed.Profile{
		Name: name, Budget: turmericshed.BudgetID(d.w.id("budget-")), Prepaid: topUp, Work: turmericshed.WorkAssistant,
		Edge: turmericshed.PreferNoRefusal, CutBridge: turmericshed.Duration(time.Minute),
	}
	if name == "counter" {
		p.Edge = turmericshed.PreferNoSurprise
	}
	return p
}

// remove deletes a closed profile.
func (d *desk) remove(who string, at place, item turmericshed.Item) {
	step := tsupdate.Step{Key: item.Key, Write: turmericshed.Write{Key: item.Key, Want: item.Version, Delete: true}}
	d.w.storeCall(who, at, step, func(r tsupdate.Reply) {
		if r.Err == nil {
			d.w.logf("%s deletes %s", who, item.Key)
		}
		d.w.at(time.Second, func() {
			d.read(d.w.rnd.IntN(operators), at, turmericshed.ProfileName(item.Key[len(turmericshed.ProfilePrefix):]))
		})
	})
}

// change decides what the operator wants.
func (d *desk) change(p *turmericshed.Profile) {
	used := d.w.books.consumed[p.Budget]
	x := d.w.rnd.Float64()
	switch {
	case p.Closed:
		p.Closed, p.Budget = false, turmericshed.BudgetID(d.w.id("budget-"))
		p.Prepaid = topUp
	case x < 0.02:
		p.Closed = true
		d.w.at(5*time.Second, func() { d.read(d.w.rnd.IntN(operators), domainA, p.Name) })
	case x < 0.35:
		p.Prepaid = used + turmericshed.Tokens(d.w.rnd.IntN(int(max(p.Prepaid-used, 1))))
	case p.Name == "edge":
		p.Prepaid += turmericshed.Tokens(d.w.rnd.IntN(3000))
	default:
		p.Prepaid += topUp + turmericshed.Tokens(d.w.rnd.IntN(10*topUp))
	}
}

// apply drives an edit step by step; the operator may go away at any of them.
func (d *desk) apply(who string, at place, e tsbudget.Edit) {
	s := tsbudget.NewEdit(e)
	var next func()
	next = func() {
		if !s.Finished() && !d.w.chance(goAway) {
			d.w.storeCall(who, at, s.Step(), func(r tsupdate.Reply) {
				s.Handle(r)
				if turmericshed.KindOf(r.Err) == turmericshed.KindStoreUnknown && d.w.chance(goAwayUnsure) {
					d.w.logf("%s gives up an edit of %s without an answer", who, e.Profile.Name)
					return
				}
				d.w.at(d.w.between(0, 30*time.Millisecond), next)
			})
			return
		}
		if !s.Finished() {
			d.w.logf("%s goes away in the middle of an edit of %s", who, e.Profile.Name)
			return
		}
		d.ended(who, e, s)
	}
	next()
}

func (d *desk) ended(who string, e tsbudget.Edit, s *tsbudget.Sequence) {
	_, item, err := s.Result()
	d.w.books.Edits++
	if err != nil {
		d.w.books.Conflict++
		return
	}
	d.w.logf("%s: %s has version %d: prepaid %d closed %v", who, e.Profile.Name, item.Version, e.Profile.Prepaid, e.Profile.Closed)
	d.w.checkBudget(e.Profile.Budget)
	version, at := item.Version, d.w.now
	d.w.at(inForceWithin, func() { d.inForce(e.Profile.Name, version, at) })
}

// inForce checks that an accepted edit, or a later one, has arrived at every
// VM, where nothing was disturbed meanwhile.
func (d *desk) inForce(name turmericshed.ProfileName, version turmericshed.Version, since time.Time) {
	if d.w.now.Before(d.w.lastFault) || !d.w.lastFault.Before(since) {
		return
	}
	for _, v := range d.w.vms {
		turmericshed.Assert(v.dead || v.draining || v.profiles.Floor(name) >= version, "edit_in_force",
			"%s version %d is not in force at %s after %s: %d", name, version, v.self.Incarnation, inForceWithin, v.profiles.Floor(name))
	}
}

// staff settles a call in doubt, as a person who asks the service's people.
// That the service does not know the call yet proves nothing, so the person
// may be wrong.
func (d *desk) staff() {
	slot := d.w.rnd.IntN(tsclaim.Slots)
	h, err := tsclaim.DecodeHead(d.w.store.Peek(tsclaim.HeadKey(slot)).Value, slot)
	turmericshed.Assert(err == nil, "head_decodes", "slot %d: %v", slot, err)
	for _, id := range slices.Sorted(maps.Keys(h.Entries)) {
		e := h.Entries[id]
		if e.State != tsclaim.StateInDoubt || d.w.now.Sub(e.At) < staffAfter || d.w.books.runs[string(e.Account)+"/"+e.Key] > 0 {
			continue
		}
		var res tsclaim.Result
		op := tsclaim.Op{Kind: tsclaim.OpRefuse, ID: id, Claim: e.Claim, Entry: tsclaim.Entry{By: "staff", Reason: "not known at the service"}}
		u := tsupdate.New(tsclaim.HeadKey(slot), applyOp(op, slot, &res, func() time.Time { return d.w.now }))
		d.drive("staff", domainA, u, func() {
			if res.Err == nil && res.Changed {
				d.w.logf("staff settles %s/%s as not run", e.Account, e.Key)
			}
		})
		return
	}
}

// drive performs an update step by step.
func (d *desk) drive(who string, at place, u driver, done func()) {
	if u.Finished() {
		done()
		return
	}
	d.w.storeCall(who, at, u.Step(), func(r tsupdate.Reply) {
		u.Handle(r)
		d.drive(who, at, u, done)
	})
}
