package tsentry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"turmericshed"
)

// errorBody is the JSON body of every refusal and failure.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind    string               `json:"kind"`
	Outcome turmericshed.Outcome `json:"outcome"`
	Message string               `json:"message"`
	// RetryAfter is a duration such as 2s; absent when the error suggests no delay.
	RetryAfter string                 `json:"retry_after,omitempty"`
	RequestID  turmericshed.RequestID `json:"request_id"`
}

// errorResponse returns the HTTP status and body for err, by its kind. The message of an internal error
// is replaced by a generic text, so that internals are not exposed to callers.
func errorResponse(id turmericshed.RequestID, err error) (int, errorBody) {
	info := turmericshed.KindOf(err).Info()
	d := errorDetail{
		Kind:      info.Name,
		Outcome:   turmericshed.OutcomeOf(err),
		Message:   err.Error(),
		RequestID: id,
	}
	if turmericshed.KindOf(err) == turmericshed.KindInternal {
		d.Message = "internal error"
	}
	if wait := turmericshed.RetryAfterOf(err); wait > 0 {
		d.RetryAfter = wait.String()
	}
	return info.Status, errorBody{Error: d}
}

// writeError writes the error response for err and records the refusal.
func (e *Entry) writeError(w http.ResponseWriter, req request, err error) {
	status, body := errorResponse(req.id, err)
	e.deps.Recorder.Record(turmericshed.Event{
		Name: turmericshed.EventRequestRefused, Request: req.id, Profile: req.profile.Name,
		Account: req.account, Reason: body.Error.Kind + ": " + err.Error(),
	})
	e.measureRequest(req, turmericshed.KindOf(err), 0)
	w.Header().Set(headerOutcome, string(body.Error.Outcome))
	if wait := turmericshed.RetryAfterOf(err); wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	if req.intake != nil {
		req.intake.Refuse(err)
	}
	writeJSON(w, status, body)
}

// measureRequest counts a finished request by kind of work. A request without a profile has no kind of
// work and is not counted.
func (e *Entry) measureRequest(req request, kind turmericshed.Kind, firstByte time.Duration) {
	if req.profile.Name == "" {
		return
	}
	e.deps.RequestMetrics.RecordRequest(req.profile.Work, kind, firstByte, time.Since(req.receivedAt))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
