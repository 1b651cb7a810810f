package tssoak

import (
	"errors"
	"slices"
	"strings"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsdedupe"
	"turmericshed/core/tsframe"
)

const (
	// connectTimeout is how long a VM waits for a connection to a server.
	connectTimeout = time.Second
	// frameTimeout is how long a VM waits for the next frame.
	frameTimeout = 2 * time.Second
	// maxDispatches bounds the dispatches of one generation or call.
	maxDispatches = 3
	// maxResumes bounds the resumes of one dispatch.
	maxResumes = 2
	// cancelRetryInterval is the wait before a cancel is retried.
	cancelRetryInterval = time.Second
	// maxCancels bounds the retries of a cancel.
	maxCancels = 60
)

// generation is the state of a request for a generation at one VM.
type generation struct {
	vm  *vm
	req *request
	// dispatch is the latest dispatch, and dispatches the number of them.
	dispatch   *dispatch
	profile    turmericshed.Profile
	budget     *budgetState
	dispatches int
	// mayHaveRun is set once a dispatch was sent to an engine.
	mayHaveRun bool
	done       bool
	// shared holds the frames for all attempts with the same key.
	shared *tsdedupe.Stream[*generation]
	// excludedEngines holds the engines that failed this generation.
	excludedEngines []turmericshed.ServerID
}

// dispatch is one dispatch of a generation to an engine.
type dispatch struct {
	generation  *generation
	engine      *engine
	stream      turmericshed.StreamID
	reservation turmericshed.Reservation
	checker     *tsframe.Checker
	resumes     int
	startedAt   time.Time
	// lastFrameAt is when the last frame was relayed, or else when the dispatch
	// was started or resumed.
	lastFrameAt time.Time
	settled     bool
	finished    bool
}

// generate handles an attempt at a generation. It refuses the attempt when the VM
// is draining, the profile is not served or the prompt is quarantined.
func (v *vm) generate(t *callerAttempt) {
	req := t.req
	p, ok := v.profile(req.profile)
	g := &generation{vm: v, req: req, profile: p}
	v.openRequests++
	t.work = g
	switch {
	case v.draining:
		g.refuse(turmericshed.NewError(turmericshed.KindDraining, "entry VM is draining"))
	case !ok || p.Closed:
		g.refuse(turmericshed.NewError(turmericshed.KindUnknownProfile, "profile does not exist or is closed"))
	default:
		if err := v.poison.Check(v.w.now, req.digest); err != nil {
			g.refuse(err)
			return
		}
		g.join(t)
	}
}

// join joins the generation with the same key, or starts this one when there is
// none.
func (g *generation) join(t *callerAttempt) {
	v := g.vm
	s, joined, err := v.dedupe.Join(v.w.now, g.req.account, g.req.key, g.req.digest)
	if err != nil {
		g.refuse(err)
		return
	}
	if !joined {
		s.Handle, g.shared, g.budget = g, s, v.budgetStateFor(g.profile)
		v.w.books.recordStart(v.w, g.bookKey())
		g.reserve(t.deadline)
		return
	}
	v.openRequests--
	v.w.books.joinedAttempts++
	t.work = s.Handle
	if s.Ended() {
		s.Handle.deliverAnswer()
	}
}

// bookKey identifies the request at this VM in the books.
func (g *generation) bookKey() string { return string(g.vm.self.Incarnation) + " " + g.req.key }

// deliverAnswer reads the shared stream from its start and passes the complete
// answer to the caller.
func (g *generation) deliverAnswer() {
	var text strings.Builder
	for position := 0; ; position++ {
		f, state := g.shared.Read(position)
		if state != tsdedupe.ReadFrame {
			turmericshed.Assert(state == tsdedupe.ReadEnd, "answer_kept", "%s: state %d at frame %d", g.req.key, state, position)
			return
		}
		text.WriteString(f.Text)
		if f.End {
			g.req.acceptAnswer(g, text.String(), f.Usage)
		}
	}
}

// reserve queues the generation for a reservation of its worst case, until the
// deadline.
func (g *generation) reserve(deadline time.Time) {
	v := g.vm
	g.budget.queue.Add(g, tsbudget.Waiter{
		Profile: g.profile, Request: turmericshed.RequestID(g.req.key), Amount: g.req.worstCase, Round: g.budget.roundsStarted, Deadline: deadline,
	})
	v.grantWaiting(g.budget)
	v.startRound(g.budget)
}

// refuse ends the generation with an error. An error with outcome not_run becomes
// unknown if a dispatch was sent before.
func (g *generation) refuse(err error) {
	if g.done {
		return
	}
	g.done = true
	g.vm.openRequests--
	if g.shared != nil {
		g.shared.Fail(g.vm.w.now, err)
		delete(g.vm.w.books.generationStarts, g.bookKey())
	}
	if g.mayHaveRun && turmericshed.OutcomeOf(err) == turmericshed.OutcomeNotRun {
		err = turmericshed.WithOutcome(err, turmericshed.OutcomeUnknown)
	}
	g.req.failAttempt(g, err)
}

