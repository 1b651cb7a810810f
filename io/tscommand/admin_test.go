package tscommand_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed/io/tscommand"
)

// cli runs commands against a stand-in platform that no other test uses.
type cli struct {
	t    *testing.T
	addr string
}

func newCLI(t *testing.T) cli { return cli{t: t, addr: newPlatform(t).addr} }

// run executes a command, checks that its exit code is code and that its output
// contains want, and returns its standard output.
func (c cli) run(code int, want string, args ...string) string {
	c.t.Helper()
	var out, errOut bytes.Buffer
	got := tscommand.Main(c.t.Context(), append(args, "-platform-addr", c.addr, "-operator", "ana"), &out, &errOut)
	assert.Equal(c.t, got, code, "%v: %s", args, errOut.String())
	assert.Assert(c.t, strings.Contains(out.String()+errOut.String(), want), "%v: %s%s", args, out.String(), errOut.String())
	return out.String()
}

func (c cli) writeFile(text string) string {
	c.t.Helper()
	path := filepath.Join(c.t.TempDir(), "document.json")
	assert.NilError(c.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestProfileCommands(t *testing.T) {
	c := newCLI(t)
	doc := c.writeFile(`{"name":"counter","prepaid":1000,"work":"assistant","accounts":[{"account":"a1"}]}`)
	c.run(0, "profile counter version", "profile", "put", "-file", doc)
	t.Run("the output of get is accepted by put", func(t *testing.T) {
		text := c.run(0, "prepaid 1000, spent 0", "profile", "get", "-profile", "counter")
		c.run(1, `edited by "ana"`, "profile", "put", "-file", c.writeFile(text))
		c.run(0, "version", "profile", "put", "-file", c.writeFile(text), "-version", "2")
	})
	t.Run("an edit of an outdated version changes nothing", func(t *testing.T) {
		c.run(1, "prepaid: 1000 -> 7", "profile", "edit", "-profile", "counter", "-prepaid", "7", "-version", "1")
		c.run(0, "1000", "profile", "list")
	})
	t.Run("an invalid document is reported", func(t *testing.T) {
		c.run(2, `unknown field "prepayd"`, "profile", "edit", "-profile", "counter", "-file", c.writeFile(`{"prepayd":1}`))
		c.run(2, "priority 11: want 0 to 9", "profile", "edit", "-profile", "counter", "-file", c.writeFile(`{"priority":11}`))
	})
	t.Run("a deleted profile is not found", func(t *testing.T) {
		c.run(0, "", "profile", "delete", "-profile", "counter")
		c.run(1, "no profile", "profile", "get", "-profile", "counter")
	})
}

func TestAccountCommands(t *testing.T) {
	c := newCLI(t)
	key := strings.TrimSpace(c.run(0, "ts.a1.", "account", "add", "-account", "a1"))
	list := c.run(0, "a1", "account", "list")
	assert.Assert(t, !strings.Contains(list, key))
	c.run(0, "", "account", "delete", "-account", "a1")
	c.run(1, "does not exist", "account", "delete", "-account", "a1")
}

func TestBadSettings(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"profile", "want one of put, get, list, edit, delete"},
		{"profile edit -profile p -platform-addr 127.0.0.1:1", "-file and -prepaid"},
		{"profile get -platform-addr 127.0.0.1:1", "-profile"},
		{"account add -account a -platform-addr localhost:1", `-platform-addr="localhost:1"`},
		{"standin platform -addr 127.0.0.1:0 -writes-per-second -1", "want 0 or more"},
		{"standin engine -id e -failure-domain a", "-models"},
		{"standin service -id s -failure-domain a -addr 127.0.0.1:1 -platform-addr 127.0.0.1:1", "-service"},
		{"load -entries 127.0.0.1:1 -spec none -format yaml", `-format="yaml"`},
		{"load -entries 127.0.0.1:1 -spec /none", `-spec="/none"`},
		{"soak -duration 0s", "above 0"},
	} {
		t.Run(c.args, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := tscommand.Main(t.Context(), strings.Fields(c.args), &out, &errOut)
			assert.Equal(t, code, 2, "%s", errOut.String())
			assert.Assert(t, strings.Contains(errOut.String(), c.want), "%s", errOut.String())
			assert.Equal(t, strings.Count(errOut.String(), "\n"), 1)
		})
	}
	t.Run("a flag overrides its environment variable", func(t *testing.T) {
		c := newCLI(t)
		t.Setenv("TURMERICSHED_PLATFORM_ADDR", "127.0.0.1:1")
		c.run(0, "PROFILE", "profile", "list")
	})
}
