package tsload_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/core/tspreference"
	"turmericshed/io/tsload"
	"turmericshed/io/tspeerapi"
)

// fleet is a set of entry VMs that call each other without a network, in simulated time.
type fleet struct {
	servers []turmericshed.BackendServer
	vms     []*vm
	running sync.WaitGroup

	mu sync.Mutex
	// unreachable and frozen hold the names of entry VMs that refuse calls and that
	// don't answer.
	unreachable, frozen map[string]bool
	// distantBytes are those of calls between failure domains.
	distantBytes int
}

type vm struct {
	f      *fleet
	self   turmericshed.EntryVM
	board  tsboard.Board
	sharer *tsload.Sharer
	mux    *http.ServeMux
	log    *syncBuffer
	cancel context.CancelFunc
	// calls counts the calls of this entry VM, answered those to it, and bytes both ways of
	// its calls.
	calls, answered, bytes int
}

// syncBuffer is a buffer for logs of several goroutines.
type syncBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *syncBuffer) count(s string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.String(), s)
}

// runFleet runs a test with n entry VMs in the given number of failure domains. The first
// oldVersions of the ranking of failure domain 0 don't know the call.
func runFleet(t *testing.T, n, domains, oldVersions int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{unreachable: map[string]bool{}, frozen: map[string]bool{}}
		for i := range 90 {
			f.servers = append(f.servers, turmericshed.BackendServer{ID: turmericshed.ServerID(fmt.Sprintf("i-%010x", i*7919))})
		}
		for i := range n {
			f.vms = append(f.vms, &vm{f: f, mux: http.NewServeMux(), log: &syncBuffer{}, self: turmericshed.EntryVM{
				Name: fmt.Sprint("vm-", i), Incarnation: turmericshed.Incarnation(fmt.Sprint("inc-", i)), FailureDomain: turmericshed.FailureDomain(fmt.Sprint("zone-", i%domains)),
				PeerAddr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)),
			}})
		}
		old := map[*vm]bool{}
		for _, v := range f.ranked()[:oldVersions] {
			old[v] = true
		}
		for _, v := range f.vms {
			v.start(t, old[v])
		}
		defer func() {
			for _, v := range f.vms {
				v.cancel()
			}
			f.running.Wait()
		}()
		test(t, f)
	})
}

