package tsbudget_test

import (
	"cmp"
	"compress/gzip"
	"encoding/csv"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
)

// recording is the recorded arrivals of a day of a deployment.
type recording struct {
	suffix string
	// firstVMs are the numbers of the first entry VM of each failure domain.
	firstVMs []int
	vms      int
	// partitions isolate every entry VM.
	partitions [][2]time.Duration
}

var recordings = []recording{
	{suffix: "9", vms: 9, firstVMs: []int{0, 4, 7}, partitions: [][2]time.Duration{span(5000, 12200), span(24000, 31500)}},
	{suffix: "82", vms: 82, firstVMs: []int{0, 19, 39, 62}, partitions: [][2]time.Duration{span(5200, 13000), span(24000, 32900)}},
	{suffix: "195", vms: 195, firstVMs: []int{0, 34, 73, 116, 155}, partitions: [][2]time.Duration{span(6000, 14000), span(24000, 31400)}},
}

func span(beginMs, endMs int) [2]time.Duration {
	return [2]time.Duration{time.Duration(beginMs) * time.Millisecond, time.Duration(endMs) * time.Millisecond}
}

// arrival is a recorded request.
type arrival struct {
	at      time.Duration
	vm      int
	account int
	// most is reserved. billed is charged; requests that were not answered in the recording are
	// charged billedFraction of most.
	most, billed turmericshed.Tokens
	// isRetry is true for the repetition of a refused request, in the recording or in a replay.
	isRetry bool
}

const (
	// billedFraction is the mean of billed/most in the recordings.
	billedFraction = 0.96
	// maxRetryDelay is the longest time between a refused request and its retry in the recordings.
	maxRetryDelay = 4 * time.Second
)

// prepaidEdit is a prepaid amount and the time from which it is in force.
type prepaidEdit struct {
	account int
	at      time.Duration
	amount  turmericshed.Tokens
}

// load returns the recording's arrivals and prepaid amounts, and false if it is not in testdata.
func (r recording) load(t *testing.T) ([]arrival, []prepaidEdit, bool) {
	t.Helper()
	f, err := os.Open("testdata/arrivals-" + r.suffix + ".csv.gz")
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil, false
	}
	assert.NilError(t, err)
	defer f.Close() //nolint:errcheck // The file is only read.
	z, err := gzip.NewReader(f)
	assert.NilError(t, err)
	var arrivals []arrival
	type request struct {
		account int
		most    turmericshed.Tokens
	}
	last := map[request]int{}
	for _, n := range readNumbers(t, csv.NewReader(z)) {
		a := arrival{at: ms(n[0]), vm: int(n[1]), account: int(n[2]), most: turmericshed.Tokens(n[3]), billed: turmericshed.Tokens(n[4])}
		key := request{a.account, a.most}
		if i, ok := last[key]; ok && arrivals[i].billed == 0 && a.at-arrivals[i].at <= maxRetryDelay {
			a.isRetry = true
		}
		last[key] = len(arrivals)
		arrivals = append(arrivals, a)
	}
	for i := range arrivals {
		if arrivals[i].billed == 0 {
			arrivals[i].billed = turmericshed.Tokens(billedFraction * float64(arrivals[i].most))
		}
	}
	arrivals = slices.DeleteFunc(arrivals, func(a arrival) bool { return a.isRetry })
	p, err := os.Open("testdata/prepaid-" + r.suffix + ".csv")
	assert.NilError(t, err)
	defer p.Close() //nolint:errcheck // The file is only read.
	var edits []prepaidEdit
	for _, n := range readNumbers(t, csv.NewReader(p)) {
		edits = append(edits, prepaidEdit{account: int(n[0]), at: ms(n[1]), amount: turmericshed.Tokens(n[2])})
	}
	slices.SortStableFunc(edits, func(a, b prepaidEdit) int { return cmp.Compare(a.at, b.at) })
	return arrivals, edits, true
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func readNumbers(t *testing.T, r *csv.Reader) [][]int64 {
	t.Helper()
	rows, err := r.ReadAll()
	assert.NilError(t, err)
	var list [][]int64
	for _, row := range rows[1:] {
		var numbers []int64
		for _, s := range row {
			n, err := strconv.ParseInt(s, 10, 64)
			assert.NilError(t, err)
			numbers = append(numbers, n)
		}
		list = append(list, numbers)
	}
	return list
}

