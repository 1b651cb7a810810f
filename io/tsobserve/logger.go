package tsobserve

import (
	"context"
	"io"
	"log/slog"
)

// LogFormat is the form of the log.
type LogFormat string

// The log formats.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// NewLogger returns a logger that writes to w.
func NewLogger(w io.Writer, format LogFormat, level slog.Leveler) *slog.Logger {
	opts := &slog.HandlerOptions{Level: level}
	if format == LogJSON {
		return slog.New(newSampler(slog.NewJSONHandler(w, opts)))
	}
	return slog.New(newSampler(slog.NewTextHandler(w, opts)))
}

// Part returns a logger whose messages start with the name of one part of the
// program and a colon.
func Part(l *slog.Logger, name string) *slog.Logger {
	return slog.New(partHandler{Handler: l.Handler(), prefix: name + ": "})
}

// partHandler puts a fixed prefix before each message.
type partHandler struct {
	slog.Handler
	prefix string
}

// Handle passes the record on with the prefix.
func (h partHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Message = h.prefix + r.Message
	return h.Handler.Handle(ctx, r)
}

// WithAttrs keeps the prefix.
func (h partHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return partHandler{Handler: h.Handler.WithAttrs(attrs), prefix: h.prefix}
}

// WithGroup keeps the prefix.
func (h partHandler) WithGroup(name string) slog.Handler {
	return partHandler{Handler: h.Handler.WithGroup(name), prefix: h.prefix}
}
