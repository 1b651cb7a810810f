package turmericshed

import (
	"context"
	"time"
)

// EventName names a kind of event on the timeline. The list of names is closed.
type EventName string

// Event is one entry of the timeline. Events of all processes are ordered by a
// hybrid logical clock: by Wall, then Logical, then Process.
type Event struct {
	Wall          time.Time     `json:"wall"`
	Logical       uint32        `json:"logical"`
	Process       string        `json:"process"`
	FailureDomain FailureDomain `json:"failure_domain,omitempty"`
	Name          EventName     `json:"event"`
	Request       RequestID     `json:"request,omitempty"`
	Profile       ProfileName   `json:"profile,omitempty"`
	Account       AccountID     `json:"account,omitempty"`
	Lot           LotID         `json:"lot,omitempty"`
	Claim         ClaimID       `json:"claim,omitempty"`
	Server        ServerID      `json:"server,omitempty"`
	Member        string        `json:"member,omitempty"`
	Tokens        Tokens        `json:"tokens,omitempty"`
	Reason        string        `json:"reason,omitempty"`
}

// Recorder records events and sets their clock values, process and failure
// domain. It never blocks and is safe for concurrent use.
type Recorder interface {
	Record(e Event)
}

// NopRecorder discards every event.
type NopRecorder struct{}

// Record does nothing.
func (NopRecorder) Record(Event) {}

var _ Recorder = NopRecorder{}

// Controller is a supervised part of a process. Serve runs until ctx is done or
// the controller fails; the supervisor restarts it after a failure. The method
// set matches suture.Service.
type Controller interface {
	Serve(ctx context.Context) error
}

// The events of requests, budgets, claims, routing and membership.
const (
	EventRequestReceived    EventName = "request_received"
	EventRequestAnswered    EventName = "request_answered"
	EventRequestRefused     EventName = "request_refused"
	EventRequestBilled      EventName = "request_billed"
	EventReservationSettled EventName = "reservation_settled"
	EventRequestRetried     EventName = "request_retried"
	EventFrameDropped       EventName = "frame_dropped"
	EventDispatched         EventName = "dispatched"
	EventStreamBroken       EventName = "stream_broken"
	EventStreamResumed      EventName = "stream_resumed"
	EventStreamCanceled     EventName = "stream_canceled"
	EventLotDrawn           EventName = "lot_drawn"
	EventLotSettled         EventName = "lot_settled"
	EventLotReturned        EventName = "lot_returned"
	EventLotClosed          EventName = "lot_closed"
	EventLotRefused         EventName = "lot_refused"
	EventLotForgotten       EventName = "lot_forgotten"
	EventTokensMoved        EventName = "tokens_moved"
	EventPrepaidEdited      EventName = "prepaid_edited"
	EventClaimMade          EventName = "claim_made"
	EventClaimReplayed      EventName = "claim_replayed"
	EventClaimCompleted     EventName = "claim_completed"
	EventClaimAbandoned     EventName = "claim_abandoned"
	EventClaimInDoubt       EventName = "claim_in_doubt"
	EventClaimResolved      EventName = "claim_resolved"
	EventMemberAlive        EventName = "member_alive"
	EventMemberSuspect      EventName = "member_suspect"
	EventMemberGone         EventName = "member_gone"
	EventMemberLeft         EventName = "member_left"
	EventServerAdded        EventName = "server_added"
	EventServerLeaving      EventName = "server_leaving"
	EventServerPaused       EventName = "server_paused"
	EventBreakerOpened      EventName = "breaker_opened"
	EventBreakerClosed      EventName = "breaker_closed"
	EventQuarantined        EventName = "quarantined"
	EventQuarantineLifted   EventName = "quarantine_lifted"
	EventProfileApplied     EventName = "profile_applied"
	EventProfileRefused     EventName = "profile_refused"
	EventStoreLost          EventName = "store_lost"
	EventStoreRecovered     EventName = "store_back"
	EventDrainStarted       EventName = "drain_started"
	EventDrainEnded         EventName = "drain_ended"
	EventControllerFailed   EventName = "controller_failed"
	EventInvariantBroken    EventName = "invariant_broken"
)
