package tslimit

import (
	"time"

	"turmericshed"
)

const (
	// permitLife is how long a permit may be used.
	permitLife = 500 * time.Millisecond
	// maxPermitsPerDraw bounds the permits that are asked for at once.
	maxPermitsPerDraw = 16
	// failedHolderPause is how long a holder that did not answer is not asked.
	failedHolderPause = 2 * time.Second
)

// Draws is what one entry VM draws on the limit of one server. Holders are known
// by their names.
type Draws struct {
	permits   int
	expiresAt time.Time
	// usedSinceDraw counts the permits used since the last draw, which tells how many the
	// next one should be for.
	usedSinceDraw int
	lastDraw      time.Time
	// refusedUntil is until when a holder has nothing, failed whether it did not
	// answer when it was last asked.
	refusedUntil map[string]time.Time
	unanswered   map[string]bool
	// closedUntil is until when there is no holder to ask.
	closedUntil time.Time
	// isolatedShare is the part that this entry VM keeps to where no holder answers.
	isolatedShare *Share
}

// Take uses a permit in hand. Where there is none, open reports whether a
// holder may be asked.
func (d *Draws) Take(now time.Time) (taken, open bool) {
	if !d.Holds(now) {
		d.permits = 0
		return false, !now.Before(d.closedUntil)
	}
	d.permits--
	d.usedSinceDraw++
	return true, false
}

// Return takes back a permit that was not used. It may be used for as long as
// the others in hand.
func (d *Draws) Return(now time.Time) {
	if !now.Before(d.expiresAt) {
		return
	}
	d.permits++
	d.usedSinceDraw = max(d.usedSinceDraw-1, 0)
}

// Holds reports whether a permit is in hand.
func (d *Draws) Holds(now time.Time) bool { return d.permits > 0 && now.Before(d.expiresAt) }

// Want returns how many permits to ask for: one more than were used of late.
func (d *Draws) Want(now time.Time) int {
	if now.Sub(d.lastDraw) > permitLife {
		return 1
	}
	return min(1+d.usedSinceDraw, maxPermitsPerDraw)
}

// Next returns the holder to ask now. Those that follow from come first, but
// self, which costs no call, is before all.
func (d *Draws) Next(now time.Time, self string, holders []turmericshed.EntryVM, from int) (turmericshed.EntryVM, bool) {
	var next *turmericshed.EntryVM
	for i := range holders {
		h := &holders[(from+i)%len(holders)]
		switch {
		case now.Before(d.refusedUntil[h.Name]):
		case h.Name == self:
			return *h, true
		case next == nil:
			next = h
		}
	}
	if next == nil {
		return turmericshed.EntryVM{}, false
	}
	return *next, true
}

// Granted takes permits from a holder that answered.
func (d *Draws) Granted(now time.Time, holder string, n int) {
	d.recordAnswer(holder)
	d.permits, d.expiresAt = d.permits+n, now.Add(permitLife)
	d.usedSinceDraw, d.lastDraw = 0, now
}

// Refused notes that a holder has nothing for a time.
func (d *Draws) Refused(now time.Time, holder string, wait time.Duration) {
	d.recordAnswer(holder)
	d.skipHolder(now, holder, wait)
}

// recordAnswer ends what was believed of a holder that did not answer.
func (d *Draws) recordAnswer(holder string) {
	if d.unanswered[holder] {
		delete(d.unanswered, holder)
		d.closedUntil = time.Time{}
	}
}

// Failed notes that a holder did not answer.
func (d *Draws) Failed(now time.Time, holder string) {
	if d.unanswered == nil {
		d.unanswered = make(map[string]bool)
	}
	d.unanswered[holder] = true
	d.skipHolder(now, holder, failedHolderPause)
}

func (d *Draws) skipHolder(now time.Time, holder string, wait time.Duration) {
	if d.refusedUntil == nil {
		d.refusedUntil = make(map[string]time.Time)
	}
	d.refusedUntil[holder] = now.Add(wait)
}

// Alone reports whether no holder answered when it was last asked. An entry VM
// that is alone goes on asking, and keeps to an even part of the limit by itself
// meanwhile.
func (d *Draws) Alone(holders []turmericshed.EntryVM) bool {
	for _, h := range holders {
		if !d.unanswered[h.Name] {
			return false
		}
	}
	return true
}

// TakeAlone reports whether an entry VM that is alone may send a request. level,
// from 0 to 1 at random, is what its part begins with.
func (d *Draws) TakeAlone(now time.Time, perSecond float64, entryVMs int, level float64) bool {
	if d.isolatedShare == nil {
		d.isolatedShare = NewShare(now, level)
	}
	granted, wait := d.isolatedShare.Take(now, Part(perSecond, entryVMs), 1)
	if granted == 0 {
		d.closedUntil = now.Add(wait)
	}
	return granted > 0
}

// Close notes that there is no holder to ask now.
func (d *Draws) Close(now time.Time, holders []turmericshed.EntryVM) {
	d.closedUntil = now.Add(maxPromiseWait)
	for _, h := range holders {
		d.closedUntil = earlier(d.closedUntil, d.refusedUntil[h.Name])
	}
}

// Closed returns until when nothing may be sent.
func (d *Draws) Closed() time.Time { return d.closedUntil }

// Reopen lets holders be asked again, after the limit was raised.
func (d *Draws) Reopen() {
	clear(d.refusedUntil)
	d.closedUntil = time.Time{}
}
