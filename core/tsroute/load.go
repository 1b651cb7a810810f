package tsroute

import (
	"time"

	"turmericshed"
)

// estimatedLoad returns the expected number of requests at s, running and
// queued: those in flight from this entry VM, and those of other entry VMs
// according to the latest report.
//
// A report is a past reading that all entry VMs receive at about the same time.
// Two corrections prevent them from all reacting to it in the same way. First,
// the requests that this entry VM had in flight at the time of the reading are
// replaced by those in flight now. Second, the number of other entry VMs'
// requests moves from the reading to the mean of all candidates as the report
// ages, because an old reading says little about a single server. A server
// without a report is assumed to have the mean.
//
// Example: a report of 10 requests is half a reportLife old and was taken when
// 4 of them were from this entry VM; the mean for the others is 8. Of the 10, 6
// were from others, now 7 are expected. With 2 local requests in flight the
// estimate is 9.
func (r *Router) estimatedLoad(now time.Time, s *server, mean float64) float64 {
	return float64(s.ownLoad(now)) + r.estimatedOthers(now, s, mean)
}

// estimatedOthers returns the expected number of requests of other entry VMs at
// s.
func (r *Router) estimatedOthers(now time.Time, s *server, mean float64) float64 {
	mean *= float64(s.Slots)
	if s.reportReceivedAt.IsZero() {
		return mean
	}
	weight := 1 - float64(now.Sub(s.report.At))/float64(r.cfg.ReportLife)
	weight = min(max(weight, 0), 1)
	return weight*s.othersReported + (1-weight)*mean
}

// meanOthersPerSlot returns the reported requests of other entry VMs per slot,
// averaged over the servers with a report.
func meanOthersPerSlot(servers []*server) float64 {
	var requests, slots float64
	for _, s := range servers {
		if !s.reportReceivedAt.IsZero() {
			requests += s.othersReported
			slots += float64(s.Slots)
		}
	}
	if slots == 0 {
		return 0
	}
	return requests / slots
}

// Pressure returns the expected load per slot of the servers for a kind of work
// that are not leaving. It returns 0 without servers.
func (r *Router) Pressure(now time.Time, work turmericshed.WorkKind) float64 {
	var own, slots float64
	var counted []*server
	for _, s := range r.ordered {
		if s.Work != work || s.leaving {
			continue
		}
		counted = append(counted, s)
		own += float64(s.ownLoad(now))
		slots += float64(s.Slots)
	}
	if slots == 0 {
		return 0
	}
	return own/slots + meanOthersPerSlot(counted)
}

// Slots returns the total slots of the servers for a kind of work that are not
// leaving.
func (r *Router) Slots(work turmericshed.WorkKind) int {
	n := 0
	for _, s := range r.ordered {
		if s.Work == work && !s.leaving {
			n += s.Slots
		}
	}
	return n
}
