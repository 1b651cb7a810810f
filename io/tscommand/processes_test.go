package tscommand_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testTimeout fails a test whose processes hang.
const testTimeout = 90 * time.Second

// fleet builds the binary and starts processes of it.
type fleet struct {
	t      *testing.T
	ctx    context.Context
	binary string
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	binary := filepath.Join(t.TempDir(), "turmericshed")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "turmericshed/cmd/turmericshed").CombinedOutput()
	assert.NilError(t, err, string(out))
	return &fleet{t: t, ctx: ctx, binary: binary}
}

// start starts a server process and returns it with the address that it prints.
func (f *fleet) start(args ...string) (*exec.Cmd, string) {
	f.t.Helper()
	cmd := exec.CommandContext(f.ctx, f.binary, args...)
	out, err := cmd.StdoutPipe()
	assert.NilError(f.t, err)
	cmd.Stderr = &bytes.Buffer{}
	assert.NilError(f.t, cmd.Start())
	f.t.Cleanup(func() { _ = cmd.Process.Kill() })
	line, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(f.t, err, "%v printed no address: %s", args, cmd.Stderr)
	_, addr, ok := strings.Cut(strings.TrimSpace(line), " listens at ")
	assert.Assert(f.t, ok, line)
	return cmd, addr
}

// run executes a command with the given standard input and returns its combined
// output and exit code.
func (f *fleet) run(input string, args ...string) (string, int) {
	f.t.Helper()
	cmd := exec.CommandContext(f.ctx, f.binary, args...)
	cmd.Stdin = strings.NewReader(input)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		f.t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

func (f *fleet) mustRun(input string, args ...string) string {
	f.t.Helper()
	out, code := f.run(input, args...)
	assert.Equal(f.t, code, 0, "%v: %s", args, out)
	return out
}

// waitReady waits until /readyz of an entry VM returns 200.
func (f *fleet) waitReady(addr string) {
	f.t.Helper()
	for f.ctx.Err() == nil {
		resp, err := http.Get("http://" + addr + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatal("entry VM did not become ready")
}

// waitForService waits until an entry VM has discovered a server of the plain service.
func (f *fleet) waitForService(addr, key string) {
	f.t.Helper()
	for f.ctx.Err() == nil {
		code, _ := f.call(http.MethodGet, addr, key, "/services/bookings/status/none", "desk", "")
		if code != http.StatusServiceUnavailable {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatal("the entry VM discovered no server of the plain service")
}

func (f *fleet) post(addr, key, path, profile, body string, headers ...string) (int, string) {
	f.t.Helper()
	return f.call(http.MethodPost, addr, key, path, profile, body, headers...)
}

func (f *fleet) call(method, addr, key, path, profile, body string, headers ...string) (int, string) {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.ctx, method, "http://"+addr+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Turmericshed-Profile", profile)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	return resp.StatusCode, string(b)
}

const (
	assistantProfile = `{"name":"counter","prepaid":100000,"accounts":[{"account":"corner_1"}],"work":"assistant","model":"umbrella-8b"}`
	serviceProfile   = `{"name":"desk","prepaid":1000,"accounts":[{"account":"corner_1"}],"work":"service","services":["bookings"],"call_cost":1}`
	chatBody         = `{"messages":[{"role":"user","content":"my umbrella broke"}],"max_tokens":16}`
)

// TestSeparateProcesses starts the system with the commands of the README, each
// component in a separate process.
func TestSeparateProcesses(t *testing.T) {
	f := newFleet(t)
	_, platformAddr := f.start("standin", "platform", "-addr", "127.0.0.1:0", "-list-lag", "100ms")
	serverFlags := []string{"-addr", "127.0.0.1:0", "-platform-addr", platformAddr, "-failure-domain", "a", "-id"}
	f.start(append(append([]string{"standin", "engine"}, serverFlags...), "engine-1", "-models", "umbrella-8b", "-step-interval", "2ms")...)
	f.start(append(append([]string{"standin", "service"}, serverFlags...), "bookings-1", "-service", "bookings")...)
	f.mustRun(assistantProfile, "profile", "put", "-file", "-", "-platform-addr", platformAddr)
	f.mustRun(serviceProfile, "profile", "put", "-file", "-", "-platform-addr", platformAddr)
	key := strings.TrimSpace(f.mustRun("", "account", "add", "-account", "corner_1", "-platform-addr", platformAddr))
	fields := strings.Fields(key)
	key = fields[len(fields)-1]
	var entries []*exec.Cmd
	var addrs []string
	for _, name := range []string{"entry-1", "entry-2"} {
		cmd, addr := f.start("entry", "-name", name, "-failure-domain", "a", "-caller-addr", "127.0.0.1:0", "-peer-addr", "127.0.0.1:0",
			"-platform-addr", platformAddr, "-drain-limit", "10s")
		f.waitReady(addr)
		entries, addrs = append(entries, cmd), append(addrs, addr)
	}
	for _, addr := range addrs {
		f.waitForService(addr, key)
	}
	t.Run("a generation gets a complete answer", func(t *testing.T) {
		code, body := f.post(addrs[0], key, "/v1/chat/completions", "counter", chatBody)
		assert.Equal(t, code, http.StatusOK, body)
		var answer struct {
			Usage struct {
				Total int `json:"total_tokens"`
			}
		}
		assert.NilError(t, json.Unmarshal([]byte(body), &answer))
		assert.Assert(t, answer.Usage.Total > 16)
	})
	t.Run("a booking retried at another entry VM runs once", func(t *testing.T) {
		code, first := f.post(addrs[0], key, "/services/bookings/jobs", "desk", `{"frame":7}`, "Idempotency-Key", "b-1")
		assert.Equal(t, code, http.StatusCreated, first)
		code, second := f.post(addrs[1], key, "/services/bookings/jobs", "desk", `{"frame":7}`, "Idempotency-Key", "b-1")
		assert.Equal(t, code, http.StatusCreated, second)
		assert.Equal(t, first, second)
	})
	t.Run("an invalid setting prints one line and exits with code 2", func(t *testing.T) {
		out, code := f.run("", "entry", "-name", "x", "-failure-domain", "a", "-caller-addr", "localhost:80")
		assert.Equal(t, code, 2)
		assert.Equal(t, strings.Count(out, "\n"), 1, out)
		assert.Assert(t, strings.Contains(out, "-caller-addr") && strings.Contains(out, "localhost:80"), out)
	})
	t.Run("a graceful stop returns every lot", func(t *testing.T) {
		for _, cmd := range entries {
			assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
		}
		for _, cmd := range entries {
			assert.NilError(t, cmd.Wait(), "%s", cmd.Stderr)
		}
		for _, name := range []string{"counter", "desk"} {
			out := f.mustRun("", "profile", "get", "-profile", name, "-platform-addr", platformAddr)
			assert.Assert(t, strings.Contains(out, "in open lots 0,"), out)
		}
	})
}

// TestMain unsets the environment variables of flags, which would change the settings
// under test.
func TestMain(m *testing.M) {
	for _, v := range os.Environ() {
		if name, _, _ := strings.Cut(v, "="); strings.HasPrefix(name, "TURMERICSHED_") {
			_ = os.Unsetenv(name)
		}
	}
	os.Exit(m.Run())
}
