package tslimit

import (
	"time"

	"turmericshed"
)

const (
	// permitLife is how long a permit may be used.
	permitLife = 500 * time.Millisecond
	// maxWant bounds the permits that are asked for at once.
	maxWant = 16
	// failedPause is how long a holder that did not answer is not asked.
	failedPause = 2 * time.Second
)

// Draws is what one entry VM draws on the limit of one server. Holders are known
// by their names.
type Draws struct {
	permits int
	expires time.Time
	// taken counts the permits used since the last draw, which tells how many the
	// next one should be for.
	taken int
	drawn time.Time
	// refused is until when a holder has nothing, failed whether it did not
	// answer when it was last asked.
	refused map[string]time.Time
	failed  map[string]bool
	// closed is until when there is no holder to ask.
	closed time.Time
	// lone is the part that this entry VM keeps to where no holder answers.
	lone *Share
}

// Take uses a permit in hand. Where there is none, open reports whether a
// holder may be asked.
func (d *Draws) Take(now time.Time) (taken, open bool) {
	if !d.Holds(now) {
		d.permits = 0
		return false, !now.Before(d.closed)
	}
	d.permits--
	d.taken++
	return true, false
}

// Return takes back a permit that was not used. It may be used for as long as
// the others in hand.
func (d *Draws) Return(now time.Time) {
	if !now.Before(d.expires) {
		return
	}
	d.permits++
	d.taken = max(d.taken-1, 0)
}

// Holds reports whether a permit is in hand.
func (d *Draws) Holds(now time.Time) bool { return d.permits > 0 && now.Before(d.expires) }

// Want returns how many permits to ask for: one more than were used of late.
func (d *Draws) Want(now time.Time) int {
	if now.Sub(d.drawn) > permitLife {
		return 1
	}
	return min(1+d.taken, maxWant)
}

// Next returns the holder to ask now. Those that follow from come first, but
// self, which costs no call, is before all.
func (d *Draws) Next(now time.Time, self string, holders []turmericshed.EntryVM, from int) (turmericshed.EntryVM, bool) {
	var next *turmericshed.EntryVM
	for i := range holders {
		h := &holders[(from+i)%len(holders)]
		switch {
		case now.Before(d.refused[h.Name]):
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
	d.answered(holder)
	d.permits, d.expires = d.permits+n, now.Add(permitLife)
	d.taken, d.drawn = 0, now
}

// Refused notes that a holder has nothing for a time.
func (d *Draws) Refused(now time.Time, holder string, wait time.Duration) {
	d.answered(holder)
	d.refuse(now, holder, wait)
}

// answered ends what was believed of a holder that did not answer.
func (d *Draws) answered(holder string) {
	if d.failed[holder] {
		delete(d.failed, holder)
		d.closed = time.Time{}
	}
}

// Failed notes that a holder did not answer.
func (d *Draws) Failed(now time.Time, holder string) {
	if d.failed == nil {
		d.failed = make(map[string]bool)
	}
	d.failed[holder] = true
	d.refuse(now, holder, failedPause)
}

func (d *Draws) refuse(now time.Time, holder string, wait time.Duration) {
	if d.refused == nil {
		d.refused = make(map[string]time.Time)
	}
	d.refused[holder] = now.Add(wait)
}

// Alone reports whether no holder answered when it was last asked. An entry VM
// that is alone goes on asking, and keeps to an even part of the limit by itself
// meanwhile.
func (d *Draws) Alone(holders []turmericshed.EntryVM) bool {
	for _, h := range holders {
		if !d.failed[h.Name] {
			return false
		}
	}
	return true
}

// TakeAlone reports whether an entry VM that is alone may send a request. level,
// from 0 to 1 at random, is what its part begins with.
func (d *Draws) TakeAlone(now time.Time, perSecond float64, entryVMs int, level float64) bool {
	if d.lone == nil {
		d.lone = NewShare(now, level)
	}
	granted, wait := d.lone.Take(now, Part(perSecond, entryVMs), 1)
	if granted == 0 {
		d.closed = now.Add(wait)
	}
	return granted > 0
}

// Close notes that there is no holder to ask now.
func (d *Draws) Close(now time.Time, holders []turmericshed.EntryVM) {
	d.closed = now.Add(maxWait)
	for _, h := range holders {
		d.closed = sooner(d.closed, d.refused[h.Name])
	}
}

// Closed returns until when nothing may be sent.
func (d *Draws) Closed() time.Time { return d.closed }

// Reopen lets holders be asked again, after the limit was raised.
func (d *Draws) Reopen() {
	clear(d.refused)
	d.closed = time.Time{}
}
