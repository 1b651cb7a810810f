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
	traceTailLines = 400
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
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an element at the end.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last element.
func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// world is everything in one run. It is driven by one goroutine.
type world struct {
	options Options
	start   time.Time
	now     time.Time
	rnd     *rand.Rand
	queue   eventHeap
	lastSeq int
	lastID  int
	steps   int
	healed  bool
	store   *tsplatform.Store
	// directory is the platform's list of VMs.
	directory *tsplatform.Directory
	network   network
	vms       []*vm
	engines   []*engine
	// byID holds every engine that ever was.
	enginesByID map[turmericshed.ServerID]*engine
	operators   *operators
	service     *service
	callers     *callers
	books       books
	traceLines  []string
	digest      *xxhash.Digest
	// lastFault tells until when something is out of order.
	disturbedUntil time.Time
}

// at schedules f after d.
func (w *world) schedule(d time.Duration, f func()) {
	w.lastSeq++
	heap.Push(&w.queue, event{at: w.now.Add(max(d, 0)), seq: w.lastSeq, do: f})
}

// every runs f now and again, with jitter, until the run ends.
func (w *world) every(d time.Duration, f func()) {
	w.schedule(w.jitter(d), func() {
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
func (w *world) newID(prefix string) string {
	w.lastID++
	return fmt.Sprintf("%s%d", prefix, w.lastID)
}

// run performs events until the time until.
func (w *world) runUntil(until time.Time) {
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
	w.traceLines = append(w.traceLines, line)
	if len(w.traceLines) > 2*traceTailLines {
		w.traceLines = append(w.traceLines[:0:0], w.traceLines[len(w.traceLines)-traceTailLines:]...)
	}
	if w.options.Trace != nil {
		_, _ = fmt.Fprintln(w.options.Trace, line)
	}
}

// storeCall performs one step of an update at the store, as caller sees it
// over the network, and replies later. A call that is too slow gets no answer
// and lands all the same.
func (w *world) storeCall(caller string, from location, step tsupdate.Step, reply func(tsupdate.Reply)) {
	there, back := w.network.storeLatency(w), w.network.storeLatency(w)
	silent := tsupdate.Reply{Err: turmericshed.NewError(turmericshed.KindStoreUnavailable, "no answer")}
	if !step.Read {
		silent.Err = turmericshed.NewError(turmericshed.KindStoreUnknown, "no answer")
	}
	if !w.network.connected(from, platform) {
		if w.chance(0.5) {
			silent.Err = turmericshed.NewError(turmericshed.KindStoreUnavailable, "no connection")
			w.schedule(there, func() { reply(silent) })
			return
		}
		w.schedule(storeTimeout, func() { reply(silent) })
		return
	}
	w.schedule(there, func() {
		r := tsupdate.Do(context.Background(), w.store.As(caller), step)
		if !w.network.connected(platform, from) || there+back > storeTimeout {
			w.schedule(max(storeTimeout-there, 0), func() { reply(silent) })
			return
		}
		w.schedule(back, func() { reply(r) })
	})
}
