package tspoison

import (
	"cmp"
	"slices"
	"time"

	"turmericshed"
)

const (
	// terminationsToBlock is the number of servers that end in turn under a request
	// before it is barred.
	terminationsToBlock = 3
	// minTerminationSpacing is the least time between two ends that count as two where the
	// request had been sent to the second server before the first one ended:
	// servers that end together have a cause in common, which is none of the
	// requests that all of them ran.
	minTerminationSpacing = 250 * time.Millisecond
	// baseBlockDuration is how long a request is barred; each further end doubles it, up to
	// barMax.
	baseBlockDuration = 5 * time.Minute
	maxBlockDuration = 4 * time.Hour
	// evictionDivisor of the evidence is dropped when there is too much.
	evictionDivisor = 8
)

// Book is what entry VMs together know of requests under which backend servers
// ended. Unlike a [Tracker] it holds nobody back for a suspicion: a request is
// barred once servers ended under it in turn, with no whole answer in between.
// Requests that shared a server with it are cleared by their next whole answer.
//
// Books merge to the same in any order. The zero value is an empty book. It is
// not safe for concurrent use.
type Book struct {
	evidence map[turmericshed.Digest]*Evidence
}

// Len returns the number of requests with evidence.
func (b *Book) Len() int { return len(b.evidence) }

// Ended notes that a server ended at a time while a request ran there that was
// sent at began.
func (b *Book) Ended(began, at time.Time, d turmericshed.Digest, s turmericshed.BackendServer) Evidence {
	e := b.get(d)
	e.addCrash(Crash{Server: s.ID, Started: s.Started, Began: began, At: at})
	return e.clone()
}

// Survived notes that the request was answered whole. It reports whether that
// cleared it of anything.
func (b *Book) Survived(now time.Time, d turmericshed.Digest) bool {
	e, ok := b.evidence[d]
	if !ok || len(e.activeCrashes()) == 0 {
		return false
	}
	e.PardonedAt, e.PardonedBy = now, "answered whole"
	return true
}

// Barred returns until when the request may not run; ok is false when it may.
func (b *Book) Barred(now time.Time, d turmericshed.Digest) (until time.Time, ok bool) {
	e, known := b.evidence[d]
	if !known {
		return time.Time{}, false
	}
	until = e.BarredUntil()
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

// Merge joins evidence of other processes and returns what was news.
func (b *Book) Merge(evidence []Evidence) []Evidence {
	var news []Evidence
	for _, e := range evidence {
		own := b.get(e.Digest)
		if d := e.PardonedAt.Sub(own.PardonedAt); d > 0 && d <= sameCrashWindow && !own.PardonedAt.IsZero() {
			// The same one, told by another clock.
			e.PardonedAt = own.PardonedAt
		}
		if own.Merge(e) {
			news = append(news, own.clone())
		}
	}
	return news
}

// Forget drops what bars nothing any more.
func (b *Book) Forget(now time.Time) {
	for d, e := range b.evidence {
		last := e.PardonedAt
		if n := len(e.Crashes); n > 0 && e.Crashes[n-1].At.After(last) {
			last = e.Crashes[n-1].At
		}
		if now.Sub(last) > suspicionDuration && !now.Before(e.BarredUntil()) {
			delete(b.evidence, d)
		}
	}
}

// get returns the evidence of a request, making room where there is none.
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

// evict drops a part of the evidence: what is not barred first, then by how
// long ago a server last ended.
func (b *Book) evict() {
	type entry struct {
		digest turmericshed.Digest
		barred bool
		last   time.Time
	}
	entries := make([]entry, 0, len(b.evidence))
	for d, e := range b.evidence {
		entries = append(entries, entry{d, e.consecutiveTerminations() >= terminationsToBlock, e.lastCrashAt()})
	}
	slices.SortFunc(entries, func(a, b entry) int {
		if a.barred != b.barred {
			if a.barred {
				return 1
			}
			return -1
		}
		return cmp.Or(a.last.Compare(b.last), cmp.Compare(a.digest, b.digest))
	})
	for _, e := range entries[:len(entries)/evictionDivisor] {
		delete(b.evidence, e.digest)
	}
}

// lastCrashAt returns when a server lastCrashAt ended under the request.
func (e *Evidence) lastCrashAt() time.Time {
	if len(e.Crashes) == 0 {
		return time.Time{}
	}
	return e.Crashes[len(e.Crashes)-1].At
}

// consecutiveTerminations counts the ends since the last whole answer, those that came together
// once.
func (e *Evidence) consecutiveTerminations() int {
	n := 0
	var last time.Time
	for _, c := range e.activeCrashes() {
		after := !c.Began.IsZero() && !c.Began.Before(last)
		if n == 0 || after || c.At.Sub(last) >= minTerminationSpacing {
			n++
			last = c.At
		}
	}
	return n
}

// BarredUntil returns until when servers that ended in turn bar the request;
// zero when they don't.
func (e *Evidence) BarredUntil() time.Time {
	n := e.consecutiveTerminations()
	if n < terminationsToBlock {
		return time.Time{}
	}
	d := baseBlockDuration
	for range n - terminationsToBlock {
		d = min(d*2, maxBlockDuration)
	}
	return e.lastCrashAt().Add(d)
}

// Export returns the evidence of some requests, by digest.
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

// BarredCount returns how many requests may not run.
func (b *Book) BarredCount(now time.Time) (n int) {
	for _, e := range b.evidence {
		if now.Before(e.BarredUntil()) {
			n++
		}
	}
	return n
}
