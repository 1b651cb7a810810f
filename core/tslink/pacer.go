package tslink

import (
	"slices"
	"time"
)

// Pacing. Bodies of requests are most of what an entry VM sends. When many of
// them may go at once, for instance when tokens come in that they waited for,
// they fill the link's queue, and what is short waits behind them: answers to
// callers, handshakes, draws from budgets. So bodies wait in the process for
// their turn, and the queue at the link stays short.
//
// The turns follow start-time fair queueing over client accounts (Goyal, Vin,
// Cheng, "Start-time Fair Queueing", 1996), so that an account that sends much
// does not hold up the others. A body that can't go in time is refused at once.
//
// Example: at 1 MB/s with a slack of 25 ms, bodies of 10 kB that come together
// go in pairs or threes at first, and then one each 10 ms.

const (
	// pacedFraction of the link's rate is for bodies; the rest is for what is short.
	pacedFraction = 0.9
	// pacedSlack is how much may be sent ahead of the rate.
	pacedSlack = 25 * time.Millisecond
)

// Ticket names a body that waits.
type Ticket uint64

// Pacer orders the bodies that wait for a link.
type Pacer struct {
	bytesPerSecond float64
	// freeAt is when all that was let go has left.
	freeAt time.Time
	// virtualTime is the start tag of the last body that was let go, finish has
	// the tags at which the accounts' last ones end. Tags are in bytes.
	virtualTime float64
	finishTags  map[string]float64
	waiting []queuedBody
}

// queuedBody is one that waits.
type queuedBody struct {
	ticket Ticket
	startTag  float64
	size   int
}

// NewPacer returns a pacer for a link that carries rate bytes a second; 0 lets
// everything go at once.
func NewPacer(rate float64) *Pacer {
	return &Pacer{bytesPerSecond: rate * pacedFraction, finishTags: make(map[string]float64)}
}

// Offer asks to send size bytes of an account. It reports whether they may go
// now, else how long they will wait about.
func (p *Pacer) Offer(now time.Time, t Ticket, account string, size int) (wait time.Duration, ready bool) {
	if p.bytesPerSecond <= 0 {
		return 0, true
	}
	start := max(p.virtualTime, p.finishTags[account])
	p.finishTags[account] = start + float64(size)
	if len(p.waiting) == 0 && p.hasCapacity(now) {
		p.release(now, queuedBody{t, start, size})
		return 0, true
	}
	b := queuedBody{t, start, size}
	i, _ := slices.BinarySearchFunc(p.waiting, b, func(a, b queuedBody) int {
		if a.startTag <= b.startTag {
			return -1
		}
		return 1
	})
	p.waiting = slices.Insert(p.waiting, i, b)
	ahead := 0
	for _, w := range p.waiting[:i] {
		ahead += w.size
	}
	return max(p.freeAt.Sub(now)-pacedSlack, 0) + p.duration(ahead), false
}

// Ready returns the bodies that may go now, and how long until it is worth
// asking again; 0 when nothing waits.
func (p *Pacer) Ready(now time.Time) (ready []Ticket, again time.Duration) {
	for len(p.waiting) > 0 && p.hasCapacity(now) {
		b := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.release(now, b)
		ready = append(ready, b.ticket)
	}
	if len(p.waiting) == 0 {
		return ready, 0
	}
	return ready, max(p.freeAt.Sub(now)-pacedSlack, time.Millisecond)
}

// Cancel takes out a body that waits.
func (p *Pacer) Cancel(t Ticket) {
	p.waiting = slices.DeleteFunc(p.waiting, func(b queuedBody) bool { return b.ticket == t })
}

// hasCapacity reports whether one more body may go now.
func (p *Pacer) hasCapacity(now time.Time) bool { return p.freeAt.Sub(now) <= pacedSlack }

// release counts a body as on its way.
func (p *Pacer) release(now time.Time, b queuedBody) {
	p.virtualTime = max(p.virtualTime, b.startTag)
	if p.freeAt.Before(now) {
		p.freeAt = now
		if len(p.waiting) == 0 {
			// An idle link owes nobody anything.
			clear(p.finishTags)
		}
	}
	p.freeAt = p.freeAt.Add(p.duration(b.size))
}

// duration returns how long bytes take to leave.
func (p *Pacer) duration(size int) time.Duration {
	return time.Duration(float64(size) / p.bytesPerSecond * float64(time.Second))
}
