// Package tsintake decides how much an entry VM holds for callers and servers: bytes of bodies,
// and connections by state. It bounds both by the memory and the descriptors of the machine.
//
// The load pattern is a crowd of callers that nobody controls: many bodies of legal size at once,
// bodies that stop just short of their end, bodies without a length, and connections that send
// nothing or very slowly.
//
// # Usage
//
//	b := tsintake.NewBudget(tsintake.BudgetFor(memoryBytes))
//	b.Open(now, id, flow, length)
//	if !b.Fits(now, id, length) { ... } // refuse the request, nothing is read
//	evicted, ok := b.Reserve(now, id, n) // before n bytes are read; stop reading the evicted bodies
//	b.Received(now, id, n)
//	b.Complete(id, size)
//	b.Release(id)
package tsintake

import (
	"cmp"
	"slices"
	"time"
)

const (
	// bodyMemoryShare is the share of a machine's memory that bodies may take. The process
	// itself takes about 30 MB, and memory that the garbage collector has yet to free takes
	// about as much as the bodies.
	bodyMemoryShare = 0.25
	// largeShare is the share of the budget that large bodies and all answers may take, so that
	// bodies of usual size find room beside them.
	largeShare = 0.75
	// answerShare is the share of the budget that answers may take. Others are relayed piecewise.
	answerShare = 0.5
	// maxUsualBytes is the size up to which a body is not large. Callers usually send up to
	// 100 KB.
	maxUsualBytes = 256 << 10
	// stallTimeout is how long a body may take for progressBytes before it is evicted for
	// others. A slow link that a hundred bodies share still carries that much.
	stallTimeout  = time.Second
	progressBytes = 4 << 10
	// slowTimeout is the expected time to its end from which a body gives way to others of its
	// client account. paceTime is how long a body is read before its pace is judged.
	slowTimeout = 2 * time.Second
	paceTime    = 250 * time.Millisecond
	// maxTimeToEnd is the longest time to the end of a body that is told apart from longer ones.
	maxTimeToEnd = 24 * time.Hour
)

// BudgetLimits are the limits of a Budget.
type BudgetLimits struct {
	// Bytes is the most that all bodies together may reserve; 0 means no limit.
	Bytes int64
	// LargeBytes is the most that answers and the bodies over UsualBytes may reserve of that, and
	// AnswerBytes the most that answers may.
	LargeBytes  int64
	AnswerBytes int64
	UsualBytes  int64
	// A body that took longer than StallTimeout for its last ProgressBytes, or for the rest if
	// that is less, has stalled.
	StallTimeout  time.Duration
	ProgressBytes int64
	// A body that is read for PaceTime and, at its pace, needs longer than SlowTimeout to end is
	// slow.
	SlowTimeout, PaceTime time.Duration
}

// BudgetFor returns the limits for a machine with the given memory; without a limit if it is 0.
func BudgetFor(memoryBytes int64) BudgetLimits {
	n := int64(float64(memoryBytes) * bodyMemoryShare)
	return BudgetLimits{
		Bytes: n, LargeBytes: int64(float64(n) * largeShare), AnswerBytes: int64(float64(n) * answerShare), UsualBytes: maxUsualBytes,
		StallTimeout: stallTimeout, ProgressBytes: progressBytes, SlowTimeout: slowTimeout, PaceTime: paceTime,
	}
}

// BodyID identifies a body.
type BodyID uint64

// body is one body that holds a reservation.
type body struct {
	id BodyID
	// flow is what the reservation counts toward; nil for none.
	flow               *Flow
	reserved, received int64
	// length is the announced length, negative if there is none.
	length int64
	// openedAt is when the body began, receivedAt when bytes last came.
	openedAt, receivedAt time.Time
	// progressedAt is when the body last progressed, which is when received reached markedBytes.
	progressedAt time.Time
	markedBytes  int64
	// isComplete is true once the body is no longer read. It is not evicted then.
	isComplete bool
	// isAnswer is true for the body of an answer. It is not evicted: its request has run.
	isAnswer bool
}

