package tsdemo

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/io/tsadmin"
	"turmericshed/io/tsentry"
	"turmericshed/io/tsplatform"
	"turmericshed/io/tsprocess"
	"turmericshed/standin/tsengine"
	"turmericshed/standin/tsnode"
	standin "turmericshed/standin/tsplatform"
	"turmericshed/standin/tsservice"
)

// Sizes and timings of the demo. Each of the three failure domains has three entry
// VMs, four engines and one server of each plain service.
const (
	entriesPerDomain = 3
	enginesPerModel  = 2
	stepInterval     = 10 * time.Millisecond
	loadLag          = 500 * time.Millisecond
	listLag          = 2 * time.Second
	serviceRunTime   = 20 * time.Millisecond
	serverRestart    = time.Second
	drainLimit       = 20 * time.Second
	maxRunning       = 512
)

// region is the only region of the demo.
const region turmericshed.Region = "my-west"

// domains returns the failure domains.
func domains() []place { return []place{"my-west-a", "my-west-b", "my-west-c"} }

// loopback is a listen address; the operating system chooses the port.
var loopback = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

// entryVM is a running entry VM. stop begins its graceful stop, and stopped receives
// the result.
type entryVM struct {
	domain  place
	proc    *tsprocess.Process
	stop    context.CancelFunc
	stopped chan error
}

// cluster is the complete system except the callers: the platform, the backend
// servers with their books, and the entry VMs.
type cluster struct {
	net      *network
	log      *slog.Logger
	recorder turmericshed.Recorder
	store    *standin.Store
	platform netip.AddrPort
	admin    *tsadmin.Admin
	engines  map[turmericshed.Model][]*tsengine.Engine
	services map[string][]*tsservice.Service
	books    map[string]*tsservice.Books

	mu             sync.Mutex
	entries        []*entryVM
	startedEntries int
	failedStops    int
	wg             sync.WaitGroup
}

