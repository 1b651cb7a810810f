// Package tsboard is the blackboard of one process: typed cells, each written by one
// controller and read by any. Controllers don't call each other; they write to cells and
// react to changes.
//
// # Usage
//
//	var b tsboard.Board
//	b.Servers.Write(servers)              // the membership controller
//	servers, changed := b.Servers.Watch() // the routing controller
//	select {
//	case <-changed:
//	case <-ctx.Done():
//	}
package tsboard

import (
	"time"

	"turmericshed"
)

// Member is an entry VM with its state as this process sees it.
type Member struct {
	turmericshed.EntryVM
	State turmericshed.MemberState
	// Since is when State last changed.
	Since time.Time
}

// StoreHealth reports whether the platform's key-value service answers.
type StoreHealth struct {
	Up bool
	// Since is when Up last changed.
	Since time.Time
}

// Board is the blackboard. The zero value is ready to use.
type Board struct {
	// Directory is the latest reading of the platform's list. Writer: the directory reader.
	Directory Cell[turmericshed.DirectorySnapshot]
	// Members are the known entry VMs. Writer: the membership controller.
	Members Cell[[]Member]
	// Servers are the known backend servers, with leaving ones marked. Writer: the directory
	// reader; any controller that first detects a leaving server marks it.
	Servers Cell[[]turmericshed.BackendServer]
	// Loads are the latest load reports. Writer: the load reader; reports from peers are
	// merged by age.
	Loads Cell[map[turmericshed.ServerID]turmericshed.LoadReport]
	// Store is the health of the platform's key-value service. Writer: its client.
	Store Cell[StoreHealth]
	// Draining is true from the start of a graceful stop. Writer: entry.
	Draining Cell[bool]
}
