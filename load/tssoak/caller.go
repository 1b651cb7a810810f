package tssoak

import (
	"fmt"
	"strings"
	"time"

	"turmericshed"
)

const (
	// maxAttempts bounds the attempts of a request.
	maxAttempts = 8
	// callerDeadline is the deadline that a caller sends with an attempt, and
	// callerTimeout how long the caller waits for the result.
	callerDeadline = 20 * time.Second
	callerTimeout  = 30 * time.Second
	// promptTemplateTokens is the allowance in a request's worst case for the
	// prompt template.
	promptTemplateTokens = 40
)

// profileNames holds the names of the profiles of a run. Each profile serves
// generations and calls.
var profileNames = [...]turmericshed.ProfileName{"counter", "circle", "edge"}

// maxTokensChoices are the token limits of the requests. They are few, so that
// many answers have the same length and a misrouted frame fits the other answer.
var maxTokensChoices = [...]turmericshed.Tokens{120, 480, 1200}

// request is a request of a caller, with the state of its attempts.
type request struct {
	w            *world
	number       int
	key          string
	account      turmericshed.AccountID
	profile      turmericshed.ProfileName
	digest       turmericshed.Digest
	isPoison     bool
	isCall       bool
	promptTokens turmericshed.Tokens
	// worstCase is the number of tokens to reserve: at least promptTokens plus
	// maxTokens.
	worstCase turmericshed.Tokens
	maxTokens turmericshed.Tokens
	attempts  int
	current   *callerAttempt
	// mayHaveRun is set once an attempt ended with an outcome other than not_run.
	mayHaveRun bool
	finished   bool
}

// callerAttempt is one attempt of a request, at one VM.
type callerAttempt struct {
	req *request
	vm  *vm
	// work is what serves the attempt: a *generation, or for a call the attempt
	// itself. Results of other work are ignored.
	work     any
	deadline time.Time
	ended    bool
}

// callers generates the load and holds the requests without a result.
type callers struct {
	w            *world
	openRequests []*request
}

// scheduleNext schedules the next random request. The gaps are exponentially
// distributed.
func (c *callers) scheduleNext() {
	w := c.w
	gap := time.Duration(w.rnd.ExpFloat64() * float64(time.Second) / w.options.Rate)
	w.schedule(gap, func() {
		if w.healed {
			return
		}
		c.sendRandom()
		c.scheduleNext()
	})
}

// sendRandom sends a request of a random profile, with a 20% chance of a call.
func (c *callers) sendRandom() {
	c.send(profileNames[c.w.rnd.IntN(len(profileNames))], c.w.chance(0.2))
}

// send creates a request of the profile and starts its first attempt. With isCall
// the request is a call, otherwise a generation.
func (c *callers) send(profile turmericshed.ProfileName, isCall bool) {
	w := c.w
	w.books.requests++
	r := &request{w: w, number: w.books.requests, account: turmericshed.AccountID(fmt.Sprintf("account-%d", w.rnd.IntN(6)))}
	r.key = fmt.Sprintf("key-%d", r.number)
	r.digest = turmericshed.Digest(fmt.Sprintf("digest-%d", r.number))
	r.profile, r.isCall = profile, isCall
	if r.isCall {
		w.books.calls++
	}
	r.isPoison = !r.isCall && w.chance(0.002)
	r.promptTokens = turmericshed.Tokens(10 + w.rnd.IntN(400))
	r.maxTokens = maxTokensChoices[w.rnd.IntN(len(maxTokensChoices))]
	r.worstCase = 2*r.promptTokens + promptTemplateTokens + r.maxTokens
	c.openRequests = append(c.openRequests, r)
	r.startAttempt()
}

// startAttempt sends the request to a random VM. The attempt fails immediately
// when that VM is dead.
func (r *request) startAttempt() {
	w := r.w
	r.attempts++
	v := w.vms[w.rnd.IntN(len(w.vms))]
	t := &callerAttempt{req: r, vm: v, deadline: w.now.Add(callerDeadline)}
	r.current = t
	if v.dead {
		r.endAttempt(t, turmericshed.NewError(turmericshed.KindNoBackend, "no connection to the entry VM"))
		return
	}
	w.schedule(w.between(time.Millisecond, 3*time.Millisecond), func() {
		v.runOrQueue(func() {
			if r.isCall {
				v.acceptCall(t)
				return
			}
			v.generate(t)
		})
	})
	w.schedule(callerTimeout, func() {
		r.endAttempt(t, turmericshed.NewError(turmericshed.KindCallUnknown, "entry VM did not answer in time"))
	})
}

