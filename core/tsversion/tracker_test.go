package tsversion_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsversion"
)

const retention = 20 * time.Second

// fleet is a tracker with a clock. Its service is pool.
type fleet struct {
	*tsversion.Tracker
	t   *testing.T
	now time.Time
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	return &fleet{tsversion.NewTracker(), t, time.Unix(1000, 0)}
}

// list sets the versions of the listed servers, one server each.
func (f *fleet) list(versions ...turmericshed.SoftwareVersion) {
	var servers []turmericshed.BackendServer
	for _, v := range versions {
		servers = append(servers, turmericshed.BackendServer{ID: turmericshed.ServerID(v), Service: "pool", Software: v})
	}
	f.SetServers(f.now, servers, retention)
}

func (f *fleet) register(versions ...turmericshed.SoftwareVersion) {
	f.SetRegistered(f.now, tsversion.Versions{"pool": versions})
}

func (f *fleet) wait(d time.Duration) { f.now = f.now.Add(d) }

func (f *fleet) assertUsable(want ...turmericshed.SoftwareVersion) {
	f.t.Helper()
	assert.DeepEqual(f.t, f.Usable("pool"), want)
}

func (f *fleet) assertUnregistered(want ...turmericshed.SoftwareVersion) {
	f.t.Helper()
	assert.DeepEqual(f.t, f.Unregistered()["pool"], want)
}

func (f *fleet) assertUnused(want ...turmericshed.SoftwareVersion) {
	f.t.Helper()
	unused, _ := f.Unused(f.now, retention)
	assert.DeepEqual(f.t, unused["pool"], want)
}

// Guards against versions at which streams begin before they are registered, or that are removed while
// streams of them may be resumed.
func TestVersionsAreRegisteredWhileStreamsNeedThem(t *testing.T) {
	t.Run("before streams begin", func(t *testing.T) {
		f := newFleet(t)
		f.list("v1")
		f.assertUsable()
		f.assertUnregistered("v1")
		f.register("v1")
		f.assertUnregistered()
		f.list("v1", "v2")
		f.assertUsable("v1")
		f.assertUnregistered("v2")
		assert.Assert(t, f.IsMixed("pool"))
		f.register("v1", "v2")
		f.assertUsable("v1", "v2")
	})
	t.Run("long after the last server has left", func(t *testing.T) {
		f := newFleet(t)
		f.list("v1", "v2")
		f.register("v1", "v2")
		f.wait(time.Minute)
		f.list("v2")
		f.assertUnused()
		f.wait(retention - time.Second)
		f.assertUnused()
		_, next := f.Unused(f.now, retention)
		assert.Equal(t, next, f.now.Add(time.Second))
		f.wait(time.Second)
		f.assertUnused("v1")
		assert.Assert(t, f.IsMixed("pool"))
		f.register("v2")
		assert.Assert(t, !f.IsMixed("pool"))
	})
	t.Run("again when they return, since others may have removed them", func(t *testing.T) {
		f := newFleet(t)
		f.list("v1", "v2")
		f.register("v1", "v2")
		f.list("v2")
		f.wait(retention / 2)
		f.list("v1", "v2")
		f.assertUnregistered("v1")
		f.assertUsable("v2")
	})
	t.Run("not again when they return at once", func(t *testing.T) {
		f := newFleet(t)
		f.list("v1", "v2")
		f.register("v1", "v2")
		f.list("v2")
		f.wait(retention/2 - time.Second)
		f.list("v1", "v2")
		f.assertUnregistered()
	})
	t.Run("by an entry VM that starts after their last server has left", func(t *testing.T) {
		f := newFleet(t)
		f.list("v2")
		f.register("v1", "v2")
		f.wait(retention - time.Second)
		f.list("v2")
		f.assertUnused()
		f.wait(time.Second)
		f.assertUnused("v1")
	})
}

func TestSole(t *testing.T) {
	v := tsversion.Versions{}
	assert.Assert(t, v.Add(tsversion.Versions{"pool": {"v2", "v1", "v2"}, "desk": {"v1"}}))
	assert.DeepEqual(t, v, tsversion.Versions{"pool": {"v1", "v2"}, "desk": {"v1"}})
	_, ok := v.Sole("pool")
	assert.Assert(t, !ok)
	s, ok := v.Sole("desk")
	assert.Assert(t, ok && s == "v1")
	_, ok = v.Sole("unknown")
	assert.Assert(t, !ok)
	assert.Assert(t, v.Remove(tsversion.Versions{"pool": {"v1"}, "desk": {"v1"}}))
	assert.DeepEqual(t, v, tsversion.Versions{"pool": {"v2"}})
}

// Guards against streams of which others never learn, or learn in vain.
func TestStreamsThatOthersNeedToKnowOf(t *testing.T) {
	now := time.Unix(1000, 0)
	streams := tsversion.NewStreams()
	mixed := false
	isMixed := func(string) bool { return mixed }
	for i, id := range []turmericshed.RequestID{"a", "b", "c"} {
		streams.Begin(turmericshed.StreamBeginning{Request: id, Service: "pool", Software: "v1", Until: now.Add(time.Duration(i+1) * time.Second)}, false)
	}
	streams.Begin(turmericshed.StreamBeginning{Request: "d", Service: "pool", Software: "v1", Until: now.Add(time.Minute)}, true)
	assert.Equal(t, len(streams.TakeUnshared(now, isMixed)), 1, "the ambiguous one")
	mixed = true
	streams.End("c")
	assert.Equal(t, len(streams.TakeUnshared(now, isMixed)), 2, "those that began before the service was mixed")
	assert.Equal(t, len(streams.TakeUnshared(now, isMixed)), 0)
	assert.Equal(t, len(streams.Needed(now, isMixed)), 3)
	now = now.Add(time.Second)
	assert.Equal(t, len(streams.Needed(now, isMixed)), 2, "one can't be resumed any more")
	_, ok := streams.Get(now, "a")
	assert.Assert(t, !ok)
	b, ok := streams.Get(now, "c")
	assert.Assert(t, ok && b.Software == "v1", "the end may be lost on its way")
}
