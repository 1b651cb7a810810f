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
	maxEditDelay = 9 * time.Second
	// topUp is the least amount that a top-up adds.
	topUpTokens = 20000
	// goAway is the chance that an operator goes away before a step.
	abandonProbability = 0.04
	// goAwayUnsure is the chance after a write without an answer.
	abandonUnknownProbability = 0.5
	// staffAfter is the age at which a person settles a call in doubt.
	manualSettleAge = time.Minute
	// operators is the number of operators, who race each other.
	operatorCount = 3
)

// desk is where operators edit profiles.
type operators struct {
	w *world
}

// found makes the profiles before the run starts.
func (o *operators) createProfiles() {
	for i, name := range profileNames {
		p := o.newProfile(name)
		p.EditedBy, p.Prepaid = "founder", 10*topUpTokens
		if i == 2 {
			p.Prepaid = 6000
		}
		s := tsbudget.NewEdit(tsbudget.Edit{Profile: p})
		for !s.Finished() {
			s.Handle(tsupdate.Do(o.w.options.ctx, o.w.store, s.Step()))
		}
		_, _, err := s.Result()
		turmericshed.Assert(err == nil, "profiles_founded", "%v", err)
	}
}

// edit starts an edit of a random profile, or two that race.
func (o *operators) startEdits() {
	if o.w.healed {
		return
	}
	name := profileNames[o.w.rnd.IntN(len(profileNames))]
	n := 1
	if o.w.chance(0.4) {
		n = 2
	}
	for range n {
		operator := o.w.rnd.IntN(operatorCount)
		at := domainA + location(operator)
		o.w.schedule(o.w.between(0, 20*time.Millisecond), func() { o.readAndEdit(operator, at, name) })
	}
}

// read reads the profile as an operator in a failure domain sees it.
func (o *operators) readAndEdit(operator int, at location, name turmericshed.ProfileName) {
	who := fmt.Sprintf("operator-%d", operator)
	o.w.storeCall(who, at, tsupdate.Step{Read: true, Key: tsbudget.ProfileKey(name)}, func(r tsupdate.Reply) {
		if r.Err != nil {
			return
		}
		p, err := tsbudget.DecodeProfile(r.Item)
		switch {
		case err != nil:
			p = o.newProfile(name)
		case p.Closed && o.w.chance(0.5):
			o.deleteProfile(who, at, r.Item)
			return
		default:
			o.changeProfile(&p)
		}
		p.EditedBy, p.EditedAt, p.Version = o.w.newID(who+"/"), o.w.now.UTC(), 0
		o.applyEdit(who, at, tsbudget.Edit{Profile: p, Base: r.Item.Version})
	})
}

// fresh returns a new profile with a budget of its own.
func (o *operators) newProfile(name turmericshed.ProfileName) turmericshed.Profile {
	p := turmericshed.Profile{
		Name: name, Budget: turmericshed.BudgetID(o.w.newID("budget-")), Prepaid: topUpTokens, Work: turmericshed.WorkAssistant,
		Edge: turmericshed.PreferNoRefusal, CutBridge: turmericshed.Duration(time.Minute),
	}
	if name == "counter" {
		p.Edge = turmericshed.PreferNoSurprise
	}
	return p
}

// remove deletes a closed profile.
func (o *operators) deleteProfile(who string, at location, item turmericshed.Item) {
	step := tsupdate.Step{Key: item.Key, Write: turmericshed.Write{Key: item.Key, Want: item.Version, Delete: true}}
	o.w.storeCall(who, at, step, func(r tsupdate.Reply) {
		if r.Err == nil {
			o.w.logf("%s deletes %s", who, item.Key)
		}
		o.w.schedule(time.Second, func() {
			o.readAndEdit(o.w.rnd.IntN(operatorCount), at, turmericshed.ProfileName(item.Key[len(turmericshed.ProfilePrefix):]))
		})
	})
}

// change decides what the operator wants.
func (o *operators) changeProfile(p *turmericshed.Profile) {
	used := o.w.books.consumedByBudget[p.Budget]
	x := o.w.rnd.Float64()
	switch {
	case p.Closed:
		p.Closed, p.Budget = false, turmericshed.BudgetID(o.w.newID("budget-"))
		p.Prepaid = topUpTokens
	case x < 0.02:
		p.Closed = true
		o.w.schedule(5*time.Second, func() { o.readAndEdit(o.w.rnd.IntN(operatorCount), domainA, p.Name) })
	case x < 0.35:
		p.Prepaid = used + turmericshed.Tokens(o.w.rnd.IntN(int(max(p.Prepaid-used, 1))))
	case p.Name == "edge":
		p.Prepaid += turmericshed.Tokens(o.w.rnd.IntN(3000))
	default:
		p.Prepaid += topUpTokens + turmericshed.Tokens(o.w.rnd.IntN(10*topUpTokens))
	}
}

