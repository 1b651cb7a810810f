package tsobserve

import (
	"context"
	"io"
	"log/slog"
)

// LogFormat is the output format of the log.
type LogFormat string

// The log formats.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// NewLogger returns a logger that writes to w. It limits the number of lines per second
// of each kind, see sampler.
func NewLogger(w io.Writer, format LogFormat, level slog.Leveler) *slog.Logger {
	opts := &slog.HandlerOptions{Level: level}
	if format == LogJSON {
		return slog.New(newSampler(slog.NewJSONHandler(w, opts)))
	}
	return slog.New(newSampler(slog.NewTextHandler(w, opts)))
}

// WithPrefix returns a logger that prefixes each message with the name of a component and a
// colon.
func WithPrefix(l *slog.Logger, name string) *slog.Logger {
	return slog.New(partHandler{Handler: l.Handler(), prefix: name + ": "})
}

// partHandler adds a fixed prefix to each message.
type partHandler struct {
	slog.Handler
	prefix string
}

// Handle adds the prefix and passes the record to the wrapped handler.
func (h partHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Message = h.prefix + r.Message
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler with the same prefix.
func (h partHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return partHandler{Handler: h.Handler.WithAttrs(attrs), prefix: h.prefix}
}

// WithGroup returns a handler with the same prefix.
func (h partHandler) WithGroup(name string) slog.Handler {
	return partHandler{Handler: h.Handler.WithGroup(name), prefix: h.prefix}
}
