package tsspill

import (
	"math"
	"slices"
	"time"
)

// Requests with a prompt prefix.
//
// Load pattern: 82 entry VMs send requests whose prompts share thousands of tokens,
// which a server that has read them need not read again. Each of them sees a prefix
// rarely, so that it can't tell by its own requests whether the home in the region has
// the prefix cached: others have warmed it.
//
// The home in the region is therefore the rule, as with the fixed penalty, and taken to
// have the prefix cached unless the first output of requests that go to homes comes as
// late as if it hadn't. The choice of a home in the own failure domain is a case of the
// ski rental problem (Karlin et al., "Competitive Snoopy Caching", 1988): each request
// of this entry VM that leaves pays delay and bytes, and once these payments reach the
// cost of reading the shared tokens, the home moves into the own failure domain.
// Payments of other entry VMs are not known and not counted. Reading holds up all
// requests that run at the server, so that its cost counts once for each of them.

const (
	// paymentSpan is the time constant with which payments are forgotten. Servers
	// keep a prefix for tens of seconds: 500,000 tokens of memory, and some 50
	// requests a second of up to 17,020 tokens over 20 to 30 servers.
	paymentSpan = 20 * time.Second
	// moveBackShare is the part of the reading time that the payments must stay
	// above for the prefix to remain local.
	moveBackShare = 0.2
	// maxPrefixes bounds the prefixes that are remembered, at about 100 bytes each.
	maxPrefixes = 4096
	// readersPerPrefix is the number of servers that are remembered to have read
	// a prefix.
	readersPerPrefix = 4
	// minReadMs is the least time to read 1,000 tokens that is believed, of servers four
	// times as fast as the slower ones seen.
	minReadMs = priorReadMs / 4
	// earlyRatio is the part of the time to read the whole prompt below which a first
	// output shows that the home had the prefix cached; lateRatio that above which it
	// shows that the server was busy, which says nothing about the prefix.
	earlyRatio, lateRatio = 0.7, 2
	// maxEarlyShare and maxLateShare are the shares of such requests up to which homes
	// count as not having prefixes cached, minFirstSeenShare the least share of requests
	// whose server this entry VM had not seen answer the prefix. Without those, homes
	// are not measured.
	maxEarlyShare, maxLateShare, minFirstSeenShare = 0.1, 0.3, 0.5
	// shareWeight is the weight of one request in these shares.
	shareWeight = 0.05
	// clearFactor is by how much a wait has to exceed the cost of reading elsewhere
	// before a request does not go to its home.
	clearFactor = 2
)

// prefixState is what is remembered of one prefix.
type prefixState struct {
	// paidMs is the decayed sum of what leaving would have cost its requests.
	paidMs  float64
	at      time.Time
	isLocal bool
	// readers are hashes of the servers that answered a request with it.
	readers [readersPerPrefix]uint64
	next    uint8
}

// prefixes remembers recent prefixes.
type prefixes struct {
	states map[uint64]*prefixState
}

// get returns the state of a prefix, with its payments decayed.
func (p *prefixes) get(now time.Time, prefix uint64) *prefixState {
	if p.states == nil {
		p.states = make(map[uint64]*prefixState)
	}
	s := p.states[prefix]
	if s != nil {
		s.paidMs *= math.Exp(-max(float64(now.Sub(s.at)), 0) / float64(paymentSpan))
		s.at = later(s.at, now)
		return s
	}
	if len(p.states) >= maxPrefixes {
		p.evict(now)
	}
	s = &prefixState{at: now}
	p.states[prefix] = s
	return s
}

// evict removes the prefixes that were not used for paymentSpan, or any if there
// are none.
func (p *prefixes) evict(now time.Time) {
	for k, s := range p.states {
		if now.Sub(s.at) > paymentSpan {
			delete(p.states, k)
		}
	}
	for k := range p.states {
		if len(p.states) < maxPrefixes*3/4 {
			return
		}
		delete(p.states, k)
	}
}

// PrefixedRequest is a request with a prompt prefix and the two servers that it may
// go to: the prefix's home in the region and the best home on the other side, which
// is in the own failure domain if the first one is not.
type PrefixedRequest struct {
	Prefix uint64
	// SharedTokens is the number of tokens of the prefix, RequestBytes the size of
	// the body.
	SharedTokens, RequestBytes int64
	// Home and Other are the loads per slot of the two servers.
	Home, Other float64
	// OtherServer is the hash of the other server, OtherRunning the number of requests
	// there.
	OtherServer  uint64
	OtherRunning float64
}

