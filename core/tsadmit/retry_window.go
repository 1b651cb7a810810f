package tsadmit

import "time"

// retryBuckets divide the window; a finer count changes little.
const retryBuckets = 20

// RetryWindow bounds the repeats that one entry VM sends to a service within
// any window to Ratio of its requests plus Slack, so that the sum over all
// entry VMs keeps the fleet's bound without their talking to each other. Each
// gets an equal part of the fleet's slack.
//
// The requests of a window are those in it, or in the one that began half a
// window earlier, whichever are more. A repeat is allowed by the requests of
// the last half window alone: these lie whole in one of the two, wherever a
// window that has this repeat begins. The window moves in steps; repeats of
// the oldest step are dropped a step late.
type RetryWindow struct {
	Ratio  float64
	Slack  float64
	Window time.Duration

	requests [retryBuckets + 1]int
	repeats  [retryBuckets + 1]int
	// begun is the first use; the clock's later settings don't matter then.
	begun time.Time
	// step is the number of the newest bucket since begun.
	step int64
}

// Request counts a request, however often it is sent.
func (w *RetryWindow) Request(now time.Time) {
	w.advance(now)
	w.requests[w.step%(retryBuckets+1)]++
}

// Allow reports whether one more repeat is within the bound, and counts it.
func (w *RetryWindow) Allow(now time.Time) bool {
	w.advance(now)
	var requests, repeats int
	for _, n := range w.repeats {
		repeats += n
	}
	for back := range int64(retryBuckets / 2) {
		if w.step >= back {
			requests += w.requests[(w.step-back)%(retryBuckets+1)]
		}
	}
	if float64(repeats+1) > w.Ratio*float64(requests)+w.Slack {
		return false
	}
	w.repeats[w.step%(retryBuckets+1)]++
	return true
}

// advance drops what left the window.
func (w *RetryWindow) advance(now time.Time) {
	if w.begun.IsZero() {
		w.begun = now
	}
	step := int64(now.Sub(w.begun) / max(w.Window/retryBuckets, 1))
	if step-w.step > retryBuckets {
		clear(w.requests[:])
		clear(w.repeats[:])
		w.step = step
	}
	for w.step < step {
		w.step++
		w.requests[w.step%(retryBuckets+1)], w.repeats[w.step%(retryBuckets+1)] = 0, 0
	}
}
