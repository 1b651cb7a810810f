package tsentry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"turmericshed"
	core "turmericshed/core/tsintake"
	"turmericshed/io/tsintake"
)

// HTTP headers of callers' requests and of answers.
const (
	headerProfile        = "Turmericshed-Profile"
	headerDeadline       = "Turmericshed-Deadline"
	headerRequestID      = "Turmericshed-Request-Id"
	headerOutcome        = "Turmericshed-Outcome"
	headerIdempotencyKey = "Idempotency-Key"
)

// Limits on callers' requests.
const (
	maxBodyBytes      = 1 << 20
	maxHeaderBytes    = 16 << 10
	maxKeyBytes       = 256
	bodyReadTimeout   = 15 * time.Second
	headerReadTimeout = 5 * time.Second
	maxDeadline       = 15 * time.Minute
)

// request is a caller's request. Its fields are filled in step by step by prepare.
type request struct {
	id             turmericshed.RequestID
	account        turmericshed.AccountID
	profile        turmericshed.Profile
	accountLimit   turmericshed.AccountLimit
	idempotencyKey string
	deadline       time.Time
	body           []byte
	digest         turmericshed.Digest
	receivedAt     time.Time
	// intake reads the body within the bounds of this entry VM, and holds the memory for it; nil for
	// a request without a handler of its own.
	intake *tsintake.Request
}

// release frees the memory reserved for the body.
func (req request) release() {
	if req.intake != nil {
		req.intake.Release()
	}
}

// prepare authenticates the caller, finds its profile, reads headers and body and checks the quarantine.
// On an error it returns the request as far as it was read. The caller must release the request.
func (e *Entry) prepare(w http.ResponseWriter, r *http.Request) (request, error) {
	req := request{id: turmericshed.RequestID(turmericshed.NewID("req-")), receivedAt: time.Now(), intake: e.deps.Intake.NewRequest(w, r)}
	w.Header().Set(headerRequestID, string(req.id))
	account, err := e.accounts.authenticate(r.Context(), r.Header.Get("Authorization"))
	if err != nil {
		return req, err
	}
	req.account = account
	if err := e.findProfile(r, &req); err != nil {
		return req, err
	}
	if err := readHeaders(r, e.cfg.DefaultDeadline, &req); err != nil {
		return req, err
	}
	if err := readBody(r, &req); err != nil {
		return req, err
	}
	e.deps.Recorder.Record(turmericshed.Event{
		Name: turmericshed.EventRequestReceived, Request: req.id, Profile: req.profile.Name, Account: req.account,
		Reason: req.idempotencyKey,
	})
	return req, e.deps.Quarantine.Check(time.Now(), req.digest)
}

func (e *Entry) findProfile(r *http.Request, req *request) error {
	name := turmericshed.ProfileName(r.Header.Get(headerProfile))
	if name == "" {
		return turmericshed.NewError(turmericshed.KindBadRequest, "header %s is missing", headerProfile)
	}
	p, _, err := e.deps.Profiles.Get(r.Context(), name)
	if err != nil {
		return err
	}
	if p.Closed {
		return turmericshed.NewError(turmericshed.KindUnknownProfile, "profile is closed")
	}
	limit, ok := p.Limit(req.account)
	if !ok {
		return turmericshed.NewError(turmericshed.KindForbidden, "account is not covered by the profile")
	}
	req.profile, req.accountLimit = p, limit
	return nil
}

func readHeaders(r *http.Request, defaultDeadline time.Duration, req *request) error {
	wait := defaultDeadline
	if s := r.Header.Get(headerDeadline); s != "" {
		d, err := time.ParseDuration(s)
		if err != nil || d <= 0 || d > maxDeadline {
			return turmericshed.NewError(turmericshed.KindBadRequest,
				"header %s: want a duration above 0 and at most %s", headerDeadline, maxDeadline)
		}
		wait = d
	}
	req.deadline = time.Now().Add(wait)
	req.idempotencyKey = r.Header.Get(headerIdempotencyKey)
	if len(req.idempotencyKey) > maxKeyBytes || !utf8.ValidString(req.idempotencyKey) {
		return turmericshed.NewError(turmericshed.KindBadRequest,
			"header %s: want at most %d bytes of UTF-8", headerIdempotencyKey, maxKeyBytes)
	}
	return nil
}

// readBody reads the complete body, within limits of size, time and memory, and sets the request's
// digest.
func readBody(r *http.Request, req *request) error {
	flow := core.Flow{Account: req.account, Service: string(req.profile.Name)}
	parts, err := req.intake.ReadBody(flow, maxBodyBytes, bodyReadTimeout)
	switch turmericshed.KindOf(err) {
	case turmericshed.KindNone:
	case turmericshed.KindTooLarge:
		return turmericshed.NewError(turmericshed.KindTooLarge, "body is over %d bytes", maxBodyBytes)
	case turmericshed.KindOverloaded, turmericshed.KindDraining:
		return err
	default:
		return turmericshed.NewError(turmericshed.KindBadRequest, "body could not be read whole")
	}
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+" "+r.URL.RequestURI()+"\n")
	for _, part := range parts {
		_, _ = h.Write(part)
	}
	req.digest = turmericshed.Digest(hex.EncodeToString(h.Sum(nil)))
	req.body = bytes.Join(parts, nil)
	return nil
}

// withDeadline returns ctx with the request's deadline.
func (req request) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, req.deadline)
}

// bearer returns the bearer token of an Authorization header.
func bearer(header string) (string, bool) {
	scheme, token, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", false
	}
	return token, true
}
