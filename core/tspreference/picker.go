package tspreference

import (
	"time"

	"turmericshed"
)

// Picker chooses among the entry VMs of a failure domain, and passes over those
// that did not answer lately. It is not safe for concurrent use.
type Picker struct {
	// Avoid is how long an entry VM is passed over.
	Avoid time.Duration

	failedAt map[string]time.Time
}

// Failed notes that an entry VM did not answer.
func (p *Picker) Failed(now time.Time, vm turmericshed.EntryVM) {
	if p.failedAt == nil {
		p.failedAt = make(map[string]time.Time)
	}
	p.failedAt[vm.Name] = now
}

// Answered notes that an entry VM answered.
func (p *Picker) Answered(vm turmericshed.EntryVM) { delete(p.failedAt, vm.Name) }

// Failing reports whether an entry VM failed and has not answered since.
func (p *Picker) Failing(vm turmericshed.EntryVM) bool {
	_, failing := p.failedAt[vm.Name]
	return failing
}

// Order returns the entry VMs to ask, in order: of the first n of self's domain,
// those that answered. It ends at self, who need not ask others then. Where all
// of them are passed over, the one that failed longest ago is asked, since a cut
// may be over: if each went on to the next ones, a cut would leave as many doing
// the same as there are entry VMs.
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
		if !ok || now.Sub(at) >= p.Avoid {
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
