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
	// connectTimeout is how long a VM waits for an engine's first sign.
	connectTimeout = time.Second
	// silence is how long a VM waits for the next frame.
	frameTimeout = 2 * time.Second
	// maxTries bounds the engines that one generation is sent to.
	maxDispatches = 3
	// maxResumes bounds the resumes of one generation.
	maxResumes = 2
	// cancelRetry is the wait before a cancel is sent again.
	cancelRetryInterval = time.Second
	// cancelsAtMost bounds the cancels that one stream is sent.
	maxCancels = 60
)

// generation is one request for a generation at a VM.
type generation struct {
	vm         *vm
	req        *request
	dispatch   *dispatch
	profile    turmericshed.Profile
	budget     *budgetState
	dispatches int
	mayHaveRun bool
	done       bool
	// shared is what attempts under the same key read.
	shared *tsdedupe.Stream[*generation]
	// excluded are the engines that failed the request.
	excludedEngines []turmericshed.ServerID
}

// try is one dispatch of a generation to an engine.
type dispatch struct {
	generation  *generation
	engine      *engine
	stream      turmericshed.StreamID
	reservation turmericshed.Reservation
	checker     *tsframe.Checker
	resumes     int
	startedAt   time.Time
	lastFrameAt time.Time
	settled     bool
	finished    bool
}

// generate takes a request in.
func (v *vm) generate(t *callerAttempt) {
	req := t.req
	p, ok := v.profile(req.profile)
	g := &generation{vm: v, req: req, profile: p}
	v.openRequests++
	t.work = g
	switch {
	case v.draining:
		g.refuse(turmericshed.NewError(turmericshed.KindDraining, "draining"))
	case !ok || p.Closed:
		g.refuse(turmericshed.NewError(turmericshed.KindUnknownProfile, "no such profile"))
	default:
		if err := v.poison.Check(v.w.now, req.digest); err != nil {
			g.refuse(err)
			return
		}
		g.join(t)
	}
}

// join takes part in the generation that runs under the same key, or begins
// one.
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

// bookKey names the request at this VM.
func (g *generation) bookKey() string { return string(g.vm.self.Incarnation) + " " + g.req.key }

// answer tells the caller the whole answer, frame by frame from the start.
func (g *generation) deliverAnswer() {
	var text strings.Builder
	for pos := 0; ; pos++ {
		f, state := g.shared.Read(pos)
		if state != tsdedupe.ReadFrame {
			turmericshed.Assert(state == tsdedupe.ReadEnd, "answer_kept", "%s: state %d at frame %d", g.req.key, state, pos)
			return
		}
		text.WriteString(f.Text)
		if f.End {
			g.req.acceptAnswer(g, text.String(), f.Usage)
		}
	}
}

// reserve waits for the worst case to be reserved.
func (g *generation) reserve(deadline time.Time) {
	v := g.vm
	g.budget.queue.Add(g, tsbudget.Waiter{
		Profile: g.profile, Request: turmericshed.RequestID(g.req.key), Amount: g.req.worstCase, Round: g.budget.roundsStarted, Deadline: deadline,
	})
	v.grantWaiting(g.budget)
	v.startRound(g.budget)
}

// refuse ends the request without an answer.
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

// reserved dispatches under a reservation.
func (g *generation) dispatchReserved(res turmericshed.Reservation) {
	v := g.vm
	if err := v.poison.Check(v.w.now, g.req.digest); err != nil {
		g.dispatchTo(res, nil, err)
		return
	}
	v.pickEngine(g, nil, func(e *engine, err error) { g.dispatchTo(res, e, err) })
}

// picked dispatches to an engine, if there is one.
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

// route describes the request to the router.
func (g *generation) routeRequest() turmericshed.RouteRequest {
	r := profileRouteRequest(g.req.profile)
	r.Cost, r.Excluded = g.req.maxTokens, g.excludedEngines
	return r
}

// routeOf describes the requests of a profile.
func profileRouteRequest(profile turmericshed.ProfileName) turmericshed.RouteRequest {
	return turmericshed.RouteRequest{Work: turmericshed.WorkAssistant, Model: model, Prefix: uint64(len(profile))}
}

// pick chooses an engine. One that told this VM that it is leaving must never
// be chosen again, also when the platform's list doesn't say so yet.
func (v *vm) pickEngine(g *generation, closed []turmericshed.ServerID, done func(e *engine, err error)) {
	r := g.routeRequest()
	r.Excluded = append(slices.Clone(r.Excluded), closed...)
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
		v.pickEngine(g, append(closed, s.ID), done)
	})
}

// routed ends what pick counted.
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

// connect sends the request to the engine.
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
			return // the connection breaks: silence
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

// sink returns what takes frames over the network.
func (t *dispatch) sink() func(f turmericshed.Frame) {
	v, w := t.generation.vm, t.generation.vm.w
	return func(f turmericshed.Frame) {
		w.send(t.engine.location, v.location, func() { v.runOrQueue(func() { t.handleFrame(f) }) })
	}
}

// notSent ends a try that certainly consumed nothing, and goes on with
// another engine.
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

// settle bills the try, once.
func (t *dispatch) settle(u turmericshed.Usage) {
	turmericshed.Assert(!t.settled, "try_settled_once", "%s", t.stream)
	t.settled = true
	v := t.generation.vm
	v.w.books.recordBill(t.stream, u.Total())
	v.holder.Settle(v.w.now, t.reservation, u.Total())
}

// frame takes a frame of the engine.
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

// whole ends the request with its answer.
func (t *dispatch) complete() {
	v, g := t.generation.vm, t.generation
	t.checker.AssertWhole()
	t.finished = true
	usage, _ := t.checker.Whole()
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

// watch breaks the stream off when nothing arrives.
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

// broken resumes the stream where that may help, else cancels it.
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
	// A server that can't be reached looks the same as one that crashed.
	crashed := t.engine.down || !w.network.connected(v.location, t.engine.location)
	v.poison.Ended(w.now, t.generation.req.digest, t.engine.id, crashed)
	t.reportToRouter(turmericshed.NewError(turmericshed.KindStreamBroken, "%s went silent", t.engine.id))
	v.holder.Suspend(t.reservation)
	t.cancel(0)
	t.generation.refuse(turmericshed.NewError(turmericshed.KindStreamBroken, "the stream broke"))
}

// cancel asks the engine for the final usage until it tells. A server that is
// gone never tells: the reservation stays charged.
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
