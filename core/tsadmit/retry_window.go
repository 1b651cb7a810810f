package tsadmit

import "time"

// retryBuckets is the number of steps in a window; a finer resolution changes
// little.
const retryBuckets = 20

// RetryWindow limits the retries that one entry VM sends to a service, within
// any window, to Ratio times its requests plus Slack. Each entry VM gets an
// equal part of the fleet's slack, so that the sum over all entry VMs stays
// within the fleet's limit without coordination.
//
// The requests of a window are those in it or those in the window that began
// half a window earlier, whichever are more. Allow counts only the requests of
// the last half window, because these are entirely in one of the two for every
// window that contains the new retry. The window advances in steps; retries of
// the oldest step are dropped one step late.
type RetryWindow struct {
	Ratio  float64
	Slack  float64
	Window time.Duration

	requests [retryBuckets + 1]int
	retries  [retryBuckets + 1]int
	// startedAt is the time of the first use. Times are relative to it, so
	// later changes of the wall clock have no effect.
	startedAt time.Time
	// currentStep is the number of steps since startedAt. Its bucket is the
	// newest.
	currentStep int64
}

// Request counts a request once, however often it is sent.
func (w *RetryWindow) Request(now time.Time) {
	w.advance(now)
	w.requests[w.currentStep%(retryBuckets+1)]++
}

// Allow reports whether one more retry is within the limit, and counts it.
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

// advance moves the window to now and drops the buckets that are no longer in
// it.
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
