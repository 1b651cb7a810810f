package turmericshed

import (
	"context"
	"time"
)

// Link reports the congestion of this entry VM's local network link.
type Link interface {
	// WasCongested reports whether, at any time after since, bytes have been queued on
	// the link for so long that a timeout does not indicate a fault of the remote
	// end.
	WasCongested(since time.Time) bool
	// IsSaturated reports whether the link is saturated, so that callers should use
	// other entry VMs.
	IsSaturated() bool
	// Delay returns the time until size bytes that are written now have left the
	// link, including the bytes queued before them.
	Delay(size int) time.Duration
	// Await waits until an account's body of size bytes may use the link.
	// Errors: KindOverloaded without waiting if that is later than the deadline
	// of ctx, KindCanceled when ctx is done.
	Await(ctx context.Context, account AccountID, size int) error
}

// LinkTimeout returns the timeout for an answer: congested if bytes are queued on the
// local link, which makes every remote end appear slow, and usual otherwise. A
// nil link is never congested.
func LinkTimeout(l Link, usual, congested time.Duration) time.Duration {
	if l != nil && l.WasCongested(time.Now()) {
		return congested
	}
	return usual
}
