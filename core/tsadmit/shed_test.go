package tsadmit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsadmit"
)

var shedStart = time.Unix(1_800_000_000, 0)

// overloadedShedder returns a shedder whose only server has a long queue and whose
// requests begin after 2.8 times their objective.
func overloadedShedder(t *testing.T, until time.Time) *tsadmit.Shedder {
	t.Helper()
	s := tsadmit.NewShedder()
	s.SetServers([]turmericshed.BackendServer{{ID: "s", Service: simService, Slots: 10}})
	for now := shedStart; now.Before(until); now = now.Add(250 * time.Millisecond) {
		s.Report(now, turmericshed.LoadReport{Server: "s", At: now, Running: 10, Queued: 28})
		for range 4 {
			s.AttemptBegan(now, shedRequest(1), 2800*time.Millisecond)
		}
		s.Decide(now, shedRequest(1))
	}
	return s
}

func shedRequest(content uint64) turmericshed.AdmitRequest {
	return turmericshed.AdmitRequest{
		Account: "a", Service: simService, Objective: time.Second, Class: 0, Classes: 1, Content: content,
		Deadline: shedStart.Add(time.Minute), PromptTokens: 100, MaxOutput: 10,
	}
}

// Guards against callers that gain by a repeat at once, also at another entry VM, and
// against a Retry-After at which the caller is refused again.
func TestRepeatWithinRetryAfterGainsNothing(t *testing.T) {
	now := shedStart.Add(700 * time.Millisecond)
	one, other := overloadedShedder(t, now), overloadedShedder(t, now)
	refused := 0
	for content := range uint64(200) {
		d := one.Decide(now, shedRequest(content))
		if d.Verdict != tsadmit.Refused {
			continue
		}
		refused++
		assert.Equal(t, turmericshed.KindOf(d.Err), turmericshed.KindOverloaded)
		assert.Equal(t, turmericshed.RetryAfterOf(d.Err), d.RetryAfter)
		again := other.Decide(now.Add(time.Millisecond), shedRequest(content))
		assert.Assert(t, again.Verdict != tsadmit.Admitted, "content %d", content)
		later := other.Decide(now.Add(d.RetryAfter), shedRequest(content))
		assert.Assert(t, later.Verdict == tsadmit.Admitted, "content %d after %s", content, d.RetryAfter)
	}
	assert.Assert(t, refused > 20 && refused < 190, "%d refused", refused)
}

// Guards against a Retry-After that callers can't wait, and against requests that are
// held instead of refused.
func TestRetryAfterAndHoldAreBounded(t *testing.T) {
	now := shedStart.Add(700 * time.Millisecond)
	s := overloadedShedder(t, now)
	held := 0
	for content := range uint64(500) {
		r := shedRequest(content)
		r.Deadline = now.Add(3 * time.Second)
		switch d := s.Decide(now, r); d.Verdict {
		case tsadmit.Refused:
			assert.Assert(t, d.RetryAfter <= time.Second, "%s", d.RetryAfter)
		case tsadmit.Queued:
			held++
			assert.Assert(t, d.HoldUntil.Sub(now) <= r.Objective/8, "%s", d.HoldUntil.Sub(now))
		}
	}
	assert.Assert(t, held > 0 && held <= 64, "%d held", held)
	for range held {
		s.HoldEnded()
	}
}

// Guards against refusals while less than half of the places are taken and nothing waits,
// however late requests begin.
func TestNoRefusalWhilePlacesAreFree(t *testing.T) {
	for _, load := range []struct {
		name            string
		running, queued int
		refuses         bool
	}{{"free", 4, 0, false}, {"half taken", 5, 0, true}, {"one waits", 1, 1, true}} {
		t.Run(load.name, func(t *testing.T) {
			s := tsadmit.NewShedder()
			s.SetServers([]turmericshed.BackendServer{{ID: "s", Service: simService, Slots: 10}})
			refused := false
			for i := range uint64(400) {
				now := shedStart.Add(time.Duration(i) * 50 * time.Millisecond)
				s.Report(now, turmericshed.LoadReport{Server: "s", At: now, Running: load.running, Queued: load.queued})
				s.AttemptBegan(now, shedRequest(i), 3*time.Second)
				d := s.Decide(now, shedRequest(i))
				if d.Verdict == tsadmit.Queued {
					s.HoldEnded()
				}
				refused = refused || d.Verdict == tsadmit.Refused
			}
			assert.Equal(t, refused, load.refuses)
		})
	}
}

