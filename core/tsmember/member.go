package tsmember

import (
	"time"

	"turmericshed"
)

// Member is one incarnation of an entry VM as this node knows it.
type Member struct {
	turmericshed.EntryVM
	// Epoch orders incarnations of one name.
	Epoch uint64
	// Seq is raised by the member itself to refute accusations. Zero means
	// that only the platform's list named it.
	Seq   uint64
	State turmericshed.MemberState
	// Since is when State last changed here.
	Since    time.Time
	Accusers []Accuser

	// domainReachedAt is the first contact with the member's failure domain after
	// it became suspect.
	domainReachedAt time.Time
	// isUnreachable is set while this node's own probes fail.
	isUnreachable bool
	// isSuperseded is set when a newer incarnation of the name is known.
	isSuperseded bool
}

// Accuser is a member that could not reach another.
type Accuser struct {
	Name          string
	FailureDomain turmericshed.FailureDomain
	// At is when the failed probe was made, on this node's clock.
	At time.Time
}

// Event tells a change of belief.
type Event struct {
	Name   turmericshed.EventName
	Member turmericshed.EntryVM
	Reason string
}

// isInactive reports whether the incarnation takes no part any more.
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

// addAccuser joins an accuser and reports whether it is new or much fresher.
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
