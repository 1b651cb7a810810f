package tsrouting_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/io/tsrouting"
)

func admitRequest(account string) turmericshed.AdmitRequest {
	return turmericshed.AdmitRequest{Account: turmericshed.AccountID(account), Work: turmericshed.WorkAssistant, Cost: 1}
}

func assertKind(t *testing.T, err error, kind turmericshed.Kind) {
	t.Helper()
	assert.Equal(t, turmericshed.KindOf(err), kind, "%v", err)
	assert.Equal(t, turmericshed.OutcomeOf(err), turmericshed.OutcomeNotRun)
}

func TestQueue(t *testing.T) {
	bubble := func(name string, f func(t *testing.T, q *tsrouting.Queue)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { f(t, tsrouting.NewQueue(tsrouting.QueueConfig{MaxRunning: 1})) })
		})
	}
	hold := func(t *testing.T, q *tsrouting.Queue) func() {
		release, err := q.Admit(t.Context(), admitRequest("holder"))
		assert.NilError(t, err)
		return release
	}
	bubble("a waiting request gets the released slot", func(t *testing.T, q *tsrouting.Queue) {
		release := hold(t, q)
		time.AfterFunc(time.Second, release)
		began := time.Now()
		next, err := q.Admit(t.Context(), admitRequest("a"))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), time.Second)
		next()
		next()
		hold(t, q)()
	})
	bubble("the deadline ends the wait", func(t *testing.T, q *tsrouting.Queue) {
		defer hold(t, q)()
		r := admitRequest("a")
		r.Deadline = time.Now().Add(time.Hour)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		began := time.Now()
		_, err := q.Admit(ctx, r)
		assertKind(t, err, turmericshed.KindDeadline)
		assert.Assert(t, time.Since(began) <= 2*time.Second)
	})
	bubble("a request that can no longer complete in time is refused before its deadline", func(t *testing.T, q *tsrouting.Queue) {
		release := hold(t, q)
		time.Sleep(time.Second)
		release()
		defer hold(t, q)()
		r := admitRequest("a")
		r.Deadline = time.Now().Add(10 * time.Second)
		began := time.Now()
		_, err := q.Admit(t.Context(), r)
		assertKind(t, err, turmericshed.KindDeadline)
		assert.Equal(t, time.Since(began), 9500*time.Millisecond)
		assert.Assert(t, turmericshed.RetryAfterOf(err) > 0)
	})
	bubble("a caller that disconnects leaves the queue at once and frees its slot", func(t *testing.T, q *tsrouting.Queue) {
		release := hold(t, q)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, err := q.Admit(ctx, admitRequest("a"))
		assertKind(t, err, turmericshed.KindCanceled)
		release()
		hold(t, q)()
	})
	t.Run("an account's rate is shared by the entry VMs that are alive", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var board tsboard.Board
			board.Members.Write([]tsboard.Member{{State: turmericshed.MemberAlive}, {State: turmericshed.MemberGone}})
			q := tsrouting.NewQueue(tsrouting.QueueConfig{Board: &board})
			r := admitRequest("a")
			r.Limit.RequestsPerSecond = 10
			admitted := 0
			for range 1000 {
				if _, err := q.Admit(t.Context(), r); err == nil {
					admitted++
				}
				time.Sleep(10 * time.Millisecond)
			}
			assert.Assert(t, admitted >= 48 && admitted <= 52, "%d in 10 s", admitted)
		})
	})
	t.Run("overload control uses at most the entry VM's even share of the servers' slots", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			q := tsrouting.NewQueue(tsrouting.QueueConfig{
				MaxRunning: 100,
				Load:       func(time.Time, turmericshed.WorkKind) (float64, int) { return 3, 10 },
			})
			ctx, cancel := context.WithCancel(t.Context())
			for _, c := range q.Controllers() {
				go func() { _ = c.Serve(ctx) }()
			}
			hold(t, q)()
			time.Sleep(20 * time.Second)
			admitted := 0
			for range 30 {
				r := admitRequest("a")
				r.Deadline = time.Now().Add(time.Second)
				if _, err := q.Admit(ctx, r); err == nil {
					admitted++
				}
			}
			assert.Equal(t, admitted, 10)
			cancel()
			synctest.Wait()
		})
	})
}
