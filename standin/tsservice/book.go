package tsservice

import (
	"maps"
	"sync"

	"turmericshed"
)

// Books counts how often each idempotency key ran. All servers of one service
// share them, as they would share a database.
type Books struct {
	mu        sync.Mutex
	runsByKey map[string]int
	// bodies counts the runs by the digest of the call's body.
	runsByDigest map[string]int
	answers      map[string]turmericshed.Answer
	lastJob      int
}

// NewBooks returns empty books.
func NewBooks() *Books {
	return &Books{runsByKey: map[string]int{}, runsByDigest: map[string]int{}, answers: map[string]turmericshed.Answer{}}
}

// run carries a call out once more and keeps its answer under the key.
func (b *Books) run(key, digest string, answer func(n int) turmericshed.Answer) turmericshed.Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastJob++
	a := answer(b.lastJob)
	b.runsByKey[key]++
	b.runsByDigest[digest]++
	b.answers[key] = a
	return a
}

// lookup returns the answer of the last run with the key.
func (b *Books) lookup(key string) (turmericshed.Answer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.answers[key]
	return a, ok
}

// Runs returns how often each key ran; calls without a key are under "".
func (b *Books) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runsByKey)
}

// RunsByBody returns how often a call ran by the digest of its body, see
// [DigestOf]. It shows doubled calls whose keys were changed on the way.
func (b *Books) RunsByBody() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runsByDigest)
}
