// Package tsevents splits a server-sent event stream into complete events, so that an answer
// that breaks off is relayed up to its last complete event and can resume after it.
//
// # Usage
//
//	s := tsevents.NewSplitter(maxEventBytes)
//	events, err := s.Push(chunk) // complete events; the remainder is buffered
//	complete := s.Empty()        // false if the stream ended inside an event
package tsevents

import (
	"bytes"
	"strconv"

	"turmericshed"
)

// Event is one complete event with its bytes as received.
type Event struct {
	// Raw ends with the empty line that terminates the event.
	Raw []byte
	// ID is the event's numeric ID; HasID is false for events without one.
	ID    uint64
	HasID bool
	// IsComment is true for an event that consists only of comments, which keep a connection open.
	IsComment bool
}

// Splitter buffers bytes until they form complete events.
type Splitter struct {
	maxEventBytes int
	pending       []byte
}

// NewSplitter returns a splitter for events of up to maxEventBytes.
func NewSplitter(maxEventBytes int) *Splitter { return &Splitter{maxEventBytes: maxEventBytes} }

// Push adds bytes and returns the events that are now complete. They share no memory with
// data. It returns KindStreamBroken for an event over the limit.
func (s *Splitter) Push(data []byte) ([]Event, error) {
	s.pending = append(s.pending, data...)
	var events []Event
	for {
		n := eventEnd(s.pending)
		if n == 0 {
			break
		}
		raw := s.pending[:n:n]
		s.pending = s.pending[n:]
		e := Event{Raw: raw}
		e.ID, e.HasID = eventID(raw)
		e.IsComment = isComment(raw)
		events = append(events, e)
	}
	if len(s.pending) > s.maxEventBytes {
		return events, turmericshed.NewError(turmericshed.KindStreamBroken, "an event is over %d bytes", s.maxEventBytes)
	}
	if len(s.pending) == 0 {
		s.pending = nil
	}
	return events, nil
}

// Empty reports whether no incomplete event is buffered.
func (s *Splitter) Empty() bool { return len(s.pending) == 0 }

// Buffered returns the number of buffered bytes of an incomplete event.
func (s *Splitter) Buffered() int { return len(s.pending) }

// eventEnd returns the length of the first complete event, or 0 if there is none.
func eventEnd(b []byte) int {
	n := 0
	for n < len(b) {
		i := bytes.IndexByte(b[n:], '\n')
		if i < 0 {
			return 0
		}
		line := bytes.TrimSuffix(b[n:n+i], []byte{'\r'})
		n += i + 1
		if len(line) == 0 {
			return n
		}
	}
	return 0
}

// isComment reports whether an event consists only of comments.
func isComment(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the numeric ID of an event, if it has one.
func eventID(raw []byte) (uint64, bool) {
	for line := range bytes.Lines(raw) {
		v, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(v)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
