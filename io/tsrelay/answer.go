package tsrelay

import (
	"encoding/json"
	"net/http"
	"time"

	"turmericshed"
)

// refusal is the body of an error response that the relay itself generates. The
// cause, with servers and addresses, is logged under the request's id and is not
// sent to the caller.
type refusal struct {
	Request turmericshed.RequestID `json:"request,omitempty"`
	Kind    string                 `json:"kind"`
	Outcome turmericshed.Outcome   `json:"outcome"`
}

// outcome returns the outcome of a request that ended with err. Once a server may
// have begun to work on it, "not run" is replaced by "unknown".
func (q *request) outcome(err error) turmericshed.Outcome {
	if q.mayHaveRun {
		if o := turmericshed.OutcomeOf(err); o != turmericshed.OutcomeNotRun {
			return o
		}
		return turmericshed.OutcomeUnknown
	}
	return turmericshed.OutcomeNotRun
}

// refuse sends an error response. A status that promises that the request did not run
// is sent only when that is certain; every temporary error for which it is certain has
// such a status.
func (q *request) refuse(err error) {
	kind := turmericshed.KindOf(err)
	info := kind.Info()
	status := info.Status
	outcome := q.outcome(err)
	switch {
	case q.mayHaveRun && kind == turmericshed.KindDeadline:
		status = http.StatusGatewayTimeout
	case q.mayHaveRun:
		status = http.StatusBadGateway
	case kind == turmericshed.KindCanceled, kind == turmericshed.KindQuarantined:
		// A quarantine expires, so the request may succeed later.
		status = http.StatusServiceUnavailable
	case info.Retryable:
		status = http.StatusServiceUnavailable
	}
	h := q.w.Header()
	if !q.mayHaveRun && (info.Retryable || kind == turmericshed.KindQuarantined) {
		if d := turmericshed.RetryAfterOf(err); d > 0 {
			h.Set("Retry-After", q.relay.cfg.Codec.RetryAfter(d))
		}
	}
	body, marshalErr := json.Marshal(refusal{Request: q.inbound.ID, Kind: kind.String(), Outcome: outcome})
	if marshalErr != nil {
		q.relay.cfg.Log.Error("cannot encode the body of an error response; sending an empty body", "request", string(q.inbound.ID), "error", marshalErr.Error())
	}
	q.intake.Refuse(err)
	h.Set("Content-Type", "application/json")
	q.status = status
	q.setWriteDeadline()
	q.w.WriteHeader(status)
	if _, err := q.w.Write(body); err != nil {
		q.relay.cfg.Log.Debug("cannot write an error response; the caller may have disconnected", "request", string(q.inbound.ID), "error", err.Error())
	}
}

// writeGrace is how long after the request's deadline an answer may still be
// written to a caller that reads slowly.
const writeGrace = 400 * time.Millisecond

// setWriteDeadline bounds the write, so that a caller that does not read cannot
// hold the request open.
func (q *request) setWriteDeadline() {
	at := q.deadline
	if at.IsZero() {
		at = q.arrived
	}
	if now := time.Now(); at.Before(now) {
		at = now
	}
	if err := q.rc.SetWriteDeadline(at.Add(writeGrace)); err != nil {
		q.relay.cfg.Log.Warn("cannot set the write deadline of an answer", "request", string(q.inbound.ID), "error", err.Error())
	}
}

// commit sends a backend server's status and headers to the caller.
func (q *request) commit(server turmericshed.ServerID, status int, header http.Header) {
	q.committed, q.status, q.server = true, status, server
	q.firstByte, q.contentType = time.Since(q.arrived), header.Get("Content-Type")
	h := q.w.Header()
	for name, values := range q.relay.cfg.Codec.EncodeReply(header) {
		h[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if len(h[name]) == 0 {
			// A nil value prevents net/http from adding a default.
			h[name] = nil
		}
	}
	q.setWriteDeadline()
	q.w.WriteHeader(status)
}
