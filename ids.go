package turmericshed

import (
	"crypto/rand"
	"encoding/hex"
	"net/netip"
	"time"
)

// Tokens is a number of model tokens. Amounts in documents are never negative.
type Tokens int64

// Version is the store-wide revision of a key's last write. Zero means that
// the key does not exist. A version is never reused, not even when a key is
// deleted and created again.
//
// A store may come back from an older copy and give revisions out again. Its
// versions therefore have its era, a number that then rises, above the revision.
type Version uint64

// eraShift is the number of bits of a Version that hold the revision.
const eraShift = 44

// MaxRevision is the highest revision that a Version can hold, MaxEra the highest
// era.
const (
	MaxRevision = 1<<eraShift - 1
	MaxEra      = 1<<(64-eraShift) - 1
)

// NewVersion returns the version for a revision of an era; 0 for revision 0.
func NewVersion(era, revision uint64) Version {
	if revision == 0 {
		return 0
	}
	return Version(era<<eraShift | revision)
}

// Era returns the store's era when the version was read; 0 for a store without eras.
func (v Version) Era() uint64 { return uint64(v) >> eraShift }

// Revision returns the store's revision.
func (v Version) Revision() uint64 { return uint64(v) & MaxRevision }

// Names and identifiers. All are opaque, case-sensitive strings.
type (
	// ProfileName is the name by which callers select a profile.
	ProfileName string
	// BudgetID identifies a budget for its lifetime. A profile that is deleted
	// and created again gets a new one.
	BudgetID string
	// AccountID identifies a client account.
	AccountID string
	// RequestID identifies one request of one caller; retries with the same
	// idempotency key have the same ID.
	RequestID string
	// LotID identifies an amount drawn from a budget. It is generated before the
	// write that draws the lot.
	LotID string
	// ClaimID identifies a claim on a non-idempotent call.
	ClaimID string
	// Incarnation is a random identifier that is generated at process start and
	// never reused.
	Incarnation string
	// FailureDomain names a failure domain.
	FailureDomain string
	// Region names a region, which holds one or more failure domains.
	Region string
	// ServerID identifies a backend server.
	ServerID string
	// Model names a model that engines serve.
	Model string
	// StreamID identifies one generation at a model engine.
	StreamID string
	// SoftwareVersion names a version of a backend server's software, not of the weights that it
	// serves. Versions have no order.
	SoftwareVersion string
	// Digest is the hex SHA-256 of a request body, or identifies a prompt part.
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
	// Capacity is the CPU capacity of the entry VM in cores; 0 if unknown. Tasks
	// that one entry VM does for all are assigned to those with more capacity.
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
	// Software is the version of the server's software; empty if unknown, which counts as a version of
	// its own.
	Software SoftwareVersion `json:"software,omitempty"`
	// Slots is the number of requests that run concurrently without queueing.
	Slots int `json:"slots,omitempty"`
	// Leaving is true from the first indication that the server is shutting down.
	Leaving bool `json:"leaving,omitempty"`
	// Started is when the server's process started; zero if unknown. A
	// restarted server may have the same ID.
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

// randomIDBytes is the number of random bytes in a generated identifier, before
// hex encoding.
const randomIDBytes = 12

// NewID returns a random identifier with the given prefix, such as "lot-".
// The pure packages take identifiers as arguments instead.
func NewID(prefix string) string {
	var b [randomIDBytes]byte
	_, _ = rand.Read(b[:])
	return prefix + hex.EncodeToString(b[:])
}
