package tsrelay

import (
	"errors"
	"io"

	"turmericshed"
	"turmericshed/core/tsevents"
	"turmericshed/io/tsupstream"
)

const (
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// streamBufferBytes is read at once; a few events.
	streamBufferBytes = 4 << 10
)

// relayStream relays whole events until the stream's end. A stream that breaks
// off returns an error of KindStreamBroken, after which it may go on at
// another server from lastEvent.
func (q *request) relayStream(server turmericshed.ServerID, reply *tsupstream.Reply, p *silenceTimer) error {
	q.mayHaveUnrelayedOutput = true
	if q.committed {
		if err := q.checkContinuation(server, reply); err != nil {
			reply.Close()
			return err
		}
	}
	split := tsevents.NewSplitter(maxEventBytes)
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := reply.Read(buf)
		events, splitErr := split.Push(buf[:n])
		if len(events) > 0 {
			p.eventReceived()
			if writeErr := q.relayEvents(server, reply, events); writeErr != nil {
				reply.Close()
				return writeErr
			}
		}
		switch {
		case splitErr != nil:
			reply.Close()
			return splitErr
		case errors.Is(err, io.EOF) && split.Empty():
			reply.Finish()
			q.mayHaveUnrelayedOutput = false
			if !q.committed {
				q.commit(server, reply.Status, reply.Header)
			}
			return nil
		case err != nil:
			reply.Close()
			return turmericshed.WrapError(turmericshed.KindStreamBroken, err, "server %s: stream broke off after event %d", server, q.lastEvent)
		}
	}
}

// checkContinuation returns nil when an answer may be the rest of the stream that the
// caller has so far.
func (q *request) checkContinuation(server turmericshed.ServerID, reply *tsupstream.Reply) error {
	if got := reply.Header.Get("Content-Type"); reply.Status != q.status || got != q.contentType {
		return turmericshed.NewError(turmericshed.KindStreamBroken, "server %s: status %d, %q is no rest of the stream", server, reply.Status, got)
	}
	return nil
}

// relayEvents writes events to the caller at once. An event out of order does
// not belong to what the caller has so far, nor does one without an id to what
// another server sent.
func (q *request) relayEvents(server turmericshed.ServerID, reply *tsupstream.Reply, events []tsevents.Event) error {
	for _, e := range events {
		if q.committed && q.server != server && !e.HasID && !e.Comment {
			return turmericshed.NewError(turmericshed.KindStreamBroken, "server %s: an event without an id after event %d", server, q.lastEvent)
		}
		if e.HasID && q.route.Repeatable && e.ID != q.lastEvent+1 {
			return turmericshed.NewError(turmericshed.KindStreamBroken, "server %s: event %d after %d", server, e.ID, q.lastEvent)
		}
		if !q.committed {
			q.commit(server, reply.Status, reply.Header)
		}
		if _, err := q.w.Write(e.Raw); err != nil {
			return turmericshed.WrapError(turmericshed.KindCanceled, err, "caller")
		}
		q.events++
		if e.HasID {
			q.lastEvent = e.ID
		}
	}
	if err := q.rc.Flush(); err != nil {
		return turmericshed.WrapError(turmericshed.KindCanceled, err, "caller")
	}
	return nil
}
