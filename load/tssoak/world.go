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
	// traceTailLines is how many of the last trace lines a failing run reports.
	traceTailLines = 400
	// storeTimeout is how long a client of the store waits for a reply.
	storeTimeout = 3 * time.Second
)

// event is a function that is due at a time of the fake clock. seq breaks ties.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// eventHeap is a heap of events, ordered by due time and then by the order of
// scheduling.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventHeap) Pop() any {
	all := *e
	last := all[len(all)-1]
	*e = all[:len(all)-1]
	return last
}

// world is the state of one run. Only one goroutine uses it.
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
	// directory is the platform's list of entry VMs and backend servers.
	directory *tsplatform.Directory
	network   network
	vms       []*vm
	engines   []*engine
	// enginesByID also holds the engines that were replaced.
	enginesByID map[turmericshed.ServerID]*engine
	operators   *operators
	service     *service
	callers     *callers
	books       books
	traceLines  []string
	digest      *xxhash.Digest
	// disturbedUntil is when the effects of the injected faults end.
	disturbedUntil time.Time
}

// schedule runs f after d of fake time; a negative d counts as 0.
func (w *world) schedule(d time.Duration, f func()) {
	w.lastSeq++
	heap.Push(&w.queue, event{at: w.now.Add(max(d, 0)), seq: w.lastSeq, do: f})
}

// every runs f repeatedly, at jittered intervals around d, until the run ends.
func (w *world) every(d time.Duration, f func()) {
	w.schedule(w.jitter(d), func() {
		f()
		w.every(d, f)
	})
}

// jitter returns a random duration from d/2 up to 3d/2.
func (w *world) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.rnd.Int64N(int64(d)))
}

// between returns a random duration from low up to high.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rnd.Int64N(int64(high-low)))
}

// chance returns true with probability p.
func (w *world) chance(p float64) bool { return w.rnd.Float64() < p }

// newID returns an identifier that is unique in this run.
func (w *world) newID(prefix string) string {
	w.lastID++
	return fmt.Sprintf("%s%d", prefix, w.lastID)
}

// runUntil performs all events that are due at or before the given time.
func (w *world) runUntil(until time.Time) {
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.steps++
		e.do()
	}
	w.now = until
}

// logf adds a line to the trace.
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

// storeCall performs one step of an update at the store for a client at from,
// with the latency and the cuts of the network, and passes the result to reply.
// An unanswered call fails after storeTimeout with KindStoreUnavailable for a
// read and with KindStoreUnknown for a write. A step whose answer is late or cut
// off is still applied. While the platform is unreachable the step is not applied:
// half of these calls fail early with KindStoreUnavailable, the others stay
// unanswered.
func (w *world) storeCall(client string, from location, step tsupdate.Step, reply func(tsupdate.StepResult)) {
	requestLatency, replyLatency := w.network.storeLatency(w), w.network.storeLatency(w)
	noReply := tsupdate.StepResult{Err: turmericshed.NewError(turmericshed.KindStoreUnavailable, "store did not answer in time")}
	if !step.Read {
		noReply.Err = turmericshed.NewError(turmericshed.KindStoreUnknown, "store did not answer in time")
	}
	if !w.network.connected(from, platform) {
		if w.chance(0.5) {
			noReply.Err = turmericshed.NewError(turmericshed.KindStoreUnavailable, "no connection to the store")
			w.schedule(requestLatency, func() { reply(noReply) })
			return
		}
		w.schedule(storeTimeout, func() { reply(noReply) })
		return
	}
	w.schedule(requestLatency, func() {
		r := tsupdate.Do(context.Background(), w.store.As(client), step)
		if !w.network.connected(platform, from) || requestLatency+replyLatency > storeTimeout {
			w.schedule(max(storeTimeout-requestLatency, 0), func() { reply(noReply) })
			return
		}
		w.schedule(replyLatency, func() { reply(r) })
	})
}
