package tssoak

import (
	"errors"
	"fmt"
	"time"

	"turmericshed"
)

const (
	// frameInterval is the time between two frames of a generation.
	frameInterval = 150 * time.Millisecond
	// model is what every engine serves, engineSlots how many at once.
	model       = turmericshed.Model("model")
	engineSlots = 8
	// recentFrames is the number of frames that an engine can mix up.
	recentFrameLimit = 16
	// framesAtMost bounds the frames of an answer.
	maxFrames = 12
)

// errLeaving is the refusal of an engine that is going away.
var errLeaving = errors.New("leaving")

// engine is a model engine. Books are kept by the world, so that they outlive
// it.
type engine struct {
	w              *world
	index          int
	id             turmericshed.ServerID
	location       location
	down           bool
	leaving        bool
	runningStreams int
	// limit is nil while the engine names none.
	limit   *engineLimit
	blocked map[turmericshed.StreamID]bool
	streams map[turmericshed.StreamID]*stream
	// crossed, late, doubled and missing count the next such frames.
	misrouteNext, delayNext, duplicateNext, dropNext int
	// recent are the last frames, which may cross into other streams.
	recentFrames []turmericshed.Frame
}

// stream is one generation at an engine.
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
	// sink takes frames on the present connection; nil when there is none.
	sink func(f turmericshed.Frame)
}

// newEngine starts an engine in place of the one with the index.
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

// replace takes the engine off the list and puts another one in its place.
func (e *engine) replace() {
	e.w.directory.RemoveServer(e.id)
	e.w.engines[e.index] = e.w.newEngine(e.index)
}

// lengthOf returns how many tokens the answer to a prompt has, unbounded.
func completionLength(d turmericshed.Digest) turmericshed.Tokens {
	n := 0
	for _, c := range d {
		n = (n*31 + int(c)) % 4000
	}
	return turmericshed.Tokens(1 + n)
}

// start begins a generation. Errors: KindBackendRefused.
func (e *engine) start(g *generation, id turmericshed.StreamID, sink func(f turmericshed.Frame)) error {
	if e.leaving {
		return turmericshed.WrapError(turmericshed.KindBackendRefused, errLeaving, "%s", e.id)
	}
	if e.blocked[id] {
		return turmericshed.NewError(turmericshed.KindBackendRefused, "%s has barred %s", e.id, id)
	}
	if g.req.isPoison {
		e.w.books.poisonCrashes[g.req.digest]++
		e.w.logf("%s crashes on %s", e.id, g.req.digest)
		e.crash()
		return turmericshed.NewError(turmericshed.KindStreamBroken, "%s crashed", e.id)
	}
	_, known := e.streams[id]
	turmericshed.Assert(!known, "stream_starts_once", "%s at %s", id, e.id)
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

// step makes the next frame.
func (e *engine) nextFrame(s *stream) {
	if e.down || s.ended {
		return
	}
	per := (s.length + maxFrames - 1) / maxFrames
	n := min(per, s.length-s.generated)
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

// deliver sends a frame over the present connection, with at most one fault.
func (e *engine) deliver(s *stream, f turmericshed.Frame) {
	if s.sink == nil {
		return
	}
	take := func(n *int) bool {
		if *n <= 0 {
			return false
		}
		*n--
		return true
	}
	sink := s.sink
	other, crossing := e.matchingRecentFrame(f)
	e.recentFrames = append(e.recentFrames, f)
	if len(e.recentFrames) > recentFrameLimit {
		e.recentFrames = e.recentFrames[1:]
	}
	switch {
	case crossing && take(&e.misrouteNext):
		sink(other)
		sink(f)
	case take(&e.duplicateNext):
		sink(f)
		sink(f)
	case take(&e.dropNext):
	case take(&e.delayNext):
		e.w.schedule(frameInterval*3, func() { sink(f) })
	default:
		sink(f)
	}
}

// crossing returns a frame of another stream that could pass for f.
func (e *engine) matchingRecentFrame(f turmericshed.Frame) (turmericshed.Frame, bool) {
	for _, o := range e.recentFrames {
		if o.Stream != f.Stream && o.Seq == f.Seq && o.End == f.End {
			return o, true
		}
	}
	return turmericshed.Frame{}, false
}

// resume sends the frames from seq on over a new connection.
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

// cancel ends a generation and returns what it consumed.
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

// crash takes the engine away for good; another one replaces it.
func (e *engine) crash() {
	if e.down {
		return
	}
	e.down = true
	e.w.markDisturbed(10 * time.Second)
	e.w.schedule(e.w.between(2*time.Second, 10*time.Second), e.replace)
}

// leave makes the engine refuse new work, and replaces it later.
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
