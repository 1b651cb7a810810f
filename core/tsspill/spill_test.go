package tsspill_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed/core/tsspill"
)

var epoch = time.Unix(1_800_000_000, 0)

const megabyteCost = 800 * time.Millisecond

func newController(seed uint64, cost time.Duration) *tsspill.Controller {
	return tsspill.New(tsspill.Settings{CostPerMegabyte: cost}, rand.New(rand.NewPCG(seed, 1)))
}

// train observes n requests over span. Their first byte comes after 20 ms, 100 ms per
// load, 1 ms per 50 tokens, and delay from other failure domains.
func train(c *tsspill.Controller, from time.Time, n int, span, delay time.Duration) time.Time {
	rng := rand.New(rand.NewPCG(3, 3))
	now := from
	for i := range n {
		now = now.Add(span / time.Duration(n))
		s := tsspill.Sample{Remote: i%4 == 0, Load: rng.Float64(), Unread: rng.Int64N(17_000), RequestBytes: 10_000, AnswerBytes: 2_000}
		s.FirstByte = 20*time.Millisecond + time.Duration(s.Load*100*float64(time.Millisecond)) + time.Duration(s.Unread)*time.Millisecond/50
		if s.Remote {
			s.FirstByte += delay
		}
		c.Observe(now, s)
	}
	return now
}

func loads(local, remote float64) tsspill.Loads {
	return tsspill.Loads{Local: local, Remote: remote, LocalSlots: 100, RemoteSlots: 200, AreKnown: true}
}

// decide updates the controller for span whenever it is due, with loads that stay, and
// returns the largest change of the fraction by one decision.
func decide(c *tsspill.Controller, from time.Time, span time.Duration, l tsspill.Loads) (end time.Time, largest float64) {
	for now := from; now.Before(from.Add(span)); now = now.Add(10 * time.Millisecond) {
		if !c.Due(now) {
			continue
		}
		before := c.Decision().Fraction
		c.Update(now, l)
		largest = max(largest, math.Abs(c.Decision().Fraction-before))
	}
	return from.Add(span), largest
}

func assertNear(t *testing.T, got, want, within float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= within, "%.3f, want %.3f", got, want)
}

// Guards against a penalty that does not follow what was measured.
func TestPenalty(t *testing.T) {
	t.Run("without measurements it is the usual one", func(t *testing.T) {
		assert.Equal(t, newController(1, megabyteCost).Penalty(10_000), tsspill.DefaultPenalty)
	})
	t.Run("delay and bytes over the cost of load", func(t *testing.T) {
		c := newController(1, megabyteCost)
		now := train(c, epoch, 800, 2*time.Second, 30*time.Millisecond)
		c.Update(now, loads(0.5, 0.5))
		d := c.Decision()
		assertNear(t, d.Delay.Seconds(), 0.030, 0.008)
		assertNear(t, d.Slope.Seconds(), 0.100, 0.020)
		// 30 ms and 12 KB for 0.8 ms each, at 100 ms per load.
		assertNear(t, c.Penalty(10_000), 0.4, 0.1)
		assert.Assert(t, c.Penalty(100_000) > c.Penalty(10_000))
	})
	t.Run("bytes that cost nothing leave the delay", func(t *testing.T) {
		c := newController(1, 0)
		c.Update(train(c, epoch, 200, 2*time.Second, 0), loads(0.5, 0.5))
		assertNear(t, c.Penalty(10_000), 0, 0.05)
	})
	t.Run("it is never negative", func(t *testing.T) {
		c := newController(1, 0)
		c.Update(train(c, epoch, 200, 2*time.Second, -15*time.Millisecond), loads(0.5, 0.5))
		assert.Equal(t, c.Penalty(10_000), 0.0)
	})
	t.Run("it returns to the usual one when measurements stop", func(t *testing.T) {
		c := newController(1, megabyteCost)
		now := train(c, epoch, 800, 2*time.Second, 300*time.Millisecond)
		c.Update(now, loads(0.5, 0.5))
		assert.Assert(t, c.Penalty(10_000) > 1)
		c.Update(now.Add(time.Minute), loads(0.5, 0.5))
		assert.Equal(t, c.Penalty(10_000), tsspill.DefaultPenalty)
		assert.Assert(t, !c.Decision().IsMeasured)
	})
	t.Run("a clock that steps back keeps it finite", func(t *testing.T) {
		c := newController(1, megabyteCost)
		now := train(c, epoch, 50, time.Second, 30*time.Millisecond)
		train(c, epoch.Add(-time.Hour), 50, time.Second, 30*time.Millisecond)
		c.Update(now, loads(0.5, 0.5))
		assert.Assert(t, c.Penalty(10_000) > 0 && c.Penalty(10_000) < 10)
	})
}

