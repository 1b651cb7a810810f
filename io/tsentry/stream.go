package tsentry

import (
	"context"
	"strings"
	"sync"
	"time"

	"turmericshed"
)

// Bounds on answers held in memory.
const (
	// maxAnswerBytes bounds the text of one answer.
	maxAnswerBytes = 1 << 20
	// answerRetention is how long a whole answer can be replayed to a retry.
	answerRetention = 60 * time.Second
	// orphanGrace is how long a generation with an idempotency key goes on
	// after its last caller hung up, so that a retry can join it.
	orphanGrace = 3 * time.Second
)

// answer is the growing answer of one generation. Callers read it from the
// start, at their own pace; the generation never waits for them.
type answer struct {
	request turmericshed.RequestID
	account turmericshed.AccountID
	key     string
	digest  turmericshed.Digest
	started time.Time
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	frames  []turmericshed.Frame
	bytes   int
	ended   bool
	err     error
	changed chan struct{}
	readers int
}

// append adds the next frame and wakes the readers.
func (a *answer) append(f turmericshed.Frame) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	turmericshed.Assert(!a.ended, "no_frame_after_end", "request %s frame %d", a.request, f.Seq)
	turmericshed.Assert(f.Seq == len(a.frames), "frames_without_gap", "request %s frame %d after %d", a.request, f.Seq, len(a.frames))
	if a.bytes += len(f.Text); a.bytes > maxAnswerBytes {
		return turmericshed.NewError(turmericshed.KindStreamBroken, "answer is over %d bytes", maxAnswerBytes)
	}
	a.frames = append(a.frames, f)
	a.ended = f.End
	a.wake()
	return nil
}

// fail ends the answer with an error, unless it is whole already.
func (a *answer) fail(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	turmericshed.Assert(err != nil, "failure_has_reason", "request %s", a.request)
	a.ended, a.err = true, err
	a.wake()
}

func (a *answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// size returns the number of frames so far.
func (a *answer) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.frames)
}

// next returns the frames from the given sequence on, waiting for one. It
// returns the answer's error after the last frame.
func (a *answer) next(ctx context.Context, from int) ([]turmericshed.Frame, error) {
	for {
		a.mu.Lock()
		frames, ended, err, changed := a.frames, a.ended, a.err, a.changed
		a.mu.Unlock()
		if from < len(frames) {
			return frames[from:], nil
		}
		if ended {
			return nil, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, turmericshed.WithOutcome(
				turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "caller went away"), turmericshed.OutcomeUnknown)
		}
	}
}

// wait returns once the answer is whole or failed.
func (a *answer) wait(ctx context.Context) error {
	for next := 0; ; {
		frames, err := a.next(ctx, next)
		if err != nil {
			return err
		}
		next += len(frames)
		if frames[len(frames)-1].End {
			return nil
		}
	}
}

// whole returns the text and the end frame of an answer that wait returned.
func (a *answer) whole() (string, turmericshed.Frame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	end := a.frames[len(a.frames)-1]
	turmericshed.Assert(a.err == nil && end.End, "answer_is_whole", "request %s", a.request)
	var b strings.Builder
	b.Grow(a.bytes)
	for _, f := range a.frames {
		b.WriteString(f.Text)
	}
	return b.String(), end
}

// failed reports whether the answer ended with an error.
func (a *answer) failed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended && a.err != nil
}

// runKey names a generation that retries may join.
type runKey struct {
	account turmericshed.AccountID
	key     string
}

// runs are the generations of this process that retries may join.
type runs struct {
	mu   sync.Mutex
	open map[runKey]*answer
	base context.Context
}

func newRuns(base context.Context) *runs {
	return &runs{open: make(map[runKey]*answer), base: base}
}

// begin returns the generation that req belongs to and whether it was there
// before. KindKeyReused when the key came with another body.
func (r *runs) begin(req request) (a *answer, joined bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := runKey{req.account, req.key}
	if held, ok := r.open[k]; ok && req.key != "" && !held.failed() {
		if held.digest != req.digest {
			return nil, false, turmericshed.NewError(turmericshed.KindKeyReused, "the idempotency key came with another body")
		}
		held.join()
		return held, true, nil
	}
	a = newAnswer(r.base, req)
	if req.key != "" {
		r.open[k] = a
		time.AfterFunc(time.Until(req.deadline)+answerRetention, func() { r.forget(k, a) })
	}
	return a, false, nil
}

// find joins the generation of a key and body, if it is here and not failed.
func (r *runs) find(k runKey, digest turmericshed.Digest) (*answer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.open[k]
	if !ok || a.digest != digest || a.failed() {
		return nil, false
	}
	a.join()
	return a, true
}

func newAnswer(base context.Context, req request) *answer {
	ctx, cancel := context.WithDeadline(base, req.deadline)
	return &answer{
		request: req.id, account: req.account, key: req.key, digest: req.digest, started: time.Now(),
		ctx: ctx, cancel: cancel, changed: make(chan struct{}), readers: 1,
	}
}

func (r *runs) forget(k runKey, a *answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open[k] == a {
		delete(r.open, k)
	}
}

func (a *answer) join() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
}

// leave ends a caller's interest. The last one out cancels the generation, at
// once without an idempotency key, else after a grace period.
func (r *runs) leave(a *answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	if a.readers > 0 || a.ended {
		return
	}
	if a.key == "" {
		a.cancel()
		return
	}
	time.AfterFunc(orphanGrace, a.cancelIfOrphan)
}

func (a *answer) cancelIfOrphan() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.readers == 0 && !a.ended {
		a.cancel()
	}
}
