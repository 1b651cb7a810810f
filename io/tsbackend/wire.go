package tsbackend

import (
	"bytes"
	"encoding/json"

	"turmericshed"
)

// Headers of calls to backend servers.
const (
	// HeaderServerID is the ID of the server that a call is addressed to. A server with another ID answers 421
	// and does not run the call.
	HeaderServerID = "Backend-Server"
	// HeaderStreamID is the stream ID that the entry VM chose for a generation.
	HeaderStreamID = "Stream-Id"
	// HeaderPriority is the priority of a queued generation; higher values run first.
	HeaderPriority = "Priority-Level"
	// HeaderIdempotencyKey is the idempotency key of a service call.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// HTTP paths of a model engine.
const (
	PathCompletions = "/v1/chat/completions"
	PathStreams     = "/v1/streams/"
	PathTokenize    = "/v1/tokenize"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
)

// PathCallLookup is the path at which a plain service looks up a call by its idempotency key, the query
// parameter key.
const PathCallLookup = "/calls"

// Error codes in an ErrorBody.
const (
	CodeLeaving         = "leaving"
	CodeBusy            = "busy"
	CodeStreamBlocked   = "barred" // the stream was canceled before it arrived
	CodeDuplicateStream = "duplicate_stream"
	CodeNotFound        = "not_found"
	CodeOtherServer     = "other_server"
	CodeInvalid         = "invalid"
)

// OtherServerPrefix precedes the answering server's ID in the message of a CodeOtherServer error.
const OtherServerPrefix = "this is "

// ErrorBody is the body of a refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the reason why a call was refused.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// ChatRequest is the request body for PathCompletions, in the OpenAI format.
type ChatRequest struct {
	turmericshed.Sampling
	Model     turmericshed.Model     `json:"model"`
	Messages  []turmericshed.Message `json:"messages"`
	MaxTokens turmericshed.Tokens    `json:"max_tokens"`
	Stream    bool                   `json:"stream"`
}

// ChatUsage is the usage object of an answer in the OpenAI format.
type ChatUsage struct {
	turmericshed.Usage
	TotalTokens turmericshed.Tokens `json:"total_tokens"`
}

// ChatChunk is one event of a streamed answer. ID is the stream ID. Seq and Tokens are the engine's
// extensions of the OpenAI format.
type ChatChunk struct {
	ID      turmericshed.StreamID `json:"id"`
	Object  string                `json:"object"`
	Model   turmericshed.Model    `json:"model"`
	Seq     int                   `json:"seq"`
	Tokens  turmericshed.Tokens   `json:"tokens"`
	Choices []ChunkChoice         `json:"choices"`
	Usage   *ChatUsage            `json:"usage,omitempty"`
}

// ChunkChoice is the only choice in a ChatChunk.
type ChunkChoice struct {
	Index  int                  `json:"index"`
	Delta  turmericshed.Message `json:"delta"`
	Finish string               `json:"finish_reason,omitempty"`
}

// ChatAnswer is a complete answer without streaming, in the OpenAI format.
type ChatAnswer struct {
	ID      turmericshed.StreamID `json:"id"`
	Object  string                `json:"object"`
	Model   turmericshed.Model    `json:"model"`
	Choices []AnswerChoice        `json:"choices"`
	Usage   ChatUsage             `json:"usage"`
}

// AnswerChoice is the only choice in a ChatAnswer.
type AnswerChoice struct {
	Index   int                  `json:"index"`
	Message turmericshed.Message `json:"message"`
	Finish  string               `json:"finish_reason"`
}

// TokenizeRequest is the request body for PathTokenize.
type TokenizeRequest struct {
	Model    turmericshed.Model     `json:"model"`
	Messages []turmericshed.Message `json:"messages"`
}

// TokenizeAnswer is the response body of PathTokenize.
type TokenizeAnswer struct {
	Count turmericshed.Tokens `json:"count"`
}

// CacheEvent is a change of an engine's prefix cache. A gap in the sequence numbers means that events
// were lost.
type CacheEvent struct {
	Seq     uint64              `json:"seq"`
	Prefix  uint64              `json:"prefix"`
	Tokens  turmericshed.Tokens `json:"tokens"`
	Evicted bool                `json:"evicted,omitempty"`
}

// CacheEvents is the response body of PathCacheEvents.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// doneMark is the data of the last event of a stream.
var doneMark = []byte("[DONE]")

// DecodeEvent decodes the data of one server-sent event. done is true for the [DONE] event after the last
// frame. Errors: KindStreamBroken.
func DecodeEvent(data []byte) (f turmericshed.Frame, done bool, err error) {
	if bytes.Equal(data, doneMark) {
		return f, true, nil
	}
	var c ChatChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return f, false, turmericshed.WrapError(turmericshed.KindStreamBroken, err, "bad frame")
	}
	if len(c.Choices) != 1 || c.Seq < 0 || c.Tokens < 0 {
		return f, false, turmericshed.NewError(turmericshed.KindStreamBroken, "bad frame: %d choices, sequence %d, %d tokens", len(c.Choices), c.Seq, c.Tokens)
	}
	f = turmericshed.Frame{
		Stream: c.ID, Seq: c.Seq, Text: c.Choices[0].Delta.Content, Tokens: c.Tokens,
		Finish: c.Choices[0].Finish, End: c.Choices[0].Finish != "",
	}
	if c.Usage != nil {
		f.Usage = c.Usage.Usage
	}
	if f.End && (c.Usage == nil || f.Usage.Prompt < 0 || f.Usage.Completion < 0) {
		return f, false, turmericshed.NewError(turmericshed.KindStreamBroken, "end frame with a bad usage report")
	}
	return f, false, nil
}

// EncodeFrame returns the chunk that represents a frame.
func EncodeFrame(m turmericshed.Model, f turmericshed.Frame) ChatChunk {
	c := ChatChunk{
		ID: f.Stream, Object: "chat.completion.chunk", Model: m, Seq: f.Seq, Tokens: f.Tokens,
		Choices: []ChunkChoice{{Delta: turmericshed.Message{Role: "assistant", Content: f.Text}, Finish: f.Finish}},
	}
	if f.End {
		c.Usage = &ChatUsage{Usage: f.Usage, TotalTokens: f.Usage.Total()}
	}
	return c
}
