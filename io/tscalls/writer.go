package tscalls

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/core/tsclaim"
	"turmericshed/core/tsupdate"
)

const (
	// maxBatch bounds the operations of one write.
	maxBatch = 512
	// maxBatchBytes bounds what one write adds to a head.
	maxBatchBytes = 256 << 10
	// maxRestarts bounds how often a batch starts again from a newer head.
	maxRestarts = 16
	// failFastFor is how long new claims are refused at once after the store
	// did not answer.
	failFastDuration = 250 * time.Millisecond
	// stallAfter is how long a write may take before new claims are refused
	// at once.
	stallTimeout = time.Second
)

// errMoved ends an update that met another version of the head.
var errHeadChanged = errors.New("head has moved")

// pending is an operation waiting for the next write of its slot.
type pendingOp struct {
	op tsclaim.Op
	// deadline is after which a claim must not be made any more.
	deadline time.Time
	result   chan tsclaim.Result
}

// writer commits the operations of one slot, many in one write.
type writer struct {
	cfg     *Config
	slot    int
	archive *archive

	mu          sync.Mutex
	queue       []*pendingOp
	loopRunning bool
	// since is when the commit in progress began; zero when there is none.
	commitStarted time.Time

	// The fields below belong to the running commit loop.
	head          turmericshed.Item
	headCached    bool
	lastWrite     time.Time
	failFastUntil time.Time
}

func newWriter(cfg *Config, slot int) *writer {
	return &writer{cfg: cfg, slot: slot, archive: newArchive(cfg.Store, slot)}
}

// submit queues an operation and waits for its result within ctx. When ctx
// ends first the operation may still be applied: KindStoreUnknown.
func (w *writer) submit(ctx context.Context, op tsclaim.Op) tsclaim.Result {
	p := &pendingOp{op: op, result: make(chan tsclaim.Result, 1)}
	p.deadline, _ = ctx.Deadline()
	w.mu.Lock()
	if op.Kind == tsclaim.OpClaim && !w.commitStarted.IsZero() && time.Since(w.commitStarted) > stallTimeout {
		w.mu.Unlock()
		return tsclaim.Result{Err: errStoreUnresponsive()}
	}
	w.queue = append(w.queue, p)
	start := !w.loopRunning
	w.loopRunning = true
	w.mu.Unlock()
	if start {
		go w.loop()
	}
	select {
	case res := <-p.result:
		return res
	case <-ctx.Done():
		return tsclaim.Result{Err: turmericshed.NewError(turmericshed.KindStoreUnknown, "no answer from slot %d in time", w.slot)}
	}
}

func errStoreUnresponsive() error {
	return turmericshed.NewError(turmericshed.KindStoreUnavailable, "the key-value service does not answer")
}

// loop commits batches until the queue is empty. Operations that arrive while
// a write is in flight, or within the interval after it, share the next one.
func (w *writer) loop() {
	for {
		w.setIdle()
		if wait := time.Until(w.lastWrite.Add(w.cfg.WriteInterval)); wait > 0 {
			time.Sleep(wait)
		}
		w.mu.Lock()
		n := w.batchLength()
		batch := w.queue[:n:n]
		w.queue = w.queue[n:]
		if n == 0 {
			w.loopRunning = false
			w.mu.Unlock()
			return
		}
		w.commitStarted = time.Now()
		w.mu.Unlock()
		w.commitAndRecover(batch)
	}
}

// batchLength returns how many of the queued operations go into one write.
func (w *writer) batchLength() int {
	bytes := 0
	for i, p := range w.queue {
		bytes += p.op.Bytes()
		if i > 0 && bytes > maxBatchBytes || i == maxBatch {
			return i
		}
	}
	return len(w.queue)
}

func (w *writer) setIdle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commitStarted = time.Time{}
}

// commitSafely keeps a broken invariant from ending the process: the batch
// fails and the slot goes on from a fresh head.
func (w *writer) commitAndRecover(batch []*pendingOp) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		reason := fmt.Sprint(r)
		w.headCached = false
		w.cfg.Recorder.Record(turmericshed.Event{Name: turmericshed.EventInvariantBroken, Reason: reason})
		w.fail(batch, turmericshed.NewError(turmericshed.KindInternal, "%s", reason))
	}()
	w.commit(batch)
}

func (w *writer) fail(batch []*pendingOp, err error) {
	for _, p := range batch {
		p.deliver(tsclaim.Result{Err: err})
	}
}

// deliver gives the result, once.
func (p *pendingOp) deliver(r tsclaim.Result) {
	select {
	case p.result <- r:
	default:
	}
}

// commit applies a batch, starting again whenever the head has moved.
func (w *writer) commit(batch []*pendingOp) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if time.Now().Before(w.failFastUntil) {
		batch = w.refuseClaims(batch)
	}
	ambiguous := false
	for restart := 0; len(batch) > 0; restart++ {
		err := w.tryCommit(ctx, batch)
		if err == nil {
			return
		}
		w.headCached = false
		ambiguous = ambiguous || turmericshed.KindOf(err) == turmericshed.KindStoreUnknown
		if errors.Is(err, errHeadChanged) && restart < maxRestarts {
			continue
		}
		if ambiguous {
			err = turmericshed.WrapError(turmericshed.KindStoreUnknown, err, "an earlier write got no answer")
		} else if errors.Is(err, errHeadChanged) {
			err = turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "slot %d is contended", w.slot)
		}
		w.failFastUntil = time.Now().Add(failFastDuration)
		w.fail(batch, err)
		return
	}
}

