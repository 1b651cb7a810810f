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

	mu    sync.Mutex
	open  int
	total turmericshed.Tokens
	ended bool
	sent  bool
}

func newBill(rec turmericshed.Recorder, req request) *bill {
	return &bill{recorder: rec, event: turmericshed.Event{
		Name: turmericshed.EventRequestBilled, Request: req.id, Profile: req.profile.Name, Account: req.account,
	}}
}

// started counts an attempt that holds a reservation.
func (b *bill) started() {
	b.mu.Lock()
	defer b.mu.Unlock()
	turmericshed.Assert(!b.sent, "billed_once", "request %s: attempt after the bill", b.event.Request)
	b.open++
}

// settled ends an attempt with its cost.
func (b *bill) settled(cost turmericshed.Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
	b.total += cost
	b.send()
}

// end tells that no further attempt will start.
func (b *bill) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.ended = true
	b.send()
}

func (b *bill) send() {
	if !b.ended || b.open > 0 {
		return
	}
	turmericshed.Assert(!b.sent, "billed_once", "request %s", b.event.Request)
	b.sent = true
	b.event.Tokens = b.total
	b.recorder.Record(b.event)
}
