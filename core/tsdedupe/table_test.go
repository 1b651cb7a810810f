package tsdedupe_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsdedupe"
)

var start = time.Unix(1_700_000_000, 0)

func join(t *testing.T, table *tsdedupe.Table[int], now time.Time, wantJoined bool) *tsdedupe.Stream[int] {
	t.Helper()
	s, joined, err := table.Join(now, "corner-1", "req-1", "digest-a")
	assert.NilError(t, err)
	assert.Equal(t, joined, wantJoined)
	return s
}

func TestTable(t *testing.T) {
	t.Run("a retry joins the running stream and is billed once", func(t *testing.T) {
		table := tsdedupe.NewTable[int]()
		first := join(t, table, start, false)
		second := join(t, table, start, true)
		first.Append(start, turmericshed.Frame{Seq: 0, Text: "a"})
		f, state := second.Read(0)
		assert.Equal(t, state, tsdedupe.ReadFrame)
		assert.Equal(t, f.Text, "a")
		_, state = second.Read(1)
		assert.Equal(t, state, tsdedupe.ReadWait)
		first.Append(start, turmericshed.Frame{Seq: 1, End: true})
		_, state = second.Read(2)
		assert.Equal(t, state, tsdedupe.ReadEnd)
		assert.Assert(t, first.Bill())
		assert.Assert(t, !second.Bill())
	})
	t.Run("another body under the same key is refused", func(t *testing.T) {
		table := tsdedupe.NewTable[int]()
		join(t, table, start, false)
		_, _, err := table.Join(start, "corner-1", "req-1", "digest-b")
		assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindKeyReused)
	})
	t.Run("accounts have separate streams", func(t *testing.T) {
		table := tsdedupe.NewTable[int]()
		join(t, table, start, false)
		_, joined, err := table.Join(start, "corner-2", "req-1", "digest-a")
		assert.NilError(t, err)
		assert.Assert(t, !joined)
	})
	t.Run("a failed request runs again", func(t *testing.T) {
		table := tsdedupe.NewTable[int]()
		s := join(t, table, start, false)
		s.Fail(start, turmericshed.NewError(turmericshed.KindOverloaded, "full"))
		s = join(t, table, start, false)
		s.Fail(start, turmericshed.NewError(turmericshed.KindStreamBroken, "cut"))
		_, found := table.Find("corner-1", "req-1", "digest-a")
		assert.Assert(t, !found)
		s = join(t, table, start, false)
		s.Append(start, turmericshed.Frame{End: true})
		join(t, table, start, true)
	})
	t.Run("the buffer is bounded and a slow reader is notified", func(t *testing.T) {
		s := join(t, tsdedupe.NewTable[int](), start, false)
		for i := range 1000 {
			s.Append(start, turmericshed.Frame{Seq: i, Text: strings.Repeat("x", 1024)})
			_, state := s.Read(i)
			assert.Equal(t, state, tsdedupe.ReadFrame)
		}
		assert.Assert(t, s.Bytes() <= 256<<10)
		_, state := s.Read(0)
		assert.Equal(t, state, tsdedupe.ReadBehind)
	})
	t.Run("ended streams are removed", func(t *testing.T) {
		table := tsdedupe.NewTable[int]()
		s := join(t, table, start, false)
		s.Append(start, turmericshed.Frame{End: true})
		join(t, table, start.Add(time.Minute), true)
		join(t, table, start.Add(time.Hour), false)
	})
	t.Run("a frame out of order is an invariant error", func(t *testing.T) {
		defer func() {
			_, ok := turmericshed.AsInvariant(recover())
			assert.Assert(t, ok)
		}()
		join(t, tsdedupe.NewTable[int](), start, false).Append(start, turmericshed.Frame{Seq: 1})
	})
}
