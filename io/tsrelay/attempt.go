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

// refusedRetryAfter is the Retry-After that callers receive after a backend server
// refused the request, without admission control.
const refusedRetryAfter = 300 * time.Millisecond

// completeAnswer is a non-streaming answer whose body was read completely.
type completeAnswer struct {
	server turmericshed.ServerID
	status int
	header http.Header
	body   [][]byte
}

// run sends the request to one server after another until the caller has an answer
// or no further attempt is allowed.
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
			// The server's error response is more specific than the relay's.
			return q.relayAnswer(failed)
		}
		return err
	}
}

// checkRepeat returns nil when the request may be sent to another server now, else
// the error that ends the request. err is the error of the last attempt; nil means that
// the server answered with a 5xx status.
func (q *request) checkRepeat(err error) error {
	kind := turmericshed.KindOf(err)
	if ctxErr := q.contextError(); ctxErr != nil {
		return ctxErr
	}
	wasUnsent := kind == turmericshed.KindNoBackend || kind == turmericshed.KindOverloaded
	switch {
	case kind == turmericshed.KindNotReady, kind == turmericshed.KindQuarantined, kind == turmericshed.KindDraining:
		return err
	case wasUnsent && q.hasPicked && q.unsentAttempts < maxUnsentAttempts:
		return nil
	case wasUnsent, kind == turmericshed.KindCanceled, q.mayHaveRun && !q.route.Repeatable, q.isPartOfAnswerRelayed():
		return err
	case q.crashedServer, q.sentAttempts >= q.route.MaxAttempts:
		return q.errOrServerFailure(err)
	case !q.relay.allowRepeat(time.Now(), q.service):
		return q.errOrServerFailure(err)
	}
	q.relay.cfg.Log.Info("sent again", "request", string(q.inbound.ID), "kind", kind.String(), "sent", q.sentAttempts, "after_event", q.lastEvent)
	return nil
}

// isPartOfAnswerRelayed reports whether a part of an answer was relayed that is not a stream, which
// no other attempt can continue.
func (q *request) isPartOfAnswerRelayed() bool {
	return q.committed && (!q.route.Stream || q.status >= http.StatusMultipleChoices)
}

// errOrServerFailure returns err, or an error for a server's 5xx answer if err is nil.
func (q *request) errOrServerFailure(err error) error {
	if err != nil {
		return err
	}
	return turmericshed.NewError(turmericshed.KindCallUnknown, "the server answered with a 5xx status")
}

// contextError returns nil while the request's context is active, else KindDeadline
// when its deadline has passed and KindCanceled when the caller disconnected.
func (q *request) contextError() error {
	if q.ctx.Err() == nil {
		return nil
	}
	if context.Cause(q.ctx) == errDeadline { //nolint:errorlint // the cause is the value itself.
		return turmericshed.NewError(turmericshed.KindDeadline, "no answer within %s", q.deadline.Sub(q.arrived))
	}
	return turmericshed.NewError(turmericshed.KindCanceled, "the caller disconnected")
}

