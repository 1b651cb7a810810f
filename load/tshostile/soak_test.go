package tshostile_test

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	users "turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

var (
	soakSeed     = flag.Uint64("soak-seed", 1, "first `seed` of the soak")
	soakRuns     = flag.Int("soak-runs", 1, "`number` of seeds")
	soakDuration = flag.Duration("soak-duration", time.Minute, "`duration` of a run")
	soakGateways = flag.Int("soak-gateways", 3, "`number` of gateway processes")
	soakCrowds   = flag.Int("soak-crowds", 3, "`number` of crowds at the same time")
)

const (
	// minCrowdConns and maxCrowdConns bound the size of a crowd, maxCrowdTime is how long one stays at
	// the longest.
	minCrowdConns = 50
	maxCrowdConns = 250
	maxCrowdTime  = 6 * time.Second
	// changeInterval is the mean time between two changes to the system, such as a stop.
	changeInterval = 2 * time.Second
	// ordinaryCallers send ordinary requests, and bookings, at all gateways.
	ordinaryCallers = 4
)

// soak is the state of one run.
type soak struct {
	t        *testing.T
	seed     uint64
	deadline time.Time
	store    *tsmetastore.Store
	desks    []*tsmetastore.Backend
	machines []*machine
	entries  *entryRig

	mu       sync.Mutex
	gateways []*gateway
	entry    *entry
	// isDown holds the machines whose process is being stopped or started, stopped the processes
	// that were told to end.
	isDown  []bool
	stopped map[*process]bool
	// samplers holds the sampler of each process that was started.
	samplers map[*process]*sampler
	bookings []booking
	// version is the version of the routing table.
	version int

	crowds, stops, kills, reloads, changes, served, refused atomic.Int64
}

// booking is a request that may run at most once.
type booking struct {
	id string
	// isRefused is true if the answer promised that it did not run.
	isRefused bool
	answer    string
}

