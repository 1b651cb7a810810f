package tsobserve

import (
	"io"
	"sync"
	"sync/atomic"
)

// asyncQueueLines is the capacity of the queue in front of a slow log output.
const asyncQueueLines = 2048

// AsyncWriter queues lines and writes them to another writer in the background, so that
// Write never blocks. When the queue is full, lines are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	// mu is held by writers for reading and guards isClosed.
	mu       sync.RWMutex
	isClosed bool
}

// NewAsyncWriter returns a writer that writes to w until Close is called.
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

// Write queues a copy of one line, or drops it if the queue is full or the writer is
// closed: goroutines may outlive the component that logs last. It never returns an error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.isClosed {
		a.dropped.Add(1)
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were lost, either because the queue was full
// or because the write failed.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines and waits for completion. Later lines are dropped.
func (a *AsyncWriter) Close() error {
	a.mu.Lock()
	if !a.isClosed {
		a.isClosed = true
		close(a.lines)
	}
	a.mu.Unlock()
	<-a.done
	return nil
}
