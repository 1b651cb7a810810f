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
	routingStep    = 20 * time.Millisecond
	routingStepPer = 500 * time.Microsecond
	// routingPrefill is the time of one prompt token that is not cached. It
	// holds up the whole batch.
	routingPrefill      = 60 * time.Microsecond
	routingPrefixTokens = 1000
	routingUniqueTokens = 100
	// routingCached is the number of prefixes that an engine's memory holds.
	routingCached = 40
)

// routingRun is one generation at a fake engine.
type routingRun struct {
	prefix   uint64
	left     int
	started  bool
	canceled bool
	// first, ended and broken are called at the engine's time.
	first, ended func()
	broken       func(error)
}

// routingEngine is a fake engine with continuous batching: each step decodes
// one token of every running request, and takes in queued requests first.
type routingEngine struct {
	sim      *routingSim
	server   turmericshed.BackendServer
	queue    []*routingRun
	running  []*routingRun
	cache    *simplelru.LRU[uint64, struct{}]
	stepping bool
	dead     bool
	hole     bool
	leftAt   time.Duration
	// received counts dispatches later than 2 s after it began to leave.
	receivedLate int
	hits, misses int
}

func newRoutingEngine(sim *routingSim, s turmericshed.BackendServer) *routingEngine {
	cache, err := simplelru.NewLRU[uint64, struct{}](routingCached, nil)
	turmericshed.Assert(err == nil, "cache_size", "%v", err)
	return &routingEngine{sim: sim, server: s, cache: cache}
}

// submit takes a generation or refuses it.
func (e *routingEngine) submit(r *routingRun) error {
	late := e.leftAt > 0 && e.sim.now > e.leftAt+2*time.Second
	if late {
		e.receivedLate++
	}
	switch {
	case e.dead:
		return turmericshed.NewError(turmericshed.KindNoBackend, "connection refused")
	case e.leftAt > 0:
		return turmericshed.WrapError(turmericshed.KindBackendRefused, errRoutingLeaving, "%s", e.server.ID)
	case e.hole:
		return turmericshed.NewError(turmericshed.KindBackendRefused, "internal error")
	}
	e.queue = append(e.queue, r)
	if !e.stepping {
		e.step()
	}
	return nil
}

// step runs one decoding step.
func (e *routingEngine) step() {
	e.stepping = true
	var prefill time.Duration
	for len(e.queue) > 0 && len(e.running) < routingSlots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		if r.canceled {
			continue
		}
		prefill += e.prefill(r)
		e.running = append(e.running, r)
	}
	d := routingStep + time.Duration(len(e.running))*routingStepPer + prefill
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
	return time.Duration(tokens) * routingPrefill
}

func (e *routingEngine) endStep() {
	if e.dead {
		return
	}
	keep := e.running[:0]
	for _, r := range e.running {
		if r.canceled {
			continue
		}
		if !r.started {
			r.started = true
			r.first()
		}
		if r.left--; r.left <= 0 {
			r.ended()
			continue
		}
		keep = append(keep, r)
	}
	e.running = keep
	if len(e.running)+len(e.queue) > 0 {
		e.step()
		return
	}
	e.stepping = false
}

// die ends the engine and breaks what runs there.
func (e *routingEngine) die() {
	e.dead = true
	for _, r := range append(e.running, e.queue...) {
		if !r.canceled {
			r.broken(turmericshed.NewError(turmericshed.KindStreamBroken, "connection reset"))
		}
	}
	e.running, e.queue = nil, nil
}

// load returns a reading.
func (e *routingEngine) load(at time.Time) turmericshed.LoadReport {
	return turmericshed.LoadReport{
		Server: e.server.ID, At: at, Running: len(e.running), Queued: len(e.queue), Leaving: e.leftAt > 0,
	}
}
