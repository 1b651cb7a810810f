package tsroster_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsroster"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func servers(ids string) []turmericshed.BackendServer {
	var list []turmericshed.BackendServer
	for _, id := range strings.Fields(ids) {
		list = append(list, turmericshed.BackendServer{ID: turmericshed.ServerID(id), Service: "pool"})
	}
	return list
}

// assertWork checks the servers that may get work at a time.
func assertWork(t *testing.T, r *tsroster.Roster, ms int, want string) {
	t.Helper()
	list, _ := r.List(at(ms))
	var ids []string
	for _, s := range list {
		if !s.Leaving {
			ids = append(ids, string(s.ID))
		}
	}
	assert.Equal(t, strings.Join(ids, " "), want, "at %d ms", ms)
}

func TestRoster(t *testing.T) {
	t.Run("a server that leaves the list gets no work", func(t *testing.T) {
		r := tsroster.New()
		r.Reset(at(0), servers("a b c d e"))
		r.Remove(at(10), "b")
		assertWork(t, r, 10, "a c d e")
	})
	t.Run("a draining server gets no work", func(t *testing.T) {
		r := tsroster.New()
		r.Reset(at(0), servers("a b"))
		r.Put(at(5), turmericshed.BackendServer{ID: "a", Service: "pool", Leaving: true})
		assertWork(t, r, 5, "b")
	})
	t.Run("an entry that is missing after an outage keeps its server for the grace", func(t *testing.T) {
		r := tsroster.New()
		r.Reset(at(0), servers("a b"))
		r.Lost()
		r.Reset(at(5000), servers("a"))
		assertWork(t, r, 7100, "a b")
		assertWork(t, r, 7300, "a")
	})
	t.Run("an entry that lapses shortly after an outage keeps it too", func(t *testing.T) {
		r := tsroster.New()
		r.Reset(at(0), servers("a b"))
		r.Lost()
		r.Reset(at(5000), servers("a b"))
		r.Remove(at(5500), "b")
		assertWork(t, r, 7100, "a b")
		assertWork(t, r, 7300, "a")
	})
	t.Run("an entry that is back in time stays", func(t *testing.T) {
		r := tsroster.New()
		r.Reset(at(0), servers("a b"))
		r.Lost()
		r.Reset(at(5000), nil)
		r.Put(at(6500), servers("b")[0])
		assertWork(t, r, 8000, "b")
	})
	t.Run("a server that drained before the outage gets no grace", func(t *testing.T) {
		r := tsroster.New()
		list := servers("a b")
		list[1].Leaving = true
		r.Reset(at(0), list)
		r.Lost()
		r.Reset(at(5000), servers("a"))
		assertWork(t, r, 5000, "a")
	})
	t.Run("many that go at once are kept for less than a leaving server may get work", func(t *testing.T) {
		r := tsroster.New()
		r.Reset(at(0), servers("a b c"))
		r.Remove(at(1000), "a")
		r.Remove(at(1100), "b")
		assertWork(t, r, 1200, "a b c")
		assertWork(t, r, 2700, "c")
	})
	t.Run("two of many that go at once are gone", func(t *testing.T) {
		r := tsroster.New()
		r.Reset(at(0), servers("a b c d e f"))
		r.Remove(at(1000), "a")
		r.Remove(at(1100), "b")
		assertWork(t, r, 1100, "c d e f")
	})
	t.Run("the list tells when it changes by itself", func(t *testing.T) {
		r := tsroster.New()
		r.Reset(at(0), servers("a"))
		r.Lost()
		r.Reset(at(5000), nil)
		_, next := r.List(at(5000))
		assert.Equal(t, next, at(7200))
	})
}
