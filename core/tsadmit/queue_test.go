package tsadmit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericshed"
	"turmericshed/core/tsadmit"
)

var epoch = time.Unix(1_800_000_000, 0)

func request(account string, deadline time.Duration) turmericshed.AdmitRequest {
	r := turmericshed.AdmitRequest{Account: turmericshed.AccountID(account), Work: turmericshed.WorkAssistant, Cost: 10}
	if deadline > 0 {
		r.Deadline = epoch.Add(deadline)
	}
	return r
}

// harness offers requests to a queue and counts the decisions.
type harness struct {
	t        *testing.T
	q        *tsadmit.Queue
	next     tsadmit.Ticket
	account  map[tsadmit.Ticket]string
	running  []tsadmit.Ticket
	admitted map[string]int
	refused  map[string]int
	lastErr  error
}

func newHarness(t *testing.T, cfg tsadmit.Config) *harness {
	return &harness{
		t: t, q: tsadmit.New(cfg), account: map[tsadmit.Ticket]string{},
		admitted: map[string]int{}, refused: map[string]int{},
	}
}

func (h *harness) note(ds []tsadmit.Decision) {
	for _, d := range ds {
		switch d.Verdict {
		case tsadmit.Admitted:
			h.admitted[h.account[d.Ticket]]++
			h.running = append(h.running, d.Ticket)
		case tsadmit.Refused:
			h.refused[h.account[d.Ticket]]++
			h.lastErr = d.Err
		case tsadmit.Queued:
		}
	}
}

func (h *harness) offer(now time.Duration, n int, r turmericshed.AdmitRequest) {
	for range n {
		h.next++
		h.account[h.next] = string(r.Account)
		h.note(h.q.Offer(epoch.Add(now), h.next, r))
	}
}

// release ends the n requests that have run longest.
func (h *harness) release(now time.Duration, n int) {
	for range n {
		t := h.running[0]
		h.running = h.running[1:]
		h.note(h.q.Release(epoch.Add(now), t))
	}
}

func assertKind(t *testing.T, err error, kind turmericshed.Kind) {
	t.Helper()
	assert.Equal(t, turmericshed.KindOf(err), kind, "%v", err)
	assert.Equal(t, turmericshed.OutcomeOf(err), turmericshed.OutcomeNotRun)
	assert.Assert(t, turmericshed.RetryAfterOf(err) > 0, "no advice")
}

func TestFairShares(t *testing.T) {
	t.Run("a small account is served before the queue of a large one", func(t *testing.T) {
		h := newHarness(t, tsadmit.Config{MaxRunning: 4})
		h.offer(0, 100, request("large", 0))
		h.offer(0, 1, request("small", 0))
		h.release(time.Second, 2)
		assert.Equal(t, h.admitted["small"], 1)
	})
	t.Run("shares follow the weights", func(t *testing.T) {
		h := newHarness(t, tsadmit.Config{MaxRunning: 4})
		heavy := request("heavy", 0)
		heavy.Limit.Weight = 3
		h.offer(0, 4, request("warm", 0))
		h.offer(0, 100, heavy)
		h.offer(0, 100, request("light", 0))
		h.release(time.Second, 40)
		assert.Assert(t, h.admitted["heavy"] >= 28 && h.admitted["heavy"] <= 32, "%v", h.admitted)
	})
	t.Run("a higher priority is served first without starvation of the lower one", func(t *testing.T) {
		h := newHarness(t, tsadmit.Config{MaxRunning: 4})
		urgent := request("urgent", 0)
		urgent.Priority = 2
		h.offer(0, 4, request("warm", 0))
		h.offer(0, 100, request("batch", 0))
		h.offer(0, 100, urgent)
		h.release(time.Second, 50)
		assert.Assert(t, h.admitted["urgent"] >= 38 && h.admitted["batch"] >= 8, "%v", h.admitted)
	})
	t.Run("a full queue refuses the account that filled it", func(t *testing.T) {
		h := newHarness(t, tsadmit.Config{MaxRunning: 1, MaxQueued: 10})
		h.offer(0, 11, request("large", 0))
		h.offer(0, 3, request("small", 0))
		assert.Equal(t, h.refused["small"], 0)
		assert.Equal(t, h.refused["large"], 3)
		assertKind(t, h.lastErr, turmericshed.KindOverloaded)
	})
}

