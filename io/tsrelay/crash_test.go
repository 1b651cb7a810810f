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

// crashRecorder is a CrashWatch that records the reports it receives, and quarantines
// every request once quarantine was called.
type crashRecorder struct {
	mu       sync.Mutex
	broken   []turmericshed.Digest
	survived []turmericshed.Digest
	// partsSurvived counts the answers that got past their beginning.
	partsSurvived int
	isQuarantined bool
}

var _ turmericshed.CrashWatch = (*crashRecorder)(nil)

// Active returns true, so that the relay calls Check and Survived.
func (*crashRecorder) Active() bool { return true }

// Check returns KindQuarantined for every request after quarantine was called.
func (c *crashRecorder) Check(time.Time, turmericshed.CrashSubject) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isQuarantined {
		return nil
	}
	return turmericshed.WithRetryAfter(turmericshed.NewError(turmericshed.KindQuarantined, "quarantined by the test"), time.Minute)
}

// ConnectionLost records the digest of the request. No server terminated.
func (c *crashRecorder) ConnectionLost(_ turmericshed.BackendServer, a turmericshed.LostAttempt) func(context.Context) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, a.Request)
	return func(context.Context) bool { return false }
}

// PartsSurvived counts the call.
func (c *crashRecorder) PartsSurvived(time.Time, []turmericshed.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partsSurvived++
}

// Survived records the digest of the request.
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

func (c *crashRecorder) counts() (broken, survived int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.broken), len(c.survived)
}

func (s *relayFixture) setBehaviour(behaviour tsmetastore.Behaviour) {
	for _, b := range s.backends {
		b.SetBehaviour(behaviour)
	}
}

// Guards against wrong reports to the crash watch: only a connection that breaks while a
// server works on the request may count as a possible crash, and only a complete answer
// to that request as survived.
func TestCrashWatchReports(t *testing.T) {
	assertCounts := func(t *testing.T, s *relayFixture, broken, survived int) {
		t.Helper()
		b, n := s.crashes.counts()
		assert.Equal(t, b, broken, "broken attempts")
		assert.Equal(t, n, survived, "complete answers")
	}
	for name, c := range map[string]struct {
		behaviour        tsmetastore.Behaviour
		broken, survived int
	}{
		"a complete answer":        {tsmetastore.BehaveNormal, 0, 1},
		"a server's failure":       {tsmetastore.BehaveFailing, 0, 2},
		"refusals":                 {tsmetastore.BehaveRefusing, 0, 0},
		"connections that close":   {tsmetastore.BehaveLosingAnswers, 2, 0},
		"another request's answer": {tsmetastore.BehaveCrossed, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRelayFixture(t, "", 0)
			s.setBehaviour(c.behaviour)
			s.post()
			assertCounts(t, s, c.broken, c.survived)
		})
	}
	t.Run("a server's failure clears no prompt part", func(t *testing.T) {
		s := newRelayFixture(t, "", 0)
		s.setBehaviour(tsmetastore.BehaveFailing)
		s.post()
		assert.Equal(t, s.crashes.partsSurvived, 0)
		s.setBehaviour(tsmetastore.BehaveNormal)
		s.post()
		assert.Equal(t, s.crashes.partsSurvived, 1)
	})
	t.Run("a failed dial is not reported", func(t *testing.T) {
		s := newRelayFixture(t, "", 0)
		s.waitPoints.dialErr = syscall.ECONNRESET
		assert.Equal(t, s.post(), http.StatusServiceUnavailable)
		assertCounts(t, s, 0, 0)
	})
	t.Run("a caller's disconnect is not reported", func(t *testing.T) {
		s := newRelayFixture(t, "", 0)
		s.setBehaviour(tsmetastore.BehaveSilent)
		ctx, disconnect := context.WithCancel(t.Context())
		time.AfterFunc(settleTime, disconnect)
		s.postWithContext(ctx)
		time.Sleep(settleTime)
		assertCounts(t, s, 0, 0)
	})
	t.Run("repeats with different ids have the same digest", func(t *testing.T) {
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

// Guards against a quarantined request that is sent, also when the quarantine begins while
// the request waits, and against a wrong status: 503 promises that the request did not run
// and may be sent only if no attempt was made.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	s := newRelayFixture(t, "", 0)
	s.crashes.quarantine()
	assert.Equal(t, s.post(), http.StatusServiceUnavailable)
	s.assertArrivals(0)
	t.Run("a quarantine received while the request waits refuses it", func(t *testing.T) {
		s := newRelayFixture(t, forTurn, 0)
		s.waitPoints.hook = s.crashes.quarantine
		assert.Equal(t, s.post(), http.StatusServiceUnavailable)
		s.assertArrivals(0)
	})
	t.Run("a quarantine before the second attempt refuses it without reporting it as not run", func(t *testing.T) {
		s := newRelayFixture(t, forTurn, 1)
		s.setBehaviour(tsmetastore.BehaveLosingAnswers)
		s.waitPoints.hook = s.crashes.quarantine
		assert.Equal(t, s.post(), http.StatusBadGateway)
		s.assertArrivals(1)
	})
}
