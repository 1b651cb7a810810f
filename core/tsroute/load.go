package tsroute

import (
	"time"

	"turmericshed"
)

// estimatedLoad returns the expected requests at s, running and queued: our own in
// flight, and those of the other entry VMs as far as the last report tells.
//
// A report is a reading from the past that every entry VM sees at about the
// same time. Two corrections keep them from all acting on it alike. What we
// had in flight when the reading was taken is subtracted and replaced by what
// we have now. And the part of the others moves with the report's age from
// what was read towards the mean of all candidates, since a reading that is
// old tells little about one server. A server without a report counts as the
// mean.
//
// Example: a report of 10 that is half a reportLife old, taken when 4 were
// ours, and a mean of 8 for the others: 6 of 10 were theirs, now 7 are
// expected; with 2 of ours in flight the estimatedLoad is 9.
func (r *Router) estimatedLoad(now time.Time, s *server, mean float64) float64 {
	return float64(s.ownLoad(now)) + r.estimatedOthers(now, s, mean)
}

// estimatedOthers returns the expected requests of the other entry VMs at s.
func (r *Router) estimatedOthers(now time.Time, s *server, mean float64) float64 {
	mean *= float64(s.Slots)
	if s.reportReceivedAt.IsZero() {
		return mean
	}
	weight := 1 - float64(now.Sub(s.report.At))/float64(r.cfg.ReportLife)
	weight = min(max(weight, 0), 1)
	return weight*s.othersReported + (1-weight)*mean
}

// meanOthersPerSlot returns the reported requests of others per slot, over the
// servers that were heard of.
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

// Pressure returns the expected load per slot of the servers for a kind of
// work that are not leaving; 0 without servers.
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

// Slots returns the slots of the servers for a kind of work that are not
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