// LeaveForHome reports whether the request goes to its home in the region, which is
// in another failure domain.
func (c *Controller) LeaveForHome(now time.Time, r PrefixedRequest) bool {
	s := c.prefixes.get(now, r.Prefix)
	payment := max(c.prefixEstimate.delayMs, 0) + c.bytesMs(r.RequestBytes)
	s.paidMs += payment
	if c.areUnshared(now) {
		return c.Leave(r.Other, r.Home, r.RequestBytes)
	}
	cost := c.readingMs(r)
	if s.isLocal {
		s.isLocal = s.paidMs >= moveBackShare*cost
	} else {
		s.isLocal = s.paidMs >= cost
	}
	if s.isLocal {
		return c.Leave(r.Other, r.Home, r.RequestBytes)
	}
	if !c.decision.LoadsKnown || !c.decision.IsMeasured {
		return true
	}
	if s.hasRead(r.OtherServer) {
		cost = 0
	}
	return (r.Home-r.Other)*c.estimate.slopeMs <= max(clearFactor*cost, urgentExcess*c.estimate.slopeMs)
}

// LeaveHome reports whether the request leaves its home in the region, which is in
// the own failure domain.
func (c *Controller) LeaveHome(now time.Time, r PrefixedRequest) bool {
	if c.areUnshared(now) {
		return c.Leave(r.Home, r.Other, r.RequestBytes)
	}
	if !c.decision.LoadsKnown || !c.decision.IsMeasured {
		return false
	}
	cost := c.readingMs(r)
	if s := c.prefixes.get(now, r.Prefix); s.hasRead(r.OtherServer) {
		cost = 0
	}
	excess := r.Home - r.Other - c.Penalty(r.RequestBytes) - cost/c.estimate.slopeMs
	return excess > urgentExcess || excess > 0 && c.rng.Float64() < c.decision.Fraction
}

// homeShares are shares of recent requests, from which the homes' caches are judged.
type homeShares struct {
	// early and late are those of requests to homes that this entry VM had not seen
	// answer the prefix, firstSeen is that of such requests among those with a prefix.
	early, late, firstSeen float64
}

// observe records a request to a home that is assumed to have the prefix cached. readMs
// is the time to read 1,000 tokens; while servers are busy it is measured too long, so
// that more than the assumed time is not believed.
func (h *homeShares) observe(s Sample, readMs float64) {
	if s.Assumed <= s.Unread {
		return
	}
	ratio := milliseconds(s.FirstByte) / (float64(s.Assumed+s.Unread) / tokensPerFeature * min(readMs, priorReadMs))
	h.early += shareWeight * (indicator(ratio < earlyRatio) - h.early)
	h.late += shareWeight * (indicator(ratio > lateRatio) - h.late)
}

func indicator(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// updateUnshared follows whether homes are measured not to have prefixes cached. While
// servers begin with empty memories, every home reads; the measurement counts once it
// has held for the time in which a shared prefix is used again.
func (c *Controller) updateUnshared(now time.Time) {
	h := c.homes
	switch {
	case !c.decision.IsMeasured || h.early > maxEarlyShare || h.late > maxLateShare || h.firstSeen < minFirstSeenShare:
		c.unreadSince = time.Time{}
	case c.unreadSince.IsZero():
		c.unreadSince = now
	}
}

// areUnshared reports whether homes are known not to have prefixes cached.
func (c *Controller) areUnshared(now time.Time) bool {
	return !c.unreadSince.IsZero() && now.Sub(c.unreadSince) >= paymentSpan
}

// readingMs returns what it costs to read the shared tokens at the other server: the
// time for this request and for each one that runs there.
func (c *Controller) readingMs(r PrefixedRequest) float64 {
	return float64(r.SharedTokens) / tokensPerFeature * c.readMs() * (1 + max(r.OtherRunning, 0))
}

// readMs returns the time to read 1,000 tokens.
func (c *Controller) readMs() float64 { return max(c.prefixEstimate.readMs, minReadMs) }

// hasRead reports whether the server is known to have answered a request with the
// prefix.
func (s *prefixState) hasRead(server uint64) bool { return slices.Contains(s.readers[:], server) }

// Answered records that a server answered a request with the prefix, and reports
// whether this entry VM had seen that server answer one before.
func (c *Controller) Answered(now time.Time, prefix, server uint64) (before bool) {
	s := c.prefixes.get(now, prefix)
	if s.hasRead(server) {
		c.homes.firstSeen -= shareWeight * c.homes.firstSeen
		return true
	}
	c.homes.firstSeen += shareWeight * (1 - c.homes.firstSeen)
	s.readers[s.next] = server
	s.next = (s.next + 1) % readersPerPrefix
	return false
}
