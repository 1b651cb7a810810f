package tsholder_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/io/tsholder"
	"turmericshed/standin/tsplatform"
)

func TestHolder(t *testing.T) {
	inBubble(t, "a graceful stop returns every unspent token", func(t *testing.T) {
		w := newWorld(t, 10_000, "")
		a, b := w.add(1, "a", "x"), w.add(2, "b", "x")
		for range 20 {
			a.Settle(a.mustReserve(100), 30)
			b.Settle(b.mustReserve(100), 30)
		}
		assert.NilError(t, a.drain())
		assert.NilError(t, b.drain())
		l := w.ledger()
		assert.Equal(t, l.Spent, turmericshed.Tokens(1200))
		assert.Equal(t, l.Billed, turmericshed.Tokens(1200))
		assert.Equal(t, l.Requests, int64(40))
		assert.Equal(t, len(l.Lots), 0)
	})
	inBubble(t, "no store call on the path of a request in steady state", func(t *testing.T) {
		w := newWorld(t, 1_000_000, "")
		a := w.add(1, "a", "x")
		a.Settle(a.mustReserve(100), 100)
		time.Sleep(time.Second)
		for range 600 {
			began := time.Now()
			a.Settle(a.mustReserve(100), 100)
			assert.Equal(t, time.Since(began), time.Duration(0))
			time.Sleep(100 * time.Millisecond)
		}
	})
	inBubble(t, "an unused budget is returned", func(t *testing.T) {
		w := newWorld(t, 10_000, "")
		a := w.add(1, "a", "x")
		a.Settle(a.mustReserve(100), 40)
		time.Sleep(30 * time.Minute)
		l := w.ledger()
		assert.Equal(t, l.Undrawn(), turmericshed.Tokens(9960))
	})
	inBubble(t, "an exhausted budget is reported only from the ledger", func(t *testing.T) {
		w := newWorld(t, 100, "")
		a := w.add(1, "a", "x")
		a.Settle(a.mustReserve(100), 100)
		_, err := a.reserve(1, 10*time.Second)
		assertKind(t, err, turmericshed.KindBudgetExhausted)
		w.store.SetFaults(tsplatform.Faults{Outage: true})
		b := w.add(2, "b", "y")
		_, err = b.reserve(1, 10*time.Second)
		assertKind(t, err, turmericshed.KindBudgetUnavailable)
	})
	inBubble(t, "a request waits for a settlement", func(t *testing.T) {
		w := newWorld(t, 100, "")
		a := w.add(1, "a", "x")
		res := a.mustReserve(100)
		go func() {
			time.Sleep(3 * time.Second)
			a.Settle(res, 20)
		}()
		a.Settle(a.mustReserve(80), 80)
		assert.NilError(t, a.drain())
		assert.Equal(t, w.ledger().Billed, turmericshed.Tokens(100))
	})
	inBubble(t, "no_surprise refuses at once instead", func(t *testing.T) {
		w := newWorld(t, 100, turmericshed.PreferNoSurprise)
		a := w.add(1, "a", "x")
		a.mustReserve(100)
		began := time.Now()
		_, err := a.reserve(80, 10*time.Second)
		assertKind(t, err, turmericshed.KindBudgetExhausted)
		assert.Assert(t, time.Since(began) < time.Second)
	})
	inBubble(t, "a suspended reservation stays charged", func(t *testing.T) {
		w := newWorld(t, 100, "")
		a := w.add(1, "a", "x")
		a.Suspend(a.mustReserve(60))
		_, err := a.reserve(50, 10*time.Second)
		assertKind(t, err, turmericshed.KindBudgetExhausted)
		assert.NilError(t, a.drain())
		assert.Equal(t, w.ledger().Forfeited, turmericshed.Tokens(60))
	})
	inBubble(t, "closing a profile recalls its lots", func(t *testing.T) {
		w := newWorld(t, 10_000, "")
		a := w.add(1, "a", "x")
		a.Settle(a.mustReserve(100), 40)
		closed, err := tsholder.CloseProfile(w.ctx, w.store, w.profile)
		assert.NilError(t, err)
		_, err = a.Reserve(w.ctx, closed, "r", 1)
		assertKind(t, err, turmericshed.KindUnknownProfile)
	})
}

