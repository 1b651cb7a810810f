package tsintake

import (
	"errors"
	"io"
)

const (
	// firstBlockBytes is the size of the first block of a body without a length. Each further
	// block is twice as large, up to maxBlockBytes.
	firstBlockBytes = 4 << 10
	maxBlockBytes   = 256 << 10
	// maxSingleBytes is the largest announced body that is read into one block.
	maxSingleBytes = 128 << 10
)

// ReadAll reads r to its end, into blocks: a slice that grows would hold its bytes twice. length is
// the announced length, which is reserved before the first read, or negative; then each block is
// reserved when it is needed. Errors: KindOverloaded where the memory is not reserved, or is
// needed by others and the body has stalled; errors of r.
func (b *Body) ReadAll(r io.Reader, length int64) (parts [][]byte, err error) {
	if length >= 0 {
		if err := b.Reserve(length); err != nil {
			return nil, err
		}
	}
	size := int64(0)
	for next := firstSize(length); ; next = min(2*next, maxBlockBytes) {
		if length >= 0 {
			// One byte more than announced finds the end of r.
			next = min(next, max(length-size, 1))
		} else if err := b.Reserve(next); err != nil {
			return nil, err
		}
		block := make([]byte, next)
		n, err := b.fill(r, block)
		size += int64(n)
		if n > 0 {
			parts = append(parts, block[:n])
		}
		switch {
		case errors.Is(err, io.EOF):
			return parts, b.complete(size)
		case err != nil:
			if evicted := b.evictedError(); evicted != nil {
				return nil, evicted
			}
			return nil, err
		case length >= 0 && size > length:
			return nil, io.ErrShortBuffer
		}
	}
}

// ReadPart reads r to its end, or until the memory or limit is used up, and reports whether it has
// read all. The first block needs no reservation: it counts as a part of its connection. Errors
// of r.
func (b *Body) ReadPart(r io.Reader, limit int64) (parts [][]byte, isWhole bool, err error) {
	size := int64(0)
	for next := int64(firstBlockBytes); ; next = min(2*next, maxBlockBytes) {
		next = min(next, limit-size)
		if next <= 0 || size > 0 && b.Reserve(next) != nil {
			return parts, false, nil
		}
		block := make([]byte, next)
		n, err := b.fill(r, block)
		size += int64(n)
		if n > 0 {
			parts = append(parts, block[:n])
		}
		switch {
		case errors.Is(err, io.EOF):
			return parts, true, b.complete(size)
		case err != nil:
			return nil, false, err
		}
	}
}

// firstSize returns the size of a body's first block.
func firstSize(length int64) int64 {
	if length > 0 && length <= maxSingleBytes {
		return length
	}
	return firstBlockBytes
}

// fill reads until block is full or r ends. It returns io.EOF at the end of r.
func (b *Body) fill(r io.Reader, block []byte) (n int, err error) {
	for n < len(block) && err == nil {
		var m int
		m, err = r.Read(block[n:])
		n += m
		b.received(m)
	}
	return n, err
}