// replay runs the recorded arrivals against the holders of a fleet, the writers of its failure
// domains and a store, in simulated time.
type replay struct {
	*domainFixture
	recording
	placement tsbudget.Placement
	// isBaseline is true for the behavior before large fleets were treated differently: no request
	// waits for returned tokens, and pools are small.
	isBaseline bool
	now        time.Duration
	holders    []*replayHolder
	domains    []*replayDomain
	ends       []runningRequest
	arrivals   []arrival
	rng        *rand.Rand
	result     replayResult
	ledgers    map[turmericshed.BudgetID]ledgerVersion
}

// replayResult is what a replay counts.
type replayResult struct {
	// partitions are the counts of each partition, calm those of the rest of the time.
	partitions []coverage
	calm       coverage
	// refusedAs counts the refusals in calm by error.
	refusedAs map[string]int
	// transactions and ledgerWrites count what the store was sent.
	transactions int
	ledgerWrites int
	// heldAtPartition is the fraction of the unspent amounts held when each partition began.
	heldAtPartition []float64
	// unspent is what is left of each account when each partition begins.
	unspent []unspentAt
	// permittedAtPartition is the same for what the ceilings permit, which is spent if all entry VMs
	// lose power at that moment.
	permittedAtPartition []float64
}

// coverage counts the requests that took place, those that got their tokens, and those among them
// that had to wait for a ceiling.
type coverage struct{ requests, covered, late, second, refusals, large, largeServed int }

func (c coverage) share() float64 { return float64(c.covered) / float64(max(c.requests, 1)) }

func (c coverage) String() string {
	return fmt.Sprintf("%d of %d (%.1f%%, %d late, then %d, %d refusals)", c.covered, c.requests, 100*c.share(), c.late, c.second, c.refusals)
}

// runningRequest is a request that ends at a time.
type runningRequest struct {
	at     time.Duration
	holder *replayHolder
	res    turmericshed.Reservation
	billed turmericshed.Tokens
}

type replayDomain struct {
	name      string
	holders   []*replayHolder
	lastRound time.Duration
	lastTick  time.Duration
	lastWrite map[turmericshed.BudgetID]time.Duration
	lease     int
}

type replayHolder struct {
	core    *tsbudget.Holder
	vm      turmericshed.EntryVM
	number  int
	domain  *replayDomain
	budgets map[turmericshed.BudgetID]*replayBudget
	// ids are the sorted keys of budgets.
	ids  []turmericshed.BudgetID
	lots int
	// sequence counts the declarations. lease was learned at learnedAt.
	sequence  int64
	lease     turmericshed.LeaseID
	learnedAt time.Duration
}

type replayBudget struct {
	profile    turmericshed.Profile
	ledger     tsbudget.Summary
	order      float64
	nextDraw   time.Duration
	reportedAt time.Duration
	queue      tsbudget.Queue[int]
	round      int
	arrivedAt  map[int]time.Duration
}

const (
	// largeRequest is the size from which requests are counted apart.
	largeRequest   = 9_000
	replayStep     = 20 * time.Millisecond
	replayWarmUp   = 6 * time.Second
	requestLength  = time.Second
	replayPause    = time.Second
	minRetryDelay  = 80 * time.Millisecond
	replayRoundGap = 100 * time.Millisecond
	// replayEmptyMaxAge is the age up to which a waiting request relies on an empty ledger.
	replayEmptyMaxAge = 500 * time.Millisecond
	// replayLimit is the time limit of a request, the shortest of the deployments.
	replayLimit = 8 * time.Second
)

var replayEpoch = time.Unix(1_000_000, 0)

func (r *replay) clock() time.Time { return replayEpoch.Add(r.now) }

