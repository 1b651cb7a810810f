package tsexperiment

import (
	"container/heap"
	"context"
	"time"
)

// simClock is a simulated clock with a queue of scheduled events.
type simClock struct {
	now    time.Time
	events clockEvents
	seq    int
	// lastID is the last number given to a node or lot of this simulation.
	lastID int
}

type clockEvent struct {
	at  time.Time
	seq int
	run func()
}

type clockEvents []clockEvent

func (a clockEvents) Len() int      { return len(a) }
func (a clockEvents) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *clockEvents) Push(x any)   { *a = append(*a, x.(clockEvent)) }
func (a clockEvents) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].seq < a[j].seq
}

func (a *clockEvents) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// after schedules do at d from now.
func (c *simClock) after(d time.Duration, do func()) { c.at(c.now.Add(d), do) }

func (c *simClock) at(t time.Time, do func()) {
	c.seq++
	heap.Push(&c.events, clockEvent{at: t, seq: c.seq, run: do})
}

// run executes the events up to end and advances the clock to it. It stops executing events when
// ctx is canceled.
func (c *simClock) run(ctx context.Context, end time.Time) {
	for ctx.Err() == nil && len(c.events) > 0 && !c.events[0].at.After(end) {
		a := heap.Pop(&c.events).(clockEvent)
		c.now = a.at
		a.run()
	}
	c.now = end
}
