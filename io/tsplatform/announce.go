package tsplatform

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"turmericshed"
)

// announceInterval is the time between heartbeats to the platform's list.
const announceInterval = time.Second

// AnnounceEntry lists an entry VM, or counts as its heartbeat.
func (c *Client) AnnounceEntry(ctx context.Context, e turmericshed.EntryVM) error {
	return c.call(ctx, http.MethodPost, PathEntries, e, &struct{}{}, false)
}

// WithdrawEntry takes an entry VM off the list.
func (c *Client) WithdrawEntry(ctx context.Context, in turmericshed.Incarnation) error {
	return c.call(ctx, http.MethodDelete, PathEntries+"/"+url.PathEscape(string(in)), nil, &struct{}{}, false)
}

// AnnounceServer lists a backend server, or counts as its heartbeat.
func (c *Client) AnnounceServer(ctx context.Context, s turmericshed.BackendServer) error {
	return c.call(ctx, http.MethodPost, PathServers, s, &struct{}{}, false)
}

// LeaveServer marks a backend server as leaving.
func (c *Client) LeaveServer(ctx context.Context, id turmericshed.ServerID) error {
	return c.call(ctx, http.MethodPost, PathServers+"/"+url.PathEscape(string(id))+"/leave", nil, &struct{}{}, false)
}

// WithdrawServer takes a backend server off the list.
func (c *Client) WithdrawServer(ctx context.Context, id turmericshed.ServerID) error {
	return c.call(ctx, http.MethodDelete, PathServers+"/"+url.PathEscape(string(id)), nil, &struct{}{}, false)
}

// Announcer sends heartbeats to the platform's list until it is stopped.
type Announcer struct {
	announce func(ctx context.Context) error
}

// NewEntryAnnouncer announces an entry VM.
func NewEntryAnnouncer(c *Client, e turmericshed.EntryVM) *Announcer {
	return &Announcer{announce: func(ctx context.Context) error { return c.AnnounceEntry(ctx, e) }}
}

// NewServerAnnouncer announces a backend server.
func NewServerAnnouncer(c *Client, s turmericshed.BackendServer) *Announcer {
	return &Announcer{announce: func(ctx context.Context) error { return c.AnnounceServer(ctx, s) }}
}

var _ turmericshed.Controller = (*Announcer)(nil)

// Serve beats until ctx ends. A beat that fails is tried again at the next
// interval: the platform may be away.
func (a *Announcer) Serve(ctx context.Context) error {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		_ = a.announce(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