// dispatchReserved picks an engine for a generation whose tokens are reserved.
func (g *generation) dispatchReserved(res turmericshed.Reservation) {
	v := g.vm
	if err := v.poison.Check(v.w.now, g.req.digest); err != nil {
		g.dispatchTo(res, nil, err)
		return
	}
	v.pickEngine(g, nil, func(e *engine, err error) { g.dispatchTo(res, e, err) })
}

// dispatchTo dispatches to the engine under the reservation. Without an engine it
// releases the reservation and refuses the generation with err.
func (g *generation) dispatchTo(res turmericshed.Reservation, e *engine, err error) {
	v := g.vm
	if e != nil && g.done {
		v.router.Release(v.w.now, e.id)
		e = nil
	}
	if e == nil {
		v.holder.Settle(v.w.now, res, 0)
		g.refuse(err)
		return
	}
	g.dispatches++
	t := &dispatch{generation: g, engine: e, stream: turmericshed.StreamID(v.w.newID("stream-")), reservation: res, startedAt: v.w.now, lastFrameAt: v.w.now}
	t.checker = tsframe.New(t.stream, g.req.maxTokens)
	g.dispatch = t
	if err := v.poison.Started(v.w.now, g.req.digest, e.id); err != nil {
		v.holder.Settle(v.w.now, res, 0)
		t.reportToRouter(nil)
		g.refuse(err)
		return
	}
	t.connect()
}

// routeRequest returns the description of this generation for the router.
func (g *generation) routeRequest() turmericshed.RouteRequest {
	r := profileRouteRequest(g.req.profile)
	r.Cost, r.Excluded = g.req.maxTokens, g.excludedEngines
	return r
}

// profileRouteRequest returns the route request that all requests of a profile
// share, without cost and exclusions.
func profileRouteRequest(profile turmericshed.ProfileName) turmericshed.RouteRequest {
	return turmericshed.RouteRequest{Work: turmericshed.WorkAssistant, Model: model, Prefix: uint64(len(profile))}
}

// pickEngine picks an engine, other than those in denied, whose limit permits the
// request. It asserts that an engine that refused this VM as leaving is never
// picked again, even while the platform's list does not show it as leaving.
func (v *vm) pickEngine(g *generation, denied []turmericshed.ServerID, done func(e *engine, err error)) {
	r := g.routeRequest()
	r.Excluded = append(slices.Clone(r.Excluded), denied...)
	s, err := v.router.Pick(v.w.now, r)
	if err != nil {
		done(nil, err)
		return
	}
	turmericshed.Assert(!v.leavingEngines[s.ID], "leaving_gets_no_work", "%s sends to %s, which refused as leaving", v.self.Incarnation, s.ID)
	v.acquirePermit(s.ID, func(ok bool) {
		if ok {
			done(v.w.enginesByID[s.ID], nil)
			return
		}
		v.router.Release(v.w.now, s.ID)
		v.pickEngine(g, append(denied, s.ID), done)
	})
}

// reportToRouter reports the result of the dispatch to the router, which counted
// it as running since pickEngine, and excludes an engine that failed.
func (t *dispatch) reportToRouter(err error) {
	v, g := t.generation.vm, t.generation
	v.router.Done(v.w.now, t.engine.id, g.routeRequest(), turmericshed.DispatchResult{Err: err, FirstByte: v.w.now.Sub(t.startedAt), Elapsed: v.w.now.Sub(t.startedAt)})
	if errors.Is(err, errLeaving) {
		v.leavingEngines[t.engine.id] = true
		v.router.SetLeaving(v.w.now, t.engine.id)
	}
	if err != nil {
		g.excludedEngines = append(g.excludedEngines, t.engine.id)
	}
}

// connect sends the request to the engine and watches for its frames. The dispatch
// fails after connectTimeout when the engine cannot be reached.
func (t *dispatch) connect() {
	v, w := t.generation.vm, t.generation.vm.w
	if t.engine.down || !w.network.connected(v.location, t.engine.location) {
		v.after(connectTimeout, func() {
			t.handleNotSent(turmericshed.NewError(turmericshed.KindNoBackend, "no connection to %s", t.engine.id))
		})
		return
	}
	t.generation.mayHaveRun = true
	w.schedule(w.network.latency(w, v.location, t.engine.location), func() {
		if t.engine.down {
			return // the connection is lost; watchSilence detects it
		}
		t.engine.recordArrival(v)
		err := t.engine.start(t.generation, t.stream, t.sink())
		if turmericshed.KindOf(err) == turmericshed.KindBackendRefused {
			w.send(t.engine.location, v.location, func() { v.runOrQueue(func() { t.handleNotSent(err) }) })
		}
		t.engine.sendLimit(v, t.startedAt)
	})
	t.watchSilence()
}

