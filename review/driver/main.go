//go:build review

// Command driver plays the cases of the review: it starts the platform's store, the
// servers and the callers as stand-ins in this process, and gateways as separate
// processes with the command of the deploy file, all on loopback addresses.
//
// # Usage
//
//	driver CASE RECORD   # TROUBLE=0 leaves the disruption out
//
// RECORD is the file for what was sent, answered and run. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case couldn't run. When it is interrupted, or after
// maxDuration, it ends the processes that it started and exits with 2.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"turmericshed/standin/tsmetastore"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases holds the cases by name. Each returns an exit code.
var cases = map[string]func(w *world) (int, error){}

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD")
		os.Exit(cannotRun)
	}
	w, err := newWorld(os.Args[1], os.Args[2])
	code := cannotRun
	if err == nil {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
		go func() {
			select {
			case s := <-stop:
				fmt.Fprintln(os.Stderr, "the case was interrupted:", s)
			case <-time.After(maxDuration):
				fmt.Fprintln(os.Stderr, "the case took too long")
			}
			w.close()
			os.Exit(cannotRun)
		}()
		code, err = cases[os.Args[1]](w)
		w.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		code = cannotRun
	}
	os.Exit(code)
}

// world holds the stand-ins and processes of a case.
type world struct {
	dir      string
	trouble  bool
	began    time.Time
	store    *tsmetastore.Store
	storeURL string
	gateways []*gateway

	closing sync.Once
	// launching is held while a process starts; none starts once isClosed is true.
	launching sync.Mutex
	isClosed  bool

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

func newWorld(name, record string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-"+name+"-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), store: tsmetastore.New(), file: file, record: bufio.NewWriter(file)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeURL = ln.Addr().String()
	go func() { _ = http.Serve(ln, w.store) }()
	return w, nil
}

// note writes a line with the time since the start to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// close ends the processes and the record, once.
func (w *world) close() {
	w.closing.Do(w.closeOnce)
}

