package tscommand_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	users "turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

const (
	// streamEvents and streamEventInterval make a stream that lasts two seconds, well
	// within the grace period of a stop.
	streamEvents        = 8
	streamEventInterval = 250 * time.Millisecond
	// gatewayTable is a routing table with one streaming route.
	gatewayTable = `{"version":3,"routes":[{"name":"quote","host":"corner.example","prefix":"/quote/","kind":"streaming","service":"pool","timeoutMs":6800,"targetLatencyMs":500,"gapTargetMs":400,"maxAttempts":1}],
 "services":[{"name":"pool","maxConnections":600,"engine":{"stride":5}}],
 "limits":{"maxHeaderBytes":2000,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"stall","apiKeys":["k1"],"prepaid":1000000}]}`
	// gatewaySettingsFormat takes, in this order, the retry slack, the readiness,
	// control and store addresses, and the port for other entry VMs.
	gatewaySettingsFormat = `{"nodeName":"vm-1","zone":"a","region":"r","ip":"127.0.0.1","internalPortRange":[%[5]d],
 "listenAddresses":{"front":"127.0.0.1:0","readiness":"%[2]s","control":"%[3]s"},"platform":{"address":"%[4]s"},
 "bounds":{"retryBudgetRatio":0.2,"retryBudgetSlack":%[1]d,"budgetWindowS":10,"gracePeriodS":8}}`
)

// gatewayProcess is an entry VM on the users' platform that runs as a separate process.
type gatewayProcess struct {
	t        *testing.T
	cmd      *exec.Cmd
	logLines chan string
	// writeSettings writes the settings file with the given retry slack.
	writeSettings func(slack int)
	callerAddr    string
}

// startGateway starts a gatewayProcess with a store and an engine, and waits until it
// is ready.
func (f *fleet) startGateway(t *testing.T) *gatewayProcess {
	t.Helper()
	store := tsmetastore.New()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	engine := &tsmetastore.Backend{ID: "engine-0", Events: streamEvents, Pause: streamEventInterval}
	assert.NilError(t, engine.Start())
	t.Cleanup(func() { _ = engine.Close() })
	store.Put(users.ServerPrefix+engine.ID, engine.Entry("pool", "a", "ready"))
	store.Put(users.TableKey, []byte(gatewayTable))
	ready, control, peers := freeAddr(t), freeAddr(t), freeAddr(t)
	file := filepath.Join(t.TempDir(), "settings.json")
	g := &gatewayProcess{t: t, logLines: make(chan string, 10_000), writeSettings: func(slack int) {
		text := fmt.Sprintf(gatewaySettingsFormat, slack, ready, control, strings.TrimPrefix(srv.URL, "http://"), peers.Port)
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	}}
	g.writeSettings(58)
	g.cmd = exec.CommandContext(f.ctx, f.binary, "gateway", "-config", file)
	out, err := g.cmd.StdoutPipe()
	assert.NilError(t, err)
	g.cmd.Stderr = os.Stderr
	assert.NilError(t, g.cmd.Start())
	t.Cleanup(func() { _ = g.cmd.Process.Kill() })
	go func() {
		defer close(g.logLines)
		for s := bufio.NewScanner(out); s.Scan(); {
			g.logLines <- s.Text()
		}
	}()
	var serving struct{ Addr string }
	assert.NilError(t, json.Unmarshal([]byte(g.awaitLog("serving")), &serving))
	g.callerAddr = serving.Addr
	for f.ctx.Err() == nil {
		resp, err := http.Get("http://" + ready.String() + "/") //nolint:noctx // loopback, in a test.
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return g
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the entry VM did not become ready")
	return nil
}

// freeAddr returns a loopback address on which no process listens.
func freeAddr(t *testing.T) *net.TCPAddr {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	addr, ok := ln.Addr().(*net.TCPAddr)
	assert.Assert(t, ok)
	return addr
}

// awaitLog skips log lines up to the next one with the given message and returns it.
func (g *gatewayProcess) awaitLog(message string) string {
	g.t.Helper()
	for line := range g.logLines {
		if strings.Contains(line, `"msg":"`+message+`"`) {
			return line
		}
	}
	g.t.Fatalf("the process terminated before it logged %q", message)
	return ""
}

// stream requests a generation and returns the first line of the answer and a reader
// of the remainder.
func (g *gatewayProcess) stream(f *fleet) (first string, remainder *bufio.Reader) {
	g.t.Helper()
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+g.callerAddr+"/quote/1", strings.NewReader("prompt"))
	assert.NilError(g.t, err)
	req.Host = "corner.example"
	for name, value := range map[string]string{
		"Attempt-Id": "a-1", "Credential": "k1", "Deadline-Remaining": "6800", "Model": "m", "Token-Counts": "100,50", "Prompt-Prefix": "aa:60,bb:40",
	} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(g.t, err)
	g.t.Cleanup(func() { _ = resp.Body.Close() })
	assert.Equal(g.t, resp.StatusCode, http.StatusOK)
	remainder = bufio.NewReader(resp.Body)
	first, err = remainder.ReadString('\n')
	assert.NilError(g.t, err)
	return first, remainder
}

// A SIGHUP for changed settings terminated an entry VM that was stopping after SIGTERM:
// its answers were cut off and it logged nothing (LOST, deploy/days/relay-cut-stops.toml,
// seed 5).
func TestChangedSettingsEndAStoppingEntryVM(t *testing.T) {
	f := newFleet(t)
	for name, change := range map[string]func(g *gatewayProcess){
		"unchanged settings": func(*gatewayProcess) {},
		"changed settings": func(g *gatewayProcess) {
			for n := range 5 {
				time.Sleep(100 * time.Millisecond)
				g.writeSettings(59 + n)
				// A process that has already terminated fails the checks below.
				_ = g.cmd.Process.Signal(syscall.SIGHUP)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := f.startGateway(t)
			first, remainder := g.stream(f)
			assert.NilError(t, g.cmd.Process.Signal(syscall.SIGTERM))
			g.awaitLog("callers: stopping")
			change(g)
			answer, err := io.ReadAll(remainder)
			assert.Check(t, err == nil, "reading the answer failed: %v", err)
			assert.Check(t, strings.Contains(first+string(answer), fmt.Sprintf("id: %d\ndata: piece %d\n\n", streamEvents, streamEvents)), "the answer is incomplete: %s", answer)
			stopped := false
			for line := range g.logLines {
				stopped = stopped || strings.Contains(line, `"msg":"stopped"`)
			}
			assert.Check(t, stopped, "the process terminated without logging \"stopped\"")
			assert.NilError(t, g.cmd.Wait())
		})
	}
}
