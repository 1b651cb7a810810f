package tsrelay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericshed"
)

// maxQueuePriority is the priority of the most urgent requests in the admission queue,
// where larger numbers come first; callers' urgency 0 is the most urgent.
const maxQueuePriority = 9

// admit passes the request to the admission control. release must be called when the
// request is done. A stream that the caller resumes is not refused: its beginning was
// served already.
func (q *request) admit() (release func(), err error) {
	a := q.relay.cfg.Admission
	if a == nil {
		return func() {}, nil
	}
	q.admission = q.admitRequest()
	q.feedback, _ = a.(turmericshed.AdmissionFeedback)
	if q.lastEvent > 0 {
		return func() {}, nil
	}
	release, err = a.Admit(q.ctx, q.admission)
	if err != nil && q.ctx.Err() != nil {
		err = q.contextError()
	}
	return release, err
}

// admitRequest describes the request to the admission control.
func (q *request) admitRequest() turmericshed.AdmitRequest {
	r := turmericshed.AdmitRequest{
		Account: q.account.Account, Work: turmericshed.WorkService, Service: q.service, Deadline: q.deadline,
		Priority: max(maxQueuePriority-q.urgency(), 0), Cost: 1, Objective: q.route.LatencyObjective, Content: q.contentHash(),
	}
	r.Class, r.Classes = q.table.UrgencyRank(q.service, q.urgency())
	if q.usesTokens() {
		r.PromptTokens, r.MaxOutput = q.inbound.PromptTokens, q.inbound.MaxOutput
		r.Cost, r.ServerMemory = r.PromptTokens+r.MaxOutput, q.serviceSpec().MemoryTokens
		r.CachedTokens = q.sharedTokens()
	}
	return r
}

// contentHash returns a hash of account, request URI and body.
func (q *request) contentHash() uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, s := range []string{string(q.account.Account), q.r.RequestURI} {
		_, _ = h.WriteString(s)
		_, _ = h.WriteString("\x00")
	}
	for _, part := range q.body {
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

// sharedTokens returns the tokens of the prompt parts that other requests share, which
// servers probably have cached.
func (q *request) sharedTokens() turmericshed.Tokens {
	var n turmericshed.Tokens
	if parts := q.inbound.Parts; q.route.Affinity && len(parts) > 1 {
		for _, p := range parts[:len(parts)-1] {
			n += max(p.Tokens, 0)
		}
	}
	return min(n, q.inbound.PromptTokens)
}

// pick picks a server. Servers whose token memory is full are left out where another
// server takes the request: a server that holds more than its memory terminates.
func (q *request) pick(now time.Time, rr turmericshed.RouteRequest) (turmericshed.BackendServer, error) {
	if q.feedback != nil {
		if full := q.feedback.FullServers(now, q.admission, rr.Excluded); len(full) > 0 {
			withRoom := rr
			withRoom.Excluded = append(full, rr.Excluded...)
			if server, err := q.relay.cfg.Router.Pick(q.ctx, now, withRoom); err == nil || q.ctx.Err() != nil {
				return server, err
			}
		}
	}
	return q.relay.cfg.Router.Pick(q.ctx, now, rr)
}

// attemptStarted reports to the admission control that a server was picked.
func (q *request) attemptStarted(now time.Time, server turmericshed.ServerID) {
	q.hasBegun, q.refusedAsFull = false, false
	if q.feedback != nil {
		q.feedback.AttemptStarted(now, server, q.admission)
	}
}

// attemptBegan reports once per attempt how long the server took to begin. A time in
// which the local link was congested says nothing about the server.
func (q *request) attemptBegan() {
	if q.feedback == nil || q.hasBegun {
		return
	}
	q.hasBegun = true
	if !q.relay.linkCongested(q.pickedAt) {
		now := time.Now()
		q.feedback.AttemptBegan(now, q.admission, now.Sub(q.sentAt))
	}
}

// attemptEnded reports the end of the attempt. A server that was silent for too long
// counts as one that began only now.
func (q *request) attemptEnded(server turmericshed.ServerID, res turmericshed.DispatchResult, wasSilent bool) {
	if q.feedback == nil {
		return
	}
	if wasSilent && !q.sentAt.Before(q.pickedAt) {
		q.attemptBegan()
	}
	q.feedback.AttemptEnded(time.Now(), server, q.admission, turmericshed.AttemptResult{
		Elapsed: res.Elapsed, Complete: res.Err == nil, Refused: q.refusedAsFull,
	})
}

// refusalRetryAfter returns the Retry-After after a server refused the request.
func (q *request) refusalRetryAfter(server turmericshed.ServerID) time.Duration {
	if q.feedback == nil {
		return refusedRetryAfter
	}
	return q.feedback.RetryAfter(time.Now(), server, q.admission)
}

// isFull reports whether a server that refused a request did so because it is full.
func isFull(r turmericshed.BackendReply) bool {
	return !r.Misdirected && !r.Leaving && r.HasLoad && (r.Load.Queued > 0 || r.Load.Running >= r.Load.Slots)
}
