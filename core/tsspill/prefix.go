package tsspill

import (
	"math"
	"time"
)

// Requests with a prompt prefix.
//
// Load pattern: entry VMs of several failure domains send requests whose prompts
// share thousands of tokens, which a server that has read them need not read
// again. With one home for the whole region the shared part is read once, but
// most requests leave their failure domain; with a home in each failure domain it
// is read once in each.
//
// The choice for each prefix is a case of the ski rental problem (Karlin et al.,
// "Competitive Snoopy Caching", 1988): each request that leaves pays delay and
// bytes, and once these payments reach the time to read the shared tokens, the
// home moves into the own failure domain. Without knowing how many requests
// follow, this costs at most twice the best choice. A prefix that is no longer
// used moves back.

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
	// repeatWeight is the weight of one request in the share of requests whose
	// prefix had been seen before, and priorRepeat the assumed share.
	repeatWeight = 0.02
	priorRepeat  = 0.5
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
	// repeat is the share of requests whose prefix had been seen before.
	repeat float64
}

// get returns the state of a prefix, with its payments decayed, and whether the
// prefix had been seen before.
func (p *prefixes) get(now time.Time, prefix uint64) (s *prefixState, known bool) {
	if p.states == nil {
		p.states = make(map[uint64]*prefixState)
		p.repeat = priorRepeat
	}
	s = p.states[prefix]
	if s != nil {
		s.paidMs *= math.Exp(-max(float64(now.Sub(s.at)), 0) / float64(paymentSpan))
		s.at = later(s.at, now)
		return s, true
	}
	if len(p.states) >= maxPrefixes {
		p.evict(now)
	}
	s = &prefixState{at: now}
	p.states[prefix] = s
	return s, false
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

// PrefixedRequest is a request with a prompt prefix whose home in the region is in
// another failure domain.
type PrefixedRequest struct {
	Prefix uint64
	// SharedTokens is the number of tokens of the prefix, RequestBytes the size of
	// the body.
	SharedTokens, RequestBytes int64
	// Home and Stay are the loads per slot of the home in the region and of the
	// home among the local servers.
	Home, Stay float64
}

// LeaveForPrefix reports whether the request goes to its home in the region.
func (c *Controller) LeaveForPrefix(now time.Time, r PrefixedRequest) bool {
	s, known := c.prefixes.get(now, r.Prefix)
	seen := 0.0
	if known {
		seen = 1
	}
	c.prefixes.repeat += repeatWeight * (seen - c.prefixes.repeat)
	readMs := float64(r.SharedTokens) / tokensPerFeature * c.estimate.readMs
	s.paidMs += max(c.leavingMs(r.RequestBytes), 0)
	if s.isLocal {
		s.isLocal = s.paidMs >= moveBackShare*readMs
	} else {
		s.isLocal = known && s.paidMs >= readMs
	}
	if s.isLocal {
		return c.Leave(r.Stay, r.Home, r.RequestBytes)
	}
	cached := c.prefixes.repeat
	if known {
		cached = 1
	}
	var leave bool
	penalty := c.Penalty(r.RequestBytes)
	if c.estimate.weight < minWeight {
		// Until there are measurements, a cached prefix decides, as without spillover.
		leave = penalty < maxPenalty
	} else {
		leave = r.Home+penalty-cached*readMs/c.estimate.slopeMs < r.Stay
	}
	if !leave {
		// A local server reads the prefix now and has it cached for the next request.
		s.isLocal, s.paidMs = true, max(s.paidMs, readMs)
	}
	return leave
}

// Answered records that a server answered a request with the prefix, and reports
// whether this entry VM had seen that server answer one before.
func (c *Controller) Answered(now time.Time, prefix, server uint64) (before bool) {
	s, _ := c.prefixes.get(now, prefix)
	for _, r := range s.readers {
		if r == server {
			return true
		}
	}
	s.readers[s.next] = server
	s.next = (s.next + 1) % readersPerPrefix
	return false
}