// Budget reserves memory for bodies. It is not safe for concurrent use.
type Budget struct {
	limits BudgetLimits
	bodies map[BodyID]*body
	// shares holds the sums of the reservations. largeHeld and answerHeld are the sums of those
	// that count toward LargeBytes, and of answers.
	shares                *shares
	largeHeld, answerHeld int64
}

// NewBudget returns a budget without reservations.
func NewBudget(l BudgetLimits) *Budget {
	return &Budget{limits: l, bodies: make(map[BodyID]*body), shares: newShares(l.Bytes)}
}

// Held returns the sum of the reservations.
func (b *Budget) Held() int64 { return b.shares.held }

// Open adds a body without a reservation that counts toward a flow. length is its announced length,
// negative if there is none.
func (b *Budget) Open(now time.Time, id BodyID, f Flow, length int64) {
	c := newBody(now, id)
	c.flow, c.length = &f, length
	b.bodies[id] = c
}

func newBody(now time.Time, id BodyID) *body {
	return &body{id: id, length: -1, openedAt: now, receivedAt: now, progressedAt: now}
}

// find returns the body with the id, or a new one without a flow.
func (b *Budget) find(now time.Time, id BodyID) *body {
	if c := b.bodies[id]; c != nil {
		return c
	}
	return newBody(now, id)
}

// Fits reports whether n more bytes for a body could be reserved now. It changes nothing.
func (b *Budget) Fits(now time.Time, id BodyID, n int64) bool {
	_, ok := b.makeRoom(now, b.find(now, id), n)
	return ok
}

// Reserve reserves n more bytes for a body, which is new and without a flow if its id is unknown.
// Where there is no room it evicts other bodies, if that makes enough room: first those that have
// stalled, then slow ones of the same client account. It returns the evicted bodies, which are
// released, and whether the bytes are reserved; if not, nothing is evicted and nothing has changed.
func (b *Budget) Reserve(now time.Time, id BodyID, n int64) (evicted []BodyID, ok bool) {
	c := b.find(now, id)
	victims, ok := b.makeRoom(now, c, n)
	if !ok {
		return nil, false
	}
	for _, v := range victims {
		b.Release(v.id)
		evicted = append(evicted, v.id)
	}
	b.bodies[id] = c
	b.resize(c, c.reserved+n)
	return evicted, true
}

// ReserveAnswer reserves n more bytes for the body of an answer, and reports whether they are
// reserved. It evicts nothing.
func (b *Budget) ReserveAnswer(id BodyID, n int64) bool {
	l := b.limits
	if l.Bytes > 0 && (b.Held()+n > l.Bytes || b.largeHeld+n > l.LargeBytes || b.answerHeld+n > l.AnswerBytes) {
		return false
	}
	c := b.bodies[id]
	if c == nil {
		c = &body{id: id, isAnswer: true}
		b.bodies[id] = c
	}
	b.resize(c, c.reserved+n)
	return true
}

// makeRoom returns the bodies to evict so that n more bytes fit, and whether they fit then.
func (b *Budget) makeRoom(now time.Time, c *body, n int64) (victims []*body, ok bool) {
	if b.limits.Bytes <= 0 {
		return nil, true
	}
	size := c.reserved + n
	total := change{n, n, n}
	largeExcess := int64(0)
	if b.isLarge(size) {
		largeExcess = b.largeHeld - b.largePart(c, c.reserved) + size - b.limits.LargeBytes
	}
	isAllowed := b.shares.allows(c.flow, total)
	if isAllowed && largeExcess <= 0 {
		return nil, true
	}
	for _, v := range b.evictable(now, c) {
		if isAllowed && !b.isLarge(v.reserved) {
			continue
		}
		victims = append(victims, v)
		total.freed(c.flow, v.flow, v.reserved)
		largeExcess -= b.largePart(v, v.reserved)
		isAllowed = b.shares.allows(c.flow, total)
		if isAllowed && largeExcess <= 0 {
			return victims, true
		}
	}
	return nil, false
}

