package tsbudget

import (
	"slices"

	"turmericshed"
	"turmericshed/core/tsupdate"
)

// Commit makes some of the changes of several holders in one transaction: of
// some ledgers and of the holding. It is pure; a tsupdate.Batch drives it.
//
// A request of a process that does not stand for its entry VM changes nothing.
// Whether it does is decided on the holding that the transaction replaces, so
// that a request which comes late, from a process that is gone, is harmless.
type Commit struct {
	requests      []Request
	ledgerBudgets []turmericshed.BudgetID
	localBudgets  []turmericshed.BudgetID
	leaseAlive    func(l turmericshed.LeaseID) bool
	decode        func(item turmericshed.Item) (Holding, error)
	// currentItem returns the holding's item that the attempt being made replaces.
	currentItem func() turmericshed.Item

	// current, shares and errs are of the attempt being made; errs are by request
	// and budget.
	current Holding
	// decodeErr is why the holding can't be read.
	decodeErr error
	shares    map[turmericshed.BudgetID]domainShare
	errs      []map[turmericshed.BudgetID]error
	next      Holding
}

// CommitConfig holds what a Commit needs.
type CommitConfig struct {
	Requests []Request
	// Budgets are those whose ledgers this transaction writes, Local those that
	// it changes within the domain's share, see Plan.
	Budgets []turmericshed.BudgetID
	Local   []turmericshed.BudgetID
	// LeaseAlive reports whether a lease was seen alive after all requests
	// with a Takeover had come.
	LeaseAlive func(l turmericshed.LeaseID) bool
	// Decode reads a holding; it may remember the last one.
	Decode func(item turmericshed.Item) (Holding, error)
}

// NewCommit prepares a transaction.
func NewCommit(cfg CommitConfig) *Commit {
	return &Commit{requests: cfg.Requests, ledgerBudgets: cfg.Budgets, localBudgets: cfg.Local, leaseAlive: cfg.LeaseAlive, decode: cfg.Decode}
}

// Changes returns the transaction's changes: the ledgers in the order of the
// budgets, then the holding. cached are the items as last known.
func (c *Commit) Changes(cached func(id turmericshed.BudgetID) turmericshed.Item, holding turmericshed.Item) []tsupdate.Change {
	var list []tsupdate.Change
	for i, id := range c.ledgerBudgets {
		list = append(list, tsupdate.Change{Key: Key(id), Cached: cached(id), Mutate: func(cur turmericshed.Item) ([]byte, error) {
			if i == 0 {
				c.begin()
			}
			return c.mutateLedger(id, cur)
		}})
	}
	return append(list, tsupdate.Change{Key: holding.Key, Cached: holding, Mutate: func(cur turmericshed.Item) ([]byte, error) {
		if len(c.ledgerBudgets) == 0 {
			c.begin()
		}
		return c.mutateHolding()
	}})
}

// Run tells the Commit of the batch that has its Changes.
func (c *Commit) Run(b *tsupdate.Batch) {
	c.currentItem = func() turmericshed.Item { return b.Current(len(c.ledgerBudgets)) }
}

// Holding returns the holding after the last attempt.
func (c *Commit) Holding() Holding { return c.next }

// Err returns why a change of a request was not made in the last attempt.
func (c *Commit) Err(request int, id turmericshed.BudgetID) error { return c.errs[request][id] }

// begin starts an attempt.
func (c *Commit) begin() {
	c.current, c.decodeErr = c.decode(c.currentItem())
	c.next = c.current.clone()
	c.shares = make(map[turmericshed.BudgetID]domainShare)
	c.errs = make([]map[turmericshed.BudgetID]error, len(c.requests))
	for i := range c.errs {
		c.errs[i] = make(map[turmericshed.BudgetID]error)
	}
}

// CheckIncarnation returns nil for a request of the process that stands for its entry
// VM, or may take it over. Errors: KindConflict.
func (h Holding) CheckIncarnation(r Request) error {
	vm, ok := h.VMs[r.VM]
	switch {
	case ok && vm.Incarnation == r.Incarnation, r.Takeover != nil && (!ok || vm.Incarnation == r.Takeover.From):
		return nil
	case !ok:
		return turmericshed.NewError(turmericshed.KindConflict, "no process stands for entry VM %s", r.VM)
	default:
		return turmericshed.NewError(turmericshed.KindConflict, "process %s stands for entry VM %s", vm.Incarnation, r.VM)
	}
}

// mutateLedger makes the changes of one mutateLedger.
func (c *Commit) mutateLedger(id turmericshed.BudgetID, cur turmericshed.Item) ([]byte, error) {
	if c.decodeErr != nil {
		return nil, c.decodeErr
	}
	changes, owners := c.changesOf(id)
	if len(changes) == 0 {
		return nil, nil
	}
	value, after, errs, err := applyToLedger(cur, c.current.share(id), changes)
	for n, i := range owners {
		if err != nil {
			c.errs[i][id] = err
		} else if errs[n] != nil {
			c.errs[i][id] = errs[n]
		}
	}
	if err != nil {
		return nil, err
	}
	if value != nil {
		c.shares[id] = after
	}
	return value, nil
}

