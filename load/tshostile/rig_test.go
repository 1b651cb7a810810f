package tshostile_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
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

	"turmericshed"
	users "turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

const (
	// memoryMB is the memory of the smallest machine of the deployments.
	memoryMB = 112
	// fileDescriptors is lowered from 3,075, the least of the deployments, so that a small crowd
	// of connections reaches it.
	fileDescriptors = 500
	// maxBodyBytes is the limit of the desired state in the deployments.
	maxBodyBytes = 4_194_304
	// ordinaryBodyBytes is the size of a usual body.
	ordinaryBodyBytes = 100_000
	// startTimeout bounds the start of a process, answerTimeout the time until an ordinary caller
	// that repeats refused requests is answered. Both only end a test that hangs.
	startTimeout  = 60 * time.Second
	answerTimeout = 60 * time.Second
)

const settingsFormat = `{"nodeName":"vm-1","zone":"a","region":"r","ip":"127.0.0.1","internalPortRange":[%d],"bootstrap":true,
 "listenAddresses":{"front":"127.0.0.1:0","readiness":%q,"control":%q},"platform":{"address":%q},
 "limits":{"memoryMb":%d,"cpuShare":0.2,"cpuCores":2,"linkMbps":0,"fileDescriptors":%d},
 "bounds":{"retryBudgetRatio":0.2,"retryBudgetSlack":600,"budgetWindowS":10,"gracePeriodS":8,"drainTimeoutMs":2000,"configApplyMs":2000,"contactMs":3000}}`

const table = `{"version":3,"routes":[
 {"name":"look","host":"corner.example","prefix":"/look/","kind":"safe","service":"desk","timeoutMs":8000,"maxAttempts":2},
 {"name":"book","host":"corner.example","prefix":"/book/","kind":"unsafe","service":"desk","timeoutMs":8000,"maxAttempts":1},
 {"name":"odd","host":"corner.example","prefix":"/odd/","kind":"safe","service":"odd","timeoutMs":8000,"maxAttempts":1},
 {"name":"oddstream","host":"corner.example","prefix":"/oddstream/","kind":"streaming","service":"odd","timeoutMs":8000,"maxAttempts":1}],
 "services":[{"name":"desk","maxConnections":2000},{"name":"odd","maxConnections":2000}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"stall","apiKeys":["k1"],"prepaid":1000000}]}`

// command is the path of the built command.
var command string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "tshostile")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	command = filepath.Join(dir, "turmericshed")
	build := exec.Command("go", "build", "-o", command, "turmericshed/cmd/turmericshed")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// gateway is one gateway process with its store and its backend servers.
type gateway struct {
	t          *testing.T
	cmd        *exec.Cmd
	callerAddr string
	callerPort int
	servers    []*tsmetastore.Backend
	exited     chan struct{}
}

// startGateway starts a gateway process and waits until it is ready. The entries of the backend
// servers of the service desk are those of servers.
func startGateway(t *testing.T, servers map[string][]byte) *gateway {
	t.Helper()
	store := tsmetastore.New()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	for id, entry := range servers {
		store.Put(users.ServerPrefix+id, entry)
	}
	store.Put(users.TableKey, []byte(table))
	ready, control, peers := freeAddr(t), freeAddr(t), freeAddr(t)
	file := filepath.Join(t.TempDir(), "settings.json")
	text := fmt.Sprintf(settingsFormat, peers.Port, ready.String(), control.String(), strings.TrimPrefix(srv.URL, "http://"), memoryMB, fileDescriptors)
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	g := &gateway{t: t, exited: make(chan struct{}), cmd: exec.Command(command, "gateway", "-config", file)}
	logs, err := os.Create(filepath.Join(t.TempDir(), "log"))
	assert.NilError(t, err)
	out, err := g.cmd.StdoutPipe()
	assert.NilError(t, err)
	g.cmd.Stderr = logs
	assert.NilError(t, g.cmd.Start())
	addr := make(chan string, 1)
	go g.follow(out, logs, addr)
	t.Cleanup(func() {
		_ = g.cmd.Process.Kill()
		<-g.exited
		if t.Failed() {
			data, _ := os.ReadFile(logs.Name())
			t.Logf("end of the log: %s", data[max(0, len(data)-3000):])
		}
	})
	select {
	case g.callerAddr = <-addr:
	case <-time.After(startTimeout):
		t.Fatal("the process did not start")
	}
	tcp, err := net.ResolveTCPAddr("tcp", g.callerAddr)
	assert.NilError(t, err)
	g.callerPort = tcp.Port
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + ready.String() + "/") //nolint:noctx // loopback, in a test.
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return g
			}
		}
		if time.Now().After(deadline) {
			t.Fatal("the process did not become ready")
		}
	}
}

