package tsmember_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsmember"
)

const tick = 100 * time.Millisecond

// cluster runs nodes in one goroutine with a fake clock; calls take no time.
type cluster struct {
	t       *testing.T
	now     time.Time
	nodes   map[turmericshed.Incarnation]*tsmember.Node
	order   []turmericshed.Incarnation
	paused  map[turmericshed.Incarnation]bool
	blocked func(from, to turmericshed.EntryVM) bool
	gone    map[string]int // times that a live member was declared gone
	events  []string
}

func vmOf(i, domains int, incarnation string) turmericshed.EntryVM {
	return turmericshed.EntryVM{
		Name: fmt.Sprintf("vm-%d", i), Incarnation: turmericshed.Incarnation(incarnation), Region: "my-west",
		FailureDomain: turmericshed.FailureDomain(fmt.Sprintf("fd-%d", i%domains)),
		PeerAddr:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
	}
}

func newCluster(t *testing.T, n, domains int) *cluster {
	c := &cluster{
		t: t, now: time.Unix(1_000_000, 0), nodes: map[turmericshed.Incarnation]*tsmember.Node{},
		paused: map[turmericshed.Incarnation]bool{}, gone: map[string]int{},
	}
	vms := make([]turmericshed.EntryVM, n)
	for i := range vms {
		vms[i] = vmOf(i, domains, fmt.Sprintf("in-%d", i))
		c.start(vms[i], 1)
	}
	for _, in := range c.order {
		c.nodes[in].Seed(c.now, vms)
	}
	return c
}

func (c *cluster) start(vm turmericshed.EntryVM, epoch uint64) *tsmember.Node {
	n := tsmember.New(tsmember.Config{Self: vm, Epoch: epoch, Rand: rand.New(rand.NewPCG(7, uint64(len(c.order))))}, c.now)
	c.nodes[vm.Incarnation] = n
	c.order = append(c.order, vm.Incarnation)
	return n
}

func (c *cluster) kill(in turmericshed.Incarnation) { delete(c.nodes, in) }

// reach returns the node that answers a call, or nil.
func (c *cluster) reach(from, to turmericshed.EntryVM) *tsmember.Node {
	if c.blocked != nil && c.blocked(from, to) {
		return nil
	}
	for _, in := range c.order {
		if n := c.nodes[in]; n != nil && n.Self().PeerAddr == to.PeerAddr && !c.paused[in] {
			return n
		}
	}
	return nil
}

func (c *cluster) perform(n *tsmember.Node, a tsmember.Action) bool {
	peer := c.reach(n.Self(), a.To)
	if peer == nil {
		for _, next := range n.HandleFailure(c.now, a.ID) {
			c.perform(n, next)
		}
		return false
	}
	switch a.Kind {
	case tsmember.ActionProbe:
		return n.HandleReply(c.now, a.ID, peer.HandleProbe(c.now, a.Message))
	case tsmember.ActionRelay:
		if relayed, ok := peer.HandleRelay(c.now, a.Target.Incarnation); ok {
			n.HandleRelayReply(c.now, a.ID, c.perform(peer, relayed))
		}
	case tsmember.ActionSync:
		n.HandleSyncReply(c.now, a.ID, peer.HandleSync(c.now, a.Sync))
	}
	return true
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(tick) {
		for _, in := range c.order {
			n := c.nodes[in]
			if n == nil || c.paused[in] {
				continue
			}
			for _, a := range n.Tick(c.now) {
				c.perform(n, a)
			}
			for _, e := range n.Events() {
				c.events = append(c.events, fmt.Sprintf("%s: %s %s", n.Self().Name, e.Name, e.Member.Incarnation))
				if e.Name == turmericshed.EventMemberGone && c.nodes[e.Member.Incarnation] != nil {
					c.gone[e.Member.Name]++
				}
			}
		}
	}
}

// assertStates checks a member's state on every live node except the member itself.
func (c *cluster) assertStates(in turmericshed.Incarnation, want turmericshed.MemberState) {
	c.t.Helper()
	for _, at := range c.order {
		if n := c.nodes[at]; n != nil && at != in {
			assert.Equal(c.t, n.State(in), want, "%s about %s", at, in)
		}
	}
}

