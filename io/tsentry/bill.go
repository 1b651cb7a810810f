package tsentry

import (
	"sync"

	"turmericshed"
)

// bill is the one bill of one request: the sum of what its attempts cost,
// recorded once, when the request has ended and every attempt is settled.
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

// attemptStarted counts an attempt that holds a reservation.
func (b *bill) attemptStarted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	turmericshed.Assert(!b.recorded, "billed_once", "request %s: attempt after the bill", b.event.Request)
	b.unsettled++
}

// attemptSettled ends an attempt with its cost.
func (b *bill) attemptSettled(cost turmericshed.Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unsettled--
	b.total += cost
	b.recordIfSettled()
}

// close tells that no further attempt will start.
func (b *bill) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	b.recordIfSettled()
}

func (b *bill) recordIfSettled() {
	if !b.closed || b.unsettled > 0 {
		return
	}
	turmericshed.Assert(!b.recorded, "billed_once", "request %s", b.event.Request)
	b.recorded = true
	b.event.Tokens = b.total
	b.recorder.Record(b.event)
}