func newReplay(t *testing.T, rec recording, p tsbudget.Placement) *replay {
	t.Helper()
	r := &replay{domainFixture: newDomainFixture(t), recording: rec, placement: p, ledgers: map[turmericshed.BudgetID]ledgerVersion{}, rng: rand.New(rand.NewPCG(1, 2))} //nolint:gosec // A reproducible simulation.
	r.result.partitions, r.result.refusedAs = make([]coverage, len(rec.partitions)), map[string]int{}
	for i := range rec.vms {
		if slices.Contains(rec.firstVMs, i) {
			r.domains = append(r.domains, &replayDomain{name: fmt.Sprint("d", len(r.domains)), lastWrite: map[turmericshed.BudgetID]time.Duration{}, lastRound: -time.Hour, lastTick: -time.Hour})
		}
		d := r.domains[len(r.domains)-1]
		vm := turmericshed.EntryVM{Name: fmt.Sprint("vm-", i), Incarnation: turmericshed.Incarnation(fmt.Sprint("i", i)), FailureDomain: turmericshed.FailureDomain(d.name)}
		h := &replayHolder{core: tsbudget.NewHolder(vm.Incarnation), vm: vm, number: i, domain: d, budgets: map[turmericshed.BudgetID]*replayBudget{}}
		d.holders, r.holders = append(d.holders, h), append(r.holders, h)
	}
	for _, d := range r.domains {
		var requests []tsbudget.Request
		for _, h := range d.holders {
			requests = append(requests, tsbudget.Request{VM: h.vm.Name, Incarnation: h.vm.Incarnation, Takeover: &tsbudget.Takeover{Now: replayEpoch}})
		}
		assert.NilError(t, r.commit(d.name, requests...))
	}
	return r
}

func budgetID(account int) turmericshed.BudgetID {
	return turmericshed.BudgetID(fmt.Sprint("b", account))
}

// edit puts a prepaid amount into force at all holders.
func (r *replay) edit(e prepaidEdit) {
	p := turmericshed.Profile{Name: turmericshed.ProfileName(fmt.Sprint("p", e.account)), Budget: budgetID(e.account), Prepaid: e.amount, Edge: turmericshed.PreferNoSurprise}
	for _, h := range r.holders {
		b := h.budgets[p.Budget]
		if b == nil {
			var vms []turmericshed.EntryVM
			for _, o := range h.domain.holders {
				vms = append(vms, o.vm)
			}
			b = &replayBudget{order: tsbudget.Order(p.Budget, h.vm, vms), arrivedAt: map[int]time.Duration{}, reportedAt: r.now}
			// First draws are spread over 1.5 s.
			b.nextDraw = r.now + 2*time.Second + time.Duration(r.rng.IntN(1500))*time.Millisecond
			h.budgets[p.Budget] = b
		}
		b.profile = p
	}
}

// partitioned returns the index of the partition in force, or -1.
func (r *replay) partitioned(at time.Duration) int {
	return slices.IndexFunc(r.partitions, func(p [2]time.Duration) bool { return at >= p[0] && at < p[1] })
}

func (r *replay) run(arrivals []arrival, edits []prepaidEdit) replayResult {
	r.t.Helper()
	r.now = -replayWarmUp
	next, nextEdit := 0, 0
	r.arrivals = slices.Clone(arrivals)
	end := arrivals[len(arrivals)-1].at + 2*time.Second
	wasPartitioned := false
	for ; r.now < end; r.now += replayStep {
		for nextEdit < len(edits) && (edits[nextEdit].at <= r.now || edits[nextEdit].at == 0) {
			r.edit(edits[nextEdit])
			nextEdit++
		}
		isPartitioned := r.partitioned(r.now) >= 0
		if isPartitioned && !wasPartitioned {
			r.countHeld()
		}
		wasPartitioned = isPartitioned
		r.endRequests()
		for ; next < len(r.arrivals) && r.arrivals[next].at <= r.now; next++ {
			r.arrive(next)
		}
		if isPartitioned {
			r.serveWaiting(true)
			continue
		}
		for i, d := range r.domains {
			phase := time.Second * time.Duration(i) / time.Duration(len(r.domains))
			tick := (r.now - phase + time.Hour) / time.Second
			isTick := tick > (d.lastTick-phase+time.Hour)/time.Second
			if isTick || (r.now-d.lastRound >= replayRoundGap && d.hasWaiting()) {
				if isTick {
					d.lastTick = r.now
				}
				d.lastRound = r.now
				r.roundOf(d, isTick)
			}
		}
		r.serveWaiting(false)
	}
	return r.result
}

func (d *replayDomain) hasWaiting() bool {
	return slices.ContainsFunc(d.holders, (*replayHolder).hasWaiting)
}

func (h *replayHolder) hasWaiting() bool {
	for _, b := range h.budgets {
		if b.queue.Len() > 0 {
			return true
		}
	}
	return false
}

