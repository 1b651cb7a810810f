package tscommit

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tspreference"
	"turmericshed/io/tspeer"
	"turmericshed/io/tspeerapi"
)

// If a failure domain is cut off when the store comes back from an older copy, nobody else knows what it drew
// since the others last read the ledgers. Each ledger writer therefore tells writers of other failure domains, its
// witnesses, what it has written. It does not wait for them.

const (
	// witnessCount is the number of failure domains in which a writer tells an entry VM.
	witnessCount = 2
	// witnessTimeout is the timeout of a call to a witness; congestedWitnessTimeout replaces it while the
	// local network link is congested.
	witnessTimeout          = 500 * time.Millisecond
	congestedWitnessTimeout = 2 * time.Second
	// maxNotedLedgers bounds the ledgers of which others have told.
	maxNotedLedgers = 1 << 14
)

// notes are the states of ledgers of which others have told, and those to tell others. They are safe for
// concurrent use.
type notes struct {
	wake chan struct{}

	mu sync.Mutex
	// untold are the states to tell witnesses.
	untold map[turmericshed.BudgetID]tsbudget.LedgerState
	noted  map[turmericshed.BudgetID]notedLedger
}

// notedLedger holds the latest state in the latest era, and the latest one in earlier eras.
type notedLedger struct {
	latest, before tsbudget.LedgerState
}

func newNotes() *notes {
	return &notes{wake: make(chan struct{}, 1), untold: make(map[turmericshed.BudgetID]tsbudget.LedgerState), noted: make(map[turmericshed.BudgetID]notedLedger)}
}

// note keeps a state that another writer told.
func (n *notes) note(id turmericshed.BudgetID, s tsbudget.LedgerState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known, isKnown := n.noted[id]
	switch {
	case !isKnown && len(n.noted) >= maxNotedLedgers:
		return
	case s.Version.Era() > known.latest.Version.Era():
		known.before, known.latest = known.before.Later(known.latest), s
	case s.Version.Era() == known.latest.Version.Era():
		known.latest = known.latest.Later(s)
	default:
		known.before = known.before.Later(s)
	}
	n.noted[id] = known
}

// get returns the latest state in an era before the given one that another writer told.
func (n *notes) get(id turmericshed.BudgetID, before uint64) tsbudget.LedgerState {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.noted[id]
	if known.latest.Version.Era() < before {
		return known.latest
	}
	return known.before
}

// tell queues the state of a ledger for the witnesses.
func (n *notes) tell(id turmericshed.BudgetID, s tsbudget.LedgerState) {
	n.mu.Lock()
	n.untold[id] = s
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// take returns the queued states.
func (n *notes) take() map[turmericshed.BudgetID]tsbudget.LedgerState {
	n.mu.Lock()
	defer n.mu.Unlock()
	untold := n.untold
	n.untold = make(map[turmericshed.BudgetID]tsbudget.LedgerState)
	return untold
}

// tellWitnesses tells the witnesses of a ledger that was written. Stores without eras forget nothing.
func (c *Committer) tellWitnesses(id turmericshed.BudgetID, item turmericshed.Item) {
	if c.cfg.Peers == nil || item.Version.Era() == 0 {
		return
	}
	l, err := tsbudget.Decode(item)
	if err != nil {
		c.cfg.Log.Error("written ledger can't be decoded", "budget", string(id), "error", err.Error())
		return
	}
	c.notes.tell(id, l.State(item.Version, tsbudget.LedgerState{}))
}

// witnessLoop tells the witnesses what was written until ctx ends.
func (c *Committer) witnessLoop(ctx context.Context) error {
	for {
		select {
		case <-c.notes.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		m := &tspeerapi.NoteLedgersRequest{}
		for id, s := range c.notes.take() {
			m.Ledgers = append(m.Ledgers, &tspeerapi.NotedLedger{Budget: string(id), State: encodeState(s)})
		}
		if len(m.Ledgers) == 0 {
			continue
		}
		for _, vm := range witnesses(c.cfg.Members.Self(), c.cfg.Members.Reachable()) {
			go c.tellWitness(ctx, vm, m)
		}
	}
}

// witnesses returns the likely ledger writers of the failure domains that follow the own one by name.
func witnesses(self turmericshed.EntryVM, others []turmericshed.EntryVM) (list []turmericshed.EntryVM) {
	var domains []turmericshed.FailureDomain
	for _, vm := range others {
		if vm.FailureDomain != self.FailureDomain && !slices.Contains(domains, vm.FailureDomain) {
			domains = append(domains, vm.FailureDomain)
		}
	}
	slices.Sort(domains)
	next, _ := slices.BinarySearch(domains, self.FailureDomain)
	for i := range min(witnessCount, len(domains)) {
		list = append(list, tspreference.Rank(others, domains[(next+i)%len(domains)])[0])
	}
	return list
}

// tellWitness makes one call. A witness that does not answer is told with the next write.
func (c *Committer) tellWitness(ctx context.Context, vm turmericshed.EntryVM, m *tspeerapi.NoteLedgersRequest) {
	ctx, cancel := context.WithTimeout(ctx, turmericshed.LinkTimeout(c.cfg.Link, witnessTimeout, congestedWitnessTimeout))
	defer cancel()
	hc, base := c.cfg.Peers.Client(vm.PeerAddr)
	if _, err := tspeerapi.NewLedgerServiceClient(hc, base, tspeer.BoundAnswers()).NoteLedgers(ctx, connect.NewRequest(m)); err != nil && ctx.Err() == nil {
		c.cfg.Log.Debug("entry VM did not note the written ledgers", "entry_vm", vm.Name, "error", err.Error())
	}
}

// NoteLedgers keeps what another ledger writer has written.
func (s service) NoteLedgers(_ context.Context, r *connect.Request[tspeerapi.NoteLedgersRequest]) (*connect.Response[tspeerapi.NoteLedgersResponse], error) {
	for _, l := range r.Msg.Ledgers {
		s.notes.note(turmericshed.BudgetID(l.Budget), decodeState(l.GetState()))
	}
	return connect.NewResponse(&tspeerapi.NoteLedgersResponse{}), nil
}

func encodeState(s tsbudget.LedgerState) *tspeerapi.LedgerState {
	return &tspeerapi.LedgerState{Version: uint64(s.Version), Charged: int64(s.Charged), Held: int64(s.Held)}
}

func decodeState(m *tspeerapi.LedgerState) tsbudget.LedgerState {
	return tsbudget.LedgerState{
		Version: turmericshed.Version(m.GetVersion()), Charged: turmericshed.Tokens(m.GetCharged()), Held: turmericshed.Tokens(m.GetHeld()),
	}
}
