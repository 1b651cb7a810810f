// Package tspreference orders the entry VMs of a failure domain by preference
// for tasks that one of them does on behalf of all. Entry VMs with the same
// view of the fleet compute the same order, so they need no coordination. The
// order is a hint: correctness must not depend on it.
//
// # Usage
//
//	ranked := tspreference.Rank(vms, domain)
//	first := ranked[0]
//	holders := tspreference.RankByKey(vms, key)[:3]
package tspreference

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"turmericshed"
)

// Rank returns the entry VMs of the domain, those with the most capacity first.
// Equal ones are ordered by a hash of the name (rendezvous hashing).
func Rank(vms []turmericshed.EntryVM, domain turmericshed.FailureDomain) []turmericshed.EntryVM {
	var list []turmericshed.EntryVM
	for _, vm := range vms {
		if vm.FailureDomain == domain {
			list = append(list, vm)
		}
	}
	slices.SortFunc(list, func(a, b turmericshed.EntryVM) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// RankByKey returns the entry VMs of all domains in the order of the rendezvous
// hash of key and name, which differs for each key.
func RankByKey(vms []turmericshed.EntryVM, key string) []turmericshed.EntryVM {
	type ranked struct {
		turmericshed.EntryVM
		rank uint64
	}
	list := make([]ranked, 0, len(vms))
	for _, vm := range vms {
		list = append(list, ranked{vm, xxhash.Sum64String(key + "\x00" + vm.Name)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.Name, b.Name)) })
	out := make([]turmericshed.EntryVM, 0, len(list))
	for _, r := range list {
		out = append(out, r.EntryVM)
	}
	return out
}
