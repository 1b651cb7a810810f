// Package tscommit writes the ledgers of all budgets for the entry VMs of a
// failure domain, many requests in one transaction (group commit). Any entry VM
// can do it for the others, and several at once only get in each other's way:
// what is agreed stands in the store, under conditions. So who does it is a
// hint, see [Client].
//
// # Usage
//
//	c := tscommit.New(tscommit.Config{Members: members, Store: store, Ledgers: store, Log: log})
//	for _, loop := range c.Controllers() {
//		supervisor.Add(loop)
//	}
//	server.Mount(c.Handler())
//
//	w := tscommit.NewClient(tscommit.ClientConfig{Members: members, Peers: peers, Local: c, Log: log})
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
)

const (
	// urgentGatherWindow is the time in which requests join an urgent one, joinPause
	// the time in which one that is not urgent waits for others, and
	// roundSpacing the least time between two rounds. Every call to the store
	// is paid for, with one request in it or with forty.
	urgentGatherWindow = 15 * time.Millisecond
	normalGatherWindow = 150 * time.Millisecond
	minRoundInterval   = 100 * time.Millisecond
	// tickInterval is the time between the rounds that holders make their
	// requests for when nobody waits, and beatMargin the least time that they
	// are told to wait.
	tickInterval = time.Second
	minTickWait  = 400 * time.Millisecond
	// leaseInterval is the time between leases while there are requests, a
	// little less than a beat, and leaseTimeout what a round waits for one.
	// maxLeaseAge is the age from which one is not told any more, and
	// firstLeaseTimeout what a round without any waits.
	leaseInterval  = 900 * time.Millisecond
	leaseWait      = 50 * time.Millisecond
	maxLeaseAge    = 2 * time.Second
	firstLeaseWait = 400 * time.Millisecond
	// refreshAge is the age of the last late reading of all ledgers from which
	// a round reads them again, and writeRefreshAge the same before some are
	// written: a reading costs a tenth of a conflict. refreshTimeout bounds it.
	refreshAge      = 800 * time.Millisecond
	writeRefreshAge = 50 * time.Millisecond
	refreshTimeout  = 200 * time.Millisecond
	// refreshPageSize is the most ledgers, or leases, read in one call.
	refreshPageSize = 500
	// countInterval is the time after which a ledger that is drawn on within
	// the domain counts again what was used.
	countInterval = 2 * time.Second
	// maxQueuedRequests bounds the requests that wait for a round.
	maxQueuedRequests = 1024
	// nonLedgerKeys are the keys of a transaction that are not ledgers: the
	// holding and the mark of a lease.
	nonLedgerKeys = 2
)

// Store is what a Committer needs of the platform's store.
type Store interface {
	turmericshed.Store
	turmericshed.Transactor
}

// Config holds what a Committer needs.
type Config struct {
	// Members are the entry VMs, of which Self writes for its failure domain.
	Members turmericshed.Members
	Store   Store
	Ledgers turmericshed.StaleLister
	Log     *slog.Logger
}

// Committer implements tsbudget.LedgerWriter.
type Committer struct {
	cfg    Config
	self   turmericshed.Incarnation
	domain turmericshed.FailureDomain
	queue  chan *pendingRequest

	// The rest is the loop's own.

	// holdingItem is the document as last known, and decoded what is in it.
	holdingItem turmericshed.Item
	holding     tsbudget.Holding
	// isHoldingLoaded is false before the holding was first read.
	isHoldingLoaded bool
	// maxBatchLedgers is how many ledgers one transaction may have; halved when many
	// others write them too.
	maxBatchLedgers int
	// lease is the newest one; its mark stands once marked is true. The next
	// one is asked for at asked, and comes through granted.
	lease          lease
	isLeaseMarked  bool
	leaseRequested time.Time
	granted        chan lease
	isFailing      bool

	// ledgers are the newest ones known, in the order in which they came.
	ledgers        map[turmericshed.BudgetID]cachedLedger
	ledgerSequence uint64
	lastRefresh    time.Time
}

var _ tsbudget.LedgerWriter = (*Committer)(nil)

// pendingRequest is a request that waits for its round.
type pendingRequest struct {
	tsbudget.Request
	ctx   context.Context //nolint:containedctx // A request that nobody waits for any more is dropped.
	done  chan struct{}
	reply tsbudget.Reply
	err   error
	// errsByBudget are by budget.
	errsByBudget map[turmericshed.BudgetID]error
}

// New returns a Committer that has read nothing.
func New(cfg Config) *Committer {
	self := cfg.Members.Self()
	return &Committer{
		cfg: cfg, self: self.Incarnation, domain: self.FailureDomain, queue: make(chan *pendingRequest, maxQueuedRequests),
		holdingItem:     turmericshed.Item{Key: tsbudget.HoldingKey(self.FailureDomain)},
		maxBatchLedgers: cfg.Store.MaxKeys() - nonLedgerKeys, ledgers: make(map[turmericshed.BudgetID]cachedLedger),
		granted: make(chan lease, 1),
	}
}

// Commit makes the request's changes with the next round.
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

// Controllers returns the loops to be supervised.
func (c *Committer) Controllers() []turmericshed.Controller {
	return []turmericshed.Controller{controller(c.roundLoop), controller(c.orphanLoop)}
}

type controller func(ctx context.Context) error

// Serve runs the controller.
func (f controller) Serve(ctx context.Context) error { return f(ctx) }

// roundLoop makes rounds until ctx ends. Requests that wait then get no answer.
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

