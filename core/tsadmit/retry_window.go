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
	retries  [retryBuckets + 1]int
	// startedAt is the first use; the clock's later settings don't matter then.
	startedAt time.Time
	// currentStep is the number of the newest bucket since begun.
	currentStep int64
}

// Request counts a request, however often it is sent.
func (w *RetryWindow) Request(now time.Time) {
	w.advance(now)
	w.requests[w.currentStep%(retryBuckets+1)]++
}

// Allow reports whether one more repeat is within the bound, and counts it.
func (w *RetryWindow) Allow(now time.Time) bool {
	w.advance(now)
	var requests, retries int
	for _, n := range w.retries {
		retries += n
	}
	for back := range int64(retryBuckets / 2) {
		if w.currentStep >= back {
			requests += w.requests[(w.currentStep-back)%(retryBuckets+1)]
		}
	}
	if float64(retries+1) > w.Ratio*float64(requests)+w.Slack {
		return false
	}
	w.retries[w.currentStep%(retryBuckets+1)]++
	return true
}

// advance drops what left the window.
func (w *RetryWindow) advance(now time.Time) {
	if w.startedAt.IsZero() {
		w.startedAt = now
	}
	step := int64(now.Sub(w.startedAt) / max(w.Window/retryBuckets, 1))
	if step-w.currentStep > retryBuckets {
		clear(w.requests[:])
		clear(w.retries[:])
		w.currentStep = step
	}
	for w.currentStep < step {
		w.currentStep++
		w.requests[w.currentStep%(retryBuckets+1)], w.retries[w.currentStep%(retryBuckets+1)] = 0, 0
	}
}
