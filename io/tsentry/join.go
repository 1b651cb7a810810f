package tsentry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"turmericshed"
	"turmericshed/core/tsdedupe"
	"turmericshed/core/tsframe"
	"turmericshed/io/tspeer"
	"turmericshed/io/tspeerapi"
)

// announceTimeout bounds the announcement to a key's soft owner. Without an answer, the request runs
// locally.
const announceTimeout = 250 * time.Millisecond

// softOwner returns the entry VM of the local failure domain that tracks where requests with the key run,
// by rendezvous hashing. Entry VMs may disagree while membership changes.
func (e *Entry) softOwner(k tsdedupe.Key) turmericshed.EntryVM {
	self := e.deps.Members.Self()
	owner, maxScore := self, ownerScore(k, self)
	for _, m := range e.deps.Members.Reachable() {
		if m.FailureDomain != self.FailureDomain {
			continue
		}
		if score := ownerScore(k, m); score > maxScore {
			owner, maxScore = m, score
		}
	}
	return owner
}

func ownerScore(k tsdedupe.Key, m turmericshed.EntryVM) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(k.Account) + "\x00" + k.Request + "\x00" + string(m.Incarnation))
	return h.Sum64()
}

// announce reports to the soft owner where req runs and returns the generation that another entry VM runs
// for it, if any. at is nil before the request is dispatched.
func (e *Entry) announce(ctx context.Context, req request, at *attempt) (generation, bool) {
	g := generation{runner: e.deps.Members.Self(), digest: req.digest, request: req.id}
	if at != nil {
		g.stream, g.server = at.stream, at.server
	}
	k := tsdedupe.Key{Account: req.account, Request: req.idempotencyKey}
	owner := e.softOwner(k)
	if owner.Incarnation == g.runner.Incarnation {
		return e.registry.announce(k, g)
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	res, err := e.streamClient(owner.PeerAddr).Announce(ctx, connect.NewRequest(&tspeerapi.AnnounceRequest{
		Key: streamKey(req), Generation: toWire(g),
	}))
	if err != nil || !res.Msg.GetFound() {
		return generation{}, false
	}
	return fromWire(res.Msg.GetGeneration(), res.Msg.GetDigest()), true
}

func (e *Entry) streamClient(addr netip.AddrPort) tspeerapi.StreamServiceClient {
	client, url := e.deps.Peers.Client(addr)
	return tspeerapi.NewStreamServiceClient(client, url, tspeer.BoundAnswers())
}

// generateKeyed joins a generation that runs at another entry VM of the failure domain, or resumes it if
// that entry VM is unreachable. Otherwise it runs the request locally.
func (e *Entry) generateKeyed(a *answer, req request, chat chatRequest) {
	g, found := e.announce(a.ctx, req, nil)
	if !found {
		e.generate(a, req, chat)
		return
	}
	if g.digest != req.digest {
		a.fail(turmericshed.NewError(turmericshed.KindKeyReused, "the idempotency key came with another body"))
		a.cancel()
		return
	}
	err := e.followGeneration(a, req, g, *chat.MaxTokens)
	if err == nil {
		a.cancel()
		return
	}
	if a.frameCount() > 0 {
		a.fail(err)
		a.cancel()
		return
	}
	e.generate(a, req, chat)
}

// followGeneration relays a generation from its runner, or from the engine once the runner is
// unreachable. The tokens are charged to the runner's lot; if the runner crashed, that lot stays charged
// in full.
func (e *Entry) followGeneration(a *answer, req request, g generation, limit turmericshed.Tokens) error {
	at := &attempt{server: g.server, stream: g.stream, startedAt: time.Now(), checker: tsframe.New(g.stream, limit)}
	a.setSource(at.server, at.stream)
	err := e.joinRunner(a, req, g, at)
	if err == nil || a.ctx.Err() != nil || g.stream == "" {
		return err
	}
	if code := connect.CodeOf(err); code == connect.CodeNotFound {
		return err
	}
	ts, err := e.deps.Engine.Resume(a.ctx, at.server, at.stream, a.frameCount())
	if err != nil {
		return err
	}
	defer func() { _ = ts.Close() }()
	e.deps.Recorder.Record(turmericshed.Event{
		Name: turmericshed.EventStreamResumed, Request: a.request, Server: at.server.ID,
		Reason: "for request " + string(g.request) + " of incarnation " + string(g.runner.Incarnation),
	})
	return e.relay(a, at, ts)
}

// joinRunner relays frames from the entry VM that runs the generation.
func (e *Entry) joinRunner(a *answer, req request, g generation, at *attempt) error {
	stream, err := e.streamClient(g.runner.PeerAddr).Join(a.ctx, connect.NewRequest(&tspeerapi.JoinRequest{
		Key: streamKey(req), From: int32(a.frameCount()), //nolint:gosec // bounded by max_tokens
	}))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	return e.relay(a, at, &joinedStream{in: stream, id: g.stream})
}

// joinedStream is a TokenStream that reads from a peer's Join call.
type joinedStream struct {
	in *connect.ServerStreamForClient[tspeerapi.JoinFrame]
	id turmericshed.StreamID
}

// Next returns the next frame from the peer.
func (s *joinedStream) Next() (turmericshed.Frame, error) {
	if !s.in.Receive() {
		if err := s.in.Err(); err != nil {
			return turmericshed.Frame{}, err
		}
		return turmericshed.Frame{}, turmericshed.NewError(turmericshed.KindStreamBroken, "the peer ended the stream")
	}
	m := s.in.Msg()
	return turmericshed.Frame{
		Stream: s.id, Seq: int(m.GetSeq()), Text: m.GetText(), Tokens: turmericshed.Tokens(m.GetTokens()),
		End: m.GetEnd(), Finish: m.GetFinish(), Usage: turmericshed.Usage{
			Prompt: turmericshed.Tokens(m.GetPromptTokens()), Completion: turmericshed.Tokens(m.GetCompletionTokens()),
		},
	}, nil
}

// Close closes the call to the peer.
func (s *joinedStream) Close() error { return s.in.Close() }

// streamHandler serves StreamService to other entry VMs.
type streamHandler struct{ e *Entry }

var _ tspeerapi.StreamServiceHandler = (*streamHandler)(nil)

// StreamService returns the path and handler to mount on the server that peers call.
func (e *Entry) StreamService() (string, http.Handler) {
	return tspeerapi.NewStreamServiceHandler(&streamHandler{e})
}

// Announce registers a generation at its soft owner and returns an existing one of the key, if any. A
// generation whose runner is gone is returned to one entry VM only, which then resumes its stream.
func (h *streamHandler) Announce(_ context.Context, r *connect.Request[tspeerapi.AnnounceRequest]) (*connect.Response[tspeerapi.AnnounceResponse], error) {
	k := tsdedupe.Key{Account: turmericshed.AccountID(r.Msg.GetKey().GetAccount()), Request: r.Msg.GetKey().GetKey()}
	g := fromWire(r.Msg.GetGeneration(), r.Msg.GetKey().GetDigest())
	existing, found := h.e.registry.announce(k, g)
	if !found {
		return connect.NewResponse(&tspeerapi.AnnounceResponse{}), nil
	}
	if h.e.deps.Members.State(existing.runner.Incarnation) == turmericshed.MemberGone && existing.digest == g.digest {
		g.stream, g.server = existing.stream, existing.server
		h.e.registry.replace(k, g)
	}
	return connect.NewResponse(&tspeerapi.AnnounceResponse{
		Found: true, Generation: toWire(existing), Digest: string(existing.digest),
	}), nil
}

// Join relays the frames of a local generation to another entry VM. Errors: CodeNotFound, CodeAborted.
func (h *streamHandler) Join(ctx context.Context, r *connect.Request[tspeerapi.JoinRequest], out *connect.ServerStream[tspeerapi.JoinFrame]) error {
	k := r.Msg.GetKey()
	a, ok := h.e.generations.find(tsdedupe.Key{Account: turmericshed.AccountID(k.GetAccount()), Request: k.GetKey()}, turmericshed.Digest(k.GetDigest()))
	if !ok {
		return connect.NewError(connect.CodeNotFound, turmericshed.NewError(turmericshed.KindNotFound, "no such generation"))
	}
	defer a.releaseReader()
	rd := h.e.newReader(a, int(r.Msg.GetFrom()))
	defer rd.close()
	for {
		f, err := rd.next(ctx)
		if err != nil {
			return connect.NewError(connect.CodeAborted, err)
		}
		if err := out.Send(frameToWire(f)); err != nil {
			return err
		}
		if f.End {
			return nil
		}
	}
}

func streamKey(req request) *tspeerapi.StreamKey {
	return &tspeerapi.StreamKey{Account: string(req.account), Key: req.idempotencyKey, Digest: string(req.digest)}
}

func toWire(g generation) *tspeerapi.Generation {
	return &tspeerapi.Generation{
		Incarnation: string(g.runner.Incarnation), PeerAddr: g.runner.PeerAddr.String(), RequestId: string(g.request),
		StreamId: string(g.stream), ServerId: string(g.server.ID), ServerAddr: g.server.Addr.String(),
	}
}

// fromWire decodes a generation; an invalid address becomes the zero address.
func fromWire(m *tspeerapi.Generation, digest string) generation {
	peer, _ := netip.ParseAddrPort(m.GetPeerAddr())
	server, _ := netip.ParseAddrPort(m.GetServerAddr())
	return generation{
		runner: turmericshed.EntryVM{Incarnation: turmericshed.Incarnation(m.GetIncarnation()), PeerAddr: peer},
		digest: turmericshed.Digest(digest), request: turmericshed.RequestID(m.GetRequestId()),
		stream: turmericshed.StreamID(m.GetStreamId()),
		server: turmericshed.BackendServer{ID: turmericshed.ServerID(m.GetServerId()), Addr: server, Work: turmericshed.WorkAssistant},
	}
}

func frameToWire(f turmericshed.Frame) *tspeerapi.JoinFrame {
	return &tspeerapi.JoinFrame{
		Seq: int32(f.Seq), Text: f.Text, Tokens: int64(f.Tokens), End: f.End, Finish: f.Finish, //nolint:gosec // bounded by max_tokens
		PromptTokens: int64(f.Usage.Prompt), CompletionTokens: int64(f.Usage.Completion),
	}
}
