package tsengine

import (
	"sync"

	"turmericshed"
)

// Faults are the failures that the engine shows from now on. The counts are
// numbers of next streams that show the fault once each.
type Faults struct {
	// Delay goes before each call.
	Delay turmericshed.Duration `json:"delay,omitempty"`
	// Refuse answers that the engine is busy.
	Refuse bool `json:"refuse,omitempty"`
	// CrashMarker crashes the engine when a message holds it.
	CrashMarker string `json:"crash_marker,omitempty"`
	// Crossed sends a frame of another stream in between.
	Crossed int `json:"crossed,omitempty"`
	// Late sends a frame after its successor.
	Late int `json:"late,omitempty"`
	// Doubled sends a frame twice.
	Doubled int `json:"doubled,omitempty"`
	// Missing leaves a frame out.
	Missing int `json:"missing,omitempty"`
	// EarlyDone sends the mark of the end without the end.
	EarlyDone int `json:"early_done,omitempty"`
	// EarlyClose closes the connection before the end.
	EarlyClose int `json:"early_close,omitempty"`
}

// outputFault is what happens to one stream's output.
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

// switches holds the faults in force.
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

// take uses up one output fault for a stream.
func (s *faultState) takeOutputFault() outputFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range []struct {
		n *int
		f outputFault
	}{
		{&s.faults.Crossed, faultCrossed},
		{&s.faults.Late, faultLate},
		{&s.faults.Doubled, faultDoubled},
		{&s.faults.Missing, faultMissing},
		{&s.faults.EarlyDone, faultEarlyDone},
		{&s.faults.EarlyClose, faultEarlyClose},
	} {
		if *c.n > 0 {
			*c.n--
			return c.f
		}
	}
	return faultNone
}

// Book is what one stream consumed, counted when tokens are made.
type Book struct {
	Prompt     turmericshed.Tokens `json:"prompt"`
	Completion turmericshed.Tokens `json:"completion"`
	// Starts counts how often the stream started; more than once is a fault.
	Starts int `json:"starts"`
}

// Books counts what every stream consumed. They outlive crashes, since they
// stand for what was truly consumed.
type Books struct {
	mu      sync.Mutex
	streams map[turmericshed.StreamID]Book
}

func (b *Books) change(id turmericshed.StreamID, f func(e *Book)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.streams == nil {
		b.streams = map[turmericshed.StreamID]Book{}
	}
	e := b.streams[id]
	f(&e)
	b.streams[id] = e
}

func (b *Books) start(id turmericshed.StreamID, prompt turmericshed.Tokens) {
	b.change(id, func(e *Book) { e.Starts++; e.Prompt += prompt })
}

func (b *Books) generate(id turmericshed.StreamID, n turmericshed.Tokens) {
	b.change(id, func(e *Book) { e.Completion += n })
}

// Streams returns a copy of the books.
func (b *Books) Streams() map[turmericshed.StreamID]Book {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[turmericshed.StreamID]Book, len(b.streams))
	for id, e := range b.streams {
		out[id] = e
	}
	return out
}
