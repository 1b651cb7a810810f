package tshostile_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
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
	// defaultRetrySlack is the retry slack in the settings.
	defaultRetrySlack = 600
	// deploymentDescriptors is the limit of most deployments.
	deploymentDescriptors = 4100
	// startTimeout bounds the start of a process, answerTimeout the time until an ordinary caller
	// that repeats refused requests is answered. Both only end a test that hangs.
	startTimeout  = 60 * time.Second
	answerTimeout = 60 * time.Second
	// startAttempts is how often a process is started whose ports are taken.
	startAttempts = 3
)

const settingsFormat = `{"nodeName":%q,"zone":%q,"region":"r","ip":"127.0.0.1","internalPortRange":[%d],"bootstrap":%t,
 "listenAddresses":{"front":"127.0.0.1:0","readiness":"%s","control":"%s"},"platform":{"address":%q},
 "limits":{"memoryMb":%d,"cpuShare":0.2,"cpuCores":2,"linkMbps":0,"fileDescriptors":%d},
 "bounds":{"retryBudgetRatio":0.2,"retryBudgetSlack":%d,"budgetWindowS":10,"gracePeriodS":8,"drainTimeoutMs":2000,"configApplyMs":2000,"contactMs":3000}}`

const table = `{"version":3,"routes":[
 {"name":"look","host":"corner.example","prefix":"/look/","kind":"safe","service":"desk","timeoutMs":8000,"maxAttempts":2},
 {"name":"book","host":"corner.example","prefix":"/book/","kind":"unsafe","service":"desk","timeoutMs":8000,"maxAttempts":1},
 {"name":"odd","host":"corner.example","prefix":"/odd/","kind":"safe","service":"odd","timeoutMs":8000,"maxAttempts":1},
 {"name":"oddstream","host":"corner.example","prefix":"/oddstream/","kind":"streaming","service":"odd","timeoutMs":8000,"maxAttempts":1}],
 "services":[{"name":"desk","maxConnections":2000},{"name":"odd","maxConnections":2000}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"stall","apiKeys":["k1"],"prepaid":1000000},{"name":"other","apiKeys":["k2"],"prepaid":1000000}]}`

// command is the path of the built command.
var command string

// ordinaryBody is the body of an ordinary request.
var ordinaryBody = bytes.Repeat([]byte("x"), ordinaryBodyBytes)

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

// process is a process under test, a gateway or an entry.
type process struct {
	t          *testing.T
	cmd        *exec.Cmd
	callerAddr string
	callerPort int
	exited     chan struct{}
	// descriptors is the limit in the settings of the process.
	descriptors int
}

// gateway is one gateway process.
type gateway struct {
	*process
	// ready and control are the addresses for readiness checks and for metrics.
	ready, control *net.TCPAddr
}

// machine is an entry VM on which gateway processes run one after another.
type machine struct {
	t           *testing.T
	name, zone  string
	storeAddr   string
	descriptors int
	settings    string
	starts      int
	// ready, control and peers are the addresses in the settings.
	ready, control, peers *net.TCPAddr
}

func newMachine(t *testing.T, name, zone, storeAddr string, descriptors int) *machine {
	m := &machine{t: t, name: name, zone: zone, storeAddr: storeAddr, descriptors: descriptors, settings: filepath.Join(t.TempDir(), "settings.json")}
	m.pickPorts()
	return m
}

// pickPorts picks free ports for the process. They are free when it returns, but a connection of
// another test's may take one before they are used.
func (m *machine) pickPorts() {
	m.ready, m.control, m.peers = freeAddr(m.t), freeAddr(m.t), freeAddr(m.t)
}

// writeSettings writes the settings file.
func (m *machine) writeSettings(retrySlack int) {
	text := fmt.Sprintf(settingsFormat, m.name, m.zone, m.peers.Port, m.starts == 0, m.ready, m.control, m.storeAddr, memoryMB, m.descriptors, retrySlack)
	assert.NilError(m.t, os.WriteFile(m.settings, []byte(text), 0o600))
}

