package tsbackend

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"turmericshed"
)

// Engine is the client of model engines.
type Engine struct{ client }

var (
	_ turmericshed.Engine     = (*Engine)(nil)
	_ turmericshed.LoadReader = (*Engine)(nil)
)

// NewEngine returns a client of model engines.
func NewEngine(o Options) *Engine { return &Engine{client: newClient(o)} }

// Generate starts a generation. ctx also bounds the returned stream. Errors: KindNoBackend and
// KindBackendRefused (certainly not started), KindBadRequest, KindStreamBroken.
func (e *Engine) Generate(ctx context.Context, s turmericshed.BackendServer, r turmericshed.GenerateRequest) (turmericshed.TokenStream, error) {
	body, err := json.Marshal(ChatRequest{Sampling: r.Sampling, Model: r.Model, Messages: r.Messages, MaxTokens: r.MaxTokens, Stream: true})
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindBadRequest, err, "encode the request")
	}
	h := http.Header{}
	h.Set(HeaderStreamID, string(r.Stream))
	h.Set(HeaderPriority, strconv.Itoa(r.Priority))
	h.Set("Content-Type", "application/json")
	return e.open(ctx, outgoingCall{method: http.MethodPost, server: s, path: PathCompletions, header: h, body: body, incompleteKind: turmericshed.KindStreamBroken})
}

// Resume continues a generation from the frame with the given sequence
// number. Errors: KindNoBackend, KindNotFound, KindStreamBroken.
func (e *Engine) Resume(ctx context.Context, s turmericshed.BackendServer, id turmericshed.StreamID, from int) (turmericshed.TokenStream, error) {
	q := url.Values{"from": {strconv.Itoa(from)}}.Encode()
	return e.open(ctx, outgoingCall{method: http.MethodGet, server: s, path: PathStreams + string(id), query: q, incompleteKind: turmericshed.KindStreamBroken})
}

func (e *Engine) open(ctx context.Context, o outgoingCall) (turmericshed.TokenStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := e.send(ctx, o)
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer func() { _ = resp.Body.Close() }()
		return nil, decodeRefusalError(resp, o)
	}
	return newStream(resp.Body, e.intake.NewAnswer(), cancel), nil
}

// Cancel cancels a generation and returns its final usage. For a stream that the engine never received,
// the usage is 0, and the engine refuses the stream if it arrives later. Errors: KindNoBackend,
// KindStreamBroken (the generation may still be running).
func (e *Engine) Cancel(ctx context.Context, s turmericshed.BackendServer, id turmericshed.StreamID) (turmericshed.Usage, error) {
	var u turmericshed.Usage
	err := e.call(ctx, outgoingCall{method: http.MethodPost, server: s, path: PathStreams + string(id) + "/cancel", incompleteKind: turmericshed.KindStreamBroken}, &u)
	return u, err
}

// CountTokens returns the exact number of prompt tokens. Errors: KindNoBackend,
// KindBackendRefused, KindBadRequest.
func (e *Engine) CountTokens(ctx context.Context, s turmericshed.BackendServer, m turmericshed.Model, messages []turmericshed.Message) (turmericshed.Tokens, error) {
	body, err := json.Marshal(TokenizeRequest{Model: m, Messages: messages})
	if err != nil {
		return 0, turmericshed.WrapError(turmericshed.KindBadRequest, err, "encode the messages")
	}
	var a TokenizeAnswer
	err = e.call(ctx, outgoingCall{method: http.MethodPost, server: s, path: PathTokenize, body: body, incompleteKind: turmericshed.KindNoBackend}, &a)
	return a.Count, err
}

// Load reads the load that the server reports. Errors: KindNoBackend.
func (c client) Load(ctx context.Context, s turmericshed.BackendServer) (turmericshed.LoadReport, error) {
	var r turmericshed.LoadReport
	err := c.call(ctx, outgoingCall{method: http.MethodGet, server: s, path: PathLoad, incompleteKind: turmericshed.KindNoBackend}, &r)
	return r, err
}

// CacheEvents reads the changes of the engine's prefix cache after sequence number seq. Events may be
// delayed or missing. Errors: KindNoBackend.
func (e *Engine) CacheEvents(ctx context.Context, s turmericshed.BackendServer, seq uint64) ([]CacheEvent, error) {
	var a CacheEvents
	q := url.Values{"after": {strconv.FormatUint(seq, 10)}}.Encode()
	err := e.call(ctx, outgoingCall{method: http.MethodGet, server: s, path: PathCacheEvents, query: q, incompleteKind: turmericshed.KindNoBackend}, &a)
	return a.Events, err
}
