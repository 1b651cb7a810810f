package tstable_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tstable"
)

func table() *tstable.Table {
	return tstable.New(turmericshed.RoutingTable{
		Version: 7,
		Routes: []turmericshed.Route{
			{Name: "all", Host: "corner.example", Prefix: "/"},
			{Name: "quotes", Host: "Corner.Example", Prefix: "/quotes/"},
			{Name: "full", Host: "corner.example", Prefix: "/quotes/full/"},
		},
		Services: []turmericshed.ServiceSpec{{Name: "pool", TokensPerEvent: 5}},
		Accounts: []turmericshed.AccountGrant{{Account: "stall", Keys: []string{"k1", "k2", ""}}},
	})
}

func assertRoute(t *testing.T, host, path, want string) {
	t.Helper()
	r, ok := table().Route(host, path)
	assert.Equal(t, ok, want != "")
	assert.Equal(t, r.Name, want)
}

func TestRoute(t *testing.T) {
	t.Run("longest prefix wins", func(t *testing.T) { assertRoute(t, "corner.example", "/quotes/full/1", "full") })
	t.Run("shorter prefix", func(t *testing.T) { assertRoute(t, "corner.example", "/quotes/1", "quotes") })
	t.Run("a prefix matches whole path segments only", func(t *testing.T) { assertRoute(t, "corner.example", "/quotesfull", "all") })
	t.Run("host with port and capitals", func(t *testing.T) { assertRoute(t, "CORNER.example:80", "/quotes/1", "quotes") })
	t.Run("unknown host", func(t *testing.T) { assertRoute(t, "other.example", "/quotes/1", "") })
}

func TestAccount(t *testing.T) {
	for key, want := range map[string]bool{"k1": true, "k2": true, "k3": false, "": false} {
		t.Run("key "+key, func(t *testing.T) {
			_, ok := table().Account(key)
			assert.Equal(t, ok, want)
		})
	}
}

func TestService(t *testing.T) {
	r := turmericshed.Route{Targets: []turmericshed.RouteTarget{{Service: "old", Weight: 90}, {Service: "none", Weight: 0}, {Service: "new", Weight: 10}}}
	for u, want := range map[float64]string{0: "old", 0.89: "old", 0.91: "new", 0.999999999: "new"} {
		assert.Equal(t, tstable.Service(r, u), want, "at %v", u)
	}
	assert.Equal(t, tstable.Service(turmericshed.Route{}, 0.5), "")
}

// Guards against a class of a less urgent request that comes before a more urgent one.
func TestUrgencyRank(t *testing.T) {
	rank := func(accounts []turmericshed.AccountGrant, urgency int) [2]int {
		t := tstable.New(turmericshed.RoutingTable{Accounts: accounts, Routes: []turmericshed.Route{
			{Priority: 2, Targets: []turmericshed.RouteTarget{{Service: "pool"}}},
			{Priority: 0, Targets: []turmericshed.RouteTarget{{Service: "pool"}}},
			{Priority: 7, Targets: []turmericshed.RouteTarget{{Service: "desk"}}},
			{Priority: 2, Targets: []turmericshed.RouteTarget{{Service: "pool"}}},
		}})
		i, n := t.UrgencyRank("pool", urgency)
		return [2]int{i, n}
	}
	assert.Equal(t, rank(nil, 0), [2]int{0, 2})
	assert.Equal(t, rank(nil, 2), [2]int{1, 2})
	assert.Equal(t, rank(nil, 9), [2]int{1, 2}, "an urgency that no route has")
	accounts := []turmericshed.AccountGrant{{Account: "a", Priority: 1, HasPriority: true}}
	assert.Equal(t, rank(accounts, 1), [2]int{0, 1}, "accounts with a priority replace the routes'")
	accounts = append(accounts, turmericshed.AccountGrant{Account: "b"})
	assert.Equal(t, rank(accounts, 1), [2]int{1, 3})
}
