package tsplatform

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"turmericshed"
)

// DirectoryOptions configures a Directory.
type DirectoryOptions struct {
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Lag is the age of the state that Snapshot returns.
	Lag time.Duration
	// Expiry is the time without a heartbeat after which a VM is no longer
	// listed; 0 disables expiry.
	Expiry time.Duration
}

// DirectoryFaults configures the failures that the directory injects into
// subsequent snapshots.
type DirectoryFaults struct {
	// Outage makes Snapshot fail with KindStoreUnavailable.
	Outage bool `json:"outage,omitempty"`
	// Empty makes Snapshot return no VMs.
	Empty bool `json:"empty,omitempty"`
	// Lag overrides DirectoryOptions.Lag if it is positive.
	Lag turmericshed.Duration `json:"lag,omitempty"`
}

// Directory is the platform's list of VMs, which lags behind the actual state.
type Directory struct {
	opts   DirectoryOptions
	mu     sync.Mutex
	faults DirectoryFaults
	vms    map[string]*listedVM
	reads  int64
}

// listedVM is an entry VM or a backend server, with the times that determine
// whether a snapshot includes it.
type listedVM struct {
	entry         *turmericshed.EntryVM
	server        *turmericshed.BackendServer
	addedAt       time.Time
	lastHeartbeat time.Time
	leavingAt     time.Time
	removedAt     time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory(o DirectoryOptions) *Directory {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Directory{opts: o, vms: map[string]*listedVM{}}
}

var _ turmericshed.Directory = (*Directory)(nil)

// AddEntry lists an entry VM, or records a heartbeat if it is already listed.
func (d *Directory) AddEntry(e turmericshed.EntryVM) {
	d.add("entry/"+string(e.Incarnation), &listedVM{entry: &e})
}

// AddServer lists a backend server, or records a heartbeat if it is already
// listed.
func (d *Directory) AddServer(s turmericshed.BackendServer) {
	d.add("server/"+string(s.ID), &listedVM{server: &s})
}

// add lists v, or records a heartbeat if the key is listed and has not expired.
func (d *Directory) add(key string, v *listedVM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	if old, ok := d.vms[key]; ok && old.removedAt.IsZero() && !d.expired(old, now) {
		old.lastHeartbeat = now
		return
	}
	v.addedAt, v.lastHeartbeat = now, now
	d.vms[key] = v
}

// RemoveEntry removes an entry VM from the list.
func (d *Directory) RemoveEntry(in turmericshed.Incarnation) { d.remove("entry/" + string(in)) }

// RemoveServer removes a backend server from the list.
func (d *Directory) RemoveServer(id turmericshed.ServerID) { d.remove("server/" + string(id)) }

func (d *Directory) remove(key string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v, ok := d.vms[key]; ok && v.removedAt.IsZero() {
		v.removedAt = d.opts.Now()
	}
}

// LeaveServer marks a backend server as leaving.
func (d *Directory) LeaveServer(id turmericshed.ServerID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v, ok := d.vms["server/"+string(id)]; ok && v.leavingAt.IsZero() {
		v.leavingAt = d.opts.Now()
	}
}

// SetFaults replaces the active faults.
func (d *Directory) SetFaults(f DirectoryFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = f
}

// Reads returns the number of calls to Snapshot so far.
func (d *Directory) Reads() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reads
}

// Snapshot returns the list as it was one lag ago. It returns
// KindStoreUnavailable during an outage.
func (d *Directory) Snapshot(context.Context) (turmericshed.DirectorySnapshot, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reads++
	if d.faults.Outage {
		return turmericshed.DirectorySnapshot{}, turmericshed.NewError(turmericshed.KindStoreUnavailable, "the platform's list doesn't answer")
	}
	lag := d.opts.Lag
	if d.faults.Lag > 0 {
		lag = time.Duration(d.faults.Lag)
	}
	snap := turmericshed.DirectorySnapshot{AsOf: d.opts.Now().Add(-lag)}
	for key, v := range d.vms {
		if !v.removedAt.IsZero() && d.opts.Now().Sub(v.removedAt) > max(lag, d.opts.Lag) {
			delete(d.vms, key)
			continue
		}
		if !d.faults.Empty {
			d.appendVisible(&snap, v)
		}
	}
	slices.SortFunc(snap.EntryVMs, func(a, b turmericshed.EntryVM) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	slices.SortFunc(snap.Servers, func(a, b turmericshed.BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	return snap, nil
}

// appendVisible appends v to snap if it was listed at snap.AsOf.
func (d *Directory) appendVisible(snap *turmericshed.DirectorySnapshot, v *listedVM) {
	at := snap.AsOf
	removed := !v.removedAt.IsZero() && !v.removedAt.After(at)
	if v.addedAt.After(at) || removed || d.expired(v, at) {
		return
	}
	if v.entry != nil {
		snap.EntryVMs = append(snap.EntryVMs, *v.entry)
		return
	}
	s := *v.server
	s.Leaving = s.Leaving || (!v.leavingAt.IsZero() && !v.leavingAt.After(at))
	snap.Servers = append(snap.Servers, s)
}

// expired reports whether v had no heartbeat for DirectoryOptions.Expiry at the
// given time.
func (d *Directory) expired(v *listedVM, at time.Time) bool {
	return d.opts.Expiry > 0 && at.Sub(v.lastHeartbeat) >= d.opts.Expiry
}
