package tsgateway_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed/io/tsgateway"
)

// Guards against admission control in deployments whose settings don't ask for it, and
// against requests that it refuses without evidence.
func TestAdmissionSetting(t *testing.T) {
	const admitted = `turmericshed_admission_decisions_total{decision="admitted"}`
	t.Run("off by default", func(t *testing.T) {
		r := newRig(t, 1_000_000)
		assertStatus(t, r.requestGeneration("/quote/1"), http.StatusOK)
		assert.Assert(t, !strings.Contains(r.metrics(), "turmericshed_admission"))
	})
	t.Run("on", func(t *testing.T) {
		r := newRig(t, 1_000_000)
		r.entryVM = r.startWith("vm-2", func(c *tsgateway.Config) { c.Settings.Admission = true })
		for range 5 {
			assertStatus(t, r.requestGeneration("/quote/1"), http.StatusOK)
		}
		assertStatus(t, r.request(http.MethodPost, "/look/1", "frame"), http.StatusOK)
		assert.Assert(t, strings.Contains(r.metrics(), admitted+" 6"), r.metrics())
	})
}