func TestMovingTokens(t *testing.T) {
	inBubble(t, "a request finds the last tokens at a peer", func(t *testing.T) {
		w := newWorld(t, 1000, "")
		a, b := w.add(1, "a", "x"), w.add(2, "b", "y")
		a.Settle(a.mustReserve(1000), 300)
		b.Settle(b.mustReserve(600), 600)
		assert.NilError(t, a.drain())
		assert.NilError(t, b.drain())
		l := w.ledger()
		assert.Equal(t, l.Billed, turmericshed.Tokens(900))
		assert.Equal(t, l.Forfeited, turmericshed.Tokens(0))
	})
	inBubble(t, "a loan whose answer is lost loses no tokens", func(t *testing.T) {
		w := newWorld(t, 1000, "")
		a, b := w.add(1, "a", "x"), w.add(2, "b", "y")
		a.Settle(a.mustReserve(1000), 300)
		w.answersToLose = 1
		b.Settle(b.mustReserve(600), 600)
		assert.NilError(t, b.drain())
		assert.NilError(t, a.drain())
		l := w.ledger()
		assert.Equal(t, l.Spent, turmericshed.Tokens(900))
		assert.Equal(t, l.Billed, turmericshed.Tokens(900))
	})
	inBubble(t, "a stop completes while a terminated lender is considered alive", func(t *testing.T) {
		w := newWorld(t, 1000, "")
		a, b := w.add(1, "a", "x"), w.add(2, "b", "y")
		a.Settle(a.mustReserve(1000), 300)
		b.Settle(b.mustReserve(600), 50)
		a.crash()
		w.mu.Lock()
		w.states["a"] = turmericshed.MemberAlive
		w.mu.Unlock()
		began := time.Now()
		assert.NilError(t, b.drain())
		assert.Assert(t, time.Since(began) < 20*time.Second)
		assert.Equal(t, w.ledger().OpenCharge(), turmericshed.Tokens(1000))
	})
	inBubble(t, "two holders that lent to each other stop at the same time", func(t *testing.T) {
		w := newWorld(t, 2000, "")
		a, b := w.add(1, "a", "x"), w.add(2, "b", "y")
		ra, rb := a.mustReserve(1000), b.mustReserve(1000)
		a.Settle(ra, 0)
		borrowed := b.mustReserve(600)
		b.Settle(rb, 0)
		borrowedBack := a.mustReserve(1200)
		a.Settle(borrowedBack, 100)
		b.Settle(borrowed, 100)
		w.store.SetFaults(tsplatform.Faults{Outage: true})
		began := time.Now()
		time.AfterFunc(2*time.Second, func() { w.store.SetFaults(tsplatform.Faults{LoseAnswers: 4}) })
		results := make(chan error, 2)
		for _, n := range []*node{a, b} {
			go func() { results <- n.drain() }()
		}
		assert.NilError(t, errors.Join(<-results, <-results))
		assert.Assert(t, time.Since(began) < 20*time.Second, "%s", time.Since(began))
		l := w.ledger()
		assert.Equal(t, l.Billed, turmericshed.Tokens(200))
		assert.Equal(t, l.OpenCharge(), turmericshed.Tokens(0))
	})
	inBubble(t, "loans outlive a lender that stops", func(t *testing.T) {
		w := newWorld(t, 1000, "")
		a, b := w.add(1, "a", "x"), w.add(2, "b", "y")
		a.Settle(a.mustReserve(1000), 300)
		res := b.mustReserve(600)
		assert.NilError(t, a.drain())
		b.Settle(res, 50)
		assert.NilError(t, b.drain())
		l := w.ledger()
		assert.Equal(t, l.Spent, turmericshed.Tokens(350))
		assert.Equal(t, l.Billed, turmericshed.Tokens(350))
	})
}

