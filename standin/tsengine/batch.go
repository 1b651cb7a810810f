package tsengine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/io/tsbackend"
)

// maxRetainedStreams bounds the streams retained for resume and cancel. Streams
// that have not ended are retained beyond it.
const maxRetainedStreams = 20000

// generation is the engine's state of one stream.
type generation struct {
	id           turmericshed.StreamID
	model        turmericshed.Model
	messages     []turmericshed.Message
	answer       answer
	promptTokens turmericshed.Tokens
	priority     int
	// arrival is the order of arrival, from 1; 0 if the stream was canceled
	// before it arrived.
	arrival int
	// prefillLeft is the remaining time to compute the prompt.
	prefillLeft time.Duration
	generated   turmericshed.Tokens
	frames      []turmericshed.Frame
	ended       bool
	canceled    bool
	// changed is closed when there is a new frame or the generation ends.
	changed chan struct{}
}

// usage returns the tokens that the generation has consumed so far.
func (g *generation) usage() turmericshed.Usage {
	if g.arrival == 0 {
		return turmericshed.Usage{}
	}
	return turmericshed.Usage{Prompt: g.promptTokens, Completion: g.generated}
}

// batch is the continuous batch of one engine. In each step, every running
// generation either computes a part of its prompt or generates tokens.
type batch struct {
	opts  Options
	books *Books

	mu      sync.Mutex
	streams map[turmericshed.StreamID]*generation
	// retained holds the keys of streams, oldest first.
	retained    []turmericshed.StreamID
	queue       []*generation
	running     []*generation
	lastArrival int
	cache       *prefixCache
	// loads holds samples of the load, oldest first.
	loads []turmericshed.LoadReport
	// tokensPerSecond is a moving average of the generation rate.
	tokensPerSecond float64
	lastStep        time.Time
}

func newBatch(o Options, books *Books) *batch {
	return &batch{opts: o, books: books, streams: map[turmericshed.StreamID]*generation{}, cache: newPrefixCache(o.CacheTokens)}
}

// add queues a generation by priority, then order of arrival. It refuses a stream
// that was canceled before it arrived with CodeBarred, a stream ID that is in use
// with CodeDuplicate, and any stream with CodeBusy if the queue is full.
func (b *batch) add(r turmericshed.GenerateRequest) (g *generation, code string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.streams[r.Stream]; ok {
		if old.arrival == 0 {
			return nil, tsbackend.CodeStreamBlocked
		}
		return nil, tsbackend.CodeDuplicateStream
	}
	if len(b.queue) >= b.opts.MaxQueued {
		return nil, tsbackend.CodeBusy
	}
	b.lastArrival++
	g = &generation{
		id: r.Stream, model: r.Model, messages: r.Messages, answer: answerTo(r.Messages, r.MaxTokens),
		promptTokens: CountTokens(r.Messages), priority: r.Priority, arrival: b.lastArrival, changed: make(chan struct{}),
	}
	b.retain(g)
	b.queue = append(b.queue, g)
	slices.SortStableFunc(b.queue, func(x, y *generation) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(x.arrival, y.arrival))
	})
	return g, ""
}

// retain stores g and discards the oldest generations above maxRetainedStreams,
// up to the first that has not ended.
func (b *batch) retain(g *generation) {
	b.streams[g.id] = g
	b.retained = append(b.retained, g.id)
	for len(b.retained) > maxRetainedStreams && b.streams[b.retained[0]].ended {
		delete(b.streams, b.retained[0])
		b.retained = b.retained[1:]
	}
}

// find returns the generation of a stream that arrived.
func (b *batch) find(id turmericshed.StreamID) (*generation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g, ok := b.streams[id]
	return g, ok && g.arrival > 0
}

// cancel ends a generation and returns its final usage, which is zero for a
// queued generation. If the stream has not arrived yet, cancel blocks its ID, so
// that add refuses it later.
func (b *batch) cancel(id turmericshed.StreamID) turmericshed.Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	g, ok := b.streams[id]
	if !ok {
		b.retain(&generation{id: id, ended: true, canceled: true, changed: make(chan struct{})})
		return turmericshed.Usage{}
	}
	if !g.ended {
		g.canceled = true
		if i := slices.Index(b.queue, g); i >= 0 {
			b.queue = slices.Delete(b.queue, i, i+1)
			g.promptTokens = 0
		}
		b.end(g)
	}
	return g.usage()
}

