package tsintake

import "turmericshed"

// Flow identifies requests that share what an entry VM can hold: those of one client account to one
// service.
type Flow struct {
	Account turmericshed.AccountID
	Service string
}

// shareFactor times what is free is the most that one account may hold, and times what its account
// may still take the most that one flow may. A single flow gets 64% of the capacity.
const shareFactor = 4

// shares divides a capacity among client accounts, and the part of an account among its services,
// by dynamic thresholds (Choudhury and Hahne, 1998): each may hold a multiple of what is free. One
// that is alone gets most of the capacity, some room always stays free for others, and the more
// there are, the less each may hold. For example, of 100 units one flow may hold 64; then another
// service of its account may hold 12 of the other 36, and another account 23.
type shares struct {
	capacity int64
	// held is the sum of what all hold, those without a flow included.
	held      int64
	byAccount map[turmericshed.AccountID]int64
	byFlow    map[Flow]int64
}

func newShares(capacity int64) *shares {
	return &shares{capacity: capacity, byAccount: make(map[turmericshed.AccountID]int64), byFlow: make(map[Flow]int64)}
}

// add changes what a flow holds by n; a nil flow counts only toward the sum.
func (s *shares) add(f *Flow, n int64) {
	s.held += n
	if f == nil {
		return
	}
	if s.byAccount[f.Account] += n; s.byAccount[f.Account] == 0 {
		delete(s.byAccount, f.Account)
	}
	if s.byFlow[*f] += n; s.byFlow[*f] == 0 {
		delete(s.byFlow, *f)
	}
}

// change is what a decision would add to the shares of a flow, its account and all together.
type change struct{ held, account, flow int64 }

// freed adds to a change that a holder with the flow v gives n back, where the change concerns
// the flow f.
func (c *change) freed(f, v *Flow, n int64) {
	c.held -= n
	if f == nil || v == nil {
		return
	}
	if f.Account == v.Account {
		c.account -= n
	}
	if *f == *v {
		c.flow -= n
	}
}

// allows reports whether everything stays within its share after a change that concerns the flow
// f; nil has no share and is bound by the capacity alone.
func (s *shares) allows(f *Flow, c change) bool {
	free := s.capacity - s.held - c.held
	if s.capacity <= 0 || f == nil {
		return s.capacity <= 0 || free >= 0
	}
	// The account could take n more as long as account + n <= shareFactor * (free - n). The flow
	// may hold shareFactor times that n. Both sides are multiplied by shareFactor + 1.
	account, flow := s.byAccount[f.Account]+c.account, s.byFlow[*f]+c.flow
	return flow*(shareFactor+1) <= shareFactor*(shareFactor*free-account)
}
