package tsentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"turmericshed"
	"turmericshed/core/tsframe"
	"turmericshed/io/tsbackend"
)

// Limits on attempts and their retries.
const (
	maxAttempts    = 3
	maxResumes     = 2
	retryBaseDelay = 10 * time.Millisecond
	retryMaxDelay  = 500 * time.Millisecond
)

// attempt is one dispatch of a generation to a model engine.
type attempt struct {
	server    turmericshed.BackendServer
	stream    turmericshed.StreamID
	res       turmericshed.Reservation
	route     turmericshed.RouteRequest
	startedAt time.Time
	firstByte time.Duration
	// checker validates each frame of the stream.
	checker *tsframe.Checker
	// sent is set immediately before the request is sent.
	sent bool
	// connected is true once the engine has accepted the request.
	connected bool
	// crashed is true if the engine terminated while the request was running.
	crashed bool
	bill    *bill
	// settled is true once the final cost is charged.
	settled bool
}

// certainlyNotRun reports whether the engine certainly did not run an attempt that failed with err.
func (at *attempt) certainlyNotRun(err error) bool {
	return !at.sent || (!at.connected && provesNotRun(err))
}

// generate runs a generation until it completes or fails, and settles its cost. It never waits for
// callers.
func (e *Entry) generate(a *answer, req request, chat chatRequest) {
	defer a.cancel()
	b := newBill(e.deps.Recorder, req)
	defer b.close()
	defer e.recoverIntoAnswer(a)
	release, err := e.deps.Admission.Admit(a.ctx, turmericshed.AdmitRequest{
		Account: req.account, Profile: req.profile.Name, Limit: req.accountLimit, Work: turmericshed.WorkAssistant,
		Priority: req.profile.Priority, Cost: *chat.MaxTokens, Deadline: req.deadline,
	})
	if err != nil {
		a.fail(err)
		return
	}
	defer release()
	e.deps.Retries.RecordFirstAttempt(time.Now())
	if err := e.runAttempts(a, req, chat, b); err != nil {
		a.fail(err)
	}
}

// recoverIntoAnswer recovers from a panic and fails the answer with an internal error.
func (e *Entry) recoverIntoAnswer(a *answer) {
	v := recover()
	if v == nil {
		return
	}
	e.recordPanic(v, a.request)
	a.fail(turmericshed.NewError(turmericshed.KindInternal, "panic: %v", v))
}

// runAttempts dispatches the request until the answer is complete; it then returns nil. It retries only
// while the answer has no frame.
func (e *Entry) runAttempts(a *answer, req request, chat chatRequest, b *bill) error {
	route := turmericshed.RouteRequest{
		Work: turmericshed.WorkAssistant, Model: chat.Model,
		Prefix: prefixHash(chat.Model, chat.Messages), Cost: *chat.MaxTokens,
	}
	worstCase := maxPromptTokens(chat) + *chat.MaxTokens
	mayHaveRun := false
	for n := 1; ; n++ {
		at, err := e.prepareAttempt(a, req, route, worstCase, b)
		if err != nil {
			return correctOutcome(err, mayHaveRun)
		}
		err = e.runAttempt(a, req, chat, at)
		e.endAttempt(at, err)
		mayHaveRun = mayHaveRun || !at.certainlyNotRun(err)
		if err == nil || !e.mayRetry(a, n, err) {
			return correctOutcome(err, mayHaveRun)
		}
		route.Excluded = append(route.Excluded, at.server.ID)
		e.deps.Recorder.Record(turmericshed.Event{
			Name: turmericshed.EventRequestRetried, Request: a.request, Server: at.server.ID, Reason: err.Error(),
		})
		if err := backOff(a.ctx, n); err != nil {
			return correctOutcome(err, mayHaveRun)
		}
	}
}

// correctOutcome changes an outcome of not_run to unknown if an earlier attempt may have run.
func correctOutcome(err error, mayHaveRun bool) error {
	if mayHaveRun && err != nil && turmericshed.OutcomeOf(err) == turmericshed.OutcomeNotRun {
		return turmericshed.WithOutcome(err, turmericshed.OutcomeUnknown)
	}
	return err
}

