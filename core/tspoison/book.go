package tspoison

import (
	"cmp"
	"slices"
	"time"

	"turmericshed"
)

const (
	// terminationsToBlock is the number of consecutive server terminations during
	// a request after which the request is blocked.
	terminationsToBlock = 3
	// minTerminationSpacing is the minimum time between two terminations that count
	// separately when the request was sent to the second server before the first
	// one terminated. Servers that terminate together share a cause other than the
	// requests that all of them ran.
	minTerminationSpacing = 250 * time.Millisecond
	// baseBlockDuration is how long a request is blocked. Each further termination
	// doubles it, up to maxBlockDuration.
	baseBlockDuration = 5 * time.Minute
	maxBlockDuration  = 4 * time.Hour
	// evictionDivisor sets the fraction of the entries, 1/evictionDivisor, that is
	// evicted when the book is full.
	evictionDivisor = 8
)

// Book is the evidence, shared by the entry VMs, about requests and prompt parts
// during which backend servers terminated. Unlike a [Tracker] it does not delay
// suspects: a request is blocked once several servers terminated consecutively while
// running it, with no complete answer in between. Other requests that ran on the same
// servers are cleared by their next complete answer. Prompt parts are blocked in the
// same way, but only after [Book.Confirm].
//
// Merging is commutative and idempotent, so books converge in any order of
// updates. The zero value is an empty book. A Book is not safe for concurrent use.
type Book struct {
	evidence map[turmericshed.Digest]*Evidence
	// examined holds the number of active crashes with which a part was last examined as
	// a possible cause.
	examined map[turmericshed.Digest]int
}

// Len returns the number of requests and parts with evidence.
func (b *Book) Len() int { return len(b.evidence) }

// Ended records that server s terminated at the given time while it ran request
// d, which had been sent to it at began. It returns a copy of the request's
// evidence.
func (b *Book) Ended(began, at time.Time, d turmericshed.Digest, s turmericshed.BackendServer) Evidence {
	e := b.get(d)
	e.addCrash(Crash{Server: s.ID, Started: s.Started, Began: began, At: at})
	return e.clone()
}

// EndedPart records that server s terminated at the given time while it ran the request of
// the attempt, whose prompt has the part at the given depth. It returns a copy of the
// part's evidence.
func (b *Book) EndedPart(at time.Time, part turmericshed.Digest, depth int, a turmericshed.LostAttempt, s turmericshed.BackendServer) Evidence {
	e := b.get(part)
	e.Depth = max(e.Depth, depth)
	e.addCrash(Crash{Server: s.ID, Started: s.Started, Began: a.Began, At: at, Request: a.Request, OnlyHead: a.OnlyHead})
	return e.clone()
}

// Survived records a complete answer to the request. It reports whether this
// cleared any recorded crash.
func (b *Book) Survived(now time.Time, d turmericshed.Digest) bool {
	e, ok := b.evidence[d]
	if !ok || len(e.activeCrashes()) == 0 {
		return false
	}
	e.ClearedAt, e.ClearedBy = now, "answered whole"
	return true
}

// BlockedUntil returns the time until which the request is blocked; ok is false when
// the request may run.
func (b *Book) BlockedUntil(now time.Time, d turmericshed.Digest) (until time.Time, ok bool) {
	e, known := b.evidence[d]
	if !known {
		return time.Time{}, false
	}
	until = e.BlockedUntil()
	return until, now.Before(until)
}

// Get returns the evidence about one request.
func (b *Book) Get(d turmericshed.Digest) (Evidence, bool) {
	e, ok := b.evidence[d]
	if !ok {
		return Evidence{}, false
	}
	return e.clone(), true
}

// Merge adds evidence from other processes and returns the entries that changed.
func (b *Book) Merge(evidence []Evidence) []Evidence {
	var changed []Evidence
	for _, e := range evidence {
		local := b.get(e.Digest)
		if d := e.ClearedAt.Sub(local.ClearedAt); d > 0 && d <= sameCrashWindow && !local.ClearedAt.IsZero() {
			// The same complete answer, timestamped by another clock.
			e.ClearedAt = local.ClearedAt
		}
		if d := e.ConfirmedAt.Sub(local.ConfirmedAt); d > 0 && d <= sameCrashWindow && local.isConfirmed() {
			e.ConfirmedAt = local.ConfirmedAt
		}
		if local.Merge(e) {
			changed = append(changed, local.clone())
		}
	}
	return changed
}

