// Package tsholder spends prepaid budgets at one entry VM: it draws lots from the ledgers in the
// platform's key-value store ahead of demand, reserves and settles tokens in memory, borrows tokens
// from peers and lends them, reports usage, and returns all unspent tokens at a graceful stop.
//
// The decisions are made in core/tsbudget; this package has the clock, the calls of the store and
// the calls between peers. A round is one pass over one budget: decide, borrow or draw, report,
// then grant or refuse the waiting requests. A budget has at most one round at a time.
//
// # Usage
//
//	h := tsholder.New(tsholder.Config{Self: vm, Store: store, Members: fleet, Peers: transport})
//	for _, c := range h.Controllers() {
//		supervisor.Add(c)
//	}
//	server.Mount(h.Handler())
//	res, err := h.Reserve(ctx, profile, requestID, worstCase)
//	h.Settle(res, used)
//	err = h.Drain(ctx)
//
// Operators' edits are made with [PutProfile], by any process.
package tsholder

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"turmericshed/io/tspeer"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

const (
	// scanInterval is the time between scans of the held budgets.
	scanInterval = time.Second
	// waitingRoundInterval is the time between rounds while requests wait.
	waitingRoundInterval = 250 * time.Millisecond
	// forgetAfterIdle is the idle time after which a budget without held tokens is dropped from
	// memory.
	forgetAfterIdle = time.Minute
	// storeTimeout is the timeout of one change of a ledger.
	storeTimeout = 3 * time.Second
	// peerTimeout is the timeout of one call to a peer.
	peerTimeout = time.Second
	// exhaustedPause is the time between draws from a ledger with nothing left to draw.
	exhaustedPause = time.Second
	// outagePause is the time between the rounds that refused requests schedule while the store does not
	// answer, and waitingPause the time between draws while requests wait for a ledger with nothing left
	// to draw.
	outagePause  = 500 * time.Millisecond
	waitingPause = 300 * time.Millisecond
	// minReportInterval is the least time between the usage reports that a placement requests while
	// a ledger has nothing left to draw.
	minReportInterval = 2 * time.Second
	// emptyLedgerMaxAge is the age up to which waiting requests rely on a cached ledger with
	// nothing left to draw; after that it is read again. notifiedEmptyLedgerMaxAge is the same for
	// the age of the last reply of a ledger writer, which reports all changes of ledgers.
	emptyLedgerMaxAge         = 500 * time.Millisecond
	notifiedEmptyLedgerMaxAge = 1200 * time.Millisecond
	// finalRepayAttempts is the number of failed reports after which a stopping holder abandons a
	// lender.
	finalRepayAttempts = 8
	// roundWorkers is the maximum number of concurrent rounds.
	roundWorkers = 16
	// defaultWritesPerSecond limits the rate of writes that no request waits for.
	defaultWritesPerSecond = 4
	// writeBurst is the burst size of that limit.
	writeBurst = 16
	// closeLotAfterGone is how long the holder of a lot must be gone before the lot is closed.
	// closeLotUnknownHolderAge is the age at which a lot is closed if the members have no record of
	// its holder.
	closeLotAfterGone        = 2 * time.Minute
	closeLotUnknownHolderAge = time.Hour
	// recentFleetAge is how long the largest size of the fleet is remembered. It is longer than a
	// partition, in which an entry VM sees no other one.
	recentFleetAge = 2 * time.Minute
)

// Config holds the dependencies and settings of a holder.
type Config struct {
	Self     turmericshed.EntryVM
	Store    turmericshed.Store
	Members  turmericshed.Members
	Recorder turmericshed.Recorder
	// Peers may be nil; then nothing is borrowed.
	Peers tspeer.Peers
	// Profiles provides edits of profiles whose budgets are held. It may be nil; then an edit takes
	// effect with the next request.
	Profiles turmericshed.Profiles
	// Placement defaults to tsbudget.ByDemand.
	Placement tsbudget.Placement
	// Reconciler aligns ledgers with their profiles; nil means EditedProfiles.
	Reconciler Reconciler
	// Writer, if set, writes the ledgers of all budgets together and stores the local lots in a
	// separate document. It also publishes the ceilings of the lots, so that the next process on
	// the same machine can return what is above them. Nothing is borrowed then.
	Writer tsbudget.LedgerWriter
	// Link reports whether bytes wait at the local link; nil means that they never do.
	Link turmericshed.Link
	// Metrics, if set, gets the metrics of the holder.
	Metrics prometheus.Registerer
	// WritesPerSecond limits the rate of store writes that no request waits for; 0 means the
	// default.
	WritesPerSecond float64
	// NewID generates identifiers; nil means turmericshed.NewID.
	NewID func(prefix string) string
}

