package tspoison

import (
	"cmp"
	"slices"
	"time"

	"turmericshed"
)

// A prompt part that crashes servers has to be told from the parts and requests beside
// it. The first part of a prompt is shared by most requests of its route, a crashing
// server runs a hundred requests, and a sound request that is sent again to one crashing
// server after another collects crashes as well. A part is the cause of its crashes when
// no request with it was answered anywhere in between, several requests had it, and no
// other part that is blocked explains the crashes. Of the parts that may be the cause, the
// likeliest one is taken first: one with which nothing was ever answered, then the one
// under which most servers crashed right after the head of an answer, then the most
// specific one.
//
// Example: parts f and d are in the prompts of the same requests, under which servers 1,
// 2 and 3 crash in turn. Both have three crashes. Requests with f were answered before
// these, none with d was: d is confirmed first. The crashes of f are then explained by d,
// and f stays unblocked.
//
// Confirm takes time linear in the evidence and quadratic in the unconfirmed parts. It is
// called once for each report that leaves an unconfirmed part with enough terminations.
const (
	// answeredTerminationsToBlock replaces terminationsToBlock for a part with which a
	// request was answered before the crashes.
	answeredTerminationsToBlock = 5
	// headTerminationsToBlock replaces it if so many servers had sent the head of an answer
	// alone, which few of the requests on a crashing server have got to.
	headTerminationsToBlock = 2
	// requestsToBlockPart is the number of different requests whose crashes block a
	// part. A single request that crashes servers is blocked itself.
	requestsToBlockPart = 2
)

// process identifies one process of a backend server.
type process struct {
	server  turmericshed.ServerID
	started int64
}

func (c Crash) process() process { return process{c.Server, c.Started.UnixMilli()} }

// isConfirmed reports whether the part was confirmed and not cleared since.
func (e *Evidence) isConfirmed() bool {
	return !e.ConfirmedAt.IsZero() && e.ConfirmedAt.After(e.ClearedAt)
}

// Unconfirmed returns the parts with enough consecutive terminations to block them that
// are not confirmed, sorted. It leaves out those that Confirm has examined and that have
// no other crashes since.
func (b *Book) Unconfirmed() []turmericshed.Digest {
	var parts []turmericshed.Digest
	for d, e := range b.evidence {
		if e.Depth == 0 || e.isConfirmed() {
			continue
		}
		if crashes := e.activeCrashes(); len(crashes) != b.examined[d] && hasCause(crashes, terminationsNeeded(crashes)) {
			parts = append(parts, d)
		}
	}
	slices.Sort(parts)
	return parts
}

// Confirm decides which of the given parts are the cause of their crashes. answered holds
// the time of the last answer to a request with a part, at any entry VM, for the parts
// that have one. An answer clears the crashes before it. Confirm returns the evidence that
// changed.
func (b *Book) Confirm(now time.Time, parts []turmericshed.Digest, answered map[turmericshed.Digest]time.Time) []Evidence {
	var suspects []*Evidence
	var changed []Evidence
	for _, d := range parts {
		e, ok := b.evidence[d]
		if !ok || e.isConfirmed() {
			continue
		}
		if active := e.activeCrashes(); len(active) > 0 && answered[d].After(active[0].At) {
			e.ClearedAt, e.ClearedBy = answered[d], "answered at an entry VM"
			changed = append(changed, e.clone())
		}
		if b.examined == nil {
			b.examined = make(map[turmericshed.Digest]int)
		}
		b.examined[d] = len(e.activeCrashes())
		suspects = append(suspects, e)
	}
	explained := b.blockedCrashes(now)
	for len(suspects) > 0 {
		s := likeliest(suspects, explained, answered)
		if s == nil {
			break
		}
		suspects = slices.DeleteFunc(suspects, func(e *Evidence) bool { return e == s })
		for _, c := range s.activeCrashes() {
			explained[c.process()] = true
		}
		s.ConfirmedAt = now
		changed = append(changed, s.clone())
	}
	return changed
}

// likeliest returns the likeliest cause among the suspects that have enough crashes which
// no blocked part explains; nil if none has.
func likeliest(suspects []*Evidence, explained map[process]bool, answered map[turmericshed.Digest]time.Time) *Evidence {
	type cause struct {
		*Evidence
		wasAnswered         bool
		heads, terminations int
	}
	var causes []cause
	for _, e := range suspects {
		crashes := slices.DeleteFunc(e.activeCrashes(), func(c Crash) bool { return explained[c.process()] })
		wasAnswered, needed := !answered[e.Digest].IsZero(), terminationsNeeded(crashes)
		if wasAnswered {
			needed = answeredTerminationsToBlock
		}
		if hasCause(crashes, needed) {
			causes = append(causes, cause{e, wasAnswered, countHeads(crashes), countTerminations(crashes)})
		}
	}
	if len(causes) == 0 {
		return nil
	}
	return slices.MinFunc(causes, func(x, y cause) int {
		return cmp.Or(
			compareBool(x.wasAnswered, y.wasAnswered), cmp.Compare(y.heads, x.heads),
			cmp.Compare(y.terminations, x.terminations), cmp.Compare(y.Depth, x.Depth), cmp.Compare(x.Digest, y.Digest),
		)
	}).Evidence
}

// terminationsNeeded returns the number of terminations that block a part with which no
// request was answered.
func terminationsNeeded(crashes []Crash) int {
	if countHeads(crashes) >= headTerminationsToBlock {
		return headTerminationsToBlock
	}
	return terminationsToBlock
}

// hasCause reports whether crashes are enough terminations under enough requests to block
// the part that the requests share.
func hasCause(crashes []Crash, terminations int) bool {
	requests := map[turmericshed.Digest]bool{}
	for _, c := range crashes {
		requests[c.Request] = true
	}
	return len(requests) >= requestsToBlockPart && countTerminations(crashes) >= terminations
}

// countHeads counts the crashes right after the head of an answer.
func countHeads(crashes []Crash) (n int) {
	for _, c := range crashes {
		if c.OnlyHead {
			n++
		}
	}
	return n
}

// blockedCrashes returns the processes whose crashes the blocked parts explain.
func (b *Book) blockedCrashes(now time.Time) map[process]bool {
	explained := map[process]bool{}
	for _, e := range b.evidence {
		if e.Depth == 0 || !now.Before(e.BlockedUntil()) {
			continue
		}
		for _, c := range e.activeCrashes() {
			explained[c.process()] = true
		}
	}
	return explained
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	default:
		return 1
	}
}
