package tslimit

import (
	"turmericshed"
	"turmericshed/core/tspreference"
)

const (
	// holderCount is how many entry VMs hand out a server's limit. Where views
	// of the entry VMs differ by one, that is at most one part more.
	holderCount = 3
	// distributedPart of a limit is handed out; the rest is left for views that differ.
	distributedPart = 0.9
)

// Holders returns the entry VMs that hand out a server's limit: those with the
// highest rendezvous hash of server and name. All entry VMs find the same ones
// by themselves, as far as they know of each other.
func Holders(vms []turmericshed.EntryVM, id turmericshed.ServerID) []turmericshed.EntryVM {
	return tspreference.Spread(vms, string(id))[:min(holderCount, len(vms))]
}

// Part returns what one of n entry VMs hands out of a limit, in requests a
// second.
func Part(perSecond float64, n int) float64 { return distributedPart * perSecond / float64(max(n, 1)) }
