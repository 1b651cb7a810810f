package tssoak

import (
	"fmt"
	"strings"
	"time"

	"turmericshed"
)

const (
	// attemptsAtMost bounds a caller's attempts.
	maxAttempts = 8
	// callerDeadline is told to the fleet, callerWait how long a caller waits.
	callerDeadline = 20 * time.Second
	callerTimeout  = 30 * time.Second
	// promptTemplate is the part of the worst case beyond the prompt.
	promptTemplateTokens = 40
)

// profileNames are the profiles of the run, the work of the first ones is
// generation.
var profileNames = [...]turmericshed.ProfileName{"counter", "circle", "edge"}

// lengths are the bounds of answers. Many answers are of the same length, so
// that their frames could pass for each other.
var maxTokensChoices = [...]turmericshed.Tokens{120, 480, 1200}

// request is one caller's request with all its attempts.
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
	// worst is what is reserved, at least prompt and maxTokens.
	worstCase turmericshed.Tokens
	maxTokens turmericshed.Tokens
	attempts  int
	current   *callerAttempt
	// mayHaveRun is set once an attempt was not told not_run.
	mayHaveRun bool
	finished   bool
}

// callerTry is one attempt at one VM.
type callerAttempt struct {
	req      *request
	vm       *vm
	work     any
	deadline time.Time
	ended    bool
}

// callers make requests.
type callers struct {
	w            *world
	openRequests []*request
}

// arrive plans the next request after this one.
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

// make makes a random request.
func (c *callers) sendRandom() {
	c.send(profileNames[c.w.rnd.IntN(len(profileNames))], c.w.chance(0.2))
}

// send makes a request of a profile, a call or a generation.
func (c *callers) send(profile turmericshed.ProfileName, call bool) {
	w := c.w
	w.books.requests++
	r := &request{w: w, number: w.books.requests, account: turmericshed.AccountID(fmt.Sprintf("account-%d", w.rnd.IntN(6)))}
	r.key = fmt.Sprintf("key-%d", r.number)
	r.digest = turmericshed.Digest(fmt.Sprintf("digest-%d", r.number))
	r.profile, r.isCall = profile, call
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

// attempt sends the request to a VM that the balancer believes to live.
func (r *request) startAttempt() {
	w := r.w
	r.attempts++
	v := w.vms[w.rnd.IntN(len(w.vms))]
	t := &callerAttempt{req: r, vm: v, deadline: w.now.Add(callerDeadline)}
	r.current = t
	if v.dead {
		r.endAttempt(t, turmericshed.NewError(turmericshed.KindNoBackend, "no connection"))
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
	w.schedule(callerTimeout, func() { r.endAttempt(t, turmericshed.NewError(turmericshed.KindCallUnknown, "no answer")) })
}

// ended takes an error of the attempt whose work it is.
func (r *request) failAttempt(work any, err error) {
	if r.current != nil && r.current.work == work {
		t := r.current
		r.w.schedule(time.Millisecond, func() { r.endAttempt(t, err) })
	}
}

// result ends an attempt with an error.
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
	again := kind.Info().Retryable || outcome == turmericshed.OutcomeUnknown || r.isPoison
	if again && r.attempts < maxAttempts && !w.healed {
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

// runKey names the request in the service's books.
func (r *request) runKey() string { return string(r.account) + "/" + r.key }

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

// answered takes a generation's answer and checks that it is whole and the
// caller's own.
func (r *request) acceptAnswer(work any, text string, usage turmericshed.Usage) {
	if r.finished || r.current == nil || r.current.work != work || r.current.ended {
		return
	}
	length := min(completionLength(r.digest), r.maxTokens)
	per := (length + maxFrames - 1) / maxFrames
	var want strings.Builder
	for i := range int((length + per - 1) / per) {
		fmt.Fprintf(&want, "%s.%d ", r.digest, i)
	}
	turmericshed.Assert(text == want.String(), "answer_whole_and_own", "%s: got %q, want %q", r.key, text, want.String())
	turmericshed.Assert(usage.Prompt == r.promptTokens && usage.Completion == length, "usage_is_true", "%s: %v", r.key, usage)
	r.current.ended = true
	r.w.books.answered++
	r.finish()
}

// answeredCall takes a call's answer.
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

// broken ends the attempts at a VM that went away.
func (c *callers) breakConnections(v *vm) {
	for _, r := range append([]*request(nil), c.openRequests...) {
		if r.current != nil && r.current.vm == v && !r.current.ended {
			r.endAttempt(r.current, turmericshed.NewError(turmericshed.KindCallUnknown, "the connection broke"))
		}
	}
}
