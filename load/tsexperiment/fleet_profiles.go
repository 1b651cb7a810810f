package tsexperiment

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tsprofile"
)

const (
	simProfileCount = 400
	// simProfilesPerMember is how many profiles each member draws, with repetition, from
	// simProfileCount.
	simProfilesPerMember = 140
	// storeRoundTrip is the round-trip time of a call to the store.
	storeRoundTrip = 4 * time.Millisecond
	// watchLossShare is the share of watch events that are lost silently.
	watchLossShare     = 0.05
	linkBytes          = 30
	fetchOverheadBytes = 40
	catchUpInterval    = 5 * time.Second
	verifyPageSize     = 32
	// Relays verify documents at verifySmallBytesPerSecond in fleets smaller than
	// tsprofile.SmallFleet, and at verifyLargeBytesPerSecond in larger ones.
	verifySmallBytesPerSecond = 1000
	verifyLargeBytesPerSecond = 700
	// editsPerDay is the rate of configuration changes.
	editsPerDay = 16000
)

// simStore simulates the platform's key-value service.
type simStore struct {
	sim     *fleetSim
	version turmericshed.Version
	docs    map[turmericshed.ProfileName]tsprofile.Document
	names   []turmericshed.ProfileName
	edits   map[turmericshed.ProfileName][]simEdit
	reads   int
	isDown  bool
	// editDelays are the times from an edit to its application at a member that uses the profile.
	editDelays []time.Duration
}

// simEdit is one accepted edit.
type simEdit struct {
	version turmericshed.Version
	at      time.Time
}

// simProfiles is a member's state of profile distribution.
type simProfiles struct {
	inUse          []turmericshed.ProfileName
	isRelay        bool
	watchedVersion turmericshed.Version
	fetching       map[turmericshed.ProfileName]bool
	// pendingReplies are the replies owed to peers once a document has been fetched.
	pendingReplies map[turmericshed.ProfileName][]func(d tsprofile.Document)
	verifiedUpTo   turmericshed.ProfileName
}

func newSimStore(s *fleetSim) *simStore {
	st := &simStore{
		sim: s, docs: make(map[turmericshed.ProfileName]tsprofile.Document),
		edits: make(map[turmericshed.ProfileName][]simEdit),
	}
	for i := range simProfileCount {
		st.names = append(st.names, turmericshed.ProfileName(fmt.Sprintf("profile-%05d", i)))
		st.write(st.names[i])
	}
	return st
}

// simDocument returns a profile with four client accounts.
func simDocument(name turmericshed.ProfileName, v turmericshed.Version) tsprofile.Document {
	p := turmericshed.Profile{
		Name: name, Budget: turmericshed.BudgetID("budget-" + string(name)), Prepaid: turmericshed.Tokens(v) * 1000,
		Work: turmericshed.WorkAssistant, Model: "model-a", EditedBy: "operator", Version: v,
	}
	for i := range 4 {
		p.Accounts = append(p.Accounts, turmericshed.AccountLimit{
			Account: turmericshed.AccountID(fmt.Sprintf("account-%d", i)), RequestsPerSecond: 10, Burst: 20, Concurrency: 8,
		})
	}
	value, err := json.Marshal(p)
	turmericshed.Assert(err == nil, "profile_encodes", "%v", err)
	return tsprofile.Document{Name: name, Version: v, Value: value, Profile: p}
}

func (st *simStore) write(name turmericshed.ProfileName) {
	st.version++
	st.docs[name] = simDocument(name, st.version)
	st.edits[name] = append(st.edits[name], simEdit{st.version, st.sim.now})
}

// editRandom writes a random profile and notifies the watchers.
func (st *simStore) editRandom() {
	name := st.names[st.sim.rng.IntN(len(st.names))]
	st.write(name)
	doc := st.docs[name]
	for _, m := range st.sim.liveMembers() {
		if m.profiles.isRelay && st.sim.rng.Float64() >= watchLossShare {
			st.sim.after(storeRoundTrip/2, m.ifAlive(func() { m.handleWatchEvent(doc) }))
		}
	}
}

// scheduleEdits schedules edits at the rate of editsPerDay for the next d.
func (st *simStore) scheduleEdits(d time.Duration) {
	gap := 24 * time.Hour / editsPerDay
	for at := time.Duration(0); at < d; at += gap {
		st.sim.after(at+time.Duration(st.sim.rng.Int64N(int64(gap))), st.editRandom)
	}
}

// read simulates a read of the store. During an outage done is never called.
func (st *simStore) read(m *simMember, part fleetPart, bytes func() int, done func()) {
	if st.isDown {
		return
	}
	st.reads++
	st.sim.after(storeRoundTrip, m.ifAlive(func() {
		m.countCall(part, bytes())
		done()
	}))
}

