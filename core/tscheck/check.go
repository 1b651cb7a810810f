// Package tscheck checks a routing table before operators put it in force, and
// compares it with the one in force. It does no I/O.
//
// # Usage
//
//	findings := tscheck.Check(table)
//	findings = append(findings, tscheck.CheckUpdate(inForce, table)...)
//	changes := tscheck.Diff(inForce, table)
package tscheck

import (
	"fmt"
	"net"
	"strings"

	"turmericshed"
)

// Severity tells whether a finding prevents a table from working as written.
type Severity string

// The severities.
const (
	// Error means that some requests are refused or misrouted, or that the table
	// is not applied.
	Error Severity = "error"
	// Warning means that a part of the table has no effect.
	Warning Severity = "warning"
)

// Finding is one problem of a table.
type Finding struct {
	Severity Severity `json:"severity"`
	// Code identifies the kind of problem, in snake case.
	Code string `json:"code"`
	// Subject is the entry with the problem, such as "route r-1".
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s (%s)", f.Severity, f.Subject, f.Detail, f.Code)
}

// HasErrors reports whether any finding is an error.
func HasErrors(list []Finding) bool {
	for _, f := range list {
		if f.Severity == Error {
			return true
		}
	}
	return false
}

// maxPriority is the least urgent rank that servers distinguish.
const maxPriority = 9

// checker collects the findings of one table.
type checker struct {
	table    turmericshed.RoutingTable
	services map[string]bool
	findings []Finding
}

func (c *checker) add(s Severity, code, subject, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Code: code, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}

// Check returns the problems of a table by itself, in the order of its entries.
func Check(t turmericshed.RoutingTable) []Finding {
	c := &checker{table: t, services: make(map[string]bool)}
	c.checkServices()
	c.checkRoutes()
	c.checkAccounts()
	c.checkLimits()
	return c.findings
}

func (c *checker) checkServices() {
	used := make(map[string]bool)
	for _, r := range c.table.Routes {
		for _, target := range r.Targets {
			used[target.Service] = true
		}
	}
	for _, s := range c.table.Services {
		subject := "service " + s.Name
		if c.services[s.Name] {
			c.add(Error, "duplicate_service", subject, "listed twice; the last entry applies")
		}
		c.services[s.Name] = true
		if !used[s.Name] {
			c.add(Warning, "unused_service", subject, "no route leads to it")
		}
	}
}

func (c *checker) checkRoutes() {
	if len(c.table.Routes) == 0 {
		c.add(Error, "no_routes", "table", "without routes every request gets 404")
	}
	names := make(map[string]bool)
	type match struct{ host, prefix string }
	first := make(map[match]string)
	for _, r := range c.table.Routes {
		subject := "route " + r.Name
		if names[r.Name] {
			c.add(Warning, "duplicate_route", subject, "the name occurs twice, so logs don't tell the routes apart")
		}
		names[r.Name] = true
		m := match{strings.ToLower(r.Host), r.Prefix}
		if earlier, isTaken := first[m]; isTaken {
			c.add(Error, "never_matches", subject, "route %s has the same host %q and prefix %q and is used instead", earlier, r.Host, r.Prefix)
		} else {
			first[m] = r.Name
		}
		c.checkMatch(subject, r)
		c.checkTargets(subject, r)
		c.checkRouteLimits(subject, r)
	}
}

// checkMatch finds routes that no request can reach.
func (c *checker) checkMatch(subject string, r turmericshed.Route) {
	if r.Host == "" {
		c.add(Warning, "empty_host", subject, "only requests that name no host reach it")
	}
	if _, _, err := net.SplitHostPort(r.Host); err == nil {
		c.add(Error, "never_matches", subject, "the host %q has a port, which is removed from a request's host before the comparison", r.Host)
	}
	if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
		c.add(Error, "never_matches", subject, "the prefix %q doesn't begin with a slash", r.Prefix)
	}
	if r.Prefix != "" && !strings.HasSuffix(r.Prefix, "/") {
		c.add(Warning, "open_prefix", subject, "the prefix %q doesn't end with a slash, so it also matches longer names", r.Prefix)
	}
	if strings.ContainsAny(r.Prefix, "? ") {
		c.add(Error, "never_matches", subject, "the prefix %q contains a character that no path has", r.Prefix)
	}
	if limit := c.table.Limits.HeaderBytes; limit > 0 && len(r.Host)+len(r.Prefix) >= limit {
		c.add(Error, "never_matches", subject, "host and prefix alone exceed the %d bytes allowed for headers", limit)
	}
}

