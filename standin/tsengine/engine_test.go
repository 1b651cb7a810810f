package tsengine_test

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsbackend"
	"turmericshed/standin/tsengine"
	"turmericshed/standin/tsnode"
)

const (
	model    = turmericshed.Model("m1")
	deadline = 20 * time.Second
)

// serve runs an engine on a loopback port and returns it with a client. Its steps
// take 1 ms unless o sets StepInterval.
func serve(t *testing.T, o tsengine.Options) (*tsengine.Engine, *tsbackend.Engine) {
	t.Helper()
	o.Node.Server = turmericshed.BackendServer{
		ID: "e1", Addr: netip.MustParseAddrPort("127.0.0.1:0"), Models: []turmericshed.Model{model},
	}
	if o.StepInterval == 0 {
		o.StepInterval = time.Millisecond
	}
	e, err := tsengine.Listen(o)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Serve(ctx)
	}()
	c := tsbackend.NewEngine(tsbackend.Options{})
	t.Cleanup(func() { c.Close(); cancel(); <-done })
	return e, c
}

func request(id, prompt string, maxTokens turmericshed.Tokens) turmericshed.GenerateRequest {
	return turmericshed.GenerateRequest{
		Stream: turmericshed.StreamID(id), Model: model, MaxTokens: maxTokens,
		Messages: []turmericshed.Message{{Role: "user", Content: prompt}},
	}
}

func assertKind(t *testing.T, err error, k turmericshed.Kind) {
	t.Helper()
	assert.Equal(t, turmericshed.KindOf(err), k, "%v", err)
}

// read returns the frames of a stream and the error at its end, io.EOF for a
// complete stream.
func read(s turmericshed.TokenStream) ([]turmericshed.Frame, error) {
	defer func() { _ = s.Close() }()
	var frames []turmericshed.Frame
	for {
		f, err := s.Next()
		if err != nil {
			return frames, err
		}
		frames = append(frames, f)
	}
}

// assertComplete checks that frames are the complete answer to r, in order, and
// returns its usage.
func assertComplete(t *testing.T, r turmericshed.GenerateRequest, frames []turmericshed.Frame, err error) turmericshed.Usage {
	t.Helper()
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	want, usage := tsengine.ExpectedAnswer(r.Messages, r.MaxTokens)
	var text strings.Builder
	for i, f := range frames {
		assert.Equal(t, f.Seq, i)
		assert.Equal(t, f.Stream, r.Stream)
		text.WriteString(f.Text)
	}
	last := frames[len(frames)-1]
	assert.Assert(t, last.End)
	assert.Equal(t, last.Usage, usage)
	assert.Equal(t, text.String(), want)
	return usage
}

// generate runs r and returns all its frames and the error at the end of the
// stream.
func generate(t *testing.T, c *tsbackend.Engine, s turmericshed.BackendServer, r turmericshed.GenerateRequest) ([]turmericshed.Frame, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	stream, err := c.Generate(ctx, s, r)
	if err != nil {
		return nil, err
	}
	return read(stream)
}

func TestGenerate(t *testing.T) {
	e, c := serve(t, tsengine.Options{})
	t.Run("an answer is whole and booked once", func(t *testing.T) {
		r := request("s1", "how do I mend a rib", 40)
		frames, err := generate(t, c, e.Server(), r)
		usage := assertComplete(t, r, frames, err)
		assert.DeepEqual(t, e.Books()["s1"], tsengine.Book{Prompt: usage.Prompt, Completion: usage.Completion, Starts: 1})
	})
	t.Run("a stream ID starts once", func(t *testing.T) {
		_, err := generate(t, c, e.Server(), request("s1", "again", 5))
		assertKind(t, err, turmericshed.KindStreamBroken)
		assert.Equal(t, e.Books()["s1"].Starts, 1)
	})
	t.Run("the prompt count is exact", func(t *testing.T) {
		m := []turmericshed.Message{{Role: "user", Content: "12345"}}
		n, err := c.CountTokens(t.Context(), e.Server(), model, m)
		assert.NilError(t, err)
		assert.Equal(t, n, turmericshed.Tokens(3+4+2))
	})
	t.Run("a bad request starts nothing", func(t *testing.T) {
		r := request("s2", "x", 0)
		_, err := generate(t, c, e.Server(), r)
		assertKind(t, err, turmericshed.KindBadRequest)
		r = request("s2", "x", 1)
		r.Model = "other"
		_, err = generate(t, c, e.Server(), r)
		assertKind(t, err, turmericshed.KindBadRequest)
	})
	t.Run("a server that was replaced is not asked", func(t *testing.T) {
		s := e.Server()
		s.ID = "e0"
		_, err := generate(t, c, s, request("s3", "x", 1))
		assertKind(t, err, turmericshed.KindNoBackend)
		_, err = c.Cancel(t.Context(), s, "s1")
		assertKind(t, err, turmericshed.KindNoBackend)
	})
}

