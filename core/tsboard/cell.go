package tsboard

import "sync"

// Cell holds one value that a single controller writes and any controller reads. The zero
// value is ready to use and holds the zero value of T. Values are shared, so readers must
// not modify the data that a value points to.
type Cell[T any] struct {
	mu      sync.Mutex
	value   T
	changed chan struct{}
}

// Read returns the current value.
func (c *Cell[T]) Read() T {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.value
}

// Watch returns the current value and a channel that is closed at the next write.
func (c *Cell[T]) Watch() (T, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.value, c.changed
}

// Write replaces the value and wakes the watchers.
func (c *Cell[T]) Write(v T) {
	c.Update(func(T) T { return v })
}

// Update atomically replaces the value by f of it and wakes the watchers.
func (c *Cell[T]) Update(f func(T) T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.value = f(c.value)
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}
