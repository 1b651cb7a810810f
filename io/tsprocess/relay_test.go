package tsprocess_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsadmin"
	"turmericshed/io/tsentry"
	"turmericshed/io/tsplatform"
	"turmericshed/io/tsprocess"
	"turmericshed/standin/tsengine"
	"turmericshed/standin/tsnode"
	standin "turmericshed/standin/tsplatform"
)

const benchTokens = 200

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// rig is one entry VM with one engine as its backend server.
type rig struct {
	key    string
	entry  netip.AddrPort
	engine netip.AddrPort
	client *http.Client
}

// newRig starts a rig with a profile of the given prepaid tokens and waits until
// the entry VM is ready.
func newRig(tb testing.TB, prepaid turmericshed.Tokens) *rig {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	tb.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	store := standin.NewStore(standin.Options{})
	ln, err := net.Listen("tcp", loopback.String())
	assert.NilError(tb, err)
	platform := netip.MustParseAddrPort(ln.Addr().String())
	wg.Go(func() { _ = standin.NewServer(store, standin.NewDirectory(standin.DirectoryOptions{})).Serve(ctx, ln) })
	client, err := tsplatform.NewClient(platform, tsplatform.Options{Caller: "engine"})
	assert.NilError(tb, err)
	engine, err := tsengine.Listen(tsengine.Options{
		Node: tsnode.Options{Platform: client, Server: turmericshed.BackendServer{
			ID: "engine-1", FailureDomain: "a", Addr: loopback, Models: []turmericshed.Model{"m"},
		}},
		Slots: 256, StepInterval: 2 * time.Millisecond,
	})
	assert.NilError(tb, err)
	wg.Go(func() { _ = engine.Serve(ctx) })
	admin := tsadmin.New(tsadmin.Config{Store: store})
	key, err := admin.AddAccount(ctx, "corner")
	assert.NilError(tb, err)
	_, err = admin.PutProfile(ctx, turmericshed.Profile{
		Name: "p", Prepaid: prepaid, Work: turmericshed.WorkAssistant, Model: "m",
		Accounts: []turmericshed.AccountLimit{{Account: "corner"}},
	}, 0)
	assert.NilError(tb, err)
	process, err := tsprocess.New(tsentry.Config{
		Name: "entry-1", FailureDomain: "a", CallerAddr: loopback, PeerAddr: loopback, PlatformAddr: platform,
		DrainTimeout: 10 * time.Second, DefaultDeadline: time.Minute, MaxConcurrentRequests: 1024,
	}, tsprocess.Options{})
	assert.NilError(tb, err)
	serveCtx, stop := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- process.Serve(serveCtx) }()
	tb.Cleanup(func() {
		stop()
		assert.Check(tb, <-stopped)
	})
	for !process.Ready() {
		time.Sleep(10 * time.Millisecond)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	tb.Cleanup(transport.CloseIdleConnections)
	return &rig{key: key, entry: process.Addr(), engine: engine.Server().Addr, client: &http.Client{Transport: transport}}
}

