package tsexperiment

import (
	"container/heap"
	"context"
	"time"
)

// simClock is a fake clock with an agenda.
type simClock struct {
	now    time.Time
	agenda agenda
	seq    int
	// started numbers what is started under this clock.
	started int
}

type appointment struct {
	at  time.Time
	seq int
	do  func()
}

type agenda []appointment

func (a agenda) Len() int      { return len(a) }
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(appointment)) }
func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].seq < a[j].seq
}

func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// after runs do once d has passed.
func (c *simClock) after(d time.Duration, do func()) { c.at(c.now.Add(d), do) }

func (c *simClock) at(t time.Time, do func()) {
	c.seq++
	heap.Push(&c.agenda, appointment{at: t, seq: c.seq, do: do})
}

// run advances to the end, or as far as ctx lets it.
func (c *simClock) run(ctx context.Context, end time.Time) {
	for ctx.Err() == nil && len(c.agenda) > 0 && !c.agenda[0].at.After(end) {
		a := heap.Pop(&c.agenda).(appointment)
		c.now = a.at
		a.do()
	}
	c.now = end
}