// startWithDesk starts a gateway process with one sound backend server.
func startWithDesk(t *testing.T) *gateway {
	t.Helper()
	return startWithDeskAnd(t, map[string][]byte{})
}

// startWithDeskAnd starts a gateway process with one sound backend server and others.
func startWithDeskAnd(t *testing.T, others map[string][]byte) *gateway {
	t.Helper()
	b := &tsmetastore.Backend{ID: "desk-0"}
	assert.NilError(t, b.Start())
	t.Cleanup(func() { _ = b.Close() })
	others[b.ID] = b.Entry("desk", "a", "ready")
	g := startGateway(t, others)
	g.servers = []*tsmetastore.Backend{b}
	return g
}

// follow copies the log until the process exits, and takes the caller address from it.
func (g *gateway) follow(out interface{ Read([]byte) (int, error) }, logs *os.File, addr chan<- string) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		_, _ = fmt.Fprintln(logs, lines.Text())
		var serving struct{ Msg, Addr string }
		if bytes.Contains(lines.Bytes(), []byte(`"serving"`)) && json.Unmarshal(lines.Bytes(), &serving) == nil && serving.Addr != "" {
			addr <- serving.Addr
		}
	}
	_ = g.cmd.Wait()
	_ = logs.Close()
	close(g.exited)
}

func freeAddr(t *testing.T) *net.TCPAddr {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr)
}

// isAlive reports whether the process runs.
func (g *gateway) isAlive() bool {
	select {
	case <-g.exited:
		return false
	default:
		return g.cmd.Process.Signal(syscall.Signal(0)) == nil
	}
}

// assertBounds checks that the process lives, that its memory and descriptors stayed under their
// bounds, and that an ordinary caller is answered. closeCrowd closes
// the connections of the crowd.
func (g *gateway) assertBounds(s *sampler, closeCrowd func()) {
	g.t.Helper()
	g.assertAnswers("while the crowd is connected")
	closeCrowd()
	g.assertAnswers("after the crowd has left")
	s.finish(g.t)
	g.t.Logf("peak: resident %d kB, receive buffers %d kB, together %d kB; %d descriptors", s.peak.residentBytes>>10, s.peak.receiveBytes>>10, s.peakTotal>>10, s.peak.descriptors)
	assert.Assert(g.t, g.isAlive(), "the process has ended")
	assert.Assert(g.t, s.peakTotal <= memoryMB*1_000_000, "%d bytes of memory, the machine has %d MB", s.peakTotal, memoryMB)
	assert.Assert(g.t, s.peak.descriptors <= fileDescriptors, "%d descriptors, the limit is %d", s.peak.descriptors, fileDescriptors)
}

// assertAnswers checks that an ordinary request is answered by the backend server. A caller whose
// request is refused as not run, or whose connection is closed, repeats it.
func (g *gateway) assertAnswers(when string) {
	g.t.Helper()
	body := bytes.Repeat([]byte("x"), ordinaryBodyBytes)
	var last string
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline) && g.isAlive(); time.Sleep(100 * time.Millisecond) {
		req, err := http.NewRequest(http.MethodPost, "http://"+g.callerAddr+"/look/1", bytes.NewReader(body)) //nolint:noctx // loopback, in a test.
		assert.NilError(g.t, err)
		id := turmericshed.NewID("a-")
		req.Host, req.Close = "corner.example", true
		req.Header.Set("Attempt-Id", id)
		req.Header.Set("Credential", "k1")
		req.Header.Set("Deadline-Remaining", "4000")
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		if err != nil {
			last = err.Error()
			continue
		}
		var text bytes.Buffer
		_, err = text.ReadFrom(resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK && text.String() == "answer to "+id {
			return
		}
		last = fmt.Sprintf("status %d, %q, %v", resp.StatusCode, text.String(), err)
	}
	g.t.Fatalf("no answer to an ordinary request %s: %s", when, last)
}
