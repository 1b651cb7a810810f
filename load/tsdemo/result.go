package tsdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/load/tsload"
)

// Result is the comparison of the books after a run. Latencies are in milliseconds.
type Result struct {
	Requests        int                 `json:"requests"`
	Answered        int                 `json:"answered"`
	Refused         int                 `json:"refused"`
	Failed          int                 `json:"failed"`
	Unknown         int                 `json:"unknown"`
	OverspendTokens turmericshed.Tokens `json:"overspend_tokens"`
	FalseRefusals   int                 `json:"false_refusals"`
	DoubledCalls    int                 `json:"doubled_calls"`
	// LostCalls were answered but never ran.
	LostCalls int `json:"lost_calls"`
	// FalseNotRun were reported as not_run but ran.
	FalseNotRun int `json:"false_not_run"`
	// BilledTwice counts requests with two bills, Unbilled the tokens that
	// the backend servers consumed and no budget was charged for.
	BilledTwice    int                 `json:"billed_twice"`
	Unbilled       turmericshed.Tokens `json:"unbilled"`
	PartialAnswers int                 `json:"partial_answers"`
	ForeignFrames  int                 `json:"foreign_frames"`
	BurntTokens    turmericshed.Tokens `json:"burnt_tokens"`
	ConsumedTokens turmericshed.Tokens `json:"consumed_tokens"`
	// CrashesByPoison counts the engine crashes caused by one request that is
	// sent repeatedly through one failure domain.
	CrashesByPoison  int                `json:"crashes_by_poison"`
	InvariantsBroken int                `json:"invariants_broken"`
	StopFailures     int                `json:"stop_failures"`
	Kinds            map[string]int     `json:"kinds"`
	FirstTokens      tsload.Percentiles `json:"first_tokens_ms"`
	Answers          tsload.Percentiles `json:"answers_ms"`
	Calls            tsload.Percentiles `json:"calls_ms"`
}

// maxPoisonCrashes is the number of engines that one request may crash when it is
// sent through one failure domain.
const maxPoisonCrashes = 2

// PromisesKept reports whether every promise was kept.
func (r Result) PromisesKept() bool {
	return r.OverspendTokens == 0 && r.DoubledCalls == 0 && r.LostCalls == 0 && r.FalseNotRun == 0 &&
		r.BilledTwice == 0 && r.Unbilled == 0 && r.PartialAnswers == 0 && r.ForeignFrames == 0 &&
		r.CrashesByPoison <= maxPoisonCrashes && r.InvariantsBroken == 0 && r.StopFailures == 0
}

// events records what the books of callers and backend servers can't show: the number
// of bills for each request, and broken invariants. It implements
// turmericshed.Recorder.
type events struct {
	mu         sync.Mutex
	bills      map[turmericshed.RequestID]int
	violations []string
	// timeline receives every event as a JSON line; nil discards them.
	timeline *json.Encoder
}

func newEvents(timeline io.Writer) *events {
	v := &events{bills: map[turmericshed.RequestID]int{}}
	if timeline != nil {
		v.timeline = json.NewEncoder(timeline)
	}
	return v
}

// Record counts e.
func (v *events) Record(e turmericshed.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.timeline != nil {
		_ = v.timeline.Encode(e)
	}
	switch e.Name {
	case turmericshed.EventRequestBilled:
		v.bills[e.Request]++
	case turmericshed.EventInvariantBroken:
		v.violations = append(v.violations, e.Reason)
	}
}

