package tsboard_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed/core/tsboard"
)

func TestCell(t *testing.T) {
	t.Run("a write wakes each watcher once", func(t *testing.T) {
		var c tsboard.Cell[int]
		v, changed := c.Watch()
		assert.Equal(t, v, 0)
		c.Write(3)
		<-changed
		v, changed = c.Watch()
		assert.Equal(t, v, 3)
		select {
		case <-changed:
			t.Fatal("woken without a write")
		default:
		}
	})
	t.Run("an update receives the previous value", func(t *testing.T) {
		var c tsboard.Cell[int]
		c.Write(2)
		c.Update(func(n int) int { return n * 5 })
		assert.Equal(t, c.Read(), 10)
	})
}
