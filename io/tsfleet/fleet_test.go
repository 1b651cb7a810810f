package tsfleet_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thejerf/suture/v4"
	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/core/tsmember"
	"turmericshed/io/tsfleet"
	"turmericshed/io/tspeer"
	network "turmericshed/standin/tspeer"
	"turmericshed/standin/tsplatform"
)

// events counts events by name.
type events struct {
	mu     sync.Mutex
	counts map[turmericshed.EventName]int
}

// Record counts an event.
func (r *events) Record(e turmericshed.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[e.Name]++
}

// count returns how often an event was recorded.
func (r *events) count(name turmericshed.EventName) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[name]
}

// topic is a Piggyback whose Merge panics once after arm was called.
type topic struct {
	mu      sync.Mutex
	isArmed bool
	merged  int
}

func (p *topic) Topic() string       { return "test" }
func (p *topic) Next(_ int) [][]byte { return [][]byte{[]byte("x")} }
func (p *topic) Merge([]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.merged++
	if p.isArmed {
		p.isArmed = false
		turmericshed.Assert(false, "test", "armed")
	}
}

func (p *topic) arm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isArmed, p.merged = true, 0
}

// mergedSinceArm returns the number of merged payloads since arm was called.
func (p *topic) mergedSinceArm() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.merged
}

type process struct {
	fleet  *tsfleet.Fleet
	board  *tsboard.Board
	events *events
	topic  *topic
	stop   func()
}

// testFleet is a small fleet of processes with a simulated network and platform.
type testFleet struct {
	net       *network.Network
	directory *tsplatform.Directory
	processes []*process
}

// start runs process i on its own entry VM.
func (f *testFleet) start(t *testing.T, i int, incarnation string) *process {
	t.Helper()
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
	vm := turmericshed.EntryVM{
		Name: fmt.Sprintf("vm-%d", i), Incarnation: turmericshed.Incarnation(incarnation),
		FailureDomain: turmericshed.FailureDomain(fmt.Sprintf("fd-%d", i%3)), PeerAddr: addr, CallerAddr: addr,
	}
	f.directory.AddEntry(vm)
	p := &process{board: &tsboard.Board{}, events: &events{counts: map[turmericshed.EventName]int{}}, topic: &topic{}}
	transport := tspeer.NewTransport(tspeer.Config{Dial: f.net.Dialer(addr)})
	p.fleet = tsfleet.New(tsfleet.Config{
		Self: vm, Directory: f.directory, Board: p.board, Peers: transport, Recorder: p.events,
		Piggyback: []tsmember.Piggyback{p.topic},
	})
	server := tspeer.NewServer(tspeer.Config{})
	server.Mount(p.fleet.Handler())
	ctx, cancel := context.WithCancel(t.Context())
	supervisor := suture.NewSimple("test")
	for _, c := range p.fleet.Controllers() {
		supervisor.Add(c)
	}
	ln := f.net.Listen(addr)
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(ctx, ln) })
	wg.Go(func() { _ = supervisor.Serve(ctx) })
	p.stop = sync.OnceFunc(func() {
		cancel()
		wg.Wait()
		transport.Close()
	})
	f.processes = append(f.processes, p)
	return p
}

// runFleet starts six processes in fake time, waits fifteen seconds and runs the test.
func runFleet(t *testing.T, test func(t *testing.T, f *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{net: network.NewNetwork(), directory: tsplatform.NewDirectory(tsplatform.DirectoryOptions{})}
		for i := range 6 {
			f.start(t, i, fmt.Sprintf("in-%d", i))
		}
		time.Sleep(15 * time.Second)
		test(t, f)
		for _, p := range f.processes {
			p.stop()
		}
		time.Sleep(3 * time.Minute) // idle connections time out
	})
}

// assertReaches checks that each process considers n other entry VMs reachable.
func assertReaches(t *testing.T, n int, ps ...*process) {
	t.Helper()
	for _, p := range ps {
		assert.Equal(t, len(p.fleet.Reachable()), n, p.fleet.Self().Name)
	}
}

func TestFleet(t *testing.T) {
	t.Run("every process reaches every other and posts it on the board", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *testFleet) {
			assertReaches(t, 5, f.processes...)
			assert.Equal(t, len(f.processes[0].board.Members.Read()), 5)
			assert.Equal(t, f.processes[0].fleet.State("in-3"), turmericshed.MemberAlive)
		})
	})
	t.Run("a controller that panics restarts without the others and rebuilds its state", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *testFleet) {
			p := f.processes[2]
			known := p.events.count(turmericshed.EventMemberAlive)
			p.topic.arm()
			time.Sleep(20 * time.Second)
			assert.Equal(t, p.events.count(turmericshed.EventMemberAlive), known+5, "the member table was not rebuilt")
			assert.Equal(t, p.events.count(turmericshed.EventInvariantBroken), 1)
			assert.Assert(t, p.topic.mergedSinceArm() > 1, "the controller did not restart")
			assertReaches(t, 5, f.processes...)
		})
	})
	t.Run("a controller that restarts without the platform rebuilds from peers", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *testFleet) {
			f.directory.SetFaults(tsplatform.DirectoryFaults{Outage: true})
			p := f.processes[2]
			p.board.Directory.Write(turmericshed.DirectorySnapshot{})
			p.topic.arm()
			time.Sleep(40 * time.Second)
			assertReaches(t, 5, f.processes...)
		})
	})
	t.Run("an empty list changes nothing", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *testFleet) {
			f.directory.SetFaults(tsplatform.DirectoryFaults{Empty: true})
			time.Sleep(time.Minute)
			assertReaches(t, 5, f.processes...)
		})
	})
	t.Run("a server that one process sees leaving is leaving for all within 2 s", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *testFleet) {
			f.directory.AddServer(turmericshed.BackendServer{ID: "engine-1", Addr: netip.MustParseAddrPort("10.0.1.1:80")})
			time.Sleep(5 * time.Second)
			f.directory.SetFaults(tsplatform.DirectoryFaults{Outage: true})
			f.processes[3].board.Servers.Update(func(cur []turmericshed.BackendServer) []turmericshed.BackendServer {
				next := slices.Clone(cur)
				next[0].Leaving = true
				return next
			})
			time.Sleep(2 * time.Second)
			for _, p := range f.processes {
				assert.Assert(t, p.board.Servers.Read()[0].Leaving, p.fleet.Self().Name)
			}
		})
	})
	t.Run("a process that stops gracefully has left", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *testFleet) {
			f.processes[4].board.Draining.Write(true)
			f.processes[4].stop()
			time.Sleep(5 * time.Second)
			assertReaches(t, 4, f.processes[:4]...)
			assert.Equal(t, f.processes[0].fleet.State("in-4"), turmericshed.MemberLeft)
		})
	})
	t.Run("a killed process is gone at every other process", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *testFleet) {
			f.processes[4].stop()
			time.Sleep(30 * time.Second)
			for _, p := range f.processes[:4] {
				assert.Equal(t, p.fleet.State("in-4"), turmericshed.MemberGone, p.fleet.Self().Name)
			}
		})
	})
	t.Run("a process that cannot dial one peer does not report it to others", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *testFleet) {
			a, b := f.processes[0].fleet.Self().PeerAddr, f.processes[3].fleet.Self().PeerAddr
			f.net.Cut(a, b)
			time.Sleep(time.Minute)
			assertReaches(t, 4, f.processes[0])
			assertReaches(t, 5, f.processes[1:]...)
			f.net.Heal(a, b)
			time.Sleep(30 * time.Second)
			assertReaches(t, 5, f.processes...)
		})
	})
}