// Guards against processes that end, hang, or exceed the memory or descriptors of their machine
// under crowds of callers while they are stopped, killed, restarted and reloaded, and against
// answers and refusals that are wrong meanwhile. The seed fixes the crowds and the changes; processes
// and sockets are real, so a run doesn't repeat exactly.
func TestSoak(t *testing.T) {
	for i := range *soakRuns {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{
		t: t, seed: seed, isDown: make([]bool, *soakGateways+1), stopped: map[*process]bool{}, samplers: map[*process]*sampler{}, version: 3,
	}
	slow := startOddServer(t, func(c net.Conn, id string) {
		time.Sleep(time.Duration(rand.Int64N(int64(slowAnswerTime))))
		_, _ = c.Write(append(replyHead(http.StatusOK, id, "Content-Length: 2\r\n"), "ok"...))
	})
	servers := map[string][]byte{"odd-0": slow.entry()}
	for i := range 2 {
		b := &tsmetastore.Backend{ID: fmt.Sprint("desk-", i)}
		assert.NilError(t, b.Start())
		t.Cleanup(func() { _ = b.Close() })
		servers[b.ID] = b.Entry("desk", "a", "ready")
		s.desks = append(s.desks, b)
	}
	var storeAddr string
	s.store, storeAddr = startStore(t, servers)
	for i := range *soakGateways {
		m := newMachine(t, fmt.Sprint("vm-", i), string("abc"[i%3]), storeAddr, fileDescriptors)
		s.machines = append(s.machines, m)
		s.gateways = append(s.gateways, m.start())
		s.sample(s.gateways[i].process)
	}
	s.entries = newEntryRig(t)
	s.entry = s.entries.start()
	s.sample(s.entry.process)
	for _, g := range s.gateways {
		g.awaitReady()
	}
	s.entry.assertAnswered("at the start", func() error { return s.entry.ordinary(0) })
	return s
}

// sample starts a sampler for a process. s.mu must be held, or no task run yet.
func (s *soak) sample(p *process) { s.samplers[p] = startSampler(p.cmd.Process.Pid, p.callerPort) }

// run runs the tasks of a soak and checks the result.
func (s *soak) run() {
	s.deadline = time.Now().Add(*soakDuration)
	var all sync.WaitGroup
	for i := range *soakCrowds {
		all.Go(func() { s.runCrowds(s.newRand(i)) })
	}
	for i := range ordinaryCallers {
		all.Go(func() { s.runCaller(s.newRand(100 + i)) })
	}
	for i := range 2 {
		all.Go(func() { s.runChanges(s.newRand(200 + i)) })
	}
	all.Wait()
	s.assertCalm()
	s.t.Logf("seed %d: %d crowds, %d stops, %d kills, %d reloads, %d changes; %d requests served, %d not", s.seed,
		s.crowds.Load(), s.stops.Load(), s.kills.Load(), s.reloads.Load(), s.changes.Load(), s.served.Load(), s.refused.Load())
}

// newRand returns a random source for a task.
func (s *soak) newRand(task int) *rand.Rand { return rand.New(rand.NewPCG(s.seed, uint64(task))) }

func (s *soak) isOver() bool { return !time.Now().Before(s.deadline) }

// pause waits for a time around mean.
func pause(rng *rand.Rand, mean time.Duration) {
	time.Sleep(mean/2 + time.Duration(rng.Int64N(int64(mean))))
}

// target returns a process and a function that writes the head of a request to it.
func (s *soak) target(rng *rand.Rand) (p *process, head func(framing string) []byte, maxBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := rng.IntN(len(s.gateways) + 1)
	if i == len(s.gateways) {
		key := s.entry.keys[rng.IntN(2)]
		if rng.IntN(5) == 0 {
			key = unknownKey
		}
		return s.entry.process, func(framing string) []byte { return s.entry.head(key, framing) }, entryBodyBytes
	}
	path := []string{"/look/1", "/look/1", "/odd/1"}[rng.IntN(3)]
	key := []string{"k1", "k1", "k2", "unknown"}[rng.IntN(4)]
	return s.gateways[i].process, func(framing string) []byte {
		h := bytes.Replace(gatewayHead(framing), []byte("/look/1"), []byte(path), 1)
		return bytes.Replace(h, []byte("Credential: k1"), []byte("Credential: "+key), 1)
	}, maxBodyBytes
}

// gatewayHead is head under a name that the parameters of a crowd don't hide.
var gatewayHead = head

// behaviours are the ways in which a caller of a crowd uses a connection. Each returns when the
// connection ends, or when the caller has nothing more to send.
var behaviours = map[string]func(conn net.Conn, rng *rand.Rand, head func(framing string) []byte, maxBytes int){
	"whole": func(conn net.Conn, _ *rand.Rand, head func(string) []byte, maxBytes int) {
		writeAll(conn, lengthOf(head, maxBytes), make([]byte, maxBytes))
		readAnswer(conn)
	},
	"stop short": func(conn net.Conn, rng *rand.Rand, head func(string) []byte, maxBytes int) {
		n := 1 + rng.IntN(maxBytes)
		writeAll(conn, lengthOf(head, n), make([]byte, max(n-missingBytes, 0)))
		readAnswer(conn)
	},
	"large chunks": func(conn net.Conn, _ *rand.Rand, head func(string) []byte, maxBytes int) {
		writeAll(conn, head("Transfer-Encoding: chunked"), chunked(maxBytes-64<<10, 64<<10))
		readAnswer(conn)
	},
	"tiny chunks": func(conn net.Conn, rng *rand.Rand, head func(string) []byte, maxBytes int) {
		writeAll(conn, head("Transfer-Encoding: chunked"), chunked(maxBytes/16, 1+rng.IntN(8)))
		readAnswer(conn)
	},
	"chunk extensions": func(conn net.Conn, _ *rand.Rand, head func(string) []byte, maxBytes int) {
		chunk := append(append([]byte("1;x="), bytes.Repeat([]byte("y"), 2000)...), "\r\nz\r\n"...)
		writeAll(conn, head("Transfer-Encoding: chunked"), bytes.Repeat(chunk, maxBytes/4000))
		readAnswer(conn)
	},
	"trailers": func(conn net.Conn, _ *rand.Rand, head func(string) []byte, maxBytes int) {
		line := append(append([]byte("X-Line: "), bytes.Repeat([]byte("x"), 500)...), "\r\n"...)
		writeAll(conn, head("Transfer-Encoding: chunked"), append([]byte("1\r\nx\r\n0\r\n"), bytes.Repeat(line, maxBytes/1000)...))
		readAnswer(conn)
	},
	"over the limit": func(conn net.Conn, rng *rand.Rand, head func(string) []byte, maxBytes int) {
		if rng.IntN(2) == 0 {
			writeAll(conn, lengthOf(head, 4*maxBytes), make([]byte, 4*maxBytes))
		} else {
			writeAll(conn, head("Transfer-Encoding: chunked"), chunked(4*maxBytes, 64<<10))
		}
		readAnswer(conn)
	},
	"drip": func(conn net.Conn, rng *rand.Rand, head func(string) []byte, _ int) {
		writeAll(conn, lengthOf(head, mostDripBytes))
		for writeAll(conn, make([]byte, leastPieceBytes+rng.IntN(mostPieceBytes))) {
			time.Sleep(pieceInterval)
		}
	},
	"announce": func(conn net.Conn, rng *rand.Rand, head func(string) []byte, maxBytes int) {
		writeAll(conn, lengthOf(head, 1+rng.IntN(maxBytes)))
		time.Sleep(announcePeriod)
	},
	"expect": func(conn net.Conn, rng *rand.Rand, head func(string) []byte, maxBytes int) {
		writeAll(conn, head(fmt.Sprint("Expect: 100-continue\r\nContent-Length: ", maxBytes)))
		time.Sleep(time.Duration(rng.Int64N(int64(maxCrowdTime))))
	},
	"ahead": func(conn net.Conn, _ *rand.Rand, head func(string) []byte, _ int) {
		for range pipelinedRequests {
			writeAll(conn, lengthOf(head, pipelinedBodyBytes), make([]byte, pipelinedBodyBytes))
		}
		readAnswer(conn)
	},
	"small": func(conn net.Conn, _ *rand.Rand, head func(string) []byte, _ int) {
		for writeAll(conn, lengthOf(head, 100), make([]byte, 100)) {
			if _, err := conn.Read(make([]byte, 4<<10)); err != nil {
				return
			}
		}
	},
	"reset in a refusal": func(conn net.Conn, rng *rand.Rand, head func(string) []byte, maxBytes int) {
		writeAll(conn, lengthOf(head, 2*maxBytes), make([]byte, 100_000))
		time.Sleep(time.Duration(rng.Int64N(int64(100 * time.Millisecond))))
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	},
	"part of a head": func(conn net.Conn, rng *rand.Rand, head func(string) []byte, _ int) {
		h := head("Content-Length: 1")
		writeAll(conn, h[:rng.IntN(len(h))])
		time.Sleep(time.Duration(rng.Int64N(int64(maxCrowdTime))))
	},
}

// writeAll writes the pieces, and reports whether all were written.
func writeAll(conn net.Conn, pieces ...[]byte) bool {
	for _, p := range pieces {
		if _, err := conn.Write(p); err != nil {
			return false
		}
	}
	return true
}

func lengthOf(head func(framing string) []byte, n int) []byte {
	return head(fmt.Sprint("Content-Length: ", n))
}

// runCrowds lets one crowd after another use a process. Its callers keep using their connections
// until the crowd ends or the process is gone.
func (s *soak) runCrowds(rng *rand.Rand) {
	var names []string
	for name := range behaviours {
		names = append(names, name)
	}
	slices.Sort(names)
	for !s.isOver() {
		p, head, maxBytes := s.target(rng)
		// Half of the crowds go on to another process after each connection.
		wanders := rng.IntN(2) == 0
		use := behaviours[names[rng.IntN(len(names))]]
		until := time.Now().Add(time.Second + time.Duration(rng.Int64N(int64(maxCrowdTime))))
		s.crowds.Add(1)
		var c crowd
		var all sync.WaitGroup
		for range minCrowdConns + rng.IntN(maxCrowdConns-minCrowdConns) {
			own := rand.New(rand.NewPCG(rng.Uint64(), 0))
			all.Go(func() {
				p, head, maxBytes := p, head, maxBytes
				for time.Now().Before(until) {
					conn := c.dial(p.callerAddr)
					if conn == nil {
						if !wanders {
							return
						}
						p, head, maxBytes = s.target(own)
						time.Sleep(redialInterval)
						continue
					}
					_ = conn.SetWriteDeadline(time.Now().Add(maxCrowdTime))
					use(conn, own, head, maxBytes)
					_ = conn.Close()
					if wanders {
						p, head, maxBytes = s.target(own)
					}
					time.Sleep(redialInterval)
				}
			})
		}
		time.Sleep(time.Until(until))
		c.close()
		all.Wait()
		pause(rng, 500*time.Millisecond)
	}
}

// runCaller sends ordinary requests and bookings until the run is over, and checks that each answer
// is whole and its own.
func (s *soak) runCaller(rng *rand.Rand) {
	for !s.isOver() {
		s.mu.Lock()
		g := s.gateways[rng.IntN(len(s.gateways))]
		s.mu.Unlock()
		path, id := "/look/1", turmericshed.NewID("a-")
		isBooking := rng.IntN(2) == 0
		if isBooking {
			path = "/book/1"
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+g.callerAddr+path, bytes.NewReader(ordinaryBody[:1+rng.IntN(ordinaryBodyBytes)])) //nolint:noctx // loopback, in a test.
		if err != nil {
			s.t.Error(err)
			return
		}
		req.Host = "corner.example"
		for name, value := range map[string]string{"Attempt-Id": id, "Credential": []string{"k1", "k2"}[rng.IntN(2)], "Deadline-Remaining": "4000"} {
			req.Header.Set(name, value)
		}
		status, text, err := roundTrip(req)
		switch {
		case err == nil && status == http.StatusOK && text != "answer to "+id:
			s.t.Errorf("the answer to %s is %q", id, text)
		case err == nil && status == http.StatusOK:
			s.served.Add(1)
		default:
			s.refused.Add(1)
		}
		if isBooking {
			s.mu.Lock()
			isRefused := err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
			s.bookings = append(s.bookings, booking{id, isRefused, fmt.Sprint(status, " ", text, " ", err)})
			s.mu.Unlock()
		}
		pause(rng, 50*time.Millisecond)
	}
}

// runChanges makes one change to the system after another.
func (s *soak) runChanges(rng *rand.Rand) {
	for !s.isOver() {
		pause(rng, changeInterval)
		switch rng.IntN(6) {
		case 0, 1:
			s.restart(rng, true)
		case 2:
			s.restart(rng, false)
		case 3:
			s.reload(rng)
		case 4:
			s.changeTable()
		case 5:
			s.store.SetDown(true)
			pause(rng, time.Second)
			s.store.SetDown(false)
		}
	}
}

// take marks a random machine as down, the last one is that of the entry process. It returns false
// if half of them are down.
func (s *soak) take(rng *rand.Rand) (i int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	down := 0
	for _, d := range s.isDown {
		if d {
			down++
		}
	}
	i = rng.IntN(len(s.isDown))
	if s.isDown[i] || down >= len(s.isDown)/2 {
		return 0, false
	}
	s.isDown[i] = true
	return i, true
}

// restart stops a process, gracefully or not, and starts another one on its machine.
func (s *soak) restart(rng *rand.Rand, isGraceful bool) {
	i, ok := s.take(rng)
	if !ok {
		return
	}
	isEntry := i == len(s.gateways)
	s.mu.Lock()
	p, limit := s.entry.process, entryDrainLimit+exitSlack
	if !isEntry {
		p, limit = s.gateways[i].process, gracePeriod+exitSlack
	}
	s.stopped[p] = true
	s.mu.Unlock()
	s.assertRunning(p)
	signal, count := syscall.SIGTERM, &s.stops
	if !isGraceful {
		signal, count = syscall.SIGKILL, &s.kills
	}
	count.Add(1)
	_ = p.cmd.Process.Signal(signal)
	select {
	case <-p.exited:
	case <-time.After(limit):
		s.t.Errorf("a process runs %s after it was told to stop", limit)
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	var g *gateway
	var e *entry
	if isEntry {
		e = s.entries.start()
	} else {
		g = s.machines[i].start()
	}
	s.mu.Lock()
	if isEntry {
		s.entry = e
		s.sample(e.process)
	} else {
		s.gateways[i] = g
		s.sample(g.process)
	}
	s.mu.Unlock()
	if !isEntry {
		g.awaitReady()
	}
	s.mu.Lock()
	s.isDown[i] = false
	s.mu.Unlock()
}

// assertRunning checks that a process has not ended before it was told to.
func (s *soak) assertRunning(p *process) {
	if !p.isAlive() {
		s.t.Errorf("a process has ended: %v", p.cmd.ProcessState)
	}
}

// reload changes the settings file of a gateway and sends SIGHUP.
func (s *soak) reload(rng *rand.Rand) {
	i, ok := s.take(rng)
	if !ok {
		return
	}
	if i < len(s.machines) {
		s.reloads.Add(1)
		s.machines[i].writeSettings(defaultRetrySlack + rng.IntN(100))
		_ = s.gateways[i].cmd.Process.Signal(syscall.SIGHUP)
	}
	s.mu.Lock()
	s.isDown[i] = false
	s.mu.Unlock()
}

// changeTable puts the next version of the routing table into force.
func (s *soak) changeTable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.changes.Add(1)
	s.store.Put(users.TableKey, []byte(strings.Replace(table, `"version":3`, fmt.Sprintf(`"version":%d`, s.version), 1)))
}

// assertCalm checks, once all crowds have left, that every process lives, stayed within its limits
// and answers, and that no booking ran twice or after a refusal.
func (s *soak) assertCalm() {
	for _, g := range s.gateways {
		s.assertRunning(g.process)
		g.assertAnswered("in the calm period", func() error { return g.ordinary("k1") })
	}
	s.assertRunning(s.entry.process)
	s.entry.assertAnswered("in the calm period", func() error { return s.entry.ordinary(0) })
	var largest usage
	var most int64
	for p, sampler := range s.samplers {
		sampler.finish(s.t)
		assert.Check(s.t, sampler.peakTotal <= memoryMB*1_000_000, "process %d: %d bytes of memory, the machine has %d MB", p.cmd.Process.Pid, sampler.peakTotal, memoryMB)
		assert.Check(s.t, sampler.peak.descriptors <= p.descriptors, "process %d: %d descriptors, the limit is %d", p.cmd.Process.Pid, sampler.peak.descriptors, p.descriptors)
		most = max(most, sampler.peakTotal)
		largest.descriptors = max(largest.descriptors, sampler.peak.descriptors)
	}
	s.t.Logf("peak of any process: %d kB, %d descriptors", most>>10, largest.descriptors)
	for _, b := range s.bookings {
		runs := 0
		for _, d := range s.desks {
			n, _ := d.Runs(b.id)
			runs += n
		}
		assert.Check(s.t, runs <= 1, "booking %s ran %d times", b.id, runs)
		assert.Check(s.t, !b.isRefused || runs == 0, "booking %s ran and was refused: %s", b.id, b.answer)
	}
}
