package tspoison

import (
	"slices"
	"time"

	"turmericshed"
)

const (
	// sameCrashWindow is the time within which reports of a crash of one server
	// count as the same crash.
	sameCrashWindow = 3 * time.Second
	// suspicionDuration is how long a single crash makes a request a suspect.
	suspicionDuration = time.Hour
	// baseQuarantineDuration is how long a request is quarantined after its second
	// crash. Each further crash doubles it, up to maxQuarantineDuration.
	baseQuarantineDuration = time.Hour
	maxQuarantineDuration  = 7 * 24 * time.Hour
	// crashesToQuarantine is the number of crashes after which a request is
	// quarantined.
	crashesToQuarantine = 2
	// maxCrashesPerRequest bounds the crashes stored for one request.
	maxCrashesPerRequest = 16
)

// Crash is the termination of a backend server while it ran the request.
type Crash struct {
	Server turmericshed.ServerID `json:"server"`
	// Started distinguishes restarts of one server; zero when unknown.
	Started time.Time `json:"started,omitzero"`
	// Began is when the request was sent to the server; zero when unknown.
	Began time.Time `json:"began,omitzero"`
	At    time.Time `json:"at"`
	// Request is a request that ran on the server. It is set in the evidence about a
	// prompt part, which several requests share.
	Request turmericshed.Digest `json:"request,omitempty"`
	// OnlyHead is true if the server had sent the head of its answer to that request and
	// nothing after it.
	OnlyHead bool `json:"only_head,omitempty"`
}

// Evidence is the crash history of one request or of one prompt part. Merging copies
// gives the same value in any order.
type Evidence struct {
	Digest  turmericshed.Digest `json:"digest"`
	Crashes []Crash             `json:"crashes"`
	// Depth is the position of a part in its prompt, from 1; 0 for a request. Where
	// positions differ, it is the highest.
	Depth int `json:"depth,omitempty"`
	// ConfirmedAt is when an aggregator last found the part to be the cause of its
	// crashes; see [Book.Confirm]. Crashes alone do not block a part.
	ConfirmedAt time.Time `json:"confirmed_at,omitzero"`
	// ClearedAt is when the request was last cleared, by a complete answer, by an
	// operator who lifted the quarantine, or because many servers crashed at once.
	// Crashes up to this time no longer count.
	ClearedAt time.Time `json:"pardoned_at,omitzero"`
	ClearedBy string    `json:"pardoned_by,omitempty"`
}

// Merge adds the crashes and the clearance of o, evidence about the same request,
// and reports whether e changed.
func (e *Evidence) Merge(o Evidence) bool {
	changed := false
	for _, c := range o.Crashes {
		changed = e.addCrash(c) || changed
	}
	if o.ClearedAt.After(e.ClearedAt) {
		e.ClearedAt, e.ClearedBy = o.ClearedAt, o.ClearedBy
		changed = true
	}
	if o.ConfirmedAt.After(e.ConfirmedAt) {
		e.ConfirmedAt = o.ConfirmedAt
		changed = true
	}
	e.Depth = max(e.Depth, o.Depth)
	return changed
}

// addCrash adds a crash and reports whether the evidence changed. Of several
// reports of the same crash it keeps the earliest time, and a request with OnlyHead.
func (e *Evidence) addCrash(c Crash) bool {
	for i, have := range e.Crashes {
		if have.Server != c.Server || !have.Started.Equal(c.Started) || have.At.Sub(c.At).Abs() > sameCrashWindow {
			continue
		}
		isChanged := false
		if c.OnlyHead && !have.OnlyHead {
			e.Crashes[i].Request, e.Crashes[i].OnlyHead, isChanged = c.Request, true, true
		}
		if c.At.Before(have.At) {
			e.Crashes[i].At, isChanged = c.At, true
		}
		return isChanged
	}
	e.Crashes = append(e.Crashes, c)
	slices.SortFunc(e.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	if over := len(e.Crashes) - maxCrashesPerRequest; over > 0 {
		e.Crashes = slices.Delete(e.Crashes, 0, over)
	}
	return true
}

// activeCrashes returns the crashes after the last clearance.
func (e *Evidence) activeCrashes() []Crash {
	var out []Crash
	for _, c := range e.Crashes {
		if c.At.After(e.ClearedAt) {
			out = append(out, c)
		}
	}
	return out
}

// QuarantinedUntil returns when the quarantine ends; zero when there are too few crashes for
// a quarantine.
func (e *Evidence) QuarantinedUntil() time.Time {
	crashes := e.activeCrashes()
	n := len(crashes)
	if n < crashesToQuarantine {
		return time.Time{}
	}
	d := baseQuarantineDuration
	for range n - crashesToQuarantine {
		d = min(d*2, maxQuarantineDuration)
	}
	return crashes[n-1].At.Add(d)
}

// IsQuarantined reports whether the request is in quarantine.
func (e *Evidence) IsQuarantined(now time.Time) bool { return now.Before(e.QuarantinedUntil()) }

// Suspect reports whether the request may run only while no other suspect runs:
// a server crashed recently while running it, or it was quarantined before.
func (e *Evidence) Suspect(now time.Time) bool {
	crashes := e.activeCrashes()
	n := len(crashes)
	return n >= crashesToQuarantine || n > 0 && now.Sub(crashes[n-1].At) < suspicionDuration
}

// IsExpired reports whether the evidence has expired and can be dropped.
func (e *Evidence) IsExpired(now time.Time) bool {
	last := e.ClearedAt
	if n := len(e.Crashes); n > 0 && e.Crashes[n-1].At.After(last) {
		last = e.Crashes[n-1].At
	}
	return now.Sub(last) > maxQuarantineDuration || !e.IsQuarantined(now) && len(e.activeCrashes()) < crashesToQuarantine && now.Sub(last) > suspicionDuration
}
