package tscalls

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"turmericshed"
	"turmericshed/core/tsclaim"
	"turmericshed/standin/tsplatform"
)

// machine is a state machine that drives the writers of several VMs that all own one
// slot, with stale caches, lost answers, late writes, repeated operations and runners
// that act at arbitrary times. It checks that no call runs twice.
type machine struct {
	store      *tsplatform.Store
	writers    []*writer
	attempts   []*attempt
	history    []tsclaim.Op
	runs       map[tsclaim.ID]int
	claimCount int
}

// attempt is a runner's local view of its claim.
type attempt struct {
	op    tsclaim.Op
	phase phase
	// settled is set once the runner's outcome is written.
	settled bool
}

func newMachine() *machine {
	m := &machine{store: tsplatform.NewStore(tsplatform.Options{}), runs: map[tsclaim.ID]int{}}
	for i := range 3 {
		cfg := &Config{Store: m.store.As(fmt.Sprint(i)), Recorder: turmericshed.NopRecorder{}, Retention: time.Hour}
		m.writers = append(m.writers, newWriter(cfg, 0))
	}
	return m
}

// drive commits an operation through a random VM.
func (m *machine) drive(t *rapid.T, op tsclaim.Op) tsclaim.Result {
	m.history = append(m.history, op)
	w := rapid.SampledFrom(m.writers).Draw(t, "vm")
	w.failFastUntil = time.Time{}
	p := &pendingOp{op: op, result: make(chan tsclaim.Result, 1)}
	w.commit([]*pendingOp{p})
	return <-p.result
}

// pick returns a random attempt in one of the phases, and skips the action if there is
// none.
func (m *machine) pick(t *rapid.T, phases ...phase) *attempt {
	var matching []*attempt
	for _, a := range m.attempts {
		if slices.Contains(phases, a.phase) {
			matching = append(matching, a)
		}
	}
	if len(matching) == 0 {
		t.Skip("no such claim")
	}
	return rapid.SampledFrom(matching).Draw(t, "claim")
}

func (m *machine) Claim(t *rapid.T) {
	m.claimCount++
	c := turmericshed.Call{Account: "a", Key: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key"), Digest: "d"}
	claim := turmericshed.ClaimID(fmt.Sprint("claim-", m.claimCount))
	a := &attempt{op: tsclaim.ClaimOp(c, claim, "in"), phase: phaseEnded}
	m.attempts = append(m.attempts, a)
	res := m.drive(t, a.op)
	if res.Err == nil && res.Entry.Claim == claim && res.Entry.State == tsclaim.StateOpen {
		a.phase = phaseHeld
	}
}

func (m *machine) Dispatch(t *rapid.T) {
	a := m.pick(t, phaseHeld)
	a.phase = phaseDispatched
	m.runs[a.op.ID]++
}

// commitOutcome commits an outcome as the runner or another process does.
func (m *machine) commitOutcome(t *rapid.T, a *attempt, kind tsclaim.OpKind, neverSent bool) tsclaim.Result {
	op := tsclaim.Op{Kind: kind, ID: a.op.ID, Claim: a.op.Claim, NeverSent: neverSent, Entry: tsclaim.Entry{By: "amina"}}
	if kind == tsclaim.OpComplete || kind == tsclaim.OpResolve {
		op.Entry.Answer = &turmericshed.Answer{Status: 200}
	}
	return m.drive(t, op)
}

func (m *machine) Complete(t *rapid.T) {
	a := m.pick(t, phaseDispatched)
	a.settled = m.commitOutcome(t, a, tsclaim.OpComplete, false).Err == nil
}

func (m *machine) RunnerDoubts(t *rapid.T) {
	a := m.pick(t, phaseDispatched)
	a.settled = m.commitOutcome(t, a, tsclaim.OpDoubt, false).Err == nil
}

func (m *machine) RunnerAbandons(t *rapid.T) {
	a := m.pick(t, phaseHeld)
	a.phase = phaseEnded
	m.commitOutcome(t, a, tsclaim.OpAbandon, true)
}

// NotHeld abandons a claim as a runner does that has no record of it, because the claim
// was abandoned or its outcome is written.
func (m *machine) NotHeld(t *rapid.T) {
	a := m.pick(t, phaseEnded, phaseDispatched)
	if a.phase == phaseDispatched && !a.settled {
		t.Skip("held")
	}
	m.commitOutcome(t, a, tsclaim.OpAbandon, false)
}

func (m *machine) OtherDoubts(t *rapid.T) {
	m.commitOutcome(t, m.pick(t, phaseEnded, phaseHeld, phaseDispatched), tsclaim.OpDoubt, false)
}

func (m *machine) PersonSaysNotRun(t *rapid.T) {
	m.commitOutcome(t, m.pick(t, phaseEnded, phaseHeld, phaseDispatched), tsclaim.OpRefuse, false)
}

func (m *machine) Lookup(t *rapid.T) {
	a := m.pick(t, phaseDispatched)
	m.commitOutcome(t, a, tsclaim.OpResolve, false)
}

// Redeliver repeats an earlier operation.
func (m *machine) Redeliver(t *rapid.T) {
	if len(m.history) == 0 {
		t.Skip("nothing yet")
	}
	m.drive(t, rapid.SampledFrom(m.history).Draw(t, "op"))
}

func (m *machine) LoseAnswer(*rapid.T) {
	m.store.ChangeFaults(func(f *tsplatform.Faults) { f.LoseAnswers++ })
}

func (m *machine) HoldWrite(*rapid.T) {
	m.store.ChangeFaults(func(f *tsplatform.Faults) { f.HoldWrites++ })
}

func (m *machine) LandHeld(*rapid.T) { m.store.ApplyHeldWrites() }

// Check fails when a call ran twice.
func (m *machine) Check(t *rapid.T) {
	for id, n := range m.runs {
		if n > 1 {
			t.Fatalf("call %s ran %d times", id, n)
		}
	}
}

func TestNoCallRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(rapid.StateMachineActions(newMachine())) })
}
