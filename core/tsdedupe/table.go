// Package tsdedupe attaches retries of ordinary requests to the stream that is
// already running for them, within one entry VM.
//
// A stream is identified by client account and request key, and is bound to a
// digest of the body. Its frames are stored in a bounded buffer, from which any
// number of readers read at their own pace. A reader that falls behind the buffer
// does not block the others: its reads report ReadBehind, and the stream can be
// resumed for it at the engine. The cost of a stream is billed once, by the first
// caller of Bill.
//
// # Usage
//
//	table := tsdedupe.NewTable[*runner]()
//	s, joined, err := table.Join(now, account, key, digest)
//	if !joined { // run the request and feed the stream
//		s.Append(now, frame) // or s.Fail(now, err)
//		if s.Bill() { ... }
//	}
//	f, state := s.Read(pos) // any reader; pos counts from 0
//
// The package performs no I/O. Callers serialize access and wake up the readers.
package tsdedupe

import (
	"time"

	"turmericshed"
)

const (
	// maxBufferBytes bounds the buffered frames of one stream.
	maxBufferBytes = 256 << 10
	// frameOverhead is the number of bytes counted for each frame in addition to
	// its text.
	frameOverheadBytes = 128
	// endedRetention is how long an ended stream can still be joined.
	endedRetention = 2 * time.Minute
	// evictInterval is the minimum time between two scans for expired streams.
	evictInterval = time.Second
	// maxStreams is the number of streams from which ended ones are evicted before
	// their retention expires.
	maxStreams = 4096
)

// Key identifies a request.
type Key struct {
	Account turmericshed.AccountID
	Request string
}

// Table holds the streams of one entry VM. H is the type of the handle through which a
// stream's runner is reached.
type Table[H any] struct {
	streams      map[Key]*Stream[H]
	lastEviction time.Time
}

// NewTable returns an empty table.
func NewTable[H any]() *Table[H] { return &Table[H]{streams: map[Key]*Stream[H]{}} }

// Len returns the number of streams in the table.
func (t *Table[H]) Len() int { return len(t.streams) }

// Join returns the stream of the request, creating it if there is none; joined
// reports whether it already existed. A stream that failed is replaced by a new
// one, since joining it could only repeat the failure. Errors: KindKeyReused.
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

// Find returns the stream of the request, provided that it exists, was started with the
// same body and has not failed.
func (t *Table[H]) Find(account turmericshed.AccountID, key string, d turmericshed.Digest) (*Stream[H], bool) {
	s, ok := t.streams[Key{Account: account, Request: key}]
	if !ok || s.digest != d || s.err != nil {
		return nil, false
	}
	return s, true
}

// evict removes streams that ended more than endedRetention ago. If the table is still
// full, it also removes other ended streams.
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

// ReadState is the result of a read at a position.
type ReadState int

// The read states.
const (
	// ReadFrame: the frame is returned.
	ReadFrame ReadState = iota + 1
	// ReadWait: the frame has not arrived yet.
	ReadWait
	// ReadBehind: the frame is no longer in the buffer; resume at the engine.
	ReadBehind
	// ReadFailed: the stream failed before this frame; see Err.
	ReadFailed
	// ReadEnd: every frame has been read.
	ReadEnd
)

// Stream is one running or ended generation.
type Stream[H any] struct {
	// Handle is set by the runner of the stream.
	Handle H
	// ID and Server are set by the runner so that the stream can be resumed. They
	// are empty before dispatch.
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

// Append adds the next frame, which must have been checked. The oldest frames are
// dropped when the buffer is full.
func (s *Stream[H]) Append(now time.Time, f turmericshed.Frame) {
	turmericshed.Assert(f.Seq == s.Len() && !s.Ended(), "frames_in_order",
		"stream %s: frame %d appended after %d frames", f.Stream, f.Seq, s.Len())
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

func frameBytes(f turmericshed.Frame) int { return len(f.Text) + frameOverheadBytes }

// Fail ends the stream with an error.
func (s *Stream[H]) Fail(now time.Time, err error) {
	if !s.Ended() {
		s.err, s.endedAt = err, now
	}
}

// Len returns the number of frames appended so far.
func (s *Stream[H]) Len() int { return s.firstBuffered + len(s.frames) }

// Bytes returns the size of the buffered frames, including their overhead.
func (s *Stream[H]) Bytes() int { return s.bytes }

// Ended reports whether the stream is complete or failed.
func (s *Stream[H]) Ended() bool { return s.complete || s.err != nil }

// Err returns the error with which the stream failed.
func (s *Stream[H]) Err() error { return s.err }

// isRetryable reports whether the request may be run again under its key: nothing was
// sent to a backend server, or no frame arrived and the request was not run.
func (s *Stream[H]) isRetryable() bool {
	return s.err != nil && s.Len() == 0 && turmericshed.OutcomeOf(s.err) == turmericshed.OutcomeNotRun
}

// Read returns the frame at a position, counted from 0.
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

// Bill returns true on its first call only. That caller must write the record of the
// stream's cost.
func (s *Stream[H]) Bill() bool {
	first := !s.billed
	s.billed = true
	return first
}

// AssertBilled asserts that the stream is billed if it has ended, unless the request
// may be run again under its key.
func (s *Stream[H]) AssertBilled() {
	turmericshed.Assert(s.billed || !s.Ended() || s.isRetryable(), "billed_once", "stream %s ended and was not billed", s.ID)
}
