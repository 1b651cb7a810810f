package tsrelay

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed"
)

// Guards against entry VMs that together open more connections than a server accepts, which
// happens when many of them open at least four each.
func TestEntryVMsTogetherKeepMaxConnections(t *testing.T) {
	for _, maxConnections := range []int{110, 630} {
		for _, vms := range []int{1, 9, 28, 86, 110, 158, 195} {
			t.Run(fmt.Sprintf("%d entry VMs, %d connections", vms, maxConnections), func(t *testing.T) {
				s := New(Config{EntryVMs: func() int { return vms }})
				share := s.connectionShare(turmericshed.ServiceSpec{MaxConnections: maxConnections})
				assert.Assert(t, share >= 1)
				assert.Assert(t, vms*share <= max(maxConnections, vms), "%d connections each", share)
			})
		}
	}
	t.Run("connections are unlimited when no limit is set", func(t *testing.T) {
		s := New(Config{EntryVMs: func() int { return 9 }})
		assert.Equal(t, s.connectionShare(turmericshed.ServiceSpec{}), 0)
	})
}
