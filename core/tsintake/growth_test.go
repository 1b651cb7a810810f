package tsintake_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed/core/tsintake"
)

// Guards against reserving more for an announced body than came would justify, and against reading
// more than is reserved.
func TestReservationGrowsWithWhatCame(t *testing.T) {
	for _, length := range []int64{1, 4095, 4096, 4097, 100_000, largestBody, -1} {
		g := tsintake.Growth{Length: length}
		size := length
		if size < 0 {
			size = largestBody
		}
		for received := int64(0); received < size; {
			block, reserved := g.Next()
			assert.Assert(t, received+block <= reserved, "%d of %d bytes: a block of %d in %d", received, length, block, reserved)
			assert.Assert(t, length < 0 || reserved <= min(length, max(4096, 16*received)), "%d of %d bytes: %d reserved", received, length, reserved)
			g.Received(min(block, size-received))
			received += block
		}
	}
}
