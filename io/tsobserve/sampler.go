package tsobserve

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// maxLinesPerSecond bounds the log lines of one kind. It is several times the rate at
// which an entry VM logs requests at its usual load.
const maxLinesPerSecond = 100

// kindKey is the attribute with the kind of an error, statusKey the one with the status of an
// answer: a line of an answer that was cut off is not suppressed because of refusals of the same
// kind.
const (
	kindKey   = "kind"
	statusKey = "status"
)

// suppressedKey is the attribute with the number of lines of the same kind that were
// suppressed since the previous one.
const suppressedKey = "left_out"

// sampler limits the rate of log lines of each kind; a kind is a message together with
// the kind of its error and the status of the answer. The first lines of each second are written, and the next
// written line reports how many were suppressed.
type sampler struct {
	slog.Handler
	counts *kindCounts
}

// kindCounts counts lines by kind. Handlers derived by WithAttrs and WithGroup share it.
type kindCounts struct {
	mu    sync.Mutex
	kinds map[lineKind]*kindCount
}

type lineKind struct{ message, kind, status string }

type kindCount struct {
	// second is the Unix time in seconds to which lines applies.
	second     int64
	lines      int
	suppressed int
}

func newSampler(h slog.Handler) slog.Handler {
	return sampler{Handler: h, counts: &kindCounts{kinds: make(map[lineKind]*kindCount)}}
}

// Handle writes the line, or counts it as suppressed.
func (s sampler) Handle(ctx context.Context, r slog.Record) error {
	kind := lineKind{message: r.Message}
	r.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case kindKey:
			kind.kind = a.Value.String()
		case statusKey:
			kind.status = a.Value.String()
		}
		return kind.kind == "" || kind.status == ""
	})
	isWritten, suppressed := s.counts.count(kind, r.Time)
	if !isWritten {
		return nil
	}
	if suppressed > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int(suppressedKey, suppressed))
	}
	return s.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler that shares the counts.
func (s sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return sampler{Handler: s.Handler.WithAttrs(attrs), counts: s.counts}
}

// WithGroup returns a handler that shares the counts.
func (s sampler) WithGroup(name string) slog.Handler {
	return sampler{Handler: s.Handler.WithGroup(name), counts: s.counts}
}

// count counts a line. It reports whether the line is written and, if so, how many lines
// of the kind were suppressed before it.
func (k *kindCounts) count(kind lineKind, at time.Time) (isWritten bool, suppressed int) {
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
	suppressed, c.suppressed = c.suppressed, 0
	return true, suppressed
}
