// Package tsversion decides at which software version of its service a stream may begin and go on.
//
// Several versions may serve side by side, and a stream may go on only at the version that began it.
// Two facts tell an entry VM which one that was: the beginnings of streams, which entry VMs share in
// memory (Streams), and the registered versions (Tracker). A version is registered in the store before
// any stream begins at it, and until long after its last server has left: if a service has only one
// registered version, that one began all its streams, also those of entry VMs that were killed.
//
// The load pattern is a release during which many entry VMs are killed: their callers resume their
// streams at other entry VMs at once.
//
// # Usage
//
//	t := tsversion.NewTracker()
//	t.SetServers(now, servers, retention)
//	t.SetRegistered(now, registered) // as read from the store
//	missing := t.Unregistered()      // add them in the store, then SetRegistered
//	versions := t.Usable("pool")     // for a new stream
//	v, ok := registered.Sole("pool") // for a stream whose beginning is unknown
package tsversion

import (
	"maps"
	"slices"
	"time"

	"turmericshed"
)

// Versions holds software versions by service, each list in ascending order. It is the document that
// is stored.
type Versions map[string][]turmericshed.SoftwareVersion

// Has reports whether v has the version of the service.
func (v Versions) Has(service string, s turmericshed.SoftwareVersion) bool {
	_, found := slices.BinarySearch(v[service], s)
	return found
}

// Sole returns the only version of the service; false if there are several or none.
func (v Versions) Sole(service string) (turmericshed.SoftwareVersion, bool) {
	if len(v[service]) != 1 {
		return "", false
	}
	return v[service][0], true
}

// Clone returns a deep copy.
func (v Versions) Clone() Versions {
	out := make(Versions, len(v))
	for service, list := range v {
		out[service] = slices.Clone(list)
	}
	return out
}

// Add adds the versions of o, and reports whether any of them was new.
func (v Versions) Add(o Versions) (changed bool) {
	for service, list := range o {
		for _, s := range list {
			if i, found := slices.BinarySearch(v[service], s); !found {
				v[service] = slices.Insert(v[service], i, s)
				changed = true
			}
		}
	}
	return changed
}

// Remove removes the versions of o, and reports whether v had any of them.
func (v Versions) Remove(o Versions) (changed bool) {
	for service, list := range o {
		kept := slices.DeleteFunc(slices.Clone(v[service]), func(s turmericshed.SoftwareVersion) bool { return slices.Contains(list, s) })
		changed = changed || len(kept) < len(v[service])
		v[service] = kept
		if len(kept) == 0 {
			delete(v, service)
		}
	}
	return changed
}

// serviceVersion is a version of a service.
type serviceVersion struct {
	service string
	turmericshed.SoftwareVersion
}

// Tracker compares the versions of the listed servers with the registered ones. It is not safe for
// concurrent use.
type Tracker struct {
	// listed are the versions of the servers in the list, registered those in the store as far as they
	// are known.
	listed, registered Versions
	// lastListed is when a listed or registered version was last in the list, or first read.
	lastListed map[serviceVersion]time.Time
}

// NewTracker returns a tracker that knows no servers.
func NewTracker() *Tracker {
	return &Tracker{listed: Versions{}, registered: Versions{}, lastListed: make(map[serviceVersion]time.Time)}
}

// SetServers replaces the list of servers. A version that is listed again after it was not for half of
// the retention counts as unregistered, since others may have removed it meanwhile.
func (t *Tracker) SetServers(now time.Time, servers []turmericshed.BackendServer, retention time.Duration) {
	t.noteListed(now)
	listed := Versions{}
	for _, s := range servers {
		v := Versions{s.Service: {s.Software}}
		if !listed.Add(v) || t.listed.Has(s.Service, s.Software) {
			continue
		}
		if at, known := t.lastListed[serviceVersion{s.Service, s.Software}]; !known || now.Sub(at) >= retention/2 {
			t.registered.Remove(v)
		}
	}
	t.listed = listed
	t.noteListed(now)
}

// noteListed records that the listed versions are listed now.
func (t *Tracker) noteListed(now time.Time) {
	for service, list := range t.listed {
		for _, s := range list {
			t.lastListed[serviceVersion{service, s}] = now
		}
	}
}

// SetRegistered records what the store holds.
func (t *Tracker) SetRegistered(now time.Time, v Versions) {
	t.registered = v.Clone()
	t.noteListed(now)
	for service, list := range v {
		for _, s := range list {
			if k := (serviceVersion{service, s}); t.lastListed[k].IsZero() {
				t.lastListed[k] = now
			}
		}
	}
	maps.DeleteFunc(t.lastListed, func(k serviceVersion, _ time.Time) bool {
		return !v.Has(k.service, k.SoftwareVersion) && !t.listed.Has(k.service, k.SoftwareVersion)
	})
}

// Registered returns the registered versions as far as they are known.
func (t *Tracker) Registered() Versions { return t.registered.Clone() }

// Unregistered returns the listed versions that are not known to be registered.
func (t *Tracker) Unregistered() Versions {
	v := t.listed.Clone()
	v.Remove(t.registered)
	return v
}

// Unused returns the registered versions of which no server was listed for the retention, and when
// there will be more of them; zero if there will not.
func (t *Tracker) Unused(now time.Time, retention time.Duration) (unused Versions, next time.Time) {
	unused = Versions{}
	for service, list := range t.registered {
		for _, s := range list {
			if t.listed.Has(service, s) {
				continue
			}
			at := t.lastListed[serviceVersion{service, s}].Add(retention)
			switch {
			case !now.Before(at):
				unused.Add(Versions{service: {s}})
			case next.IsZero() || at.Before(next):
				next = at
			}
		}
	}
	return unused, next
}

// Usable returns the versions of the service at which a new stream may begin; nil means all, since
// nothing is known to be registered.
func (t *Tracker) Usable(service string) []turmericshed.SoftwareVersion {
	var usable []turmericshed.SoftwareVersion
	for _, s := range t.listed[service] {
		if t.registered.Has(service, s) {
			usable = append(usable, s)
		}
	}
	return usable
}

// IsMixed reports whether streams of the service may have begun at different versions.
func (t *Tracker) IsMixed(service string) bool {
	all := Versions{service: t.registered[service]}.Clone()
	all.Add(Versions{service: t.listed[service]})
	return len(all[service]) > 1
}