func TestStoreFaults(t *testing.T) {
	runWithFaults := func(name string, faults tsplatform.Faults, succeedsBeforeDrain bool) {
		inBubble(t, name, func(t *testing.T) {
			w := newWorld(t, 1000, "")
			a := w.add(1, "a", "x")
			w.store.SetFaults(faults)
			a.Settle(a.mustReserve(200), 50)
			w.store.SetFaults(tsplatform.Faults{})
			if succeedsBeforeDrain {
				w.store.ApplyHeldWrites()
			}
			assert.NilError(t, a.drain())
			w.store.ApplyHeldWrites()
			l := w.ledger()
			assert.Equal(t, l.Spent, turmericshed.Tokens(50))
			assert.Equal(t, len(l.Lots), 0)
		})
	}
	runWithFaults("answers lost after the writes took effect", tsplatform.Faults{LoseAnswers: 3}, false)
	runWithFaults("a write that takes effect late", tsplatform.Faults{HoldWrites: 1}, true)
	runWithFaults("a write that takes effect after the drain", tsplatform.Faults{HoldWrites: 1}, false)

	inBubble(t, "held lots bridge an hour's store outage", func(t *testing.T) {
		w := newWorld(t, 1_000_000, "")
		w.profile.PartitionTolerance = turmericshed.Duration(time.Hour)
		a := w.add(1, "a", "x")
		for range 600 {
			a.Settle(a.mustReserve(100), 50)
			time.Sleep(time.Second)
		}
		w.store.SetFaults(tsplatform.Faults{Outage: true})
		for range 3600 {
			a.Settle(a.mustReserve(100), 50)
			time.Sleep(time.Second)
		}
		w.store.SetFaults(tsplatform.Faults{})
		assert.NilError(t, a.drain())
		assert.Equal(t, w.ledger().Spent, turmericshed.Tokens(4200*50))
	})
	inBubble(t, "an hour of slow store answers refuses no request", func(t *testing.T) {
		w := newWorld(t, 1_000_000, "")
		a := w.add(1, "a", "x")
		a.Settle(a.mustReserve(100), 50)
		w.store.SetFaults(tsplatform.Faults{Delay: turmericshed.Duration(1400 * time.Millisecond)})
		for range 3600 {
			a.Settle(a.mustReserve(100), 50)
			time.Sleep(time.Second)
		}
		assert.NilError(t, a.drain())
		assert.Equal(t, w.ledger().Spent, turmericshed.Tokens(3601*50))
	})
	inBubble(t, "a crash loses at most the lot, which is closed once", func(t *testing.T) {
		w := newWorld(t, 100_000, "")
		a := w.add(1, "a", "x")
		a.Settle(a.mustReserve(100), 50)
		synctest.Wait()
		lot := w.ledger().OpenCharge()
		a.crash()
		b := w.add(1, "b", "x")
		for range 30 {
			b.Settle(b.mustReserve(100), 50)
			time.Sleep(10 * time.Second)
		}
		assert.NilError(t, b.drain())
		l := w.ledger()
		assert.Equal(t, l.Spent, lot+30*50)
		assert.Equal(t, len(l.Closed), 1)
	})
	inBubble(t, "a paused holder resumes after its lot was closed", func(t *testing.T) {
		w := newWorld(t, 100_000, "")
		a := w.add(1, "a", "x")
		res := a.mustReserve(100)
		synctest.Wait()
		for _, lot := range w.ledger().Lots {
			item, err := w.store.Get(w.ctx, tsbudget.Key(budgetID))
			assert.NilError(t, err)
			value, err := tsbudget.Close(lot.ID)(item)
			assert.NilError(t, err)
			_, err = w.store.CompareAndSwap(w.ctx, turmericshed.Write{Key: item.Key, ExpectedVersion: item.Version, Value: value})
			assert.NilError(t, err)
		}
		b := w.add(2, "b", "x")
		b.Settle(b.mustReserve(100), 70)
		a.Settle(res, 50)
		assert.NilError(t, a.drain())
		assert.NilError(t, b.drain())
		l := w.ledger()
		assert.Equal(t, l.Spent, turmericshed.Tokens(120))
		assert.Equal(t, l.Billed, turmericshed.Tokens(120))
	})
}
