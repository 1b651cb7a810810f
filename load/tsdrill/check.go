package tsdrill

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"turmericshed"
)

const (
	// maxViolations bounds the violations that a report describes.
	maxViolations = 20
	// freeCrashes is the number of crashes after which a part must be known within
	// contactTimeout, and maxLateArrivals how many requests with it may reach a server
	// later than that.
	freeCrashes     = 5
	maxLateArrivals = 3
	// recoveryTime is the time after the last failure from which callers must be served,
	// and minServedShare the part of their requests.
	recoveryTime   = settleTime
	minServedShare = 0.9
	// minResumed is the number of resumed streams from which their share is checked.
	minResumed = 12
	// A request that was sent up to lateSend after SIGTERM may be cut off if its server
	// is still at work later than lateAtWork after it.
	lateAtWork = gracePeriod * 5 / 6
	lateSend   = 3 * time.Second
)

// violate records a broken promise.
func (d *drill) violate(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violateLocked(format, args...)
}

// violateLocked is violate with d.mu held.
func (d *drill) violateLocked(format string, args ...any) {
	if len(d.report.Violations) < maxViolations {
		d.report.Violations = append(d.report.Violations, fmt.Sprintf(format, args...))
	}
}

// check checks the promises on the records of the whole run.
func (d *drill) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkParts()
	d.checkBudget()
	d.checkResumed()
	served, owed := 0, 0
	for _, q := range d.requests {
		d.checkAnswer(q)
		d.checkPromise(q)
		d.checkCutOff(q)
		if q.deadly || q.isSmall || q.sentAt.Before(d.faultsUntil.Add(recoveryTime)) {
			continue
		}
		owed++
		if q.err == nil && (q.status == http.StatusOK || q.kind == askNoRoute && q.status == http.StatusNotFound) {
			served++
		}
	}
	if float64(served) < minServedShare*float64(owed) {
		d.violateLocked("recovery: %d of %d requests were served later than %s after the last failure", served, owed, recoveryTime)
	}
}