// Holder implements turmericshed.Budgets.
type Holder struct {
	cfg     Config
	limiter *rate.Limiter
	work    chan turmericshed.BudgetID
	// writeRequested signals the exchanger to write without waiting for its interval.
	writeRequested chan struct{}
	exchanger      *exchanger
	refusals       *prometheus.CounterVec
	// forgottenTokens counts the tokens of lots that a restored store had forgotten.
	forgottenTokens prometheus.Counter

	mu       sync.Mutex
	core     *tsbudget.Holder
	budgets  map[turmericshed.BudgetID]*budget
	draining bool
	// lenderAddrs has the addresses of the incarnations that this holder borrowed from.
	lenderAddrs map[turmericshed.Incarnation]netip.AddrPort
	// unansweredRepays counts, per lender, the final reports that the lender did not answer.
	unansweredRepays map[turmericshed.Incarnation]int
	// goneSince is when a lot's holder was first found to be gone.
	goneSince map[turmericshed.Incarnation]time.Time
	fleet     fleet
	// lotSequence is the number in the id of the last lot requested from a Writer.
	lotSequence int
	// writtenAt is when the exchanger last wrote, notifiedAt when the ledger writer last reported
	// which ledgers changed.
	writtenAt  time.Time
	notifiedAt time.Time
}

var _ turmericshed.Budgets = (*Holder)(nil)

// budget is the holder's state of one budget.
type budget struct {
	id      turmericshed.BudgetID
	profile turmericshed.Profile
	queue   tsbudget.Queue[*waiter]
	ledger  tsbudget.Summary
	// lots are the open lots of the ledger as last read.
	lots []tsbudget.Lot

	// A queued budget waits for a round, a running one has a round in progress. rerun requests
	// another round after it.
	queued  bool
	running bool
	rerun   bool
	// roundDone, if set, is closed at the end of the next round.
	roundDone chan struct{}

	storeErr error
	// item is the ledger as last read or written; zero if the outcome of the last write is unknown.
	item turmericshed.Item
	// ledgerVersion is the store's version of the ledger that was last summarized.
	ledgerVersion turmericshed.Version
	// lastItem is the ledger as last read, and stateBefore what it told last before the store came back
	// from an older copy, which was noticed at restoredAt.
	lastItem    turmericshed.Item
	stateBefore tsbudget.LedgerState
	restoredAt  time.Time
	// reclaimable is the amount that other holders may still enter again since then.
	reclaimable turmericshed.Tokens
	// starved is true if requests were still waiting after the last round.
	starved bool
	// roundsStarted counts the rounds. lastEndedRound is the number of the last round that ended.
	roundsStarted  int
	lastEndedRound int
	peersMissing   bool
	nextDraw       time.Time
	// nextOutageRound is when the next request that is refused because of the store schedules a round.
	nextOutageRound time.Time
	reportedAt      time.Time
	closed          bool
	// peerDemand is the amount that a peer requested to borrow and that was not available.
	peerDemand turmericshed.Tokens

	// home is the entry VM that holds the budget for this failure domain while demand is low, as
	// computed for the fleet generation homeGeneration.
	home           turmericshed.EntryVM
	homeGeneration int
	// order is the place of this entry VM for the budget, computed at the same time.
	order float64

	// pendingDraw and pendingLoan are requests whose answer was lost. They are repeated with the
	// same id until the outcome is known.
	pendingDraw *unansweredDraw
	pendingLoan *unansweredLoan
}

// unansweredDraw is a draw with an unknown outcome, or one about to be sent.
type unansweredDraw struct {
	tsbudget.DrawRequest
	// seenVersion is the newest version of the ledger read before the last write.
	seenVersion turmericshed.Version
}

// unansweredLoan is the same for a loan.
type unansweredLoan struct {
	tsbudget.LoanRequest
	lender turmericshed.EntryVM
}

// waiter is a request that waits in Reserve. res and err are set before done is closed.
type waiter struct {
	done chan struct{}
	res  turmericshed.Reservation
	err  error
}

