package turmericshed

import (
	"context"
	"encoding/json"
	"time"
)

// Usage is what a model engine reports at the end of a generation.
type Usage struct {
	Prompt     Tokens `json:"prompt_tokens"`
	Completion Tokens `json:"completion_tokens"`
}

// Total returns what the request costs.
func (u Usage) Total() Tokens { return u.Prompt + u.Completion }

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Sampling holds the settings of the published chat form that are passed on
// to the engine as they are. None of them changes what a request may cost.
type Sampling struct {
	Temperature      *float64        `json:"temperature,omitempty"`
	TopP             *float64        `json:"top_p,omitempty"`
	PresencePenalty  *float64        `json:"presence_penalty,omitempty"`
	FrequencyPenalty *float64        `json:"frequency_penalty,omitempty"`
	Seed             *int64          `json:"seed,omitempty"`
	Stop             json.RawMessage `json:"stop,omitempty"`
	ResponseFormat   json.RawMessage `json:"response_format,omitempty"`
	User             string          `json:"user,omitempty"`
}

// GenerateRequest is one generation at a model engine.
type GenerateRequest struct {
	Sampling

	// Stream is chosen by us, so that cancel and resume can name it.
	Stream   StreamID
	Model    Model
	Messages []Message
	// MaxTokens bounds the completion and is never changed by the fleet.
	MaxTokens Tokens
	Priority  int
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Frame is one element of a token stream. Sequence numbers count from 0
// without gaps. The last frame has End and Usage set.
type Frame struct {
	Stream StreamID
	Seq    int
	Text   string
	// Tokens is how many completion tokens the frame carries.
	Tokens Tokens
	End    bool
	// Finish is the engine's reason: "stop" or "length".
	Finish string
	Usage  Usage
}

// TokenStream is an open generation. Next returns io.EOF after the end frame
// and KindStreamBroken when the connection ended before it.
type TokenStream interface {
	Next() (Frame, error)
	Close() error
}

// Engine is the client of model engines. KindBackendRefused means certainly
// not run; KindNoBackend that no connection was made; KindStreamBroken that
// the generation may go on at the engine.
type Engine interface {
	Generate(ctx context.Context, s BackendServer, r GenerateRequest) (TokenStream, error)
	// Resume continues a generation from the frame with the given sequence.
	Resume(ctx context.Context, s BackendServer, id StreamID, from int) (TokenStream, error)
	// Cancel ends a generation and returns its final usage. A stream that
	// the engine never saw is barred from starting and reports zero usage.
	Cancel(ctx context.Context, s BackendServer, id StreamID) (Usage, error)
	// CountTokens returns the exact prompt tokens.
	CountTokens(ctx context.Context, s BackendServer, m Model, messages []Message) (Tokens, error)
}

// ServiceRequest is a call to a plain service.
type ServiceRequest struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Key is passed on as Idempotency-Key; empty for repeatable calls.
	Key string
}

// Answer is a whole answer, kept for replay.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Service is the client of plain services.
type Service interface {
	// Do sends the call once. KindNoBackend and KindBackendRefused mean
	// certainly not run; KindCallUnknown that it may have run.
	Do(ctx context.Context, s BackendServer, r ServiceRequest) (Answer, error)
	// Lookup asks whether the call with the key ran. KindNotFound means that
	// it had not run when the service answered.
	Lookup(ctx context.Context, s BackendServer, key string) (Answer, error)
}

// LoadReport is what a backend server published about itself, with a lag.
type LoadReport struct {
	Server ServerID `json:"server"`
	// At is when the server took the reading.
	At      time.Time `json:"at"`
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	// TokensPerSecond is the recent generation rate.
	TokensPerSecond float64 `json:"tokens_per_second"`
	Leaving         bool    `json:"leaving,omitempty"`
}

// LoadReader reads a backend server's published load.
type LoadReader interface {
	Load(ctx context.Context, s BackendServer) (LoadReport, error)
}
