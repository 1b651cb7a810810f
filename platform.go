package turmericshed

import (
	"context"
	"slices"
	"time"
)

// MaxValueBytes is the largest value that the platform's service stores.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease of the platform's key-value service; empty for none.
type LeaseID string

// Item is a key with its value as last read. Version 0 means that the key is
// absent.
type Item struct {
	Key     string
	Value   []byte
	Version Version
}

// Write is a compare-and-swap on one key.
type Write struct {
	Key string
	// ExpectedVersion is the expected version of the key; 0 for absent.
	ExpectedVersion Version
	// Value is ignored when Delete is set.
	Value  []byte
	Delete bool
	// Lease, when set, is attached to the key: the key is deleted when the lease
	// lapses.
	Lease LeaseID
}

// WatchEvent is a change of a key. Reset reports a gap in the stream: the
// watcher must list the keys again. An event with neither a key nor Reset
// reports only that there are no further changes up to its version.
type WatchEvent struct {
	Item
	Deleted bool
	Reset   bool
	// AsOf is a time up to which all changes under the prefix are included once
	// this event is applied; zero while more events follow.
	AsOf time.Time
}

// Changes are the changes under a prefix after a version.
type Changes struct {
	Events []WatchEvent
	// At and AsOf are the version and the time up to which Events is complete.
	At   Version
	AsOf time.Time
	// Reset means that the store no longer has the changes: list the keys again.
	Reset bool
}

// WatchEvents returns the changes as watch events, at least one. The AsOf of the
// last event is the time up to which the changes are complete.
func (c Changes) WatchEvents() []WatchEvent {
	if c.Reset {
		return []WatchEvent{{Reset: true}}
	}
	if len(c.Events) == 0 {
		return []WatchEvent{{Item: Item{Version: c.At}, AsOf: c.AsOf}}
	}
	events := slices.Clone(c.Events)
	events[len(events)-1].AsOf = c.AsOf
	return events
}

// Snapshot is every item with a prefix.
type Snapshot struct {
	Items []Item
	// At is the version from which a watch continues. Changes made while the
	// items were read may or may not be included; the watch delivers them again.
	At Version
	// AsOf is a time up to which every change is included.
	AsOf time.Time
}

// Watcher delivers changes until it is closed or fails.
type Watcher interface {
	// Next blocks until there is a change or an error.
	Next(ctx context.Context) (WatchEvent, error)
	Close() error
}

// Store is the platform's key-value service. Errors have one of these kinds:
// KindConflict (the version differs; not applied), KindStoreUnavailable
// (certainly not applied), KindStoreUnknown (may have been applied or may still
// be applied later).
type Store interface {
	// Get returns the item; an absent key has Version 0 and no error.
	Get(ctx context.Context, key string) (Item, error)
	// List returns up to limit items with the prefix whose keys are greater than
	// after, in key order. It counts as one read.
	List(ctx context.Context, prefix, after string, limit int) ([]Item, error)
	// CompareAndSwap applies w and returns the new version. A conflict error may
	// include the current item, see CurrentItem.
	CompareAndSwap(ctx context.Context, w Write) (Version, error)
	// Grant creates a lease with the given time to live.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It returns KindNotFound once the lease has lapsed.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Watch delivers the changes under prefix with versions greater than after.
	Watch(ctx context.Context, prefix string, after Version) (Watcher, error)
}

// Transaction is a set of writes that are applied atomically. It requires that
// the keys of Checks have the expected versions as well.
type Transaction struct {
	Writes []Write
	Checks []Check
}

// Check is the expected version of a key; 0 for absent.
type Check struct {
	Key             string
	ExpectedVersion Version
}

// Transactor applies writes of several keys atomically.
type Transactor interface {
	// MaxKeys returns the maximum number of keys in a transaction.
	MaxKeys() int
	// Transact applies t and returns the new version of all written keys. Errors
	// are those of Store.CompareAndSwap; a conflict error includes the current
	// item of every key, see CurrentItem.
	Transact(ctx context.Context, t Transaction) (Version, error)
}

// StaleLister returns a list that may be seconds old, at a fraction of the cost
// of Store.List.
type StaleLister interface {
	ListStale(ctx context.Context, prefix, after string, limit int) ([]Item, error)
}

// Directory is the platform's lagging list of live and leaving VMs.
type Directory interface {
	// Snapshot returns the platform's list as of AsOf.
	Snapshot(ctx context.Context) (DirectorySnapshot, error)
}

// DirectorySnapshot is one copy of the platform's list. It may be stale or
// empty, so no entry VM or backend server is declared gone because of it alone.
type DirectorySnapshot struct {
	AsOf     time.Time       `json:"as_of"`
	EntryVMs []EntryVM       `json:"entry_vms"`
	Servers  []BackendServer `json:"backend_servers"`
}
