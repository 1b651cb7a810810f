package tscommand_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed/io/tscommand"
)

func TestExplain(t *testing.T) {
	dir := t.TempDir()
	writeLog := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	firstLog := writeLog("vm-1.log", `{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"relay: answered","vm":"vm-1","request":"r1"}
{"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"table: routing table in force","vm":"vm-1","version":7}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"relay: answered","vm":"vm-1","request":"r2"}
`)
	secondLog := writeLog("vm-2.log", `{"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"relay: sent again","vm":"vm-2","request":"r1"}
`)
	run := func(args ...string) (int, string, string) {
		var out, errOut bytes.Buffer
		code := tscommand.Main(context.Background(), append([]string{"explain"}, args...), &out, &errOut)
		return code, out.String(), errOut.String()
	}
	t.Run("lines of one request in two files", func(t *testing.T) {
		code, out, _ := run("-id", "r1", secondLog, firstLog)
		assert.Equal(t, code, 0)
		lines := strings.Split(strings.TrimSpace(out), "\n")
		assert.Equal(t, len(lines), 3, "%s", out)
		for i, want := range []string{"routing table in force", "relay: answered", "relay: sent again"} {
			assert.Assert(t, strings.Contains(lines[i], want), "%s", lines[i])
		}
	})
	t.Run("an id in no log line", func(t *testing.T) {
		code, out, errOut := run("-id", "r9", firstLog)
		assert.Equal(t, code, 1)
		assert.Equal(t, out, "")
		assert.Assert(t, strings.Contains(errOut, "r9"), "%s", errOut)
	})
	t.Run("missing id", func(t *testing.T) {
		code, _, errOut := run(firstLog)
		assert.Equal(t, code, 2)
		assert.Assert(t, strings.Contains(errOut, "-id"), "%s", errOut)
	})
	t.Run("missing file", func(t *testing.T) {
		code, _, _ := run("-id", "r1", filepath.Join(dir, "none"))
		assert.Equal(t, code, 2)
	})
}
