package tscommand_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed/io/tscommand"
)

const soundDesiredState = `{"version":7,"routes":[{"name":"r1","host":"a.example","prefix":"/x/","kind":"safe","timeoutMs":800,"targetLatencyMs":300,
	"service":"desk","maxAttempts":2}],"services":[{"name":"desk","maxConnections":630}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["k1"]}]}`

// Guards against a check whose exit code or output can't be used in a script.
func TestCheckCommand(t *testing.T) {
	writeFile := func(t *testing.T, text string) string {
		t.Helper()
		path := filepath.Join(t.TempDir(), "desired.json")
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	assertCheck := func(t *testing.T, code int, want string, args ...string) string {
		t.Helper()
		var out, errOut bytes.Buffer
		got := tscommand.Main(t.Context(), append([]string{"check"}, args...), &out, &errOut)
		assert.Equal(t, got, code, "%s%s", out.String(), errOut.String())
		assert.Assert(t, strings.Contains(out.String()+errOut.String(), want), "%s%s", out.String(), errOut.String())
		return out.String()
	}
	sound := writeFile(t, soundDesiredState)
	t.Run("a sound desired state", func(t *testing.T) { assertCheck(t, 0, "0 findings, 0 changes", "-file", sound) })
	t.Run("errors", func(t *testing.T) {
		bad := writeFile(t, strings.Replace(soundDesiredState, `"service":"desk",`, ``, 1))
		assertCheck(t, 1, `error: route r1: no service with a weight above 0 (no_target)`, "-file", bad)
	})
	t.Run("warnings alone", func(t *testing.T) {
		unlisted := writeFile(t, strings.Replace(soundDesiredState, `"service":"desk"`, `"service":"lost"`, 1))
		assertCheck(t, 0, `warning: route r1: service "lost" is not listed`, "-file", unlisted)
	})
	t.Run("a difference from the one in force", func(t *testing.T) {
		next := writeFile(t, strings.NewReplacer(`"version":7`, `"version":9`, `"k1"`, `"k2"`).Replace(soundDesiredState))
		out := assertCheck(t, 0, "change: account t1: keys: 1 keys -> 1 keys (1 added, 1 removed)", "-file", next, "-against", sound)
		assert.Assert(t, !strings.Contains(out, "k2"))
	})
	t.Run("an old version in JSON", func(t *testing.T) {
		var report struct {
			Findings []struct{ Code string }
			Valid    bool
		}
		out := assertCheck(t, 1, "", "-file", sound, "-against", sound, "-format", "json")
		assert.NilError(t, json.Unmarshal([]byte(out), &report))
		assert.Equal(t, report.Findings[0].Code, "old_version")
		assert.Assert(t, !report.Valid)
	})
	t.Run("a malformed document", func(t *testing.T) { assertCheck(t, 1, "invalid_value", "-file", writeFile(t, "{")) })
	t.Run("no file", func(t *testing.T) { assertCheck(t, 2, "-file") })
	t.Run("two sources of the one in force", func(t *testing.T) {
		assertCheck(t, 2, "either -against or -store-addr", "-file", sound, "-against", sound, "-store-addr", "127.0.0.1:1")
	})
}
