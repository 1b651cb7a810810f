// Package tstimeline orders, merges and filters the events of many processes.
//
// Each process stamps its events with a hybrid logical clock: the wall time while
// it advances, and a logical count where it does not. Messages between processes
// carry the sender's stamp, which the receiver merges into its clock. An event
// caused by another one is therefore ordered after it, even if the clocks of the
// two processes differ by up to MaxLead.
//
// # Usage
//
//	var c tstimeline.Clock
//	stamp := c.Next(now)            // for an event or a message
//	c.Observe(now, remote)          // on receiving a message
//
//	merged := tstimeline.Merge(eventsOfA, eventsOfB)
//	f := tstimeline.Filter{ID: "lot-17"}
//	for _, e := range merged {
//		if f.Match(e) { ... }
//	}
package tstimeline

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"turmericshed"
)

// Compare orders events by wall time, then by logical count, then by process.
func Compare(a, b turmericshed.Event) int {
	if n := a.Wall.Compare(b.Wall); n != 0 {
		return n
	}
	if n := cmp.Compare(a.Logical, b.Logical); n != 0 {
		return n
	}
	return strings.Compare(a.Process, b.Process)
}

// Merge returns the events of all processes in one order. An event that occurs in
// several lists, with equal stamp, process and name, is returned once.
func Merge(lists ...[]turmericshed.Event) []turmericshed.Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, Compare)
	return slices.CompactFunc(all, func(a, b turmericshed.Event) bool {
		return Compare(a, b) == 0 && a.Name == b.Name
	})
}

// Filter selects events. Zero fields match all events.
type Filter struct {
	// ID must equal one of the event's identifiers: request, profile, account, lot,
	// claim, server, member, process or failure domain.
	ID string
	// Names lists the event names to select.
	Names []turmericshed.EventName
	// From selects events at or after this time.
	From time.Time
}

// Match reports whether the filter selects e.
func (f Filter) Match(e turmericshed.Event) bool {
	if !f.From.IsZero() && e.Wall.Before(f.From) {
		return false
	}
	if len(f.Names) > 0 && !slices.Contains(f.Names, e.Name) {
		return false
	}
	return f.ID == "" || slices.Contains(identifiers(e), f.ID)
}

// identifiers returns every identifier of e.
func identifiers(e turmericshed.Event) []string {
	return []string{
		string(e.Request), string(e.Profile), string(e.Account), string(e.Lot), string(e.Claim),
		string(e.Server), e.Member, e.Process, string(e.FailureDomain),
	}
}
