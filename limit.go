package turmericshed

import (
	"context"
	"time"
)

// RateLimit is the rate limit in a backend server's answer. It applies to the
// requests of all entry VMs together.
type RateLimit struct {
	// PerSecond is the lowest rate in the answer, in requests per second; 0 if
	// there is none.
	PerSecond float64
	// Malformed is the quoted header value that is not a valid limit; empty if
	// there is none.
	Malformed string
}

// IsPresent reports whether the answer contains a limit, valid or malformed.
func (l RateLimit) IsPresent() bool { return l.PerSecond > 0 || l.Malformed != "" }

// LimitNotice is the rate limit of a backend server according to one answer.
type LimitNotice struct {
	Server ServerID
	// Started distinguishes the server's process from others with the same ID.
	Started time.Time
	// PerSecond is the limit for all entry VMs together in requests per second;
	// 0 means that there is no limit.
	PerSecond float64
	// RequestSentAt is when the request with this answer was sent, or earlier; AnswerReceivedAt is
	// when the answer was received, or later.
	RequestSentAt, AnswerReceivedAt time.Time
}

// ServerLimits enforces the rate limits that backend servers announce.
type ServerLimits interface {
	// Answered processes the rate limit in the answer to a request that was sent
	// at asked.
	Answered(s BackendServer, asked time.Time, r BackendReply)
	// Acquire reports whether one request may be sent to the server now. It may
	// query another entry VM and wait until ctx is done, at most a few tenths of a
	// second. If ctx is already done, it uses only permits held locally.
	Acquire(ctx context.Context, s BackendServer) bool
	// Return releases the acquired permit of a request that was not sent.
	Return(s BackendServer)
	// Closed returns the servers that must not receive requests, each with the
	// time until which this applies.
	Closed(now time.Time) map[ServerID]time.Time
}
