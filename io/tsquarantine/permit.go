package tsquarantine

import (
	"context"
	"encoding/json"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tspoison"
	"turmericshed/io/tspeerapi"
)

// acquirePermit requests the permit of the failure domain for a suspect and sends
// the local evidence along. It reports whether the permit was granted, which it
// never is while the granting entry VM is unreachable.
func (g *Guard) acquirePermit(now time.Time, d turmericshed.Digest, evidence tspoison.Evidence) bool {
	m, isRemote := g.coordinator(permitRole)
	if !isRemote {
		return g.grantPermit(now, d, g.cfg.Self.Incarnation)
	}
	body, err := json.Marshal([]tspoison.Evidence{evidence})
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	resp, err := g.peerClient(m).Permit(ctx, connect.NewRequest(&tspeerapi.PermitRequest{
		Digest: string(d), Holder: string(g.cfg.Self.Incarnation), Evidence: body,
	}))
	if err != nil {
		return false
	}
	g.mergeEncoded(now, resp.Msg.GetEvidence())
	return resp.Msg.GetGranted()
}

// grantPermit grants the permit unless it is taken and has not expired, or the
// request is quarantined.
func (g *Guard) grantPermit(now time.Time, d turmericshed.Digest, holder turmericshed.Incarnation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.tracker.Get(d); ok && e.IsQuarantined(now) {
		return false
	}
	isFree := g.permit.digest == "" || now.Sub(g.permit.grantedAt) > permitTTL
	if !isFree {
		return false
	}
	g.permit = permit{digest: d, holder: holder, grantedAt: now}
	return true
}

// releasePermit returns the permit to the entry VM that grants it. If that fails,
// the permit expires after permitTTL.
func (g *Guard) releasePermit(d turmericshed.Digest) {
	m, isRemote := g.coordinator(permitRole)
	if !isRemote {
		g.clearPermit(d, g.cfg.Self.Incarnation)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	_, _ = g.peerClient(m).Release(ctx, connect.NewRequest(&tspeerapi.ReleaseRequest{Digest: string(d), Holder: string(g.cfg.Self.Incarnation)}))
}

// clearPermit removes the permit that this process granted, if the given holder has
// it for the given digest.
func (g *Guard) clearPermit(d turmericshed.Digest, holder turmericshed.Incarnation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.permit.digest == d && g.permit.holder == holder {
		g.permit = permit{}
	}
}

// mergeEncoded merges evidence encoded as JSON and ignores malformed evidence.
func (g *Guard) mergeEncoded(now time.Time, body []byte) {
	var evidence []tspoison.Evidence
	if len(body) == 0 || json.Unmarshal(body, &evidence) != nil {
		return
	}
	g.Merge(now, evidence)
}

// peerHandler serves the calls of other entry VMs.
type peerHandler struct{ g *Guard }

var _ tspeerapi.QuarantineServiceHandler = peerHandler{}

// Spread merges the evidence of a peer.
func (p peerHandler) Spread(_ context.Context, req *connect.Request[tspeerapi.SpreadRequest]) (*connect.Response[tspeerapi.SpreadResponse], error) {
	p.g.mergeEncoded(time.Now(), req.Msg.GetEvidence())
	return connect.NewResponse(&tspeerapi.SpreadResponse{}), nil
}

// Permit grants or refuses the permit to a peer that needs to run a suspect, and
// returns the evidence of this process about it.
func (p peerHandler) Permit(_ context.Context, req *connect.Request[tspeerapi.PermitRequest]) (*connect.Response[tspeerapi.PermitResponse], error) {
	now := time.Now()
	d := turmericshed.Digest(req.Msg.GetDigest())
	p.g.mergeEncoded(now, req.Msg.GetEvidence())
	resp := &tspeerapi.PermitResponse{Granted: p.g.grantPermit(now, d, turmericshed.Incarnation(req.Msg.GetHolder()))}
	p.g.mu.Lock()
	e, ok := p.g.tracker.Get(d)
	p.g.mu.Unlock()
	if ok {
		body, err := json.Marshal([]tspoison.Evidence{e})
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		resp.Evidence = body
	}
	return connect.NewResponse(resp), nil
}

// Release removes the permit of a peer.
func (p peerHandler) Release(_ context.Context, req *connect.Request[tspeerapi.ReleaseRequest]) (*connect.Response[tspeerapi.ReleaseResponse], error) {
	p.g.clearPermit(turmericshed.Digest(req.Msg.GetDigest()), turmericshed.Incarnation(req.Msg.GetHolder()))
	return connect.NewResponse(&tspeerapi.ReleaseResponse{}), nil
}
