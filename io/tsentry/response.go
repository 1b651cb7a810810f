package tsentry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"turmericshed"
)

// errorBody is the JSON form of every refusal and failure.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind    string               `json:"kind"`
	Outcome turmericshed.Outcome `json:"outcome"`
	Message string               `json:"message"`
	// RetryAfter is a duration such as 2s; absent where it does not help.
	RetryAfter string                 `json:"retry_after,omitempty"`
	RequestID  turmericshed.RequestID `json:"request_id"`
}

// errorResponse derives an answer from the error's kind. Internal messages stay
// in the logs.
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

// writeError writes the answer for err.
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
	writeJSON(w, status, body)
}

// measureRequest counts an ended request. Requests without a profile are not
// counted by work.
func (e *Entry) measureRequest(req request, kind turmericshed.Kind, firstByte time.Duration) {
	if req.profile.Name == "" {
		return
	}
	e.deps.Measure.Request(req.profile.Work, kind, firstByte, time.Since(req.received))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
