package tsadmit

import (
	"slices"
	"time"

	"turmericshed"
)

// usableMemory is the part of a server's token memory that is used: a server that
// holds requests beyond its memory terminates, and what other entry VMs have sent
// since its last report is not known. The least urgent class leaves memoryReserve of
// it to the more urgent ones.
const (
	usableMemory  = 0.95
	memoryReserve = 0.5
)

// FullServers returns the servers whose token memory can't hold r in addition to
// what is known to be there, unless every server that is not excluded is full.
func (s *Shedder) FullServers(now time.Time, r turmericshed.AdmitRequest, excluded []turmericshed.ServerID) []turmericshed.ServerID {
	l := s.services[r.Service]
	if l == nil || r.ServerMemory <= 0 {
		return nil
	}
	var full []turmericshed.ServerID
	hasRoom, others := false, l.othersAt(now)
	for _, x := range l.servers {
		switch {
		case slices.Contains(excluded, x.id):
		case hasMemory(x, r, l.usableMemory(r), others):
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
	others := l.othersAt(now)
	for _, x := range l.servers {
		if hasMemory(x, r, l.usableMemory(r), others) {
			return false
		}
	}
	return true
}

// minSizeSamples is the number of requests at the servers from which their mean size
// counts.
const minSizeSamples = 4

// sizeAtServers returns the assumed tokens of another entry VM's request at a server.
// Large and less urgent requests stay longer, so that the mean of those that are
// there can be above the mean of those that were sent.
func (l *serviceLoad) sizeAtServers() float64 {
	var inflight int
	var tokens turmericshed.Tokens
	for _, x := range l.servers {
		inflight += x.inflight
		tokens += x.tokens
	}
	if inflight < minSizeSamples {
		return l.size
	}
	return max(l.size, float64(tokens)/float64(inflight))
}

// othersAt returns a function that estimates the tokens of other entry VMs at a server:
// the reported requests of the assumed size. A server without a recent report is
// assumed to have as many as the others on average.
func (l *serviceLoad) othersAt(now time.Time) func(*serverLoad) float64 {
	var requests, reports int
	for _, x := range l.servers {
		if x.isRecent(now) {
			requests += x.othersReported
			reports++
		}
	}
	size, mean := l.sizeAtServers(), float64(requests)/float64(max(reports, 1))
	return func(x *serverLoad) float64 {
		if x.isRecent(now) {
			return float64(x.othersReported) * size
		}
		return mean * size
	}
}

// usableMemory returns the tokens that a server may hold, r included.
func (l *serviceLoad) usableMemory(r turmericshed.AdmitRequest) float64 {
	usable := usableMemory
	if l.classes > 1 {
		usable -= memoryReserve * float64(min(classOf(r), l.classes-1)) / float64(l.classes-1)
	}
	return usable * float64(r.ServerMemory)
}

// hasMemory reports whether a server can hold r in addition to the requests of this and
// of other entry VMs.
func hasMemory(x *serverLoad, r turmericshed.AdmitRequest, usable float64, others func(*serverLoad) float64) bool {
	return float64(x.tokens+tokensOf(r))+others(x) <= usable
}
