package turmericshed

import (
	"context"
	"time"
)

// RateLimit is what an answer of a backend server says of the requests that the
// server takes from all entry VMs together.
type RateLimit struct {
	// PerSecond is the lowest rate that was named; 0 when none was.
	PerSecond float64
	// Malformed is what was named and could not be read; empty when nothing.
	Malformed string
}

// Named reports whether the answer says anything of a limit.
func (l RateLimit) Named() bool { return l.PerSecond > 0 || l.Malformed != "" }

// LimitNotice is what one answer told of a backend server's limit.
type LimitNotice struct {
	Server ServerID
	// Started tells the server's process from others with its id.
	Started time.Time
	// PerSecond is the limit of all entry VMs together in requests a second; 0
	// tells that there is none.
	PerSecond float64
	// Asked is when the request was sent that was answered so, or before; Heard
	// is when the answer came, or later.
	Asked, Heard time.Time
}

// ServerLimits keeps to the limits that backend servers name.
type ServerLimits interface {
	// Answered takes what an answer to a request that was sent at asked says.
	Answered(s BackendServer, asked time.Time, r BackendReply)
	// Acquire reports whether one request may be sent to the server now. It may
	// ask another entry VM and wait until ctx ends, some tenths of a second at
	// most. Where ctx has ended, it takes what is at hand.
	Acquire(ctx context.Context, s BackendServer) bool
	// Return gives back an acquired permit of a request that was not sent.
	Return(s BackendServer)
	// Closed returns the servers that nothing may be sent to, and until when.
	Closed(now time.Time) map[ServerID]time.Time
}
