package tsexperiment

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tsmember"
	"turmericshed/core/tsprofile"
)

const (
	designMembers  = 2600
	designServers  = 7200
	designProfiles = 47000
	// The limits for one node.
	limitBytesPerSecond     = 7000
	limitCPUShare           = 0.034
	limitMemoryBytes        = 128 << 20
	limitEditInForce        = 9 * time.Second
	limitEditInForceCurrent = time.Second
	// currentMembers is the size of a present production fleet.
	currentMembers = 9

	warmUpDuration     = 40 * time.Second
	steadyDuration     = 60 * time.Second
	editDuration       = 120 * time.Second
	fleetFaultDuration = 60 * time.Second
	recoveryStep       = 500 * time.Millisecond
	recoveryTimeout    = 120 * time.Second
)

// FleetSize is the result for one fleet size. Byte rates are per node.
type FleetSize struct {
	Members        int `json:"members"`
	FailureDomains int `json:"failure_domains"`
	// Payload bytes exclude the overhead of the transport, control bytes include it. Both count
	// bytes sent and received.
	PayloadBytesPerSecond    float64 `json:"payload_bytes_per_second"`
	CallsPerSecond           float64 `json:"calls_per_second"`
	ControlBytesPerSecond    float64 `json:"control_bytes_per_second"`
	ControlBytesPerSecondMax float64 `json:"control_bytes_per_second_max"`
	// Parts splits PayloadBytesPerSecond by purpose.
	Parts FleetParts `json:"payload_parts"`
	// RelayBytesPerSecond is the mean control bytes of the relays, which watch the store.
	RelayBytesPerSecond float64 `json:"relay_control_bytes_per_second"`
	// ListBytesPerSecond is the cost of reading the platform's list. It is included in the control
	// bytes.
	ListBytesPerSecond float64 `json:"list_bytes_per_second"`
	// DecisionMicros is the measured time of decisions and encoding.
	DecisionMicros  float64 `json:"decision_micros_per_second"`
	ControlCPUShare float64 `json:"control_cpu_share"`
	// Seconds from the death of a member until half of the others, then all, consider it suspect or
	// gone, and until all consider it gone.
	SuspectHalfSeconds float64 `json:"suspect_half_seconds"`
	SuspectAllSeconds  float64 `json:"suspect_all_seconds"`
	GoneAllSeconds     float64 `json:"gone_all_seconds"`
	// With one-way cuts of a twentieth of the links and one flapping link.
	FalseSuspectShare float64 `json:"false_suspect_share"`
	FalseGone         int     `json:"false_gone"`
	// After a failure domain was cut off for fleetFaultDuration.
	FalseGoneInCut int `json:"false_gone_in_cut"`
	// Seconds from the end of the cut until 99% of the pairs, then all pairs, consider each other
	// reachable.
	Recovery99Seconds      float64 `json:"recovery_most_seconds"`
	RecoverySeconds        float64 `json:"recovery_seconds"`
	RecoveryBytesPerSecond float64 `json:"recovery_bytes_per_second"`
	// With edits at the rate of editsPerDay, lost watch events and restarts.
	EditInForceP50Millis float64 `json:"edit_in_force_p50_ms"`
	EditInForceP99Millis float64 `json:"edit_in_force_p99_ms"`
	EditInForceMaxMillis float64 `json:"edit_in_force_max_ms"`
	EditsLate            int     `json:"edits_late"`
	StoreWatches         int     `json:"store_watches"`
	StoreReadsPerSecond  float64 `json:"store_reads_per_second"`
}

// FleetParts splits payload bytes per second by purpose.
type FleetParts struct {
	Probe   float64 `json:"probe"`
	Sync    float64 `json:"sync"`
	CatchUp float64 `json:"catch_up"`
	Fetch   float64 `json:"fetch"`
	Verify  float64 `json:"verify"`
	Watch   float64 `json:"watch"`
}

