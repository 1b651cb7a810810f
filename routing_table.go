package turmericshed

import "time"

// RoutingTable is the operators' desired state of an entry VM that routes by
// host and path: what callers may ask for, where it runs and who may ask.
type RoutingTable struct {
	// Version grows with every edit, in uneven steps.
	Version  uint64
	Routes   []Route
	Services []ServiceSpec
	Limits   CallerLimits
	// Accounts are the client accounts; when empty no key is asked for.
	Accounts []AccountGrant
}

// Route sends the requests of one host whose path begins with Prefix to a
// service. The route with the longest prefix wins.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Targets are the services that share the traffic by weight.
	Targets []RouteTarget
	// Stream tells that answers are event streams.
	Stream bool
	// Repeatable requests may run more than once. A repeatable stream resumes
	// at another server after the last event.
	Repeatable bool
	// Timeout bounds a request, Objective is the time to its answer (to the
	// first event of a stream) that callers hope for, and PauseObjective the
	// longest pause between events. 0 means none.
	Timeout        time.Duration
	Objective      time.Duration
	PauseObjective time.Duration
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Priority orders requests under load; 0 goes first.
	Priority int
	// Anonymous requests need no key.
	Anonymous bool
	// Affinity tells that requests share prompt prefixes, which servers keep.
	Affinity bool
}

// RouteTarget is a service with its share of a route's traffic.
type RouteTarget struct {
	Service string
	Weight  float64
}

// ServiceSpec describes the servers of a service.
type ServiceSpec struct {
	Name string
	// MaxConnections bounds the connections that one server accepts from all
	// callers together; 0 means no bound.
	MaxConnections int
	// TokensPerEvent is how many tokens an event of a stream holds at most; 0
	// for plain services.
	TokensPerEvent Tokens
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the reading of a request, IdleTimeout the time
	// that a connection stays open between requests.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// AccountGrant is a client account as the operators describe it.
type AccountGrant struct {
	Account AccountID
	Keys    []string
	// Priority takes precedence over the route's where HasPriority is set.
	Priority    int
	HasPriority bool
	// Prepaid bounds what the account may consume where HasPrepaid is set.
	Prepaid    Tokens
	HasPrepaid bool
}

// Inbound is a caller's request with the meaning of its headers.
type Inbound struct {
	// ID is the caller's identifier of this attempt. A retry has another.
	ID RequestID
	// Key is the client account's key.
	Key   string
	Model Model
	// PromptTokens and MaxOutput bound what a generation uses; Sized tells
	// that the caller gave them.
	PromptTokens Tokens
	MaxOutput    Tokens
	Sized        bool
	// Parts are the parts of the prompt in order; the last one belongs to
	// this request or its session.
	Parts []PromptPart
	// TimeLimit is how long the caller waits; 0 when not told.
	TimeLimit time.Duration
	// LastEvent is the id of the last event that the caller has; 0 for none.
	LastEvent uint64
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// Outbound is what is told to a backend server beside the caller's request.
type Outbound struct {
	Server ServerID
	// Account is told to the server; empty for anonymous requests.
	Account AccountID
	// TimeLimit is what is left of the caller's; 0 tells none.
	TimeLimit time.Duration
	// Urgency orders requests at model engines; 0 goes first.
	Urgency int
	// SetUrgency is false for plain services.
	SetUrgency bool
	// LastEvent resumes a stream after this event; 0 starts from the
	// beginning.
	LastEvent uint64
}

// BackendReply is what the headers of a backend server's answer say.
type BackendReply struct {
	// ID names the request that is answered; empty when not told.
	ID RequestID
	// Signed answers carry the server's signature.
	Signed bool
	// NotRun is the server's word that it did not run the request.
	NotRun bool
	// Misdirected tells that another server has the address.
	Misdirected bool
	// Leaving is the server's word that it is going away.
	Leaving bool
	// RetryAfter is for how long the server wants nothing more from this entry
	// VM; 0 when not told.
	RetryAfter time.Duration
	// Limit is how many requests the server takes.
	Limit RateLimit
	// Encoded bodies are not the server's own.
	Encoded bool
	// KeepAlive is how long the server keeps an idle connection; 0 when not
	// told.
	KeepAlive time.Duration
	// Load is set when HasLoad is.
	Load    ServerLoad
	HasLoad bool
}

// ServerLoad is what a backend server tells about itself with an answer.
type ServerLoad struct {
	Running int
	Queued  int
	Slots   int
}