// DropExpired drops expired evidence that no longer blocks its request.
func (b *Book) DropExpired(now time.Time) {
	for d, e := range b.evidence {
		last := e.ClearedAt
		if n := len(e.Crashes); n > 0 && e.Crashes[n-1].At.After(last) {
			last = e.Crashes[n-1].At
		}
		if now.Sub(last) > suspicionDuration && !now.Before(e.BlockedUntil()) {
			b.remove(d)
		}
	}
}

// remove removes the evidence about a request or part.
func (b *Book) remove(d turmericshed.Digest) {
	delete(b.evidence, d)
	delete(b.examined, d)
}

// get returns the evidence of a request. It adds an empty entry if there is none,
// and evicts others when the book is full.
func (b *Book) get(d turmericshed.Digest) *Evidence {
	if e, ok := b.evidence[d]; ok {
		return e
	}
	if b.evidence == nil {
		b.evidence = make(map[turmericshed.Digest]*Evidence)
	}
	if len(b.evidence) >= maxEvidenceEntries {
		b.evict()
	}
	e := &Evidence{Digest: d}
	b.evidence[d] = e
	return e
}

// evict drops a fraction of the evidence: first that with the fewest consecutive
// terminations, and of equal evidence that with the oldest last crash. A caller that
// names many parts adds evidence with one termination each, which evicts no other.
func (b *Book) evict() {
	type entry struct {
		digest       turmericshed.Digest
		terminations int
		last         time.Time
	}
	entries := make([]entry, 0, len(b.evidence))
	for d, e := range b.evidence {
		entries = append(entries, entry{d, min(e.consecutiveTerminations(), terminationsToBlock), e.lastCrashAt()})
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.terminations, b.terminations), a.last.Compare(b.last), cmp.Compare(a.digest, b.digest))
	})
	for _, e := range entries[:len(entries)/evictionDivisor] {
		b.remove(e.digest)
	}
}

// lastCrashAt returns the time of the last crash; zero if there is none.
func (e *Evidence) lastCrashAt() time.Time {
	if len(e.Crashes) == 0 {
		return time.Time{}
	}
	return e.Crashes[len(e.Crashes)-1].At
}

// consecutiveTerminations counts the terminations since the last complete answer.
// Terminations that occurred together count once.
func (e *Evidence) consecutiveTerminations() int { return countTerminations(e.activeCrashes()) }

// countTerminations counts crashes, sorted by time. Those that occurred together count
// once.
func countTerminations(crashes []Crash) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		after := !c.Began.IsZero() && !c.Began.Before(last)
		if n == 0 || after || c.At.Sub(last) >= minTerminationSpacing {
			n++
			last = c.At
		}
	}
	return n
}

// BlockedUntil returns the time until which consecutive terminations block the request
// or part; zero when there are too few of them, or a part is not confirmed.
func (e *Evidence) BlockedUntil() time.Time {
	n := e.consecutiveTerminations()
	if e.Depth == 0 && n < terminationsToBlock || e.Depth > 0 && (n == 0 || !e.isConfirmed()) {
		return time.Time{}
	}
	d := baseBlockDuration
	for range n - terminationsToBlock {
		d = min(d*2, maxBlockDuration)
	}
	return e.lastCrashAt().Add(d)
}

// Export returns the evidence of the given requests, sorted by digest.
func (b *Book) Export(digests []turmericshed.Digest) []Evidence {
	var out []Evidence
	for _, d := range digests {
		if e, ok := b.evidence[d]; ok {
			out = append(out, e.clone())
		}
	}
	slices.SortFunc(out, func(a, b Evidence) int { return cmp.Compare(a.Digest, b.Digest) })
	return out
}

// BlockedCount returns the numbers of blocked requests and prompt parts.
func (b *Book) BlockedCount(now time.Time) (requests, parts int) {
	for _, e := range b.evidence {
		switch {
		case !now.Before(e.BlockedUntil()):
		case e.Depth > 0:
			parts++
		default:
			requests++
		}
	}
	return requests, parts
}
