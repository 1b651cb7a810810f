package tscheck_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tscheck"
)

// soundTable returns a table without findings.
func soundTable() turmericshed.RoutingTable {
	return turmericshed.RoutingTable{
		Version: 7,
		Routes: []turmericshed.Route{{
			Name: "quotes", Host: "corner.example", Prefix: "/quotes/", Targets: []turmericshed.RouteTarget{{Service: "pool", Weight: 1}},
			Stream: true, Repeatable: true, Timeout: 8 * time.Second, LatencyObjective: time.Second, EventGapObjective: 500 * time.Millisecond, MaxAttempts: 2,
		}},
		Services: []turmericshed.ServiceSpec{{Name: "pool", TokensPerEvent: 5}},
		Limits:   turmericshed.CallerLimits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Accounts: []turmericshed.AccountGrant{{Account: "stall", Keys: []string{"key-1", "key-2"}, Prepaid: 1000, HasPrepaid: true}},
	}
}

// assertFinding checks that an edit of the sound table causes exactly one finding.
func assertFinding(t *testing.T, severity tscheck.Severity, code, subject string, edit func(table *turmericshed.RoutingTable)) {
	t.Helper()
	table := soundTable()
	edit(&table)
	got := tscheck.Check(table)
	assert.Equal(t, len(got), 1, "%v", got)
	assert.Equal(t, got[0].Severity, severity)
	assert.Equal(t, got[0].Code, code)
	assert.Equal(t, got[0].Subject, subject)
	assert.Equal(t, tscheck.HasErrors(got), severity == tscheck.Error)
}

func route(edit func(r *turmericshed.Route)) func(*turmericshed.RoutingTable) {
	return func(table *turmericshed.RoutingTable) { edit(&table.Routes[0]) }
}

func account(edit func(a *turmericshed.AccountGrant)) func(*turmericshed.RoutingTable) {
	return func(table *turmericshed.RoutingTable) { edit(&table.Accounts[0]) }
}

// Guards against a table that is sent although requests will be refused or misrouted.
func TestCheckErrors(t *testing.T) {
	assert.Equal(t, len(tscheck.Check(soundTable())), 0)
	for name, c := range map[string]struct {
		code, subject string
		edit          func(*turmericshed.RoutingTable)
	}{
		"a route that an equal one hides": {"never_matches", "route again", func(table *turmericshed.RoutingTable) {
			r := table.Routes[0]
			r.Name, r.Host = "again", "CORNER.example"
			table.Routes = append(table.Routes, r)
		}},
		"a host with a port":          {"never_matches", "route quotes", route(func(r *turmericshed.Route) { r.Host = "corner.example:80" })},
		"a prefix with a query":       {"never_matches", "route quotes", route(func(r *turmericshed.Route) { r.Prefix = "/quotes?x=1/" })},
		"a prefix without a slash":    {"never_matches", "route quotes", route(func(r *turmericshed.Route) { r.Prefix = "quotes/" })},
		"a prefix beyond the headers": {"never_matches", "route quotes", route(func(r *turmericshed.Route) { r.Prefix = "/" + strings.Repeat("x", 16384) + "/" })},
		"a key of two accounts": {"ambiguous_key", "account other", func(table *turmericshed.RoutingTable) {
			table.Accounts = append(table.Accounts, turmericshed.AccountGrant{Account: "other", Keys: []string{"key-1"}})
		}},
		"a key that no header can carry": {"never_matches", "account stall", account(func(a *turmericshed.AccountGrant) { a.Keys = append(a.Keys, "key-3 ") })},
		"a service listed twice": {"duplicate_service", "service pool", func(table *turmericshed.RoutingTable) {
			table.Services = append(table.Services, table.Services[0])
		}},
	} {
		t.Run(name, func(t *testing.T) { assertFinding(t, tscheck.Error, c.code, c.subject, c.edit) })
	}
	t.Run("a route without a target", func(t *testing.T) {
		table := soundTable()
		table.Routes[0].Targets = nil
		got := tscheck.Check(table)
		assert.Equal(t, len(got), 2)
		assert.Equal(t, got[0].Code, "unused_service")
		assert.Equal(t, got[1].Code, "no_target")
	})
	t.Run("a table without routes", func(t *testing.T) {
		assert.Assert(t, tscheck.HasErrors(tscheck.Check(turmericshed.RoutingTable{})))
	})
}

