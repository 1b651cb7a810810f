package tsentry

import (
	"context"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/core/tsdedupe"
)

// orphanGrace is how long a generation with an idempotency key continues after its last caller
// disconnected, so that a retry can join it.
const orphanGrace = 3 * time.Second

// answer buffers the frames of one generation while it runs. Each caller reads it from the first frame at
// its own speed; the generation never waits for a caller.
type answer struct {
	request        turmericshed.RequestID
	idempotencyKey string
	startedAt      time.Time
	ctx            context.Context
	cancel         context.CancelFunc

	// mu is the mutex of the generationTable, which also reads the streams.
	mu      *sync.Mutex
	stream  *tsdedupe.Stream[*answer]
	changed chan struct{}
	readers int
}

// append adds the next frame and wakes all readers.
func (a *answer) append(f turmericshed.Frame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stream.Append(time.Now(), f)
	a.wake()
}

// fail ends the answer with an error, unless it is already complete.
func (a *answer) fail(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	turmericshed.Assert(err != nil, "failure_has_reason", "request %s", a.request)
	a.stream.Fail(time.Now(), err)
	a.wake()
}

func (a *answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// setSource stores the server and stream of the generation, so that readers can resume it.
func (a *answer) setSource(server turmericshed.BackendServer, id turmericshed.StreamID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stream.Server, a.stream.ID = server, id
}

// frameCount returns the number of frames received so far.
func (a *answer) frameCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stream.Len()
}

// read returns the frame at a position, whether there is one, and a channel that is closed at the next
// change of the answer.
func (a *answer) read(pos int) (turmericshed.Frame, tsdedupe.ReadState, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f, state := a.stream.Read(pos)
	return f, state, a.changed
}

// reader is one caller's read position in an answer.
type reader struct {
	engine turmericshed.Engine
	a      *answer
	pos    int
	// engineStream is set once the reader's next frame has been dropped from the buffer; the reader then
	// reads directly from the engine.
	engineStream turmericshed.TokenStream
}

func (e *Entry) newReader(a *answer, pos int) *reader {
	return &reader{engine: e.deps.Engine, a: a, pos: pos}
}

// hasNext reports whether next returns without blocking. It is false for a reader of an engine stream.
func (r *reader) hasNext() bool {
	if r.engineStream != nil {
		return false
	}
	_, state, _ := r.a.read(r.pos)
	return state != tsdedupe.ReadWait
}

// next waits for the next frame of the answer and returns it. After the last frame of a failed answer it
// returns the answer's error.
func (r *reader) next(ctx context.Context) (turmericshed.Frame, error) {
	for r.engineStream == nil {
		f, state, changed := r.a.read(r.pos)
		switch state {
		case tsdedupe.ReadFrame:
			r.pos++
			return f, nil
		case tsdedupe.ReadBehind:
			if err := r.resumeFromEngine(ctx); err != nil {
				return turmericshed.Frame{}, err
			}
		case tsdedupe.ReadWait:
			select {
			case <-changed:
			case <-ctx.Done():
				return turmericshed.Frame{}, turmericshed.WithOutcome(contextError(ctx), turmericshed.OutcomeUnknown)
			}
		default:
			return turmericshed.Frame{}, r.a.err()
		}
	}
	return r.nextFromEngine()
}

// err returns why the answer failed.
func (a *answer) err() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	turmericshed.Assert(a.stream.Err() != nil, "read_past_end", "request %s", a.request)
	return a.stream.Err()
}

// resumeFromEngine opens the engine's stream at the reader's position.
func (r *reader) resumeFromEngine(ctx context.Context) error {
	r.a.mu.Lock()
	server, id := r.a.stream.Server, r.a.stream.ID
	r.a.mu.Unlock()
	ts, err := r.engine.Resume(ctx, server, id, r.pos)
	if err != nil {
		return turmericshed.WrapError(turmericshed.KindStreamBroken, err, "the caller reads too slowly")
	}
	r.engineStream = ts
	return nil
}

// nextFromEngine returns the next frame of the engine's stream, after a check of its stream ID and
// sequence number.
func (r *reader) nextFromEngine() (turmericshed.Frame, error) {
	f, err := r.engineStream.Next()
	if err != nil {
		return f, turmericshed.WrapError(turmericshed.KindStreamBroken, err, "the caller reads too slowly")
	}
	if f.Stream != r.a.stream.ID || f.Seq != r.pos {
		return f, turmericshed.NewError(turmericshed.KindStreamBroken, "a frame is missing")
	}
	r.pos++
	return f, nil
}

// close releases the reader's engine stream, if any.
func (r *reader) close() {
	if r.engineStream != nil {
		_ = r.engineStream.Close()
	}
}

// generationTable holds the generations of this process that have an idempotency key, so that retries can
// join them.
type generationTable struct {
	base context.Context

	mu    sync.Mutex
	table *tsdedupe.Table[*answer]
}

func newGenerationTable(base context.Context) *generationTable {
	return &generationTable{base: base, table: tsdedupe.NewTable[*answer]()}
}

// joinOrStart returns the answer of the generation for req; joined is true if the generation already
// existed. Errors: KindKeyReused (the key was used with another body).
func (r *generationTable) joinOrStart(req request) (a *answer, joined bool, err error) {
	if req.idempotencyKey == "" {
		return r.newAnswer(req, &tsdedupe.Stream[*answer]{}), false, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s, joined, err := r.table.Join(time.Now(), req.account, req.idempotencyKey, req.digest)
	if err != nil {
		return nil, false, err
	}
	if joined {
		s.Handle.readers++
		return s.Handle, true, nil
	}
	return r.newAnswer(req, s), false, nil
}

// find joins the local generation of a key and body, if there is one that has not failed.
func (r *generationTable) find(k tsdedupe.Key, digest turmericshed.Digest) (*answer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.table.Find(k.Account, k.Request, digest)
	if !ok {
		return nil, false
	}
	s.Handle.readers++
	return s.Handle, true
}

func (r *generationTable) newAnswer(req request, s *tsdedupe.Stream[*answer]) *answer {
	ctx, cancel := context.WithDeadline(r.base, req.deadline)
	s.Handle = &answer{
		request: req.id, idempotencyKey: req.idempotencyKey, startedAt: time.Now(), ctx: ctx, cancel: cancel,
		mu: &r.mu, stream: s, changed: make(chan struct{}), readers: 1,
	}
	return s.Handle
}

// releaseReader removes a reader. When the last reader is gone, a running generation is canceled:
// immediately without an idempotency key, otherwise after orphanGrace.
func (a *answer) releaseReader() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	if a.readers > 0 || a.stream.Ended() {
		return
	}
	if a.idempotencyKey == "" {
		a.cancel()
		return
	}
	time.AfterFunc(orphanGrace, a.cancelIfOrphan)
}

func (a *answer) cancelIfOrphan() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.readers == 0 && !a.stream.Ended() {
		a.cancel()
	}
}
