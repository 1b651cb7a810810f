package tsplatform

import (
	"encoding/json"
	"net/http"
	"time"

	"turmericshed"
)

// CallerHeader is the request header that holds the caller's name.
const CallerHeader = "Platform-Caller"

// Paths of the platform's HTTP API.
const (
	PathGet       = "/v1/get"
	PathList      = "/v1/list"
	PathSwap      = "/v1/compare-and-swap"
	PathGrant     = "/v1/leases/grant"
	PathKeepAlive = "/v1/leases/keep-alive"
	PathWatch     = "/v1/watch"
	PathDirectory = "/v1/vms"
	PathEntries   = "/v1/vms/entries"
	PathServers   = "/v1/vms/servers"
)

// Item is a turmericshed.Item on the wire.
type Item struct {
	Key     string               `json:"key"`
	Value   []byte               `json:"value,omitempty"`
	Version turmericshed.Version `json:"version"`
}

// GetRequest is the body of PathGet.
type GetRequest struct {
	Key string `json:"key"`
}

// ListRequest is the body of PathList.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit,omitempty"`
}

// ListAnswer is the answer to PathList.
type ListAnswer struct {
	Items []Item `json:"items"`
}

// SwapRequest is the body of PathSwap.
type SwapRequest struct {
	Key             string               `json:"key"`
	ExpectedVersion turmericshed.Version `json:"want"`
	Value           []byte               `json:"value,omitempty"`
	Delete          bool                 `json:"delete,omitempty"`
	Lease           turmericshed.LeaseID `json:"lease,omitempty"`
}

// SwapAnswer is the answer to PathSwap.
type SwapAnswer struct {
	Version turmericshed.Version `json:"version"`
}

// LeaseRequest is the body of PathGrant (TTL) and PathKeepAlive (Lease).
type LeaseRequest struct {
	Lease turmericshed.LeaseID  `json:"lease,omitempty"`
	TTL   turmericshed.Duration `json:"ttl,omitzero"`
}

// LeaseAnswer is the answer to PathGrant.
type LeaseAnswer struct {
	Lease turmericshed.LeaseID `json:"lease"`
}

// WatchLine is one line of the stream of PathWatch. A line with neither a key nor Reset
// only keeps the stream alive.
type WatchLine struct {
	Item
	Deleted bool `json:"deleted,omitempty"`
	Reset   bool `json:"reset,omitempty"`
}

// ErrorAnswer is the body of every answer whose status is not 200.
type ErrorAnswer struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
}

// platformKinds are the error kinds that the platform answers with.
var platformKinds = []turmericshed.Kind{
	turmericshed.KindBadRequest, turmericshed.KindTooLarge, turmericshed.KindNotFound,
	turmericshed.KindConflict, turmericshed.KindStoreUnavailable,
}

// ToItem converts an item from its wire format.
func ToItem(it Item) turmericshed.Item {
	return turmericshed.Item{Key: it.Key, Value: it.Value, Version: it.Version}
}

// FromItem converts an item to its wire format.
func FromItem(it turmericshed.Item) Item {
	return Item{Key: it.Key, Value: it.Value, Version: it.Version}
}

// DecodeWatchLine decodes one line of a watch stream. hasEvent is false for a line that
// only keeps the stream alive. It returns KindStoreUnavailable for a malformed line.
func DecodeWatchLine(line []byte) (ev turmericshed.WatchEvent, hasEvent bool, err error) {
	var l WatchLine
	if err := json.Unmarshal(line, &l); err != nil {
		return ev, false, turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "bad watch line")
	}
	ev = turmericshed.WatchEvent{Item: ToItem(l.Item), Deleted: l.Deleted, Reset: l.Reset}
	return ev, l.Key != "" || l.Reset, nil
}

// decodeError converts an answer whose status is not 200 into an error. An answer that
// the platform did not produce itself does not show whether a write took effect.
func decodeError(status int, body []byte, write bool) error {
	var a ErrorAnswer
	if json.Unmarshal(body, &a) == nil {
		for _, k := range platformKinds {
			if k.String() == a.Kind {
				return turmericshed.NewError(k, "%s", a.Message)
			}
		}
	}
	return turmericshed.NewError(unansweredKind(write), "the platform answered %d %s", status, http.StatusText(status))
}

// unansweredKind returns the error kind of a call that may have reached the platform but
// has no valid answer.
func unansweredKind(write bool) turmericshed.Kind {
	if write {
		return turmericshed.KindStoreUnknown
	}
	return turmericshed.KindStoreUnavailable
}

// Defaults of Options, and settings of the connections.
const (
	defaultCallTimeout = 5 * time.Second
	defaultWatchIdle   = 15 * time.Second
	dialTimeout        = 2 * time.Second
	maxIdleConns       = 16
)
