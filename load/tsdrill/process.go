package tsdrill

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// startAttempts is how often a process is started before that fails.
const startAttempts = 3

// startTimeout bounds the time until a process is ready, exitSlack the time after the
// grace period until a stopped process must have exited.
const (
	startTimeout = 30 * time.Second
	exitSlack    = 3 * time.Second
)

const settingsFormat = `{"nodeName":%q,"zone":%q,"region":"r","ip":"127.0.0.1","internalPortRange":[%d],"bootstrap":%t,
 "listenAddresses":{"front":"127.0.0.1:0","readiness":%q,"control":%q},"platform":{"address":%q},
 "bounds":{"retryBudgetRatio":0.2,"retryBudgetSlack":%d,"budgetWindowS":10,"gracePeriodS":%g,"drainTimeoutMs":2000,"configApplyMs":%d,"contactMs":%d}}`

// entryVM is one entry VM, on which gateway processes run one after another.
type entryVM struct {
	o                    Options
	name, domain         string
	settings             string
	ready, control, peer *net.TCPAddr
	// link is the entry VM's way to the store.
	link *storeLink

	mu sync.Mutex
	// slack is the retry slack in the settings, which each reload changes.
	slack   int
	started int
	process *process
}

// process is one gateway process.
type process struct {
	cmd        *exec.Cmd
	callerAddr string
	serving    chan struct{}
	exited     chan struct{}
	exitErr    error

	mu sync.Mutex
	// servingAt is when the process began to serve, stoppedAt when SIGTERM was sent, killedAt when it was
	// killed.
	servingAt, stoppedAt, killedAt time.Time
	// disturbedAt are the times at which the process was found out of step.
	disturbedAt  []time.Time
	isEndClaimed bool
}

func newEntryVM(o Options, i int, storeAddr string) (*entryVM, error) {
	link, err := newStoreLink(storeAddr)
	if err != nil {
		return nil, err
	}
	vm := &entryVM{o: o, name: fmt.Sprint("vm-", i), domain: string("abc"[i%3]), link: link, slack: 1000}
	vm.settings = filepath.Join(o.Dir, vm.name+".json")
	return vm, nil
}

// writeSettings writes the settings file with a new retry slack.
func (vm *entryVM) writeSettings() error {
	vm.slack++
	text := fmt.Sprintf(settingsFormat, vm.name, vm.domain, vm.peer.Port, vm.started == 0, vm.ready, vm.control, vm.link.listener.Addr(),
		vm.slack, gracePeriod.Seconds(), applyTimeout.Milliseconds(), contactTimeout.Milliseconds())
	return os.WriteFile(vm.settings, []byte(text), 0o600)
}

// pickPorts picks free ports for the process. They are free when it returns, but another
// process may take one before they are used.
func (vm *entryVM) pickPorts() error {
	for _, addr := range []**net.TCPAddr{&vm.ready, &vm.control, &vm.peer} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer func() { _ = ln.Close() }()
		*addr, _ = ln.Addr().(*net.TCPAddr)
	}
	return nil
}

// start starts a process and waits until it listens for callers. It tries again with other
// ports if the process exits.
func (vm *entryVM) start() (err error) {
	for range startAttempts {
		if err = vm.startOnce(); err == nil {
			return nil
		}
	}
	return err
}

