package tsentry

import (
	"sync"

	"turmericshed"
)

// bill sums the cost of a request's attempts. It is recorded exactly once: after the request has finished
// and every attempt is settled.
type bill struct {
	recorder turmericshed.Recorder
	event    turmericshed.Event

	mu        sync.Mutex
	unsettled int
	total     turmericshed.Tokens
	closed    bool
	recorded  bool
}

func newBill(rec turmericshed.Recorder, req request) *bill {
	return &bill{recorder: rec, event: turmericshed.Event{
		Name: turmericshed.EventRequestBilled, Request: req.id, Profile: req.profile.Name, Account: req.account,
	}}
}

// attemptStarted adds an attempt that has a reservation and is not settled yet.
func (b *bill) attemptStarted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	turmericshed.Assert(!b.recorded, "billed_once", "request %s: attempt after the bill", b.event.Request)
	b.unsettled++
}

// attemptSettled adds the final cost of an attempt.
func (b *bill) attemptSettled(cost turmericshed.Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unsettled--
	b.total += cost
	b.recordIfSettled()
}

// close marks that no further attempt will start. Later calls have no effect.
func (b *bill) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	b.recordIfSettled()
}

// recordIfSettled records the bill once it is closed and no attempt is unsettled. b.mu must be held.
func (b *bill) recordIfSettled() {
	if !b.closed || b.unsettled > 0 {
		return
	}
	turmericshed.Assert(!b.recorded, "billed_once", "request %s", b.event.Request)
	b.recorded = true
	b.event.Tokens = b.total
	b.recorder.Record(b.event)
}
