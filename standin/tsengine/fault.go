package tsengine

import (
	"sync"

	"turmericshed"
)

// Faults configures the failures that the engine injects into subsequent calls.
// A count is the number of subsequent streams that are affected, each of them
// once and by one fault.
type Faults struct {
	// Delay is the latency added before each completion call.
	Delay turmericshed.Duration `json:"delay,omitempty"`
	// Refuse makes the engine answer completion calls with CodeBusy.
	Refuse bool `json:"refuse,omitempty"`
	// CrashMarker is the text that crashes the engine when a message contains
	// it; empty for none.
	CrashMarker string `json:"crash_marker,omitempty"`
	// Crossed inserts a frame of another stream.
	Crossed int `json:"crossed,omitempty"`
	// Late sends a frame after its successor.
	Late int `json:"late,omitempty"`
	// Duplicated sends a frame twice.
	Duplicated int `json:"doubled,omitempty"`
	// Missing omits a frame.
	Missing int `json:"missing,omitempty"`
	// EarlyDone sends the end marker, [DONE], without the end frame.
	EarlyDone int `json:"early_done,omitempty"`
	// EarlyClose closes the connection before the end frame.
	EarlyClose int `json:"early_close,omitempty"`
}

// outputFault is the fault that is injected into one stream's output.
type outputFault int

const (
	faultNone outputFault = iota
	faultCrossed
	faultLate
	faultDoubled
	faultMissing
	faultEarlyDone
	faultEarlyClose
)

// faultState holds the active faults.
type faultState struct {
	mu     sync.Mutex
	faults Faults
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *faultState) change(change func(f *Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// takeOutputFault returns the output fault for the next stream and decrements
// its count. It returns faultNone if no fault is active.
func (s *faultState) takeOutputFault() outputFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range []struct {
		count *int
		fault outputFault
	}{
		{&s.faults.Crossed, faultCrossed},
		{&s.faults.Late, faultLate},
		{&s.faults.Duplicated, faultDoubled},
		{&s.faults.Missing, faultMissing},
		{&s.faults.EarlyDone, faultEarlyDone},
		{&s.faults.EarlyClose, faultEarlyClose},
	} {
		if *c.count > 0 {
			*c.count--
			return c.fault
		}
	}
	return faultNone
}

// Book holds what one stream consumed: its prompt, counted when it starts, and
// its completion tokens, counted as they are generated.
type Book struct {
	Prompt     turmericshed.Tokens `json:"prompt"`
	Completion turmericshed.Tokens `json:"completion"`
	// Starts is the number of times that the stream started. A value above 1
	// means that the same stream was generated more than once.
	Starts int `json:"starts"`
}

// Books records what every stream consumed. Books survive crashes, since they
// represent the actual consumption.
type Books struct {
	mu      sync.Mutex
	streams map[turmericshed.StreamID]Book
}

// change applies f to the book of a stream.
func (b *Books) change(id turmericshed.StreamID, f func(book *Book)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.streams == nil {
		b.streams = map[turmericshed.StreamID]Book{}
	}
	book := b.streams[id]
	f(&book)
	b.streams[id] = book
}

// start records that a stream started and consumes prompt tokens.
func (b *Books) start(id turmericshed.StreamID, prompt turmericshed.Tokens) {
	b.change(id, func(book *Book) { book.Starts++; book.Prompt += prompt })
}

// generate records that a stream generated n tokens.
func (b *Books) generate(id turmericshed.StreamID, n turmericshed.Tokens) {
	b.change(id, func(book *Book) { book.Completion += n })
}

// Streams returns a copy of the books by stream ID.
func (b *Books) Streams() map[turmericshed.StreamID]Book {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[turmericshed.StreamID]Book, len(b.streams))
	for id, book := range b.streams {
		out[id] = book
	}
	return out
}
