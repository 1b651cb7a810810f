package tsbudget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tsupdate"
)

func TestCeilings(t *testing.T) {
	now := time.Now()
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	list := func(n int64) []tsbudget.LotCeiling { return []tsbudget.LotCeiling{{Lot: "a", Most: toTokens(n)}} }
	assertMost := func(t *testing.T, c *tsbudget.Ceilings, s int, want int64) {
		t.Helper()
		n, ok := c.Most(at(s), "a")
		assert.Equal(t, ok, want >= 0)
		assert.Equal(t, n, max(toTokens(want), 0))
	}
	t.Run("nothing was published", func(t *testing.T) { assertMost(t, &tsbudget.Ceilings{}, 0, -1) })
	t.Run("it binds from the moment it is sent", func(t *testing.T) {
		var c tsbudget.Ceilings
		c.Sending(at(0), list(5), at(3))
		assertMost(t, &c, 1, 5)
	})
	t.Run("a higher one binds only once it stands", func(t *testing.T) {
		var c tsbudget.Ceilings
		c.Sending(at(0), list(5), at(3))
		c.Sent(list(5))
		c.Sending(at(1), list(9), at(4))
		assertMost(t, &c, 1, 5)
		c.Sent(list(9))
		assertMost(t, &c, 1, 9)
	})
	t.Run("a lower one binds at once", func(t *testing.T) {
		var c tsbudget.Ceilings
		c.Sending(at(0), list(9), at(3))
		c.Sent(list(9))
		c.Sending(at(1), list(4), at(4))
		assertMost(t, &c, 1, 4)
	})
	t.Run("a lot that is not listed may not be used", func(t *testing.T) {
		var c tsbudget.Ceilings
		c.Sending(at(0), nil, at(3))
		assertMost(t, &c, 1, 0)
		c.Sending(at(1), list(5), at(4))
		assertMost(t, &c, 1, 0)
		c.Sent(list(5))
		assertMost(t, &c, 1, 5)
	})
	t.Run("they are lifted when the last key that was sent has lapsed", func(t *testing.T) {
		var c tsbudget.Ceilings
		c.Sending(at(0), list(5), at(3))
		c.Sent(list(5))
		c.Sending(at(1), list(9), at(4))
		assertMost(t, &c, 3, 5)
		assertMost(t, &c, 4, -1)
	})
	t.Run("an older lease does not shorten it", func(t *testing.T) {
		var c tsbudget.Ceilings
		c.Sending(at(0), list(5), at(4))
		c.Sending(at(1), list(5), at(3))
		assertMost(t, &c, 3, 5)
	})
}

// leasedStore is one ledger and one ceilings key of a store that may carry
// out a write late, as long as its condition holds and its lease lives.
type leasedStore struct {
	now      time.Time
	ledger   turmericshed.Item
	ceilings turmericshed.Item
	// ends is when the key's lease ends.
	ends    time.Time
	pending []func()
}

func (s *leasedStore) expire() {
	if s.ceilings.Version > 0 && !s.now.Before(s.ends) {
		s.ceilings = turmericshed.Item{}
	}
}

// publish writes the key at a condition and reports whether it was written.
func (s *leasedStore) publish(want, version turmericshed.Version, value []byte, lapse time.Time) bool {
	s.expire()
	if s.ceilings.Version != want || !s.now.Before(lapse) {
		return false
	}
	s.ceilings, s.ends = turmericshed.Item{Key: "c", Value: value, Version: version}, lapse
	return true
}

