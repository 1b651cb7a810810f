package tslink

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const rate = 1_000_000

var start = time.Unix(1_000_000, 0)

// at returns the time ms milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// fill moves bytes at a part of the link's rate from one time to another.
func fill(l *Link, d Direction, part float64, from, to int) {
	for ms := from; ms < to; ms += 10 {
		l.RecordTraffic(at(ms), d, int(part*rate/100))
	}
}

func assertCongested(t *testing.T, l *Link, ms, since int, want bool) {
	t.Helper()
	assert.Equal(t, l.Congested(at(ms), at(since)), want)
}

func TestLink(t *testing.T) {
	t.Run("a saturated inbound link is congested", func(t *testing.T) {
		l := New(rate)
		fill(l, Inbound, 0.95, 0, 1000)
		assertCongested(t, l, 1000, 1000, true)
	})
	t.Run("a half-used link is not congested", func(t *testing.T) {
		l := New(rate)
		for ms := 0; ms < 1000; ms += 10 {
			fill(l, Inbound, 0.5, ms, ms+10)
			fill(l, Outbound, 0.5, ms, ms+10)
		}
		assertCongested(t, l, 1000, 0, false)
	})
	t.Run("an outbound burst congests the link until it is sent", func(t *testing.T) {
		l := New(rate)
		l.RecordTraffic(at(0), Outbound, 300_000)
		assert.Equal(t, l.Queue(at(100)), 200*time.Millisecond)
		assertCongested(t, l, 150, 150, true)
		assertCongested(t, l, 350, 350, false)
		assertCongested(t, l, 350, 100, true)
	})
	t.Run("the load falls when nothing moves", func(t *testing.T) {
		l := New(rate)
		fill(l, Inbound, 1, 0, 1000)
		assert.Assert(t, l.Load(at(1000), Inbound) > 0.95)
		assert.Equal(t, l.Load(at(2000), Inbound), 0.0)
	})
	t.Run("the time of a process pause counts as congested", func(t *testing.T) {
		l := New(rate)
		for ms := 0; ms <= 1000; ms += 100 {
			l.RecordTick(at(ms))
		}
		assertCongested(t, l, 1100, 0, false)
		assertCongested(t, l, 4000, 900, true)
		l.RecordTick(at(4000))
		assertCongested(t, l, 4050, 900, true)
		assertCongested(t, l, 4050, 4010, false)
	})
	t.Run("a link of unknown capacity is never congested", func(t *testing.T) {
		l := New(0)
		fill(l, Inbound, 5, 0, 1000)
		assertCongested(t, l, 1000, 0, false)
	})
}