// attempt sends the request to one server. It returns the answer to relay, or nil
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
	q.attemptRoute = rr
	server, err := q.pick(now, rr)
	q.hasPicked = err == nil
	if err != nil && q.ctx.Err() != nil {
		err = q.contextError()
	}
	if err != nil {
		return nil, err
	}
	q.pickedAt, q.attemptSoftware = now, server.Software
	q.attemptStarted(now, server.ID)
	if f := q.relay.cfg.Freshness; f != nil {
		q.serversAge = f.Age(now, tsfreshness.Servers)
	}
	ctx, cancel := context.WithCancel(q.ctx)
	defer cancel()
	timer := q.startSilenceTimer(cancel)
	defer timer.stop()
	eventsBefore, sentBefore := q.events, q.sentAttempts
	q.measured = measurement{began: now}
	a, firstByte, err := q.exchange(ctx, server, timer)
	if err != nil {
		q.excluded = append(q.excluded, server.ID)
		if timer.expired() {
			err = turmericshed.WrapError(turmericshed.KindCallUnknown, err, "server %s: no answer or event in time", server.ID)
		}
	}
	if err != nil && q.sentAttempts > sentBefore && (timer.expired() || connectionBroke(q.ctx, err)) {
		q.reportBroken(server, err, firstByte, q.events-eventsBefore)
	}
	if err != nil && q.ctx.Err() != nil {
		err = q.contextError()
	}
	res := turmericshed.DispatchResult{Err: err, FirstByte: firstByte, Elapsed: time.Since(now), Tokens: turmericshed.Tokens(q.events - eventsBefore)}
	if q.sentAttempts > sentBefore {
		q.measured.addTo(&res, q.bodyBytes)
	}
	if a != nil && a.status >= http.StatusInternalServerError {
		res.Err = turmericshed.NewError(turmericshed.KindInternal, "the server answered with status %d", a.status)
		q.excluded = append(q.excluded, server.ID)
	}
	if endedInTimeout(res.Err, timer) && q.relay.linkCongested(now) {
		res.Inconclusive = true
		q.relay.cfg.Log.Info("attempt timed out while the local link was congested; not counting it against the server", "request", string(q.inbound.ID), "server", string(server.ID),
			"elapsed_ms", res.Elapsed.Milliseconds(), "error", res.Err.Error())
	}
	if q.refusedAsFull && q.feedback != nil {
		// A full server is not at fault, so its circuit breaker must not open.
		res.Err = turmericshed.WrapError(turmericshed.KindOverloaded, err, "the server is full")
	}
	q.attemptEnded(server.ID, res, timer.expired())
	q.relay.cfg.Router.Done(time.Now(), server.ID, rr, res)
	if q.relay.cfg.Metrics != nil {
		q.relay.cfg.Metrics.Attempt(rr, res)
	}
	return a, err
}

// reportBroken logs an attempt whose answer is missing or incomplete, and reports it to the
// crash watch. firstByte is the time to the answer's headers, 0 when none arrived, and
// attemptEvents the number of events that the server sent.
func (q *request) reportBroken(server turmericshed.BackendServer, err error, firstByte time.Duration, attemptEvents int) {
	q.relay.cfg.Log.Info("attempt ended without a complete answer", "request", string(q.inbound.ID), "server", string(server.ID), "digest", string(q.contentDigest()),
		"parts", q.sharedParts(), "account", string(q.account.Account), "sent", q.sentAttempts, "head_ms", firstByte.Milliseconds(),
		"events", q.events, "attempt_events", attemptEvents, "elapsed_ms", time.Since(q.sentAt).Milliseconds(), "error", err.Error())
	if q.relay.cfg.CrashWatch == nil {
		return
	}
	lost := turmericshed.LostAttempt{CrashSubject: q.crashSubject(), Began: q.sentAt, OnlyHead: firstByte > 0 && attemptEvents == 0}
	if attemptEvents >= eventsPastBeginning {
		lost.Parts = nil
	}
	terminated := q.relay.cfg.CrashWatch.ConnectionLost(server, lost)
	if lost.OnlyHead && q.route.Stream && q.route.Repeatable {
		ctx, cancel := context.WithTimeout(q.ctx, verdictTimeout)
		defer cancel()
		q.crashedServer = terminated(ctx)
	}
}

// awaitTurn waits for the request's turn to send its body over the link.
func (q *request) awaitTurn() error {
	if q.relay.cfg.Link == nil {
		return nil
	}
	err := q.relay.cfg.Link.Await(q.ctx, q.account.Account, q.bodyBytes)
	if q.ctx.Err() != nil {
		return q.contextError()
	}
	return err
}

// connectionBroke reports whether err means that the connection to the server closed
// or timed out before the answer was complete, and not because ctx ended.
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

// timedOut reports whether an attempt failed only because of a timeout or deadline,
// without a refusal or a connection reset.
func timedOut(err error) bool {
	var t interface{ Timeout() bool }
	return turmericshed.KindOf(err) == turmericshed.KindDeadline || errors.As(err, &t) && t.Timeout()
}

