package tsgateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed/io/tsgateway"
)

// metrics returns the text of the gateway's metrics.
func (r *rig) metrics() string {
	resp, err := http.Get("http://" + r.gateway.MetricsAddr().String() + "/metrics") //nolint:noctx // loopback, in a test.
	assert.NilError(r.t, err)
	data, err := io.ReadAll(resp.Body)
	assert.NilError(r.t, err)
	assert.NilError(r.t, resp.Body.Close())
	return string(data)
}

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