// Guards against settings that operators believe to be effective.
func TestCheckWarnings(t *testing.T) {
	for name, c := range map[string]struct {
		code, subject string
		edit          func(*turmericshed.RoutingTable)
	}{
		"an empty host":                       {"empty_host", "route quotes", route(func(r *turmericshed.Route) { r.Host = "" })},
		"a prefix without a slash at the end": {"open_prefix", "route quotes", route(func(r *turmericshed.Route) { r.Prefix = "/quotes" })},
		"a service that is not listed": {"unknown_service", "route quotes", route(func(r *turmericshed.Route) {
			r.Targets = append(r.Targets, turmericshed.RouteTarget{Service: "lost", Weight: 1})
		})},
		"an objective above the timeout": {"contradicting_limits", "route quotes", route(func(r *turmericshed.Route) { r.LatencyObjective = 9 * time.Second })},
		"a gap above the timeout":        {"contradicting_limits", "route quotes", route(func(r *turmericshed.Route) { r.EventGapObjective = 9 * time.Second })},
		"two routes of one name": {"duplicate_route", "route quotes", func(table *turmericshed.RoutingTable) {
			r := table.Routes[0]
			r.Prefix = "/other/"
			table.Routes = append(table.Routes, r)
		}},
		"a gap objective of a plain route": {"no_effect", "route quotes", route(func(r *turmericshed.Route) { r.Stream = false })},
		"a priority out of range":          {"no_effect", "route quotes", route(func(r *turmericshed.Route) { r.Priority = 10 })},
		"a target without weight": {"never_chosen", "route quotes", func(table *turmericshed.RoutingTable) {
			table.Services = append(table.Services, turmericshed.ServiceSpec{Name: "spare"})
			table.Routes[0].Targets = append(table.Routes[0].Targets, turmericshed.RouteTarget{Service: "spare"})
		}},
		"a service without a route": {"unused_service", "service spare", func(table *turmericshed.RoutingTable) {
			table.Services = append(table.Services, turmericshed.ServiceSpec{Name: "spare"})
		}},
		"an account without keys":    {"never_matches", "account stall", account(func(a *turmericshed.AccountGrant) { a.Keys = nil })},
		"an account without tokens":  {"nothing_prepaid", "account stall", account(func(a *turmericshed.AccountGrant) { a.Prepaid = 0 })},
		"a missing limit":            {"unlimited", "limits", func(table *turmericshed.RoutingTable) { table.Limits.BodyBytes = 0 }},
		"headers longer than idling": {"contradicting_limits", "limits", func(table *turmericshed.RoutingTable) { table.Limits.HeaderTimeout = time.Minute }},
	} {
		t.Run(name, func(t *testing.T) { assertFinding(t, tscheck.Warning, c.code, c.subject, c.edit) })
	}
}

// Guards against findings on what works: a prefix of all paths, and several attempts of a
// route whose requests are sent again only after a server refused them.
func TestCheckValidTables(t *testing.T) {
	for name, edit := range map[string]func(*turmericshed.RoutingTable){
		"a prefix of all paths":                        route(func(r *turmericshed.Route) { r.Prefix = "" }),
		"attempts of a route that may not be repeated": route(func(r *turmericshed.Route) { r.Repeatable = false }),
	} {
		t.Run(name, func(t *testing.T) {
			table := soundTable()
			edit(&table)
			assert.DeepEqual(t, tscheck.Check(table), []tscheck.Finding(nil))
		})
	}
}

// Guards against an update that entry VMs ignore.
func TestCheckUpdate(t *testing.T) {
	next := soundTable()
	next.Accounts[0].Prepaid = 900
	got := tscheck.CheckUpdate(soundTable(), next)
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].Code, "old_version")
	assert.Equal(t, got[1].Code, "lower_prepaid")
	next.Version, next.Accounts[0].Prepaid = 8, 2000
	assert.Equal(t, len(tscheck.CheckUpdate(soundTable(), next)), 0)
}

// Guards against a difference that the comparison omits, and against keys in its output.
func TestDiff(t *testing.T) {
	assertDiff := func(t *testing.T, edit func(*turmericshed.RoutingTable), want ...string) {
		t.Helper()
		next := soundTable()
		edit(&next)
		var got []string
		for _, c := range tscheck.Diff(soundTable(), next) {
			got = append(got, c.String())
			assert.Assert(t, !strings.Contains(c.String(), "key-"), "%s", c)
		}
		assert.DeepEqual(t, got, want)
	}
	t.Run("equal tables", func(t *testing.T) { assertDiff(t, func(*turmericshed.RoutingTable) {}) })
	t.Run("version and limits", func(t *testing.T) {
		assertDiff(t, func(table *turmericshed.RoutingTable) { table.Version, table.Limits.BodyBytes = 9, 1 },
			"table: version: 7 -> 9", "limits: body_bytes: 4194304 -> 1")
	})
	t.Run("a route's fields", func(t *testing.T) {
		assertDiff(t, route(func(r *turmericshed.Route) { r.Timeout = time.Second }), "route quotes: timeout: 8s -> 1s")
	})
	t.Run("added and removed entries", func(t *testing.T) {
		assertDiff(t, route(func(r *turmericshed.Route) { r.Name = "other" }), "route other: added", "route quotes: removed")
	})
	t.Run("keys by number only", func(t *testing.T) {
		assertDiff(t, account(func(a *turmericshed.AccountGrant) { a.Keys = []string{"key-2", "key-3", "key-4"} }),
			"account stall: keys: 2 keys -> 3 keys (2 added, 1 removed)")
	})
	t.Run("keys in another order", func(t *testing.T) {
		assertDiff(t, account(func(a *turmericshed.AccountGrant) { a.Keys = []string{"key-2", "key-1"} }))
	})
}
