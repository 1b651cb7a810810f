package tslimit

import (
	"time"

	"turmericshed"
)

const (
	// permitLife is how long a permit is valid.
	permitLife = 500 * time.Millisecond
	// maxPermitsPerDraw bounds the permits that are requested at once.
	maxPermitsPerDraw = 16
	// failedHolderPause is how long a holder is not queried after it did not
	// answer.
	failedHolderPause = 2 * time.Second
)

// Draws holds the permits that one entry VM has drawn on the limit of one
// server, and its view of the holders that grant them. Holders are identified
// by name.
type Draws struct {
	permits   int
	expiresAt time.Time
	// usedSinceDraw counts the permits used since the last draw. It determines
	// the size of the next one.
	usedSinceDraw int
	lastDraw      time.Time
	// refusedUntil is the time until which each holder is not queried.
	// unanswered has the holders that did not answer the last query.
	refusedUntil map[string]time.Time
	unanswered   map[string]bool
	// closedUntil is the time until which no holder can be queried.
	closedUntil time.Time
	// isolatedShare is the part of the limit that this entry VM uses while no
	// holder answers.
	isolatedShare *Share
}

// Take uses an available permit. If there is none, open reports whether a
// holder may be queried.
func (d *Draws) Take(now time.Time) (taken, open bool) {
	if !d.HasPermit(now) {
		d.permits = 0
		return false, !now.Before(d.closedUntil)
	}
	d.permits--
	d.usedSinceDraw++
	return true, false
}

// Return takes back an unused permit. It expires together with the other
// available ones.
func (d *Draws) Return(now time.Time) {
	if !now.Before(d.expiresAt) {
		return
	}
	d.permits++
	d.usedSinceDraw = max(d.usedSinceDraw-1, 0)
}

// HasPermit reports whether a valid permit is available.
func (d *Draws) HasPermit(now time.Time) bool { return d.permits > 0 && now.Before(d.expiresAt) }

// DrawSize returns how many permits to request: one more than were used since the
// last draw.
func (d *Draws) DrawSize(now time.Time) int {
	if now.Sub(d.lastDraw) > permitLife {
		return 1
	}
	return min(1+d.usedSinceDraw, maxPermitsPerDraw)
}

// NextHolder returns the holder to query now. The search begins at index from, but
// self takes precedence because it needs no call.
func (d *Draws) NextHolder(now time.Time, self string, holders []turmericshed.EntryVM, from int) (turmericshed.EntryVM, bool) {
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

// Granted adds n permits that a holder granted.
func (d *Draws) Granted(now time.Time, holder string, n int) {
	d.recordAnswer(holder)
	d.permits, d.expiresAt = d.permits+n, now.Add(permitLife)
	d.usedSinceDraw, d.lastDraw = 0, now
}

// Refused records that a holder has no permits until wait has passed.
func (d *Draws) Refused(now time.Time, holder string, wait time.Duration) {
	d.recordAnswer(holder)
	d.skipHolder(now, holder, wait)
}

// recordAnswer marks a holder as answering again.
func (d *Draws) recordAnswer(holder string) {
	if d.unanswered[holder] {
		delete(d.unanswered, holder)
		d.closedUntil = time.Time{}
	}
}

// Failed records that a holder did not answer.
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

// IsIsolated reports whether no holder answered its last query. An isolated entry VM
// goes on querying, and meanwhile limits itself to an equal part of the limit.
func (d *Draws) IsIsolated(holders []turmericshed.EntryVM) bool {
	for _, h := range holders {
		if !d.unanswered[h.Name] {
			return false
		}
	}
	return true
}

// TakeIsolated reports whether an isolated entry VM may send a request. level, a
// random number from 0 to 1, is the initial number of permits of its part.
func (d *Draws) TakeIsolated(now time.Time, perSecond float64, entryVMs int, level float64) bool {
	if d.isolatedShare == nil {
		d.isolatedShare = NewShare(now, level)
	}
	granted, wait := d.isolatedShare.Take(now, PartRate(perSecond, entryVMs), 1)
	if granted == 0 {
		d.closedUntil = now.Add(wait)
	}
	return granted > 0
}

// Close records that there is no holder to query now.
func (d *Draws) Close(now time.Time, holders []turmericshed.EntryVM) {
	d.closedUntil = now.Add(maxPromiseWait)
	for _, h := range holders {
		d.closedUntil = earlier(d.closedUntil, d.refusedUntil[h.Name])
	}
}

// ClosedUntil returns the time until which nothing may be sent.
func (d *Draws) ClosedUntil() time.Time { return d.closedUntil }

// Reopen allows all holders to be queried again, after the limit was raised.
func (d *Draws) Reopen() {
	clear(d.refusedUntil)
	d.closedUntil = time.Time{}
}
