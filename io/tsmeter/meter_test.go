package tsmeter

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// exchange sends size bytes over a connection that is dialed to Servers and accepted from Callers,
// and returns once they are read.
func exchange(t *testing.T, m *Meter, size int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, ln.Close()) })
	received := make(chan int64, 1)
	go func() {
		c, err := m.Listener(Callers, ln).Accept()
		if err != nil {
			received <- 0
			return
		}
		n, err := io.Copy(io.Discard, c)
		if errors.Join(err, c.Close()) != nil {
			n = 0
		}
		received <- n
	}()
	c, err := m.Dialer(Servers, (&net.Dialer{}).DialContext)(context.Background(), "tcp", ln.Addr().String())
	assert.NilError(t, err)
	_, err = c.Write(make([]byte, size))
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	assert.Equal(t, <-received, int64(size))
}

func TestMeter(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	t.Run("bytes are counted by party and direction", func(t *testing.T) {
		m := New(Config{BytesPerSecond: 1_000_000, Log: log})
		exchange(t, m, 1000)
		got := m.totals()
		assert.Equal(t, got[Callers].in, int64(1000))
		assert.Equal(t, got[Servers].out, int64(1000))
		assert.Equal(t, got[Callers].opened+got[Servers].opened, int64(2))
		assert.Equal(t, got[Callers].out+got[Servers].in+got[Store].in+got[EntryVMs].out, int64(0))
	})
	t.Run("metrics can be gathered", func(t *testing.T) {
		reg := prometheus.NewRegistry()
		exchange(t, New(Config{BytesPerSecond: 1_000_000, Metrics: reg, Log: log}), 1000)
		families, err := reg.Gather()
		assert.NilError(t, err)
		assert.Equal(t, len(families), 4)
	})
	t.Run("a burst above the link's rate congests it", func(t *testing.T) {
		m := New(Config{BytesPerSecond: 10_000, Log: log})
		began := time.Now()
		assert.Assert(t, !m.WasCongested(began))
		exchange(t, m, 20_000)
		assert.Assert(t, m.WasCongested(began))
	})
}
