package tsnews

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tslimit"
	"turmericshed/io/tspeerapi"
)

// Handler returns the path and handler of the peers' calls.
func (s *Source) Handler() (string, http.Handler) {
	return tspeerapi.NewNewsServiceHandler(service{s})
}

// service answers the peers' calls.
type service struct{ s *Source }

// Follow returns changes that this process heard of from the store itself.
func (s service) Follow(ctx context.Context, r *connect.Request[tspeerapi.FollowRequest]) (*connect.Response[tspeerapi.FollowResponse], error) {
	limits := s.s.cfg.Limits
	if limits != nil {
		limits.Hear(r.Peer().Addr, time.Now().Add(-tslimit.Transit), r.Msg.Limits)
	}
	f := s.s.feed(r.Msg.Prefix)
	n, err := f.follow(ctx, turmericshed.Version(r.Msg.After), min(time.Duration(r.Msg.WaitMs)*time.Millisecond, followWait))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	m := &tspeerapi.FollowResponse{Reset_: n.reset, At: uint64(n.at), AgeMs: n.age.Milliseconds()}
	for _, ev := range n.events {
		m.Items = append(m.Items, &tspeerapi.NewsItem{Key: ev.Key, Value: ev.Value, Version: uint64(ev.Version), Deleted: ev.Deleted})
	}
	if limits != nil {
		m.Limits = limits.Tell()
	}
	return connect.NewResponse(m), nil
}

// newsOf reads an answer.
func newsOf(m *tspeerapi.FollowResponse) news {
	n := news{reset: m.Reset_, at: turmericshed.Version(m.At), age: time.Duration(m.AgeMs) * time.Millisecond}
	for _, i := range m.Items {
		n.events = append(n.events, turmericshed.WatchEvent{
			Item:    turmericshed.Item{Key: i.Key, Value: i.Value, Version: turmericshed.Version(i.Version)},
			Deleted: i.Deleted,
		})
	}
	return n
}
