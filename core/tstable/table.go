// Package tstable looks up the route, service and client account of a request in
// a routing table. It has no side effects.
//
// # Usage
//
//	t := tstable.New(table)
//	route, ok := t.Route("corner.example", "/quotes/2f")
//	service := tstable.Service(route, rand.Float64())
//	account, ok := t.Account(key)
package tstable

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"turmericshed"
)

// Table is a routing table with indexes. It is immutable after New.
type Table struct {
	turmericshed.RoutingTable
	// routesByHost maps a host in lower case to its routes, longest prefix first.
	routesByHost  map[string][]turmericshed.Route
	accountsByKey map[string]turmericshed.AccountGrant
	specsByName   map[string]turmericshed.ServiceSpec
	// urgencies are the urgencies of the requests to each service, most urgent first.
	urgencies map[string][]int
}

// New indexes a routing table.
func New(t turmericshed.RoutingTable) *Table {
	x := &Table{
		RoutingTable:  t,
		routesByHost:  make(map[string][]turmericshed.Route),
		accountsByKey: make(map[string]turmericshed.AccountGrant),
		specsByName:   make(map[string]turmericshed.ServiceSpec, len(t.Services)),
	}
	for _, r := range t.Routes {
		host := strings.ToLower(r.Host)
		x.routesByHost[host] = append(x.routesByHost[host], r)
	}
	for _, routes := range x.routesByHost {
		slices.SortStableFunc(routes, func(a, b turmericshed.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, a := range t.Accounts {
		for _, k := range a.Keys {
			x.accountsByKey[k] = a
		}
	}
	for _, s := range t.Services {
		x.specsByName[s.Name] = s
	}
	x.urgencies = urgenciesByService(t)
	return x
}

// urgenciesByService returns the urgencies that the requests to each service can have:
// those of the accounts, and those of the routes if an account has none.
func urgenciesByService(t turmericshed.RoutingTable) map[string][]int {
	var ofAccounts []int
	usesRoutes := len(t.Accounts) == 0
	for _, a := range t.Accounts {
		if a.HasPriority {
			ofAccounts = append(ofAccounts, a.Priority)
		} else {
			usesRoutes = true
		}
	}
	urgencies := make(map[string][]int)
	for _, r := range t.Routes {
		for _, target := range r.Targets {
			list := append(urgencies[target.Service], ofAccounts...)
			if usesRoutes || r.Anonymous {
				list = append(list, r.Priority)
			}
			slices.Sort(list)
			urgencies[target.Service] = slices.Compact(list)
		}
	}
	return urgencies
}

// UrgencyRank returns the rank of an urgency among those of the requests to a service,
// 0 for the most urgent, and the number of ranks.
func (t *Table) UrgencyRank(service string, urgency int) (rank, ranks int) {
	list := t.urgencies[service]
	rank, _ = slices.BinarySearch(list, urgency)
	return min(rank, max(len(list)-1, 0)), max(len(list), 1)
}

// Route returns the route of the host with the longest prefix of path. host may
// include a port and is not case-sensitive.
func (t *Table) Route(host, path string) (turmericshed.Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return turmericshed.Route{}, false
}

// Account returns the client account with the given key.
func (t *Table) Account(key string) (turmericshed.AccountGrant, bool) {
	a, ok := t.accountsByKey[key]
	return a, ok && key != ""
}

// Authenticates reports whether requests need a key.
func (t *Table) Authenticates() bool { return len(t.Accounts) > 0 }

// Spec returns the specification of a service; zero if the table does not list it.
func (t *Table) Spec(service string) turmericshed.ServiceSpec { return t.specsByName[service] }

// Service chooses one of the route's services by weight, given a random number u
// in [0, 1). It returns "" if no service has a positive weight.
func Service(r turmericshed.Route, u float64) string {
	var total float64
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	last := ""
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		last = t.Service
		u -= t.Weight / total
		if u < 0 {
			return t.Service
		}
	}
	return last
}
