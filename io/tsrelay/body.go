package tsrelay

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"turmericshed"
	"turmericshed/core/tsintake"
	intake "turmericshed/io/tsintake"
)

// unreadTimeout bounds the reading of what is left of a body after its request was refused. An
// early close would reset the connection, and the caller might lose the answer.
const unreadTimeout = 500 * time.Millisecond

// readBody reads the complete body into memory, so that it can be sent more than once. The memory
// is reserved before it is used. Errors: KindTooLarge, KindOverloaded if the memory is taken,
// KindCanceled.
func (q *request) readBody() error {
	limit := q.table.Limits.BodyBytes
	if limit > 0 && q.r.ContentLength > limit {
		q.relay.cfg.Intake.CountTooLarge()
		return turmericshed.NewError(turmericshed.KindTooLarge, "the body exceeds %d bytes", limit)
	}
	if q.r.ContentLength == 0 {
		q.hasWholeBody = true
		return nil
	}
	timeout := q.table.Limits.HeaderTimeout
	if timeout <= 0 {
		timeout = defaultHeaderTimeout
	}
	if err := q.rc.SetReadDeadline(time.Now().Add(timeout + q.timeLimit())); err != nil {
		return turmericshed.WrapError(turmericshed.KindInternal, err, "setting the read deadline failed")
	}
	body := io.Reader(q.r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(q.w, q.r.Body, limit)
	}
	q.setConnState(tsintake.ReadingBody)
	q.memory = q.relay.cfg.Intake.NewBody(func() { _ = q.rc.SetReadDeadline(time.Unix(1, 0)) })
	parts, err := q.memory.ReadAll(body, q.r.ContentLength)
	if err == nil {
		err = q.rc.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
	case errors.As(err, &tooLarge):
		q.relay.cfg.Intake.CountTooLarge()
		return turmericshed.NewError(turmericshed.KindTooLarge, "the body exceeds %d bytes", limit)
	case turmericshed.KindOf(err) == turmericshed.KindOverloaded:
		return err
	default:
		return turmericshed.WrapError(turmericshed.KindCanceled, err, "reading the request body failed")
	}
	q.setConnState(tsintake.Running)
	q.hasWholeBody = true
	q.body = parts
	for _, part := range parts {
		q.bodyBytes += len(part)
	}
	return nil
}

// hasUnreadBody reports whether the request has a body that is not read to its end.
func (q *request) hasUnreadBody() bool { return !q.hasWholeBody && q.r.ContentLength != 0 }

// releaseBody frees the memory reserved for the body.
func (q *request) releaseBody() {
	q.body = nil
	q.memory.Release()
}

// releaseMemory frees the memory reserved for the body and the answers.
func (q *request) releaseMemory() {
	q.releaseBody()
	for _, a := range q.answers {
		a.Release()
	}
}

// setConnState records what the caller's connection is used for.
func (q *request) setConnState(s tsintake.ConnState) {
	if c, ok := q.r.Context().Value(callerConnKey{}).(net.Conn); ok {
		intake.SetState(c, s)
	}
}

// refuseBody prepares the refusal of a request whose body is not read to its end: the memory is
// free for others at once, the rest is read only in a small part and for a short time, and a
// connection on which memory was refused, or whose body is too large, is closed.
func (q *request) refuseBody(kind turmericshed.Kind) {
	if !q.hasUnreadBody() {
		return
	}
	q.releaseBody()
	q.setConnState(tsintake.Refused)
	if err := q.rc.SetReadDeadline(time.Now().Add(unreadTimeout)); err != nil {
		q.relay.cfg.Log.Debug("cannot bound the reading of an unneeded body", "request", string(q.inbound.ID), "error", err.Error())
	}
	if kind == turmericshed.KindTooLarge || q.memory != nil {
		q.w.Header().Set("Connection", "close")
	}
}
