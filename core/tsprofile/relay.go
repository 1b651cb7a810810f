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

// homesPerProfile is how many entry VMs of a failure domain fetch a profile
// for the others there.
const homesPerProfile = 2

// Homes returns the entry VMs of a failure domain through which the others
// there fetch a profile, so that one edit of a profile in wide use does not
// load the relays. It returns none in small fleets, where all watch.
func Homes(name turmericshed.ProfileName, domain turmericshed.FailureDomain, self turmericshed.EntryVM, reachable []turmericshed.EntryVM) []turmericshed.EntryVM {
	if len(reachable) < SmallFleet {
		return nil
	}
	var best [homesPerProfile]turmericshed.EntryVM
	var weights [homesPerProfile]uint64
	rank := func(vm turmericshed.EntryVM) {
		if vm.FailureDomain != domain {
			return
		}
		w := weight(name, vm.Name)
		for i := range best {
			if w > weights[i] {
				best[i], vm = vm, best[i]
				weights[i], w = w, weights[i]
			}
		}
	}
	rank(self)
	for _, vm := range reachable {
		rank(vm)
	}
	return best[:]
}

// weight is the rendezvous weight of an entry VM for a profile.
func weight(name turmericshed.ProfileName, vm string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(name))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(vm)
	return d.Sum64()
}
