package turmericshed

import (
	"context"
	"net/http"
	"time"
)

// Codec translates between the headers of callers and backend servers and the
// types of this package. It makes no routing or admission decisions.
type Codec interface {
	// DecodeRequest parses a caller's headers. It returns KindBadRequest when a
	// required header is missing or a header is malformed.
	DecodeRequest(h http.Header) (Inbound, error)
	// EncodeRequest returns the headers for a backend server: the caller's
	// headers without hop-by-hop headers and those reserved for the fleet, plus
	// the fleet's headers.
	EncodeRequest(h http.Header, o Outbound) http.Header
	// DecodeReply parses the headers of a backend server's answer.
	DecodeReply(status int, h http.Header) BackendReply
	// EncodeReply returns the headers for the caller from those of a backend
	// server's answer.
	EncodeReply(h http.Header) http.Header
	// RetryAfter formats the value of a Retry-After header.
	RetryAfter(d time.Duration) string
}

// SnapshotStore is a Store that a mirror can follow.
type SnapshotStore interface {
	Store
	Source
}

// Source provides the snapshots and watches from which a mirror is built.
type Source interface {
	// Snapshot returns every item with the prefix.
	Snapshot(ctx context.Context, prefix string) (Snapshot, error)
	// Watch delivers the changes under prefix with versions greater than after.
	Watch(ctx context.Context, prefix string, after Version) (Watcher, error)
}

// WatchedStore is the view of the platform's store for components that watch it
// themselves. Snapshot and Changes open a new connection for each call, because a
// missing answer on a pooled connection may only mean that this connection is
// dead.
type WatchedStore interface {
	Snapshot(ctx context.Context, prefix string) (Snapshot, error)
	// Await is a long poll: it returns the changes under prefix after a version
	// as soon as there are any, or none once wait has passed. It uses pooled
	// connections.
	Await(ctx context.Context, prefix string, after Version, wait time.Duration) (Changes, error)
	// Changes returns the changes under prefix after a version without waiting.
	Changes(ctx context.Context, prefix string, after Version) (Changes, error)
	// ObserveVersion tells the store's client of a version that another process has read, so that the client
	// notices without a call that the store came back from an older copy.
	ObserveVersion(v Version)
}