// end removes g from the running generations and wakes its readers.
func (b *batch) end(g *generation) {
	g.ended = true
	if i := slices.Index(b.running, g); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
	}
	g.wakeReaders()
}

func (g *generation) wakeReaders() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// step advances the batch to now: it fills free slots from the queue, computes
// prompts and generates tokens.
func (b *batch) step(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := b.opts.StepInterval
	if !b.lastStep.IsZero() {
		elapsed = now.Sub(b.lastStep)
	}
	b.lastStep = now
	for len(b.running) < b.opts.Slots && len(b.queue) > 0 {
		g := b.queue[0]
		b.queue = b.queue[1:]
		cached := b.cache.lookupAndStore(now, g.messages)
		g.prefillLeft = time.Duration(float64(g.promptTokens-cached) / b.opts.PrefillTokensPerSecond * float64(time.Second))
		b.books.start(g.id, g.promptTokens)
		b.running = append(b.running, g)
	}
	var generated turmericshed.Tokens
	for _, g := range slices.Clone(b.running) {
		if g.prefillLeft > 0 {
			g.prefillLeft -= elapsed
			continue
		}
		generated += b.generateTokens(g)
	}
	if elapsed > 0 {
		b.tokensPerSecond += (float64(generated)/elapsed.Seconds() - b.tokensPerSecond) * 0.1
	}
	b.sampleLoad(now)
}

// generateTokens appends a frame with the next tokens of g, and the end frame
// after the last one. It returns the number of tokens.
func (b *batch) generateTokens(g *generation) turmericshed.Tokens {
	n := min(b.opts.TokensPerStep, g.answer.length-g.generated)
	b.books.generate(g.id, n)
	f := turmericshed.Frame{Stream: g.id, Seq: len(g.frames), Text: g.answer.text(g.generated, g.generated+n), Tokens: n}
	g.generated += n
	g.frames = append(g.frames, f)
	if g.generated >= g.answer.length {
		g.frames = append(g.frames, turmericshed.Frame{
			Stream: g.id, Seq: len(g.frames), End: true, Finish: g.answer.finish, Usage: g.usage(),
		})
		b.end(g)
		return n
	}
	g.wakeReaders()
	return n
}

// sampleLoad records the load once per loadInterval and discards the samples
// that load no longer returns.
func (b *batch) sampleLoad(now time.Time) {
	if n := len(b.loads); n > 0 && now.Sub(b.loads[n-1].At) < loadInterval {
		return
	}
	b.loads = append(b.loads, turmericshed.LoadReport{At: now, Running: len(b.running), Queued: len(b.queue), TokensPerSecond: b.tokensPerSecond})
	if visible := now.Add(-b.opts.LoadLag); len(b.loads) > 1 && !b.loads[1].At.After(visible) {
		b.loads = slices.Clone(b.loads[1:])
	}
}

// load returns the newest sample that is at least LoadLag old.
func (b *batch) load(now time.Time) turmericshed.LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := turmericshed.LoadReport{At: now.Add(-b.opts.LoadLag)}
	for _, l := range b.loads {
		if !l.At.After(now.Add(-b.opts.LoadLag)) {
			r = l
		}
	}
	return r
}

// framesFrom returns the frames from seq on, whether the generation has ended
// or was canceled, and a channel that is closed at its next change.
func (b *batch) framesFrom(g *generation, seq int) (frames []turmericshed.Frame, ended, canceled bool, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if seq < len(g.frames) {
		frames = g.frames[seq:len(g.frames):len(g.frames)]
	}
	return frames, g.ended, g.canceled, g.changed
}

// otherFrame returns the first frame of the most recent other generation that
// has one, for Faults.Crossed.
func (b *batch) otherFrame(g *generation) (turmericshed.Frame, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range slices.Backward(b.retained) {
		if o := b.streams[id]; o != g && len(o.frames) > 0 {
			return o.frames[0], true
		}
	}
	return turmericshed.Frame{}, false
}

// cacheEvents returns the cache events after seq that occurred until the given
// time.
func (b *batch) cacheEvents(seq uint64, until time.Time) []tsbackend.CacheEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cache.eventsSince(seq, until)
}
