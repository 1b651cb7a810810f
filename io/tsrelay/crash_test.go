package tsrelay_test

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/standin/tsmetastore"
)

// crashRecorder keeps what it is told, and bars what the test says.
type crashRecorder struct {
	mu       sync.Mutex
	broken    []turmericshed.Digest
	survived []turmericshed.Digest
	isQuarantined   bool
}

var _ turmericshed.CrashWatch = (*crashRecorder)(nil)

// Active is always true.
func (*crashRecorder) Active() bool { return true }

// Check bars all requests, or none.
func (c *crashRecorder) Check(time.Time, turmericshed.Digest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isQuarantined {
		return nil
	}
	return turmericshed.WithRetryAfter(turmericshed.NewError(turmericshed.KindQuarantined, "barred"), time.Minute)
}

// Broke keeps the request.
func (c *crashRecorder) Broke(_ turmericshed.BackendServer, d turmericshed.Digest, _ time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, d)
}

// Survived keeps the request.
func (c *crashRecorder) Survived(_ time.Time, d turmericshed.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.survived = append(c.survived, d)
}

func (c *crashRecorder) quarantine() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isQuarantined = true
}

func (c *crashRecorder) counts() (broke, survived int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.broken), len(c.survived)
}

func (s *relayFixture) setBehaviour(how tsmetastore.Behaviour) {
	for _, d := range s.backends {
		d.Behave(how)
	}
}

// What is no evidence of a server's end was told as such, or the other way round.
func TestCrashWatchReports(t *testing.T) {
	assertTold := func(t *testing.T, s *relayFixture, broke, survived int) {
		t.Helper()
		b, n := s.crashes.counts()
		assert.Equal(t, b, broke, "broken attempts")
		assert.Equal(t, n, survived, "whole answers")
	}
	for name, c := range map[string]struct {
		how             tsmetastore.Behaviour
		broke, survived int
	}{
		"a whole answer":       {tsmetastore.BehaveWell, 0, 1},
		"a server's failure":   {tsmetastore.BehaveFailing, 0, 2},
		"refusals":             {tsmetastore.BehaveFull, 0, 0},
		"connections that end": {tsmetastore.BehaveLosing, 2, 0},
		"another's answer":     {tsmetastore.BehaveCrossed, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRelayFixture(t, "", 0)
			s.setBehaviour(c.how)
			s.post()
			assertTold(t, s, c.broke, c.survived)
		})
	}
	t.Run("not that a connection did not open", func(t *testing.T) {
		s := newRelayFixture(t, "", 0)
		s.waitPoints.dialErr = syscall.ECONNRESET
		assert.Equal(t, s.post(), http.StatusServiceUnavailable)
		assertTold(t, s, 0, 0)
	})
	t.Run("not that the caller left", func(t *testing.T) {
		s := newRelayFixture(t, "", 0)
		s.setBehaviour(tsmetastore.BehaveSilent)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(settleTime, leave)
		s.postWithContext(ctx)
		time.Sleep(settleTime)
		assertTold(t, s, 0, 0)
	})
	t.Run("the same of its repeats, and another of others", func(t *testing.T) {
		s := newRelayFixture(t, "", 0)
		for range 2 {
			s.post()
		}
		s.postWithContext(t.Context())
		assert.Equal(t, len(s.crashes.survived), 3)
		assert.Equal(t, s.crashes.survived[0], s.crashes.survived[1])
		assert.Equal(t, s.crashes.survived[0], s.crashes.survived[2], "ids differ")
	})
}

// A request that is kept from servers was sent, or refused as if it had run.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	s := newRelayFixture(t, "", 0)
	s.crashes.quarantine()
	assert.Equal(t, s.post(), http.StatusServiceUnavailable)
	s.assertArrivals(0)
	t.Run("also when that is heard while it waits", func(t *testing.T) {
		s := newRelayFixture(t, forTurn, 0)
		s.waitPoints.hook = s.crashes.quarantine
		assert.Equal(t, s.post(), http.StatusServiceUnavailable)
		s.assertArrivals(0)
	})
	t.Run("before the second attempt, which is not refused as not run", func(t *testing.T) {
		s := newRelayFixture(t, forTurn, 1)
		s.setBehaviour(tsmetastore.BehaveLosing)
		s.waitPoints.hook = s.crashes.quarantine
		assert.Equal(t, s.post(), http.StatusBadGateway)
		s.assertArrivals(1)
	})
}
