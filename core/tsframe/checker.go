// Package tsframe validates the frames of a token stream against the request that
// they answer.
//
// Connections to model engines may deliver frames late, more than once, or of
// another request. A [Checker] accepts a frame only if it is the next one of its
// own stream. Harmless frames are dropped and counted. A gap, or an end frame that
// does not account for every token, breaks the stream: the caller then receives an
// error and never the normal end mark.
//
// # Usage
//
//	c := tsframe.New(streamID, maxTokens)
//	for {
//		f, err := stream.Next()
//		if err != nil {
//			return c.Closed(err) // nil after a complete answer
//		}
//		switch verdict, err := c.Check(f); {
//		case err != nil: // broken: resume from c.Next() or cancel
//		case verdict == tsframe.Relay:
//		}
//	}
package tsframe

import (
	"errors"
	"io"

	"turmericshed"
)

// Verdict is the result of checking a frame.
type Verdict int

// The verdicts.
const (
	// Relay: the frame is the next one of the answer.
	Relay Verdict = iota + 1
	// DropOtherStream: the frame belongs to another stream.
	DropOtherStream
	// DropDuplicate: the frame was already relayed.
	DropDuplicate
	// DropLate: the frame arrived after the end of the answer.
	DropLate
)

// String returns the verdict's name in lower case.
func (v Verdict) String() string {
	switch v {
	case Relay:
		return "relay"
	case DropOtherStream:
		return "crossed"
	case DropDuplicate:
		return "doubled"
	case DropLate:
		return "late"
	default:
		return "unknown"
	}
}

// Counts are the numbers of frames dropped so far, by verdict.
type Counts struct {
	Crossed int `json:"crossed"`
	Doubled int `json:"doubled"`
	Late    int `json:"late"`
}

// Checker checks the frames of one stream. It may span several connections, since a
// resumed stream continues with the next sequence number.
type Checker struct {
	stream    turmericshed.StreamID
	maxTokens turmericshed.Tokens
	next      int
	tokens    turmericshed.Tokens
	complete  bool
	brokenErr error
	usage     turmericshed.Usage
	counts    Counts
}

// New returns a checker for a stream whose completion has at most maxTokens tokens.
func New(stream turmericshed.StreamID, maxTokens turmericshed.Tokens) *Checker {
	return &Checker{stream: stream, maxTokens: maxTokens}
}

// Check validates a frame. Errors: KindStreamBroken, after which frames of this stream
// are accepted again only once Resumed has been called.
func (c *Checker) Check(f turmericshed.Frame) (Verdict, error) {
	switch {
	case f.Stream != c.stream:
		c.counts.Crossed++
		return DropOtherStream, nil
	case c.complete:
		c.counts.Late++
		return DropLate, nil
	case c.brokenErr != nil:
		return 0, c.brokenErr
	case f.Seq < c.next:
		c.counts.Doubled++
		return DropDuplicate, nil
	case f.Seq > c.next:
		return 0, c.markBroken("frame %d came where %d was due", f.Seq, c.next)
	}
	return c.accept(f)
}

func (c *Checker) accept(f turmericshed.Frame) (Verdict, error) {
	tokens := c.tokens + f.Tokens
	if f.Tokens < 0 || tokens > c.maxTokens {
		return 0, c.markBroken("frame %d carries %d tokens after %d of at most %d", f.Seq, f.Tokens, c.tokens, c.maxTokens)
	}
	if f.End && f.Usage.Completion != tokens {
		return 0, c.markBroken("the end reports %d tokens, %d came", f.Usage.Completion, tokens)
	}
	c.tokens = tokens
	c.next++
	if f.End {
		c.complete, c.usage = true, f.Usage
	}
	return Relay, nil
}

func (c *Checker) markBroken(format string, args ...any) error {
	c.brokenErr = turmericshed.NewError(turmericshed.KindStreamBroken, format, args...)
	return c.brokenErr
}

// Resumed records that the stream continues over a new connection, from frame Next.
func (c *Checker) Resumed() { c.brokenErr = nil }

// Next returns the sequence number of the next expected frame.
func (c *Checker) Next() int { return c.next }

// Tokens returns the number of completion tokens relayed so far.
func (c *Checker) Tokens() turmericshed.Tokens { return c.tokens }

// Counts returns the frames dropped so far.
func (c *Checker) Counts() Counts { return c.counts }

// CompleteUsage returns the usage of the answer and whether the complete answer was relayed.
func (c *Checker) CompleteUsage() (turmericshed.Usage, bool) { return c.usage, c.complete }

// Closed returns the result of the stream when its connection closes with err: nil
// after a complete answer, and otherwise KindStreamBroken.
func (c *Checker) Closed(err error) error {
	switch {
	case c.complete:
		return nil
	case c.brokenErr != nil:
		return c.brokenErr
	case err == nil || errors.Is(err, io.EOF):
		return c.markBroken("the stream ended after %d frames without its end", c.next)
	default:
		c.brokenErr = turmericshed.WrapError(turmericshed.KindStreamBroken, err, "after %d frames", c.next)
		return c.brokenErr
	}
}

// AssertComplete asserts that the complete answer was relayed. It guards the normal end
// mark, which is sent only after every frame of the caller's own stream.
func (c *Checker) AssertComplete() {
	turmericshed.Assert(c.complete && c.usage.Completion == c.tokens, "answer_whole",
		"stream %s: %d frames and %d tokens relayed, ended %v", c.stream, c.next, c.tokens, c.complete)
}