func TestResumeAndCancel(t *testing.T) {
	e, c := serve(t, tsengine.Options{})
	t.Run("a broken stream goes on and is resumed", func(t *testing.T) {
		r := request("r1", "resume me", 60)
		e.ChangeFaults(func(f *tsengine.Faults) { f.EarlyClose = 1 })
		frames, err := generate(t, c, e.Server(), r)
		assertKind(t, err, turmericshed.KindStreamBroken)
		s, err := c.Resume(t.Context(), e.Server(), r.Stream, len(frames))
		assert.NilError(t, err)
		resumed, err := read(s)
		assertComplete(t, r, append(frames, resumed...), err)
		assert.Equal(t, e.Books()["r1"].Starts, 1)
	})
	t.Run("a canceled stream reports what it consumed", func(t *testing.T) {
		slowEngine, c := serve(t, tsengine.Options{StepInterval: 20 * time.Millisecond})
		r := request("c1", "cancel me 3", 96)
		s, err := c.Generate(t.Context(), slowEngine.Server(), r)
		assert.NilError(t, err)
		_, err = s.Next()
		assert.NilError(t, err)
		usage, err := c.Cancel(t.Context(), slowEngine.Server(), r.Stream)
		assert.NilError(t, err)
		book := slowEngine.Books()["c1"]
		assert.DeepEqual(t, usage, turmericshed.Usage{Prompt: book.Prompt, Completion: book.Completion})
	})
	t.Run("a stream never seen is barred", func(t *testing.T) {
		usage, err := c.Cancel(t.Context(), e.Server(), "c2")
		assert.NilError(t, err)
		assert.Equal(t, usage, turmericshed.Usage{})
		_, err = generate(t, c, e.Server(), request("c2", "x", 5))
		assertKind(t, err, turmericshed.KindBackendRefused)
		assert.Equal(t, e.Books()["c2"].Starts, 0)
	})
	t.Run("an unknown stream can't be resumed", func(t *testing.T) {
		_, err := c.Resume(t.Context(), e.Server(), "none", 0)
		assertKind(t, err, turmericshed.KindNotFound)
	})
}

func TestOutputFaults(t *testing.T) {
	e, c := serve(t, tsengine.Options{})
	_, err := generate(t, c, e.Server(), request("first", "first", 5))
	assert.Assert(t, errors.Is(err, io.EOF))
	generateWith := func(t *testing.T, id string, change func(f *tsengine.Faults)) ([]turmericshed.Frame, error) {
		e.ChangeFaults(change)
		frames, err := generate(t, c, e.Server(), request(id, "a prompt with a long answer", 9))
		assert.Assert(t, len(frames) > 0)
		return frames, err
	}
	t.Run("crossed", func(t *testing.T) {
		frames, _ := generateWith(t, "f1", func(f *tsengine.Faults) { f.Crossed = 1 })
		assert.Equal(t, frames[1].Stream, turmericshed.StreamID("first"))
		assert.Equal(t, frames[2].Seq, 1)
	})
	t.Run("late", func(t *testing.T) {
		frames, _ := generateWith(t, "f2", func(f *tsengine.Faults) { f.Late = 1 })
		assert.DeepEqual(t, []int{frames[1].Seq, frames[2].Seq}, []int{2, 1})
	})
	t.Run("doubled", func(t *testing.T) {
		frames, _ := generateWith(t, "f3", func(f *tsengine.Faults) { f.Duplicated = 1 })
		assert.DeepEqual(t, []int{frames[1].Seq, frames[2].Seq}, []int{1, 1})
	})
	t.Run("missing", func(t *testing.T) {
		frames, _ := generateWith(t, "f4", func(f *tsengine.Faults) { f.Missing = 1 })
		assert.Equal(t, frames[1].Seq, 2)
	})
	t.Run("the mark without the end", func(t *testing.T) {
		frames, err := generateWith(t, "f5", func(f *tsengine.Faults) { f.EarlyDone = 1 })
		assert.Assert(t, errors.Is(err, io.EOF))
		assert.Assert(t, !frames[len(frames)-1].End)
	})
}

