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
	// tickInterval is how often a VM looks at its watch and budgets.
	tickInterval = 500 * time.Millisecond
	// gossipInterval is how often a VM tells another one its evidence.
	gossipInterval = 300 * time.Millisecond
	// memberInterval is how often a VM looks whom to probe.
	memberInterval = 200 * time.Millisecond
)

// vm is one incarnation of an entry VM.
type vm struct {
	w        *world
	location location
	index    int
	self     turmericshed.EntryVM

	dead     bool
	paused   bool
	draining bool
	backlog  []func()

	holder      *tsbudget.Holder
	budgets     map[turmericshed.BudgetID]*budgetState
	budgetOrder []*budgetState
	profiles    *tsprofile.Cache
	members     *tsmember.Node
	router      *tsroute.Router
	servers     []turmericshed.BackendServer
	serverList  tsmember.ServerList
	// refused are the engines that told this VM that they are leaving.
	leavingEngines map[turmericshed.ServerID]bool
	limits         tslimit.Book
	limitDraws     map[turmericshed.ServerID]*engineDraws
	limitShares    map[turmericshed.ServerID]*tslimit.Share
	// disturbed is when the VM was last paused or cut off, or came back.
	lastDisturbed time.Time
	watch         *tsplatform.Watcher
	poison        *tspoison.Tracker
	calls         map[tsclaim.ID]*claimRecord
	dedupe        *tsdedupe.Table[*generation]
	// running counts the requests that have no answer yet.
	openRequests int
}

// newVM starts an incarnation in place of the VM with the index.
func (w *world) newVM(index int) *vm {
	at := domainA + location(index)%(locationCount-domainA)
	in := turmericshed.Incarnation(w.newID("vm-"))
	v := &vm{
		w: w, location: at, index: index,
		self: turmericshed.EntryVM{
			Name: fmt.Sprintf("entry-%d", index), Incarnation: in, FailureDomain: turmericshed.FailureDomain(at.String()),
			PeerAddr: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(1+index)),
		},
		holder:         tsbudget.NewHolder(in),
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
	v.router = tsroute.New(tsroute.Config{Self: v.self.FailureDomain, Rand: w.rnd})
	w.logf("%s starts in %s", in, at)
	w.directory.AddEntry(v.self)
	v.loop(tickInterval, v.tick)
	v.loop(gossipInterval, v.gossip)
	v.loop(memberInterval, v.tickMembers)
	return v
}

// after runs f at this incarnation: never once it is dead, and only after it
// wakes while it is paused.
func (v *vm) after(d time.Duration, f func()) { v.w.schedule(d, func() { v.runOrQueue(f) }) }

func (v *vm) runOrQueue(f func()) {
	switch {
	case v.dead:
	case v.paused:
		v.backlog = append(v.backlog, f)
	default:
		f()
	}
}

// loop runs f again and again while the incarnation lives.
func (v *vm) loop(d time.Duration, f func()) {
	v.after(v.w.jitter(d), func() {
		f()
		v.loop(d, f)
	})
}

// wake ends a pause; everything that came meanwhile happens now, in order.
func (v *vm) resume() {
	v.paused = false
	v.lastDisturbed = v.w.now
	pending := v.backlog
	v.backlog = nil
	for _, f := range pending {
		v.runOrQueue(f)
	}
}

// send delivers f at another VM.
func (v *vm) send(to *vm, f func()) { v.w.send(v.location, to.location, func() { to.runOrQueue(f) }) }

// call performs one store call.
func (v *vm) callStore(step tsupdate.Step, reply func(tsupdate.Reply)) {
	v.w.storeCall(string(v.self.Incarnation), v.location, step, func(r tsupdate.Reply) { v.runOrQueue(func() { reply(r) }) })
}

// driver is an update or a sequence of store calls.
type stepper interface {
	Finished() bool
	Step() tsupdate.Step
	Handle(r tsupdate.Reply)
}

