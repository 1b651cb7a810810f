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

// longGrace is a grace that does not shorten the roster's own grace periods.
var longGrace = tsroster.Grace{DueAt: at(1_000_000)}

// outageGrace returns the grace after an outage that excuses removals until a time.
func outageGrace(ms int) tsroster.Grace { return tsroster.Grace{DueAt: at(0), ExcusedUntil: at(ms)} }

// assertEligible checks the servers that may receive work at a time.
func assertEligible(t *testing.T, r *tsroster.Roster, ms int, want string) {
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
		r.Reset(at(0), servers("a b c d e"), longGrace)
		r.Remove(at(10), "b", longGrace)
		assertEligible(t, r, 10, "a c d e")
	})
	t.Run("a draining server gets no work", func(t *testing.T) {
		r := tsroster.New()
		r.Reset(at(0), servers("a b"), longGrace)
		r.Put(at(5), turmericshed.BackendServer{ID: "a", Service: "pool", Leaving: true})
		assertEligible(t, r, 5, "b")
	})
	t.Run("an entry that is missing after an outage keeps its server for the grace", func(t *testing.T) {
		r := tsroster.New()
		r.Reset(at(0), servers("a b"), longGrace)
		r.Reset(at(5000), servers("a"), outageGrace(8000))
		assertEligible(t, r, 7100, "a b")
		assertEligible(t, r, 7300, "a")
	})
	t.Run("an entry that lapses shortly after an outage keeps its server too", func(t *testing.T) {
		r := tsroster.New()
		r.Reset(at(0), servers("a b"), longGrace)
		r.Reset(at(5000), servers("a b"), outageGrace(8000))
		r.Remove(at(5500), "b", outageGrace(7200))
		assertEligible(t, r, 7100, "a b")
		assertEligible(t, r, 7300, "a")
	})
	t.Run("an entry that reappears within the grace stays", func(t *testing.T) {
		r := tsroster.New()
		r.Reset(at(0), servers("a b"), longGrace)
		r.Reset(at(5000), nil, outageGrace(8000))
		r.Put(at(6500), servers("b")[0])
		assertEligible(t, r, 8000, "b")
	})
	t.Run("a server that drained before the outage gets no grace", func(t *testing.T) {
		r := tsroster.New()
		list := servers("a b")
		list[1].Leaving = true
		r.Reset(at(0), list, longGrace)
		r.Reset(at(5000), servers("a"), outageGrace(8000))
		assertEligible(t, r, 5000, "a")
	})
	t.Run("many servers removed at once are kept for less than the time that a leaving one may get work", func(t *testing.T) {
		r := tsroster.New()
		r.Reset(at(0), servers("a b c"), longGrace)
		r.Remove(at(1000), "a", longGrace)
		r.Remove(at(1100), "b", longGrace)
		assertEligible(t, r, 1200, "a b c")
		assertEligible(t, r, 2700, "c")
	})
	t.Run("two of many servers that are removed at once are dropped", func(t *testing.T) {
		r := tsroster.New()
		r.Reset(at(0), servers("a b c d e f"), longGrace)
		r.Remove(at(1000), "a", longGrace)
		r.Remove(at(1100), "b", longGrace)
		assertEligible(t, r, 1100, "c d e f")
	})
	t.Run("a server whose removal is learned late is not kept beyond the bound", func(t *testing.T) {
		r := tsroster.New()
		r.Reset(at(0), servers("a b c"), longGrace)
		late := tsroster.Grace{DueAt: at(1300)}
		r.Remove(at(1000), "a", late)
		r.Remove(at(1100), "b", late)
		assertEligible(t, r, 1200, "a b c")
		assertEligible(t, r, 1300, "c")
	})
	t.Run("a server that is missing without an outage is dropped", func(t *testing.T) {
		r := tsroster.New()
		r.Reset(at(0), servers("a b"), longGrace)
		r.Reset(at(5000), servers("a"), tsroster.Grace{DueAt: at(5000)})
		assertEligible(t, r, 5000, "a")
	})
	t.Run("a server that is missing after an outage is dropped when the grace is due", func(t *testing.T) {
		r := tsroster.New()
		r.Reset(at(0), servers("a b"), longGrace)
		r.Reset(at(5000), servers("a"), outageGrace(5600))
		assertEligible(t, r, 5500, "a b")
		assertEligible(t, r, 5600, "a")
	})
	t.Run("the list reports the time of its next change", func(t *testing.T) {
		r := tsroster.New()
		r.Reset(at(0), servers("a"), longGrace)
		r.Reset(at(5000), nil, outageGrace(8000))
		_, next := r.List(at(5000))
		assert.Equal(t, next, at(7200))
	})
}

// Guards against servers that left the list but received work for as long as an outage would
// have excused it, regardless of the deployment's span and the age of the update.
func TestServerThatLeftIsNotKeptBeyondItsBound(t *testing.T) {
	const known = 5000
	for _, span := range []int{2000, 3000, 4000} {
		for age := 0; age <= span+500; age += 250 {
			due := tsroster.Grace{DueAt: at(known + span)}
			excused := due
			excused.ExcusedUntil = at(known + age + span/2)
			receivedAt := at(known + age)
			for _, leave := range []func(r *tsroster.Roster){
				func(r *tsroster.Roster) {
					r.Remove(receivedAt, "a", due)
					r.Remove(receivedAt, "b", due)
				},
				func(r *tsroster.Roster) { r.Reset(receivedAt, servers("c"), due) },
			} {
				r := tsroster.New()
				r.Reset(at(0), servers("a b c"), due)
				leave(r)
				assertEligible(t, r, known+span, "c")
				if age >= span {
					assertEligible(t, r, known+age, "c")
				}
			}
			r := tsroster.New()
			r.Reset(at(0), servers("a b c"), due)
			r.Reset(receivedAt, servers("c"), excused)
			assertEligible(t, r, max(known+span, known+age+span/2), "c")
		}
	}
}