func TestLimits(t *testing.T) {
	t.Run("requests above the rate are refused with the time to wait", func(t *testing.T) {
		h := newHarness(t, tsadmit.Config{})
		r := request("a", 0)
		r.Limit.RequestsPerSecond, r.Limit.Burst = 2, 3
		h.offer(0, 4, r)
		assert.Equal(t, h.admitted["a"], 3)
		assertKind(t, h.lastErr, turmericshed.KindRateLimited)
		assert.Equal(t, turmericshed.RetryAfterOf(h.lastErr), 500*time.Millisecond)
		h.offer(500*time.Millisecond, 1, r)
		assert.Equal(t, h.admitted["a"], 4)
	})
	t.Run("requests above the concurrency limit wait without delaying other accounts", func(t *testing.T) {
		h := newHarness(t, tsadmit.Config{MaxRunning: 8})
		r := request("a", 0)
		r.Limit.Concurrency = 2
		h.offer(0, 5, r)
		h.offer(0, 3, request("b", 0))
		assert.DeepEqual(t, h.admitted, map[string]int{"a": 2, "b": 3})
		h.release(time.Second, 1)
		assert.Equal(t, h.admitted["a"], 3)
	})
}

func TestDeadlines(t *testing.T) {
	warm := func(h *harness) {
		for range 100 {
			h.offer(0, 1, request("warm", 0))
			h.release(time.Second, 1)
		}
	}
	t.Run("a request whose deadline the queue cannot meet is refused at once with the estimated wait", func(t *testing.T) {
		h := newHarness(t, tsadmit.Config{MaxRunning: 10})
		warm(h)
		h.offer(0, 50, request("a", 0))
		h.offer(0, 1, request("a", 3*time.Second))
		assert.Equal(t, h.refused["a"], 1)
		assertKind(t, h.lastErr, turmericshed.KindDeadline)
		wait := turmericshed.RetryAfterOf(h.lastErr)
		assert.Assert(t, wait > 3*time.Second && wait < 6*time.Second, "%v", wait)
	})
	t.Run("a request whose deadline the queue can meet is not refused", func(t *testing.T) {
		h := newHarness(t, tsadmit.Config{MaxRunning: 10})
		warm(h)
		h.offer(0, 50, request("a", 0))
		h.offer(0, 1, request("b", 3*time.Second))
		assert.Equal(t, h.refused["b"], 0)
	})
	t.Run("a request that waited too long is refused before it runs", func(t *testing.T) {
		h := newHarness(t, tsadmit.Config{MaxRunning: 1})
		warm(h)
		h.offer(0, 1, request("a", 0))
		h.offer(0, 1, request("b", 5*time.Second))
		h.release(4900*time.Millisecond, 1)
		assert.Equal(t, h.refused["b"], 1)
		assertKind(t, h.lastErr, turmericshed.KindDeadline)
	})
}

func TestRetries(t *testing.T) {
	t.Run("retries are bounded to their share of the traffic", func(t *testing.T) {
		var r tsadmit.RetryBudget
		allowed := 0
		for i := range 10_000 {
			now := epoch.Add(time.Duration(i) * time.Millisecond)
			r.RecordFirstAttempt(now)
			for range 5 {
				if r.Allow(now) {
					allowed++
				}
			}
		}
		assert.Assert(t, allowed > 900 && allowed < 1050, "%d retries for 10000 requests", allowed)
	})
	t.Run("retries are allowed at low traffic", func(t *testing.T) {
		var r tsadmit.RetryBudget
		r.RecordFirstAttempt(epoch)
		assert.Assert(t, r.Allow(epoch.Add(2*time.Second)))
	})
}

