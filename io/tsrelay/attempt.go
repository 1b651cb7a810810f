package tsrelay

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"turmericshed"
	"turmericshed/core/tsfreshness"
	"turmericshed/io/tsupstream"
)

// refusedRetryAfter is the advice after a backend server was full.
const refusedRetryAfter = 300 * time.Millisecond

// completeAnswer is a plain answer, read whole.
type completeAnswer struct {
	server turmericshed.ServerID
	status int
	header http.Header
	body   []byte
}

// run sends the request until it is answered or may not be sent again.
func (q *request) run() error {
	var failed *completeAnswer
	for {
		a, err := q.attempt()
		switch {
		case err == nil && a == nil:
			return nil
		case err == nil && (!q.route.Repeatable || a.status < http.StatusInternalServerError):
			return q.relayAnswer(a)
		case err == nil:
			failed = a
		}
		if err = q.checkRepeat(err); err == nil {
			continue
		}
		if failed != nil {
			// The server's own failure says more than ours.
			return q.relayAnswer(failed)
		}
		return err
	}
}

// checkRepeat returns nil when the request goes to another server now, else the
// error that ends it. A nil err stands for an answer that tells of a failure.
func (q *request) checkRepeat(err error) error {
	kind := turmericshed.KindOf(err)
	if ctxErr := q.contextError(); ctxErr != nil {
		return ctxErr
	}
	unsent := kind == turmericshed.KindNoBackend || kind == turmericshed.KindOverloaded
	switch {
	case kind == turmericshed.KindNotReady, kind == turmericshed.KindQuarantined:
		return err
	case unsent && q.hasPicked && q.unsentAttempts < maxUnsentAttempts:
		return nil
	case unsent, kind == turmericshed.KindCanceled, q.mayHaveRun && !q.route.Repeatable:
		return err
	case q.sentAttempts >= q.route.MaxAttempts:
		return q.errOrServerFailure(err)
	case !q.relay.allowRepeat(time.Now(), q.service):
		return q.errOrServerFailure(err)
	}
	q.relay.cfg.Log.Info("sent again", "request", string(q.inbound.ID), "kind", kind.String(), "sent", q.sentAttempts, "after_event", q.lastEvent)
	return nil
}

// errOrServerFailure gives the end of a request that a server failed an error.
func (q *request) errOrServerFailure(err error) error {
	if err != nil {
		return err
	}
	return turmericshed.NewError(turmericshed.KindCallUnknown, "the server failed the request")
}

// contextError tells whether the caller left or the deadline passed.
func (q *request) contextError() error {
	if q.ctx.Err() == nil {
		return nil
	}
	if context.Cause(q.ctx) == errDeadline { //nolint:errorlint // the cause is the value itself.
		return turmericshed.NewError(turmericshed.KindDeadline, "no answer within %s", q.deadline.Sub(q.arrived))
	}
	return turmericshed.NewError(turmericshed.KindCanceled, "the caller left")
}

// attempt sends the request to one server. It returns a plain answer, or none
// when a stream was relayed to its end.
func (q *request) attempt() (*completeAnswer, error) {
	q.hasPicked = false
	if err := q.awaitTurn(); err != nil {
		return nil, err
	}
	now := time.Now()
	if err := q.relay.checkFreshness(now, 0); err != nil {
		return nil, err
	}
	rr := q.routeRequest()
	server, err := q.relay.cfg.Router.Pick(q.ctx, now, rr)
	q.hasPicked = err == nil
	if err != nil && q.ctx.Err() != nil {
		err = q.contextError()
	}
	if err != nil {
		return nil, err
	}
	q.pickedAt = now
	if f := q.relay.cfg.Freshness; f != nil {
		q.serversAge = f.Age(now, tsfreshness.Servers)
	}
	ctx, cancel := context.WithCancel(q.ctx)
	defer cancel()
	patience := q.startSilenceTimer(cancel)
	defer patience.stop()
	events, sent := q.events, q.sentAttempts
	a, first, err := q.exchange(ctx, server, patience)
	if err != nil {
		q.excluded = append(q.excluded, server.ID)
		if patience.expired() {
			err = turmericshed.WrapError(turmericshed.KindCallUnknown, err, "server %s is silent", server.ID)
		}
	}
	if err != nil && q.sentAttempts > sent && (patience.expired() || connectionBroke(q.ctx, err)) {
		q.reportBroken(server, err)
	}
	if err != nil && q.ctx.Err() != nil {
		err = q.contextError()
	}
	res := turmericshed.DispatchResult{Err: err, FirstByte: first, Elapsed: time.Since(now), Tokens: turmericshed.Tokens(q.events - events)}
	if a != nil && a.status >= http.StatusInternalServerError {
		res.Err = turmericshed.NewError(turmericshed.KindInternal, "status %d", a.status)
		q.excluded = append(q.excluded, server.ID)
	}
	if (patience.expired() || timedOut(res.Err)) && q.relay.linkCrowded(now) {
		res.Inconclusive = true
		q.relay.cfg.Log.Info("timed out while the own link was crowded", "request", string(q.inbound.ID), "server", string(server.ID),
			"elapsed_ms", res.Elapsed.Milliseconds(), "error", res.Err.Error())
	}
	q.relay.cfg.Router.Done(time.Now(), server.ID, rr, res)
	if q.relay.cfg.Metrics != nil {
		q.relay.cfg.Metrics.Attempt(rr, res)
	}
	return a, err
}