// FleetResult is the result of the fleet experiment.
type FleetResult struct {
	Seed         uint64        `json:"seed"`
	Transport    TransportCost `json:"transport"`
	Memory       FleetMemory   `json:"memory"`
	Sizes        []FleetSize   `json:"sizes"`
	Design       FleetDesign   `json:"design"`
	Baselines    FleetBaseline `json:"baselines"`
	BrokenLimits []string      `json:"broken_limits"`
}

// FleetMemory is the memory that the state of one node takes.
type FleetMemory struct {
	BytesPerMember  float64 `json:"bytes_per_member"`
	BytesPerProfile float64 `json:"bytes_per_held_profile"`
	BytesPerName    float64 `json:"bytes_per_known_name"`
	ProfileText     int     `json:"profile_text_bytes"`
}

// FleetDesign extrapolates to the design size by a line fitted over the larger sizes.
type FleetDesign struct {
	Members               int     `json:"members"`
	BytesSlope            float64 `json:"bytes_per_second_per_member"`
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
	MicrosSlope           float64 `json:"micros_per_second_per_member"`
	ControlCPUShare       float64 `json:"control_cpu_share"`
	MemoryBytes           float64 `json:"memory_bytes"`
	StoreWatches          int     `json:"store_watches"`
}

// runFleet measures membership and the propagation of profile edits.
func runFleet(ctx context.Context, o Options) (any, error) {
	sizes := []int{currentMembers, 30, 100, 300, 1000}
	if o.Quick {
		sizes = []int{currentMembers, 30, 100}
	}
	if o.Scenario != "" {
		var n int
		if _, err := fmt.Sscanf(o.Scenario, "%d", &n); err != nil || n < 3 {
			return nil, turmericshed.NewError(turmericshed.KindBadRequest, "scenario %q is not a number of members greater than 2", o.Scenario)
		}
		sizes = []int{n}
	}
	cost, err := measureTransport(ctx)
	if err != nil {
		return nil, err
	}
	r := FleetResult{Seed: o.Seed, Transport: cost, Memory: measureFleetMemory()}
	for _, n := range sizes {
		if ctx.Err() != nil {
			return nil, turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "experiment")
		}
		r.Sizes = append(r.Sizes, measureFleet(o.Seed, n, cost))
	}
	r.extrapolate()
	r.Baselines = measureFleetBaselines(cost, r.Memory)
	r.checkLimits()
	return r, nil
}

// measureFleet runs every scenario at one size, each on a new fleet.
func measureFleet(seed uint64, n int, cost TransportCost) FleetSize {
	domains, _ := fleetDomains(n)
	f := FleetSize{Members: n, FailureDomains: domains}
	f.measureSteady(newFleetSim(seed, n), cost)
	f.measureDeath(newFleetSim(seed+1, n))
	f.measureOneWayCuts(newFleetSim(seed+2, n))
	f.measureIsolation(newFleetSim(seed+3, n), cost)
	f.measureEdits(newFleetSim(seed+4, n))
	return f
}

// measureSteady measures the cost without faults, with edits at the rate of editsPerDay.
func (f *FleetSize) measureSteady(s *fleetSim, cost TransportCost) {
	s.run(warmUpDuration)
	for _, m := range s.members {
		m.bytes, m.calls, m.cpuTime, m.bytesByPart = 0, 0, 0, [partCount]int64{}
	}
	s.store.reads = 0
	s.store.scheduleEdits(steadyDuration)
	s.run(steadyDuration)
	seconds, n := steadyDuration.Seconds(), float64(len(s.members))
	for _, m := range s.members {
		f.PayloadBytesPerSecond += float64(m.bytes) / seconds / n
		f.CallsPerSecond += float64(m.calls) / seconds / n
		f.DecisionMicros += float64(m.cpuTime.Microseconds()) / seconds / n
		f.ControlBytesPerSecondMax = max(f.ControlBytesPerSecondMax, cost.bytes(float64(m.bytes), float64(m.calls))/seconds)
		for part, to := range f.Parts.fields() {
			*to += float64(m.bytesByPart[part]) / seconds / n
		}
		if m.profiles.isRelay {
			f.StoreWatches++
			f.RelayBytesPerSecond += cost.bytes(float64(m.bytes), float64(m.calls)) / seconds
		}
	}
	f.ListBytesPerSecond = listBytes(len(s.members))
	f.RelayBytesPerSecond = f.RelayBytesPerSecond/float64(max(f.StoreWatches, 1)) + cost.connectionBytes() + f.ListBytesPerSecond
	f.ControlBytesPerSecond = cost.bytes(f.PayloadBytesPerSecond, f.CallsPerSecond) + cost.connectionBytes() + f.ListBytesPerSecond
	f.ControlBytesPerSecondMax += cost.connectionBytes() + f.ListBytesPerSecond
	f.ControlCPUShare = (f.DecisionMicros + f.CallsPerSecond/2*cost.MicrosPerCall + cost.connectionMicros()) / 1e6
	f.StoreReadsPerSecond = float64(s.store.reads) / seconds
}

