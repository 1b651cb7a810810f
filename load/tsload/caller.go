package tsload

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"turmericshed/io/tspause"

	"turmericshed"
	"turmericshed/standin/tsengine"
	"turmericshed/standin/tsservice"
)

// Headers of requests to entry VMs.
const (
	headerProfile        = "Turmericshed-Profile"
	headerDeadline       = "Turmericshed-Deadline"
	headerRequestID      = "Turmericshed-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// deadlineGrace is how much longer than the deadline in the request header a caller
// waits, so that it receives the refusal.
const deadlineGrace = 2 * time.Second

// attemptResult is the result of one attempt.
type attemptResult struct {
	complete     bool
	outcome      turmericshed.Outcome
	kind         string
	message      string
	retryable    bool
	retryAfter   time.Duration
	requestID    turmericshed.RequestID
	usage        turmericshed.Usage
	firstTokenAt time.Time
	text         string
	body         []byte
}

// kindNoConnection is recorded for an attempt that reached no entry VM.
const kindNoConnection = "no_connection"

// send sends a planned request, with retries, until it has a result.
func (l *Load) send(ctx context.Context, p Planned) Record {
	began := time.Now()
	r := Record{N: p.N, Work: p.Work, Profile: p.Profile.Name, Account: p.Account.ID, Key: p.Key, Started: p.At}
	if p.Work == WorkCall {
		r.BodyDigest = tsservice.DigestOf([]byte(p.Body))
	}
	result := ResultRefused
	for n := 0; ; n++ {
		a := l.sendAttempt(ctx, p, n)
		r.Attempts++
		if a.requestID != "" {
			r.Requests = append(r.Requests, a.requestID)
		}
		r.Kind, r.Message = a.kind, a.message
		if a.complete {
			r.Result, r.Usage = ResultAnswered, a.usage
			r.Latency = time.Since(began)
			if !a.firstTokenAt.IsZero() {
				r.FirstToken = a.firstTokenAt.Sub(began)
			}
			verifyAnswer(p, a, &r)
			return r
		}
		switch a.outcome {
		case turmericshed.OutcomeRan:
			result = ResultFailed
		case turmericshed.OutcomeUnknown:
			result = ResultUnknown
		case turmericshed.OutcomeNotRun:
		}
		if !a.retryable || r.Attempts >= l.opts.Attempts || !l.backOff(ctx, n, a.retryAfter) {
			r.Result, r.Latency = result, time.Since(began)
			return r
		}
	}
}

// backOff waits before the next attempt: an exponential, jittered delay, or the advised
// one if that is longer, up to Options.MaxBackoff. It reports whether ctx is still live.
func (l *Load) backOff(ctx context.Context, n int, advised time.Duration) bool {
	d := min(l.opts.Backoff<<min(n, 20), l.opts.MaxBackoff)
	d = d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
	return tspause.For(ctx, max(d, min(advised, l.opts.MaxBackoff)))
}

// sendAttempt sends the request once.
func (l *Load) sendAttempt(ctx context.Context, p Planned, n int) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, l.opts.Deadline+deadlineGrace)
	defer cancel()
	body := p.Body
	if p.Work == WorkGeneration {
		body = chatBody(p)
	}
	u := "http://" + l.entryFor(p, n).String() + p.Path
	// The wrapper hides the reader's type, so net/http can't rewind the body and
	// repeat the call by itself.
	req, err := http.NewRequestWithContext(ctx, p.Method, u, struct{ io.Reader }{strings.NewReader(body)})
	if err != nil {
		return attemptResult{outcome: turmericshed.OutcomeNotRun, kind: "bad_request", message: err.Error()}
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Authorization", "Bearer "+p.Account.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerProfile, string(p.Profile.Name))
	req.Header.Set(headerDeadline, l.opts.Deadline.String())
	if p.Key != "" {
		req.Header.Set(headerIdempotencyKey, p.Key)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return transportFailure(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var a attemptResult
	switch {
	case resp.StatusCode >= http.StatusBadRequest:
		a = readRefusal(resp)
	case p.Work == WorkGeneration:
		a = readStream(resp.Body)
	default:
		a = readAnswer(resp)
	}
	a.requestID = turmericshed.RequestID(resp.Header.Get(headerRequestID))
	return a
}

func chatBody(p Planned) string {
	b, err := json.Marshal(struct {
		Model     turmericshed.Model     `json:"model"`
		Messages  []turmericshed.Message `json:"messages"`
		MaxTokens turmericshed.Tokens    `json:"max_tokens"`
		Stream    bool                   `json:"stream"`
	}{p.Profile.Model, p.Messages, p.Profile.MaxTokens, true})
	turmericshed.Assert(err == nil, "chat_encoding", "%v", err)
	return string(b)
}

// transportFailure classifies an attempt that received no answer.
func transportFailure(err error) attemptResult {
	a := attemptResult{outcome: turmericshed.OutcomeUnknown, kind: "no_answer", message: err.Error(), retryable: true}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		a.outcome, a.kind = turmericshed.OutcomeNotRun, kindNoConnection
	}
	return a
}

// errorAnswer is the JSON body of a refusal.
type errorAnswer struct {
	Error *struct {
		Kind       string               `json:"kind"`
		Outcome    turmericshed.Outcome `json:"outcome"`
		Message    string               `json:"message"`
		RetryAfter string               `json:"retry_after"`
	} `json:"error"`
}

// retryable reports whether a retry may help after an error of this kind. A caller
// without a complete answer also retries after an unknown outcome: the idempotency key
// makes that safe.
func retryable(kind string, o turmericshed.Outcome) bool {
	for _, k := range turmericshed.Kinds() {
		if k.String() == kind {
			return k.Info().Retryable || o == turmericshed.OutcomeUnknown
		}
	}
	return o == turmericshed.OutcomeUnknown
}

func (e errorAnswer) toResult() attemptResult {
	after, _ := time.ParseDuration(e.Error.RetryAfter)
	return attemptResult{
		outcome: e.Error.Outcome, kind: e.Error.Kind, message: e.Error.Message,
		retryable: retryable(e.Error.Kind, e.Error.Outcome), retryAfter: after,
	}
}

// readRefusal reads the body of an error answer.
func readRefusal(resp *http.Response) attemptResult {
	var e errorAnswer
	err := json.NewDecoder(io.LimitReader(resp.Body, maxEventBytes)).Decode(&e)
	if err != nil || e.Error == nil {
		return attemptResult{outcome: turmericshed.OutcomeUnknown, kind: "bad_answer", message: resp.Status, retryable: true}
	}
	return e.toResult()
}

// readAnswer reads the complete answer to a call or look-up.
func readAnswer(resp *http.Response) attemptResult {
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return attemptResult{outcome: turmericshed.OutcomeUnknown, kind: "no_answer", message: err.Error(), retryable: true}
	}
	return attemptResult{complete: true, outcome: turmericshed.OutcomeRan, body: b}
}

// verifyAnswer sets Partial if an answer is incomplete, and Foreign if it has content
// of another request.
func verifyAnswer(p Planned, a attemptResult, r *Record) {
	switch p.Work {
	case WorkGeneration:
		text, usage := tsengine.ExpectedAnswer(p.Messages, p.Profile.MaxTokens)
		prefix, _, _ := strings.Cut(text, ".")
		for _, token := range strings.Fields(a.text) {
			if !strings.HasPrefix(token, prefix+".") {
				r.Foreign = true
			}
		}
		r.Partial = a.text != text || a.usage != usage
	case WorkCall:
		var j tsservice.Job
		r.Partial = json.Unmarshal(a.body, &j) != nil
		r.Job, r.Foreign = j.Job, !r.Partial && j.Digest != r.BodyDigest
	case WorkLookup:
		var v struct {
			Path string `json:"path"`
		}
		r.Partial = json.Unmarshal(a.body, &v) != nil
		r.Foreign = !r.Partial && v.Path != p.Path
	}
}