func (r *replay) countHeld() {
	var held, unspent, permitted float64
	left := unspentAt{}
	for _, a := range r.accountIDs() {
		l, err := tsbudget.Decode(r.stored[tsbudget.Key(a)])
		assert.NilError(r.t, err)
		unspent += float64(l.Limit() - l.Spent)
		left[a] = float64(l.Undrawn())
		for _, d := range r.domains {
			left[a] += float64(r.holding(d.name).Pools[a].Free)
		}
		for _, h := range r.holders {
			v := h.core.View(r.clock(), a)
			held += float64(v.Available + v.Reserved)
			left[a] += float64(v.Available + v.Reserved)
			permitted += float64(h.core.Spendable(r.clock(), a) + v.Reserved)
		}
	}
	r.result.unspent = append(r.result.unspent, left)
	r.result.heldAtPartition = append(r.result.heldAtPartition, held/unspent)
	r.result.permittedAtPartition = append(r.result.permittedAtPartition, permitted/unspent)
}

func (r *replay) accountIDs() []turmericshed.BudgetID {
	return budgetIDs(r.holders[0])
}

func budgetIDs(h *replayHolder) []turmericshed.BudgetID {
	if len(h.ids) == len(h.budgets) {
		return h.ids
	}
	ids := make([]turmericshed.BudgetID, 0, len(h.budgets))
	for id := range h.budgets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	h.ids = ids
	return ids
}

func (r *replay) endRequests() {
	for len(r.ends) > 0 && r.ends[0].at <= r.now {
		e := r.ends[0]
		r.ends = r.ends[1:]
		e.holder.core.Settle(r.clock(), e.res, e.billed)
	}
}

// countsOf returns the counts for an arrival.
func (r *replay) countsOf(a arrival) *coverage {
	if i := r.partitioned(a.at); i >= 0 {
		return &r.result.partitions[i]
	}
	return &r.result.calm
}

func (r *replay) arrive(i int) {
	a := r.arrivals[i]
	h := r.holders[a.vm]
	b := h.budgets[budgetID(a.account)]
	if !a.isRetry {
		r.countsOf(a).requests++
		if a.most >= largeRequest {
			r.countsOf(a).large++
		}
	}
	if res, ok := h.core.Reserve(r.clock(), b.profile, turmericshed.RequestID(strconv.Itoa(i)), a.most); ok {
		r.serve(i, res, false)
		return
	}
	w := tsbudget.Waiter{Profile: b.profile, Amount: a.most, Round: b.round, Deadline: replayEpoch.Add(a.at + replayLimit)}
	b.queue.Add(i, w)
}

func (r *replay) serve(i int, res turmericshed.Reservation, late bool) {
	a := r.arrivals[i]
	c := r.countsOf(a)
	if a.most >= largeRequest {
		c.largeServed++
	}
	switch {
	case a.isRetry:
		c.second++
	case late:
		c.late++
		c.covered++
	default:
		c.covered++
	}
	r.ends = append(r.ends, runningRequest{at: r.now + requestLength, holder: r.holders[a.vm], res: res, billed: min(a.billed, a.most)})
}

// refuse counts a refusal, after which the caller tries again once, at another entry VM of the
// failure domain.
func (r *replay) refuse(w tsbudget.Refused[int]) {
	a := r.arrivals[w.Owner]
	r.countsOf(a).refusals++
	if a.isRetry {
		return
	}
	others := r.holders[a.vm].domain.holders
	vm := others[r.rng.IntN(len(others))].number
	a.at = r.now + max(turmericshed.RetryAfterOf(w.Err), minRetryDelay)
	a.vm, a.isRetry = vm, true
	i, _ := slices.BinarySearchFunc(r.arrivals, a.at+1, func(a arrival, at time.Duration) int { return cmp.Compare(a.at, at) })
	r.arrivals = slices.Insert(r.arrivals, i, a)
}

// serveWaiting grants or refuses the waiting requests.
func (r *replay) serveWaiting(isPartitioned bool) {
	for _, h := range r.holders {
		for _, id := range budgetIDs(h) {
			b := h.budgets[id]
			if b.queue.Len() == 0 {
				continue
			}
			for _, g := range b.queue.Grant(r.clock(), h.core) {
				r.serve(g.Owner, g.Reservation, r.now-r.arrivals[g.Owner].at > 400*time.Millisecond)
			}
			s := tsbudget.Situation{View: r.view(h, id), Round: b.round, PeersMissing: true}
			if isPartitioned {
				s.Round, s.StoreErr = b.round+1, errPartitioned
			}
			for _, w := range b.queue.Refuse(s) {
				h.core.CountRefused(r.clock(), id, w.Amount)
				r.refuse(w)
				if r.partitioned(r.arrivals[w.Owner].at) < 0 {
					r.result.refusedAs[fmt.Sprint(turmericshed.KindOf(w.Err))]++
				}
			}
		}
	}
}