// startProfiles fetches the profiles in use and starts the periodic tasks.
func (m *simMember) startProfiles() {
	m.profiles.fetching = make(map[turmericshed.ProfileName]bool)
	m.profiles.pendingReplies = make(map[turmericshed.ProfileName][]func(d tsprofile.Document))
	for range simProfilesPerMember {
		name := m.sim.store.names[m.sim.rng.IntN(simProfileCount)]
		m.profiles.inUse = append(m.profiles.inUse, name)
		m.fetchFromStore(name)
	}
	m.sim.after(time.Duration(m.sim.rng.Int64N(int64(time.Second))), m.updateRelayRole)
	m.sim.after(time.Duration(m.sim.rng.Int64N(int64(catchUpInterval))), m.catchUp)
	m.sim.after(time.Duration(m.sim.rng.Int64N(int64(catchUpInterval))), m.verify)
}

// updateRelayRole starts or stops the watch as the member becomes or stops being a relay. A watch
// starts at the current version of the store.
func (m *simMember) updateRelayRole() {
	if m.isDead {
		return
	}
	relay := slices.Contains(m.relays, m.vm)
	if relay && !m.profiles.isRelay {
		m.profiles.watchedVersion = m.sim.store.version
		m.cache.Invalidate(m.sim.store.version)
	}
	m.profiles.isRelay = relay
	if relay && !m.sim.store.isDown {
		m.cache.Confirm(m.sim.now)
	}
	for _, name := range m.cache.OutdatedNames() {
		m.refresh(name)
	}
	m.sim.after(time.Second, m.updateRelayRole)
}

func (m *simMember) handleWatchEvent(d tsprofile.Document) {
	m.countCall(partWatch, len(d.Value))
	m.measureCPU(func() {
		m.cache.AddWatchedLink(tsprofile.Link{Name: d.Name, Version: d.Version}, m.profiles.watchedVersion)
		m.profiles.watchedVersion = d.Version
	})
	m.apply(d)
}

// apply applies a document and records how long its edits took to arrive.
func (m *simMember) apply(d tsprofile.Document) {
	old, held := m.cache.Peek(d.Name)
	var outcome tsprofile.Outcome
	m.measureCPU(func() { outcome = m.cache.Apply(d) })
	if outcome != tsprofile.Applied || !held || !slices.Contains(m.profiles.inUse, d.Name) {
		return
	}
	st := m.sim.store
	edits := st.edits[d.Name]
	i, _ := slices.BinarySearchFunc(edits, old.Version+1, func(e simEdit, v turmericshed.Version) int { return cmp.Compare(e.version, v) })
	for ; i < len(edits) && edits[i].version <= d.Version; i++ {
		st.editDelays = append(st.editDelays, m.sim.now.Sub(edits[i].at))
	}
}

// refresh fetches a document: from a home of the profile, else from a relay, else from the store.
func (m *simMember) refresh(name turmericshed.ProfileName) {
	if m.profiles.fetching[name] {
		return
	}
	m.profiles.fetching[name] = true
	if !m.cache.HasNewerVersion(name) {
		m.fetchFromStore(name)
		return
	}
	homes := tsprofile.FetchProxies(name, m.vm.FailureDomain, m.vm, m.reachable)
	if len(homes) > 0 && !slices.Contains(homes, m.vm) {
		m.fetchFromHome(homes[m.sim.rng.IntN(len(homes))], name)
		return
	}
	m.fetchFromRelay(name)
}

// fetchFromHome queries a home of the profile, which replies once it has the document.
func (m *simMember) fetchFromHome(home turmericshed.EntryVM, name turmericshed.ProfileName) {
	floor := m.cache.Floor(name)
	m.sim.after(time.Second, m.ifAlive(func() {
		if m.profiles.fetching[name] {
			m.fetchFromRelay(name)
		}
	}))
	m.exchange(partFetch, home, time.Second, fetchOverheadBytes, func(peer *simMember) (int, func()) {
		answer := func(d tsprofile.Document) {
			d.FromPeer = true
			peer.countBytes(partFetch, len(d.Value)+fetchOverheadBytes)
			m.sim.after(m.sim.delay(peer, m), m.ifAlive(func() {
				m.countBytes(partFetch, len(d.Value)+fetchOverheadBytes)
				m.handleFetched(d)
			}))
		}
		if d, ok := peer.cache.Peek(name); ok && d.Version >= floor {
			answer(d)
			return 0, func() {}
		}
		peer.profiles.pendingReplies[name] = append(peer.profiles.pendingReplies[name], answer)
		peer.refresh(name)
		return 0, func() {}
	}, nil)
}