// Guards against refusals of requests that would be answered late, but well before their
// callers cancel: to callers a late answer is worth more than a refusal.
func TestLateAnswersAreNotRefused(t *testing.T) {
	for _, x := range []struct {
		begin   time.Duration
		refuses bool
	}{{1900 * time.Millisecond, false}, {2500 * time.Millisecond, true}} {
		t.Run(x.begin.String(), func(t *testing.T) {
			s := tsadmit.NewShedder()
			s.SetServers([]turmericshed.BackendServer{{ID: "s", Service: simService, Slots: 10}})
			refused := false
			for i := range uint64(400) {
				now := shedStart.Add(time.Duration(i) * 50 * time.Millisecond)
				s.Report(now, turmericshed.LoadReport{Server: "s", At: now, Running: 10, Queued: 15})
				s.AttemptBegan(now, shedRequest(i), x.begin)
				d := s.Decide(now, shedRequest(i))
				if d.Verdict == tsadmit.Queued {
					s.HoldEnded()
				}
				refused = refused || d.Verdict == tsadmit.Refused
			}
			assert.Equal(t, refused, x.refuses)
		})
	}
}

// Guards against refusals because of a single very late request.
func TestFewLateRequestsAreNoEvidence(t *testing.T) {
	s := tsadmit.NewShedder()
	s.SetServers([]turmericshed.BackendServer{{ID: "s", Service: simService, Slots: 10}})
	for i := range uint64(200) {
		now := shedStart.Add(time.Duration(i) * 50 * time.Millisecond)
		s.Report(now, turmericshed.LoadReport{Server: "s", At: now, Running: 10, Queued: 1})
		if i%20 == 0 {
			s.AttemptBegan(now, shedRequest(i), 3900*time.Millisecond)
		}
		assert.Equal(t, s.Decide(now, shedRequest(i)).Verdict, tsadmit.Admitted)
	}
}

// Guards against refusals because work takes longer than the aim without load as well.
func TestWorkThatTakesLongIsNotLate(t *testing.T) {
	s := tsadmit.NewShedder()
	s.SetServers([]turmericshed.BackendServer{{ID: "s", Service: simService, Slots: 10}})
	for i := range uint64(400) {
		now := shedStart.Add(time.Duration(i) * 50 * time.Millisecond)
		queued := 0
		if i > 200 && i%10 == 0 {
			queued = 1
		}
		s.Report(now, turmericshed.LoadReport{Server: "s", At: now, Running: 4, Queued: queued})
		s.AttemptBegan(now, shedRequest(i), 2500*time.Millisecond)
		assert.Equal(t, s.Decide(now, shedRequest(i)).Verdict, tsadmit.Admitted)
	}
}

// Guards against the places and the queue of a server that terminated: they must not
// count any more.
func TestLostServerIsNoEvidence(t *testing.T) {
	now := shedStart.Add(2 * time.Second)
	s := overloadedShedder(t, now)
	s.SetServers(nil)
	for content := range uint64(50) {
		assert.Equal(t, s.Decide(now, shedRequest(content)).Verdict, tsadmit.Admitted)
	}
}

// Guards against refusals by old reports, for example in a partition.
func TestOldReportsAreNoEvidence(t *testing.T) {
	now := shedStart.Add(2 * time.Second)
	s := overloadedShedder(t, now)
	now = now.Add(2500 * time.Millisecond)
	for content := range uint64(50) {
		assert.Equal(t, s.Decide(now, shedRequest(content)).Verdict, tsadmit.Admitted)
	}
}

// Guards against old load that counts as recent after the clock was set back, or since the
// clock of a report's sender is ahead, and against such a report that keeps out later ones.
func TestReportsFromTheFuture(t *testing.T) {
	const ahead = 10 * time.Second
	mayRefuse := func(s *tsadmit.Shedder, now time.Time) bool {
		r := shedRequest(1)
		r.Deadline = now.Add(time.Millisecond)
		return s.Decide(now, r).Verdict == tsadmit.Refused
	}
	loaded := turmericshed.LoadReport{Server: "s", Running: 10, Queued: 20}
	t.Run("the clock of the sender is ahead", func(t *testing.T) {
		s := overloadedShedder(t, shedStart.Add(time.Second))
		now := shedStart.Add(5 * time.Second)
		assert.Assert(t, !mayRefuse(s, now))
		loaded.At = now.Add(ahead)
		s.Report(now, loaded)
		assert.Assert(t, !mayRefuse(s, now))
		loaded.At = now
		s.Report(now, loaded)
		assert.Assert(t, mayRefuse(s, now))
	})
	t.Run("the clock was set back", func(t *testing.T) {
		s := overloadedShedder(t, shedStart.Add(time.Second))
		now := shedStart.Add(-ahead)
		assert.Assert(t, !mayRefuse(s, now))
		loaded.At = now
		s.Report(now, loaded)
		assert.Assert(t, mayRefuse(s, now))
	})
}