// failAttempt ends the current attempt with err if work serves that attempt.
// Otherwise it does nothing.
func (r *request) failAttempt(work any, err error) {
	if r.current != nil && r.current.work == work {
		t := r.current
		r.w.schedule(time.Millisecond, func() { r.endAttempt(t, err) })
	}
}

// endAttempt ends an attempt with an error. It schedules another attempt when one
// is allowed, and otherwise records the result of the request.
func (r *request) endAttempt(t *callerAttempt, err error) {
	if t.ended || r.finished {
		return
	}
	t.ended = true
	w := r.w
	outcome := turmericshed.OutcomeOf(err)
	if outcome != turmericshed.OutcomeNotRun {
		r.mayHaveRun = true
	}
	kind := turmericshed.KindOf(err)
	retry := kind.Info().Retryable || outcome == turmericshed.OutcomeUnknown || r.isPoison
	if retry && r.attempts < maxAttempts && !w.healed {
		w.schedule(w.between(500*time.Millisecond, 4*time.Second), r.startAttempt)
		return
	}
	r.finish()
	switch {
	case r.mayHaveRun && r.isCall:
		w.books.unknown++
	case r.mayHaveRun:
		w.books.failed++
	default:
		w.books.refused[kind.String()]++
		w.books.reportedNotRun[r.runKey()] = true
		turmericshed.Assert(!r.isCall || w.books.callRuns[r.runKey()] == 0, "not_run_is_true", "%s was told %s and ran", r.key, kind)
	}
}

// runKey identifies the request's call in the books.
func (r *request) runKey() string { return string(r.account) + "/" + r.key }

// finish marks the request as finished and removes it from the open ones.
func (r *request) finish() {
	r.finished = true
	c := r.w.callers
	for i, o := range c.openRequests {
		if o == r {
			c.openRequests = append(c.openRequests[:i], c.openRequests[i+1:]...)
			return
		}
	}
}

// acceptAnswer handles the answer to a generation. It asserts that the answer is
// complete and belongs to this request, and that its usage is correct.
func (r *request) acceptAnswer(work any, text string, usage turmericshed.Usage) {
	if r.finished || r.current == nil || r.current.work != work || r.current.ended {
		return
	}
	length := min(completionLength(r.digest), r.maxTokens)
	tokensPerFrame := (length + maxFrames - 1) / maxFrames
	var want strings.Builder
	for i := range int((length + tokensPerFrame - 1) / tokensPerFrame) {
		fmt.Fprintf(&want, "%s.%d ", r.digest, i)
	}
	turmericshed.Assert(text == want.String(), "answer_whole_and_own", "%s: got %q, want %q", r.key, text, want.String())
	turmericshed.Assert(usage.Prompt == r.promptTokens && usage.Completion == length, "usage_is_true", "%s: %v", r.key, usage)
	r.current.ended = true
	r.w.books.answered++
	r.finish()
}

// acceptCallAnswer handles the answer to a call. It asserts that the answer belongs
// to this request and that the call ran once.
func (r *request) acceptCallAnswer(t *callerAttempt, a turmericshed.Answer) {
	r.w.schedule(time.Millisecond, func() {
		if t.ended || r.finished {
			return
		}
		turmericshed.Assert(string(a.Body) == r.runKey(), "answer_whole_and_own", "%s: got %q", r.key, a.Body)
		turmericshed.Assert(r.w.books.callRuns[r.runKey()] == 1, "answered_call_ran", "%s", r.key)
		t.ended = true
		r.w.books.answered++
		r.finish()
	})
}

// breakConnections ends the attempts at a VM that terminated.
func (c *callers) breakConnections(v *vm) {
	for _, r := range append([]*request(nil), c.openRequests...) {
		if r.current != nil && r.current.vm == v && !r.current.ended {
			r.endAttempt(r.current, turmericshed.NewError(turmericshed.KindCallUnknown, "connection to the entry VM was lost"))
		}
	}
}