// runRound serves some requests.
func (c *Committer) runRound(ctx context.Context, list []*pendingRequest) {
	if len(list) == 0 {
		return
	}
	began := time.Now()
	err := c.commitRequests(ctx, list)
	if (err != nil) != c.isFailing && ctx.Err() == nil {
		c.isFailing = err != nil
		if c.isFailing {
			c.cfg.Log.Warn("ledgers not written", "requests", len(list), "elapsed_ms", time.Since(began).Milliseconds(), "error", err.Error())
		} else {
			c.cfg.Log.Info("ledgers written again", "requests", len(list), "version", uint64(c.holdingItem.Version))
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

// commitRequests makes the changes of the requests, in as few transactions as get
// through. Errors: that of the first one; nothing was written then, or nobody
// knows. Those of later ones are the changes'.
func (c *Committer) commitRequests(ctx context.Context, list []*pendingRequest) error {
	alive, err := c.aliveLeases(ctx, list)
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
	ledgers, local := tsbudget.Plan(c.holding, requests, c.isCountDue)
	ledgers, later := tsbudget.Choose(ledgers, requests, c.cfg.Store.MaxKeys()-nonLedgerKeys, func(id turmericshed.BudgetID) time.Time { return c.ledgers[id].lastWrite })
	transaction{list: list, ledgers: later}.failLedgers(errDeferred)
	if len(ledgers) > 0 {
		c.refresh(ctx, writeRefreshAge)
	} else {
		c.refresh(ctx, refreshAge)
	}
	for first := true; first || len(ledgers) > 0; first = false {
		n := min(len(ledgers), c.maxBatchLedgers)
		t := transaction{list: list, requests: requests, ledgers: ledgers[:n], local: local, isLeaseAlive: alive}
		err := c.transact(ctx, t)
		if isContention(err) && n > 1 {
			c.maxBatchLedgers = n / 2
			continue
		}
		if err != nil && first {
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

// isCountDue reports whether a ledger has not been written for a while.
func (c *Committer) isCountDue(id turmericshed.BudgetID) bool {
	return time.Since(c.ledgers[id].lastWrite) >= countInterval
}

// transaction is what one transaction makes of the requests.
type transaction struct {
	list         []*pendingRequest
	requests     []tsbudget.Request
	ledgers      []turmericshed.BudgetID
	local        []turmericshed.BudgetID
	isLeaseAlive func(turmericshed.LeaseID) bool
}

// errDeferred is why a change of a ledger is not made in this round. It is told
// like a conflict: the ledger was read, and nothing of the change stands.
var errDeferred = turmericshed.NewError(turmericshed.KindConflict, "the ledger is written in a later round")

// failLedgers tells the requests that changes of some ledgers were not made.
func (t transaction) failLedgers(err error) {
	for _, p := range t.list {
		for _, id := range t.ledgers {
			p.errsByBudget[id] = err
		}
	}
}

// prepare reads the holding, once, and takes a lease when the last one is not
// fresh.
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

// transact makes one transaction.
func (c *Committer) transact(ctx context.Context, t transaction) error {
	commit := tsbudget.NewCommit(tsbudget.CommitConfig{
		Requests: t.requests, Budgets: t.ledgers, Local: t.local, LeaseAlive: t.isLeaseAlive, Decode: c.decodeHolding,
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
	batch := tsupdate.NewBatch(changes)
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

// cacheItems remembers the items as the store told them.
func (c *Committer) cacheItems(batch *tsupdate.Batch, budgets []turmericshed.BudgetID, commit *tsbudget.Commit, err error) {
	wrote := err == nil && batch.Pending(len(budgets)) != nil
	item := batch.Current(len(budgets))
	switch {
	case wrote:
		c.holdingItem, c.holding = item, commit.Holding()
	case item.Version != c.holdingItem.Version:
		decoded, decodeErr := tsbudget.DecodeHolding(item)
		if decodeErr != nil {
			c.cfg.Log.Error("holding not read", "version", uint64(item.Version), "error", decodeErr.Error())
			break
		}
		c.holdingItem, c.holding = item, decoded
	}
	for i, id := range budgets {
		c.cacheLedger(id, batch.Current(i))
		if wrote {
			n := c.ledgers[id]
			n.lastWrite = time.Now()
			c.ledgers[id] = n
		}
	}
}

// decodeHolding reads a holding, or returns what is known of it.
func (c *Committer) decodeHolding(item turmericshed.Item) (tsbudget.Holding, error) {
	if item.Version == c.holdingItem.Version {
		return c.holding, nil
	}
	return tsbudget.DecodeHolding(item)
}

// buildReply returns what a request is told.
func (c *Committer) buildReply(p *pendingRequest) tsbudget.Reply {
	vm := c.holding.VMs[p.VM]
	r := tsbudget.Reply{Standing: vm.Incarnation, Lots: c.holding.Of(p.Incarnation), Errs: p.errsByBudget}
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
	for _, n := range c.ledgers {
		if n.sequence > since {
			r.Ledgers = append(r.Ledgers, n.Item)
		}
	}
	for _, ch := range p.Changes {
		if n, ok := c.ledgers[ch.Budget]; ok && n.sequence <= since {
			r.Ledgers = append(r.Ledgers, n.Item)
		}
	}
	r.Pools = make(map[turmericshed.BudgetID]turmericshed.Tokens)
	for id, pool := range c.holding.Pools {
		if pool.Free > 0 {
			r.Pools[id] = pool.Free
		}
	}
	r.Cursor = tsbudget.Cursor{Writer: c.self, At: c.ledgerSequence}
	return r
}
