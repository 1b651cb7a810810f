package tssoak

import (
	"encoding/json"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// dedupeFor is how long after its beginning a generation is surely found by
// a retry at the same VM.
const dedupeFor = 50 * time.Second

// books are kept by the engines, services and callers, apart from the code
// that is tested.
type books struct {
	// consumed and streams count tokens at the engines when they are made.
	consumed map[turmericshed.BudgetID]turmericshed.Tokens
	streams  map[turmericshed.StreamID]turmericshed.Tokens
	// billed is what VMs settled.
	billed   map[turmericshed.StreamID]turmericshed.Tokens
	poisoned map[turmericshed.Digest]int
	runs     map[string]int
	// told are the calls whose callers were told that they did not run.
	told    map[string]bool
	dropped int
	// begun tells when a generation last began at a VM under a key, while it
	// has not failed.
	begun map[string]time.Time
	// joined counts attempts that joined a generation under their key.
	joined int

	Requests int
	Answered int
	Refused  map[string]int
	Unknown  int
	Failed   int
	Calls    int
	Edits    int
	Conflict int
	// Limited counts the requests that were checked against a limit.
	Limited int
}

func newBooks() books {
	return books{
		consumed: map[turmericshed.BudgetID]turmericshed.Tokens{}, streams: map[turmericshed.StreamID]turmericshed.Tokens{},
		billed: map[turmericshed.StreamID]turmericshed.Tokens{}, poisoned: map[turmericshed.Digest]int{},
		runs: map[string]int{}, told: map[string]bool{}, begun: map[string]time.Time{}, Refused: map[string]int{},
	}
}

// consume counts tokens and checks them against what is prepaid.
func (b *books) consume(w *world, budget turmericshed.BudgetID, s turmericshed.StreamID, n turmericshed.Tokens) {
	b.consumed[budget] += n
	b.streams[s] += n
	w.checkBudget(budget)
}

// checkBudget holds after every token and every edit: what engines consumed
// is charged, and what is charged is within what the profile promises.
func (w *world) checkBudget(budget turmericshed.BudgetID) {
	l, err := tsbudget.Decode(w.store.Peek(tsbudget.Key(budget)))
	turmericshed.Assert(err == nil, "ledger_kept", "%s: %v", budget, err)
	charged := l.Spent + l.Open()
	turmericshed.Assert(w.books.consumed[budget] <= charged, "consumed_is_charged",
		"%s: engines consumed %d, charged %d", budget, w.books.consumed[budget], charged)
	turmericshed.Assert(w.books.consumed[budget] <= l.Prepaid, "within_prepaid_at_engines",
		"%s: engines consumed %d, prepaid %d", budget, w.books.consumed[budget], l.Prepaid)
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
func (b *books) bill(s turmericshed.StreamID, n turmericshed.Tokens) {
	_, twice := b.billed[s]
	turmericshed.Assert(!twice, "billed_once", "%s was billed before", s)
	b.billed[s] = n
}

// run counts a call that a service carried out.
func (b *books) run(key string) {
	b.runs[key]++
	turmericshed.Assert(b.runs[key] == 1, "call_runs_once", "%s ran %d times", key, b.runs[key])
	turmericshed.Assert(!b.told[key], "not_run_is_true", "%s ran after its caller was told that it did not", key)
}

// burnt returns what was charged without a bill, over all budgets: the rest
// of lots whose holder went away, and reservations never confirmed.
func (w *world) burnt() turmericshed.Tokens {
	var sum turmericshed.Tokens
	for budget := range w.books.consumed {
		if l, err := tsbudget.Decode(w.store.Peek(tsbudget.Key(budget))); err == nil {
			sum += l.Forfeited
		}
	}
	return sum
}

// begin counts a generation that begins at a VM: none may run or be whole
// there under the same key.
func (b *books) begin(w *world, key string) {
	at, ok := b.begun[key]
	turmericshed.Assert(!ok || w.now.Sub(at) > dedupeFor, "generated_once", "%s began at %s and again at %s", key, at, w.now)
	b.begun[key] = w.now
}