// newCluster starts the platform and the backend servers.
func newCluster(ctx context.Context, log *slog.Logger, rec turmericshed.Recorder, models []turmericshed.Model, services []string) (*cluster, error) {
	c := &cluster{
		net: newNetwork(), log: log, recorder: rec, engines: map[turmericshed.Model][]*tsengine.Engine{},
		services: map[string][]*tsservice.Service{}, books: map[string]*tsservice.Books{},
	}
	if err := c.startPlatform(ctx); err != nil {
		return nil, err
	}
	for _, d := range domains() {
		for _, m := range models {
			for range enginesPerModel {
				if err := c.startEngine(ctx, d, m); err != nil {
					return nil, err
				}
			}
		}
		for _, s := range services {
			if err := c.startService(ctx, d, s); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

// startEntries starts the entry VMs of every failure domain.
func (c *cluster) startEntries() error {
	for _, d := range domains() {
		for range entriesPerDomain {
			if err := c.startEntry(d); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *cluster) startPlatform(ctx context.Context) error {
	c.store = standin.NewStore(standin.Options{})
	dir := standin.NewDirectory(standin.DirectoryOptions{Lag: listLag})
	ln, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return err
	}
	c.platform = netip.MustParseAddrPort(ln.Addr().String())
	c.net.setPlace(c.platform, placePlatform)
	c.admin = tsadmin.New(tsadmin.Config{Store: c.store, Operator: "demo"})
	c.wg.Go(func() { _ = standin.NewServer(c.store, dir).Serve(ctx, ln) })
	return nil
}

// nodeOptions returns the common options of a backend server in a failure domain.
func (c *cluster) nodeOptions(d place, id string) (tsnode.Options, error) {
	client, err := tsplatform.NewClient(c.platform, tsplatform.Options{Caller: id, Dial: c.net.dialer(d)})
	return tsnode.Options{
		Server: turmericshed.BackendServer{
			ID: turmericshed.ServerID(id), Region: region, FailureDomain: turmericshed.FailureDomain(d), Addr: loopback,
		},
		Platform: client, RestartAfter: serverRestart,
	}, err
}

func (c *cluster) startEngine(ctx context.Context, d place, m turmericshed.Model) error {
	node, err := c.nodeOptions(d, fmt.Sprintf("engine-%s-%s-%d", m, d, len(c.engines[m])))
	if err != nil {
		return err
	}
	node.Server.Models = []turmericshed.Model{m}
	e, err := tsengine.Listen(tsengine.Options{Node: node, StepInterval: stepInterval, LoadLag: loadLag})
	if err != nil {
		return err
	}
	c.net.setPlace(e.Server().Addr, d)
	c.engines[m] = append(c.engines[m], e)
	c.wg.Go(func() { _ = e.Serve(ctx) })
	return nil
}

func (c *cluster) startService(ctx context.Context, d place, service string) error {
	node, err := c.nodeOptions(d, fmt.Sprintf("%s-%s", service, d))
	if err != nil {
		return err
	}
	node.Server.Service = service
	if c.books[service] == nil {
		c.books[service] = tsservice.NewBooks()
	}
	s, err := tsservice.Listen(tsservice.Options{Node: node, Books: c.books[service], RunTime: serviceRunTime, LoadLag: loadLag})
	if err != nil {
		return err
	}
	c.net.setPlace(s.Server().Addr, d)
	c.services[service] = append(c.services[service], s)
	c.wg.Go(func() { _ = s.Serve(ctx) })
	return nil
}

// startEntry starts an entry VM in a failure domain.
func (c *cluster) startEntry(d place) error {
	vm, err := c.launch(d)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = append(c.entries, vm)
	return nil
}

// launch starts an entry VM without adding it to the balancer.
func (c *cluster) launch(d place) (*entryVM, error) {
	c.mu.Lock()
	c.startedEntries++
	n := c.startedEntries
	c.mu.Unlock()
	proc, err := tsprocess.New(tsentry.Config{
		Name: fmt.Sprintf("entry-%s-%d", d, n), Region: region, FailureDomain: turmericshed.FailureDomain(d),
		CallerAddr: loopback, PeerAddr: loopback, PlatformAddr: c.platform,
		DrainTimeout: drainLimit, DefaultDeadline: 30 * time.Second, MaxConcurrentRequests: maxRunning,
	}, tsprocess.Options{Dial: c.net.dialer(d), Log: c.log, Events: c.recorder})
	if err != nil {
		return nil, err
	}
	c.net.setPlace(proc.Addr(), d)
	c.net.setPlace(proc.Self().PeerAddr, d)
	ctx, stop := context.WithCancel(context.Background())
	vm := &entryVM{domain: d, proc: proc, stop: stop, stopped: make(chan error, 1)}
	c.wg.Go(func() { vm.stopped <- proc.Serve(ctx) })
	return vm, nil
}

// waitReady waits until every entry VM is ready.
func (c *cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !c.ready() {
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return turmericshed.WrapError(turmericshed.KindDeadline, ctx.Err(), "an entry VM did not become ready")
		}
	}
	return nil
}

func (c *cluster) ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !slices.ContainsFunc(c.entries, func(vm *entryVM) bool { return !vm.proc.Ready() })
}

// addrs returns the addresses at which the entry VMs in the balancer serve callers.
func (c *cluster) addrs() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []netip.AddrPort
	for _, vm := range c.entries {
		list = append(list, vm.proc.Addr())
	}
	return list
}

// entryAt returns the n-th entry VM of a failure domain, modulo their number.
func (c *cluster) entryAt(d place, n int) *entryVM {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*entryVM
	for _, vm := range c.entries {
		if vm.domain == d {
			list = append(list, vm)
		}
	}
	return list[n%len(list)]
}

// killEntry terminates the first entry VM of a failure domain without a graceful stop.
func (c *cluster) killEntry(d place) {
	c.mu.Lock()
	i := slices.IndexFunc(c.entries, func(vm *entryVM) bool { return vm.domain == d })
	vm := c.entries[i]
	c.entries = slices.Delete(c.entries, i, i+1)
	c.mu.Unlock()
	vm.proc.Kill()
	vm.stop()
}

// removeEntry removes the first entry VM of a failure domain from the balancer and
// begins its graceful stop. The returned channel receives the result.
func (c *cluster) removeEntry(d place) <-chan error {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.entries, func(vm *entryVM) bool { return vm.domain == d })
	vm := c.entries[i]
	c.entries = slices.Delete(c.entries, i, i+1)
	vm.stop()
	return vm.stopped
}

// stop stops every entry VM gracefully and waits until all have stopped.
func (c *cluster) stop() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var errs []error
	for _, vm := range c.entries {
		vm.stop()
	}
	for _, vm := range c.entries {
		errs = append(errs, <-vm.stopped)
	}
	c.entries = nil
	return errors.Join(errs...)
}

// recordStop counts a graceful stop if it failed.
func (c *cluster) recordStop(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.failedStops++
	}
}

func (c *cluster) stopFailures() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failedStops
}
