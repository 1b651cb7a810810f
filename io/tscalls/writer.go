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
	// maxBatch bounds the number of operations in one write.
	maxBatch = 512
	// maxBatchBytes bounds the bytes that one write adds to a head.
	maxBatchBytes = 256 << 10
	// maxRestarts bounds how often a batch is reapplied to a newer head.
	maxRestarts = 16
	// failFastDuration is how long new claims are refused immediately after a commit
	// has failed, as when the store does not answer.
	failFastDuration = 250 * time.Millisecond
	// stallTimeout is how long a commit may take before new claims are refused
	// immediately.
	stallTimeout = time.Second
)

// errHeadChanged aborts an update that was based on an outdated version of the head.
var errHeadChanged = errors.New("head has moved")

// pendingOp is an operation waiting for the next write of its slot.
type pendingOp struct {
	op tsclaim.Op
	// deadline is the time after which a claim must not be written; zero for none.
	deadline time.Time
	result   chan tsclaim.Result
}

// writer commits the operations of one slot, batching many into one write.
type writer struct {
	cfg     *Config
	slot    int
	archive *archive

	mu          sync.Mutex
	queue       []*pendingOp
	loopRunning bool
	// commitStarted is when the commit in progress started; zero when there is none.
	commitStarted time.Time

	// The fields below are used only by the commit loop.
	head          turmericshed.Item
	headCached    bool
	lastWrite     time.Time
	failFastUntil time.Time
}

func newWriter(cfg *Config, slot int) *writer {
	return &writer{cfg: cfg, slot: slot, archive: newArchive(cfg.Store, slot)}
}

// submit queues an operation and waits for its result until ctx ends. If ctx ends
// first, it returns KindStoreUnknown: the operation may still be applied.
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

// loop commits batches until the queue is empty. Operations that arrive during a
// write, or within the write interval after it, share the next write.
func (w *writer) loop() {
	for {
		w.clearCommitStarted()
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

// batchLength returns how many of the queued operations go into the next write. The
// caller holds mu.
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

func (w *writer) clearCommitStarted() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commitStarted = time.Time{}
}

// commitAndRecover commits a batch and recovers from a violated invariant, so that the
// process does not terminate: the batch fails and the slot continues from a newly read
// head.
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

// fail delivers err to every operation of the batch.
func (w *writer) fail(batch []*pendingOp, err error) {
	for _, p := range batch {
		p.deliver(tsclaim.Result{Err: err})
	}
}

// deliver sends the result; calls after the first have no effect.
func (p *pendingOp) deliver(r tsclaim.Result) {
	select {
	case p.result <- r:
	default:
	}
}

// commit applies a batch, and reapplies it whenever another writer has changed the head.
func (w *writer) commit(batch []*pendingOp) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if time.Now().Before(w.failFastUntil) {
		batch = w.refuseClaims(batch)
	}
	mayHaveWritten := false
	for restart := 0; len(batch) > 0; restart++ {
		err := w.tryCommit(ctx, batch)
		if err == nil {
			return
		}
		w.headCached = false
		mayHaveWritten = mayHaveWritten || turmericshed.KindOf(err) == turmericshed.KindStoreUnknown
		if errors.Is(err, errHeadChanged) && restart < maxRestarts {
			continue
		}
		if mayHaveWritten {
			err = turmericshed.WrapError(turmericshed.KindStoreUnknown, err, "an earlier write got no answer")
		} else if errors.Is(err, errHeadChanged) {
			err = turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "slot %d is contended", w.slot)
		}
		w.failFastUntil = time.Now().Add(failFastDuration)
		w.fail(batch, err)
		return
	}
}

// refuseClaims refuses the claims of a batch and returns the other operations. It is
// used while the store does not answer.
func (w *writer) refuseClaims(batch []*pendingOp) []*pendingOp {
	var remaining []*pendingOp
	for _, p := range batch {
		if p.op.Kind == tsclaim.OpClaim {
			p.deliver(tsclaim.Result{Err: errStoreUnresponsive()})
			continue
		}
		remaining = append(remaining, p)
	}
	return remaining
}

// tryCommit applies a batch to one version of the head. It returns errHeadChanged if
// the head or a document it refers to is outdated.
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
		// The cached head may be outdated, so only done calls may be answered from it.
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

// allFinal reports whether every result remains valid whatever the newest head contains.
func allFinal(results []tsclaim.Result) bool {
	for _, r := range results {
		if r.Entry.State != tsclaim.StateDone {
			return false
		}
	}
	return true
}

// plan holds what a write of the head needs besides its operations: the sealed entries of
// the batch's calls, and the sealing that was done before it.
type plan struct {
	// archived holds the entries of the batch's calls that are already sealed.
	archived map[tsclaim.ID]tsclaim.Entry
	// sealed holds the entries that were moved to the tail segment, which now has
	// tailEntries entries.
	sealed      map[tsclaim.ID]tsclaim.Entry
	tailEntries int
	// tailClosed is set when a reference to the tail was added to the bucket, which
	// now has bucketEntries entries.
	tailClosed    bool
	bucket        int
	bucketEntries int
}

// plan reads the sealed documents that the batch needs, and does the writes that have
// to precede the write of the head.
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
	// A full tail is closed before more entries are sealed.
	if h.TailDue(now, w.archive.tailBytes) {
		p.tailClosed, p.tailEntries = true, len(w.archive.tail.Entries)
		p.bucket, p.bucketEntries, err = w.archive.closeTail(ctx, h)
		return p, err
	}
	if sealed := h.Sealable(now); sealed != nil {
		p.sealed = sealed
		p.tailEntries, err = w.archive.seal(ctx, h, tsclaim.SelectForTail(sealed))
	}
	return p, err
}

// mutate applies the batch and the plan to the head. next is nil if nothing changed.
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
	if p.tailClosed && h.CloseTail(h.Tail, p.tailEntries, p.bucket, p.bucketEntries) {
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

// apply applies one operation to the head.
func (w *writer) apply(h *tsclaim.Head, q *pendingOp, p plan, now time.Time) tsclaim.Result {
	if q.op.Kind == tsclaim.OpClaim && !q.deadline.IsZero() && !now.Round(0).Before(q.deadline.Round(0)) {
		// The deadline is checked after the head was read, so that a process that was
		// paused for longer than the retention does not claim an expired call again.
		return tsclaim.Result{Err: turmericshed.NewError(turmericshed.KindDeadline, "no time left to claim the call")}
	}
	var archived *tsclaim.Entry
	if e, ok := p.archived[q.op.ID]; ok {
		archived = &e
	}
	return h.Apply(q.op, now, archived)
}
