package tssoak

import (
	"errors"
	"fmt"
	"time"

	"turmericshed"
)

const (
	// frameInterval is the mean time between two frames of a generation.
	frameInterval = 150 * time.Millisecond
	// model is the model that every engine serves, and engineSlots the number of
	// generations that it reports it can run concurrently.
	model       = turmericshed.Model("model")
	engineSlots = 8
	// recentFrameLimit is how many past frames an engine stores as candidates for
	// misrouting.
	recentFrameLimit = 16
	// maxFrames bounds the frames of an answer, not counting the final frame,
	// which has the usage.
	maxFrames = 12
)

// errLeaving is the refusal of an engine that is shutting down.
var errLeaving = errors.New("engine is leaving")

// engine is a fake model engine. Its consumption is recorded in the books of the
// world, which outlive it.
type engine struct {
	w              *world
	index          int
	id             turmericshed.ServerID
	location       location
	down           bool
	leaving        bool
	runningStreams int
	// limit is nil while the engine announces no limit.
	limit *engineLimit
	// blocked holds the streams that were canceled before they started.
	blocked map[turmericshed.StreamID]bool
	streams map[turmericshed.StreamID]*stream
	// misrouteNext, delayNext, duplicateNext and dropNext count the upcoming
	// frames that get the fault. A misrouted frame belongs to another stream and is
	// delivered before the stream's own frame.
	misrouteNext, delayNext, duplicateNext, dropNext int
	// recentFrames holds the last frames, which may be misrouted to other streams.
	recentFrames []turmericshed.Frame
}

// stream is the state of one generation at an engine.
type stream struct {
	id           turmericshed.StreamID
	budget       turmericshed.BudgetID
	digest       turmericshed.Digest
	promptTokens turmericshed.Tokens
	length       turmericshed.Tokens
	generated    turmericshed.Tokens
	frames       []turmericshed.Frame
	ended        bool
	canceled     bool
	// sink sends a frame over the current connection; nil when there is none.
	sink func(f turmericshed.Frame)
}

// newEngine starts the engine with the index and adds it to the directory.
func (w *world) newEngine(index int) *engine {
	e := &engine{
		w: w, index: index, id: turmericshed.ServerID(w.newID("engine-")), location: domainA + location(index)%(locationCount-domainA),
		blocked: map[turmericshed.StreamID]bool{}, streams: map[turmericshed.StreamID]*stream{},
	}
	w.enginesByID[e.id] = e
	w.directory.AddServer(turmericshed.BackendServer{
		ID: e.id, FailureDomain: turmericshed.FailureDomain(e.location.String()), Work: turmericshed.WorkAssistant,
		Models: []turmericshed.Model{model}, Slots: engineSlots,
	})
	return e
}

// replace removes the engine from the directory and starts another one with the
// same index.
func (e *engine) replace() {
	e.w.directory.RemoveServer(e.id)
	e.w.engines[e.index] = e.w.newEngine(e.index)
}

// completionLength returns the number of tokens in the answer to a prompt, before
// the request's limit applies. It depends only on the digest, so that the caller
// can compute the expected answer.
func completionLength(d turmericshed.Digest) turmericshed.Tokens {
	n := 0
	for _, c := range d {
		n = (n*31 + int(c)) % 4000
	}
	return turmericshed.Tokens(1 + n)
}

// start begins a generation. Errors: KindBackendRefused when the engine is
// leaving or blocks the stream; KindStreamBroken when the prompt crashes it.
func (e *engine) start(g *generation, id turmericshed.StreamID, sink func(f turmericshed.Frame)) error {
	if e.leaving {
		return turmericshed.WrapError(turmericshed.KindBackendRefused, errLeaving, "%s", e.id)
	}
	if e.blocked[id] {
		return turmericshed.NewError(turmericshed.KindBackendRefused, "%s blocks stream %s, which was canceled before it started", e.id, id)
	}
	if g.req.isPoison {
		e.w.books.poisonCrashes[g.req.digest]++
		e.w.logf("%s crashes on %s", e.id, g.req.digest)
		e.crash()
		return turmericshed.NewError(turmericshed.KindStreamBroken, "%s crashed", e.id)
	}
	_, exists := e.streams[id]
	turmericshed.Assert(!exists, "stream_starts_once", "%s at %s", id, e.id)
	s := &stream{
		id: id, budget: g.profile.Budget, digest: g.req.digest, promptTokens: g.req.promptTokens,
		length: min(completionLength(g.req.digest), g.req.maxTokens), sink: sink,
	}
	e.streams[id] = s
	e.runningStreams++
	e.w.books.recordConsumption(e.w, s.budget, id, s.promptTokens)
	e.w.schedule(e.w.jitter(frameInterval), func() { e.nextFrame(s) })
	return nil
}