// New returns a holder without lots.
func New(cfg Config) *Holder {
	if cfg.Recorder == nil {
		cfg.Recorder = turmericshed.NopRecorder{}
	}
	if cfg.Placement == nil {
		cfg.Placement = tsbudget.ByDemand{}
	}
	if cfg.Reconciler == nil {
		cfg.Reconciler = EditedProfiles{}
	}
	if cfg.WritesPerSecond <= 0 {
		cfg.WritesPerSecond = defaultWritesPerSecond
	}
	if cfg.NewID == nil {
		cfg.NewID = turmericshed.NewID
	}
	h := &Holder{
		refusals: newRefusalCounter(),
		forgottenTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "turmericshed_forgotten_tokens_total", Help: "Tokens in lots that were entered again since the store came back from a copy without them.",
		}),
		writeRequested:   make(chan struct{}, 1),
		cfg:              cfg,
		limiter:          rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), writeBurst),
		work:             make(chan turmericshed.BudgetID, 1<<16),
		core:             tsbudget.NewHolder(cfg.Self.Incarnation),
		budgets:          make(map[turmericshed.BudgetID]*budget),
		lenderAddrs:      make(map[turmericshed.Incarnation]netip.AddrPort),
		unansweredRepays: map[turmericshed.Incarnation]int{},
		goneSince:        make(map[turmericshed.Incarnation]time.Time),
	}
	h.exchanger = newExchanger(h)
	h.registerMetrics()
	return h
}

// Reserve reserves n tokens, the worst case of a request. It waits within the deadline of ctx where
// the profile's edge preference allows it. Errors: KindBudgetExhausted, KindBudgetUnavailable,
// KindUnknownProfile for a closed profile, KindDraining, KindCanceled, KindDeadline.
func (h *Holder) Reserve(ctx context.Context, p turmericshed.Profile, request turmericshed.RequestID, n turmericshed.Tokens) (turmericshed.Reservation, error) {
	w, res, err := h.reserveOrWait(ctx, p, request, n)
	if w == nil {
		return res, err
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		h.mu.Lock()
		waited := h.budgets[p.Budget].queue.Remove(w)
		h.mu.Unlock()
		if waited {
			return turmericshed.Reservation{}, contextError(ctx)
		}
		<-w.done
	}
	return w.res, w.err
}

// Track starts tracking a profile's budget before its first request, so that tokens are already
// available when that request arrives.
func (h *Holder) Track(p turmericshed.Profile) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.draining {
		h.scheduleRoundLocked(h.ensureBudgetLocked(p))
	}
}

// reserveOrWait makes a reservation at once, or queues the request and returns its waiter.
func (h *Holder) reserveOrWait(ctx context.Context, p turmericshed.Profile, request turmericshed.RequestID, n turmericshed.Tokens) (*waiter, turmericshed.Reservation, error) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var none turmericshed.Reservation
	if h.draining {
		return nil, none, turmericshed.NewError(turmericshed.KindDraining, "this entry VM is stopping")
	}
	b := h.ensureBudgetLocked(p)
	if b.closed || p.Closed {
		return nil, none, turmericshed.NewError(turmericshed.KindUnknownProfile, "profile %s is closed", p.Name)
	}
	// Waiting requests go first: they are granted as soon as tokens become available, so a new
	// request takes only what fits none of them.
	if res, ok := h.core.Reserve(now, p, request, n); ok {
		h.scheduleRoundIfLowLocked(now, b)
		return nil, res, nil
	}
	if ctx.Err() != nil {
		return nil, none, contextError(ctx)
	}
	if b.ledger.Read && b.ledger.Limit >= p.Prepaid && b.unspent(now) < n && h.cfg.Writer != nil {
		// Even if the cached ledger is stale, no more than this can be left.
		err := tsbudget.Exhausted(p.Name, b.unspent(now), n)
		h.countRefusalLocked(b, err)
		return nil, none, err
	}
	if b.storeErr != nil && p.Edge == turmericshed.PreferNoSurprise && h.core.Available(b.id) < n {
		// The store is unavailable. A round retries it from time to time; this request does not
		// wait for that.
		if now.After(b.nextOutageRound) {
			b.nextOutageRound = now.Add(outagePause)
			h.scheduleRoundLocked(b)
		}
		h.core.CountRefused(now, b.id, n)
		err := tsbudget.Unavailable(p.Name)
		h.countRefusalLocked(b, err)
		return nil, none, err
	}
	w := &waiter{done: make(chan struct{})}
	deadline, _ := ctx.Deadline()
	b.queue.Add(w, tsbudget.Waiter{Profile: p, Request: request, Amount: n, Round: b.roundsStarted, Deadline: deadline})
	if h.core.Available(b.id) >= n {
		// Only the ceilings block the request.
		h.requestWrite()
		return w, none, nil
	}
	h.scheduleRoundLocked(b)
	return w, none, nil
}

func contextError(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded { //nolint:errorlint // ctx.Err returns the value itself.
		return turmericshed.NewError(turmericshed.KindDeadline, "deadline passed while waiting for tokens")
	}
	return turmericshed.NewError(turmericshed.KindCanceled, "canceled while waiting for tokens")
}

