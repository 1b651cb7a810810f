// Package tsmirror keeps a process's view of a key prefix of the platform's
// store: a snapshot, then a watch, and both again after an outage.
//
// # Usage
//
//	m := tsmirror.New(tsmirror.Config{Store: store, Prefix: "servers/", View: view, Log: log})
//	supervisor.Add(m)
//	age := m.Age(time.Now())
package tsmirror

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"turmericshed"
	"turmericshed/io/tspause"
)

const (
	// retryDelay is the time between attempts to reach the store, jittered by
	// as much again: a few calls a second from each entry VM in an outage.
	retryDelay = 250 * time.Millisecond
)

// View takes what the mirror learns, in order, from one goroutine.
type View interface {
	// Reset replaces all that is known.
	Reset(items []turmericshed.Item)
	// Change is one write or deletion.
	Change(ev turmericshed.WatchEvent)
	// Lost tells that the store stopped answering.
	Lost(err error)
}

// Config holds what a Mirror needs.
type Config struct {
	Store  turmericshed.Source
	Prefix string
	View   View
	// Confirmed is told the time up to which all changes took effect in the
	// view; may be nil.
	Confirmed func(asOf time.Time)
	Log       *slog.Logger
}

// Mirror is a supervised controller.
type Mirror struct {
	cfg Config
	// asOf is the time up to which all changes took effect, since start; 0 for
	// none.
	asOf  atomic.Int64
	start time.Time
}

var _ turmericshed.Controller = (*Mirror)(nil)

// New returns a mirror that knows nothing.
func New(cfg Config) *Mirror { return &Mirror{cfg: cfg, start: time.Now()} }

// Age returns for how long changes may have been made that did not take effect
// in the view; the time since the start while nothing is known.
func (m *Mirror) Age(now time.Time) time.Duration {
	return now.Sub(m.start) - time.Duration(m.asOf.Load())
}

// Serve follows the prefix until ctx ends.
func (m *Mirror) Serve(ctx context.Context) error {
	reached := true
	for ctx.Err() == nil {
		err := m.follow(ctx, &reached)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			if reached {
				m.cfg.Log.Warn("store lost", "prefix", m.cfg.Prefix, "error", err.Error())
				m.cfg.View.Lost(err)
			}
			reached = false
			tspause.For(ctx, retryDelay+rand.N(retryDelay))
		}
	}
	return ctx.Err()
}

// follow takes a snapshot and watches from there until the watch fails or
// history is lost.
func (m *Mirror) follow(ctx context.Context, reached *bool) error {
	snap, err := m.cfg.Store.Snapshot(ctx, m.cfg.Prefix)
	if err != nil {
		return err
	}
	m.cfg.Log.Info("store read", "prefix", m.cfg.Prefix, "items", len(snap.Items), "version", uint64(snap.At),
		"age_ms", time.Since(snap.AsOf).Milliseconds(), "after_outage", !*reached)
	*reached = true
	m.cfg.View.Reset(snap.Items)
	m.confirm(snap.AsOf)
	w, err := m.cfg.Store.Watch(ctx, m.cfg.Prefix, snap.At)
	if err != nil {
		return err
	}
	defer func() { _ = w.Close() }()
	for {
		ev, err := w.Next(ctx)
		if err != nil {
			return err
		}
		switch {
		case ev.Reset:
			m.cfg.Log.Warn("store dropped its history", "prefix", m.cfg.Prefix)
			return nil
		case ev.Key != "":
			m.cfg.View.Change(ev)
		}
		m.confirm(ev.AsOf)
	}
}

// confirm notes that all changes until then took effect in the view.
func (m *Mirror) confirm(asOf time.Time) {
	if asOf.IsZero() {
		return
	}
	m.asOf.Store(max(m.asOf.Load(), int64(asOf.Sub(m.start))))
	if m.cfg.Confirmed != nil {
		m.cfg.Confirmed(asOf)
	}
}
