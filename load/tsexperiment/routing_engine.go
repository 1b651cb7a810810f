package tsexperiment

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"turmericshed"
)

// The speed and capacity of the fake engine.
const (
	routingSlots = 16
	// routingStepTime is the time of one decoding step; each running request adds
	// routingStepTimePerRequest.
	routingStepTime           = 20 * time.Millisecond
	routingStepTimePerRequest = 500 * time.Microsecond
	// routingPrefillPerToken is the time to prefill one prompt token that is not cached. It delays
	// the whole batch.
	routingPrefillPerToken = 60 * time.Microsecond
	routingPrefixTokens    = 1000
	routingUniqueTokens    = 100
	// routingCachedPrefixes is the capacity of an engine's prefix cache.
	routingCachedPrefixes = 40
)

// routingRun is one generation at a fake engine.
type routingRun struct {
	prefix     uint64
	tokensLeft int
	hasStarted bool
	isCanceled bool
	// The engine invokes the callbacks; they add the network delay to the entry VM themselves.
	onFirstToken, onEnd func()
	onBreak             func(error)
}

// routingEngine is a fake engine with continuous batching: before each step it admits queued
// requests, then it decodes one token of every running request.
type routingEngine struct {
	sim          *routingSim
	server       turmericshed.BackendServer
	queue        []*routingRun
	running      []*routingRun
	cache        *simplelru.LRU[uint64, struct{}]
	isStepping   bool
	isDead       bool
	isBlackHole  bool
	leavingSince time.Duration
	// lateDispatches counts dispatches that arrive more than 2 s after the engine began to leave.
	lateDispatches int
	hits, misses   int
}

func newRoutingEngine(sim *routingSim, s turmericshed.BackendServer) *routingEngine {
	cache, err := simplelru.NewLRU[uint64, struct{}](routingCachedPrefixes, nil)
	turmericshed.Assert(err == nil, "cache_size", "%v", err)
	return &routingEngine{sim: sim, server: s, cache: cache}
}

// submit queues a generation or refuses it.
func (e *routingEngine) submit(r *routingRun) error {
	late := e.leavingSince > 0 && e.sim.now > e.leavingSince+2*time.Second
	if late {
		e.lateDispatches++
	}
	switch {
	case e.isDead:
		return turmericshed.NewError(turmericshed.KindNoBackend, "connection refused")
	case e.leavingSince > 0:
		return turmericshed.WrapError(turmericshed.KindBackendRefused, errRoutingLeaving, "%s", e.server.ID)
	case e.isBlackHole:
		return turmericshed.NewError(turmericshed.KindBackendRefused, "internal error")
	}
	e.queue = append(e.queue, r)
	if !e.isStepping {
		e.step()
	}
	return nil
}

// step admits queued requests and starts one decoding step.
func (e *routingEngine) step() {
	e.isStepping = true
	var prefill time.Duration
	for len(e.queue) > 0 && len(e.running) < routingSlots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		if r.isCanceled {
			continue
		}
		prefill += e.prefill(r)
		e.running = append(e.running, r)
	}
	d := routingStepTime + time.Duration(len(e.running))*routingStepTimePerRequest + prefill
	e.sim.after(d, e.endStep)
}

// prefill returns the prefill time of the prompt and caches its prefix.
func (e *routingEngine) prefill(r *routingRun) time.Duration {
	tokens := routingUniqueTokens
	if r.prefix != 0 {
		if _, ok := e.cache.Get(r.prefix); ok {
			e.hits++
		} else {
			e.misses++
			tokens += routingPrefixTokens
			e.cache.Add(r.prefix, struct{}{})
		}
	}
	return time.Duration(tokens) * routingPrefillPerToken
}

func (e *routingEngine) endStep() {
	if e.isDead {
		return
	}
	remaining := e.running[:0]
	for _, r := range e.running {
		if r.isCanceled {
			continue
		}
		if !r.hasStarted {
			r.hasStarted = true
			r.onFirstToken()
		}
		if r.tokensLeft--; r.tokensLeft <= 0 {
			r.onEnd()
			continue
		}
		remaining = append(remaining, r)
	}
	e.running = remaining
	if len(e.running)+len(e.queue) > 0 {
		e.step()
		return
	}
	e.isStepping = false
}

// crash terminates the engine and breaks its running and queued generations.
func (e *routingEngine) crash() {
	e.isDead = true
	for _, r := range append(e.running, e.queue...) {
		if !r.isCanceled {
			r.onBreak(turmericshed.NewError(turmericshed.KindStreamBroken, "connection reset"))
		}
	}
	e.running, e.queue = nil, nil
}

// load returns a load report.
func (e *routingEngine) load(at time.Time) turmericshed.LoadReport {
	return turmericshed.LoadReport{
		Server: e.server.ID, At: at, Running: len(e.running), Queued: len(e.queue), Leaving: e.leavingSince > 0,
	}
}
