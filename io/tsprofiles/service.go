package tsprofiles

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tsprofile"
	"turmericshed/io/tspeerapi"
)

// sincePageSize bounds the edits in one answer of Since.
const sincePageSize = 256

// service implements the ProfileCache service.
type service struct{ c *Cache }

// Fetch returns a cached document of at least the requested version. A fetch
// proxy that has not cached that version fetches it before it replies.
func (s *service) Fetch(ctx context.Context, req *connect.Request[tspeerapi.FetchProfileRequest]) (*connect.Response[tspeerapi.FetchProfileReply], error) {
	name, minVersion := turmericshed.ProfileName(req.Msg.GetName()), turmericshed.Version(req.Msg.GetMinVersion())
	d, age, ok := s.c.cachedAtLeast(name, minVersion)
	if !ok && minVersion > 0 && s.c.isFetchProxy(name) {
		if err := s.c.fetch(ctx, name, false); err == nil {
			d, age, ok = s.c.cachedAtLeast(name, minVersion)
		}
	}
	if !ok {
		return connect.NewResponse(&tspeerapi.FetchProfileReply{}), nil
	}
	return connect.NewResponse(&tspeerapi.FetchProfileReply{
		Found: true, Version: uint64(d.Version), Deleted: d.Deleted, Value: d.Value, AgeMs: uint64(age / time.Millisecond),
	}), nil
}

// cachedAtLeast returns the cached document and its age, and reports whether its
// version is at least minVersion.
func (c *Cache) cachedAtLeast(name turmericshed.ProfileName, minVersion turmericshed.Version) (tsprofile.Document, time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.core.Peek(name)
	return d, c.core.Age(time.Now(), d), ok && d.Version > 0 && d.Version >= minVersion
}

// Since returns the edits received after a position, at most one page.
func (s *service) Since(_ context.Context, req *connect.Request[tspeerapi.SinceRequest]) (*connect.Response[tspeerapi.SinceReply], error) {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	core := s.c.core
	links, ok := core.Since(turmericshed.Version(req.Msg.GetPosition()), sincePageSize)
	res := &tspeerapi.SinceReply{Complete: ok, Position: uint64(core.Position()), More: len(links) == sincePageSize}
	if confirmedAt := core.ConfirmedAt(); !confirmedAt.IsZero() {
		res.Confirmed = true
		res.AgeMs = uint64(max(time.Since(confirmedAt), 0) / time.Millisecond)
	}
	for _, k := range links {
		res.Links = append(res.Links, &tspeerapi.ProfileLink{
			Name: string(k.Name), Version: uint64(k.Version), After: uint64(k.After), Deleted: k.Deleted,
		})
	}
	return connect.NewResponse(res), nil
}

// catchUpFromPeer requests from one peer the edits that this process missed. It
// returns the peer's position, and reports whether the peer's edit log reaches
// back to the position of this process.
func (c *Cache) catchUpFromPeer(ctx context.Context, vm turmericshed.EntryVM) (complete bool, peerPosition turmericshed.Version, err error) {
	for {
		c.mu.Lock()
		position := c.core.Position()
		c.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		sentAt := time.Now()
		res, err := c.peerClient(vm).Since(callCtx, connect.NewRequest(&tspeerapi.SinceRequest{Position: uint64(position)}))
		cancel()
		if err != nil {
			return false, 0, err
		}
		peerPosition = turmericshed.Version(res.Msg.GetPosition())
		if !res.Msg.GetComplete() {
			return false, peerPosition, nil
		}
		c.receiveEdits(res.Msg, sentAt)
		if !res.Msg.GetMore() {
			return true, peerPosition, nil
		}
	}
}

// receiveEdits applies the edits of a peer's answer to a request sent at sentAt,
// and queues fetches of the documents that they make outdated.
func (c *Cache) receiveEdits(m *tspeerapi.SinceReply, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range m.GetLinks() {
		k := tsprofile.Link{
			Name: turmericshed.ProfileName(l.GetName()), Version: turmericshed.Version(l.GetVersion()),
			After: turmericshed.Version(l.GetAfter()), Deleted: l.GetDeleted(),
		}
		if c.core.AddLink(k) {
			c.enqueue(k.Name)
		}
	}
	if m.GetMore() || !m.GetConfirmed() {
		return
	}
	age := time.Duration(min(m.GetAgeMs(), maxAgeMs)) * time.Millisecond
	c.core.ConfirmUpTo(turmericshed.Version(m.GetPosition()), sentAt.Add(-age))
}
