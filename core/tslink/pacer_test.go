package tslink

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// release is a body that the pacer released.
type release struct {
	at      time.Time
	account string
	size    int
}

// run calls the pacer until it has released all bodies.
func run(p *Pacer, accounts map[Ticket]string, size int) []release {
	var got []release
	for now := start; len(got) < len(accounts); {
		ready, nextIn := p.Ready(now)
		for _, t := range ready {
			got = append(got, release{now, accounts[t], size})
		}
		now = now.Add(nextIn)
	}
	return got
}

// longestQueue returns the longest time that a byte waits at a link of the given rate.
func longestQueue(rate float64, bodies []release) time.Duration {
	l, most := New(rate), time.Duration(0)
	for _, b := range bodies {
		l.RecordTraffic(b.at, Outbound, b.size)
		most = max(most, l.Queue(b.at))
	}
	return most
}

func TestPacer(t *testing.T) {
	const size = 10_000
	t.Run("forty bodies offered at once leave a short queue at the link", func(t *testing.T) {
		p, accounts := NewPacer(rate), map[Ticket]string{}
		var got []release
		for i := range Ticket(40) {
			accounts[i] = "a"
			if _, ready := p.Offer(start, i, "a", size); ready {
				got = append(got, release{start, "a", size})
				delete(accounts, i)
			}
		}
		got = append(got, run(p, accounts, size)...)
		assert.Equal(t, len(got), 40)
		assert.Assert(t, longestQueue(rate, got) <= 50*time.Millisecond)
		assert.Assert(t, got[39].at.Sub(start) <= 40*size*time.Second/rate*12/10)
	})
	t.Run("the largest bodies on a slow link queue for at most 300 ms", func(t *testing.T) {
		const rate, size = 1_250_000, 300_000
		p, accounts := NewPacer(rate), map[Ticket]string{}
		var got []release
		for i := range Ticket(40) {
			accounts[i] = "a"
			if _, ready := p.Offer(start, i, "a", size); ready {
				got = append(got, release{start, "a", size})
				delete(accounts, i)
			}
		}
		got = append(got, run(p, accounts, size)...)
		assert.Equal(t, len(got), 40)
		assert.Assert(t, longestQueue(rate, got) <= 300*time.Millisecond)
	})
	t.Run("an account with many bodies does not delay another one", func(t *testing.T) {
		p, accounts := NewPacer(rate), map[Ticket]string{}
		for i := range Ticket(40) {
			if _, ready := p.Offer(start, i, "much", size); !ready {
				accounts[i] = "much"
			}
		}
		wait, ready := p.Offer(start, 100, "little", size)
		assert.Assert(t, !ready)
		assert.Assert(t, wait < 50*time.Millisecond, "wait %s", wait)
		accounts[100] = "little"
		for i, b := range run(p, accounts, size) {
			if b.account == "little" {
				assert.Assert(t, i < 3, "released at position %d", i)
			}
		}
	})
	t.Run("the estimated wait matches the actual one", func(t *testing.T) {
		p, accounts := NewPacer(rate), map[Ticket]string{}
		var wait time.Duration
		for i := range Ticket(20) {
			var ready bool
			if wait, ready = p.Offer(start, i, "a", size); !ready {
				accounts[i] = "a"
			}
		}
		got := run(p, accounts, size)
		took := got[len(got)-1].at.Sub(start)
		assert.Assert(t, (took-wait).Abs() < 15*time.Millisecond, "estimated %s, took %s", wait, took)
	})
	t.Run("canceled bodies are removed from the queue", func(t *testing.T) {
		p := NewPacer(rate)
		for i := range Ticket(10) {
			p.Offer(start, i, "a", size)
		}
		for i := range Ticket(10) {
			p.Cancel(i)
		}
		ready, nextIn := p.Ready(start)
		assert.Equal(t, len(ready), 0)
		assert.Equal(t, nextIn, time.Duration(0))
	})
	t.Run("an unknown rate delays nothing", func(t *testing.T) {
		p := NewPacer(0)
		for i := range Ticket(100) {
			_, ready := p.Offer(start, i, "a", size)
			assert.Assert(t, ready)
		}
	})
}
