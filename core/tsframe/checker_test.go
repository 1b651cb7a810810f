package tsframe_test

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericshed"
	"turmericshed/core/tsframe"
)

const stream = "s-1"

// frames returns a complete answer of n frames with one token each.
func frames(n int) []turmericshed.Frame {
	out := make([]turmericshed.Frame, n)
	for i := range out {
		out[i] = turmericshed.Frame{Stream: stream, Seq: i, Text: string(rune('a' + i)), Tokens: 1}
	}
	out[n-1].End, out[n-1].Finish = true, "stop"
	out[n-1].Usage = turmericshed.Usage{Prompt: 3, Completion: turmericshed.Tokens(n)}
	return out
}

func assertBroken(t *testing.T, c *tsframe.Checker, f turmericshed.Frame) {
	t.Helper()
	_, err := c.Check(f)
	assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindStreamBroken)
	_, complete := c.CompleteUsage()
	assert.Assert(t, !complete)
	assert.Equal(t, turmericshed.KindOf(c.Closed(io.EOF)), turmericshed.KindStreamBroken)
}

func TestCheckerBrokenStreams(t *testing.T) {
	fs := frames(3)
	t.Run("missing frame", func(t *testing.T) { assertBroken(t, tsframe.New(stream, 9), fs[1]) })
	t.Run("end mark although frames are missing", func(t *testing.T) {
		end := fs[2]
		end.Seq = 0
		assertBroken(t, tsframe.New(stream, 9), end)
	})
	t.Run("more tokens than asked for", func(t *testing.T) { assertBroken(t, tsframe.New(stream, 0), fs[0]) })
	t.Run("connection ended before the end", func(t *testing.T) {
		c := tsframe.New(stream, 9)
		_, err := c.Check(fs[0])
		assert.NilError(t, err)
		assert.Equal(t, turmericshed.KindOf(c.Closed(io.EOF)), turmericshed.KindStreamBroken)
	})
}

// Whatever frames arrive, the relayed frames are a prefix of the caller's own answer,
// and the answer counts as complete only when all of it was relayed.
func TestCheckerRelaysOwnAnswerOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "frames")
		want := frames(n)
		c := tsframe.New(stream, 100)
		got := 0
		for range rapid.IntRange(0, 40).Draw(t, "arrivals") {
			f := want[rapid.IntRange(0, n-1).Draw(t, "seq")]
			if rapid.IntRange(0, 3).Draw(t, "crossed") == 0 {
				f.Stream = "s-2"
			}
			v, err := c.Check(f)
			if err != nil {
				c.Resumed()
				continue
			}
			if v == tsframe.Relay {
				if f.Stream != stream || f.Seq != got {
					t.Fatalf("relayed frame %d of stream %s, want frame %d of the stream under test", f.Seq, f.Stream, got)
				}
				got++
			}
		}
		if _, complete := c.CompleteUsage(); complete != (got == n) {
			t.Fatalf("complete is %v after %d of %d frames", complete, got, n)
		}
	})
}
