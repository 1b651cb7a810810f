package tsrelay

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var buffersStart = time.Unix(1_800_000_000, 0)

// testBuffers returns buffers with a bound of 1 MiB, and a function that returns a
// connection's buffer and how often it was cut off.
func testBuffers() (*callerBuffers, func() (*callerBuffer, *int)) {
	b := newCallerBuffers(1<<20, nil, slog.New(slog.DiscardHandler))
	return b, func() (*callerBuffer, *int) {
		cuts := 0
		return b.buffer("r", func() error {
			cuts++
			return nil
		}), &cuts
	}
}

// Guards against callers that read slowly and fill the memory of the entry VM.
func TestCallerBuffers(t *testing.T) {
	const large = 400 << 10
	t.Run("the caller that reads most slowly is cut off first", func(t *testing.T) {
		b, connection := testBuffers()
		slow, slowCuts := connection()
		slower, slowerCuts := connection()
		ordinary, ordinaryCuts := connection()
		assert.NilError(t, slower.hold(buffersStart, large, true))
		assert.NilError(t, slow.hold(buffersStart.Add(time.Second), large, true))
		assert.NilError(t, ordinary.hold(buffersStart.Add(3*time.Second), large, true))
		assert.Equal(t, *slowerCuts, 1)
		assert.Equal(t, *slowCuts+*ordinaryCuts, 0)
		assert.Assert(t, b.total() <= b.limit, "%d", b.total())
		assert.ErrorContains(t, slower.hold(buffersStart.Add(3*time.Second), large, true), "full")
	})
	t.Run("callers that read are not cut off below twice the bound", func(t *testing.T) {
		_, connection := testBuffers()
		for range 4 {
			c, cuts := connection()
			assert.NilError(t, c.hold(buffersStart, large, true))
			defer func() { assert.Equal(t, *cuts, 0) }()
		}
	})
	t.Run("the total is bounded though nobody reads slowly", func(t *testing.T) {
		b, connection := testBuffers()
		refused := 0
		for range 20 {
			c, _ := connection()
			if c.hold(buffersStart, large, false) != nil {
				refused++
			}
		}
		assert.Assert(t, b.total() <= 2*b.limit, "%d", b.total())
	})
	t.Run("small events of any number of callers are not counted", func(t *testing.T) {
		b, connection := testBuffers()
		for range 10_000 {
			c, _ := connection()
			assert.NilError(t, c.hold(buffersStart, uncountedBytes, true))
		}
		assert.Equal(t, b.total(), int64(0))
	})
	t.Run("what was written is not held any more", func(t *testing.T) {
		b, connection := testBuffers()
		c, _ := connection()
		assert.NilError(t, c.hold(buffersStart, large, true))
		assert.NilError(t, c.hold(buffersStart, 10, false))
		assert.Equal(t, b.total(), int64(0))
		assert.NilError(t, c.hold(buffersStart, large, true))
		c.release()
		assert.Equal(t, b.total(), int64(0))
	})
}
