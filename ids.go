package turmericshed

import (
	"crypto/rand"
	"encoding/hex"
	"net/netip"
	"time"
)

// Tokens counts model tokens. Amounts are never negative in documents.
type Tokens int64

// Version is the store-wide revision of a key's last write. Zero means that
// the key does not exist. A version is never used twice, also not after a key
// was deleted and made again.
type Version uint64

// Names and identifiers. All are opaque, case-sensitive strings.
type (
	// ProfileName is the name by which services pick a profile.
	ProfileName string
	// BudgetID identifies a budget for its whole life. A profile that is
	// deleted and made again gets a new one.
	BudgetID string
	// AccountID names a client account.
	AccountID string
	// RequestID identifies one request of one caller; retries with the same
	// idempotency key keep it.
	RequestID string
	// LotID identifies an amount drawn from a budget. It is made before the
	// write that draws it.
	LotID string
	// ClaimID identifies a claim on a non-idempotent call.
	ClaimID string
	// Incarnation is a random identifier made at process start and never
	// reused.
	Incarnation string
	// FailureDomain names a failure domain.
	FailureDomain string
	// Region names a region, which holds one or more failure domains.
	Region string
	// ServerID identifies a backend server.
	ServerID string
	// Model names a model in steady use.
	Model string
	// StreamID identifies one generation at a model engine.
	StreamID string
	// Digest is the hex SHA-256 of a request body.
	Digest string
)

// EntryVM describes one process of the fleet.
type EntryVM struct {
	Name          string         `json:"name"`
	Incarnation   Incarnation    `json:"incarnation"`
	Region        Region         `json:"region"`
	FailureDomain FailureDomain  `json:"failure_domain"`
	CallerAddr    netip.AddrPort `json:"caller_addr"`
	PeerAddr      netip.AddrPort `json:"peer_addr"`
	// Capacity is the processor time that the entry VM has, in cores; 0 where
	// nobody tells. Those with more do what one does for all.
	Capacity float64 `json:"capacity,omitempty"`
}

// BackendServer describes one model engine or plain service.
type BackendServer struct {
	ID            ServerID       `json:"id"`
	Region        Region         `json:"region"`
	FailureDomain FailureDomain  `json:"failure_domain"`
	Addr          netip.AddrPort `json:"addr"`
	Work          WorkKind       `json:"work"`
	// Models lists what a model engine serves; empty for plain services.
	Models []Model `json:"models,omitempty"`
	// Service is the path element under /services/ that a plain service
	// serves; empty for model engines.
	Service string `json:"service,omitempty"`
	// Slots is the number of requests that run at once without queueing.
	Slots int `json:"slots,omitempty"`
	// Leaving is true from the first sign that the server is going away.
	Leaving bool `json:"leaving,omitempty"`
	// Started is when the server's process started; zero when not told. A
	// server that starts again may keep its id.
	Started time.Time `json:"started,omitzero"`
}

// WorkKind is the kind of work of a profile or a backend server.
type WorkKind string

// The kinds of work.
const (
	// WorkAssistant is token generation by a model engine.
	WorkAssistant WorkKind = "assistant"
	// WorkService is a plain service call.
	WorkService WorkKind = "service"
)

// randomIDBytes is the length of generated identifiers before hex encoding.
const randomIDBytes = 12

// NewID returns a random identifier with the given prefix, such as "lot-".
// The pure packages take identifiers as arguments instead.
func NewID(prefix string) string {
	var b [randomIDBytes]byte
	_, _ = rand.Read(b[:])
	return prefix + hex.EncodeToString(b[:])
}
