package tsservice

import (
	"maps"
	"sync"

	"turmericshed"
)

// Books records the calls that ran and counts them by idempotency key. All
// servers of one service share them, as they would share a database.
type Books struct {
	mu        sync.Mutex
	runsByKey map[string]int
	// runsByDigest counts the runs by the digest of the call's body.
	runsByDigest map[string]int
	answers      map[string]turmericshed.Answer
	lastJob      int
}

// NewBooks returns empty Books.
func NewBooks() *Books {
	return &Books{runsByKey: map[string]int{}, runsByDigest: map[string]int{}, answers: map[string]turmericshed.Answer{}}
}

// run records one run of a call and stores its answer under the key. It calls
// answer with the job number, which starts at 1.
func (b *Books) run(key, digest string, answer func(job int) turmericshed.Answer) turmericshed.Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastJob++
	a := answer(b.lastJob)
	b.runsByKey[key]++
	b.runsByDigest[digest]++
	b.answers[key] = a
	return a
}

// lookup returns the answer of the latest run with the key.
func (b *Books) lookup(key string) (turmericshed.Answer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.answers[key]
	return a, ok
}

// Runs returns the number of runs by idempotency key. Calls without a key count
// under "".
func (b *Books) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runsByKey)
}

// RunsByDigest returns the number of runs by the digest of the call's body, see
// [DigestOf]. It reveals duplicate runs of a call whose key was changed between
// the caller and the service.
func (b *Books) RunsByDigest() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runsByDigest)
}
