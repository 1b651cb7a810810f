package tscalls

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tsclaim"
	"turmericshed/io/tspeer"
	"turmericshed/io/tspeerapi"
)

// peerHandler serves the requests of other entry VMs.
type peerHandler struct{ c *Calls }

var _ tspeerapi.ClaimServiceHandler = peerHandler{}

// PeerHandler returns the path and handler to mount on the server for peers.
func (c *Calls) PeerHandler() (string, http.Handler) {
	return tspeerapi.NewClaimServiceHandler(peerHandler{c: c})
}

// client returns a client of the claim service of an entry VM.
func (c *Calls) client(m turmericshed.EntryVM) tspeerapi.ClaimServiceClient {
	h, url := c.cfg.Peers.Client(m.PeerAddr)
	return tspeerapi.NewClaimServiceClient(h, url, tspeer.BoundAnswers())
}

// Commit commits an operation of a peer, batched with other operations of its slot.
func (p peerHandler) Commit(ctx context.Context, req *connect.Request[tspeerapi.CommitRequest]) (*connect.Response[tspeerapi.CommitResponse], error) {
	var op tsclaim.Op
	if err := tsclaim.Decode(req.Msg.GetOperation(), &op); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	res := p.c.writers[op.ID.Slot()].submit(ctx, op)
	resp := &tspeerapi.CommitResponse{Found: res.Found, Changed: res.Changed}
	if res.Err != nil {
		resp.Kind, resp.Message = turmericshed.KindOf(res.Err).String(), res.Err.Error()
	}
	entry, err := json.Marshal(res.Entry)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	resp.Entry = entry
	return connect.NewResponse(resp), nil
}

// Outcome reports the state of a call of this process to a peer. It waits for the
// outcome for a limited time.
func (p peerHandler) Outcome(ctx context.Context, req *connect.Request[tspeerapi.OutcomeRequest]) (*connect.Response[tspeerapi.OutcomeResponse], error) {
	c, m := p.c, req.Msg
	if m.GetRunner() != string(c.cfg.Self.Incarnation) {
		return nil, connect.NewError(connect.CodeNotFound, turmericshed.NewError(turmericshed.KindNotFound, "another incarnation"))
	}
	claim := turmericshed.ClaimID(m.GetClaim())
	c.mu.Lock()
	rec, ok := c.byClaim[claim]
	c.mu.Unlock()
	if !ok {
		c.abandonUnheld(ctx, tsclaim.ID(m.GetCall()), claim)
		return outcomeResponse(tspeerapi.OutcomeResponse_STATUS_RELEASED, nil)
	}
	t := time.NewTimer(min(time.Duration(m.GetWaitMilliseconds())*time.Millisecond, outcomeQueryWait))
	defer t.Stop()
	select {
	case <-rec.ended:
	case <-t.C:
		return outcomeResponse(tspeerapi.OutcomeResponse_STATUS_RUNNING, nil)
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	c.mu.Lock()
	kind, answer := rec.end, rec.answer
	c.mu.Unlock()
	switch kind {
	case endAnswered:
		return outcomeResponse(tspeerapi.OutcomeResponse_STATUS_ANSWERED, &answer)
	case endInDoubt:
		return outcomeResponse(tspeerapi.OutcomeResponse_STATUS_DOUBTED, nil)
	default:
		return outcomeResponse(tspeerapi.OutcomeResponse_STATUS_RELEASED, nil)
	}
}

// outcomeResponse builds the response of Outcome; a is nil when there is no answer.
func outcomeResponse(s tspeerapi.OutcomeResponse_Status, a *turmericshed.Answer) (*connect.Response[tspeerapi.OutcomeResponse], error) {
	resp := &tspeerapi.OutcomeResponse{Status: s}
	if a != nil {
		body, err := json.Marshal(a)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		resp.Answer = body
	}
	return connect.NewResponse(resp), nil
}

// HandOn takes over the outcomes that a draining entry VM could not write.
func (p peerHandler) HandOn(_ context.Context, req *connect.Request[tspeerapi.HandOnRequest]) (*connect.Response[tspeerapi.HandOnResponse], error) {
	for _, body := range req.Msg.GetOperations() {
		var op tsclaim.Op
		if err := tsclaim.Decode(body, &op); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		p.c.adopt(op)
	}
	return connect.NewResponse(&tspeerapi.HandOnResponse{}), nil
}

// adopt takes over an outcome of another process and writes it in the background,
// retrying until that succeeds.
func (c *Calls) adopt(op tsclaim.Op) {
	rec := &claimRecord{claim: op.Claim, op: op, outcome: op, ended: make(chan struct{}), written: make(chan struct{})}
	if op.Entry.Answer != nil {
		rec.answer, rec.end = *op.Entry.Answer, endAnswered
	} else {
		rec.end = endInDoubt
	}
	rec.phase = phaseEnded
	close(rec.ended)
	c.mu.Lock()
	if _, ok := c.byClaim[op.Claim]; ok {
		c.mu.Unlock()
		return
	}
	c.byClaim[op.Claim] = rec
	if _, ok := c.byCall[op.ID]; !ok {
		c.byCall[op.ID] = rec
	}
	c.mu.Unlock()
	c.settle(rec, op)
}