// TestInheritedLotsAreNeverSpentTwice kills a holder anywhere, with writes of
// ceilings lost, late or conflicting and the store out of reach at times, and
// lets the next process end its lots. What was used may never exceed what the
// ledger has charged.
func TestInheritedLotsAreNeverSpentTwice(t *testing.T) {
	for seed := range uint64(4000) {
		rng := rand.New(rand.NewPCG(seed, 2))
		intRange := func(from, to int) int { return from + rng.IntN(to-from+1) }
		const lease = 3 * time.Second
		budget := turmericshed.BudgetID("b")
		s := &leasedStore{now: time.Unix(1000, 0)}
		apply := func(m tsupdate.Mutation) {
			next, err := m(s.ledger)
			assert.NilError(t, err)
			if next != nil {
				s.ledger = turmericshed.Item{Key: tsbudget.Key(budget), Value: next, Version: s.ledger.Version + 1}
			}
		}
		apply(tsbudget.Create(budget, "p", 1000))
		h := tsbudget.NewHolder("dead")
		p := turmericshed.Profile{Name: "p", Budget: budget}
		lots, used := 0, turmericshed.Tokens(0)
		draw := func() {
			lots++
			id := turmericshed.LotID(fmt.Sprint("lot", lots))
			l, err := tsbudget.Decode(s.ledger)
			assert.NilError(t, err)
			if l.Room() < 1 {
				return
			}
			apply(tsbudget.Draw(tsbudget.DrawRequest{Lot: id, Holder: "dead", Want: 200, Min: 1, At: s.now}))
			l, err = tsbudget.Decode(s.ledger)
			assert.NilError(t, err)
			lot, ok := l.Lot(id)
			assert.Assert(t, ok)
			h.AddLot(budget, lot, "")
		}
		draw()
		var version, sequence turmericshed.Version
		for range intRange(1, 60) {
			s.now = s.now.Add(time.Duration(intRange(0, 900)) * time.Millisecond)
			switch intRange(0, 6) {
			case 0:
				draw()
			case 6:
				// One transaction draws a lot and lists it.
				s.expire()
				lots++
				r := tsbudget.DrawRequest{Lot: turmericshed.LotID(fmt.Sprint("lot", lots)), Holder: "dead", Want: 200, Min: 1, At: s.now}
				next, err := tsbudget.Draw(r)(s.ledger)
				if err != nil {
					continue
				}
				l, err := tsbudget.Decode(turmericshed.Item{Value: next, Version: 1})
				assert.NilError(t, err)
				lot, ok := l.Lot(r.Lot)
				assert.Assert(t, ok)
				lapse := s.now.Add(lease)
				list := h.WantCeilings(s.now, time.Second, nil, map[turmericshed.BudgetID]tsbudget.Lot{budget: lot})
				h.Ceilings.Sending(s.now, list, lapse)
				sequence++
				mine, want, ledger, value := sequence, s.ceilings.Version, s.ledger, []byte(ceilingsJSON(list))
				write := func() bool {
					if s.ledger.Version != ledger.Version || !s.publish(want, mine, value, lapse) {
						return false
					}
					s.ledger = turmericshed.Item{Key: ledger.Key, Value: next, Version: ledger.Version + 1}
					return true
				}
				switch intRange(0, 2) {
				case 0:
					if write() {
						h.AddLot(budget, lot, "")
						h.Ceilings.Sent(list)
					}
				case 1:
					s.pending = append(s.pending, func() { write() })
				default: // It never arrives.
				}
			case 1, 2:
				n := turmericshed.Tokens(intRange(1, 120))
				if res, ok := h.Reserve(s.now, p, "r", n); ok {
					used += n
					h.Settle(s.now, res, n)
				}
			case 3, 4:
				s.expire()
				version = s.ceilings.Version
				// The lease is new, and the answer with it came now.
				lapse := s.now.Add(lease)
				list := h.WantCeilings(s.now, time.Second, nil, nil)
				value := []byte(ceilingsJSON(list))
				sequence++
				mine, want := sequence, version
				h.Ceilings.Sending(s.now, list, lapse)
				write := func() bool { return s.publish(want, mine, value, lapse) }
				switch intRange(0, 2) {
				case 0:
					if write() {
						h.Ceilings.Sent(list)
					}
				case 1:
					s.pending = append(s.pending, func() { write() })
				default: // It never arrives.
				}
			default:
				if n := len(s.pending); n > 0 {
					i := intRange(0, n-1)
					s.pending[i]()
					s.pending = append(s.pending[:i], s.pending[i+1:]...)
				}
			}
		}
		// The holder is dead; the next process looks for its key.
		s.now = s.now.Add(time.Duration(intRange(0, 4000)) * time.Millisecond)
		for _, late := range s.pending {
			if rng.IntN(2) == 0 {
				late()
			}
		}
		s.expire()
		if s.ceilings.Version > 0 {
			doc, err := tsbudget.DecodeCeilings(s.ceilings)
			assert.NilError(t, err)
			apply(tsbudget.Inherit("dead", doc.Ceilings))
		}
		l, err := tsbudget.Decode(s.ledger)
		assert.NilError(t, err)
		assert.Assert(t, used <= l.Spent+l.Open(), "seed %d: used %d, charged %d", seed, used, l.Spent+l.Open())
	}
}