// refuseClaims refuses new claims at once while the store does not answer.
func (w *writer) refuseClaims(batch []*pendingOp) []*pendingOp {
	var rest []*pendingOp
	for _, p := range batch {
		if p.op.Kind == tsclaim.OpClaim {
			p.deliver(tsclaim.Result{Err: errStoreUnresponsive()})
			continue
		}
		rest = append(rest, p)
	}
	return rest
}

// attempt applies a batch to one version of the head.
func (w *writer) tryCommit(ctx context.Context, batch []*pendingOp) error {
	cached := w.headCached
	if !cached {
		item, err := w.cfg.Store.Get(ctx, tsclaim.HeadKey(w.slot))
		if err != nil {
			return err
		}
		w.head, w.headCached = item, true
	}
	plan, err := w.plan(ctx, batch)
	if err != nil {
		return err
	}
	base := w.head.Version
	var results []tsclaim.Result
	var expired []tsclaim.BucketRef
	u := tsupdate.NewFrom(w.head, func(cur turmericshed.Item) ([]byte, error) {
		if cur.Version != base {
			return nil, errHeadChanged
		}
		var next []byte
		var err error
		next, results, expired, err = w.mutate(cur, batch, plan)
		return next, err
	})
	item, err := tsupdate.Run(ctx, w.cfg.Store, u)
	if err != nil {
		return err
	}
	if wrote := item.Version != base; !wrote && cached && !allFinal(results) {
		// The cached head may be old; only a settled call may be answered
		// from it.
		return errHeadChanged
	} else if wrote {
		w.lastWrite = time.Now()
	}
	w.head = item
	for i, p := range batch {
		p.deliver(results[i])
	}
	w.archive.deleteBuckets(ctx, expired)
	return nil
}

// allFinal reports whether every result stands whatever the newest head says.
func allFinal(results []tsclaim.Result) bool {
	for _, r := range results {
		if r.Entry.State != tsclaim.StateDone {
			return false
		}
	}
	return true
}

// plan is what a write does besides its operations.
type plan struct {
	// archived are the entries of calls that are sealed.
	archived map[tsclaim.ID]tsclaim.Entry
	// sealed moved to the tail segment, which has tailEntries entries.
	sealed      map[tsclaim.ID]tsclaim.Entry
	tailEntries int
	// roll is set when the tail was copied to the bucket.
	tailClosed    bool
	bucket        int
	bucketEntries int
}

// plan reads the sealed documents that the batch needs and does the writes
// that must precede that of the head.
func (w *writer) plan(ctx context.Context, batch []*pendingOp) (plan, error) {
	p := plan{archived: map[tsclaim.ID]tsclaim.Entry{}}
	h, err := tsclaim.DecodeHead(w.head.Value, w.slot)
	if err != nil {
		return p, err
	}
	if err := w.archive.refresh(ctx, h); err != nil {
		return p, err
	}
	for _, q := range batch {
		if _, ok := h.Entries[q.op.ID]; ok {
			continue
		}
		e, ok, err := w.archive.find(ctx, h, q.op.ID)
		if err != nil {
			return p, err
		}
		if ok {
			p.archived[q.op.ID] = e
		}
	}
	now := time.Now()
	// A tail that is full is closed before anything more is sealed into it.
	if h.TailDue(now, w.archive.tailBytes) {
		p.tailClosed, p.tailEntries = true, len(w.archive.tail.Entries)
		p.bucket, p.bucketEntries, err = w.archive.closeTail(ctx, h)
		return p, err
	}
	if sealed := h.Sealable(now); sealed != nil {
		p.sealed = sealed
		p.tailEntries, err = w.archive.seal(ctx, h, tsclaim.Kept(sealed))
	}
	return p, err
}

// mutate applies the batch and the plan to the head; no value means that
// nothing changed.
func (w *writer) mutate(cur turmericshed.Item, batch []*pendingOp, p plan) (next []byte, results []tsclaim.Result, expired []tsclaim.BucketRef, err error) {
	h, err := tsclaim.DecodeHead(cur.Value, w.slot)
	if err != nil {
		return nil, nil, nil, err
	}
	now := time.Now()
	changed := false
	for _, q := range batch {
		res := w.apply(h, q, p, now)
		changed = changed || res.Changed
		results = append(results, res)
	}
	if p.sealed != nil && h.Seal(h.Tail, p.sealed, p.tailEntries) {
		changed = true
	}
	if p.tailClosed && h.Roll(h.Tail, p.tailEntries, p.bucket, p.bucketEntries) {
		changed = true
	}
	if expired = h.Expire(now, w.cfg.Retention); len(expired) > 0 {
		changed = true
	}
	if !changed {
		return nil, results, nil, nil
	}
	next, err = h.Encode()
	return next, results, expired, err
}

func (w *writer) apply(h *tsclaim.Head, q *pendingOp, p plan, now time.Time) tsclaim.Result {
	if q.op.Kind == tsclaim.OpClaim && !q.deadline.IsZero() && !now.Round(0).Before(q.deadline.Round(0)) {
		// Checked after the head was read: a process that was paused longer
		// than the retention does not claim an expired call anew.
		return tsclaim.Result{Err: turmericshed.NewError(turmericshed.KindDeadline, "no time left to claim the call")}
	}
	var archived *tsclaim.Entry
	if e, ok := p.archived[q.op.ID]; ok {
		archived = &e
	}
	return h.Apply(q.op, now, archived)
}