// start starts a gateway process and waits until it serves callers. It tries again with other ports if
// one of them was taken.
func (m *machine) start() *gateway {
	for range startAttempts {
		m.writeSettings(defaultRetrySlack)
		p, err := startProcess(m.t, exec.Command(command, "gateway", "-config", m.settings), servingAddr)
		if err == nil {
			m.starts++
			p.descriptors = m.descriptors
			return &gateway{p, m.ready, m.control}
		}
		if !strings.Contains(err.Error(), "address already in use") {
			m.t.Fatal(err)
		}
		m.pickPorts()
	}
	m.t.Fatal("the ports of the process were taken in each attempt")
	return nil
}

// awaitReady waits until the process says that it is ready.
func (g *gateway) awaitReady() {
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + g.ready.String() + "/") //nolint:noctx // loopback, in a test.
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		assert.Assert(g.t, time.Now().Before(deadline), "the process did not become ready")
	}
}

// startStore starts a stand-in store with the entries of backend servers, and returns it and its
// address.
func startStore(t *testing.T, servers map[string][]byte) (*tsmetastore.Store, string) {
	t.Helper()
	store := tsmetastore.New()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	for id, entry := range servers {
		store.Put(users.ServerPrefix+id, entry)
	}
	store.Put(users.TableKey, []byte(table))
	return store, strings.TrimPrefix(srv.URL, "http://")
}

// startGateway starts a gateway process with the given limit of descriptors and waits until it is
// ready. The entries of the backend servers are those of servers.
func startGateway(t *testing.T, descriptors int, servers map[string][]byte) *gateway {
	t.Helper()
	_, storeAddr := startStore(t, servers)
	g := newMachine(t, "vm-1", "a", storeAddr, descriptors).start()
	g.awaitReady()
	return g
}

// startWithDesk starts a gateway process with one sound backend server.
func startWithDesk(t *testing.T) *gateway {
	t.Helper()
	return startWithDeskAnd(t, fileDescriptors, map[string][]byte{})
}

// startWithDeskAnd starts a gateway process with one sound backend server and others.
func startWithDeskAnd(t *testing.T, descriptors int, others map[string][]byte) *gateway {
	t.Helper()
	b := &tsmetastore.Backend{ID: "desk-0"}
	assert.NilError(t, b.Start())
	t.Cleanup(func() { _ = b.Close() })
	others[b.ID] = b.Entry("desk", "a", "ready")
	return startGateway(t, descriptors, others)
}

// mustStart is startProcess for one whose ports are not chosen before.
func mustStart(t *testing.T, cmd *exec.Cmd, addrOf func(line []byte) string) *process {
	t.Helper()
	p, err := startProcess(t, cmd, addrOf)
	assert.NilError(t, err)
	return p
}

// startProcess starts a process and waits until it prints a line in which addrOf finds the address
// that serves callers. Error: it exited before; the end of its log.
func startProcess(t *testing.T, cmd *exec.Cmd, addrOf func(line []byte) string) (*process, error) {
	t.Helper()
	p := &process{t: t, exited: make(chan struct{}), cmd: cmd}
	logs, err := os.Create(filepath.Join(t.TempDir(), "log"))
	assert.NilError(t, err)
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	cmd.Stderr = logs
	assert.NilError(t, cmd.Start())
	addr := make(chan string, 1)
	go p.follow(out, logs, addrOf, addr)
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			data, _ := os.ReadFile(logs.Name())
			t.Logf("end of the log: %s", data[max(0, len(data)-3000):])
		}
	})
	select {
	case p.callerAddr = <-addr:
	case <-p.exited:
		data, err := os.ReadFile(logs.Name())
		return nil, errors.Join(fmt.Errorf("the process exited at its start: %s", data[max(0, len(data)-1000):]), err)
	case <-time.After(startTimeout):
		t.Fatal("the process did not start")
	}
	tcp, err := net.ResolveTCPAddr("tcp", p.callerAddr)
	assert.NilError(t, err)
	p.callerPort = tcp.Port
	return p, nil
}