func ceilingsJSON(list []tsbudget.LotCeiling) string {
	s := `{"holder":"dead","ceilings":[`
	for i, c := range list {
		if i > 0 {
			s += ","
		}
		s += fmt.Sprintf(`{"budget":%q,"lot":%q,"most":%d}`, c.Budget, c.Lot, c.Most)
	}
	return s + "]}"
}

func TestInherit(t *testing.T) {
	ledger := func(t *testing.T) turmericshed.Item {
		t.Helper()
		cur := turmericshed.Item{Key: tsbudget.Key("b")}
		for _, m := range []tsupdate.Mutation{
			tsbudget.Create("b", "p", 1000),
			tsbudget.Draw(tsbudget.DrawRequest{Lot: "x", Holder: "dead", Want: 300}),
			tsbudget.Draw(tsbudget.DrawRequest{Lot: "y", Holder: "alive", Want: 300}),
		} {
			value, err := m(cur)
			assert.NilError(t, err)
			cur = turmericshed.Item{Key: cur.Key, Value: value, Version: cur.Version + 1}
		}
		return cur
	}
	assertRoom := func(t *testing.T, want int64, list ...tsbudget.LotCeiling) {
		t.Helper()
		cur := ledger(t)
		value, err := tsbudget.Inherit("dead", list)(cur)
		assert.NilError(t, err)
		if value != nil {
			cur.Value = value
		}
		l, err := tsbudget.Decode(cur)
		assert.NilError(t, err)
		assert.Equal(t, l.Room(), toTokens(want))
	}
	t.Run("what is above the ceiling goes back", func(t *testing.T) {
		assertRoom(t, 600, tsbudget.LotCeiling{Budget: "b", Lot: "x", Most: 100})
	})
	t.Run("a lot that is not listed goes back whole", func(t *testing.T) { assertRoom(t, 700) })
	t.Run("another holder's lot is left alone", func(t *testing.T) {
		assertRoom(t, 700, tsbudget.LotCeiling{Budget: "b", Lot: "y", Most: 0})
	})
	t.Run("a ceiling above the lot charges all of it", func(t *testing.T) {
		assertRoom(t, 400, tsbudget.LotCeiling{Budget: "b", Lot: "x", Most: 500})
	})
	t.Run("a lot that ended meanwhile", func(t *testing.T) {
		assertRoom(t, 700, tsbudget.LotCeiling{Budget: "b", Lot: "z", Most: 5})
	})
	t.Run("a lot of another budget", func(t *testing.T) {
		assertRoom(t, 700, tsbudget.LotCeiling{Budget: "c", Lot: "x", Most: 5})
	})
}

func TestGrant(t *testing.T) {
	grant := func(t *testing.T, cur turmericshed.Item, n int64) turmericshed.Item {
		t.Helper()
		value, err := tsbudget.Grant("b", "p", toTokens(n))(cur)
		assert.NilError(t, err)
		if value == nil {
			return cur
		}
		return turmericshed.Item{Key: cur.Key, Value: value, Version: cur.Version + 1}
	}
	assertPrepaid := func(t *testing.T, cur turmericshed.Item, want int64) {
		t.Helper()
		l, err := tsbudget.Decode(cur)
		assert.NilError(t, err)
		assert.Equal(t, l.Prepaid, toTokens(want))
	}
	made := grant(t, turmericshed.Item{Key: tsbudget.Key("b")}, 100)
	t.Run("makes a ledger", func(t *testing.T) { assertPrepaid(t, made, 100) })
	t.Run("raises it", func(t *testing.T) { assertPrepaid(t, grant(t, made, 150), 150) })
	t.Run("never lowers it", func(t *testing.T) { assertPrepaid(t, grant(t, made, 50), 100) })
}
