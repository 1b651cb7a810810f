package tsengine

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"turmericshed"
	"turmericshed/io/tsbackend"
)

const (
	// maxPrefixes bounds the entries of the prefix cache.
	maxPrefixes = 1 << 16
	// maxCacheEvents bounds the events kept for readers.
	maxCacheEvents = 4096
	// cacheEventGap is the interval at which one event is lost.
	lostEventInterval = 7
)

// prefixCache holds the beginnings of prompts, message by message, in limited
// memory. The least recently used goes first.
type prefixCache struct {
	lru        *simplelru.LRU[uint64, turmericshed.Tokens]
	capacity   turmericshed.Tokens
	usedTokens turmericshed.Tokens
	seq        uint64
	events     []cacheEvent
}

type cacheEvent struct {
	at time.Time
	tsbackend.CacheEvent
}

func newPrefixCache(limit turmericshed.Tokens) *prefixCache {
	lru, err := simplelru.NewLRU[uint64, turmericshed.Tokens](maxPrefixes, nil)
	turmericshed.Assert(err == nil, "prefix_cache", "%v", err)
	return &prefixCache{lru: lru, capacity: limit}
}

// prefixes returns a hash and the prompt tokens of each beginning.
func hashPrefixes(messages []turmericshed.Message) (hashes []uint64, sizes []turmericshed.Tokens) {
	d := xxhash.New()
	for i, m := range messages {
		_, _ = d.WriteString(m.Role + "\x00" + m.Content + "\x00")
		hashes = append(hashes, d.Sum64())
		sizes = append(sizes, CountTokens(messages[:i+1]))
	}
	return hashes, sizes
}

// use returns the prompt tokens that needn't be computed, and keeps the
// prompt's beginnings.
func (c *prefixCache) lookupAndStore(now time.Time, messages []turmericshed.Message) turmericshed.Tokens {
	hashes, sizes := hashPrefixes(messages)
	var hit turmericshed.Tokens
	for i, h := range hashes {
		if _, ok := c.lru.Get(h); ok {
			hit = sizes[i]
			continue
		}
		own := sizes[i]
		if i > 0 {
			own -= sizes[i-1]
		}
		c.add(now, h, own)
	}
	return hit
}

func (c *prefixCache) add(now time.Time, h uint64, size turmericshed.Tokens) {
	if size > c.capacity {
		return
	}
	for c.usedTokens+size > c.capacity {
		old, n, ok := c.lru.RemoveOldest()
		if !ok {
			break
		}
		c.usedTokens -= n
		c.recordEvent(now, tsbackend.CacheEvent{Prefix: old, Tokens: n, Evicted: true})
	}
	c.lru.Add(h, size)
	c.usedTokens += size
	c.recordEvent(now, tsbackend.CacheEvent{Prefix: h, Tokens: size})
}

// record keeps an event for readers; some are lost.
func (c *prefixCache) recordEvent(now time.Time, e tsbackend.CacheEvent) {
	c.seq++
	if c.seq%lostEventInterval == 0 {
		return
	}
	e.Seq = c.seq
	c.events = append(c.events, cacheEvent{at: now, CacheEvent: e})
	if over := len(c.events) - maxCacheEvents; over > 0 {
		c.events = append(c.events[:0:0], c.events[over:]...)
	}
}

// since returns the events after seq that happened by the given time.
func (c *prefixCache) eventsSince(seq uint64, by time.Time) []tsbackend.CacheEvent {
	events := []tsbackend.CacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && !e.at.After(by) {
			events = append(events, e.CacheEvent)
		}
	}
	return events
}