// result compares the books.
func (d *demo) result(ctx context.Context) (Result, error) {
	s := d.load.Book().Summary()
	r := Result{
		Requests: s.Requests, Answered: s.Answered, Refused: s.Refused, Failed: s.Failed, Unknown: s.Unknown,
		PartialAnswers: s.Partial, ForeignFrames: s.Foreign, Kinds: s.Kinds,
		FirstTokens: s.FirstTokens, Answers: s.Answers, Calls: s.Calls, StopFailures: d.cluster.stopFailures(),
		CrashesByPoison: d.poisonCrashes,
	}
	hasRoom := map[turmericshed.ProfileName]bool{}
	for _, u := range d.users {
		if err := d.compareBudget(ctx, &r, u.assistant(), d.engineTokens(u), hasRoom); err != nil {
			return r, err
		}
		if err := d.compareBudget(ctx, &r, u.desk(), d.serviceTokens(u), hasRoom); err != nil {
			return r, err
		}
	}
	d.compareCalls(&r, hasRoom)
	d.events.mu.Lock()
	defer d.events.mu.Unlock()
	for id, n := range d.events.bills {
		if n > 1 {
			d.reportProgress("request %s has %d bills", id, n)
			r.BilledTwice++
		}
	}
	for _, reason := range d.events.violations {
		d.reportProgress("invariant broken: %s", reason)
	}
	r.InvariantsBroken = len(d.events.violations)
	return r, nil
}

// engineTokens returns the tokens that a user's engines consumed, from their books.
func (d *demo) engineTokens(u *user) turmericshed.Tokens {
	var sum turmericshed.Tokens
	for _, e := range d.cluster.engines[u.model] {
		for _, b := range e.Books() {
			sum += b.Prompt + b.Completion
		}
	}
	return sum
}

// serviceTokens returns the cost of the calls that a user's services ran.
func (d *demo) serviceTokens(u *user) turmericshed.Tokens {
	var sum turmericshed.Tokens
	for _, n := range d.cluster.books[u.service].Runs() {
		sum += turmericshed.Tokens(n) * callCost
	}
	return sum
}

// ledger reads the ledger of a profile.
func (d *demo) ledger(ctx context.Context, name turmericshed.ProfileName) (tsbudget.Ledger, error) {
	p, err := d.cluster.admin.Profile(ctx, name)
	if err != nil {
		return tsbudget.Ledger{}, err
	}
	return d.cluster.admin.Ledger(ctx, p)
}

// compareBudget compares the ledger of a profile with the tokens consumed, and adds
// the differences to r. It sets hasRoom for the profile if less than 90 % of its prepaid amount was consumed.
func (d *demo) compareBudget(ctx context.Context, r *Result, name turmericshed.ProfileName, consumed turmericshed.Tokens, hasRoom map[turmericshed.ProfileName]bool) error {
	l, err := d.ledger(ctx, name)
	if err != nil {
		return err
	}
	charged := l.Spent + l.OpenCharge()
	d.reportProgress("%s: prepaid %d, charged %d, consumed %d, open lots %d", name, l.Prepaid, charged, consumed, len(l.Lots))
	r.ConsumedTokens += consumed
	r.OverspendTokens += max(0, consumed-l.Prepaid)
	r.Unbilled += max(0, consumed-charged)
	r.BurntTokens += max(0, charged-consumed)
	hasRoom[name] = consumed < l.Prepaid*9/10
	return nil
}

// compareCalls compares each record of the callers with the services' books. Every
// backend server has spare capacity throughout the run, so each refusal under a
// budget with tokens left is a false refusal.
func (d *demo) compareCalls(r *Result, hasRoom map[turmericshed.ProfileName]bool) {
	runs := map[string]int{}
	for _, b := range d.cluster.books {
		for digest, n := range b.RunsByDigest() {
			runs[digest] += n
		}
	}
	for _, rec := range d.load.Book().Records() {
		if rec.Result == tsload.ResultRefused && hasRoom[rec.Profile] {
			r.FalseRefusals++
			d.reportProgress("refused: %s %s after %d attempts: %s %s", rec.Profile, rec.Work, rec.Attempts, rec.Kind, rec.Message)
		}
		if rec.Work != tsload.WorkCall {
			continue
		}
		n := runs[rec.BodyDigest]
		switch {
		case n > 1:
			r.DoubledCalls++
		case n == 0 && rec.Result == tsload.ResultAnswered:
			r.LostCalls++
		case n > 0 && rec.Result == tsload.ResultRefused:
			r.FalseNotRun++
		}
	}
}

func (d *demo) summaryLine() string {
	s := d.load.Book().Summary()
	return fmt.Sprintf("%d requests, %d answered, %d refused, %d failed, %d unknown, %d retries",
		s.Requests, s.Answered, s.Refused, s.Failed, s.Unknown, s.Retries)
}
