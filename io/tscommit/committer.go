// Package tscommit writes the ledgers of all budgets for the entry VMs of a
// failure domain, many requests in one transaction (group commit). Any entry VM
// can write for the others. Every write is conditional on the versions in the
// store, so that several writers only cause conflicts, never wrong ledgers. The
// choice of the writer therefore is only a hint, see [Client].
//
// # Usage
//
//	c := tscommit.New(tscommit.Config{Members: members, Store: store, StaleLedgers: store, Log: log})
//	for _, loop := range c.Controllers() {
//		supervisor.Add(loop)
//	}
//	server.Mount(c.Handler())
//
//	w := tscommit.NewClient(tscommit.ClientConfig{Members: members, Peers: peers, LocalWriter: c, Log: log})
//	reply, err := w.Commit(ctx, request)
package tscommit

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
	"turmericshed/io/tspeer"
)

const (
	// urgentGatherWindow is how long a round waits for requests to join an urgent
	// one, normalGatherWindow how long a request that is not urgent waits for
	// others, and minRoundInterval the least time between two rounds. A call to the
	// store costs the same with one request in it as with forty.
	urgentGatherWindow = 15 * time.Millisecond
	normalGatherWindow = 150 * time.Millisecond
	minRoundInterval   = 100 * time.Millisecond
	// tickInterval is the time between the rounds for which holders time their
	// requests when no caller waits, and minTickWait the least wait that a holder
	// is sent.
	tickInterval = time.Second
	minTickWait  = 400 * time.Millisecond
	// leaseInterval is the time between new leases while there are requests, a
	// little less than a tick, and leaseWait bounds how long a round waits for one.
	// A lease older than maxLeaseAge is not sent to holders, and firstLeaseWait
	// bounds the wait of a round that has no lease.
	leaseInterval  = 900 * time.Millisecond
	leaseWait      = 50 * time.Millisecond
	maxLeaseAge    = 2 * time.Second
	firstLeaseWait = 400 * time.Millisecond
	// refreshAge is the age of the last stale read of all ledgers from which a
	// round reads them again, and writeRefreshAge the same before a round that
	// writes ledgers: a read costs a tenth of a conflict. refreshTimeout bounds the
	// read.
	refreshAge      = 800 * time.Millisecond
	writeRefreshAge = 50 * time.Millisecond
	refreshTimeout  = 200 * time.Millisecond
	// refreshPageSize is the maximum number of ledgers, or leases, that one call
	// reads.
	refreshPageSize = 500
	// countInterval is the time after which a ledger is written again to count the
	// usage that was served from the domain's pool since then.
	countInterval = 2 * time.Second
	// maxQueuedRequests bounds the requests that wait for a round.
	maxQueuedRequests = 1024
	// nonLedgerKeys is the number of keys of a transaction that are not ledgers:
	// the holding and the marker of a lease.
	nonLedgerKeys = 2
)

// Store is the part of the platform's store that a Committer needs.
type Store interface {
	turmericshed.Store
	turmericshed.Transactor
}

// Config holds the dependencies of a Committer.
type Config struct {
	// Members are the entry VMs. The Committer writes for Self's failure domain.
	Members      turmericshed.Members
	Store        Store
	StaleLedgers turmericshed.StaleLister
	// Peers reaches the witnesses; nil tells none.
	Peers tspeer.Peers
	// Link reports whether bytes wait at the local link; nil means that they never do.
	Link turmericshed.Link
	Log  *slog.Logger
}

// Committer implements tsbudget.LedgerWriter with group commits.
type Committer struct {
	cfg    Config
	self   turmericshed.Incarnation
	domain turmericshed.FailureDomain
	queue  chan *pendingRequest

	// Only roundLoop uses the fields below.

	// holdingItem is the last known stored document of the domain's holding, and
	// holding its decoded content.
	holdingItem turmericshed.Item
	holding     tsbudget.Holding
	// isHoldingUnknown is true if the last transaction got no answer, so that a later version may exist.
	isHoldingUnknown bool
	// isHoldingLoaded is true once the holding was read.
	isHoldingLoaded bool
	// maxBatchLedgers bounds the ledgers in one transaction. It is halved when
	// other writers cause too many conflicts, and grows by one with each
	// transaction.
	maxBatchLedgers int
	// lease is the newest one, and isLeaseMarked is true once its marker is in the
	// store. The next one was requested at leaseRequested and arrives through
	// granted.
	lease          lease
	isLeaseMarked  bool
	leaseRequested time.Time
	granted        chan lease
	isFailing      bool

	// ledgers are the newest known ones; ledgerSequence numbers them in the order
	// in which they were learned.
	ledgers        map[turmericshed.BudgetID]cachedLedger
	ledgerSequence uint64
	lastRefresh    time.Time
	memory         memory

	notes *notes
}

