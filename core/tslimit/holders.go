package tslimit

import (
	"turmericshed"
	"turmericshed/core/tspreference"
)

const (
	// holderCount is how many entry VMs hand out a server's limit. If the views
	// of the entry VMs differ by one holder, at most one more part is handed
	// out.
	holderCount = 3
	// distributedPart is the part of a limit that is handed out. The remainder
	// is a margin for views that differ.
	distributedPart = 0.9
)

// Holders returns the entry VMs that hand out a server's limit: those with the
// highest rendezvous hash of server and name. Entry VMs with the same view of
// the fleet find the same holders without communication.
func Holders(vms []turmericshed.EntryVM, id turmericshed.ServerID) []turmericshed.EntryVM {
	return tspreference.RankByKey(vms, string(id))[:min(holderCount, len(vms))]
}

// PartRate returns the rate, in requests per second, that each of n entry VMs hands
// out of a limit.
func PartRate(perSecond float64, n int) float64 {
	return distributedPart * perSecond / float64(max(n, 1))
}
