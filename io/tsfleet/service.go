package tsfleet

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tsmember"
	"turmericshed/io/tspeerapi"
)

// service implements the Gossip service.
type service struct {
	f *Fleet
}

// Probe answers a probe from a peer.
func (s *service) Probe(_ context.Context, req *connect.Request[tspeerapi.GossipMessage]) (*connect.Response[tspeerapi.GossipMessage], error) {
	s.f.metrics.received(req.Msg)
	m, err := DecodeMessage(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	var reply tsmember.Message
	if err := s.f.runStep(func(now time.Time, n *tsmember.Node) { reply = n.HandleProbe(now, m) }); err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	res := EncodeMessage(reply)
	s.f.metrics.sent(res)
	return connect.NewResponse(res), nil
}

// Relay probes another entry VM at the request of a peer.
func (s *service) Relay(ctx context.Context, req *connect.Request[tspeerapi.RelayRequest]) (*connect.Response[tspeerapi.RelayReply], error) {
	var a tsmember.Action
	var known bool
	err := s.f.runStep(func(now time.Time, n *tsmember.Node) {
		a, known = n.HandleRelay(now, turmericshed.Incarnation(req.Msg.GetTarget()))
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	if !known {
		return connect.NewResponse(&tspeerapi.RelayReply{Unknown: true}), nil
	}
	return connect.NewResponse(&tspeerapi.RelayReply{Reached: s.f.perform(ctx, a)}), nil
}

// Sync answers an anti-entropy exchange with the member records that differ.
func (s *service) Sync(_ context.Context, req *connect.Request[tspeerapi.SyncRequest]) (*connect.Response[tspeerapi.SyncReply], error) {
	s.f.metrics.received(req.Msg)
	r, err := decodeSync(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	var reply tsmember.SyncReply
	if err := s.f.runStep(func(now time.Time, n *tsmember.Node) { reply = n.HandleSync(now, r) }); err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	res := EncodeSyncReply(reply)
	s.f.metrics.sent(res)
	return connect.NewResponse(res), nil
}