var _ tsbudget.LedgerWriter = (*Committer)(nil)

// pendingRequest is a request that waits for its round.
type pendingRequest struct {
	tsbudget.Request
	ctx   context.Context //nolint:containedctx // gather drops a request whose ctx has ended.
	done  chan struct{}
	reply tsbudget.Reply
	err   error
	// errsByBudget are the errors of single ledgers.
	errsByBudget map[turmericshed.BudgetID]error
}

// New returns a Committer that has read nothing yet.
func New(cfg Config) *Committer {
	self := cfg.Members.Self()
	return &Committer{
		cfg: cfg, self: self.Incarnation, domain: self.FailureDomain, queue: make(chan *pendingRequest, maxQueuedRequests),
		holdingItem:     turmericshed.Item{Key: tsbudget.HoldingKey(self.FailureDomain)},
		maxBatchLedgers: cfg.Store.MaxKeys() - nonLedgerKeys, ledgers: make(map[turmericshed.BudgetID]cachedLedger),
		granted: make(chan lease, 1), memory: newMemory(), notes: newNotes(),
	}
}

// Commit makes the request's changes in the next round. Errors:
// KindStoreUnavailable if the queue is full, KindStoreUnknown if ctx ends before
// the round does, or the error of the round.
func (c *Committer) Commit(ctx context.Context, r tsbudget.Request) (tsbudget.Reply, error) {
	p := &pendingRequest{Request: r, ctx: ctx, done: make(chan struct{}), errsByBudget: make(map[turmericshed.BudgetID]error)}
	select {
	case c.queue <- p:
	default:
		return tsbudget.Reply{}, turmericshed.NewError(turmericshed.KindStoreUnavailable, "too many requests wait for the ledgers")
	}
	select {
	case <-p.done:
		return p.reply, p.err
	case <-ctx.Done():
		return tsbudget.Reply{}, turmericshed.WrapError(turmericshed.KindStoreUnknown, ctx.Err(), "ledgers")
	}
}

// Controllers returns the loops to run under supervision.
func (c *Committer) Controllers() []turmericshed.Controller {
	list := []turmericshed.Controller{controller(c.roundLoop), controller(c.orphanLoop)}
	if c.cfg.Peers != nil {
		list = append(list, controller(c.witnessLoop))
	}
	return list
}

type controller func(ctx context.Context) error

// Serve runs the controller.
func (f controller) Serve(ctx context.Context) error { return f(ctx) }

// roundLoop runs rounds until ctx ends. Requests that are queued then get no
// answer.
func (c *Committer) roundLoop(ctx context.Context) error {
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-c.queue:
			list := c.gather(ctx, first, last.Add(minRoundInterval))
			last = time.Now()
			c.runRound(ctx, list)
		}
	}
}

// runRound commits a list of requests and completes each with its reply or error.
func (c *Committer) runRound(ctx context.Context, list []*pendingRequest) {
	if len(list) == 0 {
		return
	}
	began := time.Now()
	err := c.commitRequests(ctx, list)
	if (err != nil) != c.isFailing && ctx.Err() == nil {
		c.isFailing = err != nil
		if c.isFailing {
			c.cfg.Log.Warn("writing the ledgers failed, rejecting the requests", "requests", len(list), "elapsed_ms", time.Since(began).Milliseconds(), "error", err.Error())
		} else {
			c.cfg.Log.Info("writing the ledgers succeeded again", "requests", len(list), "version", uint64(c.holdingItem.Version))
		}
	}
	for _, p := range list {
		if err != nil {
			p.err = err
		} else {
			p.reply = c.buildReply(p)
		}
		close(p.done)
	}
}

