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

// Fetch returns a held document of at least the asked version. One that
// fetches the profile for its failure domain gets it first.
func (s *service) Fetch(ctx context.Context, req *connect.Request[tspeerapi.FetchProfileRequest]) (*connect.Response[tspeerapi.FetchProfileReply], error) {
	name, lowest := turmericshed.ProfileName(req.Msg.GetName()), turmericshed.Version(req.Msg.GetMinVersion())
	d, age, ok := s.c.held(name, lowest)
	if !ok && lowest > 0 && s.c.isHome(name) {
		if err := s.c.fetch(ctx, name, false); err == nil {
			d, age, ok = s.c.held(name, lowest)
		}
	}
	if !ok {
		return connect.NewResponse(&tspeerapi.FetchProfileReply{}), nil
	}
	return connect.NewResponse(&tspeerapi.FetchProfileReply{
		Found: true, Version: uint64(d.Version), Deleted: d.Deleted, Value: d.Value, AgeMs: uint64(age / time.Millisecond),
	}), nil
}

// held returns a held document of at least a version, and its age.
func (c *Cache) held(name turmericshed.ProfileName, lowest turmericshed.Version) (tsprofile.Document, time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.core.Peek(name)
	return d, c.core.Age(time.Now(), d), ok && d.Version > 0 && d.Version >= lowest
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
