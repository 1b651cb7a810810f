package tsrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"turmericshed"
	"turmericshed/io/tsupstream"
)

const (
	// maxErrorBytes bounds the body of an answer that another attempt may replace. Such an answer
	// can't be relayed piecewise.
	maxErrorBytes = 256 << 10
	// relayBufferBytes is the size of one read of an answer that is relayed piecewise.
	relayBufferBytes = 16 << 10
)

// readAnswer reads an answer that is not a stream of events. It returns nil for one that it has
// relayed to its end: where the memory for answers is taken, the answer is relayed piecewise, and
// can't be replaced by that of another attempt any more.
func (q *request) readAnswer(ctx context.Context, server turmericshed.ServerID, reply *tsupstream.Reply, timer *silenceTimer) (a *completeAnswer, err error) {
	limit := int64(tsupstream.MaxBodyBytes)
	canRelay := reply.Status < http.StatusInternalServerError && !impliesNotRun(reply.Status)
	if !canRelay {
		limit = maxErrorBytes
	}
	memory := q.relay.cfg.Intake.NewAnswer()
	q.answers = append(q.answers, memory)
	defer func() {
		if a == nil {
			// Another attempt may need the memory.
			memory.Release()
		}
	}()
	parts, isWhole, err := reply.ReadBody(memory, limit+1)
	if err != nil {
		return nil, err
	}
	size := int64(0)
	for _, part := range parts {
		size += int64(len(part))
	}
	q.measured.record(int(size), true)
	switch {
	case size > limit, !isWhole && !canRelay:
		reply.Close()
		return nil, turmericshed.NewError(turmericshed.KindCallUnknown, "server %s: the body of status %d exceeds %d bytes, or the memory for it", server, reply.Status, limit)
	case !isWhole:
		q.relay.cfg.Log.Info("relaying an answer piecewise, since the memory for answers is taken", "request", string(q.inbound.ID), "server", string(server), "held_bytes", size)
		return nil, q.relayPiecewise(ctx, server, reply, parts, limit-size, timer)
	case reply.EndedEarly(ctx):
		return nil, errIncomplete(server)
	}
	return &completeAnswer{server: server, status: reply.Status, header: reply.Header, body: parts}, nil
}

func errIncomplete(server turmericshed.ServerID) error {
	return turmericshed.WrapError(turmericshed.KindCallUnknown, io.ErrUnexpectedEOF, "server %s: the answer has no length and may not be complete", server)
}

// relayPiecewise relays an answer whose first parts are held, while its server sends the rest, up to
// limit bytes. When it returns an error the answer of the caller is incomplete.
func (q *request) relayPiecewise(ctx context.Context, server turmericshed.ServerID, reply *tsupstream.Reply, parts [][]byte, limit int64, timer *silenceTimer) error {
	defer reply.Close()
	if q.committed {
		return errNotResumed(reply.Status)
	}
	timer.stop()
	if n := reply.ContentLength(); n >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	q.commit(server, reply.Status, reply.Header)
	if err := q.writeParts(parts); err != nil {
		return err
	}
	q.answers[len(q.answers)-1].Release()
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := reply.Read(buf)
		q.measured.record(n, true)
		if limit -= int64(n); limit < 0 {
			return turmericshed.NewError(turmericshed.KindCallUnknown, "server %s: the body exceeds %d bytes", server, tsupstream.MaxBodyBytes)
		}
		if writeErr := q.writeParts([][]byte{buf[:n]}); writeErr != nil {
			return writeErr
		}
		switch {
		case errors.Is(err, io.EOF) && reply.EndedEarly(ctx):
			return errIncomplete(server)
		case errors.Is(err, io.EOF):
			reply.Finish()
			return nil
		case err != nil:
			return turmericshed.WrapError(turmericshed.KindCallUnknown, err, "server %s: reading the body failed", server)
		}
	}
}

// writeParts writes to the caller.
func (q *request) writeParts(parts [][]byte) error {
	for _, part := range parts {
		if _, err := q.w.Write(part); err != nil {
			return turmericshed.WrapError(turmericshed.KindCanceled, err, "writing to the caller failed")
		}
	}
	return nil
}

// errNotResumed reports that part of a stream was relayed and the answer of another attempt does not
// continue it.
func errNotResumed(status int) error {
	return turmericshed.NewError(turmericshed.KindStreamBroken, "the stream was not resumed: status %d", status)
}