var errPartitioned = turmericshed.NewError(turmericshed.KindStoreUnavailable, "partitioned")

func (r *replay) view(h *replayHolder, id turmericshed.BudgetID) tsbudget.View {
	b := h.budgets[id]
	v := h.core.View(r.clock(), id)
	b.queue.Fill(&v)
	v.Ledger = b.ledger
	if !b.ledger.Read {
		v.Ledger.Unspent = b.profile.Prepaid
	}
	v.Edge, v.EntryVMs, v.Order = b.profile.Edge, r.vms, b.order
	return v
}

// plan returns the holder's change of a budget, and false if there is none. soon is true for a
// change that only joins others.
func (r *replay) plan(h *replayHolder, id turmericshed.BudgetID, join bool) (tsbudget.Change, bool) {
	b := h.budgets[id]
	v := r.view(h, id)
	d := r.placement.Decide(v)
	h.core.SetAllowance(id, d.Allowance)
	waiting := v.Waiting > 0
	if d.Return {
		h.core.ReturnSurplus(id, d.Keep)
	}
	ch := tsbudget.Change{Budget: id, Profile: b.profile.Name, Urgent: waiting}
	if !b.ledger.Read || b.ledger.Limit < b.profile.Prepaid {
		ch.Prepaid = b.profile.Prepaid
	}
	age := r.now - b.reportedAt
	reportDue := d.Return || (d.Report && age >= 2*time.Second) || v.ReportDue(age)
	if d.Draw || (d.TopUp && join) {
		pause := b.nextDraw
		if waiting {
			pause = b.nextDraw - 700*time.Millisecond
		}
		isEmpty := b.ledger.Read && b.ledger.Undrawn < max(d.Min, 1) && (!waiting || r.clock().Sub(b.ledger.At) <= replayEmptyMaxAge)
		if r.now >= pause && !isEmpty {
			h.lots++
			ch.Draw = &tsbudget.DrawRequest{
				Lot: tsbudget.NewLotID(h.vm.Incarnation, strconv.Itoa(h.lots)), Holder: h.vm.Incarnation, FailureDomain: h.vm.FailureDomain,
				Want: d.Want, Min: d.Min, Share: d.Share, KeepUndrawn: d.KeepUndrawn, Rate: max(d.Rate, v.Rate), At: r.clock(),
			}
		}
		if isEmpty {
			b.nextDraw = r.now + replayPause
		}
	}
	if ch.Draw != nil || reportDue {
		ch.Reports = h.core.Reports(id, false)
	}
	return ch, ch.Draw != nil || len(ch.Reports) > 0 || (ch.Prepaid > 0 && ch.Draw != nil)
}

// needsCeilings reports whether a request of the holder waits for higher ceilings.
func (r *replay) needsCeilings(h *replayHolder) bool {
	return slices.ContainsFunc(budgetIDs(h), func(id turmericshed.BudgetID) bool {
		return h.budgets[id].queue.Len() > 0 && h.core.Spendable(r.clock(), id) < h.core.Available(id)
	})
}

// hasRound reports whether a budget of the holder has more to write than a top-up.
func (r *replay) hasRound(h *replayHolder) bool {
	return slices.ContainsFunc(budgetIDs(h), func(id turmericshed.BudgetID) bool {
		b := h.budgets[id]
		d := r.placement.Decide(r.view(h, id))
		return b.queue.Len() > 0 || d.Return || d.Report || (d.Draw && r.now >= b.nextDraw)
	})
}

