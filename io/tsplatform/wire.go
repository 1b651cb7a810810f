package tsplatform

import (
	"encoding/json"
	"net/http"
	"time"

	"turmericshed"
)

// CallerHeader names the caller of a call to the platform.
const CallerHeader = "Platform-Caller"

// The paths of the platform's HTTP interface.
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

// ListAnswer answers PathList.
type ListAnswer struct {
	Items []Item `json:"items"`
}

// SwapRequest is the body of PathSwap.
type SwapRequest struct {
	Key    string               `json:"key"`
	Want   turmericshed.Version `json:"want"`
	Value  []byte               `json:"value,omitempty"`
	Delete bool                 `json:"delete,omitempty"`
	Lease  turmericshed.LeaseID `json:"lease,omitempty"`
}

// SwapAnswer answers PathSwap.
type SwapAnswer struct {
	Version turmericshed.Version `json:"version"`
}

// LeaseRequest is the body of PathGrant (TTL) and PathKeepAlive (Lease).
type LeaseRequest struct {
	Lease turmericshed.LeaseID  `json:"lease,omitempty"`
	TTL   turmericshed.Duration `json:"ttl,omitzero"`
}

// LeaseAnswer answers PathGrant.
type LeaseAnswer struct {
	Lease turmericshed.LeaseID `json:"lease"`
}

// WatchLine is one line of the stream of PathWatch. A line without a key and
// without Reset keeps the stream alive.
type WatchLine struct {
	Item
	Deleted bool `json:"deleted,omitempty"`
	Reset   bool `json:"reset,omitempty"`
}

// ErrorAnswer is the body of every answer but 200.
type ErrorAnswer struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
}

// sentKinds are the kinds that the platform answers with.
var platformKinds = []turmericshed.Kind{
	turmericshed.KindBadRequest, turmericshed.KindTooLarge, turmericshed.KindNotFound,
	turmericshed.KindConflict, turmericshed.KindStoreUnavailable,
}

// ToItem converts an item from the wire.
func ToItem(it Item) turmericshed.Item {
	return turmericshed.Item{Key: it.Key, Value: it.Value, Version: it.Version}
}

// FromItem converts an item for the wire.
func FromItem(it turmericshed.Item) Item {
	return Item{Key: it.Key, Value: it.Value, Version: it.Version}
}

// DecodeWatchLine reads one line of a watch. ok is false for a line that only
// keeps the stream alive.
func DecodeWatchLine(line []byte) (ev turmericshed.WatchEvent, ok bool, err error) {
	var l WatchLine
	if err := json.Unmarshal(line, &l); err != nil {
		return ev, false, turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "bad watch line")
	}
	ev = turmericshed.WatchEvent{Item: ToItem(l.Item), Deleted: l.Deleted, Reset: l.Reset}
	return ev, l.Key != "" || l.Reset, nil
}

// decodeError turns an answer that isn't 200 into an error. An answer that
// the platform didn't write itself says nothing about a write.
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

// ambiguous is the kind of a call that may have arrived.
func unansweredKind(write bool) turmericshed.Kind {
	if write {
		return turmericshed.KindStoreUnknown
	}
	return turmericshed.KindStoreUnavailable
}

// defaults of Options.
const (
	defaultCallTimeout = 5 * time.Second
	defaultWatchIdle   = 15 * time.Second
	dialTimeout        = 2 * time.Second
	maxIdleConns       = 16
)