// Load pattern: readings that stay as they are, as seen by one of many entry VMs.
// Guards against large and simultaneous moves.
func TestFraction(t *testing.T) {
	t.Run("no request leaves at equal load", func(t *testing.T) {
		c := newController(1, megabyteCost)
		decide(c, epoch, 5*time.Second, loads(0.9, 0.9))
		assert.Equal(t, c.Decision().Fraction, 0.0)
	})
	t.Run("one decision moves at most a tenth", func(t *testing.T) {
		c := newController(1, megabyteCost)
		now, up := decide(c, epoch, 10*time.Second, loads(3, 0.1))
		assert.Assert(t, up <= 0.1+1e-9 && c.Decision().Fraction > 0.5, "%.3f, %.3f", up, c.Decision().Fraction)
		_, down := decide(c, now, 10*time.Second, loads(0.1, 3))
		assert.Assert(t, down <= 0.1+1e-9, "%.3f", down)
		assert.Equal(t, c.Decision().Fraction, 0.0)
	})
	t.Run("a difference within the margin changes nothing", func(t *testing.T) {
		c := newController(1, megabyteCost)
		now, _ := decide(c, epoch, time.Second, loads(1, 0.3))
		before := c.Decision().Fraction
		decide(c, now, 2*time.Second, loads(0.3+tsspill.DefaultPenalty+0.01, 0.3))
		assert.Assert(t, before > 0)
		assert.Equal(t, c.Decision().Fraction, before)
	})
	t.Run("entry VMs decide at different times", func(t *testing.T) {
		times := map[time.Time]int{}
		for seed := range uint64(20) {
			c := newController(seed, megabyteCost)
			c.Update(epoch, loads(1, 0))
			now := epoch
			for !c.Due(now) {
				now = now.Add(10 * time.Millisecond)
			}
			times[now]++
		}
		assert.Assert(t, len(times) >= 10, "%d times", len(times))
	})
	t.Run("it falls while nothing is decided", func(t *testing.T) {
		c := newController(1, megabyteCost)
		now, _ := decide(c, epoch, 5*time.Second, loads(2, 0.1))
		before := c.Decision().Fraction
		c.Update(now.Add(10*time.Second), loads(2, 0.1))
		assert.Assert(t, c.Decision().Fraction < before/2, "%.3f after %.3f", c.Decision().Fraction, before)
	})
	t.Run("unknown loads close it, and the difference of two servers decides", func(t *testing.T) {
		c := newController(1, megabyteCost)
		decide(c, epoch, 5*time.Second, tsspill.Loads{})
		assert.Equal(t, c.Decision().Fraction, 0.0)
		assert.Assert(t, c.Leave(0.5, 0.3, 1000))
		assert.Assert(t, !c.Leave(0.5, 0.4, 1000))
	})
	t.Run("a server that is much worse is left whatever the fraction is", func(t *testing.T) {
		c := newController(1, megabyteCost)
		c.Update(epoch, loads(0.5, 0.5))
		assert.Assert(t, c.Leave(1.5, 0.2, 1000))
		assert.Assert(t, !c.Leave(0.8, 0.2, 1000))
	})
	t.Run("changed decisions are told at most once in 2 s", func(t *testing.T) {
		c, told := newController(1, megabyteCost), 0
		for i := range 1000 {
			local := []float64{0.1, 2}[i/20%2]
			if now := epoch.Add(time.Duration(i) * 50 * time.Millisecond); c.Due(now) && c.Update(now, loads(local, 0.3)) {
				told++
			}
		}
		assert.Assert(t, told > 0 && told <= 25, "%d in 50 s", told)
	})
}

