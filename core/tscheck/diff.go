package tscheck

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"turmericshed"
)

// Change is one difference between two tables.
type Change struct {
	// Subject is the changed entry, such as "route r-1". Field is empty if the whole
	// entry was added or removed.
	Subject string `json:"subject"`
	Field   string `json:"field,omitempty"`
	Before  string `json:"before"`
	After   string `json:"after"`
}

// String returns the change as one line.
func (c Change) String() string {
	if c.Field == "" {
		return c.Subject + ": " + cmp.Or(c.After, c.Before)
	}
	return fmt.Sprintf("%s: %s: %s -> %s", c.Subject, c.Field, c.Before, c.After)
}

const (
	added   = "added"
	removed = "removed"
)

// CheckUpdate returns the problems of replacing the table in force by next.
func CheckUpdate(inForce, next turmericshed.RoutingTable) []Finding {
	c := &checker{table: next}
	if next.Version <= inForce.Version {
		c.add(Error, "old_version", "table", "version %d is not above version %d, which is in force, and is not applied", next.Version, inForce.Version)
	}
	before := byName(inForce.Accounts, func(a turmericshed.AccountGrant) string { return string(a.Account) })
	for _, a := range next.Accounts {
		old, isKnown := before[string(a.Account)]
		if isKnown && old.HasPrepaid && a.HasPrepaid && a.Prepaid < old.Prepaid {
			c.add(Warning, "lower_prepaid", "account "+string(a.Account), "a prepaid amount is never lowered: %d stays in force instead of %d", old.Prepaid, a.Prepaid)
		}
	}
	return c.findings
}

// Diff returns what differs between two tables: the version, limits, then services,
// routes and accounts by name. Keys are secret: only their numbers are told.
func Diff(inForce, next turmericshed.RoutingTable) []Change {
	var list []Change
	if inForce.Version != next.Version {
		list = append(list, Change{"table", "version", fmt.Sprint(inForce.Version), fmt.Sprint(next.Version)})
	}
	list = append(list, diffFields("limits", inForce.Limits, next.Limits)...)
	list = append(list, diffEntries("service", inForce.Services, next.Services, func(s turmericshed.ServiceSpec) string { return s.Name })...)
	list = append(list, diffEntries("route", inForce.Routes, next.Routes, func(r turmericshed.Route) string { return r.Name })...)
	list = append(list, diffEntries("account", inForce.Accounts, next.Accounts, func(a turmericshed.AccountGrant) string { return string(a.Account) })...)
	return list
}

func byName[E any](entries []E, name func(E) string) map[string]E {
	m := make(map[string]E, len(entries))
	for _, e := range entries {
		m[name(e)] = e
	}
	return m
}

// diffEntries compares two lists whose entries are identified by name.
func diffEntries[E any](kind string, before, after []E, name func(E) string) []Change {
	old, next := byName(before, name), byName(after, name)
	names := make(map[string]bool, len(old)+len(next))
	for n := range old {
		names[n] = true
	}
	for n := range next {
		names[n] = true
	}
	var list []Change
	for _, n := range slices.Sorted(mapKeys(names)) {
		a, wasListed := old[n]
		b, isListed := next[n]
		subject := kind + " " + n
		switch {
		case !wasListed:
			list = append(list, Change{Subject: subject, After: added})
		case !isListed:
			list = append(list, Change{Subject: subject, Before: removed})
		default:
			list = append(list, diffFields(subject, a, b)...)
		}
	}
	return list
}

func mapKeys(m map[string]bool) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// keysField is the name of the field whose values are not printed.
const keysField = "Keys"

// diffFields compares two structs field by field.
func diffFields[E any](subject string, before, after E) []Change {
	var list []Change
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		name := a.Type().Field(i).Name
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		if reflect.DeepEqual(x, y) {
			continue
		}
		c := Change{Subject: subject, Field: snakeCase(name), Before: fmt.Sprint(x), After: fmt.Sprint(y)}
		if name == keysField {
			c.Before, c.After = describeKeys(x.([]string), y.([]string))
			if c.Before == c.After {
				continue
			}
		}
		list = append(list, c)
	}
	return list
}

// describeKeys returns how many keys there were, and how many there are with those added
// and removed.
func describeKeys(before, after []string) (old, next string) {
	var plus, minus int
	for _, k := range after {
		if !slices.Contains(before, k) {
			plus++
		}
	}
	for _, k := range before {
		if !slices.Contains(after, k) {
			minus++
		}
	}
	old = fmt.Sprintf("%d keys", len(before))
	if plus == 0 && minus == 0 && len(before) == len(after) {
		return old, old
	}
	return old, fmt.Sprintf("%d keys (%d added, %d removed)", len(after), plus, minus)
}

// snakeCase converts the name of a Go field.
func snakeCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if i > 0 && r >= 'A' && r <= 'Z' {
			b.WriteByte('_')
		}
		b.WriteRune(r)
	}
	return strings.ToLower(b.String())
}
