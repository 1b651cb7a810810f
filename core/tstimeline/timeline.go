// Package tstimeline orders, merges and filters the events of many processes.
//
// Each process stamps its events by a hybrid logical clock: wall time as far
// as it goes forward, and a logical count where it does not. Messages between
// processes carry the sender's stamp and the receiver joins it, so an event
// that another one caused is always ordered after it, also when the clocks of
// the two processes disagree by up to MaxLead.
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

// Compare orders events by wall time, logical count, then process.
func Compare(a, b turmericshed.Event) int {
	if n := a.Wall.Compare(b.Wall); n != 0 {
		return n
	}
	if n := cmp.Compare(a.Logical, b.Logical); n != 0 {
		return n
	}
	return strings.Compare(a.Process, b.Process)
}

// Merge returns the events of all processes in one order. Events that occur
// in several lists, with equal stamp and process, are kept once.
func Merge(lists ...[]turmericshed.Event) []turmericshed.Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, Compare)
	return slices.CompactFunc(all, func(a, b turmericshed.Event) bool {
		return Compare(a, b) == 0 && a.Name == b.Name
	})
}

// Filter selects events. Zero fields select all.
type Filter struct {
	// ID must equal any identifier of the event: request, profile, account,
	// lot, claim, server, member, process or failure domain.
	ID string
	// Names lists the event names to keep.
	Names []turmericshed.EventName
	// From keeps events at or after this time.
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

// identifiers lists every identifier of e.
func identifiers(e turmericshed.Event) []string {
	return []string{
		string(e.Request), string(e.Profile), string(e.Account), string(e.Lot), string(e.Claim),
		string(e.Server), e.Member, e.Process, string(e.FailureDomain),
	}
}
