package tspoison

import (
	"slices"
	"time"

	"turmericshed"
)

const (
	// sameCrashWindow is the span in which reports of one server's crash are
	// taken for the same crash.
	sameCrashWindow = 3 * time.Second
	// suspicionDuration is how long one crash counts.
	suspicionDuration = time.Hour
	// baseQuarantineDuration is how long a request is barred after its second crash.
	// Each further crash doubles it, up to quarantineMax.
	baseQuarantineDuration = time.Hour
	maxQuarantineDuration = 7 * 24 * time.Hour
	// crashesToQuarantine is the number of crashes after which a request is barred.
	crashesToQuarantine = 2
	// maxCrashesPerRequest bounds the crashes kept for one request.
	maxCrashesPerRequest = 16
)

// Crash is a backend server that went away while the request ran there.
type Crash struct {
	Server turmericshed.ServerID `json:"server"`
	// Started tells starts of one server apart; zero when not told.
	Started time.Time `json:"started,omitzero"`
	// Began is when the request was sent there; zero when not told.
	Began time.Time `json:"began,omitzero"`
	At    time.Time `json:"at"`
}

// Evidence is what is known about one request. Two copies merge to the same
// value in any order.
type Evidence struct {
	Digest  turmericshed.Digest `json:"digest"`
	Crashes []Crash             `json:"crashes"`
	// PardonedAt voids the crashes up to then: the request was answered whole
	// afterwards, or a person lifted the quarantine.
	PardonedAt time.Time `json:"pardoned_at,omitzero"`
	PardonedBy string    `json:"pardoned_by,omitempty"`
}

// Merge joins two pieces of evidence about one request and reports whether e
// learned anything.
func (e *Evidence) Merge(o Evidence) bool {
	learned := false
	for _, c := range o.Crashes {
		learned = e.addCrash(c) || learned
	}
	if o.PardonedAt.After(e.PardonedAt) {
		e.PardonedAt, e.PardonedBy = o.PardonedAt, o.PardonedBy
		learned = true
	}
	return learned
}

// addCrash joins a crash; of reports of the same crash the earliest stays.
func (e *Evidence) addCrash(c Crash) bool {
	for i, have := range e.Crashes {
		if have.Server != c.Server || !have.Started.Equal(c.Started) || have.At.Sub(c.At).Abs() > sameCrashWindow {
			continue
		}
		if c.At.Before(have.At) {
			e.Crashes[i].At = c.At
			return true
		}
		return false
	}
	e.Crashes = append(e.Crashes, c)
	slices.SortFunc(e.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	if over := len(e.Crashes) - maxCrashesPerRequest; over > 0 {
		e.Crashes = slices.Delete(e.Crashes, 0, over)
	}
	return true
}

// activeCrashes returns the crashes that are not voided.
func (e *Evidence) activeCrashes() []Crash {
	var out []Crash
	for _, c := range e.Crashes {
		if c.At.After(e.PardonedAt) {
			out = append(out, c)
		}
	}
	return out
}

// Until returns when the quarantine ends; zero when the request was never
// barred.
func (e *Evidence) Until() time.Time {
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

// Barred reports whether the request may not run.
func (e *Evidence) Barred(now time.Time) bool { return now.Before(e.Until()) }

// Suspect reports whether the request may run only alone: it crashed a server
// not long ago, or it comes out of quarantine.
func (e *Evidence) Suspect(now time.Time) bool {
	crashes := e.activeCrashes()
	n := len(crashes)
	return n >= crashesToQuarantine || n > 0 && now.Sub(crashes[n-1].At) < suspicionDuration
}

// Spent reports whether the evidence can be forgotten.
func (e *Evidence) Spent(now time.Time) bool {
	last := e.PardonedAt
	if n := len(e.Crashes); n > 0 && e.Crashes[n-1].At.After(last) {
		last = e.Crashes[n-1].At
	}
	return now.Sub(last) > maxQuarantineDuration || !e.Barred(now) && len(e.activeCrashes()) < crashesToQuarantine && now.Sub(last) > suspicionDuration
}
