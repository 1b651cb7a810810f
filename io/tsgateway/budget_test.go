package tsgateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/standin/tsmetastore"
)

// generationCost is what one complete generation is billed, in tokens.
const generationCost = promptTokens + eventsPerStream*tokensPerEvent

func TestBilling(t *testing.T) {
	r := newRig(t, 100_000)
	const n = 5
	for range n {
		assertStatus(t, r.requestGeneration("/quote/1"), http.StatusOK)
	}
	t.Run("a refused request costs nothing", func(t *testing.T) {
		setBehaviour(r.engines, tsmetastore.BehaveRefusing)
		assertRefused(t, r.requestGeneration("/once/1"), http.StatusServiceUnavailable, turmericshed.OutcomeNotRun)
	})
	t.Run("a graceful stop returns the unused tokens", func(t *testing.T) {
		assert.NilError(t, r.shutdown())
		l := r.ledger()
		assert.Equal(t, l.OpenCharge(), turmericshed.Tokens(0))
		assert.Equal(t, l.Spent, turmericshed.Tokens(n*generationCost))
		assert.Equal(t, l.Requests, int64(n+1))
	})
}

func TestSpendingNeverExceedsPrepaid(t *testing.T) {
	const affordable = 7
	r := newRig(t, affordable*generationCost+outputTokens)
	served := 0
	for range 4 * affordable {
		got := r.requestGeneration("/quote/1")
		if got.status == http.StatusOK {
			served++
			continue
		}
		assert.Equal(t, runCount(r.engines), served, "a refused request ran")
		assert.Assert(t, got.status == http.StatusPaymentRequired || got.status == http.StatusServiceUnavailable, "%d", got.status)
	}
	assert.Equal(t, served, affordable, "all that fits is served")
	t.Run("a raise is usable at once", func(t *testing.T) {
		r.setTable((affordable + 1) * (promptTokens + outputTokens))
		r.eventually("one more is served", func() bool { return r.requestGeneration("/quote/1").status == http.StatusOK })
	})
	assert.NilError(t, r.shutdown())
	l := r.ledger()
	assert.Equal(t, l.Spent, turmericshed.Tokens((affordable+1)*generationCost))
}

func TestOutageOfTheStore(t *testing.T) {
	r := newRig(t, 100_000)
	assertStatus(t, r.requestGeneration("/quote/1"), http.StatusOK)
	r.store.SetDown(true)
	for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(100 * time.Millisecond) {
		assertStatus(t, r.requestGeneration("/quote/1"), http.StatusOK)
	}
	r.store.SetDown(false)
	assertStatus(t, r.requestGeneration("/quote/1"), http.StatusOK)
}

func TestLostStoreAnswers(t *testing.T) {
	r := newRig(t, 20*generationCost)
	for i := range 60 {
		if i%3 == 0 {
			r.store.LoseWrites(2, time.Duration(i*20)*time.Millisecond)
		}
		r.requestGeneration("/quote/1")
	}
	assert.Assert(t, runCount(r.engines) >= 10 && runCount(r.engines) <= 20, "%d ran", runCount(r.engines))
	l := r.ledger()
	assert.Assert(t, l.Spent+l.OpenCharge() <= l.Prepaid)
	assert.Assert(t, turmericshed.Tokens(runCount(r.engines)*generationCost) <= l.Spent+l.OpenCharge())
}

func TestKill(t *testing.T) {
	chargedTokens := func(r *rig) turmericshed.Tokens { l := r.ledger(); return l.Spent + l.OpenCharge() }
	t.Run("the next process on the machine returns the killed process's unused tokens", func(t *testing.T) {
		r := newRig(t, 100_000)
		for range 3 {
			assertStatus(t, r.requestGeneration("/quote/1"), http.StatusOK)
		}
		before := chargedTokens(r)
		r.kill()
		r.entryVM = r.start("vm-1")
		r.eventually("the lots are returned", func() bool {
			l := r.ledger()
			return l.Spent > 0 && l.Spent < before/2
		})
		assert.Assert(t, r.ledger().Spent >= 3*generationCost)
		assertStatus(t, r.requestGeneration("/quote/1"), http.StatusOK)
	})
	t.Run("a process on another machine leaves the unused tokens charged", func(t *testing.T) {
		r := newRig(t, 100_000)
		assertStatus(t, r.requestGeneration("/quote/1"), http.StatusOK)
		before := chargedTokens(r)
		r.kill()
		r.entryVM = r.start("vm-2")
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, chargedTokens(r) >= before)
	})
	t.Run("a process that starts too late leaves the unused tokens charged", func(t *testing.T) {
		r := newRig(t, 100_000)
		assertStatus(t, r.requestGeneration("/quote/1"), http.StatusOK)
		before := chargedTokens(r)
		r.kill()
		time.Sleep(tsbudget.LeaseLength + 500*time.Millisecond)
		r.entryVM = r.start("vm-1")
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, chargedTokens(r) >= before)
	})
}

func TestGracefulStop(t *testing.T) {
	r := newRig(t, 100_000)
	for _, e := range r.engines {
		e.Pause = 400 * time.Millisecond
	}
	answers := make(chan reply)
	go func() { answers <- r.requestGeneration("/quote/1") }()
	r.eventually("the stream runs", func() bool { return runCount(r.engines) == 1 })
	r.stop()
	t.Run("it reports not ready at once", func(t *testing.T) {
		r.eventually("not ready", func() bool { return r.status(r.gateway.ReadyAddr(), "/") == http.StatusServiceUnavailable })
	})
	t.Run("it still serves requests from the load balancer", func(t *testing.T) {
		got := r.request(http.MethodGet, "/look/1", "")
		assertStatus(t, got, http.StatusOK)
		assert.Assert(t, got.closes)
	})
	t.Run("running requests complete", func(t *testing.T) {
		got := <-answers
		assertStatus(t, got, http.StatusOK)
		assert.Equal(t, got.body, completeStream(1))
	})
	assert.NilError(t, <-r.ended)
	r.stop = nil
	assert.Equal(t, r.ledger().Spent, turmericshed.Tokens(generationCost))
}

func TestEntryVMWithoutLotsReportsExhaustedBudget(t *testing.T) {
	const affordable = 12
	r := newRig(t, affordable*generationCost+promptTokens)
	first := r.entryVM
	for served := 0; served < affordable; {
		if r.requestGeneration("/quote/1").status == http.StatusOK {
			served++
		}
	}
	r.entryVM = r.start("vm-2")
	r.eventually("the budget is reported exhausted", func() bool { return r.requestGeneration("/quote/1").status == http.StatusPaymentRequired })
	assert.Equal(t, runCount(r.engines), affordable)
	first.kill()
}