// apply drives an edit step by step; the operator may go away at any of them.
func (o *operators) applyEdit(who string, at location, e tsbudget.Edit) {
	s := tsbudget.NewEdit(e)
	var next func()
	next = func() {
		if !s.Finished() && !o.w.chance(abandonProbability) {
			o.w.storeCall(who, at, s.Step(), func(r tsupdate.Reply) {
				s.Handle(r)
				if turmericshed.KindOf(r.Err) == turmericshed.KindStoreUnknown && o.w.chance(abandonUnknownProbability) {
					o.w.logf("%s gives up an edit of %s without an answer", who, e.Profile.Name)
					return
				}
				o.w.schedule(o.w.between(0, 30*time.Millisecond), next)
			})
			return
		}
		if !s.Finished() {
			o.w.logf("%s goes away in the middle of an edit of %s", who, e.Profile.Name)
			return
		}
		o.recordEdit(who, e, s)
	}
	next()
}

func (o *operators) recordEdit(who string, e tsbudget.Edit, s *tsbudget.Sequence) {
	_, item, err := s.Result()
	o.w.books.edits++
	if err != nil {
		o.w.books.rejectedEdits++
		return
	}
	o.w.logf("%s: %s has version %d: prepaid %d closed %v", who, e.Profile.Name, item.Version, e.Profile.Prepaid, e.Profile.Closed)
	o.w.checkBudget(e.Profile.Budget)
	version, at := item.Version, o.w.now
	o.w.schedule(maxEditDelay, func() { o.checkInForce(e.Profile.Name, version, at) })
}

// inForce checks that an accepted edit, or a later one, has arrived at every
// VM, where nothing was disturbed meanwhile.
func (o *operators) checkInForce(name turmericshed.ProfileName, version turmericshed.Version, since time.Time) {
	if o.w.now.Before(o.w.disturbedUntil) || !o.w.disturbedUntil.Before(since) {
		return
	}
	for _, v := range o.w.vms {
		turmericshed.Assert(v.dead || v.draining || v.profiles.Floor(name) >= version, "edit_in_force",
			"%s version %d is not in force at %s after %s: %d", name, version, v.self.Incarnation, maxEditDelay, v.profiles.Floor(name))
	}
}

// staff settles a call in doubt, as a person who asks the service's people.
// That the service does not know the call yet proves nothing, so the person
// may be wrong.
func (o *operators) settleInDoubtCall() {
	slot := o.w.rnd.IntN(tsclaim.Slots)
	h, err := tsclaim.DecodeHead(o.w.store.Peek(tsclaim.HeadKey(slot)).Value, slot)
	turmericshed.Assert(err == nil, "head_decodes", "slot %d: %v", slot, err)
	for _, id := range slices.Sorted(maps.Keys(h.Entries)) {
		e := h.Entries[id]
		if e.State != tsclaim.StateInDoubt || o.w.now.Sub(e.At) < manualSettleAge || o.w.books.callRuns[string(e.Account)+"/"+e.Key] > 0 {
			continue
		}
		var res tsclaim.Result
		op := tsclaim.Op{Kind: tsclaim.OpRefuse, ID: id, Claim: e.Claim, Entry: tsclaim.Entry{By: "staff", Reason: "not known at the service"}}
		u := tsupdate.New(tsclaim.HeadKey(slot), claimMutation(op, slot, &res, func() time.Time { return o.w.now }))
		o.runSteps("staff", domainA, u, func() {
			if res.Err == nil && res.Changed {
				o.w.logf("staff settles %s/%s as not run", e.Account, e.Key)
			}
		})
		return
	}
}

// drive performs an update step by step.
func (o *operators) runSteps(who string, at location, u stepper, done func()) {
	if u.Finished() {
		done()
		return
	}
	o.w.storeCall(who, at, u.Step(), func(r tsupdate.Reply) {
		u.Handle(r)
		o.runSteps(who, at, u, done)
	})
}
