package tspreference

import (
	"time"

	"turmericshed"
)

// Picker chooses among the entry VMs of a failure domain and skips those that
// recently did not answer. It is not safe for concurrent use.
type Picker struct {
	// SkipDuration is how long an entry VM is skipped after a failure.
	SkipDuration time.Duration

	failedAt map[string]time.Time
}

// Failed records that an entry VM did not answer.
func (p *Picker) Failed(now time.Time, vm turmericshed.EntryVM) {
	if p.failedAt == nil {
		p.failedAt = make(map[string]time.Time)
	}
	p.failedAt[vm.Name] = now
}

// Answered records that an entry VM answered.
func (p *Picker) Answered(vm turmericshed.EntryVM) { delete(p.failedAt, vm.Name) }

// Failing reports whether an entry VM failed and has not answered since.
func (p *Picker) Failing(vm turmericshed.EntryVM) bool {
	_, failing := p.failedAt[vm.Name]
	return failing
}

// Skips reports whether an entry VM is skipped now because it failed recently.
func (p *Picker) Skips(now time.Time, vm turmericshed.EntryVM) bool {
	at, ok := p.failedAt[vm.Name]
	return ok && now.Sub(at) < p.SkipDuration
}

// Order returns the entry VMs to query, in order: those of the first n of
// self's failure domain that are not skipped. The list ends at self, which
// needs no other entry VM from there on. If all of those before self are
// skipped, the one that failed longest ago is queried, because a network
// partition may be over. The list does not continue beyond the first n:
// otherwise, in a partition, as many entry VMs would do the same work as there
// are in the domain.
func (p *Picker) Order(now time.Time, self turmericshed.EntryVM, others []turmericshed.EntryVM, n int) []turmericshed.EntryVM {
	var list []turmericshed.EntryVM
	var oldestFailure *turmericshed.EntryVM
	ranked := Rank(append(others, self), self.FailureDomain)
	for _, vm := range ranked[:min(n, len(ranked))] {
		if vm.Name == self.Name {
			list = append(list, vm)
			break
		}
		at, ok := p.failedAt[vm.Name]
		if !ok || now.Sub(at) >= p.SkipDuration {
			list = append(list, vm)
			continue
		}
		if oldestFailure == nil || at.Before(p.failedAt[oldestFailure.Name]) {
			oldestFailure = &vm
		}
	}
	if oldestFailure != nil && (len(list) == 0 || list[0].Name == self.Name) {
		list = append([]turmericshed.EntryVM{*oldestFailure}, list...)
	}
	return list
}