// endedInTimeout reports whether the attempt failed with err because of a time limit. The timer of a process
// that stood still may expire although the answer is complete.
func endedInTimeout(err error, timer *silenceTimer) bool {
	return err != nil && (timer.expired() || timedOut(err))
}

// exchange sends the request and reads the answer, or relays it if it is a stream; then the
// returned answer is nil. The duration is the time to the answer's headers, 0 when none
// arrived.
func (q *request) exchange(ctx context.Context, server turmericshed.BackendServer, timer *silenceTimer) (*completeAnswer, time.Duration, error) {
	began := time.Now()
	reply, err := q.relay.cfg.Upstream.Send(ctx, q.newCall(server))
	switch turmericshed.KindOf(err) {
	case turmericshed.KindNone:
	case turmericshed.KindCanceled, turmericshed.KindQuarantined, turmericshed.KindDraining:
		q.relay.cfg.Router.RequestNotSent(server)
		return nil, 0, err
	case turmericshed.KindNoBackend, turmericshed.KindOverloaded, turmericshed.KindNotReady:
		q.relay.cfg.Router.RequestNotSent(server)
		q.unsentAttempts++
		return nil, 0, err
	default:
		q.sentAttempts++
		q.mayHaveRun, q.mayHaveUnrelayedOutput = true, true
		return nil, 0, err
	}
	q.sentAttempts++
	firstByte := time.Since(began)
	if f := q.relay.cfg.Freshness; f != nil {
		f.RecordExchange(time.Now(), began)
	}
	q.relay.reportLoad(server.ID, began.Add(firstByte/2), reply.Info)
	q.applyReplyInfo(server, began, reply.Info)
	if reply.Info.NotRun {
		return nil, firstByte, q.handleRefusal(server, reply)
	}
	q.mayHaveRun = true
	if !q.route.Stream {
		q.reportFirstByte(server.ID)
	}
	success := reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices
	if success && (!reply.Info.Signed || reply.Info.HasContentEncoding) {
		reply.Close()
		q.mayHaveUnrelayedOutput = true
		return nil, firstByte, turmericshed.NewError(turmericshed.KindCallUnknown, "server %s: the answer lacks the server's signature or its body is encoded", server.ID)
	}
	if q.route.Stream && success {
		err := q.relayStream(ctx, server.ID, reply, timer)
		if err == nil {
			q.reportSurvived(success)
			q.recordEnd()
		}
		return nil, firstByte, err
	}
	q.attemptBegan()
	q.measured.record(0, true)
	a, err := q.readAnswer(ctx, server.ID, reply, timer)
	if err != nil {
		q.mayHaveUnrelayedOutput = true
		return nil, firstByte, err
	}
	q.reportSurvived(success)
	if impliesNotRun(reply.Status) {
		// The status implies that the request did not run, but the server did not
		// state that explicitly.
		return nil, firstByte, turmericshed.NewError(turmericshed.KindCallUnknown, "server %s: status %d implies that the request did not run, but the answer does not state it", server.ID, reply.Status)
	}
	return a, firstByte, nil
}

// applyReplyInfo passes on the limits, the leaving notice and the Retry-After that the
// server sent with any answer.
func (q *request) applyReplyInfo(server turmericshed.BackendServer, sentAt time.Time, info turmericshed.BackendReply) {
	if q.relay.cfg.ServerLimits != nil {
		q.relay.cfg.ServerLimits.Answered(server, sentAt, info)
	}
	if info.Leaving {
		q.relay.cfg.Router.SetLeaving(time.Now(), server.ID)
	}
	if info.RetryAfter > 0 {
		q.relay.cfg.Router.Pause(time.Now(), server.ID, info.RetryAfter)
	}
}

// impliesNotRun reports whether callers read the status as a guarantee that the
// request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// handleRefusal discards the answer of a server that refused the request and returns
// KindBackendRefused.
func (q *request) handleRefusal(server turmericshed.BackendServer, reply *tsupstream.Reply) error {
	reply.Discard()
	if reply.Info.Misdirected {
		q.relay.cfg.Router.SetLeaving(time.Now(), server.ID)
		q.relay.cfg.Log.Warn("another server answers at the address; treating the server as leaving", "server", string(server.ID), "addr", server.Addr.String())
	}
	q.refusedAsFull = isFull(reply.Info)
	err := turmericshed.NewError(turmericshed.KindBackendRefused, "server %s refused with status %d", server.ID, reply.Status)
	return turmericshed.WithRetryAfter(err, q.refusalRetryAfter(server.ID))
}