func TestLeavingAndCrash(t *testing.T) {
	t.Run("a leaving server refuses new work", func(t *testing.T) {
		e, c := serve(t, tsengine.Options{})
		e.Leave(t.Context())
		_, err := generate(t, c, e.Server(), request("l1", "x", 5))
		assertKind(t, err, turmericshed.KindBackendRefused)
		assert.Assert(t, tsbackend.IsLeaving(err))
		l, err := c.Load(t.Context(), e.Server())
		assert.Assert(t, err == nil && l.Leaving)
	})
	t.Run("a marked request crashes the server", func(t *testing.T) {
		e, c := serve(t, tsengine.Options{})
		e.ChangeFaults(func(f *tsengine.Faults) { f.CrashMarker = "poison" })
		before := e.Server()
		_, err := generate(t, c, before, request("p1", "some poison", 5))
		assertKind(t, err, turmericshed.KindStreamBroken)
		assert.Equal(t, e.Crashes(), 1)
	})
	t.Run("a replacement has its own ID and books go on", func(t *testing.T) {
		e, c := serve(t, tsengine.Options{Node: tsnode.Options{RestartAfter: time.Millisecond}})
		before := e.Server()
		r := request("n1", "x", 9)
		_, err := generate(t, c, before, r)
		assert.Assert(t, errors.Is(err, io.EOF))
		e.Crash()
		for e.Server().ID == before.ID {
			time.Sleep(time.Millisecond)
		}
		_, err = c.Cancel(t.Context(), before, "n1")
		assertKind(t, err, turmericshed.KindNoBackend)
		assert.Equal(t, e.Books()["n1"].Starts, 1)
	})
}

func TestPrefixCache(t *testing.T) {
	e, c := serve(t, tsengine.Options{CacheTokens: 64})
	for _, id := range []string{"k1", "k2", "k3", "k4"} {
		_, err := generate(t, c, e.Server(), request(id, strings.Repeat(id, 40), 1))
		assert.Assert(t, errors.Is(err, io.EOF))
	}
	events, err := c.CacheEvents(t.Context(), e.Server(), 0)
	assert.NilError(t, err)
	evicted := 0
	for _, ev := range events {
		if ev.Evicted {
			evicted++
		}
	}
	assert.Assert(t, evicted > 0 && len(events) < 7+1, "%v", events)
}

func FuzzDecodeEvent(f *testing.F) {
	f.Add([]byte("[DONE]"))
	f.Add([]byte(`{"id":"s","seq":1,"tokens":1,"choices":[{"delta":{"content":"x"}}]}`))
	f.Add([]byte(`{"id":"s","seq":2,"choices":[{"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":2}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		fr, done, err := tsbackend.DecodeEvent(data)
		if err != nil {
			assertKind(t, err, turmericshed.KindStreamBroken)
			return
		}
		assert.Assert(t, fr.Seq >= 0 && fr.Tokens >= 0 && fr.Usage.Prompt >= 0 && fr.Usage.Completion >= 0)
		assert.Assert(t, !done || !fr.End)
	})
}

func FuzzDecodeRefusal(f *testing.F) {
	f.Add([]byte(`{"error":{"code":"leaving","message":"x"}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, ok := tsbackend.DecodeRefusal(b)
		assert.Equal(t, ok, d.Code != "")
	})
}