// prefixed returns a request with 13,300 shared tokens, whose two servers are equally
// loaded.
func prefixed(prefix uint64) tsspill.PrefixedRequest {
	return tsspill.PrefixedRequest{Prefix: prefix, SharedTokens: 13_300, RequestBytes: 60_000, Home: 0.3, Other: 0.3, OtherServer: 2}
}

// trained returns a controller that has measured 200 requests until epoch + 2 s. Reading
// 13,300 tokens takes 266 ms, leaving costs 52 ms.
func trained(cost time.Duration) *tsspill.Controller {
	c := newController(1, cost)
	c.Update(train(c, epoch, 200, 2*time.Second, 2*time.Millisecond), loads(0.3, 0.3))
	return c
}

// left returns how many of n requests like r go to their home, gap apart.
func left(c *tsspill.Controller, r tsspill.PrefixedRequest, n int, gap time.Duration) int {
	got := 0
	for i := range n {
		if c.LeaveForHome(epoch.Add(2*time.Second+time.Duration(i)*gap), r) {
			got++
		}
	}
	return got
}

// Load pattern: a prefix that comes again and again, and many that come once. Guards
// against shared tokens that are read everywhere for few requests, and against
// requests that leave for as long as a prefix is used.
func TestPrefixes(t *testing.T) {
	t.Run("the home moves once leaving has cost what reading does", func(t *testing.T) {
		got := left(trained(megabyteCost), prefixed(7), 40, 100*time.Millisecond)
		assert.Assert(t, got >= 4 && got <= 8, "%d left", got)
	})
	t.Run("and later where reading holds up requests", func(t *testing.T) {
		r := prefixed(7)
		r.OtherRunning = 3
		got := left(trained(megabyteCost), r, 80, 100*time.Millisecond)
		assert.Assert(t, got >= 16 && got <= 32, "%d left", got)
	})
	t.Run("a rare prefix keeps its home in the region", func(t *testing.T) {
		assert.Equal(t, left(trained(megabyteCost), prefixed(7), 20, 20*time.Second), 20)
	})
	t.Run("prefixes that are new to this entry VM go to their homes", func(t *testing.T) {
		c := trained(megabyteCost)
		for i := range uint64(400) {
			assert.Assert(t, c.LeaveForHome(epoch.Add(2*time.Second), prefixed(i+1)))
		}
	})
	t.Run("bytes that cost very much are not paid once", func(t *testing.T) {
		assert.Equal(t, left(trained(time.Hour), prefixed(7), 20, 100*time.Millisecond), 0)
		assert.Equal(t, left(newController(1, time.Hour), prefixed(7), 20, 100*time.Millisecond), 0)
	})
	t.Run("without measurements the home in the region is the rule", func(t *testing.T) {
		assert.Assert(t, newController(1, megabyteCost).LeaveForHome(epoch, prefixed(7)))
		assert.Assert(t, !newController(1, megabyteCost).LeaveHome(epoch, prefixed(7)))
	})
	t.Run("a moved home that is crowded is left", func(t *testing.T) {
		c := trained(megabyteCost)
		left(c, prefixed(7), 40, 100*time.Millisecond)
		r := prefixed(7)
		r.Other = 3
		assert.Assert(t, c.LeaveForHome(epoch.Add(6*time.Second), r))
	})
	t.Run("a home in the region is left once its wait exceeds twice the reading", func(t *testing.T) {
		// The wait is 100 ms for each request per slot.
		r := prefixed(7)
		r.Home = 4
		assert.Assert(t, trained(megabyteCost).LeaveForHome(epoch.Add(2*time.Second), r))
		r.Home = 8
		assert.Assert(t, !trained(megabyteCost).LeaveForHome(epoch.Add(2*time.Second), r))
	})
	t.Run("a local home is left once its wait exceeds the reading elsewhere", func(t *testing.T) {
		r := prefixed(7)
		r.Home = 2
		assert.Assert(t, !trained(megabyteCost).LeaveHome(epoch.Add(2*time.Second), r))
		r.Home = 6
		assert.Assert(t, trained(megabyteCost).LeaveHome(epoch.Add(2*time.Second), r))
	})
	t.Run("and sooner for a server that has read the prefix", func(t *testing.T) {
		c, r := trained(megabyteCost), prefixed(7)
		r.Home = 2
		c.Answered(epoch.Add(2*time.Second), 7, 2)
		assert.Assert(t, c.LeaveHome(epoch.Add(2*time.Second), r))
	})
	t.Run("servers that answered are remembered", func(t *testing.T) {
		c := newController(1, megabyteCost)
		assert.Assert(t, !c.Answered(epoch, 7, 1))
		assert.Assert(t, c.Answered(epoch, 7, 1))
		assert.Assert(t, !c.Answered(epoch, 7, 2))
		assert.Assert(t, !c.Answered(epoch, 8, 1))
	})
}

