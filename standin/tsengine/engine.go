// Package tsengine stands in for a model engine: continuous batching with set
// speeds, priorities, cancel and resume by stream ID, a prefix cache, late
// load reports, gappy cache events, and books of what was truly consumed.
//
// The text of an answer repeats a digest of its prompt in every token, so
// that a caller can tell whose answer it got and whether it is whole: see
// [Expect]. A generation goes on when its connection breaks.
//
// # Usage
//
//	e, err := tsengine.Listen(tsengine.Options{Node: tsnode.Options{Server: server, Platform: client}})
//	if err != nil { ... }
//	go e.Serve(ctx)
//	e.ChangeFaults(func(f *tsengine.Faults) { f.Crossed = 1 })
//	books := e.Books()
package tsengine

import (
	"context"
	"net/http"
	"time"

	"turmericshed"
	"turmericshed/standin/tsnode"
)

// loadInterval is the time between readings of the load.
const loadInterval = 100 * time.Millisecond

// Options sets up an Engine.
type Options struct {
	Node tsnode.Options
	// Slots is the number of generations that run at once; 0 means 16.
	Slots int
	// MaxQueued bounds the generations that wait; 0 means 1024.
	MaxQueued int
	// StepInterval is the time of one step of the batch; 0 means 20 ms.
	StepInterval time.Duration
	// TokensPerStep is what each generation makes in a step; 0 means 1.
	TokensPerStep turmericshed.Tokens
	// PrefillTokensPerSecond is the speed of prompts; 0 means 20,000.
	PrefillTokensPerSecond float64
	// CacheTokens is the memory of the prefix cache; 0 means 100,000.
	CacheTokens turmericshed.Tokens
	// LoadLag is how old load reports and cache events are.
	LoadLag time.Duration
}

func (o Options) withDefaults() Options {
	if o.Slots <= 0 {
		o.Slots = 16
	}
	if o.MaxQueued <= 0 {
		o.MaxQueued = 1024
	}
	if o.StepInterval <= 0 {
		o.StepInterval = 20 * time.Millisecond
	}
	if o.TokensPerStep <= 0 {
		o.TokensPerStep = 1
	}
	if o.PrefillTokensPerSecond <= 0 {
		o.PrefillTokensPerSecond = 20000
	}
	if o.CacheTokens <= 0 {
		o.CacheTokens = 100000
	}
	o.Node.Server.Work = turmericshed.WorkAssistant
	o.Node.Server.Slots = o.Slots
	return o
}

// Engine is one model engine and its replacements after crashes.
type Engine struct {
	*tsnode.Node
	opts   Options
	books  Books
	faults faultState
}

// Listen binds the engine's address; Serve runs it.
func Listen(o Options) (*Engine, error) {
	e := &Engine{opts: o.withDefaults()}
	n, err := tsnode.Listen(e.opts.Node, func(s turmericshed.BackendServer) tsnode.App { return newApp(e, s) })
	if err != nil {
		return nil, err
	}
	e.Node = n
	return e, nil
}

// Books returns what each stream consumed, over all crashes.
func (e *Engine) Books() map[turmericshed.StreamID]Book { return e.books.Streams() }

// Faults returns the faults in force.
func (e *Engine) Faults() Faults { return e.faults.get() }

// ChangeFaults changes the faults in place.
func (e *Engine) ChangeFaults(change func(f *Faults)) { e.faults.change(change) }

// app is the engine's program from start to crash.
type app struct {
	*http.ServeMux
	engine *Engine
	server turmericshed.BackendServer
	batch  *batch
}

// Run steps the batch.
func (a *app) Run(ctx context.Context) {
	t := time.NewTicker(a.engine.opts.StepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			a.batch.step(time.Now())
		case <-ctx.Done():
			return
		}
	}
}
