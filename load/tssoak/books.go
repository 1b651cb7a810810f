package tssoak

import (
	"encoding/json"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// dedupeWindow is the time after the start of a generation within which a retry
// at the same VM must join it.
const dedupeWindow = 50 * time.Second

// books records what the engines, the service and the callers observe,
// independently of the code under test.
type books struct {
	// consumedByBudget and consumedByStream count tokens when an engine
	// consumes them.
	consumedByBudget map[turmericshed.BudgetID]turmericshed.Tokens
	consumedByStream map[turmericshed.StreamID]turmericshed.Tokens
	// billed holds the usage that VMs settled.
	billed map[turmericshed.StreamID]turmericshed.Tokens
	// poisonCrashes counts the engine crashes that a prompt caused.
	poisonCrashes map[turmericshed.Digest]int
	// callRuns counts how often the service ran each call.
	callRuns map[string]int
	// reportedNotRun holds the calls that were reported to their caller as not
	// run.
	reportedNotRun map[string]bool
	// droppedFrames counts the frames that VMs received and did not relay.
	droppedFrames int
	// generationStarts holds, by VM and key, when the last generation that has
	// not failed started.
	generationStarts map[string]time.Time
	// joinedAttempts counts the attempts that joined a generation with the same
	// key.
	joinedAttempts int

	requests      int
	answered      int
	refused       map[string]int
	unknown       int
	failed        int
	calls         int
	edits         int
	rejectedEdits int
	// limitChecks counts the requests that were checked against an engine's
	// limit.
	limitChecks int
}

func newBooks() books {
	return books{
		consumedByBudget: map[turmericshed.BudgetID]turmericshed.Tokens{}, consumedByStream: map[turmericshed.StreamID]turmericshed.Tokens{},
		billed: map[turmericshed.StreamID]turmericshed.Tokens{}, poisonCrashes: map[turmericshed.Digest]int{},
		callRuns: map[string]int{}, reportedNotRun: map[string]bool{}, generationStarts: map[string]time.Time{}, refused: map[string]int{},
	}
}

// recordConsumption counts tokens that an engine consumed and checks the budget.
func (b *books) recordConsumption(w *world, budget turmericshed.BudgetID, s turmericshed.StreamID, n turmericshed.Tokens) {
	b.consumedByBudget[budget] += n
	b.consumedByStream[s] += n
	w.checkBudget(budget)
}

// checkBudget asserts what holds after each consumption and each edit: the
// tokens that engines consumed are charged to the ledger and within its prepaid
// amount, and the charged tokens are within the prepaid amount of the profile.
func (w *world) checkBudget(budget turmericshed.BudgetID) {
	l, err := tsbudget.Decode(w.store.Peek(tsbudget.Key(budget)))
	turmericshed.Assert(err == nil, "ledger_kept", "%s: %v", budget, err)
	charged := l.Spent + l.OpenCharge()
	turmericshed.Assert(w.books.consumedByBudget[budget] <= charged, "consumed_is_charged",
		"%s: engines consumed %d, charged %d", budget, w.books.consumedByBudget[budget], charged)
	turmericshed.Assert(w.books.consumedByBudget[budget] <= l.Prepaid, "within_prepaid_at_engines",
		"%s: engines consumed %d, prepaid %d", budget, w.books.consumedByBudget[budget], l.Prepaid)
	p, ok := w.peekProfile(l.Profile)
	if ok && p.Budget == budget {
		turmericshed.Assert(charged <= p.Prepaid, "charged_within_profile", "%s: charged %d, profile %d", budget, charged, p.Prepaid)
	}
}

// peekProfile reads a profile from the store without faults or latency. It
// reports false when the profile does not exist or cannot be decoded.
func (w *world) peekProfile(name turmericshed.ProfileName) (turmericshed.Profile, bool) {
	item := w.store.Peek(tsbudget.ProfileKey(name))
	var p turmericshed.Profile
	if item.Version == 0 || json.Unmarshal(item.Value, &p) != nil {
		return p, false
	}
	p.Version = item.Version
	return p, true
}

// recordBill records the usage that a VM settled for a stream and asserts that
// the stream was not billed before.
func (b *books) recordBill(s turmericshed.StreamID, n turmericshed.Tokens) {
	_, wasBilled := b.billed[s]
	turmericshed.Assert(!wasBilled, "billed_once", "%s was billed before", s)
	b.billed[s] = n
}

// recordRun counts a run of a call and asserts that it is the only one and that
// the call was not reported as not run.
func (b *books) recordRun(key string) {
	b.callRuns[key]++
	turmericshed.Assert(b.callRuns[key] == 1, "call_runs_once", "%s ran %d times", key, b.callRuns[key])
	turmericshed.Assert(!b.reportedNotRun[key], "not_run_is_true", "%s ran after its caller was told that it did not", key)
}

// forfeitedTokens returns the tokens that were charged but never billed, over
// all budgets: the unused part of lots whose holder is gone, and reservations
// whose usage was never confirmed.
func (w *world) forfeitedTokens() turmericshed.Tokens {
	var sum turmericshed.Tokens
	for budget := range w.books.consumedByBudget {
		if l, err := tsbudget.Decode(w.store.Peek(tsbudget.Key(budget))); err == nil {
			sum += l.Forfeited
		}
	}
	return sum
}

// recordStart records that a generation starts at a VM. It asserts that no other
// one with the same key is running or was completed there within dedupeWindow.
func (b *books) recordStart(w *world, key string) {
	last, ok := b.generationStarts[key]
	turmericshed.Assert(!ok || w.now.Sub(last) > dedupeWindow, "generated_once", "%s began at %s and again at %s", key, last, w.now)
	b.generationStarts[key] = w.now
}
