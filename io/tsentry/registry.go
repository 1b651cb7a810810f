package tsentry

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/expirable"

	"turmericshed"
	"turmericshed/core/tsdedupe"
)

// Announced generations held by the soft owner of their keys.
const (
	registrySize = 16384
	// registryTTL is how long a generation can be found after its last
	// announcement.
	registryTTL = 5 * time.Minute
)

// generation tells where a keyed request runs.
type generation struct {
	runner  turmericshed.EntryVM
	digest  turmericshed.Digest
	request turmericshed.RequestID
	stream  turmericshed.StreamID
	server  turmericshed.BackendServer
}

// registry is the soft owner's table of announced generations. Losing it
// costs a second run of an ordinary request, never a wrong answer.
type registry struct {
	mu          sync.Mutex
	generations *lru.LRU[tsdedupe.Key, generation]
}

func newRegistry() *registry {
	return &registry{generations: lru.NewLRU[tsdedupe.Key, generation](registrySize, nil, registryTTL)}
}

// announce enters g unless another runner's generation of the key is there,
// which it then returns. A generation that was dispatched always enters.
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

// replace enters g in place of a generation whose runner is gone.
func (r *registry) replace(k tsdedupe.Key, g generation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generations.Add(k, g)
}