// changesOf returns the changes of one budget, and whose each is. Requests of
// processes that don't stand for their entry VMs get an error.
func (c *Commit) changesOf(id turmericshed.BudgetID) (changes []Change, owners []int) {
	for i, r := range c.requests {
		if err := c.current.CheckIncarnation(r); err != nil {
			c.errs[i][id] = err
			continue
		}
		for _, ch := range c.current.changesOf(r, id, c.leaseAlive) {
			changes, owners = append(changes, ch), append(owners, i)
		}
	}
	return changes, owners
}

// changesOf returns a request's changes of one budget.
func (h Holding) changesOf(r Request, id turmericshed.BudgetID, alive func(turmericshed.LeaseID) bool) []Change {
	var list []Change
	if final, ok := h.takeoverChange(r, id, alive); ok {
		list = append(list, final)
	}
	for _, ch := range r.Changes {
		if ch.Budget == id {
			list = append(list, ch)
		}
	}
	return list
}

func (h Holding) share(id turmericshed.BudgetID) domainShare {
	return domainShare{lots: h.Lots[id], pool: h.Pools[id]}
}

// mutateShare makes the changes of one budget within the domain's share.
func (c *Commit) mutateShare(id turmericshed.BudgetID) {
	changes, owners := c.changesOf(id)
	if len(changes) == 0 {
		return
	}
	after, ok := applyLocally(c.current.share(id), changes)
	if ok {
		c.shares[id] = after
		return
	}
	for _, i := range owners {
		c.errs[i][id] = turmericshed.NewError(turmericshed.KindStoreUnavailable, "the pool of budget %s was used meanwhile", id)
	}
}

// takeoverChange returns the change that ends the lots of an earlier process of the
// request's entry VM. Where its ceilings hold for certain, what is above them
// goes back, else all of it counts as spent.
//
// The lease alone does not prove that they hold: it may have stood still while
// the store was away, and the process went on by its own clock. So the entry
// VM's time of day must agree.
func (h Holding) takeoverChange(r Request, id turmericshed.BudgetID, alive func(turmericshed.LeaseID) bool) (Change, bool) {
	if r.Takeover == nil || r.Takeover.From == "" || r.Takeover.From == r.Incarnation {
		return Change{}, false
	}
	lots := h.LotsOf(r.Takeover.From, id)
	if len(lots) == 0 {
		return Change{}, false
	}
	vm := h.VMs[r.VM]
	age := r.Takeover.Now.Sub(vm.Since)
	bound := vm.Lease != "" && alive(vm.Lease) && age >= 0 && age < LeaseLength
	ch := Change{Budget: id}
	for _, l := range lots {
		charge := l.Charge()
		if bound {
			charge = min(max(h.Most[l.ID], l.Used), charge)
		}
		ch.Reports = append(ch.Reports, Report{Lot: l.ID, Used: l.Used, Returned: l.Drawn - charge, Requests: l.Requests, Final: true})
	}
	return ch, true
}

// mutateHolding makes the changes of the holding.
func (c *Commit) mutateHolding() ([]byte, error) {
	if c.decodeErr != nil {
		return nil, c.decodeErr
	}
	for _, id := range c.localBudgets {
		c.mutateShare(id)
	}
	changed := len(c.shares) > 0
	for id, s := range c.shares {
		c.next.Lots[id], c.next.Pools[id] = s.lots, s.pool
	}
	for _, r := range c.requests {
		if c.current.CheckIncarnation(r) == nil {
			changed = c.updateVM(r) || changed
		}
	}
	if !changed {
		return nil, nil
	}
	c.next.dropStaleCeilings()
	return c.next.Encode()
}

// updateVM notes what a request changes of its entry VM's row.
func (c *Commit) updateVM(r Request) bool {
	vm, ok := c.next.VMs[r.VM]
	changed := false
	if r.Takeover != nil && vm.Incarnation != r.Incarnation {
		if ok && len(c.next.Of(vm.Incarnation)) > 0 {
			// Another transaction ends the rest.
			return false
		}
		vm, changed = HoldingVM{Incarnation: r.Incarnation}, true
		c.next.VMs[r.VM] = vm
	}
	if d := r.Declaration; d != nil && d.Sequence >= vm.Sequence {
		vm.Sequence, vm.Lease, vm.Since = d.Sequence, d.Lease, d.Since
		c.next.VMs[r.VM], changed = vm, true
		c.next.setCeilings(r.Incarnation, d.Ceilings)
	}
	if r.Leave && len(c.next.Of(r.Incarnation)) == 0 {
		delete(c.next.VMs, r.VM)
		changed = true
	}
	// A write of the holding keeps one that may yet arrive from landing.
	return changed || slices.ContainsFunc(r.Changes, func(ch Change) bool { return ch.Withdraw != "" })
}

// setCeilings replaces the ceilings of a process's lots.
func (h Holding) setCeilings(in turmericshed.Incarnation, list []LotCeiling) {
	for _, lots := range h.Lots {
		for _, l := range lots {
			if l.Holder == in {
				delete(h.Most, l.ID)
			}
		}
	}
	for _, l := range list {
		if l.Most > 0 {
			h.Most[l.Lot] = l.Most
		}
	}
}

// dropStaleCeilings forgets the ceilings of lots that ended or were never drawn.
func (h Holding) dropStaleCeilings() {
	open := make(map[turmericshed.LotID]bool, len(h.Most))
	for _, lots := range h.Lots {
		for _, l := range lots {
			open[l.ID] = true
		}
	}
	for id := range h.Most {
		if !open[id] {
			delete(h.Most, id)
		}
	}
}