// listBytes returns the bytes per second that one node spends on reading the platform's list, with
// backend servers in the proportion of the design size.
func listBytes(members int) float64 {
	snap := turmericshed.DirectorySnapshot{
		EntryVMs: make([]turmericshed.EntryVM, members),
		Servers:  make([]turmericshed.BackendServer, members*designServers/designMembers),
	}
	return float64(tsmember.ListBytes(snap)) / tsmember.ReadingInterval(snap, members).Seconds()
}

// fields returns pointers to the fields in the order of fleetPart.
func (p *FleetParts) fields() [partCount]*float64 {
	return [partCount]*float64{&p.Probe, &p.Sync, &p.CatchUp, &p.Fetch, &p.Verify, &p.Watch}
}

// measureDeath measures how soon the others detect the death of a member.
func (f *FleetSize) measureDeath(s *fleetSim) {
	s.run(warmUpDuration)
	dead := s.members[s.rng.IntN(len(s.members))]
	diedAt := s.now
	dead.isDead = true
	for s.now.Sub(diedAt) < recoveryTimeout && f.GoneAllSeconds == 0 {
		s.run(fleetTick)
		suspects, gone, live := 0, 0, s.liveMembers()
		for _, m := range live {
			state := m.node.State(dead.vm.Incarnation)
			if state != turmericshed.MemberAlive {
				suspects++
			}
			if state == turmericshed.MemberGone {
				gone++
			}
		}
		elapsed := s.now.Sub(diedAt).Seconds()
		setOnce(&f.SuspectHalfSeconds, elapsed, 2*suspects >= len(live))
		setOnce(&f.SuspectAllSeconds, elapsed, suspects == len(live))
		setOnce(&f.GoneAllSeconds, elapsed, gone == len(live))
	}
}

// setOnce sets dst to value if reached is true and dst is still 0.
func setOnce(dst *float64, value float64, reached bool) {
	if reached && *dst == 0 {
		*dst = value
	}
}

// measureOneWayCuts measures false suspicions under one-way cuts and a flapping link.
func (f *FleetSize) measureOneWayCuts(s *fleetSim) {
	s.run(warmUpDuration)
	cutLinks := make(map[[2]string]bool)
	for _, a := range s.members {
		for range max(1, len(s.members)/20) {
			b := s.members[s.rng.IntN(len(s.members))]
			cutLinks[[2]string{a.vm.Name, b.vm.Name}] = true
		}
	}
	s.isBlocked = func(from, to *simMember) bool {
		flapping := from.vm.FailureDomain == "domain-00" && to.vm.FailureDomain == "domain-01" && s.now.Unix()/5%2 == 0
		return flapping || cutLinks[[2]string{from.vm.Name, to.vm.Name}]
	}
	s.falseGone = 0
	samples, suspects := 0, 0
	for range int(fleetFaultDuration / time.Second) {
		s.run(time.Second)
		for _, m := range s.members[:min(len(s.members), 50)] {
			for _, other := range s.members {
				samples++
				if m.node.State(other.vm.Incarnation) != turmericshed.MemberAlive {
					suspects++
				}
			}
		}
	}
	f.FalseSuspectShare = float64(suspects) / float64(samples)
	f.FalseGone = s.falseGone
}

