package tsholder_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsholder"
	"turmericshed/standin/tsplatform"
)

// raisePrepaid raises the profile's prepaid amount.
func (w *world) raisePrepaid(prepaid turmericshed.Tokens) {
	w.t.Helper()
	p := w.profile
	p.Prepaid = prepaid
	var err error
	w.profile, err = tsholder.PutProfile(w.ctx, w.store, p, w.profile.Version)
	assert.NilError(w.t, err)
}

// partition separates node y and its failure domain "y" from the platform and from domain "x", or
// ends the partition.
func (w *world) partition(y *node, isPartitioned bool) {
	w.partitionDomains("x", "y", isPartitioned)
	w.store.ChangeFaults(func(f *tsplatform.Faults) {
		f.Cut = nil
		if isPartitioned {
			f.Cut = []string{string(y.vm.Incarnation)}
		}
	})
}

// spend sends one request per second and returns the billed tokens and the number of refusals.
func (n *node) spend(seconds int) (billed turmericshed.Tokens, refused int) {
	for range seconds {
		res, err := n.reserve(100, 500*time.Millisecond)
		if err == nil {
			n.Settle(res, 60)
			billed += 60
		} else {
			refused++
		}
		time.Sleep(time.Second)
	}
	return billed, refused
}

func TestNetworkPartition(t *testing.T) {
	inBubble(t, "a failure domain cut off for hours while the other side tops up", func(t *testing.T) {
		w := newWorld(t, 400_000, "")
		w.profile.PartitionTolerance = turmericshed.Duration(10 * time.Minute)
		a, b := w.add(1, "a", "x"), w.add(2, "b", "y")
		var before [2]turmericshed.Tokens
		var both sync.WaitGroup
		both.Go(func() { before[0], _ = a.spend(120) })
		both.Go(func() { before[1], _ = b.spend(120) })
		both.Wait()
		w.partition(b, true)
		w.raisePrepaid(900_000)
		var after [2]turmericshed.Tokens
		var refused [2]int
		both.Go(func() { after[0], refused[0] = a.spend(7200) })
		both.Go(func() { after[1], refused[1] = b.spend(7200) })
		both.Wait()
		assert.Equal(t, refused[0], 0)
		// On the partitioned side, refusals started only after the bridging time, and nothing was
		// spent beyond its lots.
		assert.Assert(t, refused[1] > 0 && refused[1] <= 7200-600, "%d refused", refused[1])
		_, err := b.reserve(5000, time.Second)
		assertKind(t, err, turmericshed.KindBudgetUnavailable)
		w.partition(b, false)
		last, refusedLast := b.spend(60)
		assert.Equal(t, refusedLast, 0)
		assert.NilError(t, a.drain())
		assert.NilError(t, b.drain())
		l := w.ledger()
		assert.Equal(t, l.Billed, before[0]+before[1]+after[0]+after[1]+last)
		assert.Equal(t, l.Forfeited, turmericshed.Tokens(0))
	})
	inBubble(t, "two holders that both consider themselves home", func(t *testing.T) {
		w := newWorld(t, 20_000, "")
		a, b := w.add(1, "a", "x"), w.add(2, "b", "x")
		w.partitionDomains("x", "x", true)
		var billed [2]turmericshed.Tokens
		var both sync.WaitGroup
		both.Go(func() { billed[0], _ = a.spend(400) })
		both.Go(func() { billed[1], _ = b.spend(400) })
		both.Wait()
		assert.NilError(t, a.drain())
		assert.NilError(t, b.drain())
		assert.Equal(t, w.ledger().Billed, billed[0]+billed[1])
		assert.Assert(t, billed[0]+billed[1] <= 20_000 && billed[0]+billed[1] > 19_000, "%d billed", billed)
	})
	inBubble(t, "a member list that omits running VMs loses no tokens", func(t *testing.T) {
		w := newWorld(t, 100_000, "")
		a, b := w.add(1, "a", "x"), w.add(2, "b", "x")
		res := a.mustReserve(100)
		w.mu.Lock()
		w.states["a"] = turmericshed.MemberGone
		w.mu.Unlock()
		_, refused := b.spend(600)
		assert.Equal(t, refused, 0)
		a.Settle(res, 100)
		assert.NilError(t, a.drain())
		assert.NilError(t, b.drain())
		assert.Equal(t, w.ledger().Billed, turmericshed.Tokens(100+600*60))
		assert.Equal(t, w.ledger().Forfeited, turmericshed.Tokens(0))
	})
	inBubble(t, "a holder restarted at the same address owns none of the old lots", func(t *testing.T) {
		w := newWorld(t, 1000, "")
		a := w.add(1, "a", "x")
		a.Settle(a.mustReserve(900), 100)
		a.crash()
		b := w.add(1, "b", "x")
		_, err := b.reserve(200, time.Second)
		assert.Assert(t, err != nil)
		assert.Assert(t, w.ledger().OpenCharge()+w.ledger().Spent >= 900)
	})
}
