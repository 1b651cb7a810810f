package tsexperiment

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"turmericshed"
)

// The speeds of the fake engine.
const (
	routingSlots = 16
	// routingStep is the time of one decoding step, routingStepPer what each
	// running request adds to it.
	routingStepTime           = 20 * time.Millisecond
	routingStepTimePerRequest = 500 * time.Microsecond
	// routingPrefill is the time of one prompt token that is not cached. It
	// holds up the whole batch.
	routingPrefillPerToken = 60 * time.Microsecond
	routingPrefixTokens    = 1000
	routingUniqueTokens    = 100
	// routingCached is the number of prefixes that an engine's memory holds.
	routingCachedPrefixes = 40
)

// routingRun is one generation at a fake engine.
type routingRun struct {
	prefix     uint64
	tokensLeft int
	hasStarted bool
	isCanceled bool
	// first, ended and broken are called at the engine's time.
	onFirstToken, onEnd func()
	onBreak             func(error)
}

// routingEngine is a fake engine with continuous batching: each step decodes
// one token of every running request, and takes in queued requests first.
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
	// received counts dispatches later than 2 s after it began to leave.
	lateDispatches int
	hits, misses   int
}

func newRoutingEngine(sim *routingSim, s turmericshed.BackendServer) *routingEngine {
	cache, err := simplelru.NewLRU[uint64, struct{}](routingCachedPrefixes, nil)
	turmericshed.Assert(err == nil, "cache_size", "%v", err)
	return &routingEngine{sim: sim, server: s, cache: cache}
}

// submit takes a generation or refuses it.
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

// step runs one decoding step.
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

// prefill returns the time that the prompt takes and caches its prefix.
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

// die ends the engine and breaks what runs there.
func (e *routingEngine) crash() {
	e.isDead = true
	for _, r := range append(e.running, e.queue...) {
		if !r.isCanceled {
			r.onBreak(turmericshed.NewError(turmericshed.KindStreamBroken, "connection reset"))
		}
	}
	e.running, e.queue = nil, nil
}

// load returns a reading.
func (e *routingEngine) load(at time.Time) turmericshed.LoadReport {
	return turmericshed.LoadReport{
		Server: e.server.ID, At: at, Running: len(e.running), Queued: len(e.queue), Leaving: e.leavingSince > 0,
	}
}