// measureIsolation cuts off a failure domain and measures how soon every member reaches all others
// again after the cut ends.
func (f *FleetSize) measureIsolation(s *fleetSim, cost TransportCost) {
	s.run(warmUpDuration)
	s.isBlocked = func(from, to *simMember) bool {
		return (from.vm.FailureDomain == "domain-00") != (to.vm.FailureDomain == "domain-00")
	}
	s.falseGone = 0
	s.run(fleetFaultDuration)
	s.isBlocked = nil
	healedAt := s.now
	var bytesBefore, callsBefore float64
	for _, m := range s.members {
		bytesBefore += float64(m.bytes)
		callsBefore += float64(m.calls)
	}
	for s.now.Sub(healedAt) < recoveryTimeout && f.RecoverySeconds == 0 {
		s.run(recoveryStep)
		others, reached := len(s.members)-1, 0
		for _, m := range s.members {
			reached += len(m.reachable)
		}
		pairs := len(s.members) * others
		setOnce(&f.Recovery99Seconds, s.now.Sub(healedAt).Seconds(), reached*100 >= pairs*99)
		setOnce(&f.RecoverySeconds, s.now.Sub(healedAt).Seconds(), reached == pairs)
	}
	f.FalseGoneInCut = s.falseGone
	var bytesAfter, callsAfter float64
	for _, m := range s.members {
		bytesAfter += float64(m.bytes)
		callsAfter += float64(m.calls)
	}
	f.RecoveryBytesPerSecond = cost.bytes(bytesAfter-bytesBefore, callsAfter-callsBefore)/float64(len(s.members))/s.now.Sub(healedAt).Seconds() + cost.connectionBytes()
}

// measureEdits measures how soon edits are in force, with lost watch events and restarted members.
func (f *FleetSize) measureEdits(s *fleetSim) {
	s.run(warmUpDuration)
	s.store.editDelays = nil
	s.store.scheduleEdits(editDuration)
	for i := range 6 {
		s.after(time.Duration(i)*editDuration/6, func() {
			vm := s.members[s.rng.IntN(len(s.members))].vm
			known := s.members[s.rng.IntN(len(s.members))].vm
			vm.Incarnation = s.incarnation()
			s.start(vm).node.Seed(s.now, []turmericshed.EntryVM{known})
		})
	}
	s.run(editDuration + 2*limitEditInForce)
	d := s.store.editDelays
	slices.Sort(d)
	if len(d) > 0 {
		f.EditInForceP50Millis = millis(d[len(d)/2])
		f.EditInForceP99Millis = millis(d[len(d)*99/100])
		f.EditInForceMaxMillis = millis(d[len(d)-1])
	}
	for _, m := range s.liveMembers() {
		for _, name := range m.profiles.inUse {
			if held, _ := m.cache.Peek(name); held.Version < s.store.docs[name].Version {
				f.EditsLate++
			}
		}
	}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// extrapolate fits lines over the sizes of at least 100 members, or over the only size.
func (r *FleetResult) extrapolate() {
	var xs, bytes, micros []float64
	for _, f := range r.Sizes {
		if f.Members >= 100 || len(r.Sizes) == 1 {
			xs = append(xs, float64(f.Members))
			bytes = append(bytes, f.ControlBytesPerSecond)
			micros = append(micros, f.ControlCPUShare*1e6)
		}
	}
	d := &r.Design
	d.Members = designMembers
	d.BytesSlope, d.ControlBytesPerSecond = fitLine(xs, bytes, designMembers)
	var total float64
	d.MicrosSlope, total = fitLine(xs, micros, designMembers)
	d.ControlCPUShare = total / 1e6
	d.MemoryBytes = r.Memory.BytesPerMember*designMembers + r.Memory.BytesPerName*designProfiles + 24<<20
	d.StoreWatches = 15 * tsprofile.RelaysPerDomain
}

// fitLine returns the slope of the least squares line and its value at x.
func fitLine(xs, ys []float64, x float64) (slope, value float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(xs))
	for i := range xs {
		sx, sy = sx+xs[i], sy+ys[i]
		sxx, sxy = sxx+xs[i]*xs[i], sxy+xs[i]*ys[i]
	}
	if d := n*sxx - sx*sx; d > 0 {
		slope = (n*sxy - sx*sy) / d
	}
	return slope, (sy-slope*sx)/n + slope*x
}

