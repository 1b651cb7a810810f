package tsgateway_test

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed/io/tsgateway"
)

// metric returns the value of a metric without labels; empty if there is none.
func (vm *entryVM) metric(t *testing.T, name string) string {
	t.Helper()
	resp, err := http.Get("http://" + vm.gateway.MetricsAddr().String() + "/metrics") //nolint:noctx // loopback, in a test.
	assert.NilError(t, err)
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	for _, line := range strings.Split(string(data), "\n") {
		if n, ok := strings.CutPrefix(line, name+" "); ok {
			return n
		}
	}
	return ""
}

// logBuffer is a buffer that several goroutines write to.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) count(s string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.buf.String(), s)
}

// Guards against load that is shared where no server reports its work time, and against
// readings that don't reach the other entry VMs of the failure domain where one does.
func TestLoadIsShared(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1_000_000)
	log := &logBuffer{}
	first := r.entryVM
	second := r.startWith("vm-2", func(cfg *tsgateway.Config) { cfg.Log = slog.New(slog.NewTextHandler(log, nil)) })
	vms := []*entryVM{first, second}
	calls := func() (n int) {
		for _, vm := range vms {
			if vm.metric(t, `turmericshed_load_calls_total{result="answered",scope="domain"}`) != "" {
				n++
			}
		}
		return n
	}
	// send lets both entry VMs take readings: the first of engines, the second of desks.
	send := func() {
		r.entryVM = first
		assertStatus(t, r.requestGeneration("/quote/1"), http.StatusOK)
		r.entryVM = second
		assertStatus(t, r.request(http.MethodGet, "/look/1", ""), http.StatusOK)
	}
	// The entry VMs have listed each other by then.
	time.Sleep(3 * time.Second)
	for range 5 {
		send()
		time.Sleep(100 * time.Millisecond)
	}
	assert.Equal(t, calls(), 0, "three figures switch nothing on")
	assert.Equal(t, second.metric(t, "turmericshed_load_known_servers"), "0")
	for _, b := range append(r.engines, r.desks...) {
		b.SetLoad("3,0,8,150,a later figure")
	}
	deadline := time.Now().Add(10 * time.Second)
	for known := ""; known < "3"; known = second.metric(t, "turmericshed_load_known_servers") {
		assert.Assert(t, time.Now().Before(deadline), "the second entry VM has readings of %s servers", known)
		send()
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, calls() > 0)
	assert.Equal(t, log.count("sharing the load of servers"), 1)
}

// Guards against an answer that is lost because of a malformed load, and against a log line
// for each such answer.
func TestMalformedLoad(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1_000_000)
	log := &logBuffer{}
	r.entryVM = r.startWith("vm-2", func(cfg *tsgateway.Config) { cfg.Log = slog.New(slog.NewTextHandler(log, nil)) })
	for _, load := range []string{"many", "1,0", "1,0,8,often", "9999999999999999999,0,8"} {
		for _, b := range append(r.engines, r.desks...) {
			b.SetLoad(load)
		}
		before := log.count("malformed load")
		for range 8 {
			a := r.request(http.MethodGet, "/look/1", "")
			assert.Assert(t, a.status == http.StatusOK && a.header.Get("Server-Load") == "" && a.body != "")
			assertStatus(t, r.requestGeneration("/quote/1"), http.StatusOK)
		}
		lines := log.count("malformed load") - before
		assert.Assert(t, lines >= 2 && lines <= 4, "%d lines for four servers", lines)
	}
}
