// Package tslink estimates how loaded an entry VM's network link is, from the bytes that its
// process reads and writes. It performs no I/O: time is an argument, and callers serialize
// access.
//
// A process cannot observe the queue at its link. It has the bytes that it wrote and the
// link's rate, so that it models the outbound queue as a leaky bucket. Inbound bytes have
// left the queue when they are read; only the part of the capacity in use is measurable,
// and a fully used link has a queue of unknown length. A link is congested if its use or its
// queue makes other processes appear slow that are not. A process that is itself late counts
// as a congested link.
//
// # Usage
//
//	l := tslink.New(1_250_000)        // bytes a second, each way
//	l.RecordTraffic(now, tslink.Outbound, n)  // after each read and write
//	if l.Congested(now, began) { ... }  // a timeout since began proves nothing
package tslink

import "time"

// Direction is the direction of traffic.
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
	// The load is averaged over loadSteps steps of loadStep.
	loadSteps = 5
	loadStep  = 100 * time.Millisecond
	// A link is congested from a load of congestedLoad, as a part of its capacity, or an outbound
	// queue of congestedQueueDelay.
	congestedLoad       = 0.8
	congestedQueueDelay = 100 * time.Millisecond
	// TickInterval is how often to call [Link.RecordTick], and stallThreshold the time since the last
	// call above which the process itself is late.
	TickInterval   = 100 * time.Millisecond
	stallThreshold = TickInterval + 150*time.Millisecond
)

// Link tracks the load of one link.
type Link struct {
	// bytesPerSecond is the rate in each direction; 0 for a link that is never congested.
	bytesPerSecond    float64
	inbound, outbound flow
	// congestedAt is when the link was last found congested.
	congestedAt time.Time
	// tickedAt is the time of the last Look; zero before the first.
	tickedAt time.Time
}

// flow is the traffic in one direction of a link.
type flow struct {
	// queuedBytes is the length of the queue at drainedAt.
	queuedBytes float64
	drainedAt   time.Time
	// stepBytes holds the bytes of the latest steps; step is the number of the newest one since
	// startedAt.
	stepBytes [loadSteps + 1]float64
	step      int64
	startedAt time.Time
}

// New returns a link without traffic that carries bytesPerSecond in each direction; 0 means
// that the capacity is unknown, and such a link is never congested.
func New(bytesPerSecond float64) *Link { return &Link{bytesPerSecond: bytesPerSecond} }

func (l *Link) flow(d Direction) *flow {
	if d == Inbound {
		return &l.inbound
	}
	return &l.outbound
}

// RecordTraffic counts n bytes that were read or written.
func (l *Link) RecordTraffic(now time.Time, d Direction, n int) {
	if l.bytesPerSecond <= 0 {
		return
	}
	f := l.flow(d)
	f.drain(now, l.bytesPerSecond)
	f.queuedBytes += float64(n)
	f.advance(now)
	f.stepBytes[f.step%(loadSteps+1)] += float64(n)
	l.updateCongested(now)
}

// Queue returns the time until all bytes written so far have left the queue.
func (l *Link) Queue(now time.Time) time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	l.outbound.drain(now, l.bytesPerSecond)
	return time.Duration(l.outbound.queuedBytes / l.bytesPerSecond * float64(time.Second))
}

// Delay returns the time until size bytes written now have left the queue.
func (l *Link) Delay(now time.Time, size int) time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	return l.Queue(now) + time.Duration(float64(size)/l.bytesPerSecond*float64(time.Second))
}

// Load returns the bytes of the last half second as a part of the link's capacity in that
// time. It may exceed 1 because of bytes that wait in buffers.
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

// RecordTick records that the process is running. Call it each TickInterval. A process that is
// later than that was frozen or lacks processor time. Answers then wait for the process as
// they would at the link, and its timeouts prove as little.
func (l *Link) RecordTick(now time.Time) {
	l.updateCongested(now)
	l.tickedAt = now
}

// Congested reports whether bytes waited at the link, or for the process, at any time from
// since on.
func (l *Link) Congested(now, since time.Time) bool {
	l.updateCongested(now)
	return !l.congestedAt.IsZero() && !l.congestedAt.Before(since)
}

// updateCongested records whether the link is congested now.
func (l *Link) updateCongested(now time.Time) {
	stalled := !l.tickedAt.IsZero() && now.Sub(l.tickedAt) > stallThreshold
	if stalled || max(l.Load(now, Inbound), l.Load(now, Outbound)) >= congestedLoad || l.Queue(now) >= congestedQueueDelay {
		l.congestedAt = now
	}
}

// drain removes the bytes that passed the link since the last call.
func (f *flow) drain(now time.Time, rate float64) {
	if d := now.Sub(f.drainedAt); d > 0 {
		f.queuedBytes = max(f.queuedBytes-rate*d.Seconds(), 0)
		f.drainedAt = now
	}
}

// advance drops the steps that are older than the window.
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
