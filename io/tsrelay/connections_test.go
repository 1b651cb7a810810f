package tsrelay

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed"
)

// Each entry VM opened at least four connections to each server, so that many of
// them together were above what a server accepts.
func TestEntryVMsTogetherKeepMaxConnections(t *testing.T) {
	for _, most := range []int{110, 630} {
		for _, vms := range []int{1, 9, 28, 86, 110, 158, 195} {
			t.Run(fmt.Sprintf("%d entry VMs, %d connections", vms, most), func(t *testing.T) {
				s := New(Config{EntryVMs: func() int { return vms }})
				share := s.connectionShare(turmericshed.ServiceSpec{MaxConnections: most})
				assert.Assert(t, share >= 1)
				assert.Assert(t, vms*share <= max(most, vms), "%d connections each", share)
			})
		}
	}
	t.Run("no bound without one", func(t *testing.T) {
		s := New(Config{EntryVMs: func() int { return 9 }})
		assert.Equal(t, s.connectionShare(turmericshed.ServiceSpec{}), 0)
	})
}