func (m *simMember) fetchFromRelay(name turmericshed.ProfileName) {
	floor := m.cache.Floor(name)
	relays := slices.DeleteFunc(slices.Clone(m.relays), func(vm turmericshed.EntryVM) bool { return vm.Name == m.vm.Name })
	if len(relays) == 0 {
		m.fetchFromStore(name)
		return
	}
	vm := relays[m.sim.rng.IntN(len(relays))]
	m.exchange(partFetch, vm, time.Second, fetchOverheadBytes, func(peer *simMember) (int, func()) {
		d, ok := peer.cache.Peek(name)
		if !ok || d.Version < floor {
			return fetchOverheadBytes, func() { m.fetchFromStore(name) }
		}
		d.FromPeer = true
		return len(d.Value) + fetchOverheadBytes, func() { m.handleFetched(d) }
	}, func() { m.fetchFromStore(name) })
}

func (m *simMember) handleFetched(d tsprofile.Document) {
	delete(m.profiles.fetching, d.Name)
	m.apply(d)
	waiting := m.profiles.pendingReplies[d.Name]
	delete(m.profiles.pendingReplies, d.Name)
	for _, answer := range waiting {
		answer(d)
	}
	if m.cache.HasNewerVersion(d.Name) {
		m.refresh(d.Name)
	}
}

func (m *simMember) fetchFromStore(name turmericshed.ProfileName) {
	var doc tsprofile.Document
	if m.sim.store.isDown {
		delete(m.profiles.fetching, name)
		return
	}
	m.sim.store.read(m, partFetch, func() int { return len(doc.Value) + fetchOverheadBytes }, func() { m.handleFetched(doc) })
	doc = m.sim.store.docs[name]
}

// catchUp queries a peer for missed edits, in the same failure domain if one is reachable there.
func (m *simMember) catchUp() {
	if m.isDead {
		return
	}
	m.sim.after(catchUpInterval/2+time.Duration(m.sim.rng.Int64N(int64(catchUpInterval))), m.catchUp)
	if len(m.reachable) == 0 {
		return
	}
	vm := m.reachable[m.sim.rng.IntN(len(m.reachable))]
	if len(m.neighbours) > 0 {
		vm = m.neighbours[m.sim.rng.IntN(len(m.neighbours))]
	}
	position := m.cache.Position()
	m.exchange(partCatchUp, vm, time.Second, fetchOverheadBytes, func(peer *simMember) (int, func()) {
		links, ok := peer.cache.Since(position, 256)
		links = slices.Clone(links)
		top, at := peer.cache.Position(), peer.cache.ConfirmedAt()
		return fetchOverheadBytes + len(links)*linkBytes, func() { m.handleCatchUp(links, ok, top, at) }
	}, nil)
}

func (m *simMember) handleCatchUp(links []tsprofile.Link, complete bool, position turmericshed.Version, at time.Time) {
	if !complete {
		if m.cache.Position() == 0 {
			m.cache.Invalidate(position)
		}
		return
	}
	for _, k := range links {
		if m.cache.AddLink(k) {
			m.refresh(k.Name)
		}
	}
	m.cache.ConfirmUpTo(position, at)
}

// verify compares a page of the store's documents with the cache while the member is a relay.
func (m *simMember) verify() {
	if m.isDead {
		return
	}
	pause := time.Second
	if m.profiles.isRelay && !m.sim.store.isDown {
		names := m.sim.store.names
		i, found := slices.BinarySearch(names, m.profiles.verifiedUpTo)
		if found {
			i++
		}
		page := make([]tsprofile.Document, 0, verifyPageSize)
		bytes := 0
		for _, name := range names[i:min(i+verifyPageSize, len(names))] {
			d := m.sim.store.docs[name]
			page = append(page, d)
			bytes += len(d.Value)
		}
		m.sim.store.read(m, partVerify, func() int { return bytes }, func() { m.verifyPage(page) })
		rate := time.Duration(verifyLargeBytesPerSecond)
		if len(m.reachable) < tsprofile.SmallFleet {
			rate = verifySmallBytesPerSecond
		}
		pause = max(pause, time.Duration(bytes)*time.Second/rate)
	}
	m.sim.after(pause/2+time.Duration(m.sim.rng.Int64N(int64(pause))), m.verify)
}

func (m *simMember) verifyPage(page []tsprofile.Document) {
	after, last := m.profiles.verifiedUpTo, turmericshed.ProfileName("\xff")
	m.profiles.verifiedUpTo = ""
	if len(page) == verifyPageSize {
		last = page[len(page)-1].Name
		m.profiles.verifiedUpTo = last
	}
	for _, d := range page {
		if m.cache.Floor(d.Name) > 0 {
			m.apply(d)
		}
	}
	m.measureCPU(func() { m.cache.Verify(after, last, page) })
}
