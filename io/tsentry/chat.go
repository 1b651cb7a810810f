package tsentry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"turmericshed"
)

// Limits and defaults of generation requests.
const (
	defaultMaxTokens = 512
	maxMaxTokens     = 32768
	maxMessages      = 512
	// templateTokens bounds the tokens that the engine's chat template adds for each message and once for
	// the prompt.
	templateTokens = 16
	// prefixBytes is the length of the prompt prefix that determines prefix affinity.
	prefixBytes = 256
	// streamWriteTimeout bounds one write to a caller that reads slowly.
	streamWriteTimeout = 30 * time.Second
)

// chatRequest is the body of a chat completion request. Unknown fields are rejected, as they might change
// the cost of the request.
type chatRequest struct {
	turmericshed.Sampling
	Model     turmericshed.Model     `json:"model"`
	Messages  []turmericshed.Message `json:"messages"`
	MaxTokens *turmericshed.Tokens   `json:"max_tokens"`
	// MaxCompletionTokens is the newer API name of MaxTokens, used when MaxTokens is absent.
	MaxCompletionTokens *turmericshed.Tokens `json:"max_completion_tokens"`
	Stream              bool                 `json:"stream"`
	// StreamOptions is accepted and ignored: the usage that it may request is always sent.
	StreamOptions json.RawMessage `json:"stream_options"`
	// N is the number of requested answers; only 1 is supported.
	N *int `json:"n"`
}

