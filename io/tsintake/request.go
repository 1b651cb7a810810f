package tsintake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"turmericshed"
	"turmericshed/core/tsintake"
)

const (
	// unreadTimeout is how long a refusal waits for the rest of a body, so that the connection can
	// carry the next request. A body that takes longer is still on its way.
	unreadTimeout = 10 * time.Millisecond
	// maxUnreadBytes bounds what is read of a body for that.
	maxUnreadBytes = 256 << 10
)

// connKey is the context key of a caller's connection.
type connKey struct{}

// WithConn returns a context for the requests on the connection c; it is the ConnContext of an HTTP
// server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	if cc, ok := c.(*conn); ok {
		cc.logsUnread.Store(true)
	}
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of the requests with the context; nil if there is none.
func ConnOf(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

// TrackState records what a connection is used for; it is, or is called by, the ConnState of an
// HTTP server.
func TrackState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		SetState(c, tsintake.Running)
	case http.StateIdle:
		SetState(c, tsintake.Idle)
	}
}

// Request is a caller's request whose body is read within the bounds.
type Request struct {
	in   *Intake
	w    http.ResponseWriter
	r    *http.Request
	rc   *http.ResponseController
	conn net.Conn
	// body is the reservation for the body. hasWholeBody is true once the body was read to its end.
	body         *Body
	hasWholeBody bool
}

// NewRequest returns the request that an HTTP server passed to its handler. A nil Intake sets no
// bounds of memory.
func (in *Intake) NewRequest(w http.ResponseWriter, r *http.Request) *Request {
	q := &Request{in: in, w: w, r: r, rc: http.NewResponseController(w), conn: ConnOf(r.Context()), hasWholeBody: r.ContentLength == 0}
	headServed(q.conn)
	return q
}

// ReadBody reads the complete body into memory, so that it can be sent more than once. maxBytes is
// the most bytes that a body may have, 0 for no limit, and timeout bounds the reading. The request
// counts toward its flow. Errors: KindTooLarge; KindOverloaded if the flow has no share left, the
// memory is taken, or is needed by others and the body comes too slowly; KindDraining after
// StopReading; KindCanceled.
func (q *Request) ReadBody(f tsintake.Flow, maxBytes int64, timeout time.Duration) ([][]byte, error) {
	if maxBytes > 0 && q.r.ContentLength > maxBytes {
		return nil, q.tooLarge(maxBytes)
	}
	if !admit(q.conn, f) {
		return nil, q.in.errShare()
	}
	if q.hasWholeBody {
		return nil, nil
	}
	if err := q.setReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindInternal, err, "setting the read deadline failed")
	}
	body := io.Reader(q.r.Body)
	if maxBytes > 0 {
		body = http.MaxBytesReader(q.w, q.r.Body, maxBytes)
	}
	q.setConnState(tsintake.ReadingBody)
	q.body = q.in.NewBody(func() { _ = q.rc.SetReadDeadline(time.Unix(1, 0)) }).of(f)
	parts, err := q.body.ReadAll(body, q.r.ContentLength)
	if err == nil {
		err = q.setReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, q.tooLarge(maxBytes)
	case turmericshed.KindOf(err) == turmericshed.KindOverloaded, turmericshed.KindOf(err) == turmericshed.KindDraining:
		return nil, err
	case err != nil:
		return nil, turmericshed.WrapError(turmericshed.KindCanceled, err, "reading the request body failed")
	}
	q.setConnState(tsintake.Running)
	q.hasWholeBody = true
	return parts, nil
}

// setReadDeadline sets the read deadline of the connection, if it has one.
func (q *Request) setReadDeadline(at time.Time) error {
	if err := q.rc.SetReadDeadline(at); !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

func (q *Request) tooLarge(maxBytes int64) error {
	q.in.CountTooLarge()
	return turmericshed.NewError(turmericshed.KindTooLarge, "the body exceeds %d bytes", maxBytes)
}

// of makes a request's body count toward a flow.
func (b *Body) of(f tsintake.Flow) *Body {
	if b != nil {
		b.flow = &f
	}
	return b
}

// errShare returns the error for a request of a flow that has no share of the connections left.
func (in *Intake) errShare() error {
	in.refused.WithLabelValues(reasonShare).Inc()
	err := turmericshed.NewError(turmericshed.KindOverloaded, "the client account has too many running requests")
	return turmericshed.WithRetryAfter(err, fullRetryAfter)
}

// Refuse prepares the refusal of the request with err, and must be called before it is written. Of
// a body that is not read to its end the memory is free for others at once. Unless the rest of it
// has arrived, the refusal closes the connection, and so does one for want of memory or of a share, or
// of a body that is too large.
func (q *Request) Refuse(err error) {
	if !q.HasUnreadBody() {
		return
	}
	q.Release()
	q.setConnState(tsintake.Refused)
	if err := q.setReadDeadline(time.Now().Add(unreadTimeout)); err != nil && q.in != nil && q.in.log != nil {
		q.in.log.Debug("cannot bound the reading of an unneeded body", "error", err.Error())
	}
	kind := turmericshed.KindOf(err)
	if kind == turmericshed.KindTooLarge || kind == turmericshed.KindOverloaded || q.body != nil || !q.discardArrived() {
		q.w.Header().Set("Connection", "close")
	}
}

// discardArrived reads what has arrived of the body, and reports whether that was all.
func (q *Request) discardArrived() bool {
	n, err := io.CopyN(io.Discard, q.r.Body, maxUnreadBytes)
	q.hasWholeBody = n < maxUnreadBytes && errors.Is(err, io.EOF)
	if !q.hasWholeBody {
		return false
	}
	q.setConnState(tsintake.Running)
	return q.setReadDeadline(time.Time{}) == nil
}

// HasUnreadBody reports whether the request has a body that is not read to its end.
func (q *Request) HasUnreadBody() bool { return !q.hasWholeBody }

// Release frees the memory reserved for the body.
func (q *Request) Release() { q.body.Release() }

// setConnState records what the caller's connection is used for.
func (q *Request) setConnState(s tsintake.ConnState) {
	if q.conn != nil {
		SetState(q.conn, s)
	}
}
