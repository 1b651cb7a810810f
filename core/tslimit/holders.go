package tslimit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"turmericshed"
)

const (
	// holderCount is how many entry VMs hand out a server's limit. Where views
	// of the entry VMs differ by one, that is at most one part more.
	holderCount = 3
	// usedPart of a limit is handed out; the rest is left for views that differ.
	usedPart = 0.9
)

// Holders returns the entry VMs that hand out a server's limit: those with the
// highest rendezvous hash of server and name. All entry VMs find the same ones
// by themselves, as far as they know of each other.
func Holders(vms []turmericshed.EntryVM, id turmericshed.ServerID) []turmericshed.EntryVM {
	type ranked struct {
		turmericshed.EntryVM
		rank uint64
	}
	list := make([]ranked, 0, len(vms))
	for _, vm := range vms {
		list = append(list, ranked{vm, xxhash.Sum64String(string(id) + "\x00" + vm.Name)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.Name, b.Name)) })
	holders := make([]turmericshed.EntryVM, 0, holderCount)
	for _, r := range list[:min(holderCount, len(list))] {
		holders = append(holders, r.EntryVM)
	}
	return holders
}

// Part returns what one of n entry VMs hands out of a limit, in requests a
// second.
func Part(perSecond float64, n int) float64 { return usedPart * perSecond / float64(max(n, 1)) }
