package tsadmit

import (
	"math"
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
	// memoryBand is the part of the memory over which the refused share rises.
	memoryBand = 0.15
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
		case hasMemory(x, r, usableMemory*float64(r.ServerMemory), others):
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

// memoryShare returns the refused share of requests like r because of the servers'
// memory: it rises to 1 as the memory that the emptiest server would use, r included,
// rises to what it may use. The same position on the circle decides as for other shares,
// so that a repeat at another entry VM gains nothing.
func (l *serviceLoad) memoryShare(now time.Time, r turmericshed.AdmitRequest) float64 {
	if r.ServerMemory <= 0 || len(l.servers) == 0 {
		return 0
	}
	others, least := l.meanOthers(now)*l.sizeAtServers(), math.Inf(1)
	for _, x := range l.servers {
		least = min(least, float64(x.tokens+tokensOf(r))+others)
	}
	band := memoryBand * float64(r.ServerMemory)
	return min(max((least-l.usableMemory(now, r)+band)/band, 0), 1)
}

// serverReportLife is the age from which a report says nothing about a single server.
const serverReportLife = 800 * time.Millisecond

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
// the reported requests of the assumed size. As a report ages, its number moves to the
// mean of all servers, as in tsroute: otherwise all entry VMs send to the server that
// an old report shows with room.
func (l *serviceLoad) othersAt(now time.Time) func(*serverLoad) float64 {
	size, mean := l.sizeAtServers(), l.meanOthers(now)
	return func(x *serverLoad) float64 {
		if !x.isRecent(now) {
			return mean * size
		}
		age := max(now.Sub(x.report.At), 0)
		weight := max(1-float64(age)/float64(serverReportLife), 0)
		return (weight*float64(x.othersReported) + (1-weight)*mean) * size
	}
}

// meanOthers returns the mean number of requests of other entry VMs at the servers with
// a recent report.
func (l *serviceLoad) meanOthers(now time.Time) float64 {
	var requests, reports int
	for _, x := range l.servers {
		if x.isRecent(now) {
			requests += x.othersReported
			reports++
		}
	}
	return float64(requests) / float64(max(reports, 1))
}

// Up to fewWaiting waiting requests per server, no memory is reserved for more urgent
// classes; from manyWaiting on, all of the reserve is.
const (
	fewWaiting  = 1.0
	manyWaiting = 4.0
)

// usableMemory returns the tokens that a server may hold, r included. The reserve for
// more urgent classes grows with the number of waiting requests per server.
func (l *serviceLoad) usableMemory(now time.Time, r turmericshed.AdmitRequest) float64 {
	usable := usableMemory
	if l.classes > 1 {
		e := l.evidence(now)
		waiting := (float64(e.queued)/float64(max(e.servers, 1)) - fewWaiting) / (manyWaiting - fewWaiting)
		waiting = min(max(waiting, 0), 1)
		usable -= waiting * memoryReserve * float64(min(classOf(r), l.classes-1)) / float64(l.classes-1)
	}
	return usable * float64(r.ServerMemory)
}

// hasMemory reports whether a server can hold r in addition to the requests of this and
// of other entry VMs.
func hasMemory(x *serverLoad, r turmericshed.AdmitRequest, usable float64, others func(*serverLoad) float64) bool {
	return float64(x.tokens+tokensOf(r))+others(x) <= usable
}
