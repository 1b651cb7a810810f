// Package tsframe checks the frames of a token stream against the request
// that they must answer.
//
// Connections to model engines deliver frames late, twice, or of another
// request. A [Checker] lets a frame through only when it is the next one of
// its own stream. Frames that do no harm are dropped and counted. A gap, or an
// end that does not account for every token, breaks the stream: the caller
// then gets an error and never the normal end mark.
//
// # Usage
//
//	c := tsframe.New(streamID, maxTokens)
//	for {
//		f, err := stream.Next()
//		if err != nil {
//			return c.Closed(err) // nil after a whole answer
//		}
//		switch verdict, err := c.Check(f); {
//		case err != nil: // broken: resume from c.Next() or give up
//		case verdict == tsframe.Relay:
//		}
//	}
package tsframe

import (
	"errors"
	"io"

	"turmericshed"
)

// Verdict tells what to do with a frame.
type Verdict int

// The verdicts.
const (
	// Relay: the frame is the next one of the answer.
	Relay Verdict = iota + 1
	// DropCrossed: the frame belongs to another stream.
	DropCrossed
	// DropDoubled: the frame was relayed before.
	DropDoubled
	// DropLate: the answer had ended before the frame came.
	DropLate
)

// String returns the snake-case name.
func (v Verdict) String() string {
	switch v {
	case Relay:
		return "relay"
	case DropCrossed:
		return "crossed"
	case DropDoubled:
		return "doubled"
	case DropLate:
		return "late"
	default:
		return "unknown"
	}
}

// Counts are the frames dropped so far.
type Counts struct {
	Crossed int `json:"crossed"`
	Doubled int `json:"doubled"`
	Late    int `json:"late"`
}

// Checker checks one stream. It may outlive several connections, since a
// resumed stream goes on with the next sequence number.
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

// New returns a checker of the stream, whose completion has at most limit
// tokens.
func New(stream turmericshed.StreamID, limit turmericshed.Tokens) *Checker {
	return &Checker{stream: stream, maxTokens: limit}
}

// Check judges a frame. Errors: KindStreamBroken, after which only Resumed
// lets further frames through.
func (c *Checker) Check(f turmericshed.Frame) (Verdict, error) {
	switch {
	case f.Stream != c.stream:
		c.counts.Crossed++
		return DropCrossed, nil
	case c.complete:
		c.counts.Late++
		return DropLate, nil
	case c.brokenErr != nil:
		return 0, c.brokenErr
	case f.Seq < c.next:
		c.counts.Doubled++
		return DropDoubled, nil
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

// Resumed tells that the stream goes on over a new connection from Next.
func (c *Checker) Resumed() { c.brokenErr = nil }

// Next returns the sequence number of the next frame.
func (c *Checker) Next() int { return c.next }

// Tokens returns the completion tokens relayed so far.
func (c *Checker) Tokens() turmericshed.Tokens { return c.tokens }

// Counts returns the frames dropped so far.
func (c *Checker) Counts() Counts { return c.counts }

// Whole reports whether the whole answer was relayed, and its usage.
func (c *Checker) Whole() (turmericshed.Usage, bool) { return c.usage, c.complete }

// Closed returns what the end of a connection means: nil after a whole
// answer, else KindStreamBroken.
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

// AssertWhole keeps the promise that the normal end mark is sent only after
// every frame of the caller's own stream.
func (c *Checker) AssertWhole() {
	turmericshed.Assert(c.complete && c.usage.Completion == c.tokens, "answer_whole",
		"stream %s: %d frames and %d tokens relayed, ended %v", c.stream, c.next, c.tokens, c.complete)
}