// ensureBudgetLocked returns the state of a profile's budget, which it creates if necessary, and
// stores the profile if it is newer.
func (h *Holder) ensureBudgetLocked(p turmericshed.Profile) *budget {
	b := h.budgets[p.Budget]
	if b == nil {
		b = &budget{id: p.Budget, profile: p, reportedAt: time.Now()}
		h.budgets[p.Budget] = b
	}
	if p.Version > b.profile.Version {
		if p.Prepaid != b.profile.Prepaid {
			b.nextDraw = time.Time{}
		}
		b.profile = p
	}
	return b
}

// Settle replaces a reservation by the actual usage, once. It asserts that used is at most the
// reserved amount.
func (h *Holder) Settle(res turmericshed.Reservation, used turmericshed.Tokens) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.Settle(now, res, used)
	h.cfg.Recorder.Record(turmericshed.Event{
		Name: turmericshed.EventReservationSettled, Request: res.Request, Profile: res.Profile, Lot: res.Lot, Tokens: used, Reason: res.ID,
	})
	if b := h.budgets[res.Budget]; b != nil {
		h.grantLocked(now, b)
	}
}

// Suspend keeps the reserved amount charged until Settle.
func (h *Holder) Suspend(res turmericshed.Reservation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.Suspend(res)
}

// grantLocked grants the waiting requests whose amount is available now, in order of arrival.
func (h *Holder) grantLocked(now time.Time, b *budget) {
	for _, g := range b.queue.Grant(now, h.core) {
		g.Owner.res = g.Reservation
		close(g.Owner.done)
	}
}

// refuseLocked refuses the waiting requests for which no tokens can be expected.
func (h *Holder) refuseLocked(now time.Time, b *budget) {
	s := tsbudget.Situation{
		View: h.viewLocked(now, b), StoreErr: b.storeErr, Round: b.lastEndedRound, PeersMissing: b.peersMissing, Closed: b.closed,
	}
	for _, r := range b.queue.Refuse(s) {
		h.core.CountRefused(now, b.id, r.Amount)
		h.countRefusalLocked(b, r.Err)
		r.Owner.err = r.Err
		close(r.Owner.done)
	}
}

// viewLocked returns the input of a placement's decision.
func (h *Holder) viewLocked(now time.Time, b *budget) tsbudget.View {
	v := h.core.View(now, b.id)
	b.queue.Fill(&v)
	v.Waiting += b.peerDemand
	v.Needed = max(v.Needed, b.peerDemand)
	v.Ledger, v.Starved = b.ledger, b.starved
	v.Ledger.Undrawn, v.Ledger.Unspent = h.drawableAmountLocked(b), b.unspent(now)
	if h.cfg.Writer != nil && !b.ledger.Read {
		// The first draw does not have to wait until the ledger is read: the writer limits it to a
		// share of the undrawn amount.
		v.Ledger.Unspent = b.profile.Prepaid
	}
	v.Edge, v.Bridge = b.profile.Edge, time.Duration(b.profile.PartitionTolerance)
	h.refreshFleetLocked(now)
	v.EntryVMs, v.RecentEntryVMs, v.Unreachable = h.fleet.size, h.fleet.recentSize, b.storeErr != nil
	if b.homeGeneration != h.fleet.generation {
		b.home, _ = tsbudget.Home(b.id, h.fleet.domainVMs)
		b.order = tsbudget.Order(b.id, h.cfg.Self, h.fleet.domainVMs)
		b.homeGeneration = h.fleet.generation
	}
	v.Order = b.order
	v.Home = b.home.Incarnation == h.cfg.Self.Incarnation
	return v
}

// fleet is a cached view of the reachable entry VMs.
type fleet struct {
	readAt time.Time
	// generation increases with each refresh.
	generation int
	size       int
	// recentSize is the largest size since recentAt, which is at most recentFleetAge ago.
	recentSize int
	recentAt   time.Time
	// domainVMs are the entry VMs of this failure domain, including this one.
	domainVMs []turmericshed.EntryVM
}

// refreshFleetLocked reads the members again if the cached view is older than the scan interval.
func (h *Holder) refreshFleetLocked(now time.Time) {
	if h.fleet.generation > 0 && now.Sub(h.fleet.readAt) < scanInterval {
		return
	}
	f := fleet{readAt: now, generation: h.fleet.generation + 1, size: 1, domainVMs: []turmericshed.EntryVM{h.cfg.Self}}
	for _, vm := range h.cfg.Members.Reachable() {
		f.size++
		if vm.FailureDomain == h.cfg.Self.FailureDomain {
			f.domainVMs = append(f.domainVMs, vm)
		}
	}
	f.recentSize, f.recentAt = h.fleet.recentSize, h.fleet.recentAt
	if f.size >= f.recentSize || now.Sub(f.recentAt) > recentFleetAge {
		f.recentSize, f.recentAt = f.size, now
	}
	h.fleet = f
}
