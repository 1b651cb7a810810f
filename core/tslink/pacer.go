package tslink

import (
	"slices"
	"time"
)

// Pacing. Request bodies are most of an entry VM's outbound bytes. When many become
// ready at once, for instance when the tokens arrive that they waited for, they fill the
// link's queue, and short messages wait behind them: answers to callers, handshakes,
// draws from budgets. Bodies therefore wait in the process, and the queue at the link
// stays short.
//
// The order is start-time fair queueing over client accounts (Goyal, Vin, Cheng,
// "Start-time Fair Queueing", 1996), so that an account with much traffic does not delay
// the others. A body that cannot be sent in time is refused at once.
//
// Example: at 1 MB/s with a slack of 25 ms, bodies of 10 kB that arrive together are sent
// in twos or threes at first, and then one each 10 ms.

const (
	// pacedFraction is the part of the link's rate for bodies; the remainder is for short messages.
	pacedFraction = 0.9
	// pacedSlack is how far bodies may be sent ahead of the rate.
	pacedSlack = 25 * time.Millisecond
)

// Ticket identifies a waiting body.
type Ticket uint64

// Pacer orders the bodies that wait for a link.
type Pacer struct {
	bytesPerSecond float64
	// freeAt is when all released bodies have left the queue.
	freeAt time.Time
	// virtualTime is the start tag of the last released body. finishTags has the finish tag of
	// each account's last body. Tags are in bytes.
	virtualTime float64
	finishTags  map[string]float64
	waiting     []queuedBody
}

// queuedBody is a waiting body.
type queuedBody struct {
	ticket   Ticket
	startTag float64
	size     int
}

// NewPacer returns a pacer for a link that carries bytesPerSecond; 0 disables pacing.
func NewPacer(bytesPerSecond float64) *Pacer {
	return &Pacer{bytesPerSecond: bytesPerSecond * pacedFraction, finishTags: make(map[string]float64)}
}

// Offer requests to send size bytes for an account. It reports whether they may be sent now,
// and otherwise returns about how long they will wait.
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

// Ready returns the bodies that may be sent now, and the time until the next call is useful;
// 0 if no body waits.
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

// Cancel removes a waiting body.
func (p *Pacer) Cancel(t Ticket) {
	p.waiting = slices.DeleteFunc(p.waiting, func(b queuedBody) bool { return b.ticket == t })
}

// hasCapacity reports whether one more body may be sent now.
func (p *Pacer) hasCapacity(now time.Time) bool { return p.freeAt.Sub(now) <= pacedSlack }

// release accounts for a body that is sent now.
func (p *Pacer) release(now time.Time, b queuedBody) {
	p.virtualTime = max(p.virtualTime, b.startTag)
	if p.freeAt.Before(now) {
		p.freeAt = now
		if len(p.waiting) == 0 {
			// On an idle link no account is behind another.
			clear(p.finishTags)
		}
	}
	p.freeAt = p.freeAt.Add(p.duration(b.size))
}

// duration returns the time that size bytes take to leave the queue.
func (p *Pacer) duration(size int) time.Duration {
	return time.Duration(float64(size) / p.bytesPerSecond * float64(time.Second))
}