// stream requests one streamed generation from an address and returns the time to
// its first event and the number of events. The same prompt gives the same answer
// at the engine and through the entry VM; only the stream ID differs.
func (r *rig) stream(addr netip.AddrPort, prompt string) (firstEvent time.Duration, events int, err error) {
	body, err := json.Marshal(map[string]any{
		"model": "m", "stream": true, "max_tokens": benchTokens,
		"messages": []turmericshed.Message{{Role: "user", Content: "hello " + prompt}},
	})
	if err != nil {
		return 0, 0, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+addr.String()+"/v1/chat/completions", strings.NewReader(string(body)))
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+r.key)
	req.Header.Set("Turmericshed-Profile", "p")
	req.Header.Set("Turmericshed-Stream-Id", turmericshed.NewID("bench-"))
	start := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	last := ""
	for lines.Scan() {
		if line := lines.Text(); strings.HasPrefix(line, "data: ") {
			if events++; events == 1 {
				firstEvent = time.Since(start)
			}
			last = line
		}
	}
	if last != "data: [DONE]" {
		return 0, 0, fmt.Errorf("status %d, last line %q", resp.StatusCode, last)
	}
	return firstEvent, events, lines.Err()
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRelay pairs each call through an entry VM with the same call directly to
// the engine, and reports the latency that the entry VM adds.
func BenchmarkRelay(b *testing.B) {
	r := newRig(b, 1<<40)
	var firstEvent, total [2]time.Duration
	n := 0
	addrs := []netip.AddrPort{r.engine, r.entry}
	for b.Loop() {
		prompt := fmt.Sprintf("bench-%d", n)
		// This call fills the engine's prefix cache for both measured calls.
		_, _, err := r.stream(r.engine, prompt)
		assert.NilError(b, err)
		for k := range addrs {
			i := (n + k) % len(addrs)
			start := time.Now()
			f, _, err := r.stream(addrs[i], prompt)
			assert.NilError(b, err)
			firstEvent[i] += f
			total[i] += time.Since(start)
		}
		n++
	}
	perCall := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(n) }
	b.ReportMetric(perCall(firstEvent[1]-firstEvent[0]), "added_first_byte_us")
	b.ReportMetric(perCall(total[1]-total[0])/benchTokens, "added_per_token_us")
}

// BenchmarkRelayCPU compares the CPU time of many concurrent calls made directly and
// through an entry VM. The difference is the CPU time of the entry VM and of both
// ends of the additional connection.
func BenchmarkRelayCPU(b *testing.B) {
	const callers = 64
	r := newRig(b, 1<<40)
	var cpu [2]time.Duration
	tokens, n := 0, 0
	for b.Loop() {
		for i, addr := range []netip.AddrPort{r.engine, r.entry} {
			before := cpuTime()
			var wg sync.WaitGroup
			for c := range callers {
				wg.Go(func() {
					_, _, err := r.stream(addr, fmt.Sprintf("cpu-%d-%d", n, c))
					assert.Check(b, err)
				})
			}
			wg.Wait()
			cpu[i] += cpuTime() - before
		}
		tokens += callers * benchTokens
		n++
	}
	added := (cpu[1] - cpu[0]).Seconds()
	b.ReportMetric(added*1e6/float64(tokens), "added_cpu_us/token")
	b.ReportMetric(float64(tokens)/added, "tokens/s/core")
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkStreamMemory compares the memory of many open streams made directly and
// through an entry VM.
func BenchmarkStreamMemory(b *testing.B) {
	const streams = 200
	r := newRig(b, 1<<40)
	var added float64
	n := 0
	for b.Loop() {
		var used [2]float64
		for i, addr := range []netip.AddrPort{r.engine, r.entry} {
			before := memoryInUse()
			var wg sync.WaitGroup
			for c := range streams {
				wg.Go(func() {
					_, _, err := r.stream(addr, fmt.Sprintf("memory-%d-%d", n, c))
					assert.Check(b, err)
				})
			}
			time.Sleep(250 * time.Millisecond)
			used[i] = float64(memoryInUse()) - float64(before)
			wg.Wait()
		}
		added += used[1] - used[0]
		n++
	}
	b.ReportMetric(added/float64(n*streams), "added_bytes/stream")
}

// Guards against oversized headers that are charged or harm later requests, against
// truncated answers, and against requests beyond the prepaid budget.
func TestOneEntryVM(t *testing.T) {
	t.Run("a flood of headers is refused before anything is charged", func(t *testing.T) {
		r := newRig(t, 600)
		req, err := http.NewRequest(http.MethodPost, "http://"+r.entry.String()+"/v1/chat/completions", nil)
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+r.key)
		req.Header.Set("Flood", strings.Repeat("x", 64<<10))
		resp, err := r.client.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
		_, _, err = r.stream(r.entry, "after")
		assert.NilError(t, err)
	})
	t.Run("an answer is complete and the budget limits the next one", func(t *testing.T) {
		r := newRig(t, 300)
		_, events, err := r.stream(r.entry, "one")
		assert.NilError(t, err)
		assert.Assert(t, events > 2)
		_, _, err = r.stream(r.entry, "two")
		assert.ErrorContains(t, err, "status 402")
	})
}
