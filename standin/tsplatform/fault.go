package tsplatform

import (
	"slices"
	"strings"
	"time"

	"turmericshed"
)

// Faults configures the failures that the store injects into subsequent calls.
type Faults struct {
	// Outage refuses every call and closes every watch.
	Outage bool `json:"outage,omitempty"`
	// Delay is the latency added before each call. If the caller cancels a
	// write during the delay, the write is still applied one Delay later.
	Delay turmericshed.Duration `json:"delay,omitempty"`
	// LoseAnswers is the number of subsequent writes that are applied but
	// return KindStoreUnknown.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// HoldWrites is the number of subsequent writes that return
	// KindStoreUnknown and are applied after HoldFor, or by ApplyHeldWrites if
	// HoldFor is 0.
	HoldWrites int                   `json:"hold_writes,omitempty"`
	HoldFor    turmericshed.Duration `json:"hold_for,omitempty"`
	// KeyPrefix restricts LoseAnswers and HoldWrites to keys with this prefix.
	KeyPrefix string `json:"key_prefix,omitempty"`
	// Cut lists the callers whose calls do not reach the store.
	Cut []string `json:"cut,omitempty"`
	// CutAnswers lists the callers whose writes are applied but whose answers
	// are lost.
	CutAnswers []string `json:"cut_answers,omitempty"`
}

// heldWrite is a write that is not yet applied. A zero due time means that
// ApplyHeldWrites applies it.
type heldWrite struct {
	write turmericshed.Write
	due   time.Time
}

// Faults returns a copy of the active faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.clone()
}

// SetFaults replaces the active faults.
func (s *Store) SetFaults(f Faults) { s.ChangeFaults(func(active *Faults) { *active = f }) }

// ChangeFaults changes the active faults in place. It wakes all watches, so
// that those of callers that are now cut off close.
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

// HeldWrites returns the number of held writes that are not yet applied.
func (s *Store) HeldWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)
}

// ApplyHeldWrites applies all held writes, due or not, and returns how many succeeded.
func (s *Store) ApplyHeldWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyHeldLocked(func(heldWrite) bool { return true })
}

// applyHeldLocked applies the held writes that are due, in order of arrival,
// and returns how many succeeded.
func (s *Store) applyHeldLocked(due func(heldWrite) bool) int {
	if len(s.held) == 0 {
		return 0
	}
	pending, applied := s.held, 0
	s.held = nil
	for _, h := range pending {
		if !due(h) {
			s.held = append(s.held, h)
			continue
		}
		if _, err := s.applyLocked(h.write); err == nil {
			applied++
		}
	}
	return applied
}

func errUnreachable() error {
	return turmericshed.NewError(turmericshed.KindStoreUnavailable, "no answer from the platform's service")
}

// checkReachableLocked returns KindStoreUnavailable, and counts the call as
// failed, if the faults keep the caller's calls from reaching the store.
func (s *Store) checkReachableLocked(caller string) error {
	if s.faults.Outage || slices.Contains(s.faults.Cut, caller) {
		s.counts.Failed++
		return errUnreachable()
	}
	return nil
}

// holdWriteLocked holds w if HoldWrites applies to it, and reports whether it
// did.
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

// losesAnswerLocked reports whether the answer to a write is lost. LoseAnswers
// counts only writes that were applied.
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

// checkReachable is checkReachableLocked for callers that do not hold mu.
func (s *Store) checkReachable(caller string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkReachableLocked(caller)
}
