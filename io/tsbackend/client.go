// Package tsbackend is the client of backend servers: model engines and plain
// services.
//
// A call certainly did not run if no connection could be established (KindNoBackend) or if the server
// refused it (KindBackendRefused; [IsLeaving] reports whether the server is shutting down). Once a
// connection is established, a call without a complete answer may have run (KindStreamBroken,
// KindCallUnknown). No call is ever sent twice: net/http's automatic retry of requests with an
// idempotency key is prevented.
//
// # Usage
//
//	e := tsbackend.NewEngine(tsbackend.Options{})
//	stream, err := e.Generate(ctx, server, request)
//	for {
//		f, err := stream.Next() // f.Stream and f.Seq as the engine sent them
//	}
package tsbackend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"turmericshed"
	"turmericshed/io/tsintake"
)

const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 2 * time.Second
	// maxIdleConns bounds the idle connections to one server.
	maxIdleConns = 64
	// maxAnswerBytes bounds the body of a complete answer.
	maxAnswerBytes = 8 << 20
	// maxErrorBytes bounds the body of a refusal.
	maxErrorBytes = 64 << 10
	// maxHeadBytes bounds the head of an answer, with the informational ones before it.
	maxHeadBytes = 32 << 10
)

// ErrLeaving is wrapped by the error of a call that the server refuses because it is shutting down.
var ErrLeaving = errors.New("the server is leaving")

// IsLeaving reports whether the server refused the call because it is shutting down.
func IsLeaving(err error) bool { return errors.Is(err, ErrLeaving) }

// ReplacedError reports that another server now listens at the address.
type ReplacedError struct{ By turmericshed.ServerID }

// Error returns a message with the ID of the server that answered.
func (e *ReplacedError) Error() string { return "replaced by " + string(e.By) }

// ReplacedBy returns the server that answered in place of the called one, if err is a ReplacedError.
func ReplacedBy(err error) (turmericshed.ServerID, bool) {
	var r *ReplacedError
	if !errors.As(err, &r) || r.By == "" {
		return "", false
	}
	return r.By, true
}

// Options configures the clients.
type Options struct {
	// Dial opens connections; nil means a net.Dialer with dialTimeout.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Intake bounds the memory for answers of all servers together while they are read; nil sets no
	// bound.
	Intake *tsintake.Intake
}

// client is the HTTP client that Engine and Service share.
type client struct {
	http   *http.Client
	intake *tsintake.Intake
}

func newClient(o Options) client {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	t := &http.Transport{DialContext: o.Dial, MaxIdleConnsPerHost: maxIdleConns, MaxResponseHeaderBytes: maxHeadBytes, DisableCompression: true}
	return client{intake: o.Intake, http: &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes the idle connections.
func (c client) Close() { c.http.CloseIdleConnections() }

// outgoingCall is one call to a backend server.
type outgoingCall struct {
	method string
	server turmericshed.BackendServer
	path   string
	query  string
	header http.Header
	body   []byte
	// incompleteKind is the error kind of a call that was sent and got no complete answer.
	incompleteKind turmericshed.Kind
}

// unreplayableReader hides the type of the body's reader, so that net/http can't send the body again.
type unreplayableReader struct{ io.Reader }

// send makes the call and returns once the response header is read. Errors: KindBadRequest,
// KindNoBackend, or incompleteKind once connected.
func (c client) send(ctx context.Context, o outgoingCall) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	u := url.URL{Scheme: "http", Host: o.server.Addr.String(), Path: o.path, RawQuery: o.query}
	req, err := http.NewRequestWithContext(ctx, o.method, u.String(), unreplayableReader{bytes.NewReader(o.body)})
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindBadRequest, err, "make the call")
	}
	if o.header != nil {
		req.Header = o.header
	}
	req.ContentLength = int64(len(o.body))
	req.Header.Set(HeaderServerID, string(o.server.ID))
	resp, err := c.http.Do(req)
	switch {
	case err == nil:
		return resp, nil
	case !connected.Load():
		return nil, turmericshed.WrapError(turmericshed.KindNoBackend, err, "no connection to %s", o.server.ID)
	default:
		return nil, turmericshed.WrapError(o.incompleteKind, err, "no answer from %s", o.server.ID)
	}
}

// call makes a call and decodes its complete JSON answer.
func (c client) call(ctx context.Context, o outgoingCall, out any) error {
	resp, err := c.send(ctx, o)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return decodeRefusalError(resp, o)
	}
	b, err := c.readBounded(resp.Body)
	if err == nil {
		err = json.Unmarshal(b, out)
	}
	return turmericshed.WrapError(o.incompleteKind, err, "answer of %s", o.server.ID)
}

// readBounded reads a body to its end. Errors: KindTooLarge over maxAnswerBytes, or over the memory that
// is left for answers, and those of r.
func (c client) readBounded(r io.Reader) ([]byte, error) {
	memory := c.intake.NewAnswer()
	defer memory.Release()
	parts, isWhole, err := memory.ReadPart(r, maxAnswerBytes+1)
	if err != nil {
		return nil, err
	}
	b := bytes.Join(parts, nil)
	if !isWhole {
		return nil, turmericshed.NewError(turmericshed.KindTooLarge, "more than %d bytes, or than there is memory for: %d bytes read", maxAnswerBytes, len(b))
	}
	return b, nil
}

// decodeRefusalError returns the error for an answer that reports a refusal, such as one with a status
// other than 200. An answer without a known error code does not show whether the call ran, so its error has
// the kind o.incompleteKind.
func decodeRefusalError(resp *http.Response, o outgoingCall) error {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	detail, ok := DecodeRefusal(b)
	if !ok {
		return turmericshed.NewError(o.incompleteKind, "%s answered %d", o.server.ID, resp.StatusCode)
	}
	return refusalError(o, detail)
}

// DecodeRefusal decodes the body of a refusal, or returns false if it is not one.
func DecodeRefusal(b []byte) (ErrorDetail, bool) {
	var a ErrorBody
	if json.Unmarshal(b, &a) != nil || a.Error.Code == "" {
		return ErrorDetail{}, false
	}
	return a.Error, true
}

// refusalError maps the error code of a refusal to an error kind.
func refusalError(o outgoingCall, d ErrorDetail) error {
	id := o.server.ID
	switch d.Code {
	case CodeLeaving:
		return turmericshed.WrapError(turmericshed.KindBackendRefused, ErrLeaving, "%s", id)
	case CodeBusy, CodeStreamBlocked:
		return turmericshed.NewError(turmericshed.KindBackendRefused, "%s: %s", id, d.Message)
	case CodeOtherServer:
		by := strings.TrimPrefix(d.Message, OtherServerPrefix)
		return turmericshed.WrapError(turmericshed.KindNoBackend, &ReplacedError{By: turmericshed.ServerID(by)}, "%s", id)
	case CodeInvalid:
		return turmericshed.NewError(turmericshed.KindBadRequest, "%s: %s", id, d.Message)
	case CodeNotFound:
		return turmericshed.NewError(turmericshed.KindNotFound, "%s: %s", id, d.Message)
	default:
		return turmericshed.NewError(o.incompleteKind, "%s: %s", id, d.Message)
	}
}
