package tssoak

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericshed"
	"turmericshed/core/tsupdate"
	"turmericshed/standin/tsplatform"
)

const (
	// keptLines is the length of the time line that a failing run prints.
	keptLines = 400
	// storeTimeout is how long a caller waits for the store.
	storeTimeout = 3 * time.Second
)

// event is something that happens at a time of the fake clock.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// events is a heap by time and order of scheduling.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an element at the end.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last element.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// world is everything in one run. It is driven by one goroutine.
type world struct {
	o      Options
	start  time.Time
	now    time.Time
	rnd    *rand.Rand
	queue  events
	seq    int
	ids    int
	steps  int
	healed bool
	store  *tsplatform.Store
	// directory is the platform's list of VMs.
	directory *tsplatform.Directory
	net       network
	vms       []*vm
	engines   []*engine
	// byID holds every engine that ever was.
	byID    map[turmericshed.ServerID]*engine
	desk    *desk
	service *service
	callers *callers
	books   books
	lines   []string
	digest  *xxhash.Digest
	// lastFault tells until when something is out of order.
	lastFault time.Time
}

// at schedules f after d.
func (w *world) at(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(max(d, 0)), seq: w.seq, do: f})
}

// every runs f now and again, with jitter, until the run ends.
func (w *world) every(d time.Duration, f func()) {
	w.at(w.jitter(d), func() {
		f()
		w.every(d, f)
	})
}

// jitter returns a duration around d.
func (w *world) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.rnd.Int64N(int64(d)))
}

// between returns a duration from low up to high.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rnd.Int64N(int64(high-low)))
}

// chance is true with the given probability.
func (w *world) chance(p float64) bool { return w.rnd.Float64() < p }

// id returns a fresh identifier.
func (w *world) id(prefix string) string {
	w.ids++
	return fmt.Sprintf("%s%d", prefix, w.ids)
}

// run performs events until the time until.
func (w *world) run(until time.Time) {
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.steps++
		e.do()
	}
	w.now = until
}

// logf adds a line to the time line.
func (w *world) logf(format string, args ...any) {
	line := fmt.Sprintf("%10.3fs  ", w.now.Sub(w.start).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = w.digest.WriteString(line + "\n")
	w.lines = append(w.lines, line)
	if len(w.lines) > 2*keptLines {
		w.lines = append(w.lines[:0:0], w.lines[len(w.lines)-keptLines:]...)
	}
	if w.o.Trace != nil {
		_, _ = fmt.Fprintln(w.o.Trace, line)
	}
}

// storeCall performs one step of an update at the store, as caller sees it
// over the network, and replies later. A call that is too slow gets no answer
// and lands all the same.
func (w *world) storeCall(caller string, from place, step tsupdate.Step, reply func(tsupdate.Reply)) {
	there, back := w.net.storeLatency(w), w.net.storeLatency(w)
	silent := tsupdate.Reply{Err: turmericshed.NewError(turmericshed.KindStoreUnavailable, "no answer")}
	if !step.Read {
		silent.Err = turmericshed.NewError(turmericshed.KindStoreUnknown, "no answer")
	}
	if !w.net.ok(from, platform) {
		if w.chance(0.5) {
			silent.Err = turmericshed.NewError(turmericshed.KindStoreUnavailable, "no connection")
			w.at(there, func() { reply(silent) })
			return
		}
		w.at(storeTimeout, func() { reply(silent) })
		return
	}
	w.at(there, func() {
		r := tsupdate.Do(context.Background(), w.store.As(caller), step)
		if !w.net.ok(platform, from) || there+back > storeTimeout {
			w.at(max(storeTimeout-there, 0), func() { reply(silent) })
			return
		}
		w.at(back, func() { reply(r) })
	})
}
