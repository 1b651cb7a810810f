package tsrelay

import (
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"turmericshed"
)

const (
	// defaultCallerBufferBytes bounds the buffers of all callers if the configuration
	// sets no bound.
	defaultCallerBufferBytes = 32 << 20
	// uncountedBytes is what each connection may hold without being counted. Ordinary
	// events are far smaller.
	uncountedBytes = 4 << 10
	// slowReadAfter is how long a write must be blocked before its caller counts as one
	// that reads slowly.
	slowReadAfter = 500 * time.Millisecond
	// hardBufferFactor times the bound is the amount from which the largest buffer is
	// given up, even if no caller reads slowly.
	hardBufferFactor = 2
)

// callerBuffers bounds the bytes that are held for callers: incomplete events, and
// answers that callers read slowly. A connection holds one event of up to maxEventBytes
// or one complete answer. Above the bound, the caller whose write is blocked for the longest
// time is cut off.
type callerBuffers struct {
	limit int64
	log   *slog.Logger
	cuts  prometheus.Counter

	mu      sync.Mutex
	used    int64
	buffers map[*callerBuffer]struct{}
}

// callerBuffer is what one connection holds.
type callerBuffer struct {
	owner   *callerBuffers
	request turmericshed.RequestID
	// cut makes the blocked write fail.
	cut func() error
	// isUsed is true once the connection has held more than uncountedBytes; only its
	// own goroutine uses it.
	isUsed bool

	// The owner's lock guards the fields below.
	bytes int64
	// blockedSince is the start of the current write; zero while there is none.
	blockedSince time.Time
	isCut        bool
}

func newCallerBuffers(limit int64, metrics prometheus.Registerer, log *slog.Logger) *callerBuffers {
	if limit <= 0 {
		limit = defaultCallerBufferBytes
	}
	b := &callerBuffers{limit: limit, log: log, buffers: make(map[*callerBuffer]struct{}), cuts: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "turmericshed_slow_readers_cut_total", Help: "Callers cut off because the buffers for callers were full and they read most slowly.",
	})}
	if metrics != nil {
		metrics.MustRegister(b.cuts, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "turmericshed_caller_buffer_bytes", Help: "Bytes held for callers, beyond a small part for each connection.",
		}, func() float64 { return float64(b.total()) }))
	}
	return b
}

func (b *callerBuffers) total() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// buffer returns an empty buffer for a request. cut must be safe for concurrent use and
// must not block: it is called with the lock held, so that it never concerns a later
// request on the connection.
func (b *callerBuffers) buffer(request turmericshed.RequestID, cut func() error) *callerBuffer {
	return &callerBuffer{owner: b, request: request, cut: cut}
}

// hold records that the connection holds n bytes, and that it begins to write them if
// isWriting is true. It returns KindOverloaded if the connection must be given up.
func (c *callerBuffer) hold(now time.Time, n int, isWriting bool) error {
	if n <= uncountedBytes && !c.isUsed {
		return nil
	}
	c.isUsed = true
	cut, isCut := c.update(now, n, isWriting)
	for _, other := range cut {
		attrs := []any{"request", string(other.request)}
		if other.err != nil {
			attrs = append(attrs, "error", other.err.Error())
		}
		c.owner.log.Warn("cutting off a caller that reads slowly; the buffers for callers are full", attrs...)
	}
	if isCut {
		return turmericshed.NewError(turmericshed.KindOverloaded, "the buffers for callers are full")
	}
	return nil
}

// cutCaller is a caller that was cut off, and the error of doing so.
type cutCaller struct {
	request turmericshed.RequestID
	err     error
}

// update implements hold. It returns the other callers that it cut off, and whether the
// connection itself must be given up.
func (c *callerBuffer) update(now time.Time, n int, isWriting bool) (cut []cutCaller, isCut bool) {
	b := c.owner
	b.mu.Lock()
	defer b.mu.Unlock()
	c.set(int64(n))
	c.blockedSince = time.Time{}
	if isWriting {
		c.blockedSince = now
	}
	for b.used > b.limit {
		victim := b.slowest(now)
		if victim == nil && b.used > hardBufferFactor*b.limit {
			victim = b.largest()
		}
		if victim == nil {
			break
		}
		victim.isCut = true
		victim.set(0)
		b.cuts.Inc()
		if victim != c {
			cut = append(cut, cutCaller{victim.request, victim.cut()})
		}
	}
	return cut, c.isCut
}

// release records that the connection holds nothing any more.
func (c *callerBuffer) release() {
	if !c.isUsed {
		return
	}
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.set(0)
	c.blockedSince = time.Time{}
}

// set changes the number of counted bytes. The owner's lock must be held.
func (c *callerBuffer) set(n int64) {
	if n <= uncountedBytes || c.isCut {
		n = 0
	}
	c.owner.used += n - c.bytes
	c.bytes = n
	if n == 0 {
		delete(c.owner.buffers, c)
	} else {
		c.owner.buffers[c] = struct{}{}
	}
}

// slowest returns the buffer whose write is blocked for the longest time, nil if none is
// blocked for slowReadAfter.
func (b *callerBuffers) slowest(now time.Time) (slowest *callerBuffer) {
	for c := range b.buffers {
		if c.blockedSince.IsZero() || now.Sub(c.blockedSince) < slowReadAfter {
			continue
		}
		if slowest == nil || c.blockedSince.Before(slowest.blockedSince) {
			slowest = c
		}
	}
	return slowest
}

func (b *callerBuffers) largest() (largest *callerBuffer) {
	for c := range b.buffers {
		if largest == nil || c.bytes > largest.bytes {
			largest = c
		}
	}
	return largest
}
