package tsprofile

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"turmericshed"
)

const (
	// SmallFleet is the number of entry VMs up to which all of them watch.
	SmallFleet = 24
	// RelaysPerDomain is how many entry VMs of a failure domain watch above
	// that.
	RelaysPerDomain = 4
)

// Relays returns the entry VMs of a failure domain that watch the store, by
// rendezvous hashing over those reachable, self included. Views may differ
// for a time: too many relays cost watches, too few are made up for by the
// other failure domains.
func Relays(domain turmericshed.FailureDomain, self turmericshed.EntryVM, reachable []turmericshed.EntryVM) []turmericshed.EntryVM {
	var own []turmericshed.EntryVM
	if self.FailureDomain == domain {
		own = append(own, self)
	}
	for _, vm := range reachable {
		if vm.FailureDomain == domain {
			own = append(own, vm)
		}
	}
	if len(reachable) < SmallFleet {
		return own
	}
	slices.SortFunc(own, func(a, b turmericshed.EntryVM) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return own[:min(len(own), RelaysPerDomain)]
}

// IsRelay reports whether self watches the store.
func IsRelay(self turmericshed.EntryVM, reachable []turmericshed.EntryVM) bool {
	return slices.Contains(Relays(self.FailureDomain, self, reachable), self)
}
