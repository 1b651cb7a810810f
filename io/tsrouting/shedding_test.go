package tsrouting_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/io/tsrouting"
)

// sheddingFixture is a Shedding in front of one server, with its pool and controllers.
type sheddingFixture struct {
	board    *tsboard.Board
	shedding *tsrouting.Shedding
	pool     *tsrouting.Pool
}

// inSheddingBubble runs f in fake time, with the controllers running.
func inSheddingBubble(t *testing.T, f func(t *testing.T, s *sheddingFixture)) {
	synctest.Test(t, func(t *testing.T) {
		s := &sheddingFixture{board: &tsboard.Board{}}
		s.board.Servers.Write([]turmericshed.BackendServer{{ID: "s", Service: "pool", Slots: 8, Work: turmericshed.WorkService}})
		s.shedding = tsrouting.NewShedding(tsrouting.SheddingConfig{Board: s.board, Metrics: prometheus.NewRegistry(), Log: slog.New(slog.DiscardHandler)})
		s.pool = tsrouting.NewPool(tsrouting.PoolConfig{Board: s.board, OnApplied: s.shedding.Report})
		ctx, cancel := context.WithCancel(t.Context())
		for _, c := range append(s.shedding.Controllers(), s.pool.Controllers()...) {
			go func() { _ = c.Serve(ctx) }()
		}
		synctest.Wait()
		f(t, s)
		cancel()
	})
}

func sheddingRequest(content uint64) turmericshed.AdmitRequest {
	return turmericshed.AdmitRequest{Account: "a", Service: "pool", Objective: time.Second, Classes: 1, Content: content, Deadline: time.Now().Add(time.Minute)}
}

// overload lets the server report a queue, and requests begin late, for two seconds.
func (s *sheddingFixture) overload() {
	for range 8 {
		now := time.Now()
		s.board.Loads.Write(map[turmericshed.ServerID]turmericshed.LoadReport{"s": {Server: "s", At: now, Running: 8, Queued: 40}})
		s.shedding.AttemptBegan(now, sheddingRequest(0), 2*time.Second)
		time.Sleep(250 * time.Millisecond)
	}
}

// admit returns how many of 100 requests are admitted within an eighth of their objective.
func (s *sheddingFixture) admit(t *testing.T) (admitted int) {
	for content := range uint64(100) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second/8)
		release, err := s.shedding.Admit(ctx, sheddingRequest(content))
		cancel()
		if err == nil {
			release()
			admitted++
			continue
		}
		assertKind(t, err, turmericshed.KindOverloaded)
		assert.Assert(t, turmericshed.RetryAfterOf(err) > 0)
	}
	return admitted
}

func TestShedding(t *testing.T) {
	t.Run("without reports all requests are admitted at once", func(t *testing.T) {
		inSheddingBubble(t, func(t *testing.T, s *sheddingFixture) {
			began := time.Now()
			assert.Equal(t, s.admit(t), 100)
			assert.Equal(t, time.Since(began), time.Duration(0))
		})
	})
	t.Run("an overloaded service refuses, others don't", func(t *testing.T) {
		inSheddingBubble(t, func(t *testing.T, s *sheddingFixture) {
			assert.Equal(t, s.admit(t), 100)
			s.overload()
			assert.Assert(t, s.admit(t) < 50)
			r := sheddingRequest(1)
			for _, r.Service = range []string{"other", ""} {
				_, err := s.shedding.Admit(t.Context(), r)
				assert.NilError(t, err)
			}
		})
	})
	// Guards against refusals by what was heard before a partition.
	t.Run("in a partition the last reports end to count", func(t *testing.T) {
		inSheddingBubble(t, func(t *testing.T, s *sheddingFixture) {
			s.admit(t)
			s.overload()
			time.Sleep(3 * time.Second)
			assert.Equal(t, s.admit(t), 100)
		})
	})
	// Guards against places of a crashed server that still count.
	t.Run("a server that is gone is no evidence", func(t *testing.T) {
		inSheddingBubble(t, func(t *testing.T, s *sheddingFixture) {
			s.admit(t)
			s.overload()
			s.board.Servers.Write(nil)
			synctest.Wait()
			assert.Equal(t, s.admit(t), 100)
		})
	})
	// Guards against requests that wait for a caller or process that is gone.
	t.Run("the end of a caller or of the process ends a hold", func(t *testing.T) {
		inSheddingBubble(t, func(t *testing.T, s *sheddingFixture) {
			s.admit(t)
			s.overload()
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			canceled := 0
			for content := range uint64(300) {
				_, err := s.shedding.Admit(ctx, sheddingRequest(content))
				if turmericshed.KindOf(err) == turmericshed.KindCanceled {
					canceled++
				}
			}
			assert.Assert(t, canceled > 0)
		})
	})
}