// roundOf runs a round of a failure domain's writer.
func (r *replay) roundOf(d *replayDomain, isTick bool) {
	r.t.Helper()
	var requests []tsbudget.Request
	var senders []*replayHolder
	d.lease++
	for _, h := range d.holders {
		if !isTick && !h.hasWaiting() {
			continue
		}
		req := tsbudget.Request{VM: h.vm.Name, Incarnation: h.vm.Incarnation, Urgent: h.hasWaiting()}
		drawn, waiting := map[turmericshed.BudgetID]tsbudget.Lot{}, map[turmericshed.BudgetID]turmericshed.Tokens{}
		join := r.hasRound(h)
		for _, id := range budgetIDs(h) {
			b := h.budgets[id]
			if !isTick && b.queue.Len() == 0 {
				continue
			}
			b.round++
			ch, ok := r.plan(h, id, join)
			if ok {
				req.Changes = append(req.Changes, ch)
			}
			if ch.Draw != nil {
				drawn[id] = tsbudget.Lot{ID: ch.Draw.Lot, Holder: ch.Draw.Holder, Drawn: max(ch.Draw.Want, ch.Draw.Min)}
			}
			var v tsbudget.View
			b.queue.Fill(&v)
			waiting[id] = v.Waiting
		}
		if !isTick && len(req.Changes) == 0 && !r.needsCeilings(h) {
			continue
		}
		if h.lease != "" {
			h.sequence++
			list := h.core.PlanCeilings(r.clock(), 3*time.Second, waiting, drawn)
			req.Declaration = &tsbudget.Declaration{Sequence: h.sequence, Lease: h.lease, Since: replayEpoch.Add(h.learnedAt), Ceilings: list}
			h.core.Ceilings.BeginDeclaration(r.clock(), list, replayEpoch.Add(h.learnedAt+tsbudget.LeaseLength+100*time.Millisecond))
			h.core.Ceilings.ConfirmDeclaration(list)
		}
		requests, senders = append(requests, req), append(senders, h)
	}
	if len(requests) == 0 {
		return
	}
	errs := r.commitRound(d, requests)
	for i, h := range senders {
		h.lease, h.learnedAt = turmericshed.LeaseID(fmt.Sprint("l", d.lease)), r.now
		r.record(h, requests[i], errs[i])
	}
}

// commitRound writes a round's requests and returns the errors by request and budget.
func (r *replay) commitRound(d *replayDomain, requests []tsbudget.Request) []map[turmericshed.BudgetID]error {
	r.t.Helper()
	holding := r.holding(d.name)
	due := func(id turmericshed.BudgetID) bool { return r.now-d.lastWrite[id] >= 2*time.Second }
	ledgers, local := tsbudget.PlanWrites(holding, requests, due)
	ledgers, later := tsbudget.ChooseLedgers(ledgers, requests, r.MaxKeys()-2, func(id turmericshed.BudgetID) time.Time { return replayEpoch.Add(d.lastWrite[id]) })
	errs := make([]map[turmericshed.BudgetID]error, len(requests))
	for i := range errs {
		errs[i] = map[turmericshed.BudgetID]error{}
		for _, id := range later {
			errs[i][id] = errDeferredReplay
		}
	}
	for first := true; first || len(ledgers) > 0; first = false {
		n := min(len(ledgers), r.MaxKeys()-2)
		c := tsbudget.NewCommit(tsbudget.CommitConfig{
			Requests: requests, Budgets: ledgers[:n], Local: local, Decode: r.decode,
			LeaseAlive: func(turmericshed.LeaseID) bool { return true }, EntryVMs: r.commitVMs(),
		})
		b := tsupdate.NewBatch(c.Changes(func(id turmericshed.BudgetID) turmericshed.Item { return r.stored[tsbudget.Key(id)] }, r.stored[tsbudget.HoldingKey(turmericshed.FailureDomain(d.name))]))
		c.Run(b)
		r.result.transactions++
		r.result.ledgerWrites += n
		assert.NilError(r.t, tsupdate.RunBatch(r.t.Context(), transactorFunc(r.transact), b))
		r.decoded[b.Current(n).Version] = c.Holding()
		for i := range requests {
			for _, id := range slices.Concat(ledgers[:n], local) {
				if err := c.Err(i, id); err != nil {
					errs[i][id] = err
				}
			}
		}
		for _, id := range ledgers[:n] {
			d.lastWrite[id] = r.now
		}
		ledgers, local = ledgers[n:], nil
	}
	return errs
}

// commitVMs returns the size of the fleet by which pools are sized.
func (r *replay) commitVMs() int {
	if r.isBaseline {
		return 0
	}
	return r.vms
}

var errDeferredReplay = turmericshed.NewError(turmericshed.KindConflict, "later")

