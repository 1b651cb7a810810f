package tsobserve

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// linesPerSecond bounds the lines of one kind: several times what an entry VM
// logs of requests at its usual load.
const maxLinesPerSecond = 100

// kindKey is the attribute that tells the kind of an error.
const kindKey = "kind"

// leftOutKey tells, on a line, how many of its kind were left out before it.
const suppressedKey = "left_out"

// sampler bounds the lines of each kind, which is the message and the kind of
// its error. The first lines of each second are written; the next line that is
// written tells how many were left out.
type sampler struct {
	slog.Handler
	counts *kindCounts
}

// seenKinds counts lines by kind; handlers with other attributes share it.
type kindCounts struct {
	mu    sync.Mutex
	kinds map[lineKind]*kindCount
}

type lineKind struct{ message, kind string }

type kindCount struct {
	// second is the second of the clock that lines count for.
	second     int64
	lines      int
	suppressed int
}

func newSampler(h slog.Handler) slog.Handler {
	return sampler{Handler: h, counts: &kindCounts{kinds: make(map[lineKind]*kindCount)}}
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
	write, leftOut := s.counts.count(kind, r.Time)
	if !write {
		return nil
	}
	if leftOut > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int(suppressedKey, leftOut))
	}
	return s.Handler.Handle(ctx, r)
}

// WithAttrs shares the counts.
func (s sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return sampler{Handler: s.Handler.WithAttrs(attrs), counts: s.counts}
}

// WithGroup shares the counts.
func (s sampler) WithGroup(name string) slog.Handler {
	return sampler{Handler: s.Handler.WithGroup(name), counts: s.counts}
}

// count reports whether a line is written, and how many were left out before.
func (k *kindCounts) count(kind lineKind, at time.Time) (write bool, leftOut int) {
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
	if c.lines > maxLinesPerSecond {
		c.suppressed++
		return false, 0
	}
	leftOut, c.suppressed = c.suppressed, 0
	return true, leftOut
}
