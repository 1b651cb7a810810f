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
	silence = 2 * time.Second
	// maxTries bounds the engines that one generation is sent to.
	maxTries = 3
	// maxResumes bounds the resumes of one generation.
	maxResumes = 2
	// cancelRetry is the wait before a cancel is sent again.
	cancelRetry = time.Second
	// cancelsAtMost bounds the cancels that one stream is sent.
	cancelsAtMost = 60
)

// generation is one request for a generation at a VM.
type generation struct {
	v    *vm
	req  *request
	try  *try
	p    turmericshed.Profile
	b    *balance
	n    int
	ran  bool
	done bool
	// shared is what attempts under the same key read.
	shared *tsdedupe.Stream[*generation]
	// excluded are the engines that failed the request.
	excluded []turmericshed.ServerID
}

// try is one dispatch of a generation to an engine.
type try struct {
	g        *generation
	e        *engine
	stream   turmericshed.StreamID
	res      turmericshed.Reservation
	checker  *tsframe.Checker
	resumes  int
	began    time.Time
	heard    time.Time
	settled  bool
	finished bool
}

// generate takes a request in.
func (v *vm) generate(t *callerTry) {
	req := t.req
	p, ok := v.profile(req.profile)
	g := &generation{v: v, req: req, p: p}
	v.running++
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
func (g *generation) join(t *callerTry) {
	v := g.v
	s, joined, err := v.dedupe.Join(v.w.now, g.req.account, g.req.key, g.req.digest)
	if err != nil {
		g.refuse(err)
		return
	}
	if !joined {
		s.Handle, g.shared, g.b = g, s, v.balance(g.p)
		v.w.books.begin(v.w, g.bookKey())
		g.reserve(t.deadline)
		return
	}
	v.running--
	v.w.books.joined++
	t.work = s.Handle
	if s.Ended() {
		s.Handle.answer()
	}
}

// bookKey names the request at this VM.
func (g *generation) bookKey() string { return string(g.v.self.Incarnation) + " " + g.req.key }

// answer tells the caller the whole answer, frame by frame from the start.
func (g *generation) answer() {
	var text strings.Builder
	for pos := 0; ; pos++ {
		f, state := g.shared.Read(pos)
		if state != tsdedupe.ReadFrame {
			turmericshed.Assert(state == tsdedupe.ReadEnd, "answer_kept", "%s: state %d at frame %d", g.req.key, state, pos)
			return
		}
		text.WriteString(f.Text)
		if f.End {
			g.req.answered(g, text.String(), f.Usage)
		}
	}
}

// reserve waits for the worst case to be reserved.
func (g *generation) reserve(deadline time.Time) {
	v := g.v
	g.b.queue.Add(g, tsbudget.Waiter{
		Profile: g.p, Request: turmericshed.RequestID(g.req.key), Amount: g.req.worst, Round: g.b.begun, Deadline: deadline,
	})
	v.grant(g.b)
	v.kick(g.b)
}

// refuse ends the request without an answer.
func (g *generation) refuse(err error) {
	if g.done {
		return
	}
	g.done = true
	g.v.running--
	if g.shared != nil {
		g.shared.Fail(g.v.w.now, err)
		delete(g.v.w.books.begun, g.bookKey())
	}
	if g.ran && turmericshed.OutcomeOf(err) == turmericshed.OutcomeNotRun {
		err = turmericshed.WithOutcome(err, turmericshed.OutcomeUnknown)
	}
	g.req.ended(g, err)
}

// reserved dispatches under a reservation.
func (g *generation) reserved(res turmericshed.Reservation) {
	v := g.v
	if err := v.poison.Check(v.w.now, g.req.digest); err != nil {
		g.picked(res, nil, err)
		return
	}
	v.pick(g, nil, func(e *engine, err error) { g.picked(res, e, err) })
}

// picked dispatches to an engine, if there is one.
func (g *generation) picked(res turmericshed.Reservation, e *engine, err error) {
	v := g.v
	if e != nil && g.done {
		v.router.Release(v.w.now, e.id)
		e = nil
	}
	if e == nil {
		v.holder.Settle(v.w.now, res, 0)
		g.refuse(err)
		return
	}
	g.n++
	t := &try{g: g, e: e, stream: turmericshed.StreamID(v.w.id("stream-")), res: res, began: v.w.now, heard: v.w.now}
	t.checker = tsframe.New(t.stream, g.req.maxTokens)
	g.try = t
	if err := v.poison.Started(v.w.now, g.req.digest, e.id); err != nil {
		v.holder.Settle(v.w.now, res, 0)
		t.routed(nil)
		g.refuse(err)
		return
	}
	t.connect()
}

// route describes the request to the router.
func (g *generation) route() turmericshed.RouteRequest {
	r := routeOf(g.req.profile)
	r.Cost, r.Excluded = g.req.maxTokens, g.excluded
	return r
}

// routeOf describes the requests of a profile.
func routeOf(profile turmericshed.ProfileName) turmericshed.RouteRequest {
	return turmericshed.RouteRequest{Work: turmericshed.WorkAssistant, Model: model, Prefix: uint64(len(profile))}
}

// pick chooses an engine. One that told this VM that it is leaving must never
// be chosen again, also when the platform's list doesn't say so yet.
func (v *vm) pick(g *generation, closed []turmericshed.ServerID, done func(e *engine, err error)) {
	r := g.route()
	r.Excluded = append(slices.Clone(r.Excluded), closed...)
	s, err := v.router.Pick(v.w.now, r)
	if err != nil {
		done(nil, err)
		return
	}
	turmericshed.Assert(!v.refused[s.ID], "leaving_gets_no_work", "%s sends to %s, which refused as leaving", v.self.Incarnation, s.ID)
	v.acquire(s.ID, func(ok bool) {
		if ok {
			done(v.w.byID[s.ID], nil)
			return
		}
		v.router.Release(v.w.now, s.ID)
		v.pick(g, append(closed, s.ID), done)
	})
}

// routed ends what pick counted.
func (t *try) routed(err error) {
	v, g := t.g.v, t.g
	v.router.Done(v.w.now, t.e.id, g.route(), turmericshed.DispatchResult{Err: err, FirstByte: v.w.now.Sub(t.began), Elapsed: v.w.now.Sub(t.began)})
	if errors.Is(err, errLeaving) {
		v.refused[t.e.id] = true
		v.router.SetLeaving(v.w.now, t.e.id)
	}
	if err != nil {
		g.excluded = append(g.excluded, t.e.id)
	}
}

// connect sends the request to the engine.
func (t *try) connect() {
	v, w := t.g.v, t.g.v.w
	if t.e.down || !w.net.ok(v.at, t.e.at) {
		v.after(connectTimeout, func() { t.notSent(turmericshed.NewError(turmericshed.KindNoBackend, "no connection to %s", t.e.id)) })
		return
	}
	t.g.ran = true
	w.at(w.net.latency(w, v.at, t.e.at), func() {
		if t.e.down {
			return // the connection breaks: silence
		}
		t.e.arrived(v)
		err := t.e.start(t.g, t.stream, t.sink())
		if turmericshed.KindOf(err) == turmericshed.KindBackendRefused {
			w.send(t.e.at, v.at, func() { v.do(func() { t.notSent(err) }) })
		}
		t.e.tellLimit(v, t.began)
	})
	t.watch()
}

// sink returns what takes frames over the network.
func (t *try) sink() func(f turmericshed.Frame) {
	v, w := t.g.v, t.g.v.w
	return func(f turmericshed.Frame) {
		w.send(t.e.at, v.at, func() { v.do(func() { t.frame(f) }) })
	}
}

// notSent ends a try that certainly consumed nothing, and goes on with
// another engine.
func (t *try) notSent(err error) {
	if t.finished {
		return
	}
	v := t.g.v
	t.finished = true
	v.poison.Ended(v.w.now, t.g.req.digest, t.e.id, false)
	t.routed(err)
	t.settle(turmericshed.Usage{})
	if t.g.n >= maxTries || t.g.done {
		t.g.refuse(err)
		return
	}
	t.g.reserve(v.w.now.Add(5 * time.Second))
}

// settle bills the try, once.
func (t *try) settle(u turmericshed.Usage) {
	turmericshed.Assert(!t.settled, "try_settled_once", "%s", t.stream)
	t.settled = true
	v := t.g.v
	v.w.books.bill(t.stream, u.Total())
	v.holder.Settle(v.w.now, t.res, u.Total())
}

// frame takes a frame of the engine.
func (t *try) frame(f turmericshed.Frame) {
	verdict, err := t.checker.Check(f)
	switch {
	case t.finished:
	case err != nil:
		t.broken()
	case verdict != tsframe.Relay:
		t.g.v.w.books.dropped++
	default:
		t.heard = t.g.v.w.now
		if !t.g.done {
			t.g.shared.Append(t.g.v.w.now, f)
		}
		if f.End {
			t.whole()
		}
	}
}

// whole ends the request with its answer.
func (t *try) whole() {
	v, g := t.g.v, t.g
	t.checker.AssertWhole()
	t.finished = true
	usage, _ := t.checker.Whole()
	v.poison.Ended(v.w.now, g.req.digest, t.e.id, false)
	v.poison.Survived(v.w.now, g.req.digest)
	t.routed(nil)
	t.settle(usage)
	if !g.done {
		g.done = true
		v.running--
		g.answer()
	}
}

// watch breaks the stream off when nothing arrives.
func (t *try) watch() {
	v := t.g.v
	v.after(silence, func() {
		switch {
		case t.finished:
		case v.w.now.Sub(t.heard) >= silence:
			t.broken()
		default:
			t.watch()
		}
	})
}

// broken resumes the stream where that may help, else cancels it.
func (t *try) broken() {
	v, w := t.g.v, t.g.v.w
	if t.finished {
		return
	}
	if t.resumes < maxResumes && !t.e.down && w.net.ok(v.at, t.e.at) {
		t.resumes++
		t.heard = w.now
		t.checker.Resumed()
		next := t.checker.Next()
		w.at(w.net.latency(w, v.at, t.e.at), func() {
			if !t.e.down {
				t.e.resume(t.stream, next, t.sink())
			}
		})
		t.watch()
		return
	}
	t.finished = true
	// A server that can't be reached looks the same as one that crashed.
	crashed := t.e.down || !w.net.ok(v.at, t.e.at)
	v.poison.Ended(w.now, t.g.req.digest, t.e.id, crashed)
	t.routed(turmericshed.NewError(turmericshed.KindStreamBroken, "%s went silent", t.e.id))
	v.holder.Suspend(t.res)
	t.cancel(0)
	t.g.refuse(turmericshed.NewError(turmericshed.KindStreamBroken, "the stream broke"))
}

// cancel asks the engine for the final usage until it tells. A server that is
// gone never tells: the reservation stays charged.
func (t *try) cancel(n int) {
	v, w := t.g.v, t.g.v.w
	if t.settled || n > cancelsAtMost {
		return
	}
	if !t.e.down && w.net.ok(v.at, t.e.at) {
		w.at(w.net.latency(w, v.at, t.e.at), func() {
			if t.e.down {
				return
			}
			usage := t.e.cancel(t.stream)
			w.send(t.e.at, v.at, func() {
				v.do(func() {
					if !t.settled {
						t.settle(usage)
					}
				})
			})
		})
	}
	v.after(cancelRetry, func() { t.cancel(n + 1) })
}