func (w *world) closeOnce() {
	w.launching.Lock()
	w.isClosed = true
	w.launching.Unlock()
	for _, g := range w.gateways {
		g.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
	_ = w.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// settings are those of the platform's page, with the figures of payungbaik-annex.
const settings = `{"nodeName":%q,"role":"gateway","machineClass":"front","serves":["front","control"],"ip":%q,"zone":%q,"region":"r",
"internalPortRange":[%d,%d],"seedNodes":[],"bootstrap":true,"toleranceCounted":false,"discovery":"platform","entry":"vip","heartbeatIntervalMs":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],"zones":{"a":"r","b":"r"},
"listenAddresses":{"front":%q,"readiness":%q,"control":%q},
"limits":{"cpuShare":0.4,"cpuCores":1,"memoryMb":134,"fileDescriptors":4100,"linkMbps":1000.0,"diskMb":0},
"faultTolerance":{"machines":1,"zones":1,"regions":0},
"bounds":{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackTimeoutMs":4000,"catchUpS":4,"drainTimeoutMs":2000,"gracePeriodS":8,"lossSlackMs":200,
"configApplyMs":2000,"rollbackSlackMs":250,"outerBoundMs":5000,"revokeFailClosed":false,"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,
"retryBudgetSlack":58,"recoveryS":12,"passMs":120,"reuseWindowS":7.4,"settle_ms":1500},
"platform":{"address":%q,"form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,"valueBytes":1048576,"ttlMinMs":1000}}
`

// gateway is one gateway process.
type gateway struct {
	name, front, ready string
	cmd                *exec.Cmd
	exited             chan struct{}
}

// startGateway starts a gateway on the loopback address ip and waits until it is ready.
func (w *world) startGateway(name, ip, zone string) (*gateway, error) {
	var addrs []string
	for range 4 {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		addrs = append(addrs, ln.Addr().String())
		if len(addrs) == 4 {
			break
		}
	}
	_, port, _ := net.SplitHostPort(addrs[3])
	var peer int
	if _, err := fmt.Sscan(port, &peer); err != nil {
		return nil, err
	}
	g := &gateway{name: name, front: addrs[0], ready: addrs[1], exited: make(chan struct{})}
	file := filepath.Join(w.dir, name+".json")
	text := fmt.Sprintf(settings, name, ip, zone, peer, peer, addrs[0], addrs[1], addrs[2], w.storeURL)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	root := os.Getenv("ROOT")
	g.cmd = exec.Command(filepath.Join(root, "target/turmericshed"), "gateway", "-metrics-port", "9464")
	g.cmd.Dir = root
	g.cmd.Env = []string{"TURMERICSHED_CONFIG=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	w.gateways = append(w.gateways, g)
	return g, nil
}

// launch starts the process once its ports are free.
func (w *world) launch(g *gateway) error {
	w.launching.Lock()
	defer w.launching.Unlock()
	if w.isClosed {
		return errors.New("the case has ended")
	}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	w.note("gateway %s started, pid %d", g.name, g.cmd.Process.Pid)
	cmd, exited := g.cmd, g.exited
	go func() {
		err := cmd.Wait()
		w.note("gateway %s ended: %v", g.name, err)
		close(exited)
	}()
	return nil
}

// relaunch starts a new process on the same machine.
func (w *world) relaunch(g *gateway) error {
	w.launching.Lock()
	old := g.cmd
	g.cmd, g.exited = exec.Command(old.Path, old.Args[1:]...), make(chan struct{})
	g.cmd.Dir, g.cmd.Env, g.cmd.Stdout, g.cmd.Stderr, g.cmd.SysProcAttr = old.Dir, old.Env, old.Stdout, old.Stderr, old.SysProcAttr
	w.launching.Unlock()
	return w.launch(g)
}

// startGateways starts n gateways in the zones a and b.
func (w *world) startGateways(n int) error {
	for i := range n {
		if _, err := w.startGateway(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("127.0.0.%d", 11+i), string("ab"[i%2])); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if err := w.launch(g); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the gateway answers readiness checks with 200.
func (g *gateway) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", g.name)
}

func (g *gateway) kill() {
	if g.cmd.Process == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	<-g.exited
}

// answer is what a caller saw of a request.
type answer struct {
	id, kind, gateway string
	sent, ended       time.Time
	status            int
	header            http.Header
	body              string
	err               error
}

func (a answer) String() string {
	return fmt.Sprintf("client %s %s at %s: status %d, %d bytes, %.3f s, err %v", a.kind, a.id, a.gateway, a.status, len(a.body), a.ended.Sub(a.sent).Seconds(), a.err)
}

// ask sends one request on a new channel and reads the answer to its end or to the time limit.
func (w *world) ask(g *gateway, kind, id, method, path, headers, body string, limit time.Duration) answer {
	return w.askWithKey(g, "key-1", kind, id, method, path, headers, body, limit)
}

// askWithKey is ask with another key.
func (w *world) askWithKey(g *gateway, key, kind, id, method, path, headers, body string, limit time.Duration) answer {
	a := answer{id: id, kind: kind, gateway: g.name, sent: time.Now()}
	defer func() {
		a.ended = time.Now()
	}()
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(limit))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Remaining: %d\r\nCredential: %s\r\n%s", method, path, id, limit.Milliseconds(), key, headers)
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err = io.WriteString(conn, text+"\r\n"+body); err != nil {
		a.err = err
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	data, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body, a.err = resp.StatusCode, resp.Header, string(data), errors.Join(err, resp.Body.Close())
	a.ended = time.Now()
	return a
}

// every calls f at the given rate until the end, each call in a goroutine of its own, and
// waits for all of them.
func every(interval time.Duration, end time.Time, f func(i int)) {
	var calls sync.WaitGroup
	t := time.NewTicker(interval)
	defer t.Stop()
	for i := 0; time.Now().Before(end); i++ {
		calls.Go(func() { f(i) })
		<-t.C
	}
	calls.Wait()
}
