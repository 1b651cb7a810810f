package tsadmit

import (
	"slices"
	"time"

	"turmericshed"
)

// usableMemory is the part of a server's token memory that is used: a server that
// holds requests beyond its memory terminates, and what other entry VMs have sent
// since its last report is not known.
const usableMemory = 0.95

// FullServers returns the servers whose token memory can't hold r in addition to
// what is known to be there, unless every server that is not excluded is full.
func (s *Shedder) FullServers(now time.Time, r turmericshed.AdmitRequest, excluded []turmericshed.ServerID) []turmericshed.ServerID {
	l := s.services[r.Service]
	if l == nil || r.ServerMemory <= 0 {
		return nil
	}
	var full []turmericshed.ServerID
	hasRoom := false
	for _, x := range l.servers {
		switch {
		case slices.Contains(excluded, x.id):
		case l.hasMemory(now, x, r):
			hasRoom = true
		default:
			full = append(full, x.id)
		}
	}
	if !hasRoom {
		return nil
	}
	return full
}

// isMemoryFull reports whether no server has token memory for r.
func (l *serviceLoad) isMemoryFull(now time.Time, r turmericshed.AdmitRequest) bool {
	if r.ServerMemory <= 0 || len(l.servers) == 0 {
		return false
	}
	for _, x := range l.servers {
		if l.hasMemory(now, x, r) {
			return false
		}
	}
	return true
}

// hasMemory reports whether a server has token memory for r. The requests of other
// entry VMs are assumed to have the mean size.
func (l *serviceLoad) hasMemory(now time.Time, x *serverLoad, r turmericshed.AdmitRequest) bool {
	known := float64(x.tokens)
	if now.Sub(x.report.At) <= evidenceLife {
		known += float64(x.othersReported) * l.size
	}
	return known+float64(tokensOf(r)) <= usableMemory*float64(r.ServerMemory)
}
