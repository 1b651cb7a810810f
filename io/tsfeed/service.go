package tsfeed

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tslimit"
	"turmericshed/io/tspeerapi"
)

// Handler returns the path and the HTTP handler for calls of peers.
func (s *Source) Handler() (string, http.Handler) {
	return tspeerapi.NewNewsServiceHandler(service{s})
}

// service implements the RPC service that peers call.
type service struct{ source *Source }

// Follow returns changes that this process received from the store directly, never
// those that it received from peers.
func (s service) Follow(ctx context.Context, r *connect.Request[tspeerapi.FollowRequest]) (*connect.Response[tspeerapi.FollowResponse], error) {
	began := time.Now()
	limits := s.source.cfg.Limits
	if limits != nil {
		limits.MergeLimits(r.Peer().Addr, began.Add(-tslimit.MaxTransit), r.Msg.Limits)
	}
	maxAge := s.source.cfg.Freshness.QueryAge(s.source.cfg.FactsByPrefix[r.Msg.Prefix])
	wait := min(time.Duration(r.Msg.WaitMs)*time.Millisecond, maxFollowWait)
	var knownAsOf time.Time
	if r.Msg.AgeMs > 0 {
		knownAsOf = began.Add(-time.Duration(r.Msg.AgeMs) * time.Millisecond)
	}
	c, err := s.source.feed(r.Msg.Prefix).follow(ctx, turmericshed.Version(r.Msg.After), knownAsOf, wait, maxAge)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	now := time.Now()
	m := &tspeerapi.FollowResponse{
		Reset_: c.Reset, At: uint64(c.At), AgeMs: ceilMilliseconds(now.Sub(c.AsOf)), HeldMs: now.Sub(began).Milliseconds(),
	}
	for _, ev := range c.Events {
		m.Items = append(m.Items, &tspeerapi.NewsItem{Key: ev.Key, Value: ev.Value, Version: uint64(ev.Version), Deleted: ev.Deleted})
	}
	if limits != nil {
		m.Limits = limits.ExportLimits()
	}
	return connect.NewResponse(m), nil
}

// ceilMilliseconds returns d in milliseconds, rounded up.
func ceilMilliseconds(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

// decodeChanges decodes the answer to a call that began at began. AsOf is a time of
// the local clock: the peer sends only durations.
func decodeChanges(m *tspeerapi.FollowResponse, began time.Time) turmericshed.Changes {
	held := time.Duration(m.HeldMs) * time.Millisecond
	age := time.Duration(m.AgeMs) * time.Millisecond
	c := turmericshed.Changes{Reset: m.Reset_, At: turmericshed.Version(m.At), AsOf: began.Add(held - age)}
	for _, i := range m.Items {
		c.Events = append(c.Events, turmericshed.WatchEvent{
			Item:    turmericshed.Item{Key: i.Key, Value: i.Value, Version: turmericshed.Version(i.Version)},
			Deleted: i.Deleted,
		})
	}
	return c
}
