package tsentry

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/expirable"

	"turmericshed"
	"turmericshed/core/tsdedupe"
)

// Limits of the registry of announced generations.
const (
	registrySize = 16384
	// registryTTL is how long a generation stays registered after its last announcement.
	registryTTL = 5 * time.Minute
)

// generation is where a request with an idempotency key runs.
type generation struct {
	runner  turmericshed.EntryVM
	digest  turmericshed.Digest
	request turmericshed.RequestID
	stream  turmericshed.StreamID
	server  turmericshed.BackendServer
}

// registry is the soft owner's table of announced generations. If it is lost, a chat request may run
// twice, but no caller gets a wrong answer.
type registry struct {
	mu          sync.Mutex
	generations *lru.LRU[tsdedupe.Key, generation]
}

func newRegistry() *registry {
	return &registry{generations: lru.NewLRU[tsdedupe.Key, generation](registrySize, nil, registryTTL)}
}

// announce registers g, unless the key already has a generation of another runner or body, which it then
// returns. A dispatched generation, one with a stream, is always registered.
func (r *registry) announce(k tsdedupe.Key, g generation) (generation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	existing, ok := r.generations.Get(k)
	if ok && g.stream == "" && (existing.runner.Incarnation != g.runner.Incarnation || existing.digest != g.digest) {
		return existing, true
	}
	r.generations.Add(k, g)
	return generation{}, false
}

// replace registers g in place of a generation whose runner is gone.
func (r *registry) replace(k tsdedupe.Key, g generation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generations.Add(k, g)
}