// reportBroken tells of an attempt that a server did not answer whole.
func (q *request) reportBroken(server turmericshed.BackendServer, err error) {
	q.relay.cfg.Log.Info("attempt broke off", "request", string(q.inbound.ID), "server", string(server.ID), "digest", string(q.contentDigest()),
		"sent", q.sentAttempts, "events", q.events, "elapsed_ms", time.Since(q.sentAt).Milliseconds(), "error", err.Error())
	if q.relay.cfg.Crashes != nil {
		q.relay.cfg.Crashes.Broke(server, q.contentDigest(), q.sentAt)
	}
}

// awaitTurn waits until the link takes the request's body.
func (q *request) awaitTurn() error {
	if q.relay.cfg.Link == nil {
		return nil
	}
	err := q.relay.cfg.Link.Await(q.ctx, q.account.Account, len(q.body))
	if q.ctx.Err() != nil {
		return q.contextError()
	}
	return err
}

// connectionBroke reports whether the connection to the server ended, or went silent, before
// its answer was whole, which nobody here asked for.
func connectionBroke(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil {
		return false
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// timedOut reports whether an attempt ended by time alone: nobody refused or
// reset anything.
func timedOut(err error) bool {
	var t interface{ Timeout() bool }
	return turmericshed.KindOf(err) == turmericshed.KindDeadline || errors.As(err, &t) && t.Timeout()
}

// exchange sends the request and takes the answer. first is the time to the
// answer's first byte, 0 without one.
func (q *request) exchange(ctx context.Context, server turmericshed.BackendServer, p *silenceTimer) (*completeAnswer, time.Duration, error) {
	began := time.Now()
	reply, err := q.relay.cfg.Upstream.Send(ctx, q.newCall(server))
	switch turmericshed.KindOf(err) {
	case turmericshed.KindNone:
	case turmericshed.KindCanceled, turmericshed.KindQuarantined:
		q.relay.cfg.Router.Unsent(server)
		return nil, 0, err
	case turmericshed.KindNoBackend, turmericshed.KindOverloaded, turmericshed.KindNotReady:
		q.relay.cfg.Router.Unsent(server)
		q.unsentAttempts++
		return nil, 0, err
	default:
		q.sentAttempts++
		q.mayHaveRun, q.mayHaveUnrelayedOutput = true, true
		return nil, 0, err
	}
	q.sentAttempts++
	first := time.Since(began)
	if f := q.relay.cfg.Freshness; f != nil {
		f.Answered(time.Now(), began)
	}
	if reply.Info.HasLoad {
		l := reply.Info.Load
		q.relay.cfg.Router.Report(time.Now(), turmericshed.LoadReport{Server: server.ID, At: began.Add(first / 2), Running: l.Running, Queued: l.Queued})
	}
	q.applyReplyInfo(server, began, reply.Info)
	if reply.Info.NotRun {
		return nil, first, q.handleRefusal(server, reply)
	}
	q.mayHaveRun = true
	success := reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices
	if success && (!reply.Info.Signed || reply.Info.Encoded) {
		reply.Close()
		q.mayHaveUnrelayedOutput = true
		return nil, first, turmericshed.NewError(turmericshed.KindCallUnknown, "server %s: the answer is not its own", server.ID)
	}
	if q.route.Stream && success {
		err := q.relayStream(server.ID, reply, p)
		if err == nil {
			q.reportSurvived()
		}
		return nil, first, err
	}
	body, err := reply.ReadAll()
	if err != nil {
		q.mayHaveUnrelayedOutput = true
		return nil, first, err
	}
	q.reportSurvived()
	if impliesNotRun(reply.Status) {
		// The server used a status that promises that nothing ran without
		// saying so itself.
		return nil, first, turmericshed.NewError(turmericshed.KindCallUnknown, "server %s: status %d", server.ID, reply.Status)
	}
	return &completeAnswer{server: server.ID, status: reply.Status, header: reply.Header, body: body}, first, nil
}

// applyReplyInfo takes what the server says of itself, whatever its answer is.
func (q *request) applyReplyInfo(server turmericshed.BackendServer, asked time.Time, info turmericshed.BackendReply) {
	if q.relay.cfg.Limits != nil {
		q.relay.cfg.Limits.Answered(server, asked, info)
	}
	if info.Leaving {
		q.relay.cfg.Router.SetLeaving(time.Now(), server.ID)
	}
	if info.RetryAfter > 0 {
		q.relay.cfg.Router.Pause(time.Now(), server.ID, info.RetryAfter)
	}
}

// impliesNotRun reports whether callers take the status as a promise that the
// request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// handleRefusal ends an attempt that the server refused.
func (q *request) handleRefusal(server turmericshed.BackendServer, reply *tsupstream.Reply) error {
	reply.Discard()
	if reply.Info.Misdirected {
		q.relay.cfg.Router.SetLeaving(time.Now(), server.ID)
		q.relay.cfg.Log.Warn("another server has the address", "server", string(server.ID), "addr", server.Addr.String())
	}
	err := turmericshed.NewError(turmericshed.KindBackendRefused, "server %s refused with status %d", server.ID, reply.Status)
	return turmericshed.WithRetryAfter(err, refusedRetryAfter)
}

// newCall is the request as it goes to a server.
func (q *request) newCall(server turmericshed.BackendServer) tsupstream.Call {
	header := make(http.Header)
	unsent := len(q.body)
	return tsupstream.Call{
		Server: server, ID: q.inbound.ID, Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host,
		Header: header, Body: q.body, Once: !q.route.Repeatable, Connections: q.relay.connectionShare(q.serviceSpec()),
		Ready: func() (time.Time, error) {
			first := len(header) == 0
			if first {
				maps.Copy(header, q.outboundHeader(server.ID))
			}
			until, err := q.sendableUntil(server.ID, unsent)
			if first && err == nil {
				q.sentAt = time.Now()
			}
			// What is asked about later is on its way already.
			unsent = 0
			return until, err
		},
	}
}

// outboundHeader is the headers of the request as it is sent to a server now.
func (q *request) outboundHeader(server turmericshed.ServerID) http.Header {
	out := turmericshed.Outbound{
		Server: server, Account: q.account.Account, TimeLimit: time.Until(q.deadline),
		Urgency: q.urgency(), SetUrgency: q.usesTokens(),
	}
	if q.route.Stream && q.lastEvent > 0 {
		out.LastEvent = q.lastEvent
	}
	return q.relay.cfg.Codec.EncodeRequest(q.r.Header, out)
}

// sendableUntil returns until when a request of which so many bytes are left may be sent
// to the server: since the server was chosen the request waited, and news came
// or grew old. Errors: KindOverloaded where another server may take it,
// KindNotReady, KindCanceled, KindQuarantined.
func (q *request) sendableUntil(server turmericshed.ServerID, size int) (until time.Time, err error) {
	if err := checkCallerConnected(q.r.Context()); err != nil {
		q.recordCallerLeft()
		return until, err
	}
	if err := q.checkQuarantine(); err != nil {
		return until, err
	}
	now := time.Now()
	if !q.relay.cfg.Router.InService(now, server) {
		return until, turmericshed.NewError(turmericshed.KindOverloaded, "server %s left service before it was sent to", server)
	}
	var delay time.Duration
	if q.relay.cfg.Link != nil {
		delay = q.relay.cfg.Link.Delay(size)
	}
	if f := q.relay.cfg.Freshness; f != nil {
		until = f.Until()
	}
	return until, q.relay.checkFreshness(now, delay)
}

// relayAnswer answers the caller with a whole answer.
func (q *request) relayAnswer(a *completeAnswer) error {
	if q.committed {
		return turmericshed.NewError(turmericshed.KindStreamBroken, "the stream was not resumed: status %d", a.status)
	}
	q.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	q.commit(a.server, a.status, a.header)
	if _, err := q.w.Write(a.body); err != nil {
		return turmericshed.WrapError(turmericshed.KindCanceled, err, "caller")
	}
	return nil
}
