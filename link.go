package turmericshed

import (
	"context"
	"time"
)

// Link tells how full this entry VM's own network link is.
type Link interface {
	// Crowded reports whether bytes waited at the link at some time since then,
	// for so long that a time-out proves nothing about who is at the other end.
	Crowded(since time.Time) bool
	// Full reports whether callers should go to other entry VMs, since this
	// one's link does not carry more.
	Full() bool
	// Delay returns how long size bytes that are written now take until they
	// have left the link, behind those written before.
	Delay(size int) time.Duration
	// Await waits for the turn of an account's body of size bytes at the link.
	// Errors: KindOverloaded at once when that would be after the deadline of
	// ctx, KindCanceled when ctx ends.
	Await(ctx context.Context, account AccountID, size int) error
}

// Patience returns how long to wait for an answer: usual, or crowded where bytes
// wait at the own link, behind which every other end seems slow. A nil link is
// never crowded.
func Patience(l Link, usual, crowded time.Duration) time.Duration {
	if l != nil && l.Crowded(time.Now()) {
		return crowded
	}
	return usual
}
