package tsengine

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"turmericshed"
	"turmericshed/io/tsbackend"
)

const (
	// maxPrefixes is the maximum number of entries of the prefix cache.
	maxPrefixes = 1 << 16
	// maxCacheEvents is the number of events retained for readers.
	maxCacheEvents = 4096
	// lostEventInterval is the interval, in events, at which one event is
	// dropped to simulate gaps.
	lostEventInterval = 7
)

// prefixCache holds the prefixes of prompts, in whole messages, up to a number
// of tokens. It evicts the least recently used prefix first.
type prefixCache struct {
	lru        *simplelru.LRU[uint64, turmericshed.Tokens]
	capacity   turmericshed.Tokens
	usedTokens turmericshed.Tokens
	seq        uint64
	events     []cacheEvent
}

// cacheEvent is an event and the time when it occurred.
type cacheEvent struct {
	at time.Time
	tsbackend.CacheEvent
}

func newPrefixCache(capacity turmericshed.Tokens) *prefixCache {
	lru, err := simplelru.NewLRU[uint64, turmericshed.Tokens](maxPrefixes, nil)
	turmericshed.Assert(err == nil, "prefix_cache", "%v", err)
	return &prefixCache{lru: lru, capacity: capacity}
}

// hashPrefixes returns the hash and the prompt tokens of each prefix of
// messages, shortest first.
func hashPrefixes(messages []turmericshed.Message) (hashes []uint64, sizes []turmericshed.Tokens) {
	d := xxhash.New()
	for i, m := range messages {
		_, _ = d.WriteString(m.Role + "\x00" + m.Content + "\x00")
		hashes = append(hashes, d.Sum64())
		sizes = append(sizes, CountTokens(messages[:i+1]))
	}
	return hashes, sizes
}

// lookupAndStore returns the number of prompt tokens that are cached, and adds
// the prompt's prefixes that are not.
func (c *prefixCache) lookupAndStore(now time.Time, messages []turmericshed.Message) turmericshed.Tokens {
	hashes, sizes := hashPrefixes(messages)
	var cached turmericshed.Tokens
	for i, h := range hashes {
		if _, ok := c.lru.Get(h); ok {
			cached = sizes[i]
			continue
		}
		size := sizes[i]
		if i > 0 {
			size -= sizes[i-1]
		}
		c.add(now, h, size)
	}
	return cached
}

// add stores a prefix and evicts others until it fits. It ignores a prefix that
// is larger than the cache.
func (c *prefixCache) add(now time.Time, h uint64, size turmericshed.Tokens) {
	if size > c.capacity {
		return
	}
	for c.usedTokens+size > c.capacity {
		oldest, n, ok := c.lru.RemoveOldest()
		if !ok {
			break
		}
		c.usedTokens -= n
		c.recordEvent(now, tsbackend.CacheEvent{Prefix: oldest, Tokens: n, Evicted: true})
	}
	c.lru.Add(h, size)
	c.usedTokens += size
	c.recordEvent(now, tsbackend.CacheEvent{Prefix: h, Tokens: size})
}

// recordEvent assigns the next sequence number to an event and stores it for
// readers. It drops one event per lostEventInterval.
func (c *prefixCache) recordEvent(now time.Time, e tsbackend.CacheEvent) {
	c.seq++
	if c.seq%lostEventInterval == 0 {
		return
	}
	e.Seq = c.seq
	c.events = append(c.events, cacheEvent{at: now, CacheEvent: e})
	if excess := len(c.events) - maxCacheEvents; excess > 0 {
		c.events = append(c.events[:0:0], c.events[excess:]...)
	}
}

// eventsSince returns the events after seq that occurred until the given time.
func (c *prefixCache) eventsSince(seq uint64, until time.Time) []tsbackend.CacheEvent {
	events := []tsbackend.CacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && !e.at.After(until) {
			events = append(events, e.CacheEvent)
		}
	}
	return events
}
