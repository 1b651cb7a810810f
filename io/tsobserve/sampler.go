package tsobserve

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// linesPerSecond bounds the lines of one kind: several times what an entry VM
// logs of requests at its usual load.
const linesPerSecond = 100

// kindKey is the attribute that tells the kind of an error.
const kindKey = "kind"

// leftOutKey tells, on a line, how many of its kind were left out before it.
const leftOutKey = "left_out"

// sampler bounds the lines of each kind, which is the message and the kind of
// its error. The first lines of each second are written; the next line that is
// written tells how many were left out.
type sampler struct {
	slog.Handler
	seen *seenKinds
}

// seenKinds counts lines by kind; handlers with other attributes share it.
type seenKinds struct {
	mu    sync.Mutex
	kinds map[lineKind]*kindCount
}

type lineKind struct{ message, kind string }

type kindCount struct {
	// second is the second of the clock that lines count for.
	second  int64
	lines   int
	leftOut int
}

func newSampler(h slog.Handler) slog.Handler {
	return sampler{Handler: h, seen: &seenKinds{kinds: make(map[lineKind]*kindCount)}}
}

// Handle writes the line, or counts it as left out.
func (s sampler) Handle(ctx context.Context, r slog.Record) error {
	kind := lineKind{message: r.Message}
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == kindKey {
			kind.kind = a.Value.String()
			return false
		}
		return true
	})
	write, leftOut := s.seen.count(kind, r.Time)
	if !write {
		return nil
	}
	if leftOut > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int(leftOutKey, leftOut))
	}
	return s.Handler.Handle(ctx, r)
}

// WithAttrs shares the counts.
func (s sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return sampler{Handler: s.Handler.WithAttrs(attrs), seen: s.seen}
}

// WithGroup shares the counts.
func (s sampler) WithGroup(name string) slog.Handler {
	return sampler{Handler: s.Handler.WithGroup(name), seen: s.seen}
}

// count reports whether a line is written, and how many were left out before.
func (k *seenKinds) count(kind lineKind, at time.Time) (write bool, leftOut int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.kinds[kind]
	if c == nil {
		c = &kindCount{}
		k.kinds[kind] = c
	}
	if second := at.Unix(); second != c.second {
		c.second, c.lines = second, 0
	}
	c.lines++
	if c.lines > linesPerSecond {
		c.leftOut++
		return false, 0
	}
	leftOut, c.leftOut = c.leftOut, 0
	return true, leftOut
}
