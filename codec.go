package turmericshed

import (
	"context"
	"net/http"
	"time"
)

// Codec translates between the headers of callers and backend servers and the
// product's types. It holds no decision.
type Codec interface {
	// DecodeRequest reads a caller's headers. KindBadRequest when one that
	// is needed is missing or malformed.
	DecodeRequest(h http.Header) (Inbound, error)
	// EncodeRequest returns the headers for a backend server: the caller's,
	// without those of one connection or reserved to the fleet, and ours.
	EncodeRequest(h http.Header, o Outbound) http.Header
	// DecodeReply reads the headers of a backend server's answer.
	DecodeReply(status int, h http.Header) BackendReply
	// EncodeReply returns a backend server's headers for the caller.
	EncodeReply(h http.Header) http.Header
	// RetryAfter formats the advice on when to ask again.
	RetryAfter(d time.Duration) string
}

// SnapshotStore is a Store that can be mirrored.
type SnapshotStore interface {
	Store
	Source
}

// Source is what a mirror follows.
type Source interface {
	// Snapshot returns every item with the prefix.
	Snapshot(ctx context.Context, prefix string) (Snapshot, error)
	// Watch delivers changes under prefix with versions above after.
	Watch(ctx context.Context, prefix string, after Version) (Watcher, error)
}

// WatchedStore is the platform's store as one that follows it by itself. Its
// snapshots and changes come over connections of their own, since a kept one
// that does not answer may just have gone silent.
type WatchedStore interface {
	Snapshot(ctx context.Context, prefix string) (Snapshot, error)
	// Await returns what changed under prefix after a version as soon as
	// anything did, or nothing after the wait. It uses kept connections.
	Await(ctx context.Context, prefix string, after Version, wait time.Duration) (Changes, error)
	// Changes returns what changed under prefix after a version at once.
	Changes(ctx context.Context, prefix string, after Version) (Changes, error)
}
