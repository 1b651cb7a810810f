package tsintake

import (
	"errors"
	"io"

	"turmericshed/core/tsintake"
)

// ReadAll reads r to its end, into blocks. length is the announced length, negative if there is none.
// Nothing is read of a body whose announced length doesn't fit, and each block is reserved before it
// is read. Errors: KindOverloaded where the memory is not reserved, or is needed by others and the
// body has stalled or is slow; that of StopReading; errors of r.
func (b *Body) ReadAll(r io.Reader, length int64) (parts [][]byte, err error) {
	if err := b.open(length); err != nil {
		return nil, err
	}
	growth := tsintake.Growth{Length: length}
	for size, held := int64(0), int64(0); ; {
		next, reserved := growth.Next()
		if reserved > held {
			if err := b.Reserve(reserved - held); err != nil {
				return nil, err
			}
			held = reserved
		}
		block := make([]byte, next)
		n, err := b.fill(r, block)
		growth.Received(int64(n))
		size += int64(n)
		if n > 0 {
			parts = append(parts, block[:n])
		}
		switch {
		case errors.Is(err, io.EOF):
			return parts, b.complete(size)
		case err != nil:
			if ended := b.endedError(); ended != nil {
				return nil, ended
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
	growth := tsintake.Growth{Length: -1}
	for size := int64(0); ; {
		next, _ := growth.Next()
		next = min(next, limit-size)
		if next <= 0 || size > 0 && b.Reserve(next) != nil {
			return parts, false, nil
		}
		block := make([]byte, next)
		n, err := b.fill(r, block)
		growth.Received(int64(n))
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
