// Package tslink follows how full an entry VM's network link is, from the
// bytes that its process reads and writes. It is pure: time comes in as an
// argument, and callers serialize access.
//
// A process does not see the queue at its link. It knows what it wrote and what
// the link can carry, so that the outbound queue is that of a leaky bucket.
// Inbound bytes have left the queue when they are read; there only the part of
// the capacity that is in use can be told, and behind a link in full use there
// is a queue of unknown length. A link is crowded when either tells that others
// seem slow which are not. A process that is late itself is taken for the same.
//
// # Usage
//
//	l := tslink.New(1_250_000)        // bytes a second, each way
//	l.Moved(now, tslink.Outbound, n)  // after each read and write
//	if l.Crowded(now, began) { ... }  // a time-out since began proves nothing
package tslink

import "time"

// Direction is the way that bytes take.
type Direction int

// The directions.
const (
	Inbound Direction = iota + 1
	Outbound
)

// String returns the snake-case name.
func (d Direction) String() string {
	if d == Inbound {
		return "inbound"
	}
	return "outbound"
}

const (
	// loadSteps of loadStep are the window over which a load is taken.
	loadSteps = 5
	loadStep  = 100 * time.Millisecond
	// crowdedLoad is the part of the capacity in use, and crowdedQueue the
	// outbound queue, from which a link is crowded.
	crowdedLoad  = 0.8
	crowdedQueueDelay = 100 * time.Millisecond
	// LookInterval is how often [Link.Look] is to be called, and stalledAfter the
	// time without a look from which the process itself is late.
	LookInterval = 100 * time.Millisecond
	stallThreshold = LookInterval + 150*time.Millisecond
)

// Link follows one link.
type Link struct {
	// bytesPerSecond is in bytes a second each way; 0 for a link that is never crowded.
	bytesPerSecond    float64
	inbound, outbound flow
	// crowdedAt is when the link was last seen crowdedAt.
	crowdedAt time.Time
	// lookedAt is the last look; zero before the first.
	lookedAt time.Time
}

// flow is one direction of a link.
type flow struct {
	// queuedBytes is in bytes, as of the time at.
	queuedBytes float64
	drainedAt    time.Time
	// stepBytes has the bytes of the newest steps; step is the number of the newest
	// one since begun.
	stepBytes [loadSteps + 1]float64
	step  int64
	startedAt time.Time
}

// New returns a link without traffic that carries rate bytes a second each way;
// 0 stands for a capacity that nobody told, and such a link is never crowded.
func New(rate float64) *Link { return &Link{bytesPerSecond: rate} }

func (l *Link) flow(d Direction) *flow {
	if d == Inbound {
		return &l.inbound
	}
	return &l.outbound
}

// Moved counts n bytes that were read or written.
func (l *Link) Moved(now time.Time, d Direction, n int) {
	if l.bytesPerSecond <= 0 {
		return
	}
	f := l.flow(d)
	f.drain(now, l.bytesPerSecond)
	f.queuedBytes += float64(n)
	f.advance(now)
	f.stepBytes[f.step%(loadSteps+1)] += float64(n)
	l.updateCrowded(now)
}

// Queue returns the time until what was written so far has left.
func (l *Link) Queue(now time.Time) time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	l.outbound.drain(now, l.bytesPerSecond)
	return time.Duration(l.outbound.queuedBytes / l.bytesPerSecond * float64(time.Second))
}

// Delay returns the time until size bytes that are written now have left.
func (l *Link) Delay(now time.Time, size int) time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	return l.Queue(now) + time.Duration(float64(size)/l.bytesPerSecond*float64(time.Second))
}

// Load returns the bytes of the last half second over what the link carries in
// that time. It may be above 1 for what still waits in buffers.
func (l *Link) Load(now time.Time, d Direction) float64 {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	f := l.flow(d)
	f.advance(now)
	var sum float64
	for back := range int64(loadSteps) {
		if s := f.step - 1 - back; s >= 0 {
			sum += f.stepBytes[s%(loadSteps+1)]
		}
	}
	return sum / (l.bytesPerSecond * (loadSteps * loadStep).Seconds())
}

// Look is to be called each LookInterval. A process that can't keep to that was
// frozen, or is short of processor time; then answers wait for it as they would
// at the link, and its time-outs tell as little.
func (l *Link) Look(now time.Time) {
	l.updateCrowded(now)
	l.lookedAt = now
}

// Crowded reports whether bytes waited at the link, or for the process, at some
// time since then.
func (l *Link) Crowded(now, since time.Time) bool {
	l.updateCrowded(now)
	return !l.crowdedAt.IsZero() && !l.crowdedAt.Before(since)
}

// updateCrowded notes whether the link is crowded.
func (l *Link) updateCrowded(now time.Time) {
	stalled := !l.lookedAt.IsZero() && now.Sub(l.lookedAt) > stallThreshold
	if stalled || max(l.Load(now, Inbound), l.Load(now, Outbound)) >= crowdedLoad || l.Queue(now) >= crowdedQueueDelay {
		l.crowdedAt = now
	}
}

// drain takes out what passed the link since the last call.
func (f *flow) drain(now time.Time, rate float64) {
	if d := now.Sub(f.drainedAt); d > 0 {
		f.queuedBytes = max(f.queuedBytes-rate*d.Seconds(), 0)
		f.drainedAt = now
	}
}

// advance drops the steps that left the window.
func (f *flow) advance(now time.Time) {
	if f.startedAt.IsZero() {
		f.startedAt = now
	}
	step := int64(now.Sub(f.startedAt) / loadStep)
	if step-f.step > loadSteps {
		clear(f.stepBytes[:])
		f.step = step
	}
	for f.step < step {
		f.step++
		f.stepBytes[f.step%(loadSteps+1)] = 0
	}
}