func (c *checker) checkTargets(subject string, r turmericshed.Route) {
	hasPositive := false
	seen := make(map[string]bool)
	for _, target := range r.Targets {
		if !c.services[target.Service] {
			c.add(Warning, "unknown_service", subject, "service %q is not listed, so no limits and no tokens per event apply to it", target.Service)
		}
		if seen[target.Service] {
			c.add(Warning, "duplicate_target", subject, "service %q occurs twice in the split", target.Service)
		}
		seen[target.Service] = true
		if target.Weight > 0 {
			hasPositive = true
			continue
		}
		c.add(Warning, "never_chosen", subject, "service %q has the weight %v and gets no requests", target.Service, target.Weight)
	}
	if !hasPositive {
		c.add(Error, "no_target", subject, "no service with a weight above 0")
	}
}

// checkRouteLimits finds limits of a route that contradict each other or have no effect.
func (c *checker) checkRouteLimits(subject string, r turmericshed.Route) {
	if r.Timeout > 0 && r.LatencyObjective > r.Timeout {
		c.add(Warning, "contradicting_limits", subject, "the latency objective of %s is above the timeout of %s", r.LatencyObjective, r.Timeout)
	}
	if r.Stream && r.Timeout > 0 && r.EventGapObjective > r.Timeout {
		c.add(Warning, "contradicting_limits", subject, "the event gap objective of %s is above the timeout of %s", r.EventGapObjective, r.Timeout)
	}
	if !r.Stream && r.EventGapObjective > 0 {
		c.add(Warning, "no_effect", subject, "an event gap objective applies to streams only")
	}
	if r.Priority < 0 || r.Priority > maxPriority {
		c.add(Warning, "no_effect", subject, "the priority %d is outside 0 to %d and is cut to it", r.Priority, maxPriority)
	}
	if r.Anonymous && len(c.table.Accounts) == 0 {
		c.add(Warning, "no_effect", subject, "anonymous access is allowed, but without accounts no request needs a key")
	}
}

func (c *checker) checkAccounts() {
	names := make(map[turmericshed.AccountID]bool)
	holders := make(map[string]turmericshed.AccountID)
	for _, a := range c.table.Accounts {
		subject := "account " + string(a.Account)
		if a.Account == "" {
			c.add(Error, "unnamed_account", subject, "the name is empty")
		}
		if names[a.Account] {
			c.add(Error, "duplicate_account", subject, "listed twice")
		}
		names[a.Account] = true
		c.checkKeys(subject, a, holders)
		if a.HasPrepaid && a.Prepaid <= 0 {
			c.add(Warning, "nothing_prepaid", subject, "prepaid is %d, so every request that needs tokens gets 402", a.Prepaid)
		}
		if a.HasPriority && (a.Priority < 0 || a.Priority > maxPriority) {
			c.add(Warning, "no_effect", subject, "the priority %d is outside 0 to %d and is cut to it", a.Priority, maxPriority)
		}
	}
}

// checkKeys finds keys that identify no account or several. Keys are secret and are not printed.
func (c *checker) checkKeys(subject string, a turmericshed.AccountGrant, holders map[string]turmericshed.AccountID) {
	usable := 0
	for i, k := range a.Keys {
		holder, isTaken := holders[k]
		switch {
		case k == "" || strings.TrimSpace(k) != k:
			c.add(Error, "never_matches", subject, "key %d is empty or has a blank at an end, which no request's header can carry", i+1)
			continue
		case isTaken && holder == a.Account:
			c.add(Warning, "duplicate_key", subject, "key %d occurs twice", i+1)
		case isTaken:
			c.add(Error, "ambiguous_key", subject, "key %d also belongs to account %s; the last entry applies", i+1, holder)
		}
		holders[k] = a.Account
		usable++
	}
	if usable == 0 {
		c.add(Warning, "never_matches", subject, "without a key no request belongs to it")
	}
}

func (c *checker) checkLimits() {
	l := c.table.Limits
	if l.HeaderTimeout > 0 && l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.add(Warning, "contradicting_limits", "limits", "the header timeout of %s is above the idle timeout of %s", l.HeaderTimeout, l.IdleTimeout)
	}
	for _, unset := range []struct {
		name  string
		isSet bool
	}{{"header bytes", l.HeaderBytes > 0}, {"body bytes", l.BodyBytes > 0}, {"header timeout", l.HeaderTimeout > 0}, {"idle timeout", l.IdleTimeout > 0}} {
		if !unset.isSet {
			c.add(Warning, "unlimited", "limits", "no limit on %s is set", unset.name)
		}
	}
}
