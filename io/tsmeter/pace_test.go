package tsmeter

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
)

func TestAwait(t *testing.T) {
	const size = 10_000
	log := slog.New(slog.DiscardHandler)
	t.Run("bodies are sent one after another", func(t *testing.T) {
		m := New(Config{BytesPerSecond: 1_000_000, Log: log})
		began := time.Now()
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() { assert.Check(t, m.Await(context.Background(), "a", size) == nil) })
		}
		wg.Wait()
		assert.Assert(t, time.Since(began) >= 150*time.Millisecond)
	})
	t.Run("a body that cannot be sent in time is refused at once with a retry time", func(t *testing.T) {
		m := New(Config{BytesPerSecond: 10_000, Log: log})
		assert.NilError(t, m.Await(context.Background(), "a", size))
		began := time.Now()
		ctx, cancel := context.WithDeadline(context.Background(), began.Add(500*time.Millisecond))
		defer cancel()
		err := m.Await(ctx, "a", size)
		assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindOverloaded)
		assert.Assert(t, turmericshed.RetryAfterOf(err) > 500*time.Millisecond)
		assert.Assert(t, time.Since(began) < 400*time.Millisecond)
	})
	t.Run("a short body never waits", func(t *testing.T) {
		m := New(Config{BytesPerSecond: 100, Log: log})
		for range 100 {
			assert.NilError(t, m.Await(context.Background(), "a", minPacedSize-1))
		}
	})
	t.Run("a caller that disconnects frees its place in the queue", func(t *testing.T) {
		m := New(Config{BytesPerSecond: 100_000, Log: log})
		assert.NilError(t, m.Await(context.Background(), "a", size))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		assert.Equal(t, turmericshed.KindOf(m.Await(ctx, "a", size)), turmericshed.KindCanceled)
		assert.NilError(t, m.Await(context.Background(), "b", size))
	})
}

// sink is a connection that accepts all bytes at once, like a socket's buffer.
type sink struct{ net.Conn }

// Write accepts all bytes.
func (sink) Write(p []byte) (int, error) { return len(p), nil }

// Guards against bodies that are released without regard to the other traffic on the link: the ends
// of such bodies then waited seconds behind answers to callers.
func TestAwaitBehindOtherBytes(t *testing.T) {
	const (
		// rate is the capacity of a link of 10 Mbit/s in bytes per second, size that of the largest
		// bodies.
		rate, size = 1_250_000, 300_000
		// targetQueueDelay is the queue delay up to which a body is sent once its turn comes.
		targetQueueDelay = 100 * time.Millisecond
	)
	// newBusyMeter returns a meter with n bytes to party p waiting at its link.
	newBusyMeter := func(t *testing.T, p Party, n int) *Meter {
		t.Helper()
		m := New(Config{BytesPerSecond: rate, Log: slog.New(slog.DiscardHandler)})
		_, err := m.wrap(p, sink{}).Write(make([]byte, n))
		assert.NilError(t, err)
		return m
	}
	for _, p := range []Party{Callers, EntryVMs} {
		t.Run(fmt.Sprintf("a body is refused when it would leave too late behind bytes to %s", p), func(t *testing.T) {
			m := newBusyMeter(t, p, 2*rate)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			assert.Equal(t, turmericshed.KindOf(m.Await(ctx, "a", size)), turmericshed.KindOverloaded)
		})
		t.Run(fmt.Sprintf("a body waits until the queue of bytes to %s is short", p), func(t *testing.T) {
			m := newBusyMeter(t, p, rate)
			assert.NilError(t, m.Await(t.Context(), "a", size))
			queue := m.state().queueDelay
			assert.Assert(t, queue <= targetQueueDelay, "%s", queue)
		})
	}
	t.Run("a body is sent at once when the link has capacity", func(t *testing.T) {
		m := newBusyMeter(t, Callers, rate/100)
		began := time.Now()
		assert.NilError(t, m.Await(t.Context(), "a", size))
		assert.Assert(t, time.Since(began) < 500*time.Millisecond)
	})
}