func (v *vm) start(t *testing.T, isOld bool) {
	v.board.Servers.Write(v.f.servers)
	v.sharer = tsload.New(tsload.Config{Board: &v.board, Members: v, Peers: v, Metrics: prometheus.NewRegistry(), Log: slog.New(slog.NewTextHandler(v.log, nil))})
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	if isOld {
		return
	}
	v.mux.Handle(v.sharer.Handler())
	v.f.running.Go(func() {
		if err := v.sharer.Serve(ctx); !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

// ranked returns the entry VMs of failure domain 0 in the order in which they gather.
func (f *fleet) ranked() []*vm {
	var all []turmericshed.EntryVM
	for _, v := range f.vms {
		all = append(all, v.self)
	}
	var list []*vm
	for _, r := range tspreference.Rank(all, "zone-0") {
		for _, v := range f.vms {
			if v.self.Name == r.Name {
				list = append(list, v)
			}
		}
	}
	return list
}

func (v *vm) Self() turmericshed.EntryVM { return v.self }

func (v *vm) Reachable() []turmericshed.EntryVM {
	var list []turmericshed.EntryVM
	for _, o := range v.f.vms {
		if o != v {
			list = append(list, o.self)
		}
	}
	return list
}

func (*vm) State(turmericshed.Incarnation) turmericshed.MemberState { return turmericshed.MemberAlive }

func (v *vm) Client(addr netip.AddrPort) (connect.HTTPClient, string) {
	return v, "http://" + addr.String()
}

// Do delivers a call to another entry VM.
func (v *vm) Do(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	v.f.mu.Lock()
	to := v.f.vms[netip.MustParseAddrPort(r.URL.Host).Port()-1]
	refused, frozen := v.f.unreachable[to.self.Name] != v.f.unreachable[v.self.Name], v.f.frozen[to.self.Name]
	v.calls++
	to.answered++
	v.f.mu.Unlock()
	switch {
	case refused:
		return nil, errors.New("connection refused")
	case frozen:
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	time.Sleep(time.Millisecond)
	rec := httptest.NewRecorder()
	to.mux.ServeHTTP(rec, r)
	resp := rec.Result()
	n := len(body) + rec.Body.Len() + headerBytes(r.Header) + headerBytes(resp.Header)
	v.f.mu.Lock()
	v.bytes += n
	if to.self.FailureDomain != v.self.FailureDomain {
		v.f.distantBytes += n
	}
	v.f.mu.Unlock()
	return resp, nil
}

// headerBytes returns the size of a message's head, with its first line and the headers that
// net/http adds.
func headerBytes(h http.Header) int {
	const firstLineAndAdded = 120
	n := firstLineAndAdded
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// record adds a reading of the server with the given index.
func (v *vm) record(server, running int, workTime float64) {
	v.sharer.Record(time.Now(), turmericshed.LoadReport{Server: v.f.servers[server].ID, At: time.Now(), Running: running, WorkTime: workTime})
}

// assertKnown checks which of the entry VMs have a reading of the server from others.
func assertKnown(t *testing.T, vms []*vm, server, running int, want bool) {
	t.Helper()
	for _, v := range vms {
		r, ok := v.board.Loads.Read()[v.f.servers[server].ID]
		assert.Equal(t, ok && r.Running == running, want, "%s", v.self.Name)
	}
}

// keepBusy records readings of other servers at all entry VMs for d, so that each exchanges
// readings. Without traffic an entry VM needs none.
func (f *fleet) keepBusy(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i, v := range f.vms {
			v.record(10+i%80, 1, 1)
		}
	}
}

// spread lets one entry VM take readings of a server whose work time changes every 300 ms,
// for d, and returns the names of those that had one of them.
func (f *fleet) spread(from *vm, d time.Duration) map[string]bool {
	know := map[string]bool{}
	for i := range int(d / (100 * time.Millisecond)) {
		from.record(0, 42, 1+1.5*float64(i/3%2))
		f.keepBusy(100 * time.Millisecond)
		for _, v := range f.vms {
			if _, ok := v.board.Loads.Read()[f.servers[0].ID]; ok {
				know[v.self.Name] = true
			}
		}
	}
	return know
}

// calls returns the number of calls of all entry VMs so far.
func (f *fleet) calls() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.vms {
		n += v.calls
	}
	return n
}

// Guards against readings that stay at the entry VM that took them.
func TestReadingsReachTheFailureDomain(t *testing.T) {
	for _, n := range []int{2, 9, 20} {
		runFleet(t, n, 1, 0, func(t *testing.T, f *fleet) {
			f.keepBusy(time.Second)
			f.vms[0].record(0, 42, 2.5)
			f.keepBusy(700 * time.Millisecond)
			assertKnown(t, f.vms[1:], 0, 42, true)
			r := f.vms[1].board.Loads.Read()[f.servers[0].ID]
			assert.Assert(t, r.WorkTime == 2.5 && r.Relayed)
		})
	}
}

// Guards against calls where nothing switched sharing on, and of entry VMs without traffic.
func TestCallsAreMadeOnlyWhenNeeded(t *testing.T) {
	t.Run("none without a work time or the setting", func(t *testing.T) {
		runFleet(t, 9, 3, 0, func(t *testing.T, f *fleet) {
			for range 50 {
				f.vms[0].record(0, 1, 0)
				time.Sleep(100 * time.Millisecond)
			}
			assert.Equal(t, f.calls(), 0)
			assertKnown(t, f.vms, 0, 1, false)
		})
	})
	t.Run("the setting switches sharing on", func(t *testing.T) {
		runFleet(t, 3, 1, 0, func(t *testing.T, f *fleet) {
			for _, v := range f.vms {
				v.sharer.Enable("settings")
				v.sharer.Enable("settings")
			}
			for i, v := range f.vms {
				v.record(i, 7, 0)
			}
			time.Sleep(time.Second)
			assert.Equal(t, f.vms[0].log.count("sharing the load"), 1)
			assert.Assert(t, f.calls() > 0)
		})
	})
	t.Run("none without traffic", func(t *testing.T) {
		runFleet(t, 9, 3, 0, func(t *testing.T, f *fleet) {
			f.keepBusy(time.Second)
			time.Sleep(2 * time.Second)
			before := f.calls()
			time.Sleep(20 * time.Second)
			assert.Equal(t, f.calls(), before)
		})
	})
}

// Guards against sharing that ends with its gatherer.
func TestGathererFails(t *testing.T) {
	for name, fail := range map[string]func(*fleet, string){
		"dies":    func(f *fleet, name string) { f.unreachable[name] = true },
		"freezes": func(f *fleet, name string) { f.frozen[name] = true },
	} {
		t.Run("the first gatherer "+name, func(t *testing.T) {
			runFleet(t, 9, 1, 0, func(t *testing.T, f *fleet) {
				f.keepBusy(time.Second)
				ranked := f.ranked()
				f.mu.Lock()
				fail(f, ranked[0].self.Name)
				f.mu.Unlock()
				f.keepBusy(1500 * time.Millisecond)
				know := f.spread(ranked[8], 2*time.Second)
				for _, v := range ranked[1:8] {
					assert.Assert(t, know[v.self.Name], "%s has no reading", v.self.Name)
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				for _, v := range ranked[2:] {
					assert.Assert(t, v.answered < 3, "%s gathers as well", v.self.Name)
				}
			})
		})
	}
	t.Run("an entry VM that is cut off uses what it hears itself, and returns", func(t *testing.T) {
		runFleet(t, 9, 1, 0, func(t *testing.T, f *fleet) {
			f.keepBusy(time.Second)
			ranked := f.ranked()
			cut := ranked[5]
			f.mu.Lock()
			f.unreachable[cut.self.Name] = true
			f.mu.Unlock()
			f.keepBusy(3 * time.Second)
			know := f.spread(ranked[1], 2*time.Second)
			assert.Assert(t, !know[cut.self.Name] && know[ranked[6].self.Name] && know[ranked[7].self.Name])
			f.mu.Lock()
			f.unreachable[cut.self.Name] = false
			f.mu.Unlock()
			f.keepBusy(3 * time.Second)
			assert.Assert(t, f.spread(ranked[1], 2*time.Second)[cut.self.Name])
		})
	})
}

// Guards against a rollout during which entry VMs of an older version end sharing, or are
// called all the time.
func TestOlderVersions(t *testing.T) {
	runFleet(t, 9, 1, 3, func(t *testing.T, f *fleet) {
		ranked := f.ranked()
		f.keepBusy(4 * time.Second)
		know := f.spread(ranked[8], 2*time.Second)
		for _, v := range ranked[3:8] {
			assert.Assert(t, know[v.self.Name], "%s has no reading", v.self.Name)
		}
		assert.Equal(t, ranked[8].log.count("does not know the call"), 3, "one line for each old entry VM")
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Assert(t, ranked[0].answered <= 6, "%d", ranked[0].answered)
	})
}

// Guards against failure domains that don't hear from each other, and against bytes between
// them for readings that tell nothing new.
func TestDigests(t *testing.T) {
	runFleet(t, 30, 3, 0, func(t *testing.T, f *fleet) {
		f.keepBusy(2 * time.Second)
		assert.Equal(t, len(f.spread(f.vms[0], 4*time.Second)), len(f.vms)-1)
	})
}

// Guards against malformed messages of another entry VM.
func TestMalformedMessages(t *testing.T) {
	for name, m := range map[string]*tspeerapi.LoadExchange{
		"columns of different lengths": {From: "vm-1", Server: []uint32{1, 2}, AgeMs: []uint32{1}},
		"unknown servers":              {From: "vm-1", Server: []uint32{1}, AgeMs: []uint32{1}, Running: []uint32{1}, Queued: []uint32{1}, WorkPercent: []uint32{100}},
		"a digest of an unknown one":   {From: "nobody", Digest: true},
		"a stale reading":              {From: "vm-1", Server: []uint32{0}, AgeMs: []uint32{1 << 31}, Running: []uint32{1}, Queued: []uint32{1}, WorkPercent: []uint32{100}},
		"nothing":                      {},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 2, 1, 0, func(t *testing.T, f *fleet) {
				hc, base := f.vms[1].Client(f.vms[0].self.PeerAddr)
				_, err := tspeerapi.NewLoadServiceClient(hc, base).Exchange(context.Background(), connect.NewRequest(m))
				assert.NilError(t, err)
				time.Sleep(2 * time.Second)
				assert.Equal(t, len(f.vms[0].board.Loads.Read()), 0)
			})
		})
	}
}

// Guards against memory taken by a huge message of another entry VM.
func TestHugeMessagesAreRefused(t *testing.T) {
	runFleet(t, 2, 1, 0, func(t *testing.T, f *fleet) {
		hc, base := f.vms[1].Client(f.vms[0].self.PeerAddr)
		_, err := tspeerapi.NewLoadServiceClient(hc, base).Exchange(context.Background(), connect.NewRequest(&tspeerapi.LoadExchange{Server: make([]uint32, 1<<20)}))
		assert.Equal(t, connect.CodeOf(err), connect.CodeResourceExhausted)
	})
}

// Guards against sharing that costs more than docs/CAPACITY.md says.
func TestCost(t *testing.T) {
	const span = 10 * time.Second
	for _, c := range []struct {
		vms, domains int
		perSecond    float64
	}{{62, 3, 330}, {80, 4, 740}, {195, 5, 1500}, {300, 5, 2000}} {
		t.Run(fmt.Sprint(c.vms, " entry VMs"), func(t *testing.T) {
			runFleet(t, c.vms, c.domains, 0, func(t *testing.T, f *fleet) {
				rng := rand.New(rand.NewPCG(1, uint64(c.vms)))
				for _, v := range f.vms {
					v.sharer.Enable("settings")
				}
				slow := map[int]bool{}
				answers := int(c.perSecond * span.Seconds())
				for i := range answers {
					if i%(answers/17+1) == 0 {
						clear(slow)
						for s := range f.servers {
							slow[s] = rng.Float64() < 0.15
						}
					}
					s, work := rng.IntN(len(f.servers)), 1.0
					if slow[s] {
						work = 2.5
					}
					f.vms[rng.IntN(len(f.vms))].record(s, 5+rng.IntN(10), work)
					time.Sleep(span / time.Duration(answers))
				}
				calls, size, gathererCalls := 0, 0, 0
				f.mu.Lock()
				defer f.mu.Unlock()
				for _, v := range f.vms {
					calls += v.calls
					size += v.bytes
					gathererCalls = max(gathererCalls, v.answered)
				}
				perVM := func(n int) float64 { return float64(n) / span.Seconds() / float64(c.vms) }
				t.Logf("%d entry VMs, %d failure domains: %.1f calls/s and %.0f bytes/s for each; a gatherer answers %.0f calls/s; %.0f bytes/s between failure domains in all",
					c.vms, c.domains, perVM(calls), perVM(size), float64(gathererCalls)/span.Seconds(), float64(f.distantBytes)/span.Seconds())
				assert.Assert(t, perVM(calls) < 4.2 && perVM(size) < 8000)
				assert.Assert(t, float64(gathererCalls)/span.Seconds() < 140)
			})
		})
	}
}
