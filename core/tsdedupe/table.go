// Package tsdedupe joins retries of ordinary requests to the stream that
// already runs for them, inside one entry VM.
//
// A stream is identified by client account and request key, and bound to a
// digest of the body. Its frames are kept in a bounded buffer from which any
// number of readers take them at their own pace. A reader that fell behind the
// buffer does not hold up the others: it is told so, and the stream can be
// resumed for it at the engine. The cost of a stream is billed once, by
// whoever calls Bill first.
//
// # Usage
//
//	table := tsdedupe.NewTable[*runner]()
//	s, joined, err := table.Join(now, account, key, digest)
//	if !joined { // run the request and feed the stream
//		s.Append(frame) // or s.Fail(err)
//		if s.Bill() { ... }
//	}
//	f, state := s.Read(pos) // any reader; pos counts from 0
//
// The package is pure; callers serialize access and wake the readers.
package tsdedupe

import (
	"time"

	"turmericshed"
)

const (
	// maxBufferBytes bounds the text kept for one stream.
	maxBufferBytes = 256 << 10
	// frameOverhead is counted for each frame besides its text.
	frameOverhead = 128
	// endedRetention is how long an ended stream can still be joined.
	endedRetention = 2 * time.Minute
	// evictInterval is the least time between two searches for old streams.
	evictInterval = time.Second
	// maxStreams bounds the ended streams kept by a table.
	maxStreams = 4096
)

// Key identifies a request.
type Key struct {
	Account turmericshed.AccountID
	Request string
}

// Table holds the streams of one entry VM, each with the handle H by which
// its runner is reached.
type Table[H any] struct {
	streams      map[Key]*Stream[H]
	lastEviction time.Time
}

// NewTable returns an empty table.
func NewTable[H any]() *Table[H] { return &Table[H]{streams: map[Key]*Stream[H]{}} }

// Len returns the number of streams in the table.
func (t *Table[H]) Len() int { return len(t.streams) }

// Join returns the stream of the request, making it where there is none;
// joined tells which. A stream that failed is made anew, since joining it
// could only repeat the failure. Errors: KindKeyReused.
func (t *Table[H]) Join(now time.Time, account turmericshed.AccountID, key string, d turmericshed.Digest) (s *Stream[H], joined bool, err error) {
	t.evict(now)
	k := Key{Account: account, Request: key}
	s, ok := t.streams[k]
	if ok && s.digest != d {
		return nil, false, turmericshed.NewError(turmericshed.KindKeyReused, "request key was used with another body")
	}
	if ok && s.err == nil {
		return s, true, nil
	}
	s = &Stream[H]{digest: d}
	t.streams[k] = s
	return s, false, nil
}

// Find returns the stream of the request, if it is there, was not begun with
// another body and did not fail.
func (t *Table[H]) Find(account turmericshed.AccountID, key string, d turmericshed.Digest) (*Stream[H], bool) {
	s, ok := t.streams[Key{Account: account, Request: key}]
	if !ok || s.digest != d || s.err != nil {
		return nil, false
	}
	return s, true
}

// evict removes streams that ended long ago, and any ended ones when the
// table is full.
func (t *Table[H]) evict(now time.Time) {
	if len(t.streams) < maxStreams && now.Sub(t.lastEviction) < evictInterval {
		return
	}
	t.lastEviction = now
	for k, s := range t.streams {
		if s.Ended() && !s.endedAt.IsZero() && now.Sub(s.endedAt) > endedRetention {
			delete(t.streams, k)
		}
	}
	for k, s := range t.streams {
		if len(t.streams) < maxStreams {
			return
		}
		if s.Ended() {
			delete(t.streams, k)
		}
	}
}

// ReadState tells what a reader finds at its position.
type ReadState int

// The read states.
const (
	// ReadFrame: the frame is returned.
	ReadFrame ReadState = iota + 1
	// ReadWait: the frame has not come yet.
	ReadWait
	// ReadBehind: the frame is no longer in the buffer; resume at the engine.
	ReadBehind
	// ReadFailed: the stream failed before the frame, see Err.
	ReadFailed
	// ReadEnd: every frame has been read.
	ReadEnd
)

// Stream is one running or ended generation.
type Stream[H any] struct {
	// Handle is set by whoever runs the stream.
	Handle H
	// ID and Server are set by whoever runs the stream, so that it can be
	// resumed; empty before dispatch.
	ID     turmericshed.StreamID
	Server turmericshed.BackendServer

	digest        turmericshed.Digest
	frames        []turmericshed.Frame
	firstBuffered int
	bytes         int
	complete      bool
	err           error
	billed        bool
	endedAt       time.Time
}

// Append adds the next frame, which must have passed its check. The oldest
// frames leave the buffer when it is full.
func (s *Stream[H]) Append(now time.Time, f turmericshed.Frame) {
	turmericshed.Assert(f.Seq == s.Len() && !s.Ended(), "frames_in_order",
		"stream %s: frame %d after %d", f.Stream, f.Seq, s.Len())
	s.frames = append(s.frames, f)
	s.bytes += frameBytes(f)
	for s.bytes > maxBufferBytes && len(s.frames) > 1 {
		s.bytes -= frameBytes(s.frames[0])
		s.frames[0] = turmericshed.Frame{}
		s.frames = s.frames[1:]
		s.firstBuffered++
	}
	if f.End {
		s.complete, s.endedAt = true, now
	}
}

func frameBytes(f turmericshed.Frame) int { return len(f.Text) + frameOverhead }

// Fail ends the stream with an error.
func (s *Stream[H]) Fail(now time.Time, err error) {
	if !s.Ended() {
		s.err, s.endedAt = err, now
	}
}

// Len returns the number of frames appended so far.
func (s *Stream[H]) Len() int { return s.firstBuffered + len(s.frames) }

// Bytes returns the size of the buffer.
func (s *Stream[H]) Bytes() int { return s.bytes }

// Ended reports whether the stream is whole or failed.
func (s *Stream[H]) Ended() bool { return s.complete || s.err != nil }

// Err returns why the stream failed.
func (s *Stream[H]) Err() error { return s.err }

// isRetryable reports whether the request may be run anew under its key:
// nothing was sent to a backend server, or no frame came and it was not run.
func (s *Stream[H]) isRetryable() bool {
	return s.err != nil && s.Len() == 0 && turmericshed.OutcomeOf(s.err) == turmericshed.OutcomeNotRun
}

// Read returns the frame at a position.
func (s *Stream[H]) Read(pos int) (turmericshed.Frame, ReadState) {
	switch {
	case pos < s.firstBuffered:
		return turmericshed.Frame{}, ReadBehind
	case pos < s.Len():
		return s.frames[pos-s.firstBuffered], ReadFrame
	case s.complete:
		return turmericshed.Frame{}, ReadEnd
	case s.err != nil:
		return turmericshed.Frame{}, ReadFailed
	default:
		return turmericshed.Frame{}, ReadWait
	}
}

// Bill returns true once in the life of the stream: to the caller that must
// write the record of its cost.
func (s *Stream[H]) Bill() bool {
	first := !s.billed
	s.billed = true
	return first
}

// AssertBilled keeps the promise that an ended request is billed.
func (s *Stream[H]) AssertBilled() {
	turmericshed.Assert(s.billed || !s.Ended() || s.isRetryable(), "billed_once", "stream %s ended and was not billed", s.ID)
}
