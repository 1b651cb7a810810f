package tsbackend

import (
	"context"
	"net/http"
	"net/url"

	"turmericshed"
)

// HeaderCallRefused marks a refusal by a plain service: the call certainly did not run. An answer without
// this header is the service's response and is relayed to the caller.
const HeaderCallRefused = "Call-Refused"

// Service is the client of plain services.
type Service struct{ client }

var (
	_ turmericshed.Service    = (*Service)(nil)
	_ turmericshed.LoadReader = (*Service)(nil)
)

// NewService returns a client of plain services.
func NewService(o Options) *Service { return &Service{client: newClient(o)} }

// Do sends the call once. Errors: KindNoBackend and KindBackendRefused
// (certainly not run), KindCallUnknown (may have run).
func (c *Service) Do(ctx context.Context, s turmericshed.BackendServer, r turmericshed.ServiceRequest) (turmericshed.Answer, error) {
	h := http.Header{}
	if r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
	if r.Key != "" {
		h.Set(HeaderIdempotencyKey, r.Key)
	}
	path, query := r.Path, ""
	if u, err := url.Parse(r.Path); err == nil {
		path, query = u.Path, u.RawQuery
	}
	return c.answer(ctx, outgoingCall{method: r.Method, server: s, path: path, query: query, header: h, body: r.Body, incompleteKind: turmericshed.KindCallUnknown})
}

// Lookup returns the answer of the call with the idempotency key, if it ran. Errors: KindNotFound (the
// call had not run when the service answered), KindNoBackend, KindCallUnknown.
func (c *Service) Lookup(ctx context.Context, s turmericshed.BackendServer, key string) (turmericshed.Answer, error) {
	q := url.Values{"key": {key}}.Encode()
	return c.answer(ctx, outgoingCall{method: http.MethodGet, server: s, path: PathCallLookup, query: q, incompleteKind: turmericshed.KindCallUnknown})
}

func (c *Service) answer(ctx context.Context, o outgoingCall) (turmericshed.Answer, error) {
	resp, err := c.send(ctx, o)
	if err != nil {
		return turmericshed.Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(HeaderCallRefused) != "" {
		return turmericshed.Answer{}, decodeRefusalError(resp, o)
	}
	b, err := c.readBounded(resp.Body)
	if err != nil {
		return turmericshed.Answer{}, turmericshed.WrapError(o.incompleteKind, err, "answer of %s", o.server.ID)
	}
	return turmericshed.Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: b}, nil
}