func TestControl(t *testing.T) {
	// run applies the control for 10 s while requests of many accounts wait,
	// and returns the resulting limit. The equal share of 80 slots among 4
	// entry VMs is 20.
	run := func(t *testing.T, pressure float64, before *harness) int {
		h := before
		if h == nil {
			h = newHarness(t, tsadmit.Config{MaxRunning: 100})
		}
		c := tsadmit.NewControl()
		for i := range 40 {
			now := time.Duration(i) * 250 * time.Millisecond
			h.offer(now, 5, request(string('a'+rune(i)), 0))
			h.note(c.Adapt(epoch.Add(now), h.q, tsadmit.Load{Pressure: pressure, Slots: 80, EntryVMs: 4}))
		}
		return h.q.Limit()
	}
	t.Run("the limit stays within the equal share while the servers have queues", func(t *testing.T) { assert.Equal(t, run(t, 2, nil), 19) })
	t.Run("the limit exceeds the equal share while servers have unused slots", func(t *testing.T) { assert.Assert(t, run(t, 0.5, nil) > 80) })
	t.Run("the surge of one account leaves capacity to the others", func(t *testing.T) {
		h := newHarness(t, tsadmit.Config{MaxRunning: 100})
		c := tsadmit.NewControl()
		load := tsadmit.Load{Pressure: 0.9, Slots: 80, EntryVMs: 4}
		h.note(c.Adapt(epoch, h.q, load))
		for i := range 9 {
			h.offer(0, 1, request("small-"+string('0'+rune(i)), 0))
		}
		h.release(0, 9)
		h.offer(time.Second, 100, request("large", 0))
		h.note(c.Adapt(epoch.Add(time.Second), h.q, load))
		assert.Assert(t, h.admitted["large"] <= 10, "%d of 20 places", h.admitted["large"])
		h.offer(time.Second, 1, request("small-3", 0))
		assert.Equal(t, h.admitted["small-3"], 2)
	})
	t.Run("a single account may use all capacity", func(t *testing.T) {
		h := newHarness(t, tsadmit.Config{MaxRunning: 100})
		h.note(tsadmit.NewControl().Adapt(epoch, h.q, tsadmit.Load{Slots: 80, EntryVMs: 4}))
		h.offer(0, 100, request("only", 0))
		assert.Equal(t, h.admitted["only"], 24)
	})
	t.Run("an account below its share is admitted while all places are in use", func(t *testing.T) {
		h := newHarness(t, tsadmit.Config{MaxRunning: 100})
		h.note(tsadmit.NewControl().Adapt(epoch, h.q, tsadmit.Load{Pressure: 2, Slots: 80, EntryVMs: 4}))
		for i := range 24 {
			h.offer(0, 1, request("busy-"+string('a'+rune(i%4)), 0))
		}
		h.offer(2*time.Second, 1, request("late", 0))
		assert.Equal(t, h.admitted["late"], 1)
	})
}

func TestStandingQueue(t *testing.T) {
	// load offers more requests than can be served until last.
	load := func(t *testing.T, last time.Duration) *harness {
		h := newHarness(t, tsadmit.Config{MaxRunning: 1})
		for now := time.Duration(0); now < last; now += 100 * time.Millisecond {
			h.offer(now, 2, request("a", 0))
			h.release(now, 1)
		}
		return h
	}
	t.Run("a short burst waits without refusals", func(t *testing.T) { assert.Equal(t, load(t, 2*time.Second).refused["a"], 0) })
	t.Run("a standing queue causes refusals until it drains", func(t *testing.T) {
		h := load(t, time.Minute)
		assertKind(t, h.lastErr, turmericshed.KindOverloaded)
		assert.Assert(t, h.q.Waiting() < 40, "%d wait", h.q.Waiting())
	})
}

// TestQueueMachine checks the limits over random steps.
func TestQueueMachine(t *testing.T) {
	t.Run("limits hold and every ticket is decided once", rapid.MakeCheck(func(t *rapid.T) {
		ceiling := rapid.IntRange(1, 6).Draw(t, "running")
		q := tsadmit.New(tsadmit.Config{MaxRunning: ceiling, MaxQueued: rapid.IntRange(1, 8).Draw(t, "queued")})
		decided, waiting := map[tsadmit.Ticket]bool{}, map[tsadmit.Ticket]bool{}
		var running []tsadmit.Ticket
		note := func(ds []tsadmit.Decision) {
			for _, d := range ds {
				assert.Assert(t, !decided[d.Ticket], "ticket %d decided twice", d.Ticket)
				waiting[d.Ticket] = d.Verdict == tsadmit.Queued
				decided[d.Ticket] = d.Verdict != tsadmit.Queued
				if d.Verdict == tsadmit.Admitted {
					running = append(running, d.Ticket)
				}
			}
		}
		now := epoch
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if len(running) > 0 {
					done := running[0]
					running = running[1:]
					note(q.Release(now, done))
				}
			case 1:
				for w := range tsadmit.Ticket(i + 1) {
					if waiting[w] {
						assert.Assert(t, q.Cancel(w))
						waiting[w] = false
						break
					}
				}
			default:
				r := request(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), 0)
				r.Limit.Concurrency = rapid.IntRange(0, 2).Draw(t, "concurrency")
				r.Deadline = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline")) * time.Millisecond)
				note(q.Offer(now, tsadmit.Ticket(i+1), r))
			}
			assert.Equal(t, q.Running(), len(running))
			assert.Assert(t, q.Running() <= ceiling)
			n := 0
			for _, is := range waiting {
				if is {
					n++
				}
			}
			assert.Equal(t, q.Waiting(), n)
		}
	}))
}