// checkParts checks that requests with the deadly part stopped reaching servers.
func (d *drill) checkParts() {
	var crashes, arrivals []time.Time
	for _, e := range d.servers.allEngines() {
		crashes, arrivals = append(crashes, e.CrashTimes()...), append(arrivals, e.CrashPartArrivals()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	slices.SortFunc(arrivals, time.Time.Compare)
	d.report.ServerCrashes, d.report.DeadlyArrivals = len(crashes), len(arrivals)
	if len(arrivals) < freeCrashes {
		return
	}
	late := 0
	for _, at := range arrivals {
		// An entry VM that stood still sends what it has at hand when it goes on.
		if at.After(arrivals[freeCrashes-1].Add(contactTimeout)) && !d.wasAnyOutOfStep(at) {
			late++
		}
	}
	if late > maxLateArrivals {
		d.violateLocked("budget: %d of %d requests with a deadly part reached servers later than %s after the fifth", late, len(arrivals), contactTimeout)
	}
}

// wasAnyOutOfStep reports whether a process was out of step up to contactTimeout before a time.
func (d *drill) wasAnyOutOfStep(at time.Time) bool {
	return slices.ContainsFunc(d.requests, func(q request) bool { return q.process.wasOutOfStep(at, at) })
}

// checkBudget checks that servers handed out no more tokens than each account prepaid.
func (d *drill) checkBudget() {
	used := map[bool]int{}
	for _, q := range d.requests {
		if (q.kind != askStream && q.kind != askOnce) || d.servers.runs(q.id) == 0 {
			continue
		}
		if q.resumes == "" {
			used[q.isSmall] += promptTokens
		}
		used[q.isSmall] += strings.Count(q.body, "id: ") * tokensPerEvent
	}
	d.report.SmallUsed = used[true]
	for isSmall, limit := range map[bool]int{false: prepaid, true: smallPrepaid} {
		if used[isSmall] > limit {
			d.violateLocked("budget: %d tokens were used, %d are prepaid", used[isSmall], limit)
		}
	}
}

// checkAnswer checks that a successful answer is complete and belongs to its request, and
// that nothing is refused that must be served.
func (d *drill) checkAnswer(q request) {
	if strings.Contains(q.body, turmericshed.KindQuarantined.String()) && !q.deadly {
		d.violateLocked("quarantine: a request without a deadly part was refused: %s", q.id)
	}
	if v := softwareVersions(q.received + wholeEvents(q.body)); len(v) > 1 {
		d.violateLocked("stream: %s, which resumes %q, has events of %q", q.id, q.resumes, v)
	}
	if q.err != nil {
		return
	}
	isStream := q.kind == askStream || q.kind == askOnce
	switch {
	case q.kind == askNoRoute && (q.status == http.StatusNotFound || q.status == http.StatusServiceUnavailable):
	case q.status == http.StatusOK && isStream && !isWholeStream(q.received+q.body):
		d.violateLocked("stream: %s, which resumes %q, got %q after %q", q.id, q.resumes, q.body, q.received)
	case q.status == http.StatusOK && !isStream && q.body != "answer to "+q.id:
		d.violateLocked("answer: %s got %q", q.id, q.body)
	case q.status == http.StatusPaymentRequired && q.isSmall:
	case q.status == http.StatusNotFound && q.process.wasOutOfStep(q.sentAt.Add(-applyTimeout), q.endedAt):
		// It may not know of the route yet.
	case q.status == http.StatusNotFound, q.status == http.StatusUnauthorized, q.status == http.StatusPaymentRequired, q.status == http.StatusForbidden:
		d.violateLocked("desired state: %s got status %d", q.id, q.status)
	}
}

// isWholeStream reports whether the text is a complete stream of one software version.
func isWholeStream(text string) bool {
	versions := softwareVersions(text)
	if len(versions) != 1 {
		return false
	}
	var want strings.Builder
	for n := range streamEvents {
		_, _ = fmt.Fprintf(&want, "id: %[1]d\ndata: piece %[1]d of %[2]s\n\n", n+1, versions[0])
	}
	return text == want.String()
}

// softwareVersions returns the versions that the events of a stream name.
func softwareVersions(text string) (versions []string) {
	for _, event := range strings.Split(text, "\n\n") {
		if _, v, ok := strings.Cut(event, " of "); ok && !slices.Contains(versions, v) {
			versions = append(versions, v)
		}
	}
	return versions
}

// served counts requests, and those of them that were served.
type served struct{ asked, served int }

func (s *served) count(q request) {
	s.asked++
	if q.status == http.StatusOK {
		s.served++
	}
}

// checkResumed checks that streams which callers resume go on at least half as often as new ones begin,
// at entry VMs that run undisturbed.
func (d *drill) checkResumed() {
	var begun, resumed served
	for _, q := range d.requests {
		if q.deadly || q.isSmall || q.kind != askStream {
			continue
		}
		if q.resumes != "" {
			d.report.Resumed++
			if q.status == http.StatusOK {
				d.report.WentOn++
			}
		}
		switch {
		case !q.process.isUndisturbed(q.sentAt, q.endedAt):
		case q.resumes != "":
			resumed.count(q)
		case q.endedAt.After(d.plannedUntil):
			begun.count(q)
		}
	}
	if resumed.asked >= minResumed && resumed.served*begun.asked*2 < begun.served*resumed.asked {
		d.violateLocked("resumed: %d of %d streams went on, while %d of %d new ones began", resumed.served, resumed.asked, begun.served, begun.asked)
	}
}

// checkPromise checks that requests which may not be repeated ran at most once, and that
// those refused as not run did not run.
func (d *drill) checkPromise(q request) {
	runs := d.servers.runs(q.id)
	if (q.kind == askOnce || q.kind == askBooking) && runs > 1 {
		d.violateLocked("at most once: %s ran %d times", q.id, runs)
	}
	if runs > 0 && q.err == nil && (q.status == http.StatusServiceUnavailable || q.status == http.StatusTooManyRequests) {
		d.violateLocked("not run: %s got status %d and ran %d times", q.id, q.status, runs)
	}
}

// checkCutOff checks that no answer was cut off by planned work in the first phase: a
// server may be at work late in the grace period only on a request that came early.
func (d *drill) checkCutOff(q request) {
	if q.err == nil || q.endedAt.After(d.plannedUntil) {
		return
	}
	p := q.process
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.kind == askNoRoute && p.stoppedAt.IsZero() {
		d.violateLocked("refusal: %s got no answer within %s: %v", q.id, q.endedAt.Sub(q.sentAt).Round(time.Millisecond), q.err)
	}
	if d.servers.runs(q.id) == 0 {
		return
	}
	if !p.stoppedAt.IsZero() && q.endedAt.Sub(p.stoppedAt) >= lateAtWork && q.sentAt.Sub(p.stoppedAt) <= lateSend {
		return
	}
	d.violateLocked("cut off: %s, sent %s after the stop began, was passed on and ended after %s: %v",
		q.id, q.sentAt.Sub(p.stoppedAt).Round(time.Millisecond), q.endedAt.Sub(q.sentAt).Round(time.Millisecond), q.err)
}
