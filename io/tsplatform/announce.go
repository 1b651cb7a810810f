package tsplatform

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"turmericshed"
)

// announceInterval is the time between the heartbeats of a VM on the platform's list.
const announceInterval = time.Second

// AnnounceEntry adds an entry VM to the list, or sends its heartbeat if it is listed.
func (c *Client) AnnounceEntry(ctx context.Context, e turmericshed.EntryVM) error {
	return c.call(ctx, http.MethodPost, PathEntries, e, &struct{}{}, false)
}

// WithdrawEntry removes an entry VM from the list.
func (c *Client) WithdrawEntry(ctx context.Context, in turmericshed.Incarnation) error {
	return c.call(ctx, http.MethodDelete, PathEntries+"/"+url.PathEscape(string(in)), nil, &struct{}{}, false)
}

// AnnounceServer adds a backend server to the list, or sends its heartbeat if it is
// listed.
func (c *Client) AnnounceServer(ctx context.Context, s turmericshed.BackendServer) error {
	return c.call(ctx, http.MethodPost, PathServers, s, &struct{}{}, false)
}

// LeaveServer marks a backend server as leaving.
func (c *Client) LeaveServer(ctx context.Context, id turmericshed.ServerID) error {
	return c.call(ctx, http.MethodPost, PathServers+"/"+url.PathEscape(string(id))+"/leave", nil, &struct{}{}, false)
}

// WithdrawServer removes a backend server from the list.
func (c *Client) WithdrawServer(ctx context.Context, id turmericshed.ServerID) error {
	return c.call(ctx, http.MethodDelete, PathServers+"/"+url.PathEscape(string(id)), nil, &struct{}{}, false)
}

// Announcer periodically sends the heartbeats of one VM to the platform.
type Announcer struct {
	announce func(ctx context.Context) error
}

// NewEntryAnnouncer returns an Announcer for an entry VM.
func NewEntryAnnouncer(c *Client, e turmericshed.EntryVM) *Announcer {
	return &Announcer{announce: func(ctx context.Context) error { return c.AnnounceEntry(ctx, e) }}
}

// NewServerAnnouncer returns an Announcer for a backend server.
func NewServerAnnouncer(c *Client, s turmericshed.BackendServer) *Announcer {
	return &Announcer{announce: func(ctx context.Context) error { return c.AnnounceServer(ctx, s) }}
}

var _ turmericshed.Controller = (*Announcer)(nil)

// Serve sends heartbeats until ctx ends. A failed heartbeat is not retried before the
// next interval, since the platform may be unreachable.
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