// commitRequests makes the changes of the requests in as few transactions as
// succeed. Errors: that of the first transaction, after which nothing was written
// or that is unknown. An error of a later transaction is recorded for its ledgers
// only.
func (c *Committer) commitRequests(ctx context.Context, list []*pendingRequest) error {
	isLeaseAlive, err := c.aliveLeases(ctx, list)
	if err != nil {
		return err
	}
	if err := c.prepare(ctx); err != nil {
		return err
	}
	requests := make([]tsbudget.Request, 0, len(list))
	for _, p := range list {
		requests = append(requests, p.Request)
	}
	ledgers, local := tsbudget.PlanWrites(c.holding, requests, c.isCountDue)
	ledgers, later := tsbudget.ChooseLedgers(ledgers, requests, c.cfg.Store.MaxKeys()-nonLedgerKeys, func(id turmericshed.BudgetID) time.Time { return c.ledgers[id].lastWrite })
	transaction{list: list, ledgers: later}.failLedgers(errDeferred)
	ledgers = c.addUntold(ledgers, local)
	if len(ledgers) > 0 {
		c.refresh(ctx, writeRefreshAge)
	} else {
		c.refresh(ctx, refreshAge)
	}
	for isFirst := true; isFirst || len(ledgers) > 0; isFirst = false {
		n := min(len(ledgers), c.maxBatchLedgers)
		t := transaction{list: list, requests: requests, ledgers: ledgers[:n], local: local, isLeaseAlive: isLeaseAlive}
		err := c.transact(ctx, t)
		if isContention(err) && n > 1 {
			c.maxBatchLedgers = n / 2
			continue
		}
		if err != nil && isFirst {
			return err
		}
		if err != nil {
			t.failLedgers(err)
		}
		ledgers, local = ledgers[n:], nil
		c.maxBatchLedgers = min(c.maxBatchLedgers+1, c.cfg.Store.MaxKeys()-nonLedgerKeys)
	}
	return nil
}

// isCountDue reports whether the last write of a ledger by this process is at least
// countInterval ago.
func (c *Committer) isCountDue(id turmericshed.BudgetID) bool {
	return time.Since(c.ledgers[id].lastWrite) >= countInterval
}

// transaction holds the inputs of one transaction: requests are those of list;
// ledgers are written, and local budgets change only the holding.
type transaction struct {
	list         []*pendingRequest
	requests     []tsbudget.Request
	ledgers      []turmericshed.BudgetID
	local        []turmericshed.BudgetID
	isLeaseAlive func(turmericshed.LeaseID) bool
}

// errDeferred is the error of a change whose ledger is not written in this round.
// It has the kind of a conflict: the ledger was read, and the change was not made.
var errDeferred = turmericshed.NewError(turmericshed.KindConflict, "the ledger is written in a later round")

// failLedgers records that the changes of the transaction's ledgers were not made.
func (t transaction) failLedgers(err error) {
	for _, p := range t.list {
		for _, id := range t.ledgers {
			p.errsByBudget[id] = err
		}
	}
}

// prepare reads the holding if it was never read, and requests a new lease if the
// last one is not recent.
func (c *Committer) prepare(ctx context.Context) error {
	if !c.isHoldingLoaded {
		item, err := c.cfg.Store.Get(ctx, c.holdingItem.Key)
		if err != nil {
			return err
		}
		if c.holding, err = tsbudget.DecodeHolding(item); err != nil {
			return err
		}
		c.holdingItem, c.isHoldingLoaded = item, true
	}
	c.ensureLease(ctx)
	return nil
}

// transact runs one transaction and updates the caches. Errors: that of the
// transaction; those of single changes are recorded in the requests.
func (c *Committer) transact(ctx context.Context, t transaction) error {
	var batch *tsupdate.Batch
	commit := tsbudget.NewCommit(tsbudget.CommitConfig{
		Requests: t.requests, Budgets: t.ledgers, Local: t.local, LeaseAlive: t.isLeaseAlive, Decode: c.decodeHolding,
		EntryVMs: 1 + len(c.cfg.Members.Reachable()), Memory: c.remember(t.requests, func() bool { return batch.HasUnanswered() }),
	})
	changes := commit.Changes(c.cachedItem, c.holdingItem)
	if c.lease.id != "" && !c.isLeaseMarked {
		changes = append(changes, tsupdate.Change{
			Key: tsbudget.MarkerKey(c.domain, c.lease.id), Lease: c.lease.id, Mutate: func(cur turmericshed.Item) ([]byte, error) {
				if cur.Version != 0 {
					return nil, nil
				}
				return []byte("{}"), nil
			},
		})
	}
	batch = tsupdate.NewBatch(changes)
	commit.Run(batch)
	err := tsupdate.RunBatch(ctx, newPacedTransactor(c.cfg.Store, len(t.ledgers)), batch)
	if turmericshed.KindOf(err) == turmericshed.KindNotFound {
		c.lease, c.isLeaseMarked = lease{}, false
		err = turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "ledgers")
	}
	c.cacheItems(batch, t.ledgers, commit, err)
	if err != nil {
		return err
	}
	c.isLeaseMarked = c.lease.id != ""
	for i, p := range t.list {
		for _, id := range slices.Concat(t.ledgers, t.local) {
			if err := commit.Err(i, id); err != nil {
				p.errsByBudget[id] = err
			}
		}
	}
	_, err = batch.Result(len(t.ledgers))
	return err
}

