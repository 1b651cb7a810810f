// Package tsengine simulates a model engine: continuous batching at configured
// speeds, priorities, cancel and resume by stream ID, a prefix cache, delayed
// load reports, cache events with gaps, and books of the tokens that each
// stream actually consumed.
//
// Every token of an answer repeats a digest of its prompt, so a caller can
// check that it received its own answer and that the answer is complete: see
// [ExpectedAnswer]. A generation continues when its connection breaks.
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

// loadInterval is the time between load samples.
const loadInterval = 100 * time.Millisecond

// Options configures an Engine.
type Options struct {
	Node tsnode.Options
	// Slots is the number of generations that run concurrently; 0 means 16.
	Slots int
	// MaxQueued is the maximum number of queued generations; 0 means 1024.
	MaxQueued int
	// StepInterval is the duration of one step of the batch; 0 means 20 ms.
	StepInterval time.Duration
	// TokensPerStep is the number of tokens that each generation produces in
	// a step; 0 means 1.
	TokensPerStep turmericshed.Tokens
	// PrefillTokensPerSecond is the rate at which a prompt is computed; 0
	// means 20,000.
	PrefillTokensPerSecond float64
	// CacheTokens is the capacity of the prefix cache; 0 means 100,000.
	CacheTokens turmericshed.Tokens
	// LoadLag is the delay with which load reports and cache events become
	// visible.
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

// Engine is a model engine and the servers that replace it after crashes.
type Engine struct {
	*tsnode.Node
	opts   Options
	books  Books
	faults faultState
}

// Listen binds the engine's address. Serve runs the engine.
func Listen(o Options) (*Engine, error) {
	e := &Engine{opts: o.withDefaults()}
	n, err := tsnode.Listen(e.opts.Node, func(s turmericshed.BackendServer) tsnode.App { return newApp(e, s) })
	if err != nil {
		return nil, err
	}
	e.Node = n
	return e, nil
}

// Books returns the tokens that each stream consumed, including before crashes.
func (e *Engine) Books() map[turmericshed.StreamID]Book { return e.books.Streams() }

// Faults returns a copy of the active faults.
func (e *Engine) Faults() Faults { return e.faults.get() }

// ChangeFaults changes the active faults in place.
func (e *Engine) ChangeFaults(change func(f *Faults)) { e.faults.change(change) }

// app is the state of the engine from its start to its crash.
type app struct {
	*http.ServeMux
	engine *Engine
	server turmericshed.BackendServer
	batch  *batch
}

// Run advances the batch at every StepInterval until ctx is canceled.
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
