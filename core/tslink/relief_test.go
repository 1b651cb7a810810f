package tslink

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const step = 10 * time.Millisecond

// entryVM is one of the entry VMs assigned to an account's callers.
type entryVM struct {
	link   *Link
	relief Relief
	// queuedBytes are the bytes waiting at the inbound link.
	queuedBytes float64
	// failedProbes is the number of consecutive probes that found the VM saturated.
	failedProbes int
}

// receive delivers to the process what the link carries in one step.
func (vm *entryVM) receive(now time.Time) {
	n := min(vm.queuedBytes, rate*step.Seconds())
	vm.queuedBytes -= n
	vm.link.RecordTraffic(now, Inbound, int(n))
}

// balancer sends the callers of one account to the first of a few entry VMs. It probes once
// a second and excludes those that were saturated at two consecutive probes.
type balancer struct {
	vms []*entryVM
	// ignoresRelief is true if the balancer ignores requests for relief.
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

// run offers a part of one link's rate for a time. It returns the longest and the mean time
// that bytes waited at a link.
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
	t.Run("without relief an account above one link's capacity waits for seconds", func(t *testing.T) {
		b := newBalancer()
		b.ignoresRelief = true
		longest, _ := b.run(1.2, 40*time.Second)
		assert.Assert(t, longest > 5*time.Second, "%s", longest)
	})
	t.Run("with relief the account is spread over its entry VMs", func(t *testing.T) {
		longest, mean := newBalancer().run(1.2, 40*time.Second)
		assert.Assert(t, longest <= time.Second, "%s", longest)
		assert.Assert(t, mean <= 300*time.Millisecond, "%s", mean)
	})
	t.Run("a moderate load is not moved", func(t *testing.T) {
		b := newBalancer()
		b.run(0.6, 20*time.Second)
		assert.Equal(t, b.vms[1].link.Load(start.Add(20*time.Second), Inbound), 0.0)
	})
	t.Run("relief lasts for some seconds and until the load is low", func(t *testing.T) {
		var r Relief
		assert.Assert(t, r.Update(at(0), 0.9))
		assert.Assert(t, r.Update(at(1000), 0.1))
		assert.Assert(t, r.Update(at(3000), 0.7))
		assert.Assert(t, !r.Update(at(3100), 0.2))
	})
}