// answer lets homes answer requests for n prefixes that are new to this entry VM, 100 ms
// apart, with the first output after that of the i-th call.
func answer(c *tsspill.Controller, n int, output func(i int) time.Duration) time.Time {
	now := epoch.Add(2 * time.Second)
	for i := range n {
		now = now.Add(100 * time.Millisecond)
		c.Answered(now, uint64(i+1), 5)
		c.Observe(now, tsspill.Sample{Remote: i%2 == 0, Load: 0.3, Unread: 2000, Assumed: 13_300, FirstByte: output(i), RequestBytes: 60_000})
		c.Update(now, loads(0.3, 0.3))
	}
	return now
}

// Load pattern: prompts that nobody shares, at entry VMs that take them for prefixes.
// Guards against requests that leave for a home that has nothing cached, and against
// homes that are given up although others have warmed them, or only since servers are
// busy or began with empty memories.
func TestHomesThatHaveNothingCached(t *testing.T) {
	const read = 320 * time.Millisecond
	for _, c := range []struct {
		name   string
		n      int
		output func(int) time.Duration
		leaves bool
	}{
		{"first outputs as late as unread prompts' keep requests here", 400, func(int) time.Duration { return read }, false},
		{"not for a shorter time than a prefix is used again in", 150, func(int) time.Duration { return read }, true},
		{"not if one of four comes early", 400, func(i int) time.Duration { return []time.Duration{60 * time.Millisecond, read, read, read}[i%4] }, true},
		{"not if servers are busy", 400, func(int) time.Duration { return 4 * read }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller := trained(megabyteCost)
			now := answer(controller, c.n, c.output)
			assert.Equal(t, controller.LeaveForHome(now, prefixed(1_000_000)), c.leaves)
		})
	}
	t.Run("not once prefixes are known here", func(t *testing.T) {
		c := trained(megabyteCost)
		now := answer(c, 400, func(int) time.Duration { return read })
		for range 30 {
			c.Answered(now, 1, 5)
		}
		c.Update(now, loads(0.3, 0.3))
		assert.Assert(t, c.LeaveForHome(now, prefixed(1_000_000)))
	})
}

func BenchmarkUpdate(b *testing.B) {
	c := newController(1, megabyteCost)
	now := train(c, epoch, 200, 2*time.Second, 2*time.Millisecond)
	for b.Loop() {
		c.Update(now, loads(0.9, 0.3))
	}
}

func BenchmarkObserve(b *testing.B) {
	c := newController(1, megabyteCost)
	s := tsspill.Sample{Load: 0.4, Unread: 3000, FirstByte: 90 * time.Millisecond, RequestBytes: 10_000}
	for b.Loop() {
		c.Observe(epoch, s)
	}
}

// BenchmarkPrefixMemory reports the bytes of one remembered prefix.
func BenchmarkPrefixMemory(b *testing.B) {
	c := newController(1, megabyteCost)
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		i++
		c.Answered(epoch, i, i)
	}
}