// chatChunk is the body of an answer and of each event of a streamed answer.
type chatChunk struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   turmericshed.Model `json:"model"`
	Choices []chatChoice       `json:"choices"`
	Usage   *chatUsage         `json:"usage,omitempty"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chatUsage struct {
	turmericshed.Usage
	Total turmericshed.Tokens `json:"total_tokens"`
}

// parseChat decodes and validates a request body. Errors: KindBadRequest, KindForbidden.
func parseChat(body []byte, p turmericshed.Profile) (chatRequest, error) {
	var c chatRequest
	if !utf8.Valid(body) {
		return c, turmericshed.NewError(turmericshed.KindBadRequest, "body is not UTF-8")
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return c, turmericshed.NewError(turmericshed.KindBadRequest, "body is not a chat completion request: %v", err)
	}
	if d.More() {
		return c, turmericshed.NewError(turmericshed.KindBadRequest, "body goes on after the chat completion request")
	}
	if c.N != nil && *c.N != 1 {
		return c, turmericshed.NewError(turmericshed.KindBadRequest, "n: one answer is served")
	}
	if c.MaxTokens == nil {
		c.MaxTokens = c.MaxCompletionTokens
	}
	if p.Work != turmericshed.WorkAssistant {
		return c, turmericshed.NewError(turmericshed.KindForbidden, "the profile does not serve chat completions")
	}
	if c.Model == "" {
		c.Model = p.Model
	}
	if c.Model == "" || (p.Model != "" && c.Model != p.Model) {
		return c, turmericshed.NewError(turmericshed.KindBadRequest, "model: the profile serves %q", p.Model)
	}
	if len(c.Messages) == 0 || len(c.Messages) > maxMessages {
		return c, turmericshed.NewError(turmericshed.KindBadRequest, "messages: want 1 to %d", maxMessages)
	}
	for i, m := range c.Messages {
		if m.Role == "" {
			return c, turmericshed.NewError(turmericshed.KindBadRequest, "messages[%d].role is missing", i)
		}
	}
	if c.MaxTokens == nil {
		n := turmericshed.Tokens(defaultMaxTokens)
		c.MaxTokens = &n
	}
	if *c.MaxTokens < 1 || *c.MaxTokens > maxMaxTokens {
		return c, turmericshed.NewError(turmericshed.KindBadRequest, "max_tokens: want 1 to %d", maxMaxTokens)
	}
	return c, nil
}

// maxPromptTokens returns an upper bound on the prompt's tokens: a token represents at least one byte.
// The response format is included, as the engine may add it to the prompt.
func maxPromptTokens(c chatRequest) turmericshed.Tokens {
	n := turmericshed.Tokens(templateTokens + len(c.ResponseFormat))
	for _, m := range c.Messages {
		n += turmericshed.Tokens(len(m.Role)+len(m.Content)) + templateTokens
	}
	return n
}

// prefixHash hashes the model and the first prefixBytes of the prompt for prefix affinity.
func prefixHash(model turmericshed.Model, messages []turmericshed.Message) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(model))
	remaining := prefixBytes
	for _, m := range messages {
		s := m.Content[:min(remaining, len(m.Content))]
		_, _ = h.WriteString(s)
		if remaining -= len(s); remaining == 0 {
			break
		}
	}
	return h.Sum64()
}

// prepareChat prepares a request and decodes its body, which the request no longer holds then.
func (e *Entry) prepareChat(w http.ResponseWriter, r *http.Request) (request, chatRequest, error) {
	req, err := e.prepare(w, r)
	if err != nil {
		return req, chatRequest{}, err
	}
	chat, err := parseChat(req.body, req.profile)
	req.body = nil
	return req, chat, err
}

// serveChat handles POST /v1/chat/completions.
func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request) {
	req, chat, err := e.prepareChat(w, r)
	if err != nil {
		req.release()
		e.writeError(w, req, err)
		return
	}
	a, joined, err := e.generations.joinOrStart(req)
	if err != nil {
		req.release()
		e.writeError(w, req, err)
		return
	}
	defer a.releaseReader()
	// A generation may outlast its caller, and holds the messages until it ends.
	switch {
	case joined:
		req.release()
	case req.idempotencyKey != "":
		go func() {
			defer req.release()
			e.generateKeyed(a, req, chat)
		}()
	default:
		go func() {
			defer req.release()
			e.generate(a, req, chat)
		}()
	}
	if chat.Stream {
		e.writeStream(w, r, req, chat, a)
		return
	}
	e.writeComplete(w, r, req, chat, a)
}

// writeComplete writes the answer in one body once the generation is complete.
func (e *Entry) writeComplete(w http.ResponseWriter, r *http.Request, req request, chat chatRequest, a *answer) {
	rd := e.newReader(a, 0)
	defer rd.close()
	var text strings.Builder
	for {
		f, err := rd.next(r.Context())
		if err != nil {
			e.writeError(w, req, err)
			return
		}
		text.WriteString(f.Text)
		if !f.End {
			continue
		}
		out := e.newChunk(a, chat, "chat.completion")
		out.Choices = []chatChoice{{Message: &chatMessage{Role: "assistant", Content: text.String()}, FinishReason: &f.Finish}}
		out.Usage = &chatUsage{Usage: f.Usage, Total: f.Usage.Total()}
		writeJSON(w, http.StatusOK, out)
		e.recordAnswered(req, a, time.Since(req.receivedAt))
		return
	}
}

// writeStream relays frames as server-sent events. If the generation fails after the first event,
// the stream ends with an error event and without [DONE].
func (e *Entry) writeStream(w http.ResponseWriter, r *http.Request, req request, chat chatRequest, a *answer) {
	rd := e.newReader(a, 0)
	defer rd.close()
	rc := http.NewResponseController(w)
	var firstByte time.Duration
	lastFrameAt := req.receivedAt
	for first := true; ; first = false {
		f, err := rd.next(r.Context())
		now := time.Now()
		if err != nil && first {
			e.writeError(w, req, err)
			return
		}
		_ = rc.SetWriteDeadline(now.Add(streamWriteTimeout))
		if err != nil {
			_, body := errorResponse(req.id, err)
			writeEvent(w, body)
			_ = rc.Flush()
			return
		}
		if first {
			firstByte = now.Sub(req.receivedAt)
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cache-Control", "no-store")
		} else {
			e.deps.RequestMetrics.RecordTokenGap(now.Sub(lastFrameAt))
		}
		lastFrameAt = now
		e.writeFrame(w, chat, a, f)
		if !f.End && rd.hasNext() {
			continue
		}
		if rc.Flush() != nil {
			return
		}
		if f.End {
			e.recordAnswered(req, a, firstByte)
			return
		}
	}
}

func (e *Entry) writeFrame(w http.ResponseWriter, chat chatRequest, a *answer, f turmericshed.Frame) {
	out := e.newChunk(a, chat, "chat.completion.chunk")
	out.Choices = []chatChoice{{Delta: &chatMessage{Content: f.Text}}}
	if f.End {
		out.Choices[0].FinishReason = &f.Finish
		out.Usage = &chatUsage{Usage: f.Usage, Total: f.Usage.Total()}
	}
	writeEvent(w, out)
	if f.End {
		_, _ = w.Write([]byte("data: [DONE]\n\n"))
	}
}

func (e *Entry) newChunk(a *answer, chat chatRequest, object string) chatChunk {
	return chatChunk{ID: string(a.request), Object: object, Created: a.startedAt.Unix(), Model: chat.Model}
}

// writeEvent writes one server-sent event.
func writeEvent(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = w.Write([]byte("data: "))
	_, _ = w.Write(b)
	_, _ = w.Write([]byte("\n\n"))
}

// recordAnswered records that the complete answer was sent to the caller.
func (e *Entry) recordAnswered(req request, a *answer, firstByte time.Duration) {
	e.measureRequest(req, turmericshed.KindNone, firstByte)
	e.deps.Recorder.Record(turmericshed.Event{
		Name: turmericshed.EventRequestAnswered, Request: req.id, Profile: req.profile.Name,
		Account: req.account, Reason: "generation " + string(a.request),
	})
}
