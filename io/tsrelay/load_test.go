package tsrelay

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed"
)

// TestMalformedLoads guards against a log line for every answer of a server that sends a
// malformed load, and against memory that grows with the servers ever seen.
func TestMalformedLoads(t *testing.T) {
	t.Run("a malformed load is logged once until it changes", func(t *testing.T) {
		var m malformedLoads
		assert.Assert(t, !m.changed("a", ""))
		assert.Assert(t, m.changed("a", `"x"`))
		assert.Assert(t, !m.changed("a", `"x"`))
		assert.Assert(t, m.changed("b", `"x"`), "each server is logged")
		assert.Assert(t, m.changed("a", `"y"`))
		assert.Assert(t, !m.changed("a", ""), "a well-formed load is not logged")
		assert.Assert(t, m.changed("a", `"y"`))
	})
	t.Run("the number of remembered servers is bounded", func(t *testing.T) {
		var m malformedLoads
		for i := range 3 * maxMalformedLoads {
			m.changed(turmericshed.ServerID(fmt.Sprint(i)), `"x"`)
		}
		assert.Assert(t, len(m.last) <= maxMalformedLoads)
	})
}
