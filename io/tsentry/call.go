package tsentry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericshed"
	"turmericshed/core/tsclaim"
)

// Settings of plain service calls.
const (
	servicePathPrefix = "/services/"
	// callDeadlineGrace is how long a dispatched call may continue after the request's deadline, so that its
	// answer can still be stored and replayed to a retry.
	callDeadlineGrace = 30 * time.Second
)

// serveCall handles /services/<service>/<path>.
func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request) {
	req, err := e.prepare(w, r)
	defer req.release()
	if err != nil {
		e.writeError(w, req, err)
		return
	}
	service, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicePathPrefix), "/")
	if service == "" || !req.profile.AllowsService(service) {
		e.writeError(w, req, turmericshed.NewError(turmericshed.KindForbidden, "the profile does not allow service %q", service))
		return
	}
	call := turmericshed.ServiceRequest{
		Method: r.Method, Path: r.URL.RequestURI(), ContentType: r.Header.Get("Content-Type"), Body: req.body,
	}
	answer, err := e.call(r.Context(), req, service, call)
	if err != nil {
		e.writeError(w, req, err)
		return
	}
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	w.Header().Set(headerOutcome, string(turmericshed.OutcomeRan))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
	e.measureRequest(req, turmericshed.KindNone, time.Since(req.receivedAt))
	e.deps.Recorder.Record(turmericshed.Event{
		Name: turmericshed.EventRequestAnswered, Request: req.id, Profile: req.profile.Name, Account: req.account,
	})
}

// call admits the call and runs it. GET and HEAD are repeatable and run without a claim; every other
// method needs an idempotency key and runs under a claim.
func (e *Entry) call(ctx context.Context, req request, service string, call turmericshed.ServiceRequest) (turmericshed.Answer, error) {
	ctx, cancel := req.withDeadline(ctx)
	defer cancel()
	repeatable := call.Method == http.MethodGet || call.Method == http.MethodHead
	if !repeatable && req.idempotencyKey == "" {
		return turmericshed.Answer{}, turmericshed.NewError(turmericshed.KindBadRequest,
			"header %s is missing: a call that may not be repeated needs one", headerIdempotencyKey)
	}
	release, err := e.deps.Admission.Admit(ctx, turmericshed.AdmitRequest{
		Account: req.account, Profile: req.profile.Name, Limit: req.accountLimit, Work: turmericshed.WorkService,
		Priority: req.profile.Priority, Cost: 1, Deadline: req.deadline,
	})
	if err != nil {
		return turmericshed.Answer{}, err
	}
	defer release()
	e.deps.Retries.RecordFirstAttempt(time.Now())
	c := &serviceCall{e: e, req: req, call: call, route: turmericshed.RouteRequest{
		Work: turmericshed.WorkService, Service: service,
		// Attempts with the same body prefer the same server, so that a body that crashes servers
		// reaches few of them before all entry VMs have learned of the crashes.
		Prefix: xxhash.Sum64String(string(req.digest)),
	}}
	c.bill = newBill(e.deps.Recorder, req)
	if repeatable {
		defer c.bill.close()
		return c.runRepeatable(ctx)
	}
	return c.runClaimed(ctx)
}

// serviceCall is one plain service call in progress.
type serviceCall struct {
	e     *Entry
	req   request
	call  turmericshed.ServiceRequest
	route turmericshed.RouteRequest
	bill  *bill
	// mayHaveRun is true once an attempt was sent and its outcome is unknown.
	mayHaveRun bool
}

// runRepeatable tries servers until one answers, within maxAttempts and the retry budget.
func (c *serviceCall) runRepeatable(ctx context.Context) (turmericshed.Answer, error) {
	res, err := c.e.deps.Budgets.Reserve(ctx, c.req.profile, c.req.id, c.req.profile.CallCost)
	if err != nil {
		return turmericshed.Answer{}, err
	}
	c.bill.attemptStarted()
	for n := 1; ; n++ {
		answer, err := c.dispatch(ctx, nil)
		if err == nil {
			c.e.settle(res, c.bill, res.Amount)
			return answer, nil
		}
		if n >= maxAttempts || ctx.Err() != nil || !c.e.deps.Retries.Allow(time.Now()) || backOff(ctx, n) != nil {
			c.e.settle(res, c.bill, 0)
			return turmericshed.Answer{}, correctOutcome(err, c.mayHaveRun)
		}
	}
}