// assertAllReach checks that every live node considers every other one reachable.
func (c *cluster) assertAllReach() {
	c.t.Helper()
	for _, at := range c.order {
		if n := c.nodes[at]; n != nil {
			assert.Equal(c.t, len(n.Reachable()), len(c.nodes)-1, "at %s", at)
		}
	}
}

func (c *cluster) assertNoLiveMemberGone() {
	c.t.Helper()
	assert.Equal(c.t, len(c.gone), 0, "%v", c.gone)
}

func between(a, b turmericshed.FailureDomain) func(from, to turmericshed.EntryVM) bool {
	return func(from, to turmericshed.EntryVM) bool {
		return from.FailureDomain == a && to.FailureDomain == b || from.FailureDomain == b && to.FailureDomain == a
	}
}

func isolating(d turmericshed.FailureDomain) func(from, to turmericshed.EntryVM) bool {
	return func(from, to turmericshed.EntryVM) bool {
		return (from.FailureDomain == d) != (to.FailureDomain == d)
	}
}

func TestFailures(t *testing.T) {
	t.Run("a dead member is gone everywhere within 20 s", func(t *testing.T) {
		c := newCluster(t, 9, 3)
		c.run(5 * time.Second)
		c.kill("in-4")
		c.run(20 * time.Second)
		c.assertStates("in-4", turmericshed.MemberGone)
		c.assertNoLiveMemberGone()
	})
	t.Run("a one-way cut leads to no lasting suspicion", func(t *testing.T) {
		c := newCluster(t, 9, 3)
		c.blocked = func(from, to turmericshed.EntryVM) bool { return from.Name == "vm-0" && to.Name == "vm-3" }
		c.run(2 * time.Minute)
		c.assertStates("in-3", turmericshed.MemberAlive)
		assert.Equal(t, len(c.nodes["in-0"].Reachable()), 7)
		assert.Equal(t, len(c.nodes["in-1"].Reachable()), 8)
		c.blocked = nil
		c.run(30 * time.Second)
		c.assertAllReach()
		c.assertNoLiveMemberGone()
	})
	t.Run("accusations by a single member declare no member gone", func(t *testing.T) {
		c := newCluster(t, 9, 3)
		c.blocked = func(from, _ turmericshed.EntryVM) bool { return from.Name == "vm-0" }
		c.run(3 * time.Minute)
		c.assertNoLiveMemberGone()
		c.blocked = nil
		c.run(30 * time.Second)
		c.assertAllReach()
	})
	t.Run("a cut between two failure domains declares no member gone", func(t *testing.T) {
		c := newCluster(t, 9, 3)
		c.blocked = between("fd-0", "fd-1")
		c.run(10 * time.Minute)
		c.assertNoLiveMemberGone()
		c.blocked = nil
		c.run(30 * time.Second)
		c.assertAllReach()
	})
	t.Run("an isolated failure domain is not declared gone and recovers", func(t *testing.T) {
		c := newCluster(t, 9, 3)
		c.run(5 * time.Second)
		c.blocked = isolating("fd-0")
		c.run(time.Minute)
		assert.Equal(t, len(c.nodes["in-0"].Reachable()), 2)
		assert.Equal(t, len(c.nodes["in-1"].Reachable()), 5)
		c.run(time.Hour)
		c.assertNoLiveMemberGone()
		c.blocked = nil
		c.run(30 * time.Second)
		c.assertAllReach()
	})
	t.Run("the link to an isolated failure domain heals within 10 s", func(t *testing.T) {
		c := newCluster(t, 60, 3)
		c.run(5 * time.Second)
		c.blocked = isolating("fd-0")
		c.run(time.Minute)
		c.blocked = nil
		c.run(10 * time.Second)
		c.assertAllReach()
		c.assertNoLiveMemberGone()
	})
	t.Run("members declared gone on both sides of a cut recover", func(t *testing.T) {
		c := newCluster(t, 9, 3)
		c.run(5 * time.Second)
		c.blocked = isolating("fd-0")
		c.run(time.Minute)
		for _, in := range c.order {
			var same []turmericshed.EntryVM
			for i := range 9 {
				if vm := vmOf(i, 3, fmt.Sprintf("in-%d", i)); (vm.FailureDomain == "fd-0") == (c.nodes[in].Self().FailureDomain == "fd-0") {
					same = append(same, vm)
				}
			}
			for range 3 {
				c.nodes[in].Seed(c.now, same)
			}
		}
		c.run(30 * time.Second)
		assert.Equal(t, c.nodes["in-0"].State("in-1"), turmericshed.MemberGone)
		assert.Equal(t, c.nodes["in-1"].State("in-0"), turmericshed.MemberGone)
		c.blocked = nil
		c.run(time.Minute)
		c.assertAllReach()
	})
	t.Run("a flapping link declares no member gone", func(t *testing.T) {
		c := newCluster(t, 9, 3)
		for i := range 60 {
			if c.blocked = nil; i%2 == 0 {
				c.blocked = isolating("fd-1")
			}
			c.run(3 * time.Second)
		}
		c.assertNoLiveMemberGone()
		c.blocked = nil
		c.run(30 * time.Second)
		c.assertAllReach()
	})
	t.Run("a failure domain that terminated is suspect until the list drops it", func(t *testing.T) {
		c := newCluster(t, 9, 3)
		c.run(5 * time.Second)
		var left []turmericshed.EntryVM
		for i := range 9 {
			if i%3 == 0 {
				c.kill(turmericshed.Incarnation(fmt.Sprintf("in-%d", i)))
			} else {
				left = append(left, vmOf(i, 3, fmt.Sprintf("in-%d", i)))
			}
		}
		c.run(time.Minute)
		c.assertStates("in-0", turmericshed.MemberSuspect)
		for range 3 {
			for _, n := range c.nodes {
				n.Seed(c.now, left)
			}
		}
		c.run(5 * time.Second)
		c.assertStates("in-0", turmericshed.MemberGone)
	})
}