// servingAddr returns the address in a gateway's log line that it serves callers, else "".
func servingAddr(line []byte) string {
	var serving struct{ Msg, Addr string }
	if !bytes.Contains(line, []byte(`"serving"`)) || json.Unmarshal(line, &serving) != nil {
		return ""
	}
	return serving.Addr
}

// follow copies the output until the process exits, and takes the caller address from it.
func (p *process) follow(out io.Reader, logs *os.File, addrOf func(line []byte) string, addr chan<- string) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for isServing := false; lines.Scan(); {
		_, _ = fmt.Fprintln(logs, lines.Text())
		if a := addrOf(lines.Bytes()); !isServing && a != "" {
			isServing = true
			addr <- a
		}
	}
	_ = p.cmd.Wait()
	_ = logs.Close()
	close(p.exited)
}

func freeAddr(t *testing.T) *net.TCPAddr {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr)
}

// isAlive reports whether the process runs.
func (p *process) isAlive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return p.cmd.Process.Signal(syscall.Signal(0)) == nil
	}
}

// assertLimits checks that the process lives, and that its memory and descriptors stayed under
// their bounds.
func (p *process) assertLimits(s *sampler) {
	p.t.Helper()
	s.finish(p.t)
	p.t.Logf("peak: resident %d kB, socket buffers %d kB, together %d kB; %d descriptors", s.peak.residentBytes>>10, s.peak.socketBytes>>10, s.peakTotal>>10, s.peak.descriptors)
	assert.Assert(p.t, p.isAlive(), "the process has ended")
	assert.Assert(p.t, s.peakTotal <= memoryMB*1_000_000, "%d bytes of memory, the machine has %d MB", s.peakTotal, memoryMB)
	assert.Assert(p.t, s.peak.descriptors <= p.descriptors, "%d descriptors, the limit is %d", s.peak.descriptors, p.descriptors)
}

// assertAnswered sends an ordinary request, which repeats until it is answered: a caller whose
// request is refused as not run, or whose connection is closed, sends it again.
func (p *process) assertAnswered(when string, send func() error) {
	p.t.Helper()
	var err error
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline) && p.isAlive(); time.Sleep(100 * time.Millisecond) {
		if err = send(); err == nil {
			return
		}
	}
	p.t.Fatalf("no answer to an ordinary request %s: %v", when, err)
}

// assertBounds checks the limits of the process, and that an ordinary caller is answered. closeCrowd
// closes the connections of the crowd.
func (g *gateway) assertBounds(s *sampler, closeCrowd func()) {
	g.t.Helper()
	g.assertAnswered("while the crowd is connected", func() error { return g.ordinary("k1") })
	closeCrowd()
	g.assertAnswered("after the crowd has left", func() error { return g.ordinary("k1") })
	g.assertLimits(s)
}

// ordinary sends one ordinary request with the key of a client account. Error: it was not answered
// by the backend server.
func (g *gateway) ordinary(key string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.callerAddr+"/look/1", bytes.NewReader(ordinaryBody)) //nolint:noctx // loopback, in a test.
	if err != nil {
		return err
	}
	id := turmericshed.NewID("a-")
	req.Host, req.Close = "corner.example", true
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Credential", key)
	req.Header.Set("Deadline-Remaining", "4000")
	status, text, err := roundTrip(req)
	if err == nil && (status != http.StatusOK || text != "answer to "+id) {
		err = fmt.Errorf("status %d, %q", status, text)
	}
	return err
}

// roundTrip sends a request on a connection of its own and reads the answer.
func roundTrip(req *http.Request) (status int, text string, err error) {
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}
