package tsprofiles

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tsprofile"
	"turmericshed/io/tspeerapi"
)

// sincePage bounds the links of one answer.
const sincePage = 256

// service answers the ProfileCache service.
type service struct{ c *Cache }

// Fetch returns a held document that is not known to be outdated below the
// asked version.
func (s *service) Fetch(_ context.Context, req *connect.Request[tspeerapi.FetchProfileRequest]) (*connect.Response[tspeerapi.FetchProfileReply], error) {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	d, ok := s.c.core.Peek(turmericshed.ProfileName(req.Msg.GetName()))
	if !ok || d.Version == 0 || uint64(d.Version) < req.Msg.GetMinVersion() {
		return connect.NewResponse(&tspeerapi.FetchProfileReply{}), nil
	}
	return connect.NewResponse(&tspeerapi.FetchProfileReply{
		Found: true, Version: uint64(d.Version), Deleted: d.Deleted, Value: d.Value,
		AgeMs: uint64(s.c.core.Age(time.Now(), d) / time.Millisecond),
	}), nil
}

// Since returns the edits heard after a position.
func (s *service) Since(_ context.Context, req *connect.Request[tspeerapi.SinceRequest]) (*connect.Response[tspeerapi.SinceReply], error) {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	core := s.c.core
	links, ok := core.Since(turmericshed.Version(req.Msg.GetPosition()), sincePage)
	res := &tspeerapi.SinceReply{Complete: ok, Position: uint64(core.Position()), More: len(links) == sincePage}
	if at := core.ConfirmedAt(); !at.IsZero() {
		res.Confirmed = true
		res.AgeMs = uint64(max(time.Since(at), 0) / time.Millisecond)
	}
	for _, k := range links {
		res.Links = append(res.Links, &tspeerapi.ProfileLink{
			Name: string(k.Name), Version: uint64(k.Version), After: uint64(k.After), Deleted: k.Deleted,
		})
	}
	return connect.NewResponse(res), nil
}

// catchUp asks one peer for the edits missed here. It reports whether the
// peer remembers far enough back.
func (c *Cache) catchUp(ctx context.Context, vm turmericshed.EntryVM) (complete bool, peer turmericshed.Version, err error) {
	for {
		c.mu.Lock()
		position := c.core.Position()
		c.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		sent := time.Now()
		res, err := c.client(vm).Since(call, connect.NewRequest(&tspeerapi.SinceRequest{Position: uint64(position)}))
		cancel()
		if err != nil {
			return false, 0, err
		}
		peer = turmericshed.Version(res.Msg.GetPosition())
		if !res.Msg.GetComplete() {
			return false, peer, nil
		}
		c.hear(res.Msg, sent)
		if !res.Msg.GetMore() {
			return true, peer, nil
		}
	}
}

// hear takes the edits that a peer told.
func (c *Cache) hear(m *tspeerapi.SinceReply, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range m.GetLinks() {
		k := tsprofile.Link{
			Name: turmericshed.ProfileName(l.GetName()), Version: turmericshed.Version(l.GetVersion()),
			After: turmericshed.Version(l.GetAfter()), Deleted: l.GetDeleted(),
		}
		if c.core.Hear(k) {
			c.enqueue(k.Name)
		}
	}
	if m.GetMore() || !m.GetConfirmed() {
		return
	}
	age := time.Duration(min(m.GetAgeMs(), maxAgeMs)) * time.Millisecond
	c.core.CaughtUp(turmericshed.Version(m.GetPosition()), sent.Add(-age))
}