// cacheItems caches the holding and the ledgers as the batch last read or wrote
// them.
func (c *Committer) cacheItems(batch *tsupdate.Batch, budgets []turmericshed.BudgetID, commit *tsbudget.Commit, err error) {
	isWritten := err == nil && batch.Pending(len(budgets)) != nil
	item := batch.Current(len(budgets))
	// The copy may be older than the holding, which is absent then.
	if before := c.holdingItem.Version; before.Era() != 0 && item.Version.Era() != before.Era() {
		c.rememberShares(!c.isHoldingUnknown && !batch.HasUnanswered())
	}
	c.isHoldingUnknown = turmericshed.KindOf(err) == turmericshed.KindStoreUnknown && batch.HasUnanswered()
	switch {
	case isWritten:
		c.holdingItem, c.holding = item, commit.Holding()
		c.holding.Era = item.Version.Era()
	case item.Version != c.holdingItem.Version:
		holding, decodeErr := tsbudget.DecodeHolding(item)
		if decodeErr != nil {
			c.cfg.Log.Error("holding in the store can't be decoded, using the last one", "version", uint64(item.Version), "error", decodeErr.Error())
			break
		}
		c.holdingItem, c.holding = item, holding
	}
	for i, id := range budgets {
		c.cacheLedger(id, batch.Current(i))
		if isWritten {
			delete(c.memory.untold, id)
		}
		if isWritten {
			cached := c.ledgers[id]
			cached.lastWrite = time.Now()
			c.ledgers[id] = cached
			c.tellWitnesses(id, cached.Item)
		}
	}
}

// decodeHolding decodes a holding, or returns the cached one for the same version.
func (c *Committer) decodeHolding(item turmericshed.Item) (tsbudget.Holding, error) {
	if item.Version == c.holdingItem.Version {
		return c.holding, nil
	}
	return tsbudget.DecodeHolding(item)
}

// buildReply returns the reply to a request after its round.
func (c *Committer) buildReply(p *pendingRequest) tsbudget.Reply {
	vm := c.holding.VMs[p.VM]
	r := tsbudget.Reply{
		CurrentIncarnation: vm.Incarnation, Lots: c.holding.CurrentLots(p.Incarnation), Errs: p.errsByBudget, Holding: c.holdingItem.Version,
	}
	if c.isLeaseMarked {
		r.Lease = c.lease.id
	}
	r.Next = c.untilTick(time.Now())
	if d := p.Declaration; d != nil && vm.Incarnation == p.Incarnation {
		r.Declared = vm.Sequence == d.Sequence && vm.Lease == d.Lease
	}
	since := p.Cursor.At
	if p.Cursor.Writer != c.self {
		since = 0
	}
	for _, cached := range c.ledgers {
		if cached.sequence > since {
			r.Ledgers = append(r.Ledgers, cached.Item)
		}
	}
	for _, ch := range p.Changes {
		if cached, ok := c.ledgers[ch.Budget]; ok && cached.sequence <= since {
			r.Ledgers = append(r.Ledgers, cached.Item)
		}
	}
	r.Pools = make(map[turmericshed.BudgetID]turmericshed.Tokens)
	for id, pool := range c.holding.Pools {
		if pool.Free > 0 && !c.holding.IsStale(id) {
			r.Pools[id] = pool.Free
		}
	}
	r.Cursor = tsbudget.Cursor{Writer: c.self, At: c.ledgerSequence}
	return r
}
