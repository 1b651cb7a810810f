package tstimeline

// Ring is a ring buffer of the newest elements of a sequence. Elements are numbered
// from 1.
type Ring[T any] struct {
	buf  []T
	last uint64
}

// NewRing returns a ring that holds up to n elements; n is at least 1.
func NewRing[T any](n int) *Ring[T] {
	return &Ring[T]{buf: make([]T, 0, max(n, 1))}
}

// Push adds v and returns its number. It drops the oldest element when the ring is
// full.
func (r *Ring[T]) Push(v T) uint64 {
	if len(r.buf) < cap(r.buf) {
		r.buf = append(r.buf, v)
	} else {
		r.buf[int(r.last%uint64(cap(r.buf)))] = v
	}
	r.last++
	return r.last
}

// Last returns the number of the newest element, or 0 if the ring is empty.
func (r *Ring[T]) Last() uint64 { return r.last }

// After returns up to limit elements numbered above n, oldest first, and the number
// of the first one. That number is above n+1 if elements were dropped. A cursor
// beyond the newest element was issued by an earlier process and is treated as 0.
func (r *Ring[T]) After(n uint64, limit int) (first uint64, elems []T) {
	if n > r.last {
		n = 0
	}
	first = max(n+1, r.last-uint64(len(r.buf))+1)
	for i := first; i <= r.last && len(elems) < limit; i++ {
		elems = append(elems, r.buf[int((i-1)%uint64(cap(r.buf)))])
	}
	return first, elems
}
