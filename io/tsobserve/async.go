package tsobserve

import (
	"io"
	"sync"
	"sync/atomic"
)

// asyncQueue is how many lines wait for a slow reader of the log.
const asyncQueueLines = 2048

// AsyncWriter hands lines to a writer without ever waiting for it. Lines that
// find the queue full are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter returns a writer in front of w; Close ends it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncQueueLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			if _, err := w.Write(line); err != nil {
				a.dropped.Add(1)
			}
		}
	}()
	return a
}

// Write queues one line. It never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes what waits. Nothing may be written afterwards.
func (a *AsyncWriter) Close() error {
	a.once.Do(func() { close(a.lines) })
	<-a.done
	return nil
}
