package tsintake_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed/core/tsintake"
)

// limits are small limits.
var limits = tsintake.ConnLimits{Total: 10, Awaiting: 5, Refused: 3, HeadBytes: 1000}

// connsIn returns a Conns with n connections in a state, numbered from 1.
func connsIn(t *testing.T, n int, s tsintake.ConnState) *tsintake.Conns {
	t.Helper()
	c := tsintake.NewConns(limits)
	for i := range n {
		_, ok := c.Open(start, tsintake.ConnID(i+1))
		assert.Assert(t, ok)
		c.SetState(start, tsintake.ConnID(i+1), s)
	}
	return c
}

// Guards against limits on the machines of the deployments that usual traffic meets, or that
// exceed their descriptors.
func TestConnLimitsOfTheDeployments(t *testing.T) {
	for _, m := range []struct {
		memoryMB, descriptors int
	}{{112, 4100}, {120, 3075}, {536, 8192}, {536, 10250}} {
		l := tsintake.ConnsFor(int64(m.memoryMB)*1_000_000, m.descriptors)
		assert.Assert(t, l.Total >= 1000 && l.Total <= (m.descriptors-200)*6/10, "%+v: %+v", m, l)
		assert.Assert(t, l.Awaiting >= 500 && l.Refused >= 64 && l.HeadBytes >= 64*16_384, "%+v: %+v", m, l)
	}
}

// Guards against limits where memory and descriptors are unknown.
func TestUnknownMachineSetsNoConnLimits(t *testing.T) {
	assert.DeepEqual(t, tsintake.ConnsFor(0, 0), tsintake.ConnLimits{})
}

// Guards against connections that send no whole head and use up the descriptors: the ones that
// have waited for longest go.
func TestConnectionsWithoutAHeadAreClosed(t *testing.T) {
	c := connsIn(t, 5, tsintake.AwaitingHead)
	toClose, ok := c.Open(start, 6)
	assert.Assert(t, ok)
	assert.DeepEqual(t, toClose, []tsintake.ConnID{1})
	assert.Equal(t, c.Count(tsintake.AwaitingHead), 5)
}

// Guards against closing a connection whose request may run.
func TestRunningConnectionsStay(t *testing.T) {
	c := connsIn(t, 10, tsintake.Running)
	toClose, ok := c.Open(start, 11)
	assert.Assert(t, !ok)
	assert.Equal(t, len(toClose), 0)
	assert.Equal(t, c.Count(tsintake.Running), 10)
}

// Guards against refusing a new connection while idle ones, or ones that are about to be closed,
// take up the limit.
func TestNewConnectionsReplaceUnusedOnes(t *testing.T) {
	t.Run("the one that is idle for longest", func(t *testing.T) {
		c := connsIn(t, 10, tsintake.Idle)
		c.SetState(start, 1, tsintake.Running)
		toClose, ok := c.Open(start, 11)
		assert.Assert(t, ok)
		assert.DeepEqual(t, toClose, []tsintake.ConnID{2})
	})
	t.Run("an idle one before one that was just opened", func(t *testing.T) {
		c := connsIn(t, 9, tsintake.Idle)
		_, ok := c.Open(start, 10)
		assert.Assert(t, ok)
		toClose, ok := c.Open(start.Add(10*time.Millisecond), 11)
		assert.Assert(t, ok)
		assert.DeepEqual(t, toClose, []tsintake.ConnID{1})
	})
	t.Run("one whose head is late before an idle one", func(t *testing.T) {
		c := connsIn(t, 9, tsintake.Idle)
		_, ok := c.Open(start, 10)
		assert.Assert(t, ok)
		toClose, ok := c.Open(start.Add(timeToStall), 11)
		assert.Assert(t, ok)
		assert.DeepEqual(t, toClose, []tsintake.ConnID{10})
	})
	t.Run("one of many without a head before an idle one", func(t *testing.T) {
		c := connsIn(t, 8, tsintake.Idle)
		for id := range tsintake.ConnID(2) {
			_, ok := c.Open(start, 9+id)
			assert.Assert(t, ok)
		}
		toClose, ok := c.Open(start, 11)
		assert.Assert(t, ok)
		assert.DeepEqual(t, toClose, []tsintake.ConnID{9})
	})
	t.Run("a refused one first", func(t *testing.T) {
		c := connsIn(t, 10, tsintake.Idle)
		c.SetState(start, 7, tsintake.Refused)
		toClose, ok := c.Open(start, 11)
		assert.Assert(t, ok)
		assert.DeepEqual(t, toClose, []tsintake.ConnID{7})
	})
}

// Guards against callers that occupy all connections with bodies that never end, and against
// closing one whose body arrives.
func TestConnectionsWithAStalledBodyGiveWay(t *testing.T) {
	c := connsIn(t, 10, tsintake.ReadingBody)
	_, ok := c.Open(start.Add(10*time.Millisecond), 11)
	assert.Assert(t, !ok)
	c.SetState(start, 1, tsintake.Running)
	toClose, ok := c.Open(start.Add(timeToStall), 11)
	assert.Assert(t, ok)
	assert.DeepEqual(t, toClose, []tsintake.ConnID{2})
}

