package tsintake

import (
	"container/list"
	"time"
)

const (
	// reservedDescriptors are the descriptors of files, listeners and the store.
	reservedDescriptors = 200
	// callerDescriptorShare is the share of the other descriptors for connections of callers.
	// The rest is for connections to backend servers, of which a request needs one, and to
	// other entry VMs.
	callerDescriptorShare = 0.6
	// connMemoryShare is the share of a machine's memory for callers' connections, and
	// connBytes what one takes: a goroutine, two buffers of 4 KiB and a request's headers.
	connMemoryShare = 0.33
	connBytes       = 24 << 10
	// awaitingShare is the share of the connections that may be without a complete head.
	awaitingShare = 0.5
	// crowdShare is the share of the connections that may be without a complete head before they
	// count as a crowd. Heads of callers inside the limits usually arrive within milliseconds.
	crowdShare = 0.125
	// headMemoryShare is the share of a machine's memory for heads that are being read.
	headMemoryShare = 0.06
	// refusedMemoryShare is the share of a machine's memory for bytes that wait unread, in the
	// kernel, on connections that are about to be closed.
	refusedMemoryShare = 0.1
	// minConns is the least number of connections in any limit.
	minConns = 16
	// SocketBufferBytes is the largest size of each of the kernel's two buffers of a connection
	// to a caller or a backend server. The kernel doubles it for its own overhead, and does not
	// enlarge it, to up to 32 MiB, for a party that sends faster than it is read, or that
	// reads slowly. It lets a connection carry 10 MB/s at a round trip of 6 ms.
	SocketBufferBytes = 64 << 10
	// LeastSocketBufferBytes is the least size, that of a connection which is not accepted yet.
	LeastSocketBufferBytes = 4 << 10
	// bufferMemoryShare is the share of a machine's memory for receive buffers of callers'
	// connections beyond the least size. Of what is left of it, a new connection gets
	// one part of bufferParts.
	bufferMemoryShare = 0.15
	bufferParts       = 100
)

// ConnState is what a caller's connection is used for.
type ConnState int

// The states of a connection. ConnStates is their number.
const (
	// AwaitingHead means that the head of the first request is not complete.
	AwaitingHead ConnState = iota
	// ReadingBody means that the body of a request is not complete.
	ReadingBody
	// Running means that a request is served.
	Running
	// Refused means that the request is refused and its body is not read to its end. The
	// connection is about to be closed.
	Refused
	// Idle means that the next request on the connection is awaited.
	Idle
	ConnStates
)

// String returns the snake-case name used in logs and metrics.
func (s ConnState) String() string {
	return [ConnStates]string{"awaiting_head", "reading_body", "running", "refused", "idle"}[s]
}

// ConnLimits are the limits of a Conns; 0 means no limit.
type ConnLimits struct {
	// Total is the most connections, Awaiting the most in AwaitingHead and Refused the most in
	// Refused.
	Total, Awaiting, Refused int
	// HeadBytes is the most bytes of heads that are being read on all connections.
	HeadBytes int64
	// BufferBytes is the most memory for receive buffers in the kernel, beyond those of the least
	// size.
	BufferBytes int64
}

// ConnsFor returns the limits for a machine with the given memory and descriptors; 0 means that
// they are unknown.
func ConnsFor(memoryBytes int64, descriptors int) ConnLimits {
	var l ConnLimits
	if memoryBytes > 0 {
		m := float64(memoryBytes)
		l.Total = max(int(m*connMemoryShare/connBytes), minConns)
		l.HeadBytes = int64(m * headMemoryShare)
		l.BufferBytes = int64(m * bufferMemoryShare)
		l.Refused = max(int(m*refusedMemoryShare/(2*SocketBufferBytes)), minConns)
	}
	if descriptors > 0 {
		n := max(int(float64(descriptors-reservedDescriptors)*callerDescriptorShare), minConns)
		if l.Total == 0 || n < l.Total {
			l.Total = n
		}
	}
	l.Awaiting = int(float64(l.Total) * awaitingShare)
	return l
}

