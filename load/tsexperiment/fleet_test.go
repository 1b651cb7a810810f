package tsexperiment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// assertFleet checks the limits at one fleet size.
func assertFleet(t *testing.T, members int, inForce time.Duration) {
	t.Helper()
	f := measureFleet(5, members, TransportCost{})
	assert.Equal(t, f.FalseGone+f.FalseGoneInCut, 0)
	assert.Equal(t, f.EditsLate, 0)
	assert.Assert(t, f.EditInForceP99Millis > 0 && f.EditInForceP99Millis <= millis(inForce), "%v ms", f.EditInForceP99Millis)
	assert.Assert(t, f.GoneAllSeconds > 0, "a dead member is not declared gone by all")
	assert.Assert(t, f.RecoverySeconds > 0, "not all members reach each other after the cut")
	assert.Assert(t, f.PayloadBytesPerSecond <= limitBytesPerSecond, "%v bytes a second", f.PayloadBytesPerSecond)
}

func TestFleet(t *testing.T) {
	t.Run("nine members", func(t *testing.T) { assertFleet(t, currentMembers, limitEditInForceCurrent) })
	t.Run("sixty members in fifteen failure domains", func(t *testing.T) { assertFleet(t, 60, limitEditInForce) })
	t.Run("the same seed gives the same fleet", func(t *testing.T) {
		a, b := measureFleet(5, currentMembers, TransportCost{}), measureFleet(5, currentMembers, TransportCost{})
		for _, f := range []*FleetSize{&a, &b} {
			f.DecisionMicros, f.ControlCPUShare = 0, 0 // measured on the real clock
		}
		assert.DeepEqual(t, a, b)
	})
}