// prepareAttempt reserves the worst-case cost and picks a server. For a request with an idempotency key,
// it also announces the generation to the key's soft owner.
func (e *Entry) prepareAttempt(a *answer, req request, route turmericshed.RouteRequest, worstCase turmericshed.Tokens, b *bill) (*attempt, error) {
	if err := e.deps.Quarantine.Check(time.Now(), req.digest); err != nil {
		return nil, err
	}
	res, err := e.deps.Budgets.Reserve(a.ctx, req.profile, a.request, worstCase)
	if err != nil {
		return nil, err
	}
	server, err := e.deps.Router.Pick(a.ctx, time.Now(), route)
	if err != nil {
		e.deps.Budgets.Settle(res, 0)
		return nil, err
	}
	b.attemptStarted()
	at := &attempt{
		server: server, stream: turmericshed.StreamID(turmericshed.NewID("stream-")),
		res: res, route: route, startedAt: time.Now(), bill: b,
	}
	at.checker = tsframe.New(at.stream, route.Cost)
	a.setSource(at.server, at.stream)
	if req.idempotencyKey != "" {
		go e.announce(a.ctx, req, at)
	}
	return at, nil
}

// runAttempt dispatches once and relays the frames into the answer. It resumes a broken stream up to
// maxResumes times.
func (e *Entry) runAttempt(a *answer, req request, chat chatRequest, at *attempt) error {
	if err := e.deps.Quarantine.Started(at.startedAt, req.digest, at.server.ID); err != nil {
		return err
	}
	defer func() { e.deps.Quarantine.Ended(time.Now(), req.digest, at.server.ID, at.crashed) }()
	e.deps.Recorder.Record(turmericshed.Event{
		Name: turmericshed.EventDispatched, Request: a.request, Profile: req.profile.Name,
		Server: at.server.ID, Lot: at.res.Lot, Tokens: at.res.Amount, Reason: string(at.stream),
	})
	at.sent = true
	ts, err := e.deps.Engine.Generate(a.ctx, at.server, turmericshed.GenerateRequest{
		Sampling: chat.Sampling, Stream: at.stream, Model: chat.Model, Messages: chat.Messages,
		MaxTokens: *chat.MaxTokens, Priority: req.profile.Priority, Deadline: req.deadline,
	})
	for n := 0; ; n++ {
		if err == nil {
			at.connected = true
			err = e.relay(a, at, ts)
			_ = ts.Close()
		}
		if err == nil {
			e.deps.Quarantine.Survived(time.Now(), req.digest)
			return nil
		}
		if n == maxResumes || a.ctx.Err() != nil || turmericshed.KindOf(err) != turmericshed.KindStreamBroken {
			return err
		}
		if ts, err = e.resume(a, at, n, err); ts == nil {
			return err
		}
	}
}

// resume reopens a broken stream at the engine after the last complete frame. If the engine can't resume
// it, resume returns the error that broke the stream.
func (e *Entry) resume(a *answer, at *attempt, n int, broken error) (turmericshed.TokenStream, error) {
	e.deps.Recorder.Record(turmericshed.Event{
		Name: turmericshed.EventStreamBroken, Request: a.request, Server: at.server.ID, Reason: broken.Error(),
	})
	if err := backOff(a.ctx, n+1); err != nil {
		return nil, err
	}
	ts, err := e.deps.Engine.Resume(a.ctx, at.server, at.stream, a.frameCount())
	if err != nil {
		at.crashed = provesServerTerminated(err)
		return nil, broken
	}
	e.deps.Recorder.Record(turmericshed.Event{
		Name: turmericshed.EventStreamResumed, Request: a.request, Server: at.server.ID,
	})
	return ts, nil
}

// provesServerTerminated reports whether the error of a resumption shows that the server's process
// terminated: the connection is refused, or the server does not have the stream. With a network partition
// there is no answer at all.
func provesServerTerminated(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || turmericshed.KindOf(err) == turmericshed.KindNotFound
}

// relay appends valid frames to the answer up to the end frame. It drops duplicate frames and frames of
// other streams. A gap, or an end frame whose usage does not account for every token, breaks the stream.
func (e *Entry) relay(a *answer, at *attempt, ts turmericshed.TokenStream) error {
	at.checker.Resumed()
	for {
		f, err := ts.Next()
		if err != nil {
			return at.checker.Closed(err)
		}
		verdict, err := at.checker.Check(f)
		if err != nil {
			return err
		}
		if verdict != tsframe.Relay {
			e.deps.Recorder.Record(turmericshed.Event{
				Name: turmericshed.EventFrameDropped, Request: a.request, Server: at.server.ID,
				Reason: verdict.String() + " frame of " + string(f.Stream),
			})
			continue
		}
		if at.firstByte == 0 {
			at.firstByte = time.Since(at.startedAt)
		}
		if !f.End {
			a.append(f)
			continue
		}
		at.checker.AssertComplete()
		e.settleComplete(at)
		a.append(f)
		return nil
	}
}