// AtMost returns the limits for at most n connections; 0 means no other limit.
func (l ConnLimits) AtMost(n int) ConnLimits {
	if n > 0 && (l.Total == 0 || n < l.Total) {
		l.Total = n
		l.Awaiting = int(float64(n) * awaitingShare)
	}
	return l
}

// ConnID identifies a connection.
type ConnID uint64

// callerConn is one connection.
type callerConn struct {
	id        ConnID
	state     ConnState
	since     time.Time
	headBytes int64
	// bufferBytes is what its receive buffer takes of the limit.
	bufferBytes int64
	// flow is what its running request counts toward; nil while it has none.
	flow    *Flow
	element *list.Element
}

// Conns decides which connections are closed so that the others stay within the limits. It is not
// safe for concurrent use.
type Conns struct {
	limits ConnLimits
	conns  map[ConnID]*callerConn
	// byState holds the connections of each state, the one that is in it for longest first.
	byState   [ConnStates]list.List
	headBytes int64
	// bufferBytes is the sum of what the receive buffers take of the limit.
	bufferBytes int64
	// running holds the number of requests that are read or run.
	running *shares
}

// NewConns returns a Conns without connections.
func NewConns(l ConnLimits) *Conns {
	return &Conns{limits: l, conns: make(map[ConnID]*callerConn), running: newShares(int64(l.Total))}
}

// Count returns the number of connections in a state.
func (c *Conns) Count(s ConnState) int { return c.byState[s].Len() }

// Open adds a connection. It returns the connections to close, which are removed, and whether the
// new one may stay; if not, it is not added. Of the connections it gives up first those that are
// about to be closed, then those without a complete head if they are many or late, then idle ones,
// then the others without a complete head, then those whose body is not complete after the stall
// timeout, and of each the one that is in its state for longest. Connections with a running request
// are not closed.
func (c *Conns) Open(now time.Time, id ConnID) (toClose []ConnID, ok bool) {
	if c.limits.Total > 0 && len(c.conns) >= c.limits.Total {
		v, found := c.dispensable(now)
		if !found {
			return nil, false
		}
		c.Close(v)
		toClose = append(toClose, v)
	}
	cc := &callerConn{id: id, state: AwaitingHead, since: now}
	c.conns[id] = cc
	cc.element = c.byState[AwaitingHead].PushBack(cc)
	return append(toClose, c.trim(AwaitingHead, c.limits.Awaiting)...), true
}

// dispensable returns the connection to give up for a new one. A connection that was opened a moment
// ago is about to carry a request, and is kept rather than an idle one.
func (c *Conns) dispensable(now time.Time) (ConnID, bool) {
	hasStalled := func(v *callerConn) bool { return now.Sub(v.since) >= stallTimeout }
	isCrowd := float64(c.Count(AwaitingHead)) > float64(c.limits.Total)*crowdShare
	for _, choice := range []struct {
		state ConnState
		mayGo func(v *callerConn) bool
	}{
		{Refused, nil},
		{AwaitingHead, func(v *callerConn) bool { return isCrowd || hasStalled(v) }},
		{Idle, nil},
		{AwaitingHead, nil},
		{ReadingBody, hasStalled},
	} {
		v, found := c.oldest(choice.state)
		if found && (choice.mayGo == nil || choice.mayGo(v)) {
			return v.id, true
		}
	}
	return 0, false
}

// SetState records the state of a connection, and returns the connections to close, which are
// removed.
func (c *Conns) SetState(now time.Time, id ConnID, s ConnState) []ConnID {
	cc := c.conns[id]
	if cc == nil || cc.state == s {
		return nil
	}
	c.byState[cc.state].Remove(cc.element)
	cc.state, cc.since = s, now
	cc.element = c.byState[s].PushBack(cc)
	c.headBytes -= cc.headBytes
	cc.headBytes = 0
	if s == Refused || s == Idle {
		c.endRequest(cc)
	}
	if s == Refused {
		return c.trim(Refused, c.limits.Refused)
	}
	return nil
}

