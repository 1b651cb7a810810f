// Package tspoison identifies requests that crash the backend servers which run
// them. A request is identified by the digest of its body.
//
// When a server crashes, every request that was running on it becomes a suspect.
// Suspects run one at a time, so that the next crash can be attributed to one
// request: a suspect is quarantined after its second crash, while requests that
// only shared the server are cleared by their first complete answer. When many
// servers crash at once, the cause is an outage rather than a request, and the
// suspicions raised by it are cleared.
//
// # Usage
//
//	t := tspoison.NewTracker()
//	if err := t.Started(now, digest, server); err != nil { ... } // not run
//	t.Ended(now, digest, server, crashed)
//	t.Survived(now, digest) // after a complete answer
//	peer.Merge(now, t.Export(now))
//
// The package performs no I/O. Package io/tsquarantine serializes access, shares
// the evidence between processes, and limits each failure domain to one running
// suspect.
package tspoison

import (
	"cmp"
	"slices"
	"time"

	"turmericshed"
)

const (
	// maxEvidenceEntries bounds the requests with evidence; the oldest are evicted
	// first.
	maxEvidenceEntries = 4096
	// Crashes of massCrashServers servers within massCrashWindow are an outage that
	// no single request caused.
	massCrashWindow  = 3 * time.Second
	massCrashServers = 4
	// suspectRetryAfter is the Retry-After hint for a suspect that is refused
	// because another one is running.
	suspectRetryAfter = 2 * time.Second
)

// Tracker holds the evidence and the running requests of one process.
type Tracker struct {
	evidence map[turmericshed.Digest]*Evidence
	// running counts the active attempts by server and request.
	running       map[turmericshed.ServerID]map[turmericshed.Digest]int
	recentCrashes []Crash
	// soleSuspects holds, for each server, the request to which its last crash was
	// attributed exclusively.
	soleSuspects map[turmericshed.ServerID]soleSuspect
}

type soleSuspect struct {
	digest turmericshed.Digest
	at     time.Time
}

var _ turmericshed.Quarantine = (*Tracker)(nil)

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		evidence:     map[turmericshed.Digest]*Evidence{},
		running:      map[turmericshed.ServerID]map[turmericshed.Digest]int{},
		soleSuspects: map[turmericshed.ServerID]soleSuspect{},
	}
}

// Check returns nil for a request that may run now, KindQuarantined for one in
// quarantine, and KindOverloaded for a suspect while another suspect runs.
func (t *Tracker) Check(now time.Time, d turmericshed.Digest) error {
	e, ok := t.evidence[d]
	if !ok || !e.Suspect(now) {
		return nil
	}
	if e.IsQuarantined(now) {
		err := turmericshed.NewError(turmericshed.KindQuarantined,
			"the request is in quarantine until %s: it coincided with %d crashes of backend servers",
			e.QuarantinedUntil().UTC().Format(time.RFC3339), len(e.activeCrashes()))
		return turmericshed.WithRetryAfter(err, e.QuarantinedUntil().Sub(now))
	}
	if t.isSuspectRunning(now) {
		err := turmericshed.NewError(turmericshed.KindOverloaded, "the request coincided with a crash and another such request is running")
		return turmericshed.WithRetryAfter(err, suspectRetryAfter)
	}
	return nil
}

func (t *Tracker) isSuspectRunning(now time.Time) bool {
	for _, digests := range t.running {
		for d := range digests {
			if e, ok := t.evidence[d]; ok && e.Suspect(now) {
				return true
			}
		}
	}
	return false
}

// Suspect reports whether the request may run only while no other suspect runs.
func (t *Tracker) Suspect(now time.Time, d turmericshed.Digest) bool {
	e, ok := t.evidence[d]
	return ok && e.Suspect(now)
}

// Started checks the request and, if it may run, counts it as running on the
// server. Errors: those of Check.
func (t *Tracker) Started(now time.Time, d turmericshed.Digest, s turmericshed.ServerID) error {
	if err := t.Check(now, d); err != nil {
		return err
	}
	if t.running[s] == nil {
		t.running[s] = map[turmericshed.Digest]int{}
	}
	t.running[s][d]++
	return nil
}

// Ended records the end of an attempt. crashed means that the server crashed,
// which makes every request that was running on it a suspect.
func (t *Tracker) Ended(now time.Time, d turmericshed.Digest, s turmericshed.ServerID, crashed bool) {
	if crashed {
		t.recordCrash(now, s, d)
	}
	if n := t.running[s][d]; n > 1 {
		t.running[s][d] = n - 1
		return
	}
	delete(t.running[s], d)
	if len(t.running[s]) == 0 {
		delete(t.running, s)
	}
}

// recordCrash attributes the crash of a server to the requests that were running
// on it. If one of them was already a suspect, the crash is attributed to it only:
// the others merely shared the server with it.
func (t *Tracker) recordCrash(now time.Time, s turmericshed.ServerID, reporter turmericshed.Digest) {
	if b, ok := t.soleSuspects[s]; ok && now.Sub(b.at) <= sameCrashWindow {
		return
	}
	t.addRecentCrash(now, s)
	suspects := []turmericshed.Digest{reporter}
	for d := range t.running[s] {
		suspects = append(suspects, d)
	}
	// Sorted, so that runs are reproducible whatever the iteration order of maps.
	slices.Sort(suspects)
	for _, d := range slices.Compact(suspects) {
		if t.Suspect(now, d) && !t.hasRecordedCrash(now, d, s) {
			t.soleSuspects[s] = soleSuspect{digest: d, at: now}
			suspects = []turmericshed.Digest{d}
			break
		}
	}
	for _, d := range suspects {
		t.get(now, d).addCrash(Crash{Server: s, At: now})
	}
	if t.isMassCrash(now) {
		t.clearMassCrash(now)
	}
}

