package tssoak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsclaim"
	"turmericshed/core/tsdedupe"
	"turmericshed/core/tslimit"
	"turmericshed/core/tsmember"
	"turmericshed/core/tspoison"
	"turmericshed/core/tsprofile"
	"turmericshed/core/tsroute"
	"turmericshed/core/tsupdate"
	"turmericshed/standin/tsplatform"
)

const (
	// tickInterval is the mean time between two ticks of a VM, in which it reads
	// its profile watch and starts a round of each budget.
	tickInterval = 500 * time.Millisecond
	// gossipInterval is the mean time between two gossip messages of a VM.
	gossipInterval = 300 * time.Millisecond
	// memberInterval is the mean time between two ticks of the membership
	// protocol.
	memberInterval = 200 * time.Millisecond
)

// vm is one incarnation of an entry VM, with the decision code under test.
type vm struct {
	w        *world
	location location
	index    int
	self     turmericshed.EntryVM

	dead     bool
	paused   bool
	draining bool
	// backlog holds the events that arrived during a pause.
	backlog []func()

	holder      *tsbudget.Holder
	budgets     map[turmericshed.BudgetID]*budgetState
	budgetOrder []*budgetState
	profiles    *tsprofile.Cache
	members     *tsmember.Node
	router      *tsroute.Router
	servers     []turmericshed.BackendServer
	serverList  tsmember.ServerList
	// leavingEngines holds the engines that refused a request of this VM because
	// they are leaving.
	leavingEngines map[turmericshed.ServerID]bool
	limits         tslimit.Book
	limitDraws     map[turmericshed.ServerID]*engineDraws
	limitShares    map[turmericshed.ServerID]*tslimit.Share
	// lastDisturbed is when the last pause of the VM, or the last cut of a link of
	// its failure domain, ended.
	lastDisturbed time.Time
	watch         *tsplatform.Watcher
	poison        *tspoison.Tracker
	calls         map[tsclaim.ID]*claimRecord
	dedupe        *tsdedupe.Table[*generation]
	// openRequests counts the generations and the claims in progress.
	openRequests int
}

// newVM starts a new incarnation of the entry VM with the index.
func (w *world) newVM(index int) *vm {
	loc := domainA + location(index)%(locationCount-domainA)
	incarnation := turmericshed.Incarnation(w.newID("vm-"))
	v := &vm{
		w: w, location: loc, index: index,
		self: turmericshed.EntryVM{
			Name: fmt.Sprintf("entry-%d", index), Incarnation: incarnation, FailureDomain: turmericshed.FailureDomain(loc.String()),
			PeerAddr: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(1+index)),
		},
		holder:         tsbudget.NewHolder(incarnation),
		budgets:        map[turmericshed.BudgetID]*budgetState{},
		profiles:       tsprofile.New(tsprofile.Config{}),
		limitDraws:     map[turmericshed.ServerID]*engineDraws{},
		limitShares:    map[turmericshed.ServerID]*tslimit.Share{},
		leavingEngines: map[turmericshed.ServerID]bool{},
		poison:         tspoison.NewTracker(),
		calls:          map[tsclaim.ID]*claimRecord{},
		dedupe:         tsdedupe.NewTable[*generation](),
	}
	v.members = tsmember.New(tsmember.Config{Self: v.self, Epoch: uint64(w.now.UnixMilli()), Rand: w.rnd}, w.now)
	v.router = tsroute.New(tsroute.Config{FailureDomain: v.self.FailureDomain, Rand: w.rnd})
	w.logf("%s starts in %s", incarnation, loc)
	w.directory.AddEntry(v.self)
	v.loop(tickInterval, v.tick)
	v.loop(gossipInterval, v.gossip)
	v.loop(memberInterval, v.tickMembers)
	return v
}

// after schedules f after d at this incarnation, subject to runOrQueue.
func (v *vm) after(d time.Duration, f func()) { v.w.schedule(d, func() { v.runOrQueue(f) }) }

// runOrQueue runs f now. It queues f while the VM is paused and drops it when the
// incarnation is dead.
func (v *vm) runOrQueue(f func()) {
	switch {
	case v.dead:
	case v.paused:
		v.backlog = append(v.backlog, f)
	default:
		f()
	}
}

// loop runs f repeatedly, at jittered intervals around d, until the incarnation
// is dead.
func (v *vm) loop(d time.Duration, f func()) {
	v.after(v.w.jitter(d), func() {
		f()
		v.loop(d, f)
	})
}

// resume ends a pause and runs the queued events in order.
func (v *vm) resume() {
	v.paused = false
	v.lastDisturbed = v.w.now
	pending := v.backlog
	v.backlog = nil
	for _, f := range pending {
		v.runOrQueue(f)
	}
}

// send runs f at another VM, after the latency of the network. The message is
// lost when the link is cut.
func (v *vm) send(to *vm, f func()) { v.w.send(v.location, to.location, func() { to.runOrQueue(f) }) }

// callStore performs one store call and passes the result to reply.
func (v *vm) callStore(step tsupdate.Step, reply func(tsupdate.StepResult)) {
	v.w.storeCall(string(v.self.Incarnation), v.location, step, func(r tsupdate.StepResult) { v.runOrQueue(func() { reply(r) }) })
}

// stepper is an update, or a sequence of updates, that is performed one store
// call at a time.
type stepper interface {
	Finished() bool
	Step() tsupdate.Step
	Handle(r tsupdate.StepResult)
}