// Admit counts the request on a connection toward a flow until it ends, and reports whether the flow
// has a share left; if not, nothing has changed. Connections with a running request are not closed, so
// that a client account with many of them would keep others from connecting. It returns the
// connections to close, which are removed: those of the same account whose body is not complete after
// the stall timeout, the oldest first, if that makes room.
func (c *Conns) Admit(now time.Time, id ConnID, f Flow) (toClose []ConnID, ok bool) {
	cc := c.conns[id]
	if cc == nil || cc.flow != nil {
		return nil, true
	}
	total := change{1, 1, 1}
	isAllowed := c.running.allows(&f, total)
	for e := c.byState[ReadingBody].Front(); e != nil && !isAllowed; e = e.Next() {
		v, ok := e.Value.(*callerConn)
		if !ok || now.Sub(v.since) < stallTimeout {
			break
		}
		if v.flow == nil || v.flow.Account != f.Account {
			continue
		}
		toClose = append(toClose, v.id)
		total.freed(&f, v.flow, 1)
		isAllowed = c.running.allows(&f, total)
	}
	if !isAllowed {
		return nil, false
	}
	for _, v := range toClose {
		c.Close(v)
	}
	cc.flow = &f
	c.running.add(cc.flow, 1)
	return toClose, true
}

// endRequest removes the request on a connection from the count.
func (c *Conns) endRequest(cc *callerConn) {
	if cc.flow != nil {
		c.running.add(cc.flow, -1)
		cc.flow = nil
	}
}

// ReceiveBuffer returns the size in bytes of a new connection's receive buffer in the kernel, and
// counts it. The fewer bytes are left of the limit, the smaller it is.
func (c *Conns) ReceiveBuffer(id ConnID) int {
	cc := c.conns[id]
	if cc == nil {
		return LeastSocketBufferBytes
	}
	// The kernel doubles the size.
	part := (c.limits.BufferBytes - c.bufferBytes) / bufferParts / 2
	size := min(max(part, LeastSocketBufferBytes), SocketBufferBytes)
	cc.bufferBytes = 2 * (size - LeastSocketBufferBytes)
	c.bufferBytes += cc.bufferBytes
	return int(size)
}

// BufferBytes returns the memory for receive buffers in the kernel, beyond those of the least size.
func (c *Conns) BufferBytes() int64 { return c.bufferBytes }

// HeadReceived records n bytes of a head that is being read, and returns the connections to close,
// which are removed: those with the most bytes of a head, while the heads together exceed their
// limit.
func (c *Conns) HeadReceived(id ConnID, n int) (toClose []ConnID) {
	cc := c.conns[id]
	if cc == nil || cc.state != AwaitingHead && cc.state != Idle {
		return nil
	}
	cc.headBytes += int64(n)
	c.headBytes += int64(n)
	for c.limits.HeadBytes > 0 && c.headBytes > c.limits.HeadBytes {
		largest := cc
		for _, o := range c.conns {
			if o.headBytes > largest.headBytes || o.headBytes == largest.headBytes && o.id < largest.id {
				largest = o
			}
		}
		c.Close(largest.id)
		toClose = append(toClose, largest.id)
		if largest == cc {
			break
		}
	}
	return toClose
}

// Close removes a connection.
func (c *Conns) Close(id ConnID) {
	cc := c.conns[id]
	if cc == nil {
		return
	}
	c.byState[cc.state].Remove(cc.element)
	c.headBytes -= cc.headBytes
	c.bufferBytes -= cc.bufferBytes
	c.endRequest(cc)
	delete(c.conns, id)
}

// trim removes the oldest connections of a state until at most limit are left, and returns them.
func (c *Conns) trim(s ConnState, limit int) (removed []ConnID) {
	for limit > 0 && c.byState[s].Len() > limit {
		v, _ := c.oldest(s)
		c.Close(v.id)
		removed = append(removed, v.id)
	}
	return removed
}

// oldest returns the connection that is in the state for longest.
func (c *Conns) oldest(s ConnState) (*callerConn, bool) {
	e := c.byState[s].Front()
	if e == nil {
		return nil, false
	}
	cc, ok := e.Value.(*callerConn)
	return cc, ok
}
