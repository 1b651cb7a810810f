package turmericshed

import "time"

// RoutingTable is the operators' desired state for entry VMs that route by host
// and path: the routes, the services behind them and the client accounts.
type RoutingTable struct {
	// Version increases with every edit, not necessarily by one.
	Version  uint64
	Routes   []Route
	Services []ServiceSpec
	Limits   CallerLimits
	// Accounts are the client accounts; if empty, requests need no key.
	Accounts []AccountGrant
}

// Route maps the requests of one host whose path begins with Prefix to its
// target services. The route with the longest matching prefix is used.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Targets are the services among which the traffic is split by weight.
	Targets []RouteTarget
	// Stream is true if answers are event streams.
	Stream bool
	// Repeatable is true if requests may run more than once. A repeatable stream
	// resumes at another server after the last event.
	Repeatable bool
	// Timeout limits the duration of a request. LatencyObjective is the latency
	// objective for the answer, or for the first event of a stream.
	// EventGapObjective is the objective for the longest gap between events. 0 means
	// none.
	Timeout           time.Duration
	LatencyObjective  time.Duration
	EventGapObjective time.Duration
	// MaxAttempts limits the number of backend servers that one request is sent to.
	MaxAttempts int
	// Priority orders requests under load; 0 is the highest priority.
	Priority int
	// Anonymous is true if requests need no key.
	Anonymous bool
	// Affinity is true if requests share prompt prefixes, which servers cache.
	Affinity bool
}

// RouteTarget is a service with its weight in the split of a route's traffic.
type RouteTarget struct {
	Service string
	Weight  float64
}

// ServiceSpec describes the servers of a service.
type ServiceSpec struct {
	Name string
	// MaxConnections is the maximum number of connections that one server accepts
	// from all entry VMs together; 0 means no limit.
	MaxConnections int
	// TokensPerEvent is the maximum number of tokens in a stream event; 0 for
	// plain services.
	TokensPerEvent Tokens
	// MemoryTokens is the number of tokens of running requests, prompt and output, that
	// one server can hold in memory; 0 if unknown.
	MemoryTokens Tokens
}

// CallerLimits limits the requests and connections of callers.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout limits the time to read a request, IdleTimeout the time that
	// a connection stays open between requests.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// AccountGrant is a client account with its keys, priority and prepaid amount, as
// configured by the operators.
type AccountGrant struct {
	Account AccountID
	Keys    []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Prepaid limits the tokens that the account may consume if HasPrepaid is set.
	Prepaid    Tokens
	HasPrepaid bool
}

// Inbound holds the values decoded from the headers of a caller's request.
type Inbound struct {
	// ID is the caller's identifier of this attempt. A retry has another ID.
	ID RequestID
	// Key is the client account's key.
	Key   string
	Model Model
	// PromptTokens and MaxOutput limit the tokens that a generation uses; HasTokenCounts
	// is true if the caller sent them.
	PromptTokens   Tokens
	MaxOutput      Tokens
	HasTokenCounts bool
	// Parts are the parts of the prompt in order; the last one is specific to
	// this request or its session.
	Parts []PromptPart
	// TimeLimit is how long the caller waits; 0 if not sent.
	TimeLimit time.Duration
	// LastEvent is the ID of the last event that the caller received; 0 for none.
	LastEvent uint64
	// Resumes is the ID of the attempt that brought the first event of the stream that is resumed;
	// empty if not sent.
	Resumes RequestID
}

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// Outbound holds the values that are sent to a backend server in headers, in
// addition to the caller's request.
type Outbound struct {
	Server ServerID
	// Account is the client account; empty for anonymous requests.
	Account AccountID
	// TimeLimit is the remaining part of the caller's time limit; 0 sends none.
	TimeLimit time.Duration
	// Urgency orders requests at model engines; 0 is the most urgent.
	Urgency int
	// HasUrgency is true if Urgency is sent; false for plain services.
	HasUrgency bool
	// LastEvent is the ID of the event after which a stream resumes; 0 starts
	// from the beginning.
	LastEvent uint64
}

// BackendReply holds the values decoded from the headers of a backend server's
// answer.
type BackendReply struct {
	// ID is the ID of the answered request; empty if not sent.
	ID RequestID
	// Signed is true if the answer has the server's signature.
	Signed bool
	// NotRun is true if the server reports that it did not run the request.
	NotRun bool
	// Misdirected is true if another server now has the address.
	Misdirected bool
	// Leaving is true if the server reports that it is shutting down.
	Leaving bool
	// RetryAfter is how long the server requests no further requests from this
	// entry VM; 0 if not sent.
	RetryAfter time.Duration
	// Limit is the server's rate limit.
	Limit RateLimit
	// HasContentEncoding is true if the body has a content encoding, so that its bytes are
	// not those that the server generated.
	HasContentEncoding bool
	// KeepAlive is how long the server keeps an idle connection open; 0 if not
	// sent.
	KeepAlive time.Duration
	// Load is set if HasLoad is true.
	Load    ServerLoad
	HasLoad bool
	// MalformedLoad is the beginning of a malformed load, quoted for the log; empty if
	// the load is absent or well-formed.
	MalformedLoad string
}

// ServerLoad is the load that a backend server reports with an answer.
type ServerLoad struct {
	Running int
	Queued  int
	Slots   int
	// WorkTime is how long work takes on the server now, relative to usual: 2 means twice
	// as long. 0 if not reported.
	WorkTime float64
}
