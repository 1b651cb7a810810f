package tssoak

import (
	"encoding/json"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// dedupeFor is how long after its beginning a generation is surely found by
// a retry at the same VM.
const dedupeWindow = 50 * time.Second

// books are kept by the engines, services and callers, apart from the code
// that is tested.
type books struct {
	// consumed and streams count tokens at the engines when they are made.
	consumedByBudget map[turmericshed.BudgetID]turmericshed.Tokens
	consumedByStream map[turmericshed.StreamID]turmericshed.Tokens
	// billed is what VMs settled.
	billed        map[turmericshed.StreamID]turmericshed.Tokens
	poisonCrashes map[turmericshed.Digest]int
	callRuns      map[string]int
	// told are the calls whose callers were told that they did not run.
	reportedNotRun map[string]bool
	droppedFrames  int
	// begun tells when a generation last began at a VM under a key, while it
	// has not failed.
	generationStarts map[string]time.Time
	// joined counts attempts that joined a generation under their key.
	joinedAttempts int

	requests      int
	answered      int
	refused       map[string]int
	unknown       int
	failed        int
	calls         int
	edits         int
	rejectedEdits int
	// Limited counts the requests that were checked against a limit.
	limitChecks int
}

func newBooks() books {
	return books{
		consumedByBudget: map[turmericshed.BudgetID]turmericshed.Tokens{}, consumedByStream: map[turmericshed.StreamID]turmericshed.Tokens{},
		billed: map[turmericshed.StreamID]turmericshed.Tokens{}, poisonCrashes: map[turmericshed.Digest]int{},
		callRuns: map[string]int{}, reportedNotRun: map[string]bool{}, generationStarts: map[string]time.Time{}, refused: map[string]int{},
	}
}

// consume counts tokens and checks them against what is prepaid.
func (b *books) recordConsumption(w *world, budget turmericshed.BudgetID, s turmericshed.StreamID, n turmericshed.Tokens) {
	b.consumedByBudget[budget] += n
	b.consumedByStream[s] += n
	w.checkBudget(budget)
}

// checkBudget holds after every token and every edit: what engines consumed
// is charged, and what is charged is within what the profile promises.
func (w *world) checkBudget(budget turmericshed.BudgetID) {
	l, err := tsbudget.Decode(w.store.Peek(tsbudget.Key(budget)))
	turmericshed.Assert(err == nil, "ledger_kept", "%s: %v", budget, err)
	charged := l.Spent + l.Open()
	turmericshed.Assert(w.books.consumedByBudget[budget] <= charged, "consumed_is_charged",
		"%s: engines consumed %d, charged %d", budget, w.books.consumedByBudget[budget], charged)
	turmericshed.Assert(w.books.consumedByBudget[budget] <= l.Prepaid, "within_prepaid_at_engines",
		"%s: engines consumed %d, prepaid %d", budget, w.books.consumedByBudget[budget], l.Prepaid)
	p, ok := w.peekProfile(l.Profile)
	if ok && p.Budget == budget {
		turmericshed.Assert(charged <= p.Prepaid, "charged_within_profile", "%s: charged %d, profile %d", budget, charged, p.Prepaid)
	}
}

func (w *world) peekProfile(name turmericshed.ProfileName) (turmericshed.Profile, bool) {
	it := w.store.Peek(tsbudget.ProfileKey(name))
	var p turmericshed.Profile
	if it.Version == 0 || json.Unmarshal(it.Value, &p) != nil {
		return p, false
	}
	p.Version = it.Version
	return p, true
}

// bill counts what a VM settled for a stream, once.
func (b *books) recordBill(s turmericshed.StreamID, n turmericshed.Tokens) {
	_, twice := b.billed[s]
	turmericshed.Assert(!twice, "billed_once", "%s was billed before", s)
	b.billed[s] = n
}

// run counts a call that a service carried out.
func (b *books) recordRun(key string) {
	b.callRuns[key]++
	turmericshed.Assert(b.callRuns[key] == 1, "call_runs_once", "%s ran %d times", key, b.callRuns[key])
	turmericshed.Assert(!b.reportedNotRun[key], "not_run_is_true", "%s ran after its caller was told that it did not", key)
}

// burnt returns what was charged without a bill, over all budgets: the rest
// of lots whose holder went away, and reservations never confirmed.
func (w *world) forfeitedTokens() turmericshed.Tokens {
	var sum turmericshed.Tokens
	for budget := range w.books.consumedByBudget {
		if l, err := tsbudget.Decode(w.store.Peek(tsbudget.Key(budget))); err == nil {
			sum += l.Forfeited
		}
	}
	return sum
}

// begin counts a generation that begins at a VM: none may run or be whole
// there under the same key.
func (b *books) recordStart(w *world, key string) {
	at, ok := b.generationStarts[key]
	turmericshed.Assert(!ok || w.now.Sub(at) > dedupeWindow, "generated_once", "%s began at %s and again at %s", key, at, w.now)
	b.generationStarts[key] = w.now
}
