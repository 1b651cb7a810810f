package tsbudget

import (
	"slices"

	"turmericshed"
	"turmericshed/core/tsupdate"
)

// Commit applies changes of several holders in one transaction over some ledgers and the holding.
// It does no I/O; a tsupdate.Batch drives it.
//
// A request of a process that is not the current one of its entry VM changes nothing. This is
// checked against the holding that the transaction replaces, so a delayed request of a terminated
// process is harmless.
type Commit struct {
	requests      []Request
	ledgerBudgets []turmericshed.BudgetID
	localBudgets  []turmericshed.BudgetID
	leaseAlive    func(l turmericshed.LeaseID) bool
	entryVMs      int
	memory        Memory
	decode        func(item turmericshed.Item) (Holding, error)
	// currentItem returns the holding's item that the current attempt replaces.
	currentItem func() turmericshed.Item

	// current, shares and errs belong to the current attempt. errs is indexed by request and
	// budget.
	current Holding
	// decodeErr is the error of reading the holding.
	decodeErr error
	shares    map[turmericshed.BudgetID]domainShare
	errs      []map[turmericshed.BudgetID]error
	next      Holding
}

// CommitConfig is the configuration of a Commit.
type CommitConfig struct {
	Requests []Request
	// Budgets are the budgets whose ledgers the transaction writes, Local those that it changes
	// within the domain's share only, see PlanWrites.
	Budgets []turmericshed.BudgetID
	Local   []turmericshed.BudgetID
	// LeaseAlive reports whether a lease was seen alive after the last request with a Takeover
	// arrived.
	LeaseAlive func(l turmericshed.LeaseID) bool
	// Decode reads a holding; it may cache the last one.
	Decode func(item turmericshed.Item) (Holding, error)
	// EntryVMs is the size of the fleet. It decides the size of pools.
	EntryVMs int
	// Memory is used after the store came back from an older copy; nil if the process remembers nothing.
	Memory Memory
}

// NewCommit returns the transaction for a configuration.
func NewCommit(cfg CommitConfig) *Commit {
	if cfg.Memory == nil {
		cfg.Memory = noMemory{}
	}
	return &Commit{memory: cfg.Memory, requests: cfg.Requests, ledgerBudgets: cfg.Budgets, localBudgets: cfg.Local, leaseAlive: cfg.LeaseAlive, entryVMs: cfg.EntryVMs, decode: cfg.Decode}
}

// Changes returns the transaction's changes: the ledgers in the order of the budgets, then the
// holding. cached returns the last known item of a ledger, holding is that of the holding.
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

// Run connects the Commit to the batch that has its Changes.
func (c *Commit) Run(b *tsupdate.Batch) {
	c.currentItem = func() turmericshed.Item { return b.Current(len(c.ledgerBudgets)) }
}

// Holding returns the holding after the last attempt.
func (c *Commit) Holding() Holding { return c.next }

// Err returns the error of a request's change of a budget in the last attempt, nil if the change
// was made.
func (c *Commit) Err(request int, id turmericshed.BudgetID) error { return c.errs[request][id] }

// begin resets the state for a new attempt.
func (c *Commit) begin() {
	item := c.currentItem()
	c.current, c.decodeErr = c.decode(item)
	c.current.Era = item.Version.Era()
	c.next = c.current.clone()
	c.shares = make(map[turmericshed.BudgetID]domainShare)
	c.errs = make([]map[turmericshed.BudgetID]error, len(c.requests))
	for i := range c.errs {
		c.errs[i] = make(map[turmericshed.BudgetID]error)
	}
}

// CheckIncarnation returns nil for a request of the current process of its entry VM, and for one
// that may take the entry VM over. Errors: KindConflict.
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

// mutateLedger applies the changes of one ledger.
func (c *Commit) mutateLedger(id turmericshed.BudgetID, cur turmericshed.Item) ([]byte, error) {
	if c.decodeErr != nil {
		return nil, c.decodeErr
	}
	changes, owners := c.changesOf(id)
	w := shareWriter{entryVMs: c.entryVMs, era: max(c.current.Era, cur.Version.Era()), memory: c.memory}
	if len(changes) == 0 && w.memory.Ledger(id, w.era).Version == 0 {
		return nil, nil
	}
	value, after, errs, err := w.applyToLedger(cur, c.current.share(id), changes)
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
	// A void share is replaced even if the ledger does not count it any more.
	if value != nil || after.pool.Era != c.current.Pools[id].Era {
		c.shares[id] = after
	}
	return value, nil
}

// changesOf returns the changes of one budget, and for each the index of its request. Requests of
// processes that are not current for their entry VMs get an error.
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

// changesOf returns a request's changes of one budget, including the one that a takeover implies.
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

// mutateShare applies the changes of one budget within the domain's share.
func (c *Commit) mutateShare(id turmericshed.BudgetID) {
	changes, owners := c.changesOf(id)
	if len(changes) == 0 {
		return
	}
	after, ok := applyLocally(c.current.share(id), changes)
	ok = ok && !c.current.IsStale(id)
	if ok {
		c.shares[id] = after
		return
	}
	for _, i := range owners {
		c.errs[i][id] = turmericshed.NewError(turmericshed.KindStoreUnavailable, "the pool of budget %s was used meanwhile", id)
	}
}

// takeoverChange returns the change that closes the lots of the previous process of the request's
// entry VM. If its ceilings certainly applied, the amounts above them are returned; otherwise the
// whole charge counts as spent.
//
// A live lease does not prove that the ceilings applied: the lease may have stopped counting down
// while the store was down, whereas the process continued by its local clock. The entry VM's time
// of day must therefore agree.
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
			charge = min(max(h.Ceilings[l.ID], l.Used), charge)
		}
		ch.Reports = append(ch.Reports, Report{Lot: l.ID, Used: l.Used, Returned: l.Drawn - charge, Requests: l.Requests, Final: true})
	}
	return ch, true
}

// mutateHolding applies the changes of the holding.
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

// updateVM applies the takeover, declaration and leave of a request to the record of its entry VM.
// It reports whether the holding must be written.
func (c *Commit) updateVM(r Request) bool {
	vm, ok := c.next.VMs[r.VM]
	changed := false
	if r.Takeover != nil && vm.Incarnation != r.Incarnation {
		if ok && len(c.next.LotsByBudget(vm.Incarnation)) > 0 {
			// Another transaction closes the remaining lots first.
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
	if r.Leave && len(c.next.LotsByBudget(r.Incarnation)) == 0 {
		delete(c.next.VMs, r.VM)
		changed = true
	}
	// Writing the holding makes a delayed write of the withdrawn draw fail its version check.
	return changed || slices.ContainsFunc(r.Changes, func(ch Change) bool { return ch.Withdraw != "" })
}

// setCeilings replaces the ceilings of a process's lots.
func (h Holding) setCeilings(in turmericshed.Incarnation, list []LotCeiling) {
	for _, lots := range h.Lots {
		for _, l := range lots {
			if l.Holder == in {
				delete(h.Ceilings, l.ID)
			}
		}
	}
	for _, l := range list {
		if l.Most > 0 {
			h.Ceilings[l.Lot] = l.Most
		}
	}
}

// dropStaleCeilings removes the ceilings of lots that are closed or were never drawn.
func (h Holding) dropStaleCeilings() {
	open := make(map[turmericshed.LotID]bool, len(h.Ceilings))
	for _, lots := range h.Lots {
		for _, l := range lots {
			open[l.ID] = true
		}
	}
	for id := range h.Ceilings {
		if !open[id] {
			delete(h.Ceilings, id)
		}
	}
}