// sink returns the function through which the engine sends frames to this VM.
func (t *dispatch) sink() func(f turmericshed.Frame) {
	v, w := t.generation.vm, t.generation.vm.w
	return func(f turmericshed.Frame) {
		w.send(t.engine.location, v.location, func() { v.runOrQueue(func() { t.handleFrame(f) }) })
	}
}

// handleNotSent ends a dispatch that the engine did not start, so that it consumed
// no tokens, and requests a new reservation to retry on another engine. After
// maxDispatches it refuses the generation with err.
func (t *dispatch) handleNotSent(err error) {
	if t.finished {
		return
	}
	v := t.generation.vm
	t.finished = true
	v.poison.Ended(v.w.now, t.generation.req.digest, t.engine.id, false)
	t.reportToRouter(err)
	t.settle(turmericshed.Usage{})
	if t.generation.dispatches >= maxDispatches || t.generation.done {
		t.generation.refuse(err)
		return
	}
	t.generation.reserve(v.w.now.Add(5 * time.Second))
}

// settle bills the usage of the dispatch. It asserts that this happens only once.
func (t *dispatch) settle(u turmericshed.Usage) {
	turmericshed.Assert(!t.settled, "try_settled_once", "%s", t.stream)
	t.settled = true
	v := t.generation.vm
	v.w.books.recordBill(t.stream, u.Total())
	v.holder.Settle(v.w.now, t.reservation, u.Total())
}

// handleFrame checks a frame from the engine and appends it to the shared stream.
// Frames that the checker rejects without an error are dropped.
func (t *dispatch) handleFrame(f turmericshed.Frame) {
	verdict, err := t.checker.Check(f)
	switch {
	case t.finished:
	case err != nil:
		t.handleBroken()
	case verdict != tsframe.Relay:
		t.generation.vm.w.books.droppedFrames++
	default:
		t.lastFrameAt = t.generation.vm.w.now
		if !t.generation.done {
			t.generation.shared.Append(t.generation.vm.w.now, f)
		}
		if f.End {
			t.complete()
		}
	}
}

// complete ends the dispatch after its final frame and delivers the answer.
func (t *dispatch) complete() {
	v, g := t.generation.vm, t.generation
	t.checker.AssertComplete()
	t.finished = true
	usage, _ := t.checker.CompleteUsage()
	v.poison.Ended(v.w.now, g.req.digest, t.engine.id, false)
	v.poison.Survived(v.w.now, g.req.digest)
	t.reportToRouter(nil)
	t.settle(usage)
	if !g.done {
		g.done = true
		v.openRequests--
		g.deliverAnswer()
	}
}

// watchSilence treats the stream as broken when no frame arrives for frameTimeout.
func (t *dispatch) watchSilence() {
	v := t.generation.vm
	v.after(frameTimeout, func() {
		switch {
		case t.finished:
		case v.w.now.Sub(t.lastFrameAt) >= frameTimeout:
			t.handleBroken()
		default:
			t.watchSilence()
		}
	})
}

// handleBroken resumes a broken stream when the engine is reachable and resumes
// are left. Otherwise it cancels the stream and refuses the generation.
func (t *dispatch) handleBroken() {
	v, w := t.generation.vm, t.generation.vm.w
	if t.finished {
		return
	}
	if t.resumes < maxResumes && !t.engine.down && w.network.connected(v.location, t.engine.location) {
		t.resumes++
		t.lastFrameAt = w.now
		t.checker.Resumed()
		next := t.checker.Next()
		w.schedule(w.network.latency(w, v.location, t.engine.location), func() {
			if !t.engine.down {
				t.engine.resume(t.stream, next, t.sink())
			}
		})
		t.watchSilence()
		return
	}
	t.finished = true
	// An unreachable server cannot be distinguished from one that crashed.
	crashed := t.engine.down || !w.network.connected(v.location, t.engine.location)
	v.poison.Ended(w.now, t.generation.req.digest, t.engine.id, crashed)
	t.reportToRouter(turmericshed.NewError(turmericshed.KindStreamBroken, "%s stopped sending frames", t.engine.id))
	v.holder.Suspend(t.reservation)
	t.cancel(0)
	t.generation.refuse(turmericshed.NewError(turmericshed.KindStreamBroken, "stream was interrupted and could not be resumed"))
}

// cancel cancels the stream and settles the usage that the engine returns. It is
// retried every cancelRetryInterval; n counts the retries. An engine that is gone
// never answers, so that its reservation stays charged.
func (t *dispatch) cancel(n int) {
	v, w := t.generation.vm, t.generation.vm.w
	if t.settled || n > maxCancels {
		return
	}
	if !t.engine.down && w.network.connected(v.location, t.engine.location) {
		w.schedule(w.network.latency(w, v.location, t.engine.location), func() {
			if t.engine.down {
				return
			}
			usage := t.engine.cancel(t.stream)
			w.send(t.engine.location, v.location, func() {
				v.runOrQueue(func() {
					if !t.settled {
						t.settle(usage)
					}
				})
			})
		})
	}
	v.after(cancelRetryInterval, func() { t.cancel(n + 1) })
}
