package tsintake

const (
	// firstBlockBytes is the size of a body's first block. Each further block of a body without a
	// length is twice as large, up to maxBlockBytes.
	firstBlockBytes = 4 << 10
	maxBlockBytes   = 256 << 10
	// maxAnnouncedBlockBytes is the size of the largest block of an announced body.
	maxAnnouncedBlockBytes = 128 << 10
	// announcedFactor times what came of an announced body is reserved for it. A body that comes
	// fails early or not at all, and an announcement alone takes no memory from others.
	announcedFactor = 16
)

// Growth follows a body while it is read, and decides how much is read next and how much is
// reserved before. A body is kept in blocks: a slice that grows would hold its bytes twice.
type Growth struct {
	// Length is the announced length, negative if there is none.
	Length int64
	// received is what came so far, block the size of the last block.
	received, block int64
}

// Next returns the size of the next block, and what must be reserved for the whole body before it
// is read. At the announced length it returns a block of one byte, which finds the end.
func (g *Growth) Next() (block, reserved int64) {
	if g.Length < 0 {
		g.block = min(max(2*g.block, firstBlockBytes), maxBlockBytes)
		return g.block, g.received + g.block
	}
	reserved = min(max(firstBlockBytes, announcedFactor*g.received), g.Length)
	return max(min(reserved-g.received, maxAnnouncedBlockBytes), 1), reserved
}

// Received records that n bytes came.
func (g *Growth) Received(n int64) { g.received += n }