// Guards against requests that begin after their callers have left.
func TestRequestWithoutTimeIsRefusedAtOnce(t *testing.T) {
	now := shedStart.Add(2 * time.Second)
	s := overloadedShedder(t, now)
	r := shedRequest(1)
	r.Deadline = now.Add(300 * time.Millisecond)
	d := s.Decide(now, r)
	assert.Equal(t, d.Verdict, tsadmit.Refused)
	assert.Equal(t, d.Reason, tsadmit.RefusedLate)
	assert.Assert(t, d.RetryAfter <= 100*time.Millisecond, "%s", d.RetryAfter)
}

// Guards against the fixed 300 ms after a refusal of a full server.
func TestRetryAfterOfAFullServer(t *testing.T) {
	s := tsadmit.NewShedder()
	s.SetServers([]turmericshed.BackendServer{{ID: "s", Service: simService, Slots: 10}})
	r := shedRequest(1)
	s.AttemptStarted("s", r)
	s.AttemptEnded(shedStart, "s", r, turmericshed.AttemptResult{Elapsed: 2 * time.Second, Complete: true})
	s.Report(shedStart, turmericshed.LoadReport{Server: "s", At: shedStart, Running: 10, Queued: 10})
	got := s.RetryAfter(shedStart, "s", r)
	assert.Assert(t, got >= 2*time.Second && got <= 2500*time.Millisecond, "%s", got)
	r.Deadline = shedStart.Add(3 * time.Second)
	assert.Assert(t, s.RetryAfter(shedStart, "s", r) <= time.Second)
}

// Guards against servers that terminate because one gets more tokens than its memory
// while another one has room.
func TestFullServersAreLeftOut(t *testing.T) {
	servers := []turmericshed.BackendServer{{ID: "one", Service: simService, Slots: 128}, {ID: "two", Service: simService, Slots: 128}}
	large := turmericshed.AdmitRequest{Service: simService, PromptTokens: 17_020, MaxOutput: 120, ServerMemory: 486_250, Classes: 1}
	full := func(s *tsadmit.Shedder, excluded ...turmericshed.ServerID) []turmericshed.ServerID {
		return s.FullServers(shedStart, large, excluded)
	}
	start := func(own int) *tsadmit.Shedder {
		s := tsadmit.NewShedder()
		s.SetServers(servers)
		for range own {
			s.AttemptStarted("one", large)
		}
		return s
	}
	t.Run("by this entry VM's requests", func(t *testing.T) {
		assert.Equal(t, len(full(start(20))), 0)
		assert.DeepEqual(t, full(start(26)), []turmericshed.ServerID{"one"})
	})
	t.Run("with those of others in the report", func(t *testing.T) {
		s := start(6)
		s.Report(shedStart, turmericshed.LoadReport{Server: "one", At: shedStart, Running: 26})
		s.Report(shedStart, turmericshed.LoadReport{Server: "two", At: shedStart, Running: 10})
		assert.DeepEqual(t, full(s), []turmericshed.ServerID{"one"})
	})
	t.Run("not if no other server is left", func(t *testing.T) {
		assert.Equal(t, len(full(start(26), "two")), 0)
	})
	t.Run("not after its requests have ended", func(t *testing.T) {
		s := start(26)
		for range 10 {
			s.AttemptEnded(shedStart, "one", large, turmericshed.AttemptResult{Elapsed: time.Second, Complete: true})
		}
		assert.Equal(t, len(full(s)), 0)
	})
	t.Run("not after a restart", func(t *testing.T) {
		s := start(26)
		restarted := []turmericshed.BackendServer{{ID: "one", Service: simService, Slots: 128, Started: shedStart}, servers[1]}
		s.SetServers(restarted)
		assert.Equal(t, len(full(s)), 0)
	})
}

// BenchmarkDecide decides on requests to an overloaded service of 64 servers for 24 accounts.
func BenchmarkDecide(b *testing.B) {
	s := tsadmit.NewShedder()
	var servers []turmericshed.BackendServer
	for i := range 64 {
		servers = append(servers, turmericshed.BackendServer{ID: turmericshed.ServerID(rune('A' + i)), Service: simService, Slots: 128})
	}
	s.SetServers(servers)
	r := shedRequest(0)
	r.ServerMemory = 486_250
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := shedStart.Add(time.Duration(i) * 5 * time.Millisecond)
		s.Report(now, turmericshed.LoadReport{Server: servers[i%64].ID, At: now, Running: 100, Queued: 30})
		r.Content, r.Account = uint64(i), turmericshed.AccountID(rune('a'+i%24))
		r.Deadline = now.Add(time.Minute)
		s.FullServers(now, r, nil)
		if d := s.Decide(now, r); d.Verdict == tsadmit.Queued {
			s.HoldEnded()
		}
	}
}