func TestIncarnations(t *testing.T) {
	t.Run("a restart ends the old incarnation", func(t *testing.T) {
		c := newCluster(t, 9, 3)
		c.run(5 * time.Second)
		c.kill("in-4")
		c.start(vmOf(4, 3, "in-4b"), 2).Seed(c.now, []turmericshed.EntryVM{vmOf(0, 3, "in-0")})
		c.run(15 * time.Second)
		c.assertStates("in-4", turmericshed.MemberGone)
		c.assertStates("in-4b", turmericshed.MemberAlive)
		c.assertAllReach()
	})
	t.Run("a restart with an earlier clock is the newer incarnation", func(t *testing.T) {
		c := newCluster(t, 9, 3)
		c.nodes["in-4"] = nil
		c.kill("in-4")
		c.start(vmOf(4, 3, "in-4a"), 50)
		c.run(15 * time.Second)
		c.kill("in-4a")
		c.start(vmOf(4, 3, "in-4b"), 20).Seed(c.now, []turmericshed.EntryVM{vmOf(0, 3, "in-0")})
		c.run(15 * time.Second)
		c.assertStates("in-4a", turmericshed.MemberGone)
		c.assertStates("in-4b", turmericshed.MemberAlive)
	})
	t.Run("a paused member recovers with its incarnation and suspects no member", func(t *testing.T) {
		c := newCluster(t, 9, 3)
		c.run(5 * time.Second)
		c.paused["in-4"] = true
		c.run(time.Minute)
		c.assertStates("in-4", turmericshed.MemberGone)
		c.paused["in-4"] = false
		c.events = nil
		c.run(15 * time.Second)
		c.assertStates("in-4", turmericshed.MemberAlive)
		for _, e := range c.events {
			assert.Assert(t, e[:5] != "vm-4:" || e[6:20] != "member_suspect", e)
		}
	})
	t.Run("a process that was paused drops its open probes", func(t *testing.T) {
		c := newCluster(t, 9, 3)
		n := c.nodes["in-4"]
		var open []tsmember.Action
		for len(open) == 0 {
			c.now = c.now.Add(tick)
			open = n.Tick(c.now)
		}
		c.now = c.now.Add(time.Minute)
		n.Tick(c.now)
		assert.Equal(t, len(n.HandleFailure(c.now, open[0].ID)), 0)
		assert.Equal(t, n.State(open[0].To.Incarnation), turmericshed.MemberAlive)
	})
	t.Run("a graceful stop gives the state left and not gone", func(t *testing.T) {
		c := newCluster(t, 9, 3)
		c.run(5 * time.Second)
		for _, a := range c.nodes["in-4"].Leave(c.now) {
			c.perform(c.nodes["in-4"], a)
		}
		c.kill("in-4")
		c.run(15 * time.Second)
		c.assertStates("in-4", turmericshed.MemberLeft)
	})
	t.Run("an old incarnation in the list does not replace the new one", func(t *testing.T) {
		c := newCluster(t, 9, 3)
		c.kill("in-4")
		c.start(vmOf(4, 3, "in-4b"), 2).Seed(c.now, []turmericshed.EntryVM{vmOf(0, 3, "in-0")})
		c.run(15 * time.Second)
		for range 5 {
			c.nodes["in-0"].Seed(c.now, []turmericshed.EntryVM{vmOf(4, 3, "in-4")})
		}
		c.run(5 * time.Second)
		c.assertStates("in-4b", turmericshed.MemberAlive)
		c.assertStates("in-4", turmericshed.MemberGone)
	})
}

