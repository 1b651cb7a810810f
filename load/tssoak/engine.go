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
	recentFrames = 16
	// framesAtMost bounds the frames of an answer.
	framesAtMost = 12
)

// errLeaving is the refusal of an engine that is going away.
var errLeaving = errors.New("leaving")

// engine is a model engine. Books are kept by the world, so that they outlive
// it.
type engine struct {
	w       *world
	index   int
	id      turmericshed.ServerID
	at      place
	down    bool
	leaving bool
	running int
	// limit is nil while the engine names none.
	limit   *limit
	barred  map[turmericshed.StreamID]bool
	streams map[turmericshed.StreamID]*stream
	// crossed, late, doubled and missing count the next such frames.
	crossed, late, doubled, missing int
	// recent are the last frames, which may cross into other streams.
	recent []turmericshed.Frame
}

// stream is one generation at an engine.
type stream struct {
	id       turmericshed.StreamID
	budget   turmericshed.BudgetID
	digest   turmericshed.Digest
	prompt   turmericshed.Tokens
	length   turmericshed.Tokens
	made     turmericshed.Tokens
	frames   []turmericshed.Frame
	ended    bool
	canceled bool
	// sink takes frames on the present connection; nil when there is none.
	sink func(f turmericshed.Frame)
}

// newEngine starts an engine in place of the one with the index.
func (w *world) newEngine(index int) *engine {
	e := &engine{
		w: w, index: index, id: turmericshed.ServerID(w.id("engine-")), at: domainA + place(index)%(places-domainA),
		barred: map[turmericshed.StreamID]bool{}, streams: map[turmericshed.StreamID]*stream{},
	}
	w.byID[e.id] = e
	w.directory.AddServer(turmericshed.BackendServer{
		ID: e.id, FailureDomain: turmericshed.FailureDomain(e.at.String()), Work: turmericshed.WorkAssistant,
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
func lengthOf(d turmericshed.Digest) turmericshed.Tokens {
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
	if e.barred[id] {
		return turmericshed.NewError(turmericshed.KindBackendRefused, "%s has barred %s", e.id, id)
	}
	if g.req.poison {
		e.w.books.poisoned[g.req.digest]++
		e.w.logf("%s crashes on %s", e.id, g.req.digest)
		e.crash()
		return turmericshed.NewError(turmericshed.KindStreamBroken, "%s crashed", e.id)
	}
	_, known := e.streams[id]
	turmericshed.Assert(!known, "stream_starts_once", "%s at %s", id, e.id)
	s := &stream{
		id: id, budget: g.p.Budget, digest: g.req.digest, prompt: g.req.prompt,
		length: min(lengthOf(g.req.digest), g.req.maxTokens), sink: sink,
	}
	e.streams[id] = s
	e.running++
	e.w.books.consume(e.w, s.budget, id, s.prompt)
	e.w.at(e.w.jitter(frameInterval), func() { e.step(s) })
	return nil
}

// step makes the next frame.
func (e *engine) step(s *stream) {
	if e.down || s.ended {
		return
	}
	per := (s.length + framesAtMost - 1) / framesAtMost
	n := min(per, s.length-s.made)
	e.w.books.consume(e.w, s.budget, s.id, n)
	f := turmericshed.Frame{Stream: s.id, Seq: len(s.frames), Text: fmt.Sprintf("%s.%d ", s.digest, len(s.frames)), Tokens: n}
	s.made += n
	s.frames = append(s.frames, f)
	e.deliver(s, f)
	if s.made >= s.length {
		end := turmericshed.Frame{
			Stream: s.id, Seq: len(s.frames), End: true, Finish: "stop",
			Usage: turmericshed.Usage{Prompt: s.prompt, Completion: s.made},
		}
		s.frames = append(s.frames, end)
		s.ended = true
		e.running--
		e.deliver(s, end)
		return
	}
	e.w.at(e.w.jitter(frameInterval), func() { e.step(s) })
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
	other, crossing := e.crossing(f)
	e.recent = append(e.recent, f)
	if len(e.recent) > recentFrames {
		e.recent = e.recent[1:]
	}
	switch {
	case crossing && take(&e.crossed):
		sink(other)
		sink(f)
	case take(&e.doubled):
		sink(f)
		sink(f)
	case take(&e.missing):
	case take(&e.late):
		e.w.at(frameInterval*3, func() { sink(f) })
	default:
		sink(f)
	}
}

// crossing returns a frame of another stream that could pass for f.
func (e *engine) crossing(f turmericshed.Frame) (turmericshed.Frame, bool) {
	for _, o := range e.recent {
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
		e.barred[id] = true
		return turmericshed.Usage{}
	}
	if !s.ended {
		e.running--
	}
	s.ended, s.canceled = true, true
	return turmericshed.Usage{Prompt: s.prompt, Completion: s.made}
}

// crash takes the engine away for good; another one replaces it.
func (e *engine) crash() {
	if e.down {
		return
	}
	e.down = true
	e.w.disturb(10 * time.Second)
	e.w.at(e.w.between(2*time.Second, 10*time.Second), e.replace)
}

// leave makes the engine refuse new work, and replaces it later.
func (e *engine) leave() {
	if e.down || e.leaving {
		return
	}
	e.leaving = true
	e.w.logf("%s leaves", e.id)
	e.w.directory.LeaveServer(e.id)
	e.w.at(15*time.Second, func() {
		if !e.down {
			e.down = true
			e.replace()
		}
	})
}
