package tsload

import (
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tspreference"
)

const (
	// gatherersPerDomain is the number of entry VMs of a failure domain that may gather:
	// the first one, and the second one while the first does not answer.
	gatherersPerDomain = 2
	// minInterval and maxInterval bound the time between the calls of an entry VM. At 3
	// calls a second a reading is on average 0.2 s old when it arrives, a quarter of its
	// life.
	minInterval = 250 * time.Millisecond
	maxInterval = 500 * time.Millisecond
	// intervalPerVM is the interval that each entry VM of the failure domain adds. It
	// bounds the calls that the gatherer answers to 125 per second up to 62 entry VMs.
	intervalPerVM = 8 * time.Millisecond
	// skipDuration is how long an entry VM that did not answer is not called.
	skipDuration = 2 * time.Second
	// DigestInterval is the time between two exchanges with another failure domain.
	DigestInterval = 500 * time.Millisecond
	// maxOldVersions bounds the entry VMs that are remembered as not knowing the call.
	maxOldVersions = 4096
)

// Plan decides whom an entry VM calls to exchange readings. Entry VMs with the same view
// of the fleet choose the same gatherer of a failure domain, without agreement.
type Plan struct {
	pickers map[turmericshed.FailureDomain]*tspreference.Picker
	// oldVersions holds the entry VMs that don't know the call. A process never learns it.
	oldVersions map[turmericshed.Incarnation]bool
}

// Gatherer returns the entry VM that gathers in self's failure domain, which may be self.
// ok is false if there is none.
func (p *Plan) Gatherer(now time.Time, self turmericshed.EntryVM, others []turmericshed.EntryVM) (vm turmericshed.EntryVM, ok bool) {
	list := p.picker(self.FailureDomain).Order(now, self, p.capable(others), gatherersPerDomain)
	if len(list) == 0 {
		return vm, false
	}
	return list[0], true
}

// Distant returns the entry VMs of other failure domains with which the gatherer self
// exchanges digests now. Of two failure domains the one with the lower name calls, so that
// one call serves both directions.
func (p *Plan) Distant(now time.Time, self turmericshed.EntryVM, others []turmericshed.EntryVM) []turmericshed.EntryVM {
	others = p.capable(others)
	var domains []turmericshed.FailureDomain
	for _, vm := range others {
		if vm.FailureDomain > self.FailureDomain && !slices.Contains(domains, vm.FailureDomain) {
			domains = append(domains, vm.FailureDomain)
		}
	}
	slices.Sort(domains)
	var list []turmericshed.EntryVM
	for _, d := range domains {
		ranked := tspreference.Rank(others, d)
		for _, vm := range ranked[:min(gatherersPerDomain, len(ranked))] {
			if !p.picker(d).Skips(now, vm) {
				list = append(list, vm)
				break
			}
		}
	}
	return list
}

// Answered and Failed record the result of a call.
func (p *Plan) Answered(vm turmericshed.EntryVM) { p.picker(vm.FailureDomain).Answered(vm) }

// Failed records that an entry VM did not answer.
func (p *Plan) Failed(now time.Time, vm turmericshed.EntryVM) {
	p.picker(vm.FailureDomain).Failed(now, vm)
}

// OldVersion records that an entry VM doesn't know the call. It is not called again.
func (p *Plan) OldVersion(vm turmericshed.EntryVM) {
	if p.oldVersions == nil || len(p.oldVersions) >= maxOldVersions {
		p.oldVersions = make(map[turmericshed.Incarnation]bool)
	}
	p.oldVersions[vm.Incarnation] = true
}

// capable returns the entry VMs that may know the call.
func (p *Plan) capable(vms []turmericshed.EntryVM) []turmericshed.EntryVM {
	if len(p.oldVersions) == 0 {
		return vms
	}
	return slices.DeleteFunc(slices.Clone(vms), func(vm turmericshed.EntryVM) bool { return p.oldVersions[vm.Incarnation] })
}

func (p *Plan) picker(d turmericshed.FailureDomain) *tspreference.Picker {
	if p.pickers == nil {
		p.pickers = make(map[turmericshed.FailureDomain]*tspreference.Picker)
	}
	if p.pickers[d] == nil {
		p.pickers[d] = &tspreference.Picker{SkipDuration: skipDuration}
	}
	return p.pickers[d]
}

// Interval returns the time between the calls of an entry VM to the gatherer, for the
// number of entry VMs in the failure domain.
func Interval(vms int) time.Duration {
	return min(max(time.Duration(vms)*intervalPerVM, minInterval), maxInterval)
}
