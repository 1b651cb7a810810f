package tsbackend

import (
	"bytes"
	"encoding/json"

	"turmericshed"
)

// Headers of calls to backend servers.
const (
	// HeaderServer names the server that a call is meant for. A server with
	// another ID answers 421 and does nothing.
	HeaderServer = "Backend-Server"
	// HeaderStream is our ID of a generation.
	HeaderStream = "Stream-Id"
	// HeaderPriority orders queued generations; higher goes first.
	HeaderPriority = "Priority-Level"
	// HeaderKey is the idempotency key of a service call.
	HeaderKey = "Idempotency-Key"
)

// The paths of a model engine.
const (
	PathCompletions = "/v1/chat/completions"
	PathStreams     = "/v1/streams/"
	PathTokenize    = "/v1/tokenize"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
)

// PathCalls looks a call up at a plain service by the query parameter key.
const PathCalls = "/calls"

// The error codes in an ErrorAnswer.
const (
	CodeLeaving   = "leaving"
	CodeBusy      = "busy"
	CodeBarred    = "barred"
	CodeDuplicate = "duplicate_stream"
	CodeNotFound  = "not_found"
	CodeOther     = "other_server"
	CodeInvalid   = "invalid"
)

// OtherServerPrefix goes before the server's ID in the message of CodeOther.
const OtherServerPrefix = "this is "

// ErrorAnswer is the body of an answer that refuses a call.
type ErrorAnswer struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail tells why a call was refused.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// ChatRequest is the body of PathCompletions, in the OpenAI form.
type ChatRequest struct {
	turmericshed.Sampling
	Model     turmericshed.Model     `json:"model"`
	Messages  []turmericshed.Message `json:"messages"`
	MaxTokens turmericshed.Tokens    `json:"max_tokens"`
	Stream    bool                   `json:"stream"`
}

// ChatUsage is the usage part of an answer in the OpenAI form.
type ChatUsage struct {
	turmericshed.Usage
	TotalTokens turmericshed.Tokens `json:"total_tokens"`
}

// ChatChunk is one event of a streamed answer. ID is the stream's ID; Seq and
// Tokens are the engine's additions to the OpenAI form.
type ChatChunk struct {
	ID      turmericshed.StreamID `json:"id"`
	Object  string                `json:"object"`
	Model   turmericshed.Model    `json:"model"`
	Seq     int                   `json:"seq"`
	Tokens  turmericshed.Tokens   `json:"tokens"`
	Choices []ChunkChoice         `json:"choices"`
	Usage   *ChatUsage            `json:"usage,omitempty"`
}

// ChunkChoice is the only choice in a chunk.
type ChunkChoice struct {
	Index  int                  `json:"index"`
	Delta  turmericshed.Message `json:"delta"`
	Finish string               `json:"finish_reason,omitempty"`
}

// ChatAnswer is a whole answer in the OpenAI form.
type ChatAnswer struct {
	ID      turmericshed.StreamID `json:"id"`
	Object  string                `json:"object"`
	Model   turmericshed.Model    `json:"model"`
	Choices []AnswerChoice        `json:"choices"`
	Usage   ChatUsage             `json:"usage"`
}

// AnswerChoice is the only choice in a whole answer.
type AnswerChoice struct {
	Index   int                  `json:"index"`
	Message turmericshed.Message `json:"message"`
	Finish  string               `json:"finish_reason"`
}

// TokenizeRequest is the body of PathTokenize.
type TokenizeRequest struct {
	Model    turmericshed.Model     `json:"model"`
	Messages []turmericshed.Message `json:"messages"`
}

// TokenizeAnswer answers PathTokenize.
type TokenizeAnswer struct {
	Count turmericshed.Tokens `json:"count"`
}

// CacheEvent is a change of an engine's prefix cache. Sequence numbers that
// are left out were lost.
type CacheEvent struct {
	Seq     uint64              `json:"seq"`
	Prefix  uint64              `json:"prefix"`
	Tokens  turmericshed.Tokens `json:"tokens"`
	Evicted bool                `json:"evicted,omitempty"`
}

// CacheEvents answers PathCacheEvents.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// doneMark ends a stream of server-sent events.
var doneMark = []byte("[DONE]")

// DecodeEvent reads the data of one server-sent event. done is true for the
// mark after the last frame. Errors: KindStreamBroken.
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

// EncodeFrame returns the chunk of a frame.
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