// nextFrame generates and delivers the next frame of a stream. After the last one
// it also delivers the final frame with the usage; otherwise it schedules itself
// again.
func (e *engine) nextFrame(s *stream) {
	if e.down || s.ended {
		return
	}
	tokensPerFrame := (s.length + maxFrames - 1) / maxFrames
	n := min(tokensPerFrame, s.length-s.generated)
	e.w.books.recordConsumption(e.w, s.budget, s.id, n)
	f := turmericshed.Frame{Stream: s.id, Seq: len(s.frames), Text: fmt.Sprintf("%s.%d ", s.digest, len(s.frames)), Tokens: n}
	s.generated += n
	s.frames = append(s.frames, f)
	e.deliver(s, f)
	if s.generated >= s.length {
		end := turmericshed.Frame{
			Stream: s.id, Seq: len(s.frames), End: true, Finish: "stop",
			Usage: turmericshed.Usage{Prompt: s.promptTokens, Completion: s.generated},
		}
		s.frames = append(s.frames, end)
		s.ended = true
		e.runningStreams--
		e.deliver(s, end)
		return
	}
	e.w.schedule(e.w.jitter(frameInterval), func() { e.nextFrame(s) })
}

// deliver sends a frame over the current connection and applies at most one of
// the pending faults to it.
func (e *engine) deliver(s *stream, f turmericshed.Frame) {
	if s.sink == nil {
		return
	}
	consumeFault := func(n *int) bool {
		if *n <= 0 {
			return false
		}
		*n--
		return true
	}
	sink := s.sink
	misrouted, found := e.matchingRecentFrame(f)
	e.recentFrames = append(e.recentFrames, f)
	if len(e.recentFrames) > recentFrameLimit {
		e.recentFrames = e.recentFrames[1:]
	}
	switch {
	case found && consumeFault(&e.misrouteNext):
		sink(misrouted)
		sink(f)
	case consumeFault(&e.duplicateNext):
		sink(f)
		sink(f)
	case consumeFault(&e.dropNext):
	case consumeFault(&e.delayNext):
		e.w.schedule(frameInterval*3, func() { sink(f) })
	default:
		sink(f)
	}
}

// matchingRecentFrame returns a recent frame of another stream that has the
// sequence number and the End flag of f.
func (e *engine) matchingRecentFrame(f turmericshed.Frame) (turmericshed.Frame, bool) {
	for _, o := range e.recentFrames {
		if o.Stream != f.Stream && o.Seq == f.Seq && o.End == f.End {
			return o, true
		}
	}
	return turmericshed.Frame{}, false
}

// resume attaches a new connection to a stream and sends the frames from seq on.
// It reports false when the stream is unknown or canceled.
func (e *engine) resume(id turmericshed.StreamID, seq int, sink func(f turmericshed.Frame)) bool {
	s, ok := e.streams[id]
	if !ok || s.canceled {
		return false
	}
	s.sink = sink
	for _, f := range s.frames[min(seq, len(s.frames)):] {
		sink(f)
	}
	return true
}

// cancel ends a generation and returns its usage. An unknown stream is blocked,
// so that it cannot start later, and has no usage.
func (e *engine) cancel(id turmericshed.StreamID) turmericshed.Usage {
	s, ok := e.streams[id]
	if !ok {
		e.blocked[id] = true
		return turmericshed.Usage{}
	}
	if !s.ended {
		e.runningStreams--
	}
	s.ended, s.canceled = true, true
	return turmericshed.Usage{Prompt: s.promptTokens, Completion: s.generated}
}

// crash stops the engine permanently. Another engine replaces it after a delay.
func (e *engine) crash() {
	if e.down {
		return
	}
	e.down = true
	e.w.markDisturbed(10 * time.Second)
	e.w.schedule(e.w.between(2*time.Second, 10*time.Second), e.replace)
}

// leave makes the engine refuse new work. It is replaced 15 s later.
func (e *engine) leave() {
	if e.down || e.leaving {
		return
	}
	e.leaving = true
	e.w.logf("%s leaves", e.id)
	e.w.directory.LeaveServer(e.id)
	e.w.schedule(15*time.Second, func() {
		if !e.down {
			e.down = true
			e.replace()
		}
	})
}
