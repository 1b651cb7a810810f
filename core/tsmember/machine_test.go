package tsmember_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericshed"
)

const machineMembers = 6

// TestMembershipMachine injects random faults and checks that all members reach each other
// after the faults end, and that no member without a fault is declared gone.
func TestMembershipMachine(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "6"))
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(r *rapid.T) {
		c := newCluster(t, machineMembers, 2)
		c.run(3 * time.Second)
		cut := map[[2]string]bool{}
		c.blocked = func(from, to turmericshed.EntryVM) bool { return cut[[2]string{from.Name, to.Name}] }
		restarts := 0
		faulty := map[string]bool{}
		for range rapid.IntRange(1, 6).Draw(r, "faults") {
			i := rapid.IntRange(0, machineMembers-1).Draw(r, "member")
			name := fmt.Sprintf("vm-%d", i)
			faulty[name] = true
			switch rapid.SampledFrom([]string{"restart", "pause", "cut out", "cut in", "isolate"}).Draw(r, "fault") {
			case "restart":
				restarts++
				c.restart(i, fmt.Sprintf("in-%d-%d", i, restarts))
			case "pause":
				c.setPaused(name, true)
			case "cut out":
				cut[[2]string{name, fmt.Sprintf("vm-%d", (i+1)%machineMembers)}] = true
				faulty[fmt.Sprintf("vm-%d", (i+1)%machineMembers)] = true
			case "cut in":
				cut[[2]string{fmt.Sprintf("vm-%d", (i+1)%machineMembers), name}] = true
			case "isolate":
				for j := range machineMembers {
					other := fmt.Sprintf("vm-%d", j)
					cut[[2]string{name, other}], cut[[2]string{other, name}] = true, true
				}
			}
			c.run(time.Duration(rapid.IntRange(1, 30).Draw(r, "seconds")) * time.Second)
		}
		for name := range c.gone {
			if !faulty[name] {
				r.Fatalf("%s is gone on some node, but only %v had faults", name, faulty)
			}
		}
		clear(cut)
		for i := range machineMembers {
			c.setPaused(fmt.Sprintf("vm-%d", i), false)
		}
		c.run(90 * time.Second)
		for _, n := range c.nodes {
			if got := len(n.Reachable()); got != machineMembers-1 {
				r.Fatalf("%s reaches %d of %d", n.Self().Name, got, machineMembers-1)
			}
		}
	})
}

// restart replaces the process at an index by one that is seeded with one other member.
func (c *cluster) restart(i int, incarnation string) {
	name := fmt.Sprintf("vm-%d", i)
	for in, n := range c.nodes {
		if n.Self().Name == name {
			c.kill(in)
		}
	}
	c.start(vmOf(i, 2, incarnation), uint64(len(c.order))).Seed(c.now, c.seedFor(name))
}

// seedFor returns the first started running member other than name.
func (c *cluster) seedFor(name string) []turmericshed.EntryVM {
	for _, in := range c.order {
		if n := c.nodes[in]; n != nil && n.Self().Name != name {
			return []turmericshed.EntryVM{n.Self()}
		}
	}
	return nil
}

func (c *cluster) setPaused(name string, paused bool) {
	for in, n := range c.nodes {
		if n.Self().Name == name {
			c.paused[in] = paused
		}
	}
}