// runClaimed runs a non-repeatable call under a durable claim.
func (c *serviceCall) runClaimed(ctx context.Context) (turmericshed.Answer, error) {
	claims := c.e.deps.Claims
	claimedCall := turmericshed.Call{
		Account: c.req.account, Profile: c.req.profile.Name, Service: c.route.Service,
		Key: c.req.idempotencyKey, Digest: c.req.digest, Request: c.req.id,
	}
	decision, err := claims.Claim(ctx, claimedCall)
	if err != nil {
		return turmericshed.Answer{}, err
	}
	switch decision.Verdict {
	case turmericshed.ClaimReplay:
		return decision.Answer, nil
	case turmericshed.ClaimUnknown:
		return turmericshed.Answer{}, turmericshed.NewError(turmericshed.KindCallUnknown, "an earlier attempt may have run")
	}
	c.call.Key = tsclaim.ServiceKey(c.req.account, c.req.idempotencyKey)
	// From here on, a caller that disconnects must not cancel the call: its outcome has to be recorded.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.req.deadline.Add(callDeadlineGrace))
	defer cancel()
	return c.runWithClaim(ctx, decision.Claim)
}

// runWithClaim dispatches under a claim that this process holds and records the outcome in it: completed,
// abandoned or in doubt.
func (c *serviceCall) runWithClaim(ctx context.Context, id turmericshed.ClaimID) (turmericshed.Answer, error) {
	claims := c.e.deps.Claims
	defer c.bill.close()
	res, err := c.e.deps.Budgets.Reserve(ctx, c.req.profile, c.req.id, c.req.profile.CallCost)
	if err != nil {
		return turmericshed.Answer{}, abandonedError(err, claims.Abandon(ctx, id))
	}
	c.bill.attemptStarted()
	answer, err := c.dispatchClaimed(ctx, id)
	if err == nil {
		c.e.settle(res, c.bill, res.Amount)
		_ = claims.Complete(ctx, id, answer)
		return answer, nil
	}
	if !c.mayHaveRun {
		c.e.settle(res, c.bill, 0)
		return turmericshed.Answer{}, abandonedError(err, claims.Abandon(ctx, id))
	}
	c.e.settle(res, c.bill, res.Amount)
	_ = claims.MarkInDoubt(ctx, id, err.Error())
	return turmericshed.Answer{}, err
}

// abandonedError returns err with its outcome unchanged even if abandoning the claim failed: the call was
// not sent and will not be. In that case it sets a retry delay, because the claim is still held.
func abandonedError(err, abandonErr error) error {
	if abandonErr == nil {
		return err
	}
	return turmericshed.WithRetryAfter(err, turmericshed.KindStoreUnavailable.Info().RetryAfter)
}

// dispatchClaimed tries further servers only while no earlier attempt may have run the call.
func (c *serviceCall) dispatchClaimed(ctx context.Context, id turmericshed.ClaimID) (turmericshed.Answer, error) {
	for n := 1; ; n++ {
		answer, err := c.dispatch(ctx, func() error { return c.e.deps.Claims.Dispatch(id) })
		if err == nil || c.mayHaveRun || n >= maxAttempts || !c.e.deps.Retries.Allow(time.Now()) {
			return answer, err
		}
		if backOff(ctx, n) != nil {
			return answer, err
		}
	}
}

// send checks the quarantine, runs beforeSend and sends the call. It reports the result to the quarantine.
func (c *serviceCall) send(ctx context.Context, server turmericshed.BackendServer, beforeSend func() error) (answer turmericshed.Answer, err error) {
	q := c.e.deps.Quarantine
	if err := q.Started(time.Now(), c.req.digest, server.ID); err != nil {
		return answer, err
	}
	if beforeSend != nil {
		err = beforeSend()
	}
	if err == nil {
		answer, err = c.e.deps.Service.Do(ctx, server, c.call)
		c.mayHaveRun = c.mayHaveRun || err != nil && !provesNotRun(err)
	}
	if err == nil {
		q.Survived(time.Now(), c.req.digest)
	}
	crashed := turmericshed.KindOf(err) == turmericshed.KindCallUnknown && ctx.Err() == nil
	q.Ended(time.Now(), c.req.digest, server.ID, crashed)
	return answer, err
}

// dispatch picks a server and sends the call to it. beforeSend, if not nil, runs immediately before
// sending; its error prevents the call.
func (c *serviceCall) dispatch(ctx context.Context, beforeSend func() error) (turmericshed.Answer, error) {
	server, err := c.e.deps.Router.Pick(ctx, time.Now(), c.route)
	if err != nil {
		return turmericshed.Answer{}, err
	}
	c.e.deps.Recorder.Record(turmericshed.Event{
		Name: turmericshed.EventDispatched, Request: c.req.id, Profile: c.req.profile.Name, Server: server.ID,
		Reason: c.call.Key,
	})
	startedAt := time.Now()
	answer, err := c.send(ctx, server, beforeSend)
	c.e.deps.Router.Done(time.Now(), server.ID, c.route, turmericshed.DispatchResult{
		Err: err, FirstByte: time.Since(startedAt), Elapsed: time.Since(startedAt),
	})
	if err != nil {
		c.route.Excluded = append(c.route.Excluded, server.ID)
		c.e.learnReplacement(server, err)
	}
	return answer, err
}