func TestGossipedAccusations(t *testing.T) {
	stateAfterSync := func(t *testing.T, accusers int) turmericshed.MemberState {
		t.Helper()
		c := newCluster(t, 9, 3)
		c.run(time.Second)
		u := tsmember.Update{EntryVM: vmOf(4, 3, "in-4"), Epoch: 1, Seq: 1, State: turmericshed.MemberGone}
		for i := range accusers {
			u.Accusers = append(u.Accusers, tsmember.Accusation{Name: fmt.Sprintf("vm-%d", i), FailureDomain: "fd-1", Age: 2 * time.Minute})
		}
		c.nodes["in-0"].HandleSyncReply(c.now, 0, tsmember.SyncReply{Updates: []tsmember.Update{u}})
		return c.nodes["in-0"].State("in-4")
	}
	t.Run("accusations by several members in a synced table are accepted", func(t *testing.T) {
		assert.Equal(t, stateAfterSync(t, 3), turmericshed.MemberGone)
	})
	t.Run("a gone state with a single accuser is not accepted", func(t *testing.T) {
		assert.Equal(t, stateAfterSync(t, 1), turmericshed.MemberAlive)
	})
}

func TestJoin(t *testing.T) {
	t.Run("all members join despite a stale or empty list", func(t *testing.T) {
		c := newCluster(t, 0, 3)
		for i := range 30 {
			c.start(vmOf(i, 3, fmt.Sprintf("in-%d", i)), 1).Seed(c.now, []turmericshed.EntryVM{vmOf(i/2, 3, fmt.Sprintf("in-%d", i/2))})
		}
		for _, n := range c.nodes {
			n.Seed(c.now, nil)
		}
		c.run(time.Minute)
		c.assertAllReach()
	})
	t.Run("a lost update is repaired by anti-entropy", func(t *testing.T) {
		c := newCluster(t, 30, 3)
		c.run(time.Minute)
		c.start(vmOf(30, 3, "in-30"), 1).Seed(c.now, []turmericshed.EntryVM{vmOf(0, 3, "in-0")})
		// vm-7 is isolated until the update has been sent its maximum number of times.
		c.blocked = func(from, to turmericshed.EntryVM) bool { return from.Name == "vm-7" || to.Name == "vm-7" }
		c.run(3 * time.Minute)
		c.blocked = nil
		c.run(time.Minute)
		assert.Equal(t, c.nodes["in-7"].State("in-30"), turmericshed.MemberAlive)
	})
}
