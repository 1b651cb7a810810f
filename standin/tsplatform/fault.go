package tsplatform

import (
	"slices"
	"strings"
	"time"

	"turmericshed"
)

// Faults are the failures that the store shows from now on.
type Faults struct {
	// Outage refuses every call and ends every watch.
	Outage bool `json:"outage,omitempty"`
	// Delay goes before each call. A write whose caller stops waiting
	// within it lands afterwards.
	Delay turmericshed.Duration `json:"delay,omitempty"`
	// LoseAnswers is the number of next writes that take effect and whose
	// callers get KindStoreUnknown.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// HoldWrites is the number of next writes whose callers get
	// KindStoreUnknown and which land after HoldFor, or at LandHeld when
	// HoldFor is 0.
	HoldWrites int                   `json:"hold_writes,omitempty"`
	HoldFor    turmericshed.Duration `json:"hold_for,omitempty"`
	// KeyPrefix restricts LoseAnswers and HoldWrites to some keys.
	KeyPrefix string `json:"key_prefix,omitempty"`
	// Cut lists callers whose calls don't arrive.
	Cut []string `json:"cut,omitempty"`
	// CutAnswers lists callers whose calls take effect but get no answer.
	CutAnswers []string `json:"cut_answers,omitempty"`
}

// heldWrite is a write that is still on its way. A zero due time means that
// it lands at LandHeld.
type heldWrite struct {
	write turmericshed.Write
	due   time.Time
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.clone()
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) { s.ChangeFaults(func(to *Faults) { *to = f }) }

// ChangeFaults changes the faults in place. Watches of callers that are cut
// off now end.
func (s *Store) ChangeFaults(change func(f *Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults.clone()
	change(&f)
	s.faults = f.clone()
	s.wakeWatchersLocked()
}

func (f Faults) clone() Faults {
	f.Cut, f.CutAnswers = slices.Clone(f.Cut), slices.Clone(f.CutAnswers)
	return f
}

// Held returns the number of writes still on their way.
func (s *Store) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)
}

// LandHeld delivers every held write now and returns how many took effect.
func (s *Store) LandHeld() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyHeldLocked(func(heldWrite) bool { return true })
}

// landLocked applies the held writes that are due, in their order.
func (s *Store) applyHeldLocked(due func(heldWrite) bool) int {
	if len(s.held) == 0 {
		return 0
	}
	pending, landed := s.held, 0
	s.held = nil
	for _, h := range pending {
		if !due(h) {
			s.held = append(s.held, h)
			continue
		}
		if _, err := s.applyLocked(h.write); err == nil {
			landed++
		}
	}
	return landed
}

func errUnreachable() error {
	return turmericshed.NewError(turmericshed.KindStoreUnavailable, "no answer from the platform's service")
}

// refuseLocked returns the error of a call that doesn't arrive.
func (s *Store) checkReachableLocked(caller string) error {
	if s.faults.Outage || slices.Contains(s.faults.Cut, caller) {
		s.counts.Failed++
		return errUnreachable()
	}
	return nil
}

// holdLocked puts a write aside when the faults say so.
func (s *Store) holdWriteLocked(w turmericshed.Write) bool {
	if s.faults.HoldWrites <= 0 || !strings.HasPrefix(w.Key, s.faults.KeyPrefix) {
		return false
	}
	s.faults.HoldWrites--
	h := heldWrite{write: w}
	if s.faults.HoldFor > 0 {
		h.due = s.opts.Now().Add(time.Duration(s.faults.HoldFor))
	}
	s.held = append(s.held, h)
	return true
}

// loseLocked reports whether the answer to a write is lost; applied tells
// whether it took effect.
func (s *Store) losesAnswerLocked(caller, key string, applied bool) bool {
	if slices.Contains(s.faults.CutAnswers, caller) {
		return true
	}
	if !applied || s.faults.LoseAnswers <= 0 || !strings.HasPrefix(key, s.faults.KeyPrefix) {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// reachable returns an error when the caller's calls don't arrive.
func (s *Store) checkReachable(caller string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkReachableLocked(caller)
}