// Guards against unread bytes of many refused bodies in the kernel's buffers.
func TestRefusedConnectionsAreBounded(t *testing.T) {
	c := connsIn(t, 4, tsintake.Running)
	for id := range tsintake.ConnID(3) {
		assert.Equal(t, len(c.SetState(start, id+1, tsintake.Refused)), 0)
	}
	assert.DeepEqual(t, c.SetState(start, 4, tsintake.Refused), []tsintake.ConnID{1})
}

// Guards against heads that are never complete and hold memory on many connections.
func TestHeadBytesAreBounded(t *testing.T) {
	c := connsIn(t, 5, tsintake.AwaitingHead)
	assert.Equal(t, len(c.HeadReceived(1, 400)), 0)
	assert.Equal(t, len(c.HeadReceived(2, 500)), 0)
	assert.DeepEqual(t, c.HeadReceived(3, 300), []tsintake.ConnID{2})
	c.SetState(start, 1, tsintake.Running)
	assert.Equal(t, len(c.HeadReceived(1, 5000)), 0, "a body is no head")
	assert.Equal(t, len(c.HeadReceived(3, 700)), 0)
	assert.DeepEqual(t, c.HeadReceived(3, 1), []tsintake.ConnID{3})
}

// Guards against counts that leak.
func TestClosedConnectionsLeave(t *testing.T) {
	c := connsIn(t, 5, tsintake.AwaitingHead)
	for id := range tsintake.ConnID(5) {
		c.HeadReceived(id+1, 200)
		c.Close(id + 1)
		c.Close(id + 1)
	}
	assert.Equal(t, c.Count(tsintake.AwaitingHead), 0)
	_, ok := c.Open(start, 6)
	assert.Assert(t, ok)
	assert.Equal(t, len(c.HeadReceived(6, 1000)), 0)
}

// admitAll admits requests of a flow on all connections without one, and returns how many it admits.
func admitAll(c *tsintake.Conns, now time.Time, f tsintake.Flow, first, n int) (admitted int) {
	for id := range n {
		if _, ok := c.Admit(now, tsintake.ConnID(first+id), f); ok {
			admitted++
		}
	}
	return admitted
}

// Guards against a client account whose requests occupy all connections, which are not closed while
// they run.
func TestRunningRequestsOfAnAccountLeaveConnections(t *testing.T) {
	c := tsintake.NewConns(tsintake.ConnLimits{Total: 100})
	for id := range 100 {
		_, ok := c.Open(start, tsintake.ConnID(id+1))
		assert.Assert(t, ok)
		c.SetState(start, tsintake.ConnID(id+1), tsintake.Running)
	}
	assert.Equal(t, admitAll(c, start, crowdFlow, 1, 100), 64)
	assert.Assert(t, admitAll(c, start, otherFlow, 65, 36) > 10)
	c.SetState(start, 1, tsintake.Idle)
	c.Close(2)
	assert.Equal(t, admitAll(c, start, otherFlow, 3, 1), 1, "a request counts once")
}

// Guards against bodies that never end and keep the share of their client account.
func TestStalledBodyGivesWayToTheSameAccount(t *testing.T) {
	c := tsintake.NewConns(tsintake.ConnLimits{Total: 100})
	for id := range 70 {
		_, ok := c.Open(start, tsintake.ConnID(id+1))
		assert.Assert(t, ok)
	}
	admitted := admitAll(c, start, crowdFlow, 1, 65)
	for id := range admitted {
		c.SetState(start, tsintake.ConnID(id+1), tsintake.ReadingBody)
	}
	_, ok := c.Admit(start.Add(10*time.Millisecond), 70, crowdFlow)
	assert.Assert(t, !ok, "bodies that arrive stay")
	toClose, ok := c.Admit(start.Add(timeToStall), 70, crowdFlow)
	assert.Assert(t, ok)
	assert.DeepEqual(t, toClose, []tsintake.ConnID{1})
}

// Guards against receive buffers in the kernel that together exceed their share of the memory, and
// against small ones on a machine with few connections.
func TestReceiveBuffersAreBounded(t *testing.T) {
	l := tsintake.ConnsFor(smallestMachine, 4100)
	c := tsintake.NewConns(l)
	held := int64(0)
	for id := range l.Total {
		_, ok := c.Open(start, tsintake.ConnID(id+1))
		assert.Assert(t, ok)
		c.SetState(start, tsintake.ConnID(id+1), tsintake.Running)
		size := c.ReceiveBuffer(tsintake.ConnID(id + 1))
		if id < 20 {
			assert.Equal(t, size, tsintake.SocketBufferBytes)
		}
		held += 2 * int64(size-tsintake.LeastSocketBufferBytes)
	}
	assert.Assert(t, held <= l.BufferBytes, "%d bytes", held)
	for id := range l.Total {
		c.Close(tsintake.ConnID(id + 1))
	}
	_, ok := c.Open(start, 1)
	assert.Assert(t, ok)
	assert.Equal(t, c.ReceiveBuffer(1), tsintake.SocketBufferBytes, "closed connections give theirs back")
}
