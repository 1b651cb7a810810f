package tsrelay

import (
	"context"
	"errors"
	"io"
	"time"

	"turmericshed"
	"turmericshed/core/tsevents"
	"turmericshed/io/tsupstream"
)

const (
	// maxEventBytes is the largest accepted size of one event.
	maxEventBytes = 1 << 20
	// freeEventBytes is the size up to which an incomplete event needs no reservation: it counts
	// as a part of its connection.
	freeEventBytes = 8 << 10
	// streamBufferBytes is the size of one read; a few events fit.
	streamBufferBytes = 4 << 10
)

// relayStream relays complete events until the stream ends. For an interrupted stream it
// returns KindStreamBroken; another server may then resume it after lastEvent.
func (q *request) relayStream(ctx context.Context, server turmericshed.ServerID, reply *tsupstream.Reply, timer *silenceTimer) error {
	q.mayHaveUnrelayedOutput = true
	if q.committed {
		if err := q.checkContinuation(server, reply); err != nil {
			reply.Close()
			return err
		}
	}
	split := tsevents.NewSplitter(maxEventBytes)
	memory := q.relay.cfg.Intake.NewAnswer()
	defer memory.Release()
	reserved := freeEventBytes
	buffer := q.callerBuffer()
	defer buffer.release()
	buf := make([]byte, streamBufferBytes)
	eventsBefore, pastBeginning := q.events, false
	for {
		n, err := reply.Read(buf)
		events, splitErr := split.Push(buf[:n])
		if more := split.Buffered() - reserved; more > 0 && splitErr == nil {
			// The buffer grows to twice its size at most.
			splitErr = turmericshed.WrapError(turmericshed.KindStreamBroken, memory.Reserve(int64(2*more+reserved)), "server %s: a long event", server)
			reserved += 2*more + reserved
		}
		q.measured.record(n, len(events) > 0)
		if len(events) > 0 {
			timer.eventReceived()
			q.reportFirstByte(server)
			q.attemptBegan()
			if writeErr := q.relayHeldEvents(server, reply, events, split.Buffered(), buffer); writeErr != nil {
				reply.Close()
				return writeErr
			}
			if !pastBeginning && q.events-eventsBefore >= eventsPastBeginning {
				pastBeginning = true
				q.reportPartsSurvived()
			}
		}
		if holdErr := buffer.hold(time.Now(), split.Buffered(), false); holdErr != nil {
			reply.Close()
			// The server is not at fault, and another one could not help.
			return turmericshed.WrapError(turmericshed.KindCanceled, holdErr, "an incomplete event was given up")
		}
		switch {
		case splitErr != nil:
			reply.Close()
			return splitErr
		case errors.Is(err, io.EOF) && split.Empty():
			if !reply.IsFramed() && q.events == eventsBefore || reply.EndedEarly(ctx) {
				reply.Close()
				return turmericshed.WrapError(turmericshed.KindStreamBroken, io.ErrUnexpectedEOF, "server %s: a stream without framing ended before its first event, before the request was written or with its server", server)
			}
			reply.Finish()
			q.mayHaveUnrelayedOutput = false
			if !q.committed {
				q.commit(server, reply.Status, reply.Header)
			}
			return nil
		case err != nil:
			reply.Close()
			return turmericshed.WrapError(turmericshed.KindStreamBroken, err, "server %s: the stream was interrupted after event %d", server, q.lastEvent)
		}
	}
}

// checkContinuation returns nil if an answer may be the remainder of the stream that was
// partly relayed, else KindStreamBroken.
func (q *request) checkContinuation(server turmericshed.ServerID, reply *tsupstream.Reply) error {
	if got := reply.Header.Get("Content-Type"); reply.Status != q.status || got != q.contentType {
		return turmericshed.NewError(turmericshed.KindStreamBroken, "server %s: status %d with content type %q does not continue the stream", server, reply.Status, got)
	}
	return nil
}

// relayHeldEvents is relayEvents while the buffer holds the events and the given number of
// bytes after them.
func (q *request) relayHeldEvents(server turmericshed.ServerID, reply *tsupstream.Reply, events []tsevents.Event, pending int, buffer *callerBuffer) error {
	for _, e := range events {
		pending += len(e.Raw)
	}
	if err := buffer.hold(time.Now(), pending, true); err != nil {
		return turmericshed.WrapError(turmericshed.KindCanceled, err, "writing to the caller was given up")
	}
	return q.relayEvents(server, reply, events)
}

// relayEvents writes events to the caller and flushes them. It returns KindStreamBroken
// for an event that does not continue the stream: one that is out of sequence, or, after
// another server began the stream, one without an id.
func (q *request) relayEvents(server turmericshed.ServerID, reply *tsupstream.Reply, events []tsevents.Event) error {
	for _, e := range events {
		if q.committed && q.server != server && !e.HasID && !e.IsComment {
			return turmericshed.NewError(turmericshed.KindStreamBroken, "server %s: an event without an id after event %d", server, q.lastEvent)
		}
		if e.HasID && q.route.Repeatable && e.ID != q.lastEvent+1 {
			return turmericshed.NewError(turmericshed.KindStreamBroken, "server %s: event %d follows event %d", server, e.ID, q.lastEvent)
		}
		if !q.committed {
			q.commit(server, reply.Status, reply.Header)
			q.recordBeginning()
		}
		if _, err := q.w.Write(e.Raw); err != nil {
			return turmericshed.WrapError(turmericshed.KindCanceled, err, "writing to the caller failed")
		}
		q.events++
		if e.HasID {
			q.lastEvent = e.ID
		}
	}
	if err := q.rc.Flush(); err != nil {
		return turmericshed.WrapError(turmericshed.KindCanceled, err, "writing to the caller failed")
	}
	return nil
}
