package turmericshed

import (
	"context"
	"slices"
	"time"
)

// MaxValueBytes is the largest value that the platform's service holds.
const MaxValueBytes = 1 << 20

// LeaseID names a lease of the platform's key-value service; empty is none.
type LeaseID string

// Item is a key with its value as last read. Version 0 means absent.
type Item struct {
	Key     string
	Value   []byte
	Version Version
}

// Write is a compare-and-swap on one key.
type Write struct {
	Key string
	// Want is the version that the key must have; 0 for absent.
	Want Version
	// Value is ignored when Delete is set.
	Value  []byte
	Delete bool
	// Lease, when set, deletes the key when the lease lapses.
	Lease LeaseID
}

// WatchEvent is a change of a key. A gap in the stream is told by Reset:
// the watcher must list again. An event with neither a key nor Reset tells
// only that nothing else changed up to its version.
type WatchEvent struct {
	Item
	Deleted bool
	Reset   bool
	// AsOf is a time up to which every change under the prefix is known once
	// this event took effect; zero while more events follow.
	AsOf time.Time
}

// Changes are what happened under a prefix after a version.
type Changes struct {
	Events []WatchEvent
	// At is the version up to which they are complete, and AsOf a time.
	At   Version
	AsOf time.Time
	// Reset tells that the changes are not known any more: list again.
	Reset bool
}

// Deliver returns the events of a watch that tell the changes, at least one.
// The last one tells until when they are complete.
func (c Changes) Deliver() []WatchEvent {
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
	// items were read may or may not be included; the watch tells them again.
	At Version
	// AsOf is a time up to which every change is included.
	AsOf time.Time
}

// Watcher delivers changes until it is closed or fails.
type Watcher interface {
	// Next blocks until a change or an error.
	Next(ctx context.Context) (WatchEvent, error)
	Close() error
}

// Store is the platform's key-value service. Errors have one of these kinds:
// KindConflict (the version differed; not applied), KindStoreUnavailable
// (certainly not applied), KindStoreUnknown (may have been applied, or may
// still be).
type Store interface {
	// Get returns the item; an absent key has Version 0 and no error.
	Get(ctx context.Context, key string) (Item, error)
	// List returns up to limit items with the prefix, in key order, after
	// the given key. It counts as one read.
	List(ctx context.Context, prefix, after string, limit int) ([]Item, error)
	// CompareAndSwap applies w and returns the new version. A conflict may
	// carry the item as it stands, see CurrentOf.
	CompareAndSwap(ctx context.Context, w Write) (Version, error)
	// Grant makes a lease with the given time to live.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; KindNotFound once it lapsed.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Watch delivers changes under prefix with versions above after.
	Watch(ctx context.Context, prefix string, after Version) (Watcher, error)
}

// Transaction is writes of several keys that are applied together or not at
// all, if the keys of Checks have their versions as well.
type Transaction struct {
	Writes []Write
	Checks []Check
}

// Check is the version that a key must have; 0 for absent.
type Check struct {
	Key  string
	Want Version
}

// Transactor is a Store that applies writes of several keys at once.
type Transactor interface {
	// MaxKeys returns the most keys of a transaction.
	MaxKeys() int
	// Transact applies t and returns the version that all written keys have
	// now. Errors are those of Store.CompareAndSwap; a conflict carries every
	// key's item as it stands, see CurrentOf.
	Transact(ctx context.Context, t Transaction) (Version, error)
}

// StaleLister reads a list that may be seconds old, at a fraction of the price
// of Store.List.
type StaleLister interface {
	ListStale(ctx context.Context, prefix, after string, limit int) ([]Item, error)
}

// Directory is the platform's lagging list of live and leaving VMs.
type Directory interface {
	// Snapshot returns the list as the platform saw it at AsOf.
	Snapshot(ctx context.Context) (DirectorySnapshot, error)
}

// DirectorySnapshot is one reading of the platform's list. It may be stale
// or empty; nobody is declared gone because of it alone.
type DirectorySnapshot struct {
	AsOf    time.Time       `json:"as_of"`
	Entries []EntryVM       `json:"entry_vms"`
	Servers []BackendServer `json:"backend_servers"`
}