// checkLimits lists the limits that the results exceed.
func (r *FleetResult) checkLimits() {
	require := func(ok bool, format string, args ...any) {
		if !ok {
			r.BrokenLimits = append(r.BrokenLimits, fmt.Sprintf(format, args...))
		}
	}
	r.BrokenLimits = []string{}
	for _, f := range r.Sizes {
		limit := limitEditInForce
		if f.Members == currentMembers {
			limit = limitEditInForceCurrent
		}
		require(f.EditInForceP99Millis <= millis(limit), "%d members: edits in force after %.0f ms", f.Members, f.EditInForceP99Millis)
		require(f.EditsLate == 0, "%d members: %d edits not in force", f.Members, f.EditsLate)
		// The limit applies to the design size: small fleets read the platform's list more often.
		require(f.Members < 100 || f.ControlBytesPerSecondMax <= limitBytesPerSecond, "%d members: %.0f bytes a second at one node", f.Members, f.ControlBytesPerSecondMax)
		require(f.FalseGone+f.FalseGoneInCut == 0, "%d members: %d live members gone", f.Members, f.FalseGone+f.FalseGoneInCut)
		require(f.RecoverySeconds > 0, "%d members: not recovered", f.Members)
		require(f.GoneAllSeconds > 0, "%d members: a dead member not gone", f.Members)
	}
	require(r.Design.ControlBytesPerSecond <= limitBytesPerSecond, "design: %.0f bytes a second", r.Design.ControlBytesPerSecond)
	require(r.Design.ControlCPUShare <= limitCPUShare, "design: %.4f of a core", r.Design.ControlCPUShare)
	require(r.Design.MemoryBytes <= limitMemoryBytes, "design: %.0f bytes of memory", r.Design.MemoryBytes)
}

// measureFleetMemory measures the heap bytes per member, profile and profile name.
func measureFleetMemory() FleetMemory {
	const members, profiles = designMembers, 10000
	var retained []any
	const tables = 20
	vms := make([]turmericshed.EntryVM, members)
	for i := range vms {
		vms[i].Region, vms[i].FailureDomain = "region-0", "domain-00"
		vms[i].PeerAddr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
	}
	perMember := heapGrowth(func() {
		for range tables {
			s := newFleetSim(1, 1)
			for i := range vms {
				// Each process decodes its own copies of the names.
				vms[i].Name, vms[i].Incarnation = fmt.Sprintf("entry-x%04d", i), s.incarnation()
			}
			s.members[0].node.Seed(s.now, vms)
			s.members[0].node.Tick(s.now.Add(2 * tsmember.Period))
			retained = append(retained, s.members[0].node)
		}
	}) / (members * tables)
	docs := make([]tsprofile.Document, profiles)
	for i := range docs {
		docs[i] = simDocument(turmericshed.ProfileName(fmt.Sprintf("profile-x%05d", i)), 1)
	}
	cache, names := tsprofile.New(tsprofile.Config{}), tsprofile.New(tsprofile.Config{})
	perProfile := heapGrowth(func() {
		for _, d := range docs {
			cache.Apply(simDocument(d.Name, 1))
		}
	}) / profiles
	perName := heapGrowth(func() {
		for i := range profiles {
			names.AddLink(tsprofile.Link{Name: turmericshed.ProfileName(fmt.Sprintf("profile-y%05d", i)), Version: turmericshed.Version(i + 1)})
		}
	}) / profiles
	retained = append(retained, cache, names)
	runtime.KeepAlive(retained)
	return FleetMemory{BytesPerMember: perMember, BytesPerProfile: perProfile, BytesPerName: perName, ProfileText: len(docs[0].Value)}
}

// heapGrowth returns the bytes that f leaves on the heap.
func heapGrowth(f func()) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
