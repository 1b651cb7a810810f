package tsuptime_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed/io/tsuptime"
)

func TestUptime(t *testing.T) {
	t.Run("uptime increases", func(t *testing.T) {
		since := tsuptime.SinceBoot()
		time.Sleep(20 * time.Millisecond)
		passed := tsuptime.SinceBoot() - since
		assert.Assert(t, passed >= 20*time.Millisecond, "%s", passed)
	})
	t.Run("a running machine reports no suspended time", func(t *testing.T) {
		before := tsuptime.Suspended()
		time.Sleep(20 * time.Millisecond)
		suspended := tsuptime.Suspended() - before
		assert.Assert(t, suspended.Abs() <= 10*time.Millisecond, "%s", suspended)
	})
}
