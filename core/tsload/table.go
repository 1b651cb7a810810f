// Package tsload merges the load readings that entry VMs take from the answers of backend
// servers, and decides which of them are worth sending to whom. It does no I/O: the caller
// provides time and serializes access.
//
// Load pattern: 62 to 300 entry VMs in front of 64 to 140 servers. Each entry VM hears from
// each server once in 17 s, but a reading is useful for 0.8 s only.
//
// # Usage
//
//	t := tsload.NewTable()
//	t.Take(now, report)                        // from an answer to this entry VM
//	readings, seen := t.Since(now, 0, "vm-2")  // for another entry VM
//	t.Merge(now, "vm-2", readings)             // from another entry VM
//	reports := t.Reports()                     // what others read, for the router
//	digest := thinner.Thin(now, t.Local(now))  // for another failure domain
//
// Readings are hints. A lost, late or repeated one only makes the choice of a server less
// precise.
package tsload

import (
	"math"
	"time"

	"turmericshed"
)

const (
	// Life is the age from which a reading is no longer sent. Routers ignore it then.
	Life = 800 * time.Millisecond
	// sameReading is the distance of two readings of a server up to which they count as
	// one that came by two ways. Ages are rounded and lack the time on the wire, so the
	// copies differ by some milliseconds.
	sameReading = 20 * time.Millisecond
	// maxServers bounds the servers of a table. The largest deployment has 140.
	maxServers = 1024
	// maxCount and maxWorkTime bound the values of a reading from another entry VM.
	maxCount    = 1 << 20
	maxWorkTime = 1e4
)

// Table holds the latest reading of each server, and who sent it.
type Table struct {
	entries map[turmericshed.ServerID]entry
	// lastSeq numbers the changes of the table.
	lastSeq uint64
}

// entry is the latest reading of one server.
type entry struct {
	turmericshed.LoadReport
	// from is the entry VM that sent the reading, empty if this one took it.
	from string
	// isDistant is true if the reading came from another failure domain.
	isDistant bool
	seq       uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[turmericshed.ServerID]entry)} }

// Take adds a reading of this entry VM.
func (t *Table) Take(now time.Time, r turmericshed.LoadReport) {
	t.put(now, entry{LoadReport: r})
}

// Merge adds readings from an entry VM of this failure domain and returns how many were
// new. Those that are malformed, late or known are ignored.
func (t *Table) Merge(now time.Time, from string, readings []turmericshed.LoadReport) int {
	return t.merge(now, from, readings, false)
}

// MergeDigest is Merge for readings from another failure domain, which are not sent on to
// further ones.
func (t *Table) MergeDigest(now time.Time, from string, readings []turmericshed.LoadReport) int {
	return t.merge(now, from, readings, true)
}

func (t *Table) merge(now time.Time, from string, readings []turmericshed.LoadReport, isDistant bool) int {
	n := 0
	for _, r := range readings {
		r.Relayed = true
		if IsValid(now, r) && t.put(now, entry{LoadReport: r, from: from, isDistant: isDistant}) {
			n++
		}
	}
	return n
}

// put stores e if it is a newer reading than the known one.
func (t *Table) put(now time.Time, e entry) bool {
	old, known := t.entries[e.Server]
	if known && e.At.Sub(old.At) <= sameReading && (e.from != "" || !e.At.After(old.At)) {
		return false
	}
	if !known && len(t.entries) >= maxServers {
		t.drop(now)
		if len(t.entries) >= maxServers {
			return false
		}
	}
	t.lastSeq++
	e.seq = t.lastSeq
	t.entries[e.Server] = e
	return true
}

// drop removes the readings that are no longer sent.
func (t *Table) drop(now time.Time) {
	for id, e := range t.entries {
		if now.Sub(e.At) >= Life {
			delete(t.entries, id)
		}
	}
}

// Since returns the readings that are useful to an entry VM of this failure domain: those
// put after the change seen, still young, and not from that entry VM. last is the value of
// seen for the next call.
func (t *Table) Since(now time.Time, seen uint64, to string) (readings []turmericshed.LoadReport, last uint64) {
	for _, e := range t.entries {
		if e.seq > seen && e.from != to && now.Sub(e.At) < Life {
			readings = append(readings, e.LoadReport)
		}
	}
	return readings, t.lastSeq
}

// Local returns the young readings that were taken in this failure domain.
func (t *Table) Local(now time.Time) []turmericshed.LoadReport {
	var readings []turmericshed.LoadReport
	for _, e := range t.entries {
		if !e.isDistant && now.Sub(e.At) < Life {
			readings = append(readings, e.LoadReport)
		}
	}
	return readings
}

// RelayedSince returns the readings of other entry VMs that were put after the change seen.
func (t *Table) RelayedSince(seen uint64) (readings []turmericshed.LoadReport, last uint64) {
	for _, e := range t.entries {
		if e.seq > seen && e.from != "" {
			readings = append(readings, e.LoadReport)
		}
	}
	return readings, t.lastSeq
}

// Last returns the number of the last change.
func (t *Table) Last() uint64 { return t.lastSeq }

// Young returns the number of servers with a reading that is useful.
func (t *Table) Young(now time.Time) int {
	n := 0
	for _, e := range t.entries {
		if now.Sub(e.At) < Life {
			n++
		}
	}
	return n
}

// IsValid reports whether a reading of another entry VM has plausible values and is young.
func IsValid(now time.Time, r turmericshed.LoadReport) bool {
	inRange := func(n int) bool { return n >= 0 && n <= maxCount }
	return r.Server != "" && !r.At.After(now) && now.Sub(r.At) < Life &&
		inRange(r.Running) && inRange(r.Queued) &&
		!math.IsNaN(r.WorkTime) && r.WorkTime >= 0 && r.WorkTime <= maxWorkTime
}
