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
	// maxEditDelay is the time within which an accepted edit must be in effect at
	// every VM.
	maxEditDelay = 9 * time.Second
	// topUpTokens is the minimum amount that a top-up adds.
	topUpTokens = 20000
	// abandonProbability is the probability that an operator abandons an edit
	// before a step.
	abandonProbability = 0.04
	// abandonUnknownProbability is the probability that an operator abandons an
	// edit after a write without an answer.
	abandonUnknownProbability = 0.5
	// manualSettleAge is the age from which a person settles a call in doubt.
	manualSettleAge = time.Minute
	// operatorCount is the number of operators. Their edits may race each other.
	operatorCount = 3
)

// operators simulates the people who edit profiles and settle calls in doubt.
type operators struct {
	w *world
}

// createProfiles creates the profiles before the run starts.
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

// startEdits starts an edit of a random profile, or two edits that race each
// other.
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
		loc := domainA + location(operator)
		o.w.schedule(o.w.between(0, 20*time.Millisecond), func() { o.readAndEdit(operator, loc, name) })
	}
}

// readAndEdit reads the profile from the failure domain of the operator and then
// edits, deletes or creates it again.
func (o *operators) readAndEdit(index int, loc location, name turmericshed.ProfileName) {
	operator := fmt.Sprintf("operator-%d", index)
	o.w.storeCall(operator, loc, tsupdate.Step{Read: true, Key: tsbudget.ProfileKey(name)}, func(r tsupdate.StepResult) {
		if r.Err != nil {
			return
		}
		p, err := tsbudget.DecodeProfile(r.Item)
		switch {
		case err != nil:
			p = o.newProfile(name)
		case p.Closed && o.w.chance(0.5):
			o.deleteProfile(operator, loc, r.Item)
			return
		default:
			o.changeProfile(&p)
		}
		p.EditedBy, p.EditedAt, p.Version = o.w.newID(operator+"/"), o.w.now.UTC(), 0
		o.applyEdit(operator, loc, tsbudget.Edit{Profile: p, Base: r.Item.Version})
	})
}

// newProfile returns a new profile with a new budget.
func (o *operators) newProfile(name turmericshed.ProfileName) turmericshed.Profile {
	p := turmericshed.Profile{
		Name: name, Budget: turmericshed.BudgetID(o.w.newID("budget-")), Prepaid: topUpTokens, Work: turmericshed.WorkAssistant,
		Edge: turmericshed.PreferNoRefusal, PartitionTolerance: turmericshed.Duration(time.Minute),
	}
	if name == "counter" {
		p.Edge = turmericshed.PreferNoSurprise
	}
	return p
}

// deleteProfile deletes a closed profile. A random operator edits it again 1 s
// later.
func (o *operators) deleteProfile(operator string, loc location, item turmericshed.Item) {
	step := tsupdate.Step{Key: item.Key, Write: turmericshed.Write{Key: item.Key, ExpectedVersion: item.Version, Delete: true}}
	o.w.storeCall(operator, loc, step, func(r tsupdate.StepResult) {
		if r.Err == nil {
			o.w.logf("%s deletes %s", operator, item.Key)
		}
		o.w.schedule(time.Second, func() {
			o.readAndEdit(o.w.rnd.IntN(operatorCount), loc, turmericshed.ProfileName(item.Key[len(turmericshed.ProfilePrefix):]))
		})
	})
}

// changeProfile applies a random edit to p: it reopens a closed profile with a new
// budget, or closes the profile, lowers its prepaid amount or raises it.
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

// applyEdit performs an edit step by step. The operator may abandon it at any
// step.
func (o *operators) applyEdit(operator string, loc location, e tsbudget.Edit) {
	s := tsbudget.NewEdit(e)
	var next func()
	next = func() {
		if !s.Finished() && !o.w.chance(abandonProbability) {
			o.w.storeCall(operator, loc, s.Step(), func(r tsupdate.StepResult) {
				s.Handle(r)
				if turmericshed.KindOf(r.Err) == turmericshed.KindStoreUnknown && o.w.chance(abandonUnknownProbability) {
					o.w.logf("%s gives up an edit of %s without an answer", operator, e.Profile.Name)
					return
				}
				o.w.schedule(o.w.between(0, 30*time.Millisecond), next)
			})
			return
		}
		if !s.Finished() {
			o.w.logf("%s goes away in the middle of an edit of %s", operator, e.Profile.Name)
			return
		}
		o.recordEdit(operator, e, s)
	}
	next()
}

// recordEdit records the result of a finished edit. For an accepted one it checks
// the budget and schedules the check that the edit is in effect.
func (o *operators) recordEdit(operator string, e tsbudget.Edit, s *tsbudget.EditSequence) {
	_, item, err := s.Result()
	o.w.books.edits++
	if err != nil {
		o.w.books.rejectedEdits++
		return
	}
	o.w.logf("%s: %s has version %d: prepaid %d closed %v", operator, e.Profile.Name, item.Version, e.Profile.Prepaid, e.Profile.Closed)
	o.w.checkBudget(e.Profile.Budget)
	version, acceptedAt := item.Version, o.w.now
	o.w.schedule(maxEditDelay, func() { o.checkInForce(e.Profile.Name, version, acceptedAt) })
}

// checkInForce asserts that an edit accepted at since, or a later one, is in
// effect at every VM that is neither dead nor draining. It does nothing if the
// effects of a fault lasted until since or later.
func (o *operators) checkInForce(name turmericshed.ProfileName, version turmericshed.Version, since time.Time) {
	if o.w.now.Before(o.w.disturbedUntil) || !o.w.disturbedUntil.Before(since) {
		return
	}
	for _, v := range o.w.vms {
		turmericshed.Assert(v.dead || v.draining || v.profiles.Floor(name) >= version, "edit_in_force",
			"%s version %d is not in force at %s after %s: %d", name, version, v.self.Incarnation, maxEditDelay, v.profiles.Floor(name))
	}
}

// settleInDoubtCall settles a call in doubt as not run, like a person who learns
// from the service's staff that the service has no record of the call. The person
// may be wrong, since the call may still reach the service.
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

// runSteps performs the store calls of u one after another and then calls done.
func (o *operators) runSteps(client string, loc location, u stepper, done func()) {
	if u.Finished() {
		done()
		return
	}
	o.w.storeCall(client, loc, u.Step(), func(r tsupdate.StepResult) {
		u.Handle(r)
		o.runSteps(client, loc, u, done)
	})
}
