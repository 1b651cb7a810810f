package tslink

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const step = 10 * time.Millisecond

// entryVM is one of those that an account's callers may come to.
type entryVM struct {
	link   *Link
	relief Relief
	// queuedBytes are the bytes that wait at the link inbound.
	queuedBytes float64
	// failedProbes are the balancer's looks in a row that found it full.
	failedProbes int
}

// receive passes what the link carries in a step on to the process.
func (vm *entryVM) receive(now time.Time) {
	n := min(vm.queuedBytes, rate*step.Seconds())
	vm.queuedBytes -= n
	vm.link.Moved(now, Inbound, int(n))
}

// balancer sends the callers of one account to the first of a few entry VMs. It
// looks once a second and leaves out those that were full twice in a row.
type balancer struct {
	vms []*entryVM
	// ignoresRelief is true for entry VMs that never ask for relief.
	ignoresRelief bool
}

func newBalancer() *balancer {
	b := &balancer{}
	for range 4 {
		b.vms = append(b.vms, &entryVM{link: New(rate)})
	}
	return b
}

func (b *balancer) target() *entryVM {
	for _, vm := range b.vms {
		if vm.failedProbes < 2 {
			return vm
		}
	}
	return b.vms[0]
}

func (b *balancer) probe() {
	for _, vm := range b.vms {
		vm.failedProbes++
		if !vm.relief.isActive || b.ignoresRelief {
			vm.failedProbes = 0
		}
	}
}

// run offers a part of one link's rate for a time. It returns how long bytes
// waited at a link, at most and on average.
func (b *balancer) run(offered float64, d time.Duration) (longest, mean time.Duration) {
	var sum time.Duration
	for at := time.Duration(0); at < d; at += step {
		now, vm := start.Add(at), b.target()
		vm.queuedBytes += offered * rate * step.Seconds()
		wait := time.Duration(vm.queuedBytes / rate * float64(time.Second))
		longest, sum = max(longest, wait), sum+wait
		for _, vm := range b.vms {
			vm.receive(now)
			if at%(100*time.Millisecond) == 0 {
				vm.relief.Update(now, vm.link.Load(now, Inbound))
			}
		}
		if at%time.Second == 0 {
			b.probe()
		}
	}
	return longest, sum / (d / step)
}

func TestRelief(t *testing.T) {
	t.Run("an account that offers more than one link carries starves without relief", func(t *testing.T) {
		b := newBalancer()
		b.ignoresRelief = true
		longest, _ := b.run(1.2, 40*time.Second)
		assert.Assert(t, longest > 5*time.Second, "%s", longest)
	})
	t.Run("with it the account is spread over its entry VMs", func(t *testing.T) {
		longest, mean := newBalancer().run(1.2, 40*time.Second)
		assert.Assert(t, longest <= time.Second, "%s", longest)
		assert.Assert(t, mean <= 300*time.Millisecond, "%s", mean)
	})
	t.Run("a moderate load stays where it is", func(t *testing.T) {
		b := newBalancer()
		b.run(0.6, 20*time.Second)
		assert.Equal(t, b.vms[1].link.Load(start.Add(20*time.Second), Inbound), 0.0)
	})
	t.Run("relief lasts for some seconds and until there is room", func(t *testing.T) {
		var r Relief
		assert.Assert(t, r.Update(at(0), 0.9))
		assert.Assert(t, r.Update(at(1000), 0.1))
		assert.Assert(t, r.Update(at(3000), 0.7))
		assert.Assert(t, !r.Update(at(3100), 0.2))
	})
}
