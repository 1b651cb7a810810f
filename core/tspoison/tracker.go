// Package tspoison finds the requests that crash the backend servers which
// run them, by the digest of their bodies.
//
// A server that goes away throws a suspicion on every request that ran on it
// there and then. A suspect runs one at a time, so that the next crash tells
// which request it is: the suspect is barred after its second crash, while the
// requests that only shared the server are cleared by their first whole
// answer. When many servers go away at once the cause is a cut and not a
// request, and the suspicions of that moment are void.
//
// # Usage
//
//	t := tspoison.NewTracker()
//	if err := t.Started(now, digest, server); err != nil { ... } // not run
//	t.Ended(now, digest, server, crashed)
//	t.Survived(now, digest) // after a whole answer
//	peer.Merge(now, t.Export(now))
//
// The package is pure; io/tsquarantine serializes access, spreads evidence
// and keeps one suspect running at a time in a whole failure domain.
package tspoison

import (
	"cmp"
	"slices"
	"time"

	"turmericshed"
)

const (
	// maxEvidenceEntries bounds the requests kept; the oldest leave first.
	maxEvidenceEntries = 4096
	// massCrashWindow and cutServers tell a cut: so many servers within the span.
	massCrashWindow  = 3 * time.Second
	massCrashServers = 4
	// suspectRetryAfter is the advice to a suspect that has to wait.
	suspectRetryAfter = 2 * time.Second
)

// Tracker holds the evidence and the running requests of one process.
type Tracker struct {
	evidence map[turmericshed.Digest]*Evidence
	// running counts the attempts by server and request.
	running map[turmericshed.ServerID]map[turmericshed.Digest]int
	recentCrashes []Crash
	// soleSuspects is the suspect that was soleSuspects alone for a server's last crash.
	soleSuspects map[turmericshed.ServerID]soleSuspect
}

type soleSuspect struct {
	digest turmericshed.Digest
	at     time.Time
}

var _ turmericshed.Quarantine = (*Tracker)(nil)

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{
		evidence: map[turmericshed.Digest]*Evidence{},
		running:  map[turmericshed.ServerID]map[turmericshed.Digest]int{},
		soleSuspects:   map[turmericshed.ServerID]soleSuspect{},
	}
}

// Check returns nil for a request that may run now, KindQuarantined for one
// that is barred, and KindOverloaded for a suspect while another runs.
func (t *Tracker) Check(now time.Time, d turmericshed.Digest) error {
	e, ok := t.evidence[d]
	if !ok || !e.Suspect(now) {
		return nil
	}
	if e.Barred(now) {
		err := turmericshed.NewError(turmericshed.KindQuarantined,
			"the request is in quarantine until %s: it coincided with %d crashes of backend servers",
			e.Until().UTC().Format(time.RFC3339), len(e.activeCrashes()))
		return turmericshed.WithRetryAfter(err, e.Until().Sub(now))
	}
	if t.isSuspectRunning(now) {
		err := turmericshed.NewError(turmericshed.KindOverloaded, "the request coincided with a crash and another such request is running")
		return turmericshed.WithRetryAfter(err, suspectRetryAfter)
	}
	return nil
}

// isSuspectRunning reports whether a suspect is running.
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

// Suspect reports whether the request may run only alone.
func (t *Tracker) Suspect(now time.Time, d turmericshed.Digest) bool {
	e, ok := t.evidence[d]
	return ok && e.Suspect(now)
}

// Started checks the request and counts it as running on a server.
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

// Ended tells that an attempt ended; crashed that the server went away. Every
// request that ran there is then suspected.
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

// recordCrash blames the requests that ran on a server. A request that was suspect
// before is blamed alone: the others merely shared the server with it.
func (t *Tracker) recordCrash(now time.Time, s turmericshed.ServerID, reporter turmericshed.Digest) {
	if b, ok := t.soleSuspects[s]; ok && now.Sub(b.at) <= sameCrashWindow {
		return
	}
	t.addRecentCrash(now, s)
	blamed := []turmericshed.Digest{reporter}
	for d := range t.running[s] {
		blamed = append(blamed, d)
	}
	// In a fixed order, so that a run can be repeated.
	slices.Sort(blamed)
	for _, d := range slices.Compact(blamed) {
		if t.Suspect(now, d) && !t.hasRecordedCrash(now, d, s) {
			t.soleSuspects[s] = soleSuspect{digest: d, at: now}
			blamed = []turmericshed.Digest{d}
			break
		}
	}
	for _, d := range blamed {
		t.get(now, d).addCrash(Crash{Server: s, At: now})
	}
	if t.isMassCrash(now) {
		t.clearMassCrash(now)
	}
}

// hasRecordedCrash reports whether the request was already blamed for this crash.
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

// isMassCrash reports whether so many servers went away at once that the cause is
// none of the requests.
func (t *Tracker) isMassCrash(now time.Time) bool {
	n := 0
	for _, c := range t.recentCrashes {
		if now.Sub(c.At) <= massCrashWindow {
			n++
		}
	}
	return n >= massCrashServers
}

// clearMassCrash voids the suspicions of a cut.
func (t *Tracker) clearMassCrash(now time.Time) {
	for _, e := range t.evidence {
		n := len(e.Crashes)
		if n > 0 && now.Sub(e.Crashes[n-1].At) <= massCrashWindow {
			e.PardonedAt, e.PardonedBy = now, "many servers went away at once"
		}
	}
}

// Survived tells that the request was answered whole, which clears it.
func (t *Tracker) Survived(now time.Time, d turmericshed.Digest) {
	if e, ok := t.evidence[d]; ok && len(e.activeCrashes()) > 0 && now.After(e.PardonedAt) {
		e.PardonedAt, e.PardonedBy = now, "answered whole"
	}
}

// Lift ends a quarantine; by tells who did. It reports whether there was one.
func (t *Tracker) Lift(now time.Time, d turmericshed.Digest, by string) bool {
	e, ok := t.evidence[d]
	if !ok || len(e.activeCrashes()) == 0 {
		return false
	}
	e.PardonedAt, e.PardonedBy = now, by
	return true
}

// get returns the evidence of a request, making room where there is none.
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

// evict removes spent evidence, and else the oldest that bars nothing.
func (t *Tracker) evict(now time.Time) {
	var oldest *Evidence
	for d, e := range t.evidence {
		if e.Spent(now) {
			delete(t.evidence, d)
			continue
		}
		if !e.Barred(now) && (oldest == nil || crashedEarlier(e, oldest)) {
			oldest = e
		}
	}
	if len(t.evidence) >= maxEvidenceEntries && oldest != nil {
		delete(t.evidence, oldest.Digest)
	}
}

// crashedEarlier orders evidence by its first crash, then by digest.
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

// Export returns the evidence that still matters, by digest.
func (t *Tracker) Export(now time.Time) []Evidence {
	var out []Evidence
	for _, e := range t.evidence {
		if !e.Spent(now) {
			out = append(out, e.clone())
		}
	}
	slices.SortFunc(out, func(a, b Evidence) int { return cmp.Compare(a.Digest, b.Digest) })
	return out
}

// Merge joins evidence of other processes and returns what was news.
func (t *Tracker) Merge(now time.Time, evidence []Evidence) []Evidence {
	var news []Evidence
	for _, e := range evidence {
		if len(e.Crashes) == 0 || e.Spent(now) {
			continue
		}
		own := t.get(now, e.Digest)
		if own.Merge(e) {
			news = append(news, own.clone())
		}
	}
	return news
}