// cachedLedger returns a ledger, decoded once a version.
func (r *replay) cachedLedger(id turmericshed.BudgetID) (tsbudget.Ledger, bool) {
	item := r.stored[tsbudget.Key(id)]
	if c, ok := r.ledgers[id]; ok && c.version == item.Version {
		return c.ledger, true
	}
	l, err := tsbudget.Decode(item)
	if err != nil {
		return l, false
	}
	r.ledgers[id] = ledgerVersion{ledger: l, version: item.Version}
	return l, true
}

type ledgerVersion struct {
	ledger  tsbudget.Ledger
	version turmericshed.Version
}

// record applies a reply to a holder.
func (r *replay) record(h *replayHolder, req tsbudget.Request, errs map[turmericshed.BudgetID]error) {
	holding := r.holding(h.domain.name)
	for _, id := range budgetIDs(h) {
		b := h.budgets[id]
		l, ok := r.cachedLedger(id)
		if !ok {
			continue
		}
		b.ledger = tsbudget.Summarize(l.WithLots(holding.LotsOf(h.vm.Incarnation, id)), h.vm.Incarnation, r.clock())
		b.ledger.Undrawn += holding.Pools[id].Free
	}
	for _, ch := range req.Changes {
		b := h.budgets[ch.Budget]
		if errs[ch.Budget] == nil && len(ch.Reports) > 0 {
			h.core.Acknowledge(ch.Budget, ch.Reports)
			b.reportedAt = r.now
		}
		if ch.Draw == nil {
			continue
		}
		drew := false
		for _, l := range holding.LotsOf(h.vm.Incarnation, ch.Budget) {
			if l.ID == ch.Draw.Lot {
				h.core.AddLot(ch.Budget, l, "")
				drew = true
			}
		}
		if !drew {
			b.nextDraw = r.now + replayPause
		}
	}
}

// TestReplay guards against a placement that leaves tokens where no request arrives: it replays
// recorded arrivals, and compares Forecast with Bridging.
func TestReplay(t *testing.T) {
	for _, rec := range recordings {
		t.Run(rec.suffix, func(t *testing.T) {
			t.Parallel()
			arrivals, edits, ok := rec.load(t)
			if !ok {
				t.Skip("not recorded")
			}
			bridging := tsbudget.Bridging{UsualRequest: 10_000}
			var before, after replayResult
			t.Run("runs", func(t *testing.T) {
				t.Run("bridging", func(t *testing.T) {
					t.Parallel()
					r := newReplay(t, rec, bridging)
					r.isBaseline = true
					before = r.run(arrivals, edits)
				})
				t.Run("forecast", func(t *testing.T) {
					t.Parallel()
					after = newReplay(t, rec, tsbudget.Forecast{UsualRequest: 10_000, Small: bridging}).run(arrivals, edits)
				})
			})
			t.Logf("bridging: %v", before)
			t.Logf("forecast: %v", after)
			if len(before.unspent) == 0 || len(after.unspent) == 0 {
				t.Skip("one run only")
			}
			bounds := make([]float64, len(rec.partitions))
			for i, p := range rec.partitions {
				n := float64(after.partitions[i].requests)
				bounds[i] = float64(boundOfPast(rec, arrivals, after.unspent[i], p)) / n
				t.Logf("partition %d: bounds %.1f%% with the past known, %.1f%% with the future known", i, 100*bounds[i],
					100*float64(boundOfFuture(arrivals, after.unspent[i], p))/n)
			}
			if rec.vms < 40 {
				assert.Assert(t, slices.Equal(before.partitions, after.partitions))
				return
			}
			for i, c := range after.partitions {
				assert.Assert(t, c.share() > before.partitions[i].share()+0.1, "partition %d: %v, with bridging %v", i, c, before.partitions[i])
			}
			for i, c := range after.partitions {
				assert.Assert(t, c.share() > bounds[i]-0.1, "partition %d: %v, %.1f%% with the past known", i, c, 100*bounds[i])
			}
			assert.Assert(t, after.transactions <= before.transactions)
			assert.Assert(t, after.ledgerWrites <= before.ledgerWrites)
			assert.Assert(t, after.calm.refusals <= before.calm.refusals)
		})
	}
}

func (r replayResult) String() string {
	return fmt.Sprintf("partitions %v, calm %v, %.2f of the unspent amounts held, %.2f permitted, refused in calm %v, %d transactions with %d ledgers",
		r.partitions, r.calm, r.heldAtPartition, r.permittedAtPartition, r.refusedAs, r.transactions, r.ledgerWrites)
}
