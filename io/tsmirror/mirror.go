// Package tsmirror maintains a process's view of a key prefix in the platform's
// store. It reads a snapshot, then watches from there, and starts over after an
// outage.
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
	// retryDelay is the delay between attempts to reach the store, to which a
	// jitter of up to the same length is added. In an outage each entry VM thus
	// makes a few calls a second.
	retryDelay = 250 * time.Millisecond
)

// View receives the store's contents and changes, in order, from one goroutine.
type View interface {
	// Reset replaces all items.
	Reset(items []turmericshed.Item)
	// Change applies one write or deletion.
	Change(ev turmericshed.WatchEvent)
	// StoreLost is called once per outage, when the store stops answering.
	StoreLost(err error)
}

// Config configures a Mirror.
type Config struct {
	Store  turmericshed.Source
	Prefix string
	View   View
	// OnConfirmed is called with the time up to which all changes have been applied
	// to the view; may be nil.
	OnConfirmed func(asOf time.Time)
	Log         *slog.Logger
}

// Mirror is a controller that keeps a View up to date.
type Mirror struct {
	cfg Config
	// asOf is the time up to which all changes have been applied, in nanoseconds
	// since start; 0 before the first snapshot.
	asOf  atomic.Int64
	start time.Time
}

var _ turmericshed.Controller = (*Mirror)(nil)

// New returns a mirror that has read nothing yet.
func New(cfg Config) *Mirror { return &Mirror{cfg: cfg, start: time.Now()} }

// Age returns for how long changes may have been missing from the view; before the
// first snapshot, the time since New.
func (m *Mirror) Age(now time.Time) time.Duration {
	return now.Sub(m.start) - time.Duration(m.asOf.Load())
}

// Serve keeps the view up to date until ctx ends.
func (m *Mirror) Serve(ctx context.Context) error {
	isReachable := true
	for ctx.Err() == nil {
		err := m.follow(ctx, &isReachable)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			if isReachable {
				m.cfg.Log.Warn("store lost", "prefix", m.cfg.Prefix, "error", err.Error())
				m.cfg.View.StoreLost(err)
			}
			isReachable = false
			tspause.For(ctx, retryDelay+rand.N(retryDelay))
		}
	}
	return ctx.Err()
}

// follow reads a snapshot and watches from there. It returns the error of the store,
// or nil when the store has dropped the history that the watch needs.
func (m *Mirror) follow(ctx context.Context, isReachable *bool) error {
	snap, err := m.cfg.Store.Snapshot(ctx, m.cfg.Prefix)
	if err != nil {
		return err
	}
	m.cfg.Log.Info("store read", "prefix", m.cfg.Prefix, "items", len(snap.Items), "version", uint64(snap.At),
		"age_ms", time.Since(snap.AsOf).Milliseconds(), "after_outage", !*isReachable)
	*isReachable = true
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
			m.cfg.Log.Warn("store dropped the history that the watch needs; reading a new snapshot", "prefix", m.cfg.Prefix)
			return nil
		case ev.Key != "":
			m.cfg.View.Change(ev)
		}
		m.confirm(ev.AsOf)
	}
}

// confirm records that all changes up to asOf have been applied to the view.
func (m *Mirror) confirm(asOf time.Time) {
	if asOf.IsZero() {
		return
	}
	m.asOf.Store(max(m.asOf.Load(), int64(asOf.Sub(m.start))))
	if m.cfg.OnConfirmed != nil {
		m.cfg.OnConfirmed(asOf)
	}
}