// endAttempt reports the attempt to the router and settles its cost: immediately if it is known, otherwise
// once the engine has confirmed that the stream is canceled.
func (e *Entry) endAttempt(at *attempt, err error) {
	e.deps.Router.Done(time.Now(), at.server.ID, at.route, turmericshed.DispatchResult{
		Err: err, FirstByte: at.firstByte, Elapsed: time.Since(at.startedAt), Tokens: at.checker.Tokens(),
	})
	e.learnReplacement(at.server, err)
	switch {
	case at.settled:
	case at.certainlyNotRun(err):
		e.settle(at.res, at.bill, 0)
	default:
		e.deps.Budgets.Suspend(at.res)
		e.unsettled.add(at)
	}
}

// learnReplacement updates the server list if err shows that another server answered at old's address.
// An isolated failure domain can't get this update from the platform's list.
func (e *Entry) learnReplacement(old turmericshed.BackendServer, err error) {
	replacement, ok := tsbackend.ReplacedBy(err)
	if !ok {
		return
	}
	e.deps.Board.Servers.Update(func(cur []turmericshed.BackendServer) []turmericshed.BackendServer {
		if slices.ContainsFunc(cur, func(s turmericshed.BackendServer) bool { return s.ID == replacement }) {
			return cur
		}
		next := slices.Clone(cur)
		for i := range next {
			if next[i].ID == old.ID {
				next[i].ID, next[i].Leaving = replacement, false
			}
		}
		return next
	})
}

// settleComplete charges and bills a complete answer before its end frame is sent, so that every caller
// with a complete answer has been billed. A generation that runs at another entry VM is billed there.
func (e *Entry) settleComplete(at *attempt) {
	if at.bill == nil {
		return
	}
	usage, _ := at.checker.CompleteUsage()
	e.settle(at.res, at.bill, usage.Total())
	at.settled = true
	at.bill.close()
}

// settle replaces a reservation by the tokens used. If an engine reports more than the reservation, the
// reservation is charged in full and a broken invariant is recorded.
func (e *Entry) settle(res turmericshed.Reservation, b *bill, used turmericshed.Tokens) {
	if used > res.Amount {
		e.deps.Recorder.Record(turmericshed.Event{
			Name: turmericshed.EventInvariantBroken, Request: res.Request, Profile: res.Profile,
			Tokens: used - res.Amount, Reason: "usage above the worst case",
		})
		used = res.Amount
	}
	e.deps.Budgets.Settle(res, used)
	b.attemptSettled(used)
}

// provesNotRun reports whether err shows that the backend server did not run the request.
func provesNotRun(err error) bool {
	switch turmericshed.KindOf(err) {
	case turmericshed.KindNoBackend, turmericshed.KindBackendRefused, turmericshed.KindQuarantined, turmericshed.KindOverloaded,
		turmericshed.KindBadRequest:
		return true
	default:
		return false
	}
}

// mayRetry reports whether another attempt is allowed after attempt n failed with err, and if so
// charges it to the retry budget.
func (e *Entry) mayRetry(a *answer, n int, err error) bool {
	if a.frameCount() > 0 || n >= maxAttempts || a.ctx.Err() != nil {
		return false
	}
	k := turmericshed.KindOf(err)
	retryable := k == turmericshed.KindNoBackend || k == turmericshed.KindBackendRefused || k == turmericshed.KindStreamBroken
	return retryable && e.deps.Retries.Allow(time.Now())
}

// backOff waits with exponential, jittered backoff before attempt n+1. It returns an error if ctx is done
// first.
func backOff(ctx context.Context, n int) error {
	d := min(retryBaseDelay<<n, retryMaxDelay)
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return contextError(ctx)
	}
}

// contextError returns why a request's context is done, as KindDeadline or KindCanceled.
func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return turmericshed.WrapError(turmericshed.KindDeadline, ctx.Err(), "deadline passed")
	}
	return turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "caller went away")
}