// runSteps performs the store calls of s one after another and then calls done.
func (v *vm) runSteps(s stepper, done func()) {
	if s.Finished() {
		done()
		return
	}
	v.callStore(s.Step(), func(r tsupdate.StepResult) {
		s.Handle(r)
		v.runSteps(s, done)
	})
}

// updateKey applies a mutation to one key of the store.
func (v *vm) updateKey(key string, m tsupdate.Mutation, done func(item turmericshed.Item, err error)) {
	u := tsupdate.New(key, m)
	v.runSteps(u, func() { done(u.Result()) })
}

// tick reads profile changes, starts a round of each budget and may resolve the
// claims of one slot.
func (v *vm) tick() {
	v.readWatch()
	for _, b := range v.budgetOrder {
		v.startRound(b)
	}
	v.resolveSlot()
}

// readWatch applies the profile changes that the watch reports. It opens a new
// watch when there is none, and drops the watch while the platform is unreachable.
func (v *vm) readWatch() {
	if !v.w.network.connected(platform, v.location) || !v.w.network.connected(v.location, platform) {
		v.watch = nil
		return
	}
	if v.watch == nil {
		v.listProfiles()
		return
	}
	for {
		ev, ok, err := v.watch.TryNext()
		switch {
		case err != nil:
			v.watch = nil
			return
		case !ok:
			return
		case ev.Reset:
			v.listProfiles()
			return
		case ev.Deleted:
			v.applyProfile(turmericshed.ProfileName(ev.Key[len(turmericshed.ProfilePrefix):]), ev.Version, nil)
		default:
			v.applyProfile(turmericshed.ProfileName(ev.Key[len(turmericshed.ProfilePrefix):]), ev.Version, ev.Value)
		}
	}
}

// listProfiles reads all profiles, detects deleted ones and starts a watch after
// the newest version that it read.
func (v *vm) listProfiles() {
	store := v.w.store.As(string(v.self.Incarnation))
	items, err := store.List(context.Background(), turmericshed.ProfilePrefix, "", 0)
	if err != nil {
		return
	}
	var newest turmericshed.Version
	listed := map[turmericshed.ProfileName]bool{}
	for _, item := range items {
		name := turmericshed.ProfileName(item.Key[len(turmericshed.ProfilePrefix):])
		listed[name] = true
		v.applyProfile(name, item.Version, item.Value)
		newest = max(newest, item.Version)
	}
	for _, name := range v.profiles.CachedNames() {
		floor := v.profiles.Floor(name)
		if item, err := store.Get(context.Background(), turmericshed.ProfilePrefix+string(name)); err == nil && !listed[name] && item.Version == 0 {
			v.applyProfile(name, floor, nil)
		}
	}
	if v.watch, err = store.OpenWatcher(context.Background(), turmericshed.ProfilePrefix, newest); err != nil {
		v.watch = nil
	}
}

// applyProfile puts a version of a profile into effect; a nil value deletes the
// profile. The cache ignores a version that is lower than the current one.
func (v *vm) applyProfile(name turmericshed.ProfileName, version turmericshed.Version, value []byte) {
	doc := tsprofile.Document{Name: name, Version: version, Deleted: value == nil, Value: value, ReadAt: v.w.now}
	old, exists := v.profile(name)
	if value == nil {
		doc.Profile = old
	} else {
		turmericshed.Assert(json.Unmarshal(value, &doc.Profile) == nil, "profile_decodes", "%s version %d", name, version)
	}
	doc.Profile.Version, doc.Profile.Closed = version, doc.Profile.Closed || doc.Deleted
	if v.profiles.Apply(doc) != tsprofile.Applied {
		return
	}
	if exists && old.Budget != doc.Profile.Budget {
		v.budgetStateFor(old).profile.Closed = true
	}
	if doc.Profile.Budget != "" {
		v.budgetStateFor(doc.Profile).profile = doc.Profile
	}
}

// profile returns the profile that is in effect at this VM.
func (v *vm) profile(name turmericshed.ProfileName) (turmericshed.Profile, bool) {
	d, ok := v.profiles.Lookup(name)
	return d.Profile, ok
}

// gossip sends the evidence of poisonous prompts to a random reachable VM.
func (v *vm) gossip() {
	peers := v.members.Reachable()
	if len(peers) == 0 {
		return
	}
	to, ok := v.w.findVM(peers[v.w.rnd.IntN(len(peers))].Incarnation)
	if !ok {
		return
	}
	evidence := v.poison.Export(v.w.now)
	v.send(to, func() { to.poison.Merge(to.w.now, evidence) })
}

// isGone reports whether another incarnation is gone or has left, in the view of
// the membership, or is not in that view at all.
func (v *vm) isGone(in turmericshed.Incarnation) bool {
	switch v.members.State(in) {
	case turmericshed.MemberGone, turmericshed.MemberLeft, turmericshed.MemberUnknown:
		return in != v.self.Incarnation
	default:
		return false
	}
}

// reachableInDomain returns this VM and the entry VMs of its failure domain that
// the membership considers reachable.
func (v *vm) reachableInDomain() []turmericshed.EntryVM {
	vms := []turmericshed.EntryVM{v.self}
	for _, m := range v.members.Reachable() {
		if m.FailureDomain == v.self.FailureDomain {
			vms = append(vms, m)
		}
	}
	return vms
}

// findVM returns the VM with the incarnation. It reports false when the VM was
// replaced.
func (w *world) findVM(in turmericshed.Incarnation) (*vm, bool) {
	for _, v := range w.vms {
		if v.self.Incarnation == in {
			return v, true
		}
	}
	return nil, false
}