// hasRecordedCrash reports whether this crash is already attributed to the request.
func (t *Tracker) hasRecordedCrash(now time.Time, d turmericshed.Digest, s turmericshed.ServerID) bool {
	for _, c := range t.evidence[d].Crashes {
		if c.Server == s && now.Sub(c.At).Abs() <= sameCrashWindow {
			return true
		}
	}
	return false
}

func (t *Tracker) addRecentCrash(now time.Time, s turmericshed.ServerID) {
	t.recentCrashes = slices.DeleteFunc(t.recentCrashes, func(c Crash) bool {
		return c.Server == s || now.Sub(c.At) > massCrashWindow
	})
	t.recentCrashes = append(t.recentCrashes, Crash{Server: s, At: now})
	for server, b := range t.soleSuspects {
		if now.Sub(b.at) > sameCrashWindow {
			delete(t.soleSuspects, server)
		}
	}
}

// isMassCrash reports whether so many servers crashed within massCrashWindow that
// none of the requests can be the cause.
func (t *Tracker) isMassCrash(now time.Time) bool {
	n := 0
	for _, c := range t.recentCrashes {
		if now.Sub(c.At) <= massCrashWindow {
			n++
		}
	}
	return n >= massCrashServers
}

// clearMassCrash clears the requests that became suspects in a mass crash.
func (t *Tracker) clearMassCrash(now time.Time) {
	for _, e := range t.evidence {
		n := len(e.Crashes)
		if n > 0 && now.Sub(e.Crashes[n-1].At) <= massCrashWindow {
			e.ClearedAt, e.ClearedBy = now, "many servers went away at once"
		}
	}
}

// Survived records a complete answer to the request, which clears it.
func (t *Tracker) Survived(now time.Time, d turmericshed.Digest) {
	if e, ok := t.evidence[d]; ok && len(e.activeCrashes()) > 0 && now.After(e.ClearedAt) {
		e.ClearedAt, e.ClearedBy = now, "answered whole"
	}
}

// Lift clears the request on behalf of the operator named by. It reports whether
// there was any crash to clear.
func (t *Tracker) Lift(now time.Time, d turmericshed.Digest, by string) bool {
	e, ok := t.evidence[d]
	if !ok || len(e.activeCrashes()) == 0 {
		return false
	}
	e.ClearedAt, e.ClearedBy = now, by
	return true
}

// get returns the evidence of a request. It adds an empty entry if there is none,
// and evicts others when the tracker is full.
func (t *Tracker) get(now time.Time, d turmericshed.Digest) *Evidence {
	if e, ok := t.evidence[d]; ok {
		return e
	}
	if len(t.evidence) >= maxEvidenceEntries {
		t.evict(now)
	}
	e := &Evidence{Digest: d}
	t.evidence[d] = e
	return e
}

// evict removes expired evidence. If the tracker is still full, it also removes
// the oldest evidence of a request that is not in quarantine.
func (t *Tracker) evict(now time.Time) {
	var oldest *Evidence
	for d, e := range t.evidence {
		if e.IsExpired(now) {
			delete(t.evidence, d)
			continue
		}
		if !e.IsQuarantined(now) && (oldest == nil || crashedEarlier(e, oldest)) {
			oldest = e
		}
	}
	if len(t.evidence) >= maxEvidenceEntries && oldest != nil {
		delete(t.evidence, oldest.Digest)
	}
}

// crashedEarlier reports whether a precedes b by the time of the first crash, then
// by digest.
func crashedEarlier(a, b *Evidence) bool {
	return cmp.Or(a.Crashes[0].At.Compare(b.Crashes[0].At), cmp.Compare(a.Digest, b.Digest)) < 0
}

// Get returns the evidence about one request.
func (t *Tracker) Get(d turmericshed.Digest) (Evidence, bool) {
	e, ok := t.evidence[d]
	if !ok {
		return Evidence{}, false
	}
	return e.clone(), true
}

func (e *Evidence) clone() Evidence {
	c := *e
	c.Crashes = slices.Clone(e.Crashes)
	return c
}

// Export returns the evidence that has not expired, sorted by digest.
func (t *Tracker) Export(now time.Time) []Evidence {
	var out []Evidence
	for _, e := range t.evidence {
		if !e.IsExpired(now) {
			out = append(out, e.clone())
		}
	}
	slices.SortFunc(out, func(a, b Evidence) int { return cmp.Compare(a.Digest, b.Digest) })
	return out
}

// Merge adds evidence from other processes and returns the entries that changed.
func (t *Tracker) Merge(now time.Time, evidence []Evidence) []Evidence {
	var changed []Evidence
	for _, e := range evidence {
		if len(e.Crashes) == 0 || e.IsExpired(now) {
			continue
		}
		local := t.get(now, e.Digest)
		if local.Merge(e) {
			changed = append(changed, local.clone())
		}
	}
	return changed
}