// evictable returns the bodies that may be evicted for c, in the order of eviction: stalled ones,
// those of the same account first, then the largest and of the same size the one that has received
// least; then slow ones of the same account, those of the same flow first, then the one whose end is
// farthest.
func (b *Budget) evictable(now time.Time, c *body) []*body {
	var stalled, slow []*body
	for _, v := range b.bodies {
		switch {
		case v == c || v.isComplete || v.isAnswer || v.reserved == 0:
		case now.Sub(v.progressedAt) >= b.limits.StallTimeout:
			stalled = append(stalled, v)
		case c.hasAccountOf(v) && b.isSlow(now, v):
			slow = append(slow, v)
		}
	}
	slices.SortFunc(stalled, func(x, y *body) int {
		return cmp.Or(compareBool(c.hasAccountOf(y), c.hasAccountOf(x)), cmp.Compare(y.reserved, x.reserved), cmp.Compare(x.received, y.received), cmp.Compare(x.id, y.id))
	})
	slices.SortFunc(slow, func(x, y *body) int {
		return cmp.Or(compareBool(*y.flow == *c.flow, *x.flow == *c.flow), cmp.Compare(y.timeToEnd(now), x.timeToEnd(now)), cmp.Compare(x.id, y.id))
	})
	return append(stalled, slow...)
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	default:
		return 1
	}
}

// hasAccountOf reports whether both bodies belong to the same client account.
func (c *body) hasAccountOf(v *body) bool {
	return c.flow != nil && v.flow != nil && c.flow.Account == v.flow.Account
}

// isSlow reports whether a body needs longer than the slow timeout to end.
func (b *Budget) isSlow(now time.Time, v *body) bool {
	return now.Sub(v.openedAt) >= b.limits.PaceTime && v.timeToEnd(now) > b.limits.SlowTimeout
}

// timeToEnd returns how long a body still takes at its mean pace so far. One without a length is
// assumed to be half read.
func (c *body) timeToEnd(now time.Time) time.Duration {
	remaining := c.received
	if c.length >= 0 {
		remaining = c.length - c.received
	}
	seconds := now.Sub(c.openedAt).Seconds() * float64(remaining) / float64(max(c.received, 1))
	return max(time.Duration(min(seconds, maxTimeToEnd.Seconds())*float64(time.Second)), now.Sub(c.receivedAt))
}

func (b *Budget) isLarge(size int64) bool { return size > b.limits.UsualBytes }

// largePart returns what a body with the given reservation counts toward LargeBytes.
func (b *Budget) largePart(c *body, size int64) int64 {
	if c.isAnswer || b.isLarge(size) {
		return size
	}
	return 0
}

func (b *Budget) resize(c *body, size int64) {
	b.shares.add(c.flow, size-c.reserved)
	b.largeHeld += b.largePart(c, size) - b.largePart(c, c.reserved)
	if c.isAnswer {
		b.answerHeld += size - c.reserved
	}
	c.reserved = size
}

// Received records that n bytes of a body were received.
func (b *Budget) Received(now time.Time, id BodyID, n int64) {
	c := b.bodies[id]
	if c == nil {
		return
	}
	c.received += n
	c.receivedAt = now
	if c.received-c.markedBytes >= b.limits.ProgressBytes {
		c.markedBytes, c.progressedAt = c.received, now
	}
}

// Complete records that a body is read to its end and has the given size. What was reserved
// beyond that is free again. The body is not evicted any more.
func (b *Budget) Complete(id BodyID, size int64) {
	c := b.bodies[id]
	if c == nil {
		return
	}
	c.isComplete = true
	b.resize(c, min(size, c.reserved))
}

// Release frees the reservation of a body.
func (b *Budget) Release(id BodyID) {
	c := b.bodies[id]
	if c == nil {
		return
	}
	b.resize(c, 0)
	delete(b.bodies, id)
}
