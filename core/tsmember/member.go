package tsmember

import (
	"time"

	"turmericshed"
)

// Member is the local record of one incarnation of an entry VM.
type Member struct {
	turmericshed.EntryVM
	// Epoch orders incarnations of one name.
	Epoch uint64
	// Seq is raised by the member itself to refute accusations. It is 0 for a member that is
	// known only from the platform's list.
	Seq   uint64
	State turmericshed.MemberState
	// Since is when State last changed on this node.
	Since    time.Time
	Accusers []Accuser

	// domainReachedAt is the time of the first contact with the member's failure domain after
	// the member became suspect.
	domainReachedAt time.Time
	// isUnreachable is true while this node's own probes of the member fail.
	isUnreachable bool
	// isSuperseded is true when a newer incarnation of the name is known.
	isSuperseded bool
}

// Accuser is a member that failed to reach another one.
type Accuser struct {
	Name          string
	FailureDomain turmericshed.FailureDomain
	// At is the time of the failed probe on this node's clock.
	At time.Time
}

// Event reports a change of a member's state.
type Event struct {
	Name   turmericshed.EventName
	Member turmericshed.EntryVM
	Reason string
}

// isInactive reports whether the incarnation no longer participates: it is gone or has left.
func (m *Member) isInactive() bool {
	return m.State == turmericshed.MemberGone || m.State == turmericshed.MemberLeft
}

func (m *Member) hasAccuserIn(d turmericshed.FailureDomain) bool {
	for _, a := range m.Accusers {
		if a.FailureDomain == d {
			return true
		}
	}
	return false
}

// addAccuser adds or refreshes an accuser. It reports whether the accuser is new, or renewed
// after more than half of accusationTTL, so that the update is worth sending again.
func (m *Member) addAccuser(a Accuser) bool {
	for i, old := range m.Accusers {
		if old.Name != a.Name {
			continue
		}
		fresher := a.At.Sub(old.At) > accusationTTL/2
		if a.At.After(old.At) {
			m.Accusers[i].At = a.At
		}
		return fresher
	}
	if len(m.Accusers) < maxAccusers {
		m.Accusers = append(m.Accusers, a)
		return true
	}
	return false
}

// expireAccusers drops accusers older than accusationTTL.
func (m *Member) expireAccusers(now time.Time) {
	kept := m.Accusers[:0]
	for _, a := range m.Accusers {
		if now.Sub(a.At) < accusationTTL {
			kept = append(kept, a)
		}
	}
	m.Accusers = kept
}
