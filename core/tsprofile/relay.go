package tsprofile

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"turmericshed"
)

const (
	// SmallFleet is the fleet size, self included, up to which every entry VM
	// watches the store.
	SmallFleet = 24
	// RelaysPerDomain is the number of entry VMs per failure domain that watch the
	// store in larger fleets.
	RelaysPerDomain = 4
)

// Relays returns the entry VMs of a failure domain that watch the store. They are
// chosen by rendezvous hashing over the reachable ones, self included. Views of the
// membership may differ temporarily: too many relays cost additional watches, and
// too few are compensated for by those of the other failure domains.
func Relays(domain turmericshed.FailureDomain, self turmericshed.EntryVM, reachable []turmericshed.EntryVM) []turmericshed.EntryVM {
	var members []turmericshed.EntryVM
	if self.FailureDomain == domain {
		members = append(members, self)
	}
	for _, vm := range reachable {
		if vm.FailureDomain == domain {
			members = append(members, vm)
		}
	}
	if len(reachable) < SmallFleet {
		return members
	}
	slices.SortFunc(members, func(a, b turmericshed.EntryVM) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return members[:min(len(members), RelaysPerDomain)]
}

// IsRelay reports whether self watches the store.
func IsRelay(self turmericshed.EntryVM, reachable []turmericshed.EntryVM) bool {
	return slices.Contains(Relays(self.FailureDomain, self, reachable), self)
}

// homesPerProfile is the number of entry VMs per failure domain that fetch a profile on
// behalf of the others.
const homesPerProfile = 2

// FetchProxies returns the entry VMs of a failure domain through which the others in that
// domain fetch a profile, so that an edit of a widely used profile does not
// overload the relays. It returns none in small fleets, where every entry VM
// watches the store.
func FetchProxies(name turmericshed.ProfileName, domain turmericshed.FailureDomain, self turmericshed.EntryVM, reachable []turmericshed.EntryVM) []turmericshed.EntryVM {
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
