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

// crashes keeps what it is told, and bars what the test says.
type crashes struct {
	mu       sync.Mutex
	broke    []turmericshed.Digest
	survived []turmericshed.Digest
	barred   bool
}

var _ turmericshed.CrashWatch = (*crashes)(nil)

// Active is always true.
func (*crashes) Active() bool { return true }

// Check bars all requests, or none.
func (c *crashes) Check(time.Time, turmericshed.Digest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.barred {
		return nil
	}
	return turmericshed.WithRetryAfter(turmericshed.NewError(turmericshed.KindQuarantined, "barred"), time.Minute)
}

// Broke keeps the request.
func (c *crashes) Broke(_ turmericshed.BackendServer, d turmericshed.Digest, _ time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broke = append(c.broke, d)
}

// Survived keeps the request.
func (c *crashes) Survived(_ time.Time, d turmericshed.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.survived = append(c.survived, d)
}

func (c *crashes) bar() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.barred = true
}

func (c *crashes) told() (broke, survived int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.broke), len(c.survived)
}

func (s *sender) behave(how tsmetastore.Behaviour) {
	for _, d := range s.desks {
		d.Behave(how)
	}
}

// What is no evidence of a server's end was told as such, or the other way round.
func TestWhatIsToldOfBrokenAttempts(t *testing.T) {
	assertTold := func(t *testing.T, s *sender, broke, survived int) {
		t.Helper()
		b, n := s.crashes.told()
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
			s := newSender(t, "", 0)
			s.behave(c.how)
			s.ask()
			assertTold(t, s, c.broke, c.survived)
		})
	}
	t.Run("not that a connection did not open", func(t *testing.T) {
		s := newSender(t, "", 0)
		s.waits.dialErr = syscall.ECONNRESET
		assert.Equal(t, s.ask(), http.StatusServiceUnavailable)
		assertTold(t, s, 0, 0)
	})
	t.Run("not that the caller left", func(t *testing.T) {
		s := newSender(t, "", 0)
		s.behave(tsmetastore.BehaveSilent)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(settles, leave)
		s.askAndLeave(ctx)
		time.Sleep(settles)
		assertTold(t, s, 0, 0)
	})
	t.Run("the same of its repeats, and another of others", func(t *testing.T) {
		s := newSender(t, "", 0)
		for range 2 {
			s.ask()
		}
		s.askAndLeave(t.Context())
		assert.Equal(t, len(s.crashes.survived), 3)
		assert.Equal(t, s.crashes.survived[0], s.crashes.survived[1])
		assert.Equal(t, s.crashes.survived[0], s.crashes.survived[2], "ids differ")
	})
}

// A request that is kept from servers was sent, or refused as if it had run.
func TestRequestsThatAreKeptFromServers(t *testing.T) {
	s := newSender(t, "", 0)
	s.crashes.bar()
	assert.Equal(t, s.ask(), http.StatusServiceUnavailable)
	s.assertArrivals(0)
	t.Run("also when that is heard while it waits", func(t *testing.T) {
		s := newSender(t, forTurn, 0)
		s.waits.meanwhile = s.crashes.bar
		assert.Equal(t, s.ask(), http.StatusServiceUnavailable)
		s.assertArrivals(0)
	})
	t.Run("before the second attempt, which is not refused as not run", func(t *testing.T) {
		s := newSender(t, forTurn, 1)
		s.behave(tsmetastore.BehaveLosing)
		s.waits.meanwhile = s.crashes.bar
		assert.Equal(t, s.ask(), http.StatusBadGateway)
		s.assertArrivals(1)
	})
}