// drive performs an update step by step and calls done at its end.
func (v *vm) runSteps(d stepper, done func()) {
	if d.Finished() {
		done()
		return
	}
	v.callStore(d.Step(), func(r tsupdate.Reply) {
		d.Handle(r)
		v.runSteps(d, done)
	})
}

// update changes one key.
func (v *vm) updateKey(key string, m tsupdate.Mutation, done func(item turmericshed.Item, err error)) {
	u := tsupdate.New(key, m)
	v.runSteps(u, func() { done(u.Result()) })
}

func (v *vm) tick() {
	v.readWatch()
	for _, b := range v.budgetOrder {
		v.startRound(b)
	}
	v.resolveSlot()
}

// readWatch takes in the profiles that changed.
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

// listProfiles reads every profile and watches from there.
func (v *vm) listProfiles() {
	s := v.w.store.As(string(v.self.Incarnation))
	items, err := s.List(context.Background(), turmericshed.ProfilePrefix, "", 0)
	if err != nil {
		return
	}
	var newest turmericshed.Version
	listed := map[turmericshed.ProfileName]bool{}
	for _, it := range items {
		name := turmericshed.ProfileName(it.Key[len(turmericshed.ProfilePrefix):])
		listed[name] = true
		v.applyProfile(name, it.Version, it.Value)
		newest = max(newest, it.Version)
	}
	for _, name := range v.profiles.Held() {
		floor := v.profiles.Floor(name)
		if it, err := s.Get(context.Background(), turmericshed.ProfilePrefix+string(name)); err == nil && !listed[name] && it.Version == 0 {
			v.applyProfile(name, floor, nil)
		}
	}
	if v.watch, err = s.WatchNow(context.Background(), turmericshed.ProfilePrefix, newest); err != nil {
		v.watch = nil
	}
}

// apply puts a version of a profile in force; the cache lets no lower one
// replace it.
func (v *vm) applyProfile(name turmericshed.ProfileName, version turmericshed.Version, value []byte) {
	doc := tsprofile.Document{Name: name, Version: version, Deleted: value == nil, Value: value, ReadAt: v.w.now}
	old, known := v.profile(name)
	if value == nil {
		doc.Profile = old
	} else {
		turmericshed.Assert(json.Unmarshal(value, &doc.Profile) == nil, "profile_decodes", "%s version %d", name, version)
	}
	doc.Profile.Version, doc.Profile.Closed = version, doc.Profile.Closed || doc.Deleted
	if v.profiles.Apply(doc) != tsprofile.Applied {
		return
	}
	if known && old.Budget != doc.Profile.Budget {
		v.budgetStateFor(old).profile.Closed = true
	}
	if doc.Profile.Budget != "" {
		v.budgetStateFor(doc.Profile).profile = doc.Profile
	}
}

// profile returns the profile in force at this VM.
func (v *vm) profile(name turmericshed.ProfileName) (turmericshed.Profile, bool) {
	d, ok := v.profiles.Lookup(name)
	return d.Profile, ok
}

// gossip tells another VM this one's evidence of poison.
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

// gone reports whether an incarnation is believed not to come back, or is not
// known at all.
func (v *vm) isGone(in turmericshed.Incarnation) bool {
	switch v.members.State(in) {
	case turmericshed.MemberGone, turmericshed.MemberLeft, turmericshed.MemberUnknown:
		return in != v.self.Incarnation
	default:
		return false
	}
}

// neighbours returns the entry VMs of the failure domain that are believed to
// be reachable, this one included.
func (v *vm) reachableInDomain() []turmericshed.EntryVM {
	vms := []turmericshed.EntryVM{v.self}
	for _, m := range v.members.Reachable() {
		if m.FailureDomain == v.self.FailureDomain {
			vms = append(vms, m)
		}
	}
	return vms
}

// find returns the VM with the incarnation, unless it was replaced.
func (w *world) findVM(in turmericshed.Incarnation) (*vm, bool) {
	for _, v := range w.vms {
		if v.self.Incarnation == in {
			return v, true
		}
	}
	return nil, false
}