// newCall returns the request in the form in which it is sent to the server.
func (q *request) newCall(server turmericshed.BackendServer) tsupstream.Call {
	header := make(http.Header)
	unsentBytes := q.bodyBytes
	return tsupstream.Call{
		Server: server, ID: q.inbound.ID, Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host,
		Header: header, Body: q.body, AtMostOnce: !q.route.Repeatable, MaxConnections: q.relay.connectionShare(q.serviceSpec()),
		BeforeSend: func() (time.Time, error) {
			isFirst := len(header) == 0
			if isFirst {
				maps.Copy(header, q.outboundHeader(server.ID))
				if err := q.checkFirstSend(); err != nil {
					return time.Time{}, err
				}
			}
			until, err := q.sendableUntil(server.ID, unsentBytes)
			if isFirst && err == nil {
				q.sentAt = time.Now()
			}
			// Later checks concern a body that is already being written.
			unsentBytes = 0
			return until, err
		},
	}
}

// checkFirstSend returns KindDraining for a request that is to be sent to its first server
// while this entry VM stops and might cut off the answer.
func (q *request) checkFirstSend() error {
	if q.sentAttempts > 0 {
		return nil
	}
	return q.checkStopping(time.Now())
}

// outboundHeader returns the headers to send to the server now, with the time limit that
// remains.
func (q *request) outboundHeader(server turmericshed.ServerID) http.Header {
	out := turmericshed.Outbound{
		Server: server, Account: q.account.Account, TimeLimit: time.Until(q.deadline),
		Urgency: q.urgency(), HasUrgency: q.usesTokens(),
	}
	if q.route.Stream && q.lastEvent > 0 {
		out.LastEvent = q.lastEvent
	}
	return q.relay.cfg.Codec.EncodeRequest(q.r.Header, out)
}

// sendableUntil checks again whether the request may be sent to the server, and returns
// until when. size is the number of body bytes that are not yet sent. While the request
// waited after the server was picked, the caller may have disconnected, the server may
// have left service, and the routing table or the server list may have become too old. Errors:
// KindOverloaded where another server may take the request, KindNotReady, KindCanceled,
// KindQuarantined, KindDraining.
func (q *request) sendableUntil(server turmericshed.ServerID, size int) (until time.Time, err error) {
	if err := checkCallerConnected(q.r.Context()); err != nil {
		q.recordCallerDisconnect()
		return until, err
	}
	if err := q.checkQuarantine(); err != nil {
		return until, err
	}
	now := time.Now()
	if !q.relay.cfg.Router.InService(now, server) {
		return until, turmericshed.NewError(turmericshed.KindOverloaded, "server %s left service before the request was sent", server)
	}
	var delay time.Duration
	if q.relay.cfg.Link != nil {
		delay = q.relay.cfg.Link.Delay(size)
	}
	if f := q.relay.cfg.Freshness; f != nil {
		until = f.UsableUntil()
	}
	return until, q.relay.checkFreshness(now, delay)
}

// relayAnswer writes a complete answer to the caller. After part of a stream was
// relayed it returns KindStreamBroken instead.
func (q *request) relayAnswer(a *completeAnswer) error {
	if q.committed {
		return errNotResumed(a.status)
	}
	size := 0
	for _, part := range a.body {
		size += len(part)
	}
	buffer := q.callerBuffer()
	defer buffer.release()
	if err := buffer.hold(time.Now(), size, true); err != nil {
		return turmericshed.WrapError(turmericshed.KindCallUnknown, err, "the answer was given up")
	}
	q.w.Header().Set("Content-Length", strconv.Itoa(size))
	q.commit(a.server, a.status, a.header)
	return q.writeParts(a.body)
}
