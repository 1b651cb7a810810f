package tssoak

import (
	"fmt"
	"strings"
	"time"

	"turmericshed"
)

const (
	// attemptsAtMost bounds a caller's attempts.
	attemptsAtMost = 8
	// callerDeadline is told to the fleet, callerWait how long a caller waits.
	callerDeadline = 20 * time.Second
	callerWait     = 30 * time.Second
	// promptTemplate is the part of the worst case beyond the prompt.
	promptTemplate = 40
)

// profileNames are the profiles of the run, the work of the first ones is
// generation.
var profileNames = [...]turmericshed.ProfileName{"counter", "circle", "edge"}

// lengths are the bounds of answers. Many answers are of the same length, so
// that their frames could pass for each other.
var lengths = [...]turmericshed.Tokens{120, 480, 1200}

// request is one caller's request with all its attempts.
type request struct {
	w       *world
	n       int
	key     string
	account turmericshed.AccountID
	profile turmericshed.ProfileName
	digest  turmericshed.Digest
	poison  bool
	call    bool
	prompt  turmericshed.Tokens
	// worst is what is reserved, at least prompt and maxTokens.
	worst     turmericshed.Tokens
	maxTokens turmericshed.Tokens
	attempts  int
	try       *callerTry
	// mayHaveRun is set once an attempt was not told not_run.
	mayHaveRun bool
	finished   bool
}

// callerTry is one attempt at one VM.
type callerTry struct {
	req      *request
	v        *vm
	work     any
	deadline time.Time
	over     bool
}

// callers make requests.
type callers struct {
	w    *world
	open []*request
}

// arrive plans the next request after this one.
func (c *callers) arrive() {
	w := c.w
	gap := time.Duration(w.rnd.ExpFloat64() * float64(time.Second) / w.o.Rate)
	w.at(gap, func() {
		if w.healed {
			return
		}
		c.make()
		c.arrive()
	})
}

// make makes a random request.
func (c *callers) make() {
	c.send(profileNames[c.w.rnd.IntN(len(profileNames))], c.w.chance(0.2))
}

// send makes a request of a profile, a call or a generation.
func (c *callers) send(profile turmericshed.ProfileName, call bool) {
	w := c.w
	w.books.Requests++
	r := &request{w: w, n: w.books.Requests, account: turmericshed.AccountID(fmt.Sprintf("account-%d", w.rnd.IntN(6)))}
	r.key = fmt.Sprintf("key-%d", r.n)
	r.digest = turmericshed.Digest(fmt.Sprintf("digest-%d", r.n))
	r.profile, r.call = profile, call
	if r.call {
		w.books.Calls++
	}
	r.poison = !r.call && w.chance(0.002)
	r.prompt = turmericshed.Tokens(10 + w.rnd.IntN(400))
	r.maxTokens = lengths[w.rnd.IntN(len(lengths))]
	r.worst = 2*r.prompt + promptTemplate + r.maxTokens
	c.open = append(c.open, r)
	r.attempt()
}

// attempt sends the request to a VM that the balancer believes to live.
func (r *request) attempt() {
	w := r.w
	r.attempts++
	v := w.vms[w.rnd.IntN(len(w.vms))]
	t := &callerTry{req: r, v: v, deadline: w.now.Add(callerDeadline)}
	r.try = t
	if v.dead {
		r.result(t, turmericshed.NewError(turmericshed.KindNoBackend, "no connection"))
		return
	}
	w.at(w.between(time.Millisecond, 3*time.Millisecond), func() {
		v.do(func() {
			if r.call {
				v.place(t)
				return
			}
			v.generate(t)
		})
	})
	w.at(callerWait, func() { r.result(t, turmericshed.NewError(turmericshed.KindCallUnknown, "no answer")) })
}

// ended takes an error of the attempt whose work it is.
func (r *request) ended(work any, err error) {
	if r.try != nil && r.try.work == work {
		t := r.try
		r.w.at(time.Millisecond, func() { r.result(t, err) })
	}
}

// result ends an attempt with an error.
func (r *request) result(t *callerTry, err error) {
	if t.over || r.finished {
		return
	}
	t.over = true
	w := r.w
	outcome := turmericshed.OutcomeOf(err)
	if outcome != turmericshed.OutcomeNotRun {
		r.mayHaveRun = true
	}
	kind := turmericshed.KindOf(err)
	again := kind.Info().Retryable || outcome == turmericshed.OutcomeUnknown || r.poison
	if again && r.attempts < attemptsAtMost && !w.healed {
		w.at(w.between(500*time.Millisecond, 4*time.Second), r.attempt)
		return
	}
	r.finish()
	switch {
	case r.mayHaveRun && r.call:
		w.books.Unknown++
	case r.mayHaveRun:
		w.books.Failed++
	default:
		w.books.Refused[kind.String()]++
		w.books.told[r.runKey()] = true
		turmericshed.Assert(!r.call || w.books.runs[r.runKey()] == 0, "not_run_is_true", "%s was told %s and ran", r.key, kind)
	}
}

// runKey names the request in the service's books.
func (r *request) runKey() string { return string(r.account) + "/" + r.key }

func (r *request) finish() {
	r.finished = true
	c := r.w.callers
	for i, o := range c.open {
		if o == r {
			c.open = append(c.open[:i], c.open[i+1:]...)
			return
		}
	}
}

// answered takes a generation's answer and checks that it is whole and the
// caller's own.
func (r *request) answered(work any, text string, usage turmericshed.Usage) {
	if r.finished || r.try == nil || r.try.work != work || r.try.over {
		return
	}
	length := min(lengthOf(r.digest), r.maxTokens)
	per := (length + framesAtMost - 1) / framesAtMost
	var want strings.Builder
	for i := range int((length + per - 1) / per) {
		fmt.Fprintf(&want, "%s.%d ", r.digest, i)
	}
	turmericshed.Assert(text == want.String(), "answer_whole_and_own", "%s: got %q, want %q", r.key, text, want.String())
	turmericshed.Assert(usage.Prompt == r.prompt && usage.Completion == length, "usage_is_true", "%s: %v", r.key, usage)
	r.try.over = true
	r.w.books.Answered++
	r.finish()
}

// answeredCall takes a call's answer.
func (r *request) answeredCall(t *callerTry, a turmericshed.Answer) {
	r.w.at(time.Millisecond, func() {
		if t.over || r.finished {
			return
		}
		turmericshed.Assert(string(a.Body) == r.runKey(), "answer_whole_and_own", "%s: got %q", r.key, a.Body)
		turmericshed.Assert(r.w.books.runs[r.runKey()] == 1, "answered_call_ran", "%s", r.key)
		t.over = true
		r.w.books.Answered++
		r.finish()
	})
}

// broken ends the attempts at a VM that went away.
func (c *callers) broken(v *vm) {
	for _, r := range append([]*request(nil), c.open...) {
		if r.try != nil && r.try.v == v && !r.try.over {
			r.result(r.try, turmericshed.NewError(turmericshed.KindCallUnknown, "the connection broke"))
		}
	}
}