// startOnce is one attempt of start.
func (vm *entryVM) startOnce() error {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if err := errors.Join(vm.pickPorts(), vm.writeSettings()); err != nil {
		return err
	}
	p := &process{cmd: exec.Command(vm.o.Binary, "gateway", "-config", vm.settings), serving: make(chan struct{}), exited: make(chan struct{})}
	logFile, err := os.OpenFile(filepath.Join(vm.o.Dir, vm.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	p.cmd.Stderr = logFile
	if err := p.cmd.Start(); err != nil {
		return err
	}
	vm.started++
	go p.follow(out, logFile)
	select {
	case <-p.serving:
	case <-p.exited:
		return fmt.Errorf("%s exited at its start: %w", vm.name, p.exitErr)
	case <-time.After(startTimeout):
		return fmt.Errorf("%s did not start within %s", vm.name, startTimeout)
	}
	vm.process = p
	return nil
}

// follow copies the log until the process exits, and takes the address for callers from it.
func (p *process) follow(out io.Reader, logFile *os.File) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for isServing := false; lines.Scan(); {
		_, _ = fmt.Fprintln(logFile, lines.Text())
		if isServing || !strings.Contains(lines.Text(), `"msg":"serving"`) {
			continue
		}
		var serving struct{ Addr string }
		if err := json.Unmarshal(lines.Bytes(), &serving); err != nil {
			continue
		}
		p.callerAddr, isServing = serving.Addr, true
		p.mu.Lock()
		p.servingAt = time.Now()
		p.mu.Unlock()
		close(p.serving)
	}
	p.exitErr = errors.Join(p.cmd.Wait(), logFile.Close())
	close(p.exited)
}

// awaitReady waits until the entry VM says that it is ready.
func (vm *entryVM) awaitReady(ctx context.Context) error {
	for deadline := time.Now().Add(startTimeout); !vm.isReady(); time.Sleep(20 * time.Millisecond) {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return fmt.Errorf("%s was not ready within %s", vm.name, startTimeout)
		}
	}
	return nil
}

// isReady reports whether the entry VM answers readiness checks with 200.
func (vm *entryVM) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + vm.ready.String() + "/")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// current returns the process that runs on the entry VM, nil if none does.
func (vm *entryVM) current() *process {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if vm.process == nil {
		return nil
	}
	select {
	case <-vm.process.exited:
		return nil
	default:
		return vm.process
	}
}

// isStopping reports whether the process was told to stop.
func (p *process) isStopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stoppedAt.IsZero()
}

// claimEnd reports whether the caller is the first one, which has to end the process.
func (p *process) claimEnd() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isFirst := !p.isEndClaimed
	p.isEndClaimed = true
	return isFirst
}

// isUndisturbed reports whether the process had served for contactTimeout at the first time, and was
// neither stopped nor killed by the second, nor out of step.
func (p *process) isUndisturbed(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.wasOutOfStepLocked(from, to) && !p.servingAt.IsZero() && from.Sub(p.servingAt) >= contactTimeout &&
		(p.stoppedAt.IsZero() || to.Before(p.stoppedAt)) && (p.killedAt.IsZero() || to.Before(p.killedAt))
}

// wasOutOfStep reports whether the process was out of step between two times, or up to contactTimeout before.
func (p *process) wasOutOfStep(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wasOutOfStepLocked(from, to)
}

func (p *process) wasOutOfStepLocked(from, to time.Time) bool {
	return slices.ContainsFunc(p.disturbedAt, func(at time.Time) bool { return at.After(from.Add(-contactTimeout)) && at.Before(to) })
}

// stop stops the process with SIGTERM and waits for its exit. It returns an error if the
// process must be killed.
func (p *process) stop() error {
	p.mu.Lock()
	p.stoppedAt = time.Now()
	p.mu.Unlock()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return nil
	case <-time.After(gracePeriod + exitSlack):
	}
	if p.wasOutOfStep(time.Now().Add(-gracePeriod-exitSlack), time.Now()) {
		// The signal arrives once the process goes on.
		select {
		case <-p.exited:
			return nil
		case <-time.After(maxOutOfStep):
		}
	}
	p.kill()
	return fmt.Errorf("still running %s after SIGTERM", gracePeriod+exitSlack)
}

// kill kills the process and waits for its exit.
func (p *process) kill() {
	p.mu.Lock()
	p.killedAt = time.Now()
	p.mu.Unlock()
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// kill kills the entry VM's process, if there is one.
func (vm *entryVM) kill() {
	if p := vm.current(); p != nil {
		p.kill()
	}
}

// reload changes the settings and sends SIGHUP.
func (vm *entryVM) reload() error {
	p := vm.current()
	if p == nil {
		return nil
	}
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if err := vm.writeSettings(); err != nil {
		return err
	}
	_ = p.cmd.Process.Signal(syscall.SIGHUP)
	return nil
}
